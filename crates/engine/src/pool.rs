//! Connections to one backend server.
//!
//! A connection runs statements of one client account. It serves one
//! transaction at a time, and only a connection that is known to be clean goes
//! back; any other is closed, which rolls back what it had begun.

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use chicoryhollow_core::{AccountId, ServerId, Time, home::FALLBACK_CONNECTIONS};
use indexmap::IndexMap;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

use crate::{
    catalog::ServerEntry,
    clock,
    seam::{LinkError, ServerLink, ServerProtocol, Target},
    statement::{Answer, Command, PreparedStatement, TransactionState},
};

/// Longest time for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest time for the answer to a command that needs no slot.
pub(crate) const SETUP_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a home closes an unused connection.
const IDLE_LIMIT: Duration = Duration::from_secs(20);

/// Time after which another VM closes an unused connection, which takes the place
/// of one of the homes'.
const FOREIGN_IDLE_LIMIT: Duration = Duration::from_millis(300);

/// Time during which no connection is opened after the server was full.
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// Statements prepared on one connection before it is cleared.
const MAX_PREPARED: usize = 256;

/// A connection and what the server remembers on it.
struct Connection<L> {
    link: L,
    account: AccountId,
    values: IndexMap<String, String>,
    prepared: HashSet<String>,
    /// Answers that are still to come and that nobody needs.
    unread: usize,
    used: Time,
}

/// Connections to one backend server.
pub(crate) struct Pool<S: ServerProtocol> {
    protocol: Rc<S>,
    entry: RefCell<ServerEntry>,
    idle: RefCell<Vec<Connection<S::Link>>>,
    open: Cell<u32>,
    limit: Cell<u32>,
    permits: Arc<Semaphore>,
    full_until: Cell<Time>,
    connects: Cell<u64>,
}

/// Why no connection could be had.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PoolError {
    /// All connections stayed in use.
    #[error("all connections are in use")]
    Exhausted,
    /// The server takes no more connections.
    #[error("the server is full")]
    Full,
    /// The server could not be reached.
    #[error("connecting failed: {0}")]
    Connect(LinkError),
}

impl<S: ServerProtocol> Pool<S> {
    /// Makes a pool of at most `limit` connections to `entry`.
    pub(crate) fn new(protocol: Rc<S>, entry: ServerEntry, limit: u32) -> Self {
        Pool {
            protocol,
            entry: RefCell::new(entry),
            idle: RefCell::new(Vec::new()),
            open: Cell::new(0),
            limit: Cell::new(limit),
            permits: Arc::new(Semaphore::new(limit as usize)),
            full_until: Cell::new(Time::default()),
            connects: Cell::new(0),
        }
    }

    /// Takes over a changed entry; a new life or address drops what is idle.
    pub(crate) fn set_entry(&self, entry: ServerEntry) {
        let old = self.entry.replace(entry.clone());
        if old.address != entry.address || old.born != entry.born {
            self.clear();
        }
    }

    /// Changes the number of connections.
    pub(crate) fn set_limit(&self, limit: u32) {
        let old = self.limit.replace(limit);
        if limit > old {
            self.permits.add_permits((limit - old) as usize);
        } else {
            self.permits.forget_permits((old - limit) as usize);
        }
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        let closed = self.idle.take().len() as u32;
        self.open.set(self.open.get().saturating_sub(closed));
    }

    /// Closes connections that were not used for long.
    pub(crate) fn expire(&self, now: Time) {
        let foreign = self.limit.get() <= FALLBACK_CONNECTIONS;
        let limit = if foreign { FOREIGN_IDLE_LIMIT } else { IDLE_LIMIT };
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|connection| now.since(connection.used) < limit);
        let closed = (before - idle.len()) as u32;
        self.open.set(self.open.get().saturating_sub(closed));
    }

    /// Returns the server's name.
    pub(crate) fn server(&self) -> ServerId {
        self.entry.borrow().server.clone()
    }

    /// Returns how many connections were opened so far.
    pub(crate) fn connects(&self) -> u64 {
        self.connects.get()
    }

    /// Takes a connection for `account`, waiting up to `patience` for one.
    ///
    /// # Errors
    ///
    /// Fails when none comes free in time or the server takes none.
    pub(crate) async fn take(
        self: &Rc<Self>,
        account: &AccountId,
        patience: Duration,
    ) -> Result<Lease<S>, PoolError> {
        let permit = timeout(patience, Arc::clone(&self.permits).acquire_owned())
            .await
            .map_err(|_| PoolError::Exhausted)?
            .map_err(|_| PoolError::Exhausted)?;
        self.take_permitted(account, Some(permit)).await
    }

    /// Takes a connection beyond the limit, for an order to the server itself.
    ///
    /// # Errors
    ///
    /// Fails when the server cannot be reached or takes none.
    pub(crate) async fn take_control(
        self: &Rc<Self>,
        account: &AccountId,
    ) -> Result<Lease<S>, PoolError> {
        let any = self.idle.borrow().last().map(|connection| connection.account.clone());
        self.take_permitted(any.as_ref().unwrap_or(account), None).await
    }

    async fn take_permitted(
        self: &Rc<Self>,
        account: &AccountId,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Result<Lease<S>, PoolError> {
        let Some(connection) = self.reuse(account) else {
            return self.connect(account, permit).await;
        };
        let mut lease = Lease { connection: Some(connection), pool: Rc::clone(self), permit };
        if lease.drain_unread().await.is_ok() {
            return Ok(lease);
        }
        // A connection that broke while idle costs nothing but a new one.
        let permit = lease.permit.take();
        drop(lease);
        self.connect(account, permit).await
    }

    fn reuse(&self, account: &AccountId) -> Option<Connection<S::Link>> {
        let mut idle = self.idle.borrow_mut();
        let found = idle.iter().rposition(|connection| connection.account == *account)?;
        Some(idle.remove(found))
    }

    async fn connect(
        self: &Rc<Self>,
        account: &AccountId,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Result<Lease<S>, PoolError> {
        let now = clock::now();
        if now < self.full_until.get() {
            return Err(PoolError::Full);
        }
        if self.open.get() >= self.limit.get() && !self.idle.borrow().is_empty() {
            // The connection that was idle longest makes room for another account's.
            drop(self.idle.borrow_mut().remove(0));
            self.open.set(self.open.get().saturating_sub(1));
        }
        let target = self.target(account);
        self.open.set(self.open.get() + 1);
        let opening = Opening { pool: self, done: false };
        self.connects.set(self.connects.get() + 1);
        let connected = timeout(CONNECT_TIMEOUT, self.protocol.connect(&target)).await;
        match connected.unwrap_or(Err(LinkError::TimedOut)) {
            Ok(link) => {
                let connection = Connection {
                    link,
                    account: account.clone(),
                    values: IndexMap::new(),
                    prepared: HashSet::new(),
                    unread: 0,
                    used: clock::now(),
                };
                opening.finish();
                Ok(Lease { connection: Some(connection), pool: Rc::clone(self), permit })
            }
            Err(LinkError::Full) => {
                self.full_until.set(clock::now() + FULL_PAUSE);
                Err(PoolError::Full)
            }
            Err(error) => Err(PoolError::Connect(error)),
        }
    }

    fn target(&self, account: &AccountId) -> Target {
        let entry = self.entry.borrow();
        Target {
            server: entry.server.clone(),
            address: entry.address,
            group: entry.group.clone(),
            account: account.clone(),
        }
    }

    /// Returns what the server has registered.
    pub(crate) fn entry(&self) -> ServerEntry {
        self.entry.borrow().clone()
    }
}

/// Counts a connection that is being opened, also when the attempt is dropped.
struct Opening<'a, S: ServerProtocol> {
    pool: &'a Pool<S>,
    done: bool,
}

impl<S: ServerProtocol> Opening<'_, S> {
    fn finish(mut self) {
        self.done = true;
    }
}

impl<S: ServerProtocol> Drop for Opening<'_, S> {
    fn drop(&mut self) {
        if !self.done {
            self.pool.open.set(self.pool.open.get().saturating_sub(1));
        }
    }
}

/// A connection on loan; dropping it closes the connection.
pub(crate) struct Lease<S: ServerProtocol> {
    connection: Option<Connection<S::Link>>,
    pool: Rc<Pool<S>>,
    permit: Option<OwnedSemaphorePermit>,
}

impl<S: ServerProtocol> Lease<S> {
    /// Returns the server that the connection leads to.
    pub(crate) fn server(&self) -> ServerId {
        self.pool.server()
    }

    /// Sends `commands` without waiting.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    async fn send(&mut self, commands: &[Command]) -> Result<(), LinkError> {
        self.connection()?.link.send(commands).await
    }

    /// Receives the next answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    async fn receive(&mut self) -> Result<Answer, LinkError> {
        self.connection()?.link.receive().await
    }

    /// Runs a command and returns its answer, however long that takes.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    pub(crate) async fn run(&mut self, command: Command) -> Result<Answer, LinkError> {
        self.send(&[command]).await?;
        self.receive().await
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
        let commands = self.setup(values, statement)?;
        if commands.is_empty() {
            return Ok(());
        }
        self.send(&commands).await?;
        for _ in &commands {
            let answer = timeout(SETUP_TIMEOUT, self.receive()).await;
            let answer = answer.unwrap_or(Err(LinkError::TimedOut))?;
            if answer.result.is_err() {
                return Err(LinkError::Malformed("the server refused a value or a shape"));
            }
        }
        Ok(())
    }

    fn setup(
        &mut self,
        values: &IndexMap<String, String>,
        statement: Option<&PreparedStatement>,
    ) -> Result<Vec<Command>, LinkError> {
        let connection = self.connection()?;
        let mut commands = Vec::new();
        let stale = connection.values.keys().any(|name| !values.contains_key(name));
        if stale || connection.prepared.len() >= MAX_PREPARED {
            commands.push(Command::Reset);
            connection.values.clear();
            connection.prepared.clear();
        }
        for (name, value) in values {
            if connection.values.get(name) != Some(value) {
                commands.push(Command::Set(name.clone(), value.clone()));
                connection.values.insert(name.clone(), value.clone());
            }
        }
        if let Some(statement) = statement
            && connection.prepared.insert(statement.pooled_name())
        {
            commands.push(Command::Prepare(statement.clone()));
        }
        Ok(commands)
    }

    /// Sends the rollback of what the connection has begun and gives it back
    /// without waiting for the answer.
    pub(crate) async fn roll_back(mut self) {
        if self.send(&[Command::Rollback]).await.is_ok() {
            if let Some(connection) = &mut self.connection {
                connection.unread += 1;
            }
            self.give_back();
        }
    }

    /// Gives back a connection that is outside of a transaction.
    pub(crate) fn give_back(mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        connection.used = clock::now();
        if self.pool.open.get() > self.pool.limit.get() {
            drop(connection);
            self.pool.open.set(self.pool.open.get().saturating_sub(1));
            return;
        }
        self.pool.idle.borrow_mut().push(connection);
    }

    /// Reads the answers that nobody needs; the last must leave the connection
    /// outside of a transaction.
    async fn drain_unread(&mut self) -> Result<(), LinkError> {
        let connection = self.connection()?;
        while connection.unread > 0 {
            let answer = timeout(SETUP_TIMEOUT, connection.link.receive()).await;
            let answer = answer.unwrap_or(Err(LinkError::TimedOut))?;
            connection.unread -= 1;
            if connection.unread == 0 && answer.state != TransactionState::Idle {
                return Err(LinkError::Malformed("a rolled back connection is in a transaction"));
            }
        }
        match connection.link.is_open() {
            true => Ok(()),
            false => Err(LinkError::Closed),
        }
    }

    fn connection(&mut self) -> Result<&mut Connection<S::Link>, LinkError> {
        self.connection.as_mut().ok_or(LinkError::Closed)
    }
}

impl<S: ServerProtocol> Drop for Lease<S> {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.pool.open.set(self.pool.open.get().saturating_sub(1));
        }
    }
}
