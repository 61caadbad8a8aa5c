//! Reads that leave the data centre.
//!
//! Traffic between data centres is slower and costs money, yet a data centre's own servers
//! are sometimes too few. [`Spill`] keeps the share of a group's reads that each other data
//! centre gets. The share follows how much later the near servers are expected to answer than
//! those there. It begins and ends at different differences, changes by a bounded amount per
//! second, and shrinks as the requests there begin to queue, so that near callers come first.

use std::time::Duration;

use indexmap::IndexMap;
use rand::{Rng, RngExt};

use crate::{
    id::{AccountId, DataCentreId},
    placement::{Affinity, Prospect, place},
    route::Choice,
    time::Time,
};

/// Time by which near servers must be slower before reads leave. It is small against the
/// objectives of callers, and several times the delay between data centres.
const START_GAIN: Duration = Duration::from_millis(15);

/// Time by which near servers are still slower when the last reads return.
const STOP_GAIN: Duration = Duration::from_millis(5);

/// Time by which near servers are slower when the largest share leaves.
const FULL_GAIN: Duration = Duration::from_millis(100);

/// Time for which requests may queue in a data centre that takes reads of others. Its own
/// callers lose no more than this.
const VISITOR_QUEUEING: Duration = Duration::from_millis(15);

/// Largest share of the reads that leave; the others keep the near servers known.
const MAX_SHARE: f64 = 0.9;

/// Share that leaves for a data centre of which too little is known, to learn its load.
const PROBE_SHARE: f64 = 0.01;

/// Weight of the reports on a data centre below which too little is known of it.
const MIN_WEIGHT: f64 = 0.2;

/// Weight of a server without reports, beside others that have some.
const LEAST_WEIGHT: f64 = 0.01;

/// Change of the share per second.
const RISE_PER_SECOND: f64 = 0.25;
const FALL_PER_SECOND: f64 = 0.5;

/// Time over which the wanted share is averaged, a few times the age of reports.
const AVERAGED_SPAN: Duration = Duration::from_secs(1);

/// Difference from the wanted share up to which a share does not change.
const SHARE_TOLERANCE: f64 = 0.1;

/// Minimum time between two changes of the shares.
const CHANGE_SPACING: Duration = Duration::from_millis(100);

/// Gain that is needed for each byte of an answer, in microseconds.
const GAIN_PER_BYTE_US: f64 = 1.0;

/// Inverse of the weight of one answer in their mean size.
const SIZE_INVERSE_WEIGHT: f64 = 64.0;

/// What is expected of the servers of one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Side {
    /// Mean time until a read is complete.
    pub completion: Duration,
    /// Mean time that a read queues.
    pub queueing: Duration,
    /// Weight of the newest report.
    pub weight: f64,
}

/// A change of where reads go.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The other data centre.
    pub to: DataCentreId,
    /// Whether reads begin to go there, or cease to.
    pub begins: bool,
    /// What is expected of the near servers.
    pub near: Side,
    /// What is expected of the servers there.
    pub far: Side,
}

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    present: f64,
    /// Average of the wanted share.
    wanted: f64,
}

/// Shares of the reads of one group that leave the data centre of a VM.
#[derive(Clone, Debug, Default)]
pub struct Spill {
    shares: IndexMap<DataCentreId, Share>,
    answer_bytes: f64,
    changed: Time,
}

impl Spill {
    /// Creates the state of a VM whose reads all stay.
    pub fn new() -> Self {
        Spill::default()
    }

    /// Records the size of an answer.
    pub fn record_answer(&mut self, bytes: usize) {
        self.answer_bytes += (bytes as f64 - self.answer_bytes) / SIZE_INVERSE_WEIGHT;
    }

    /// Returns the mean size of recent answers.
    pub fn answer_bytes(&self) -> f64 {
        self.answer_bytes
    }

    /// Returns the share of the reads that leave.
    pub fn share(&self) -> f64 {
        self.shares.values().map(|share| share.present).sum()
    }

    /// Changes the shares by what is expected of all servers that may run reads, and returns
    /// to which data centres reads begin or cease to go.
    pub fn update(&mut self, prospects: &[Prospect], now: Time) -> Vec<Change> {
        let span = now.since(self.changed);
        if span < CHANGE_SPACING {
            return Vec::new();
        }
        let is_first = self.changed == Time::default();
        self.changed = now;
        let mut far = sides(prospects, false);
        let near = sides(prospects, true).pop().map(|(_, side)| side);
        // Without usable servers nearby, reads are placed on all others alike.
        let Some(near) = near.filter(|_| !is_first) else {
            self.shares.clear();
            return Vec::new();
        };
        // Nothing goes to a data centre that cannot be reached or is out of use.
        self.shares.retain(|centre, _| far.contains_key(centre));
        let (count, seconds) = (far.len() as f64, span.as_secs_f64().min(1.0));
        let mut changes = Vec::new();
        for (centre, far) in far.drain(..) {
            let share = self.shares.get(&centre).copied().unwrap_or_default();
            let before = share.present;
            let share = share.update(self.wanted(before, near, far) / count, seconds);
            let after = share.present;
            self.shares.insert(centre.clone(), share);
            if (before > PROBE_SHARE) != (after > PROBE_SHARE) {
                changes.push(Change { to: centre, begins: after > PROBE_SHARE, near, far });
            }
        }
        changes
    }

    /// Returns the share that a data centre would get if it were the only other one.
    fn wanted(&self, before: f64, near: Side, far: Side) -> f64 {
        let threshold = if before > PROBE_SHARE { STOP_GAIN } else { START_GAIN };
        if far.weight < MIN_WEIGHT {
            return if near.queueing > START_GAIN { PROBE_SHARE } else { 0.0 };
        }
        let size = Duration::from_secs_f64(self.answer_bytes * GAIN_PER_BYTE_US / 1e6);
        let gain = near.completion.saturating_sub(far.completion + threshold + size);
        let room = 1.0 - ratio(far.queueing, VISITOR_QUEUEING).min(1.0);
        let probe = if near.queueing > START_GAIN { PROBE_SHARE } else { 0.0 };
        (ratio(gain, FULL_GAIN).min(MAX_SHARE) * room).max(probe)
    }

    /// Returns the data centre to which a read goes, or `None` for the near servers.
    fn draw(&self, rng: &mut impl Rng) -> Option<&DataCentreId> {
        let mut drawn: f64 = rng.random();
        self.shares.iter().find_map(|(centre, share)| {
            drawn -= share.present;
            (drawn < 0.0).then_some(centre)
        })
    }
}

/// Returns the servers to try for a read of `account`, best first: those of the data centre
/// that the read goes to, and then all others.
pub fn place_read(
    prospects: Vec<Prospect>,
    account: &AccountId,
    affinity: &Affinity,
    spill: &Spill,
    rng: &mut impl Rng,
) -> Vec<Choice> {
    if !prospects.iter().any(|prospect| prospect.near && prospect.takes_reads()) {
        return place(prospects, account, affinity, rng);
    }
    // The shares follow only some time after a data centre was cut off or taken out of use.
    let is_usable = |centre: &&DataCentreId| {
        prospects.iter().any(|prospect| prospect.data_centre == **centre && prospect.takes_reads())
    };
    let to = spill.draw(rng).filter(is_usable);
    let is_there = |prospect: &Prospect| match to {
        Some(centre) => prospect.data_centre == *centre,
        None => prospect.near,
    };
    let (first, rest): (Vec<_>, Vec<_>) =
        prospects.into_iter().partition(|prospect| prospect.choice.primary || is_there(prospect));
    let mut choices = place(first, account, affinity, rng);
    choices.extend(place(rest, account, affinity, rng));
    choices
}

/// Returns what is expected of the replicas of the near or of each other data centre. Those
/// with the newest reports count most.
fn sides(prospects: &[Prospect], near: bool) -> IndexMap<DataCentreId, Side> {
    let mut found: IndexMap<DataCentreId, Sum> = IndexMap::new();
    for prospect in prospects.iter().filter(|p| p.near == near && p.takes_reads()) {
        let outlook = &prospect.outlook;
        let weight = outlook.weight.max(LEAST_WEIGHT);
        let sum = found.entry(prospect.data_centre.clone()).or_default();
        sum.completion += prospect.completion().as_secs_f64() * weight;
        sum.queueing += (outlook.wait + outlook.queueing).as_secs_f64() * weight;
        sum.weight += weight;
        sum.newest = sum.newest.max(outlook.weight);
    }
    found.into_iter().map(|(centre, sum)| (centre, sum.side())).collect()
}

/// Weighted sums over the servers of one data centre.
#[derive(Default)]
struct Sum {
    completion: f64,
    queueing: f64,
    weight: f64,
    newest: f64,
}

impl Sum {
    fn side(&self) -> Side {
        let mean = |sum| Duration::try_from_secs_f64(sum / self.weight).unwrap_or_default();
        let (completion, queueing) = (mean(self.completion), mean(self.queueing));
        Side { completion, queueing, weight: self.newest }
    }
}

impl Share {
    /// Returns the share after `seconds`.
    fn update(self, wanted: f64, seconds: f64) -> Share {
        let part = (seconds / AVERAGED_SPAN.as_secs_f64()).min(1.0);
        let wanted = self.wanted + (wanted - self.wanted) * part;
        let is_small = wanted > PROBE_SHARE && (wanted - self.present).abs() <= SHARE_TOLERANCE;
        let least = (self.present - FALL_PER_SECOND * seconds).max(0.0);
        let most = self.present + RISE_PER_SECOND * seconds;
        let present = if is_small { self.present } else { wanted.clamp(least, most) };
        Share { present, wanted }
    }
}

fn ratio(part: Duration, whole: Duration) -> f64 {
    part.as_secs_f64() / whole.as_secs_f64()
}
