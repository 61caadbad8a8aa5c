//! What a batch needs before it is sent: a connection, a slot and its transaction id.

use chicoryhollow_core::{outcome::InterruptedWrite, prelude::*};

use super::LocalStream;
use crate::{
    home::{
        confirm::{wait_for_majority, wait_for_newer_term},
        exchange::{self, XidResult},
    },
    stream::{Access, Refused},
};

impl LocalStream {
    /// Takes a connection for a new transaction.
    pub(super) async fn acquire_connection(&mut self, writes: bool) -> Result<(), Refused> {
        let (node, home) = (&self.node, &self.home);
        let deadline = self.batch.deadline;
        if self.access != Access::Read && !home.is_primary(node) {
            return Err(Refusal::NotPrimary.into());
        }
        if writes {
            let (group, server) = (&home.group, &home.server);
            wait_for_majority(node, group, server, &home.tracker, deadline).await?;
        }
        let term = node.groups.view(&home.group).term;
        self.write = InterruptedWrite { term, xid: None };
        let taking = async {
            let mut connection =
                home.scheduler.acquire(&self.account, self.weight, deadline).await?;
            if self.access == Access::Read {
                return Ok((connection, term));
            }
            let left = deadline.since(node.clock.now());
            // If this future is dropped meanwhile, the connection is closed.
            let found = exchange::fetch_term(connection.backend()?, term, left).await;
            let found = found.map_err(|_| Refusal::ServerUnreachable)?;
            if found < term { Err(Refusal::NotPrimary) } else { Ok((connection, found)) }
        };
        let (connection, term) = tokio::select! {
            taken = taking => taken?,
            () = wait_for_newer_term(node, home, term), if self.access != Access::Read => {
                return Err(Refusal::NotPrimary.into());
            }
        };
        self.write.term = term;
        self.connection = Some(connection);
        Ok(())
    }

    /// Takes a slot for the next batch of an open transaction.
    pub(super) async fn acquire_slot(&mut self) -> Result<(), Refused> {
        if self.has_newer_term() {
            self.connection = None;
            return Err(Refusal::TransactionEnded.into());
        }
        let Some(connection) = &mut self.connection else {
            return Err(Refusal::TransactionEnded.into());
        };
        Ok(connection.acquire_slot(self.weight, self.batch.deadline).await?)
    }

    /// Fetches and records the transaction id before anything can commit.
    pub(super) async fn record_xid(&mut self) -> Result<(), Refused> {
        if !self.node.settings.backend.note_transactions {
            return Ok(());
        }
        let idle = self.status == b'I';
        let left = self.batch.deadline.since(self.node.clock.now());
        let connection = self.connection.as_mut().ok_or(Refusal::ServerUnreachable)?;
        self.running = true;
        let result = tokio::select! {
            result = exchange::fetch_xid(connection.backend()?, left) => result,
            () = wait_for_newer_term(&self.node, &self.home, self.write.term) => XidResult::Lost,
        };
        self.running = false;
        let refusal = match result {
            XidResult::Xid(xid) => {
                self.write.xid = Some(xid);
                return Ok(());
            }
            XidResult::Unavailable if idle => return Ok(()),
            XidResult::NotPrimary if idle => Refusal::NotPrimary,
            XidResult::Lost if idle => Refusal::ServerUnreachable,
            // The server rolls back an open transaction that was not committed.
            _ => Refusal::TransactionEnded,
        };
        self.connection = None;
        Err(refusal.into())
    }
}
