//! Connections that other VMs, or unknown clients, open.

use std::{rc::Rc, sync::Arc};

use chicoryhollow_core::{VmId, budget::LimitReason};
use chicoryhollow_peer::{Body, Envelope, EnvelopeCodec, codec::MAX_ENVELOPE_BYTES};
use futures_util::StreamExt;
use slog::o;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{sleep, timeout},
};
use tokio_util::codec::Framed;

use super::{
    DIAL_TIMEOUT, REDIAL_INTERVAL,
    link::{Origin, run_link},
};
use crate::{
    engine::Engine,
    log::Event,
    seam::{Directory, ServerProtocol},
};

/// Maximum number of connections that have not begun with a heartbeat.
const MAX_UNKNOWN_PEERS: usize = 32;

/// Maximum size of the first message of a VM that connects, in bytes. It has the state of up to
/// some ten thousand groups.
const MAX_FIRST_BYTES: usize = 1 << 20;

/// Accepts other VMs. Unknown clients may connect to the same address.
pub(super) async fn accept<S: ServerProtocol, D: Directory>(
    engine: Rc<Engine<S, D>>,
    listener: TcpListener,
) {
    let unknown_peers = Arc::new(Semaphore::new(MAX_UNKNOWN_PEERS));
    loop {
        // The others wait without a descriptor of the process.
        let Ok(permit) = Arc::clone(&unknown_peers).acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let engine = Rc::clone(&engine);
                actix::spawn(async move { accept_link(engine, stream, permit).await });
            }
            Err(_) => sleep(REDIAL_INTERVAL).await,
        }
    }
}

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    fn reject_unknown(&self, reason: &'static str) {
        self.metrics.limits.with_label_values(&[LimitReason::UnknownPeer.label()]).inc();
        self.event_log.record(Event::PeerRejected, o!("reason" => reason));
    }
}

/// Waits for the first heartbeat of a VM that connected, then runs the link.
async fn accept_link<S: ServerProtocol, D: Directory>(
    engine: Rc<Engine<S, D>>,
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
) {
    let mut codec = EnvelopeCodec::new();
    codec.set_limit(MAX_FIRST_BYTES);
    let mut frames = Framed::new(stream, codec);
    let first = timeout(DIAL_TIMEOUT, frames.next()).await;
    drop(permit);
    let heartbeat = match first {
        Ok(Some(Ok(Envelope { body: Some(Body::Beat(heartbeat)) }))) => heartbeat,
        Ok(None) => return,
        Ok(Some(Err(_))) => return engine.reject_unknown("malformed"),
        Ok(Some(Ok(_))) => return engine.reject_unknown("no_heartbeat"),
        Err(_) => return engine.reject_unknown("silent"),
    };
    let Ok(vm) = VmId::new(&heartbeat.vm) else { return engine.reject_unknown("no_name") };
    frames.codec_mut().set_limit(MAX_ENVELOPE_BYTES);
    run_link(&engine, vm, frames, Origin::Accepted(Box::new(heartbeat))).await;
}
