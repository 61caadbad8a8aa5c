//! Messages that relay accepted configurations from one VM to another.

/// Asks for a configuration newer than the one that the sender holds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigurationAsk {
    /// Version that the sender holds, or 0 for none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Content hash of the configuration that the sender holds. Senders leave it
    /// empty, and receivers ignore it.
    #[prost(bytes = "bytes", tag = "2")]
    pub hash: bytes::Bytes,
}

/// Answers a [`ConfigurationAsk`] with a configuration or with the difference
/// from an earlier one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigurationAnswer {
    /// Version of the resulting configuration. It is not newer than the version
    /// in the request if the sender has no newer one.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Version that the difference applies to, or 0 for a whole configuration.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Content hash of the resulting configuration.
    #[prost(bytes = "bytes", tag = "3")]
    pub hash: bytes::Bytes,
    /// The configuration or the difference, as JSON.
    #[prost(bytes = "bytes", tag = "4")]
    pub json: bytes::Bytes,
    /// Milliseconds since the sender last knew that the version was the newest.
    /// Missing if it never knew.
    #[prost(uint64, optional, tag = "5")]
    pub age_ms: Option<u64>,
}
