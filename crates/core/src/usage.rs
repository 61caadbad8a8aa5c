//! Usage reports: how many operations of each account the backend servers ran, for each
//! window of true time.
//!
//! Every VM counts the operations that it sent ([`Counter`]) by its monotonic clock, which an
//! [`Offset`] converts to true time. A few VMs of each data centre add the counts of its VMs
//! up ([`Collector`]). The holder of the failover coordinator's role merges these sums
//! ([`Sums`]) and decides what is reported for each window ([`Ledger`]).
//!
//! All counts are totals that only grow, so a message that is repeated, lost or overtaken
//! does no harm.

mod clock;
mod collector;
mod counter;
mod ledger;
mod tenure;
mod totals;
mod window;

pub use self::{
    clock::{Offset, OffsetSamples, Quantiles},
    collector::{Collector, Sender},
    counter::Counter,
    ledger::{DecidedWindow, Ledger, LedgerRow, Restore, Step},
    tenure::Tenure,
    totals::{Book, BookAccount, Change, Changes, Sums, Totals},
    window::{Schedule, TrueTime, WindowId},
};

/// Maximum number of windows for which counts are kept.
pub const MAX_WINDOWS: u64 = 64;
