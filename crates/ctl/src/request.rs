//! Read requests to the platform, which are retried while it does not answer.
//!
//! The platform has a table service and an object store (see [`chicoryhollow_store`]).
//! A row of the table names the newest configuration by its content hash, and the
//! configuration is an object with this hash in its name.

use std::{future::Future, time::Duration};

use actix_web::rt::time::{Instant, sleep};
use chicoryhollow_config::{
    Configuration, ContentHash,
    publish::{Published, ROW_KEY, Versioned},
};
use chicoryhollow_store::{Platform, PlatformError, Row};

use crate::output::{Code, Failure};

/// Pause before a read request is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Repeats a read request while it fails with [`PlatformError::Unavailable`] and
/// `timeout` has not passed. A single attempt has no time limit here.
///
/// # Errors
///
/// Returns the failure of the last request with [`Code::Unavailable`], also if the
/// platform's answer breaks the protocol.
pub async fn retry<T, F>(timeout: Duration, mut request: impl FnMut() -> F) -> Result<T, Failure>
where
    F: Future<Output = Result<T, PlatformError>>,
{
    let deadline = Instant::now() + timeout;
    loop {
        match request().await {
            Ok(answer) => return Ok(answer),
            Err(PlatformError::Unavailable(_)) if Instant::now() < deadline => {
                sleep(RETRY_PAUSE).await
            }
            Err(error) => return Err(Failure::new(Code::Unavailable, error)),
        }
    }
}

/// Decodes a row of the platform's table to the version that it names.
///
/// # Errors
///
/// Returns an error if the row does not contain a version.
pub fn decode_row(row: Row) -> Result<Versioned, PlatformError> {
    let value = serde_json::from_value::<Published>(row.value)
        .map_err(|error| PlatformError::Protocol(format!("a row without a version: {error}")))?;
    Ok(Versioned { version: row.version, value })
}

/// Reads the row with the newest version; `None` if none is published.
///
/// # Errors
///
/// Returns a failure with [`Code::Unavailable`] if the platform does not answer in
/// time, if its answer breaks the protocol, or if the row does not contain a version.
pub async fn current_version(
    platform: &impl Platform,
    timeout: Duration,
) -> Result<Option<Versioned>, Failure> {
    let row = retry(timeout, || platform.get(ROW_KEY)).await?;
    row.map(decode_row).transpose().map_err(|error| Failure::new(Code::Unavailable, error))
}

/// Reads the configuration with content hash `hash`.
///
/// # Errors
///
/// Returns a failure with [`Code::Unavailable`] if the platform does not answer in
/// time, if its answer breaks the protocol, or if the object is missing, is not a
/// configuration or does not match `hash`.
pub async fn read_configuration(
    platform: &impl Platform,
    hash: ContentHash,
    timeout: Duration,
) -> Result<Configuration, Failure> {
    let name = hash.object_name();
    let bytes = retry(timeout, || platform.object(&name)).await?;
    let invalid = |what: &str| Failure::new(Code::Unavailable, format!("object {name} {what}"));
    let bytes = bytes.ok_or_else(|| invalid("is missing"))?;
    let parsed: Configuration =
        serde_json::from_slice(&bytes).map_err(|_| invalid("is not a configuration"))?;
    if ContentHash::new(&parsed) != hash {
        return Err(invalid("has content that does not match the hash in its name"));
    }
    Ok(parsed)
}
