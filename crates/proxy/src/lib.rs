/*!
The chicoryhollow daemon as a library.

# Guided tour

Every VM runs the same daemon. A request passes through these modules:

* [`entry`] accepts callers, checks their key, classes their statements and
  chooses a backend server,
* [`stream`] carries the statements to the home of that server, in this daemon
  or over [`peers`] in another one,
* [`home`] holds the pooled connections to the servers that this VM is in
  charge of, runs the statements and waits until writes are confirmed.

Beside the requests, these keep what the daemon knows up to date:

* [`configuration`] follows the accepted configuration,
* [`members`] follows the list of VMs and places roles on them,
* [`groups`] follows the primaries of the database groups,
* [`shares`] admits requests within the rates of their accounts,
* [`admin`] answers operators over HTTP.

All of it hangs together in one [`Node`](node::Node). The choices themselves
are made by `chicoryhollow-core`.
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
