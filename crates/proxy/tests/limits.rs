//! Callers and unknown clients that do not keep to the limits neither end the daemon nor exhaust the
//! VM's memory or descriptors, and an ordinary request is answered after them.

mod common;

use std::{
    fs,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::{BufMut, BytesMut};
use common::{Daemon, Deployment};
use pgwire::messages::{Message, extendedquery::Parse, simplequery::Query, startup::Startup};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Mutex,
    time::{sleep, timeout},
};

/// Memory that the daemon may use.
const MEMORY_BYTES: usize = 64 << 20;

/// Descriptors that the daemon may use.
const DESCRIPTORS: usize = 950;

/// Callers that the daemon serves at the same time.
const MAX_CALLERS: usize = 50;

/// Callers of a crowd that leaves room for some others.
const CROWD: usize = 40;

/// Largest message of a caller.
const MESSAGE_BYTES: usize = 1 << 20;

/// Size of a legal message that is close to the limit.
const LARGE_BYTES: usize = 1_000_000;

/// Unknown clients of a crowd that would use up the descriptors.
const UNKNOWN_CLIENTS: usize = 1_000;

/// Time for which a crowd is observed.
const CROWD_SPAN: Duration = Duration::from_secs(3);

/// Maximum time until an ordinary request is answered after a crowd has come.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Lets one test run at a time.
static TURN: Mutex<()> = Mutex::const_new(());

/// What the daemon used at most.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    memory: usize,
    files: usize,
}

/// A daemon with lowered limits.
struct Place {
    deployment: Deployment,
    usage: Usage,
}

impl Place {
    async fn start() -> Self {
        let limits = json!({ "callers": MAX_CALLERS, "message_bytes": MESSAGE_BYTES, "memory_mb": MEMORY_BYTES >> 20 });
        let deployment = Deployment::start_with_limits(&["a"], limits).await;
        let place = Place { deployment, usage: Usage::default() };
        assert!(place.is_served().await, "an ordinary request is served before the crowd");
        place
    }

    fn daemon(&self) -> &Daemon {
        &self.deployment.daemons[0]
    }

    /// Records what the daemon uses now.
    fn observe(&mut self) {
        let process = format!("/proc/{}", self.daemon().child.id());
        let status = fs::read_to_string(format!("{process}/status")).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|text| text.split_whitespace().next()?.parse::<usize>().ok());
        self.usage.memory = self.usage.memory.max(peak.unwrap_or_default() * 1_024);
        let files = fs::read_dir(format!("{process}/fd")).map_or(0, |files| files.count());
        self.usage.files = self.usage.files.max(files);
    }

    /// Records what the daemon uses while a crowd is connected.
    async fn observe_crowd(&mut self) {
        let end = Instant::now() + CROWD_SPAN;
        while Instant::now() < end {
            self.observe();
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Checks the daemon, and that it serves an ordinary caller.
    async fn check(mut self) {
        self.observe();
        let ended = self.deployment.daemons[0].child.try_wait().expect("the process can be asked");
        assert!(ended.is_none(), "the daemon runs: {ended:?}");
        let end = Instant::now() + MAX_WAIT;
        while !self.is_served().await {
            assert!(Instant::now() < end, "an ordinary request is served: {:?}", self.usage);
            sleep(Duration::from_millis(100)).await;
        }
        self.observe();
        eprintln!("{:?}", self.usage);
        assert!(self.usage.memory <= MEMORY_BYTES, "memory is bounded: {:?}", self.usage);
        assert!(self.usage.files <= DESCRIPTORS, "descriptors are bounded: {:?}", self.usage);
    }

    /// Returns whether a new caller gets the answer to a request.
    async fn is_served(&self) -> bool {
        let asked = async {
            let client = self.deployment.client(0, None);
            let client = timeout(MAX_WAIT, client).await.ok()?;
            client.simple_query("SELECT 1").await.ok()
        };
        // A session that is refused ends the task that asks.
        let address = self.daemon().callers;
        match open(address).await {
            Some(_) => timeout(Duration::from_secs(10), asked).await.is_ok_and(|a| a.is_some()),
            None => false,
        }
    }

    /// Opens sessions.
    async fn sessions(&self, count: usize) -> Vec<TcpStream> {
        let mut sessions = Vec::new();
        for _ in 0..count {
            sessions.push(open(self.daemon().callers).await.expect("a session"));
        }
        sessions
    }
}

/// Opens a session on the route that is open to all callers; `None` if it is refused.
async fn open(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let mut startup = Startup::new();
    startup.parameters.insert("user".to_owned(), "anybody".to_owned());
    startup.parameters.insert("database".to_owned(), "open".to_owned());
    stream.write_all(&encode(&startup)).await.ok()?;
    timeout(MAX_WAIT, read_until_ready(&mut stream)).await.ok()?.then_some(stream)
}

/// Reads up to the end of an answer; returns false if the connection ends before.
async fn read_until_ready(stream: &mut TcpStream) -> bool {
    loop {
        let mut header = [0; 5];
        if stream.read_exact(&mut header).await.is_err() {
            return false;
        }
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
        let mut body = vec![0; length as usize - 4];
        if stream.read_exact(&mut body).await.is_err() {
            return false;
        }
        if header[0] == b'Z' {
            return true;
        }
    }
}

fn encode(message: &impl Message) -> Vec<u8> {
    let mut bytes = BytesMut::new();
    message.encode(&mut bytes).expect("the message is small");
    bytes.to_vec()
}

fn query(sql: &str) -> Vec<u8> {
    encode(&Query::new(sql.to_owned()))
}

/// Returns a legal query whose answer is as large as itself.
fn large_query() -> Vec<u8> {
    query(&format!("SELECT '{}'", "x".repeat(LARGE_BYTES)))
}

/// Starts a task for each member of a crowd, which ends when it fails to send.
fn send_all(streams: Vec<TcpStream>, bytes: &[u8], piece: usize, pause: Duration) {
    for mut stream in streams {
        let bytes = bytes.to_vec();
        tokio::spawn(async move {
            for piece in bytes.chunks(piece) {
                if stream.write_all(piece).await.is_err() {
                    return;
                }
                sleep(pause).await;
            }
            // What the daemon answers is taken.
            let mut answer = vec![0; 16_384];
            while let Ok(1..) = stream.read(&mut answer).await {}
        });
    }
}

/// Sends as much as a stream takes in without waiting for long.
async fn send_some(stream: &mut TcpStream, bytes: &[u8]) {
    // The daemon may have stopped reading or closed the connection.
    let _ = timeout(Duration::from_millis(300), stream.write_all(bytes)).await;
}

fn run(test: impl Future<Output = ()>) {
    actix::System::new().block_on(async {
        let _turn = TURN.lock().await;
        test.await;
    });
}

#[test]
fn large_queries_from_many_callers_at_once() {
    run(async {
        let mut place = Place::start().await;
        send_all(place.sessions(CROWD).await, &large_query(), MESSAGE_BYTES, Duration::ZERO);
        place.observe_crowd().await;
        place.check().await;
    });
}

#[test]
fn large_queries_in_small_pieces() {
    run(async {
        let mut place = Place::start().await;
        let pause = Duration::from_millis(1);
        send_all(place.sessions(CROWD).await, &large_query(), 8_192, pause);
        place.observe_crowd().await;
        place.check().await;
    });
}

#[test]
fn queries_far_over_the_limit() {
    run(async {
        let mut place = Place::start().await;
        let bytes = query(&"x".repeat(LARGE_BYTES * 8));
        send_all(place.sessions(CROWD).await, &bytes, LARGE_BYTES, Duration::ZERO);
        place.observe_crowd().await;
        place.check().await;
    });
}

/// Sends the same messages on many connections, as many as are taken, and reads nothing.
async fn send_ahead(messages: &[u8]) {
    let mut place = Place::start().await;
    let mut sessions = place.sessions(CROWD).await;
    for session in &mut sessions {
        send_some(session, messages).await;
        place.observe();
    }
    place.observe_crowd().await;
    place.check().await;
}

#[test]
fn many_queries_ahead_without_reading_results() {
    run(send_ahead(&query("SELECT 1").repeat(100_000)));
}

#[test]
fn large_results_that_are_not_read() {
    run(send_ahead(&large_query().repeat(20)));
}

#[test]
fn sessions_with_many_large_statements() {
    run(async {
        let mut place = Place::start().await;
        let mut sessions = place.sessions(10).await;
        for i in 0..20 {
            let sql = format!("SELECT '{}'", "x".repeat(LARGE_BYTES / 2));
            let mut bytes = encode(&Parse::new(Some(format!("s{i}")), sql, Vec::new()));
            // The message `Sync`.
            bytes.put_slice(&[b'S', 0, 0, 0, 4]);
            for session in &mut sessions {
                if session.write_all(&bytes).await.is_ok() {
                    read_until_ready(session).await;
                }
            }
            place.observe();
        }
        place.check().await;
    });
}

#[test]
fn clients_that_send_very_slowly() {
    run(async {
        let mut place = Place::start().await;
        let mut sessions = place.sessions(MAX_CALLERS).await;
        let message = large_query();
        let (half, rest) = message.split_at(LARGE_BYTES / 2);
        for session in &mut sessions {
            send_some(session, half).await;
        }
        send_all(sessions, rest, 1, Duration::from_millis(100));
        place.observe_crowd().await;
        place.check().await;
    });
}

#[test]
fn clients_that_read_very_slowly() {
    run(async {
        let mut place = Place::start().await;
        let requests = large_query().repeat(20);
        for mut session in place.sessions(MAX_CALLERS).await {
            send_some(&mut session, &requests).await;
            tokio::spawn(async move {
                while session.read_u8().await.is_ok() {
                    sleep(Duration::from_millis(100)).await;
                }
            });
        }
        place.observe_crowd().await;
        place.check().await;
    });
}

#[test]
fn half_a_startup_packet() {
    run(async {
        let mut place = Place::start().await;
        let mut streams = Vec::new();
        for _ in 0..MAX_CALLERS {
            let mut stream = TcpStream::connect(place.daemon().callers).await.expect("it listens");
            send_some(&mut stream, &[0, 0, 0, 100, 0, 3]).await;
            streams.push(stream);
        }
        place.observe_crowd().await;
        place.check().await;
    });
}

#[test]
fn half_a_query() {
    run(async {
        let mut place = Place::start().await;
        let mut sessions = place.sessions(MAX_CALLERS).await;
        for session in &mut sessions {
            send_some(session, &query("SELECT 1")[..8]).await;
        }
        place.observe_crowd().await;
        place.check().await;
    });
}

/// Connects unknown clients to an address, sends the same bytes on all and checks the daemon.
async fn send_from_unknown_clients(
    address: impl Fn(&Daemon) -> SocketAddr,
    count: usize,
    bytes: &[u8],
) {
    let mut place = Place::start().await;
    let address = address(place.daemon());
    for _ in 0..count {
        let bytes = bytes.to_vec();
        tokio::spawn(async move {
            let mut stream = TcpStream::connect(address).await.ok()?;
            // The daemon may close the connection at any byte.
            let _ = stream.write_all(&bytes).await;
            let mut answer = [0; 1_024];
            while let Ok(1..) = stream.read(&mut answer).await {}
            Some(())
        });
    }
    place.observe_crowd().await;
    place.check().await;
}

#[test]
fn unknown_clients_that_send_huge_frames_to_the_peers() {
    let mut bytes = (31_u32 << 20).to_be_bytes().to_vec();
    bytes.resize(16 << 20, 0);
    run(send_from_unknown_clients(|daemon| daemon.peers, CROWD, &bytes));
}

#[test]
fn many_silent_clients_on_the_peers() {
    run(send_from_unknown_clients(|daemon| daemon.peers, UNKNOWN_CLIENTS, b""));
}

#[test]
fn many_slow_clients_on_the_admin_address() {
    run(send_from_unknown_clients(
        |daemon| daemon.admin,
        UNKNOWN_CLIENTS,
        b"GET /metrics HTTP/1.1\r\n",
    ));
}
