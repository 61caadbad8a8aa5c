//! A random search for a sequence of faults after which a window has two different reports.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use chicoryhollow_core::{
    usage::{Ledger, LedgerRow, Restore, Step, TrueTime, WindowId},
    version::{DirectoryVersion, Era},
};
use rand::{Rng, RngExt, SeedableRng, rngs::SmallRng};

use super::{FIRST, decided, schedule};

const VMS: usize = 3;
const STEPS: usize = 400;
const SEEDS: u64 = 1_500;

/// Bound on the difference between what two VMs take for true time, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 1_000;

/// A write in flight.
#[derive(Clone)]
struct Write {
    expected: DirectoryVersion,
    row: LedgerRow,
}

/// The rows of a store that checks only the numbers of versions.
#[derive(Clone, Default)]
struct Store {
    era: u32,
    number: u64,
    rows: BTreeMap<Era, (LedgerRow, u64)>,
}

impl Store {
    fn era(&self) -> Era {
        Era::new(self.era)
    }

    /// Executes a write; returns the new version if the precondition holds.
    fn execute(&mut self, write: &Write) -> Option<DirectoryVersion> {
        let era = write.expected.era();
        let present = self.rows.get(&era).map_or(0, |(_, number)| *number);
        if present != write.expected.number() {
            return None;
        }
        self.number += 1;
        self.rows.insert(era, (write.row.clone(), self.number));
        (era == self.era()).then(|| DirectoryVersion::new(self.era(), self.number))
    }
}

struct Vm {
    ledger: Ledger,
    holds: bool,
    /// Whether no other VM held the role since this one read the row, as the lease ensures.
    knows_all: bool,
    /// When it learnt of the last restore.
    learnt: u64,
}

impl Vm {
    fn new(learnt: u64) -> Self {
        Vm { ledger: Ledger::new(schedule()), holds: false, knows_all: false, learnt }
    }
}

struct World {
    rng: SmallRng,
    now_ms: u64,
    store: Store,
    copies: Vec<Store>,
    vms: Vec<Vm>,
    late_writes: Vec<Write>,
    late_calls: Vec<(WindowId, u64)>,
    reported: HashMap<WindowId, u64>,
}

impl World {
    fn new(seed: u64) -> Self {
        let now_ms = schedule().end(FIRST).as_micros() / 1_000;
        World {
            rng: SmallRng::seed_from_u64(seed),
            now_ms,
            store: Store::default(),
            copies: Vec::new(),
            vms: (0..VMS).map(|_| Vm::new(now_ms)).collect(),
            late_writes: Vec::new(),
            late_calls: Vec::new(),
            reported: HashMap::new(),
        }
    }

    fn advance(&mut self) {
        self.now_ms += self.rng.random_range(0..1_500);
        let vm = self.rng.random_range(0..VMS);
        match self.rng.random_range(0..100) {
            0..6 => self.take_role(vm),
            // A VM that has lost the role does not know it yet, or a task of it goes on.
            6..9 => self.overlap(vm),
            9..12 => self.vms[vm] = Vm::new(self.now_ms),
            12..16 => self.copies.push(self.store.clone()),
            16..18 => self.restore(),
            18..24 => self.execute_late(),
            _ => self.step(vm),
        }
    }

    fn take_role(&mut self, vm: usize) {
        for (i, other) in self.vms.iter_mut().enumerate() {
            other.holds = i == vm;
            other.ledger.forget();
            other.knows_all = false;
        }
    }

    /// Two VMs hold the role, which the lease prevents as long as clocks run evenly. No VM may
    /// then trust that it knows all decisions.
    fn overlap(&mut self, vm: usize) {
        self.vms[vm].holds = true;
        self.vms.iter_mut().for_each(|vm| vm.knows_all = false);
    }

    fn restore(&mut self) {
        let Some(copy) = self.copies.pop() else { return };
        self.store = Store { era: self.store.era + 1, ..copy };
        self.copies.clear();
        let now_ms = self.now_ms + self.rng.random_range(0..800);
        self.vms.iter_mut().for_each(|vm| vm.learnt = now_ms);
    }

    /// Executes a call that was sent before, after newer ones.
    fn execute_late(&mut self) {
        if !self.late_writes.is_empty() {
            let write = self.late_writes.remove(self.rng.random_range(0..self.late_writes.len()));
            self.store.execute(&write);
        }
        if !self.late_calls.is_empty() {
            let (window, count) =
                self.late_calls.remove(self.rng.random_range(0..self.late_calls.len()));
            self.report(window, count);
        }
    }

    fn report(&mut self, window: WindowId, count: u64) {
        let known = *self.reported.entry(window).or_insert(count);
        assert_eq!(known, count, "window {window:?} has two reports");
    }

    fn step(&mut self, vm: usize) {
        if !self.vms[vm].holds {
            return;
        }
        let skew = self.rng.random_range(0..CLOCK_MARGIN_MS / 2);
        let now = TrueTime::from_micros((self.now_ms + skew) * 1_000);
        match self.vms[vm].ledger.next_step(FIRST, now) {
            Step::Read => self.read(vm),
            Step::Decide(window) => self.decide(vm, window),
            Step::Report(_) | Step::Wait => {}
        }
        self.send(vm);
    }

    fn read(&mut self, vm: usize) {
        if self.rng.random_bool(0.2) {
            return;
        }
        let era = self.store.era();
        let newest = self.store.rows.last_key_value().map(|(era, row)| (*era, row.clone()));
        let is_only = self.vms.iter().filter(|vm| vm.holds).count() == 1;
        let state = &mut self.vms[vm];
        match newest {
            Some((found, (row, number))) if found == era => {
                state.ledger.record_row(row, DirectoryVersion::new(era, number));
            }
            newest => {
                let learnt = TrueTime::from_micros((state.learnt + CLOCK_MARGIN_MS) * 1_000);
                let restore = Restore { learnt, knows_all: state.knows_all && is_only };
                let earlier = newest.and_then(|(_, (row, _))| row.through);
                state.ledger.record_missing(era, earlier, restore);
            }
        }
        state.knows_all = is_only;
    }

    /// Writes a decision, which is different each time.
    fn decide(&mut self, vm: usize, window: WindowId) {
        let Some(expected) = self.vms[vm].ledger.version() else { return };
        let row = self.vms[vm].ledger.decide(decided(window, self.rng.next_u64()));
        let write = Write { expected, row };
        let fault = self.rng.random_range(0..10);
        if fault == 0 {
            self.late_writes.push(write.clone());
        }
        let version = if fault < 2 { None } else { self.store.execute(&write) };
        let ledger = &mut self.vms[vm].ledger;
        match version.filter(|_| fault != 2) {
            Some(version) => ledger.record_written(write.row, version),
            None => ledger.forget(),
        }
    }

    fn send(&mut self, vm: usize) {
        let ledger = &self.vms[vm].ledger;
        let Some(open) = ledger.open().first().filter(|_| ledger.version().is_some()) else {
            return;
        };
        let (window, count) = (open.window, open.counts.values().sum());
        match self.rng.random_range(0..10) {
            0..2 => self.late_calls.push((window, count)),
            2 => {}
            3 => self.report(window, count),
            _ => {
                self.report(window, count);
                self.vms[vm].ledger.record_reported(window);
            }
        }
    }
}

/// Guards against two different reports of one window under any sequence of holder changes,
/// lost and late answers, overlapping holders and restores.
#[test]
fn no_window_has_two_different_reports() {
    let mut windows = 0;
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        (0..STEPS).for_each(|_| world.advance());
        windows += world.reported.len();
    }
    let mean = windows as f64 / SEEDS as f64;
    let span = Duration::from_millis(STEPS as u64 * 750).as_secs_f64() / 5.0;
    assert!(mean > span / 3.0, "{mean} of {span} windows are reported");
}
