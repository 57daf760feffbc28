//! Requests decisions from the policy service on which workers may run the steps of queues that have a policy.

use std::sync::Arc;
use std::time::Duration;

use scheduler::PolicyRequest;
use smol_str::SmolStr;

use crate::clock::local_ms;
use crate::pool::PoolOwner;

/// How often the scheduler is asked for steps that need a policy decision.
const REQUEST_PERIOD: Duration = Duration::from_millis(60);

/// How often to check whether a new configuration has queues that need policy decisions, while there are none.
const IDLE_PERIOD: Duration = Duration::from_millis(500);

impl PoolOwner {
    /// Requests policy decisions until the ownership ends. Returns at once when no policy service is configured.
    pub(crate) async fn request_policy_decisions(self: Arc<Self>) {
        if self.node.policy_client.is_none() {
            return;
        }
        while !self.has_ended() {
            if !self.scheduler.lock().has_policies() {
                tokio::time::sleep(IDLE_PERIOD).await;
                continue;
            }
            let requests = self.scheduler.lock().policy_requests(self.node.clock.now());
            for request in requests {
                self.request_policy_decision(request).await;
            }
            tokio::time::sleep(REQUEST_PERIOD).await;
        }
    }

    /// Requests one decision and applies it; a failed request is only logged.
    async fn request_policy_decision(&self, request: PolicyRequest) {
        let Some(client) = &self.node.policy_client else {
            return;
        };
        // The service handles one call of a daemon at a time, so that the calls of its pools would wait for each other there.
        let mut timeout = self.node.policy_timeout.lock().await;
        let timeout_ms = timeout.for_request(request.expected_ms);
        let sent_at_ms = local_ms();
        let step = request.step.as_str();
        let (asked, usable) = (request.workers.len(), request.usable_workers);
        let first_asked = request.workers.first().map(SmolStr::as_str);
        let limit = Duration::from_millis(timeout_ms);
        let response = client.request_decision(step, &request.workers, limit).await;
        let duration_ms = local_ms().saturating_sub(sent_at_ms);
        timeout.record(response.is_err() && duration_ms >= timeout_ms);
        drop(timeout);
        match response {
            Ok((allowed, valid_ms)) => {
                tracing::info!(
                    step,
                    asked,
                    usable,
                    first_asked,
                    never_asked = request.remaining_workers,
                    allowed = allowed.len(),
                    valid_ms,
                    duration_ms,
                    "received a policy decision on a step"
                );
                let now = self.node.clock.now();
                self.scheduler
                    .lock()
                    .apply_policy_decision(request.task, allowed, valid_ms, now);
                self.recorder_waker.notify_one();
            }
            Err(err) => {
                tracing::info!(step, asked, usable, first_asked, duration_ms, timeout_ms, error = %err, "policy decision request failed");
            }
        }
    }
}
