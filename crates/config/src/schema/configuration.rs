//! Fields of the operators' files.

use crate::schema::{EntryKind, Field, Kind, Map};

/// Largest whole number where no smaller bound applies.
const MAX_COUNT: u64 = 1_000_000;
/// Largest age of reads in milliseconds: one day.
const MAX_AGE_MS: u64 = 86_400_000;

const SERVICE: Field = Field::optional("service", Kind::Choice(&["in", "out"]));

/// Top-level fields of a file.
pub const CONFIGURATION: &[Field] = &[
    Field::optional("data_centres", Kind::Map(&DATA_CENTRES)),
    Field::optional("groups", Kind::Map(&GROUPS)),
    Field::optional("accounts", Kind::Map(&ACCOUNTS)),
    Field::optional("keys", Kind::Map(&KEYS)),
    Field::optional("routes", Kind::Map(&ROUTES)),
];

static DATA_CENTRES: Map =
    Map { entry_kind: EntryKind::DataCentre, fields: &[SERVICE], non_empty: false, any_of: &[] };

static GROUPS: Map = Map {
    entry_kind: EntryKind::Group,
    fields: &[Field::required("servers", Kind::Map(&SERVERS))],
    non_empty: false,
    any_of: &[],
};

static SERVERS: Map = Map {
    entry_kind: EntryKind::Server,
    fields: &[
        Field::required("address", Kind::UniqueAddress),
        Field::required("data_centre", Kind::Reference(EntryKind::DataCentre)),
        Field::required("slots", Kind::Integer(1, MAX_COUNT)),
        Field::required("connections", Kind::Integer(1, MAX_COUNT)),
        SERVICE,
    ],
    non_empty: true,
    any_of: &[],
};

static ACCOUNTS: Map = Map {
    entry_kind: EntryKind::Account,
    fields: &[
        Field::required("rate", Kind::Number(0.0, true)),
        Field::required("burst", Kind::Number(1.0, false)),
        Field::optional("weight", Kind::Integer(1, MAX_COUNT)),
    ],
    non_empty: false,
    any_of: &[],
};

static KEYS: Map = Map {
    entry_kind: EntryKind::Key,
    fields: &[
        Field::required("account", Kind::Reference(EntryKind::Account)),
        Field::required("verifier", Kind::Verifier),
    ],
    non_empty: false,
    any_of: &[],
};

static ROUTES: Map = Map {
    entry_kind: EntryKind::Route,
    fields: &[
        Field::required("group", Kind::Reference(EntryKind::Group)),
        Field::optional("accounts", Kind::References(EntryKind::Account)),
        Field::optional("open_account", Kind::Reference(EntryKind::Account)),
        Field::optional("max_age_ms", Kind::Integer(1, MAX_AGE_MS)),
        Field::optional("idempotent", Kind::Flag),
    ],
    non_empty: false,
    any_of: &["accounts", "open_account"],
};
