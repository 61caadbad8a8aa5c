//! Start and shutdown of a daemon.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use chicoryhollow_config::Settings;
use chicoryhollow_core::Incarnation;
use chicoryhollow_store::HttpPlatform;
use slog::{Logger, o};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
    signal::unix::{SignalKind, signal},
    time::{sleep, timeout},
};

use crate::{admin, configuration, entry, events::Event, node::Node, peers, shares, watch};

/// Maximum wait for an answer of the platform, in milliseconds.
const PLATFORM_TIMEOUT_MS: u64 = 1_000;

/// Minimum duration of a drain without callers. Meanwhile other VMs learn that this
/// one is leaving, and it still serves their streams.
const LEAVING_NOTICE: Duration = Duration::from_secs(1);

/// Runs a daemon until it receives SIGTERM and has drained.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or signals cannot be received.
///
/// # Panics
///
/// Panics if the operating system cannot create threads.
pub fn run(settings: Settings, log: Logger) -> Result<(), DaemonError> {
    let workers = settings.limits.workers.max(1);
    let system = actix::System::with_tokio_rt(|| runtime(workers));
    let incarnation = Incarnation::new(rand::random());
    system.block_on(serve(Node::new(settings, incarnation, log)))
}

fn runtime(workers: usize) -> Runtime {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(workers).enable_all();
    builder.build().expect("the operating system gives threads")
}

async fn serve(node: Arc<Node>) -> Result<(), DaemonError> {
    let listen = &node.settings.listen;
    let callers = bind(listen.callers).await?;
    let peers = bind(listen.peers).await?;
    let admin = admin::serve(&node)
        .map_err(|source| DaemonError::Bind { address: listen.admin, source })?;
    actix::spawn(admin);
    let platform_timeout = Duration::from_millis(PLATFORM_TIMEOUT_MS);
    let platform = HttpPlatform::new(node.settings.platform.clone(), platform_timeout);
    configuration::follow(&node, platform.clone());
    actix::spawn(shares::follow(Arc::clone(&node), platform));
    tokio::spawn(watch::follow(Arc::clone(&node)));
    tokio::spawn(peers::listen(Arc::clone(&node), peers));
    tokio::spawn(entry::listen(Arc::clone(&node), callers));
    Event::Started.record(&node.log, o!("vm" => node.settings.vm.to_string()));
    wait_for_shutdown(&node).await?;
    Event::Stopped.record(&node.log, o!("vm" => node.settings.vm.to_string()));
    Ok(())
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).await.map_err(|source| DaemonError::Bind { address, source })
}

/// Waits for SIGTERM, and then until all callers have left. Ends earlier at a second
/// SIGTERM or at the drain deadline.
async fn wait_for_shutdown(node: &Arc<Node>) -> Result<(), DaemonError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(DaemonError::Signal)?;
    terminate.recv().await;
    Event::Draining.record(&node.log, o!("callers" => node.metrics.callers.get()));
    node.start_drain();
    let start = Instant::now();
    let limit = Duration::from_millis(node.settings.limits.drain_ms);
    let finished = async {
        while node.metrics.callers.get() > 0 {
            sleep(Duration::from_millis(20)).await;
        }
        sleep(LEAVING_NOTICE.saturating_sub(start.elapsed())).await;
        node.peers.finish().await;
    };
    tokio::select! {
        _ = timeout(limit, finished) => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}

/// Why a daemon could not run.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// An address could not be bound.
    #[error("cannot listen on {address}: {source}; change `listen` in the settings")]
    Bind {
        /// The address that the settings name.
        address: std::net::SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Signals cannot be received.
    #[error("cannot receive signals: {0}")]
    Signal(std::io::Error),
}
