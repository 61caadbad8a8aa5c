//! Paths of the product's binaries, which are next to the running executable.

use std::{
    path::{Path, PathBuf},
    process::Command,
};

use crate::cluster::ClusterError;

/// Paths of the two binaries.
#[derive(Clone, Debug)]
pub(super) struct Binaries {
    pub(super) daemon: PathBuf,
    pub(super) control: PathBuf,
}

impl Binaries {
    /// Finds the binaries of this executable's build profile. If Cargo runs the
    /// executable, it builds the binaries first, so that they are up to date.
    pub(super) fn find() -> Result<Self, ClusterError> {
        let executable = std::env::current_exe()?;
        let directory = profile_directory(&executable)
            .ok_or_else(|| ClusterError::Request("executable outside a target directory".into()))?;
        let arguments = build_arguments(directory);
        build(&arguments)?;
        let found = Binaries {
            daemon: directory.join("chicoryhollow"),
            control: directory.join("chicoryctl"),
        };
        for path in [&found.daemon, &found.control] {
            if !path.is_file() {
                let command = format!("cargo {}", arguments.join(" "));
                return Err(ClusterError::Binary { path: path.clone(), command });
            }
        }
        Ok(found)
    }
}

fn build_arguments(directory: &Path) -> Vec<&'static str> {
    let mut arguments = vec!["build"];
    if directory.ends_with("release") {
        arguments.push("--release");
    }
    arguments.extend(["-p", "chicoryhollow-proxy", "-p", "chicoryhollow-ctl", "--bins"]);
    arguments
}

fn build(arguments: &[&str]) -> Result<(), ClusterError> {
    // Cargo sets this variable for the programs that it runs.
    let Some(cargo) = std::env::var_os("CARGO") else { return Ok(()) };
    // A first build takes minutes, during which nothing else is printed.
    eprintln!("building: cargo {}", arguments.join(" "));
    let status = Command::new(cargo).args(arguments).arg("--quiet").status()?;
    match status.success() {
        true => Ok(()),
        false => Err(ClusterError::Request("cargo cannot build the daemon".to_owned())),
    }
}

/// Returns the directory of the build profile. The binaries are in it; examples
/// and tests are one level below.
fn profile_directory(executable: &Path) -> Option<&Path> {
    let directory = executable.parent()?;
    match directory.file_name()?.to_str()? {
        "examples" | "deps" => directory.parent(),
        _ => Some(directory),
    }
}
