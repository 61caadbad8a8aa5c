//! One client session, which may move between VMs.

use std::{sync::atomic::Ordering, time::Duration};

use rand::{RngExt, rngs::StdRng};
use tokio::time::{Instant, sleep_until, timeout};

use crate::load::{
    Arrival, Kind, Outcome, Plan, Request,
    client::{Client, ClientError, Rows},
};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for an answer; longer than any deadline of the proxy.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause after all VMs were found unreachable.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Deviation of the pauses between requests.
const JITTER: f64 = 0.1;
/// Times that a request is sent again after a VM that ends its connections.
const MAX_RETRIES: u32 = 3;
/// SQLSTATEs with which a VM says that another one should be asked.
const ASK_ANOTHER_VM: [&str; 2] = ["57P01", "57P03"];
/// Share of the writes that run in a transaction of several statements.
const TRANSACTIONS: f64 = 0.1;

const INSERT: &str = "INSERT INTO writes (id, session, seq, account) VALUES ($1, $2, $3, $4)";
const SELECT: &str = "SELECT $2::text, max(seq) FROM writes WHERE session = $1";

/// State of one session.
pub(super) struct Session {
    index: usize,
    plan: Plan,
    rng: StdRng,
    client: Option<Client>,
    vm: usize,
    token: Option<String>,
    arrival: Arrival,
    /// Requests since the session came to its VM.
    served: usize,
    /// Number of the last write that was sent.
    sent: i64,
    /// Number of the last write that was acknowledged.
    acknowledged: i64,
    /// Largest number that was read.
    read: i64,
    requests: Vec<Request>,
}

impl Session {
    pub(super) fn new(index: usize, plan: Plan, mut rng: StdRng) -> Self {
        let vm = rng.random_range(0..plan.vms.len());
        Session {
            index,
            plan,
            rng,
            client: None,
            vm,
            token: None,
            arrival: Arrival::New,
            served: 0,
            sent: 0,
            acknowledged: 0,
            read: 0,
            requests: Vec::new(),
        }
    }

    /// Sends requests until the load is stopped.
    pub(super) async fn run(mut self) -> Vec<Request> {
        let mut next = Instant::now() + self.pause();
        while !self.plan.stop.load(Ordering::SeqCst) {
            sleep_until(next).await;
            self.step().await;
            // A session that was held up does not make up for it by a burst.
            next = (next + self.pause()).max(Instant::now());
        }
        if let Some(client) = self.client {
            client.close().await;
        }
        self.requests
    }

    fn pause(&mut self) -> Duration {
        self.plan.interval.mul_f64(self.rng.random_range(1.0 - JITTER..1.0 + JITTER))
    }

    async fn step(&mut self) {
        if self.served >= self.plan.roam_after {
            self.roam().await;
        }
        let writes = self.rng.random_bool(self.plan.writes);
        let kind = if writes { self.next_write() } else { Kind::Read };
        let started = self.plan.began.elapsed();
        let mut retries = 0;
        let (outcome, vm) = loop {
            let (outcome, vm) = self.attempt(kind).await;
            if retries == MAX_RETRIES || !is_retried(&outcome) {
                break (outcome, vm);
            }
            retries += 1;
        };
        self.served += 1;
        self.requests.push(Request {
            kind,
            account: self.plan.account,
            vm,
            arrival: self.arrival,
            retries,
            started,
            ended: self.plan.began.elapsed(),
            outcome,
        });
    }

    /// Sends a request once; tells also which VM was asked.
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

    /// Moves to another VM, half of the times without its token.
    async fn roam(&mut self) {
        if let Some(client) = self.client.take() {
            client.close().await;
        }
        if self.rng.random_bool(0.5) {
            self.token = None;
        }
        self.choose_vm();
    }

    fn choose_vm(&mut self) {
        let others = self.plan.vms.len() - 1;
        self.vm = (self.vm + self.rng.random_range(1..=others)) % self.plan.vms.len();
        self.served = 0;
    }

    /// Connects to a VM; tries the others when it cannot be reached.
    async fn connect(&mut self) -> Result<(), Outcome> {
        if self.client.is_some() {
            return Ok(());
        }
        for _ in 0..self.plan.vms.len() {
            let address = self.plan.vms[self.vm];
            let connecting = Client::new(address, &self.plan.identity, self.token.as_deref());
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
                    let outcome = failure(&error);
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
        let answered = timeout(ANSWER_TIMEOUT, self.exchange(&mut client, kind, &echo)).await;
        let Ok((result, client_usable)) = answered else {
            self.choose_vm();
            return Outcome::Cut;
        };
        if let Some(token) = client.token() {
            self.token = Some(token.to_owned());
        }
        match client_usable {
            true => self.client = Some(client),
            false => self.choose_vm(),
        }
        match (result, kind) {
            (Err(error), _) => error,
            (Ok(_), Kind::Write { .. }) => {
                self.acknowledged = self.sent;
                Outcome::Done
            }
            (Ok(rows), Kind::Read) => self.judge(&rows, &echo, expected),
        }
    }

    /// Runs one request; tells also whether the connection can be used again.
    async fn exchange(
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
                let params = [numbers.as_slice(), &[self.plan.name.to_owned()]].concat();
                if self.rng.random_bool(TRANSACTIONS) {
                    return write_in_transaction(client, &params).await;
                }
                client.run(INSERT, &params).await
            }
        };
        let usable = !matches!(&result, Err(error) if error.is_fatal());
        (result.map_err(|error| failure(&error)), usable)
    }

    fn judge(&mut self, rows: &Rows, echo: &str, expected: i64) -> Outcome {
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

/// Writes inside a transaction. What fails before the commit was sent cannot
/// have taken effect, whatever the error says.
async fn write_in_transaction(
    client: &mut Client,
    params: &[String],
) -> (Result<Rows, Outcome>, bool) {
    let begun = match client.simple_query("BEGIN").await {
        Ok(_) => client.run(INSERT, params).await,
        Err(error) => Err(error),
    };
    if let Err(error) = begun {
        let usable = !error.is_fatal() && client.simple_query("ROLLBACK").await.is_ok();
        let outcome = error.code().map_or(Outcome::Cut, |code| Outcome::NotRun(code.to_owned()));
        return (Err(outcome), usable);
    }
    match client.simple_query("COMMIT").await {
        Ok(rows) => (Ok(rows), true),
        Err(error) => (Err(failure(&error)), !error.is_fatal()),
    }
}

/// Tells whether a stock client would send the request again elsewhere.
fn is_retried(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::NotRun(code) if ASK_ANOTHER_VM.contains(&code.as_str()))
}

/// Reads from an error what became of the request.
fn failure(error: &ClientError) -> Outcome {
    match error {
        ClientError::Broken(_) => Outcome::Cut,
        ClientError::Server { code, .. } if error.is_not_run() => Outcome::NotRun(code.clone()),
        ClientError::Server { message, .. } if message.contains("committed") => Outcome::Committed,
        ClientError::Server { code, .. } => Outcome::Unknown(code.clone()),
    }
}
