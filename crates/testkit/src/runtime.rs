//! The runtime of the testkit's executables.

use std::{future::Future, process::ExitCode};

use crate::cluster::{ClusterError, run_role};

/// Runs an executable that may start a cluster: the role that the command line
/// names, or else `main`.
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

/// Runs a future whose tasks spread over several threads.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    let system = actix_web::rt::System::with_tokio_rt(|| {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder.enable_all().build().expect("the operating system gives threads")
    });
    system.block_on(future)
}
