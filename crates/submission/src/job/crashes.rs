//! Crashes of workers under a task, and after how many of them the task is given up or held.

use super::{Job, TaskPhase};

/// The number of crashes from which a service task is held. A task may be started twice more after three crashes.
const HELD_FROM_CRASHES: u32 = 5;

/// What follows from a crash of a worker under a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The task may be started again.
    GoesOn,
    /// The task is given up, and its job has failed.
    GivenUp,
    /// The service task is not started again, and the other tasks of its job go on.
    Held,
}

/// How far the crash of a worker shows that a task on it was the cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashEvidence {
    /// The worker was stable and crashed soon after the task had started, and nothing else there is as likely the cause.
    Conclusive,
    /// The cause may be another task, the worker, or whatever made other workers crash at the time.
    Doubtful,
    /// The task had run for long when the worker crashed.
    Late,
}

impl CrashEvidence {
    /// The number of workers that crashed under a task after which the task is given up or held, if the last crash gives this
    /// evidence.
    const fn max_crashes(self) -> u32 {
        match self {
            Self::Conclusive => 3,
            Self::Doubtful => 4,
            Self::Late => HELD_FROM_CRASHES,
        }
    }
}

impl Job {
    /// Records that a worker crashed while an attempt of a task may have run there, at `store_ms` on the store's clock.
    /// Returns what follows now. Ignored when the job has ended or the task is done.
    ///
    /// A service task is held, and its number of crashes is raised to that from which tasks are held, so that the row of the
    /// job tells it.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use submission::{CrashEvidence, CrashVerdict, Job, JobId, JobSpec, JobState, StepSpec};
    /// let steps = vec![StepSpec { tasks: 1, ..StepSpec::default() }];
    /// let spec = Arc::new(JobSpec { steps, ..JobSpec::default() });
    /// let mut job = Job::new(JobId(7), "queue".into(), spec, 0);
    /// assert_eq!(job.record_crash(0, CrashEvidence::Conclusive, 10), CrashVerdict::GoesOn);
    /// assert_eq!(job.record_crash(0, CrashEvidence::Conclusive, 20), CrashVerdict::GoesOn);
    /// assert_eq!(job.record_crash(0, CrashEvidence::Conclusive, 30), CrashVerdict::GivenUp);
    /// assert_eq!(job.state(), JobState::Failed);
    /// ```
    pub fn record_crash(
        &mut self,
        index: u32,
        evidence: CrashEvidence,
        store_ms: u64,
    ) -> CrashVerdict {
        if self.has_ended() || self.task(index).is_none() {
            return CrashVerdict::GoesOn;
        }
        let is_service = self.step(index).is_service;
        let was_held = self.is_held(index);
        let task = &mut self.tasks[index as usize];
        if task.phase == TaskPhase::Done {
            return CrashVerdict::GoesOn;
        }
        task.crashes += 1;
        if was_held || task.crashes < evidence.max_crashes() {
            return CrashVerdict::GoesOn;
        }
        if is_service {
            task.crashes = HELD_FROM_CRASHES;
            return CrashVerdict::Held;
        }
        self.has_failed = true;
        self.ended_at_ms = store_ms.max(1);
        CrashVerdict::GivenUp
    }

    /// Whether a task is a service task that is not started again, because workers crash under it. False for an unknown task.
    #[must_use]
    pub fn is_held(&self, index: u32) -> bool {
        self.task(index)
            .is_some_and(|task| task.crashes >= HELD_FROM_CRASHES && self.step(index).is_service)
    }

    /// The indices in the job of the tasks of a step that are assigned to no worker, and that may be started once the step is
    /// unblocked. None while a task of a gang is held.
    ///
    /// # Panics
    /// If `step` is not a step of the job.
    pub fn idle_tasks(&self, occurrence: u32, step: usize) -> impl Iterator<Item = u32> + '_ {
        let tasks = self.step_tasks(occurrence, step);
        let is_gang = self.spec.steps[step].is_gang;
        let is_gang_held = is_gang && tasks.clone().any(|index| self.is_held(index));
        tasks.filter(move |&index| {
            let task = self.task(index);
            let is_idle = task.is_some_and(|task| task.phase == TaskPhase::Idle);
            is_idle && !is_gang_held && !self.is_held(index)
        })
    }

    /// The largest number of tasks of a step that run or may be started in an occurrence.
    ///
    /// # Panics
    /// If `step` is not a step of the job.
    #[must_use]
    pub fn tasks_not_held(&self, step: usize) -> u32 {
        let not_held = |occurrence| {
            let mut tasks = self.step_tasks(occurrence, step);
            let held = tasks.by_ref().filter(|&index| self.is_held(index)).count();
            let held = u32::try_from(held).unwrap_or(u32::MAX);
            self.spec.steps[step].tasks.saturating_sub(held)
        };
        let occurrences = 0..self.spec.occurrences.max(1);
        occurrences.map(not_held).max().unwrap_or(0)
    }

    /// Records that the last attempt of a task runs at `store_ms` on the store's clock, if it is a service task under which workers
    /// crashed, so that each owner of the job knows since when it has run. Returns whether the row of the job has changed.
    ///
    /// # Panics
    /// If `index` is not the index of a task of the job.
    pub fn record_running(&mut self, index: u32, store_ms: u64) -> bool {
        let is_service = self.step(index).is_service;
        let task = &mut self.tasks[index as usize];
        if !is_service || task.crashes == 0 || task.running_since_ms > 0 {
            return false;
        }
        task.running_since_ms = store_ms.max(1);
        true
    }

    /// Forgets since when the last attempt of a task has run, because its worker has restarted. An unknown task is ignored.
    pub fn forget_running(&mut self, index: u32) {
        if let Some(task) = self.tasks.get_mut(index as usize) {
            task.running_since_ms = 0;
        }
    }

    /// Forgets the crashes under a task whose attempt has run long enough not to be their cause. Returns whether there
    /// were any.
    ///
    /// # Panics
    /// If `index` is not the index of a task of the job.
    pub fn forget_crashes(&mut self, index: u32) -> bool {
        let task = &mut self.tasks[index as usize];
        task.running_since_ms = 0;
        std::mem::take(&mut task.crashes) > 0
    }
}
