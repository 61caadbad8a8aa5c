//! Which VM has a duty that only one VM at a time may carry out.
//!
//! The duty is a row of the directory that names its holder. A VM takes the row
//! over under the condition that it has not changed, and its fencing token is
//! the row's version at that moment: versions come from one counter, so that no
//! two holders ever have the same token. The holder renews the row. Others take
//! it over when it has not changed for [`LEASE_DURATION`], measured on their own clock,
//! and the holder stops earlier, counted from before it asked.

use std::{cmp::Ordering, time::Duration};

use crate::{id::VmId, time::Time};

/// Time without a renewal after which another VM may take over.
pub const LEASE_DURATION: Duration = Duration::from_millis(2_500);

/// How much earlier than others the holder itself lets its lease end.
const MARGIN: Duration = Duration::from_millis(400);

/// Time between two renewals.
const RENEWAL: Duration = Duration::from_millis(800);

/// Time between two looks at the row by a VM that waits.
const LOOK: Duration = Duration::from_millis(900);

/// Time that the holder of an unchanged row has to renew it after calls that failed.
const RETURN: Duration = Duration::from_millis(900);

/// Pause after a write that failed.
const PAUSE: Duration = Duration::from_millis(400);

/// Proves to the platform which holder ordered something.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Makes a token from a version of the duty's row.
    pub const fn new(version: u64) -> Self {
        FencingToken(version)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// The duty's row as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CoordinatorRow {
    /// The VM that holds the duty, or none after it was given back.
    pub holder: Option<VmId>,
    /// Incarnation of the holder's daemon.
    pub incarnation: u64,
    /// Version of the row.
    pub version: u64,
}

/// Since when the duty's row is known not to have changed.
///
/// VMs tell each other what they saw, so that one that has just begun to look need not
/// wait as if the row had just been written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RowObservation {
    /// Version of the row.
    pub version: u64,
    /// When some VM first saw it.
    pub since: Time,
}

impl RowObservation {
    /// Returns what both together show: the newer version, seen first.
    pub fn merge(self, other: RowObservation) -> RowObservation {
        match self.version.cmp(&other.version) {
            Ordering::Less => other,
            Ordering::Equal => RowObservation { since: self.since.min(other.since), ..self },
            Ordering::Greater => self,
        }
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing before this time.
    Wait(Time),
    /// Read the row.
    Read,
    /// Write the row under the condition that it has this version; 0 means
    /// that there is none.
    Write(u64),
}

#[derive(Clone, Copy, Debug)]
struct Held {
    token: FencingToken,
    until: Time,
    version: u64,
}

/// The claim of one daemon to one duty.
#[derive(Clone, Debug)]
pub struct CoordinatorLease {
    vm: VmId,
    incarnation: u64,
    seen: Option<(u64, Time)>,
    free: bool,
    held: Option<Held>,
    /// When the last write was sent.
    sent: Time,
    due: Time,
}

impl CoordinatorLease {
    /// Makes the claim of the daemon `incarnation` on `vm`.
    pub fn new(vm: VmId, incarnation: u64, now: Time) -> Self {
        CoordinatorLease {
            vm,
            incarnation,
            seen: None,
            free: false,
            held: None,
            sent: Time::default(),
            due: now,
        }
    }

    /// Returns the token while the lease lasts.
    pub fn token(&self, now: Time) -> Option<FencingToken> {
        self.held.filter(|held| now < held.until).map(|held| held.token)
    }

    /// Returns the token of a lease that may have run out, for use while nobody
    /// can write the row and so nobody else can have taken the duty.
    pub fn last_token(&self) -> Option<FencingToken> {
        self.held.map(|held| held.token)
    }

    /// Returns the version of the row while this VM is its holder.
    pub fn version(&self) -> Option<u64> {
        self.held.map(|held| held.version)
    }

    /// Returns what to do at `now`.
    pub fn next_step(&mut self, now: Time) -> Step {
        if now < self.due {
            return Step::Wait(self.due);
        }
        match (&self.held, self.seen) {
            (Some(held), _) => {
                self.sent = now;
                Step::Write(held.version)
            }
            (None, None) => Step::Read,
            (None, Some((version, since))) if self.free || now.since(since) >= LEASE_DURATION => {
                // The row is read again if the write finds it changed.
                self.seen = None;
                self.sent = now;
                Step::Write(version)
            }
            (None, Some(_)) => Step::Read,
        }
    }

    /// Returns since when the row is known not to have changed.
    pub fn observation(&self) -> Option<RowObservation> {
        self.seen.map(|(version, since)| RowObservation { version, since })
    }

    /// Takes note of the row, or of its absence, and of what other VMs saw of it.
    ///
    /// A row that names this daemon was changed by its last write at the
    /// earliest, so the lease counts from when that was sent, and the row is
    /// renewed at once.
    pub fn record_row(
        &mut self,
        row: Option<&CoordinatorRow>,
        heard: Option<RowObservation>,
        now: Time,
    ) {
        let version = row.map_or(0, |row| row.version);
        let mine = row.is_some_and(|row| {
            row.holder.as_ref() == Some(&self.vm) && row.incarnation == self.incarnation
        });
        if mine {
            let token = self.held.map_or(FencingToken::new(version), |held| held.token);
            self.hold(token, version, self.sent, now);
            self.due = now;
            return;
        }
        self.held = None;
        self.free = row.is_none_or(|row| row.holder.is_none());
        if self.seen.is_none_or(|(seen, _)| seen != version) {
            let heard = heard.filter(|heard| heard.version == version);
            // The holder may have been unable to renew the row until now.
            let since = heard.map_or(now, |heard| heard.since.max(now - (LEASE_DURATION - RETURN)));
            self.seen = Some((version, since));
        }
        self.due = if self.free { now } else { now + LOOK };
    }

    /// Takes note of a write that succeeded with `version`.
    pub fn record_write(&mut self, version: u64, asked: Time, now: Time) {
        let token = self.held.map_or(FencingToken::new(version), |held| held.token);
        self.hold(token, version, asked, now);
    }

    /// Takes note of a write that found another version.
    pub fn record_conflict(&mut self, now: Time) {
        self.held = None;
        self.seen = None;
        self.due = now;
    }

    /// Takes note of a call without an answer or that was turned away.
    ///
    /// After a write that may have been done the row is read again, since
    /// [`CoordinatorLease::next_step`] forgets it with the write. A row that is found unchanged after
    /// looks that failed was not renewed meanwhile; its holder, who could not either,
    /// gets some time for it.
    pub fn record_failure(&mut self, now: Time) {
        self.due = now + PAUSE;
        if let Some((_, since)) = &mut self.seen {
            *since = (*since).max(now - (LEASE_DURATION - RETURN));
        }
    }

    /// Takes note that an order was refused since another holder had a newer
    /// token: this one stays quiet until it takes the duty anew.
    pub fn record_refusal(&mut self, now: Time) {
        self.record_conflict(now);
        self.due = now + LOOK;
    }

    fn hold(&mut self, token: FencingToken, version: u64, asked: Time, now: Time) {
        self.held = Some(Held { token, until: asked + (LEASE_DURATION - MARGIN), version });
        self.due = now + RENEWAL;
    }
}
