//! Workers, the attempts that are assigned to them, and their leases.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use submission::{Resources, StepSpec, TaskKey};

use crate::crashes::{ExpiredSuspect, ISOLATED_FROM_CRASHES, Suspect, least_us_per_percent};
use crate::incarnation::{ClockSample, Incarnation};
use crate::rooms::Room;
use crate::teams::TeamKey;

slotmap::new_key_type! {
    /// The key of a worker in a scheduler.
    pub struct WorkerKey;
}

/// A worker's entry in the registry. An incarnation of a worker is identified by its id and its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerInfo {
    /// The id of the worker. The next incarnation may have the same id.
    pub id: SmolStr,
    /// The start of the incarnation in ms since 1970 on the worker's clock; `None` when it is unknown.
    pub start_unix_ms: Option<u64>,
    /// The network address to which commands are sent; empty when the address is unknown.
    pub addr: SmolStr,
    /// The labels of the worker; the last label is the rack.
    pub labels: Vec<SmolStr>,
    /// The resources that the worker offers to tasks.
    pub capacity: Resources,
    /// Whether the worker is about to end by itself.
    pub is_shutting_down: bool,
}

impl WorkerInfo {
    /// Returns the rack, which is the last label; empty when there are no labels.
    #[must_use]
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", SmolStr::as_str)
    }
}

/// Why no new task is assigned to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnavailableReason {
    /// The last command or lease renewal got no response.
    Unresponsive,
    /// The worker is about to end by itself.
    ShuttingDown,
    /// The worker is being drained for a move or for maintenance.
    Draining,
    /// The worker is blocklisted, because its attempts fail or stall, or because the worker refused commands.
    Blocklisted,
}

/// An attempt that is assigned to a worker.
#[derive(Debug, Clone)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
pub(crate) struct AssignedAttempt {
    pub(crate) number: u32,
    /// When a response showed that the start command has taken effect or can't take effect any more; `None` before.
    /// Only the report of a poll that was sent later can show that the attempt does not run.
    pub(crate) settled_at_ms: Option<u64>,
    /// Whether a start command was sent that has neither got a response nor timed out.
    pub(crate) is_start_in_flight: bool,
    /// When the start command was first sent, in ms on the daemon's clock; `None` before.
    pub(crate) start_sent_at_ms: Option<u64>,
    /// When the start command was given up without a response, in ms on the daemon's clock; `None` before and otherwise.
    pub(crate) unanswered_at_ms: Option<u64>,
    /// The earliest time on the worker's clock at which the incarnation for which the start command's lease was computed can
    /// respond to the command, in ms.
    pub(crate) earliest_response_ms: u64,
    /// Whether a response or a report showed the attempt on the worker, or a start command may have been delivered there. Not
    /// known while the command is in flight.
    pub(crate) may_have_begun: bool,
    /// Whether a previous owner assigned the attempt.
    pub(crate) is_adopted: bool,
    /// The crash of the incarnation on which the attempt may have run. The attempt may run on the next one nevertheless.
    pub(crate) crash: Option<Suspect>,
    /// Since when the attempt is known to run on the incarnation, in ms on the daemon's clock; `None` when it is not known to.
    pub(crate) running_since_ms: Option<u64>,
    /// How long the attempt is known to have run on the incarnation, in ms.
    pub(crate) ran_for_ms: u64,
    /// The number of workers that had crashed under the task when the attempt was assigned.
    pub(crate) crashes: u32,
    /// Whether the worker is given no other task meanwhile.
    pub(crate) is_isolated: bool,
    /// Whether the attempt is known to have started on the worker.
    pub(crate) has_started: bool,
    pub(crate) assigned_at_ms: u64,
    pub(crate) progress_percent: u32,
    pub(crate) progress_since_ms: u64,
    pub(crate) load: u64,
    /// The speed limit that the last command set, in percent of full speed.
    pub(crate) speed_limit_percent: u32,
    /// Whether the worker is known to apply `speed_limit_percent`.
    pub(crate) is_speed_limit_known: bool,
    pub(crate) is_stopping: bool,
    pub(crate) footprint: Resources,
    pub(crate) is_service: bool,
    /// How long the attempt has run at least for each percent of its progress, in microseconds; 0 when that is unknown.
    pub(crate) least_us_per_percent: u64,
    /// The team of the job; `None` for no team.
    pub(crate) team: Option<TeamKey>,
    /// What the task is declared to need, which counts towards the use of the team.
    pub(crate) needs: Resources,
}

impl AssignedAttempt {
    pub(crate) fn new(number: u32, step: &StepSpec, crashes: u32, now_ms: u64) -> Self {
        Self {
            number,
            may_have_begun: false,
            is_adopted: false,
            crash: None,
            running_since_ms: None,
            ran_for_ms: 0,
            crashes,
            is_isolated: crashes >= ISOLATED_FROM_CRASHES,
            settled_at_ms: None,
            is_start_in_flight: false,
            start_sent_at_ms: None,
            unanswered_at_ms: None,
            earliest_response_ms: 0,
            has_started: false,
            assigned_at_ms: now_ms,
            progress_percent: 0,
            progress_since_ms: now_ms,
            load: 0,
            speed_limit_percent: 100,
            is_speed_limit_known: true,
            is_stopping: false,
            footprint: step.footprint(),
            is_service: step.is_service,
            least_us_per_percent: least_us_per_percent(step),
            team: None,
            needs: step.needs,
        }
    }

    pub(crate) fn with_team(self, team: Option<TeamKey>) -> Self {
        Self { team, ..self }
    }
}

/// A worker, with the attempts and leases that the scheduler has given to the worker.
#[derive(Debug, Clone)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
pub(crate) struct Worker {
    pub(crate) info: WorkerInfo,
    /// Whether the registry lists the worker. Only a listed worker is given new tasks.
    pub(crate) is_listed: bool,
    /// Whether the last command or lease renewal got no response.
    pub(crate) is_unresponsive: bool,
    /// When the drain lease ends, in ms on the daemon's clock. The worker is given no task before.
    pub(crate) drain_until_ms: u64,
    /// Whether the worker was unresponsive when the drain began, so that its end may have come before.
    pub(crate) was_silent_before_drain: bool,
    /// Whether a service task stayed on the worker at the last renewal of the drain lease because no other worker had room.
    pub(crate) is_drain_blocked: bool,
    /// Whether the worker will be drained for maintenance.
    pub(crate) is_maintenance_due: bool,
    /// The attempts that run on the worker, or may run there.
    pub(crate) attempts: BTreeMap<TaskKey, AssignedAttempt>,
    pub(crate) used: Resources,
    /// The number of `attempts` of service tasks.
    pub(crate) service_attempts: usize,
    /// The number of `attempts` of tasks under which workers have crashed.
    pub(crate) suspect_attempts: usize,
    /// Whether an attempt on the incarnation, which has ended, is a likely cause of that.
    pub(crate) is_end_explained: bool,
    /// The number of `attempts` that have to be isolated.
    pub(crate) isolated_attempts: usize,
    /// Tasks whose leases expired on the worker while it was silent. They count as crashed under when the incarnation turns
    /// out to have ended.
    pub(crate) expired: Vec<ExpiredSuspect>,
    /// When the worker last crashed, in ms on the daemon's clock; 0 when it has not. Kept when the worker restarts under its id.
    pub(crate) crashed_at_ms: u64,
    /// When an attempt was last removed from the worker, or else when the registry first listed the worker, in ms on
    /// the daemon's clock.
    pub(crate) idle_since_ms: u64,
    /// When all leases that may have been granted on the worker have expired, in ms on the daemon's clock.
    pub(crate) leases_expired_by_ms: u64,
    /// The incarnation that reported last.
    pub(crate) incarnation: Incarnation,
    /// Whether the registry shows another start of the worker than it did before, and no report has come since. Until then
    /// the worker is given no new tasks.
    pub(crate) may_have_restarted: bool,
}

/// The content of the next lease renewal of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseRenewalPlan {
    /// The end of the lease in ms on the worker's clock. `None` when the request only polls the worker, because the
    /// worker has no attempts, is unresponsive, or no reading of its clock is known.
    pub lease_until_ms: Option<u64>,
    /// The number of the last ended attempt to acknowledge; 0 to acknowledge none. All outcomes up to it are recorded, and
    /// the worker discards these ends.
    pub recorded_end: u64,
    /// Whether attempts run on the worker, so that the worker may hold back its response until one of them ends.
    pub is_busy: bool,
    /// Whether the worker has to be polled often: batch tasks, which end soon, or best-effort tasks run there, or service tasks
    /// that a previous owner may have stopped.
    pub is_polled_often: bool,
}

impl Worker {
    pub(crate) fn new(info: WorkerInfo, leases_expired_by_ms: u64) -> Self {
        Self {
            info,
            is_listed: true,
            is_unresponsive: false,
            drain_until_ms: 0,
            was_silent_before_drain: false,
            is_drain_blocked: false,
            is_maintenance_due: false,
            attempts: BTreeMap::new(),
            used: Resources::default(),
            service_attempts: 0,
            suspect_attempts: 0,
            isolated_attempts: 0,
            is_end_explained: false,
            expired: Vec::new(),
            crashed_at_ms: 0,
            idle_since_ms: 0,
            leases_expired_by_ms,
            incarnation: Incarnation::default(),
            may_have_restarted: false,
        }
    }

    /// Whether nothing known of the worker contradicts that its incarnation started at `start_unix_ms`. Everything agrees with
    /// an unknown start.
    pub(crate) fn may_have_start(&self, start_unix_ms: Option<u64>) -> bool {
        let known = [self.info.start_unix_ms, self.incarnation.start_unix_ms];
        let mut known = known.into_iter().flatten();
        start_unix_ms.is_none_or(|start_unix_ms| known.all(|known| known == start_unix_ms))
    }

    /// Whether the registry entry is that of the incarnation that reported last, as far as their starts are known. Another
    /// incarnation may have another capacity and other labels.
    pub(crate) fn is_entry_current(&self) -> bool {
        let starts = self.info.start_unix_ms.zip(self.incarnation.start_unix_ms);
        self.is_listed
            && !self.may_have_restarted
            && starts.is_none_or(|(listed, reported)| listed == reported)
    }

    /// Whether the worker has a label; true for the empty label.
    pub(crate) fn has_label(&self, label: &SmolStr) -> bool {
        label.is_empty() || self.info.labels.contains(label)
    }

    /// Whether the worker may be given new tasks.
    pub(crate) fn is_usable(&self, now_ms: u64) -> bool {
        self.is_entry_current()
            && self.incarnation.has_accepted_term
            && self.unavailable_reason(now_ms).is_none()
    }

    /// Why no new task is assigned to a worker that has accepted a request of this owner; `None` when tasks may be
    /// assigned.
    pub(crate) fn unavailable_reason(&self, now_ms: u64) -> Option<UnavailableReason> {
        if self.is_unresponsive {
            Some(UnavailableReason::Unresponsive)
        } else if self.info.is_shutting_down {
            Some(UnavailableReason::ShuttingDown)
        } else if now_ms < self.drain_until_ms {
            Some(UnavailableReason::Draining)
        } else if self.incarnation.health.is_blocklisted(now_ms) {
            Some(UnavailableReason::Blocklisted)
        } else {
            None
        }
    }

    /// Whether an attempt of a service task there may be about to end, because a previous owner has stopped it.
    pub(crate) fn may_run_earlier_stops(&self, stop_ms: u64) -> bool {
        let mut attempts = self.attempts.values();
        attempts.any(|attempt| attempt.is_adopted && attempt.is_service)
            && self.incarnation.may_run_earlier_stops(stop_ms)
    }

    /// The resources of all attempts that run or may run on the worker, with those that are being stopped.
    fn occupied(&self) -> Resources {
        self.used
            .saturating_add(self.incarnation.used_by_unassigned)
    }

    pub(crate) fn free_capacity(&self) -> Resources {
        self.info.capacity.saturating_sub(self.occupied())
    }

    /// Whether the capacity, which may have shrunk, suffices for all attempts that run or may run on the worker.
    pub(crate) fn fits_capacity(&self) -> bool {
        self.occupied().fits(self.info.capacity)
    }

    /// Whether the worker is being drained and the drain waits for room on another worker.
    pub(crate) fn has_blocked_drain(&self, now_ms: u64) -> bool {
        self.is_drain_blocked && now_ms < self.drain_until_ms
    }

    /// The capacity that is not in use by service tasks.
    pub(crate) fn capacity_beside_services(&self) -> Resources {
        let services = self.attempts.values().filter(|attempt| attempt.is_service);
        let footprints = services.map(|attempt| attempt.footprint);
        let used = footprints.fold(Resources::default(), Resources::saturating_add);
        self.info.capacity.saturating_sub(used)
    }

    /// The room beside all attempts that run or may run on the worker. `None` for a worker that has more than its capacity,
    /// which may have shrunk: it fits no task, not even one that needs none of what is short.
    pub(crate) fn room(&self, now_ms: u64) -> Option<Room> {
        let refused = self.incarnation.refused_size;
        self.fits_capacity().then(|| Room {
            free: self.free_capacity(),
            refused: refused
                .filter(|(_, until_ms)| now_ms < *until_ms)
                .map(|(size, _)| size),
        })
    }

    /// Whether a task of this size fits the free capacity and was not refused by the worker lately.
    pub(crate) fn may_fit(&self, footprint: Resources, now_ms: u64) -> bool {
        self.room(now_ms).is_some_and(|room| room.fits(footprint))
    }

    /// Adds an attempt. Returns the attempt of the task that it replaces, if there is one.
    pub(crate) fn insert(
        &mut self,
        task: TaskKey,
        attempt: AssignedAttempt,
    ) -> Option<AssignedAttempt> {
        self.used = self.used.saturating_add(attempt.footprint);
        self.count(&attempt);
        let replaced = self.attempts.insert(task, attempt)?;
        self.uncount(&replaced);
        Some(replaced)
    }

    /// Makes a task no suspect any more.
    pub(crate) fn clear_suspect(&mut self, task: TaskKey) {
        if let Some(mut attempt) = self.attempts.remove(&task) {
            self.uncount(&attempt);
            attempt.crashes = 0;
            attempt.is_isolated = false;
            self.count(&attempt);
            self.attempts.insert(task, attempt);
        }
    }

    fn count(&mut self, attempt: &AssignedAttempt) {
        self.service_attempts += usize::from(attempt.is_service);
        self.suspect_attempts += usize::from(attempt.crashes > 0);
        self.isolated_attempts += usize::from(attempt.is_isolated);
    }

    fn uncount(&mut self, attempt: &AssignedAttempt) {
        self.service_attempts -= usize::from(attempt.is_service);
        self.suspect_attempts -= usize::from(attempt.crashes > 0);
        self.isolated_attempts -= usize::from(attempt.is_isolated);
    }

    pub(crate) fn remove(&mut self, task: TaskKey, now_ms: u64) -> Option<AssignedAttempt> {
        let attempt = self.attempts.remove(&task)?;
        self.uncount(&attempt);
        self.idle_since_ms = now_ms;
        // Recomputed, because a saturating sum can't be undone by subtraction.
        let footprints = self.attempts.values().map(|attempt| attempt.footprint);
        self.used = footprints.fold(Resources::default(), Resources::saturating_add);
        self.incarnation.refused_size = None;
        Some(attempt)
    }

    /// Begins another incarnation, which started at `start_unix_ms`. The assigned attempts stay: start commands that are on
    /// their way may reach the new incarnation, and its reports show which attempts run there.
    pub(crate) fn restart(&mut self, start_unix_ms: Option<u64>) {
        self.incarnation = self.incarnation.next(start_unix_ms);
        self.is_end_explained = false;
        for attempt in self.attempts.values_mut() {
            // The new incarnation knows of no stop command and of no speed limit.
            attempt.is_stopping = false;
            attempt.is_speed_limit_known = false;
            attempt.running_since_ms = None;
            attempt.ran_for_ms = 0;
        }
    }

    pub(crate) fn record_clock(&mut self, worker_ms: u64, at_ms: u64) {
        self.incarnation.clock = Some(ClockSample { worker_ms, at_ms });
    }

    /// Assumes that commands may have granted a lease of `max_lease_ms` from now on: their lease was computed with the clock
    /// of an earlier incarnation, and the worker shortens it to that time.
    pub(crate) fn assume_longest_lease(
        &mut self,
        max_lease_ms: u64,
        slow_percent: u64,
        now_ms: u64,
    ) {
        let leases_expired_by_ms = now_ms + max_lease_ms * 100 / (100 - slow_percent) + 1;
        self.leases_expired_by_ms = self.leases_expired_by_ms.max(leases_expired_by_ms);
    }

    /// The earliest time that the worker's clock can show now, in ms, if it runs slow by `slow_percent`; 0 while no reading
    /// of the clock is known. The clock of a later incarnation starts anew.
    pub(crate) fn earliest_clock_ms(&self, slow_percent: u64, now_ms: u64) -> u64 {
        self.incarnation.clock.map_or(0, |sample| {
            let elapsed_ms = now_ms.saturating_sub(sample.at_ms);
            sample.worker_ms + elapsed_ms * (100 - slow_percent) / 100
        })
    }

    /// Grants a lease of `lease_ms` from now on, and returns its end in ms on the worker's clock. Returns `None` while
    /// no reading of the worker's clock is known.
    ///
    /// Also raises `leases_expired_by_ms` to the time at which the lease has expired even if the worker's clock runs
    /// slow by `slow_percent`. The reading was taken no later than the arrival of its response, so that the worker's
    /// clock is behind the computed time only by its slowness.
    pub(crate) fn grant_lease(
        &mut self,
        lease_ms: u64,
        slow_percent: u64,
        now_ms: u64,
    ) -> Option<u64> {
        let sample = self.incarnation.clock?;
        let span_ms = now_ms.saturating_sub(sample.at_ms) + lease_ms;
        let until_ms = sample.worker_ms.saturating_add(span_ms);
        let leases_expired_by_ms = sample.at_ms + span_ms * 100 / (100 - slow_percent) + 1;
        self.leases_expired_by_ms = self.leases_expired_by_ms.max(leases_expired_by_ms);
        Some(until_ms)
    }
}
