//! The tasks of a job and their progress.

mod crashes;

use std::sync::Arc;

use smol_str::{SmolStr, format_smolstr};

pub use crashes::{CrashEvidence, CrashVerdict};

use crate::queue_rules::QueueRules;
use crate::record::{JobRecord, TaskRecord};
use crate::spec::{JobId, JobSpec, StepSpec};

/// Identifies a task by its job and its index among all tasks of all occurrences of the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// The index of the task among all tasks of all occurrences of the job.
    pub index: u32,
}

/// The state of a job, as reported to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// No task was ever assigned to a worker.
    Queued,
    /// At least one task was assigned to a worker, and the job has not ended.
    Running,
    /// All tasks are done.
    Done,
    /// A batch task reached its maximum number of failed attempts, or too many workers crashed under it.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

/// The phase of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskPhase {
    /// The task is assigned to no worker and is not done.
    Idle,
    /// The last attempt of the task is assigned to a worker.
    Assigned {
        /// The id of the worker. The worker may have restarted under its id since.
        worker: SmolStr,
    },
    /// The task ended with success.
    Done,
}

/// The progress of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Task {
    /// The number of the last attempt; 0 before the first attempt. Numbers increase, but some may be skipped.
    pub attempt: u32,
    /// The number of failed attempts.
    pub failures: u32,
    /// The number of workers that crashed while an attempt may have run there. Service tasks start anew when an attempt
    /// has run for a while. At least five for a held service task.
    pub crashes: u32,
    /// Since when the last attempt is known to run, in ms on the store's clock; 0 when that is unknown. Known for service tasks
    /// under which workers crashed.
    pub running_since_ms: u64,
    /// The current phase.
    pub phase: TaskPhase,
    /// The newest known checkpoint; empty for none.
    pub checkpoint: SmolStr,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The attempt succeeded.
    Done,
    /// The attempt failed, through a fault of the task or of the worker.
    Failed,
    /// The attempt ended with neither success nor failure: it was stopped, its lease expired, or its worker was lost.
    Lost,
}

/// A job: its specification and the progress of its tasks.
#[derive(Debug, Clone)]
pub struct Job {
    /// The id of the job.
    pub id: JobId,
    /// The queue that the job was submitted to.
    pub queue: SmolStr,
    /// Where callers submit the jobs of the queue, which also a queue with another name may replace: the key of its assignment to a
    /// pool. Empty when it is unknown.
    pub assignment_key: SmolStr,
    /// The team that submitted the job; empty for none.
    pub team: SmolStr,
    /// When the job was accepted, in ms on the store's clock.
    pub accepted_at_ms: u64,
    /// The rules of the queue under which the job was accepted; `None` when they are unknown.
    accepted_rules: Option<QueueRules>,
    spec: Arc<JobSpec>,
    tasks: Vec<Task>,
    /// The number of tasks that are not done, for each step of each occurrence. `remaining_index` gives the index.
    remaining: Vec<u32>,
    is_cancelled: bool,
    has_failed: bool,
    ended_at_ms: u64,
}

impl Job {
    /// Creates a job whose tasks have had no attempt. `spec` must have passed [`JobSpec::validate`].
    #[must_use]
    pub fn new(id: JobId, queue: SmolStr, spec: Arc<JobSpec>, accepted_at_ms: u64) -> Self {
        let new_task = Task {
            attempt: 0,
            failures: 0,
            crashes: 0,
            running_since_ms: 0,
            phase: TaskPhase::Idle,
            checkpoint: SmolStr::default(),
        };
        let occurrences = spec.occurrences.max(1);
        let task_count = spec.tasks_per_occurrence() * occurrences;
        let per_step = spec.steps.iter().map(|step| step.tasks);
        let remaining = (0..occurrences).flat_map(|_| per_step.clone()).collect();
        Self {
            id,
            queue,
            assignment_key: SmolStr::default(),
            team: SmolStr::default(),
            accepted_at_ms,
            accepted_rules: None,
            tasks: vec![new_task; task_count as usize],
            remaining,
            spec,
            is_cancelled: false,
            has_failed: false,
            ended_at_ms: 0,
        }
    }

    /// Sets the key of the assignment of the job's queue.
    #[must_use]
    pub fn with_assignment_key(mut self, key: SmolStr) -> Self {
        self.assignment_key = key;
        self
    }

    /// Sets the team that submitted the job.
    #[must_use]
    pub fn with_team(mut self, team: SmolStr) -> Self {
        self.team = team;
        self
    }

    /// Sets the rules of the queue under which the job was accepted; `None` when they are unknown.
    #[must_use]
    pub fn with_accepted_rules(mut self, rules: Option<QueueRules>) -> Self {
        self.accepted_rules = rules;
        self
    }

    /// Restores the progress of a new job from its stored row. Tasks that the row does not list have had no attempt;
    /// entries of the row beyond the tasks of the job are ignored.
    #[must_use]
    pub fn with_record(mut self, record: JobRecord) -> Self {
        self.is_cancelled = record.is_cancelled;
        self.has_failed = record.has_failed;
        self.ended_at_ms = record.ended_at_ms;
        for (index, recorded) in record.tasks.into_iter().enumerate().take(self.tasks.len()) {
            let TaskRecord(attempt, failures, is_done, worker, checkpoint) = recorded;
            let phase = if is_done {
                TaskPhase::Done
            } else if worker.is_empty() {
                TaskPhase::Idle
            } else {
                TaskPhase::Assigned { worker }
            };
            if is_done {
                let step_entry = self.remaining_index(index);
                self.remaining[step_entry] = self.remaining[step_entry].saturating_sub(1);
            }
            self.tasks[index] = Task {
                attempt,
                failures,
                crashes: 0,
                running_since_ms: 0,
                phase,
                checkpoint,
            };
        }
        for (index, crashes) in record.crashes {
            if let Some(task) = self.tasks.get_mut(index as usize) {
                task.crashes = crashes;
            }
        }
        for (index, since_ms) in record.running_since_ms {
            if let Some(task) = self.tasks.get_mut(index as usize) {
                task.running_since_ms = since_ms;
            }
        }
        self
    }

    /// The row that stores the progress of the job. Checkpoints are left out for tasks that are done, and for assigned
    /// tasks, whose worker reports them. The last tasks that have had no attempt are left out too.
    #[must_use]
    pub fn record(&self) -> JobRecord {
        let record = |task: &Task| {
            let (is_done, worker) = match &task.phase {
                TaskPhase::Idle => (false, SmolStr::default()),
                TaskPhase::Assigned { worker } => (false, worker.clone()),
                TaskPhase::Done => (true, SmolStr::default()),
            };
            let checkpoint = if task.phase == TaskPhase::Idle {
                task.checkpoint.clone()
            } else {
                SmolStr::default()
            };
            TaskRecord(task.attempt, task.failures, is_done, worker, checkpoint)
        };
        let last_attempted = self.tasks.iter().rposition(|task| task.attempt > 0);
        let listed = last_attempted.map_or(0, |index| index + 1);
        let crashed = self.tasks().filter(|(_, task)| task.crashes > 0);
        let crashed = crashed.filter(|(_, task)| task.phase != TaskPhase::Done);
        let running = self.tasks().filter(|(_, task)| task.running_since_ms > 0);
        JobRecord {
            is_cancelled: self.is_cancelled,
            has_failed: self.has_failed,
            ended_at_ms: self.ended_at_ms,
            tasks: self.tasks[..listed].iter().map(record).collect(),
            crashes: crashed.map(|(index, task)| (index, task.crashes)).collect(),
            running_since_ms: running
                .map(|(index, task)| (index, task.running_since_ms))
                .collect(),
        }
    }

    /// The state of the job. Cancellation takes precedence over failure, and failure over completion.
    #[must_use]
    pub fn state(&self) -> JobState {
        if self.is_cancelled {
            JobState::Cancelled
        } else if self.has_failed {
            JobState::Failed
        } else if self.remaining.iter().all(|&count| count == 0) {
            JobState::Done
        } else if self.tasks.iter().any(|task| task.attempt > 0) {
            JobState::Running
        } else {
            JobState::Queued
        }
    }

    /// Whether any attempt is known to have started: a task is done or has failed, or a checkpoint exists. An attempt that
    /// is assigned may not have started yet.
    #[must_use]
    pub fn has_started(&self) -> bool {
        self.tasks.iter().any(|task| {
            task.phase == TaskPhase::Done || task.failures > 0 || !task.checkpoint.is_empty()
        })
    }

    /// Whether the job is done, failed or cancelled, so that none of its tasks may be started any more.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        matches!(
            self.state(),
            JobState::Done | JobState::Failed | JobState::Cancelled
        )
    }

    /// When the job ended, in ms on the store's clock; 0 while the job has not ended.
    #[must_use]
    pub fn ended_at_ms(&self) -> u64 {
        self.ended_at_ms
    }

    /// The specification of the job as submitted.
    #[must_use]
    pub fn spec(&self) -> &Arc<JobSpec> {
        &self.spec
    }

    /// The rules of the queue under which the job was accepted. They hold once no configuration has the queue any more.
    /// `None` when they are unknown, as for a job that an earlier build has recorded.
    #[must_use]
    pub fn accepted_rules(&self) -> Option<&QueueRules> {
        self.accepted_rules.as_ref()
    }

    /// All tasks, each with its index in the job.
    pub fn tasks(&self) -> impl Iterator<Item = (u32, &Task)> {
        (0..).zip(&self.tasks)
    }

    /// The task with the given index in the job; `None` when the index is out of range.
    #[must_use]
    pub fn task(&self, index: u32) -> Option<&Task> {
        self.tasks.get(index as usize)
    }

    /// The specification of the step that a task belongs to.
    ///
    /// # Panics
    /// If the job has no steps. An index beyond the tasks of the job gives a step, but not a meaningful one.
    #[must_use]
    pub fn step(&self, index: u32) -> &StepSpec {
        &self.spec.steps[self.position(index).1]
    }

    /// The occurrence, the step and the index within the step of the task with the given index in the job.
    ///
    /// # Panics
    /// If the job has no steps. An index beyond the tasks of the job gives an occurrence that the job does not have.
    #[must_use]
    pub fn position(&self, index: u32) -> (u32, usize, u32) {
        let tasks_per_occurrence = self.spec.tasks_per_occurrence();
        let mut index_in_step = index % tasks_per_occurrence;
        for (step, spec) in self.spec.steps.iter().enumerate() {
            if index_in_step < spec.tasks {
                return (index / tasks_per_occurrence, step, index_in_step);
            }
            index_in_step -= spec.tasks;
        }
        unreachable!("the remainder is below the number of tasks per occurrence")
    }

    /// The indices in the job of the tasks of one step in one occurrence.
    ///
    /// # Panics
    /// If `step` is not a step of the job. An `occurrence` beyond those of the job gives indices without a task.
    #[must_use]
    pub fn step_tasks(&self, occurrence: u32, step: usize) -> std::ops::Range<u32> {
        let tasks_per_occurrence = self.spec.tasks_per_occurrence();
        let earlier_tasks: u32 = self.spec.steps[..step].iter().map(|step| step.tasks).sum();
        let start = occurrence * tasks_per_occurrence + earlier_tasks;
        start..start + self.spec.steps[step].tasks
    }

    /// The name of a task on workers: the job, the occurrence, the step and the index in the step, separated by dots.
    ///
    /// # Panics
    /// If the job has no steps. An index beyond the tasks of the job gives a name that no task has.
    #[must_use]
    pub fn task_name(&self, index: u32) -> SmolStr {
        let (occurrence, step, index_in_step) = self.position(index);
        format_smolstr!("{}.{occurrence}.{step}.{index_in_step}", self.id)
    }

    /// The index in the job of the task with the given name; `None` when the job has no such task.
    ///
    /// The part of the name before the first dot, which names the job, is ignored, and so is any part after the index
    /// in the step.
    #[must_use]
    pub fn task_index(&self, name: &str) -> Option<u32> {
        let mut parts = name.split('.').skip(1);
        let occurrence: u32 = parts.next()?.parse().ok()?;
        let step: usize = parts.next()?.parse().ok()?;
        let index_in_step: u32 = parts.next()?.parse().ok()?;
        let spec = self.spec.steps.get(step)?;
        let in_range = occurrence < self.spec.occurrences.max(1) && index_in_step < spec.tasks;
        in_range.then(|| self.step_tasks(occurrence, step).start + index_in_step)
    }

    /// The index in `remaining` of the entry for the step and the occurrence that a task belongs to.
    fn remaining_index(&self, index: usize) -> usize {
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        let (occurrence, step, _) = self.position(index);
        occurrence as usize * self.spec.steps.len() + step
    }

    /// Whether all steps that a step depends on are done in an occurrence.
    ///
    /// # Panics
    /// If `step` is not a step of the job, or if the step has dependencies and `occurrence` is not an occurrence of the
    /// job.
    #[must_use]
    pub fn is_unblocked(&self, occurrence: u32, step: usize) -> bool {
        let first = occurrence as usize * self.spec.steps.len();
        let dependencies = &self.spec.steps[step].dependencies;
        dependencies
            .iter()
            .all(|&step| self.remaining[first + usize::from(step)] == 0)
    }

    /// When an occurrence is due, in ms since the Unix epoch, at most `u64::MAX`; `None` when the occurrence is due
    /// immediately.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> Option<u64> {
        let spec = &self.spec;
        let after_first_ms = u64::from(occurrence).saturating_mul(spec.interval_ms);
        (spec.occurrences > 0).then(|| spec.first_at_unix_ms.saturating_add(after_first_ms))
    }

    /// The critical path of an occurrence through the steps that are not done: the longest sum of estimated run times
    /// along dependencies, in ms, at most `u64::MAX`. A step that is done counts as 0.
    ///
    /// # Panics
    /// If `occurrence` is not an occurrence of the job.
    #[must_use]
    pub fn remaining_critical_path_ms(&self, occurrence: u32) -> u64 {
        let first = occurrence as usize * self.spec.steps.len();
        let mut end_ms: Vec<u64> = Vec::with_capacity(self.spec.steps.len());
        for (step, spec) in self.spec.steps.iter().enumerate() {
            let dependency_end_ms = spec
                .dependencies
                .iter()
                .map(|&step| end_ms[usize::from(step)]);
            let step_ms = if self.remaining[first + step] == 0 {
                0
            } else {
                spec.estimated_duration_ms
            };
            let step_end_ms = dependency_end_ms.max().unwrap_or(0).saturating_add(step_ms);
            end_ms.push(step_end_ms);
        }
        end_ms.into_iter().max().unwrap_or(0)
    }

    /// The batch work of an occurrence that is not done: the sum over its remaining tasks, other than service tasks, of
    /// the CPU in thousandths of a core times the estimated run time in ms. At most `u64::MAX`.
    ///
    /// # Panics
    /// If `occurrence` is not an occurrence of the job.
    #[must_use]
    pub fn remaining_batch_work(&self, occurrence: u32) -> u64 {
        let first = occurrence as usize * self.spec.steps.len();
        let steps = self.spec.steps.iter().enumerate();
        let batch = steps.filter(|(_, spec)| !spec.is_service);
        let work = batch.map(|(step, spec)| {
            u64::from(self.remaining[first + step])
                .saturating_mul(u64::from(spec.footprint().cpu_milli))
                .saturating_mul(spec.estimated_duration_ms)
        });
        work.fold(0, u64::saturating_add)
    }

    /// The critical path of a whole occurrence: the longest sum of estimated run times along dependencies, in ms, at most
    /// `u64::MAX`.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        let mut end_ms: Vec<u64> = Vec::with_capacity(self.spec.steps.len());
        for spec in &self.spec.steps {
            let dependency_end_ms = spec
                .dependencies
                .iter()
                .map(|&step| end_ms[usize::from(step)]);
            let start_ms: u64 = dependency_end_ms.max().unwrap_or(0);
            let step_end_ms = start_ms.saturating_add(spec.estimated_duration_ms);
            end_ms.push(step_end_ms);
        }
        end_ms.into_iter().max().unwrap_or(0)
    }

    /// Assigns an idle task to a worker and returns the number of the new attempt, which is the next number of the
    /// task, but at least `min_attempt`. Whether the task is idle is not checked.
    ///
    /// # Panics
    /// If `index` is not the index of a task of the job.
    pub fn assign(&mut self, index: u32, worker: SmolStr, min_attempt: u32) -> u32 {
        let task = &mut self.tasks[index as usize];
        task.attempt = (task.attempt + 1).max(min_attempt);
        task.phase = TaskPhase::Assigned { worker };
        task.attempt
    }

    /// Sets the newest known checkpoint of a task. An empty `checkpoint` changes nothing.
    ///
    /// # Panics
    /// If `checkpoint` is not empty and `index` is not the index of a task of the job.
    pub fn update_checkpoint(&mut self, index: u32, checkpoint: SmolStr) {
        if !checkpoint.is_empty() {
            self.tasks[index as usize].checkpoint = checkpoint;
        }
    }

    /// Applies the outcome of the attempt that a task is assigned as, at `store_ms` on the store's clock. Returns false
    /// and changes nothing when the job has no task with that index, the task is not assigned, or `attempt` is not the
    /// last attempt of the task.
    ///
    /// The job fails when the failed attempts of a task reach `max_failures`. Service tasks are never done and never
    /// fail the job: they become idle after any outcome.
    pub fn end_attempt(
        &mut self,
        index: u32,
        attempt: u32,
        outcome: AttemptOutcome,
        max_failures: u32,
        store_ms: u64,
    ) -> bool {
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return false;
        };
        if task.attempt != attempt || !matches!(task.phase, TaskPhase::Assigned { .. }) {
            return false;
        }
        task.phase = TaskPhase::Idle;
        task.running_since_ms = 0;
        let is_service = self.spec.steps[self.position(index).1].is_service;
        let task = &mut self.tasks[index as usize];
        match outcome {
            AttemptOutcome::Lost => {}
            AttemptOutcome::Done if is_service => {}
            AttemptOutcome::Done => {
                task.phase = TaskPhase::Done;
                let step_entry = self.remaining_index(index as usize);
                self.remaining[step_entry] = self.remaining[step_entry].saturating_sub(1);
            }
            AttemptOutcome::Failed => {
                task.failures += 1;
                if !is_service && task.failures >= max_failures {
                    self.has_failed = true;
                }
            }
        }
        if self.has_ended() && self.ended_at_ms == 0 {
            self.ended_at_ms = store_ms.max(1);
        }
        true
    }

    /// Cancels the job at `store_ms` on the store's clock. Returns false and changes nothing when the job has ended.
    pub fn cancel(&mut self, store_ms: u64) -> bool {
        if self.has_ended() {
            return false;
        }
        self.is_cancelled = true;
        self.ended_at_ms = store_ms.max(1);
        true
    }
}
