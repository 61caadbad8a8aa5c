//! One client session, which moves between VMs.
//!
//! A session sends reads and writes at a steady rate. It compares the answer to
//! each read with the numbers that it has written and read before.

use std::{sync::atomic::Ordering, time::Duration};

use rand::{RngExt, rngs::StdRng};
use tokio::time::{Instant, sleep_until, timeout};

use crate::load::{
    Arrival, Kind, Outcome, Request, SessionSettings,
    client::{Client, ClientError, Rows},
};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for an answer; exceeds every time limit of the proxy.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause after an attempt in which no VM could be reached.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Largest random deviation of the pause between two requests, as a share of
/// the pause.
const MAX_JITTER: f64 = 0.1;
/// Largest number of times that a request is sent again because a VM closes its
/// connections.
const MAX_RETRIES: u32 = 3;
/// SQLSTATEs with which a VM asks the client to connect to another VM.
const OTHER_VM_CODES: [&str; 2] = ["57P01", "57P03"];
/// Share of the writes that run in an explicit transaction block.
const TRANSACTION_SHARE: f64 = 0.1;

const INSERT: &str = "INSERT INTO writes (id, session, seq, account) VALUES ($1, $2, $3, $4)";
const SELECT: &str = "SELECT $2::text, max(seq) FROM writes WHERE session = $1";

/// State of one session.
pub(super) struct Session {
    index: usize,
    settings: SessionSettings,
    rng: StdRng,
    client: Option<Client>,
    vm: usize,
    token: Option<String>,
    arrival: Arrival,
    /// Number of requests since the session arrived at its VM.
    vm_requests: usize,
    /// Number of the last write that was sent.
    sent: i64,
    /// Number of the last write that was acknowledged.
    acknowledged: i64,
    /// Highest number that was read.
    read: i64,
    requests: Vec<Request>,
}

impl Session {
    pub(super) fn new(index: usize, settings: SessionSettings, mut rng: StdRng) -> Self {
        let vm = rng.random_range(0..settings.vms.len());
        Session {
            index,
            settings,
            rng,
            client: None,
            vm,
            token: None,
            arrival: Arrival::New,
            vm_requests: 0,
            sent: 0,
            acknowledged: 0,
            read: 0,
            requests: Vec::new(),
        }
    }

    /// Sends requests until the load is stopped.
    pub(super) async fn run(mut self) -> Vec<Request> {
        let mut next = Instant::now() + self.next_pause();
        while !self.settings.stop.load(Ordering::SeqCst) {
            sleep_until(next).await;
            self.step().await;
            // A session that was delayed does not catch up with a burst.
            next = (next + self.next_pause()).max(Instant::now());
        }
        if let Some(client) = self.client {
            client.close().await;
        }
        self.requests
    }

    fn next_pause(&mut self) -> Duration {
        self.settings.interval.mul_f64(self.rng.random_range(1.0 - MAX_JITTER..1.0 + MAX_JITTER))
    }

    async fn step(&mut self) {
        if self.vm_requests >= self.settings.roam_after {
            self.move_to_other().await;
        }
        let is_write = self.rng.random_bool(self.settings.write_share);
        let kind = if is_write { self.next_write() } else { Kind::Read };
        let started = self.settings.start.elapsed();
        let mut retries = 0;
        let (outcome, vm) = loop {
            let (outcome, vm) = self.attempt(kind).await;
            if retries == MAX_RETRIES || !is_retryable(&outcome) {
                break (outcome, vm);
            }
            retries += 1;
        };
        self.vm_requests += 1;
        self.requests.push(Request {
            kind,
            account: self.settings.account,
            vm,
            arrival: self.arrival,
            retries,
            started,
            ended: self.settings.start.elapsed(),
            outcome,
        });
    }

    /// Sends a request once and returns its outcome and the VM that was used.
    async fn attempt(&mut self, kind: Kind) -> (Outcome, usize) {
        if let Err(outcome) = self.connect().await {
            return (outcome, self.vm);
        }
        let vm = self.vm;
        (self.send(kind).await, vm)
    }

    fn next_write(&mut self) -> Kind {
        self.sent += 1;
        Kind::Write { id: ((self.index as i64) << 32) | self.sent }
    }

    /// Moves to another VM; the session token is dropped with a probability of
    /// one half.
    async fn move_to_other(&mut self) {
        if let Some(client) = self.client.take() {
            client.close().await;
        }
        if self.rng.random_bool(0.5) {
            self.token = None;
        }
        self.choose_vm();
    }

    fn choose_vm(&mut self) {
        let others = self.settings.vms.len() - 1;
        self.vm = (self.vm + self.rng.random_range(1..=others)) % self.settings.vms.len();
        self.vm_requests = 0;
    }

    /// Connects to the current VM, or to another one if it cannot be reached.
    async fn connect(&mut self) -> Result<(), Outcome> {
        if self.client.is_some() {
            return Ok(());
        }
        for _ in 0..self.settings.vms.len() {
            let address = self.settings.vms[self.vm];
            let connecting = Client::new(address, &self.settings.identity, self.token.as_deref());
            match timeout(CONNECT_TIMEOUT, connecting).await {
                Ok(Ok(client)) => {
                    self.client = Some(client);
                    self.arrival = match self.token {
                        Some(_) => Arrival::WithToken,
                        None if self.requests.is_empty() => Arrival::New,
                        None => Arrival::WithoutToken,
                    };
                    return Ok(());
                }
                Ok(Err(error @ ClientError::Server { .. })) => {
                    let outcome = outcome_of(&error);
                    self.choose_vm();
                    return Err(outcome);
                }
                Ok(Err(ClientError::Broken(_))) | Err(_) => self.choose_vm(),
            }
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
        Err(Outcome::Unreachable)
    }

    async fn send(&mut self, kind: Kind) -> Outcome {
        let Some(mut client) = self.client.take() else { return Outcome::Unreachable };
        let expected = self.acknowledged.max(self.read);
        let echo = format!("{}-{}", self.index, self.requests.len());
        let answered = timeout(ANSWER_TIMEOUT, self.run_request(&mut client, kind, &echo)).await;
        let Ok((result, is_usable)) = answered else {
            self.choose_vm();
            return Outcome::Cut;
        };
        if let Some(token) = client.token() {
            self.token = Some(token.to_owned());
        }
        match is_usable {
            true => self.client = Some(client),
            false => self.choose_vm(),
        }
        match (result, kind) {
            (Err(error), _) => error,
            (Ok(_), Kind::Write { .. }) => {
                self.acknowledged = self.sent;
                Outcome::Done
            }
            (Ok(rows), Kind::Read) => self.check_read(&rows, &echo, expected),
        }
    }

    /// Runs one request and returns its result and whether the connection can
    /// be used again.
    async fn run_request(
        &mut self,
        client: &mut Client,
        kind: Kind,
        echo: &str,
    ) -> (Result<Rows, Outcome>, bool) {
        let result = match kind {
            Kind::Read => {
                let params = [self.index.to_string(), echo.to_owned()];
                client.run(SELECT, &params).await
            }
            Kind::Write { id } => {
                let numbers = [id, self.index as i64, self.sent].map(|n| n.to_string());
                let params = [numbers.as_slice(), &[self.settings.name.to_owned()]].concat();
                if self.rng.random_bool(TRANSACTION_SHARE) {
                    return write_in_transaction(client, &params).await;
                }
                client.run(INSERT, &params).await
            }
        };
        let is_usable = !matches!(&result, Err(error) if error.is_fatal());
        (result.map_err(|error| outcome_of(&error)), is_usable)
    }

    /// Compares the row that a read returned with what the session wrote and
    /// read before.
    fn check_read(&mut self, rows: &Rows, echo: &str, expected: i64) -> Outcome {
        let [row] = rows.as_slice() else { return Outcome::Crossed };
        let [Some(echoed), newest] = row.as_slice() else { return Outcome::Crossed };
        let newest: i64 = newest.as_ref().and_then(|text| text.parse().ok()).unwrap_or(0);
        if echoed != echo || newest > self.sent {
            return Outcome::Crossed;
        }
        if newest < expected {
            return Outcome::Stale;
        }
        self.read = newest;
        Outcome::Done
    }
}

/// Writes a row in an explicit transaction and returns the result and whether
/// the connection can be used again.
///
/// If the server answers with an error before COMMIT was sent, the write counts
/// as not run, whatever the error says, because it cannot have taken effect.
async fn write_in_transaction(
    client: &mut Client,
    params: &[String],
) -> (Result<Rows, Outcome>, bool) {
    let inserted = match client.simple_query("BEGIN").await {
        Ok(_) => client.run(INSERT, params).await,
        Err(error) => Err(error),
    };
    if let Err(error) = inserted {
        let is_usable = !error.is_fatal() && client.simple_query("ROLLBACK").await.is_ok();
        let outcome = error.code().map_or(Outcome::Cut, |code| Outcome::NotRun(code.to_owned()));
        return (Err(outcome), is_usable);
    }
    match client.simple_query("COMMIT").await {
        Ok(rows) => (Ok(rows), true),
        Err(error) => (Err(outcome_of(&error)), !error.is_fatal()),
    }
}

/// Returns whether a stock client would send the request again to another VM.
fn is_retryable(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::NotRun(code) if OTHER_VM_CODES.contains(&code.as_str()))
}

/// Converts an error to the outcome of its request.
fn outcome_of(error: &ClientError) -> Outcome {
    match error {
        ClientError::Broken(_) => Outcome::Cut,
        ClientError::Server { code, .. } if error.is_not_run() => Outcome::NotRun(code.clone()),
        ClientError::Server { message, .. } if message.contains("committed") => Outcome::Committed,
        ClientError::Server { code, .. } => Outcome::Unknown(code.clone()),
    }
}
