//! What has to be recorded, and the orders that may be sent once it is.

use smol_str::SmolStr;
use submission::{JobId, TaskKey};

use crate::scheduler::Scheduler;
use crate::worker::WorkerKey;

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start a task.
    Start {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskKey,
        /// The number of the run.
        run: u32,
        /// The checkpoint to go on from; empty for none.
        checkpoint: SmolStr,
    },
    /// Stop a run.
    Stop {
        /// The worker.
        worker: WorkerKey,
        /// The task's name.
        name: SmolStr,
        /// The task, when it is known.
        task: Option<TaskKey>,
        /// The number of the run.
        run: u32,
    },
    /// Set the pace of a task.
    Pace {
        /// The worker.
        worker: WorkerKey,
        /// The task's name.
        name: SmolStr,
        /// The number of the run.
        run: u32,
        /// The share of its speed.
        percent: u32,
    },
}

/// A job whose rows have to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChange {
    /// The job.
    pub job: JobId,
    /// Whether the row of its spec has to be written too, which must not exist.
    pub is_new: bool,
    /// Whether its rows are to be removed.
    pub is_removal: bool,
}

/// Rows that are to be written together, and what they release.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// The rows.
    pub changes: Vec<RowChange>,
    /// The orders that may be sent after the rows are written.
    pub actions: Vec<Action>,
    /// The ends that are recorded then.
    pub ends: Vec<(WorkerKey, u64)>,
}

impl Scheduler {
    /// The next rows to write, for at most `most_jobs` jobs.
    pub fn take_batch(&mut self, most_jobs: usize) -> Batch {
        let jobs: Vec<_> = self.dirty.iter().take(most_jobs).copied().collect();
        let mut batch = Batch::default();
        for job in jobs {
            self.dirty.remove(&job);
            batch.changes.push(RowChange {
                job,
                is_new: !self.recorded.contains_key(&job),
                is_removal: !self.jobs.contains_key(&job),
            });
            batch
                .actions
                .extend(self.actions.remove(&job).unwrap_or_default());
        }
        if self.dirty.is_empty() {
            let workers = self.workers.iter();
            let ends = workers.filter(|(_, worker)| worker.seen_end > worker.recorded_end);
            batch.ends = ends.map(|(key, worker)| (key, worker.seen_end)).collect();
        }
        batch
    }

    /// Orders that may be sent at once, because the rows that they follow were written before.
    pub fn take_urgent(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.urgent)
    }

    /// Whether there is nothing to write.
    #[must_use]
    pub fn is_recorded(&self) -> bool {
        self.dirty.is_empty()
    }

    /// The rows of a batch were written: their orders may be sent, and callers may be told.
    pub fn committed(&mut self, batch: &Batch) {
        for change in &batch.changes {
            match self.jobs.get(&change.job) {
                Some(job) => {
                    self.recorded.insert(change.job, job.state());
                }
                None => {
                    self.recorded.remove(&change.job);
                }
            }
        }
        for &(key, end) in &batch.ends {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.recorded_end = worker.recorded_end.max(end);
            }
        }
    }
}
