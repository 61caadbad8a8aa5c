//! Model of one database group, its failover and its callers, driven by the real decisions.
//!
//! Time passes in ticks. Without an [`Event`], everything works: calls arrive at once, replicas
//! receive each commit in the next tick, and callers write all the time. The searches choose
//! which events happen, and when. A world and its events determine all that follows.

pub(crate) mod calls;
pub(crate) mod cleanup;
pub(crate) mod contact;
pub(crate) mod directory;
pub(crate) mod event;
pub(crate) mod execution;
pub(crate) mod group_view;
pub(crate) mod network;
pub(crate) mod platform;
pub(crate) mod role;
pub(crate) mod row;
pub(crate) mod search;
pub(crate) mod server;
pub(crate) mod told;
pub(crate) mod vm;
pub(crate) mod watch;
pub(crate) mod world;

use chicoryhollow_core::Time;

/// Milliseconds of a tick.
pub(crate) const TICK_MS: u32 = 100;

/// Number of servers of the group, of which the last two start in the course of a run.
pub(crate) const SERVERS: usize = 5;

/// Number of servers that run at the start.
pub(crate) const FIRST_SERVERS: usize = 3;

/// Number of data centres.
pub(crate) const CENTRES: usize = 2;

/// Number of VMs, unless a search needs more. VMs are in the data centres in turn.
pub(crate) const VMS: usize = 2;

const NAMES: [&str; SERVERS] = ["p", "r", "q", "n", "m"];

/// Returns the name of a server.
pub(crate) fn name(server: usize) -> &'static str {
    NAMES[server]
}

/// Returns the server with this name.
pub(crate) fn index(server: &str) -> usize {
    NAMES.iter().position(|name| *name == server).expect("a name of the model")
}

/// Returns the time of a tick.
pub(crate) fn time(tick: u32) -> Time {
    Time::from_millis(u64::from(tick * TICK_MS))
}

/// Returns the number of ticks in this many milliseconds.
pub(crate) const fn ticks(ms: u32) -> u32 {
    ms / TICK_MS
}
