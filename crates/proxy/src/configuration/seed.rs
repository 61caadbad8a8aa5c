//! Requests to a seed: a VM that is known only by the address in the settings.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use chicoryhollow_peer::{
    Body, Envelope, EnvelopeCodec,
    member::{MembersAnswer, MembersAsk},
};
use futures_util::{SinkExt, StreamExt};
use tokio::{net::TcpStream, time::timeout};
use tokio_util::codec::Framed;

use crate::{node::Node, peers::hello};

/// Maximum time for a request to a seed and its answer.
const SEED_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Asks the VM at `address` for the list of VMs. Returns `None` if it does not
/// answer in time.
pub(super) async fn request_list(node: Arc<Node>, address: SocketAddr) -> Option<MembersAnswer> {
    timeout(SEED_TIMEOUT, exchange(&node, address)).await.ok().flatten()
}

async fn exchange(node: &Node, address: SocketAddr) -> Option<MembersAnswer> {
    let socket = TcpStream::connect(node.settings.dial_address(address)).await.ok()?;
    let mut framed = Framed::new(socket, EnvelopeCodec::new());
    for body in [Body::Hello(hello(node)), Body::MembersAsk(MembersAsk { hash: 0 })] {
        framed.send(Envelope::new(body)).await.ok()?;
    }
    loop {
        if let Some(Body::MembersAnswer(answer)) = framed.next().await?.ok()?.body {
            return Some(answer);
        }
    }
}
