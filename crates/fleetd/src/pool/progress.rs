//! Ends the ownership of a pool whose owner makes no progress, so that another owner replaces it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::clock::local_ms;
use crate::pool::{OWNER_GRACE_MS, PoolOwner, recorder};

/// How often an owner checks its progress.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// How long an owner may record nothing while the store responds to its daemon. Owners renew their lease once a second, and
/// send no commands once the lease is older than this.
const MAX_RECORDED_AGE_MS: u64 = OWNER_GRACE_MS;

/// Tells whether an owner is stuck. Time in which the store does not respond to the daemon does not count.
#[derive(Debug, Clone, Copy)]
struct ProgressWatch {
    /// The last time at which there was progress or none was possible, in ms of the local clock.
    excused_until_ms: u64,
}

impl ProgressWatch {
    fn new(now_ms: u64) -> Self {
        Self {
            excused_until_ms: now_ms,
        }
    }

    /// Whether the owner is stuck at `now_ms`: the store responds, and the last committed transaction was sent
    /// `recorded_age_ms` earlier.
    fn is_stuck(&mut self, now_ms: u64, recorded_age_ms: u64, is_store_unavailable: bool) -> bool {
        let recorded_at_ms = now_ms.saturating_sub(recorded_age_ms);
        let excused_until_ms = if is_store_unavailable {
            now_ms
        } else {
            recorded_at_ms
        };
        self.excused_until_ms = self.excused_until_ms.max(excused_until_ms);
        now_ms.saturating_sub(self.excused_until_ms) >= MAX_RECORDED_AGE_MS
    }
}

impl PoolOwner {
    /// Gives the pool up when the owner has recorded nothing for too long although the store responds. Runs until the
    /// ownership ends.
    pub(crate) async fn watch_progress(self: Arc<Self>) {
        // The lease is older than the owner, whose rows may have taken long to read.
        let mut watch = ProgressWatch::new(local_ms());
        while !self.has_ended() {
            tokio::time::sleep(CHECK_PERIOD).await;
            let now_ms = local_ms();
            let recorded_age_ms = self.lease.lock().age_ms(now_ms);
            if watch.is_stuck(now_ms, recorded_age_ms, self.node.is_store_unavailable()) {
                self.log_stuck(now_ms, recorded_age_ms);
                // The cause may be this daemon's link, so that another daemon is better placed.
                self.hand_over().await;
                self.end();
            }
        }
    }

    fn log_stuck(&self, now_ms: u64, recorded_age_ms: u64) {
        let failing_since_ms = self.failing_since_ms.load(Ordering::Relaxed);
        let failing_ms = (failing_since_ms > 0).then(|| now_ms.saturating_sub(failing_since_ms));
        let waiting = self.submissions.lock().len();
        let scheduler = self.scheduler.lock();
        let first = scheduler.first_ready_task();
        let first = first.map(|task| recorder::task_name(&scheduler, task));
        tracing::error!(
            pool = self.pool.as_str(),
            term = self.term,
            recorded_age_ms,
            failing_ms,
            waiting,
            steps = scheduler.ready_steps(),
            first_waiting = first.as_deref(),
            "the owner records nothing although the store responds: giving the pool up"
        );
    }
}

#[cfg(test)]
mod tests;
