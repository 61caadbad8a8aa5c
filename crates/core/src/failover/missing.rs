//! Backend servers that have disappeared from the directory and may return.

use std::{net::SocketAddr, time::Duration};

use indexmap::IndexMap;

use crate::{id::ServerId, time::Time};

/// Time for which a missing server is expected to return with its log.
pub(crate) const RETURN_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after the return of a missing server within which other entries may return, or
/// appear for the first time.
const RETURN_SPAN: Duration = Duration::from_millis(2_500);

/// Times that backend servers keep, as the platform promises.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerTimes {
    /// Interval at which a server writes its entry. The entry of a silent server is removed
    /// after three intervals.
    pub heartbeat: Duration,
    /// Time from the announcement that a server leaves until its end, at least.
    pub drain: Duration,
}

/// A backend server that is registered in the directory.
#[derive(Clone, Copy, Debug)]
pub struct RegisteredServer<'a> {
    /// Name of the server.
    pub server: &'a ServerId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Whether it is about to be stopped.
    pub leaving: bool,
}

/// A server that has disappeared, as a later coordinator must know it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MissingServer {
    /// Name of the server.
    pub server: ServerId,
    /// Address on which it listened.
    pub address: SocketAddr,
    /// When its entry disappeared, at the earliest.
    pub since: Time,
    /// Whether it was leaving for so long that it may have ended as planned.
    pub may_have_ended: bool,
}

#[derive(Clone, Copy, Debug)]
struct Missing {
    since: Time,
    address: SocketAddr,
    /// Whether it was leaving for so long that it may have ended as planned.
    may_have_ended: bool,
}

/// Registered servers that have disappeared from the directory.
///
/// A crashed server loses its entry and may return with its log, which may be the only
/// one with an acknowledged commit. No server is promoted until the missing one has
/// returned or has been missing for so long that it counts as lost.
///
/// A leaving server has not ended just because its entry is gone: it may run on behind a
/// partition, and confirm commits to a primary there. It may have ended if it had the time to
/// drain, and if the primary answered in the time in which a partition would have let the entry
/// lapse. It has ended if it does not answer at its address either.
///
/// Servers that were cut off together return one after the other. Among them may be one
/// that was started behind the cut and has never been registered, and that may be the only
/// one with a commit. So no server is promoted right after the return of another one.
#[derive(Clone, Debug, Default)]
pub struct MissingServers {
    missing: IndexMap<ServerId, Missing>,
    /// Since when registered servers have been leaving.
    leaving: IndexMap<ServerId, Time>,
    /// Times of the servers, or `None` if they are not known.
    times: Option<ServerTimes>,
    /// When a missing server last returned.
    returned: Option<Time>,
}

impl MissingServers {
    /// Creates an empty set of missing servers, of which none is known to have ended.
    pub fn new() -> Self {
        MissingServers::default()
    }

    /// Sets the times of the servers.
    pub fn with_times(self, times: Option<ServerTimes>) -> Self {
        MissingServers { times, ..self }
    }

    /// Records a change of the registered servers from `before` to `after`, while the primary
    /// has not answered for `silence`.
    ///
    /// A leaving server that disappears counts as missing like any other, because its intent to
    /// leave does not say why it disappeared. A server whose address, and with it the log, was
    /// taken over by another server does not count as missing.
    pub fn update<'a>(
        &mut self,
        before: impl IntoIterator<Item = RegisteredServer<'a>>,
        after: impl IntoIterator<Item = RegisteredServer<'a>>,
        silence: Duration,
        now: Time,
    ) {
        let after: Vec<RegisteredServer<'_>> = after.into_iter().collect();
        let is_there = |server: &ServerId| after.iter().any(|other| other.server == server);
        for gone in before.into_iter().filter(|gone| !is_there(gone.server)) {
            let missing = Missing {
                since: now,
                address: gone.address,
                may_have_ended: self.may_have_ended(gone.server, silence, now),
            };
            self.missing.entry(gone.server.clone()).or_insert(missing);
        }
        for present in &after {
            if self.missing.shift_remove(present.server).is_some() {
                self.returned = Some(now);
            }
        }
        self.missing.retain(|_, gone| after.iter().all(|other| other.address != gone.address));
        self.record_leaving(&after, now);
    }

    fn record_leaving(&mut self, servers: &[RegisteredServer<'_>], now: Time) {
        let before = std::mem::take(&mut self.leaving);
        for present in servers.iter().filter(|present| present.leaving) {
            let since = before.get(present.server).copied().unwrap_or(now);
            self.leaving.insert(present.server.clone(), since);
        }
    }

    /// Returns whether a server whose entry was just removed may have ended as planned.
    ///
    /// A partition that lets the entry lapse begins at least two heartbeat intervals before. If
    /// the primary was behind it too, it has been silent since.
    fn may_have_ended(&self, server: &ServerId, silence: Duration, now: Time) -> bool {
        let (Some(times), Some(leaving)) = (self.times, self.leaving.get(server)) else {
            return false;
        };
        now.since(*leaving) >= times.drain && silence < times.heartbeat
    }

    /// Adds servers that an earlier coordinator knew to be missing, unless they are `present`,
    /// or others are at their addresses.
    pub fn recall<'a>(
        &mut self,
        recalled: impl IntoIterator<Item = MissingServer>,
        present: impl IntoIterator<Item = RegisteredServer<'a>>,
    ) {
        let present: Vec<RegisteredServer<'_>> = present.into_iter().collect();
        let is_back = |gone: &MissingServer| {
            present
                .iter()
                .any(|other| *other.server == gone.server || other.address == gone.address)
        };
        for gone in recalled.into_iter().filter(|gone| !is_back(gone)) {
            let MissingServer { server, address, since, may_have_ended } = gone;
            self.missing.entry(server).or_insert(Missing { since, address, may_have_ended });
        }
    }

    /// Returns the missing servers.
    pub fn iter(&self) -> impl Iterator<Item = MissingServer> + '_ {
        self.missing.iter().map(|(server, missing)| MissingServer {
            server: server.clone(),
            address: missing.address,
            since: missing.since,
            may_have_ended: missing.may_have_ended,
        })
    }

    /// Returns whether no server is missing.
    pub fn is_empty(&self) -> bool {
        self.missing.is_empty()
    }

    /// Returns the missing servers that may have ended as planned, with their addresses.
    pub fn ended_candidates(&self) -> impl Iterator<Item = (&ServerId, SocketAddr)> {
        let candidates = self.missing.iter().filter(|(_, missing)| missing.may_have_ended);
        candidates.map(|(server, missing)| (server, missing.address))
    }

    /// Records that a server does not answer at its address.
    pub fn record_unanswered(&mut self, server: &ServerId) {
        if self.missing.get(server).is_some_and(|missing| missing.may_have_ended) {
            self.missing.shift_remove(server);
        }
    }

    /// Returns whether other servers may still return or appear, because one returned
    /// recently.
    pub fn are_returning(&self, now: Time) -> bool {
        self.returned.is_some_and(|returned| now.since(returned) < RETURN_SPAN)
    }

    /// Returns whether a missing server other than `primary` is expected to return.
    pub fn is_any_expected(&self, primary: Option<&ServerId>, now: Time) -> bool {
        let awaited = |(server, missing): (&ServerId, &Missing)| {
            Some(server) != primary && now.since(missing.since) < RETURN_TIMEOUT
        };
        self.missing.iter().any(awaited)
    }
}
