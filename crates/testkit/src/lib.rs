/*!
Stand-ins of the systems that the proxy meets, for tests, demonstrations and
measurements.

# Guided tour

* [`backend`] is a backend server: PostgreSQL wire protocol over in-memory
  SQLite, with log shipping, fencing and promotion.
* [`platform`] is the platform: table service, object store and list of VMs.
* [`fault`] is a TCP proxy whose links can be delayed and cut.
* [`cluster`] brings up a whole deployment as real processes.
* [`load`] has the clients that put a deployment under load.
* [`checker`] compares what clients were told with what the databases hold.
* [`scenario`] puts faults and load together into named runs.
* [`bench`] compares reads through the proxy with direct ones.
* [`slopes`] measures how a daemon's costs grow with one count at a time.
*/

pub mod backend;
pub mod bench;
pub mod checker;
pub mod cluster;
pub mod fault;
pub mod load;
pub mod platform;
mod runtime;
pub mod scenario;
pub mod slopes;

pub use crate::runtime::run;
