//! Finding out what became of a write whose answer was lost.

use std::{sync::Arc, time::Duration};

use chicoryhollow_core::{
    outcome::{InterruptedWrite, Step, XactStatus, first_step, next_step},
    prelude::*,
};
use tokio::time::{sleep, timeout};

use super::{confirm::next_view, tracker::Tracker};
use crate::node::Node;

/// Pause before a question is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(30);

/// What became of an interrupted write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Resolved {
    /// It took effect, and a majority holds it up to this position.
    Committed(Position),
    /// It has no effect and never will.
    Lost,
    /// It could not be found out in time.
    Unknown,
}

/// Asks the group's primary, old or new, what became of `write` on `server`.
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
        // A server that lost and won back its role may have given out the
        // transaction id in the later term, before anybody here heard of it.
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

/// Waits until a majority of the view's term holds the log up to `lsn`, or up to
/// its present end.
async fn confirm(view: &GroupView, primary: &Arc<Tracker>, lsn: Option<Lsn>) -> Option<Position> {
    let position = match lsn {
        Some(lsn) => Position::new(view.term, lsn),
        None => primary.barrier().await.filter(|position| position.term() == view.term)?,
    };
    let waiting = timeout(CONFIRM_TIMEOUT, primary.wait_confirmed(position));
    waiting.await.ok().map(|()| position)
}

/// Longest wait for a confirmation before the newest view is looked at again.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);
