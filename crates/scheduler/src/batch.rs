//! Batches of rows to write, and the commands that may be sent after the write.

use smol_str::SmolStr;
use submission::{Job, JobId, JobSpec, JobState, TaskKey, TaskPhase};

use crate::scheduler::Scheduler;
use crate::worker::WorkerKey;

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerCommand {
    /// Start an attempt of a task.
    Start {
        /// The worker that receives the command.
        worker: WorkerKey,
        /// The task to start.
        task: TaskKey,
        /// The number of the attempt.
        attempt: u32,
        /// The checkpoint from which the attempt resumes; empty for none.
        checkpoint: SmolStr,
    },
    /// Stop an attempt.
    Stop {
        /// The worker that receives the command.
        worker: WorkerKey,
        /// The name of the task on the worker.
        name: SmolStr,
        /// The task; `None` when no job of the pool has a task of this name.
        task: Option<TaskKey>,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Set the speed limit of a best-effort task.
    SetSpeedLimit {
        /// The worker that receives the command.
        worker: WorkerKey,
        /// The name of the task on the worker.
        name: SmolStr,
        /// The number of the attempt.
        attempt: u32,
        /// The speed limit, in percent of full speed.
        speed_limit_percent: u32,
    },
}

impl WorkerCommand {
    /// The task of the command; `None` when no job of the pool has the task, or for a speed limit.
    fn task(&self) -> Option<TaskKey> {
        match self {
            Self::Start { task, .. } => Some(*task),
            Self::Stop { task, .. } => *task,
            Self::SetSpeedLimit { .. } => None,
        }
    }
}

/// A write of the rows of one job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChange {
    /// The job whose rows are written.
    pub job: JobId,
    /// Whether the job is new: the row of the job's spec is also written and must not exist before.
    pub is_new: bool,
    /// The state of the job that the rows show; `None` when the rows are removed.
    pub state: Option<JobState>,
}

/// The largest number of entries that the rows of a job take in a transaction.
const MAX_ENTRIES_PER_JOB: usize = 3;

impl RowChange {
    /// The number of conditions, writes and removals in a transaction that this change takes.
    fn entries(&self) -> usize {
        match self {
            Self { is_new: true, .. } => MAX_ENTRIES_PER_JOB,
            Self { state: None, .. } => 2,
            _ => 1,
        }
    }
}

/// The content of rows, in bytes, from which on a batch takes no further job. The store accepts calls of 1 MB, in which
/// rows are encoded in base64, and a job may add two rows of 64 KB to a batch that is just below.
const MAX_BATCH_BYTES: usize = 500_000;

/// The size of a task in the progress row of a job without its texts, in bytes.
const TASK_BYTES: usize = 48;

/// The size of a step in the row of a job without its texts and dependencies, in bytes.
const STEP_BYTES: usize = 400;

/// The size of a dependency in the row of a job, in bytes.
const DEPENDENCY_BYTES: usize = 6;

/// The length of a text in a row, which escapes quotes and control characters.
fn escaped_len(text: &str) -> usize {
    let lengths = text.bytes().map(|byte| match byte {
        0..=0x1f => 6,
        b'"' | b'\\' => 2,
        _ => 1,
    });
    lengths.sum()
}

/// The size of the row of a job as submitted, in bytes, rounded up.
fn spec_bytes(spec: &JobSpec) -> usize {
    let steps = spec.steps.iter().map(|step| {
        STEP_BYTES
            + step.dependencies.len() * DEPENDENCY_BYTES
            + escaped_len(&step.required_label)
            + escaped_len(&step.data_rack)
            + escaped_len(&step.image)
    });
    escaped_len(&spec.payload) + steps.sum::<usize>()
}

/// The size of the progress row of a job, in bytes, rounded up.
fn progress_bytes(job: &Job) -> usize {
    let attempted = job.tasks().filter(|(_, task)| task.attempt > 0);
    let tasks = attempted.map(|(_, task)| {
        let worker = match &task.phase {
            TaskPhase::Assigned { worker } => escaped_len(worker),
            TaskPhase::Idle | TaskPhase::Done => 0,
        };
        TASK_BYTES + worker + escaped_len(&task.checkpoint)
    });
    tasks.sum()
}

/// Rows to write in one transaction, and what may happen after the write.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// The rows to write.
    pub changes: Vec<RowChange>,
    /// The commands to send after the rows are written.
    pub commands: Vec<WorkerCommand>,
    /// The ended attempts that are recorded once the rows of this batch are written.
    pub ends: Vec<RecordedEnds>,
}

/// All ended attempts of a worker's incarnation up to a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordedEnds {
    /// The worker.
    pub worker: WorkerKey,
    /// The number of the incarnation among those of the worker that the scheduler has known.
    pub incarnation: u32,
    /// The number of the last ended attempt.
    pub last_end: u64,
}

impl Batch {
    /// The new jobs of the batch.
    pub fn new_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        let new = self.changes.iter().filter(|change| change.is_new);
        new.map(|change| change.job)
    }

    /// Removes jobs whose rows are not to be written, and the commands for them.
    pub fn remove_jobs(&mut self, jobs: &[JobId]) {
        self.changes.retain(|change| !jobs.contains(&change.job));
        self.commands
            .retain(|command| command.task().is_none_or(|task| !jobs.contains(&task.job)));
    }
}

impl Scheduler {
    /// Returns the next rows to write, with at most `max_entries` conditions, writes and removals, and no more content than
    /// a transaction holds (but at least one job), and does not return them again. Jobs are written in the order in which they changed.
    pub fn take_batch(&mut self, max_entries: usize) -> Batch {
        let mut batch = Batch::default();
        let (mut entries, mut bytes) = (0, 0);
        while entries + MAX_ENTRIES_PER_JOB <= max_entries.max(MAX_ENTRIES_PER_JOB)
            && bytes < MAX_BATCH_BYTES
        {
            let Some(job) = self.dirty_jobs.pop() else {
                break;
            };
            let change = RowChange {
                job,
                is_new: !self.recorded_states.contains_key(&job),
                state: self.jobs.get(&job).map(Job::state),
            };
            entries += change.entries();
            if let Some(job) = self.jobs.get(&job) {
                bytes += progress_bytes(job);
                if change.is_new {
                    bytes += spec_bytes(job.spec());
                }
            }
            batch.changes.push(change);
            batch
                .commands
                .extend(self.deferred_commands.remove(&job).unwrap_or_default());
        }
        for (key, worker) in &mut self.workers {
            if let Some(last_end) = worker.incarnation.take_written_end(&self.dirty_jobs) {
                batch.ends.push(RecordedEnds {
                    worker: key,
                    incarnation: worker.incarnation.number,
                    last_end,
                });
            }
        }
        batch
    }

    /// Returns the commands to send at once since the last call. They wait for no write.
    pub fn take_immediate_commands(&mut self) -> Vec<WorkerCommand> {
        std::mem::take(&mut self.immediate_commands)
    }

    /// Returns whether no rows remain for the next batch. Rows of a batch that was taken count as recorded.
    #[must_use]
    pub fn is_fully_recorded(&self) -> bool {
        self.dirty_jobs.is_empty()
    }

    /// Applies a batch whose rows are written. Records the states that the jobs had when the batch was taken, which
    /// callers may be told from then on.
    pub fn apply_commit(&mut self, batch: &Batch) {
        for change in &batch.changes {
            match change.state {
                Some(state) => self.recorded_states.insert(change.job, state),
                None => self.recorded_states.remove(&change.job),
            };
        }
        for ends in &batch.ends {
            let worker = self.workers.get_mut(ends.worker);
            let incarnation = worker.map(|worker| &mut worker.incarnation);
            if let Some(incarnation) = incarnation.filter(|known| known.number == ends.incarnation)
            {
                incarnation.recorded_end = incarnation.recorded_end.max(ends.last_end);
            }
        }
    }
}
