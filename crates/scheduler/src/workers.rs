//! Changes to workers: registry updates, outcomes of commands, lease expiry and the end of incarnations.

use std::collections::BTreeSet;

use submission::{AttemptOutcome, TaskKey};

use crate::scheduler::Scheduler;
use crate::types::{CrashSource, Now, SchedulerEvent, StartOutcome};
use crate::worker::{AssignedAttempt, LeaseRenewalPlan, Worker, WorkerInfo, WorkerKey};

/// How long no task of a refused size is sent to the worker again, unless an attempt ends there.
const SIZE_REFUSAL_MS: u64 = 400;

impl Scheduler {
    /// Replaces the registry entries of the pool's workers. A worker without an entry is given no new tasks, and is
    /// removed once no attempt or lease may be left there and no proof that it crashed is awaited. Entries of incarnations
    /// that have ended are ignored.
    ///
    /// Returns the workers to poll at once: those whose entry has come back, and those that may have restarted, as their
    /// entry shows another start. The registry may lag behind, so that only their next report tells; until then they are
    /// given no new tasks.
    pub fn set_workers(&mut self, infos: Vec<WorkerInfo>, now: Now) -> Vec<WorkerKey> {
        let mut to_poll = Vec::new();
        let leases_expired_by_ms = self.previous_leases_expired_by_ms(now.local_ms);
        let mut unlisted = BTreeSet::new();
        for (key, worker) in &mut self.workers {
            if !std::mem::replace(&mut worker.is_listed, false) {
                unlisted.insert(key);
            }
        }
        let incarnation = |info: &WorkerInfo| (info.id.clone(), info.start_unix_ms);
        let listed: BTreeSet<_> = infos.iter().map(incarnation).collect();
        self.ended_incarnations
            .retain(|ended| listed.contains(ended));
        for info in infos {
            if self.ended_incarnations.contains(&incarnation(&info)) {
                continue;
            }
            if let Some(&key) = self.workers_by_id.get(&info.id) {
                let worker = &mut self.workers[key];
                let shows_another_start = info.start_unix_ms != worker.info.start_unix_ms
                    && info.start_unix_ms != worker.incarnation.start_unix_ms;
                worker.may_have_restarted |= shows_another_start;
                if shows_another_start || unlisted.contains(&key) {
                    to_poll.push(key);
                }
                worker.info = info;
                worker.is_listed = true;
                continue;
            }
            let id = info.id.clone();
            let mut worker = Worker::new(info, leases_expired_by_ms);
            worker.idle_since_ms = now.local_ms;
            worker.drain_until_ms = self.expected_drains.remove(&id).unwrap_or(0);
            let key = self.workers.insert(worker);
            self.workers_by_id.insert(id, key);
        }
        let removable = self.workers.iter().filter(|(_, worker)| {
            !worker.is_listed
                && worker.attempts.is_empty()
                && now.local_ms > worker.leases_expired_by_ms
                && !worker.awaits_proof_of_crash(now.local_ms)
        });
        for key in removable.map(|(key, _)| key).collect::<Vec<_>>() {
            self.remove_worker(key);
        }
        to_poll
    }

    /// When all leases that a previous owner may have granted until the end of its grace period have expired, in ms on
    /// the daemon's clock.
    pub(crate) fn previous_leases_expired_by_ms(&self, now_ms: u64) -> u64 {
        let limits = self.limits;
        now_ms
            + limits.owner_grace_ms
            + limits.lease_ms * 100 / (100 - limits.slow_clock_percent)
            + 1
    }

    fn remove_worker(&mut self, key: WorkerKey) {
        self.set_unassigned(key, Vec::new());
        if let Some(worker) = self.workers.remove(key) {
            self.workers_by_id.remove(&worker.info.id);
        }
    }

    /// Removes a worker after a worker with another id responded at its address. The worker's attempts are lost, and
    /// commands to it have no effect any more. `start_unix_ms` is the start in the registry entry from which the address was
    /// taken.
    ///
    /// Returns false and keeps the worker when it has been removed or is known with another start by now, or while start commands
    /// are on their way: their outcomes show which attempts have begun on the worker. A later call removes it then.
    pub fn worker_replaced(
        &mut self,
        key: WorkerKey,
        start_unix_ms: Option<u64>,
        now: Now,
    ) -> bool {
        let worker = self.workers.get(key);
        if !worker.is_some_and(|worker| worker.may_have_start(start_unix_ms)) {
            return false;
        }
        let worker = &mut self.workers[key];
        let mut attempts = worker.attempts.values();
        if attempts.any(|attempt| attempt.is_start_in_flight) {
            worker.is_unresponsive = true;
            return false;
        }
        self.record_crash(key, CrashSource::AnotherIdResponds, now, |_| true);
        self.lose_attempts(key, now, |_| true);
        self.end_incarnation(key);
        true
    }

    /// Ends the incarnation of a worker that started at `start_unix_ms`, after its VM was stopped or has left. The attempts
    /// are lost, except those whose start commands are on their way: these may reach the next incarnation of the worker.
    /// They stay until the commands have timed out; a later call ends them.
    ///
    /// Ends nothing when the worker is known with another start by now, or when it responds although it has attempts.
    ///
    /// The incarnation does not count as crashed, whatever shows its end, unless a later poll of it gets a report.
    pub fn incarnation_ended(&mut self, key: WorkerKey, start_unix_ms: Option<u64>, now: Now) {
        let worker = self.workers.get_mut(key);
        if let Some(worker) = worker.filter(|worker| worker.may_have_start(start_unix_ms)) {
            worker.incarnation.ended_without_crash_at_ms = Some(now.local_ms);
            self.end_unreachable(key, start_unix_ms, now);
        }
    }

    /// Like [`Self::incarnation_ended`], for an incarnation that is known to have crashed.
    pub fn incarnation_crashed(&mut self, key: WorkerKey, start_unix_ms: Option<u64>, now: Now) {
        self.end_unreachable(key, start_unix_ms, now);
    }

    /// Ends the incarnation of a worker that a leader reported as ended, and counts the crash unless the end was planned.
    fn end_unreachable(&mut self, key: WorkerKey, start_unix_ms: Option<u64>, now: Now) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let is_unreachable = worker.is_unresponsive || worker.info.addr.is_empty();
        if !worker.may_have_start(start_unix_ms) || !(is_unreachable || worker.attempts.is_empty())
        {
            return;
        }
        self.record_crash(key, CrashSource::ReportedByLeader, now, |attempt| {
            !attempt.is_start_in_flight
        });
        self.lose_attempts(key, now, |attempt| !attempt.is_start_in_flight);
        if self.workers[key].attempts.is_empty() {
            self.end_incarnation(key);
        }
    }

    fn end_incarnation(&mut self, key: WorkerKey) {
        let worker = &self.workers[key];
        if worker.is_listed {
            let incarnation = (worker.info.id.clone(), worker.info.start_unix_ms);
            self.ended_incarnations.insert(incarnation);
        }
        self.remove_worker(key);
    }

    fn lose_attempts(
        &mut self,
        key: WorkerKey,
        now: Now,
        is_lost: impl Fn(&AssignedAttempt) -> bool,
    ) {
        let attempts = self.workers[key].attempts.iter();
        let lost = attempts.filter(|(_, attempt)| is_lost(attempt));
        let lost: Vec<_> = lost
            .map(|(task, attempt)| (*task, attempt.number))
            .collect();
        for (task, attempt) in lost {
            self.end_attempt(key, task, attempt, AttemptOutcome::Lost, now);
        }
    }

    /// Returns the keys of all workers, including workers that the registry does not list and to which attempts are
    /// still assigned or may still have leases, or that may turn out to have crashed.
    #[must_use]
    pub fn worker_keys(&self) -> Vec<WorkerKey> {
        self.workers.keys().collect()
    }

    /// Returns the registry entry of a worker, or `None` when the worker has been removed.
    #[must_use]
    pub fn worker(&self, key: WorkerKey) -> Option<&WorkerInfo> {
        self.workers.get(key).map(|worker| &worker.info)
    }

    /// Returns the time since the last response of a worker, in ms; `None` when there was none, or the worker has been removed.
    #[must_use]
    pub fn response_age_ms(&self, key: WorkerKey, now: Now) -> Option<u64> {
        self.workers
            .get(key)?
            .incarnation
            .response_age_ms(now.local_ms)
    }

    /// Returns the key of the worker with this id, or `None` when there is no such worker.
    #[must_use]
    pub fn worker_key(&self, id: &str) -> Option<WorkerKey> {
        self.workers_by_id.get(id).copied()
    }

    /// Returns whether any reported end of a worker is not recorded yet; false for a removed worker.
    #[must_use]
    pub fn has_unrecorded_ends(&self, key: WorkerKey) -> bool {
        self.workers
            .get(key)
            .is_some_and(|worker| worker.incarnation.has_unrecorded_ends())
    }

    /// Returns the next lease renewal of a worker and grants the lease in it. Returns `None` when the worker needs no
    /// renewal now, has no known address or has been removed.
    pub fn lease_renewal_plan(&mut self, key: WorkerKey, now: Now) -> Option<LeaseRenewalPlan> {
        let limits = self.limits;
        let worker = self.workers.get_mut(key)?;
        if worker.info.addr.is_empty() || (!worker.is_listed && worker.attempts.is_empty()) {
            return None;
        }
        if worker.incarnation.has_accepted_term
            && worker.attempts.is_empty()
            && !worker.incarnation.has_unacknowledged_ends()
            && !worker.incarnation.has_unassigned_attempts()
            && !worker.is_unresponsive
            && !worker.may_have_restarted
        {
            return None;
        }
        // An unresponsive worker is only polled: renewals that may or may not arrive would postpone the expiry of the
        // worker's leases indefinitely. The clock of a worker that may have restarted is unknown.
        let is_only_polled =
            worker.attempts.is_empty() || worker.is_unresponsive || worker.may_have_restarted;
        let lease_until_ms = if is_only_polled {
            None
        } else {
            worker.grant_lease(limits.lease_ms, limits.slow_clock_percent, now.local_ms)
        };
        let has_unassigned_attempts = worker.incarnation.has_unassigned_attempts();
        Some(LeaseRenewalPlan {
            lease_until_ms,
            recorded_end: worker.incarnation.end_to_acknowledge(now.local_ms),
            is_busy: worker.incarnation.has_accepted_term
                && (lease_until_ms.is_some() || has_unassigned_attempts),
            is_polled_often: has_unassigned_attempts
                || worker.may_run_earlier_stops(limits.stop_ms)
                || worker
                    .attempts
                    .values()
                    .any(|attempt| !attempt.is_service || attempt.footprint.cpu_milli == 0),
        })
    }

    /// Returns whether a worker has to be polled before the start command of a task is sent to it now, because no response has shown
    /// lately that its process is alive; false when the task is not assigned to the worker.
    ///
    /// A process that ended before the command is sent can't have been ended by the task, but breaks the connection all the same.
    #[must_use]
    pub fn must_poll_before_start(&self, key: WorkerKey, task: TaskKey, now: Now) -> bool {
        let worker = self.workers.get(key);
        let attempt = worker.and_then(|worker| Some((worker, worker.attempts.get(&task)?)));
        attempt.is_some_and(|(worker, attempt)| {
            let is_suspect = attempt.crashes > 0;
            let incarnation = &worker.incarnation;
            !incarnation.is_alive_for_start(is_suspect, now.local_ms)
        })
    }

    /// Grants the lease that the start command of a task carries, which is to be sent now, and returns its end in ms on the
    /// worker's clock. Returns `None` when the worker has been removed or no reading of its clock is known.
    pub fn grant_start_lease(&mut self, key: WorkerKey, task: TaskKey, now: Now) -> Option<u64> {
        let limits = self.limits;
        let worker = self.workers.get_mut(key)?;
        let earliest_ms = worker.earliest_clock_ms(limits.slow_clock_percent, now.local_ms);
        if let Some(attempt) = worker.attempts.get_mut(&task) {
            attempt.is_start_in_flight = true;
            attempt.start_sent_at_ms.get_or_insert(now.local_ms);
            attempt.earliest_response_ms = earliest_ms;
        }
        worker.grant_lease(limits.lease_ms, limits.slow_clock_percent, now.local_ms)
    }

    /// Applies the outcome of a start command. `number` is the number of the attempt, and `clock_ms` the worker's clock
    /// in ms, if a response carried it. The outcome is ignored when the attempt is not assigned to the worker any more.
    pub fn apply_start_outcome(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        number: u32,
        outcome: StartOutcome,
        clock_ms: Option<u64>,
        now: Now,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.is_unresponsive &= clock_ms.is_none();
        if clock_ms.is_some() {
            worker.incarnation.record_response(now.local_ms);
        }
        let limits = self.limits;
        let attempt = worker.attempts.get(&task);
        if let Some(attempt) = attempt.filter(|attempt| attempt.number == number) {
            let is_of_next_incarnation =
                clock_ms.is_some_and(|clock_ms| clock_ms < attempt.earliest_response_ms);
            let is_delivered = outcome != StartOutcome::NotDelivered;
            let is_of_another =
                is_delivered && attempt.assigned_at_ms < worker.incarnation.reports_since_ms;
            if is_of_next_incarnation || is_of_another {
                // The lease may have been computed with the clock of an earlier incarnation, which may have responded.
                worker.assume_longest_lease(
                    limits.max_lease_ms,
                    limits.slow_clock_percent,
                    now.local_ms,
                );
            } else if let Some(clock_ms) = clock_ms {
                worker.record_clock(clock_ms, now.local_ms);
            }
        }
        let Some(attempt) = worker
            .attempts
            .get_mut(&task)
            .filter(|attempt| attempt.number == number)
        else {
            return;
        };
        attempt.is_start_in_flight = false;
        match outcome {
            StartOutcome::Started => {
                attempt.settled_at_ms = Some(now.local_ms);
                attempt.has_started = true;
                attempt.may_have_begun = true;
                attempt.record_running(now.local_ms);
                self.remove_not_started(task.job);
            }
            StartOutcome::OutcomeUnknown => {
                attempt.unanswered_at_ms = Some(now.local_ms);
                attempt.may_have_begun = true;
                worker.is_unresponsive = true;
            }
            StartOutcome::NoResponse => {
                attempt.unanswered_at_ms = Some(now.local_ms);
                let sent_at_ms = attempt.start_sent_at_ms.unwrap_or(now.local_ms);
                attempt.may_have_begun |= worker.incarnation.was_alive_at(sent_at_ms);
                worker.is_unresponsive = true;
            }
            StartOutcome::NotDelivered => {
                worker.is_unresponsive = true;
                // Polls may get responses nevertheless, on a connection that the worker has accepted before.
                worker.incarnation.health.record_refusal(now.local_ms);
                self.end_attempt(key, task, number, AttemptOutcome::Lost, now);
            }
            StartOutcome::NoFreeCapacity => {
                let refused = Some((attempt.footprint, now.local_ms + SIZE_REFUSAL_MS));
                self.end_attempt(key, task, number, AttemptOutcome::Lost, now);
                if let Some(worker) = self.workers.get_mut(key) {
                    worker.incarnation.refused_size = refused;
                }
            }
            StartOutcome::Unhealthy => {
                worker.incarnation.health.record_refusal(now.local_ms);
                self.end_attempt(key, task, number, AttemptOutcome::Lost, now);
            }
            StartOutcome::NotAuthorized => {
                self.authorization_rejected(task, key);
                self.end_attempt(key, task, number, AttemptOutcome::Lost, now);
            }
            StartOutcome::Refused => {
                // The cause of the rejection is expected to last for a while.
                worker.incarnation.health.record_refusal(now.local_ms);
                self.end_attempt(key, task, number, AttemptOutcome::Lost, now);
            }
        }
    }

    /// Records that a worker accepted a stop command: the attempt ends, or can't start any more. The next report shows
    /// which. Ignored when the attempt is not assigned to the worker any more.
    pub fn stop_accepted(&mut self, key: WorkerKey, task: TaskKey, number: u32, now: Now) {
        let worker = self.workers.get_mut(key);
        let attempt = worker.and_then(|worker| worker.attempts.get_mut(&task));
        if let Some(attempt) =
            attempt.filter(|attempt| attempt.number == number && attempt.settled_at_ms.is_none())
        {
            attempt.settled_at_ms = Some(now.local_ms);
        }
    }

    /// Returns whether the last command to a worker, or the last poll, got a response; false for a removed worker.
    #[must_use]
    pub fn is_responsive(&self, key: WorkerKey) -> bool {
        let worker = self.workers.get(key);
        worker.is_some_and(|worker| !worker.is_unresponsive)
    }

    /// Marks a worker as unresponsive, after a lease renewal or a command that got no response. Returns whether the
    /// worker was responsive before; false for a removed worker.
    pub fn mark_unresponsive(&mut self, key: WorkerKey) -> bool {
        let worker = self.workers.get_mut(key);
        worker.is_some_and(|worker| !std::mem::replace(&mut worker.is_unresponsive, true))
    }

    pub(crate) fn expire_leases(&mut self, key: WorkerKey, now: Now) {
        let worker = &self.workers[key];
        if !worker.attempts.is_empty() {
            self.events.push(SchedulerEvent::LeasesExpired {
                worker: worker.info.id.clone(),
                attempts: worker.attempts.len(),
            });
        }
        self.expect_crash(key, now);
        self.lose_attempts(key, now, |_| true);
        self.set_unassigned(key, Vec::new());
        let worker = &self.workers[key];
        if !worker.is_listed && !worker.awaits_proof_of_crash(now.local_ms) {
            self.remove_worker(key);
        }
    }

    /// Returns whether this attempt of the task is assigned to the worker.
    #[must_use]
    pub fn is_assigned(&self, key: WorkerKey, task: TaskKey, number: u32) -> bool {
        let attempt = self
            .workers
            .get(key)
            .and_then(|worker| worker.attempts.get(&task));
        attempt.is_some_and(|attempt| attempt.number == number)
    }

    /// Returns whether this attempt is assigned to the worker and may still be started: the job has not ended, the task is not
    /// held, and the registry lists the worker as the process that reported last, not as shutting down, and with the label that the step
    /// requires.
    #[must_use]
    pub fn may_start(&self, key: WorkerKey, task: TaskKey, number: u32) -> bool {
        let job = self.jobs.get(&task.job);
        let Some(job) = job.filter(|job| !job.has_ended() && !job.is_held(task.index)) else {
            return false;
        };
        let has_place = self.workers.get(key).is_some_and(|worker| {
            worker.is_entry_current()
                && !worker.info.is_shutting_down
                && worker.has_label(&job.step(task.index).required_label)
        });
        has_place && self.is_assigned(key, task, number)
    }

    /// Returns whether the worker's capacity suffices for its assigned attempts. Checked right before each start command,
    /// as the capacity may have shrunk since the start was planned and workers may accept starts beyond it. False for a
    /// removed worker.
    #[must_use]
    pub fn fits_capacity(&self, key: WorkerKey) -> bool {
        self.workers.get(key).is_some_and(Worker::fits_capacity)
    }
}
