//! Renews the leases of what runs on workers, and looks at it.

use std::sync::Arc;
use std::time::Duration;

use scheduler::{EndedAttempt, LeaseRenewalPlan, RunningTask, WorkerKey, WorkerReport};
use submission::AttemptOutcome;
use tokio::sync::Notify;
use users_platform::{AttemptEndReason, LeaseRenewalRequest, LeaseRenewalResponse};

use crate::clock::local_ms;
use crate::pool::PoolOwner;

/// How long a worker may take to answer, beyond the time it is asked to wait for an end. Fifty times its usual time.
const HOLD_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a look waits for an end. At two fifths of a lease, one look may be lost before the lease lapses.
const LOOK_WAIT_MS: u64 = 2000;

/// How long it waits where brief tasks run, or tasks that fill beside others. While a look is lost no end is seen, and
/// brief tasks take 0.6 s to 1.3 s.
const LIVELY_LOOK_WAIT_MS: u64 = 300;

/// The pause after a look that got no answer. Each look is paid for, and a lease lasts 5 s.
const SILENT_PAUSE: Duration = Duration::from_millis(200);

/// The longest pause of a loop without work, after which it looks whether the worker is still known.
const IDLE_PAUSE: Duration = Duration::from_secs(2);

/// How long a look waits for ends seen before to be recorded, so that it can have them forgotten.
const RECORD_PAUSE: Duration = Duration::from_millis(300);

impl PoolOwner {
    /// Starts a loop for each worker that has none.
    pub(crate) fn start_holds(self: &Arc<Self>, keys: &[WorkerKey]) {
        let mut wakers = self.hold_wakers.lock();
        for &key in keys {
            if wakers.contains_key(&key) {
                continue;
            }
            let waker = Arc::new(Notify::new());
            wakers.insert(key, waker.clone());
            tokio::spawn(self.clone().hold_worker(key, waker));
        }
    }

    pub(crate) fn wake_holds(&self, keys: impl Iterator<Item = WorkerKey>) {
        let wakers = self.hold_wakers.lock();
        for waker in keys.filter_map(|key| wakers.get(&key)) {
            waker.notify_one();
        }
    }

    async fn hold_worker(self: Arc<Self>, key: WorkerKey, waker: Arc<Notify>) {
        while !self.is_over() {
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
            let Some((plan, info)) = planned.filter(|_| self.may_order()) else {
                // The wait ends early when there is work.
                let _ = tokio::time::timeout(IDLE_PAUSE, waker.notified()).await;
                continue;
            };
            let order = self.hold_order(plan);
            let sent_at_ms = local_ms();
            let hold = self
                .node
                .workers
                .renew_leases(&info.addr, &info.id, &order, HOLD_TIMEOUT);
            let answer = hold.await;
            match answer {
                Ok(LeaseRenewalResponse::Accepted {
                    clock_ms,
                    running,
                    ended,
                }) => {
                    self.count_order("hold", "answered");
                    let has_ends = !ended.is_empty();
                    let report = WorkerReport {
                        request_sent_at_ms: sent_at_ms,
                        worker_clock_ms: clock_ms,
                        acknowledged_end: order.recorded_end,
                        running: running.into_iter().map(running_task).collect(),
                        ended: ended.into_iter().map(|ended| self.end_of(ended)).collect(),
                    };
                    self.apply_report(key, report);
                    if has_ends {
                        let _ = tokio::time::timeout(RECORD_PAUSE, waker.notified()).await;
                    }
                }
                Ok(LeaseRenewalResponse::OtherIncarnation) => {
                    self.count_order("hold", "other life");
                    tracing::info!(
                        worker = info.id.as_str(),
                        "another life answers: this one is over"
                    );
                    self.scheduler
                        .lock()
                        .incarnation_ended(key, self.node.clock.now());
                    self.changed.notify_one();
                    break;
                }
                Ok(LeaseRenewalResponse::Refused) => {
                    self.count_order("hold", "refused");
                    tracing::warn!(
                        worker = info.id.as_str(),
                        term = self.term,
                        "a worker has seen a later term"
                    );
                    self.scheduler.lock().mark_unresponsive(key);
                    tokio::time::sleep(SILENT_PAUSE).await;
                }
                Ok(LeaseRenewalResponse::Unhealthy { status }) => {
                    self.count_order("hold", "unhealthy");
                    if self.scheduler.lock().mark_unresponsive(key) {
                        tracing::warn!(worker = info.id.as_str(), status, "a worker takes no hold");
                    }
                    tokio::time::sleep(SILENT_PAUSE).await;
                }
                Err(err) => {
                    self.count_order("hold", "unanswered");
                    if self.scheduler.lock().mark_unresponsive(key) {
                        tracing::warn!(worker = info.id.as_str(), error = %err, "a hold got no answer");
                    }
                    tokio::time::sleep(SILENT_PAUSE).await;
                }
            }
        }
        self.hold_wakers.lock().remove(&key);
    }

    fn hold_order(&self, plan: LeaseRenewalPlan) -> LeaseRenewalRequest {
        let wait_ms = match plan {
            LeaseRenewalPlan { is_busy: false, .. } => 0,
            LeaseRenewalPlan {
                is_polled_often: true,
                ..
            } => LIVELY_LOOK_WAIT_MS,
            _ => LOOK_WAIT_MS,
        };
        LeaseRenewalRequest {
            lease_until_ms: plan.lease_until_ms,
            term: self.term,
            recorded_end: plan.recorded_end,
            wait_ms,
        }
    }

    fn apply_report(self: &Arc<Self>, key: WorkerKey, report: WorkerReport) {
        let urgent = {
            let mut scheduler = self.scheduler.lock();
            scheduler.apply_report(key, report, self.node.clock.now());
            scheduler.take_immediate_commands()
        };
        for action in urgent {
            self.send_order(action);
        }
        self.changed.notify_one();
    }

    fn end_of(&self, ended: users_platform::EndedAttemptReport) -> EndedAttempt {
        let (end, name) = match ended.reason {
            AttemptEndReason::Done => (AttemptOutcome::Done, "done"),
            AttemptEndReason::Failed => (AttemptOutcome::Failed, "failed"),
            AttemptEndReason::Stopped => (AttemptOutcome::Lost, "stopped"),
            AttemptEndReason::LeaseExpired => (AttemptOutcome::Lost, "lapsed"),
            AttemptEndReason::GangIncomplete => (AttemptOutcome::Lost, "gang"),
        };
        self.node
            .metrics
            .attempt_outcomes
            .with_label_values(&[name])
            .inc();
        tracing::info!(
            task = ended.task.as_str(),
            run = ended.attempt,
            end = name,
            number = ended.number,
            "a run ended"
        );
        EndedAttempt {
            number: ended.number,
            name: ended.task,
            attempt: ended.attempt,
            outcome: end,
            checkpoint: ended.checkpoint,
        }
    }
}

fn running_task(held: users_platform::RunningAttemptReport) -> RunningTask {
    RunningTask {
        name: held.task,
        attempt: held.attempt,
        checkpoint: held.checkpoint,
        progress_percent: held.progress_percent,
        load: held.load,
    }
}
