//! Asks the policy service which workers may run the steps of some queues.

use std::sync::Arc;
use std::time::Duration;

use scheduler::PolicyRequest;

use crate::pool::PoolOwner;

/// How often steps are looked for that need advice.
const ASK_PERIOD: Duration = Duration::from_millis(60);

/// How often it is looked whether a configuration has brought such queues.
const IDLE_PERIOD: Duration = Duration::from_millis(500);

/// How long the service may take: it decides on each of 30 workers in turn, for one daemon at a time.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(2500);

impl PoolOwner {
    /// Asks for as long as this daemon decides for the pool.
    pub(crate) async fn ask_for_advice(self: Arc<Self>) {
        if self.node.policy_client.is_none() {
            return;
        }
        while !self.is_over() {
            if !self.scheduler.lock().has_policies() {
                tokio::time::sleep(IDLE_PERIOD).await;
                continue;
            }
            let requests = self.scheduler.lock().policy_requests(self.node.clock.now());
            for request in requests {
                self.ask(request).await;
            }
            tokio::time::sleep(ASK_PERIOD).await;
        }
    }

    async fn ask(&self, request: PolicyRequest) {
        let Some(client) = &self.node.policy_client else {
            return;
        };
        let step = request.step.as_str();
        match client
            .request_decision(step, &request.workers, ADVICE_TIMEOUT)
            .await
        {
            Ok((allowed, valid_ms)) => {
                tracing::info!(step, allowed = allowed.len(), valid_ms, "advised on a step");
                let now = self.node.clock.now();
                self.scheduler
                    .lock()
                    .apply_policy_decision(request.task, allowed, valid_ms, now);
                self.changed.notify_one();
            }
            Err(err) => tracing::info!(step, error = %err, "no advice on a step"),
        }
    }
}
