//! The replica's side of log shipping: receives and applies the primary's log.

use std::{collections::VecDeque, io, sync::Arc};

use futures_util::StreamExt;
use tokio::time::{Instant, sleep_until};

use crate::backend::{
    core::Members,
    node::Node,
    shipping::{Batch, Hello, Link, Received, Welcome, decode, send},
};

/// Follows the primary at the other end of `link` until this server stops
/// following its term.
pub(crate) async fn follow(node: &Node, link: &mut Link) -> io::Result<()> {
    let bytes = link.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    let hello: Hello = decode(&bytes)?;
    let term = hello.term;
    let members = Members { list: hello.members, version: hello.version };
    let common = node.update(|core| core.follow(term, hello.history, hello.end, members));
    send(link, &Welcome { common }).await?;
    if common.is_none() {
        return Ok(());
    }
    receive(node, term, link).await
}

/// Receives batches, and stores and answers each after the shipping delay of this
/// server.
async fn receive(node: &Node, term: u64, link: &mut Link) -> io::Result<()> {
    let mut delayed: VecDeque<(Instant, Batch)> = VecDeque::new();
    loop {
        let due = delayed.front().map(|(due, _)| *due);
        tokio::select! {
            next = link.next() => {
                let bytes = next.ok_or(io::ErrorKind::UnexpectedEof)??;
                let due = Instant::now() + node.with(|core| core.ship_delay);
                delayed.push_back((due, decode(&bytes)?));
            }
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {}
        }
        while delayed.front().is_some_and(|(due, _)| *due <= Instant::now()) {
            let Some((_, batch)) = delayed.pop_front() else { break };
            let Some(received) = store_batch(node, term, batch) else { return Ok(()) };
            send(link, &received).await?;
        }
    }
}

/// Stores a batch and returns the answer, or `None` if the server no longer
/// follows `term`.
fn store_batch(node: &Node, term: u64, batch: Batch) -> Option<Received> {
    let receive = |core: &mut crate::backend::core::Core| {
        if !core.is_following(term) {
            return None;
        }
        core.receive(batch.records);
        Some(Received { number: batch.number, lsn: core.log.end() })
    };
    node.update(receive)
}

/// Applies received records, each after the apply lag of this server.
pub(crate) async fn apply(node: Arc<Node>) {
    let mut changes = node.changed.subscribe();
    loop {
        let due = node.with(|core| core.apply_due(std::time::Instant::now()));
        let due = due.map(Instant::from_std);
        tokio::select! {
            _ = changes.changed() => {}
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {}
        }
    }
}
