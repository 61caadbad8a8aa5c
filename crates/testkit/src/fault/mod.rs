/*!
A TCP proxy that injects network faults.

A [`Link`] forwards the connections to one target. It can delay their bytes, hold
them in one or both directions, and close the connections.

# Example

```no_run
use std::time::Duration;

use chicoryhollow_testkit::fault::{Link, LinkState};

# async fn run() -> std::io::Result<()> {
let link = Link::new("127.0.0.1:5432".parse().expect("an address")).await?;
link.set(LinkState { delay: Duration::from_millis(3), ..LinkState::default() });
println!("connect to {}", link.address());
# Ok(())
# }
```
*/

mod timer;

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    task::{AbortHandle, JoinSet},
};

/// Largest number of bytes that are read at once.
const BUFFER_BYTES: usize = 32 << 10;
/// Largest number of chunks in flight in one direction of a connection.
const CHUNKS_IN_FLIGHT: usize = 1_024;

/// Whether a link forwards the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Flow {
    /// Forwards them.
    #[default]
    Pass,
    /// Holds them until the flow is [`Flow::Pass`] again, as a network partition
    /// does.
    Hold,
}

/// Delay, flows and availability of a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinkState {
    /// Delay of the bytes in each direction.
    pub delay: Duration,
    /// Flow of the bytes from the dialling side to the target.
    pub forward: Flow,
    /// Flow of the bytes from the target to the dialling side.
    pub backward: Flow,
    /// Whether open connections are closed, and new ones as soon as they are accepted.
    pub closed: bool,
}

impl LinkState {
    /// Makes the state of a healthy link with a delay in each direction.
    pub fn with_delay(delay: Duration) -> Self {
        LinkState { delay, ..LinkState::default() }
    }

    /// Returns this state with both directions held.
    pub fn cut(self) -> Self {
        LinkState { forward: Flow::Hold, backward: Flow::Hold, ..self }
    }
}

/// A listener that forwards its connections to one target. Dropping it closes the
/// listener and the connections.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    task: AbortHandle,
}

impl Link {
    /// Starts a healthy link to `target` without a delay, on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn new(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(LinkState::default());
        let task = tokio::spawn(accept(listener, target, state.clone())).abort_handle();
        Ok(Link { address, state, task })
    }

    /// Returns the address to connect to instead of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the current state of the link.
    pub fn state(&self) -> LinkState {
        *self.state.borrow()
    }

    /// Changes the state of the link, also for open connections. A new delay applies
    /// to the bytes that are read after the change.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: watch::Sender<LinkState>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                if !state.borrow().closed {
                    connections.spawn(forward(stream, target, state.subscribe()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn forward(near: TcpStream, target: SocketAddr, mut state: watch::Receiver<LinkState>) {
    let passes = |state: &LinkState| state.closed || state.forward == Flow::Pass;
    if state.wait_for(passes).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut closed = state.clone();
    tokio::select! {
        () = pump(near_read, far_write, state.clone(), |state| state.forward) => {}
        () = pump(far_read, near_write, state, |state| state.backward) => {}
        _ = closed.wait_for(|state| state.closed) => {}
    }
}

/// Forwards the bytes of one direction until either side closes the connection.
async fn pump(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    state: watch::Receiver<LinkState>,
    flow: fn(&LinkState) -> Flow,
) {
    let (sender, receiver) = mpsc::channel(CHUNKS_IN_FLIGHT);
    let writer = write_chunks(to, receiver, state.clone(), flow);
    tokio::join!(read_chunks(from, sender, state), writer);
}

/// Bytes and the time at which they are due.
type Chunk = (Instant, Vec<u8>);

async fn read_chunks(
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<Chunk>,
    state: watch::Receiver<LinkState>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let due = Instant::now() + state.borrow().delay;
        if sender.send((due, buffer[..length].to_vec())).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    mut to: OwnedWriteHalf,
    mut chunks: mpsc::Receiver<Chunk>,
    mut state: watch::Receiver<LinkState>,
    flow: fn(&LinkState) -> Flow,
) {
    while let Some((due, bytes)) = chunks.recv().await {
        timer::sleep_until(due).await;
        let passes = state.wait_for(|state| flow(state) == Flow::Pass).await.is_ok();
        if !passes || to.write_all(&bytes).await.is_err() {
            return;
        }
    }
    // The end of the stream is held like its bytes.
    let _ = state.wait_for(|state| flow(state) == Flow::Pass).await;
}
