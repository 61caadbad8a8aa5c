/*!
The chicoryhollow daemon as a library.

Chicoryhollow is a proxy for groups of replicated databases that speaks the
PostgreSQL protocol. It sends each statement to a backend server that is fresh
enough for the caller's session: a read always shows what the session has written
or read before.

# Guided tour

Every VM runs the same daemon. A request passes through these modules:

* [`entry`] accepts callers, checks their keys, analyses their statements and
  chooses a backend server.
* [`stream`] carries the statements to the home of that server, which is the VM
  that owns the pooled connections to it. The home may be this daemon or another
  one, which is reached through [`peers`].
* [`home`] runs the statements on its pooled connections and waits until writes
  are confirmed.

Other modules keep the state of the daemon up to date:

* [`configuration`] follows the accepted configuration.
* [`members`] holds the list of VMs and assigns homes to them.
* [`groups`] holds the current view of each database group, and [`watch`] detects
  and replaces failed primaries.
* [`shares`] admits requests within the rates of their accounts.
* [`admin`] serves health checks, metrics and status over HTTP.
* [`events`] and [`metrics`] define what the daemon logs and counts.

The modules share their state in one [`Node`](node::Node). [`daemon`] starts and
stops them. Decisions that need no input or output are made by
`chicoryhollow-core`.
*/

pub mod admin;
pub mod clock;
pub mod configuration;
pub mod daemon;
pub mod entry;
pub mod events;
pub mod groups;
pub mod home;
pub mod members;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod shares;
pub mod stream;
pub mod watch;
pub mod wire;
