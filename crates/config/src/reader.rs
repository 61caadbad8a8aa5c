//! Decides which version of the configuration is in force on one VM.
//!
//! Two VMs of each data centre read the platform's row. The others form a tree
//! below them and ask their parent, which also passes on what it learns. A VM
//! whose parent is silent asks other VMs, and the platform at last. Versions
//! only ever move forward, whoever offers them.

mod log;
mod offer;
mod position;
mod relay;
mod source;

use std::{sync::Arc, time::Duration};

use chicoryhollow_core::{DataCentreId, Time, VmId};
use indexmap::IndexMap;
use rand::{Rng, RngExt};

use crate::{
    configuration::{Configuration, Versioned},
    delta::Delta,
    hash::{ContentHash, Digests},
    publish,
    reader::log::Log,
};

pub use crate::reader::{
    log::MAX_LOGGED_DELTAS,
    offer::{Offer, OfferError},
    position::{FAN_OUT, Member, READERS_PER_DATA_CENTRE, TreePosition},
};

/// Time between two reads of the platform's row by one reader.
pub const ROW_POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time between two asks of one VM to another.
pub const PEER_POLL_INTERVAL: Duration = Duration::from_millis(2_000);
/// Time between two reads of the row by a VM that has no other source.
pub const FALLBACK_POLL_INTERVAL: Duration = Duration::from_millis(5_000);
/// Time for which a VM that starts waits for the platform before it takes what
/// its peers offer.
pub const STARTUP_WAIT: Duration = Duration::from_millis(1_500);
/// Time without an answer after which the platform counts as silent.
const SILENCE: Duration = Duration::from_millis(3_000);
/// Time for which a VM passes new versions on to one that has asked it.
const CHILD_LEASE: Duration = Duration::from_millis(6_000);
/// Time after which a fetch of an object is given up.
const FETCH_TIMEOUT: Duration = Duration::from_millis(5_000);
/// VMs to which one VM passes new versions on.
const MAX_CHILDREN: usize = 64;
/// Asks without an answer after which a parent counts as silent.
const MAX_MISSES: u32 = 2;
/// Asks without an answer after which the platform is read.
const MAX_MISSES_OF_PEERS: u32 = 4;

/// What the VM should do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the platform's row.
    ReadRow,
    /// Read an object of the platform.
    ReadObject(String),
    /// Ask a VM for a version newer than this one, or for any when it is 0.
    Ask(VmId, u64),
    /// Send an offer to a VM.
    Send(VmId, Offer),
    /// Put a version in force.
    Activate(Arc<Versioned>),
}

/// What one VM knows of the configuration.
#[derive(Debug)]
pub struct ConfigurationState {
    place: TreePosition,
    held: Option<Held>,
    settled: bool,
    told: u64,
    log: Log,
    target: Option<Target>,
    fetch: Option<(String, Time)>,
    missing: bool,
    whole: bool,
    started: Time,
    /// Begin of the last read of the row.
    row_read: Option<Time>,
    /// Begin of the oldest read of the row since the last answer.
    row_asked: Option<Time>,
    row_answered: Option<Time>,
    confirmed: Option<Time>,
    asked: IndexMap<VmId, Time>,
    misses: u32,
    children: IndexMap<VmId, Child>,
    wake: Time,
}

/// The version held, with the hashes of its entries.
#[derive(Debug)]
struct Held {
    versioned: Arc<Versioned>,
    hash: ContentHash,
    digests: Digests,
}

/// A row that names a newer version than the one held.
#[derive(Clone, Debug)]
struct Target {
    row: publish::Versioned,
    read: Option<Time>,
}

/// A VM that asked this one.
#[derive(Clone, Copy, Debug)]
struct Child {
    version: u64,
    until: Time,
}

impl ConfigurationState {
    /// Makes the state of a VM that starts and holds no configuration.
    pub fn new(vm: VmId, data_centre: DataCentreId, now: Time) -> Self {
        ConfigurationState {
            place: TreePosition::new(vm, data_centre),
            held: None,
            settled: false,
            told: 0,
            log: Log::default(),
            target: None,
            fetch: None,
            missing: false,
            whole: false,
            started: now,
            row_read: None,
            row_asked: None,
            row_answered: None,
            confirmed: None,
            asked: IndexMap::new(),
            misses: 0,
            children: IndexMap::new(),
            wake: now,
        }
    }

    /// Returns the version held, which is in force once an [`Action::Activate`]
    /// has told so, or 0.
    pub fn version(&self) -> u64 {
        self.held.as_ref().map_or(0, |held| held.versioned.version)
    }

    /// Returns how long ago the version held was last known to be the newest,
    /// or `None` when it never was.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Returns when [`ConfigurationState::tick`] should be called next.
    pub fn next_tick(&self) -> Time {
        self.wake
    }

    /// Tells whether the VM learns of new versions from another VM of its data
    /// centre rather than from the platform.
    pub fn has_parent(&self) -> bool {
        !self.place.is_reader()
    }

    /// Takes in the live VMs, this one among them.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = Member>) {
        self.place.set_members(members);
    }

    /// Asks whom it is time to ask.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Action> {
        if now < self.wake {
            return Vec::new();
        }
        let mut actions = Vec::new();
        self.children.retain(|_, child| child.until > now);
        self.misses += u32::from(!self.asked.is_empty());
        if self.must_read_row(now) {
            self.row_read = Some(now);
            self.row_asked.get_or_insert(now);
            actions.push(Action::ReadRow);
        }
        for vm in self.sources(now, rng) {
            self.ask(vm, now, &mut actions);
        }
        actions.extend(self.settle(now));
        self.wake = now + self.interval().mul_f64(rng.random_range(0.8..1.2));
        actions
    }

    fn interval(&self) -> Duration {
        match (self.held.is_some() && self.settled, self.place.is_reader()) {
            (false, _) => STARTUP_WAIT / 3,
            (true, true) => ROW_POLL_INTERVAL,
            (true, false) => PEER_POLL_INTERVAL,
        }
    }

    fn must_read_row(&self, now: Time) -> bool {
        let alone = self.held.is_none() || !self.settled || self.misses >= MAX_MISSES_OF_PEERS;
        let pause = if self.held.is_none() { ROW_POLL_INTERVAL } else { FALLBACK_POLL_INTERVAL };
        let due = self.row_read.is_none_or(|read| now.since(read) >= pause);
        self.place.is_reader() || (alone && due)
    }

    /// Chooses the VMs to ask now.
    fn sources(&self, now: Time, rng: &mut impl Rng) -> Vec<VmId> {
        let mut sources = Vec::new();
        let silent = now.since(self.row_answered.unwrap_or(self.started)) >= SILENCE;
        match self.place.parent() {
            Some(parent) => {
                sources.push(parent.clone());
                sources.extend(self.substitute(rng));
            }
            None if silent => sources.extend(self.place.remote_reader(rng)),
            None => {}
        }
        if self.held.is_none() {
            sources.extend(self.place.any(rng));
        }
        sources.dedup();
        sources
    }

    /// Chooses a VM to ask beside a parent that is silent.
    fn substitute(&self, rng: &mut impl Rng) -> Option<VmId> {
        match self.misses {
            ..MAX_MISSES => None,
            MAX_MISSES..MAX_MISSES_OF_PEERS => self.place.nearer(rng),
            MAX_MISSES_OF_PEERS.. => self.place.any(rng),
        }
    }

    fn ask(&mut self, vm: VmId, now: Time, actions: &mut Vec<Action>) {
        let version = if self.whole { 0 } else { self.version() };
        self.asked.entry(vm.clone()).or_insert(now);
        actions.push(Action::Ask(vm, version));
    }

    fn accept(&mut self, offer: &Offer, now: Time) -> Result<Vec<Action>, OfferError> {
        if offer.version() <= self.version() {
            return Ok(Vec::new());
        }
        let next = match offer.base() {
            None => self.whole(offer),
            Some(base) => self.difference(base, offer),
        };
        // After damage only a whole configuration is sure to help. A difference
        // from another version merely crossed with another answer, and the next
        // ask tells the sender better.
        self.whole = !matches!(next, Ok(_) | Err(OfferError::Base { .. }));
        self.held = Some(next?);
        self.missing = false;
        let mut actions: Vec<_> = self.settle(now).into_iter().collect();
        actions.extend(self.pass_on(now));
        Ok(actions)
    }

    /// Makes the version to hold from a whole configuration.
    fn whole(&mut self, offer: &Offer) -> Result<Held, OfferError> {
        let configuration: Configuration = offer.parse()?;
        let digests = Digests::new(&configuration);
        let hash = digests.hash();
        if hash != offer.hash() {
            return Err(OfferError::Hash { expected: offer.hash(), found: hash });
        }
        if let Some(held) = &self.held {
            let delta = Delta::new(&held.versioned.configuration, &configuration);
            self.log.push(held.versioned.version, offer.version(), delta);
        }
        let versioned = Arc::new(Versioned { version: offer.version(), configuration });
        Ok(Held { versioned, hash, digests })
    }

    /// Makes the version to hold from a difference to the one held.
    fn difference(&mut self, base: u64, offer: &Offer) -> Result<Held, OfferError> {
        let version = self.version();
        let Some(held) = self.held.as_mut().filter(|_| base == version) else {
            return Err(OfferError::Base { held: version, base });
        };
        let delta: Delta = offer.parse()?;
        held.digests.apply(&delta);
        let hash = held.digests.hash();
        if hash != offer.hash() {
            held.digests = Digests::new(&held.versioned.configuration);
            return Err(OfferError::Hash { expected: offer.hash(), found: hash });
        }
        let mut configuration = held.versioned.configuration.clone();
        delta.apply(&mut configuration);
        let digests = std::mem::take(&mut held.digests);
        self.log.push(version, offer.version(), delta);
        let versioned = Arc::new(Versioned { version: offer.version(), configuration });
        Ok(Held { versioned, hash, digests })
    }

    /// Tells the version held once it is sure to be as new as a VM that starts
    /// can know.
    fn settle(&mut self, now: Time) -> Option<Action> {
        let held = self.held.as_ref()?;
        let version = held.versioned.version;
        let newest = self.target.as_ref().is_none_or(|target| target.row.version <= version);
        let caught_up = self.row_answered.is_some() && newest;
        self.settled |= caught_up || now.since(self.started) >= STARTUP_WAIT;
        let untold = self.settled && version > self.told;
        untold.then(|| {
            self.told = version;
            Action::Activate(Arc::clone(&held.versioned))
        })
    }

    fn confirm(&mut self, at: Option<Time>) {
        self.confirmed = self.confirmed.max(at);
    }
}
