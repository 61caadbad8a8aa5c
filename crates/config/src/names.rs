//! Collects the names defined and used in all files.
//!
//! A name may be used in one file and defined in another, so references
//! can only be checked after all files have been read.

use indexmap::{IndexMap, IndexSet};

use crate::{
    problem::{Place, Problem},
    schema::EntryKind,
};

/// Definitions, references and addresses found in the files so far.
#[derive(Debug, Default)]
pub(crate) struct Names {
    defined: IndexMap<(EntryKind, String), Place>,
    references: Vec<Reference>,
    addresses: IndexMap<String, (Place, String)>,
}

/// A use of a name that must be defined in one of the files.
#[derive(Debug)]
struct Reference {
    kind: EntryKind,
    name: String,
    place: Place,
    field: String,
}

impl Names {
    /// Records a definition; returns a problem if the name is already defined.
    pub(crate) fn define(
        &mut self,
        kind: EntryKind,
        name: &str,
        place: Place,
        field: &str,
    ) -> Option<Problem> {
        let key = (kind, name.to_owned());
        if let Some(first) = self.defined.get(&key) {
            return Some(Problem {
                message: format!("{} {name:?} is already defined at {first}", kind.label()),
                remedy: "remove or rename one of the two".to_owned(),
                place,
                field: field.to_owned(),
            });
        }
        self.defined.insert(key, place);
        None
    }

    /// Records that `field` refers to an entry by name.
    pub(crate) fn add_reference(&mut self, kind: EntryKind, name: &str, place: Place, field: &str) {
        self.references.push(Reference {
            kind,
            name: name.to_owned(),
            place,
            field: field.to_owned(),
        });
    }

    /// Records an address; returns a problem if another field has the same one.
    pub(crate) fn define_address(
        &mut self,
        address: &str,
        place: Place,
        field: &str,
    ) -> Option<Problem> {
        if let Some((first, other)) = self.addresses.get(address) {
            return Some(Problem {
                message: format!("address {address} is already used by {other} at {first}"),
                remedy: "give each its own address".to_owned(),
                place,
                field: field.to_owned(),
            });
        }
        self.addresses.insert(address.to_owned(), (place, field.to_owned()));
        None
    }

    /// Returns a problem for each reference to a name that is not defined.
    pub(crate) fn dangling_references(self) -> Vec<Problem> {
        let Names { defined, references, .. } = self;
        let missing = |r: &Reference| !defined.contains_key(&(r.kind, r.name.clone()));
        references
            .into_iter()
            .filter(missing)
            .map(|reference| dangling_reference(reference, &defined))
            .collect()
    }
}

fn dangling_reference(
    reference: Reference,
    defined: &IndexMap<(EntryKind, String), Place>,
) -> Problem {
    let Reference { kind, name, place, field } = reference;
    let known = defined.keys().filter(|(k, _)| *k == kind).map(|(_, name)| name.as_str());
    let suggestion = closest(&name, known)
        .map(|suggestion| format!(" or write {suggestion:?}"))
        .unwrap_or_default();
    Problem {
        message: format!("no {} is named {name:?}", kind.label()),
        remedy: format!("define it under `{}`{suggestion}", kind.section()),
        place,
        field,
    }
}

/// Largest edit distance between an unknown name and a suggested one.
const MAX_SUGGESTION_DISTANCE: usize = 2;

/// Returns the candidate closest to `name`, or `None` if none is close.
pub(crate) fn closest<'a>(
    name: &str,
    candidates: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    let scored = candidates.map(|candidate| (edit_distance(name, candidate), candidate));
    scored
        .filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance between `a` and `b`.
fn edit_distance(a: &str, b: &str) -> usize {
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

/// Returns the items whose text has occurred in an earlier item.
pub(crate) fn duplicates<'a, T>(
    items: &'a [T],
    text: impl Fn(&'a T) -> Option<&'a str>,
) -> Vec<&'a T> {
    let mut seen = IndexSet::new();
    items.iter().filter(|item| text(item).is_some_and(|text| !seen.insert(text))).collect()
}
