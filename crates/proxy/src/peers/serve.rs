//! The home's end of a stream from another VM.

use std::{sync::Arc, time::Duration};

use chicoryhollow_core::prelude::*;
use chicoryhollow_peer::{Body, Envelope, stream};
use tokio::sync::mpsc;

use crate::{
    home::LocalStream,
    node::Node,
    stream::{Access, Batch, OpenRequest, Refused, StreamEvent},
};

/// Serves one stream until either side ends it.
pub(crate) async fn serve(
    node: Arc<Node>,
    open: stream::Open,
    mut incoming: mpsc::UnboundedReceiver<Body>,
    outgoing: mpsc::Sender<Envelope>,
) {
    let number = open.stream;
    let end = exchange(&node, open, &mut incoming, &outgoing).await;
    let refused = end.err();
    let close = stream::Close {
        stream: number,
        refusal: refused.map(|r| r.refusal.row().label.to_owned()).unwrap_or_default(),
        applied: refused.and_then(|r| r.applied).map(position),
    };
    // An entry that is gone needs no answer.
    drop(outgoing.send(Envelope::new(Body::Close(close))).await);
}

async fn exchange(
    node: &Arc<Node>,
    open: stream::Open,
    incoming: &mut mpsc::UnboundedReceiver<Body>,
    outgoing: &mpsc::Sender<Envelope>,
) -> Result<(), Refused> {
    let number = open.stream;
    let mut local = LocalStream::open(node, request(node, open)?).await?;
    while let Some(body) = incoming.recv().await {
        let Body::Batch(batch) = body else { continue };
        local.send(received(node, batch)).await?;
        loop {
            let event = tokio::select! {
                event = local.next() => event?,
                body = incoming.recv() => match body {
                    Some(Body::Interrupt(_)) => { local.interrupt(); continue; }
                    Some(_) => continue,
                    None => return Ok(()),
                },
            };
            let ready = matches!(event, StreamEvent::Ready(_));
            if outgoing.send(Envelope::new(body_of(number, event))).await.is_err() {
                return Ok(());
            }
            if ready {
                break;
            }
        }
    }
    Ok(())
}

fn body_of(stream: u64, event: StreamEvent) -> Body {
    match event {
        StreamEvent::Answer(messages) => Body::Answer(stream::Answer { stream, messages }),
        StreamEvent::Ready(ready) => Body::Ready(stream::Ready {
            stream,
            status: ready.status.into(),
            position: ready.position.map(position),
        }),
    }
}

fn position(position: Position) -> stream::Position {
    stream::Position { term: position.term().get(), lsn: position.lsn().get() }
}

fn request(node: &Node, open: stream::Open) -> Result<OpenRequest, Refused> {
    let access = open.access();
    let server = ServerId::new(&open.server).map_err(|_| Refusal::HomeUnreachable)?;
    let account = AccountId::new(&open.account).map_err(|_| Refusal::Malformed)?;
    let (group, _) =
        crate::home::find_server(&node.configuration(), &server).ok_or(Refusal::HomeUnreachable)?;
    Ok(OpenRequest {
        group,
        server,
        account,
        access: Access::try_from(access as i32).unwrap_or(Access::Write),
        deadline: node.clock.now() + Duration::from_millis(open.deadline_ms.into()),
        needed: open.needed.map(|p| Position::new(Term::new(p.term), Lsn::new(p.lsn))),
        max_age_ms: open.max_age_ms,
        patience_ms: open.patience_ms,
    })
}

fn received(node: &Node, batch: stream::Batch) -> Batch {
    Batch {
        prepares: batch.prepares,
        messages: batch.messages,
        writes: batch.writes,
        deadline: node.clock.now() + Duration::from_millis(batch.deadline_ms.into()),
    }
}
