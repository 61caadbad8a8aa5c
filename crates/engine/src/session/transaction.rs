//! Transactions that a caller opens.

use chicoryhollow_core::{AccountId, Position, Refusal, Time};

use super::{Flow, Session, local};
use crate::{
    attempt::{Attempt, Failure},
    catalog::Route,
    clock,
    connection::Connection,
    seam::{Directory, ServerProtocol},
    statement::{Access, Body, Fault, FaultKind, Reply, Request, TransactionState},
};

/// An open transaction of the caller.
pub(super) struct Transaction<S: ServerProtocol> {
    pub(super) access: Access,
    pub(super) route: Route,
    pub(super) account: AccountId,
    /// Connection of the transaction, once its first statement has run.
    pub(super) connection: Option<Connection<S>>,
    pub(super) has_written: bool,
    pub(super) failed: bool,
    pub(super) last_used: Time,
}

impl<S: ServerProtocol, D: Directory> Session<S, D> {
    pub(super) async fn begin(&mut self, access: Access) -> Flow {
        if self.transaction.is_some() {
            return Flow::Reply(Reply::Refused(Refusal::Malformed), None);
        }
        let (route, account) = match self.resolve() {
            Ok(found) => found,
            Err(refusal) => return Flow::Close(refusal),
        };
        if !self.engine.admits_transaction(&route) {
            return Flow::Close(Refusal::Draining);
        }
        if !self.engine.admit(&route, &account).await {
            return Flow::Reply(Reply::Refused(Refusal::RateExceeded), None);
        }
        let last_used = clock::now();
        let open = Transaction {
            access,
            route,
            account,
            connection: None,
            has_written: false,
            failed: false,
            last_used,
        };
        self.transaction = Some(open);
        local(true)
    }

    pub(super) async fn roll_back(&mut self) -> Flow {
        if let Some(connection) = self.transaction.take().and_then(|open| open.connection) {
            connection.roll_back().await;
        }
        local(true)
    }

    pub(super) async fn run_in_transaction(
        &mut self,
        request: &Request,
        mut open: Transaction<S>,
        access: Access,
        body: Body,
    ) -> Flow {
        if access == Access::Write && open.access == Access::Read {
            open.failed = true;
            self.transaction = Some(open);
            let fault = Fault { kind: FaultKind::NotPrimary, text: "read transaction".to_owned() };
            return Flow::Reply(Reply::Fault(fault), None);
        }
        open.has_written |= access == Access::Write;
        let result = self.run_on_server(request, &mut open, &body, false).await;
        open.last_used = clock::now();
        open.failed = result.is_err();
        self.transaction = Some(open);
        match result {
            Ok((served, position)) => Flow::Reply(served, position),
            Err(failure) => Flow::Reply(failure.into_reply(), None),
        }
    }

    pub(super) async fn commit(&mut self, request: &Request) -> Flow {
        let Some(mut open) = self.transaction.take() else {
            return Flow::Reply(Reply::Refused(Refusal::Malformed), None);
        };
        let body = Body::Text(request.text.clone());
        match self.run_on_server(request, &mut open, &body, true).await {
            Ok((reply, position)) => {
                if open.has_written {
                    self.observe_position(&open.route.group, position);
                }
                Flow::Reply(reply, position)
            }
            Err(failure) => Flow::Reply(failure.into_reply(), None),
        }
    }

    /// Runs a statement or the commit of a transaction. The first one begins the
    /// transaction on a server.
    async fn run_on_server(
        &mut self,
        request: &Request,
        open: &mut Transaction<S>,
        body: &Body,
        is_commit: bool,
    ) -> Result<(Reply, Option<Position>), Failure> {
        let begins = open.connection.is_none();
        let attempt = Attempt { begins, ..self.attempt(&request.id, &open.route, &open.account) };
        let mut connection = match open.connection.take() {
            Some(connection) => connection,
            None => attempt.begin(open.access).await?,
        };
        let (server, asked) = (connection.server(), clock::now());
        let answer =
            attempt.run_in_transaction(&mut connection, body, is_commit, open.has_written).await?;
        if !is_commit {
            open.connection = Some(connection);
        } else if answer.state == TransactionState::Idle {
            connection.give_back();
        }
        let served = answer.result.map_err(Failure::Fault)?;
        if is_commit && open.has_written {
            attempt.confirm_commit(&server, answer.position, asked).await?;
        }
        Ok((Reply::Served(served), answer.position))
    }
}
