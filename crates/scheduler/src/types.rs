//! What a scheduler is told, and what it tells.

use smol_str::SmolStr;
use submission::JobState;

/// The present, on the three clocks that matter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Now {
    /// This daemon's clock, which also counts suspensions.
    pub local_ms: u64,
    /// The store's steady clock, as far as it is known.
    pub store_ms: u64,
    /// Milliseconds since 1970. Only times that callers set are compared with it.
    pub unix_ms: u64,
}

/// The figures of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// How long a granted lease lasts, whichever daemon grants it.
    pub lease_ms: u64,
    /// How long an owner grants leases after its last recorded write.
    pub owner_grace_ms: u64,
    /// By how much a worker's clock may be slow.
    pub slow_clock_percent: u64,
    /// How long ended jobs are kept.
    pub keep_ended_ms: u64,
}

/// What a configuration says of a queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueRules {
    /// 0 goes first.
    pub priority: u32,
    /// How many runs of a task may fail.
    pub attempts: u32,
    /// The objective is this many times the longest chain, and `objective_ms` more.
    pub stretch: f64,
    /// See `stretch`.
    pub objective_ms: u64,
    /// Whether a policy service has to allow workers.
    pub has_policy: bool,
}

/// A change of what the scheduler believes, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// A worker is given nothing for a while.
    Avoided {
        /// The worker.
        worker: SmolStr,
        /// What spoke against it.
        cause: &'static str,
    },
    /// A worker's leases have lapsed without an answer; what it ran is free to start again.
    Lapsed {
        /// The worker.
        worker: SmolStr,
        /// How many runs it had.
        runs: usize,
    },
}

/// What is known of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobAnswer {
    /// Its state by the rows written.
    Recorded(JobState),
    /// Its rows are about to be written.
    NotYetRecorded,
    /// It is not among this pool's jobs.
    Unknown,
}

/// What came of an order to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// It runs.
    Started,
    /// It does not fit.
    NoRoom,
    /// It does not run, for a reason of the worker.
    Unhealthy,
    /// It does not run, for a reason of the order.
    Refused,
    /// No answer: it may run, now or later.
    Unanswered,
}
