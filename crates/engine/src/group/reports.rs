//! What other VMs have told about a group's failovers.

use chicoryhollow_core::{DataCentreId, Term, Time, failover::Announcement};
use indexmap::IndexMap;

/// What other VMs have told about a group's failovers, and when they answered.
#[derive(Debug, Default)]
pub(crate) struct PeerReports {
    /// Newest failover that may run.
    failover: Option<Announcement>,
    /// Newest term in which another VM knows a primary to lead.
    term: Term,
    /// When the newest question was sent that a VM of each data centre has answered.
    contacts: IndexMap<DataCentreId, Time>,
}

impl PeerReports {
    /// Records a failover that may run; returns whether this VM did not know of it.
    pub(crate) fn record_failover(&mut self, failover: Announcement) -> bool {
        let is_new = failover.is_newer(self.failover.as_ref());
        if is_new {
            self.failover = Some(failover);
        }
        is_new
    }

    /// Returns the newest failover that may run.
    pub(crate) fn failover(&self) -> Option<Announcement> {
        self.failover
    }

    /// Records a term in which another VM knows a primary to lead.
    pub(crate) fn record_term(&mut self, term: Term) {
        self.term = self.term.max(term);
    }

    /// Returns the newest term in which another VM knows a primary to lead.
    pub(crate) fn term(&self) -> Term {
        self.term
    }

    /// Records that a VM of `data_centre` has answered a question that was sent at `asked`.
    pub(crate) fn record_contact(&mut self, data_centre: DataCentreId, asked: Time) {
        let newest = self.contacts.entry(data_centre).or_insert(asked);
        *newest = asked.max(*newest);
    }

    /// Returns when the newest question was sent that a VM of one of the data centres that
    /// `counts` accepts has answered.
    pub(crate) fn contact(&self, counts: impl Fn(&DataCentreId) -> bool) -> Option<Time> {
        self.contacts.iter().filter(|(other, _)| counts(other)).map(|(_, asked)| *asked).max()
    }
}
