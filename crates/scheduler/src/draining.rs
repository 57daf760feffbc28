//! Drains workers whose VMs are about to be moved or maintained.

use smol_str::SmolStr;
use submission::{Job, TaskKey};

use crate::scheduler::Scheduler;
use crate::types::{Now, SchedulerEvent};
use crate::worker::WorkerKey;

/// The progress at which a service task counts as available.
pub(crate) const AVAILABLE_PROGRESS_PERCENT: u32 = 100;

/// The duration of a drain lease in ms, during which the worker is given no task. A leader whose store is slow sends the command
/// to the drained VM up to 1.8 s after its request, and the command takes up to 0.8 s. When the leader fails, the worker is
/// used again after this time.
pub const DRAIN_LEASE_MS: u64 = 2700;

/// The number of unavailable tasks that every service step tolerates beside held ones, if the step allows none. Otherwise,
/// no worker of the step could be drained.
const MIN_TOLERATED_UNAVAILABLE: u32 = 1;

/// The age of a report in ms up to which it shows tasks available: more than a poll that is not answered takes, so that a report
/// is older only if the process was suspended or could send no polls. Less than the time after which
/// operators count a task as unavailable whatever the cause, by the duration of a stop.
const MAX_REPORT_AGE_MS: u64 = 3500;

/// The time since its assignment after which a batch task with checkpoints is stopped while its worker is drained.
/// Batch tasks without checkpoints are not stopped.
const MIN_BATCH_AGE_TO_STOP_MS: u64 = 1200;

impl Scheduler {
    /// Starts or renews the drain lease of a worker, and stops the attempts that may be stopped now. Returns the number
    /// of attempts on the worker, and one more while any reported end is not recorded; 0 for a removed worker.
    pub fn drain(&mut self, key: WorkerKey, now: Now) -> usize {
        let Some(worker) = self.workers.get_mut(key) else {
            return 0;
        };
        if now.local_ms >= worker.drain_until_ms {
            worker.was_silent_before_drain = worker.is_unresponsive;
        }
        worker.drain_until_ms = now.local_ms + DRAIN_LEASE_MS;
        let attempts: Vec<_> = worker
            .attempts
            .iter()
            .filter(|(_, attempt)| !attempt.is_stopping)
            .map(|(task, attempt)| (*task, attempt.number, attempt.assigned_at_ms))
            .collect();
        let mut is_drain_blocked = false;
        for (task, attempt, assigned_at_ms) in attempts {
            let age_ms = now.local_ms.saturating_sub(assigned_at_ms);
            if !self.has_place_elsewhere(task, now) {
                is_drain_blocked = true;
            } else if self.may_stop(task, age_ms, now) {
                self.note_stop(key, task, attempt, now);
                self.issue_stop(key, task, attempt);
            }
        }
        let worker = &mut self.workers[key];
        worker.is_drain_blocked = is_drain_blocked;
        worker.attempts.len() + usize::from(worker.incarnation.has_unrecorded_ends())
    }

    /// Like [`Self::drain`], for the worker with this id. The drain lease of a worker that is not known yet begins nevertheless:
    /// the leader may command its VM once nothing is said to run there.
    pub fn drain_by_id(&mut self, id: &SmolStr, now: Now) -> usize {
        if let Some(&key) = self.workers_by_id.get(id) {
            return self.drain(key, now);
        }
        self.expected_drains
            .retain(|_, until_ms| now.local_ms < *until_ms);
        let until_ms = now.local_ms + DRAIN_LEASE_MS;
        self.expected_drains.insert(id.clone(), until_ms);
        0
    }

    /// Ends the drain lease of a worker, so that the worker may be given tasks again.
    pub fn cancel_drain(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.drain_until_ms = 0;
        }
    }

    /// Like [`Self::cancel_drain`], for the worker with this id, which need not be known yet.
    pub fn cancel_drain_by_id(&mut self, id: &SmolStr) {
        self.expected_drains.remove(id);
        if let Some(&key) = self.workers_by_id.get(id) {
            self.cancel_drain(key);
        }
    }

    /// Sets the workers that will be drained for maintenance, by the ids of their incarnations. Service tasks are assigned
    /// to other workers if possible, so that they move once and not once more for each later drain.
    pub fn set_maintenance_due(&mut self, ids: &[SmolStr]) {
        for worker in self.workers.values_mut() {
            worker.is_maintenance_due = false;
        }
        for id in ids {
            if let Some(key) = self.workers_by_id.get(id) {
                self.workers[*key].is_maintenance_due = true;
            }
        }
    }

    /// Whether a task has no need of another worker, or one that has room. A service task that is stopped without such a
    /// worker would not run until the pool gets one.
    fn has_place_elsewhere(&self, task: TaskKey, now: Now) -> bool {
        let job = self.jobs.get(&task.job);
        job.is_none_or(|job| {
            !job.step(task.index).is_service || self.has_service_room(job, task, now)
        })
    }

    /// Whether a task may be stopped on a worker that is being drained.
    fn may_stop(&self, task: TaskKey, age_ms: u64, now: Now) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        let step = job.step(task.index);
        if !step.is_service {
            return step.has_checkpoints && age_ms > MIN_BATCH_AGE_TO_STOP_MS;
        }
        self.tolerates_stop(job, task, now)
    }

    /// Whether the step of a service task tolerates that the task becomes unavailable.
    pub(crate) fn tolerates_stop(&self, job: &Job, task: TaskKey, now: Now) -> bool {
        // The last report may be old: this task counts as available even if the report showed the contrary.
        self.other_tasks(job, task, now).unavailable < max_unavailable(job, task)
    }

    /// The availability of the other tasks of a service step, as the last reports show.
    fn other_tasks(&self, job: &Job, task: TaskKey, now: Now) -> OtherTasks {
        let (occurrence, step, _) = job.position(task.index);
        let others = job
            .step_tasks(occurrence, step)
            .filter(|&index| index != task.index);
        let mut tasks = OtherTasks::default();
        for index in others {
            let other = TaskKey {
                job: task.job,
                index,
            };
            let available = self.workers.values().find_map(|worker| {
                let attempt = worker.attempts.get(&other)?;
                let is_available = attempt.progress_percent >= AVAILABLE_PROGRESS_PERCENT
                    && !attempt.is_stopping
                    && !worker.is_unresponsive
                    && worker.incarnation.report_age_ms(now.local_ms) <= MAX_REPORT_AGE_MS
                    && !(attempt.is_adopted && worker.may_run_earlier_stops(self.limits.stop_ms));
                is_available.then_some((worker, attempt))
            });
            let Some((worker, attempt)) = available else {
                tasks.unavailable += 1;
                continue;
            };
            let age_ms = worker.incarnation.report_age_ms(now.local_ms);
            tasks.oldest_report_ms = tasks.oldest_report_ms.max(age_ms);
            tasks.adopted += u32::from(attempt.is_adopted);
        }
        tasks
    }

    /// Notes for the log that a service task is about to be stopped for a drain, and on what the decision rests.
    fn note_stop(&mut self, key: WorkerKey, task: TaskKey, attempt: u32, now: Now) {
        let job = self.jobs.get(&task.job);
        let Some(job) = job.filter(|job| job.step(task.index).is_service) else {
            return;
        };
        let others = self.other_tasks(job, task, now);
        self.events.push(SchedulerEvent::StoppedForDrain {
            worker: self.workers[key].info.id.clone(),
            task: job.task_name(task.index),
            attempt,
            unavailable: others.unavailable,
            tolerated: max_unavailable(job, task),
            adopted: others.adopted,
            oldest_report_ms: others.oldest_report_ms,
        });
    }
}

/// The availability of all tasks of a service step but one.
#[derive(Debug, Clone, Copy, Default)]
struct OtherTasks {
    unavailable: u32,
    /// The number of available tasks whose attempts a previous owner started.
    adopted: u32,
    /// The age of the oldest report that shows one of the tasks available, in ms.
    oldest_report_ms: u64,
}

/// The number of unavailable tasks that the step of a service task tolerates. A held task is unavailable until its job is
/// cancelled, and counts towards the number that the step allows: workers of a step that allows no more can't be drained.
fn max_unavailable(job: &Job, task: TaskKey) -> u32 {
    let (occurrence, step, _) = job.position(task.index);
    let allowed = job.spec().steps[step].max_unavailable;
    if allowed > 0 {
        return allowed;
    }
    let tasks = job.step_tasks(occurrence, step);
    let held = tasks.filter(|&index| job.is_held(index)).count();
    let held = u32::try_from(held).unwrap_or(u32::MAX);
    held.saturating_add(MIN_TOLERATED_UNAVAILABLE)
}
