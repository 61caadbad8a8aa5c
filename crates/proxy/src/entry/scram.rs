//! Key check with SCRAM-SHA-256 (RFC 5802).
//!
//! The proxy holds only a verifier of each key and never receives the key itself,
//! unless the settings allow keys in clear text.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use chicoryhollow_config::{Configuration, Verifier, verifier::DEFAULT_ITERATIONS};
use pgwire::messages::{
    PgWireFrontendMessage,
    startup::{Authentication, PasswordMessageFamily},
};
use sha2::{Digest, Sha256};

use super::connection::{Connection, catch_decoder_panic, decode};
use crate::wire::WireError;

/// The only mechanism that the proxy offers.
const MECHANISM: &str = "SCRAM-SHA-256";

/// Returns a verifier that no key satisfies, for an unknown key name.
///
/// The exchange takes the same steps as for a known name, so callers cannot find
/// out which names exist. The salt depends on the name and on a secret that all
/// VMs share. Repeated attempts receive the same salt, on other VMs too.
pub(super) fn decoy(configuration: &Configuration, name: &str) -> Verifier {
    let verifiers = configuration.keys.values().map(|key| key.verifier.to_string());
    let secret = verifiers.min().unwrap_or_default();
    let part = |number: u8| -> [u8; 32] {
        Sha256::new()
            .chain_update(&secret)
            .chain_update([number])
            .chain_update(name)
            .finalize()
            .into()
    };
    let text = format!(
        "{MECHANISM}${}:{}${}:{}",
        iterations(configuration),
        STANDARD.encode(&part(0)[..16]),
        STANDARD.encode(part(1)),
        STANDARD.encode(part(2)),
    );
    text.parse().expect("the text has the form of a verifier")
}

/// Returns the number of iterations that most keys use.
fn iterations(configuration: &Configuration) -> u32 {
    let mut counts = indexmap::IndexMap::new();
    for key in configuration.keys.values() {
        *counts.entry(key.verifier.iterations()).or_insert(0_usize) += 1;
    }
    let most = counts.into_iter().max_by_key(|(_, count)| *count);
    most.map_or(DEFAULT_ITERATIONS, |(iterations, _)| iterations)
}

/// Runs the exchange. Returns whether the caller has the key of `verifier`.
pub(super) async fn check(
    connection: &mut Connection,
    verifier: &Verifier,
) -> Result<bool, WireError> {
    connection.send(&Authentication::SASL(vec![MECHANISM.to_owned()])).await?;
    let Some(first) = receive(connection).await? else { return Ok(false) };
    let first = catch_decoder_panic(|| Ok(first.into_sasl_initial_response()?))?;
    let data = first.data.unwrap_or_default();
    let Some(client_first) = ClientFirst::new(&first.auth_method, &data) else { return Ok(false) };
    let nonce = format!("{}{}", client_first.nonce, STANDARD.encode(rand::random::<[u8; 18]>()));
    let salt = STANDARD.encode(verifier.salt());
    let challenge = format!("r={nonce},s={salt},i={}", verifier.iterations());
    connection.send(&Authentication::SASLContinue(Bytes::from(challenge.clone()))).await?;
    let Some(last) = receive(connection).await? else { return Ok(false) };
    let last = catch_decoder_panic(|| Ok(last.into_sasl_response()?))?.data;
    let Some(signature) = client_first.verify(verifier, &challenge, &nonce, &last) else {
        return Ok(false);
    };
    let signature = format!("v={}", STANDARD.encode(signature));
    connection.queue_message(&Authentication::SASLFinal(Bytes::from(signature)));
    Ok(true)
}

/// Requests the key in clear text. Returns whether it is the key of `verifier`.
pub(super) async fn check_cleartext(
    connection: &mut Connection,
    verifier: &Verifier,
) -> Result<bool, WireError> {
    connection.send(&Authentication::CleartextPassword).await?;
    let Some(answer) = receive(connection).await? else { return Ok(false) };
    let key = catch_decoder_panic(|| Ok(answer.into_password()?))?.password;
    let salt = <[u8; 16]>::try_from(verifier.salt());
    let derived = salt.map(|salt| Verifier::new(&key, salt, verifier.iterations()));
    Ok(derived.is_ok_and(|derived| derived == *verifier))
}

/// The client-first-message of RFC 5802.
struct ClientFirst {
    gs2_header: String,
    bare: String,
    nonce: String,
}

impl ClientFirst {
    fn new(mechanism: &str, data: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(data).ok().filter(|_| mechanism == MECHANISM)?;
        // The GS2 header has the channel binding flag and a name that is not used.
        let (flag, rest) = text.split_once(',')?;
        let (name, bare) = rest.split_once(',')?;
        let nonce = attribute(bare, "r=").filter(|nonce| !nonce.is_empty())?.to_owned();
        let plain = flag == "n" || flag == "y";
        let gs2_header = format!("{flag},{name},");
        plain.then(|| ClientFirst { gs2_header, bare: bare.to_owned(), nonce })
    }

    /// Checks the client-final-message and returns the signature of the server.
    fn verify(
        &self,
        verifier: &Verifier,
        challenge: &str,
        nonce: &str,
        last: &[u8],
    ) -> Option<[u8; 32]> {
        let last = std::str::from_utf8(last).ok()?;
        let (without_proof, proof) = last.rsplit_once(",p=")?;
        let binding = STANDARD.decode(attribute(without_proof, "c=")?).ok()?;
        if binding != self.gs2_header.as_bytes() || attribute(without_proof, "r=") != Some(nonce) {
            return None;
        }
        let proof = STANDARD.decode(proof).ok()?;
        verifier.check(&proof, &format!("{},{challenge},{without_proof}", self.bare))
    }
}

/// Returns the value of the attribute that begins with `name`.
fn attribute<'a>(message: &'a str, name: &str) -> Option<&'a str> {
    message.split(',').find_map(|part| part.strip_prefix(name))
}

/// Receives a message of the password family; `None` when the caller has closed
/// the connection.
async fn receive(connection: &mut Connection) -> Result<Option<PasswordMessageFamily>, WireError> {
    let Some(frame) = connection.read().await? else { return Ok(None) };
    match decode(&frame)? {
        PgWireFrontendMessage::PasswordMessageFamily(message) => Ok(Some(message)),
        _ => Err(WireError::Unexpected),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn decoys_are_stable_and_differ_by_name() {
        let configuration = Configuration::default();
        assert_eq!(decoy(&configuration, "a"), decoy(&configuration, "a"));
        assert_ne!(decoy(&configuration, "a").salt(), decoy(&configuration, "b").salt());
        assert_eq!(decoy(&configuration, "a").iterations(), DEFAULT_ITERATIONS);
    }

    #[test]
    fn first_messages_of_clients_are_checked() {
        let cases = [
            ("n,,n=,r=abc", true),
            ("y,,n=x,r=abc", true),
            ("p=tls-unique,,n=,r=abc", false),
            ("n,,n=,r=", false),
            ("n,,n=", false),
            ("", false),
        ];
        for (text, accepted) in cases {
            assert_eq!(ClientFirst::new(MECHANISM, text.as_bytes()).is_some(), accepted, "{text}");
        }
        assert!(ClientFirst::new("SCRAM-SHA-256-PLUS", b"n,,n=,r=abc").is_none());
    }
}
