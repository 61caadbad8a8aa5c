//! Fields of a daemon's settings file.

use crate::schema::{Field, Kind};

/// Longest time limit in milliseconds: seven days.
const MAX_MS: u64 = 7 * 86_400_000;
/// Highest count that is accepted where no smaller bound applies.
const MAX_COUNT: u64 = 10_000_000;
/// Largest size in bytes: one gibibyte.
const MAX_BYTES: u64 = 1 << 30;
/// Smallest message or buffer size in bytes.
const MIN_BYTES: u64 = 1 << 10;

/// Fields at the top of a settings file.
pub const SETTINGS: &[Field] = &[
    Field::required("vm", Kind::Name),
    Field::required("data_centre", Kind::Name),
    Field::required("listen", Kind::Object(LISTEN)),
    Field::required("platform", Kind::Url),
    Field::optional("seeds", Kind::Addresses),
    Field::optional("backend", Kind::Object(BACKEND)),
    Field::optional("translate", Kind::AddressMap),
    Field::optional("log", Kind::Object(LOG)),
    Field::optional("limits", Kind::Object(LIMITS)),
];

const LISTEN: &[Field] = &[
    Field::required("callers", Kind::UniqueAddress),
    Field::required("peers", Kind::UniqueAddress),
    Field::required("admin", Kind::UniqueAddress),
];

const BACKEND: &[Field] = &[
    Field::optional("user", Kind::Text),
    Field::optional("password", Kind::Text),
    Field::optional("database", Kind::Text),
    Field::optional("note_transactions", Kind::Flag),
];

const LOG: &[Field] = &[
    Field::optional("format", Kind::Choice(&["text", "json"])),
    Field::optional("level", Kind::Choice(&["error", "warning", "info", "debug"])),
];

const LIMITS: &[Field] = &[
    Field::optional("workers", Kind::Integer(1, 1_024)),
    Field::optional("callers", Kind::Integer(1, MAX_COUNT)),
    Field::optional("request_ms", Kind::Integer(1, MAX_MS)),
    Field::optional("drain_ms", Kind::Integer(0, MAX_MS)),
    Field::optional("message_bytes", Kind::Integer(MIN_BYTES, MAX_BYTES)),
    Field::optional("buffer_bytes", Kind::Integer(MIN_BYTES, MAX_BYTES)),
    Field::optional("cleartext_keys", Kind::Flag),
    Field::optional("stale_configuration_ms", Kind::Integer(0, MAX_MS)),
];
