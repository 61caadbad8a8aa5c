//! Documents that VMs pass on: every interleaving of a small fleet is explored.

use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use chicoryhollow_core::{
    Time,
    document::{Acceptance, DocumentCopy},
};

/// What the directory says at versions 1, 2, 3 and 4; a document may say again what
/// an older one said.
const HISTORY: [&[u8]; 4] = [b"a", b"b", b"a", b"c"];

const VMS: usize = 3;

/// A message on its way from one VM to another.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Message {
    /// Which version the sender holds, and its digest.
    Word(u64, u64),
    /// The sender asks for what the receiver holds.
    Ask,
    /// A document.
    Document(u64, Vec<u8>),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    /// Newest version in the directory.
    newest: usize,
    held: [DocumentCopy; VMS],
    /// At most one message at a time, to a VM from another.
    message: Option<(usize, usize, Message)>,
    restarts: u8,
}

/// Returns every world that one step leads to. Each question is asked long after the
/// one before, so that none is held back.
fn steps(world: &World, steps_taken: u64) -> Vec<World> {
    let now = Time::default() + Duration::from_secs(steps_taken + 1);
    let mut next = Vec::new();
    if world.newest < HISTORY.len() {
        next.push(World { newest: world.newest + 1, ..world.clone() });
    }
    for vm in 0..VMS {
        // The last VM is cut off from the directory.
        if vm + 1 < VMS {
            let mut read = world.clone();
            read.held[vm].accept(world.newest as u64, HISTORY[world.newest - 1].to_vec());
            next.push(read);
        }
        if world.restarts < 1 {
            let mut restarted = World { restarts: 1, ..world.clone() };
            restarted.held[vm] = DocumentCopy::default();
            next.push(restarted);
        }
    }
    match &world.message {
        None => {
            for from in 0..VMS {
                for to in (0..VMS).filter(|to| *to != from) {
                    let held = &world.held[from];
                    let word = Message::Word(held.version(), held.digest());
                    next.push(World { message: Some((to, from, word)), ..world.clone() });
                }
            }
        }
        Some((to, from, message)) => {
            let mut lost = world.clone();
            lost.message = None;
            let mut taken = lost.clone();
            match message {
                Message::Word(version, digest) => {
                    if taken.held[*to].should_request(*version, *digest, now) {
                        taken.message = Some((*from, *to, Message::Ask));
                    }
                }
                Message::Ask => {
                    let held = &world.held[*to];
                    let document = Message::Document(held.version(), held.json().to_vec());
                    taken.message = Some((*from, *to, document));
                }
                Message::Document(version, json) => {
                    taken.held[*to].accept(*version, json.clone());
                }
            }
            next.extend([lost, taken]);
        }
    }
    next
}

/// What tells one world from another.
#[derive(Eq, Hash, PartialEq)]
struct Key {
    newest: usize,
    held: Vec<(u64, Vec<u8>)>,
    message: Option<(usize, usize, Message)>,
    restarts: u8,
}

/// Forgets when questions were asked, which no step depends on here.
fn key(world: &World) -> Key {
    let held = world.held.iter().map(|held| (held.version(), held.json().to_vec())).collect();
    Key { newest: world.newest, held, message: world.message.clone(), restarts: world.restarts }
}

#[test]
fn no_interleaving_holds_an_older_document_under_a_newer_version() {
    let start = World { newest: 1, held: Default::default(), message: None, restarts: 0 };
    let mut seen = HashSet::from([key(&start)]);
    let mut queue = VecDeque::from([(start, 0_u64)]);
    let mut complete = 0;
    while let Some((world, depth)) = queue.pop_front() {
        for held in &world.held {
            match held.version() {
                0 => assert!(held.json().is_empty()),
                version => assert_eq!(held.json(), HISTORY[version as usize - 1], "{world:?}"),
            }
        }
        let newest = HISTORY.len() as u64;
        complete += u32::from(world.held.iter().all(|held| held.version() == newest));
        for next in steps(&world, depth) {
            for (before, after) in world.held.iter().zip(&next.held) {
                let restarted = next.restarts > world.restarts;
                assert!(restarted || after.version() >= before.version(), "{world:?} {next:?}");
            }
            if seen.insert(key(&next)) {
                queue.push_back((next, depth + 1));
            }
        }
    }
    println!("{} states, {complete} with the newest document everywhere", seen.len());
    assert!(complete > 0, "the VM that cannot read gets the newest document, too");
}

#[test]
fn a_question_is_repeated_when_no_answer_comes() {
    let mut held = DocumentCopy::default();
    assert_eq!(held.accept(1, b"a".to_vec()), Acceptance::New);
    assert!(held.should_request(2, 7, Time::from_millis(0)));
    assert!(!held.should_request(2, 7, Time::from_millis(200)));
    assert!(held.should_request(2, 7, Time::from_millis(400)));
}
