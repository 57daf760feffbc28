//! The time limit of a command.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use super::time_passed;

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
