//! Shares of an account's rate and burst on their way between VMs.

/// Asks the keeper of a data centre's part for a slice.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShareAsk {
    /// Name of the account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Number of the request, repeated by the grant.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Requests a second for which a share is wanted.
    #[prost(double, tag = "3")]
    pub demand: f64,
    /// Share of the rate held of this keeper, in millionths.
    #[prost(uint32, tag = "4")]
    pub held_rate: u32,
    /// Share of the burst held of this keeper, in millionths.
    #[prost(uint32, tag = "7")]
    pub held_room: u32,
    /// Tokens wanted at once, in thousandths of a request.
    #[prost(uint64, tag = "8")]
    pub wanted_milli: u64,
    /// Tokens given back, in thousandths of a request.
    #[prost(uint64, tag = "9")]
    pub returned_milli: u64,
    /// Whether the asking VM is in the keeper's data centre.
    #[prost(bool, tag = "10")]
    pub local: bool,
    /// Incarnation of the asking daemon.
    #[prost(fixed64, tag = "11")]
    pub incarnation: u64,
    /// Incarnation of the keeper that is asked.
    #[prost(fixed64, tag = "12")]
    pub keeper: u64,
    /// Data centre whose part is asked for.
    #[prost(string, tag = "13")]
    pub data_centre: String,
}

/// Grants a slice under a lease counted from when the holder asked.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShareGrant {
    /// Name of the account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Number of the request.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Share of the rate held from now on, in millionths.
    #[prost(uint32, tag = "3")]
    pub rate: u32,
    /// Tokens handed over on top, in thousandths of a request.
    #[prost(uint64, tag = "4")]
    pub tokens_milli: u64,
    /// Length of the lease in milliseconds.
    #[prost(uint32, tag = "5")]
    pub lease_ms: u32,
    /// Share of the burst held from now on, in millionths.
    #[prost(uint32, tag = "6")]
    pub room: u32,
    /// Whether the keeper has room for tokens that the holder can spare.
    #[prost(bool, tag = "7")]
    pub wants_tokens: bool,
    /// Incarnation of the keeper.
    #[prost(fixed64, tag = "8")]
    pub keeper: u64,
    /// Data centre whose part the slice is of.
    #[prost(string, tag = "9")]
    pub data_centre: String,
}

/// Asks who keeps the parts of the accounts of one slot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotAsk {
    /// Number of the slot.
    #[prost(uint64, tag = "1")]
    pub slot: u64,
    /// Version of the row that the asking VM knows, or 0 for none.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// Answers with a newer row of a slot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SlotAnswer {
    /// Number of the slot.
    #[prost(uint64, tag = "1")]
    pub slot: u64,
    /// Version of the row.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// What the row holds, as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub json: bytes::Bytes,
}
