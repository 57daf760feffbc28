//! What looks at workers show: tasks that run, tasks that ended, tasks that are gone.

use smol_str::SmolStr;
use submission::{JobId, RunEnd, TaskKey};

use crate::batch::Action;
use crate::scheduler::Scheduler;
use crate::types::{Note, Now};
use crate::worker::WorkerKey;

/// A brief task that shows no progress for longer stands still. Progress is in percent, so that the longest tasks,
/// of 3.3 s, show some every 33 ms; on workers six times slower, every 200 ms.
const STALL_MS: u64 = 1500;

/// The largest share of a pool's workers that is avoided at once, in percent: above it the cause is not theirs.
const MOST_AVOIDED_PERCENT: usize = 34;

/// A task that runs on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningTask {
    /// Its name.
    pub name: SmolStr,
    /// The number of the run.
    pub run: u32,
    /// The newest checkpoint; empty for none.
    pub checkpoint: SmolStr,
    /// How far it is.
    pub percent: u32,
    /// The tail of its response times in ms if it serves, else its processor time in use.
    pub load: u64,
}

/// A run that ended on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct End {
    /// Its number among the worker's ends.
    pub number: u64,
    /// The task's name.
    pub name: SmolStr,
    /// The number of the run.
    pub run: u32,
    /// How it ended.
    pub end: RunEnd,
    /// The newest checkpoint; empty for none.
    pub checkpoint: SmolStr,
}

/// An answer to a hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Look {
    /// When the hold was sent.
    pub sent_at_ms: u64,
    /// The worker's clock.
    pub clock_ms: u64,
    /// Up to which end the worker was told to forget.
    pub recorded_end: u64,
    /// What runs there.
    pub running: Vec<RunningTask>,
    /// What ended there and was not forgotten.
    pub ended: Vec<End>,
}

impl Scheduler {
    /// Takes in a look at a worker.
    pub fn looked(&mut self, key: WorkerKey, look: Look, now: Now) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.note_clock(look.clock_ms, now.local_ms);
        if !worker.is_proven && look.running.is_empty() {
            // Nothing that an earlier owner started holds a lease there.
            worker.lapse_at_ms = now.local_ms;
        }
        worker.is_proven = true;
        worker.forgotten_end = worker.forgotten_end.max(look.recorded_end);
        for end in look.ended {
            self.take_end(key, end, now);
        }
        let mut listed = Vec::with_capacity(look.running.len());
        for running in look.running {
            if let Some(task) = self.take_running(key, &running, now) {
                listed.push(task);
            }
        }
        self.free_unlisted(key, &listed, look.sent_at_ms, now);
        self.pace_fillers(key);
    }

    pub(crate) fn task_of(&self, name: &str) -> Option<TaskKey> {
        let job = JobId::parse(name.split('.').next()?)?;
        let index = self.jobs.get(&job)?.task_index(name)?;
        Some(TaskKey { job, index })
    }

    fn take_end(&mut self, key: WorkerKey, end: End, now: Now) {
        let worker = &mut self.workers[key];
        if end.number <= worker.seen_end {
            return;
        }
        worker.seen_end = end.number;
        let Some(task) = self.task_of(&end.name) else {
            return;
        };
        let worker = &mut self.workers[key];
        let is_ours = worker
            .runs
            .get(&task)
            .is_some_and(|run| run.number == end.run);
        if !is_ours {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.note_checkpoint(task.index, end.checkpoint);
        }
        match end.end {
            RunEnd::Done => self.workers[key].health.succeeded(),
            RunEnd::Failed => self.note_failure(key, task, now),
            RunEnd::Lost => {}
        }
        self.end_run(key, task, end.run, end.end, now);
        if end.end == RunEnd::Done {
            self.end_gang(task, now);
        }
    }

    /// A failure speaks against the worker only while the job has not failed before: else the job may be the cause.
    fn note_failure(&mut self, key: WorkerKey, task: TaskKey, now: Now) {
        let job = self.jobs.get(&task.job);
        let has_failed_before =
            job.is_some_and(|job| job.tasks().any(|(_, task)| task.failures > 0));
        let may_avoid = self.may_avoid_one_more(now);
        let worker = &mut self.workers[key];
        if !has_failed_before && worker.health.failed(task.job, may_avoid, now.local_ms) {
            let worker = worker.info.id.clone();
            self.notes.push(Note::Avoided {
                worker,
                cause: "its runs fail",
            });
        }
    }

    /// One member's end as done stands for its whole gang.
    fn end_gang(&mut self, task: TaskKey, now: Now) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        if !job.step(task.index).is_gang {
            return;
        }
        let (occurrence, step, _) = job.place(task.index);
        let others = job.step_tasks(occurrence, step);
        for index in others {
            let member = TaskKey {
                job: task.job,
                index,
            };
            let holder = self
                .workers
                .iter()
                .find_map(|(key, worker)| worker.runs.get(&member).map(|run| (key, run.number)));
            if let Some((key, run)) = holder {
                self.end_run(key, member, run, RunEnd::Done, now);
            }
        }
    }

    /// A task that is listed as running; `None` when it should not run there, and is stopped.
    fn take_running(&mut self, key: WorkerKey, running: &RunningTask, now: Now) -> Option<TaskKey> {
        let task = self.task_of(&running.name);
        let worker = &mut self.workers[key];
        let expected = task.and_then(|task| worker.runs.get_mut(&task).map(|run| (task, run)));
        let Some((task, run)) = expected.filter(|(_, run)| run.number == running.run) else {
            self.stop_stray(key, running, task);
            return None;
        };
        if run.settled_at_ms.is_none() {
            run.settled_at_ms = Some(now.local_ms);
        }
        if run.percent != running.percent {
            run.percent = running.percent;
            run.percent_since_ms = now.local_ms;
        }
        run.load = running.load;
        let stalled_ms = now.local_ms.saturating_sub(run.percent_since_ms);
        let was_stopping = run.is_stopping;
        let number = run.number;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return Some(task);
        };
        job.note_checkpoint(task.index, running.checkpoint.clone());
        let may_stall = !job.step(task.index).is_lasting && !job.step(task.index).is_gang;
        if job.has_ended() && !was_stopping {
            self.order_stop(key, task, number);
        } else if may_stall && stalled_ms > STALL_MS && !was_stopping {
            let may_avoid = self.may_avoid_one_more(now);
            let worker = &mut self.workers[key];
            if worker.health.stalled(task.job, may_avoid, now.local_ms) {
                let worker = worker.info.id.clone();
                self.notes.push(Note::Avoided {
                    worker,
                    cause: "its tasks stand still",
                });
            }
            self.order_stop(key, task, number);
        }
        Some(task)
    }

    fn stop_stray(&mut self, key: WorkerKey, running: &RunningTask, task: Option<TaskKey>) {
        let action = Action::Stop {
            worker: key,
            name: running.name.clone(),
            task,
            run: running.run,
        };
        self.urgent.push(action);
    }

    /// Has a run stopped.
    pub(crate) fn order_stop(&mut self, key: WorkerKey, task: TaskKey, run: u32) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let action = Action::Stop {
            worker: key,
            name: job.task_name(task.index),
            task: Some(task),
            run,
        };
        self.urgent.push(action);
        if let Some(run) = self.workers[key].runs.get_mut(&task) {
            run.is_stopping = true;
        }
    }

    /// Runs whose orders had their effect before the look was sent, and which it does not list, are gone.
    fn free_unlisted(&mut self, key: WorkerKey, listed: &[TaskKey], sent_at_ms: u64, now: Now) {
        let worker = &self.workers[key];
        let gone = worker.runs.iter().filter(|(task, run)| {
            run.settled_at_ms.is_some_and(|at_ms| at_ms < sent_at_ms) && !listed.contains(task)
        });
        let gone: Vec<_> = gone.map(|(task, run)| (*task, run.number)).collect();
        for (task, run) in gone {
            self.end_run(key, task, run, RunEnd::Lost, now);
        }
    }

    fn may_avoid_one_more(&self, now: Now) -> bool {
        let avoided = self
            .workers
            .values()
            .filter(|worker| worker.health.is_avoided(now.local_ms));
        (avoided.count() + 1) * 100 <= self.workers.len() * MOST_AVOIDED_PERCENT
    }
}
