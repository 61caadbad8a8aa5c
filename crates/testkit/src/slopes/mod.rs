//! Capacity experiments: growth of a daemon's resource use with one count.
//!
//! Each experiment starts a deployment of three VMs as real processes, sets one
//! count to several values and measures the resources that the first daemon
//! used. It fits a line to the measurements of each cost. `docs/CAPACITY.md` is
//! based on the results.

mod experiments;
mod fit;
mod groups;
mod sample;

use std::{fmt, time::Duration};

use serde::Serialize;

pub use self::{experiments::Experiment, fit::Fit, sample::Sample};

/// Growth of one cost with one count.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// Name of the count.
    pub count: &'static str,
    /// Name of the cost, with its unit.
    pub cost: &'static str,
    /// Measured pairs of count and cost.
    pub points: Vec<(f64, f64)>,
    /// Line fitted to the points.
    pub fit: Fit,
}

impl Slope {
    /// Creates the slope of one cost by fitting a line to its points.
    pub fn new(count: &'static str, cost: &'static str, points: Vec<(f64, f64)>) -> Self {
        let fit = Fit::new(&points);
        Slope { count, cost, points, fit }
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let points: Vec<String> = self.points.iter().map(|(x, y)| format!("{x}: {y:.4}")).collect();
        write!(
            f,
            "{:<16} {:<26} {:>12.6} {:>12.4} {:>7.1}%  {}",
            self.count,
            self.cost,
            self.fit.slope,
            self.fit.base,
            self.fit.error * 100.0,
            points.join(", ")
        )
    }
}

/// Heading of a table of slopes; its columns match the `Display` output of
/// [`Slope`].
pub const HEADING: &str =
    "count            cost                              slope         base   error  points";

/// Durations that all experiments use.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time over which a cost is measured at each count.
    pub length: Duration,
    /// Time between a change and the next measurement, in which the deployment
    /// reaches a steady state.
    pub settle: Duration,
}
