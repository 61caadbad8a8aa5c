//! Pool of connections to one backend server.
//!
//! A connection runs statements of one client account and serves one transaction
//! at a time. It returns to the pool outside of a transaction, or after a rollback
//! was sent, whose answer is checked before the next use. Any other connection is
//! closed, which rolls back its transaction.

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

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time limit for a command that the server runs outside of its limit of
/// statements, such as one that sets up a connection.
pub(crate) const SETUP_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a home of the server closes an idle connection.
const HOME_IDLE_LIMIT: Duration = Duration::from_secs(20);

/// Time after which any other VM closes an idle connection. It is short because
/// such a connection uses up the server's limit at the expense of the homes.
const FALLBACK_IDLE_LIMIT: Duration = Duration::from_millis(300);

/// Time for which no connection is opened after the server accepted no more.
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// Number of prepared statements at which a connection is reset before its next
/// use.
const MAX_PREPARED_STATEMENTS: usize = 256;

/// A connection and the session state that the server holds for it.
struct ServerConnection<L> {
    link: L,
    account: AccountId,
    values: IndexMap<String, String>,
    prepared: HashSet<String>,
    /// Answers that are still outstanding and that nobody waits for.
    unread: usize,
    last_used: Time,
}

/// Pool of connections to one backend server.
pub(crate) struct Pool<S: ServerProtocol> {
    protocol: Rc<S>,
    entry: RefCell<ServerEntry>,
    idle: RefCell<Vec<ServerConnection<S::Link>>>,
    open: Cell<u32>,
    limit: Cell<u32>,
    permits: Arc<Semaphore>,
    full_until: Cell<Time>,
    connects: Cell<u64>,
}

/// Why the pool could not provide a connection.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PoolError {
    /// All connections stayed in use.
    #[error("all connections are in use")]
    Exhausted,
    /// The server accepts no more connections.
    #[error("the server accepts no more connections")]
    Full,
    /// The server could not be reached.
    #[error("connecting failed: {0}")]
    Connect(LinkError),
}

impl<S: ServerProtocol> Pool<S> {
    /// Creates a pool of at most `limit` connections to the server of `entry`.
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

    /// Replaces the server's entry. If the server was restarted or has another
    /// address, all idle connections are closed.
    pub(crate) fn set_entry(&self, entry: ServerEntry) {
        let old = self.entry.replace(entry.clone());
        if old.address != entry.address || old.born != entry.born {
            self.clear();
        }
    }

    /// Changes the limit of connections.
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

    /// Closes connections that have been idle for too long.
    pub(crate) fn expire(&self, now: Time) {
        let is_fallback = self.limit.get() <= FALLBACK_CONNECTIONS;
        let limit = if is_fallback { FALLBACK_IDLE_LIMIT } else { HOME_IDLE_LIMIT };
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|connection| now.since(connection.last_used) < limit);
        let closed = (before - idle.len()) as u32;
        self.open.set(self.open.get().saturating_sub(closed));
    }

    /// Returns the server's name.
    pub(crate) fn server(&self) -> ServerId {
        self.entry.borrow().server.clone()
    }

    /// Returns how many connections the pool has opened so far.
    pub(crate) fn connects(&self) -> u64 {
        self.connects.get()
    }

    /// Takes a connection for `account`, waiting up to `max_wait` for one.
    ///
    /// # Errors
    ///
    /// Fails when no connection becomes free in time or none can be opened.
    pub(crate) async fn take(
        self: &Rc<Self>,
        account: &AccountId,
        max_wait: Duration,
    ) -> Result<PooledConnection<S>, PoolError> {
        let permit = timeout(max_wait, Arc::clone(&self.permits).acquire_owned())
            .await
            .map_err(|_| PoolError::Exhausted)?
            .map_err(|_| PoolError::Exhausted)?;
        self.take_permitted(account, Some(permit)).await
    }

    /// Takes a connection regardless of the limit, for a command of the daemon to
    /// the server, such as a status request.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be opened.
    pub(crate) async fn take_control(
        self: &Rc<Self>,
        account: &AccountId,
    ) -> Result<PooledConnection<S>, PoolError> {
        let any = self.idle.borrow().last().map(|connection| connection.account.clone());
        self.take_permitted(any.as_ref().unwrap_or(account), None).await
    }

    async fn take_permitted(
        self: &Rc<Self>,
        account: &AccountId,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Result<PooledConnection<S>, PoolError> {
        let Some(connection) = self.reuse(account) else {
            return self.connect(account, permit).await;
        };
        let mut pooled =
            PooledConnection { connection: Some(connection), pool: Rc::clone(self), permit };
        if pooled.drain_unread().await.is_ok() {
            return Ok(pooled);
        }
        // The connection broke while it was idle. No statement was running on it, so a
        // new connection can replace it.
        let permit = pooled.permit.take();
        drop(pooled);
        self.connect(account, permit).await
    }

    fn reuse(&self, account: &AccountId) -> Option<ServerConnection<S::Link>> {
        let mut idle = self.idle.borrow_mut();
        let found = idle.iter().rposition(|connection| connection.account == *account)?;
        Some(idle.remove(found))
    }

    async fn connect(
        self: &Rc<Self>,
        account: &AccountId,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Result<PooledConnection<S>, PoolError> {
        let now = clock::now();
        if now < self.full_until.get() {
            return Err(PoolError::Full);
        }
        if self.open.get() >= self.limit.get() && !self.idle.borrow().is_empty() {
            // Close the connection that was idle longest to make room for a connection
            // of another account.
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
                let connection = ServerConnection {
                    link,
                    account: account.clone(),
                    values: IndexMap::new(),
                    prepared: HashSet::new(),
                    unread: 0,
                    last_used: clock::now(),
                };
                opening.finish();
                Ok(PooledConnection { connection: Some(connection), pool: Rc::clone(self), permit })
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

    /// Returns the server's entry in the directory.
    pub(crate) fn entry(&self) -> ServerEntry {
        self.entry.borrow().clone()
    }
}

/// Counts a connection that is being opened, and stops counting it if opening
/// fails or is cancelled.
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

/// A connection that is in use. Dropping it closes the connection.
pub(crate) struct PooledConnection<S: ServerProtocol> {
    connection: Option<ServerConnection<S::Link>>,
    pool: Rc<Pool<S>>,
    permit: Option<OwnedSemaphorePermit>,
}

impl<S: ServerProtocol> PooledConnection<S> {
    /// Returns the server of the connection.
    pub(crate) fn server(&self) -> ServerId {
        self.pool.server()
    }

    /// Sends `commands` without waiting for answers.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    async fn send(&mut self, commands: &[Command]) -> Result<(), LinkError> {
        self.connection()?.link.send(commands).await
    }

    /// Receives the next answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    async fn receive(&mut self) -> Result<Answer, LinkError> {
        self.connection()?.link.receive().await
    }

    /// Runs a command and returns its answer, without a time limit.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub(crate) async fn run(&mut self, command: Command) -> Result<Answer, LinkError> {
        self.send(&[command]).await?;
        self.receive().await
    }

    /// Runs a command that does not count against the server's limit of
    /// statements, within [`SETUP_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or no answer arrives in time.
    pub(crate) async fn run_control(&mut self, command: Command) -> Result<Answer, LinkError> {
        timeout(SETUP_TIMEOUT, self.run(command)).await.unwrap_or(Err(LinkError::TimedOut))
    }

    /// Sets the variables of a session on the connection, and prepares `statement`
    /// if given.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the server refuses.
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
                return Err(LinkError::Malformed(
                    "the server refused a session variable or a prepared statement",
                ));
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
        if stale || connection.prepared.len() >= MAX_PREPARED_STATEMENTS {
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

    /// Sends a rollback of the open transaction and returns the connection to the
    /// pool without waiting for the answer, which the next user of the connection
    /// reads.
    pub(crate) async fn roll_back(mut self) {
        if self.send(&[Command::Rollback]).await.is_ok() {
            if let Some(connection) = &mut self.connection {
                connection.unread += 1;
            }
            self.give_back();
        }
    }

    /// Returns the connection, which must be outside of a transaction, to the pool.
    pub(crate) fn give_back(mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        connection.last_used = clock::now();
        if self.pool.open.get() > self.pool.limit.get() {
            drop(connection);
            self.pool.open.set(self.pool.open.get().saturating_sub(1));
            return;
        }
        self.pool.idle.borrow_mut().push(connection);
    }

    /// Reads the outstanding answers that nobody waits for.
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed, or is in a transaction after the last
    /// answer.
    async fn drain_unread(&mut self) -> Result<(), LinkError> {
        let connection = self.connection()?;
        while connection.unread > 0 {
            let answer = timeout(SETUP_TIMEOUT, connection.link.receive()).await;
            let answer = answer.unwrap_or(Err(LinkError::TimedOut))?;
            connection.unread -= 1;
            if connection.unread == 0 && answer.state != TransactionState::Idle {
                return Err(LinkError::Malformed(
                    "the connection is still in a transaction after a rollback",
                ));
            }
        }
        match connection.link.is_open() {
            true => Ok(()),
            false => Err(LinkError::Closed),
        }
    }

    fn connection(&mut self) -> Result<&mut ServerConnection<S::Link>, LinkError> {
        self.connection.as_mut().ok_or(LinkError::Closed)
    }
}

impl<S: ServerProtocol> Drop for PooledConnection<S> {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.pool.open.set(self.pool.open.get().saturating_sub(1));
        }
    }
}
