//! Messages in which numbers stand for names, and terms are left out.

use chicoryhollow_core::{
    Lsn, Position, Term,
    naming::{NameNumber, ReceivedNames, Reference, SentNames},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// A message about one group: its name if it is introduced, and its number.
type Message = (Option<u32>, NameNumber);

fn refer_to(sent: &mut SentNames<u32>, group: u32) -> Message {
    match sent.refer_to(&group) {
        Reference::Introduce(number) => (Some(group), number),
        Reference::Repeat(number) => (None, number),
    }
}

fn resolve(received: &mut ReceivedNames<u32>, (name, number): Message) -> Option<u32> {
    if let Some(name) = name {
        received.introduce(number, name);
    }
    received.get(number).copied()
}

#[test]
fn a_name_is_sent_once_and_always_understood() {
    let mut rng = StdRng::seed_from_u64(1);
    let (mut sent, mut received) = (SentNames::new(), ReceivedNames::new());
    let mut introduced = 0;
    for _ in 0..2_000 {
        let group = rng.random_range(0..60);
        let message = refer_to(&mut sent, group);
        introduced += usize::from(message.0.is_some());
        assert_eq!(resolve(&mut received, message), Some(group));
    }
    assert_eq!(introduced, 60);
}

#[test]
fn names_are_introduced_again_after_a_message_was_dropped() {
    let mut rng = StdRng::seed_from_u64(2);
    let (mut sent, mut received) = (SentNames::new(), ReceivedNames::new());
    for _ in 0..2_000 {
        let group = rng.random_range(0..60);
        let message = refer_to(&mut sent, group);
        if rng.random_bool(0.05) {
            sent = SentNames::new();
            continue;
        }
        assert_eq!(resolve(&mut received, message), Some(group));
    }
}

#[test]
fn an_unknown_number_means_nothing() {
    let received = ReceivedNames::<u32>::new();
    assert_eq!(NameNumber::new(7).and_then(|number| received.get(number).copied()), None);
    assert_eq!(NameNumber::new(0), None);
}

/// A position without commits in a term is no position of another term.
#[test]
fn positions_keep_their_terms_when_equal_ones_are_left_out() {
    for (term, own, lsn) in
        (0..4).flat_map(|a| (0..4).flat_map(move |b| (0..3).map(move |c| (a, b, c))))
    {
        // No server has commits in term 0.
        if own == 0 && lsn > 0 {
            continue;
        }
        let position = Position::new(Term::new(own), Lsn::new(lsn));
        let number = position.relative_term(Term::new(term));
        let received = Position::from_relative_term(number, position.lsn(), Term::new(term));
        assert_eq!(received, position, "next to term {term}");
    }
}
