//! Starts the tasks of a daemon and ends them.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use slog::{Logger, o};
use tokio::{
    net::{TcpListener, TcpSocket},
    signal::unix::{SignalKind, signal},
    sync::mpsc,
    time::{Instant, interval, sleep, sleep_until},
};

use crate::{
    clock,
    duty::Duty,
    engine::{Engine, Phase},
    fleet,
    log::{Event, EventLog},
    metrics::Metrics,
    seam::{CallerProtocol, Directory, ServerProtocol},
    session,
    settings::Settings,
    watch,
};

/// Time between two rounds of upkeep.
const UPKEEP: Duration = Duration::from_millis(250);

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Time kept back from the grace for ending the process.
const END_MARGIN: Duration = Duration::from_millis(700);

/// Least time for which a draining daemon still takes callers, since the load
/// balancer learns late that it drains.
const LAST_CALLERS: Duration = Duration::from_millis(2_600);

/// What the outside may see of a daemon from other threads.
#[derive(Clone, Default)]
pub struct Health {
    /// Whether callers can be served.
    pub ready: Arc<AtomicBool>,
    /// Counters and histograms.
    pub metrics: Metrics,
}

/// The adapter's side of a daemon.
pub struct Adapter<C, S, D> {
    /// The protocol of callers.
    pub callers: C,
    /// The protocol of backend servers.
    pub servers: S,
    /// The directory.
    pub directory: D,
}

/// Why a daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// An address could not be listened on.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        error: io::Error,
    },
    /// Signals could not be received.
    #[error("cannot receive signals: {0}")]
    Signals(io::Error),
}

/// Runs a daemon until SIGTERM and the end of its grace. `reload` reads the
/// settings again after SIGHUP and says what it found.
///
/// # Errors
///
/// Fails when an address is taken or signals cannot be received.
pub async fn run<C: CallerProtocol, S: ServerProtocol, D: Directory>(
    settings: Settings,
    parts: Adapter<C, S, D>,
    health: Health,
    log: Logger,
    reload: impl Fn() -> String,
) -> Result<(), DaemonError> {
    let callers = listen(settings.callers)?;
    let peers = listen(settings.peers)?;
    let mut stop = signal(SignalKind::terminate()).map_err(DaemonError::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(DaemonError::Signals)?;
    let event_log = EventLog::new(log, health.metrics.clone());
    event_log.record(
        Event::Started,
        o!(
            "vm" => settings.vm.to_string(),
            "data_centre" => settings.data_centre.to_string(),
            "callers" => settings.callers.to_string(),
            "peers" => settings.peers.to_string(),
        ),
    );
    let grace = settings.grace;
    let engine =
        Engine::new(settings, parts.servers, parts.directory, event_log, health.metrics.clone());
    let engine = Rc::new(engine);
    start_tasks(&engine, parts.callers, callers, peers, health);
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = hangup.recv() => engine.event_log.record(Event::Reloaded, o!("found" => reload())),
        }
    }
    drain(&engine, grace).await;
    engine.event_log.record(Event::Stopped, o!());
    Ok(())
}

fn start_tasks<C: CallerProtocol, S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    protocol: C,
    callers: TcpListener,
    peers: TcpListener,
    health: Health,
) {
    let (sender, mut changes) = mpsc::unbounded_channel();
    let gate = engine.relay.borrow().gate();
    actix::spawn(engine.directory.follow(sender, gate));
    let follower = Rc::clone(engine);
    actix::spawn(async move {
        while let Some(change) = changes.recv().await {
            follower.apply(change);
        }
    });
    actix::spawn(fleet::run(Rc::clone(engine), peers));
    let duty = Rc::new(Duty::new(engine.settings.vm.clone(), engine.settings.incarnation));
    actix::spawn(Rc::clone(&duty).keep(Rc::clone(engine)));
    actix::spawn(watch::run(Rc::clone(engine), duty));
    actix::spawn(upkeep(Rc::clone(engine), health));
    actix::spawn(accept(Rc::clone(engine), protocol, callers));
}

async fn accept<C: CallerProtocol, S: ServerProtocol, D: Directory>(
    engine: Rc<Engine<S, D>>,
    protocol: C,
    listener: TcpListener,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Descriptors may have run out; some come free as callers leave.
            sleep(UPKEEP).await;
            continue;
        };
        let connected = engine.metrics.callers.get();
        if usize::try_from(connected).is_ok_and(|count| count >= engine.settings.max_callers) {
            engine.event_log.record(Event::SessionClosed, o!("reason" => "too_many_callers"));
            continue;
        }
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let caller = protocol.open(stream);
        let engine = Rc::clone(&engine);
        actix::spawn(async move {
            engine.metrics.callers.inc();
            let served = session::serve(Rc::clone(&engine), caller).await;
            engine.metrics.callers.dec();
            if let Err(error) = served {
                let reason = error.to_string();
                engine
                    .event_log
                    .record(Event::SessionClosed, o!("reason" => "connection", "error" => reason));
            }
        });
    }
}

/// Keeps what depends on time alone up to date.
async fn upkeep<S: ServerProtocol, D: Directory>(engine: Rc<Engine<S, D>>, health: Health) {
    let mut ticks = interval(UPKEEP);
    loop {
        ticks.tick().await;
        health.ready.store(engine.is_ready(), Ordering::Relaxed);
        engine.choose_reader();
        engine.check_reach();
        engine.fleet.look_for_dark();
        engine.check_isolation();
        engine.refresh_servers();
        engine.ask_for_tokens();
        engine.event_log.report_dropped();
        let now = clock::now();
        engine.pools().iter().for_each(|pool| pool.expire(now));
        let opened: u64 = engine.pools().iter().map(|pool| pool.connects()).sum();
        let counted = engine.metrics.connects.get();
        engine.metrics.connects.inc_by(opened.saturating_sub(counted));
    }
}

/// Lets callers finish: those outside of a transaction go at once, the others
/// have half of the grace.
async fn drain<S: ServerProtocol, D: Directory>(engine: &Rc<Engine<S, D>>, grace: Duration) {
    let start = Instant::now();
    let callers = engine.metrics.callers.get();
    engine.event_log.record(Event::Draining, o!("callers" => callers));
    engine.set_phase(Phase::Draining);
    let last = start + LAST_CALLERS.min(grace / 2);
    sleep_until(start + grace / 2).await;
    engine.set_phase(Phase::Closing);
    let end = start + grace.saturating_sub(END_MARGIN);
    while Instant::now() < end && (Instant::now() < last || engine.metrics.callers.get() > 0) {
        sleep(UPKEEP / 5).await;
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    let open = || -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|error| DaemonError::Listen { address, error })
}
