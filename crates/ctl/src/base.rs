//! Stores in a directory which version its files were last published as.
//!
//! Two operators who edit copies of the same version must not undo each other's
//! changes unnoticed. With the base file, `apply` detects files that are based on a
//! version that is no longer in force.

use std::{fs, io, path::Path};

use chicoryhollow_config::ContentHash;
use serde::{Deserialize, Serialize};

/// Name of the base file in the directory.
pub const BASE_FILE_NAME: &str = ".chicoryhollow-base";

/// The version that the files of a directory were last published as.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BaseFile {
    /// Version of the configuration.
    pub version: u64,
    /// Its content hash.
    pub hash: ContentHash,
}

impl BaseFile {
    /// Reads the base file of a directory; `None` if it is missing or malformed.
    pub fn read(directory: &Path) -> Option<BaseFile> {
        let text = fs::read(directory.join(BASE_FILE_NAME)).ok()?;
        serde_json::from_slice(&text).ok()
    }

    /// Writes the base file of a directory.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write(&self, directory: &Path) -> io::Result<()> {
        let text = serde_json::to_vec(self).expect("a base file is always JSON");
        fs::write(directory.join(BASE_FILE_NAME), text)
    }
}
