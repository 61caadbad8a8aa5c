//! What neighbours tell each other about database groups.
//!
//! `chicoryhollow_core::gossip` decides what is told and when. A group is named once on a
//! link, and terms that are equal are sent once, because the same is said of all groups
//! several times a second.

use std::time::Duration;

use chicoryhollow_core::{
    GroupId, Lsn, Position, ServerId, Term, Time,
    failover::{Announcement, FailoverNumber},
    gossip::{GroupSummary, Spacing, Update},
    naming::{NameNumber, Reference},
};
use chicoryhollow_peer::fleet::{Failover, GroupState};

use crate::{
    engine::Engine,
    fleet::{Fleet, heartbeat::millis, link::Link},
    group::{Group, Source},
    seam::{Directory, ServerProtocol},
};

impl<S: ServerProtocol, D: Directory> Engine<S, D> {
    /// Returns what the neighbour was not told yet about each group, and records that it
    /// is told now. The time at which a position was requested is given relative to the
    /// arrival of the neighbour's newest heartbeat, because the clocks of two VMs differ.
    pub(super) fn group_updates(&self, link: &Link, now: Time) -> Vec<GroupState> {
        let groups = self.groups();
        let spacing = self.fleet.spacing(link, groups.len());
        let (echo, received) = link.last_heartbeat.get();
        let mut sent = link.last_sent.borrow_mut();
        let mut updates = Vec::new();
        for group in &groups {
            let group = group.borrow();
            let (name, mut known) = group.summary();
            if echo == 0 {
                // No time can be given relative to a heartbeat yet.
                known.asked = None;
            }
            let last = sent.entry(name).or_default();
            let kind = last.update(&known, spacing, now);
            if kind == Update::None {
                continue;
            }
            let start = if last.has_start(&known) { Position::default() } else { known.start };
            let failover = known.failover.filter(|_| !last.has_failover(&known));
            last.record(known, now);
            let reference = link.sent_names.borrow_mut().refer_to(&group.view.group);
            let mut state = group_state(&group, kind, known.asked.map(|_| received), now);
            state.start_term = start.term().get();
            state.start_lsn = start.lsn().get();
            state.failover = failover.map(|failover| encode_failover(failover, now));
            updates.push(with_name(state, reference, &group.view.group));
        }
        updates
    }

    pub(super) fn handle_group_state(
        &self,
        link: &Link,
        state: GroupState,
        echoed: Option<Time>,
        now: Time,
    ) {
        let Some(name) = resolve_name(link, &state) else { return };
        match state.failing_ms {
            0 => drop(link.failing.borrow_mut().remove(&name)),
            failing => {
                let since = now - Duration::from_millis(failing.into());
                link.failing.borrow_mut().insert(name.clone(), since);
            }
        }
        let group = self.group(&name);
        let mut told = GroupSummary::default();
        let mut has_urgent_news = false;
        let changed = {
            let mut group = group.borrow_mut();
            let term = Term::new(state.term);
            let at = |number, lsn| Position::from_relative_term(number, Lsn::new(lsn), term);
            let acknowledged = at(state.acknowledged_term, state.acknowledged_lsn);
            let is_newer = acknowledged > group.acknowledged;
            group.record_acknowledged(acknowledged);
            let start = Position::new(Term::new(state.start_term), Lsn::new(state.start_lsn));
            group.told.record_start(start);
            told.start = start;
            if let Some(failover) = state.failover {
                let failover = decode_failover(failover, now);
                has_urgent_news = group.peers.record_failover(failover);
                told.failover = Some(failover);
            }
            has_urgent_news |= is_newer && group.summary().1.is_replaced(now);
            told.acknowledged = acknowledged;
            if !state.primary.is_empty() {
                told.term = term;
            }
            let newer = term > group.view.term;
            let changed = newer
                && ServerId::new(&state.primary).is_ok_and(|primary| group.adopt(&primary, term));
            if let (Some(after), Some(echoed)) = (state.mark_after_us, echoed) {
                let span = Duration::from_micros(after.unsigned_abs());
                let asked = if after >= 0 { echoed + span } else { echoed - span };
                let observed = at(state.mark_term, state.mark_lsn);
                group.record_position(observed, asked.min(now), now);
                told.asked = Some(asked.min(now));
            }
            changed
        };
        link.last_sent.borrow_mut().entry(name).or_default().record_received(&told);
        if changed {
            self.record_primary_change(&group.borrow(), Source::Peer);
        }
        if has_urgent_news {
            self.fleet.announce_primary();
        }
        self.check_commits(&group);
    }
}

impl Fleet {
    /// Returns how often positions of `groups` groups are told over a link to a neighbour.
    fn spacing(&self, link: &Link, groups: usize) -> Spacing {
        let neighbours = self.links.borrow().values().filter(|link| link.is_neighbour()).count();
        Spacing::new(link.near.get(), groups).with_neighbours(neighbours)
    }
}

/// Returns the part of a group's state that a neighbour needs, without the group's name. The
/// time of the observed position is relative to `received`; the position is left out if
/// that is `None`.
fn group_state(group: &Group, update: Update, received: Option<Time>, now: Time) -> GroupState {
    let term = group.view.term;
    let primary = group.leader().filter(|_| update == Update::Primary);
    let latest = group.observed.latest().zip(received);
    let observed = latest.map(|(latest, _)| latest.position).unwrap_or_default();
    GroupState {
        primary: primary.map(ToString::to_string).unwrap_or_default(),
        term: term.get(),
        acknowledged_term: group.acknowledged.relative_term(term),
        acknowledged_lsn: group.acknowledged.lsn().get(),
        // 0 would mean that requests succeed.
        failing_ms: group.failing_since().map_or(0, |since| millis(now.since(since)).max(1)),
        mark_term: observed.relative_term(term),
        mark_lsn: observed.lsn().get(),
        mark_after_us: latest.map(|(latest, received)| micros_after(latest.asked, received)),
        ..GroupState::default()
    }
}

pub(super) fn encode_failover(failover: Announcement, now: Time) -> Failover {
    Failover {
        number: failover.number.get(),
        replaced: failover.replaced.get(),
        age_ms: millis(now.since(failover.begun)),
        ordered: failover.ordered,
    }
}

pub(super) fn decode_failover(failover: Failover, now: Time) -> Announcement {
    Announcement {
        number: FailoverNumber::new(failover.number),
        replaced: Term::new(failover.replaced),
        begun: now - Duration::from_millis(failover.age_ms.into()),
        ordered: failover.ordered,
    }
}

/// Adds the name of a group to its state, or the number that stands for the name.
fn with_name(state: GroupState, reference: Reference, name: &GroupId) -> GroupState {
    match reference {
        Reference::Introduce(number) => {
            GroupState { group: name.to_string(), number: number.get(), ..state }
        }
        Reference::Repeat(number) => GroupState { number: number.get(), ..state },
    }
}

/// Returns the group that a state is about, or `None` if its name is invalid or unknown.
fn resolve_name(link: &Link, state: &GroupState) -> Option<GroupId> {
    let number = NameNumber::new(state.number);
    let mut names = link.received_names.borrow_mut();
    if state.group.is_empty() {
        return names.get(number?).cloned();
    }
    let name = GroupId::new(&state.group).ok()?;
    if let Some(number) = number {
        names.introduce(number, name.clone());
    }
    Some(name)
}

/// Returns the microseconds from `start` to `time`, negative if `time` is earlier.
fn micros_after(time: Time, start: Time) -> i64 {
    if time >= start { micros(time.since(start)) } else { -micros(start.since(time)) }
}

fn micros(span: Duration) -> i64 {
    i64::try_from(span.as_micros()).unwrap_or(i64::MAX)
}
