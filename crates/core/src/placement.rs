//! Placement of reads on the servers of a group by their expected completion time.
//!
//! The expected completion time of a read is the network delay, the wait for a connection,
//! the service time and the time until the replica has caught up. Two rules keep the many
//! VMs that decide on the same reports from all choosing the same server:
//!
//! * An account ranks the servers by rendezvous hashing and keeps the first one whose load
//!   is within a bound of the mean, so that its statements meet on open connections. Each
//!   server has a share of the reads that stay ([`Affinity`]); it shrinks slowly while
//!   the server has more than its part of the load.
//! * Any other read takes the better of two random ones of the best servers.
//!
//! The primary gets reads only if the replicas need longer to catch up than it would take
//! on the primary, plus a reserve that grows with the primary's load.

use std::{cmp::Ordering, time::Duration};

use indexmap::IndexMap;
use rand::{Rng, RngExt};

use crate::{
    id::{AccountId, DataCentreId, ServerId},
    load::Outlook,
    rank::rank,
    route::Choice,
    time::Time,
};

/// Number of servers that an account tries in the order of its ranking. More of them would
/// spread its connections.
const RANKED: usize = 3;

/// Load, as a multiple of the mean, up to which accounts stay on a server.
const LOAD_BOUND: f64 = 1.05;

/// Connections in use by which a server may always exceed the mean. A few requests more or
/// less are no difference between servers.
const LOAD_SLACK: f64 = 0.1;

/// Time in which the share of reads that stay changes by the whole excess of a server's load.
const SHARE_SPAN: Duration = Duration::from_secs(3);

/// Minimum time between two changes of the shares.
const SHARE_SPACING: Duration = Duration::from_millis(100);

/// Weight of the reports on a server from which on its load counts.
const MIN_WEIGHT: f64 = 0.1;

/// Least share of reads that stay, so that connections of an account are not all closed.
const MIN_SHARE: f64 = 0.05;

/// Expected time by which an account's server may exceed the best one, before the account
/// moves: the cost of a new connection.
const MOVE_COST: Duration = Duration::from_millis(12);

/// Multiple of the best expected time that an account's server may take.
const MOVE_FACTOR: f64 = 1.5;

/// Extra time that a read may take on an idle primary before it is preferred. All writes
/// need the slots of the primary, so reads spare them.
const PRIMARY_RESERVE: Duration = Duration::from_millis(50);

/// A server that may run a read.
#[derive(Clone, Debug, PartialEq)]
pub struct Prospect {
    /// The server, with the time until it has caught up.
    pub choice: Choice,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Whether that is the data centre of the VM that chooses.
    pub near: bool,
    /// What is expected of it.
    pub outlook: Outlook,
}

impl Prospect {
    /// Returns the expected time until the read is complete.
    pub fn completion(&self) -> Duration {
        let Outlook { network, wait, service, .. } = self.outlook;
        network + wait + service + self.choice.expected_wait
    }

    /// Returns whether reads go to the server without a special reason.
    pub fn takes_reads(&self) -> bool {
        !self.choice.primary && !self.choice.avoided
    }

    fn order(&self, other: &Prospect) -> Ordering {
        let key = |prospect: &Prospect| (prospect.choice.avoided, prospect.completion());
        key(self).cmp(&key(other))
    }
}

/// Shares of the reads that stay on the servers which accounts prefer.
#[derive(Clone, Debug, Default)]
pub struct Affinity {
    shares: IndexMap<ServerId, f64>,
    changed: Time,
}

impl Affinity {
    /// Creates shares of servers of which nothing is known: all reads stay.
    pub fn new() -> Self {
        Affinity::default()
    }

    /// Returns the share of reads that stay on `server`.
    pub fn share(&self, server: &ServerId) -> f64 {
        self.shares.get(server).copied().unwrap_or(1.0)
    }

    /// Lets accounts return slowly to a server that was readmitted.
    pub fn restart(&mut self, server: &ServerId) {
        self.shares.insert(server.clone(), MIN_SHARE);
    }

    /// Changes the shares by the loads of `replicas`, which accounts choose among.
    pub fn update<'a>(&mut self, replicas: impl Iterator<Item = &'a Prospect> + Clone, now: Time) {
        let replicas = replicas.filter(|replica| replica.outlook.weight >= MIN_WEIGHT);
        let span = now.since(self.changed);
        if span < SHARE_SPACING {
            return;
        }
        self.changed = now;
        let count = replicas.clone().count().max(1);
        let total: f64 = replicas.clone().map(|replica| replica.outlook.in_flight).sum();
        let bound = total / count as f64 * LOAD_BOUND + LOAD_SLACK;
        let span = (span.as_secs_f64() / SHARE_SPAN.as_secs_f64()).min(1.0);
        self.shares.retain(|server, _| replicas.clone().any(|r| r.choice.server == *server));
        for Prospect { choice, outlook, .. } in replicas {
            let excess = outlook.in_flight / bound - 1.0;
            let factor = (-excess.clamp(-1.0, 1.0) * span).exp();
            let share = (self.share(&choice.server) * factor).clamp(MIN_SHARE, 1.0);
            self.shares.insert(choice.server.clone(), share);
        }
    }
}

/// Returns the servers to try for a read of `account`, best first.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::placement::{Affinity, place};
///
/// let mut rng = rand::rng();
/// assert!(place(Vec::new(), &"orders".parse()?, &Affinity::new(), &mut rng).is_empty());
/// # Ok::<(), chicoryhollow_core::id::NameError>(())
/// ```
pub fn place(
    mut prospects: Vec<Prospect>,
    account: &AccountId,
    affinity: &Affinity,
    rng: &mut impl Rng,
) -> Vec<Choice> {
    prospects.sort_by(Prospect::order);
    let primary = prospects.iter().position(|prospect| prospect.choice.primary);
    let primary = primary.map(|position| prospects.remove(position));
    if let Some(first) = first_replica(&prospects, account, affinity, rng) {
        let first = prospects.remove(first);
        prospects.insert(0, first);
    }
    if let Some(primary) = primary {
        let preferred = is_primary_preferred(&primary, &prospects);
        prospects.insert(if preferred { 0 } else { usable(&prospects) }, primary);
    }
    prospects.into_iter().map(|prospect| prospect.choice).collect()
}

/// Returns how many of the sorted prospects are not avoided.
fn usable(prospects: &[Prospect]) -> usize {
    prospects.iter().filter(|prospect| !prospect.choice.avoided).count()
}

/// Returns whether the replicas need longer to catch up than the primary's reserve allows.
fn is_primary_preferred(primary: &Prospect, replicas: &[Prospect]) -> bool {
    if primary.choice.avoided {
        return false;
    }
    let serving = replicas.iter().filter(|replica| !replica.choice.avoided);
    let Some(catch_up) = serving.map(|replica| replica.choice.expected_wait).min() else {
        return true;
    };
    let reserve = PRIMARY_RESERVE.mul_f64(1.0 + primary.outlook.in_flight);
    catch_up > primary.outlook.wait + reserve
}

/// Returns the position of the replica to try first among `replicas`, which are sorted.
fn first_replica(
    replicas: &[Prospect],
    account: &AccountId,
    affinity: &Affinity,
    rng: &mut impl Rng,
) -> Option<usize> {
    let usable = match usable(replicas) {
        0 => replicas.len(),
        usable => usable,
    };
    let candidates = &replicas[..usable];
    let best = candidates.first()?.completion();
    let limit = best.mul_f64(MOVE_FACTOR) + MOVE_COST;
    let good = candidates.iter().take_while(|replica| replica.completion() <= limit).count();
    // Far servers cost traffic between data centres, so they come only after near ones.
    let near = candidates[..good].iter().any(|replica| replica.near);
    let drawn: Vec<usize> = (0..usable).filter(|i| !near || candidates[*i].near).collect();
    let names = drawn.iter().map(|i| candidates[*i].choice.server.as_str());
    for name in rank(account.as_str(), names, RANKED) {
        let found = candidates.iter().position(|replica| replica.choice.server.as_str() == name)?;
        let replica = &candidates[found];
        let slowness = replica.completion().as_secs_f64() / limit.as_secs_f64();
        let stays = affinity.share(&replica.choice.server) / slowness.max(1.0);
        if rng.random::<f64>() < stays {
            return Some(found);
        }
    }
    let count = good.max(drawn.len().div_ceil(2)).min(drawn.len());
    Some(drawn[draw(count, rng)])
}

/// Returns the lesser of two different random positions below `count`.
fn draw(count: usize, rng: &mut impl Rng) -> usize {
    if count < 2 {
        return 0;
    }
    let first = rng.random_range(0..count);
    let second = (first + rng.random_range(1..count)) % count;
    first.min(second)
}

#[cfg(test)]
mod tests {
    use rand::{SeedableRng, rngs::SmallRng};

    use super::*;

    fn prospect(name: &str, primary: bool, catch_up_ms: u64, wait_ms: u64) -> Prospect {
        let choice = Choice {
            server: name.parse().expect("a name"),
            primary,
            expected_wait: Duration::from_millis(catch_up_ms),
            max_wait: Duration::from_millis(100),
            avoided: false,
        };
        let wait = Duration::from_millis(wait_ms);
        let data_centre = "a".parse().expect("a name");
        Prospect {
            choice,
            data_centre,
            near: true,
            outlook: Outlook { wait, ..Outlook::default() },
        }
    }

    fn first(prospects: &[Prospect], account: usize, rng: &mut SmallRng) -> String {
        let account = format!("account-{account}").parse().expect("a name");
        place(prospects.to_vec(), &account, &Affinity::new(), rng)[0].server.to_string()
    }

    /// Guards against reads that take the slots which only writes can use.
    #[test]
    fn reads_wait_for_a_replica_rather_than_displace_writes() {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut servers = vec![prospect("p", true, 0, 0), prospect("r", false, 40, 200)];
        assert_eq!(first(&servers, 1, &mut rng), "r");
        servers[1].choice.expected_wait = Duration::from_millis(90);
        assert_eq!(first(&servers, 1, &mut rng), "p");
        servers[0].outlook.in_flight = 4.0;
        assert_eq!(first(&servers, 1, &mut rng), "r", "the reserve grows with the load");
    }

    /// Guards against new connections of an account on every server.
    #[test]
    fn an_account_stays_on_its_server_unless_that_one_is_slow() {
        let mut rng = SmallRng::seed_from_u64(2);
        let mut servers: Vec<_> = (0..6).map(|i| prospect(&format!("r{i}"), false, 0, 5)).collect();
        let kept = first(&servers, 7, &mut rng);
        assert!((0..50).all(|_| first(&servers, 7, &mut rng) == kept));
        let slow = servers.iter_mut().find(|s| s.choice.server.as_str() == kept);
        slow.expect("the server exists").outlook.wait = Duration::from_millis(100);
        let stayed = (0..100).filter(|_| first(&servers, 7, &mut rng) == kept).count();
        assert!(stayed <= 33, "{stayed} of 100 reads stay on a server that takes 105 ms");
    }

    /// Guards against VMs with equal reports that all choose the same server.
    #[test]
    fn reads_that_do_not_stay_spread_over_the_best_servers() {
        let mut rng = SmallRng::seed_from_u64(3);
        let servers: Vec<_> = (0..6).map(|i| prospect(&format!("r{i}"), false, 0, i)).collect();
        let shares = servers.iter().map(|s| (s.choice.server.clone(), 0.0)).collect();
        let affinity = Affinity { shares, changed: Time::default() };
        let account = "a".parse().expect("a name");
        let mut counts: IndexMap<ServerId, u32> = IndexMap::new();
        for _ in 0..600 {
            let chosen = place(servers.to_vec(), &account, &affinity, &mut rng).swap_remove(0);
            *counts.entry(chosen.server).or_default() += 1;
        }
        assert_eq!(counts.len(), 5, "only the last one never wins: {counts:?}");
        assert!(counts.values().all(|count| *count <= 240), "{counts:?}");
    }
}
