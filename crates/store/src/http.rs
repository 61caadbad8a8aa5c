//! A client of the platform over HTTP and JSON.
//!
//! [`HttpPlatform`] implements [`Platform`] with one HTTP request for each call.
//! It does not retry failed requests. It counts the bytes of the answers to reads
//! for the metrics of the daemon.

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

use crate::{Platform, PlatformError, Row, Swap, Vm, body::read_body};

/// Estimated size in bytes of the headers of a request and its answer.
const HEADER_BYTES: u64 = 250;

/// Maximum size in bytes of the body of an answer.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Client of the platform over HTTP, which can be used only on the thread that
/// created it.
#[derive(Clone)]
pub struct HttpPlatform {
    client: Client,
    base: String,
    /// `ETag` of the last list of VMs, and the list.
    last_list: Rc<RefCell<(String, Vec<Vm>)>>,
    /// Bytes of reads since the last call of `take_transferred_bytes`.
    transferred: Rc<Cell<u64>>,
}

impl HttpPlatform {
    /// Creates a client of the platform at `base`, such as `http://10.0.0.1:80`,
    /// which waits at most `timeout` for an answer to begin.
    pub fn new(base: impl Into<String>, timeout: Duration) -> Self {
        let client = Client::builder().timeout(timeout).finish();
        HttpPlatform {
            client,
            base: base.into(),
            last_list: Rc::default(),
            transferred: Rc::default(),
        }
    }

    /// Returns the number of bytes in the answers to reads since the last call,
    /// including an estimate for headers. Writes are not counted.
    pub fn take_transferred_bytes(&self) -> u64 {
        self.transferred.take()
    }

    fn count_bytes(&self, body: &[u8]) {
        let bytes = u64::try_from(body.len()).unwrap_or(u64::MAX);
        self.transferred.set(self.transferred.get().saturating_add(HEADER_BYTES + bytes));
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    async fn read(&self, path: &str) -> Result<(StatusCode, Vec<u8>), PlatformError> {
        let mut answer = self.client.get(self.url(path)).send().await.map_err(unavailable)?;
        let body = read_body(&mut answer, MAX_ANSWER_BYTES).await.map_err(unavailable)?;
        self.count_bytes(&body);
        Ok((answer.status(), body.to_vec()))
    }
}

impl Platform for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        match self.read(&format!("/table/{key}")).await? {
            (StatusCode::OK, body) => decode(&body).map(Some),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, _) => Err(status_error(status)),
        }
    }

    async fn swap(&self, key: &str, expect: u64, value: Value) -> Result<Swap, PlatformError> {
        let url = self.url(&format!("/table/{key}"));
        let request = json!({ "expect": expect, "value": value });
        let mut answer = self.client.put(url).send_json(&request).await.map_err(unavailable)?;
        let body = read_body(&mut answer, MAX_ANSWER_BYTES).await.map_err(unavailable)?;
        match answer.status() {
            StatusCode::OK => decode(&body).map(Swap::Done),
            StatusCode::CONFLICT => decode(&body).map(Swap::Conflict),
            status => Err(status_error(status)),
        }
    }

    async fn object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        match self.read(&format!("/objects/{name}")).await? {
            (StatusCode::OK, body) => Ok(Some(body)),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, _) => Err(status_error(status)),
        }
    }

    async fn store(&self, name: &str, bytes: Vec<u8>) -> Result<(), PlatformError> {
        let url = self.url(&format!("/objects/{name}"));
        let answer = self.client.put(url).send_body(bytes).await.map_err(unavailable)?;
        match answer.status() {
            StatusCode::OK => Ok(()),
            status => Err(status_error(status)),
        }
    }

    async fn vms(&self) -> Result<Vec<Vm>, PlatformError> {
        let tag = self.last_list.borrow().0.clone();
        let request = self.client.get(self.url("/vms"));
        let request = request.insert_header((header::IF_NONE_MATCH, tag));
        let mut answer = request.send().await.map_err(unavailable)?;
        match answer.status() {
            StatusCode::NOT_MODIFIED => {
                self.count_bytes(&[]);
                Ok(self.last_list.borrow().1.clone())
            }
            StatusCode::OK => {
                let body = read_body(&mut answer, MAX_ANSWER_BYTES).await.map_err(unavailable)?;
                self.count_bytes(&body);
                let vms: Vec<Vm> = decode(&body)?;
                let tag = answer.headers().get(header::ETAG);
                let tag = tag.and_then(|tag| tag.to_str().ok()).unwrap_or_default().to_owned();
                *self.last_list.borrow_mut() = (tag, vms.clone());
                Ok(vms)
            }
            status => Err(status_error(status)),
        }
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|e| PlatformError::Protocol(e.to_string()))
}

fn status_error(status: StatusCode) -> PlatformError {
    if status.is_server_error() {
        return PlatformError::Unavailable(status.to_string());
    }
    PlatformError::Protocol(status.to_string())
}

fn unavailable(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::Unavailable(error.to_string())
}
