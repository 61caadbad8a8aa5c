//! Processes of a cluster.
//!
//! The stand-ins run in the executable of the cluster itself, which is started
//! again with the name of their role. A guard process ends after all
//! others: if the cluster's own process ends unexpectedly, the guard kills the
//! processes that are left.

use std::{
    ffi::OsStr,
    fs::File,
    io::{self, BufRead, Read, Write},
    net::{SocketAddr, TcpListener},
    path::Path,
    process::{Child, ChildStdin, Command, ExitCode, Stdio},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

use crate::backend::{Backend, parse_arguments};

const BACKEND_ROLE: &str = "stand-in-backend";
const PLATFORM_ROLE: &str = "stand-in-platform";
const GUARD_ROLE: &str = "process-guard";

/// Runs the role that the command line names and returns its exit code, or `None`
/// if there is no role.
///
/// Every executable that starts a [`Cluster`](crate::cluster::Cluster) calls
/// this first.
pub fn run_role() -> Option<ExitCode> {
    let role = std::env::args().nth(1)?;
    let result = match role.as_str() {
        BACKEND_ROLE => run_backend(),
        PLATFORM_ROLE => run_platform(),
        GUARD_ROLE => run_guard(),
        _ => return None,
    };
    Some(match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{role}: {error}");
            ExitCode::FAILURE
        }
    })
}

fn run_backend() -> io::Result<()> {
    let arguments = std::env::args_os().skip(2).collect();
    let (options, address) = parse_arguments(arguments).map_err(io::Error::other)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind(address).await?;
        Backend::new(options, listener).map_err(io::Error::other)?.join().await;
        Ok(())
    })
}

fn run_platform() -> io::Result<()> {
    let address = std::env::args().nth(2).unwrap_or_default();
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let listener = TcpListener::bind(address)?;
    actix_web::rt::System::new().block_on(async { crate::platform::serve(listener)?.await })
}

/// Reads lines `+PID` and `-PID` for processes that started and ended. When the
/// input ends, kills the processes that are left and removes the cluster's
/// directory. A cluster that ended normally has already done both.
fn run_guard() -> io::Result<()> {
    let mut alive = std::collections::HashSet::new();
    for line in io::stdin().lock().lines() {
        let line = line?;
        let Ok(process) = line.get(1..).unwrap_or_default().parse::<i32>() else { continue };
        match line.starts_with('+') {
            true => alive.insert(process),
            false => alive.remove(&process),
        };
    }
    let directory = std::env::args_os().nth(2).filter(|_| !alive.is_empty());
    for process in alive {
        // The signal fails if the process has already ended by itself.
        let _ = kill(Pid::from_raw(process), Signal::SIGKILL);
    }
    directory.map_or(Ok(()), std::fs::remove_dir_all)
}

/// Handle of the guard process, held by the cluster's own process.
#[derive(Debug)]
pub(super) struct Guard {
    child: Child,
    input: Option<ChildStdin>,
}

impl Guard {
    pub(super) fn new(directory: &Path) -> io::Result<Self> {
        let mut command = Command::new(std::env::current_exe()?);
        command.arg(GUARD_ROLE).arg(directory).stdin(Stdio::piped());
        let mut child = command.spawn()?;
        let input = child.stdin.take();
        Ok(Guard { child, input })
    }

    fn send(&mut self, line: &str) {
        if let Some(input) = &mut self.input {
            // If the guard is gone, children are still killed on drop.
            let _ = writeln!(input, "{line}");
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.input = None;
        let _ = self.child.wait();
    }
}

/// A process of the cluster. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program and appends its output to the file `log`.
    pub(super) fn new(
        guard: &mut Guard,
        program: impl AsRef<OsStr>,
        args: &[String],
        log: &Path,
    ) -> io::Result<Self> {
        let output = File::options().create(true).append(true).open(log)?;
        let errors = output.try_clone()?;
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::null()).stdout(output).stderr(errors);
        let process = Process { child: command.spawn()? };
        guard.send(&format!("+{}", process.id()));
        Ok(process)
    }

    /// Starts a stand-in backend server.
    pub(super) fn backend(guard: &mut Guard, args: &[String], log: &Path) -> io::Result<Self> {
        let args: Vec<_> = std::iter::once(BACKEND_ROLE.to_owned()).chain(args.to_vec()).collect();
        Process::new(guard, std::env::current_exe()?, &args, log)
    }

    /// Starts the stand-in platform.
    pub(super) fn platform(guard: &mut Guard, address: SocketAddr, log: &Path) -> io::Result<Self> {
        let args = [PLATFORM_ROLE.to_owned(), address.to_string()];
        Process::new(guard, std::env::current_exe()?, &args, log)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&mut self, signal: Signal) {
        if self.has_ended() {
            return;
        }
        if let Ok(id) = i32::try_from(self.child.id()) {
            // The child has not been waited for, so no other process has its id.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Kills the process, waits for its end and reports it to the guard.
    pub(super) fn end(mut self, guard: &mut Guard) {
        let id = self.id();
        self.kill();
        guard.send(&format!("-{id}"));
    }

    fn kill(&mut self) {
        if !self.has_ended() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Blocks until the end of standard input.
pub(super) fn wait_for_input_end() {
    let mut buffer = [0; 1_024];
    let mut input = io::stdin().lock();
    while matches!(input.read(&mut buffer), Ok(1..)) {}
}

/// Waits until the process is asked to end: by SIGTERM, by SIGINT, or by the end
/// of its standard input.
///
/// # Errors
///
/// Returns an error if signals cannot be received.
pub async fn wait_for_shutdown() -> io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let (mut term, mut interrupt) =
        (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let (ended, mut input) = tokio::sync::mpsc::channel::<()>(1);
    // A separate thread, since the runtime would wait for the blocked read when it
    // shuts down.
    std::thread::spawn(move || {
        wait_for_input_end();
        drop(ended);
    });
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
        _ = input.recv() => {}
    }
    Ok(())
}
