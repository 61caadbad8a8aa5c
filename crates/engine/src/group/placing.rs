//! Choice of the servers for a read by the load that homes report.

use chicoryhollow_core::{
    AccountId, DataCentreId, Position, ServerId, Time,
    load::{Assumption, Meter},
    outlier::Verdict,
    placement::Prospect,
    route::{Choice, assumed_response},
    spill::{Change, place_read},
    waiting::Priority,
};
use rand::Rng;

use super::Group;

/// A read that is to be placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Read<'a> {
    /// Data centre of the VM that chooses.
    pub(crate) here: &'a DataCentreId,
    /// Client account of the read.
    pub(crate) account: &'a AccountId,
    /// Priority of its route.
    pub(crate) priority: Priority,
    /// Position that the server must have reached.
    pub(crate) min_position: Option<Position>,
}

/// Where a read goes, and what is newly believed of the servers.
pub(crate) struct Placed {
    /// Servers to try, best first.
    pub(crate) choices: Vec<Choice>,
    /// Data centres to which reads begin or cease to go.
    pub(crate) changes: Vec<Change>,
    /// Replicas that were ejected or readmitted.
    pub(crate) verdicts: Vec<Verdict>,
}

impl Group {
    /// Returns the measurements of this VM as a home of `server`.
    pub(crate) fn meter(&mut self, server: &ServerId) -> &mut Meter {
        if !self.meters.contains_key(server) {
            self.meters.insert(server.clone(), Meter::new());
        }
        &mut self.meters[server]
    }

    /// Chooses the servers to try for a read by their reported load.
    pub(crate) fn place(
        &mut self,
        read: Read<'_>,
        is_unreachable: impl Fn(&DataCentreId) -> bool,
        now: Time,
        rng: &mut impl Rng,
    ) -> Placed {
        let choices = self.choose(read.here, is_unreachable, read.min_position, now, rng);
        let service = self.loads.typical_service(now);
        let prospect = |choice: Choice| {
            let entry = self.servers.get(&choice.server);
            let data_centre = entry.map_or(read.here, |entry| &entry.data_centre).clone();
            let near = data_centre == *read.here;
            let assumed = Assumption { network: assumed_response(near), service };
            let outlook = self.loads.outlook(&choice.server, read.priority, assumed, now);
            Prospect { choice, data_centre, near, outlook }
        };
        let mut prospects: Vec<Prospect> = choices.into_iter().map(prospect).collect();
        let verdicts = self.outliers.update(&prospects, now);
        let readmitted = verdicts.iter().filter(|verdict| verdict.reason.is_none());
        readmitted.for_each(|verdict| self.affinity.restart(&verdict.server));
        let probe = self.outliers.exclude(&mut prospects, now);
        let is_preferred = |prospect: &&Prospect| prospect.near && prospect.takes_reads();
        self.affinity.update(prospects.iter().filter(is_preferred), now);
        let changes = self.spill.update(&prospects, now);
        let mut choices = place_read(prospects, read.account, &self.affinity, &self.spill, rng);
        choices.sort_by_key(|choice| Some(&choice.server) != probe.as_ref());
        Placed { choices, changes, verdicts }
    }
}
