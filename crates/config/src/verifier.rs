//! Key verifiers for SCRAM-SHA-256 (RFC 5802, RFC 7677).
//!
//! With a verifier, a key can be checked although the key itself is not stored.

use std::{fmt, str::FromStr};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Number of iterations of the key derivation in new verifiers.
pub const DEFAULT_ITERATIONS: u32 = 4_096;

/// The data to check a key, without the key itself.
///
/// The text format is that of PostgreSQL:
/// `SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY`, the last three parts
/// in Base64.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Verifier {
    iterations: u32,
    salt: Vec<u8>,
    stored_key: [u8; 32],
    server_key: [u8; 32],
}

impl Verifier {
    /// Derives the verifier of `key` with a random `salt`.
    pub fn new(key: &str, salt: [u8; 16], iterations: u32) -> Self {
        let mut salted = [0; 32];
        pbkdf2::pbkdf2_hmac::<Sha256>(key.as_bytes(), &salt, iterations, &mut salted);
        let client_key = mac(&salted, b"Client Key");
        Verifier {
            iterations,
            salt: salt.to_vec(),
            stored_key: Sha256::digest(client_key).into(),
            server_key: mac(&salted, b"Server Key"),
        }
    }

    /// Returns the number of iterations of the key derivation.
    pub fn iterations(&self) -> u32 {
        self.iterations
    }

    /// Returns the salt.
    pub fn salt(&self) -> &[u8] {
        &self.salt
    }

    /// Checks a client's proof over the authentication messages and returns the
    /// server's signature, or `None` if the proof was not made with the key.
    pub fn check(&self, proof: &[u8], auth_message: &str) -> Option<[u8; 32]> {
        let proof: &[u8; 32] = proof.try_into().ok()?;
        let signature = mac(&self.stored_key, auth_message.as_bytes());
        let mut client_key = *proof;
        client_key.iter_mut().zip(signature).for_each(|(k, s)| *k ^= s);
        let stored: [u8; 32] = Sha256::digest(client_key).into();
        let matches: bool = stored.ct_eq(&self.stored_key).into();
        matches.then(|| mac(&self.server_key, auth_message.as_bytes()))
    }
}

fn mac(key: &[u8], message: &[u8]) -> [u8; 32] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes a key of any length");
    mac.update(message);
    mac.finalize().into_bytes().into()
}

impl fmt::Display for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "SCRAM-SHA-256${}:{}${}:{}",
            self.iterations,
            STANDARD.encode(&self.salt),
            STANDARD.encode(self.stored_key),
            STANDARD.encode(self.server_key)
        )
    }
}

impl FromStr for Verifier {
    type Err = VerifierError;

    fn from_str(text: &str) -> Result<Self, VerifierError> {
        let rest = text.strip_prefix("SCRAM-SHA-256$").ok_or(VerifierError)?;
        let (derivation, keys) = rest.split_once('$').ok_or(VerifierError)?;
        let (iterations, salt) = derivation.split_once(':').ok_or(VerifierError)?;
        let (stored, server) = keys.split_once(':').ok_or(VerifierError)?;
        let decode = |text: &str| STANDARD.decode(text).map_err(|_| VerifierError);
        let fixed = |bytes: Vec<u8>| <[u8; 32]>::try_from(bytes).map_err(|_| VerifierError);
        let iterations = iterations.parse().map_err(|_| VerifierError)?;
        let salt = decode(salt)?;
        if iterations == 0 || salt.is_empty() {
            return Err(VerifierError);
        }
        Ok(Verifier {
            iterations,
            salt,
            stored_key: fixed(decode(stored)?)?,
            server_key: fixed(decode(server)?)?,
        })
    }
}

impl Serialize for Verifier {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Verifier {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// The text is not a verifier.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error(
    "invalid verifier, expected SCRAM-SHA-256$ITERATIONS:SALT$KEY:KEY; `chicoryctl key new` prints one"
)]
pub struct VerifierError;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn verifier_round_trips_through_text() {
        let verifier = Verifier::new("secret", [7; 16], 4_096);
        assert_eq!(verifier.to_string().parse(), Ok(verifier));
    }
}
