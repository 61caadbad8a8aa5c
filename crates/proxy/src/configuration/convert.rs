//! Conversions of offers of a configuration to and from peer messages.

use std::time::Duration;

use bytes::Bytes;
use chicoryhollow_config::{ContentHash, reader::Offer};
use chicoryhollow_peer::configuration::{ConfigurationAnswer, ConfigurationAsk};

/// Returns the message that asks for a version newer than `version`.
pub(super) fn encode_request(version: u64) -> ConfigurationAsk {
    ConfigurationAsk { version, hash: Bytes::new() }
}

/// Converts an offer to its peer message.
pub(super) fn encode_offer(offer: &Offer) -> ConfigurationAnswer {
    let age_ms = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    ConfigurationAnswer {
        version: offer.version(),
        base: offer.base().unwrap_or(0),
        hash: Bytes::copy_from_slice(offer.hash().as_bytes()),
        json: offer.json().clone(),
        // Rounded up, because the receiver may overestimate the age but not
        // underestimate it.
        age_ms: offer.age().map(|age| age_ms(age).saturating_add(1)),
    }
}

/// Converts a peer message to an offer. Returns `None` if its hash is malformed.
pub(super) fn decode_offer(answer: ConfigurationAnswer) -> Option<Offer> {
    let hash = ContentHash::from_bytes(&answer.hash)?;
    let offer = Offer::new(answer.version, hash, answer.json);
    let offer = if answer.base == 0 { offer } else { offer.with_base(answer.base) };
    Some(offer.with_age(answer.age_ms.map(Duration::from_millis)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn offers_round_trip_except_for_the_rounded_age() {
        let hash = ContentHash::from_bytes(&[7; 32]).expect("32 bytes");
        let whole = Offer::new(3, hash, "{}");
        for sent in [whole.clone(), whole.with_base(2)] {
            let aged = sent.clone().with_age(Some(Duration::from_micros(1_500)));
            let expected = sent.clone().with_age(Some(Duration::from_millis(2)));
            assert_eq!(decode_offer(encode_offer(&aged)), Some(expected));
            assert_eq!(decode_offer(encode_offer(&sent)), Some(sent));
        }
    }
}
