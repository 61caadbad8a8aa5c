//! Ejection of replicas that fail or are much slower than the others.
//!
//! A replica is ejected by evidence in the reports of its homes: statements that the server
//! rejected or did not answer, lost connections, or a service time far above the median of
//! the group. At most a third of a group's replicas is ejected at a time, never the last one
//! that has caught up, and never a primary, which is failed over by other rules. An ejected
//! replica gets single reads after a while. It is readmitted if these succeed, and accounts
//! return to it slowly ([`Affinity`](crate::placement::Affinity)).

use std::{fmt, time::Duration};

use indexmap::IndexMap;

use crate::{
    id::ServerId,
    load::{Outlook, Permille},
    placement::Prospect,
    time::Time,
};

/// Inverse of the share of a group's replicas that may be ejected at a time.
const GROUP_PARTS: usize = 3;

/// Share of failed statements from which on a replica is ejected.
const FAILING: Permille = Permille::from_thousandths(300);

/// Share of failed statements up to which a replica is readmitted.
const RECOVERED: Permille = Permille::from_thousandths(100);

/// Service time from which on a replica counts as slow: a multiple of the median, and at
/// least this much above it.
const SLOW_FACTOR: f64 = 4.0;
const SLOW_EXCESS: Duration = Duration::from_millis(50);

/// Weight of the reports on a replica that counts as evidence.
const MIN_WEIGHT: f64 = 0.25;

/// Time for which a replica is ejected first, and the longest time after repetitions.
const FIRST_EJECTION: Duration = Duration::from_secs(4);
const LONGEST_EJECTION: Duration = Duration::from_secs(60);

/// Time after which an ejection that was followed by no other one is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Time between two reads of a VM on a replica that may be readmitted.
const PROBE_SPACING: Duration = Duration::from_millis(1_500);

/// Reads of a VM on a replica before it is readmitted.
const PROBES: u32 = 3;

/// Why a replica is ejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// Too many statements failed.
    Failing,
    /// It is much slower than the others.
    Slow,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::Failing => "failing",
            Reason::Slow => "slow",
        })
    }
}

/// A change of what is believed of a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// The replica.
    pub server: ServerId,
    /// Why it is ejected, or `None` if it is readmitted.
    pub reason: Option<Reason>,
    /// What was expected of it.
    pub outlook: Outlook,
    /// Median service time of the group's replicas.
    pub median: Duration,
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// Until when nothing is sent to the replica.
    until: Time,
    ejected: bool,
    ejections: u32,
    probes: u32,
    next_probe: Time,
}

/// Replicas of one group that a VM has ejected.
#[derive(Clone, Debug, Default)]
pub struct Outliers {
    records: IndexMap<ServerId, Record>,
}

impl Outliers {
    /// Creates the state of a VM that has ejected none.
    pub fn new() -> Self {
        Outliers::default()
    }

    /// Ejects and readmits replicas by what is expected of all servers that may run reads.
    pub fn update(&mut self, prospects: &[Prospect], now: Time) -> Vec<Verdict> {
        let replicas: Vec<&Prospect> = prospects.iter().filter(|p| !p.choice.primary).collect();
        self.records.retain(|server, record| {
            let is_present = replicas.iter().any(|replica| replica.choice.server == *server);
            is_present && (record.ejected || now.since(record.until) < FORGET_AFTER)
        });
        let median = median_service(&replicas);
        let mut verdicts = self.readmit(&replicas, median, now);
        // The one that fails most often comes first, since only few may be ejected.
        let mut suspects: Vec<(Reason, &Prospect)> = replicas
            .iter()
            .filter(|replica| !self.is_ejected(&replica.choice.server))
            .filter_map(|replica| Some((suspicion(&replica.outlook, median)?, *replica)))
            .collect();
        suspects.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect.outlook.failures));
        for (reason, suspect) in suspects {
            if self.may_eject(&replicas, &suspect.choice.server) {
                self.eject(&suspect.choice.server, now);
                verdicts.push(verdict(suspect, Some(reason), median));
            }
        }
        verdicts
    }

    /// Marks ejected replicas as avoided, and returns the one that gets a single read now.
    pub fn exclude(&mut self, prospects: &mut [Prospect], now: Time) -> Option<ServerId> {
        let mut probe = None;
        for prospect in prospects.iter_mut().filter(|prospect| !prospect.choice.primary) {
            let Some(record) = self.records.get_mut(&prospect.choice.server) else { continue };
            if !record.ejected {
                continue;
            }
            let is_due = now >= record.until && now >= record.next_probe;
            if probe.is_none() && is_due && !prospect.choice.avoided {
                record.probes += 1;
                record.next_probe = now + PROBE_SPACING;
                probe = Some(prospect.choice.server.clone());
            } else {
                prospect.choice.avoided = true;
            }
        }
        probe
    }

    fn readmit(&mut self, replicas: &[&Prospect], median: Duration, now: Time) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        for replica in replicas {
            let Some(record) = self.records.get_mut(&replica.choice.server) else { continue };
            let is_tried = record.ejected && now >= record.until && record.probes >= PROBES;
            if !is_tried || replica.outlook.weight < MIN_WEIGHT {
                continue;
            }
            let is_slow = suspicion(&replica.outlook, median).is_some();
            if is_slow || replica.outlook.failures > RECOVERED {
                record.extend(now);
            } else {
                record.ejected = false;
                verdicts.push(verdict(replica, None, median));
            }
        }
        verdicts
    }

    fn is_ejected(&self, server: &ServerId) -> bool {
        self.records.get(server).is_some_and(|record| record.ejected)
    }

    /// Returns whether enough of the group is left without `server`.
    fn may_eject(&self, replicas: &[&Prospect], server: &ServerId) -> bool {
        let ejected = replicas.iter().filter(|r| self.is_ejected(&r.choice.server)).count();
        let serves = |replica: &&&Prospect| {
            replica.choice.server != *server
                && !self.is_ejected(&replica.choice.server)
                && replica.takes_reads()
        };
        let is_fresh = |replica: &&Prospect| replica.choice.expected_wait.is_zero();
        let stays_fresh = replicas.iter().filter(serves).any(is_fresh);
        ejected < replicas.len() / GROUP_PARTS && stays_fresh
    }

    fn eject(&mut self, server: &ServerId, now: Time) {
        self.records.entry(server.clone()).or_default().extend(now);
    }
}

impl Record {
    /// Ejects the replica, for longer with each repetition.
    fn extend(&mut self, now: Time) {
        let span = FIRST_EJECTION * 2_u32.saturating_pow(self.ejections.min(8));
        self.until = now + span.min(LONGEST_EJECTION);
        self.ejected = true;
        self.ejections += 1;
        self.probes = 0;
    }
}

fn verdict(prospect: &Prospect, reason: Option<Reason>, median: Duration) -> Verdict {
    let (server, outlook) = (prospect.choice.server.clone(), prospect.outlook);
    Verdict { server, reason, outlook, median }
}

/// Returns why a replica should be ejected, if it should.
fn suspicion(outlook: &Outlook, median: Duration) -> Option<Reason> {
    if outlook.weight < MIN_WEIGHT {
        return None;
    }
    let limit = median.mul_f64(SLOW_FACTOR).max(median + SLOW_EXCESS);
    match outlook {
        _ if outlook.failures >= FAILING => Some(Reason::Failing),
        _ if outlook.service > limit => Some(Reason::Slow),
        _ => None,
    }
}

/// Returns the median service time; the lower one of two, so that half of the replicas being
/// slow does not hide it.
fn median_service(replicas: &[&Prospect]) -> Duration {
    let mut times: Vec<Duration> = replicas.iter().map(|r| r.outlook.service).collect();
    times.sort();
    times.get(times.len().saturating_sub(1) / 2).copied().unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::route::Choice;

    fn replicas(count: usize) -> Vec<Prospect> {
        let replica = |i: usize| Prospect {
            choice: Choice {
                server: format!("r{i}").parse().expect("a name"),
                primary: false,
                expected_wait: Duration::ZERO,
                max_wait: Duration::from_millis(100),
                avoided: false,
            },
            data_centre: "a".parse().expect("a name"),
            near: true,
            outlook: Outlook {
                service: Duration::from_millis(18),
                weight: 1.0,
                ..Outlook::default()
            },
        };
        (0..count).map(replica).collect()
    }

    fn seconds(seconds: u64) -> Time {
        Time::from_millis(seconds * 1_000)
    }

    /// Guards against a fault of many servers that leaves none to send reads to.
    #[test]
    fn at_most_a_third_is_ejected_and_the_last_fresh_one_stays() {
        for (count, most) in [(1, 0), (2, 0), (3, 1), (8, 2), (9, 3)] {
            let mut prospects = replicas(count);
            prospects.iter_mut().for_each(|p| p.outlook.failures = Permille::new(900));
            let mut outliers = Outliers::new();
            let ejected: usize =
                (1..20).map(|i| outliers.update(&prospects, seconds(i)).len()).sum();
            assert_eq!(ejected, most, "of {count}");
        }
        let mut prospects = replicas(3);
        prospects[1..].iter_mut().for_each(|p| p.choice.expected_wait = Duration::from_millis(9));
        prospects[0].outlook.failures = Permille::new(900);
        assert!(Outliers::new().update(&prospects, seconds(1)).is_empty());
    }

    /// Guards against ejection on a guess, and of a server that is only somewhat slower.
    #[test]
    fn a_replica_is_ejected_by_evidence_only() {
        let mut prospects = replicas(6);
        prospects[0].outlook.service = Duration::from_millis(60);
        prospects[1].outlook.service = Duration::from_millis(900);
        prospects[1].outlook.weight = 0.1;
        prospects[2].outlook.failures = Permille::new(200);
        let mut outliers = Outliers::new();
        assert!(outliers.update(&prospects, seconds(1)).is_empty());
        prospects[1].outlook.weight = 1.0;
        let verdicts = outliers.update(&prospects, seconds(2));
        assert_eq!(verdicts.len(), 1);
        assert_eq!(verdicts[0].reason, Some(Reason::Slow));
    }

    /// Guards against a rush of reads to a server that has just recovered, and against one
    /// that never returns.
    #[test]
    fn an_ejected_replica_gets_single_reads_before_it_is_readmitted() {
        let mut prospects = replicas(6);
        prospects[0].outlook.failures = Permille::new(900);
        let mut outliers = Outliers::new();
        assert_eq!(outliers.update(&prospects, seconds(10)).len(), 1);
        prospects[0].outlook.failures = Permille::new(0);
        let (mut probes, mut readmitted) = (0, None);
        for step in 0..2_000 {
            let now = seconds(10) + Duration::from_millis(step * 10);
            if !outliers.update(&prospects, now).is_empty() {
                readmitted = Some(now.since(seconds(10)));
                break;
            }
            let mut copy = prospects.clone();
            probes += u32::from(outliers.exclude(&mut copy, now).is_some());
        }
        assert_eq!(probes, PROBES);
        assert!(readmitted.is_some_and(|span| span <= Duration::from_secs(8)), "{readmitted:?}");
    }
}
