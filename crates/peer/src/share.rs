//! Messages that lease slices of an account's rate and burst to VMs.
//!
//! A keeper is the VM that owns one data centre's part of an account's token
//! bucket. It leases slices of the part to the VMs that serve the account.
//! Accounts are grouped into slots, and a row for each slot names the keepers.

/// Asks the keeper of a data centre's part of an account for a slice.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShareAsk {
    /// Name of the client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Number of the request, repeated in the grant.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Requests per second for which the sender wants a share of the rate.
    #[prost(double, tag = "3")]
    pub demand: f64,
    /// Share of the rate that the sender holds from this keeper, in millionths.
    #[prost(uint32, tag = "4")]
    pub held_rate: u32,
    /// Share of the burst (capacity) that the sender holds from this keeper, in
    /// millionths.
    #[prost(uint32, tag = "7")]
    pub held_room: u32,
    /// Tokens wanted immediately, in thousandths of a request.
    #[prost(uint64, tag = "8")]
    pub wanted_milli: u64,
    /// Tokens returned to the keeper, in thousandths of a request.
    #[prost(uint64, tag = "9")]
    pub returned_milli: u64,
    /// Whether the sender is in the keeper's data centre.
    #[prost(bool, tag = "10")]
    pub local: bool,
    /// Incarnation of the sending daemon.
    #[prost(fixed64, tag = "11")]
    pub incarnation: u64,
    /// Incarnation of the keeper's daemon that the request is for.
    #[prost(fixed64, tag = "12")]
    pub keeper: u64,
    /// Data centre that the part belongs to.
    #[prost(string, tag = "13")]
    pub data_centre: String,
}

/// Grants a slice under a lease. The duration of the lease counts from the time at
/// which the receiver sent its request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShareGrant {
    /// Name of the client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Number of the request that is answered.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Share of the rate that the receiver holds from now on, in millionths.
    #[prost(uint32, tag = "3")]
    pub rate: u32,
    /// Tokens handed over in addition, in thousandths of a request.
    #[prost(uint64, tag = "4")]
    pub tokens_milli: u64,
    /// Duration of the lease in milliseconds.
    #[prost(uint32, tag = "5")]
    pub lease_ms: u32,
    /// Share of the burst (capacity) that the receiver holds from now on, in
    /// millionths.
    #[prost(uint32, tag = "6")]
    pub room: u32,
    /// Whether the keeper accepts tokens that the receiver can spare.
    #[prost(bool, tag = "7")]
    pub wants_tokens: bool,
    /// Incarnation of the keeper's daemon.
    #[prost(fixed64, tag = "8")]
    pub keeper: u64,
    /// Data centre that the part belongs to.
    #[prost(string, tag = "9")]
    pub data_centre: String,
}

/// Asks for the keepers of the accounts of one slot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotAsk {
    /// Number of the slot.
    #[prost(uint64, tag = "1")]
    pub slot: u64,
    /// Version of the row that the sender knows, or 0 for none.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// Answers a [`SlotAsk`] with a newer version of the slot's row.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotAnswer {
    /// Number of the slot.
    #[prost(uint64, tag = "1")]
    pub slot: u64,
    /// Version of the row.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Content of the row, as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub json: bytes::Bytes,
}
