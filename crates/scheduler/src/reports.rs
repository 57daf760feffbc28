//! Reports of workers: running tasks, ended attempts, and assigned attempts that do not run.

use smol_str::SmolStr;
use submission::{AttemptOutcome, JobId, Resources, TaskKey};

use crate::batch::WorkerCommand;
use crate::incarnation::Poll;
use crate::scheduler::Scheduler;
use crate::teams::TeamKey;
use crate::types::{CrashSource, Now, SchedulerEvent};
use crate::worker::WorkerKey;

/// A batch task without progress for longer counts as stalled. The longest tasks, of 3.3 s, progress by one percent
/// every 33 ms, and every 200 ms on workers that are six times slower.
const STALL_TIMEOUT_MS: u64 = 1500;

/// The largest part of a pool's workers that is blocklisted at a time, in percent. If more workers fail, the cause is
/// not in the workers.
const MAX_BLOCKLISTED_PERCENT: usize = 34;

/// The resources of a task that no job of the pool has: those of the whole worker.
const ANY_FOOTPRINT: Resources = Resources {
    cpu_milli: u32::MAX,
    memory_mb: u32::MAX,
    gpus: u32::MAX,
};

/// A task that runs on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningTask {
    /// The name of the task on the worker.
    pub name: SmolStr,
    /// The number of the attempt.
    pub attempt: u32,
    /// The newest checkpoint; empty for none.
    pub checkpoint: SmolStr,
    /// The progress of the attempt, in percent.
    pub progress_percent: u32,
    /// For a task with a tail latency target, its tail latency in ms. For other tasks, the CPU in use, in thousandths
    /// of a core, which the scheduler ignores.
    pub load: u64,
}

/// An attempt that ended on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedAttempt {
    /// The number of this end in the worker's sequence of ended attempts, from 1.
    pub number: u64,
    /// The name of the task on the worker.
    pub name: SmolStr,
    /// The number of the attempt.
    pub attempt: u32,
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// The newest checkpoint; empty for none.
    pub checkpoint: SmolStr,
}

/// What a worker reported in response to a lease renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerReport {
    /// When the lease renewal was sent, in ms on the daemon's clock.
    pub request_sent_at_ms: u64,
    /// The worker's clock in ms, as the response carried it.
    pub worker_clock_ms: u64,
    /// The start of the incarnation that reported, in ms since 1970 on the worker's clock; `None` when the report has none.
    /// The start in the registry counts then.
    pub start_unix_ms: Option<u64>,
    /// The number of the last ended attempt that the lease renewal acknowledged as recorded; 0 for none.
    pub acknowledged_end: u64,
    /// The tasks that run on the worker.
    pub running: Vec<RunningTask>,
    /// The ended attempts that were not acknowledged to the worker before.
    pub ended: Vec<EndedAttempt>,
    /// Whether `ended` may lack later ends, because a report holds a limited number of them.
    pub has_more_ends: bool,
}

impl Scheduler {
    /// Applies a worker's report: the outcomes of ended attempts, the progress of running ones, and the loss of
    /// assigned attempts that do not run any more. Issues commands that stop stalled attempts and attempts that are not
    /// assigned to the worker, and that set speed limits. Ignored for a removed worker.
    pub fn apply_report(&mut self, key: WorkerKey, report: WorkerReport, now: Now) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let start_unix_ms = report.start_unix_ms.or(worker.info.start_unix_ms);
        let previous_start_unix_ms = worker.incarnation.start_unix_ms;
        let is_restarted = previous_start_unix_ms
            .zip(start_unix_ms)
            .is_some_and(|(previous, start)| previous != start);
        if is_restarted {
            self.begin_incarnation(key, start_unix_ms, now);
        }
        let worker = &mut self.workers[key];
        worker.expired.clear();
        let ended_at_ms = &mut worker.incarnation.ended_without_crash_at_ms;
        *ended_at_ms = ended_at_ms.filter(|at_ms| report.request_sent_at_ms <= *at_ms);
        worker.incarnation.start_unix_ms = start_unix_ms.or(previous_start_unix_ms);
        worker.may_have_restarted = false;
        worker.is_unresponsive = false;
        worker.record_clock(report.worker_clock_ms, now.local_ms);
        let has_accepted_term = worker.incarnation.has_accepted_term;
        if !has_accepted_term && !is_restarted && report.running.is_empty() {
            // No attempt that a previous owner started has a lease on the worker.
            worker.leases_expired_by_ms = now.local_ms;
        }
        // What was acknowledged to a restarted worker were ends of its previous incarnation.
        let acknowledged_end = if is_restarted {
            0
        } else {
            report.acknowledged_end
        };
        let poll = Poll {
            sent_at_ms: report.request_sent_at_ms,
            acknowledged_end,
        };
        worker
            .incarnation
            .record_report(poll, report.worker_clock_ms, now.local_ms);
        let last_end = report.ended.iter().map(|end| end.number).max();
        for end in report.ended {
            self.apply_end(key, end, now);
        }
        if let Some(last_end) = last_end {
            let position = self.dirty_jobs.end();
            self.workers[key]
                .incarnation
                .record_received_ends(last_end, position);
        }
        let mut listed = Vec::with_capacity(report.running.len());
        let mut used_by_unassigned = Resources::default();
        let mut unassigned = Vec::new();
        for running in report.running {
            if let Some(task) = self.apply_running(key, &running, now) {
                listed.push(task);
            } else {
                let footprint = self.footprint_by_name(&running.name);
                used_by_unassigned = used_by_unassigned.saturating_add(footprint);
                unassigned.extend(self.needs_by_name(&running.name));
            }
        }
        self.workers[key].incarnation.used_by_unassigned = used_by_unassigned;
        self.set_unassigned(key, unassigned);
        if !report.has_more_ends {
            self.end_unlisted(key, &listed, report.request_sent_at_ms, now);
        }
        self.update_speed_limits(key);
    }

    /// Replaces what is known of a worker's process, after a report from another incarnation with the same id.
    fn begin_incarnation(&mut self, key: WorkerKey, start_unix_ms: Option<u64>, now: Now) {
        self.mark_crashed(key, now);
        self.record_expired_crashes(key, CrashSource::AnotherStartReports, now);
        self.set_unassigned(key, Vec::new());
        let limits = self.limits;
        let worker = &mut self.workers[key];
        self.events.push(SchedulerEvent::Restarted {
            worker: worker.info.id.clone(),
            previous_start_unix_ms: worker.incarnation.start_unix_ms.unwrap_or(0),
            start_unix_ms: start_unix_ms.unwrap_or(0),
        });
        worker.restart(start_unix_ms);
        if worker.leases_expired_by_ms > now.local_ms {
            worker.assume_longest_lease(
                limits.max_lease_ms,
                limits.slow_clock_percent,
                now.local_ms,
            );
        }
        self.forget_authorizations(key);
    }

    /// The task with this name on workers, or `None` when no job of the pool has such a task.
    pub(crate) fn task_by_name(&self, name: &str) -> Option<TaskKey> {
        let job = JobId::parse(name.split('.').next()?)?;
        let index = self.jobs.get(&job)?.task_index(name)?;
        Some(TaskKey { job, index })
    }

    /// The resources of the task with this name on workers.
    fn footprint_by_name(&self, name: &str) -> Resources {
        let task = self.task_by_name(name);
        let job = task.and_then(|task| Some((self.jobs.get(&task.job)?, task.index)));
        job.map_or(ANY_FOOTPRINT, |(job, index)| job.step(index).footprint())
    }

    /// The team of the task with this name on workers, and what the task needs; `None` when no job of the pool has it.
    fn needs_by_name(&mut self, name: &str) -> Option<(Option<TeamKey>, Resources)> {
        let task = self.task_by_name(name)?;
        let job = self.jobs.get(&task.job)?;
        Some((self.teams.key(&job.team), job.step(task.index).needs))
    }

    fn apply_end(&mut self, key: WorkerKey, end: EndedAttempt, now: Now) {
        let incarnation = &mut self.workers[key].incarnation;
        incarnation.received_end = incarnation.received_end.max(end.number);
        let Some(task) = self.task_by_name(&end.name) else {
            return;
        };
        self.remove_not_started(task.job);
        // An end that was applied before has no assigned attempt any more.
        if !self.is_assigned(key, task, end.attempt) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.update_checkpoint(task.index, end.checkpoint);
        }
        match end.outcome {
            AttemptOutcome::Done => self.workers[key].incarnation.health.record_success(),
            AttemptOutcome::Failed => self.record_failure(key, task, now),
            AttemptOutcome::Lost => {}
        }
        self.end_attempt(key, task, end.attempt, end.outcome, now);
        if end.outcome == AttemptOutcome::Done {
            self.end_gang(task, now);
        }
    }

    /// Counts a failed attempt towards blocklisting the worker, unless an attempt of the job has failed before: the job
    /// may be the cause then.
    fn record_failure(&mut self, key: WorkerKey, task: TaskKey, now: Now) {
        let job = self.jobs.get(&task.job);
        let has_failed_before =
            job.is_some_and(|job| job.tasks().any(|(_, task)| task.failures > 0));
        let may_blocklist = self.may_blocklist_another(now);
        let worker = &mut self.workers[key];
        if !has_failed_before
            && worker
                .incarnation
                .health
                .record_failure(task.job, may_blocklist, now.local_ms)
        {
            let worker = worker.info.id.clone();
            self.events.push(SchedulerEvent::Blocklisted {
                worker,
                cause: "its attempts fail",
            });
        }
    }

    /// Ends all tasks of a gang as done, after one of them is done.
    fn end_gang(&mut self, task: TaskKey, now: Now) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        if !job.step(task.index).is_gang {
            return;
        }
        let (occurrence, step, _) = job.position(task.index);
        let others = job.step_tasks(occurrence, step);
        for index in others {
            let member = TaskKey {
                job: task.job,
                index,
            };
            let assigned = self.workers.iter().find_map(|(key, worker)| {
                worker
                    .attempts
                    .get(&member)
                    .map(|attempt| (key, attempt.number))
            });
            if let Some((key, attempt)) = assigned {
                self.end_attempt(key, member, attempt, AttemptOutcome::Done, now);
            }
        }
    }

    /// Applies the progress of a running task. An attempt that is not assigned to the worker is stopped; returns `None`
    /// then.
    fn apply_running(
        &mut self,
        key: WorkerKey,
        running: &RunningTask,
        now: Now,
    ) -> Option<TaskKey> {
        let task = self.task_by_name(&running.name);
        let worker = &mut self.workers[key];
        let expected = task.and_then(|task| {
            worker
                .attempts
                .get_mut(&task)
                .map(|attempt| (task, attempt))
        });
        let Some((task, attempt)) =
            expected.filter(|(_, attempt)| attempt.number == running.attempt)
        else {
            self.stop_unassigned(key, running, task);
            return None;
        };
        if attempt.settled_at_ms.is_none() {
            attempt.settled_at_ms = Some(now.local_ms);
        }
        attempt.crash = None;
        attempt.may_have_begun = true;
        attempt.record_running(now.local_ms);
        let had_started = std::mem::replace(&mut attempt.has_started, true);
        if attempt.progress_percent != running.progress_percent {
            attempt.progress_percent = running.progress_percent;
            attempt.progress_since_ms = now.local_ms;
        }
        attempt.load = running.load;
        let stalled_ms = now.local_ms.saturating_sub(attempt.progress_since_ms);
        let was_stopping = attempt.is_stopping;
        let number = attempt.number;
        if !had_started {
            self.remove_not_started(task.job);
        }
        self.note_survival(key, task, now);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return Some(task);
        };
        job.update_checkpoint(task.index, running.checkpoint.clone());
        let may_stall = !job.step(task.index).is_service && !job.step(task.index).is_gang;
        if job.has_ended() && !was_stopping {
            self.issue_stop(key, task, number);
        } else if may_stall && stalled_ms > STALL_TIMEOUT_MS && !was_stopping {
            let may_blocklist = self.may_blocklist_another(now);
            let worker = &mut self.workers[key];
            if worker
                .incarnation
                .health
                .record_stall(task.job, may_blocklist, now.local_ms)
            {
                let worker = worker.info.id.clone();
                self.events.push(SchedulerEvent::Blocklisted {
                    worker,
                    cause: "its tasks make no progress",
                });
            }
            self.issue_stop(key, task, number);
        }
        Some(task)
    }

    fn stop_unassigned(&mut self, key: WorkerKey, running: &RunningTask, task: Option<TaskKey>) {
        let command = WorkerCommand::Stop {
            worker: key,
            name: running.name.clone(),
            task,
            attempt: running.attempt,
        };
        self.immediate_commands.push(command);
    }

    /// Issues a command that stops an attempt.
    pub(crate) fn issue_stop(&mut self, key: WorkerKey, task: TaskKey, number: u32) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let command = WorkerCommand::Stop {
            worker: key,
            name: job.task_name(task.index),
            task: Some(task),
            attempt: number,
        };
        self.immediate_commands.push(command);
        if let Some(attempt) = self.workers[key].attempts.get_mut(&task) {
            attempt.is_stopping = true;
        }
    }

    /// Ends attempts that a report does not list, if their start commands had taken effect, or could not take effect
    /// any more, before the poll was sent.
    fn end_unlisted(
        &mut self,
        key: WorkerKey,
        listed: &[TaskKey],
        request_sent_at_ms: u64,
        now: Now,
    ) {
        let worker = &self.workers[key];
        let unlisted = worker.attempts.iter().filter(|(task, attempt)| {
            attempt
                .settled_at_ms
                .is_some_and(|at_ms| at_ms < request_sent_at_ms)
                && !listed.contains(task)
        });
        let unlisted: Vec<_> = unlisted
            .map(|(task, attempt)| {
                let crash = attempt.crash.filter(|_| attempt.may_have_begun);
                (*task, attempt.number, crash)
            })
            .collect();
        let crashed = unlisted.iter().filter_map(|(_, _, crash)| *crash);
        let source = CrashSource::AnotherStartReports;
        self.count_crashes(key, source, crashed.collect(), now);
        for (task, attempt, _) in unlisted {
            if let Some(job) = self.jobs.get(&task.job) {
                self.events.push(SchedulerEvent::NotListed {
                    worker: self.workers[key].info.id.clone(),
                    task: job.task_name(task.index),
                    attempt,
                });
            }
            self.end_attempt(key, task, attempt, AttemptOutcome::Lost, now);
        }
    }

    /// Whether one more worker may be blocklisted without exceeding the limit for the pool.
    fn may_blocklist_another(&self, now: Now) -> bool {
        let workers = self.workers.values();
        let workers = workers.filter(|worker| worker.is_listed || worker.expired.is_empty());
        let blocklisted = workers
            .clone()
            .filter(|worker| worker.incarnation.health.is_blocklisted(now.local_ms));
        (blocklisted.count() + 1) * 100 <= workers.count() * MAX_BLOCKLISTED_PERCENT
    }
}
