//! Empties workers whose VMs are about to be moved or maintained.

use submission::{Job, TaskKey};

use crate::scheduler::Scheduler;
use crate::types::Now;
use crate::worker::WorkerKey;

/// A lasting task is at work when its progress is this.
const AT_WORK_PERCENT: u32 = 100;

/// For how long a worker that is to be empty is given nothing. Stewards ask again every 0.3 s, and an order to a VM
/// takes 0.8 s at the most; a steward that is gone leaves no worker unused for longer.
const PROMISE_MS: u64 = 1500;

/// How many tasks of a step may be away that does not say it: one at a time, as a worker could not be emptied else.
const LEAST_MAY_MISS: u32 = 1;

/// How long brief tasks with checkpoints may go on while their worker is emptied.
const BRIEF_PATIENCE_MS: u64 = 1200;

impl Scheduler {
    /// Gives a worker nothing for a while, and takes off what may be taken off now. Returns how many tasks are left.
    pub fn evacuate(&mut self, key: WorkerKey, now: Now) -> usize {
        let Some(worker) = self.workers.get_mut(key) else {
            return 0;
        };
        worker.evacuated_until_ms = now.local_ms + PROMISE_MS;
        let runs: Vec<_> = worker
            .runs
            .iter()
            .filter(|(_, run)| !run.is_stopping)
            .map(|(task, run)| (*task, run.number, run.assigned_at_ms))
            .collect();
        for (task, run, assigned_at_ms) in runs {
            let age_ms = now.local_ms.saturating_sub(assigned_at_ms);
            if self.may_stop(task, age_ms) {
                self.order_stop(key, task, run);
            }
        }
        self.workers[key].runs.len()
    }

    /// Lets a worker be given work again.
    pub fn keep(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.evacuated_until_ms = 0;
        }
    }

    fn may_stop(&self, task: TaskKey, age_ms: u64) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        let step = job.step(task.index);
        if !step.is_lasting {
            return step.has_checkpoints && age_ms > BRIEF_PATIENCE_MS;
        }
        // The last look may be old, so that a task that was not at work then counts as one that is now.
        self.others_away(job, task) < step.may_miss.max(LEAST_MAY_MISS)
    }

    /// The other tasks of a lasting step that are not at work, as far as the last looks show.
    pub(crate) fn others_away(&self, job: &Job, task: TaskKey) -> u32 {
        let (occurrence, step, _) = job.place(task.index);
        let others = job
            .step_tasks(occurrence, step)
            .filter(|&index| index != task.index);
        let away = others.filter(|&index| {
            let other = TaskKey {
                job: task.job,
                index,
            };
            !self.workers.values().any(|worker| {
                let run = worker.runs.get(&other);
                let at_work =
                    run.is_some_and(|run| run.percent >= AT_WORK_PERCENT && !run.is_stopping);
                at_work && !worker.is_silent
            })
        });
        u32::try_from(away.count()).unwrap_or(u32::MAX)
    }
}
