//! Entry point of the testkit's executables: roles, runtime and exit code.

use std::{future::Future, process::ExitCode};

use crate::cluster::{ClusterError, run_role};

/// Runs an executable that may start a cluster.
///
/// A cluster starts its stand-ins by calling the same executable with the name
/// of a role. If the command line names a role, that role runs; otherwise
/// `main` does. An error of `main` is printed and gives a failure exit code.
pub fn run(main: impl AsyncFnOnce() -> Result<ExitCode, ClusterError>) -> ExitCode {
    if let Some(code) = run_role() {
        return code;
    }
    match block_on(main()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a future on a multi-threaded runtime and waits for its result.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    let system = actix_web::rt::System::with_tokio_rt(|| {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder.enable_all().build().expect("the operating system gives threads")
    });
    system.block_on(future)
}
