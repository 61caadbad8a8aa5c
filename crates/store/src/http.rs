//! The platform over HTTP and JSON.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use awc::{
    Client,
    http::{StatusCode, header},
};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::{Platform, PlatformError, Row, Swap, Vm};

/// Bytes of the headers of a request and its answer.
const HEADER_BYTES: u64 = 250;

/// Longest answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// The platform reached over HTTP; it stays on the thread that made it.
#[derive(Clone)]
pub struct HttpPlatform {
    client: Client,
    base: String,
    /// The last list of VMs with its tag.
    listed: Rc<RefCell<(String, Vec<Vm>)>>,
    /// Bytes moved since they were last asked for.
    moved: Rc<Cell<u64>>,
}

impl HttpPlatform {
    /// Makes a client of the platform at `base`, such as `http://10.0.0.1:80`,
    /// that waits at most `timeout` for an answer.
    pub fn new(base: impl Into<String>, timeout: Duration) -> Self {
        let client = Client::builder().timeout(timeout).finish();
        HttpPlatform { client, base: base.into(), listed: Rc::default(), moved: Rc::default() }
    }

    /// Returns the bytes of answers, with an estimate for headers, since the
    /// last call.
    pub fn take_transferred_bytes(&self) -> u64 {
        self.moved.take()
    }

    fn count(&self, body: &[u8]) {
        let bytes = u64::try_from(body.len()).unwrap_or(u64::MAX);
        self.moved.set(self.moved.get().saturating_add(HEADER_BYTES + bytes));
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    async fn read(&self, path: &str) -> Result<(StatusCode, Vec<u8>), PlatformError> {
        let mut answer = self.client.get(self.url(path)).send().await.map_err(unavailable)?;
        let body = answer.body().limit(MAX_ANSWER_BYTES).await.map_err(unavailable)?;
        self.count(&body);
        Ok((answer.status(), body.to_vec()))
    }
}

impl Platform for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        match self.read(&format!("/table/{key}")).await? {
            (StatusCode::OK, body) => decode(&body).map(Some),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, _) => Err(refused(status)),
        }
    }

    async fn swap(&self, key: &str, expect: u64, value: Value) -> Result<Swap, PlatformError> {
        let url = self.url(&format!("/table/{key}"));
        let request = json!({ "expect": expect, "value": value });
        let mut answer = self.client.put(url).send_json(&request).await.map_err(unavailable)?;
        let body = answer.body().limit(MAX_ANSWER_BYTES).await.map_err(unavailable)?;
        match answer.status() {
            StatusCode::OK => decode(&body).map(Swap::Done),
            StatusCode::CONFLICT => decode(&body).map(Swap::Conflict),
            status => Err(refused(status)),
        }
    }

    async fn object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        match self.read(&format!("/objects/{name}")).await? {
            (StatusCode::OK, body) => Ok(Some(body)),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, _) => Err(refused(status)),
        }
    }

    async fn store(&self, name: &str, bytes: Vec<u8>) -> Result<(), PlatformError> {
        let url = self.url(&format!("/objects/{name}"));
        let answer = self.client.put(url).send_body(bytes).await.map_err(unavailable)?;
        match answer.status() {
            StatusCode::OK => Ok(()),
            status => Err(refused(status)),
        }
    }

    async fn vms(&self) -> Result<Vec<Vm>, PlatformError> {
        let tag = self.listed.borrow().0.clone();
        let request = self.client.get(self.url("/vms"));
        let request = request.insert_header((header::IF_NONE_MATCH, tag));
        let mut answer = request.send().await.map_err(unavailable)?;
        match answer.status() {
            StatusCode::NOT_MODIFIED => {
                self.count(&[]);
                Ok(self.listed.borrow().1.clone())
            }
            StatusCode::OK => {
                let body = answer.body().limit(MAX_ANSWER_BYTES).await.map_err(unavailable)?;
                self.count(&body);
                let vms: Vec<Vm> = decode(&body)?;
                let tag = answer.headers().get(header::ETAG);
                let tag = tag.and_then(|tag| tag.to_str().ok()).unwrap_or_default().to_owned();
                *self.listed.borrow_mut() = (tag, vms.clone());
                Ok(vms)
            }
            status => Err(refused(status)),
        }
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|e| PlatformError::Protocol(e.to_string()))
}

fn refused(status: StatusCode) -> PlatformError {
    if status.is_server_error() {
        return PlatformError::Unavailable(status.to_string());
    }
    PlatformError::Protocol(status.to_string())
}

fn unavailable(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::Unavailable(error.to_string())
}
