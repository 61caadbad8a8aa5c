/*!
Clients that put a deployment under load and record the outcome of each request.

Each session writes numbered rows and reads back its last one, so that the
[`checker`](crate::checker) can find lost writes and stale reads. Sessions move
between VMs, with and without their session token.

# Guided tour

* [`client`] is a minimal client of the PostgreSQL wire protocol.
* [`Load`] runs sessions of all accounts and collects their [`Request`]s.
* [`Request`] records the time, account and [`Outcome`] of a request.
*/

pub mod client;
mod session;

use std::{
    fmt,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::StdRng};
use tokio::task::JoinSet;

use crate::{
    cluster::{Cluster, Deployment, identity},
    load::{client::Identity, session::Session},
};

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Reads the highest number that the session has written.
    Read,
    /// Writes one row.
    Write {
        /// Unique number of the row.
        id: i64,
    },
}

/// Outcome of a request as its client saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer was complete and correct.
    Done,
    /// The answer had older data than the session had already seen.
    Stale,
    /// The answer belongs to another request or session.
    Crossed,
    /// The error says that the request did not run; holds the SQLSTATE.
    NotRun(String),
    /// The error says that the request was committed but its answer was lost.
    Committed,
    /// The error does not say whether the request ran; holds the SQLSTATE.
    Unknown(String),
    /// The connection closed, or the time limit passed, before a complete
    /// answer arrived.
    Cut,
    /// No VM could be reached.
    Unreachable,
}

/// How a session arrived at its VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// It is a new session.
    New,
    /// It moved there and presented its session token.
    WithToken,
    /// It moved there without a session token.
    WithoutToken,
}

impl fmt::Display for Arrival {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Arrival::New => "in a new session",
            Arrival::WithToken => "after a move with a token",
            Arrival::WithoutToken => "after a move without a token",
        })
    }
}

/// One request of a session.
#[derive(Clone, Debug)]
pub struct Request {
    /// Kind of the request.
    pub kind: Kind,
    /// Index of the account.
    pub account: usize,
    /// Index of the VM that it was sent to last.
    pub vm: usize,
    /// How the session arrived at that VM.
    pub arrival: Arrival,
    /// Number of times that it was sent again because a VM that closes its
    /// connections refused it.
    pub retries: u32,
    /// Time from the start of the load to the first attempt.
    pub started: Duration,
    /// Time from the start of the load to the end of the last attempt.
    pub ended: Duration,
    /// Outcome of the last attempt.
    pub outcome: Outcome,
}

impl Request {
    /// Returns whether the request got a complete and correct answer.
    pub fn succeeded(&self) -> bool {
        self.outcome == Outcome::Done
    }
}

/// Options of a load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of sessions of each account.
    pub sessions: usize,
    /// Request rate of each account as a multiple of its permitted rate, by
    /// account index.
    pub intensity: Vec<f64>,
    /// Number of requests after which a session moves to another VM.
    pub roam_after: usize,
}

impl LoadOptions {
    /// Creates the options of a load in which all accounts send at 80 % of
    /// their permitted rate.
    pub fn new(deployment: &Deployment, seed: u64) -> Self {
        LoadOptions {
            seed,
            sessions: 4,
            intensity: vec![0.8; deployment.accounts.len()],
            roam_after: 25,
        }
    }
}

/// Settings that all sessions of an account share.
#[derive(Clone, Debug)]
struct SessionSettings {
    account: usize,
    name: &'static str,
    identity: Identity,
    write_share: f64,
    interval: Duration,
    roam_after: usize,
    vms: Vec<SocketAddr>,
    start: Instant,
    stop: Arc<AtomicBool>,
}

/// A running load.
#[derive(Debug)]
pub struct Load {
    start: Instant,
    stop: Arc<AtomicBool>,
    sessions: JoinSet<Vec<Request>>,
}

impl Load {
    /// Starts the sessions of all accounts of a cluster.
    pub fn new(cluster: &Cluster, options: &LoadOptions) -> Self {
        let deployment = cluster.deployment();
        let start = Instant::now();
        let stop = Arc::new(AtomicBool::new(false));
        let mut sessions = JoinSet::new();
        let vms: Vec<_> = (0..deployment.vms).map(|vm| cluster.caller_address(vm)).collect();
        for (account, size) in deployment.accounts.iter().enumerate() {
            let rate = size.rate * options.intensity[account] / options.sessions as f64;
            let settings = SessionSettings {
                account,
                name: size.name,
                identity: identity(deployment, account),
                write_share: size.writes,
                interval: Duration::from_secs_f64(1.0 / rate),
                roam_after: options.roam_after,
                vms: vms.clone(),
                start,
                stop: Arc::clone(&stop),
            };
            for number in 0..options.sessions {
                let index = account * options.sessions + number;
                let rng = StdRng::seed_from_u64(options.seed ^ ((index as u64) << 32));
                sessions.spawn(Session::new(index, settings.clone(), rng).run());
            }
        }
        Load { start, stop, sessions }
    }

    /// Returns the time since the start of the load.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Stops all sessions after their current request and returns all requests
    /// in order of their start.
    pub async fn finish(self) -> Vec<Request> {
        self.stop.store(true, Ordering::SeqCst);
        let mut requests = self.sessions.join_all().await.concat();
        requests.sort_by_key(|request| request.started);
        requests
    }
}
