//! How a daemon's costs grow with one count at a time.
//!
//! Each experiment brings up a deployment of three VMs as real processes, sets
//! one count to several values and reads what the first daemon used. The
//! results carry `docs/CAPACITY.md`.

mod experiments;
mod fit;
mod groups;
mod sample;

use std::{fmt, time::Duration};

use serde::Serialize;

pub use self::{experiments::Experiment, fit::Fit, sample::Sample};

/// How one cost grows with one count.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// What was counted.
    pub count: &'static str,
    /// What it costs, with its unit.
    pub cost: &'static str,
    /// Counts and costs that were measured.
    pub points: Vec<(f64, f64)>,
    /// The line through the points.
    pub fit: Fit,
}

impl Slope {
    /// Fits a line to the points of one cost.
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

/// Heading of a table of slopes.
pub const HEADING: &str =
    "count            cost                              slope         base   error  points";

/// What all experiments share.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time over which a cost is read at each count.
    pub length: Duration,
    /// Time that the deployment has to settle after a change.
    pub settle: Duration,
}
