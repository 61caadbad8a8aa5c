//! Lease of the failover coordinator, the one VM that replaces failed primaries.
//!
//! A row of the directory names the holder of the lease. A VM takes the row over by a
//! conditional write that succeeds only if the row has not changed. Its fencing tokens are
//! made of the version that its last write gave to the row. Versions come from one counter and
//! never go back, so no two holders ever have the same token.
//!
//! Each order has a token of its own, higher than those of all orders before. An order that got
//! no answer may be carried out late, and is then refused if a newer one was carried out.
//!
//! The holder renews the row. Other VMs take it over if it has not changed for
//! [`LEASE_DURATION`], measured on their own clocks. The holder stops earlier than that
//! and counts from before it sent its last write.
//!
//! Each era of the directory has a row of its own ([`row_key`]): a row that came back from a
//! copy names a holder of long ago, and its version may be given out again. After a restore
//! the last holder may act until its lease expires, so the new row is created only then.
//!
//! The row also has what a later holder must know of failovers ([`FailoverMemory`]).

mod memory;
mod order;
mod record;
mod token;

use std::{cmp::Ordering, time::Duration};

pub use self::{
    memory::{FailoverMemory, FullError, Revision},
    order::{OpenOrder, OrderAnswer},
    record::{FailoverRecord, RecordedOrder, RecordedServer, Roster},
    token::FencingToken,
};

use crate::{
    id::VmId,
    time::Time,
    version::{DirectoryVersion, Era},
};

/// Time without a renewal after which another VM may take over the lease.
pub const LEASE_DURATION: Duration = Duration::from_millis(2_500);

/// How much earlier than other VMs the holder itself considers its lease expired.
const HOLDER_MARGIN: Duration = Duration::from_millis(400);

/// Time between two renewals by the holder.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(800);

/// Time between two reads of the row by a VM that waits for it.
const READ_INTERVAL: Duration = Duration::from_millis(900);

/// Minimum time that the holder gets to renew an unchanged row after this VM first read
/// the row or a call of this VM failed.
const RENEWAL_GRACE: Duration = Duration::from_millis(900);

/// Pause after a call to the directory that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Key of the coordinator's row in a directory that counts no eras.
const FIRST_ROW_KEY: &str = "succession";

/// Returns the key of the coordinator's row in an era of the directory, which is 0 if the
/// directory counts none.
pub fn row_key(era: Era) -> String {
    match era.get() {
        0 => FIRST_ROW_KEY.to_owned(),
        era => format!("{FIRST_ROW_KEY}-{era}"),
    }
}

/// Returns whether this is the key of the coordinator's row in any era.
pub fn is_row_key(key: &str) -> bool {
    let Some(era) = key.strip_prefix(FIRST_ROW_KEY) else { return false };
    era.is_empty() || era.strip_prefix('-').is_some_and(|era| era.parse::<Era>().is_ok())
}

/// The coordinator's row as it was read from the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CoordinatorRow {
    /// The VM that is the coordinator, or `None` after it released the row.
    pub holder: Option<VmId>,
    /// Incarnation of the daemon on that VM.
    pub incarnation: u64,
    /// Version of the row.
    pub version: DirectoryVersion,
}

/// Since when a version of the coordinator's row is known to be unchanged.
///
/// VMs send each other their observations. Thus a VM that has just started to read the row
/// need not wait as if the row had just been written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RowObservation {
    /// Version of the row.
    pub version: DirectoryVersion,
    /// When a VM first read this version.
    pub since: Time,
}

impl RowObservation {
    /// Combines two observations: the newer version, and of equal versions the earlier time.
    pub fn merge(self, other: RowObservation) -> RowObservation {
        match self.version.cmp(&other.version) {
            Ordering::Less => other,
            Ordering::Equal => RowObservation { since: self.since.min(other.since), ..self },
            Ordering::Greater => self,
        }
    }
}

/// What a VM sees of an outage of the directory.
///
/// While nobody can write the row, its holder may act after its lease has lapsed. A VM
/// behind a partition sees the same as one in an outage, except that it misses other VMs,
/// and any of those may have taken the lease over.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::coordinator::Outage;
///
/// let outage = Outage { answered: false, missing_vms: 0, in_contact: true };
/// assert!(outage.keeps_role());
/// assert!(!Outage { missing_vms: 1, ..outage }.keeps_role(), "it may have taken the lease");
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outage {
    /// Whether the directory answers this VM or a linked one.
    pub answered: bool,
    /// VMs that have fallen silent and were not heard again.
    pub missing_vms: usize,
    /// Whether this VM has been in contact with other data centres for a while.
    pub in_contact: bool,
}

impl Outage {
    /// Returns whether the holder of the row may act although its lease has lapsed.
    pub fn keeps_role(&self) -> bool {
        !self.answered && self.missing_vms == 0 && self.in_contact
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Do nothing before this time.
    Wait(Time),
    /// Read the row.
    Read,
    /// Write the row of this version's era if it still has the version. The row must not
    /// exist if the version is the start of its era.
    Write(DirectoryVersion),
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    until: Time,
    version: DirectoryVersion,
}

impl HeldLease {
    fn token(self) -> FencingToken {
        FencingToken::new(self.version)
    }
}

/// A daemon's claim to be the failover coordinator.
#[derive(Clone, Debug)]
pub struct CoordinatorLease {
    vm: VmId,
    incarnation: u64,
    seen: Option<(DirectoryVersion, Time)>,
    is_free: bool,
    held: Option<HeldLease>,
    /// Whether an order was refused since the row was last read.
    is_disputed: bool,
    /// Whether a call failed since the row was last read.
    has_failed: bool,
    /// Until when the directory is not called again after a call that failed.
    paused_until: Time,
    /// Version of the last write that is known to have succeeded, and when it was sent.
    confirmed: Option<(DirectoryVersion, Time)>,
    /// When the first write after that one was sent.
    unconfirmed: Option<Time>,
    due: Time,
    /// Token of the last order.
    ordered: Option<FencingToken>,
}

impl CoordinatorLease {
    /// Creates the claim of the daemon `incarnation` on `vm`. The daemon does not hold the
    /// lease yet.
    pub fn new(vm: VmId, incarnation: u64, now: Time) -> Self {
        CoordinatorLease {
            vm,
            incarnation,
            seen: None,
            is_free: false,
            held: None,
            is_disputed: false,
            has_failed: false,
            paused_until: now,
            confirmed: None,
            unconfirmed: None,
            due: now,
            ordered: None,
        }
    }

    /// Returns the first fencing token of the row as it was last written, or `None` if this VM
    /// does not hold the lease at `now`.
    pub fn token(&self, now: Time) -> Option<FencingToken> {
        self.held.filter(|held| now < held.until).map(HeldLease::token)
    }

    /// Returns the token of the next order of a holder whose lease has the token `held`, or
    /// `None` if no order may be given before the row is renewed.
    pub fn next_order(&mut self, held: FencingToken) -> Option<FencingToken> {
        let next = match self.ordered {
            Some(last) if last >= held => last.next()?,
            _ => held,
        };
        self.ordered = Some(next);
        Some(next)
    }

    /// Returns the token of a lease that may have expired.
    ///
    /// Use this token only while no VM can write the row, because then no other VM can have
    /// taken over the lease.
    pub fn last_token(&self) -> Option<FencingToken> {
        self.held.map(HeldLease::token)
    }

    /// Returns the version of the row if this VM is its holder.
    pub fn version(&self) -> Option<DirectoryVersion> {
        self.held.map(|held| held.version)
    }

    /// Returns whether this VM must read the row itself, even if others read it too, because
    /// an order of it was refused.
    pub fn is_disputed(&self) -> bool {
        self.is_disputed
    }

    /// Returns what to do at `now`.
    pub fn next_step(&mut self, now: Time) -> Step {
        if now < self.due {
            return Step::Wait(self.due);
        }
        match (&self.held, self.seen) {
            (Some(held), _) => {
                self.unconfirmed.get_or_insert(now);
                Step::Write(held.version)
            }
            (None, None) => Step::Read,
            (None, Some((version, since)))
                if self.is_free || now.since(since) >= LEASE_DURATION =>
            {
                // If the write finds that the row has changed, the row is read again.
                self.seen = None;
                self.unconfirmed.get_or_insert(now);
                Step::Write(version)
            }
            (None, Some(_)) => Step::Read,
        }
    }

    /// Returns the version that the row must have for a write before its next renewal, or `None`
    /// if this VM does not hold the lease or the directory has just failed.
    ///
    /// The outcome is recorded like that of a renewal.
    pub fn begin_write(&mut self, now: Time) -> Option<DirectoryVersion> {
        let held = self.held.filter(|_| now >= self.paused_until)?;
        self.unconfirmed.get_or_insert(now);
        Some(held.version)
    }

    /// Returns whether this daemon wrote the row.
    pub fn is_own(&self, row: &CoordinatorRow) -> bool {
        row.holder.as_ref() == Some(&self.vm) && row.incarnation == self.incarnation
    }

    /// Returns since when this VM knows the row to be unchanged.
    pub fn observation(&self) -> Option<RowObservation> {
        self.seen.map(|(version, since)| RowObservation { version, since })
    }

    /// Records the row that was read in `era`, `None` if it does not exist, and the
    /// observation received from other VMs.
    ///
    /// A row that names this daemon counts from the time at which the write of its version
    /// was sent. If that is not known, it may be any write after the last one that is known
    /// to have succeeded. The row is renewed at once.
    pub fn record_row(
        &mut self,
        row: Option<&CoordinatorRow>,
        era: Era,
        received: Option<RowObservation>,
        now: Time,
    ) {
        self.is_disputed = false;
        let version = row.map_or(DirectoryVersion::start_of(era), |row| row.version);
        if row.is_some_and(|row| self.is_own(row)) {
            let confirmed = self.confirmed.filter(|(confirmed, _)| *confirmed == version);
            let sent = confirmed.map(|(_, sent)| sent).or(self.unconfirmed);
            self.hold(version, sent.unwrap_or_default(), now);
            self.due = now;
            return;
        }
        self.held = None;
        self.is_free = match row {
            Some(row) => row.holder.is_none(),
            // There may be a holder of the era before, whose row this is not.
            None => era == Era::default(),
        };
        if self.seen.is_none_or(|(seen, _)| seen != version) {
            let received = received.filter(|received| received.version == version);
            // The holder may have been unable to renew the row until now, so it gets at least
            // `RENEWAL_GRACE` to do so.
            let since = received
                .map_or(now, |received| received.since.max(now - (LEASE_DURATION - RENEWAL_GRACE)));
            self.seen = Some((version, since));
        }
        if std::mem::take(&mut self.has_failed) {
            self.grant_grace(now);
        }
        // The write succeeds only if the row is still unchanged, so it needs no other read.
        let lapse = self.seen.map_or(now, |(_, since)| since + LEASE_DURATION);
        self.due = if self.is_free { now } else { lapse.max(now).min(now + READ_INTERVAL) };
    }

    /// Records a write that was sent at `asked` and succeeded with `version`.
    pub fn record_write(&mut self, version: DirectoryVersion, asked: Time, now: Time) {
        self.hold(version, asked, now);
    }

    /// Records a write that failed because the row had another version, or because the
    /// directory came back from a copy.
    pub fn record_conflict(&mut self, now: Time) {
        self.held = None;
        self.seen = None;
        self.due = now;
    }

    /// Records a call to the directory that was not answered or was turned away.
    ///
    /// If the call was a write, the directory may have carried it out. The row is then read
    /// again, because [`CoordinatorLease::next_step`] forgets the row when it returns a write.
    /// If the row is found unchanged after failed reads, its holder has not renewed it
    /// meanwhile, because it could not reach the directory either. The holder therefore gets
    /// some time to renew it.
    pub fn record_failure(&mut self, now: Time) {
        self.due = now + RETRY_PAUSE;
        self.paused_until = self.due;
        self.has_failed = true;
        self.grant_grace(now);
    }

    /// Gives the holder of the row at least [`RENEWAL_GRACE`] to renew it.
    fn grant_grace(&mut self, now: Time) {
        if let Some((_, since)) = &mut self.seen {
            *since = (*since).max(now - (LEASE_DURATION - RENEWAL_GRACE));
        }
    }

    /// Records that an order was refused, either because another holder has a newer token
    /// or because of the order itself.
    ///
    /// The row tells which. It is read at once, and this VM gives no orders until the row
    /// was found to name it.
    pub fn record_refusal(&mut self, now: Time) {
        self.record_conflict(now);
        self.is_disputed = true;
    }

    fn hold(&mut self, version: DirectoryVersion, asked: Time, now: Time) {
        self.confirmed = Some((version, asked));
        self.unconfirmed = None;
        self.held = Some(HeldLease { until: asked + (LEASE_DURATION - HOLDER_MARGIN), version });
        // Counted from before the write, so that a lease does not lapse while writes are slow.
        self.due = (asked + RENEWAL_INTERVAL).max(now);
    }
}
