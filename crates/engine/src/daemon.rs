//! Runs a daemon: starts its tasks, and drains it after SIGTERM.
//!
//! An adapter supplies the protocols and the directory ([`Adapter`]). The daemon
//! listens for callers and other VMs, reads the settings again after SIGHUP, and
//! reports readiness and metrics through [`Health`].

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

use chicoryhollow_core::{Refusal, budget::LimitReason, drain::Drain};
use futures_util::FutureExt;
use prometheus::IntGauge;
use slog::{Logger, o};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    signal::unix::{SignalKind, signal},
    sync::{Semaphore, mpsc},
    task::{JoinHandle, yield_now},
    time::{Instant, interval, sleep, sleep_until, timeout},
};

use crate::{
    clock,
    coordinator::Coordinator,
    engine::{Engine, Phase},
    fleet,
    log::{Event, EventLog},
    metrics::Metrics,
    seam::{CallerProtocol, Directory, LinkError, ServerProtocol},
    session,
    settings::Settings,
    usage, watch,
};

/// Time for the last lines of the log to be written before the process ends by itself.
const LOG_SPAN: Duration = Duration::from_millis(50);

/// Status of a process that ends because a task has panicked.
const FAILED_TASK_STATUS: i32 = 70;

/// Interval of the maintenance tasks, which depend on time alone.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Number of [`MAINTENANCE_INTERVAL`]s between two log lines about the traffic between VMs.
const TRAFFIC_LOG_ROUNDS: u32 = 80;

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Maximum number of callers above the limit that are told so at the same time. They use
/// reserved descriptors.
const MAX_REJECTED_CALLERS: usize = 256;

/// Time in which callers are told that their requests were given up.
const ANSWER_TIME: Duration = Duration::from_millis(150);

/// Minimum time for which a draining daemon still accepts callers. The load
/// balancer notices only after a delay that the daemon is draining.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(2_600);

/// State of a daemon that other threads may read.
#[derive(Clone, Default)]
pub struct Health {
    /// Whether the daemon can serve callers.
    pub ready: Arc<AtomicBool>,
    /// Counters and histograms.
    pub metrics: Metrics,
}

/// Protocols and directory with which a daemon runs.
pub struct Adapter<C, S, D> {
    /// Protocol of callers.
    pub callers: C,
    /// Protocol of backend servers.
    pub servers: S,
    /// Directory that stores rows and promotes servers.
    pub directory: D,
}

/// Why a daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The daemon could not listen on an address.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// Address of the failed socket.
        address: SocketAddr,
        /// Error of the system call.
        error: io::Error,
    },
    /// The handlers for signals could not be installed.
    #[error("cannot receive signals: {0}")]
    Signals(io::Error),
}

/// Runs a daemon until SIGTERM and the end of its grace period.
///
/// `reload` is called after SIGHUP. It reads the settings again and returns a
/// description of the result, which is logged.
///
/// # Errors
///
/// Fails when an address is already in use or signals cannot be received.
pub async fn run<C: CallerProtocol, S: ServerProtocol, D: Directory>(
    settings: Settings,
    adapter: Adapter<C, S, D>,
    health: Health,
    log: Logger,
    reload: impl Fn() -> String,
) -> Result<(), DaemonError> {
    // An unhandled signal would end a process that callers already use.
    let mut terminate = signal(SignalKind::terminate()).map_err(DaemonError::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(DaemonError::Signals)?;
    let callers = listen(settings.callers, Some(settings.limits.socket))?;
    let peers = listen(settings.peers, None)?;
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
    let engine = Engine::new(
        settings,
        adapter.servers,
        adapter.directory,
        event_log,
        health.metrics.clone(),
    );
    let engine = Rc::new(engine);
    let accepting = start_tasks(&engine, adapter.callers, callers, peers, health);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => engine.event_log.record(Event::Reloaded, o!("found" => reload())),
        }
    }
    drain(&engine, grace, accepting).await;
    usage::flush(&engine).await;
    engine.event_log.record(Event::Stopped, o!());
    Ok(())
}

fn start_tasks<C: CallerProtocol, S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    protocol: C,
    callers: TcpListener,
    peers: TcpListener,
    health: Health,
) -> JoinHandle<()> {
    let (sender, mut changes) = mpsc::unbounded_channel();
    let reading = engine.relay.borrow().reading();
    spawn_essential(engine, "directory", engine.directory.follow(sender, reading));
    let follower = Rc::clone(engine);
    spawn_essential(engine, "changes", async move {
        while let Some(change) = changes.recv().await {
            follower.apply(change);
        }
    });
    spawn_essential(engine, "fleet", fleet::run(Rc::clone(engine), peers));
    let coordinator =
        Rc::new(Coordinator::new(engine.settings.vm.clone(), engine.settings.incarnation));
    spawn_essential(engine, "coordinator", Rc::clone(&coordinator).run(Rc::clone(engine)));
    spawn_essential(engine, "usage", usage::run(Rc::clone(engine), Rc::clone(&coordinator)));
    spawn_essential(engine, "watch", watch::run(Rc::clone(engine), coordinator));
    spawn_essential(engine, "maintenance", run_maintenance(Rc::clone(engine), health));
    actix::spawn(accept(Rc::clone(engine), protocol, callers))
}

/// Runs a task that is essential to the daemon. If it panics, the process ends, since it would
/// go on only in part: as a coordinator that renews its role and replaces no primary.
fn spawn_essential<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    name: &'static str,
    task: impl Future<Output = ()> + 'static,
) {
    let (engine, task) = (Rc::clone(engine), actix::spawn(task));
    actix::spawn(async move {
        if task.await.is_err_and(|error| error.is_panic()) {
            engine.event_log.record(Event::TaskFailed, o!("task" => name));
            sleep(LOG_SPAN).await;
            std::process::exit(FAILED_TASK_STATUS);
        }
    });
}

/// Accepts callers until the daemon ends, and then those whose connections wait to be
/// accepted, which would be reset otherwise.
async fn accept<C: CallerProtocol, S: ServerProtocol, D: Directory>(
    engine: Rc<Engine<S, D>>,
    protocol: C,
    listener: TcpListener,
) {
    let mut phases = engine.phases();
    let rejections = Arc::new(Semaphore::new(MAX_REJECTED_CALLERS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phases.wait_for(|phase| *phase == Phase::Ending) => break,
        };
        match accepted {
            Ok((stream, _)) => serve(&engine, &protocol, &rejections, stream),
            // The process may have run out of file descriptors, some of which
            // become free when callers disconnect.
            Err(_) => sleep(MAINTENANCE_INTERVAL).await,
        }
    }
    // The runtime notices connections only between the runs of tasks.
    yield_now().await;
    for _ in 0..LISTEN_BACKLOG {
        match listener.accept().now_or_never() {
            Some(Ok((stream, _))) => serve(&engine, &protocol, &rejections, stream),
            _ => break,
        }
    }
}

/// Starts the session of a caller, or refuses the caller if there are too many.
fn serve<C: CallerProtocol, S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    protocol: &C,
    rejections: &Arc<Semaphore>,
    stream: TcpStream,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let engine = Rc::clone(engine);
    let connected = usize::try_from(engine.metrics.callers.get());
    if connected.is_ok_and(|count| count >= engine.settings.max_callers) {
        engine.record_limit(LimitReason::Callers);
        engine.event_log.record(Event::SessionClosed, o!("reason" => "too_many_callers"));
        let Ok(permit) = Arc::clone(rejections).try_acquire_owned() else { return };
        let caller = protocol.open(stream, engine.meters.add());
        actix::spawn(async move {
            let sent = session::reject(&engine, caller, Refusal::TooManyConnections).await;
            drop(permit);
            record_end(&engine, sent);
        });
        return;
    }
    let meter = engine.meters.add();
    let caller = protocol.open(stream, meter.clone());
    let connected = Connected::new(&engine.metrics.callers);
    actix::spawn(async move {
        let served = session::serve(Rc::clone(&engine), caller, meter).await;
        drop(connected);
        record_end(&engine, served);
    });
}

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Counts and logs that a caller or an unknown client exceeded a limit.
    pub(crate) fn record_limit(&self, reason: LimitReason) {
        self.metrics.limits.with_label_values(&[reason.label()]).inc();
        self.event_log.record(Event::LimitExceeded, o!("reason" => reason.label()));
    }

    /// Logs how many messages waited to be read after the first `before` ones. Returns how many
    /// there were so far.
    fn record_delayed(&self, before: u64) -> u64 {
        let waits = self.metrics.message_waits.get();
        if waits > before {
            let held = self.metrics.held_bytes.get();
            let messages = waits - before;
            self.event_log
                .record(Event::MessagesDelayed, o!("messages" => messages, "held" => held));
        }
        waits
    }
}

/// Logs how the connection of a caller failed, if it did.
fn record_end<S: ServerProtocol, D: Directory>(
    engine: &Engine<S, D>,
    result: Result<(), LinkError>,
) {
    if let Err(LinkError::Limit(reason)) = &result {
        engine.record_limit(*reason);
    }
    if let Err(error) = result {
        let reason = error.to_string();
        engine
            .event_log
            .record(Event::SessionClosed, o!("reason" => "connection", "error" => reason));
    }
}

/// Counts a connected caller until dropped, even if the task of its session panics.
struct Connected(IntGauge);

impl Connected {
    fn new(callers: &IntGauge) -> Self {
        callers.inc();
        Connected(callers.clone())
    }
}

impl Drop for Connected {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Runs the periodic tasks: readiness, roles, token requests and metrics.
async fn run_maintenance<S: ServerProtocol, D: Directory>(
    engine: Rc<Engine<S, D>>,
    health: Health,
) {
    let mut ticks = interval(MAINTENANCE_INTERVAL);
    let mut delayed = 0;
    for round in 1_u32.. {
        ticks.tick().await;
        health.ready.store(engine.is_ready(), Ordering::Relaxed);
        engine.choose_reader();
        engine.check_directory();
        engine.fleet.refresh_unreachable();
        engine.check_isolation();
        engine.drop_missing_servers();
        engine.refresh_evacuated();
        engine.request_tokens();
        engine.event_log.report_dropped();
        let now = clock::now();
        engine.pools().iter().for_each(|pool| pool.expire(now));
        engine.report_load();
        let opened: u64 = engine.pools().iter().map(|pool| pool.connects()).sum();
        let counted = engine.metrics.connects.get();
        engine.metrics.connects.inc_by(opened.saturating_sub(counted));
        if round.is_multiple_of(TRAFFIC_LOG_ROUNDS) {
            delayed = engine.record_delayed(delayed);
            let (sent, links) = (engine.metrics.peer_traffic(), engine.metrics.peers.get());
            engine.event_log.record(Event::PeerTraffic, o!("sent" => sent, "links" => links));
        }
    }
}

/// Lets callers finish. Callers outside of a transaction are disconnected at
/// once, the others after half of the grace period. Requests that still run shortly before the
/// end are given up, and their callers told.
async fn drain<S: ServerProtocol, D: Directory>(
    engine: &Rc<Engine<S, D>>,
    grace: Duration,
    accepting: JoinHandle<()>,
) {
    let started = Instant::now();
    let callers = engine.metrics.callers.get();
    engine.event_log.record(Event::Draining, o!("callers" => callers));
    let schedule = Drain::new(clock::now(), grace);
    engine.start_drain(schedule);
    let accept_until = started + MIN_ACCEPT_TIME.min(grace / 2);
    sleep_until(started + grace / 2).await;
    engine.set_phase(Phase::Closing);
    while clock::now() < schedule.cutoff()
        && (Instant::now() < accept_until || engine.metrics.callers.get() > 0)
    {
        sleep(MAINTENANCE_INTERVAL / 5).await;
    }
    engine.set_phase(Phase::Ending);
    let end = Instant::now() + ANSWER_TIME;
    // If it takes longer or has panicked, nobody else is accepted.
    let _ = timeout(ANSWER_TIME, accepting).await;
    while Instant::now() < end && engine.metrics.callers.get() > 0 {
        sleep(ANSWER_TIME / 10).await;
    }
}

/// Listens on an address. Accepted connections have buffers of the size `buffer` in each
/// direction, if it is given: what waits in them counts as memory of the VM.
fn listen(address: SocketAddr, buffer: Option<usize>) -> Result<TcpListener, DaemonError> {
    let buffer = buffer.map(|bytes| u32::try_from(bytes).unwrap_or(u32::MAX));
    let open = || -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        if let Some(bytes) = buffer {
            socket.set_recv_buffer_size(bytes)?;
            socket.set_send_buffer_size(bytes)?;
        }
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    open().map_err(|error| DaemonError::Listen { address, error })
}
