//! The note in a directory of which version its files were last published as.
//!
//! Two operators who edit copies of the same version must not undo each other's
//! change without being told; the note lets `apply` see that the files are based
//! on a version that is no longer in force.

use std::{fs, io, path::Path};

use chicoryhollow_config::ContentHash;
use serde::{Deserialize, Serialize};

/// Name of the note in the directory.
pub const BASE_FILE_NAME: &str = ".chicoryhollow-base";

/// A version that a directory's files were published as.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BaseFile {
    /// Version of the configuration.
    pub version: u64,
    /// Its content hash.
    pub hash: ContentHash,
}

impl BaseFile {
    /// Reads the note of a directory; `None` when there is none or it is damaged.
    pub fn read(directory: &Path) -> Option<BaseFile> {
        let text = fs::read(directory.join(BASE_FILE_NAME)).ok()?;
        serde_json::from_slice(&text).ok()
    }

    /// Writes the note of a directory.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be written.
    pub fn write(&self, directory: &Path) -> io::Result<()> {
        let text = serde_json::to_vec(self).expect("a note is always JSON");
        fs::write(directory.join(BASE_FILE_NAME), text)
    }
}
