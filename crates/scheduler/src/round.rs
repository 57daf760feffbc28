//! What the last round of placement did, for logs and metrics.

/// The counts of a round of placement.
///
/// ```
/// use scheduler::{Limits, Now, Scheduler};
/// let limits = Limits {
///     lease_ms: 5000,
///     max_lease_ms: 10_000,
///     owner_grace_ms: 4000,
///     slow_clock_percent: 3,
///     ended_job_retention_ms: 120_000,
///     stop_ms: 200,
/// };
/// let mut scheduler = Scheduler::new(limits);
/// scheduler.plan(Now::default());
/// assert!(scheduler.last_round().is_complete());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RoundSummary {
    /// The number of steps that the round visited.
    pub visited_steps: usize,
    /// The number of steps for which a worker was looked for among all workers in vain.
    pub failed_lookups: usize,
    /// The number of assigned tasks.
    pub started_tasks: usize,
    /// Since when each round has ended before it came to all ready steps, in ms on the daemon's clock; `None` if the last one
    /// came to all of them.
    pub incomplete_since_ms: Option<u64>,
}

impl RoundSummary {
    /// Returns whether the round came to all ready steps.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.incomplete_since_ms.is_none()
    }
}
