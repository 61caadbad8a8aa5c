//! Connections to backend servers, held by this VM or borrowed from another.
//!
//! The homes of a server hold its connections. A statement that arrives on
//! another VM borrows one over the link between the two; its commands and their
//! answers pass through that link. When the link breaks, the home closes the
//! connection, which rolls back what had begun on it.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use chicoryhollow_core::{AccountId, ServerId};
use chicoryhollow_peer::{
    Body,
    fleet::{LeaseAnswer, LeaseCommand, LeaseEnd, LeaseOpen, LeasePrepare, LeaseSetup, LeaseState},
};
use indexmap::IndexMap;
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::timeout,
};

use crate::{
    engine::Engine,
    fleet::Link,
    pool::{Lease, PoolError, SETUP_TIMEOUT},
    seam::{Directory, LinkError, ServerProtocol},
    statement::{Access, Answer, Command, PreparedStatement},
};

/// Longest time for a home to say that it has lent a connection, beyond the wait
/// for one.
const OPEN_SLACK: Duration = Duration::from_millis(900);

/// Values of [`LeaseEnd::how`].
const CLOSE: u32 = 0;
const GIVE_BACK: u32 = 1;
const ROLL_BACK: u32 = 2;

/// Values of [`LeaseState::error`].
const WELL: u32 = 0;
const EXHAUSTED: u32 = 1;
const FULL: u32 = 2;
const UNREACHABLE: u32 = 3;

/// What a lease is told by its home.
#[derive(Debug)]
pub(crate) enum FromHome {
    State(LeaseState),
    Answer(LeaseAnswer),
}

/// A connection on loan.
pub(crate) enum Loan<S: ServerProtocol> {
    /// The connection is this VM's own.
    Local(Lease<S>),
    /// The connection is another VM's.
    Remote(Remote),
}

/// A connection of another VM.
pub(crate) struct Remote {
    link: Rc<Link>,
    lease: u64,
    server: ServerId,
    answers: UnboundedReceiver<FromHome>,
    ended: bool,
}

impl<S: ServerProtocol> Loan<S> {
    /// Returns the server that the connection leads to.
    pub(crate) fn server(&self) -> ServerId {
        match self {
            Loan::Local(lease) => lease.server(),
            Loan::Remote(remote) => remote.server.clone(),
        }
    }

    /// Runs a command and returns its answer, however long that takes.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    pub(crate) async fn run(&mut self, command: Command) -> Result<Answer, LinkError> {
        match self {
            Loan::Local(lease) => lease.run(command).await,
            Loan::Remote(remote) => remote.run(command).await,
        }
    }

    /// Runs a command that needs no slot.
    ///
    /// # Errors
    ///
    /// Fails when the connection does or no answer comes in time.
    pub(crate) async fn ask(&mut self, command: Command) -> Result<Answer, LinkError> {
        timeout(SETUP_TIMEOUT, self.run(command)).await.unwrap_or(Err(LinkError::TimedOut))
    }

    /// Gives the connection the values of a session, and `statement` if it is to be
    /// run.
    ///
    /// # Errors
    ///
    /// Fails when the connection does or the server refuses.
    pub(crate) async fn prepare(
        &mut self,
        values: &IndexMap<String, String>,
        statement: Option<&PreparedStatement>,
    ) -> Result<(), LinkError> {
        match self {
            Loan::Local(lease) => lease.prepare(values, statement).await,
            Loan::Remote(remote) => {
                if values.is_empty() && statement.is_none() {
                    return Ok(());
                }
                remote.prepare(values, statement).await
            }
        }
    }

    /// Rolls back what the connection has begun and gives it back.
    pub(crate) async fn roll_back(self) {
        match self {
            Loan::Local(lease) => lease.roll_back().await,
            Loan::Remote(remote) => remote.end(ROLL_BACK),
        }
    }

    /// Gives back a connection that is outside of a transaction.
    pub(crate) fn give_back(self) {
        match self {
            Loan::Local(lease) => lease.give_back(),
            Loan::Remote(remote) => remote.end(GIVE_BACK),
        }
    }
}

impl Remote {
    async fn run(&mut self, command: Command) -> Result<Answer, LinkError> {
        let json = serde_json::to_vec(&command).map_err(|_| LinkError::Malformed("command"))?;
        self.send(Body::LeaseCommand(LeaseCommand { lease: self.lease, command: json.into() }))?;
        match self.answers.recv().await {
            Some(FromHome::Answer(LeaseAnswer { answer: Some(json), .. })) => {
                serde_json::from_slice(&json).map_err(|_| LinkError::Malformed("answer"))
            }
            _ => {
                self.ended = true;
                Err(LinkError::Closed)
            }
        }
    }

    async fn prepare(
        &mut self,
        values: &IndexMap<String, String>,
        statement: Option<&PreparedStatement>,
    ) -> Result<(), LinkError> {
        let setup = Some(setup(values, statement));
        self.send(Body::LeasePrepare(LeasePrepare { lease: self.lease, setup }))?;
        let state = timeout(SETUP_TIMEOUT * 2, self.answers.recv()).await;
        match state.map_err(|_| LinkError::TimedOut)? {
            Some(FromHome::State(LeaseState { error: WELL, .. })) => Ok(()),
            _ => Err(LinkError::Closed),
        }
    }

    fn send(&self, body: Body) -> Result<(), LinkError> {
        if self.link.send(body) { Ok(()) } else { Err(LinkError::Closed) }
    }

    fn end(mut self, how: u32) {
        self.finish(how);
    }

    fn finish(&mut self, how: u32) {
        if !std::mem::replace(&mut self.ended, true) {
            // A link that takes nothing more is about to end, and the lease with it.
            self.link.send(Body::LeaseEnd(LeaseEnd { lease: self.lease, how }));
        }
        self.link.forget_lease(self.lease);
    }
}

impl Drop for Remote {
    fn drop(&mut self) {
        self.finish(CLOSE);
    }
}

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Borrows a connection to `server` for `account`, with a session's values
    /// and `statement` known on it.
    ///
    /// # Errors
    ///
    /// Fails when none comes free in time or the server cannot be reached.
    pub(crate) async fn borrow(
        &self,
        server: &ServerId,
        account: &AccountId,
        patience: Duration,
        values: &IndexMap<String, String>,
        statement: Option<&PreparedStatement>,
    ) -> Result<Loan<S>, PoolError> {
        match self.home_of(server, account) {
            Some(link) => {
                let remote = self
                    .open_remote(link, server, account, patience, setup(values, statement))
                    .await?;
                Ok(Loan::Remote(remote))
            }
            None => {
                let pool = self.pool(server).ok_or(PoolError::Connect(LinkError::Closed))?;
                let mut lease = pool.take(account, patience).await?;
                lease.prepare(values, statement).await.map_err(PoolError::Connect)?;
                Ok(Loan::Local(lease))
            }
        }
    }

    async fn open_remote(
        &self,
        link: Rc<Link>,
        server: &ServerId,
        account: &AccountId,
        patience: Duration,
        setup: LeaseSetup,
    ) -> Result<Remote, PoolError> {
        let (sender, answers) = unbounded_channel();
        let lease = link.add_lease(sender);
        let mut remote = Remote { link, lease, server: server.clone(), answers, ended: false };
        let open = LeaseOpen {
            lease,
            server: server.to_string(),
            account: account.to_string(),
            patience_ms: u32::try_from(patience.as_millis()).unwrap_or(u32::MAX),
            setup: Some(setup),
        };
        remote.send(Body::LeaseOpen(open)).map_err(PoolError::Connect)?;
        let state = timeout(patience + OPEN_SLACK, remote.answers.recv()).await;
        let error = match state {
            Ok(Some(FromHome::State(state))) => state.error,
            _ => UNREACHABLE,
        };
        match error {
            WELL => Ok(remote),
            EXHAUSTED => Err(PoolError::Exhausted),
            FULL => Err(PoolError::Full),
            _ => Err(PoolError::Connect(LinkError::Closed)),
        }
    }

    /// Lends a connection of this VM to another one and runs its commands.
    pub(crate) async fn lend(
        self: Rc<Self>,
        link: Rc<Link>,
        open: LeaseOpen,
        mut orders: UnboundedReceiver<Body>,
    ) {
        let lease = open.lease;
        match self.take_for(&open).await {
            Ok(mut taken) => {
                link.send(Body::LeaseState(LeaseState { lease, error: WELL }));
                while let Some(order) = orders.recv().await {
                    match self.obey(&link, taken, order, &mut orders).await {
                        Some(kept) => taken = kept,
                        None => break,
                    }
                }
            }
            Err(error) => {
                let error = match error {
                    PoolError::Exhausted => EXHAUSTED,
                    PoolError::Full => FULL,
                    PoolError::Connect(_) => UNREACHABLE,
                };
                link.send(Body::LeaseState(LeaseState { lease, error }));
            }
        }
        link.forget_loan(lease);
    }

    async fn take_for(&self, open: &LeaseOpen) -> Result<Lease<S>, PoolError> {
        let unknown = || PoolError::Connect(LinkError::WrongServer);
        let server = ServerId::new(&open.server).map_err(|_| unknown())?;
        let account = AccountId::new(&open.account).map_err(|_| unknown())?;
        let pool = self.pool(&server).ok_or_else(unknown)?;
        let patience = Duration::from_millis(open.patience_ms.into());
        let mut lease = pool.take(&account, patience).await?;
        if let Some((values, statement)) = open.setup.as_ref().map(read_setup) {
            lease.prepare(&values, statement.as_ref()).await.map_err(PoolError::Connect)?;
        }
        Ok(lease)
    }

    /// Carries out one order of a borrower; returns the lease while it lasts.
    async fn obey(
        &self,
        link: &Link,
        mut taken: Lease<S>,
        order: Body,
        orders: &mut UnboundedReceiver<Body>,
    ) -> Option<Lease<S>> {
        match order {
            Body::LeaseCommand(command) => {
                let lease = command.lease;
                let parsed = serde_json::from_slice::<Command>(&command.command).ok()?;
                let answer = tokio::select! {
                    answer = taken.run(parsed) => answer,
                    // A borrower that ends the lease now has given up on the answer.
                    _ = orders.recv() => return None,
                };
                let json = answer.ok().and_then(|answer| serde_json::to_vec(&answer).ok());
                let lost = json.is_none();
                link.send(Body::LeaseAnswer(LeaseAnswer { lease, answer: json.map(Bytes::from) }));
                (!lost).then_some(taken)
            }
            Body::LeasePrepare(prepare) => {
                let (values, statement) = read_setup(&prepare.setup?);
                let prepared = taken.prepare(&values, statement.as_ref()).await;
                let error = if prepared.is_ok() { WELL } else { UNREACHABLE };
                link.send(Body::LeaseState(LeaseState { lease: prepare.lease, error }));
                prepared.ok().map(|()| taken)
            }
            Body::LeaseEnd(end) => {
                match end.how {
                    GIVE_BACK => taken.give_back(),
                    ROLL_BACK => taken.roll_back().await,
                    _ => drop(taken),
                }
                None
            }
            _ => None,
        }
    }
}

fn setup(values: &IndexMap<String, String>, statement: Option<&PreparedStatement>) -> LeaseSetup {
    LeaseSetup {
        values: values.iter().flat_map(|(name, value)| [name.clone(), value.clone()]).collect(),
        shape: statement.map(|statement| statement.text.clone()),
        writes: statement.is_some_and(|statement| statement.access == Access::Write),
    }
}

fn read_setup(setup: &LeaseSetup) -> (IndexMap<String, String>, Option<PreparedStatement>) {
    let pairs = setup.values.chunks_exact(2);
    let values = pairs.map(|pair| (pair[0].clone(), pair[1].clone())).collect();
    let access = if setup.writes { Access::Write } else { Access::Read };
    (values, setup.shape.clone().map(|text| PreparedStatement { access, text }))
}

/// Sends orders of a borrower to the task that carries them out.
pub(crate) type Orders = UnboundedSender<Body>;
