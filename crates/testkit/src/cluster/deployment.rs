//! Deployments: their groups, client accounts, sizes and delays.

use std::{fmt, str::FromStr, time::Duration};

/// A client account of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountSize {
    /// Name of the account.
    pub name: &'static str,
    /// Rate limit in requests per second.
    pub rate: f64,
    /// Burst limit in requests.
    pub burst: f64,
    /// Index of the database group that it uses.
    pub group: usize,
    /// Share of its requests that write, from 0 to 1.
    pub writes: f64,
}

/// Groups, client accounts, sizes and delays of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// Database groups, each with one server in each data centre.
    pub groups: [&'static str; 3],
    /// Client accounts.
    pub accounts: [AccountSize; 8],
    /// Number of VMs, spread evenly over the data centres.
    pub vms: usize,
    /// Round-trip time between data centres.
    pub data_centre_trip: Duration,
    /// Round-trip time between clients and VMs.
    pub client_trip: Duration,
    /// Number of statements that each backend server runs at once.
    pub slots: usize,
    /// Number of connections that each backend server accepts.
    pub connections: usize,
    /// Time that it takes to open a connection to a backend server.
    pub connect_delay: Duration,
    /// Time that a statement occupies its slot in addition to its execution.
    pub statement_time: Duration,
    /// Delay before replicas apply a record that they have received.
    pub apply_lag: Duration,
    /// Whether connections go through links, which add delays and can be cut.
    pub linked: bool,
}

/// Number of data centres in each deployment.
pub const DATA_CENTRES: usize = 3;

/// Rate and burst of an account without limits: no client reaches them.
const UNLIMITED: f64 = 1_000_000.0;

const fn account(
    name: &'static str,
    rate: f64,
    burst: f64,
    group: usize,
    writes: f64,
) -> AccountSize {
    AccountSize { name, rate, burst, group, writes }
}

impl Deployment {
    /// Returns the deployment of Brazos Valley Pressworks.
    pub fn pressworks() -> Self {
        Deployment {
            name: "pressworks",
            groups: ["batches", "stock", "orders"],
            accounts: [
                account("press-line", 200.0, 60.0, 0, 0.5),
                account("quality", 60.0, 30.0, 0, 0.2),
                account("tank-farm", 40.0, 20.0, 0, 0.3),
                account("cold-room", 250.0, 60.0, 1, 0.1),
                account("forklifts", 80.0, 30.0, 1, 0.1),
                account("receiving", 30.0, 20.0, 1, 0.5),
                account("order-desk", 60.0, 30.0, 2, 0.4),
                account("dispatch", 40.0, 20.0, 2, 0.2),
            ],
            vms: 6,
            data_centre_trip: Duration::from_millis(1),
            client_trip: Duration::from_millis(3),
            slots: 3,
            connections: 20,
            connect_delay: Duration::from_millis(10),
            statement_time: Duration::ZERO,
            apply_lag: Duration::from_millis(10),
            linked: true,
        }
    }

    /// Returns the deployment of Gemeentelijk Drukwerkbedrijf Zaanstreek.
    pub fn zaanstreek() -> Self {
        Deployment {
            name: "zaanstreek",
            groups: ["quotes-north", "quotes-south", "quotes-west"],
            accounts: [
                account("counter", 200.0, 60.0, 0, 0.2),
                account("follow-up", 100.0, 40.0, 0, 0.4),
                account("shopfronts", 40.0, 20.0, 0, 0.2),
                account("reminders", 250.0, 100.0, 1, 0.5),
                account("banners", 40.0, 20.0, 1, 0.2),
                account("street-signs", 30.0, 20.0, 1, 0.2),
                account("small-press", 20.0, 20.0, 2, 0.3),
                account("lettering", 20.0, 20.0, 2, 0.3),
            ],
            vms: 6,
            data_centre_trip: Duration::from_micros(500),
            client_trip: Duration::from_millis(1),
            slots: 5,
            connections: 50,
            connect_delay: Duration::from_millis(30),
            statement_time: Duration::ZERO,
            apply_lag: Duration::from_millis(10),
            linked: true,
        }
    }

    /// Returns a deployment without delays and links. It has ample connections, and
    /// no client reaches the rates of its accounts.
    pub fn unlimited() -> Self {
        let mut deployment = Deployment::pressworks();
        for account in &mut deployment.accounts {
            account.rate = UNLIMITED;
            account.burst = UNLIMITED;
        }
        Deployment {
            name: "unlimited",
            vms: DATA_CENTRES,
            data_centre_trip: Duration::ZERO,
            client_trip: Duration::ZERO,
            slots: 128,
            connections: 256,
            connect_delay: Duration::ZERO,
            apply_lag: Duration::ZERO,
            linked: false,
            ..deployment
        }
    }

    /// Returns the name of a data centre.
    pub fn data_centre(index: usize) -> String {
        format!("dc-{}", index % DATA_CENTRES + 1)
    }

    /// Returns the name of a group's server in a data centre.
    pub fn server(&self, group: usize, data_centre: usize) -> String {
        format!("{}-{}", self.groups[group], data_centre + 1)
    }

    /// Returns the name of a VM.
    pub fn vm(index: usize) -> String {
        format!("vm-{}", index + 1)
    }
}

impl fmt::Display for Deployment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name)
    }
}

impl FromStr for Deployment {
    type Err = DeploymentError;

    fn from_str(text: &str) -> Result<Self, DeploymentError> {
        match text {
            "pressworks" => Ok(Deployment::pressworks()),
            "zaanstreek" => Ok(Deployment::zaanstreek()),
            _ => Err(DeploymentError),
        }
    }
}

/// Error for a name that is not the name of a deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a deployment is `pressworks` or `zaanstreek`")]
pub struct DeploymentError;
