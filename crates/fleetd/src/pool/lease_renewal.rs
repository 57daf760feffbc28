//! Renews the leases of attempts on workers, and applies the reports that workers send in response.
//!
//! Each renewal is also a poll: the worker may wait for an attempt to end before it responds, for at most the time that
//! the request names.

use std::sync::Arc;
use std::time::Duration;

use scheduler::{EndedAttempt, LeaseRenewalPlan, RunningTask, WorkerInfo, WorkerKey, WorkerReport};
use submission::{AttemptOutcome, TaskKey};
use tokio::sync::Notify;
use users_platform::{AttemptEndReason, LeaseRenewalRequest, LeaseRenewalResponse};

use crate::clock::local_ms;
use crate::pool::PoolOwner;

/// How long a poll waits for an attempt to end, in ms. The time is two fifths of a lease, so that one lost poll does
/// not let the lease expire.
const POLL_WAIT_MS: u64 = 2000;

/// How long a poll of a worker that runs batch tasks or best-effort tasks waits for an attempt to end, in ms. While a
/// poll is lost, the owner learns of no ended attempt, and batch tasks take only 0.6 s to 1.3 s.
const FREQUENT_POLL_WAIT_MS: u64 = 300;

/// The retry delay after a failed poll. Each poll counts against the call quota, and a lease lasts 5 s.
const UNRESPONSIVE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The longest wait of a renewal loop that has no renewal to send. After the wait, the loop checks whether the
/// scheduler still knows the worker.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(2);

/// How long the next poll is delayed at most until reported outcomes are recorded, so that the poll can acknowledge
/// them and the worker can discard them.
const MAX_RECORD_WAIT: Duration = Duration::from_millis(300);

/// The outcome of a lease renewal or a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PollOutcome {
    /// The worker sent a report.
    Reported {
        /// Whether the report contained ended attempts.
        has_ended_attempts: bool,
    },
    /// Another incarnation responded.
    OtherIncarnation {
        /// Whether the worker was removed from the scheduler.
        is_removed: bool,
    },
    /// The worker did not respond, or not with a report.
    NoReport,
}

impl PoolOwner {
    /// Starts a lease renewal loop for each worker that has none.
    pub(crate) fn start_lease_renewals(self: &Arc<Self>, keys: &[WorkerKey]) {
        let mut wakers = self.renewal_wakers.lock();
        for &key in keys {
            if wakers.contains_key(&key) {
                continue;
            }
            let waker = Arc::new(Notify::new());
            wakers.insert(key, waker.clone());
            tokio::spawn(self.clone().renew_worker_leases(key, waker));
        }
    }

    /// Wakes the lease renewal loops of workers.
    pub(crate) fn wake_lease_renewals(&self, keys: impl Iterator<Item = WorkerKey>) {
        let wakers = self.renewal_wakers.lock();
        for waker in keys.filter_map(|key| wakers.get(&key)) {
            waker.notify_one();
        }
    }

    /// Renews the leases on a worker until the ownership ends, the worker's incarnation ends, or the scheduler no
    /// longer knows the worker.
    async fn renew_worker_leases(self: Arc<Self>, key: WorkerKey, waker: Arc<Notify>) {
        while !self.has_ended() {
            let planned = {
                let mut scheduler = self.scheduler.lock();
                let Some(info) = scheduler.worker(key).cloned() else {
                    break;
                };
                let now = self.node.clock.now();
                scheduler
                    .lease_renewal_plan(key, now)
                    .map(|plan| (plan, info))
            };
            let Some((plan, info)) = planned.filter(|_| self.may_send_commands()) else {
                // The wait ends early when the loop is woken.
                let _ = tokio::time::timeout(MAX_IDLE_WAIT, waker.notified()).await;
                continue;
            };
            match self.poll(key, &info, plan).await {
                PollOutcome::Reported { has_ended_attempts } => {
                    if has_ended_attempts {
                        // On a timeout, the next poll reports the ends that are not recorded again.
                        let recorded = self.ends_recorded(key, &waker);
                        let _ = tokio::time::timeout(MAX_RECORD_WAIT, recorded).await;
                    }
                }
                PollOutcome::OtherIncarnation { is_removed: true } => break,
                PollOutcome::OtherIncarnation { is_removed: false } | PollOutcome::NoReport => {
                    tokio::time::sleep(UNRESPONSIVE_RETRY_DELAY).await;
                }
            }
        }
        self.renewal_wakers.lock().remove(&key);
    }

    /// Polls a worker before a start command is sent, unless a response has shown lately that its process is alive. What happens
    /// to the command tells of the task only then: idle workers are not polled, and may have ended long before.
    pub(super) async fn poll_before_start(
        self: &Arc<Self>,
        key: WorkerKey,
        task: TaskKey,
        info: &WorkerInfo,
    ) -> PollOutcome {
        let now = self.node.clock.now();
        if !self.scheduler.lock().must_poll_before_start(key, task, now) {
            return PollOutcome::Reported {
                has_ended_attempts: false,
            };
        }
        let plan = LeaseRenewalPlan {
            lease_until_ms: None,
            recorded_end: 0,
            is_busy: false,
            is_polled_often: false,
        };
        self.poll(key, info, plan).await
    }

    /// Sends a lease renewal or a poll once, and applies the response to the scheduler.
    async fn poll(
        self: &Arc<Self>,
        key: WorkerKey,
        info: &WorkerInfo,
        plan: LeaseRenewalPlan,
    ) -> PollOutcome {
        let request = self.renewal_request(plan);
        let sent_at_ms = local_ms();
        let renewal = self.node.workers.renew_leases(
            &info.addr,
            &info.id,
            &request,
            self.node.worker_timeout(),
        );
        let response = renewal.await;
        match response {
            Ok(LeaseRenewalResponse::Accepted {
                clock_ms,
                start_unix_ms,
                running,
                ended,
                has_more_ends,
            }) => {
                self.count_command("hold", "answered");
                let has_ended_attempts = !ended.is_empty();
                let report = WorkerReport {
                    request_sent_at_ms: sent_at_ms,
                    worker_clock_ms: clock_ms,
                    start_unix_ms,
                    acknowledged_end: request.recorded_end,
                    running: running.into_iter().map(running_task).collect(),
                    ended: ended
                        .into_iter()
                        .map(|ended| self.observe_end(&info.id, ended))
                        .collect(),
                    has_more_ends,
                };
                self.apply_report(key, report);
                return PollOutcome::Reported { has_ended_attempts };
            }
            Ok(LeaseRenewalResponse::OtherIncarnation) => {
                self.count_command("hold", "other life");
                let is_removed = self.remove_replaced_worker(key, info);
                if !is_removed {
                    self.scheduler.lock().mark_unresponsive(key);
                }
                return PollOutcome::OtherIncarnation { is_removed };
            }
            Ok(LeaseRenewalResponse::Refused) => {
                self.count_command("hold", "refused");
                tracing::warn!(
                    worker = info.id.as_str(),
                    term = self.term,
                    "lease renewal was refused: the worker has seen a later term"
                );
                self.scheduler.lock().mark_unresponsive(key);
            }
            Ok(LeaseRenewalResponse::Unhealthy { status }) => {
                self.count_command("hold", "unhealthy");
                if self.scheduler.lock().mark_unresponsive(key) {
                    tracing::warn!(
                        worker = info.id.as_str(),
                        status,
                        "lease renewal failed: the worker is unhealthy"
                    );
                }
            }
            Err(err) => {
                self.count_command("hold", "unanswered");
                if self.scheduler.lock().mark_unresponsive(key) {
                    tracing::warn!(worker = info.id.as_str(), error = %err, "lease renewal got no response");
                }
            }
        }
        PollOutcome::NoReport
    }

    /// Removes a worker after a worker with another id responded at the address of the registry entry `info`. Returns false
    /// when the entry has changed since.
    pub(super) fn remove_replaced_worker(&self, key: WorkerKey, info: &WorkerInfo) -> bool {
        let now = self.node.clock.now();
        let mut scheduler = self.scheduler.lock();
        let is_removed = scheduler.worker_replaced(key, info.start_unix_ms, now);
        drop(scheduler);
        tracing::info!(
            worker = info.id.as_str(),
            is_removed,
            "worker incarnation ended: another incarnation responded"
        );
        self.recorder_waker.notify_one();
        is_removed
    }

    /// Waits until all reported ends of a worker are recorded.
    async fn ends_recorded(&self, key: WorkerKey, waker: &Notify) {
        while self.scheduler.lock().has_unrecorded_ends(key) {
            waker.notified().await;
        }
    }

    fn renewal_request(&self, plan: LeaseRenewalPlan) -> LeaseRenewalRequest {
        let wait_ms = match plan {
            LeaseRenewalPlan { is_busy: false, .. } => 0,
            LeaseRenewalPlan {
                is_polled_often: true,
                ..
            } => FREQUENT_POLL_WAIT_MS,
            _ => POLL_WAIT_MS,
        };
        LeaseRenewalRequest {
            lease_until_ms: plan.lease_until_ms,
            term: self.term,
            recorded_end: plan.recorded_end,
            wait_ms,
        }
    }

    /// Applies a worker's report to the scheduler and sends the commands that need no prior write to the store.
    fn apply_report(self: &Arc<Self>, key: WorkerKey, report: WorkerReport) {
        let immediate_commands = {
            let mut scheduler = self.scheduler.lock();
            scheduler.apply_report(key, report, self.node.clock.now());
            scheduler.take_immediate_commands()
        };
        for command in immediate_commands {
            self.send_command(command);
        }
        self.recorder_waker.notify_one();
    }

    /// Counts and logs an ended attempt, and returns it in the scheduler's form.
    fn observe_end(&self, worker: &str, ended: users_platform::EndedAttemptReport) -> EndedAttempt {
        let (outcome, label) = match ended.reason {
            AttemptEndReason::Done => (AttemptOutcome::Done, "done"),
            AttemptEndReason::Failed => (AttemptOutcome::Failed, "failed"),
            AttemptEndReason::Stopped => (AttemptOutcome::Lost, "stopped"),
            AttemptEndReason::LeaseExpired => (AttemptOutcome::Lost, "lapsed"),
            AttemptEndReason::GangIncomplete => (AttemptOutcome::Lost, "gang"),
            AttemptEndReason::Other => (AttemptOutcome::Lost, "other"),
        };
        self.node
            .metrics
            .attempt_outcomes
            .with_label_values(&[label])
            .inc();
        tracing::info!(
            task = ended.task.as_str(),
            run = ended.attempt,
            worker,
            end = label,
            number = ended.number,
            "an attempt ended"
        );
        EndedAttempt {
            number: ended.number,
            name: ended.task,
            attempt: ended.attempt,
            outcome,
            checkpoint: ended.checkpoint,
        }
    }
}

fn running_task(report: users_platform::RunningAttemptReport) -> RunningTask {
    RunningTask {
        name: report.task,
        attempt: report.attempt,
        checkpoint: report.checkpoint,
        progress_percent: report.progress_percent,
        load: report.load,
    }
}
