//! Waiting until an answer of the primary may be passed on.

use std::sync::Arc;

use chicoryhollow_core::{
    confirm::{Survival, check_survival},
    prelude::*,
};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use super::{Home, SILENCE_CHECK_INTERVAL, tracker::Tracker};
use crate::node::Node;

/// Why a position was not confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConfirmError {
    /// A newer primary does not have it, and no majority ever will.
    Lost,
    /// It was not known by the deadline.
    Timeout,
}

/// Waits until `position`, reported by the primary behind `tracker`, is held by
/// a majority.
///
/// When the primary changes meanwhile, the new term's history decides; a
/// position that survived is confirmed once the new primary's majority holds
/// it.
pub(crate) async fn wait_confirmed(
    node: &Arc<Node>,
    group: &GroupId,
    tracker: &Arc<Tracker>,
    position: Position,
    deadline: Time,
) -> Result<(), ConfirmError> {
    if tracker.is_confirmed(position) {
        return Ok(());
    }
    let left = deadline.since(node.clock.now());
    let confirmed = timeout(left, wait_confirmed_unbounded(node, group, tracker, position));
    confirmed.await.unwrap_or(Err(ConfirmError::Timeout))
}

async fn wait_confirmed_unbounded(
    node: &Arc<Node>,
    group: &GroupId,
    tracker: &Arc<Tracker>,
    position: Position,
) -> Result<(), ConfirmError> {
    let mut views = node.groups.follow(group);
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        match check_survival(&view, position) {
            Survival::Lost => return Err(ConfirmError::Lost),
            Survival::Undecided => tokio::select! {
                () = tracker.wait_confirmed(position) => return Ok(()),
                () = next_view(&mut views) => {}
            },
            Survival::Survived(term, lsn) => {
                let successor = view.primary.as_ref().and_then(|s| node.homes.tracker(node, s));
                let successor = successor.unwrap_or_else(|| Arc::clone(tracker));
                tokio::select! {
                    () = successor.wait_confirmed(Position::new(term, lsn)) => return Ok(()),
                    () = next_view(&mut views) => {}
                }
            }
        }
    }
}

/// Waits for the next view.
pub(crate) async fn next_view(views: &mut watch::Receiver<Arc<GroupView>>) {
    if views.changed().await.is_err() {
        // Views are kept for as long as the daemon runs.
        std::future::pending::<()>().await;
    }
}

/// Holds a new write back while a majority is silent, since it could only be
/// sent to end as unknown.
///
/// # Errors
///
/// Returns [`Refusal::NotPrimary`] when the primary changes meanwhile and
/// [`Refusal::MajorityLagging`] when half of the time left has passed; nothing
/// has run then.
pub(crate) async fn wait_for_majority(
    node: &Arc<Node>,
    group: &GroupId,
    server: &ServerId,
    tracker: &Arc<Tracker>,
    deadline: Time,
) -> Result<(), Refusal> {
    if !tracker.is_silent() {
        return Ok(());
    }
    let now = node.clock.now();
    let until = now + deadline.since(now) / 2;
    let mut views = node.groups.follow(group);
    while tracker.is_silent() {
        if views.borrow_and_update().primary.as_ref() != Some(server) {
            return Err(Refusal::NotPrimary);
        }
        if node.clock.now() >= until {
            return Err(Refusal::MajorityLagging);
        }
        tokio::select! {
            () = tracker.wait_change() => {}
            () = next_view(&mut views) => {}
            () = sleep(SILENCE_CHECK_INTERVAL) => {}
        }
    }
    Ok(())
}

/// Waits until a primary of a term after `term` is known.
pub(crate) async fn wait_for_newer_term(node: &Arc<Node>, home: &Home, term: Term) {
    let mut views = node.groups.follow(&home.group);
    while views.borrow_and_update().term <= term {
        next_view(&mut views).await;
    }
}

/// Makes sure that the server was still the primary after this call began.
pub(crate) async fn confirm_primary(
    node: &Arc<Node>,
    home: &Home,
    deadline: Time,
) -> Result<(), Refusal> {
    let left = deadline.since(node.clock.now());
    let replaced = async {
        while home.is_primary(node) {
            sleep(SILENCE_CHECK_INTERVAL).await;
        }
    };
    let answered = tokio::select! {
        answered = timeout(left, home.tracker.barrier()) => answered.ok().flatten(),
        () = replaced => None,
    };
    answered.map(drop).ok_or(Refusal::NotPrimary)
}
