//! Options and command line of a stand-in backend server.

use std::{ffi::OsString, net::SocketAddr, time::Duration};

use indexmap::IndexMap;
use pico_args::Arguments;

/// Help text of the command line.
pub const USAGE: &str = "\
--server NAME --address IP:PORT [OPTIONS] [NAME=IP:PORT ...]

The free arguments are the members of the group, this server included.

  --slots N              statements that run at once
  --connections N        connections accepted for statements
  --connect-delay-ms N   time that a new connection takes
  --statement-us N       time that a statement holds its slot
  --ship-delay-ms N      delay with which records reach this server
  --apply-lag-ms N       delay with which received records are applied
  --initial-primary      begin as the primary of term 1";

/// Limits, delays and group of a stand-in backend server.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Name of the server.
    pub server: String,
    /// Addresses at which this server reaches the members of its group, by name.
    /// This server is one of them.
    pub members: IndexMap<String, SocketAddr>,
    /// Number of statements that run at once; further ones wait.
    pub slots: usize,
    /// Number of connections that are accepted; those of the control and
    /// replication roles don't count.
    pub connections: usize,
    /// Time that it takes to open a connection.
    pub connect_delay: Duration,
    /// Time that a statement occupies its slot in addition to its execution.
    pub statement_time: Duration,
    /// Delay before shipped records reach this server.
    pub ship_delay: Duration,
    /// Delay before this server applies a record that it has received.
    pub apply_lag: Duration,
    /// Whether the server starts as the primary of term 1.
    pub initial_primary: bool,
}

impl BackendOptions {
    /// Makes the options of a server with 8 slots, 100 connections and no delays.
    pub fn new(server: impl Into<String>, members: IndexMap<String, SocketAddr>) -> Self {
        BackendOptions {
            server: server.into(),
            members,
            slots: 8,
            connections: 100,
            connect_delay: Duration::ZERO,
            statement_time: Duration::ZERO,
            ship_delay: Duration::ZERO,
            apply_lag: Duration::ZERO,
            initial_primary: false,
        }
    }
}

/// Parses the command line of a server into its options and its address.
///
/// # Errors
///
/// Returns a message if an argument is missing or invalid.
pub fn parse_arguments(args: Vec<OsString>) -> Result<(BackendOptions, SocketAddr), String> {
    let mut args = Arguments::from_vec(args);
    let text = |e: pico_args::Error| e.to_string();
    let server: String = args.value_from_str("--server").map_err(text)?;
    let address = args.value_from_str("--address").map_err(text)?;
    let mut options = BackendOptions::new(server, IndexMap::new());
    options.initial_primary = args.contains("--initial-primary");
    let mut number = |name: &'static str, default: u64| {
        args.opt_value_from_str(name).map(|n| n.unwrap_or(default)).map_err(text)
    };
    options.slots = number("--slots", 8)? as usize;
    options.connections = number("--connections", 100)? as usize;
    options.connect_delay = Duration::from_millis(number("--connect-delay-ms", 0)?);
    options.statement_time = Duration::from_micros(number("--statement-us", 0)?);
    options.ship_delay = Duration::from_millis(number("--ship-delay-ms", 0)?);
    options.apply_lag = Duration::from_millis(number("--apply-lag-ms", 0)?);
    for member in args.finish() {
        let member = member.to_string_lossy().into_owned();
        let (name, address) = member.split_once('=').ok_or("members have the form NAME=IP:PORT")?;
        let address = address.parse().map_err(|_| format!("{address} is not an address"))?;
        options.members.insert(name.to_owned(), address);
    }
    Ok((options, address))
}
