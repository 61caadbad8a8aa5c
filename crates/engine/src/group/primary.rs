//! Which server of a group is its primary.
//!
//! Servers tell by their answers, and by their entries in the directory. An entry lags behind: it may
//! still claim the role after another server was promoted. It has no term, so what it claims does not
//! show who leads the newest known term.

use std::time::Duration;

use chicoryhollow_core::{Position, ServerId, Term, Time};

use super::Group;
use crate::catalog::ServerEntry;

/// Time after a server denied being the primary for which its directory entry alone
/// does not make it the primary.
const DENIAL_PERIOD: Duration = Duration::from_millis(1_000);

impl Group {
    /// Makes a server whose entry claims the role the primary, unless the server
    /// denied it recently; returns whether the primary changed.
    pub(crate) fn follow_entries(&mut self, now: Time) -> bool {
        let denied = |server: &ServerId| {
            self.denials.get(server).is_some_and(|time| now.since(*time) < DENIAL_PERIOD)
        };
        let claims = |entry: &&ServerEntry| entry.primary && !denied(&entry.server);
        let found = self.servers.values().find(claims).map(|entry| entry.server.clone());
        if found.is_none() || found == self.view.primary {
            return false;
        }
        self.view.primary = found;
        self.failing_since = None;
        self.unconfirmed_since = None;
        true
    }

    /// Records that `server` answered as the primary with `position`, to a request
    /// sent at `asked`; returns whether the primary or its term changed.
    pub(crate) fn record_primary(
        &mut self,
        server: &ServerId,
        position: Position,
        asked: Time,
        now: Time,
    ) -> bool {
        if position.term() < self.view.term {
            return false;
        }
        let changed = self.adopt(server, position.term());
        self.observed.add(asked, position);
        self.estimates.record_position(position, now);
        self.last_response = now;
        self.failing_since = None;
        changed
    }

    /// Records that `server` is the primary at `term`; returns whether the primary
    /// or its term changed.
    pub(crate) fn adopt(&mut self, server: &ServerId, term: Term) -> bool {
        if term < self.view.term {
            return false;
        }
        self.leader = Some(server.clone());
        if term == self.view.term && self.view.primary.as_ref() == Some(server) {
            return false;
        }
        self.view.term = term;
        self.view.primary = Some(server.clone());
        self.denials.shift_remove(server);
        self.failing_since = None;
        self.unconfirmed_since = None;
        self.estimates.apply_view(&self.view);
        true
    }

    /// Returns the primary if it is known to lead the newest known term. An entry lags behind, and
    /// says nothing of terms.
    pub(crate) fn leader(&self) -> Option<&ServerId> {
        self.leader.as_ref().filter(|leader| self.view.primary.as_ref() == Some(leader))
    }

    /// Records that `server` denied being the primary.
    pub(crate) fn record_denial(&mut self, server: &ServerId, now: Time) {
        self.denials.insert(server.clone(), now);
        if self.view.primary.as_ref() == Some(server) {
            self.view.primary = None;
            self.follow_entries(now);
        }
    }
}

#[cfg(test)]
mod tests {
    use indexmap::IndexMap;

    use super::*;

    fn server(name: &str) -> ServerId {
        name.parse().expect("a valid name")
    }

    /// The entries of `p`, which claims to be the primary, and `r`, which does not.
    fn entries() -> IndexMap<ServerId, ServerEntry> {
        let entry = |(name, primary)| ServerEntry {
            server: server(name),
            group: "orders".parse().expect("a valid name"),
            address: ([127, 0, 0, 1], 5_000).into(),
            data_centre: "a".parse().expect("a valid name"),
            leaving: false,
            primary,
            cold: Duration::ZERO,
            slots: None,
            born: 1,
        };
        let entries = [("p", true), ("r", false)].map(entry);
        entries.into_iter().map(|entry| (entry.server.clone(), entry)).collect()
    }

    /// The late entry of an earlier primary closed an order for it that could still be carried out.
    #[test]
    fn an_entry_does_not_show_who_leads_the_newest_term() {
        let now = Time::from_millis(500);
        let mut group = Group::new("orders".parse().expect("a valid name"), None, now);
        group.set_servers(entries(), now);
        assert_eq!((group.view.primary.clone(), group.leader()), (Some(server("p")), None));
        group.adopt(&server("p"), Term::new(3));
        assert_eq!(group.leader(), Some(&server("p")));
        group.adopt(&server("r"), Term::new(4));
        group.set_servers(entries(), now);
        assert_eq!(group.view.primary, Some(server("p")), "by its entry");
        assert_eq!((group.leader(), group.summary().1.term), (None, Term::default()));
        group.adopt(&server("r"), Term::new(4));
        assert_eq!(group.leader(), Some(&server("r")));
    }
}
