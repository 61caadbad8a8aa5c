//! Prepared statements of one session.

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;
use pgwire::messages::extendedquery::Parse;
use sha2::{Digest, Sha256};

use super::classify::{Shape, Shapes};
use crate::{stream::Prepare, wire};

/// Bytes of the hash in the names of statements on backend connections.
const NAME_BYTES: usize = 20;

/// A statement that the caller prepared.
#[derive(Clone)]
pub(crate) struct Statement {
    /// Name on backend connections.
    pub(crate) name: String,
    /// Encoded `Parse` under that name.
    parse: Bytes,
    /// Encoded `Parse` of the unnamed statement.
    pub(crate) unnamed: Bytes,
    /// What the statement does.
    pub(crate) shape: Arc<Shape>,
}

impl Statement {
    /// Makes a statement of a caller's `Parse`.
    ///
    /// The name on backend connections is derived from the text and the types,
    /// so that sessions share what is already prepared there. The hash is a
    /// cryptographic one, since a collision would make one caller run the
    /// statement of another.
    pub(crate) fn new(parse: &Parse, shapes: &Shapes) -> Self {
        let mut hash = Sha256::new_with_prefix(&parse.query);
        hash.update([0]);
        parse.type_oids.iter().for_each(|oid| hash.update(oid.to_be_bytes()));
        let hash: [u8; 32] = hash.finalize().into();
        let hex: String = hash[..NAME_BYTES].iter().map(|byte| format!("{byte:02x}")).collect();
        let name = format!("s{hex}");
        let encode =
            |name| wire::encode(&Parse::new(name, parse.query.clone(), parse.type_oids.clone()));
        Statement {
            parse: encode(Some(name.clone())),
            unnamed: encode(None),
            name,
            shape: shapes.get(&parse.query),
        }
    }

    /// Returns what the home needs to prepare the statement.
    pub(crate) fn prepare(&self) -> Prepare {
        Prepare { name: self.name.clone(), parse: self.parse.clone() }
    }
}

/// Prepared statements by the caller's names; the empty name is the unnamed one.
pub(crate) type Statements = HashMap<String, Arc<Statement>>;
