/*!
Stand-ins for the systems around the proxy, for tests, demonstrations and
measurements.

# Guided tour

* [`backend`] is a stand-in backend server: the PostgreSQL wire protocol over
  an in-memory SQLite database, with log shipping, fencing and promotion.
* [`platform`] is a stand-in for the platform: table service, object store and
  list of VMs.
* [`fault`] is a TCP proxy that delays, holds or closes connections on demand.
* [`cluster`] starts a whole deployment as real processes.
* [`load`] runs clients that put a deployment under load.
* [`checker`] compares the answers that clients received with the contents of
  the databases.
* [`scenario`] combines faults and load into named runs.
* [`bench`](mod@bench) compares reads through the proxy with direct reads.
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
