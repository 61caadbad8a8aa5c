//! Prepared statements of one session.
//!
//! Callers name their statements as they like. On backend connections, which
//! sessions share, a statement has a name that is derived from its content.

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;
use pgwire::messages::extendedquery::Parse;
use sha2::{Digest, Sha256};

use super::analysis::{Analysis, AnalysisCache};
use crate::{stream::Prepare, wire};

/// Length of the hash in the names of statements on backend connections, in bytes.
const NAME_HASH_BYTES: usize = 20;

/// A statement that the caller prepared.
#[derive(Clone)]
pub(crate) struct Statement {
    /// Name on backend connections.
    pub(crate) name: String,
    /// Encoded `Parse` under that name.
    parse: Bytes,
    /// Encoded `Parse` of the unnamed statement.
    pub(crate) unnamed: Bytes,
    /// Analysis of the statement.
    pub(crate) analysis: Arc<Analysis>,
}

impl Statement {
    /// Creates a statement from a caller's `Parse`.
    ///
    /// The name on backend connections is a hash of the text and the parameter
    /// types, so that sessions share the statements that are prepared there. The
    /// hash is a cryptographic one: with a collision, one caller would run the
    /// statement of another one.
    pub(crate) fn new(parse: &Parse, analyses: &AnalysisCache) -> Self {
        let mut hash = Sha256::new_with_prefix(&parse.query);
        hash.update([0]);
        parse.type_oids.iter().for_each(|oid| hash.update(oid.to_be_bytes()));
        let hash: [u8; 32] = hash.finalize().into();
        let hex: String =
            hash[..NAME_HASH_BYTES].iter().map(|byte| format!("{byte:02x}")).collect();
        let name = format!("s{hex}");
        let encode =
            |name| wire::encode(&Parse::new(name, parse.query.clone(), parse.type_oids.clone()));
        Statement {
            parse: encode(Some(name.clone())),
            unnamed: encode(None),
            name,
            analysis: analyses.get(&parse.query),
        }
    }

    /// Returns the request to the home to prepare the statement.
    pub(crate) fn prepare(&self) -> Prepare {
        Prepare { name: self.name.clone(), parse: self.parse.clone() }
    }
}

/// Returns the size of statements in bytes.
pub(crate) fn statements_bytes<'a>(statements: impl Iterator<Item = &'a Arc<Statement>>) -> usize {
    statements.map(|statement| statement.parse.len() + statement.unnamed.len()).sum()
}

/// Prepared statements by the caller's names. The empty name is that of the unnamed
/// statement.
pub(crate) type Statements = HashMap<String, Arc<Statement>>;
