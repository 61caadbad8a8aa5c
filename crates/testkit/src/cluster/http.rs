//! HTTP requests to the daemons and the stand-in platform of a cluster.

use std::time::Duration;

use awc::Client;
use serde::Serialize;

use crate::cluster::ClusterError;

/// Longest wait for the answer to a request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

fn client() -> Client {
    Client::builder().timeout(ANSWER_TIMEOUT).finish()
}

fn failed(url: &str, error: impl std::fmt::Display) -> ClusterError {
    ClusterError::Request(format!("{url}: {error}"))
}

/// Requests a resource and returns its body.
pub(super) async fn get(url: &str) -> Result<String, ClusterError> {
    let mut answer = client().get(url).send().await.map_err(|e| failed(url, e))?;
    let body = answer.body().await.map_err(|e| failed(url, e))?;
    if !answer.status().is_success() {
        return Err(failed(url, answer.status()));
    }
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Replaces a resource by a JSON body.
pub(super) async fn put(url: &str, body: &impl Serialize) -> Result<(), ClusterError> {
    let answer = client().put(url).send_json(body).await.map_err(|e| failed(url, e))?;
    match answer.status().is_success() {
        true => Ok(()),
        false => Err(failed(url, answer.status())),
    }
}

/// Deletes a resource.
pub(super) async fn delete(url: &str) -> Result<(), ClusterError> {
    let answer = client().delete(url).send().await.map_err(|e| failed(url, e))?;
    match answer.status().is_success() {
        true => Ok(()),
        false => Err(failed(url, answer.status())),
    }
}
