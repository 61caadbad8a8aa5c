/*!
The session engine: a daemon for database groups whose servers speak for
themselves.

The engine serves callers of any statement protocol in front of servers that
report terms and positions, acknowledge a commit once one replica has received
it, and are promoted by a call to a directory. What is peculiar to a protocol or
a directory stays behind three seams.

# Guided tour

* [`seam`] has the traits that an adapter implements: callers, backend servers
  and the directory.
* [`statement`] has statements and answers free of any wire protocol.
* [`catalog`] has the configuration and the registered servers.
* [`daemon`] composes an adapter with the engine and runs it.
* [`settings`], [`log`] and [`metrics`] are what operators see.

Inside, `session` follows one caller, `attempt` brings one statement to a server,
`pool` keeps connections and `loan` lends them to other VMs, `group` holds what is believed of one database group,
`fleet` talks with the other VMs, `relay` passes the directory's documents on, `admission` holds accounts to their rates, and
`duty` and `watch` replace primaries. The decisions themselves are in
`chicoryhollow_core`: `freshness`, `route`, `failover`, `coordinator`, `allowance`.

One thread runs everything, so state is shared through `Rc` and `RefCell`, and no
borrow is held across an await.
*/

mod admission;
mod attempt;
pub mod catalog;
mod clock;
pub mod daemon;
mod duty;
mod engine;
mod fleet;
mod group;
mod loan;
pub mod log;
pub mod metrics;
mod pool;
mod relay;
pub mod seam;
mod session;
pub mod settings;
pub mod statement;
mod watch;
