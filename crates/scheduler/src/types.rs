//! Inputs and results of the scheduler.

use std::fmt;

use smol_str::SmolStr;
use submission::{CrashEvidence, JobState};

/// The current time on each of the three clocks, in ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Now {
    /// The daemon's clock, in ms. Time during which the machine is suspended counts.
    pub local_ms: u64,
    /// The estimated time of the store's monotonic clock, in ms.
    pub store_ms: u64,
    /// Milliseconds since 1970. Compared only with times that callers set.
    pub unix_ms: u64,
}

/// The durations and the clock tolerance by which leases are granted and ended jobs are retained in a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The duration of a granted lease in ms, the same for all daemons of the deployment.
    pub lease_ms: u64,
    /// The duration to which workers shorten a lease, in ms; at least `lease_ms`.
    pub max_lease_ms: u64,
    /// How long an owner may grant leases after its last recorded write, in ms.
    pub owner_grace_ms: u64,
    /// By how much a worker's clock may run slower than the daemon's, in percent; less than 100.
    pub slow_clock_percent: u64,
    /// How long ended jobs are retained, in ms.
    pub ended_job_retention_ms: u64,
    /// How long an attempt may still run after its worker has accepted a stop command, in ms.
    pub stop_ms: u64,
}

/// A change in the state of a worker, for the log.
#[derive(Clone, PartialEq, Eq)]
pub enum SchedulerEvent {
    /// The worker was blocklisted: no task is assigned to the worker for a while.
    Blocklisted {
        /// The id of the worker.
        worker: SmolStr,
        /// Why the worker was blocklisted.
        cause: &'static str,
    },
    /// The leases on an unresponsive worker expired, so that the tasks of the worker may start again elsewhere.
    LeasesExpired {
        /// The id of the worker.
        worker: SmolStr,
        /// The number of attempts that were assigned to the worker.
        attempts: usize,
    },
    /// A report came from another incarnation of a worker than the reports before.
    Restarted {
        /// The id of the worker, which both incarnations have.
        worker: SmolStr,
        /// The start of the previous incarnation, in ms since 1970 on the worker's clock.
        previous_start_unix_ms: u64,
        /// The start of the incarnation that reported, in ms since 1970 on the worker's clock.
        start_unix_ms: u64,
    },
    /// An attempt counts as lost, because its start command was settled and a later report of its worker doesn't list it.
    NotListed {
        /// The id of the worker.
        worker: SmolStr,
        /// The name of the task.
        task: SmolStr,
        /// The number of the attempt.
        attempt: u32,
    },
    /// A service task is stopped, because its worker is drained.
    StoppedForDrain {
        /// The id of the worker.
        worker: SmolStr,
        /// The name of the task.
        task: SmolStr,
        /// The number of the attempt.
        attempt: u32,
        /// The number of other tasks of the step that are unavailable.
        unavailable: u32,
        /// The number of unavailable tasks that the step tolerates.
        tolerated: u32,
        /// The number of other tasks that count as available and whose attempts a previous owner started.
        adopted: u32,
        /// The age of the oldest report by which one of the other tasks counts as available, in ms.
        oldest_report_ms: u64,
    },
    /// A worker crashed while attempts may have run there.
    Crashed {
        /// The id of the worker.
        worker: SmolStr,
        /// How the scheduler learned of the crash.
        source: CrashSource,
        /// The tasks for which the crash counts.
        tasks: Vec<CrashedTask>,
    },
    /// A task is given up, because too many workers crashed under it.
    GivenUp {
        /// The name of the task.
        task: SmolStr,
        /// The number of workers that crashed under the task.
        crashes: u32,
        /// The crashes that this owner has counted, in order.
        counts: Vec<CountedCrash>,
    },
    /// A service task is not started again, because too many workers crashed under it. The other tasks of its job go on.
    Held {
        /// The name of the task.
        task: SmolStr,
        /// The number of workers that crashed under the task.
        crashes: u32,
        /// The crashes that this owner has counted, in order.
        counts: Vec<CountedCrash>,
    },
    /// Not all waiting jobs can meet their latency objective any more, and they are ordered by what their delay costs.
    OverloadBegan {
        /// The time that the pool needs for the jobs that can still meet their objective, in ms.
        queue_ms: u64,
        /// The number of these jobs.
        jobs: usize,
    },
    /// For a while, all waiting jobs could meet their latency objective.
    OverloadEnded {
        /// The time from the first to the last measurement of the overload, in ms.
        duration_ms: u64,
    },
}

/// How the scheduler learned that a worker has crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashSource {
    /// A worker with another id responded at the address.
    AnotherIdResponds,
    /// A report came from another start of the worker.
    AnotherStartReports,
    /// The leader reported that the incarnation has ended.
    ReportedByLeader,
}

/// A task for which the crash of a worker counts.
#[derive(Clone, PartialEq, Eq)]
pub struct CrashedTask {
    /// The name of the task.
    pub task: SmolStr,
    /// The number of workers that have crashed under the task.
    pub crashes: u32,
    /// How far the crash shows that the task was the cause.
    pub evidence: CrashEvidence,
    /// Whether a response showed that the attempt had started on the worker.
    pub is_start_confirmed: bool,
    /// How long the attempt is known to have run, in ms.
    pub ran_for_ms: u64,
}

/// A crash of a worker on which a verdict on a task rests.
#[derive(Clone, PartialEq, Eq)]
pub struct CountedCrash {
    /// The id of the worker.
    pub worker: SmolStr,
    /// How the scheduler learned of the crash.
    pub source: CrashSource,
    /// How far the crash shows that the task was the cause.
    pub evidence: CrashEvidence,
    /// Whether a response showed that the attempt had started on the worker.
    pub is_start_confirmed: bool,
    /// How long the attempt is known to have run, in ms.
    pub ran_for_ms: u64,
    /// The time since the crash was counted, in ms.
    pub age_ms: u64,
}

/// Writes one line, as a record lists all crashes under a task.
impl fmt::Debug for CountedCrash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start = start_label(self.is_start_confirmed);
        let Self {
            worker,
            source,
            evidence,
            ran_for_ms,
            age_ms,
            ..
        } = self;
        write!(
            f,
            "({worker:?}, {source:?}, {evidence:?}, {start}, {ran_for_ms} ms, {age_ms} ms ago)"
        )
    }
}

fn start_label(is_confirmed: bool) -> &'static str {
    if is_confirmed {
        "started"
    } else {
        "unanswered"
    }
}

/// Writes one line, as a record lists all tasks of a worker.
impl fmt::Debug for CrashedTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start = start_label(self.is_start_confirmed);
        let Self {
            task,
            crashes,
            evidence,
            ran_for_ms,
            ..
        } = self;
        write!(
            f,
            "({task:?}, {crashes}, {evidence:?}, {start}, {ran_for_ms} ms)"
        )
    }
}

impl SchedulerEvent {
    /// Returns what happened, as a message for the log.
    ///
    /// ```
    /// use scheduler::SchedulerEvent;
    /// let event = SchedulerEvent::LeasesExpired { worker: "w-1".into(), attempts: 2 };
    /// assert_eq!(event.message(), "a worker was blocklisted or its leases expired");
    /// ```
    #[must_use]
    pub fn message(&self) -> &'static str {
        match self {
            Self::Blocklisted { .. } | Self::LeasesExpired { .. } => {
                "a worker was blocklisted or its leases expired"
            }
            Self::Restarted { .. } => "a worker restarted under its id",
            Self::NotListed { .. } => "an attempt counts as lost: its worker does not list it",
            Self::StoppedForDrain { .. } => "a service task is stopped: its worker is drained",
            Self::Crashed { .. } => "a worker crashed under its tasks",
            Self::GivenUp { .. } => "a task is given up: workers crash under it",
            Self::Held { .. } => "a service task is held: workers crash under it",
            Self::OverloadBegan { .. } | Self::OverloadEnded { .. } => {
                "the overload of a pool began or ended"
            }
        }
    }
}

/// Writes the names of variants and fields that log records use.
impl fmt::Debug for SchedulerEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Blocklisted { worker, cause } => f
                .debug_struct("Avoided")
                .field("worker", worker)
                .field("cause", cause)
                .finish(),
            Self::LeasesExpired { worker, attempts } => f
                .debug_struct("Lapsed")
                .field("worker", worker)
                .field("runs", attempts)
                .finish(),
            Self::Restarted {
                worker,
                previous_start_unix_ms,
                start_unix_ms,
            } => f
                .debug_struct("Restarted")
                .field("worker", worker)
                .field("previous_start_unix_ms", previous_start_unix_ms)
                .field("start_unix_ms", start_unix_ms)
                .finish(),
            Self::NotListed {
                worker,
                task,
                attempt,
            } => f
                .debug_struct("NotListed")
                .field("worker", worker)
                .field("task", task)
                .field("run", attempt)
                .finish(),
            Self::StoppedForDrain {
                worker,
                task,
                attempt,
                unavailable,
                tolerated,
                adopted,
                oldest_report_ms,
            } => f
                .debug_struct("StoppedForDrain")
                .field("worker", worker)
                .field("task", task)
                .field("run", attempt)
                .field("unavailable", unavailable)
                .field("tolerated", tolerated)
                .field("adopted", adopted)
                .field("oldest_report_ms", oldest_report_ms)
                .finish(),
            Self::Crashed {
                worker,
                source,
                tasks,
            } => f
                .debug_struct("Crashed")
                .field("worker", worker)
                .field("source", source)
                .field("tasks", tasks)
                .finish(),
            Self::GivenUp {
                task,
                crashes,
                counts,
            } => f
                .debug_struct("GivenUp")
                .field("task", task)
                .field("crashes", crashes)
                .field("counts", counts)
                .finish(),
            Self::Held {
                task,
                crashes,
                counts,
            } => f
                .debug_struct("Held")
                .field("task", task)
                .field("crashes", crashes)
                .field("counts", counts)
                .finish(),
            Self::OverloadBegan { queue_ms, jobs } => f
                .debug_struct("OverloadBegan")
                .field("queue_ms", queue_ms)
                .field("jobs", jobs)
                .finish(),
            Self::OverloadEnded { duration_ms } => f
                .debug_struct("OverloadEnded")
                .field("duration_ms", duration_ms)
                .finish(),
        }
    }
}

/// The status of a job, as callers may be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobStatus {
    /// The state of the job in the written rows.
    Recorded(JobState),
    /// The job was accepted; the first write of its rows is pending.
    NotYetRecorded,
    /// The pool has no such job.
    Unknown,
}

/// The outcome of a start command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The worker has started the attempt, which may have ended since.
    Started,
    /// The worker has too little free capacity, or the command could not be sent because the capacity has shrunk.
    NoFreeCapacity,
    /// The worker reported itself as unhealthy and did not start the attempt.
    Unhealthy,
    /// The worker rejected the authorization of the policy service: it has expired, or was given to the worker's previous
    /// incarnation.
    NotAuthorized,
    /// The worker rejected the command, or the command could not be sent any more.
    Refused,
    /// The connection to the worker broke before the response: the attempt may be running or may still start.
    OutcomeUnknown,
    /// No response arrived in time, as when the worker had crashed before: the attempt may be running or may still start.
    NoResponse,
    /// No command reached the worker, so that the attempt has not started and will not: no connection was established, or
    /// another incarnation responded.
    NotDelivered,
}

impl StartOutcome {
    /// Returns the outcome of a start command if an earlier send may have reached the worker and got no response. Only a
    /// response that shows the start tells about all sends: after any other outcome, the earlier one may still take effect.
    ///
    /// ```
    /// use scheduler::StartOutcome;
    /// for last in [StartOutcome::Unhealthy, StartOutcome::NotDelivered] {
    ///     assert_eq!(last.after_lost_response(), StartOutcome::OutcomeUnknown);
    /// }
    /// assert_eq!(StartOutcome::Started.after_lost_response(), StartOutcome::Started);
    /// ```
    #[must_use]
    pub fn after_lost_response(self) -> Self {
        match self {
            Self::Started => Self::Started,
            Self::NoFreeCapacity
            | Self::Unhealthy
            | Self::NotAuthorized
            | Self::Refused
            | Self::OutcomeUnknown
            | Self::NoResponse
            | Self::NotDelivered => Self::OutcomeUnknown,
        }
    }
}
