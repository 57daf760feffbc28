//! Measurements: each prints a table with the command that gave it.

mod capacity;
mod idle;
mod jobs;
mod path;
mod policies;

use std::path::Path;
use std::time::Duration;

use clap::Subcommand;
use hdrhistogram::Histogram;
use test_support::{Cluster, Usage};

use crate::Result;

/// What to measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Subcommand)]
pub(crate) enum Measurement {
    /// What one daemon adds to a request, carries per core and keeps per connection.
    Path,
    /// What idle daemons use for control, by their number.
    Idle,
    /// How a daemon's memory, processor time and bytes grow with VMs, claims and changes.
    Capacity,
    /// How long urgent work takes to start on a full fleet, by the number of jobs.
    Jobs,
    /// The ways to choose a target, next to each other.
    Policies,
}

/// Measures.
pub(crate) async fn run(measurement: Measurement) -> Result<()> {
    let programs = crate::fleet::build()?;
    let daemon = programs.join("trefoilpassd");
    println!("{}", machine_state());
    match measurement {
        Measurement::Path => path::run(&daemon).await,
        Measurement::Idle => idle::run(&daemon).await,
        Measurement::Capacity => capacity::run(&daemon).await,
        Measurement::Jobs => jobs::run(&daemon).await,
        Measurement::Policies => policies::run(&daemon).await,
    }
}

/// Processors and the load on them, so that a figure can be judged.
fn machine_state() -> String {
    let processors = std::thread::available_parallelism().map_or(0, usize::from);
    let load = std::fs::read_to_string(Path::new("/proc/loadavg")).unwrap_or_default();
    let load: Vec<_> = load.split_whitespace().take(3).collect();
    format!(
        "processors {processors}, load averages before the run {}",
        load.join(" ")
    )
}

fn quantiles(histogram: &Histogram<u64>) -> String {
    let at = |quantile| histogram.value_at_percentile(quantile);
    format!("{:>8} {:>8} {:>8}", at(50.0), at(99.0), at(99.9))
}

fn usage(cluster: &Cluster, daemon: usize) -> Usage {
    cluster.daemons[daemon]
        .as_ref()
        .map(test_support::Daemon::usage)
        .unwrap_or_default()
}

/// The share of a core used between two readings, in percent.
#[expect(clippy::cast_precision_loss, reason = "a share for a table")]
fn core_percent(before: Usage, after: Usage, time: Duration) -> f64 {
    let used_ms = after.cpu_ms.saturating_sub(before.cpu_ms);
    100.0 * used_ms as f64 / time.as_millis() as f64
}
