//! Fields of the operators' files.

use crate::schema::{Field, Kind, Map, Thing};

/// Highest whole number that is accepted where no smaller bound applies.
const MAX_COUNT: u64 = 1_000_000;
/// Highest age of reads in milliseconds: one day.
const MAX_AGE_MS: u64 = 86_400_000;

const SERVICE: Field = Field::optional("service", Kind::Choice(&["in", "out"]));

/// Fields at the top of a file.
pub const CONFIGURATION: &[Field] = &[
    Field::optional("data_centres", Kind::Map(&DATA_CENTRES)),
    Field::optional("groups", Kind::Map(&GROUPS)),
    Field::optional("accounts", Kind::Map(&ACCOUNTS)),
    Field::optional("keys", Kind::Map(&KEYS)),
    Field::optional("routes", Kind::Map(&ROUTES)),
];

static DATA_CENTRES: Map =
    Map { thing: Thing::DataCentre, fields: &[SERVICE], filled: false, any_of: &[] };

static GROUPS: Map = Map {
    thing: Thing::Group,
    fields: &[Field::required("servers", Kind::Map(&SERVERS))],
    filled: false,
    any_of: &[],
};

static SERVERS: Map = Map {
    thing: Thing::Server,
    fields: &[
        Field::required("address", Kind::UniqueAddress),
        Field::required("data_centre", Kind::Reference(Thing::DataCentre)),
        Field::required("slots", Kind::Integer(1, MAX_COUNT)),
        Field::required("connections", Kind::Integer(1, MAX_COUNT)),
        SERVICE,
    ],
    filled: true,
    any_of: &[],
};

static ACCOUNTS: Map = Map {
    thing: Thing::Account,
    fields: &[
        Field::required("rate", Kind::Number(0.0, true)),
        Field::required("burst", Kind::Number(1.0, false)),
        Field::optional("weight", Kind::Integer(1, MAX_COUNT)),
    ],
    filled: false,
    any_of: &[],
};

static KEYS: Map = Map {
    thing: Thing::Key,
    fields: &[
        Field::required("account", Kind::Reference(Thing::Account)),
        Field::required("verifier", Kind::Verifier),
    ],
    filled: false,
    any_of: &[],
};

static ROUTES: Map = Map {
    thing: Thing::Route,
    fields: &[
        Field::required("group", Kind::Reference(Thing::Group)),
        Field::optional("accounts", Kind::References(Thing::Account)),
        Field::optional("open_account", Kind::Reference(Thing::Account)),
        Field::optional("max_age_ms", Kind::Integer(1, MAX_AGE_MS)),
        Field::optional("idempotent", Kind::Flag),
    ],
    filled: false,
    any_of: &["accounts", "open_account"],
};
