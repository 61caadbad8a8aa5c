//! Runs one stand-in backend server as a process of its own.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use chicoryhollow_testkit::backend::{Backend, BackendOptions};
use indexmap::IndexMap;
use pico_args::Arguments;
use tokio::net::TcpListener;

const USAGE: &str = "\
Usage: backend --server NAME --address IP:PORT [OPTIONS] [NAME=IP:PORT ...]

The free arguments are the members of the group, this server included.

  --slots N              statements that run at once
  --connections N        connections accepted for statements
  --connect-delay-ms N   time that a new connection takes
  --statement-ms N       time that a statement holds its slot
  --ship-delay-ms N      delay with which records reach this server
  --apply-lag-ms N       delay with which received records are applied
  --initial-primary      begin as the primary of term 1";

fn main() -> ExitCode {
    let (options, address) = match parse(Arguments::from_env()) {
        Ok(parsed) => parsed,
        Err(error) => {
            eprintln!("{error}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    match run(options, address) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn run(
    options: BackendOptions,
    address: SocketAddr,
) -> Result<(), Box<dyn std::error::Error>> {
    let listener = TcpListener::bind(address).await?;
    Backend::new(options, listener)?.join().await;
    Ok(())
}

fn parse(mut args: Arguments) -> Result<(BackendOptions, SocketAddr), String> {
    let text = |e: pico_args::Error| e.to_string();
    let server: String = args.value_from_str("--server").map_err(text)?;
    let address = args.value_from_str("--address").map_err(text)?;
    let mut options = BackendOptions::new(server, IndexMap::new());
    let mut number = |name: &'static str, default: u64| {
        args.opt_value_from_str(name).map(|n| n.unwrap_or(default)).map_err(text)
    };
    options.slots = number("--slots", 8)? as usize;
    options.connections = number("--connections", 100)? as usize;
    options.connect_delay = Duration::from_millis(number("--connect-delay-ms", 0)?);
    options.statement_time = Duration::from_millis(number("--statement-ms", 0)?);
    options.ship_delay = Duration::from_millis(number("--ship-delay-ms", 0)?);
    options.apply_lag = Duration::from_millis(number("--apply-lag-ms", 0)?);
    options.initial_primary = args.contains("--initial-primary");
    for member in args.finish() {
        let member = member.to_string_lossy().into_owned();
        let (name, address) = member.split_once('=').ok_or("members have the form NAME=IP:PORT")?;
        let address = address.parse().map_err(|_| format!("{address} is no address"))?;
        options.members.insert(name.to_owned(), address);
    }
    Ok((options, address))
}
