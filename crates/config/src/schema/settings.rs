//! Fields of a daemon's settings file.

use crate::schema::{Field, Kind};

/// Largest time limit in milliseconds: seven days.
const MAX_TIME_MS: u64 = 7 * 86_400_000;
/// Largest count where no smaller bound applies.
const MAX_COUNT: u64 = 10_000_000;
/// Largest size in bytes: one gibibyte.
const MAX_SIZE_BYTES: u64 = 1 << 30;
/// Smallest message or buffer size in bytes.
const MIN_SIZE_BYTES: u64 = 1 << 10;

/// Smallest and largest memory in megabytes.
const MIN_MEMORY_MB: u64 = 32;
const MAX_MEMORY_MB: u64 = 1 << 20;

/// Top-level fields of a settings file.
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
    Field::optional("request_ms", Kind::Integer(1, MAX_TIME_MS)),
    Field::optional("drain_ms", Kind::Integer(0, MAX_TIME_MS)),
    Field::optional("message_bytes", Kind::Integer(MIN_SIZE_BYTES, MAX_SIZE_BYTES)),
    Field::optional("memory_mb", Kind::Integer(MIN_MEMORY_MB, MAX_MEMORY_MB)),
    Field::optional("buffer_bytes", Kind::Integer(MIN_SIZE_BYTES, MAX_SIZE_BYTES)),
    Field::optional("cleartext_keys", Kind::Flag),
    Field::optional("stale_configuration_ms", Kind::Integer(0, MAX_TIME_MS)),
];
