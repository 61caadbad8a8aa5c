//! Runs the stand-in platform in its own process.

use std::{
    net::{SocketAddr, TcpListener},
    process::ExitCode,
};

use pico_args::Arguments;

const USAGE: &str = "Usage: platform --address IP:PORT";

#[actix_web::main]
async fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    let address: SocketAddr = match args.value_from_str("--address") {
        Ok(address) => address,
        Err(error) => {
            eprintln!("{error}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let served =
        async { chicoryhollow_testkit::platform::serve(TcpListener::bind(address)?)?.await };
    match served.await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
