//! Prepared statements of one session.

use std::collections::HashMap;

use bytes::Bytes;
use pgwire::messages::extendedquery::Parse;

use super::classify::{Class, classify};
use crate::{stream::Prepare, wire};

/// A statement that the caller prepared.
#[derive(Clone)]
pub(crate) struct Statement {
    /// Name on backend connections.
    pub(crate) name: String,
    /// Encoded `Parse` under that name.
    pub(crate) parse: Bytes,
    /// What the statement does.
    pub(crate) class: Class,
}

impl Statement {
    /// Makes a statement of a caller's `Parse`.
    ///
    /// The name on backend connections is derived from the text and the types,
    /// so that sessions share what is already prepared there.
    pub(crate) fn new(parse: &Parse) -> Self {
        let mut text = parse.query.clone().into_bytes();
        text.push(0);
        parse.type_oids.iter().for_each(|oid| text.extend_from_slice(&oid.to_be_bytes()));
        let name = format!("s{:032x}", xxhash_rust::xxh3::xxh3_128(&text));
        let renamed = Parse::new(Some(name.clone()), parse.query.clone(), parse.type_oids.clone());
        Statement { name, parse: wire::encode(&renamed), class: classify(&parse.query) }
    }

    /// Returns what the home needs to prepare the statement.
    pub(crate) fn prepare(&self) -> Prepare {
        Prepare { name: self.name.clone(), parse: self.parse.clone() }
    }
}

/// Prepared statements by the caller's names; the empty name is the unnamed one.
pub(crate) type Statements = HashMap<String, Statement>;
