//! Primaries that failed lately, and are not the successors of others for a while.

use std::time::Duration;

use indexmap::IndexMap;

use super::Member;
use crate::{id::ServerId, time::Time};

/// Time for which a primary that was replaced because it failed is no preferred successor. What it
/// suffered from, such as a cut, may last, and it is often the one that started last.
const FAILED_SPAN: Duration = Duration::from_secs(15);

/// Primaries of one group that were replaced because they failed.
///
/// # Example
///
/// ```
/// use chicoryhollow_core::{ServerId, Time, failover::{Member, ReplacedPrimaries}};
///
/// let server: ServerId = "i-7f3a91c2".parse().unwrap();
/// let member = Member { server: server.clone(), preferred: true, cold: false, born: 0 };
/// let mut replaced = ReplacedPrimaries::default();
/// replaced.record(server, Time::from_millis(1_000));
/// let rank = |ms| replaced.rank(vec![member.clone()], Time::from_millis(ms));
/// assert!(!rank(15_999)[0].preferred);
/// assert!(rank(16_000)[0].preferred);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReplacedPrimaries {
    servers: IndexMap<ServerId, Time>,
}

impl ReplacedPrimaries {
    /// Records that a primary was replaced because it failed.
    pub fn record(&mut self, server: ServerId, now: Time) {
        self.servers.retain(|_, at| now.since(*at) < FAILED_SPAN);
        self.servers.insert(server, now);
    }

    /// Returns the members of a failover, of which those that failed lately are not preferred.
    pub fn rank(&self, mut members: Vec<Member>, now: Time) -> Vec<Member> {
        for member in &mut members {
            let failed = self.servers.get(&member.server);
            member.preferred &= failed.is_none_or(|at| now.since(*at) >= FAILED_SPAN);
        }
        members
    }
}
