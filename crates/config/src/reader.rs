//! Decides which version of the configuration is active on one VM.
//!
//! Two VMs of each data centre read the platform's row. The others form a tree
//! below them: each asks its parent for newer versions, and the parent also
//! sends it new versions as they arrive. If a parent does not answer, the VM
//! asks other VMs, and finally the platform. The version of a VM only increases,
//! regardless of the source.

mod delta_log;
mod offer;
mod peers;
mod platform;
mod position;

use std::{sync::Arc, time::Duration};

use chicoryhollow_core::{DataCentreId, Time, VmId};
use indexmap::IndexMap;
use rand::{Rng, RngExt};

use crate::{
    configuration::{Configuration, Versioned},
    delta::Delta,
    hash::{ContentHash, Digests},
    publish,
    reader::delta_log::DeltaLog,
};

pub use crate::reader::{
    delta_log::MAX_LOGGED_DELTAS,
    offer::{Offer, OfferError},
    position::{FAN_OUT, Member, READERS_PER_DATA_CENTRE, TreePosition},
};

/// Time between two reads of the platform's row by a VM that reads it regularly,
/// and shortest time between two reads by another VM that holds no version yet.
pub const ROW_POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time between two requests of one VM to its parent.
pub const PEER_POLL_INTERVAL: Duration = Duration::from_millis(2_000);
/// Shortest time between two reads of the row by a VM that has a parent and holds a
/// version, but gets no answers from other VMs.
pub const FALLBACK_POLL_INTERVAL: Duration = Duration::from_millis(5_000);
/// Time for which a VM that starts waits for the platform before it activates a
/// version from its peers.
pub const STARTUP_WAIT: Duration = Duration::from_millis(1_500);
/// Time without an answer after which a reader assumes that the platform is
/// unreachable and asks readers of other data centres.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time after a request for which a VM sends new versions to the one that asked.
const CHILD_TIMEOUT: Duration = Duration::from_millis(6_000);
/// Time after which a read of an object is abandoned.
const FETCH_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Maximum number of VMs to which one VM sends new versions as they arrive.
const MAX_CHILDREN: usize = 64;
/// Ticks with an unanswered request after which a VM that has a parent also asks
/// another VM.
const MAX_PARENT_MISSES: u32 = 2;
/// Ticks with an unanswered request after which a VM that has a parent also asks
/// any VM and reads the platform's row.
const MAX_PEER_MISSES: u32 = 4;

/// An action that the caller of [`ConfigurationState`] must execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the platform's row.
    ReadRow,
    /// Read an object of the platform.
    ReadObject(String),
    /// Ask a VM for a version newer than this one, or for any version if it is 0.
    Ask(VmId, u64),
    /// Send an offer to a VM.
    Send(VmId, Offer),
    /// Activate a version.
    Activate(Arc<Versioned>),
}

/// State of one VM: the version that it holds and how it gets newer ones.
///
/// The caller passes in messages, calls [`ConfigurationState::tick`] at
/// [`ConfigurationState::next_tick`] and executes the returned [`Action`]s.
#[derive(Debug)]
pub struct ConfigurationState {
    position: TreePosition,
    held: Option<HeldVersion>,
    /// Whether the held version may be activated.
    is_ready: bool,
    /// Version that was last activated, or 0.
    activated: u64,
    log: DeltaLog,
    target: Option<Target>,
    /// Name of the object that is being read, and when the read began.
    pending_fetch: Option<(String, Time)>,
    /// Whether an object could not be read since the last accepted version; the
    /// whole configuration is then read instead of a difference.
    object_missing: bool,
    /// Whether the last offer was damaged, so that a whole configuration is needed.
    needs_whole: bool,
    started: Time,
    /// Start of the last read of the row.
    last_read: Option<Time>,
    /// Start of the oldest read of the row since the last answer.
    oldest_read: Option<Time>,
    /// Last answer of the platform to a read of the row.
    last_answer: Option<Time>,
    /// When the held version was last known to be the newest.
    confirmed_at: Option<Time>,
    /// VMs that have not answered yet, with the time of the oldest request to each.
    pending_asks: IndexMap<VmId, Time>,
    /// Ticks with an unanswered request since the last sufficient answer.
    misses: u32,
    children: IndexMap<VmId, Child>,
    next_tick: Time,
}

/// The newest version that the VM has, with the hashes of its entries.
#[derive(Debug)]
struct HeldVersion {
    versioned: Arc<Versioned>,
    hash: ContentHash,
    digests: Digests,
}

/// A row that names a newer version than the held one.
#[derive(Clone, Debug)]
struct Target {
    row: publish::Versioned,
    /// Start of the oldest read that the row may answer.
    read_at: Option<Time>,
}

/// A VM that has asked this one and gets new versions from it.
#[derive(Clone, Copy, Debug)]
struct Child {
    /// Version that the VM is assumed to hold.
    version: u64,
    /// Time from which it gets no new versions unless it asks again.
    expires: Time,
}

impl ConfigurationState {
    /// Creates the state of a VM that starts without a configuration.
    pub fn new(vm: VmId, data_centre: DataCentreId, now: Time) -> Self {
        ConfigurationState {
            position: TreePosition::new(vm, data_centre),
            held: None,
            is_ready: false,
            activated: 0,
            log: DeltaLog::default(),
            target: None,
            pending_fetch: None,
            object_missing: false,
            needs_whole: false,
            started: now,
            last_read: None,
            oldest_read: None,
            last_answer: None,
            confirmed_at: None,
            pending_asks: IndexMap::new(),
            misses: 0,
            children: IndexMap::new(),
            next_tick: now,
        }
    }

    /// Returns the version that the VM holds, or 0 if it holds none.
    ///
    /// The version becomes active only with an [`Action::Activate`].
    pub fn version(&self) -> u64 {
        self.held.as_ref().map_or(0, |held| held.versioned.version)
    }

    /// Returns how long ago the held version was last known to be the newest, or
    /// `None` if it never was.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|confirmed| now.since(confirmed))
    }

    /// Returns when [`ConfigurationState::tick`] should be called next.
    pub fn next_tick(&self) -> Time {
        self.next_tick
    }

    /// Returns whether the VM gets new versions from another VM of its data centre
    /// rather than from the platform.
    pub fn has_parent(&self) -> bool {
        !self.position.is_reader()
    }

    /// Sets the live VMs, including this one.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = Member>) {
        self.position.set_members(members);
    }

    /// Returns the actions that are due: requests, and the activation of a version
    /// for which the VM has waited long enough.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Action> {
        if now < self.next_tick {
            return Vec::new();
        }
        let mut actions = Vec::new();
        self.children.retain(|_, child| child.expires > now);
        self.misses += u32::from(!self.pending_asks.is_empty());
        if self.should_read_row(now) {
            self.last_read = Some(now);
            self.oldest_read.get_or_insert(now);
            actions.push(Action::ReadRow);
        }
        for vm in self.choose_sources(now, rng) {
            self.ask(vm, now, &mut actions);
        }
        actions.extend(self.activate_if_ready(now));
        self.next_tick = now + self.tick_interval().mul_f64(rng.random_range(0.8..1.2));
        actions
    }

    fn tick_interval(&self) -> Duration {
        match (self.held.is_some() && self.is_ready, self.position.is_reader()) {
            (false, _) => STARTUP_WAIT / 3,
            (true, true) => ROW_POLL_INTERVAL,
            (true, false) => PEER_POLL_INTERVAL,
        }
    }

    fn should_read_row(&self, now: Time) -> bool {
        let alone = self.held.is_none() || !self.is_ready || self.misses >= MAX_PEER_MISSES;
        let pause = if self.held.is_none() { ROW_POLL_INTERVAL } else { FALLBACK_POLL_INTERVAL };
        let due = self.last_read.is_none_or(|read| now.since(read) >= pause);
        self.position.is_reader() || (alone && due)
    }

    /// Returns the VMs to ask now.
    fn choose_sources(&self, now: Time, rng: &mut impl Rng) -> Vec<VmId> {
        let mut sources = Vec::new();
        let silent = now.since(self.last_answer.unwrap_or(self.started)) >= PLATFORM_TIMEOUT;
        match self.position.parent() {
            Some(parent) => {
                sources.push(parent.clone());
                sources.extend(self.choose_substitute(rng));
            }
            None if silent => sources.extend(self.position.pick_remote_reader(rng)),
            None => {}
        }
        if self.held.is_none() {
            sources.extend(self.position.pick_any(rng));
        }
        sources.dedup();
        sources
    }

    /// Returns a VM to ask in addition to a parent that does not answer.
    fn choose_substitute(&self, rng: &mut impl Rng) -> Option<VmId> {
        match self.misses {
            ..MAX_PARENT_MISSES => None,
            MAX_PARENT_MISSES..MAX_PEER_MISSES => self.position.pick_upstream(rng),
            MAX_PEER_MISSES.. => self.position.pick_any(rng),
        }
    }

    fn ask(&mut self, vm: VmId, now: Time, actions: &mut Vec<Action>) {
        let version = if self.needs_whole { 0 } else { self.version() };
        self.pending_asks.entry(vm.clone()).or_insert(now);
        actions.push(Action::Ask(vm, version));
    }

    fn accept(&mut self, offer: &Offer, now: Time) -> Result<Vec<Action>, OfferError> {
        if offer.version() <= self.version() {
            return Ok(Vec::new());
        }
        let next = match offer.base() {
            None => self.apply_whole(offer),
            Some(base) => self.apply_delta(base, offer),
        };
        // After a damaged offer, only a whole configuration is certain to be
        // usable. An offer with another base version is not damaged: another
        // answer arrived before it. The next request names the current version.
        self.needs_whole = !matches!(next, Ok(_) | Err(OfferError::Base { .. }));
        self.held = Some(next?);
        self.object_missing = false;
        let mut actions: Vec<_> = self.activate_if_ready(now).into_iter().collect();
        actions.extend(self.offer_to_children(now));
        Ok(actions)
    }

    /// Builds the version to hold from a whole configuration.
    fn apply_whole(&mut self, offer: &Offer) -> Result<HeldVersion, OfferError> {
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
        Ok(HeldVersion { versioned, hash, digests })
    }

    /// Builds the version to hold from a difference to the held one.
    fn apply_delta(&mut self, base: u64, offer: &Offer) -> Result<HeldVersion, OfferError> {
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
        Ok(HeldVersion { versioned, hash, digests })
    }

    /// Returns the action that activates the held version, if it is new and the VM
    /// is ready.
    ///
    /// A VM that starts is ready once it holds the version that the platform's row
    /// names, or once [`STARTUP_WAIT`] has passed.
    fn activate_if_ready(&mut self, now: Time) -> Option<Action> {
        let held = self.held.as_ref()?;
        let version = held.versioned.version;
        let is_newest = self.target.as_ref().is_none_or(|target| target.row.version <= version);
        let caught_up = self.last_answer.is_some() && is_newest;
        self.is_ready |= caught_up || now.since(self.started) >= STARTUP_WAIT;
        let is_new = self.is_ready && version > self.activated;
        is_new.then(|| {
            self.activated = version;
            Action::Activate(Arc::clone(&held.versioned))
        })
    }

    fn confirm(&mut self, at: Option<Time>) {
        self.confirmed_at = self.confirmed_at.max(at);
    }
}
