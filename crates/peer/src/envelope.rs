//! The envelope around every message between VMs.

use prost::Message as _;

use crate::{configuration, fleet, group, member, share, stream, usage};

/// A message between two VMs.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// Content of the message. `None` if only a later version of the daemon knows
    /// this kind of message.
    #[prost(
        oneof = "Body",
        tags = "1, 2, 3, 4, 5, 6, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 30, 31, 33, 34, 40, 41, 50, 51, 52, 53, 54, 55, 56, 57, 58, 59, 60, 61, 62, 70, 71, 72, 73"
    )]
    pub body: Option<Body>,
}

impl Envelope {
    /// Wraps `body`.
    pub fn new(body: Body) -> Self {
        Envelope { body: Some(body) }
    }

    /// Returns the encoded size of a control message in bytes, or 0 for a message
    /// that belongs to a caller's stream.
    pub fn control_bytes(&self) -> usize {
        match &self.body {
            Some(body) if body.is_control() => self.encoded_len(),
            _ => 0,
        }
    }
}

/// Content of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First message of a connection, in both directions.
    #[prost(message, tag = "1")]
    Hello(member::Hello),
    /// Checks whether the other VM is alive.
    #[prost(message, tag = "2")]
    Ping(member::Ping),
    /// Answers a ping.
    #[prost(message, tag = "3")]
    Pong(member::Pong),
    /// Forwards a caller's request to cancel a statement.
    #[prost(message, tag = "4")]
    Cancel(member::Cancel),
    /// Asks for the list of VMs.
    #[prost(message, tag = "5")]
    MembersAsk(member::MembersAsk),
    /// Answers with the list of VMs.
    #[prost(message, tag = "6")]
    MembersAnswer(member::MembersAnswer),
    /// Opens a stream to the home of a backend server.
    #[prost(message, tag = "10")]
    Open(stream::Open),
    /// Statements of one batch, from the entry to the home.
    #[prost(message, tag = "11")]
    Batch(stream::Batch),
    /// Part of an answer, from the home to the entry.
    #[prost(message, tag = "12")]
    Answer(stream::Answer),
    /// End of the answer to one batch.
    #[prost(message, tag = "13")]
    Ready(stream::Ready),
    /// Allows the home to send more of an answer.
    #[prost(message, tag = "14")]
    Credit(stream::Credit),
    /// Ends a stream. Either side sends it.
    #[prost(message, tag = "15")]
    Close(stream::Close),
    /// Cancels the statement that is running on a stream.
    #[prost(message, tag = "16")]
    Interrupt(stream::Interrupt),
    /// Reports the transaction that is about to run to the entry.
    #[prost(message, tag = "17")]
    Noted(stream::Noted),
    /// Asks for the outcome of a batch after the connection was lost.
    #[prost(message, tag = "18")]
    Inquiry(stream::Inquiry),
    /// Answers an [`Inquiry`](stream::Inquiry).
    #[prost(message, tag = "19")]
    Finding(stream::Finding),
    /// Asks for the view of a group, immediately and after every change.
    #[prost(message, tag = "20")]
    Subscribe(group::Subscribe),
    /// The view of a group.
    #[prost(message, tag = "21")]
    View(group::View),
    /// What one watcher observes of a group's servers.
    #[prost(message, tag = "22")]
    Observation(group::Observation),
    /// Reports to a watcher that requests to the primary fail.
    #[prost(message, tag = "23")]
    Suspect(group::Suspect),
    /// Asks the keeper of a part of an account for a slice.
    #[prost(message, tag = "30")]
    ShareAsk(share::ShareAsk),
    /// Grants a slice under a lease.
    #[prost(message, tag = "31")]
    ShareGrant(share::ShareGrant),
    /// Asks for the keepers of the accounts of one slot.
    #[prost(message, tag = "33")]
    SlotAsk(share::SlotAsk),
    /// Answers with the keepers of the accounts of one slot.
    #[prost(message, tag = "34")]
    SlotAnswer(share::SlotAnswer),
    /// Asks for a configuration newer than the one that the sender holds.
    #[prost(message, tag = "40")]
    ConfigurationAsk(configuration::ConfigurationAsk),
    /// Answers with a configuration or with the difference from an earlier one.
    #[prost(message, tag = "41")]
    ConfigurationAnswer(configuration::ConfigurationAnswer),
    /// A heartbeat with what the sender knows.
    #[prost(message, tag = "50")]
    Beat(fleet::Beat),
    /// Asks for tokens of an account's rate.
    #[prost(message, tag = "51")]
    TokenAsk(fleet::TokenAsk),
    /// Hands tokens over.
    #[prost(message, tag = "52")]
    TokenGrant(fleet::TokenGrant),
    /// A document of the directory.
    #[prost(message, tag = "53")]
    Document(fleet::Document),
    /// Asks for a forwarded connection to a backend server.
    #[prost(message, tag = "54")]
    LeaseOpen(fleet::LeaseOpen),
    /// Reports whether a forwarded connection was opened or prepared.
    #[prost(message, tag = "55")]
    LeaseState(fleet::LeaseState),
    /// Prepares a forwarded connection.
    #[prost(message, tag = "56")]
    LeasePrepare(fleet::LeasePrepare),
    /// Runs a command on a forwarded connection.
    #[prost(message, tag = "57")]
    LeaseCommand(fleet::LeaseCommand),
    /// Answers a [`LeaseCommand`](fleet::LeaseCommand).
    #[prost(message, tag = "58")]
    LeaseAnswer(fleet::LeaseAnswer),
    /// Ends the use of a forwarded connection.
    #[prost(message, tag = "59")]
    LeaseEnd(fleet::LeaseEnd),
    /// Asks for a document of the directory.
    #[prost(message, tag = "60")]
    DocumentAsk(fleet::DocumentAsk),
    /// Asks whether the receiver knows of a failover of a group.
    #[prost(message, tag = "61")]
    ContactAsk(fleet::ContactAsk),
    /// Answers a [`ContactAsk`](fleet::ContactAsk).
    #[prost(message, tag = "62")]
    ContactAnswer(fleet::ContactAnswer),
    /// Statements that the sender has counted for usage reports.
    #[prost(message, tag = "70")]
    UsageReport(usage::UsageReport),
    /// Tells the true time.
    #[prost(message, tag = "71")]
    UsageClock(usage::UsageClock),
    /// Asks a collector for its sums.
    #[prost(message, tag = "72")]
    UsageAsk(usage::UsageAsk),
    /// Sums of a collector.
    #[prost(message, tag = "73")]
    UsageSums(usage::UsageSums),
}

impl Body {
    /// Returns the label of the message in metrics. Messages that no session engine
    /// sends share one label.
    pub fn label(&self) -> &'static str {
        match self {
            Body::Beat(_) => "heartbeat",
            Body::Document(_) => "document",
            Body::DocumentAsk(_) => "document_request",
            Body::TokenAsk(_) => "token_request",
            Body::TokenGrant(_) => "token_grant",
            Body::LeaseOpen(_) => "forward_open",
            Body::LeaseState(_) => "forward_state",
            Body::LeasePrepare(_) => "forward_prepare",
            Body::LeaseCommand(_) => "forward_command",
            Body::LeaseAnswer(_) => "forward_answer",
            Body::LeaseEnd(_) => "forward_end",
            Body::ContactAsk(_) => "contact_request",
            Body::ContactAnswer(_) => "contact_answer",
            Body::UsageReport(_) => "usage_report",
            Body::UsageClock(_) => "usage_clock",
            Body::UsageAsk(_) => "usage_request",
            Body::UsageSums(_) => "usage_sums",
            _ => "other",
        }
    }

    /// Returns whether this is a control message, which belongs to no caller's
    /// stream.
    pub fn is_control(&self) -> bool {
        !matches!(
            self,
            Body::Open(_)
                | Body::Batch(_)
                | Body::Answer(_)
                | Body::Ready(_)
                | Body::Credit(_)
                | Body::Close(_)
                | Body::Interrupt(_)
                | Body::Noted(_)
                | Body::Inquiry(_)
                | Body::Finding(_)
        )
    }
}
