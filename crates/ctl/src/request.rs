//! Requests to the platform that are repeated while it does not answer.

use std::{future::Future, time::Duration};

use actix_web::rt::time::{Instant, sleep};
use chicoryhollow_config::{
    Configuration, ContentHash,
    publish::{Published, ROW_KEY, Versioned},
};
use chicoryhollow_store::{Platform, PlatformError, Row};

use crate::output::{Code, Failure};

/// Pause between two requests that read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Repeats a request that only reads until it is answered or `timeout` is over.
///
/// # Errors
///
/// Returns the failure of the last request.
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

/// Turns a row of the table into the version that it names.
///
/// # Errors
///
/// Returns an error when the row holds something else.
pub fn decode_row(row: Row) -> Result<Versioned, PlatformError> {
    let value = serde_json::from_value::<Published>(row.value)
        .map_err(|error| PlatformError::Protocol(format!("a row that is no version: {error}")))?;
    Ok(Versioned { version: row.version, value })
}

/// Reads which version is in force; `None` before the first one.
///
/// # Errors
///
/// Returns a failure when the platform does not answer in time.
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
/// Returns a failure when the platform does not answer in time, or when the
/// object is missing or has another content.
pub async fn read_configuration(
    platform: &impl Platform,
    hash: ContentHash,
    timeout: Duration,
) -> Result<Configuration, Failure> {
    let name = hash.object_name();
    let bytes = retry(timeout, || platform.object(&name)).await?;
    let broken = |what: &str| Failure::new(Code::Unavailable, format!("object {name} {what}"));
    let bytes = bytes.ok_or_else(|| broken("is missing"))?;
    let parsed: Configuration =
        serde_json::from_slice(&bytes).map_err(|_| broken("is no configuration"))?;
    if ContentHash::new(&parsed) != hash {
        return Err(broken("has another content than its name says"));
    }
    Ok(parsed)
}
