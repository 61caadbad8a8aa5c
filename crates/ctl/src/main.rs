//! The program `chicoryctl`, the operators' command line of chicoryhollow.

use std::{process::ExitCode, time::Duration};

use chicoryhollow_ctl::{
    args::{Arguments, Invocation},
    commands,
    output::{self, Failure},
};
use chicoryhollow_store::HttpPlatform;

/// Longest wait for the answer to one request to the platform.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    match Arguments::parse(std::env::args_os().skip(1).collect()) {
        Ok(Invocation::Print(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Invocation::Run(arguments)) => run(&arguments),
        Err(error) => output::print_failure(&Failure::usage(error), false),
    }
}

fn run(arguments: &Arguments) -> ExitCode {
    let answer = actix_web::rt::System::new().block_on(async {
        let platform = HttpPlatform::new(arguments.platform.clone(), REQUEST_TIMEOUT);
        commands::run(&platform, arguments).await
    });
    output::print(answer, arguments.json)
}
