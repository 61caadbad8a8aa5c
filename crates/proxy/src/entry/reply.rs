//! Answers to statements that need no backend server.

use bytes::{BufMut, BytesMut};
use pgwire::messages::{
    data::{DataRow, FieldDescription, NoData, ParameterDescription, RowDescription},
    extendedquery::{BindComplete, CloseComplete, ParseComplete},
    response::CommandComplete,
};

use super::{batch::ItemKind, handshake::SESSION_PARAMETER};
use crate::wire;

/// Object identifier of the type `text`.
const TEXT_OID: u32 = 25;

/// The result of a statement that is answered without a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Reply {
    /// Only a command tag.
    Tag(&'static str),
    /// One row with the session token.
    Session(String),
}

impl Reply {
    /// Encodes the answer to one message of the batch that runs the statement.
    pub(crate) fn encode(&self, kind: ItemKind, output: &mut BytesMut) {
        match kind {
            ItemKind::Parse => output.extend_from_slice(&wire::encode(&ParseComplete::new())),
            ItemKind::Bind => output.extend_from_slice(&wire::encode(&BindComplete::new())),
            ItemKind::ClosePortal | ItemKind::CloseStatement => {
                output.extend_from_slice(&wire::encode(&CloseComplete::new()));
            }
            ItemKind::DescribeStatement => {
                let parameters = ParameterDescription::new(Vec::new());
                output.extend_from_slice(&wire::encode(&parameters));
                self.describe(output);
            }
            ItemKind::DescribePortal => self.describe(output),
            ItemKind::Execute => self.run(output),
            ItemKind::Query => {
                if let Reply::Session(_) = self {
                    self.describe(output);
                }
                self.run(output);
            }
        }
    }

    fn describe(&self, output: &mut BytesMut) {
        let Reply::Session(_) = self else {
            output.extend_from_slice(&wire::encode(&NoData::new()));
            return;
        };
        let name = SESSION_PARAMETER.to_owned();
        let field = FieldDescription::new(name, 0, 0, TEXT_OID, -1, -1, 0);
        output.extend_from_slice(&wire::encode(&RowDescription::new(vec![field])));
    }

    fn run(&self, output: &mut BytesMut) {
        let tag = match self {
            Reply::Tag(tag) => *tag,
            Reply::Session(token) => {
                let mut data = BytesMut::new();
                data.put_i32(i32::try_from(token.len()).unwrap_or(i32::MAX));
                data.put_slice(token.as_bytes());
                output.extend_from_slice(&wire::encode(&DataRow::new(data, 1)));
                "SHOW"
            }
        };
        output.extend_from_slice(&wire::encode(&CommandComplete::new(tag.to_owned())));
    }
}
