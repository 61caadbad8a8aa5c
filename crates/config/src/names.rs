//! Names defined and used over all files.

use indexmap::{IndexMap, IndexSet};

use crate::{
    problem::{Place, Problem},
    schema::EntryKind,
};

/// Names and addresses met while reading files.
#[derive(Debug, Default)]
pub(crate) struct Names {
    defined: IndexMap<(EntryKind, String), Place>,
    used: Vec<Use>,
    addresses: IndexMap<String, (Place, String)>,
}

/// A name that must be defined somewhere.
#[derive(Debug)]
struct Use {
    thing: EntryKind,
    name: String,
    place: Place,
    field: String,
}

impl Names {
    /// Notes a definition and returns a problem when there was one before.
    pub(crate) fn define(
        &mut self,
        thing: EntryKind,
        name: &str,
        place: Place,
        field: &str,
    ) -> Option<Problem> {
        let key = (thing, name.to_owned());
        if let Some(first) = self.defined.get(&key) {
            return Some(Problem {
                message: format!("{} {name:?} is already defined at {first}", thing.label()),
                remedy: "remove or rename one of the two".to_owned(),
                place,
                field: field.to_owned(),
            });
        }
        self.defined.insert(key, place);
        None
    }

    /// Notes that `field` refers to a thing by name.
    pub(crate) fn refer(&mut self, thing: EntryKind, name: &str, place: Place, field: &str) {
        self.used.push(Use { thing, name: name.to_owned(), place, field: field.to_owned() });
    }

    /// Notes an address and returns a problem when another field holds it.
    pub(crate) fn claim(&mut self, address: &str, place: Place, field: &str) -> Option<Problem> {
        if let Some((first, other)) = self.addresses.get(address) {
            return Some(Problem {
                message: format!("address {address} is already that of {other} at {first}"),
                remedy: "give each its own address".to_owned(),
                place,
                field: field.to_owned(),
            });
        }
        self.addresses.insert(address.to_owned(), (place, field.to_owned()));
        None
    }

    /// Returns a problem for each name that is used but not defined.
    pub(crate) fn dangling(self) -> Vec<Problem> {
        let Names { defined, used, .. } = self;
        let missing = |usage: &Use| !defined.contains_key(&(usage.thing, usage.name.clone()));
        used.into_iter().filter(missing).map(|usage| dangling(usage, &defined)).collect()
    }
}

fn dangling(usage: Use, defined: &IndexMap<(EntryKind, String), Place>) -> Problem {
    let Use { thing, name, place, field } = usage;
    let known = defined.keys().filter(|(kind, _)| *kind == thing).map(|(_, name)| name.as_str());
    let near = closest(&name, known).map(|near| format!(" or write {near:?}")).unwrap_or_default();
    Problem {
        message: format!("no {} is named {name:?}", thing.label()),
        remedy: format!("define it under `{}`{near}", thing.section()),
        place,
        field,
    }
}

/// Most edits between a name and the one suggested in its place.
const MAX_EDITS: usize = 2;

/// Returns the candidate with the fewest edits from `name`, when they are few.
pub(crate) fn closest<'a>(
    name: &str,
    candidates: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    let scored = candidates.map(|candidate| (edits(name, candidate), candidate));
    scored.filter(|(edits, _)| *edits <= MAX_EDITS).min().map(|(_, candidate)| candidate)
}

/// Counts the insertions, deletions and replacements from `a` to `b`.
fn edits(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = std::mem::replace(&mut row[0], i + 1);
        for (j, y) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}

/// Returns the texts that occur again after their first occurrence.
pub(crate) fn repeated<'a, T>(
    items: &'a [T],
    text: impl Fn(&'a T) -> Option<&'a str>,
) -> Vec<&'a T> {
    let mut seen = IndexSet::new();
    items.iter().filter(|item| text(item).is_some_and(|text| !seen.insert(text))).collect()
}
