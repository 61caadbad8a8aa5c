//! Transfers of large documents: whom a VM sends one when, and what pieces add up to.

use chicoryhollow_core::{
    Time,
    transfer::{Added, Assembly, Piece, Transfers},
};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

#[test]
fn a_vm_that_takes_no_pieces_keeps_nobody_waiting() {
    let mut transfers = Transfers::new();
    ["a", "b"].into_iter().for_each(|vm| transfers.request(vm, at(0)));
    assert_eq!([transfers.start_next(at(0)), transfers.start_next(at(0))], [Some("a"), Some("b")]);
    transfers.request("c", at(200));
    assert_eq!(transfers.start_next(at(200)), None);
    transfers.record_progress(&"b", at(280));
    assert_eq!(transfers.start_next(at(350)), Some("c"), "a stalled");
    transfers.request("d", at(350));
    assert_eq!(transfers.start_next(at(350)), None);
}

#[test]
fn a_request_that_waited_too_long_is_dropped() {
    let mut transfers = Transfers::new();
    ["a", "b", "c"].into_iter().for_each(|vm| transfers.request(vm, at(0)));
    assert!(transfers.start_next(at(0)).is_some() && transfers.start_next(at(0)).is_some());
    ["a", "b"].iter().for_each(|vm| transfers.record_progress(vm, at(250)));
    transfers.finish(&"a");
    assert_eq!(transfers.start_next(at(260)), None, "c requests it elsewhere now");
    transfers.request("c", at(270));
    assert_eq!(transfers.start_next(at(270)), Some("c"));
}

#[test]
fn a_transfer_that_is_requested_again_goes_on() {
    let mut transfers = Transfers::new();
    transfers.request("a", at(0));
    assert_eq!(transfers.start_next(at(0)), Some("a"));
    transfers.request("a", at(10));
    assert_eq!(transfers.start_next(at(10)), None);
    transfers.finish(&"a");
    transfers.request("a", at(20));
    assert_eq!(transfers.start_next(at(20)), Some("a"));
}

/// Whatever pieces arrive, a complete document has the announced size and consists of the
/// pieces since the last one at its start.
#[test]
fn any_pieces_add_up_to_a_document_of_their_size_or_to_none() {
    bolero::check!().with_type::<Vec<(u8, u8, u8, u8)>>().for_each(
        |pieces: &Vec<(u8, u8, u8, u8)>| {
            let mut assembly = Assembly::default();
            let mut expected: Vec<u8> = Vec::new();
            for (version, size, offset, length) in pieces {
                let bytes = vec![*version; usize::from(length % 8)];
                let (size, offset) = (usize::from(size % 16), usize::from(offset % 16));
                let piece = Piece { version: u64::from(*version), size, offset, bytes: &bytes };
                if offset == 0 {
                    expected.clear();
                }
                expected.extend(&bytes);
                match assembly.add(piece) {
                    Added::Partial => {}
                    Added::Misplaced => expected.clear(),
                    Added::Complete(document) => {
                        assert_eq!(document.len(), size);
                        assert_eq!(document, std::mem::take(&mut expected));
                    }
                }
            }
        },
    );
}
