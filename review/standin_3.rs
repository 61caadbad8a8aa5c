//! Stand-ins for the cases of this review: the platform's store, a database group, callers,
//! and the daemons as separate processes. Only the standard library is used.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs::File,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

// ---------------------------------------------------------------- record

/// What was sent, answered and run, in `record.txt`.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        Record(Arc::new(Mutex::new(File::create(path).expect("record.txt"))), Instant::now())
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let at = self.1.elapsed().as_secs_f64();
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {}", line.as_ref());
    }

    pub fn seconds(&self) -> f64 {
        self.1.elapsed().as_secs_f64()
    }
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Json {
        let bytes = text.as_bytes();
        let mut at = 0;
        Json::value(bytes, &mut at)
    }

    fn skip(b: &[u8], at: &mut usize) {
        while *at < b.len() && (b[*at] as char).is_whitespace() {
            *at += 1;
        }
    }

    fn value(b: &[u8], at: &mut usize) -> Json {
        Json::skip(b, at);
        match b.get(*at) {
            Some(b'{') => {
                let mut map = Vec::new();
                *at += 1;
                loop {
                    Json::skip(b, at);
                    match b.get(*at) {
                        Some(b'}') | None => {
                            *at += 1;
                            return Json::Map(map);
                        }
                        Some(b',') => *at += 1,
                        _ => {
                            let Json::Text(key) = Json::value(b, at) else { return Json::Null };
                            Json::skip(b, at);
                            *at += 1;
                            map.push((key, Json::value(b, at)));
                        }
                    }
                }
            }
            Some(b'[') => {
                let mut list = Vec::new();
                *at += 1;
                loop {
                    Json::skip(b, at);
                    match b.get(*at) {
                        Some(b']') | None => {
                            *at += 1;
                            return Json::List(list);
                        }
                        Some(b',') => *at += 1,
                        _ => list.push(Json::value(b, at)),
                    }
                }
            }
            Some(b'"') => {
                let mut text = Vec::new();
                *at += 1;
                while *at < b.len() && b[*at] != b'"' {
                    if b[*at] == b'\\' {
                        *at += 1;
                        match b[*at] {
                            b'n' => text.push(b'\n'),
                            b't' => text.push(b'\t'),
                            b'r' => text.push(b'\r'),
                            other => text.push(other),
                        }
                    } else {
                        text.push(b[*at]);
                    }
                    *at += 1;
                }
                *at += 1;
                Json::Text(String::from_utf8_lossy(&text).into_owned())
            }
            _ => {
                let start = *at;
                while *at < b.len() && !b",]} \n\r\t".contains(&b[*at]) {
                    *at += 1;
                }
                match std::str::from_utf8(&b[start..*at]).unwrap_or("") {
                    "true" => Json::Bool(true),
                    "false" => Json::Bool(false),
                    "null" | "" => Json::Null,
                    number => Json::Number(number.parse().unwrap_or(0.0)),
                }
            }
        }
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.iter().find(|(k, _)| k == key).map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> Option<f64> {
        if let Json::Number(number) = self { Some(*number) } else { None }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            let letter = LETTERS[(n >> (18 - 6 * i)) as usize & 63] as char;
            text.push(if i <= chunk.len() { letter } else { '=' });
        }
    }
    text
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Row {
    value: String,
    ver: u64,
    deleted: bool,
}

#[derive(Default)]
struct Tables {
    rows: BTreeMap<(String, String), Row>,
    ver: u64,
}

/// The platform's store, and its promotion service, on one address.
#[derive(Clone)]
pub struct Store {
    tables: Arc<(Mutex<Tables>, Condvar)>,
    start: Instant,
    groups: Arc<Mutex<Vec<Group>>>,
    record: Record,
}

impl Store {
    pub fn start(address: SocketAddr, record: &Record) -> Store {
        let store = Store {
            tables: Arc::default(),
            start: Instant::now(),
            groups: Arc::default(),
            record: record.clone(),
        };
        let listener = TcpListener::bind(address).expect("address of the store");
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        store
    }

    pub fn add_group(&self, group: &Group) {
        self.groups.lock().unwrap().push(group.clone());
    }

    /// Writes a row, as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, json: &str) {
        let mut tables = self.tables.0.lock().unwrap();
        tables.ver += 1;
        let row = Row { value: base64(json.as_bytes()), ver: tables.ver, deleted: false };
        tables.rows.insert((table.to_owned(), key.to_owned()), row);
        self.tables.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut output = stream.try_clone().expect("a stream");
        let mut input = BufReader::new(stream);
        loop {
            let mut head = Vec::new();
            loop {
                let mut line = String::new();
                if !matches!(input.read_line(&mut line), Ok(n) if n > 0) {
                    return;
                }
                let line = line.trim_end().to_owned();
                if line.is_empty() {
                    break;
                }
                head.push(line);
            }
            let length = head
                .iter()
                .find_map(|line| {
                    let (name, value) = line.split_once(':')?;
                    name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
                })
                .unwrap_or(0_usize);
            let mut body = vec![0; length];
            if input.read_exact(&mut body).is_err() {
                return;
            }
            let mut words = head[0].split(' ');
            let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let query: HashMap<String, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(key, value)| (key.to_owned(), value.replace("%00", "\0")))
                .collect();
            let body = String::from_utf8_lossy(&body).into_owned();
            thread::sleep(Duration::from_millis(4));
            let (status, answer) = self.call(method, path, &query, &body);
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if output.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(
        &self,
        method: &str,
        path: &str,
        query: &HashMap<String, String>,
        body: &str,
    ) -> (u16, String) {
        let now = self.start.elapsed().as_millis();
        let arg = |name: &str| query.get(name).cloned().unwrap_or_default();
        let format_row = |(table, key): &(String, String), row: &Row| {
            let deleted = if row.deleted { ",\"deleted\":true" } else { "" };
            format!(
                "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{}\",\"ver\":{}{deleted}}}",
                row.value, row.ver
            )
        };
        match (method, path) {
            ("GET", "/rows-get") => {
                let (table, from) = (arg("table"), arg("from"));
                let tables = self.tables.0.lock().unwrap();
                let rows: Vec<String> = tables
                    .rows
                    .iter()
                    .filter(|((t, k), row)| *t == table && !row.deleted && *k >= from)
                    .map(|(name, row)| format_row(name, row))
                    .collect();
                let ver = tables.ver;
                let rows = rows.join(",");
                (200, format!("{{\"rows\":[{rows}],\"truncated\":false,\"ver\":{ver},\"now_ms\":{now}}}"))
            }
            ("GET", "/rows-feed") => {
                let table = arg("table");
                let after: u64 = arg("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(arg("wait_ms").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                let mut tables = self.tables.0.lock().unwrap();
                loop {
                    let mut changed: Vec<_> = tables
                        .rows
                        .iter()
                        .filter(|((t, _), row)| *t == table && row.ver > after)
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !changed.is_empty() || left.is_zero() {
                        changed.sort_by_key(|(_, row)| row.ver);
                        let rows: Vec<String> =
                            changed.iter().map(|(name, row)| format_row(name, row)).collect();
                        let (rows, ver) = (rows.join(","), tables.ver);
                        return (200, format!("{{\"rows\":[{rows}],\"ver\":{ver},\"now_ms\":{now}}}"));
                    }
                    tables = self.tables.1.wait_timeout(tables, left).unwrap().0;
                }
            }
            ("POST", "/rows-tx") => {
                let call = Json::parse(body);
                let name = |row: &Json| {
                    (row.get("table").text().to_owned(), row.get("key").text().to_owned())
                };
                let mut tables = self.tables.0.lock().unwrap();
                let has = |tables: &Tables, row: &Json| {
                    let found = tables.rows.get(&name(row)).filter(|found| !found.deleted);
                    found.map_or(0, |found| found.ver) == row.get("ver").number().unwrap_or(0.0) as u64
                };
                if !call.get("precondition").list().iter().all(|row| has(&tables, row)) {
                    let ver = tables.ver;
                    return (412, format!("{{\"rows\":[],\"ver\":{ver},\"now_ms\":{now}}}"));
                }
                tables.ver += 1;
                let ver = tables.ver;
                for row in call.get("puts").list() {
                    let value = row.get("value").text().to_owned();
                    tables.rows.insert(name(row), Row { value, ver, deleted: false });
                }
                for row in call.get("remove").list() {
                    let removed = Row { value: String::new(), ver, deleted: true };
                    tables.rows.insert(name(row), removed);
                }
                self.tables.1.notify_all();
                (200, format!("{{\"ver\":{ver},\"now_ms\":{now}}}"))
            }
            ("POST", "/promote") => {
                let call = Json::parse(body);
                let (service, id) = (call.get("service").text(), call.get("id").text());
                self.record.add(format!("platform: order to promote {id} of {service}"));
                let groups = self.groups.lock().unwrap();
                let group = groups.iter().find(|group| group.name == service);
                (if group.is_some_and(|group| group.promote(id)) { 200 } else { 409 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

// ---------------------------------------------------------------- database group

struct State {
    log: Vec<(String, String)>,
    term: u64,
    primary: String,
    connections: usize,
}

/// A database group; all replicas receive and apply commits at once.
#[derive(Clone)]
pub struct Group {
    pub name: String,
    state: Arc<Mutex<State>>,
    runs: Arc<Mutex<u64>>,
    /// What callers' requests did on the servers, if that is kept.
    arrivals: Option<Arc<Mutex<Vec<Arrival>>>>,
}

/// A caller's request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub server: String,
    pub id: String,
    pub text: String,
    /// `ran`, or the code of the refusal.
    pub outcome: &'static str,
}

/// Maximum length of a message of the wire protocol.
pub const MAX_MESSAGE: usize = 1 << 20;

impl Group {
    pub fn new(name: &str, primary: &str) -> Self {
        let state =
            State { log: Vec::new(), term: 1, primary: primary.to_owned(), connections: 0 };
        let state = Arc::new(Mutex::new(state));
        Group { name: name.to_owned(), state, runs: Arc::default(), arrivals: None }
    }

    /// Starts a server and writes its entry every 1,200 ms.
    pub fn start(&self, store: &Store, id: &str, zone: &str, address: SocketAddr) {
        let listener = TcpListener::bind(address).expect("address of a server");
        let (group, server) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (group, server) = (group.clone(), server.clone());
                thread::spawn(move || {
                    group.state.lock().unwrap().connections += 1;
                    let _ = group.serve(&server, stream);
                    group.state.lock().unwrap().connections -= 1;
                });
            }
        });
        let (group, store, id, zone) =
            (self.clone(), store.clone(), id.to_owned(), zone.to_owned());
        thread::spawn(move || {
            for seq in 1_u64.. {
                let role = if group.is_primary(&id) { "primary" } else { "replica" };
                let entry = format!(
                    "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"cold_remaining_ms\":0,\"db_role\":\"{role}\",\"seq\":{seq},\"born\":1}}",
                    group.name
                );
                store.put("servers", &id, &entry);
                thread::sleep(Duration::from_millis(1_200));
            }
        });
    }

    pub fn is_primary(&self, id: &str) -> bool {
        self.state.lock().unwrap().primary == id
    }

    /// Returns how many reads, writes and commits ran.
    pub fn runs(&self) -> u64 {
        *self.runs.lock().unwrap()
    }

    /// Keeps what callers' requests do from now on.
    pub fn keep_arrivals(&mut self) {
        self.arrivals = Some(Arc::default());
    }

    /// Returns the callers' requests that reached the servers.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.as_ref().map(|kept| kept.lock().unwrap().clone()).unwrap_or_default()
    }

    fn promote(&self, id: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.primary != id {
            state.primary = id.to_owned();
            state.term += 1;
        }
        true
    }

    fn position(&self) -> String {
        let state = self.state.lock().unwrap();
        format!("{}.{}", state.term, state.log.len())
    }

    fn serve(&self, id: &str, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut output = io::BufWriter::with_capacity(1 << 16, stream.try_clone()?);
        let mut input = BufReader::with_capacity(1 << 16, stream);
        let hello = read_line(&mut input)?;
        let mut fields = hello.split(' ').skip(1);
        let (group, _tenant, wanted) =
            (fields.next().unwrap_or(""), fields.next(), fields.next().unwrap_or(id));
        if group != self.name || wanted != id {
            write!(output, "ERROR WRONGNODE {id}\r\n")?;
            return output.flush();
        }
        write!(output, "READY I {}\r\n", self.position())?;
        output.flush()?;
        let mut session = ServerSession::default();
        loop {
            let line = read_line(&mut input)?;
            let Some(rest) = line.strip_prefix("QUERY ") else { return Ok(()) };
            let (query, text) = rest.split_once(' ').unwrap_or((rest, ""));
            let at = Instant::now();
            let answer = session.run(self, id, text);
            if let Some(arrivals) = self.arrivals.as_ref().filter(|_| query != "-") {
                let outcome = answer.as_ref().err().copied().unwrap_or("ran");
                let (server, query, text) = (id.to_owned(), query.to_owned(), text.to_owned());
                let arrival = Arrival { at, server, id: query, text, outcome };
                arrivals.lock().unwrap().push(arrival);
            }
            match answer {
                Ok(rows) => {
                    for row in rows {
                        write!(output, "ROW {row}\r\n")?;
                    }
                    write!(output, "COMPLETE 7.1f3.c.2b.{:016x}\r\n", self.runs())?;
                }
                Err(code) => {
                    session.failed = session.open;
                    write!(output, "ERROR {code} {id}\r\n")?;
                }
            }
            write!(output, "READY {} {}\r\n", session.letter(), self.position())?;
            output.flush()?;
        }
    }
}

/// Reads a line; a message above the limit ends the connection.
fn read_line(input: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    input.take(MAX_MESSAGE as u64 + 3).read_until(b'\n', &mut line)?;
    if !line.ends_with(b"\r\n") {
        return Err(io::ErrorKind::InvalidData.into());
    }
    line.truncate(line.len() - 2);
    String::from_utf8(line).map_err(|_| io::ErrorKind::InvalidData.into())
}

#[derive(Default)]
struct ServerSession {
    open: bool,
    failed: bool,
    read_only: bool,
    writes: Vec<(String, String)>,
    /// Digest of each prepared name, and whether the statement writes.
    prepared: HashMap<u64, bool>,
}

impl ServerSession {
    fn letter(&self) -> &'static str {
        match (self.open, self.failed) {
            (true, true) => "E",
            (true, false) => "T",
            _ => "I",
        }
    }

    fn run(&mut self, group: &Group, id: &str, text: &str) -> Result<Vec<String>, &'static str> {
        let text = match text.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').unwrap_or((rest, "")).1,
            None => text,
        };
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        if self.failed && !matches!(word, "COMMIT" | "ROLLBACK") {
            return Err("MALFORMED");
        }
        if matches!(word, "READ" | "WRITE" | "COMMIT" | "EXECUTE") {
            *group.runs.lock().unwrap() += 1;
        }
        match word {
            "BEGIN" if rest != "READ" && !group.is_primary(id) => return Err("READONLY"),
            "BEGIN" => (self.open, self.read_only) = (true, rest == "READ"),
            "ROLLBACK" | "COMMIT" => {
                let is_failed = std::mem::take(&mut self.failed);
                let writes = std::mem::take(&mut self.writes);
                self.open = false;
                if word == "COMMIT" && !is_failed {
                    group.state.lock().unwrap().log.extend(writes);
                }
            }
            "READ" => return Ok(self.read(group, rest)),
            "WRITE" => return self.write(group, id, rest),
            "SET" => {}
            "RESET" => self.prepared.clear(),
            "PREPARE" => {
                let mut fields = rest.splitn(3, ' ');
                let name = fields.next().unwrap_or("");
                let writes = fields.next() == Some("WRITE");
                self.prepared.insert(digest(name), writes);
            }
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                match self.prepared.get(&digest(name)) {
                    Some(true) => return self.write(group, id, arguments),
                    Some(false) => return Ok(self.read(group, arguments)),
                    None => return Err("NOSTMT"),
                }
            }
            "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN" => {
                let state = group.state.lock().unwrap();
                let role = if state.primary == id { "primary" } else { "replica" };
                let (term, log, count) = (state.term, state.log.len(), state.connections);
                return Ok(vec![format!("{role} {term} {term}.{log} 0 0 0 {count}")]);
            }
            _ => return Err("MALFORMED"),
        }
        Ok(Vec::new())
    }

    fn read(&self, group: &Group, item: &str) -> Vec<String> {
        let state = group.state.lock().unwrap();
        let found = state.log.iter().rev().find(|(name, _)| name == item);
        vec![found.map(|(_, data)| data.clone()).unwrap_or_default()]
    }

    fn write(&mut self, group: &Group, id: &str, rest: &str) -> Result<Vec<String>, &'static str> {
        if !group.is_primary(id) {
            return Err("READONLY");
        }
        let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
        let write = (item.to_owned(), data.to_owned());
        match self.open {
            true => self.writes.push(write),
            false => group.state.lock().unwrap().log.push(write),
        }
        Ok(Vec::new())
    }
}

fn digest(text: &str) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

// ---------------------------------------------------------------- callers

/// Queries that a caller sends before it reads the answers.
const MAX_AHEAD: usize = 50;

/// A caller's session.
pub struct Caller {
    input: BufReader<TcpStream>,
    output: TcpStream,
    id: u64,
}

impl Caller {
    pub fn connect(front: SocketAddr, database: &str, key: &str) -> io::Result<Caller> {
        let output = TcpStream::connect(front)?;
        output.set_nodelay(true)?;
        output.set_read_timeout(Some(Duration::from_secs(20)))?;
        output.set_write_timeout(Some(Duration::from_secs(20)))?;
        let input = BufReader::new(output.try_clone()?);
        let mut caller = Caller { input, output, id: 0 };
        caller.output.write_all(format!("START {database} {key}\r\n").as_bytes())?;
        match caller.line()? {
            line if line.starts_with("READY") => Ok(caller),
            line => Err(io::Error::other(line)),
        }
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    /// Sends a query and returns the line before `READY`, `COMPLETE` or `ERROR`, and the number of
    /// rows.
    pub fn query(&mut self, text: &str) -> io::Result<(String, usize)> {
        self.send(text)?;
        let (mut result, mut rows) = (String::new(), 0);
        loop {
            let line = self.line()?;
            match line.split(' ').next().unwrap_or("") {
                "ROW" => rows += 1,
                "READY" => return Ok((result, rows)),
                _ => result = line,
            }
        }
    }

    /// Sends queries a few at a time, and reads their answers. Fails unless all succeed.
    pub fn query_all(&mut self, texts: impl Iterator<Item = String>) -> io::Result<()> {
        let texts: Vec<String> = texts.collect();
        for some in texts.chunks(MAX_AHEAD) {
            let mut lines = String::new();
            for text in some {
                self.id += 1;
                lines.push_str(&format!("QUERY {:016x} {text}\r\n", self.id));
            }
            self.output.write_all(lines.as_bytes())?;
            for _ in some {
                let answer = self.line()?;
                if !answer.starts_with("COMPLETE") {
                    return Err(io::Error::other(answer));
                }
                self.line()?;
            }
        }
        Ok(())
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.id += 1;
        let line = format!("QUERY {:016x} {text}\r\n", self.id);
        self.output.write_all(line.as_bytes())
    }
}

// ---------------------------------------------------------------- daemons

/// Addresses of the case: loopback addresses that no other process uses.
pub fn address(machine: u8, port: u16) -> SocketAddr {
    let pid = std::process::id();
    let ip = Ipv4Addr::new(127, 64 + (pid >> 8 & 63) as u8, pid as u8, machine);
    SocketAddr::from((ip, port))
}

pub const FRONT: u16 = 8465;
pub const STORE: u8 = 200;

/// A daemon, started with the command of the deploy file.
pub struct Daemon {
    pub machine: u8,
    pub child: Child,
    settings: PathBuf,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Daemon {
    pub fn start(machine: u8, zones: &[&str], memory_mb: u64, folder: &Path) -> Daemon {
        let zone = zones[(machine as usize - 1) % zones.len()];
        let at = |port| address(machine, port);
        let mut text = format!(
            "node_name=edge-{zone}-{machine}\nrole=node\nnode_class=edge\nserves=edge\nip={}\nzone={zone}\nregion=txc\n",
            at(1).ip()
        );
        zones.iter().for_each(|zone| text.push_str(&format!("zones.{zone}=txc\n")));
        text.push_str(&format!(
            "listen_addrs.front={}\nlisten_addrs.ready={}\ninternal_ports=7560,7575\nseeds=\n\
             bootstrap=true\nloss_counts=false\nlimits.cpu_share=0.25\nlimits.cores=1\n\
             limits.memory_mb={memory_mb}\nlimits.max_fds=4200\nlimits.link_mbps=1000.0\n\
             limits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,recover,sql,tenants,quota,places,platform\n\
             bounds.contact_ms=4000\nbounds.drain_ms=7000\nbounds.grace_s=6\n\
             bounds.config_apply_ms=3000\nbounds.quota_window_s=5\nbounds.require_fencing=true\n\
             platform.address={store}\nplatform.form=table\nplatform.row_bytes=65536\n\
             cloud_api.address={store}\ncloud_api.duties=failover\n",
            at(FRONT),
            at(8460),
            store = address(STORE, 8466),
        ));
        let path = folder.join(format!("boot-{machine}.conf"));
        std::fs::write(&path, text).expect("settings");
        let child = spawn(&path);
        Daemon { machine, child, settings: path, front: at(FRONT), ready: at(8460) }
    }

    /// Starts the process again, after it has ended.
    pub fn restart(&mut self) {
        self.child = spawn(&self.settings);
    }

    /// Returns whether the readiness probe is answered with 200.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut answer = [0; 12];
            stream.read_exact(&mut answer)?;
            Ok(answer.ends_with(b"200"))
        };
        ask().unwrap_or(false)
    }

    /// Returns the resident memory of the process in KiB, or `None` if it has ended.
    pub fn memory_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a daemon. Its log is appended to a file beside the settings.
fn spawn(settings: &Path) -> Child {
    let log = settings.with_extension("log");
    let log = File::options().create(true).append(true).open(log).expect("a log");
    Command::new("target/release/chicoryhollow-node")
        .args(["--metrics-port", "9464"])
        .env("CHICORYHOLLOW_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .expect("the daemon, built by the command of the deploy file")
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Zones of the small deployment.
pub const ZONES: [&str; 3] = ["press-hall", "cold-dock", "front-office"];

/// Memory of a machine, as the settings of the small deployment have it.
pub const MEMORY_MB: u64 = 260;

/// A small deployment: three machines in three zones, and database groups with a server in each.
pub struct Deployment {
    pub store: Store,
    pub groups: Vec<Group>,
    pub daemons: Vec<Daemon>,
    pub folder: PathBuf,
}

/// Name of the database whose route is public.
pub const PUBLIC: &str = "open";

/// Returns the name of the database whose route reads on the primary of a group.
pub fn newest(group: usize) -> String {
    if group == 0 { "newest".to_owned() } else { format!("newest-{group}") }
}

/// Returns the configuration with this number of groups.
fn configuration(groups: &[Group]) -> String {
    let route = |host: &str, kind: &str, timeout: u32, target: u32, group: &Group| {
        format!(
            "{{\"name\":\"r-{host}\",\"host\":\"{host}\",\"prefix\":\"/\",\"type\":\"{kind}\",\"timeout_ms\":{timeout},\"target_latency_ms\":{target},\"priority\":1,\"service\":\"{}\",\"attempts\":2,\"max_staleness_ms\":1500,\"public\":{}}}",
            group.name,
            host == PUBLIC
        )
    };
    let service = |group: &Group| {
        format!(
            "{{\"name\":\"{}\",\"health_path\":\"/health\",\"max_conns\":22,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"sync_replicas\":1}}",
            group.name
        )
    };
    let tenant = |(name, key): (&str, &str)| {
        format!(
            "{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"],\"priority\":1,\"rate_per_s\":115,\"burst\":115}}"
        )
    };
    let mut routes = vec![
        route("bounded", "bounded_staleness", 2000, 500, &groups[0]),
        route("own", "read_your_writes", 800, 250, &groups[0]),
        route(PUBLIC, "bounded_staleness", 2000, 500, &groups[0]),
    ];
    let primary = groups.iter().enumerate();
    routes.extend(primary.map(|(i, group)| route(&newest(i), "primary", 800, 150, group)));
    let services: Vec<String> = groups.iter().map(service).collect();
    let names = ["plant", "office", "dock", "yard"];
    let tenants: Vec<String> = names.into_iter().zip(KEYS).map(tenant).collect();
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}},\"tenants\":[{}]}}",
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}

impl Deployment {
    /// Starts the deployment with this number of groups; the primary of each is in another zone.
    pub fn start(record: &Record, groups: usize) -> Deployment {
        Deployment::start_with(record, groups, false)
    }

    /// Starts the same, and keeps what reaches the servers if `keeps_arrivals`.
    pub fn start_with(record: &Record, groups: usize, keeps_arrivals: bool) -> Deployment {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::start(address(STORE, 8466), record);
        let name = |group: usize, zone: usize| format!("i-{}", group * ZONES.len() + zone + 1);
        let groups: Vec<Group> = (0..groups)
            .map(|i| Group::new(&format!("press-db-{}", i + 1), &name(i, i % ZONES.len())))
            .map(|mut group| {
                if keeps_arrivals {
                    group.keep_arrivals();
                }
                group
            })
            .collect();
        store.put("op", "config", &configuration(&groups));
        for (i, group) in groups.iter().enumerate() {
            store.add_group(group);
            for (j, zone) in ZONES.iter().enumerate() {
                let port = 8080 + u16::try_from(i).expect("few groups");
                let machine = 101 + u8::try_from(j).expect("few zones");
                group.start(&store, &name(i, j), zone, address(machine, port));
            }
        }
        let daemons =
            (1..=3).map(|machine| Daemon::start(machine, &ZONES, MEMORY_MB, &folder)).collect();
        let deployment = Deployment { store, groups, daemons, folder };
        let end = Instant::now() + Duration::from_secs(30);
        while !deployment.daemons.iter().all(Daemon::is_ready) {
            if Instant::now() > end {
                record.add("the daemons did not become ready");
                deployment.finish(2);
            }
            thread::sleep(Duration::from_millis(100));
        }
        record.add("three daemons are ready");
        // Servers count as registered, and links stand, after some seconds.
        thread::sleep(Duration::from_secs(4));
        deployment
    }

    /// Ends all processes and removes the folder.
    pub fn finish(mut self, code: i32) -> ! {
        self.daemons.iter_mut().for_each(Daemon::kill);
        let _ = std::fs::remove_dir_all(&self.folder);
        std::process::exit(code);
    }
}

// ---------------------------------------------------------------- memory of the processes

/// A tenth of the machines, two at least, and ends of processes that break the rule.
const MACHINES: usize = 2;
const ENDS: u32 = 3;

/// Time after which the platform restarts a process.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Error of the system if this process has too many open files.
const TOO_MANY_FILES: i32 = 24;

/// Whether the machine allows too few open files for the case.
static CANNOT_RUN: AtomicBool = AtomicBool::new(false);

/// Keys of the tenants. Callers use the first two, unless a case chooses otherwise.
pub const KEYS: [&str; 4] = ["secret", "other", "third", "fourth"];

/// One caller of a case.
pub struct Load<'a> {
    pub front: SocketAddr,
    /// Number of the machine, from 1.
    pub machine: u8,
    pub key: &'static str,
    /// Counts what was sent to the machine.
    pub sent: &'a AtomicU64,
    pub stop: &'a AtomicBool,
    pub record: &'a Record,
}

impl Load<'_> {
    pub fn goes_on(&self) -> bool {
        !self.stop.load(Ordering::Relaxed)
    }
}

/// Lets `callers` callers send to each machine for `span`. A process whose memory exceeds that of
/// its machine is killed, as the platform does, and started again. Ends with the result of the case.
pub fn judge_memory(
    mut deployment: Deployment,
    record: &Record,
    callers: usize,
    span: Duration,
    caller: impl Fn(&Load<'_>) -> io::Result<()> + Sync,
) -> ! {
    let end = Instant::now() + span;
    let daemons = std::mem::take(&mut deployment.daemons);
    let watched: Vec<(u32, Daemon)> = thread::scope(|scope| {
        let caller = &caller;
        let watch = |daemon| scope.spawn(move || watch(daemon, callers, end, record, caller));
        let all: Vec<_> = daemons.into_iter().map(watch).collect();
        all.into_iter().map(|one| one.join().expect("a machine")).collect()
    });
    let ends: u32 = watched.iter().map(|(ends, _)| ends).sum();
    let machines = watched.iter().filter(|(ends, _)| *ends > 0).count();
    for (_, daemon) in &watched {
        let after = Caller::connect(daemon.front, "newest", "other")
            .and_then(|mut caller| caller.query("READ k"));
        record.add(format!("machine {}: a read afterwards: {after:?}", daemon.machine));
    }
    deployment.daemons = watched.into_iter().map(|(_, daemon)| daemon).collect();
    let code = match CANNOT_RUN.load(Ordering::Relaxed) {
        true => 2,
        false => i32::from(machines >= MACHINES && ends >= ENDS),
    };
    let runs: u64 = deployment.groups.iter().map(Group::runs).sum();
    record.add(format!(
        "processes ended by themselves {ends} times on {machines} machines; {runs} statements ran; exit {code}"
    ));
    deployment.finish(code)
}

fn watch(
    mut daemon: Daemon,
    callers: usize,
    end: Instant,
    record: &Record,
    caller: &(impl Fn(&Load<'_>) -> io::Result<()> + Sync),
) -> (u32, Daemon) {
    let machine = daemon.machine;
    let (mut ends, mut most) = (0, 0);
    while Instant::now() < end {
        let (sent, stop, front) = (AtomicU64::new(0), AtomicBool::new(false), daemon.front);
        let exceeded = thread::scope(|scope| {
            for i in 0..callers {
                let load = Load { front, machine, key: KEYS[i % 2], sent: &sent, stop: &stop, record };
                scope.spawn(move || {
                    if let Err(error) = caller(&load) {
                        let is_short = error.raw_os_error() == Some(TOO_MANY_FILES);
                        CANNOT_RUN.fetch_or(is_short, Ordering::Relaxed);
                        record.add(format!("machine {machine}: a caller lost its session: {error}"));
                    }
                });
            }
            let exceeded = wait_for_excess(&mut daemon, end, &sent, &mut most, record);
            stop.store(true, Ordering::Relaxed);
            exceeded
        });
        if exceeded {
            ends += 1;
            thread::sleep(RESTART_DELAY);
            daemon.restart();
            while !daemon.is_ready() && Instant::now() < end {
                thread::sleep(Duration::from_millis(100));
            }
            record.add(format!("machine {machine}: the process was started again"));
        }
    }
    record.add(format!("machine {machine}: {most} KiB at most, {ends} ends"));
    (ends, daemon)
}

/// Returns whether the process exceeded the memory of the machine, or ended, before `end`.
fn wait_for_excess(
    daemon: &mut Daemon,
    end: Instant,
    sent: &AtomicU64,
    most: &mut u64,
    record: &Record,
) -> bool {
    let machine = daemon.machine;
    let mut shown = Instant::now();
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(20));
        let memory = daemon.memory_kb();
        *most = memory.unwrap_or_default().max(*most);
        let text = memory.map_or("no process".to_owned(), |memory| format!("{memory} KiB"));
        if memory.is_none_or(|memory| memory > MEMORY_MB * 1024) {
            record.add(format!("machine {machine}: {text}; the platform ends the process"));
            daemon.kill();
            return true;
        }
        if shown.elapsed() >= Duration::from_secs(1) {
            shown = Instant::now();
            let sent = sent.load(Ordering::Relaxed);
            record.add(format!("machine {machine}: {sent} sent, {text}"));
        }
    }
    false
}
