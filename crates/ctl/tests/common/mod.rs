//! A platform in memory, and temporary directories of configuration files.

#![allow(dead_code, reason = "each test binary uses a part of this module")]

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    fs,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
};

use chicoryhollow_store::{Platform, PlatformError, Row, Swap, Vm};
use serde_json::Value;

/// What happens to one write to the row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteOutcome {
    /// It takes effect and its answer arrives.
    Answered,
    /// The request is lost.
    RequestLost,
    /// It takes effect but its answer is lost.
    AnswerLost,
    /// It takes effect, its answer is lost, and the platform goes down.
    AnswerLostThenDown,
}

/// A platform in memory whose writes to the row have the given outcomes.
#[derive(Default)]
pub(crate) struct MemoryPlatform {
    rows: RefCell<HashMap<String, Row>>,
    objects: RefCell<HashMap<String, Vec<u8>>>,
    outcomes: RefCell<VecDeque<WriteOutcome>>,
    vms: RefCell<Vec<Vm>>,
    down: RefCell<bool>,
}

impl MemoryPlatform {
    pub(crate) fn with_outcomes(outcomes: &[WriteOutcome]) -> Self {
        let platform = MemoryPlatform::default();
        platform.outcomes.borrow_mut().extend(outcomes);
        platform
    }

    pub(crate) fn with_vms(vms: Vec<Vm>) -> Self {
        let platform = MemoryPlatform::default();
        *platform.vms.borrow_mut() = vms;
        platform
    }

    pub(crate) fn set_down(&self, down: bool) {
        *self.down.borrow_mut() = down;
    }

    /// Lets the next write take effect without an answer; then the platform is down.
    pub(crate) fn lose_next_answer_and_go_down(&self) {
        self.outcomes.borrow_mut().push_back(WriteOutcome::AnswerLostThenDown);
    }

    pub(crate) fn version(&self, key: &str) -> u64 {
        self.rows.borrow().get(key).map_or(0, |row| row.version)
    }

    pub(crate) fn object_names(&self) -> Vec<String> {
        let mut names: Vec<_> = self.objects.borrow().keys().cloned().collect();
        names.sort();
        names
    }

    fn answer<T>(&self, answer: T) -> Result<T, PlatformError> {
        if *self.down.borrow() { Err(unavailable()) } else { Ok(answer) }
    }

    fn write(&self, key: &str, expect: u64, value: Value) -> Swap {
        let mut rows = self.rows.borrow_mut();
        let present = rows.get(key).cloned();
        if present.as_ref().map_or(0, |row| row.version) != expect {
            return Swap::Conflict(present);
        }
        let row = Row { version: expect + 1, value };
        rows.insert(key.to_owned(), row.clone());
        Swap::Done(row)
    }
}

fn unavailable() -> PlatformError {
    PlatformError::Unavailable("no answer".to_owned())
}

impl Platform for MemoryPlatform {
    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        self.answer(self.rows.borrow().get(key).cloned())
    }

    async fn swap(&self, key: &str, expect: u64, value: Value) -> Result<Swap, PlatformError> {
        self.answer(())?;
        let outcome = self.outcomes.borrow_mut().pop_front().unwrap_or(WriteOutcome::Answered);
        if outcome == WriteOutcome::RequestLost {
            return Err(unavailable());
        }
        let swap = self.write(key, expect, value);
        self.down.replace(outcome == WriteOutcome::AnswerLostThenDown);
        if outcome == WriteOutcome::Answered { Ok(swap) } else { Err(unavailable()) }
    }

    async fn object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        self.answer(self.objects.borrow().get(name).cloned())
    }

    async fn store(&self, name: &str, bytes: Vec<u8>) -> Result<(), PlatformError> {
        self.answer(())?;
        self.objects.borrow_mut().insert(name.to_owned(), bytes);
        Ok(())
    }

    async fn vms(&self) -> Result<Vec<Vm>, PlatformError> {
        self.answer(self.vms.borrow().clone())
    }
}

/// A directory that is removed at the end of a test.
pub(crate) struct Directory(PathBuf);

impl Directory {
    /// Creates a directory with one configuration file.
    pub(crate) fn new(content: &str) -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("chicoryctl-test-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path).expect("a new directory");
        let directory = Directory(path);
        directory.write(content);
        directory
    }

    /// Replaces the configuration file.
    pub(crate) fn write(&self, content: &str) {
        fs::write(self.0.join("sites.jsonc"), content).expect("a file in the directory");
    }

    pub(crate) fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns the content of a file with the given data centres.
pub(crate) fn data_centres(names: &[&str]) -> String {
    let entries: Vec<_> = names.iter().map(|name| format!("\"{name}\": {{}}")).collect();
    format!("{{ \"data_centres\": {{ {} }} }}", entries.join(", "))
}
