/*!
The session engine: the protocol-independent part of a proxy daemon for
replicated database groups.

The engine sits between callers and backend servers. It expects servers that
report their term and log position, acknowledge a commit once one replica has
received it, and are promoted by a call to a directory. The wire protocols and
the directory are supplied by an adapter, which implements the traits of
[`seam`].

# Guided tour

* [`seam`] has the traits that an adapter implements: callers, backend servers
  and the directory.
* [`statement`] has statements and answers, independent of any wire protocol.
* [`catalog`] has the configuration and the registered servers.
* [`daemon`] combines an adapter with the engine and runs it.
* [`linger`] closes connections so that no answer is cut off.
* [`settings`], [`log`] and [`metrics`] are the interfaces to operators.

The private modules do the work:

* `session` serves one caller, and `attempt` runs one statement on a server.
* `pool` keeps this VM's connections to one backend server, for which requests wait
  their `turn`, and `connection`
  forwards statements to connections of another VM.
* `group` holds the current knowledge about one database group.
* `load` measures the load of backend servers at their homes and records their reports.
* `fleet` exchanges messages with the other VMs, and `relay` passes on the
  documents of the directory.
* `confirmation` withholds writes that a failover elsewhere would lose.
* [`budget`] counts the memory that is held for callers.
* `admission` limits each client account to its rate.
* `coordinator` elects the VM that runs failovers, and `watch` detects failed
  primaries and replaces them.
* `usage` counts the statements of each account and has the sums reported.

The decisions themselves are pure functions and state machines in
`chicoryhollow_core`: `freshness`, `route`, `failover`, `coordinator`, `usage` and
`allowance`.

One thread runs everything, so state is shared through `Rc` and `RefCell`. No
borrow is held across an await.
*/

mod admission;
mod attempt;
pub mod budget;
pub mod catalog;
mod clock;
mod confirmation;
mod connection;
mod coordinator;
pub mod daemon;
mod engine;
mod fleet;
mod group;
pub mod linger;
mod load;
pub mod log;
pub mod metrics;
mod overload;
mod pool;
mod relay;
pub mod seam;
mod session;
pub mod settings;
mod single_flight;
pub mod statement;
mod turn;
mod usage;
mod watch;
