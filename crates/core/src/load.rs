//! Load of backend servers, as their homes report it and as this VM has measured it.
//!
//! A home measures the work of its own connections to a server ([`Meter`]) and reports it
//! ([`Report`]) to the VMs that use these connections, along with answers that are sent
//! anyway ([`ReportPacer`]). A VM keeps the newest report of each home ([`Loads`]). A report
//! loses weight as it ages, in favour of what the VM has measured itself.

mod meter;
mod pacer;

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    average::Average,
    id::{ServerId, VmId},
    position::Position,
    time::Time,
    waiting::Priority,
};

pub use self::{
    meter::{Counts, Meter, Outcome},
    pacer::{ReportPacer, SentReport},
};

/// Number of priorities that reports distinguish; less urgent ones count as the last.
pub const PRIORITIES: usize = 3;

/// Time in which the weight of a report halves.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Time in which the weight of this VM's own measurements halves.
const OWN_HALF_LIFE: Duration = Duration::from_secs(5);

/// Age from which on a report is not used. Its home may no longer exist.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);

/// Share of recent statements, in thousandths.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Permille(u16);

impl Permille {
    /// Creates a share; a greater one than the whole counts as the whole.
    pub fn new(thousandths: u32) -> Self {
        Permille(thousandths.min(1_000) as u16)
    }

    /// Creates a constant share, which must be at most the whole.
    pub const fn from_thousandths(thousandths: u16) -> Self {
        Permille(thousandths)
    }

    /// Returns the share in thousandths.
    pub fn get(self) -> u32 {
        self.0.into()
    }
}

/// Shares of recent statements that failed, by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Failures {
    /// Statements that the server rejected without running them.
    pub rejected: Permille,
    /// Connections that could not be opened or were lost.
    pub broken: Permille,
    /// Statements whose caller stopped waiting for the answer.
    pub unanswered: Permille,
}

impl Failures {
    /// Returns the share of all kinds together.
    pub fn total(&self) -> Permille {
        Permille::new(self.rejected.get() + self.broken.get() + self.unanswered.get())
    }
}

/// What a home knows of the load of a backend server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Average number of connections of this home that are in use, in hundredths.
    pub in_flight: u32,
    /// Requests that wait for a connection of this home.
    pub waiting: u32,
    /// Expected wait for a connection, by priority.
    pub waits: [Duration; PRIORITIES],
    /// Mean time in which the server answers a statement, as seen from the home.
    pub service: Duration,
    /// Lowest recent mean of that time. The difference is time in the server's own queue.
    pub quiet_service: Duration,
    /// Shares of recent statements that failed.
    pub failures: Failures,
    /// Newest position that the server is known to have applied.
    pub applied: Position,
    /// Time since the newest measurement.
    pub age: Duration,
}

impl Report {
    /// Returns the expected wait of a request with `priority`.
    pub fn wait(&self, priority: Priority) -> Duration {
        self.waits[usize::from(priority.get()).min(PRIORITIES - 1)]
    }
}

/// What is expected of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outlook {
    /// Time on the way to the home and back.
    pub network: Duration,
    /// Time until a connection is free.
    pub wait: Duration,
    /// Time in which the server answers.
    pub service: Duration,
    /// Time by which the server answers later than when it is quiet.
    pub queueing: Duration,
    /// Average number of connections in use, over all homes that reported.
    pub in_flight: f64,
    /// Share of recent statements that failed.
    pub failures: Permille,
    /// Weight of the reports, from 0 to 1.
    pub weight: f64,
}

#[derive(Clone, Debug)]
struct Heard {
    report: Report,
    measured: Time,
}

#[derive(Clone, Debug, Default)]
struct Load {
    homes: IndexMap<VmId, Heard>,
    network: Average,
    /// Waits for a connection and response times that this VM has measured itself.
    own_wait: Average,
    own_response: Average,
    own_measured: Time,
}

/// What is assumed of a server of which nothing is known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Assumption {
    /// Time on the way to the server and back.
    pub network: Duration,
    /// Time in which the server answers.
    pub service: Duration,
}

/// One use of a server by this VM.
#[derive(Clone, Copy, Debug)]
pub struct Visit {
    /// Time until this VM had a connection.
    pub wait: Duration,
    /// Time from the command to its answer.
    pub response: Duration,
}

/// A VM's knowledge of the load of the servers of one group.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use chicoryhollow_core::{Time, load::{Assumption, Loads, Report}, waiting::Priority};
///
/// let (server, home) = ("orders-2".parse()?, "vm-7".parse()?);
/// let service = Duration::from_millis(18);
/// let mut loads = Loads::new();
/// loads.record_report(&server, &home, Report { service, ..Report::default() }, Time::default());
/// let assumed = Assumption::default();
/// let outlook = loads.outlook(&server, Priority::default(), assumed, Time::default());
/// assert_eq!(outlook.service, service);
/// # Ok::<(), chicoryhollow_core::id::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Loads {
    servers: IndexMap<ServerId, Load>,
}

impl Loads {
    /// Creates the state of a VM that knows nothing yet.
    pub fn new() -> Self {
        Loads::default()
    }

    /// Removes what is known of servers other than those that `is_present` accepts.
    pub fn retain(&mut self, is_present: impl Fn(&ServerId) -> bool) {
        self.servers.retain(|server, _| is_present(server));
    }

    /// Records a report of `home`, which arrived now.
    pub fn record_report(&mut self, server: &ServerId, home: &VmId, report: Report, now: Time) {
        let measured = now - report.age;
        let homes = &mut self.load(server).homes;
        homes.retain(|_, heard| now.since(heard.measured) < MAX_REPORT_AGE);
        match homes.get_mut(home) {
            Some(heard) if heard.measured > measured => {}
            Some(heard) => *heard = Heard { report, measured },
            None => drop(homes.insert(home.clone(), Heard { report, measured })),
        }
    }

    /// Records the time that a message took to the home and back, without the server's work.
    pub fn record_network(&mut self, server: &ServerId, delay: Duration) {
        self.load(server).network.add(delay);
    }

    /// Records a use of a server by this VM.
    pub fn record_visit(&mut self, server: &ServerId, visit: Visit, now: Time) {
        let load = self.load(server);
        load.own_wait.add(visit.wait);
        load.own_response.add(visit.response);
        load.own_measured = now;
    }

    /// Returns the mean service time over the servers with recent reports, which is assumed
    /// of the others too.
    pub fn typical_service(&self, now: Time) -> Duration {
        let sums = self.servers.values().map(|load| load.sums(Priority::default(), now));
        let (weight, service) = sums.fold((0.0, 0.0), |(weight, service), sums| {
            (weight + sums.weight, service + sums.service)
        });
        if weight > 0.0 { seconds(service / weight) } else { Duration::ZERO }
    }

    /// Returns what is expected of a server.
    pub fn outlook(
        &self,
        server: &ServerId,
        priority: Priority,
        assumed: Assumption,
        now: Time,
    ) -> Outlook {
        let Some(load) = self.servers.get(server) else {
            let Assumption { network, service } = assumed;
            return Outlook { network, service, ..Outlook::default() };
        };
        let network = load.network.get().unwrap_or(assumed.network);
        let own_weight = fade(now.since(load.own_measured), OWN_HALF_LIFE);
        let unknown = network + assumed.service;
        let own_response = blend(load.own_response.get().unwrap_or(unknown), unknown, own_weight);
        let own_wait = blend(load.own_wait.get().unwrap_or_default(), Duration::ZERO, own_weight);
        let own_service = own_response.saturating_sub(network);
        let sums = load.sums(priority, now);
        let mean = |sum: f64| if sums.weight > 0.0 { sum / sums.weight } else { 0.0 };
        let weight = sums.newest;
        Outlook {
            network,
            wait: blend(seconds(mean(sums.wait)), own_wait, weight),
            service: blend(seconds(mean(sums.service)), own_service, weight),
            queueing: seconds(mean(sums.queueing) * weight),
            in_flight: sums.in_flight,
            failures: Permille::new((mean(sums.failures) * weight) as u32),
            weight,
        }
    }

    /// Returns the newest position that a home reported as applied.
    pub fn applied(&self, server: &ServerId) -> Position {
        let load = self.servers.get(server);
        let homes = load.into_iter().flat_map(|load| load.homes.values());
        homes.map(|heard| heard.report.applied).max().unwrap_or_default()
    }

    fn load(&mut self, server: &ServerId) -> &mut Load {
        if !self.servers.contains_key(server) {
            self.servers.insert(server.clone(), Load::default());
        }
        &mut self.servers[server]
    }
}

/// Weighted sums over the homes of a server.
#[derive(Default)]
struct Sums {
    weight: f64,
    newest: f64,
    wait: f64,
    service: f64,
    queueing: f64,
    failures: f64,
    in_flight: f64,
}

impl Load {
    fn sums(&self, priority: Priority, now: Time) -> Sums {
        let mut sums = Sums::default();
        for Heard { report, measured } in self.homes.values() {
            let age = now.since(*measured);
            if age >= MAX_REPORT_AGE {
                continue;
            }
            let weight = fade(age, REPORT_HALF_LIFE);
            let queueing = report.service.saturating_sub(report.quiet_service);
            sums.weight += weight;
            sums.newest = sums.newest.max(weight);
            sums.wait += weight * report.wait(priority).as_secs_f64();
            sums.service += weight * report.service.as_secs_f64();
            sums.queueing += weight * queueing.as_secs_f64();
            sums.failures += weight * f64::from(report.failures.total().get());
            sums.in_flight += f64::from(report.in_flight) / 100.0;
        }
        sums
    }
}

/// Returns the weight that is left after `age`.
fn fade(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

fn blend(first: Duration, second: Duration, weight: f64) -> Duration {
    seconds(first.as_secs_f64() * weight + second.as_secs_f64() * (1.0 - weight))
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or_default()
}

#[cfg(test)]
mod tests;
