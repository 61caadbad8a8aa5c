//! A small deployment: daemons as processes of their own, and stand-ins for the
//! platform and the backend servers in the test process.

// Each test file uses only some of these helpers.
#![allow(dead_code, unreachable_pub)]

pub mod callers;
pub mod raw;

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use chicoryhollow_config::{
    Configuration, Verifier,
    configuration::{Account, DataCentre, Group, Key, Route, Server},
    hash::ContentHash,
    rate::{Burst, Rate},
};
use chicoryhollow_store::{HttpPlatform, Platform, Vm, VmState};
use chicoryhollow_testkit::{
    backend::{Backend, BackendOptions, CONTROL_ROLE},
    platform::{Counts, Fault},
};
use indexmap::IndexMap;
use serde_json::json;
use tokio_postgres::{Client, NoTls};

/// Maximum wait for anything that should happen soon.
pub const MAX_WAIT: Duration = Duration::from_secs(30);

/// Maximum age in milliseconds that reads on the route `aged` accept.
pub const MAX_AGE_MS: u64 = 1_000;

/// Time after which all daemons know a changed list of VMs.
pub const LIST_PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Ports of every daemon. They are below the range of ports that the system assigns to
/// outgoing connections.
const CALLER_PORT: u16 = 6_432;
const PEER_PORT: u16 = 6_433;
const ADMIN_PORT: u16 = 6_434;

/// Key of the account `press`.
pub const PRESS_KEY: &str = "press-secret";

/// Key of the account `clinic`.
pub const CLINIC_KEY: &str = "clinic-secret";

/// The platform, three servers of the group `orders` and some daemons.
pub struct Deployment {
    pub servers: Vec<Option<Backend>>,
    pub daemons: Vec<Daemon>,
    pub platform: HttpPlatform,
    pub configuration: Configuration,
    /// Maximum age of the configuration in milliseconds, or 0 for no limit. Applies
    /// to daemons that are started later.
    pub stale_ms: u64,
    /// Fields that are added to the limits of daemons that are started later.
    pub limits: serde_json::Map<String, serde_json::Value>,
    base: String,
    version: u64,
}

/// A daemon process, which is killed when this is dropped.
pub struct Daemon {
    pub child: Child,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub admin: SocketAddr,
    settings: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // This fails if the daemon has already ended.
        drop(self.child.kill());
        drop(self.child.wait());
        drop(std::fs::remove_file(&self.settings));
    }
}

impl Deployment {
    /// Starts the platform, the servers and one daemon in each of `data_centres`.
    pub async fn start(data_centres: &[&str]) -> Self {
        Deployment::start_with_lag(data_centres, Duration::ZERO).await
    }

    /// Starts a deployment whose daemons have `limits` in their settings.
    pub async fn start_with_limits(data_centres: &[&str], limits: serde_json::Value) -> Self {
        let limits = limits.as_object().cloned().unwrap_or_default();
        Deployment::start_with(data_centres, Duration::ZERO, limits).await
    }

    /// Starts a deployment whose replicas apply received log records after `lag`.
    pub async fn start_with_lag(data_centres: &[&str], lag: Duration) -> Self {
        Deployment::start_with(data_centres, lag, Default::default()).await
    }

    async fn start_with(
        data_centres: &[&str],
        lag: Duration,
        limits: serde_json::Map<String, serde_json::Value>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let base = format!("http://{}", listener.local_addr().expect("a bound listener"));
        let server = chicoryhollow_testkit::platform::serve(listener).expect("a platform");
        actix::spawn(server);
        let (servers, addresses) = start_servers(lag).await;
        let mut deployment = Deployment {
            servers,
            daemons: Vec::new(),
            platform: HttpPlatform::new(base.clone(), MAX_WAIT),
            configuration: configuration(&addresses),
            base,
            version: 0,
            stale_ms: 0,
            limits,
        };
        deployment.apply().await;
        for (i, data_centre) in data_centres.iter().enumerate() {
            deployment.start_daemon(&format!("vm-{i}"), data_centre).await;
        }
        for i in 0..deployment.daemons.len() {
            deployment.wait_ready(i).await;
        }
        deployment
    }

    /// Publishes the current content of `configuration`.
    pub async fn apply(&mut self) {
        let hash = ContentHash::new(&self.configuration);
        let bytes = serde_json::to_vec(&self.configuration).expect("a configuration is JSON");
        self.platform.store(&hash.object_name(), bytes).await.expect("the object store answers");
        let value = json!({ "hash": hash.to_string(), "apply": "0", "base": self.version });
        let swapped = self.platform.swap("configuration", self.version, value).await;
        swapped.expect("the table answers");
        self.version += 1;
    }

    /// Sets the fault that the platform simulates.
    pub async fn set_fault(&self, fault: &Fault) {
        let url = format!("{}/control/fault", self.base);
        let answer = awc::Client::default().put(url).send_json(fault).await;
        assert!(answer.expect("the platform answers").status().is_success());
    }

    /// Returns how many requests the platform has received.
    pub async fn counts(&self) -> Counts {
        let url = format!("{}/control/counts", self.base);
        let mut answer = awc::Client::default().get(url).send().await.expect("an answer");
        answer.json().await.expect("the counts")
    }

    /// Returns the version of the configuration that a daemon uses.
    pub async fn version(&self, daemon: usize) -> u64 {
        let url = format!("http://{}/status", self.daemons[daemon].admin);
        let mut answer = awc::Client::default().get(url).send().await.expect("an answer");
        let status: serde_json::Value = answer.json().await.expect("a status");
        status["version"].as_u64().expect("a version")
    }

    /// Waits until a daemon uses the newest version of the configuration.
    pub async fn wait_version(&self, daemon: usize, limit: Duration) {
        let newest = async {
            while self.version(daemon).await < self.version {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(limit, newest).await.expect("the newest version is in force in time");
    }

    /// Starts a daemon, with all daemons started before it as its seeds.
    pub async fn start_daemon(&mut self, name: &str, data_centre: &str) {
        let daemon = self.spawn(name, data_centre, unused_address()).await;
        let (peers, admin) = (daemon.peers, daemon.admin);
        self.daemons.push(daemon);
        let vm = Vm {
            vm: name.parse().expect("a valid name"),
            data_centre: data_centre.parse().expect("a valid name"),
            peers,
            admin,
            state: VmState::Live,
        };
        let url = format!("{}/control/vms/{name}", self.base);
        let listed = awc::Client::default().put(url).send_json(&vm).await;
        assert!(listed.expect("the platform answers").status().is_success());
    }

    /// Starts a daemon on `ip` and waits until it listens.
    async fn spawn(&self, name: &str, data_centre: &str, ip: Ipv4Addr) -> Daemon {
        let [callers, peers, admin] =
            [CALLER_PORT, PEER_PORT, ADMIN_PORT].map(|port| SocketAddr::from((ip, port)));
        let mut settings = json!({
            "vm": name,
            "data_centre": data_centre,
            "listen": { "callers": callers, "peers": peers, "admin": admin },
            "platform": format!("{}/dc/{data_centre}", self.base),
            "seeds": self.daemons.iter().map(|daemon| daemon.peers).collect::<Vec<_>>(),
            "limits": { "request_ms": 10_000, "drain_ms": 5_000, "stale_configuration_ms": self.stale_ms },
        });
        if let Some(limits) = settings["limits"].as_object_mut() {
            limits.extend(self.limits.clone());
        }
        let file = format!("chicoryhollow-{}-{ip}.json", std::process::id());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, settings.to_string()).expect("the settings can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_chicoryhollow"))
            .arg("--settings")
            .arg(&path)
            .spawn()
            .expect("the daemon starts");
        let mut daemon = Daemon { child, callers, peers, admin, settings: path };
        daemon.wait_listening().await;
        daemon
    }

    /// Fences the running servers and promotes one of them at `term`, unless a daemon
    /// has already promoted one.
    pub async fn promote(&self, server: usize, term: u64) {
        let groups = self.configuration.groups.values();
        let addresses: Vec<_> =
            groups.flat_map(|group| group.servers.values().map(|s| s.address)).collect();
        let members = "orders-0,orders-1,orders-2";
        let mut controls = Vec::new();
        for (i, address) in addresses.iter().enumerate() {
            if self.servers[i].is_none() {
                continue;
            }
            let config =
                format!("host={} port={} user={CONTROL_ROLE}", address.ip(), address.port());
            let (control, connection) =
                tokio_postgres::connect(&config, NoTls).await.expect("a control connection");
            tokio::spawn(connection);
            let fence = format!("SELECT * FROM chicoryhollow.fence({term}, 'test')");
            control.simple_query(&fence).await.expect("an answer");
            controls.push((i, control));
        }
        let promote =
            format!("SELECT * FROM chicoryhollow.promote({term}, 'test', '{members}', 1)");
        for (_, control) in controls.iter().filter(|(i, _)| *i == server) {
            control.simple_query(&promote).await.expect("an answer");
        }
    }

    /// Returns the fraction of a daemon's reads that replicas served.
    pub async fn replica_share(&self, daemon: usize) -> f64 {
        let url = format!("http://{}/metrics", self.daemons[daemon].admin);
        let mut answer = awc::Client::default().get(url).send().await.expect("an answer");
        let text = answer.body().await.expect("a body");
        let text = String::from_utf8_lossy(&text).into_owned();
        let count = |kind: &str| -> f64 {
            let name = format!("chicoryhollow_reads_total{{server=\"{kind}\"}} ");
            text.lines().find_map(|line| line.strip_prefix(&name)?.parse().ok()).unwrap_or(0.0)
        };
        count("replica") / (count("replica") + count("primary"))
    }

    /// Removes a daemon from the platform's list, and waits until the other daemons
    /// have the changed list.
    pub async fn remove_daemon(&self, daemon: usize) {
        let url = format!("{}/control/vms/vm-{daemon}", self.base);
        let gone = awc::Client::default().delete(url).send().await;
        assert!(gone.expect("the platform answers").status().is_success());
        tokio::time::sleep(LIST_PROPAGATION_TIME).await;
    }

    /// Waits until a daemon reports that it is ready.
    pub async fn wait_ready(&self, daemon: usize) {
        let url = format!("http://{}/readyz", self.daemons[daemon].admin);
        let ready = async {
            loop {
                if let Ok(answer) = awc::Client::default().get(&url).send().await
                    && answer.status().is_success()
                {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(MAX_WAIT, ready).await.expect("the daemon becomes ready");
    }

    /// Connects to a daemon with the key of the account `press`.
    pub async fn client(&self, daemon: usize, token: Option<&str>) -> Client {
        self.connect(daemon, "press-key", PRESS_KEY, "orders", token).await.expect("a session")
    }

    /// Connects to a daemon with a user, key, route and session token.
    pub async fn connect(
        &self,
        daemon: usize,
        user: &str,
        key: &str,
        route: &str,
        token: Option<&str>,
    ) -> Result<Client, tokio_postgres::Error> {
        let address = self.daemons[daemon].callers;
        let mut config = tokio_postgres::Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(user)
            .password(key)
            .dbname(route);
        if let Some(token) = token {
            config.options(format!("-c chicoryhollow.session={token}"));
        }
        let (client, connection) = config.connect(NoTls).await?;
        tokio::spawn(connection);
        Ok(client)
    }
}

async fn start_servers(lag: Duration) -> (Vec<Option<Backend>>, Vec<SocketAddr>) {
    let mut listeners = Vec::new();
    for _ in 0..3 {
        listeners.push(tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port"));
    }
    let addresses: Vec<_> =
        listeners.iter().map(|l| l.local_addr().expect("a bound listener")).collect();
    let members: IndexMap<_, _> =
        addresses.iter().enumerate().map(|(i, a)| (format!("orders-{i}"), *a)).collect();
    let start = |(i, listener)| {
        let mut options = BackendOptions::new(format!("orders-{i}"), members.clone());
        options.initial_primary = i == 0;
        options.apply_lag = lag;
        Some(Backend::new(options, listener).expect("a new server"))
    };
    (listeners.into_iter().enumerate().map(start).collect(), addresses)
}

fn configuration(addresses: &[SocketAddr]) -> Configuration {
    let mut configuration = Configuration::default();
    let mut group = Group::default();
    for (i, address) in addresses.iter().enumerate() {
        let data_centre = ["a", "b", "c"][i];
        configuration
            .data_centres
            .insert(data_centre.parse().expect("a valid name"), DataCentre::default());
        let server = Server {
            address: *address,
            data_centre: data_centre.parse().expect("a valid name"),
            slots: 3,
            connections: 20,
            service: Default::default(),
        };
        group.servers.insert(format!("orders-{i}").parse().expect("a valid name"), server);
    }
    configuration.groups.insert("orders".parse().expect("a valid name"), group);
    for (account, key) in [("press", PRESS_KEY), ("clinic", CLINIC_KEY)] {
        let name = account.parse().expect("a valid name");
        let rate = Rate::new(10_000.0).expect("a valid rate");
        let burst = Burst::new(10_000.0).expect("a valid burst");
        configuration.accounts.insert(name, Account { rate, burst, weight: 1 });
        let verifier = Verifier::new(key, [7; 16], 4_096);
        let account = account.parse().expect("a valid name");
        let name = format!("{account}-key").parse().expect("a valid name");
        configuration.keys.insert(name, Key { account, verifier });
    }
    let route = Route {
        group: "orders".parse().expect("a valid name"),
        accounts: vec!["press".parse().expect("a valid name")],
        open_account: None,
        max_age_ms: None,
        idempotent: false,
    };
    let open_account = Some("clinic".parse().expect("a valid name"));
    let open = Route { accounts: Vec::new(), open_account, ..route.clone() };
    configuration.routes.insert("orders".parse().expect("a valid name"), route);
    let aged = Route { max_age_ms: Some(MAX_AGE_MS), ..open.clone() };
    configuration.routes.insert("aged".parse().expect("a valid name"), aged);
    configuration.routes.insert("open".parse().expect("a valid name"), open);
    configuration.sort();
    configuration
}

impl Daemon {
    async fn wait_listening(&mut self) {
        while tokio::net::TcpStream::connect(self.admin).await.is_err() {
            let ended = self.child.try_wait().expect("the process can be asked");
            assert!(ended.is_none(), "the daemon ended: {ended:?}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Returns a loopback address that no other daemon of this or another test uses. Ports of
/// one shared address could be taken between being chosen and being bound.
fn unused_address() -> Ipv4Addr {
    static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 128, low, NEXT_HOST.fetch_add(1, Ordering::Relaxed))
}
