//! The outcome of a write whose answer was lost.
//!
//! The transaction id of a write is recorded before the write can commit. If the answer is
//! lost, the current primary of the database group is asked for the state of that
//! transaction.

use std::{sync::Arc, time::Duration};

use chicoryhollow_core::{
    outcome::{InterruptedWrite, Step, XactStatus, first_step, next_step},
    prelude::*,
};
use tokio::time::{sleep, timeout};

use super::{confirm::next_view, tracker::Tracker};
use crate::node::Node;

/// Pause before the primary is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(30);

/// Outcome of an interrupted write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Resolved {
    /// The write took effect, and a majority holds the log up to this position.
    Committed(Position),
    /// The write has no effect and never will.
    Lost,
    /// The outcome could not be determined by the deadline.
    Unknown,
}

/// Determines the outcome of `write` on `server` by asking the primary of the database
/// group, which is either `server` or a newer primary.
pub(crate) async fn resolve(
    node: &Arc<Node>,
    group: &GroupId,
    server: &ServerId,
    write: InterruptedWrite,
    deadline: Time,
) -> Resolved {
    let left = deadline.since(node.clock.now());
    let resolving = resolve_unbounded(node, group, server, write);
    timeout(left, resolving).await.unwrap_or(Resolved::Unknown)
}

async fn resolve_unbounded(
    node: &Arc<Node>,
    group: &GroupId,
    server: &ServerId,
    write: InterruptedWrite,
) -> Resolved {
    let mut views = node.groups.follow(group);
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        // A server that lost its role and became primary again may have assigned the same
        // transaction id to another transaction in the later term, before this VM
        // received the view of that term.
        if view.term > write.term && view.primary.as_ref() == Some(server) {
            return Resolved::Unknown;
        }
        let primary = view.primary.as_ref().and_then(|server| node.homes.tracker(node, server));
        let step = match (first_step(&view, write), &primary) {
            (Step::Ask(term, xid), Some(primary)) => match primary.fetch_xact_status(xid).await {
                Ok(text) => {
                    let state = text.parse().unwrap_or(XactStatus::Forgotten);
                    next_step(&node.groups.view(group), write, term, state)
                }
                Err(_failed) => Step::Wait,
            },
            (step, _) => step,
        };
        let committed = match (step, &primary) {
            (Step::Lost, _) => return Resolved::Lost,
            (Step::Unknown, _) => return Resolved::Unknown,
            (Step::Confirm(lsn), Some(primary)) => confirm(&view, primary, lsn).await,
            _ => None,
        };
        if let Some(position) = committed {
            return Resolved::Committed(position);
        }
        tokio::select! {
            () = sleep(RETRY_PAUSE) => {}
            () = next_view(&mut views) => {}
        }
    }
}

/// Waits until a majority of the view's term holds the log up to `lsn`, or up to its
/// current end if `lsn` is `None`.
async fn confirm(view: &GroupView, primary: &Arc<Tracker>, lsn: Option<Lsn>) -> Option<Position> {
    let position = match lsn {
        Some(lsn) => Position::new(view.term, lsn),
        None => primary.barrier().await.filter(|position| position.term() == view.term)?,
    };
    let waiting = timeout(CONFIRM_TIMEOUT, primary.wait_confirmed(position));
    waiting.await.ok().map(|()| position)
}

/// Maximum wait for a confirmation before the newest view is checked again.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);
