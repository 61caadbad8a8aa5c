//! Executes the steps of [`Publisher`] on the platform.

use std::time::Duration;

use actix_web::rt::time::{Instant, sleep};
use chicoryhollow_config::{
    Configuration, ContentHash, Delta,
    publish::{ApplyId, Event, Published, Publisher, ROW_KEY, Step, Versioned},
};
use chicoryhollow_core::Time;
use chicoryhollow_store::{Platform, PlatformError, Swap};

use crate::request::decode_row;

/// The version that a new configuration is based on.
#[derive(Clone, Debug, PartialEq)]
pub struct Base {
    /// The row as it was read.
    pub row: Versioned,
    /// The configuration that the row names.
    pub configuration: Configuration,
}

/// The reason why a configuration was not published.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PublishError {
    /// Another configuration was published first.
    #[error("another configuration was published first, as version {0}")]
    Conflict(u64),
    /// The platform did not answer in time, and nothing was published.
    #[error("the platform did not answer in time; nothing was published")]
    Unavailable,
    /// The platform did not answer in time, and the outcome is not known.
    #[error("the platform did not answer in time; outcome unknown")]
    Unknown,
    /// The platform sent an answer that breaks the protocol.
    #[error("{0}")]
    Protocol(PlatformError),
}

/// The objects and the row that one attempt writes.
struct Attempt<'a, P> {
    platform: &'a P,
    objects: Vec<(String, Vec<u8>)>,
    value: Published,
}

/// Publishes `next` as the successor of `base` and returns its version.
///
/// # Errors
///
/// Returns an error if another configuration was published first, or if the
/// platform did not answer within `timeout` or broke the protocol.
pub async fn publish(
    platform: &impl Platform,
    base: Option<&Base>,
    next: &Configuration,
    apply: ApplyId,
    timeout: Duration,
) -> Result<u64, PublishError> {
    let attempt = Attempt::new(platform, base, next, apply);
    let started = Instant::now();
    let now = || Time::default() + started.elapsed();
    let mut rng = rand::rng();
    let mut publisher = Publisher::new(attempt.value.base, apply, now() + timeout);
    let mut step = publisher.start();
    loop {
        let event = match step {
            Step::Done(version) => return Ok(version),
            Step::Conflict(version) => return Err(PublishError::Conflict(version)),
            Step::Unavailable => return Err(PublishError::Unavailable),
            Step::Unknown => return Err(PublishError::Unknown),
            Step::Wait(pause) => {
                sleep(pause).await;
                Ok(Event::Waited)
            }
            Step::Store => attempt.store().await,
            Step::Swap => attempt.swap().await,
            Step::Read => attempt.read().await,
        };
        let event = match event {
            Ok(event) => event,
            Err(PlatformError::Unavailable(_)) => Event::Unavailable,
            Err(error) => return Err(PublishError::Protocol(error)),
        };
        step = publisher.handle(event, now(), &mut rng);
    }
}

impl<'a, P: Platform> Attempt<'a, P> {
    fn new(platform: &'a P, base: Option<&Base>, next: &Configuration, apply: ApplyId) -> Self {
        let json = |value: Result<Vec<u8>, _>| value.expect("a configuration is always JSON");
        let hash = ContentHash::new(next);
        let mut value = Published::new(hash, apply);
        let mut objects = vec![(hash.object_name(), json(serde_json::to_vec(next)))];
        if let Some(base) = base {
            value = value.with_base(&base.row);
            let delta = Delta::new(&base.configuration, next);
            let name = base.row.value.hash.delta_object_name(&hash);
            objects.push((name, json(serde_json::to_vec(&delta))));
        }
        Attempt { platform, objects, value }
    }

    async fn store(&self) -> Result<Event, PlatformError> {
        for (name, bytes) in &self.objects {
            self.platform.store(name, bytes.clone()).await?;
        }
        Ok(Event::Stored)
    }

    async fn swap(&self) -> Result<Event, PlatformError> {
        let value = serde_json::to_value(&self.value).expect("a row is always JSON");
        match self.platform.swap(ROW_KEY, self.value.base, value).await? {
            Swap::Done(row) => Ok(Event::Swapped(row.version)),
            Swap::Conflict(row) => Ok(Event::Row(row.map(decode_row).transpose()?)),
        }
    }

    async fn read(&self) -> Result<Event, PlatformError> {
        let row = self.platform.get(ROW_KEY).await?;
        Ok(Event::Row(row.map(decode_row).transpose()?))
    }
}
