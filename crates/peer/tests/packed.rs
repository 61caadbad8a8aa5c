//! Compressed documents are restored, and malformed ones are refused.

use chicoryhollow_peer::{
    fleet::Document,
    packed::{UnpackError, pack},
};

fn document(json: impl Into<bytes::Bytes>) -> Document {
    Document { version: 1, json: json.into(), packed: true, ..Document::default() }
}

#[test]
fn a_configuration_of_many_routes_becomes_much_smaller() {
    let routes: Vec<String> = (0..1_500)
        .map(|i| format!(r#"{{"host":"route-{i}","timeout_ms":800,"service":"orders"}}"#))
        .collect();
    let json = format!("[{}]", routes.join(","));
    let packed = pack(json.as_bytes());
    assert!(packed.len() * 3 < json.len(), "{} of {}", packed.len(), json.len());
    assert_eq!(document(packed).content().as_deref(), Ok(json.as_bytes()));
}

#[test]
fn a_document_that_claims_to_be_huge_is_refused() {
    let mut bytes = pack(b"[]").to_vec();
    bytes[..4].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_eq!(document(bytes).content(), Err(UnpackError));
}

#[test]
fn any_bytes_are_restored_or_refused() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let _ = document(bytes.to_vec()).content();
    });
}
