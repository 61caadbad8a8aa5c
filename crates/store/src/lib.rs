/*!
Access to the platform's table service, object store and list of VMs.

# Guided tour

* [`Platform`] is the trait through which the rest of the workspace accesses
  the platform.
* [`HttpPlatform`] implements it over HTTP and JSON:
  * `GET /table/KEY` returns `{"version": N, "value": V}` or 404,
  * `PUT /table/KEY` takes `{"expect": N, "value": V}`, where `expect` 0 means
    that the row must not exist; it returns 200 with the new row, or 409 with
    the current one,
  * `GET /objects/NAME` and `PUT /objects/NAME` read and write bytes,
  * `GET /vms` returns a list of [`Vm`]; if the answer has an `ETag`, the next
    request repeats it in `If-None-Match`, and 304 means that the list has not
    changed.

* [`Roster`] is the list of VMs that one VM passes on to others.

A write that fails with [`PlatformError::Unavailable`] may have taken effect:
the answer can be lost after the change. Callers read the row again to find
out.
*/

pub mod body;
mod http;
mod roster;

use std::{future::Future, net::SocketAddr};

use chicoryhollow_core::prelude::*;
use serde::{Deserialize, Serialize};

pub use crate::{
    http::HttpPlatform,
    roster::{Roster, RosterError, Update},
};

/// A row of the table service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Number of changes of the row so far; 1 when it is created.
    pub version: u64,
    /// Content of the row.
    pub value: serde_json::Value,
}

/// The result of a compare-and-swap of a row.
#[derive(Clone, Debug, PartialEq)]
pub enum Swap {
    /// The row was written; this is its new version and value.
    Done(Row),
    /// The row had another version, so nothing was written; this is the current
    /// row, or `None` if it does not exist.
    Conflict(Option<Row>),
}

/// Whether a VM accepts new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM runs and accepts new work.
    Live,
    /// The VM is about to be stopped and accepts no new work.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Address on which it accepts other VMs.
    pub peers: SocketAddr,
    /// Address on which it accepts operators.
    pub admin: SocketAddr,
    /// Whether it accepts new work.
    pub state: VmState,
}

/// Reads and writes rows and objects of the platform, and lists its VMs.
pub trait Platform {
    /// Reads a row; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time or breaks the protocol.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, PlatformError>>;

    /// Writes a row if its version is still `expect`; 0 means that it must not
    /// exist.
    ///
    /// # Errors
    ///
    /// Fails if no usable answer arrives; the write may have taken effect.
    fn swap(
        &self,
        key: &str,
        expect: u64,
        value: serde_json::Value,
    ) -> impl Future<Output = Result<Swap, PlatformError>>;

    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time or breaks the protocol.
    fn object(&self, name: &str) -> impl Future<Output = Result<Option<Vec<u8>>, PlatformError>>;

    /// Stores an object under a name that is never used for other bytes.
    ///
    /// # Errors
    ///
    /// Fails if no usable answer arrives. The object may have been stored;
    /// storing it again is harmless, as the bytes are the same.
    fn store(&self, name: &str, bytes: Vec<u8>) -> impl Future<Output = Result<(), PlatformError>>;

    /// Lists the VMs; the list may be out of date.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time or breaks the protocol.
    fn vms(&self) -> impl Future<Output = Result<Vec<Vm>, PlatformError>>;
}

/// Why a request to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PlatformError {
    /// No answer arrived, or the platform reported a failure of its own (status
    /// 5xx); a write may have taken effect.
    #[error("the platform did not answer: {0}")]
    Unavailable(String),
    /// The answer breaks the protocol.
    #[error("the platform answered {0}")]
    Protocol(String),
}
