/*!
Clients that put a deployment under load and note what became of each request.

# Guided tour

* [`client`] is a thin client of the PostgreSQL wire protocol.
* [`Load`] runs sessions of all accounts and collects their [`Request`]s.
* [`Request`] says when a request ran, for whom, and its [`Outcome`].
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

/// What a request did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Read what the session wrote last.
    Read,
    /// Wrote one row.
    Write {
        /// Unique number of the row.
        id: i64,
    },
}

/// What became of a request, as its client saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It was answered in full.
    Done,
    /// It was answered with older data than the session had seen.
    Stale,
    /// It was answered with what belongs to another request or session.
    Crossed,
    /// It was refused with the claim that it did not run.
    NotRun(String),
    /// Its answer was lost, with the claim that it took effect.
    Committed,
    /// It failed without a claim whether it ran.
    Unknown(String),
    /// Its connection ended without an answer.
    Cut,
    /// No VM could be reached.
    Unreachable,
}

/// How a session came to the VM that it asks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// It is new.
    New,
    /// It moved there and showed its token.
    WithToken,
    /// It moved there and showed no token.
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
    /// What it did.
    pub kind: Kind,
    /// Index of the account.
    pub account: usize,
    /// Index of the VM that was asked.
    pub vm: usize,
    /// How the session came there.
    pub arrival: Arrival,
    /// Times that it was sent again after a VM that refused it to end its
    /// connections.
    pub retries: u32,
    /// When it was sent, since the load began.
    pub started: Duration,
    /// When its answer had arrived.
    pub ended: Duration,
    /// What became of it.
    pub outcome: Outcome,
}

impl Request {
    /// Tells whether the request got its result.
    pub fn succeeded(&self) -> bool {
        self.outcome == Outcome::Done
    }
}

/// How much load to make.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Sessions of each account.
    pub sessions: usize,
    /// Share of its rate at which each account sends, by account.
    pub intensity: Vec<f64>,
    /// Requests after which a session moves to another VM.
    pub roam_after: usize,
}

impl LoadOptions {
    /// Makes the options of a load in which all accounts send at four fifths of
    /// their rate.
    pub fn new(deployment: &Deployment, seed: u64) -> Self {
        LoadOptions {
            seed,
            sessions: 4,
            intensity: vec![0.8; deployment.accounts.len()],
            roam_after: 25,
        }
    }
}

/// What all sessions of an account share.
#[derive(Clone, Debug)]
struct Plan {
    account: usize,
    name: &'static str,
    identity: Identity,
    writes: f64,
    interval: Duration,
    roam_after: usize,
    vms: Vec<SocketAddr>,
    began: Instant,
    stop: Arc<AtomicBool>,
}

/// A running load.
#[derive(Debug)]
pub struct Load {
    began: Instant,
    stop: Arc<AtomicBool>,
    sessions: JoinSet<Vec<Request>>,
}

impl Load {
    /// Starts all sessions against a cluster.
    pub fn new(cluster: &Cluster, options: &LoadOptions) -> Self {
        let deployment = cluster.deployment();
        let began = Instant::now();
        let stop = Arc::new(AtomicBool::new(false));
        let mut sessions = JoinSet::new();
        let vms: Vec<_> = (0..deployment.vms).map(|vm| cluster.caller_address(vm)).collect();
        for (account, size) in deployment.accounts.iter().enumerate() {
            let rate = size.rate * options.intensity[account] / options.sessions as f64;
            let plan = Plan {
                account,
                name: size.name,
                identity: identity(deployment, account),
                writes: size.writes,
                interval: Duration::from_secs_f64(1.0 / rate),
                roam_after: options.roam_after,
                vms: vms.clone(),
                began,
                stop: Arc::clone(&stop),
            };
            for number in 0..options.sessions {
                let index = account * options.sessions + number;
                let rng = StdRng::seed_from_u64(options.seed ^ ((index as u64) << 32));
                sessions.spawn(Session::new(index, plan.clone(), rng).run());
            }
        }
        Load { began, stop, sessions }
    }

    /// Returns the time since the load began.
    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// Ends all sessions after their present request and returns what became
    /// of all requests, in order of their start.
    pub async fn finish(self) -> Vec<Request> {
        self.stop.store(true, Ordering::SeqCst);
        let mut requests = self.sessions.join_all().await.concat();
        requests.sort_by_key(|request| request.started);
        requests
    }
}
