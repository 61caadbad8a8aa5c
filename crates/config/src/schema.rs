//! The schema of the operators' configuration files and the daemons' settings files:
//! which fields they may contain, and which values.
//!
//! The submodules have one table of [`Field`]s for each object in the files. Every
//! error message about a single field is derived from these tables, and a test checks
//! the documentation of settings against them.

pub mod configuration;
pub mod settings;

/// Kind of entry that files define under a name.
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
    /// Returns the name of the kind in messages.
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

    /// Returns the field in which entries of this kind are defined.
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

/// A field of an object.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Name of the field.
    pub name: &'static str,
    /// Kind of its value.
    pub kind: Kind,
    /// Whether the field must be present.
    pub required: bool,
}

impl Field {
    /// Creates a field that must be present.
    pub(crate) const fn required(name: &'static str, kind: Kind) -> Self {
        Field { name, kind, required: true }
    }

    /// Creates a field that may be absent.
    pub(crate) const fn optional(name: &'static str, kind: Kind) -> Self {
        Field { name, kind, required: false }
    }
}

/// Kind of value that a field accepts.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Any text.
    Text,
    /// `true` or `false`.
    Flag,
    /// One of the given words.
    Choice(&'static [&'static str]),
    /// A whole number from the first to the second bound, both included.
    Integer(u64, u64),
    /// A finite number that is at least the bound, or above it if the flag is set.
    Number(f64, bool),
    /// A name in the form that all names have. No entry with this name is required.
    Name,
    /// The name of an entry that is defined elsewhere.
    Reference(EntryKind),
    /// A list of names of entries that are defined elsewhere.
    References(EntryKind),
    /// An IP address with a port.
    Address,
    /// An IP address with a port that no other field of this kind has. Port 0 means
    /// any free port, so addresses with it may repeat.
    UniqueAddress,
    /// A list of IP addresses with ports.
    Addresses,
    /// An object that maps addresses to addresses.
    AddressMap,
    /// An address of the form `http://IP:PORT`.
    Url,
    /// A key verifier.
    Verifier,
    /// An object with fixed fields.
    Object(&'static [Field]),
    /// Entries by name.
    Map(&'static Map),
}

/// Entries of one kind by name.
#[derive(Debug)]
pub struct Map {
    /// Kind of the entries.
    pub entry_kind: EntryKind,
    /// Fields of each entry.
    pub fields: &'static [Field],
    /// Whether at least one entry must be present.
    pub non_empty: bool,
    /// Fields of which each entry needs at least one; empty if there is no such
    /// rule.
    pub any_of: &'static [&'static str],
}

/// Returns the paths of all fields in `fields` that contain no further fields, such as
/// `listen.callers`, with `*` in place of the name of an entry.
pub fn paths(fields: &[Field]) -> Vec<String> {
    let mut found = Vec::new();
    for field in fields {
        match field.kind {
            Kind::Object(inner) => add_paths(&mut found, field.name, inner),
            Kind::Map(map) => add_paths(&mut found, &format!("{}.*", field.name), map.fields),
            _ => found.push(field.name.to_owned()),
        }
    }
    found
}

fn add_paths(found: &mut Vec<String>, prefix: &str, fields: &[Field]) {
    found.extend(paths(fields).into_iter().map(|path| format!("{prefix}.{path}")));
}
