//! A database group of stand-in backend servers inside the test process.

// Each test file uses only some of these helpers.
#![allow(dead_code, unreachable_pub)]

use std::{net::SocketAddr, time::Duration};

use chicoryhollow_testkit::backend::{Backend, BackendOptions, CONTROL_ROLE};
use indexmap::IndexMap;
use tokio::net::TcpListener;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage, SimpleQueryRow};

/// Longest wait for an event that should happen immediately.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Servers `s0`, `s1`, … The first one starts as the primary.
pub struct Group {
    pub addresses: Vec<SocketAddr>,
    pub servers: Vec<Option<Backend>>,
}

impl Group {
    /// Starts `count` servers and lets `change` set their options.
    pub async fn start(count: usize, change: impl Fn(usize, &mut BackendOptions)) -> Self {
        let mut listeners = Vec::new();
        for _ in 0..count {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.expect("a free port"));
        }
        let address = |l: &TcpListener| l.local_addr().expect("a bound listener");
        let addresses: Vec<_> = listeners.iter().map(address).collect();
        let members: IndexMap<_, _> =
            addresses.iter().enumerate().map(|(i, a)| (format!("s{i}"), *a)).collect();
        let start = |(i, listener)| {
            let mut options = BackendOptions::new(format!("s{i}"), members.clone());
            options.initial_primary = i == 0;
            change(i, &mut options);
            Some(Backend::new(options, listener).expect("a new server"))
        };
        let servers = listeners.into_iter().enumerate().map(start).collect();
        Group { addresses, servers }
    }

    /// Connects to a server with the role of the proxy.
    pub async fn client(&self, server: usize) -> Client {
        self.connect(server, "chicoryhollow").await.expect("a connection")
    }

    /// Connects to a server with the control role.
    pub async fn control(&self, server: usize) -> Client {
        self.connect(server, CONTROL_ROLE).await.expect("a connection")
    }

    /// Connects to a server with a role.
    pub async fn connect(
        &self,
        server: usize,
        role: &str,
    ) -> Result<Client, tokio_postgres::Error> {
        let address = self.addresses[server];
        let config = format!("host={} port={} user={role}", address.ip(), address.port());
        let (client, connection) = tokio_postgres::connect(&config, NoTls).await?;
        tokio::spawn(connection);
        Ok(client)
    }

    /// Waits until a status column of a server is at least `value`.
    pub async fn wait_for(&self, server: usize, column: &str, value: u64) {
        let control = self.control(server).await;
        let poll = async {
            while number(&row(&control, "status()").await, column) < value {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, poll).await.expect("the server reaches the value");
    }
}

/// Calls a control function and returns its row.
pub async fn row(control: &Client, call: &str) -> SimpleQueryRow {
    try_row(control, call).await.expect("an answer")
}

/// Calls a control function that may fail.
pub async fn try_row(
    control: &Client,
    call: &str,
) -> Result<SimpleQueryRow, tokio_postgres::Error> {
    let text = format!("SELECT * FROM chicoryhollow.{call}");
    let messages = control.simple_query(&text).await?;
    let rows = messages.into_iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    Ok(rows.expect("one row"))
}

/// Reads a numeric column.
pub fn number(row: &SimpleQueryRow, column: &str) -> u64 {
    row.get(column).expect("the column").parse().expect("a number")
}

/// Returns the SQLSTATE of an error.
pub fn code(error: &tokio_postgres::Error) -> &str {
    error.code().map_or("none", |code| code.code())
}
