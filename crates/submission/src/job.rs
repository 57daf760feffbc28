//! A job's tasks and how they go on.

use std::sync::Arc;

use smol_str::{SmolStr, format_smolstr};

use crate::record::{JobRecord, TaskRecord};
use crate::spec::{JobId, JobSpec, StepSpec};

/// A task of a job: its place among all tasks of all occurrences.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// The place.
    pub index: u32,
}

/// Where a job is, as callers are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// No task was started.
    Queued,
    /// A task was started.
    Running,
    /// All tasks are done.
    Done,
    /// A task failed too often.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

/// Where a task is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// Runs nowhere.
    Idle,
    /// Given to a worker, as the run numbered last.
    Assigned {
        /// The life of the worker.
        worker: SmolStr,
    },
    /// Ended with success.
    Done,
}

/// A task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Task {
    /// The number of its last run; 0 before the first.
    pub run: u32,
    /// How many runs failed.
    pub failures: u32,
    /// Where it is.
    pub phase: Phase,
    /// The newest checkpoint; empty for none.
    pub checkpoint: SmolStr,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// With success.
    Done,
    /// By its own fault or the worker's.
    Failed,
    /// Without success or failure: stopped, lapsed, or its worker is gone.
    Lost,
}

/// A job.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// The queue it was handed in to.
    pub queue: SmolStr,
    /// When it was accepted, on the store's clock.
    pub accepted_at_ms: u64,
    spec: Arc<JobSpec>,
    tasks: Vec<Task>,
    /// The tasks that are not done, by occurrence and step.
    open: Vec<u32>,
    is_cancelled: bool,
    has_failed: bool,
    ended_at_ms: u64,
}

impl Job {
    /// A job whose tasks have not run. Its spec must have passed [`JobSpec::check`].
    #[must_use]
    pub fn new(id: JobId, queue: SmolStr, spec: Arc<JobSpec>, accepted_at_ms: u64) -> Self {
        let idle = Task {
            run: 0,
            failures: 0,
            phase: Phase::Idle,
            checkpoint: SmolStr::default(),
        };
        let occurrences = spec.occurrences.max(1);
        let count = spec.tasks_per_occurrence() * occurrences;
        let per_step = spec.steps.iter().map(|step| step.tasks);
        let open = (0..occurrences).flat_map(|_| per_step.clone()).collect();
        Self {
            id,
            queue,
            accepted_at_ms,
            tasks: vec![idle; count as usize],
            open,
            spec,
            is_cancelled: false,
            has_failed: false,
            ended_at_ms: 0,
        }
    }

    /// The same job as far as its row says. Tasks that the row does not name have not run.
    #[must_use]
    pub fn with_record(mut self, record: JobRecord) -> Self {
        self.is_cancelled = record.is_cancelled;
        self.has_failed = record.has_failed;
        self.ended_at_ms = record.ended_at_ms;
        for (index, recorded) in record.tasks.into_iter().enumerate().take(self.tasks.len()) {
            let TaskRecord(run, failures, is_done, worker, checkpoint) = recorded;
            let phase = if is_done {
                Phase::Done
            } else if worker.is_empty() {
                Phase::Idle
            } else {
                Phase::Assigned { worker }
            };
            if is_done {
                let slot = self.slot(index);
                self.open[slot] = self.open[slot].saturating_sub(1);
            }
            self.tasks[index] = Task {
                run,
                failures,
                phase,
                checkpoint,
            };
        }
        self
    }

    /// The job's row.
    #[must_use]
    pub fn record(&self) -> JobRecord {
        let record = |task: &Task| {
            let (is_done, worker) = match &task.phase {
                Phase::Idle => (false, SmolStr::default()),
                Phase::Assigned { worker } => (false, worker.clone()),
                Phase::Done => (true, SmolStr::default()),
            };
            let checkpoint = if is_done {
                SmolStr::default()
            } else {
                task.checkpoint.clone()
            };
            TaskRecord(task.run, task.failures, is_done, worker, checkpoint)
        };
        JobRecord {
            is_cancelled: self.is_cancelled,
            has_failed: self.has_failed,
            ended_at_ms: self.ended_at_ms,
            tasks: self.tasks.iter().map(record).collect(),
        }
    }

    /// Where it is.
    #[must_use]
    pub fn state(&self) -> JobState {
        if self.is_cancelled {
            JobState::Cancelled
        } else if self.has_failed {
            JobState::Failed
        } else if self.open.iter().all(|&open| open == 0) {
            JobState::Done
        } else if self.tasks.iter().any(|task| task.run > 0) {
            JobState::Running
        } else {
            JobState::Queued
        }
    }

    /// Whether nothing of it is to be started any more.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        matches!(
            self.state(),
            JobState::Done | JobState::Failed | JobState::Cancelled
        )
    }

    /// When it ended, on the store's clock; 0 while it has not.
    #[must_use]
    pub fn ended_at_ms(&self) -> u64 {
        self.ended_at_ms
    }

    /// What was handed in.
    #[must_use]
    pub fn spec(&self) -> &Arc<JobSpec> {
        &self.spec
    }

    /// All tasks with their places.
    pub fn tasks(&self) -> impl Iterator<Item = (u32, &Task)> {
        (0..).zip(&self.tasks)
    }

    /// A task.
    #[must_use]
    pub fn task(&self, index: u32) -> Option<&Task> {
        self.tasks.get(index as usize)
    }

    /// The step of a task.
    #[must_use]
    pub fn step(&self, index: u32) -> &StepSpec {
        &self.spec.steps[self.place(index).1]
    }

    /// The occurrence, the step and the place in the step of a task.
    #[must_use]
    pub fn place(&self, index: u32) -> (u32, usize, u32) {
        let each = self.spec.tasks_per_occurrence();
        let mut rest = index % each;
        for (step, spec) in self.spec.steps.iter().enumerate() {
            if rest < spec.tasks {
                return (index / each, step, rest);
            }
            rest -= spec.tasks;
        }
        unreachable!("the places of a job's tasks are below their number")
    }

    /// The places of all tasks of an occurrence's step.
    #[must_use]
    pub fn step_tasks(&self, occurrence: u32, step: usize) -> std::ops::Range<u32> {
        let each = self.spec.tasks_per_occurrence();
        let before: u32 = self.spec.steps[..step].iter().map(|step| step.tasks).sum();
        let start = occurrence * each + before;
        start..start + self.spec.steps[step].tasks
    }

    /// The task's name on workers: job, occurrence, step and place, parted by dots.
    #[must_use]
    pub fn task_name(&self, index: u32) -> SmolStr {
        let (occurrence, step, place) = self.place(index);
        format_smolstr!("{}.{occurrence}.{step}.{place}", self.id)
    }

    /// The place of a task that is named; `None` for a name that is none of this job's.
    #[must_use]
    pub fn task_index(&self, name: &str) -> Option<u32> {
        let mut parts = name.split('.').skip(1);
        let occurrence: u32 = parts.next()?.parse().ok()?;
        let step: usize = parts.next()?.parse().ok()?;
        let place: u32 = parts.next()?.parse().ok()?;
        let spec = self.spec.steps.get(step)?;
        let in_range = occurrence < self.spec.occurrences.max(1) && place < spec.tasks;
        in_range.then(|| self.step_tasks(occurrence, step).start + place)
    }

    fn slot(&self, index: usize) -> usize {
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        let (occurrence, step, _) = self.place(index);
        occurrence as usize * self.spec.steps.len() + step
    }

    /// Whether all steps that a step waits for are done.
    #[must_use]
    pub fn is_unblocked(&self, occurrence: u32, step: usize) -> bool {
        let first = occurrence as usize * self.spec.steps.len();
        let after = &self.spec.steps[step].after;
        after
            .iter()
            .all(|&step| self.open[first + usize::from(step)] == 0)
    }

    /// When an occurrence is due, in ms since 1970; `None` when it is due at once.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> Option<u64> {
        let spec = &self.spec;
        (spec.occurrences > 0)
            .then(|| spec.first_at_unix_ms + u64::from(occurrence) * spec.interval_ms)
    }

    /// The longest chain of estimated run times that is left of an occurrence.
    #[must_use]
    pub fn chain_ms(&self, occurrence: u32) -> u64 {
        let first = occurrence as usize * self.spec.steps.len();
        let mut ends = Vec::with_capacity(self.spec.steps.len());
        for (step, spec) in self.spec.steps.iter().enumerate() {
            let before = spec.after.iter().map(|&step| ends[usize::from(step)]);
            let own = if self.open[first + step] == 0 {
                0
            } else {
                spec.estimate_ms
            };
            let end: u64 = before.max().unwrap_or(0) + own;
            ends.push(end);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// The longest chain of estimated run times of a whole occurrence.
    #[must_use]
    pub fn full_chain_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.spec.steps.len());
        for spec in &self.spec.steps {
            let before = spec.after.iter().map(|&step| ends[usize::from(step)]);
            let end = before.max().unwrap_or(0) + spec.estimate_ms;
            ends.push(end);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Gives an idle task to a worker as its next run, or a higher one; returns the run's number.
    pub fn assign(&mut self, index: u32, worker: SmolStr, least_run: u32) -> u32 {
        let task = &mut self.tasks[index as usize];
        task.run = (task.run + 1).max(least_run);
        task.phase = Phase::Assigned { worker };
        task.run
    }

    /// Notes the newest checkpoint of a task.
    pub fn note_checkpoint(&mut self, index: u32, checkpoint: SmolStr) {
        if !checkpoint.is_empty() {
            self.tasks[index as usize].checkpoint = checkpoint;
        }
    }

    /// Takes in the end of the run that a task is assigned as. Ends of other runs change nothing; false for these.
    pub fn end_run(
        &mut self,
        index: u32,
        run: u32,
        end: RunEnd,
        attempts: u32,
        store_ms: u64,
    ) -> bool {
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return false;
        };
        if task.run != run || !matches!(task.phase, Phase::Assigned { .. }) {
            return false;
        }
        task.phase = Phase::Idle;
        let is_lasting = self.spec.steps[self.place(index).1].is_lasting;
        let task = &mut self.tasks[index as usize];
        match end {
            RunEnd::Lost => {}
            RunEnd::Done if is_lasting => {}
            RunEnd::Done => {
                task.phase = Phase::Done;
                let slot = self.slot(index as usize);
                self.open[slot] = self.open[slot].saturating_sub(1);
            }
            RunEnd::Failed => {
                task.failures += 1;
                if !is_lasting && task.failures >= attempts {
                    self.has_failed = true;
                }
            }
        }
        if self.has_ended() && self.ended_at_ms == 0 {
            self.ended_at_ms = store_ms.max(1);
        }
        true
    }

    /// Cancels it. False when it has ended already.
    pub fn cancel(&mut self, store_ms: u64) -> bool {
        if self.has_ended() {
            return false;
        }
        self.is_cancelled = true;
        self.ended_at_ms = store_ms.max(1);
        true
    }
}
