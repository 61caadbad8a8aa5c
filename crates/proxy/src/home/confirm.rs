//! Waits for a majority before an answer of the primary is passed on.
//!
//! An answer of the primary may show writes that only the primary holds. They are lost if
//! another server becomes primary, so the answer waits until a majority of the database
//! group holds them.

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

/// Reason why a position was not confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConfirmError {
    /// A newer primary doesn't have the position, so no majority will ever hold it.
    Lost,
    /// The result was not known by the deadline.
    Timeout,
}

/// Waits until a majority holds `position`, which the primary of `tracker` reported.
///
/// If the primary changes meanwhile, the history of the new term says whether the position
/// survived. A position that survived is confirmed once a majority of the new term holds
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

/// Waits for the next view of the database group.
pub(crate) async fn next_view(views: &mut watch::Receiver<Arc<GroupView>>) {
    if views.changed().await.is_err() {
        // The sender of the views lives as long as the daemon.
        std::future::pending::<()>().await;
    }
}

/// Delays a new write while the majority doesn't answer, since the outcome of such a write
/// would remain unknown.
///
/// # Errors
///
/// Returns [`Refusal::NotPrimary`] if the primary changes meanwhile, and
/// [`Refusal::MajorityLagging`] after half of the time until `deadline`. In both cases
/// nothing has run.
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

/// Waits until a term newer than `term` is known.
pub(crate) async fn wait_for_newer_term(node: &Arc<Node>, home: &Home, term: Term) {
    let mut views = node.groups.follow(&home.group);
    while views.borrow_and_update().term <= term {
        next_view(&mut views).await;
    }
}

/// Confirms that the server was still the primary after this call began.
///
/// # Errors
///
/// Returns [`Refusal::NotPrimary`] if it was replaced or a majority didn't answer by
/// `deadline`.
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
