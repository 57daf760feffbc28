//! The job aggregate: its states, its attempts, and what is known of its needs.

use std::collections::BTreeSet;

use domain::{BadId, JobId, PoolId, TeamId, VmId};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use snafu::Snafu;

/// The result of a step of a job.
pub type Result<T> = std::result::Result<T, JobError>;

/// A job that failed on this many healthy workers is parked.
const FAILED_WORKERS_TO_PARK: usize = 3;

/// Observed use is taken this much higher, in percent, because reports lag behind.
const OBSERVED_PERCENT: u32 = 120;

/// Who goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Starts within seconds; batch jobs make room by checkpoint.
    Urgent,
    /// Waits for room.
    Batch,
}

/// What a team submits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The team whose quota it uses.
    pub team: TeamId,
    /// The pool whose workers run it.
    pub pool: PoolId,
    /// Who goes first.
    pub class: Class,
    /// Declared processor time, in thousandths of a core. A hint.
    pub cpu_milli: u32,
    /// Declared memory. A hint.
    pub memory_mb: u32,
    /// Declared run time. A hint, which only orders jobs.
    pub run_s: u64,
    /// What the worker runs, passed on as it is.
    pub payload: String,
}

/// What a worker reports of a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Processor time in use, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in use.
    pub memory_mb: u32,
}

/// Why a job is not tried any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ParkReason {
    /// It failed on several healthy workers.
    KeepsFailing,
    /// Its observed needs fit no worker.
    OutgrewWorkers,
}

/// Where a job is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum JobState {
    /// Waits for a worker.
    Queued,
    /// Runs as the task of its attempt's number.
    Running {
        /// The worker.
        vm: VmId,
        /// Whether it was told to make a checkpoint and stop.
        is_leaving: bool,
    },
    /// Ended with success.
    Done,
    /// Not tried any more.
    Parked {
        /// Why.
        reason: ParkReason,
    },
    /// Ended by an operator.
    Cancelled {
        /// The worker that may still run it.
        last_vm: Option<VmId>,
    },
}

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskEnd {
    /// With success.
    Succeeded,
    /// With a failure of its own.
    Failed,
    /// It made a checkpoint and stopped.
    Checkpointed,
    /// Its lease lapsed, or its worker is gone.
    Lost,
}

/// A step that the job's state does not allow.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum JobError {
    /// The job has ended.
    #[snafu(display("job `{id}` has ended"))]
    Ended {
        /// The job.
        id: JobId,
    },
    /// The job is not queued.
    #[snafu(display("job `{id}` is not queued"))]
    NotQueued {
        /// The job.
        id: JobId,
    },
    /// The report is of an earlier attempt.
    #[snafu(display("job `{id}` is at attempt {attempt}"))]
    StaleAttempt {
        /// The job.
        id: JobId,
        /// The attempt it is at.
        attempt: u32,
    },
}

/// The name of one attempt, by which the platform runs it once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TaskName(pub SmolStr);

impl TaskName {
    /// The job and the attempt.
    ///
    /// # Errors
    /// [`BadId`] when the name was not made by [`Job::task`].
    pub fn parts(&self) -> std::result::Result<(JobId, u32), BadId> {
        let bad = || BadId {
            text: self.0.to_string(),
        };
        let (job, attempt) = self.0.rsplit_once('.').ok_or_else(bad)?;
        Ok((JobId::new(job)?, attempt.parse().map_err(|_| bad())?))
    }
}

/// The row `job/<id>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// What was submitted.
    pub spec: JobSpec,
    /// Where it is.
    pub state: JobState,
    /// Attempts so far.
    pub attempt: u32,
    /// Its place in the order of submission.
    pub submitted_at_ms: u64,
    /// Healthy workers on which it failed.
    pub failed_on: BTreeSet<VmId>,
    /// The most that any of its attempts was seen to use.
    pub observed: Usage,
}

impl Job {
    /// A queued job.
    #[must_use]
    pub fn new(id: JobId, spec: JobSpec, submitted_at_ms: u64) -> Self {
        Self {
            id,
            spec,
            state: JobState::Queued,
            attempt: 0,
            submitted_at_ms,
            failed_on: BTreeSet::new(),
            observed: Usage::default(),
        }
    }

    /// What it is taken to need: the declared size until it was seen to run, then mostly what was seen.
    #[must_use]
    pub fn needs(&self) -> Usage {
        let corrected = |declared: u32, observed: u32| {
            if observed == 0 {
                return declared;
            }
            let seen = observed.saturating_mul(OBSERVED_PERCENT) / 100;
            if observed > declared {
                return seen;
            }
            // A job that uses just what it was given needs no more than that.
            seen.clamp(declared / 2, declared)
        };
        Usage {
            cpu_milli: corrected(self.spec.cpu_milli, self.observed.cpu_milli),
            memory_mb: corrected(self.spec.memory_mb, self.observed.memory_mb),
        }
    }

    /// The task of the present attempt.
    #[must_use]
    pub fn task(&self) -> TaskName {
        TaskName(format_smolstr!("{}.{}", self.id, self.attempt))
    }

    /// The worker that runs it.
    #[must_use]
    pub fn worker(&self) -> Option<&VmId> {
        match &self.state {
            JobState::Running { vm, .. } => Some(vm),
            _ => None,
        }
    }

    /// Whether it was told to make room.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        matches!(self.state, JobState::Running { is_leaving, .. } if is_leaving)
    }

    /// Whether nothing more will happen to it.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        matches!(
            self.state,
            JobState::Done | JobState::Parked { .. } | JobState::Cancelled { .. }
        )
    }

    /// The job once its next attempt was given to a worker.
    ///
    /// # Errors
    /// [`JobError::NotQueued`].
    pub fn started(&self, vm: VmId) -> Result<Self> {
        if self.state != JobState::Queued {
            let id = self.id.clone();
            return NotQueuedSnafu { id }.fail();
        }
        Ok(Self {
            state: JobState::Running {
                vm,
                is_leaving: false,
            },
            attempt: self.attempt + 1,
            ..self.clone()
        })
    }

    /// The job once it was told to make a checkpoint and stop. Only a running one changes.
    #[must_use]
    pub fn leaving(&self) -> Self {
        let mut job = self.clone();
        if let JobState::Running { is_leaving, .. } = &mut job.state {
            *is_leaving = true;
        }
        job
    }

    /// The job with a report of its use taken in.
    #[must_use]
    pub fn observed(&self, usage: Usage) -> Self {
        let observed = Usage {
            cpu_milli: self.observed.cpu_milli.max(usage.cpu_milli),
            memory_mb: self.observed.memory_mb.max(usage.memory_mb),
        };
        Self {
            observed,
            ..self.clone()
        }
    }

    /// The job once the task of `attempt` has ended. A failure counts only on a healthy worker.
    ///
    /// # Errors
    /// [`JobError::StaleAttempt`] for a task of an earlier attempt, [`JobError::Ended`].
    pub fn ended(&self, attempt: u32, end: TaskEnd, is_worker_healthy: bool) -> Result<Self> {
        let id = self.id.clone();
        if self.has_ended() {
            return EndedSnafu { id }.fail();
        }
        let Some(vm) = self.worker().filter(|_| attempt == self.attempt) else {
            let attempt = self.attempt;
            return StaleAttemptSnafu { id, attempt }.fail();
        };
        let mut job = self.clone();
        job.state = JobState::Queued;
        match end {
            TaskEnd::Succeeded => job.state = JobState::Done,
            TaskEnd::Checkpointed | TaskEnd::Lost => {}
            TaskEnd::Failed => {
                if is_worker_healthy {
                    job.failed_on.insert(vm.clone());
                }
                if job.failed_on.len() >= FAILED_WORKERS_TO_PARK {
                    job.state = JobState::Parked {
                        reason: ParkReason::KeepsFailing,
                    };
                }
            }
        }
        Ok(job)
    }

    /// The job once it turned out to fit no worker.
    #[must_use]
    pub fn outgrown(&self) -> Self {
        Self {
            state: JobState::Parked {
                reason: ParkReason::OutgrewWorkers,
            },
            ..self.clone()
        }
    }

    /// The job once an operator has cancelled it.
    ///
    /// # Errors
    /// [`JobError::Ended`].
    pub fn cancelled(&self) -> Result<Self> {
        if self.has_ended() {
            let id = self.id.clone();
            return EndedSnafu { id }.fail();
        }
        Ok(Self {
            state: JobState::Cancelled {
                last_vm: self.worker().cloned(),
            },
            ..self.clone()
        })
    }
}
