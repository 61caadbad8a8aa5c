//! Report of one run: measurements and breaches of guarantees.

use std::{collections::BTreeMap, fmt, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{
    checker::{RunConditions, StoredWrites, count_breaches, rate::max_excess},
    cluster::Deployment,
    load::{Kind, Outcome, Request},
};

/// SQLSTATE of a request refused because its account exceeded its rate.
const RATE_EXCEEDED: &str = "53400";

/// A breach of one of the proxy's guarantees.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Breach {
    /// An acknowledged write is not in the database.
    Lost,
    /// A write is in the database more than once.
    Doubled,
    /// A read returned older data than its session had already seen.
    Stale,
    /// An answer belonged to another request, session or account.
    Crossed,
    /// More requests of an account ran than its rate and burst allow.
    RateExcess,
    /// A withdrawn key was still accepted after [`WITHDRAWAL_LIMIT`].
    ///
    /// [`WITHDRAWAL_LIMIT`]: crate::checker::WITHDRAWAL_LIMIT
    WithdrawnKey,
    /// A write that was reported as not run is in the database.
    FalseNotRun,
    /// A request got no complete answer before its connection closed or its time
    /// limit passed, although the run did not break connections of its VM.
    Cut,
    /// A configuration was reported as applied and is not active, or two
    /// concurrent operators both received the answer that theirs was applied.
    ConfigurationLost,
}

impl Breach {
    /// All breaches, in the order of the report.
    pub const ALL: [Breach; 9] = [
        Breach::Lost,
        Breach::Doubled,
        Breach::Stale,
        Breach::Crossed,
        Breach::RateExcess,
        Breach::WithdrawnKey,
        Breach::FalseNotRun,
        Breach::Cut,
        Breach::ConfigurationLost,
    ];
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Breach::Lost => "lost",
            Breach::Doubled => "doubled",
            Breach::Stale => "stale",
            Breach::Crossed => "crossed",
            Breach::RateExcess => "rate excess",
            Breach::WithdrawnKey => "withdrawn key served",
            Breach::FalseNotRun => "false not-run",
            Breach::Cut => "cut requests",
            Breach::ConfigurationLost => "configuration lost",
        })
    }
}

/// Measurements of one account.
#[derive(Clone, Debug, Serialize)]
pub struct AccountReport {
    /// Name of the account.
    pub account: &'static str,
    /// Number of requests that it sent.
    pub requests: u64,
    /// Share of them that succeeded, from 0 to 1.
    pub success: f64,
    /// 99th percentile of the latency of its successful requests in milliseconds.
    pub p99_ms: f64,
    /// Number of requests refused because of its rate.
    pub refused: u64,
    /// Whether its requests may be refused: it sent above its rate or its key
    /// was withdrawn. Any other account is called a *regular* account.
    pub noisy: bool,
}

/// Measurements and breaches of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Number of requests sent.
    pub requests: u64,
    /// Share of them that succeeded, from 0 to 1.
    pub success: f64,
    /// Number of requests that clients sent again because a VM that closes its
    /// connections refused them.
    pub retried: u64,
    /// Share of the reads served by replicas according to the daemons'
    /// metrics; absent if it was not measured.
    pub replica_share: Option<f64>,
    /// Longest failover gap of a group in milliseconds: the time from the fault
    /// to the first acknowledgement of a write that was sent after the fault.
    /// Absent if there was no fault or no such write was acknowledged.
    pub failover_gap_ms: Option<f64>,
    /// Number of affected groups in which no write sent after the fault was
    /// acknowledged.
    pub groups_without_write: u64,
    /// Regular account that has the lowest success share.
    pub worst_account: Option<AccountReport>,
    /// Highest 99th percentile of the latency of the successful requests of a
    /// regular account, in milliseconds.
    pub worst_p99_ms: f64,
    /// Number of requests of regular accounts refused because of their rate.
    pub wrongful_refusals: u64,
    /// Share of the requests of regular accounts that succeeded, counted from the
    /// fault on, or over the whole run without a fault.
    pub service: f64,
    /// Latency of the slowest acknowledged write in milliseconds.
    pub slowest_write_ms: f64,
    /// Measurements of all accounts.
    pub accounts: Vec<AccountReport>,
    /// Number of failures by their kind, with the SQLSTATE of errors and the
    /// [`Arrival`](crate::load::Arrival) of sessions with stale reads.
    pub failures: BTreeMap<String, u64>,
    /// Number of breaches of each kind. [`Breach::RateExcess`] counts the requests
    /// above the limit, as the sum of each account's largest excess.
    pub breaches: BTreeMap<Breach, u64>,
}

impl Report {
    /// Computes the measurements and counts the breaches of a run.
    pub fn new(
        deployment: &Deployment,
        requests: &[Request],
        stored_writes: &StoredWrites,
        conditions: &RunConditions,
    ) -> Self {
        let accounts: Vec<_> = (0..deployment.accounts.len())
            .map(|index| account_report(deployment, index, requests, conditions))
            .collect();
        let within = || accounts.iter().filter(|account| !account.noisy);
        let worst = within().min_by(|a, b| a.success.total_cmp(&b.success)).cloned();
        let gaps = failover_gaps(deployment, requests, conditions);
        let since = conditions.injection.as_ref().map_or(Duration::ZERO, |i| i.at);
        let is_counted = |request: &&Request| {
            request.started >= since && !conditions.noisy_accounts.contains(&request.account)
        };
        let mut report = Report {
            requests: requests.len() as u64,
            success: success_share(requests.iter()),
            retried: requests.iter().filter(|request| request.retries > 0).count() as u64,
            replica_share: None,
            failover_gap_ms: gaps.iter().flatten().copied().reduce(f64::max),
            groups_without_write: gaps.iter().filter(|gap| gap.is_none()).count() as u64,
            worst_account: worst,
            worst_p99_ms: within().map(|account| account.p99_ms).fold(0.0, f64::max),
            wrongful_refusals: within().map(|account| account.refused).sum(),
            service: success_share(requests.iter().filter(is_counted)),
            slowest_write_ms: slowest_write(requests),
            accounts,
            failures: count_failures(requests),
            breaches: Breach::ALL.into_iter().map(|breach| (breach, 0)).collect(),
        };
        let mut add = |breach, count| *report.breaches.entry(breach).or_insert(0) += count;
        count_breaches(requests, stored_writes, conditions, &mut add);
        for (index, size) in deployment.accounts.iter().enumerate() {
            let own: Vec<_> = requests.iter().filter(|r| r.account == index).collect();
            add(Breach::RateExcess, max_excess(&own, size.rate, size.burst));
        }
        report
    }

    /// Returns the report with the share of reads that replicas served.
    pub fn with_replica_share(self, share: Option<f64>) -> Self {
        Report { replica_share: share, ..self }
    }

    /// Returns whether there is no breach and all affected groups acknowledged
    /// a write after the fault.
    pub fn is_clean(&self) -> bool {
        self.breaches.values().all(|count| *count == 0) && self.groups_without_write == 0
    }
}

fn success_share<'a>(requests: impl Iterator<Item = &'a Request>) -> f64 {
    let (mut all, mut done) = (0_u64, 0_u64);
    for request in requests {
        all += 1;
        done += u64::from(request.succeeded());
    }
    if all == 0 { 1.0 } else { done as f64 / all as f64 }
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

fn account_report(
    deployment: &Deployment,
    index: usize,
    requests: &[Request],
    conditions: &RunConditions,
) -> AccountReport {
    let own = || requests.iter().filter(|request| request.account == index);
    let is_refused = |request: &&Request| matches!(&request.outcome, Outcome::NotRun(code) if code == RATE_EXCEEDED);
    AccountReport {
        account: deployment.accounts[index].name,
        requests: own().count() as u64,
        success: success_share(own()),
        p99_ms: latency_percentile(own(), 0.99),
        refused: own().filter(is_refused).count() as u64,
        noisy: conditions.noisy_accounts.contains(&index),
    }
}

fn latency_percentile<'a>(requests: impl Iterator<Item = &'a Request>, quantile: f64) -> f64 {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else { return 0.0 };
    for request in requests.filter(|request| request.succeeded()) {
        let micros = (request.ended - request.started).as_micros();
        // The histogram resizes itself, so no value is out of range.
        let _ = histogram.record(u64::try_from(micros).unwrap_or(u64::MAX));
    }
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Returns the failover gap of each affected group in milliseconds, or `None`
/// for a group without an acknowledged write after the fault.
fn failover_gaps(
    deployment: &Deployment,
    requests: &[Request],
    conditions: &RunConditions,
) -> Vec<Option<f64>> {
    let Some(injection) = &conditions.injection else { return Vec::new() };
    let gap = |group: &usize| {
        let acknowledged = requests.iter().filter(|request| {
            let is_in_group = deployment.accounts[request.account].group == *group;
            let is_write = matches!(request.kind, Kind::Write { .. });
            is_in_group && is_write && request.succeeded() && request.started >= injection.at
        });
        acknowledged.map(|request| millis(request.ended - injection.at)).reduce(f64::min)
    };
    injection.groups.iter().map(gap).collect()
}

fn slowest_write(requests: &[Request]) -> f64 {
    let writes = requests
        .iter()
        .filter(|request| matches!(request.kind, Kind::Write { .. }) && request.succeeded());
    writes.map(|request| millis(request.ended - request.started)).fold(0.0, f64::max)
}

fn count_failures(requests: &[Request]) -> BTreeMap<String, u64> {
    let mut failures = BTreeMap::new();
    for request in requests {
        let name = match &request.outcome {
            Outcome::Done => continue,
            Outcome::Stale => format!("stale {}", request.arrival),
            Outcome::Crossed => "crossed".to_owned(),
            Outcome::NotRun(code) => format!("not run {code}"),
            Outcome::Unknown(code) => format!("unknown {code}"),
            Outcome::Committed => "committed, answer lost".to_owned(),
            Outcome::Cut => "cut".to_owned(),
            Outcome::Unreachable => "unreachable".to_owned(),
        };
        *failures.entry(name).or_insert(0) += 1;
    }
    failures
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "requests            {} ({:.3}% succeeded)",
            self.requests,
            self.success * 100.0
        )?;
        writeln!(f, "retried by clients  {}", self.retried)?;
        match self.replica_share {
            Some(share) => writeln!(f, "replica share       {:.3} of the reads", share)?,
            None => writeln!(f, "replica share       not measured")?,
        }
        if let Some(gap) = self.failover_gap_ms {
            writeln!(f, "failover gap        {gap:.0} ms")?;
        }
        if self.groups_without_write > 0 {
            writeln!(f, "no write after      {} groups", self.groups_without_write)?;
        }
        if let Some(worst) = &self.worst_account {
            let success = worst.success * 100.0;
            writeln!(f, "worst account       {} ({success:.3}% succeeded)", worst.account)?;
        }
        writeln!(f, "worst p99           {:.1} ms", self.worst_p99_ms)?;
        writeln!(f, "slowest write       {:.1} ms", self.slowest_write_ms)?;
        writeln!(f, "wrongful refusals   {}", self.wrongful_refusals)?;
        writeln!(f, "service             {:.4} of requests", self.service)?;
        for (failure, count) in &self.failures {
            writeln!(f, "failed              {count} x {failure}")?;
        }
        let counts: Vec<_> =
            self.breaches.iter().map(|(b, count)| format!("{b} {count}")).collect();
        // The line lists the number of breaches of each kind.
        write!(f, "broken promises     {}", counts.join(", "))
    }
}
