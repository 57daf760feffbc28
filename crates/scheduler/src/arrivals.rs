//! The rate at which work arrives.
//!
//! Built for queues that peak in turn: the rate shows the height of a peak within half a second of its beginning, and
//! the backlog only after as long as a job takes.

use std::collections::VecDeque;

use submission::JobSpec;

/// The shortest time over which the work of a job counts towards the rate. Shorter times would follow single jobs.
const MIN_WINDOW_MS: u64 = 500;

/// The work of a job counts towards the rate for the critical path divided by this. The latency objective of a long job
/// allows more time until its peak has to be known.
const WINDOW_DIVISOR: u64 = 2;

/// The work that arrived lately.
#[derive(Debug, Clone, Default)]
pub(crate) struct Arrivals {
    recent: VecDeque<Arrival>,
}

/// The contribution of a job to the rate.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    /// When the contribution ends, in ms on the daemon's clock.
    until_ms: u64,
    /// The work of the job per time for which it counts, in thousandths of a core.
    cpu_milli: u64,
}

impl Arrivals {
    /// Records a job that was submitted at `now_ms` on the daemon's clock. `critical_path_ms` is the critical path of the
    /// job.
    pub(crate) fn record(&mut self, spec: &JobSpec, critical_path_ms: u64, now_ms: u64) {
        let batch = spec.steps.iter().filter(|step| !step.is_service);
        let work = batch.map(|step| {
            u64::from(step.tasks)
                * u64::from(step.footprint().cpu_milli)
                * step.estimated_duration_ms
        });
        let window_ms = (critical_path_ms / WINDOW_DIVISOR).max(MIN_WINDOW_MS);
        let arrival = Arrival {
            until_ms: now_ms + window_ms,
            cpu_milli: work.sum::<u64>() / window_ms,
        };
        if arrival.cpu_milli > 0 {
            self.recent.push_back(arrival);
        }
    }

    /// The CPU that keeps up with the work that arrives, in thousandths of a core.
    pub(crate) fn cpu_milli(&mut self, now_ms: u64) -> u64 {
        self.recent.retain(|arrival| now_ms < arrival.until_ms);
        self.recent.iter().map(|arrival| arrival.cpu_milli).sum()
    }
}
