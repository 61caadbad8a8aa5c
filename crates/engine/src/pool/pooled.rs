//! A connection of the pool and its use by one transaction or statement.

use std::{collections::HashSet, rc::Rc};

use chicoryhollow_core::{AccountId, ServerId, Time};
use indexmap::IndexMap;
use tokio::time::timeout;

use super::{Pool, PoolTurn, SETUP_TIMEOUT};
use crate::{
    clock,
    seam::{LinkError, ServerLink, ServerProtocol},
    statement::{Answer, Command, PreparedStatement, TransactionState},
};

/// Number of prepared statements at which a connection is reset before its next
/// use.
const MAX_PREPARED_STATEMENTS: usize = 256;

/// A connection and the session state that the server holds for it.
pub(super) struct ServerConnection<L> {
    link: L,
    pub(super) account: AccountId,
    values: IndexMap<String, String>,
    prepared: HashSet<String>,
    /// Answers that are still outstanding and that nobody waits for.
    unread: usize,
    pub(super) last_used: Time,
}

impl<L> ServerConnection<L> {
    /// Creates the state of a connection that was just opened.
    pub(super) fn new(link: L, account: AccountId) -> Self {
        ServerConnection {
            link,
            account,
            values: IndexMap::new(),
            prepared: HashSet::new(),
            unread: 0,
            last_used: clock::now(),
        }
    }
}

/// A connection that is in use. Dropping it closes the connection.
pub(crate) struct PooledConnection<S: ServerProtocol> {
    connection: Option<ServerConnection<S::Link>>,
    pool: Rc<Pool<S>>,
    pub(super) turn: Option<PoolTurn<S>>,
}

impl<S: ServerProtocol> PooledConnection<S> {
    /// Takes `connection` out of `pool` for the time of a `turn`.
    pub(super) fn new(
        connection: ServerConnection<S::Link>,
        pool: &Rc<Pool<S>>,
        turn: Option<PoolTurn<S>>,
    ) -> Self {
        PooledConnection { connection: Some(connection), pool: Rc::clone(pool), turn }
    }

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
        let uses_slot = matches!(command, Command::Pass { .. });
        if let Some(turn) = self.turn.as_mut().filter(|_| uses_slot) {
            turn.resume();
        }
        let sent = clock::now();
        self.send(&[command]).await?;
        let answer = self.receive().await?;
        if let Some(turn) = self.turn.as_mut().filter(|_| uses_slot) {
            turn.record_work(clock::now().since(sent));
            if answer.state != TransactionState::Idle {
                turn.pause();
            }
        }
        Ok(answer)
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
        self.pool.idle.0.borrow_mut().push(connection);
    }

    /// Reads the outstanding answers that nobody waits for.
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed, or is in a transaction after the last
    /// answer.
    pub(super) async fn drain_unread(&mut self) -> Result<(), LinkError> {
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
