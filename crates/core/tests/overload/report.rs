//! Operations of a replay and what became of them.

use chicoryhollow_core::admission::Grant;

use super::{CLASSES, home::Ticket};

/// An operation of a caller and what became of it.
pub(super) struct Operation {
    pub(super) class: usize,
    pub(super) account: usize,
    pub(super) group: usize,
    pub(super) born: u64,
    pub(super) answered: Option<u64>,
    pub(super) tries: u32,
    /// Number of the current step; events of earlier ones no longer apply.
    pub(super) step: u32,
    pub(super) started: u64,
    pub(super) home: usize,
    pub(super) ticket: Option<Ticket>,
    pub(super) grant: Option<Grant>,
}

/// What became of the operations of a replay.
pub(crate) struct Report {
    pub(super) operations: Vec<Operation>,
    pub(super) opened: usize,
    pub(super) rejected: usize,
}

impl Report {
    fn began(&self, from: f64, to: f64) -> impl Iterator<Item = &Operation> {
        let span = (from * 1e6) as u64..(to * 1e6) as u64;
        self.operations.iter().filter(move |operation| span.contains(&operation.born))
    }

    /// Returns the operations answered within their objective, per second.
    pub(crate) fn goodput(&self, from: f64, to: f64) -> f64 {
        self.began(from, to).filter(|one| one.is_in_time()).count() as f64 / (to - from)
    }

    /// Returns the share that was answered within its objective, of the operations of a class
    /// by an account that satisfies `is_counted`.
    pub(crate) fn share(
        &self,
        class: usize,
        from: f64,
        to: f64,
        is_counted: fn(usize) -> bool,
    ) -> f64 {
        let all = self.began(from, to).filter(|one| one.class == class && is_counted(one.account));
        let (all, in_time) = all.fold((0.0, 0.0), |(all, in_time), one| {
            (all + 1.0, in_time + f64::from(u8::from(one.is_in_time())))
        });
        in_time / f64::max(all, 1.0)
    }

    /// Returns the connections opened for each operation.
    pub(crate) fn opened_share(&self) -> f64 {
        self.opened as f64 / self.operations.len() as f64
    }

    /// Returns the rejections by servers for each operation.
    pub(crate) fn rejected_share(&self) -> f64 {
        self.rejected as f64 / self.operations.len() as f64
    }
}

impl Operation {
    fn is_in_time(&self) -> bool {
        let objective = CLASSES[self.class].objective;
        self.answered.is_some_and(|answered| answered - self.born <= objective)
    }
}
