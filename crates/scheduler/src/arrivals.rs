//! The rate at which work arrives.
//!
//! Built for queues that peak in turn: the rate shows the height of a peak within half a second of its beginning, whereas
//! the backlog shows it only after the duration of a job.

use std::collections::VecDeque;

/// The shortest time over which the work of a job is spread. Shorter times would follow single jobs.
const MIN_WINDOW_MS: u64 = 500;

/// The work of a job is spread over its critical path divided by this. The latency objective of a long job allows more
/// time until its peak has to be known.
const WINDOW_DIVISOR: u64 = 2;

/// The longest time for which a job counts. Once a job runs, the pool's running tasks show what it uses.
const MAX_COUNTED_MS: u64 = 2000;

/// The times over which the rate of a beginning peak is measured, in ms, the shortest first.
const ONSET_WINDOWS_MS: [u64; 2] = [150, 300];

/// The number of jobs that a measurement of a beginning peak needs. The rate of fewer jobs is mostly chance.
const MIN_ONSET_JOBS: usize = 8;

/// A rate over a short time that exceeds the usual measurement by this many percent shows the beginning of a peak.
const ONSET_PERCENT: u64 = 150;

/// The work that arrived lately.
#[derive(Debug, Clone, Default)]
pub(crate) struct Arrivals {
    recent: VecDeque<Arrival>,
}

/// The contribution of a job to the rate.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    /// When the job arrived, in ms on the daemon's clock.
    at_ms: u64,
    /// When the contribution ends, in ms on the daemon's clock.
    until_ms: u64,
    /// The work of the job, in thousandths of a core times ms.
    work: u64,
    /// The work of the job by the time over which it is spread, in thousandths of a core.
    cpu_milli: u64,
}

impl Arrivals {
    /// Records a job that was submitted at `now_ms` on the daemon's clock. `work` is the job's work, in thousandths of a
    /// core times ms, and `critical_path_ms` its critical path.
    pub(crate) fn record(&mut self, work: u64, critical_path_ms: u64, now_ms: u64) {
        let window_ms = (critical_path_ms / WINDOW_DIVISOR).max(MIN_WINDOW_MS);
        let cpu_milli = work / window_ms;
        if cpu_milli > 0 {
            self.recent.push_back(Arrival {
                at_ms: now_ms,
                until_ms: now_ms + window_ms.min(MAX_COUNTED_MS),
                work,
                cpu_milli,
            });
        }
    }

    /// The CPU that keeps up with the work that arrives, in thousandths of a core. At the beginning of a peak, this is the
    /// rate over a time that is short, but long enough for several jobs.
    pub(crate) fn cpu_milli(&mut self, now_ms: u64) -> u64 {
        self.recent.retain(|arrival| now_ms < arrival.until_ms);
        let recent = self.recent.iter().map(|arrival| arrival.cpu_milli);
        let usual = recent.fold(0, u64::saturating_add);
        let onset = self.onset_cpu_milli(now_ms);
        let is_onset = onset > usual.saturating_mul(ONSET_PERCENT) / 100;
        if is_onset { onset } else { usual }
    }

    /// The rate over the shortest of the onset windows with enough jobs, in thousandths of a core; 0 if there is none.
    fn onset_cpu_milli(&self, now_ms: u64) -> u64 {
        for window_ms in ONSET_WINDOWS_MS {
            let since_ms = now_ms.saturating_sub(window_ms);
            let recent = self.recent.iter().rev();
            let in_window = recent.take_while(|arrival| arrival.at_ms > since_ms);
            let (jobs, work) = in_window.fold((0, 0_u64), |(jobs, work), arrival| {
                (jobs + 1, work.saturating_add(arrival.work))
            });
            if jobs >= MIN_ONSET_JOBS {
                return work / window_ms;
            }
        }
        0
    }
}
