//! Numbers in place of names that two VMs repeat in their messages.
//!
//! Heartbeats name each database group again and again, and a name is as long as all that
//! is told about the group. The sender sends each name once on a connection, with a number,
//! and later only the number. Messages on a connection arrive in order, so the receiver
//! knows the name before it needs it.

use std::{collections::HashMap, hash::Hash};

use indexmap::IndexSet;

/// A number that stands for a name on one connection, counted from 1.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct NameNumber(u32);

impl NameNumber {
    /// Creates a number, or returns `None` for 0, which messages without a number contain.
    pub const fn new(number: u32) -> Option<Self> {
        if number == 0 { None } else { Some(NameNumber(number)) }
    }

    /// Returns the number.
    pub const fn get(self) -> u32 {
        self.0
    }
}

/// How to refer to a name in the next message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reference {
    /// Send the name and the number that stands for it from now on.
    Introduce(NameNumber),
    /// Send only the number.
    Repeat(NameNumber),
}

/// The names that one side of a connection has sent.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::naming::{ReceivedNames, Reference, SentNames};
///
/// let (mut sent, mut received) = (SentNames::new(), ReceivedNames::new());
/// let Reference::Introduce(number) = sent.refer_to(&"orders") else { panic!() };
/// received.introduce(number, "orders");
/// assert_eq!(sent.refer_to(&"orders"), Reference::Repeat(number));
/// assert_eq!(received.get(number), Some(&"orders"));
/// ```
#[derive(Clone, Debug)]
pub struct SentNames<N> {
    names: IndexSet<N>,
}

impl<N: Clone + Eq + Hash> SentNames<N> {
    /// Creates an empty set.
    pub fn new() -> Self {
        SentNames { names: IndexSet::new() }
    }

    /// Returns how to refer to a name in a message that is sent now.
    pub fn refer_to(&mut self, name: &N) -> Reference {
        let number = |index: usize| NameNumber(u32::try_from(index + 1).unwrap_or(u32::MAX));
        match self.names.get_index_of(name) {
            Some(index) => Reference::Repeat(number(index)),
            None => Reference::Introduce(number(self.names.insert_full(name.clone()).0)),
        }
    }
}

impl<N: Clone + Eq + Hash> Default for SentNames<N> {
    fn default() -> Self {
        SentNames::new()
    }
}

/// The names that the other side of a connection has introduced.
#[derive(Clone, Debug)]
pub struct ReceivedNames<N> {
    names: HashMap<NameNumber, N>,
}

impl<N> ReceivedNames<N> {
    /// Creates an empty set.
    pub fn new() -> Self {
        ReceivedNames { names: HashMap::new() }
    }

    /// Records the name that `number` stands for.
    pub fn introduce(&mut self, number: NameNumber, name: N) {
        self.names.insert(number, name);
    }

    /// Returns the name that `number` stands for, or `None` if it was not introduced.
    pub fn get(&self, number: NameNumber) -> Option<&N> {
        self.names.get(&number)
    }
}

impl<N> Default for ReceivedNames<N> {
    fn default() -> Self {
        ReceivedNames::new()
    }
}
