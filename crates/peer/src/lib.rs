/*!
The protocol between VMs.

# Guided tour

A VM keeps at most one TCP connection to each other VM, which it dials when it
needs it. Every message is an [`Envelope`], which is encoded by `prost` and
prefixed with its length by [`EnvelopeCodec`]. The *entry* is the VM that a
caller is connected to. The *home* of a backend server is a VM that owns pooled
connections to it. The messages are grouped by purpose:

* [`member`] introduces a VM, checks that it is alive and relays the list of VMs,
* [`stream`] carries one caller's statements from the entry to the home of a
  backend server and the answers back,
* [`group`] carries what watchers know of a database group,
* [`share`] leases slices of an account's rate and burst to VMs,
* [`configuration`] relays accepted configurations,
* [`fleet`] carries heartbeats, documents of the directory, tokens and forwarded
  connections between VMs that run the session engine; [`packed`] compresses the
  documents,
* [`usage`] carries the counts of usage reports.

A field number is never reused for another meaning, and unknown fields are
ignored, so that daemons of adjacent versions understand each other.
*/

pub mod codec;
pub mod configuration;
pub mod envelope;
pub mod fleet;
pub mod group;
pub mod member;
pub mod packed;
pub mod share;
pub mod stream;
pub mod usage;

pub use crate::{
    codec::{CodecError, EnvelopeCodec},
    envelope::{Body, Envelope},
};
pub use prost::Message;
