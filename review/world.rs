//! Stand-ins for the review's scripts: the platform's store and promotion
//! service, one database group, the load balancer and the clients. The daemons
//! are the project's own processes. Only the standard library is used.

use std::{
    collections::{BTreeMap, HashMap},
    fs::{self, File},
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
const SIGTERM: i32 = 15;

const DAEMON: &str = "target/release/chicoryhollow-node";
const FRONT: u16 = 8465;
const READY: u16 = 8460;
const PEERS: u16 = 7560;
const METRICS: u16 = 9464;

/// Bounds of the settings, as on the page of the deploy file.
const GRACE: Duration = Duration::from_secs(6);
const DRAIN: Duration = Duration::from_secs(7);
const REVOKE: Duration = Duration::from_secs(5);
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Time limit of a statement on the route of reads.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const HANDSHAKE: Duration = Duration::from_millis(12);
const PROMOTE: Duration = Duration::from_millis(600);
const MAX_CONNECTIONS: usize = 22;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn pause(n: u64) {
    thread::sleep(ms(n));
}

// ---------------------------------------------------------------- the world

type Position = (u64, u64);

/// A commit in a log: its position and the id of the request that made it.
#[derive(Clone, PartialEq)]
struct Entry {
    at: Position,
    request: String,
}

struct Instance {
    id: String,
    zone: String,
    address: SocketAddr,
    log: Vec<Entry>,
    /// Term of the `PAUSE` that stops it from receiving, or 0.
    paused: u64,
    /// Whether it receives nothing at present.
    deaf: bool,
    running: bool,
    draining: bool,
    seq: u64,
    born: u64,
    connections: usize,
}

impl Instance {
    fn received(&self) -> Position {
        self.log.last().map_or((1, 0), |entry| entry.at)
    }
}

/// A request that an instance received.
#[derive(Clone)]
struct Run {
    instance: String,
    tenant: String,
    arrived: Instant,
    ended: Option<Instant>,
}

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
}

struct State {
    rows: Rows,
    service: String,
    term: u64,
    primary: String,
    instances: Vec<Instance>,
    /// A primary that is cut off from its replicas, and which these are.
    cut: Option<(String, Vec<String>)>,
    /// Daemons and instances that are cut off from all others and from the store.
    apart: Option<(Vec<usize>, Vec<String>)>,
    /// Where the proxy of each daemon's peer address listens.
    peers: HashMap<String, String>,
    runs: HashMap<String, Run>,
    acknowledged: Vec<Entry>,
    /// Highest fencing token seen.
    token: u64,
    /// Number of the coming orders that get no answer, and how late they are carried out.
    late_orders: u32,
    lateness: Duration,
    /// Acknowledged commits that a promoted instance lacked.
    lost: Vec<String>,
    work: (u64, u64),
    seed: u64,
}

impl State {
    fn random(&mut self, from: u64, to: u64) -> u64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        from + self.seed % (to - from + 1)
    }

    /// Returns whether a partition lies between two daemons.
    fn parts_daemons(&self, a: usize, b: usize) -> bool {
        self.apart.as_ref().is_some_and(|(daemons, _)| daemons.contains(&a) != daemons.contains(&b))
    }

    /// Returns whether a partition lies between a daemon and an instance.
    fn parts(&self, daemon: Option<usize>, id: &str) -> bool {
        self.apart.as_ref().is_some_and(|(daemons, instances)| {
            daemon.is_some_and(|d| daemons.contains(&d)) != instances.iter().any(|i| i == id)
        })
    }

    fn instance(&mut self, id: &str) -> &mut Instance {
        self.instances.iter_mut().find(|i| i.id == id).expect("a known instance")
    }
}

struct World {
    start: Instant,
    state: Mutex<State>,
    changed: Condvar,
    record: Mutex<File>,
    children: Mutex<Vec<u32>>,
    folder: PathBuf,
}

impl World {
    fn new(case: &str, record: &str) -> Arc<World> {
        let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let seed = std::process::id() as u64 * 2_654_435_761 + 12_345;
        let state = State {
            rows: Rows::default(),
            service: "huvo11a".into(),
            term: 1,
            primary: "i-1".into(),
            instances: Vec::new(),
            cut: None,
            apart: None,
            peers: HashMap::new(),
            runs: HashMap::new(),
            acknowledged: Vec::new(),
            token: 0,
            late_orders: 0,
            lateness: Duration::ZERO,
            lost: Vec::new(),
            work: (3, 10),
            seed,
        };
        Arc::new(World {
            start: Instant::now(),
            state: Mutex::new(state),
            changed: Condvar::new(),
            record: Mutex::new(File::create(record).expect("a record")),
            children: Mutex::default(),
            folder,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    fn note(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.record.lock().expect("not poisoned");
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }

    /// Ends all daemons and the process.
    fn exit(&self, code: i32) -> ! {
        for pid in self.children.lock().expect("not poisoned").drain(..) {
            unsafe { kill(pid as i32, 9) };
        }
        pause(100);
        let _ = fs::remove_dir_all(&self.folder);
        self.note(format!("exit {code}"));
        std::process::exit(code)
    }
}

// ---------------------------------------------------------------- the store

fn listen(ip: Ipv4Addr) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Serves the store and the promotion service on an address of its own for each daemon.
fn start_store(world: &Arc<World>, daemon: usize) -> SocketAddr {
    let (listener, address) = listen(Ipv4Addr::LOCALHOST);
    let world = Arc::clone(world);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let world = Arc::clone(&world);
            thread::spawn(move || serve_http(&world, stream, daemon));
        }
    });
    address
}

fn serve_http(world: &Arc<World>, stream: TcpStream, daemon: usize) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let mut words = line.split_whitespace();
        let (Some(_), Some(path)) = (words.next(), words.next()) else { return };
        let path = path.to_owned();
        let mut headers = HashMap::new();
        loop {
            let mut header = String::new();
            if reader.read_line(&mut header).unwrap_or(0) == 0 {
                return;
            }
            let Some((name, value)) = header.trim().split_once(':') else { break };
            headers.insert(name.to_lowercase(), value.trim().to_owned());
        }
        let length = headers.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_err() {
            return;
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        let is_apart = || {
            let state = world.lock();
            state.apart.as_ref().is_some_and(|(daemons, _)| daemons.contains(&daemon))
        };
        if is_apart() {
            while is_apart() {
                pause(20);
            }
            return;
        }
        pause(4);
        let Some((status, text)) = answer_http(world, &path, &headers, &body) else {
            // No answer; the connection delivers nothing further.
            pause(20_000);
            return;
        };
        let answer = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn answer_http(
    world: &Arc<World>,
    path: &str,
    headers: &HashMap<String, String>,
    body: &str,
) -> Option<(u16, String)> {
    let (call, query) = path.split_once('?').unwrap_or((path, ""));
    let query: HashMap<&str, &str> = query.split('&').filter_map(|p| p.split_once('=')).collect();
    let table = query.get("table").copied().unwrap_or_default();
    match call {
        "/rows-get" => {
            let from = query.get("from").map(|from| from.replace("%00", "\0")).unwrap_or_default();
            Some((200, list_rows(world, table, 0, &from)))
        }
        "/rows-feed" => {
            let after = query.get("after").and_then(|n| n.parse().ok()).unwrap_or(0);
            let wait = query.get("wait_ms").and_then(|n| n.parse().ok()).unwrap_or(0);
            let end = Instant::now() + ms(wait);
            let mut state = world.lock();
            loop {
                let any = state.rows.rows.iter().any(|((t, _), (_, v))| t == table && *v > after);
                let left = end.saturating_duration_since(Instant::now());
                if any || left.is_zero() {
                    break;
                }
                state = world.changed.wait_timeout(state, left.min(ms(50))).expect("ok").0;
            }
            drop(state);
            Some((200, list_rows(world, table, after, "")))
        }
        "/rows-tx" => Some(transact(world, body)),
        "/promote" => order_promotion(world, headers, body),
        _ => Some((404, "{}".into())),
    }
}

fn list_rows(world: &World, table: &str, after: u64, from: &str) -> String {
    let state = world.lock();
    let rows = state.rows.rows.iter().filter(|((t, key), (value, ver))| {
        t == table && *ver > after && (after > 0 || value.is_some()) && key.as_str() >= from
    });
    let mut rows: Vec<_> = rows.collect();
    if after > 0 {
        rows.sort_by_key(|(_, (_, ver))| *ver);
    }
    let text: Vec<String> = rows
        .iter()
        .map(|((t, key), (value, ver))| match value {
            Some(value) => format!(
                r#"{{"table":"{t}","part":"","key":"{key}","value":"{value}","ver":{ver}}}"#
            ),
            None => {
                format!(r#"{{"table":"{t}","part":"","key":"{key}","deleted":true,"ver":{ver}}}"#)
            }
        })
        .collect();
    let now = world.start.elapsed().as_millis();
    let ver = state.rows.version;
    format!(r#"{{"rows":[{}],"truncated":false,"ver":{ver},"now_ms":{now}}}"#, text.join(","))
}

fn transact(world: &World, body: &str) -> (u16, String) {
    let json = Json::parse(body);
    let row = |json: &Json| (json.get("table").text(), json.get("key").text());
    let mut state = world.lock();
    for check in json.get("precondition").list() {
        let present = state.rows.rows.get(&row(check)).filter(|(value, _)| value.is_some());
        if present.map_or(0, |(_, ver)| *ver) != check.get("ver").number() {
            return (412, r#"{"rows":[]}"#.into());
        }
    }
    state.rows.version += 1;
    let version = state.rows.version;
    for put in json.get("puts").list() {
        let mut value = put.get("value").text();
        if put.get("table").text() == "vms" {
            let text = String::from_utf8_lossy(&unbase64(&value)).into_owned();
            let alias = state.peers.iter().find(|(own, _)| text.contains(own.as_str()));
            if let Some((own, alias)) = alias {
                value = base64(text.replace(own.as_str(), alias).as_bytes());
            }
        }
        state.rows.rows.insert(row(put), (Some(value), version));
    }
    for gone in json.get("remove").list() {
        state.rows.rows.insert(row(gone), (None, version));
    }
    world.changed.notify_all();
    (200, format!(r#"{{"ver":{version},"now_ms":0}}"#))
}

fn put_row(world: &World, table: &str, key: &str, json: Option<&str>) {
    let mut state = world.lock();
    state.rows.version += 1;
    let version = state.rows.version;
    let value = json.map(|json| base64(json.as_bytes()));
    state.rows.rows.insert((table.into(), key.into()), (value, version));
    world.changed.notify_all();
}

// ---------------------------------------------------------------- promotions

fn order_promotion(
    world: &Arc<World>,
    headers: &HashMap<String, String>,
    body: &str,
) -> Option<(u16, String)> {
    let json = Json::parse(body);
    let id = json.get("id").text();
    let token: u64 = headers.get("x-fencing-token").and_then(|t| t.parse().ok()).unwrap_or(0);
    let holder = headers.get("x-lease-holder").cloned().unwrap_or_default();
    world.note(format!("order: {holder} promotes {id} with token {token}"));
    let late = {
        let mut state = world.lock();
        let late = state.late_orders > 0;
        state.late_orders -= u32::from(late);
        late.then_some(state.lateness)
    };
    if let Some(lateness) = late {
        world.note(format!("  it gets no answer and is carried out {lateness:?} later"));
        let world = Arc::clone(world);
        thread::spawn(move || {
            thread::sleep(lateness);
            let status = carry_out(&world, &id, token);
            world.note(format!("late order: {id} with token {token}: {status}"));
        });
        return None;
    }
    let status = carry_out(world, &id, token);
    world.note(format!("  answer {status}"));
    Some((status, "{}".into()))
}

/// Checks the fence and starts the promotion, which takes effect after [`PROMOTE`].
fn carry_out(world: &Arc<World>, id: &str, token: u64) -> u16 {
    let mut state = world.lock();
    if token < state.token {
        return 409;
    }
    state.token = token;
    if state.primary == id {
        return 200;
    }
    if !state.instances.iter().any(|i| i.id == id && i.running) {
        return 409;
    }
    let (world, id) = (Arc::clone(world), id.to_owned());
    thread::spawn(move || {
        thread::sleep(PROMOTE);
        lead(&world, &id);
    });
    200
}

fn lead(world: &World, id: &str) {
    let mut state = world.lock();
    if state.primary == id || !state.instances.iter().any(|i| i.id == id && i.running) {
        return;
    }
    state.term += 1;
    state.primary = id.into();
    state.instances.iter_mut().for_each(|i| i.paused = 0);
    let log = state.instance(id).log.clone();
    let missing: Vec<String> = state
        .acknowledged
        .iter()
        .filter(|entry| !log.contains(entry))
        .map(|entry| format!("{} at {}.{}", entry.request, entry.at.0, entry.at.1))
        .collect();
    let (term, count) = (state.term, missing.len());
    state.acknowledged.retain(|entry| log.contains(entry));
    state.lost.extend(missing.clone());
    drop(state);
    world.changed.notify_all();
    world.note(format!("{id} leads term {term}; acknowledged commits that it lacks: {count}"));
    missing.iter().for_each(|entry| world.note(format!("  lost: {entry}")));
}

/// Copies the primary's log to all replicas that receive.
fn replicate(world: &World) {
    loop {
        pause(1);
        let mut state = world.lock();
        let primary = state.primary.clone();
        let Some(source) = state.instances.iter().find(|i| i.id == primary && i.running) else {
            continue;
        };
        let log = source.log.clone();
        let apart = state.cut.clone().filter(|(cut, _)| *cut == primary);
        let apart = apart.map(|(_, replicas)| replicas).unwrap_or_default();
        let sides = state.apart.as_ref().map(|(_, side)| side.clone()).unwrap_or_default();
        let mut moved = false;
        for replica in state.instances.iter_mut() {
            let receives = replica.running
                && replica.paused == 0
                && !replica.deaf
                && !apart.contains(&replica.id)
                && !(sides.contains(&replica.id) ^ sides.contains(&primary));
            if replica.id != primary && receives && replica.log != log {
                replica.log = log.clone();
                moved = true;
            }
        }
        if moved {
            world.changed.notify_all();
        }
    }
}

// ---------------------------------------------------------------- instances

fn add_instance(world: &Arc<World>, id: &str, zone: &str) {
    let (listener, address) = listen(Ipv4Addr::LOCALHOST);
    let born = 1_700_000_000_000 + world.start.elapsed().as_millis() as u64;
    let mut state = world.lock();
    // A new instance starts with the log of the group.
    let primary = state.primary.clone();
    let log = state.instances.iter().find(|i| i.id == primary).map(|i| i.log.clone());
    state.instances.push(Instance {
        id: id.into(),
        zone: zone.into(),
        address,
        log: log.unwrap_or_default(),
        paused: 0,
        deaf: false,
        running: true,
        draining: false,
        seq: 0,
        born,
        connections: 0,
    });
    drop(state);
    world.note(format!("instance {id} starts at {address}"));
    let (accepting, beating) = (Arc::clone(world), Arc::clone(world));
    let (name, beat_name) = (id.to_owned(), id.to_owned());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (world, id) = (Arc::clone(&accepting), name.clone());
            thread::spawn(move || {
                world.lock().instance(&id).connections += 1;
                let _ = serve_instance(&world, &id, stream);
                world.lock().instance(&id).connections -= 1;
            });
        }
    });
    thread::spawn(move || {
        let mut last = None;
        let mut due = Instant::now();
        loop {
            let now = {
                let state = beating.lock();
                let this = state.instances.iter().find(|i| i.id == beat_name).expect("it");
                (state.primary == beat_name, this.draining, this.running)
            };
            if !now.2 {
                put_row(&beating, "servers", &beat_name, None);
                return;
            }
            // A change is reported at once, anything else with the next heartbeat.
            let is_apart = {
                let state = beating.lock();
                state.apart.as_ref().is_some_and(|(_, side)| side.contains(&beat_name))
            };
            if is_apart {
                // The entry is removed after three heartbeats of silence.
                if Instant::now() >= due + HEARTBEAT * 2 && last.take().is_some() {
                    put_row(&beating, "servers", &beat_name, None);
                    beating.note(format!("the entry of {beat_name} is removed"));
                }
            } else if last != Some(now) || Instant::now() >= due {
                last = Some(now);
                due = Instant::now() + HEARTBEAT;
                beat(&beating, &beat_name);
            }
            pause(20);
        }
    });
}

fn beat(world: &World, id: &str) {
    let json = {
        let mut state = world.lock();
        let role = if state.primary == id { "primary" } else { "replica" };
        let service = state.service.clone();
        let this = state.instance(id);
        this.seq += 1;
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{}","version":"v1","slots":3,"state":"{}","cold_remaining_ms":0,"db_role":"{role}","seq":{},"born":{}}}"#,
            this.address,
            this.zone,
            if this.draining { "draining" } else { "ready" },
            this.seq,
            this.born
        )
    };
    put_row(world, "servers", id, Some(&json));
}

/// Announces that an instance leaves, and ends it after the drain and two seconds.
fn drain_instance(world: &Arc<World>, id: &str) {
    world.note(format!("instance {id} is draining"));
    world.lock().instance(id).draining = true;
    let (world, id) = (Arc::clone(world), id.to_owned());
    thread::spawn(move || {
        thread::sleep(DRAIN + ms(2_000));
        world.note(format!("instance {id} ends"));
        world.lock().instance(&id).running = false;
        world.changed.notify_all();
    });
}

#[derive(PartialEq, Clone, Copy)]
enum Open {
    No,
    Plain,
    Read,
}

fn serve_instance(world: &Arc<World>, id: &str, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let daemon = owner(world, &stream);
    let mut writer = stream.try_clone()?;
    let mut lines = Lines::new(stream);
    let Some(hello) = lines.next()? else { return Ok(()) };
    let wait_for_path = || {
        while world.lock().parts(daemon, id) {
            pause(20);
        }
    };
    wait_for_path();
    let fields: Vec<&str> = hello.split(' ').collect();
    thread::sleep(HANDSHAKE);
    let (service, full) = {
        let mut state = world.lock();
        (state.service.clone(), state.instance(id).connections > MAX_CONNECTIONS)
    };
    if full {
        return send(&mut writer, "ERROR CONNLIMIT full");
    }
    let wrong = fields.get(1) != Some(&service.as_str())
        || fields.get(3).is_some_and(|wanted| *wanted != id);
    if fields[0] != "START" || wrong {
        return send(&mut writer, "ERROR WRONGNODE other");
    }
    let tenant = fields.get(2).copied().unwrap_or("-").to_owned();
    send(&mut writer, &ready(world, id, "I"))?;
    let mut open = Open::No;
    let mut failed = false;
    let mut wrote = false;
    let mut prepared: HashMap<String, String> = HashMap::new();
    while let Some(line) = lines.next()? {
        wait_for_path();
        if !world.lock().instance(id).running {
            return Ok(());
        }
        let Some(rest) = line.strip_prefix("QUERY ") else { return Ok(()) };
        let (request, text) = split(rest);
        let (text, after) = match text.strip_prefix("AFTER ") {
            Some(rest) => {
                let (at, text) = split(rest);
                let (term, number) = at.split_once('.').unwrap_or(("0", "0"));
                (text, (term.parse().unwrap_or(0), number.parse().unwrap_or(0)))
            }
            None => (text, (0, 0)),
        };
        let (command, arguments) = split(text);
        let mut command = command.to_owned();
        if command == "EXECUTE" {
            let name = split(arguments).0;
            command = prepared.get(name).cloned().unwrap_or("EXECUTE".into());
        }
        let mut rows = Vec::new();
        let mut signature = "-".to_owned();
        let mut error: Option<&str> = None;
        let leads = world.lock().primary == id;
        let runs = matches!(command.as_str(), "READ" | "WRITE" | "COMMIT");
        if runs {
            let run = Run {
                instance: id.into(),
                tenant: tenant.clone(),
                arrived: Instant::now(),
                ended: None,
            };
            world.note(format!("run: {id} gets {request} {command} of {tenant}"));
            world.lock().runs.insert(request.to_owned(), run);
        }
        if failed && !matches!(command.as_str(), "ROLLBACK" | "COMMIT") {
            error = Some("MALFORMED");
        } else if open == Open::Plain
            && !leads
            && !matches!(command.as_str(), "ROLLBACK")
            && (command != "COMMIT" || wrote)
        {
            error = Some("READONLY");
        } else if after > world.lock().instance(id).received() {
            error = Some("LAGGING");
        } else {
            match command.as_str() {
                "BEGIN" if arguments == "READ" => open = Open::Read,
                "BEGIN" if leads => open = Open::Plain,
                "BEGIN" => error = Some("READONLY"),
                "ROLLBACK" => (open, failed, wrote) = (Open::No, false, false),
                "READ" => {
                    work(world);
                    rows.push("qhzkwmtrbelo".to_owned());
                }
                "WRITE" if open == Open::Read || !leads => error = Some("READONLY"),
                "WRITE" => {
                    work(world);
                    wrote = true;
                    if open == Open::No && !commit(world, id, request) {
                        return Ok(());
                    }
                }
                "COMMIT" if failed => (open, failed, wrote) = (Open::No, false, false),
                "COMMIT" => {
                    work(world);
                    if wrote && !commit(world, id, request) {
                        return Ok(());
                    }
                    (open, wrote) = (Open::No, false);
                }
                "PREPARE" => {
                    let (name, rest) = split(arguments);
                    prepared.insert(name.into(), split(rest).0.into());
                }
                "RESET" => prepared.clear(),
                "SET" => {}
                "PAUSE" => {
                    let term: u64 = arguments.parse().unwrap_or(0);
                    let mut state = world.lock();
                    if !leads && term > state.term {
                        state.instance(id).paused = term;
                    }
                }
                "RESUME" => world.lock().instance(id).paused = 0,
                "STATUS" => {}
                _ => error = Some("MALFORMED"),
            }
            if matches!(command.as_str(), "STATUS" | "PAUSE" | "RESUME") {
                let mut state = world.lock();
                let term = state.term;
                let this = state.instance(id);
                let (at, paused, count) = (this.received(), this.paused, this.connections);
                let role = if leads { "primary" } else { "replica" };
                rows.push(format!("{role} {term} {}.{} {paused} 2 0 {count}", at.0, at.1));
            }
        }
        if runs && error.is_none() {
            signature = format!("7.{request}");
        }
        if open == Open::No && command == "WRITE" {
            wrote = false;
        }
        if error.is_some() && open != Open::No {
            failed = true;
        }
        let letter = match (open, failed) {
            (Open::No, _) => "I",
            (_, true) => "E",
            _ => "T",
        };
        if let Some(run) = world.lock().runs.get_mut(request) {
            run.ended = Some(Instant::now());
        }
        let mut answer = String::new();
        for row in rows {
            answer += &format!("ROW {row}\r\n");
        }
        answer += &match error {
            Some(code) => format!("ERROR {code} {id}\r\n"),
            None => format!("COMPLETE {signature}\r\n"),
        };
        wait_for_path();
        send(&mut writer, &format!("{answer}{}", ready(world, id, letter)))?;
    }
    Ok(())
}

/// Returns which daemon has opened a connection to an instance.
fn owner(world: &World, stream: &TcpStream) -> Option<usize> {
    let (own, peer) = (stream.local_addr().ok()?.port(), stream.peer_addr().ok()?.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let (own, peer) = (format!(":{own:04X}"), format!(":{peer:04X}"));
    let row = table.lines().find(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.len() > 9 && fields[1].ends_with(&peer) && fields[2].ends_with(&own)
    })?;
    let socket = format!("socket:[{}]", row.split_whitespace().nth(9)?);
    let children = world.children.lock().expect("ok").clone();
    children.iter().position(|pid| {
        let files = fs::read_dir(format!("/proc/{pid}/fd")).into_iter().flatten().flatten();
        files
            .map(|file| file.path())
            .any(|path| fs::read_link(path).is_ok_and(|target| target.to_string_lossy() == socket))
    })
}

fn ready(world: &World, id: &str, letter: &str) -> String {
    let at = world.lock().instance(id).received();
    format!("READY {letter} {}.{}", at.0, at.1)
}

fn work(world: &World) {
    let span = {
        let mut state = world.lock();
        let (from, to) = state.work;
        state.random(from, to)
    };
    pause(span);
}

/// Commits at the primary and waits until one replica has received it. Returns false if
/// the instance lost the lead first; the connection then ends without an answer.
fn commit(world: &World, id: &str, request: &str) -> bool {
    let mut state = world.lock();
    if state.primary != id {
        return false;
    }
    let number = state.instance(id).received().1 + 1;
    let entry = Entry { at: (state.term, number), request: request.into() };
    state.instance(id).log.push(entry.clone());
    loop {
        let has = |i: &&Instance| i.id != id && i.running && i.log.contains(&entry);
        if state.primary == id && state.instances.iter().any(|i| has(&i)) {
            state.acknowledged.push(entry);
            return true;
        }
        if state.primary != id || !state.instance(id).running {
            return false;
        }
        state = world.changed.wait_timeout(state, ms(20)).expect("ok").0;
    }
}

// ---------------------------------------------------------------- daemons

struct Daemon {
    name: String,
    ip: Ipv4Addr,
    zone: String,
    /// Where the daemon finds the store.
    store: SocketAddr,
    child: Arc<Mutex<Child>>,
}

fn spawn(
    world: &World,
    name: &str,
    zone: &str,
    ip: Ipv4Addr,
    store: SocketAddr,
    first: bool,
) -> Child {
    let settings = format!(
        "node_name={name}\nrole=node\nnode_class=edge\nserves=edge\nip={ip}\nzone={zone}\nregion=txc\n\
         zones.press-hall=txc\nzones.cold-dock=txc\nzones.front-office=txc\n\
         listen_addrs.front={ip}:{FRONT}\nlisten_addrs.ready={ip}:{READY}\ninternal_ports={PEERS},7575\n\
         bootstrap={first}\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4200\n\
         discovery=platform\nentry=vip\nheartbeat_ms=1200\n\
         contracts=base,drain,config,cost,recover,sql,tenants,quota,places,platform\n\
         bounds.contact_ms=4000\nbounds.drain_ms=7000\nbounds.grace_s=6\nbounds.loss_slack_ms=200\n\
         bounds.config_apply_ms=3000\nbounds.revoke_ms=5000\nbounds.evacuate_ms=5000\nbounds.require_fencing=true\n\
         platform.address={store}\nplatform.form=table\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n\
         platform.row_bytes=65536\nplatform.history_s=20\n\
         cloud_api.address={store}\ncloud_api.rate_per_s=50.0\ncloud_api.duties=failover\ncloud_api.duty_per_s=50.0\n"
    );
    let path = world.folder.join(format!("{name}.conf"));
    fs::write(&path, settings).expect("settings");
    let log =
        File::options().create(true).append(true).open(world.folder.join(format!("{name}.log")));
    let child = Command::new(DAEMON)
        .args(["--metrics-port", &METRICS.to_string()])
        .env("CHICORYHOLLOW_SETTINGS", &path)
        .stdin(Stdio::null())
        .stdout(Stdio::from(log.expect("a log")))
        .stderr(Stdio::null())
        .spawn();
    match child {
        Ok(child) => {
            world.children.lock().expect("ok").push(child.id());
            child
        }
        Err(error) => {
            world.note(format!("the daemon does not start: {error}"));
            world.exit(2)
        }
    }
}

/// Starts one daemon for each (name, zone) and waits until all are ready.
fn start_daemons(
    world: &Arc<World>,
    stores: Vec<SocketAddr>,
    places: &[(&str, &str)],
) -> Vec<Daemon> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = |i: usize| Ipv4Addr::new(127, high | 128, low, i as u8 + 1);
    let free = |i: usize| {
        [FRONT, READY, PEERS, METRICS].iter().all(|p| TcpListener::bind((ip(i), *p)).is_ok())
    };
    if !(0..places.len()).all(free) {
        world.note("a port is in use");
        world.exit(2);
    }
    let names: Arc<Vec<String>> = Arc::new(places.iter().map(|(name, _)| (*name).into()).collect());
    for i in 0..places.len() {
        start_peer_proxy(world, &names, i, SocketAddr::from((ip(i), PEERS)));
    }
    let mut daemons: Vec<Daemon> = places
        .iter()
        .enumerate()
        .map(|(i, (name, zone))| Daemon {
            name: (*name).into(),
            ip: ip(i),
            zone: (*zone).into(),
            store: stores[i],
            child: Arc::new(Mutex::new(spawn(world, name, zone, ip(i), stores[i], true))),
        })
        .collect();
    let end = Instant::now() + Duration::from_secs(20);
    while !daemons.iter_mut().all(|d| is_ready(d.ip)) {
        if Instant::now() > end {
            world.note("the daemons are not ready");
            world.exit(2);
        }
        pause(100);
    }
    world.note(format!("{} daemons are ready", daemons.len()));
    pause(3_000);
    daemons
}

/// Passes on connections between daemons. The first message names the daemon that dials.
fn start_peer_proxy(
    world: &Arc<World>,
    names: &Arc<Vec<String>>,
    callee: usize,
    target: SocketAddr,
) {
    let (listener, address) = listen(Ipv4Addr::LOCALHOST);
    world.lock().peers.insert(target.to_string(), address.to_string());
    let (world, names) = (Arc::clone(world), Arc::clone(names));
    thread::spawn(move || {
        for mut dialled in listener.incoming().flatten() {
            let (world, names) = (Arc::clone(&world), Arc::clone(&names));
            thread::spawn(move || {
                let mut first = [0; 4_096];
                let Ok(count) = dialled.read(&mut first) else { return };
                let text = String::from_utf8_lossy(&first[..count]).into_owned();
                let Some(caller) = names.iter().position(|name| text.contains(name.as_str()))
                else {
                    return;
                };
                let Ok(mut server) = TcpStream::connect_timeout(&target, ms(500)) else { return };
                let (Ok(back), Ok(reply)) = (server.try_clone(), dialled.try_clone()) else {
                    return;
                };
                let _ = (dialled.set_nodelay(true), server.set_nodelay(true));
                let other = Arc::clone(&world);
                thread::spawn(move || pass_on(&other, back, reply, (caller, callee)));
                let wait = || world.lock().parts_daemons(caller, callee);
                while wait() {
                    pause(20);
                }
                if server.write_all(&first[..count]).is_ok() {
                    pass_on(&world, dialled, server, (caller, callee));
                }
            });
        }
    });
}

/// Copies bytes until one side closes; a partition holds them up.
fn pass_on(world: &World, mut from: TcpStream, mut to: TcpStream, ends: (usize, usize)) {
    let mut bytes = [0; 16_384];
    while let Ok(count) = from.read(&mut bytes) {
        while world.lock().parts_daemons(ends.0, ends.1) {
            pause(20);
        }
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(std::net::Shutdown::Both), to.shutdown(std::net::Shutdown::Both));
}

fn is_ready(ip: Ipv4Addr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&SocketAddr::from((ip, READY)), ms(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(ms(500)));
    if stream.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").is_err() {
        return false;
    }
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).is_ok() && &answer[9..12] == b"200"
}

fn terminate(world: &World, daemon: &Daemon) {
    world.note(format!("SIGTERM to {}", daemon.name));
    let pid = daemon.child.lock().expect("ok").id();
    unsafe { kill(pid as i32, SIGTERM) };
}

// ---------------------------------------------------------------- clients

/// What became of one request of a client.
#[derive(Clone)]
struct Sent {
    request: String,
    daemon: usize,
    sent: Instant,
    /// When its answer was complete, or the connection ended without one.
    ended: Instant,
    answer: Option<String>,
}

struct Client {
    stream: TcpStream,
    lines: Lines,
}

impl Client {
    fn open(ip: Ipv4Addr, database: &str, key: &str) -> std::io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(&SocketAddr::from((ip, FRONT)), ms(2_000))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let mut lines = Lines::new(stream.try_clone()?);
        send(&mut stream, &format!("START {database} {key}"))?;
        match lines.next()? {
            Some(line) if line.starts_with("READY") => Ok(Client { stream, lines }),
            line => Err(std::io::Error::other(format!("{line:?}"))),
        }
    }

    fn send(&mut self, request: &str, text: &str) -> std::io::Result<()> {
        send(&mut self.stream, &format!("QUERY {request} {text}"))
    }

    /// Returns the COMPLETE or ERROR line of the next answer, or `None` if the
    /// connection ends before it is complete.
    fn answer(&mut self) -> Option<String> {
        let mut result = None;
        loop {
            let line = self.lines.next().ok().flatten()?;
            if line.starts_with("READY") {
                return result;
            }
            if !line.starts_with("ROW") {
                result = Some(line);
            }
        }
    }

    fn query(&mut self, request: &str, text: &str) -> Option<String> {
        self.send(request, text).ok()?;
        self.answer()
    }
}

fn configuration(version: u64, service: &str, first: &[&str], second: &[&str]) -> String {
    let keys =
        |keys: &[&str]| keys.iter().map(|key| format!("\"{key}\"")).collect::<Vec<_>>().join(",");
    let route = |host: &str, kind: &str, timeout: u64, target: u64, stale: &str| {
        format!(
            r#"{{"name":"r-{host}","host":"{host}","prefix":"/","type":"{kind}","timeout_ms":{timeout},"target_latency_ms":{target},"priority":1,"service":"{service}","attempts":2,{stale}"public":false}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{},{}],"services":[{{"name":"{service}","health_path":"/health","max_conns":{MAX_CONNECTIONS},"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"sync_replicas":1}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"tx_idle_ms":3000}},"tenants":[{{"name":"nypu920","api_keys":[{}],"priority":1,"rate_per_s":400,"burst":400}},{{"name":"lora377","api_keys":[{}],"priority":1,"rate_per_s":400,"burst":400}}]}}"#,
        route("batchlog", "primary", 800, 150, ""),
        route(
            "coldscan",
            "bounded_staleness",
            READ_TIMEOUT.as_millis() as u64,
            500,
            r#""max_staleness_ms":1500,"#
        ),
        keys(first),
        keys(second),
    )
}

// ---------------------------------------------------------------- small parts

/// Lines that end with CR LF.
struct Lines(BufReader<TcpStream>);

impl Lines {
    fn new(stream: TcpStream) -> Lines {
        Lines(BufReader::new(stream))
    }

    fn next(&mut self) -> std::io::Result<Option<String>> {
        let mut line = String::new();
        match self.0.read_line(&mut line)? {
            0 => Ok(None),
            _ => Ok(line.ends_with("\r\n").then(|| line.trim_end().to_owned())),
        }
    }
}

fn send(stream: &mut TcpStream, line: &str) -> std::io::Result<()> {
    stream.write_all(format!("{line}\r\n").as_bytes())
}

fn split(text: &str) -> (&str, &str) {
    text.split_once(' ').unwrap_or((text, ""))
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let bits = chunk.iter().fold(0_u32, |bits, b| bits << 8 | u32::from(*b))
            << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i) & 63) as usize] as char;
            text.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

fn unbase64(text: &str) -> Vec<u8> {
    let (mut bytes, mut bits, mut count) = (Vec::new(), 0_u32, 0);
    for c in text.bytes().filter(|c| *c != b'=') {
        let digit = match c {
            b'A'..=b'Z' => c - b'A',
            b'a'..=b'z' => c - b'a' + 26,
            b'0'..=b'9' => c - b'0' + 52,
            b'+' => 62,
            _ => 63,
        };
        bits = bits << 6 | u32::from(digit);
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    bytes
}

enum Json {
    Null,
    Number(u64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &str) -> Json {
        Json::value(&mut text.chars().peekable())
    }

    fn value(chars: &mut std::iter::Peekable<std::str::Chars<'_>>) -> Json {
        while chars.peek().is_some_and(|c| c.is_whitespace() || *c == ',' || *c == ':') {
            chars.next();
        }
        match chars.peek() {
            Some('{') => {
                chars.next();
                let mut fields = Vec::new();
                while let Json::Text(name) = Json::value(chars) {
                    fields.push((name, Json::value(chars)));
                }
                Json::Object(fields)
            }
            Some('[') => {
                chars.next();
                let mut list = Vec::new();
                loop {
                    match Json::value(chars) {
                        Json::Null => return Json::List(list),
                        value => list.push(value),
                    }
                }
            }
            Some('"') => {
                chars.next();
                let mut text = String::new();
                while let Some(c) = chars.next().filter(|c| *c != '"') {
                    text.push(if c == '\\' { chars.next().unwrap_or(c) } else { c });
                }
                Json::Text(text)
            }
            Some(c) if c.is_ascii_digit() => {
                let mut number = String::new();
                while chars.peek().is_some_and(|c| c.is_ascii_alphanumeric()) {
                    number.extend(chars.next());
                }
                Json::Number(number.parse().unwrap_or(0))
            }
            Some(c) if c.is_alphabetic() => {
                let mut word = String::new();
                while chars.peek().is_some_and(|c| c.is_alphabetic()) {
                    word.extend(chars.next());
                }
                Json::Text(word)
            }
            // The end of a list or an object.
            _ => {
                chars.next();
                Json::Null
            }
        }
    }

    fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields
                .iter()
                .find(|(field, _)| field == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    fn text(&self) -> String {
        match self {
            Json::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number,
            _ => 0,
        }
    }
}

// ---------------------------------------------------------------- cases

/// One daemon in each zone.
const THREE: [(&str, &str); 3] = [
    ("edge-press-hall-1", "press-hall"),
    ("edge-cold-dock-1", "cold-dock"),
    ("edge-front-office-1", "front-office"),
];

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let record = std::env::args().nth(2).unwrap_or("record.txt".into());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let world = World::new(&case, &record);
    world.note(format!("case {case}, trouble {trouble}"));
    let watchdog = Arc::clone(&world);
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(115));
        watchdog.note("out of time");
        watchdog.exit(2);
    });
    let replicating = Arc::clone(&world);
    thread::spawn(move || replicate(&replicating));
    let broken = match case.as_str() {
        "stop" => stop(&world, trouble),
        "key" => key(&world, trouble),
        "late" => late(&world, trouble),
        "unseen" => unseen(&world, trouble),
        "leaving" => leaving(&world, trouble),
        "pipeline" => pipeline(&world, trouble),
        _ => world.exit(2),
    };
    println!("{}", if broken { "the rule was broken" } else { "the rule held" });
    world.exit(i32::from(broken))
}

/// Starts the group, the store with a first configuration, and the daemons.
fn start(world: &Arc<World>, places: &[(&str, &str)]) -> Vec<Daemon> {
    let stores = (0..places.len()).map(|i| start_store(world, i)).collect();
    for (id, zone) in [("i-1", "press-hall"), ("i-2", "cold-dock"), ("i-3", "front-office")] {
        add_instance(world, id, zone);
        pause(10);
    }
    let service = world.lock().service.clone();
    let text = configuration(1, &service, &["u6wsjnba"], &["j8pjbvk9"]);
    put_row(world, "op", "config", Some(&text));
    pause(100);
    start_daemons(world, stores, places)
}

/// Daemons are stopped and started in turn while clients open sessions all the time.
fn stop(world: &Arc<World>, trouble: bool) -> bool {
    let places = [
        ("edge-press-hall-1", "press-hall"),
        ("edge-press-hall-2", "press-hall"),
        ("edge-press-hall-3", "press-hall"),
        ("edge-cold-dock-1", "cold-dock"),
        ("edge-front-office-1", "front-office"),
    ];
    let daemons = start(world, &places);
    // Work of the kind of request `cold-scan`: up to 220 ms.
    world.lock().work = (30, 220);
    let ips: Vec<Ipv4Addr> = daemons.iter().map(|d| d.ip).collect();
    let zones: Vec<String> = daemons.iter().map(|d| d.zone.clone()).collect();
    let rotation = Arc::new(Mutex::new(vec![true; ips.len()]));
    // The load balancer asks each daemon once a second; two misses take it out.
    for (i, ip) in ips.iter().copied().enumerate() {
        let (rotation, world) = (Arc::clone(&rotation), Arc::clone(world));
        let name = places[i].0;
        thread::spawn(move || {
            let mut misses = 0;
            pause(137 * i as u64);
            loop {
                misses = if is_ready(ip) { 0 } else { misses + 1 };
                let before = std::mem::replace(&mut rotation.lock().expect("ok")[i], misses < 2);
                if before != (misses < 2) {
                    world.note(format!("{name} in rotation: {}", misses < 2));
                }
                pause(1_000);
            }
        });
    }
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let end = Instant::now() + Duration::from_secs(60);
    let press_hall: Vec<usize> = (0..3).collect();
    let clients: Vec<_> = (0..40)
        .map(|n| {
            let (world, sent, rotation) =
                (Arc::clone(world), Arc::clone(&sent), Arc::clone(&rotation));
            let (ips, zones, own) = (ips.clone(), zones.clone(), press_hall.clone());
            thread::spawn(move || {
                let mut count = 0;
                while Instant::now() < end {
                    count += 1;
                    let request = format!("c{n:02}-{count:04}");
                    // Fewer than half of the zone's daemons in rotation: all of them are
                    // used. None: those of the other zones.
                    let usable = {
                        let rotation = rotation.lock().expect("ok");
                        let up: Vec<usize> = own.iter().copied().filter(|i| rotation[*i]).collect();
                        match up.len() {
                            0 => (0..ips.len()).filter(|i| zones[*i] != "press-hall").collect(),
                            n if n * 2 < own.len() => own.clone(),
                            _ => up,
                        }
                    };
                    let pick = world.lock().random(0, usable.len() as u64 - 1) as usize;
                    let daemon = usable[pick];
                    if let Ok(mut client) = Client::open(ips[daemon], "coldscan", "u6wsjnba") {
                        let at = Instant::now();
                        if client.send(&request, "READ 1a4").is_ok() {
                            let answer = client.answer();
                            world.note(format!(
                                "client: {request} sent to {}: {answer:?}",
                                places[daemon].0
                            ));
                            let done =
                                Sent { request, daemon, sent: at, ended: Instant::now(), answer };
                            sent.lock().expect("ok").push(done);
                        }
                    }
                    let rest = world.lock().random(100, 400);
                    pause(rest);
                }
            })
        })
        .collect();
    pause(2_000);
    let mut stops: Vec<(usize, Instant)> = Vec::new();
    while trouble && Instant::now() + Duration::from_secs(12) < end {
        // Each daemon of the zone but the last is stopped, one second after the other.
        for i in [0, 1] {
            terminate(world, &daemons[i]);
            stops.push((i, Instant::now()));
            restart_after_exit(world, &daemons[i]);
            pause(1_000);
        }
        // An odd time, so that the stops fall differently between two questions.
        pause(8_370);
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let sent = sent.lock().expect("ok").clone();
    judge_stops(world, &sent, &stops, &daemons)
}

/// Starts a daemon again half a second after it has exited. It is killed at the end of
/// its grace period.
fn restart_after_exit(world: &Arc<World>, daemon: &Daemon) {
    let (name, zone, ip) = (daemon.name.clone(), daemon.zone.clone(), daemon.ip);
    let (world, child) = (Arc::clone(world), Arc::clone(&daemon.child));
    let store = daemon.store;
    let start = Instant::now();
    thread::spawn(move || {
        loop {
            let mut child = child.lock().expect("ok");
            if let Ok(Some(status)) = child.try_wait() {
                world.note(format!("{name} has ended: {status}"));
                let pid = child.id();
                world.children.lock().expect("ok").retain(|other| *other != pid);
                break;
            }
            if start.elapsed() > GRACE {
                let _ = child.kill();
            }
            drop(child);
            pause(10);
        }
        pause(500);
        *child.lock().expect("ok") = spawn(&world, &name, &zone, ip, store, false);
    });
}

fn judge_stops(
    world: &World,
    sent: &[Sent],
    stops: &[(usize, Instant)],
    daemons: &[Daemon],
) -> bool {
    let state = world.lock();
    let runs = state.runs.clone();
    drop(state);
    let at = |time: Instant| (time - world.start).as_secs_f64();
    let mut lost = 0;
    for request in sent {
        let run = runs.get(&request.request);
        let (from, to) = (at(request.sent), at(request.ended));
        if request.answer.is_some() {
            continue;
        }
        let name = &daemons[request.daemon].name;
        world.note(format!(
            "no answer: {} sent {from:.3} to {name}, ended {to:.3}, passed on {}",
            request.request,
            run.map_or("never".into(), |run| format!("{:.3} to {}", at(run.arrived), run.instance))
        ));
        // Planned work: a SIGTERM of the machine, until 1 s after the grace period.
        let stop = stops.iter().rfind(|(i, stop)| {
            *i == request.daemon
                && *stop <= request.ended
                && request.ended <= *stop + GRACE + ms(1_000)
        });
        let Some((_, stop)) = stop else { continue };
        let passed_on = run.is_some();
        let late = request.ended - request.sent > LOSS_SLACK;
        let timed_out = request.ended - request.sent >= READ_TIMEOUT;
        let last_sixth = *stop + GRACE * 5 / 6;
        let at_work = run.is_some_and(|run| run.ended.map_or(true, |ended| ended >= last_sixth));
        let excused = at_work && request.sent <= *stop + ms(3_000);
        if (passed_on || late) && !timed_out && !excused {
            lost += 1;
            world.note(format!(
                "  LOST: sent {:.3} s after SIGTERM",
                (request.sent - *stop).as_secs_f64()
            ));
        }
    }
    let served = sent
        .iter()
        .filter(|s| s.answer.as_ref().is_some_and(|a| a.starts_with("COMPLETE")))
        .count();
    world.note(format!("{} requests, {served} served, {lost} lost", sent.len()));
    if served < sent.len() / 2 {
        world.note("too few requests were served to judge");
        world.exit(2);
    }
    lost > 0
}

/// A key is given to another tenant while its holder has a transaction open.
fn key(world: &Arc<World>, trouble: bool) -> bool {
    let daemons = start(world, &THREE);
    let mut sent: Vec<(String, Instant)> = Vec::new();
    let mut acknowledged = None;
    let Ok(mut client) = Client::open(daemons[0].ip, "batchlog", "u6wsjnba") else { world.exit(2) };
    client.query("begin", "BEGIN");
    // A transaction has up to 12 statements with pauses between them.
    for i in 0..12 {
        if i == 2 && trouble {
            let service = world.lock().service.clone();
            let text = configuration(2, &service, &[], &["j8pjbvk9", "u6wsjnba"]);
            put_row(world, "op", "config", Some(&text));
            acknowledged = Some(Instant::now());
            world.note("version 2 is acknowledged: key u6wsjnba moves from nypu920 to lora377");
        }
        let text = match i {
            1 | 10 => format!("WRITE 1a{i} xkqpwnzd"),
            11 => "COMMIT".to_owned(),
            _ => format!("READ 1a{i}"),
        };
        let request = format!("t-{i:02}");
        let at = Instant::now();
        let answer = client.query(&request, &text);
        world.note(format!("client: {request} {text}: {answer:?}"));
        sent.push((request, at));
        if answer.is_none() {
            break;
        }
        pause(900);
    }
    let mut probe = 0;
    if let Ok(mut client) = Client::open(daemons[2].ip, "batchlog", "u6wsjnba") {
        probe = usize::from(
            client.query("probe", "READ 1a4").is_some_and(|a| a.starts_with("COMPLETE")),
        );
    }
    let runs = world.lock().runs.clone();
    let mut broken = 0;
    for (request, at) in &sent {
        let Some(run) = runs.get(request) else { continue };
        let late = acknowledged.is_some_and(|ack: Instant| *at > ack + REVOKE);
        if late && run.tenant == "nypu920" {
            broken += 1;
            let after = (*at - acknowledged.expect("acknowledged")).as_secs_f64();
            world.note(format!(
                "UNASKED: {request}, sent {after:.3} s after the acknowledgement, runs on {} as nypu920",
                run.instance
            ));
        }
    }
    if sent.len() < 3 || probe == 0 {
        world.note("the clients were not served");
        world.exit(2);
    }
    broken > 0
}

/// A promotion that got no answer is carried out late, after a newer one.
fn late(world: &Arc<World>, trouble: bool) -> bool {
    let daemons = start(world, &THREE);
    let clients = start_writers(world, &daemons, Duration::from_secs(34));
    pause(2_000);
    if trouble {
        let mut state = world.lock();
        state.late_orders = 1;
        state.lateness = ms(10_000);
    }
    // The instances are replaced one after the other: the new one first, then the old one
    // drains. The primary is the first.
    add_instance(world, "i-4", "press-hall");
    pause(1_000);
    drain_instance(world, "i-1");
    wait_for_other_primary(world, "i-1");
    let first = world.lock().primary.clone();
    pause(2_000);
    // The one that now leads is next.
    add_instance(world, "i-5", "cold-dock");
    pause(1_000);
    drain_instance(world, &first);
    wait_for_other_primary(world, &first);
    if trouble {
        world.note(format!("{first} receives nothing for 6.5 s"));
        world.lock().instance(&first).deaf = true;
        let (world, first) = (Arc::clone(world), first.clone());
        thread::spawn(move || {
            pause(6_500);
            world.lock().instance(&first).deaf = false;
            world.note(format!("{first} receives again"));
        });
    }
    judge_commits(world, clients)
}

/// The primary is cut off from its replicas, and a new instance starts while another one
/// is being promoted.
fn unseen(world: &Arc<World>, trouble: bool) -> bool {
    let daemons = start(world, &THREE);
    let clients = start_writers(world, &daemons, Duration::from_secs(14));
    pause(2_000);
    if trouble {
        world.note("i-1 is cut off from i-2 and i-3 for 5 s");
        world.lock().cut = Some(("i-1".into(), vec!["i-2".into(), "i-3".into()]));
        let world = Arc::clone(world);
        thread::spawn(move || {
            pause(5_000);
            world.lock().cut = None;
            world.note("the cut ends");
        });
    }
    // The promotion that follows is ordered after one second and takes 0.6 s.
    pause(1_250);
    // One of the instances is replaced: the new one first, then the old one drains.
    add_instance(world, "i-4", "cold-dock");
    pause(1_000);
    drain_instance(world, "i-2");
    judge_commits(world, clients)
}

/// A replica drains, and a partition leaves it with the primary and one daemon.
fn leaving(world: &Arc<World>, trouble: bool) -> bool {
    let daemons = start(world, &THREE);
    let clients = start_writers(world, &daemons, Duration::from_secs(20));
    pause(2_000);
    // One of the replicas is replaced: the new one first, then the old one drains.
    add_instance(world, "i-4", "cold-dock");
    pause(1_000);
    drain_instance(world, "i-2");
    pause(1_000);
    if trouble {
        world.note("i-1, i-2 and edge-press-hall-1 are cut off from all others for 7 s");
        world.lock().apart = Some((vec![0], vec!["i-1".into(), "i-2".into()]));
        let world = Arc::clone(world);
        thread::spawn(move || {
            pause(7_000);
            world.lock().apart = None;
            world.note("the cut ends");
        });
    }
    judge_commits(world, clients)
}

/// Starts six clients that write one after the other; each returns how many commits were
/// acknowledged to it.
fn start_writers(
    world: &Arc<World>,
    daemons: &[Daemon],
    span: Duration,
) -> Vec<thread::JoinHandle<usize>> {
    let end = Instant::now() + span;
    let client = |n: usize| {
        let (world, ip) = (Arc::clone(world), daemons[n % daemons.len()].ip);
        thread::spawn(move || {
            let (mut count, mut acknowledged) = (0, 0);
            while Instant::now() < end {
                let Ok(mut client) = Client::open(ip, "batchlog", "u6wsjnba") else {
                    pause(100);
                    continue;
                };
                while Instant::now() < end {
                    count += 1;
                    let request = format!("w{n}-{count:04}");
                    let answer = client.query(&request, &format!("WRITE {count} data"));
                    acknowledged +=
                        usize::from(answer.as_ref().is_some_and(|a| a.starts_with("COMPLETE")));
                    world.note(format!("client: {request}: {answer:?}"));
                    if answer.is_none() {
                        break;
                    }
                    pause(150);
                }
            }
            acknowledged
        })
    };
    (0..6).map(client).collect()
}

fn judge_commits(world: &World, clients: Vec<thread::JoinHandle<usize>>) -> bool {
    let acknowledged: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    let lost = world.lock().lost.len();
    world.note(format!("{acknowledged} commits acknowledged, {lost} lost"));
    if acknowledged < 50 {
        world.exit(2);
    }
    lost > 0
}

fn wait_for_other_primary(world: &World, id: &str) {
    let end = Instant::now() + Duration::from_secs(15);
    while world.lock().primary == id {
        if Instant::now() > end {
            world.note("no other instance was promoted");
            world.exit(2);
        }
        pause(20);
    }
}

/// A daemon gets SIGTERM while a client's request is answered and its next one is waiting.
fn pipeline(world: &Arc<World>, trouble: bool) -> bool {
    let daemons = start(world, &THREE);
    world.lock().work = (300, 300);
    let Ok(mut client) = Client::open(daemons[0].ip, "coldscan", "u6wsjnba") else { world.exit(2) };
    let mut sent = Vec::new();
    for n in 0..3 {
        let request = format!("p{n}");
        if client.send(&request, "READ 1a4").is_err() {
            world.exit(2);
        }
        sent.push((request, Instant::now()));
    }
    pause(100);
    let stop = Instant::now();
    if trouble {
        terminate(world, &daemons[0]);
    }
    let mut lost = 0;
    for (request, at) in sent {
        let answer = client.answer();
        let ended = Instant::now();
        let (waited, after) = ((ended - at).as_millis(), (ended - stop).as_millis());
        world.note(format!(
            "client: {request}: {answer:?} after {waited} ms, {after} ms after SIGTERM"
        ));
        if answer.is_none() && ended - at > LOSS_SLACK {
            lost += 1;
            world.note(format!("LOST: {request}"));
        }
    }
    lost > 0
}
