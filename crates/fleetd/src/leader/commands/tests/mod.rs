//! The time limits of commands.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use scheduler::DRAIN_LEASE_MS;

use super::{COMMAND_TIMEOUT, COMMAND_WINDOW_MS, time_passed};
use crate::leader::pool_calls::REPLY_WAIT;

#[tokio::test]
async fn a_command_whose_time_passed_in_a_suspension_ends_soon_after() {
    // The clock of the timers stands still in a suspension, this one does not.
    let now_ms = AtomicU64::new(1_000);
    let started_at = Instant::now();
    let passed = time_passed(1_000, Duration::from_secs(60), || {
        now_ms.fetch_add(30_000, Ordering::Relaxed)
    });
    passed.await;
    assert!(started_at.elapsed() < Duration::from_secs(20));
}

#[test]
fn a_worker_is_not_used_again_while_a_command_that_follows_its_drain_may_arrive() {
    let transit = REPLY_WAIT + COMMAND_TIMEOUT;
    assert!(u128::from(DRAIN_LEASE_MS) > transit.as_millis() + u128::from(COMMAND_WINDOW_MS));
}
