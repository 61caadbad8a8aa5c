//! Resource use of one daemon: its resident memory now, and its processor time
//! and control traffic since it started.

use std::{fs, io};

use indexmap::IndexMap;

use crate::{
    bench::resident_bytes,
    cluster::{Cluster, ClusterError},
};

/// Clock ticks a second, the unit of processor time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Indices of user and system time among the fields that follow the name of the
/// process in `/proc/PID/stat`.
const TIME_FIELDS: [usize; 2] = [11, 12];
/// Metric that counts bytes of control traffic, up to the label's value.
const CONTROL_METRIC: &str = "chicoryhollow_control_bytes_total{channel=\"";

/// Resource use of one daemon at one moment.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Resident memory in bytes.
    pub memory: f64,
    /// Processor time since the daemon's start, in seconds.
    pub processor: f64,
    /// Bytes of control traffic since the daemon's start, by channel.
    pub control: IndexMap<String, f64>,
}

impl Sample {
    /// Reads the resource use of the daemon of a VM.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not run or does not answer.
    pub async fn new(cluster: &Cluster, vm: usize) -> Result<Self, ClusterError> {
        let process = cluster.daemon_id(vm).ok_or(io::Error::from(io::ErrorKind::NotFound))?;
        let text = cluster.metrics(vm).await?;
        let control = text.lines().filter_map(|line| {
            let (channel, rest) = line.strip_prefix(CONTROL_METRIC)?.split_once('"')?;
            Some((channel.to_owned(), rest.rsplit(' ').next()?.parse().ok()?))
        });
        Ok(Sample {
            memory: resident_bytes(process)? as f64,
            processor: processor_seconds(process)?,
            control: control.collect(),
        })
    }

    /// Returns the bytes of control traffic over all channels.
    pub fn control_bytes(&self) -> f64 {
        self.control.values().sum()
    }

    /// Returns the bytes of control traffic on one channel.
    pub fn channel_bytes(&self, channel: &str) -> f64 {
        self.control.get(channel).copied().unwrap_or(0.0)
    }
}

fn processor_seconds(process: u32) -> io::Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The process name is in parentheses and may contain spaces, so the fields
    // are split after the last parenthesis.
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = TIME_FIELDS.iter().filter_map(|field| fields.get(*field)?.parse::<f64>().ok());
    Ok(ticks.sum::<f64>() / TICKS_PER_SECOND)
}
