//! Workers that crash under tasks.
//!
//! A task may crash each worker that starts it. Each crash counts for all tasks that may have run on the worker, as the
//! scheduler can't tell which of them was the cause. Such tasks are suspects: they are placed apart from each other where
//! there is room, so that a next crash shows the cause, and are isolated after a second crash.
//!
//! The worker may be the cause too. Suspects are placed on workers that have not crashed lately where there is room, and
//! isolated tasks wait for such a worker.
//!
//! A loss of power or of a rack ends workers whatever runs there. A task that had run for a while is the least likely cause,
//! and a crash of a worker where no other task can be the cause shows that crashes close to it may have another one. Such
//! crashes count for less.

use submission::{CrashEvidence, CrashVerdict, Job, StepSpec, TaskKey, TaskPhase};

use crate::draining::AVAILABLE_PROGRESS_PERCENT;
use crate::scheduler::{Scheduler, step_key};
use crate::types::{CountedCrash, CrashSource, CrashedTask, Now, SchedulerEvent};
use crate::worker::{AssignedAttempt, Worker, WorkerKey};

/// The number of crashes from which a task is isolated: its worker is given no other task meanwhile.
pub(crate) const ISOLATED_FROM_CRASHES: u32 = 2;

/// The largest part of a pool's workers on which tasks are isolated at a time, in percent. Each of them may crash, but most
/// isolated tasks are innocent and must not wait for long.
const MAX_ISOLATING_PERCENT: usize = 50;

/// The duration in ms after which a service task that still runs is not the cause of a crash.
const SERVICE_SURVIVED_MS: u64 = 5000;

/// The duration in ms after which a task that still runs is a less likely cause of a crash. Deadly tasks crash their
/// workers within milliseconds of their start, and a worker with batch tasks is polled a few times in a second.
const SURVIVED_MS: u64 = 200;

/// The smallest duration of a batch task, in percent of its estimate. Estimates are off by nine tenths at most.
const LEAST_DURATION_PERCENT: u64 = 10;

/// How long in ms after a crash that no task can have caused the next crashes may have the same cause. Crashes at the same
/// time are noticed up to two seconds apart.
const COMMON_CAUSE_MS: u64 = 2000;

/// How long a worker that crashed counts as unstable, in ms.
const UNSTABLE_MS: u64 = 10_000;

/// How long after the end of its drain lease the end of a worker counts as planned, in ms, except for tasks that were assigned
/// after the lease. A command to a VM may take effect seconds later.
const PLANNED_END_MS: u64 = 5000;

/// For how long after the leases on a silent worker have expired proof of its crash counts for the tasks there, in ms. A worker
/// that crashed had done so before: it is back within seconds of its crash, and a leader finds it in each round, every 0.3 s,
/// a next leader a few seconds after the last. Later, the worker has rather been cut off, and has crashed since.
const AWAIT_PROOF_MS: u64 = 8000;

/// A task that may have caused a crash, and what is known of its attempt on the worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Suspect {
    pub(crate) task: TaskKey,
    pub(crate) evidence: CrashEvidence,
    /// Whether a response showed that the attempt had started on the worker.
    pub(crate) is_start_confirmed: bool,
    /// How long the attempt is known to have run, in ms.
    pub(crate) ran_for_ms: u64,
}

/// How long a batch task of a step has run at least for each percent of its progress, in microseconds; 0 when that is unknown,
/// as attempts with checkpoints may begin with progress.
pub(crate) fn least_us_per_percent(step: &StepSpec) -> u64 {
    if step.is_service || step.has_checkpoints {
        return 0;
    }
    let estimated_ms = step.estimated_duration_ms;
    estimated_ms.saturating_mul(1000 * LEAST_DURATION_PERCENT / 100) / 100
}

/// A task whose lease expired on a silent worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ExpiredSuspect {
    suspect: Suspect,
    /// When the lease had expired, in ms on the daemon's clock.
    at_ms: u64,
}

impl ExpiredSuspect {
    fn awaits_proof(&self, now_ms: u64) -> bool {
        now_ms <= self.at_ms + AWAIT_PROOF_MS
    }
}

impl AssignedAttempt {
    /// Records that a response that arrived at `now_ms` on the daemon's clock shows the attempt running. The time until the first
    /// such response is not counted, as the attempt may have begun any time before. A response may be late, but the next poll
    /// of a worker with service tasks is answered seconds later, which is too late for the evidence.
    pub(crate) fn record_running(&mut self, now_ms: u64) {
        self.record_ran_for(0, now_ms);
    }

    /// Like [`Self::record_running`], when the attempt is known to have run for at least `least_ms`.
    fn record_ran_for(&mut self, least_ms: u64, now_ms: u64) {
        let known_since_ms = self.running_since_ms.unwrap_or(now_ms);
        let since_ms = known_since_ms.min(now_ms.saturating_sub(least_ms));
        self.running_since_ms = Some(since_ms);
        self.ran_for_ms = now_ms.saturating_sub(since_ms);
    }

    /// How long the attempt has run at least, as its progress shows, in ms. A service task is at work some hundred ms after its
    /// start.
    fn least_run_ms(&self) -> u64 {
        let percent = u64::from(self.progress_percent);
        if self.is_service && self.progress_percent >= AVAILABLE_PROGRESS_PERCENT {
            SURVIVED_MS
        } else {
            percent.min(100).saturating_mul(self.least_us_per_percent) / 1000
        }
    }

    /// Whether the attempt has run for so long that the task is unlikely to crash workers.
    fn has_survived(&self) -> bool {
        self.ran_for_ms >= SURVIVED_MS
    }

    /// Whether the attempt is of a service task that has run for so long that the task does not crash workers. Batch tasks
    /// always may, so that the number of their crashes is bounded.
    pub(crate) fn is_cleared(&self) -> bool {
        self.is_service && self.ran_for_ms >= SERVICE_SURVIVED_MS
    }

    /// Whether the attempt may have crashed the worker, if it turns out to have begun there.
    fn may_have_crashed_worker(&self, has_common_cause: bool) -> bool {
        let is_unlikely = self.is_cleared() || (has_common_cause && self.has_survived());
        (self.may_have_begun || self.is_start_in_flight) && !is_unlikely
    }

    /// Whether the attempt may have begun on the worker lately. Most service tasks that an owner adopts have run for long.
    fn may_have_begun_lately(&self) -> bool {
        let is_adopted_batch = self.is_adopted && !self.is_service;
        let may_have_begun = self.may_have_begun || self.is_start_in_flight || is_adopted_batch;
        may_have_begun && !self.has_survived()
    }
}

impl Worker {
    /// Whether the worker is about to end by itself or through a command to its VM, or has ended so.
    fn has_planned_end(&self, now_ms: u64) -> bool {
        self.is_ending() || self.was_drained(now_ms)
    }

    fn is_ending(&self) -> bool {
        self.info.is_shutting_down || self.incarnation.ended_without_crash_at_ms.is_some()
    }

    fn was_drained(&self, now_ms: u64) -> bool {
        self.drain_until_ms > 0
            && now_ms < self.drain_until_ms + PLANNED_END_MS
            && !self.was_silent_before_drain
    }

    /// The tasks that may have caused a crash of the worker, if they have begun, with the evidence that each was the cause. Empty
    /// when the end of the worker is planned. `has_common_cause` tells that others crash at the time whatever runs there.
    fn suspects(&self, has_common_cause: bool, now_ms: u64) -> Vec<Suspect> {
        let was_drained = self.was_drained(now_ms);
        if self.is_ending() || (was_drained && now_ms < self.drain_until_ms) {
            return Vec::new();
        }
        let is_doubtful = has_common_cause || was_drained || self.is_unstable(now_ms);
        let evidence = |attempt: &AssignedAttempt| {
            if attempt.has_survived() {
                CrashEvidence::Late
            } else if is_doubtful || self.likely_causes(attempt.crashes) > 1 {
                CrashEvidence::Doubtful
            } else {
                CrashEvidence::Conclusive
            }
        };
        let attempts = self.attempts.iter();
        let attempts = attempts
            .filter(|(_, attempt)| !was_drained || attempt.assigned_at_ms >= self.drain_until_ms);
        let suspects =
            attempts.filter(|(_, attempt)| attempt.may_have_crashed_worker(has_common_cause));
        let suspect = |(task, attempt): (&TaskKey, &AssignedAttempt)| Suspect {
            task: *task,
            evidence: evidence(attempt),
            is_start_confirmed: attempt.has_started,
            ran_for_ms: attempt.ran_for_ms,
        };
        suspects.map(suspect).collect()
    }

    /// The number of attempts on the worker that have not run for long enough to be unlikely causes of a crash, of tasks under
    /// which at least `min_crashes` workers had crashed before.
    fn likely_causes(&self, min_crashes: u32) -> usize {
        let attempts = self.attempts.values();
        let likely = attempts.filter(|attempt| attempt.may_have_begun_lately());
        likely
            .filter(|attempt| attempt.crashes >= min_crashes)
            .count()
    }

    /// Whether the worker has crashed lately.
    pub(crate) fn is_unstable(&self, now_ms: u64) -> bool {
        self.crashed_at_ms > 0 && now_ms.saturating_sub(self.crashed_at_ms) < UNSTABLE_MS
    }

    /// Whether proof may still come that the worker crashed under the tasks whose leases expired there. Silence is none: a
    /// worker that is cut off from its owner and from the store leaves the registry too, and ends its attempts itself.
    pub(crate) fn awaits_proof_of_crash(&self, now_ms: u64) -> bool {
        let mut expired = self.expired.iter();
        expired.any(|expired| expired.awaits_proof(now_ms))
    }

    /// Whether a task may be placed on the worker beside the tasks there.
    pub(crate) fn may_join(&self) -> bool {
        self.isolated_attempts == 0
    }
}

impl Scheduler {
    /// Remembers the crash of a worker if no task there is a likely cause.
    fn note_unexplained_crash(&mut self, key: WorkerKey, now: Now) {
        let worker = &mut self.workers[key];
        worker.is_end_explained |=
            worker.likely_causes(0) > 0 || worker.awaits_proof_of_crash(now.local_ms);
        if !worker.is_end_explained && !worker.has_planned_end(now.local_ms) {
            let crashes = &mut self.unexplained_crashes;
            crashes.retain(|(_, at_ms)| now.local_ms.saturating_sub(*at_ms) < COMMON_CAUSE_MS);
            crashes.push((key, now.local_ms));
        }
    }

    /// The tasks that may have caused a crash of a worker now, if they have begun.
    fn suspects(&self, key: WorkerKey, now: Now) -> Vec<Suspect> {
        let worker = &self.workers[key];
        let has_common_cause = self.unexplained_crashes.iter().any(|(other, at_ms)| {
            *other != key && now.local_ms.saturating_sub(*at_ms) < COMMON_CAUSE_MS
        });
        worker.suspects(has_common_cause, now.local_ms)
    }

    /// Counts the crash of a worker for the selected attempts that may have begun there, and for the tasks whose leases
    /// expired there.
    pub(crate) fn record_crash(
        &mut self,
        key: WorkerKey,
        source: CrashSource,
        now: Now,
        is_selected: impl Fn(&AssignedAttempt) -> bool,
    ) {
        self.note_unexplained_crash(key, now);
        let mut suspects = self.suspects(key, now);
        self.record_expired_crashes(key, source, now);
        let attempts = &self.workers[key].attempts;
        suspects.retain(|suspect| {
            let attempt = attempts.get(&suspect.task);
            attempt.is_some_and(|attempt| attempt.may_have_begun && is_selected(attempt))
        });
        self.count_crashes(key, source, suspects, now);
    }

    /// Counts a crash for the tasks whose leases expired while the worker was silent.
    pub(crate) fn record_expired_crashes(&mut self, key: WorkerKey, source: CrashSource, now: Now) {
        let worker = &mut self.workers[key];
        let expired = std::mem::take(&mut worker.expired);
        if !worker.has_planned_end(now.local_ms) {
            let expired = expired.into_iter();
            let expired = expired.filter(|expired| expired.awaits_proof(now.local_ms));
            let suspects = expired.map(|expired| expired.suspect);
            let suspects = suspects.filter(|suspect| !self.runs_elsewhere(suspect.task));
            let suspects = suspects.collect();
            self.count_crashes(key, source, suspects, now);
        }
    }

    /// Whether the last attempt of a task has run for so long that the task is unlikely to crash workers.
    fn runs_elsewhere(&self, task: TaskKey) -> bool {
        let job = self.jobs.get(&task.job);
        let Some(TaskPhase::Assigned { worker }) = job
            .and_then(|job| job.task(task.index))
            .map(|task| &task.phase)
        else {
            return false;
        };
        let worker = self.workers_by_id.get(worker);
        let attempt = worker.and_then(|key| self.workers[*key].attempts.get(&task));
        attempt.is_some_and(AssignedAttempt::has_survived)
    }

    /// Remembers the tasks whose leases expire, for the case that the silent worker turns out to have crashed.
    pub(crate) fn expect_crash(&mut self, key: WorkerKey, now: Now) {
        let suspects = self.suspects(key, now);
        let worker = &mut self.workers[key];
        let attempts = &worker.attempts;
        let begun = suspects
            .into_iter()
            .filter(|suspect| attempts[&suspect.task].may_have_begun);
        let at_ms = now.local_ms;
        let expired = begun.map(|suspect| ExpiredSuspect { suspect, at_ms });
        worker.expired.extend(expired);
    }

    /// Notes how long a running attempt has run at least, which its progress and the row of its job show, and forgets the crashes
    /// under a service task that has run for long.
    pub(crate) fn note_survival(&mut self, key: WorkerKey, task: TaskKey, now: Now) {
        let worker = &mut self.workers[key];
        let attempt = worker.attempts.get_mut(&task);
        let Some((attempt, job)) = attempt.zip(self.jobs.get_mut(&task.job)) else {
            return;
        };
        let is_newly_recorded = job.record_running(task.index, now.store_ms);
        let recorded = job.task(task.index).map(|task| task.running_since_ms);
        let recorded_ms = recorded
            .filter(|since_ms| *since_ms > 0)
            .map_or(0, |since_ms| now.store_ms.saturating_sub(since_ms));
        let least_ms = attempt.least_run_ms().max(recorded_ms);
        attempt.record_ran_for(least_ms, now.local_ms);
        let is_forgotten = attempt.is_cleared() && job.forget_crashes(task.index);
        if is_forgotten {
            worker.clear_suspect(task);
            self.counted_crashes.remove(&task);
        }
        if is_forgotten || is_newly_recorded {
            self.dirty_jobs.insert(task.job);
        }
    }

    /// Marks the attempts that may have run on the previous incarnation of a worker. Those that the next one does not list
    /// were there when it crashed, unless their start commands turn out not to have been delivered.
    pub(crate) fn mark_crashed(&mut self, key: WorkerKey, now: Now) {
        self.note_unexplained_crash(key, now);
        let suspects = self.suspects(key, now);
        let worker = &mut self.workers[key];
        for suspect in suspects {
            if let Some(attempt) = worker.attempts.get_mut(&suspect.task) {
                attempt.crash = Some(suspect);
            }
        }
        for task in worker.attempts.keys() {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.forget_running(task.index);
            }
        }
        if !worker.has_planned_end(now.local_ms) {
            worker.crashed_at_ms = now.local_ms.max(1);
        }
    }

    /// Counts a crash of a worker for tasks, and gives up or holds those under which too many workers crashed.
    pub(crate) fn count_crashes(
        &mut self,
        key: WorkerKey,
        source: CrashSource,
        crashed: Vec<Suspect>,
        now: Now,
    ) {
        if !crashed.is_empty() {
            self.workers[key].crashed_at_ms = now.local_ms.max(1);
        }
        let mut counts = Vec::new();
        let mut given_up = Vec::new();
        for suspect in crashed {
            let task = suspect.task;
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            let count_of = |job: &Job| job.task(task.index).map_or(0, |task| task.crashes);
            let previous = count_of(job);
            let verdict = job.record_crash(task.index, suspect.evidence, now.store_ms);
            // The crashes of a held task are raised.
            let count = count_of(job).min(previous + 1);
            let name = job.task_name(task.index);
            counts.push(CrashedTask {
                task: name.clone(),
                crashes: count,
                evidence: suspect.evidence,
                is_start_confirmed: suspect.is_start_confirmed,
                ran_for_ms: suspect.ran_for_ms,
            });
            self.dirty_jobs.insert(task.job);
            let counted = CountedCrash {
                worker: self.workers[key].info.id.clone(),
                source,
                evidence: suspect.evidence,
                is_start_confirmed: suspect.is_start_confirmed,
                ran_for_ms: suspect.ran_for_ms,
                age_ms: 0,
            };
            let counted_crashes = self.counted_crashes.entry(task).or_default();
            counted_crashes.push((now.local_ms, counted));
            match verdict {
                CrashVerdict::GoesOn => {
                    let (occurrence, step, _) = job.position(task.index);
                    self.update_class(step_key(task.job, occurrence, step));
                }
                CrashVerdict::GivenUp => {
                    given_up.push(SchedulerEvent::GivenUp {
                        task: name,
                        crashes: count,
                        counts: self.take_counted_crashes(task, now),
                    });
                    self.finish_job(task.job);
                }
                CrashVerdict::Held => {
                    let (occurrence, step, _) = job.position(task.index);
                    given_up.push(SchedulerEvent::Held {
                        task: name,
                        crashes: count,
                        counts: self.take_counted_crashes(task, now),
                    });
                    self.remove_not_started(task.job);
                    self.update_ready(step_key(task.job, occurrence, step), now);
                }
            }
        }
        if !counts.is_empty() {
            let worker = self.workers[key].info.id.clone();
            let crashed = SchedulerEvent::Crashed {
                worker,
                source,
                tasks: counts,
            };
            self.events.push(crashed);
            self.events.extend(given_up);
        }
    }

    /// The crashes on which a verdict on a task rests, as far as this owner has counted them.
    fn take_counted_crashes(&mut self, task: TaskKey, now: Now) -> Vec<CountedCrash> {
        let counted = self.counted_crashes.remove(&task).unwrap_or_default();
        let with_age = |(at_ms, crash): (u64, CountedCrash)| CountedCrash {
            age_ms: now.local_ms.saturating_sub(at_ms),
            ..crash
        };
        counted.into_iter().map(with_age).collect()
    }

    /// Whether a task under which `crashes` workers crashed has to wait for a worker that has not crashed lately: it has to be
    /// isolated, and there is such a worker that can run tasks of the step. A service task waits only for a worker that has room
    /// for it beside its service tasks, which don't end.
    pub(crate) fn needs_stable_worker(&self, crashes: u32, step: &StepSpec, now: Now) -> bool {
        let mut workers = self.workers.values();
        let has_room = |worker: &Worker| {
            if step.is_service {
                worker.may_join() && step.footprint().fits(worker.capacity_beside_services())
            } else {
                step.footprint().fits(worker.info.capacity)
            }
        };
        crashes >= ISOLATED_FROM_CRASHES
            && workers.any(|worker| {
                worker.is_usable(now.local_ms)
                    && !worker.is_unstable(now.local_ms)
                    && worker.has_label(&step.required_label)
                    && has_room(worker)
            })
    }

    /// Whether one more worker may be given a task that has to be isolated, if `crashes` are so many.
    pub(crate) fn may_isolate_another(&self, crashes: u32) -> bool {
        if crashes < ISOLATED_FROM_CRASHES {
            return true;
        }
        let workers = self.workers.values().filter(|worker| worker.is_listed);
        let max_isolating = (workers.count() * MAX_ISOLATING_PERCENT / 100).max(2);
        let isolating = self.workers.values();
        let isolating = isolating.filter(|worker| worker.isolated_attempts > 0);
        isolating.count() < max_isolating
    }
}
