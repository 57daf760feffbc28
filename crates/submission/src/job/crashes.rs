//! Crashes of workers under a task, and after how many of them the task is given up.

use super::{Job, TaskPhase};

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
    /// The number of workers that crashed under a task after which the task is given up, if the last crash gives this
    /// evidence. A task may be started twice more after three crashes.
    const fn max_crashes(self) -> u32 {
        match self {
            Self::Conclusive => 3,
            Self::Doubtful => 4,
            Self::Late => 5,
        }
    }
}

impl Job {
    /// Records that a worker crashed while an attempt of a task may have run there, at `store_ms` on the store's clock.
    /// Returns whether the task is given up now, so that the job has failed. Ignored when the job has ended or the task is
    /// done.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use submission::{CrashEvidence, Job, JobId, JobSpec, JobState, StepSpec};
    /// let steps = vec![StepSpec { tasks: 1, ..StepSpec::default() }];
    /// let spec = Arc::new(JobSpec { steps, ..JobSpec::default() });
    /// let mut job = Job::new(JobId(7), "queue".into(), spec, 0);
    /// assert!(!job.record_crash(0, CrashEvidence::Conclusive, 10));
    /// assert!(!job.record_crash(0, CrashEvidence::Conclusive, 20));
    /// assert!(job.record_crash(0, CrashEvidence::Conclusive, 30));
    /// assert_eq!(job.state(), JobState::Failed);
    /// ```
    pub fn record_crash(&mut self, index: u32, evidence: CrashEvidence, store_ms: u64) -> bool {
        if self.has_ended() || self.task(index).is_none() {
            return false;
        }
        let task = &mut self.tasks[index as usize];
        if task.phase == TaskPhase::Done {
            return false;
        }
        task.crashes += 1;
        if task.crashes < evidence.max_crashes() {
            return false;
        }
        self.has_failed = true;
        self.ended_at_ms = store_ms.max(1);
        true
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
