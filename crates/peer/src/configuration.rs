//! Accepted configurations on their way between VMs.

/// Asks for a configuration newer than the one held.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigurationAsk {
    /// Version held, or 0 for none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Content hash of the configuration held.
    #[prost(bytes = "bytes", tag = "2")]
    pub hash: bytes::Bytes,
}

/// Answers with a configuration or with the difference to it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigurationAnswer {
    /// Version of the answer; not newer than the asked one when there is none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Version that a difference starts from, or 0 for a whole configuration.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Content hash of the resulting configuration.
    #[prost(bytes = "bytes", tag = "3")]
    pub hash: bytes::Bytes,
    /// The configuration or the difference, as JSON.
    #[prost(bytes = "bytes", tag = "4")]
    pub json: bytes::Bytes,
    /// Milliseconds since the sender knew that the version was the newest; none
    /// when it never did.
    #[prost(uint64, optional, tag = "5")]
    pub age_ms: Option<u64>,
}
