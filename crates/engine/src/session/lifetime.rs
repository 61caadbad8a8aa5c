//! How long a session and its open transaction may last.

use std::{rc::Rc, time::Duration};

use chicoryhollow_core::Refusal;
use tokio::{sync::watch, time::sleep_until};

use super::{CloseReason, Incoming, Session};
use crate::{
    catalog::Catalog,
    clock,
    engine::Phase,
    seam::{Caller, Directory, ServerProtocol},
    statement::{Access, Statement},
};

/// Time for which a session outlasts the start of a drain after its caller has prepared an
/// operation, which the caller is about to send.
const PREPARATION_SPAN: Duration = Duration::from_millis(300);

impl<S: ServerProtocol, D: Directory> Session<S, D> {
    /// Waits for the next request, or for a change that may end the session.
    pub(super) async fn wait(
        &self,
        caller: &mut impl Caller,
        catalogs: &mut watch::Receiver<Rc<Catalog>>,
        phases: &mut watch::Receiver<Phase>,
        avoided: &mut watch::Receiver<bool>,
    ) -> Incoming {
        tokio::select! {
            // A request that has arrived is run before the session ends.
            biased;
            request = caller.next_request() => Incoming::Request(request),
            _ = catalogs.changed() => Incoming::Changed,
            _ = phases.changed() => Incoming::Changed,
            _ = avoided.changed() => Incoming::Changed,
            () = self.idle_limit() => Incoming::IdleLimit,
            () = self.preparation_end() => Incoming::Changed,
        }
    }

    /// Completes when a caller that prepared an operation has not begun it in time, if
    /// the daemon drains.
    async fn preparation_end(&self) {
        let drains = self.engine.phase() != Phase::Serving && self.transaction.is_none();
        match self.prepared_at.filter(|_| drains) {
            Some(at) => {
                let left = (at + PREPARATION_SPAN).since(clock::now());
                sleep_until(tokio::time::Instant::now() + left).await;
            }
            None => std::future::pending().await,
        }
    }

    /// Completes when the open transaction has been idle for too long.
    async fn idle_limit(&self) {
        let limit = self.engine.catalog().idle_limit;
        match (&self.transaction, limit) {
            (Some(open), Some(limit)) if !open.failed => {
                let left = (open.last_used + limit).since(clock::now());
                sleep_until(tokio::time::Instant::now() + left).await;
            }
            _ => std::future::pending().await,
        }
    }

    /// Rolls back a transaction that has been idle for too long. The next
    /// statement of the caller, unless it is a rollback, gets an error.
    pub(super) async fn abandon_transaction(&mut self) {
        if let Some(open) = &mut self.transaction {
            open.failed = true;
            if let Some(connection) = open.connection.take() {
                connection.roll_back().await;
            }
        }
    }

    /// Opens the session as the account that holds the caller's key.
    ///
    /// # Errors
    ///
    /// Fails with the refusal that the caller gets.
    pub(super) fn open(&mut self) -> Result<(), Refusal> {
        let (route, account) = self.resolve()?;
        if !self.engine.admits_statement(&route) {
            return Err(Refusal::Draining);
        }
        self.meter.set_account(account.clone());
        self.account = Some(account);
        Ok(())
    }

    /// Returns what the caller is told if a request is given up while it runs.
    pub(super) fn refusal_if_given_up(&self, statement: &Statement) -> Refusal {
        let has_written = self.transaction.as_ref().map(|open| open.has_written);
        let access = match statement {
            Statement::Run(access) => Some(*access),
            Statement::Execute { name, .. } => self.names.get(name).map(|found| found.access),
            _ => None,
        };
        match (statement, has_written, access) {
            (Statement::Commit, Some(true), _) => Refusal::WriteInterrupted,
            (_, Some(_), _) => Refusal::TransactionEnded,
            (_, None, Some(Access::Write)) => Refusal::WriteInterrupted,
            (_, None, Some(Access::Read)) => Refusal::ReadInterrupted,
            (_, None, None) => Refusal::Draining,
        }
    }

    /// Returns why the session must be closed now, or `None` if it may continue.
    pub(super) fn reason_to_close(&self) -> Option<CloseReason> {
        let phase = self.engine.phase();
        let open = self.transaction.is_some();
        let preparing = self.prepared_at.is_some_and(|at| clock::now() < at + PREPARATION_SPAN);
        let idle = !open && !preparing;
        let ends_transactions = matches!(phase, Phase::Closing | Phase::Ending);
        if open && ends_transactions {
            return Some(CloseReason { label: "draining", refusal: Refusal::TransactionEnded });
        }
        if idle && phase != Phase::Serving {
            return Some(CloseReason { label: "draining", refusal: Refusal::Draining });
        }
        if idle && *self.engine.avoided().borrow() {
            return Some(CloseReason { label: "isolated", refusal: Refusal::Draining });
        }
        match self.resolve() {
            Err(Refusal::BadKey) => {
                Some(CloseReason { label: "key_withdrawn", refusal: Refusal::BadKey })
            }
            Err(refusal) if !open => Some(CloseReason { label: refusal.row().label, refusal }),
            _ => None,
        }
    }
}
