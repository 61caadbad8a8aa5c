//! What fields the files may hold and what values the fields take.
//!
//! The tables here are the source of every error message about a single field,
//! and the documentation of settings is checked against them.

pub mod configuration;
pub mod settings;

/// Kind of thing that files name.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EntryKind {
    /// A data centre.
    DataCentre,
    /// A database group.
    Group,
    /// A backend server.
    Server,
    /// A client account.
    Account,
    /// A key.
    Key,
    /// A route.
    Route,
}

impl EntryKind {
    /// Returns the words for the kind in messages.
    pub fn label(self) -> &'static str {
        match self {
            EntryKind::DataCentre => "data centre",
            EntryKind::Group => "database group",
            EntryKind::Server => "backend server",
            EntryKind::Account => "client account",
            EntryKind::Key => "key",
            EntryKind::Route => "route",
        }
    }

    /// Returns the field in which things of this kind are defined.
    pub fn section(self) -> &'static str {
        match self {
            EntryKind::DataCentre => "data_centres",
            EntryKind::Group => "groups",
            EntryKind::Server => "servers",
            EntryKind::Account => "accounts",
            EntryKind::Key => "keys",
            EntryKind::Route => "routes",
        }
    }
}

/// One field of an object.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Name of the field.
    pub name: &'static str,
    /// What its value may be.
    pub kind: Kind,
    /// Whether the field must be there.
    pub required: bool,
}

impl Field {
    /// Makes a field that must be there.
    pub(crate) const fn required(name: &'static str, kind: Kind) -> Self {
        Field { name, kind, required: true }
    }

    /// Makes a field that has a default.
    pub(crate) const fn optional(name: &'static str, kind: Kind) -> Self {
        Field { name, kind, required: false }
    }
}

/// What the value of a field may be.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Any text.
    Text,
    /// `true` or `false`.
    Flag,
    /// One of a few words.
    Choice(&'static [&'static str]),
    /// A whole number from the first to the second bound.
    Integer(u64, u64),
    /// A finite number of at least the bound, or above it when the flag is set.
    Number(f64, bool),
    /// A name that no other field refers to.
    Name,
    /// The name of something defined elsewhere.
    Reference(EntryKind),
    /// A list of names of things defined elsewhere.
    References(EntryKind),
    /// An IP address with a port.
    Address,
    /// An IP address with a port that no other field of this kind holds.
    UniqueAddress,
    /// A list of IP addresses with ports.
    Addresses,
    /// Addresses by address.
    AddressMap,
    /// An address of the form `http://IP:PORT`.
    Url,
    /// A key verifier.
    Verifier,
    /// An object with fixed fields.
    Object(&'static [Field]),
    /// Things by name.
    Map(&'static Map),
}

/// Things of one kind by name.
#[derive(Debug)]
pub struct Map {
    /// Kind of the things.
    pub entry_kind: EntryKind,
    /// Fields of each thing.
    pub fields: &'static [Field],
    /// Whether at least one thing must be there.
    pub non_empty: bool,
    /// Fields of which each thing needs at least one, or none for no such rule.
    pub any_of: &'static [&'static str],
}

/// Lists the paths of all fields in `fields`, such as `listen.callers`, with
/// `*` for a name.
pub fn paths(fields: &[Field]) -> Vec<String> {
    let mut found = Vec::new();
    for field in fields {
        match field.kind {
            Kind::Object(inner) => extend(&mut found, field.name, inner),
            Kind::Map(map) => extend(&mut found, &format!("{}.*", field.name), map.fields),
            _ => found.push(field.name.to_owned()),
        }
    }
    found
}

fn extend(found: &mut Vec<String>, prefix: &str, fields: &[Field]) {
    found.extend(paths(fields).into_iter().map(|path| format!("{prefix}.{path}")));
}
