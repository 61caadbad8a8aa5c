//! Runs one stand-in backend server in its own process.

use std::process::ExitCode;

use chicoryhollow_testkit::backend::{Backend, USAGE, parse_arguments};
use tokio::net::TcpListener;

fn main() -> ExitCode {
    let (options, address) = match parse_arguments(std::env::args_os().skip(1).collect()) {
        Ok(parsed) => parsed,
        Err(error) => {
            eprintln!("{error}\nUsage: backend {USAGE}");
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
    options: chicoryhollow_testkit::backend::BackendOptions,
    address: std::net::SocketAddr,
) -> Result<(), Box<dyn std::error::Error>> {
    let listener = TcpListener::bind(address).await?;
    Backend::new(options, listener)?.join().await;
    Ok(())
}
