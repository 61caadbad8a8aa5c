//! Nodes without callers, and a database group, all in the test process.

// Each test file uses only some of these helpers.
#![allow(dead_code, unreachable_pub)]

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use chicoryhollow_config::{
    Configuration, Settings,
    configuration::{Account, DataCentre, Group, Server, Versioned},
    rate::{Burst, Rate},
};
use chicoryhollow_core::{prelude::*, view::TermStart};
use chicoryhollow_proxy::{
    node::Node,
    peers,
    stream::{Access, Batch, OpenRequest, Refused, Stream, StreamEvent},
    wire,
};
use chicoryhollow_store::{Vm, VmState};
use chicoryhollow_testkit::{
    backend::{Backend, BackendOptions, CONTROL_ROLE},
    fault::{Flow, Link, LinkState},
};
use indexmap::IndexMap;
use pgwire::messages::{PgWireBackendMessage, simplequery::Query};
use serde_json::json;
use tokio::net::TcpListener;
use tokio_postgres::{NoTls, SimpleQueryMessage, SimpleQueryRow};

/// Time limit of every request of a test.
const DEADLINE: Duration = Duration::from_secs(8);

/// Name of the database group.
const GROUP: &str = "orders";

/// Nodes `vm-0`, `vm-1` and so on, and backend servers `s0`, `s1` and so on. The
/// first node is the home of all servers.
#[derive(Clone)]
pub struct Fleet {
    shared: Arc<Shared>,
}

struct Shared {
    nodes: Vec<Arc<Node>>,
    vms: Vec<Vm>,
    /// Addresses of the servers themselves, without the fault proxies.
    direct: Vec<SocketAddr>,
    servers: Mutex<Vec<Option<Backend>>>,
    /// Fault proxies in front of the servers.
    server_links: Vec<Link>,
    /// Fault proxies in front of the nodes' peer listeners.
    peer_links: Vec<Link>,
}

impl Fleet {
    /// Starts `servers` servers and `vms` nodes. `change` may change the options of a
    /// server.
    pub async fn start(
        servers: usize,
        vms: usize,
        change: impl Fn(usize, &mut BackendOptions),
    ) -> Self {
        Fleet::start_with(servers, vms, change, true).await
    }

    /// Starts a fleet and sets whether its nodes record transaction ids.
    pub async fn start_with(
        servers: usize,
        vms: usize,
        change: impl Fn(usize, &mut BackendOptions),
        note_transactions: bool,
    ) -> Self {
        let (backends, direct, options) = start_servers(servers, change).await;
        let mut server_links = Vec::new();
        for address in &direct {
            server_links.push(Link::new(*address).await.expect("a free port"));
        }
        let configuration = configuration(&server_links, &options);
        let (mut nodes, mut listed, mut peer_links) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..vms {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("a bound listener");
            let link = Link::new(address).await.expect("a free port");
            let node = start_node(number, address, note_transactions);
            tokio::spawn(peers::listen(Arc::clone(&node), listener));
            node.configuration.send_replace(Arc::new(configuration.clone()));
            listed.push(vm(number, link.address()));
            peer_links.push(link);
            nodes.push(node);
        }
        for node in &nodes {
            node.members.replace(listed.clone());
        }
        let shared = Shared {
            nodes,
            vms: listed,
            direct,
            servers: Mutex::new(backends),
            server_links,
            peer_links,
        };
        let fleet = Fleet { shared: Arc::new(shared) };
        fleet.publish(0).await;
        fleet
    }

    /// Returns the current time on the clock of a node.
    pub fn now(&self, vm: usize) -> Time {
        self.shared.nodes[vm].clock.now()
    }

    /// Returns a node.
    pub fn node(&self, vm: usize) -> &Arc<Node> {
        &self.shared.nodes[vm]
    }

    /// Returns the address that the nodes use for a server: that of its fault proxy.
    pub fn address(&self, server: usize) -> SocketAddr {
        self.shared.server_links[server].address()
    }

    /// Returns a batch of one simple query.
    pub fn batch(&self, sql: &str, writes: bool) -> Batch {
        let messages = wire::encode(&Query::new(sql.to_owned()));
        let deadline = self.now(0).max(self.now(self.shared.nodes.len() - 1)) + DEADLINE;
        Batch { prepares: Vec::new(), messages, writes, deadline }
    }

    /// Opens a stream to the primary.
    pub async fn open(&self, vm: usize, access: Access) -> Result<Stream, Refused> {
        let node = self.node(vm);
        let group: GroupId = GROUP.parse().expect("a valid name");
        let server = node.groups.view(&group).primary.clone().ok_or(Refusal::NoPrimary)?;
        self.open_at(vm, &server, access, None).await
    }

    /// Opens a stream to a server.
    pub async fn open_at(
        &self,
        vm: usize,
        server: &ServerId,
        access: Access,
        needed: Option<Position>,
    ) -> Result<Stream, Refused> {
        let request = OpenRequest {
            group: GROUP.parse().expect("a valid name"),
            server: server.clone(),
            account: "press".parse().expect("a valid name"),
            access,
            deadline: self.now(vm) + DEADLINE,
            min_position: needed,
            max_age_ms: None,
            max_wait_ms: 20,
        };
        Stream::open(self.node(vm), request).await
    }

    /// Runs one write in its own transaction.
    pub async fn write(&self, vm: usize, sql: &str) -> Result<Vec<String>, Refusal> {
        let mut stream = self.open(vm, Access::Write).await.map_err(|r| r.refusal)?;
        query(&mut stream, sql, true).await
    }

    /// Reads from the primary.
    pub async fn read(&self, vm: usize, sql: &str) -> Result<Vec<String>, Refusal> {
        let mut stream = self.open(vm, Access::Barrier).await.map_err(|r| r.refusal)?;
        query(&mut stream, sql, false).await
    }

    /// Holds the answers of server 0, or passes them again.
    pub fn hold_answers(&self, held: bool) {
        let backward = if held { Flow::Hold } else { Flow::Pass };
        self.shared.server_links[0].set(LinkState { backward, ..LinkState::default() });
    }

    /// Closes the connections between nodes. The nodes may open them again.
    pub fn close_links(&self) {
        for link in &self.shared.peer_links {
            link.set(LinkState { closed: true, ..LinkState::default() });
            link.set(LinkState::default());
        }
    }

    /// Holds all traffic between nodes, as in a network partition.
    pub fn hold_links(&self) {
        for link in &self.shared.peer_links {
            link.set(LinkState::default().cut());
        }
    }

    /// Makes every node the only VM in its own list, and so the home of all servers.
    pub fn split_homes(&self) {
        for (node, vm) in self.shared.nodes.iter().zip(&self.shared.vms) {
            node.members.replace(vec![vm.clone()]);
        }
    }

    /// Moves all nodes to one data centre and returns the number of the VM that is the
    /// home of server 0.
    pub fn join_data_centres(&self) -> usize {
        let centre: DataCentreId = "a".parse().expect("a valid name");
        let listed: Vec<Vm> = self
            .shared
            .vms
            .iter()
            .map(|vm| Vm { data_centre: centre.clone(), ..vm.clone() })
            .collect();
        for node in &self.shared.nodes {
            node.members.replace(listed.clone());
        }
        let home = self.node(0).members.home(&centre, &server_name(0));
        listed.iter().position(|vm| Some(&vm.vm) == home.as_ref()).expect("a home")
    }

    /// Holds all traffic to one node, or passes it again.
    pub fn hold_node(&self, vm: usize, held: bool) {
        let state = LinkState::default();
        self.shared.peer_links[vm].set(if held { state.cut() } else { state });
    }

    /// Stops a server.
    pub fn kill(&self, server: usize) {
        self.shared.servers.lock().expect("no test panics with this lock")[server] = None;
    }

    /// Stops or resumes replication to the servers other than server 0.
    pub async fn stop_replication(&self, stopped: bool) {
        let delay = if stopped { 60_000 } else { 0 };
        for server in 1..self.shared.direct.len() {
            self.control(server, &format!("set_lag({delay}, 0)")).await;
        }
    }

    /// Waits until all servers have received what server 0 has.
    pub async fn wait_caught_up(&self) {
        let received = |row: &SimpleQueryRow| number(row, "received");
        let end = received(&self.control(0, "status()").await);
        for server in 1..self.shared.direct.len() {
            while received(&self.control(server, "status()").await) < end {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        }
    }

    /// Fences all servers except server 0 at `term`, promotes `server` and publishes
    /// its view to all nodes.
    pub async fn promote(&self, server: usize, term: u64) {
        let count = self.shared.direct.len();
        for fenced in 1..count {
            self.control(fenced, &format!("fence({term}, 'test')")).await;
        }
        self.stop_replication(false).await;
        let members: Vec<String> = (0..count).map(|i| format!("s{i}")).collect();
        let call = format!("promote({term}, 'test', '{}', 1)", members.join(","));
        let promoted = self.control(server, &call).await;
        assert_eq!(promoted.get("granted"), Some("t"));
        self.publish(server).await;
    }

    /// Publishes the view of `primary` to all nodes.
    pub async fn publish(&self, primary: usize) {
        let row = self.control(primary, "status()").await;
        let mut view = GroupView::new(GROUP.parse().expect("a valid name"));
        view.term = Term::new(number(&row, "term"));
        view.primary = Some(server_name(primary));
        let history = row.get("history").expect("the column");
        view.history = serde_json::from_str::<Vec<TermStart>>(history).expect("a history");
        for node in &self.shared.nodes {
            node.groups.publish(view.clone());
        }
    }

    /// Calls a control function of a server.
    pub async fn control(&self, server: usize, call: &str) -> SimpleQueryRow {
        let address = self.shared.direct[server];
        let config = format!("host={} port={} user={CONTROL_ROLE}", address.ip(), address.port());
        let (client, connection) =
            tokio_postgres::connect(&config, NoTls).await.expect("a connection");
        tokio::spawn(connection);
        let text = format!("SELECT * FROM chicoryhollow.{call}");
        let messages = client.simple_query(&text).await.expect("an answer");
        let row = messages.into_iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => Some(row),
            _ => None,
        });
        row.expect("one row")
    }
}

/// Returns the name of a server.
pub fn server_name(server: usize) -> ServerId {
    ServerId::new(format!("s{server}")).expect("a valid name")
}

/// Runs one simple query on a stream.
pub async fn query(stream: &mut Stream, sql: &str, writes: bool) -> Result<Vec<String>, Refusal> {
    let messages = wire::encode(&Query::new(sql.to_owned()));
    // The clocks of the nodes start with the test, so this is later than any of them.
    let deadline = Time::from_millis(u64::from(u32::MAX));
    let batch = Batch { prepares: Vec::new(), messages, writes, deadline };
    stream.send(batch).await.map_err(|refused| refused.refusal)?;
    rows(stream).await
}

/// Reads an answer and returns the first column of its rows.
pub async fn rows(stream: &mut Stream) -> Result<Vec<String>, Refusal> {
    let mut rows = Vec::new();
    loop {
        match stream.next().await.map_err(|refused| refused.refusal)? {
            StreamEvent::Answer(bytes) => rows.extend(first_columns(&bytes)),
            StreamEvent::Ready(_) => return Ok(rows),
        }
    }
}

fn first_columns(bytes: &Bytes) -> Vec<String> {
    let mut rows = Vec::new();
    for frame in wire::split_frames(bytes) {
        match frame.decode_backend().expect("a valid message") {
            PgWireBackendMessage::DataRow(row) => {
                let length = i32::from_be_bytes(row.data[..4].try_into().expect("a length"));
                let length = usize::try_from(length).expect("a value");
                let text = String::from_utf8_lossy(&row.data[4..4 + length]);
                rows.push(text.into_owned());
            }
            PgWireBackendMessage::ErrorResponse(error) => panic!("{:?}", error.fields),
            _ => {}
        }
    }
    rows
}

fn number(row: &SimpleQueryRow, column: &str) -> u64 {
    row.get(column).expect("the column").parse().expect("a number")
}

async fn start_servers(
    count: usize,
    change: impl Fn(usize, &mut BackendOptions),
) -> (Vec<Option<Backend>>, Vec<SocketAddr>, Vec<BackendOptions>) {
    let mut listeners = Vec::new();
    for _ in 0..count {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.expect("a free port"));
    }
    let direct: Vec<_> =
        listeners.iter().map(|l| l.local_addr().expect("a bound listener")).collect();
    let members: IndexMap<_, _> =
        direct.iter().enumerate().map(|(i, a)| (format!("s{i}"), *a)).collect();
    let (mut backends, mut all) = (Vec::new(), Vec::new());
    for (i, listener) in listeners.into_iter().enumerate() {
        let mut options = BackendOptions::new(format!("s{i}"), members.clone());
        options.initial_primary = i == 0;
        change(i, &mut options);
        backends.push(Some(Backend::new(options.clone(), listener).expect("a new server")));
        all.push(options);
    }
    (backends, direct, all)
}

fn start_node(number: usize, peers: SocketAddr, note_transactions: bool) -> Arc<Node> {
    let settings: Settings = serde_json::from_value(json!({
        "vm": format!("vm-{number}"),
        "data_centre": if number == 0 { "a" } else { "b" },
        "listen": { "callers": "127.0.0.1:1", "peers": peers, "admin": "127.0.0.1:1" },
        "platform": "http://127.0.0.1:1",
        "backend": { "note_transactions": note_transactions },
    }))
    .expect("valid settings");
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Node::new(settings, Incarnation::new(number as u64 + 1), log)
}

fn vm(number: usize, peers: SocketAddr) -> Vm {
    Vm {
        vm: VmId::new(format!("vm-{number}")).expect("a valid name"),
        data_centre: DataCentreId::new(if number == 0 { "a" } else { "b" }).expect("valid"),
        peers,
        admin: peers,
        state: VmState::Live,
    }
}

fn configuration(links: &[Link], options: &[BackendOptions]) -> Versioned {
    let mut configuration = Configuration::default();
    let mut group = Group::default();
    for name in ["a", "b"] {
        let name = name.parse().expect("a valid name");
        configuration.data_centres.insert(name, DataCentre::default());
    }
    for (number, (link, options)) in links.iter().zip(options).enumerate() {
        let server = Server {
            address: link.address(),
            data_centre: "a".parse().expect("a valid name"),
            slots: u32::try_from(options.slots).expect("small"),
            connections: u32::try_from(options.connections).expect("small"),
            service: Default::default(),
        };
        group.servers.insert(server_name(number), server);
    }
    configuration.groups.insert(GROUP.parse().expect("a valid name"), group);
    let rate = Rate::new(10_000.0).expect("a valid rate");
    let burst = Burst::new(10_000.0).expect("a valid burst");
    let account = Account { rate, burst, weight: 1 };
    configuration.accounts.insert("press".parse().expect("a valid name"), account);
    Versioned { version: 1, configuration }
}
