//! Shares of an account's rate on their way between VMs.

/// Asks the keeper of an account for a share.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShareAsk {
    /// Name of the account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Number of the request, repeated by the grant.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Requests a second that callers lately sent to the asking VM.
    #[prost(double, tag = "3")]
    pub demand: f64,
    /// Share that the asking VM still holds, in millionths of the account.
    #[prost(uint32, tag = "4")]
    pub held_ppm: u32,
    /// Milliseconds for which that share is still valid.
    #[prost(uint32, tag = "5")]
    pub valid_ms: u32,
    /// Whether a keeper asks on behalf of its data centre.
    #[prost(bool, tag = "6")]
    pub keeper: bool,
}

/// Grants a share under a lease counted from when the holder asked.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShareGrant {
    /// Name of the account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Number of the request.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Whole share held from now on, in millionths of the account.
    #[prost(uint32, tag = "3")]
    pub share_ppm: u32,
    /// Tokens handed over on top, in thousandths of a request.
    #[prost(uint64, tag = "4")]
    pub tokens_milli: u64,
    /// Length of the lease in milliseconds.
    #[prost(uint32, tag = "5")]
    pub lease_ms: u32,
}

/// Gives a share back to the keeper.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShareReturn {
    /// Name of the account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Number of the grant that is returned.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Share returned, in millionths of the account.
    #[prost(uint32, tag = "3")]
    pub share_ppm: u32,
    /// Tokens returned, in thousandths of a request.
    #[prost(uint64, tag = "4")]
    pub tokens_milli: u64,
}
