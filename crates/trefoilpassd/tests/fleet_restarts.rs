//! Real daemons and workers that restart under the id that they had.

mod fleet_support;

use std::time::{Duration, Instant};

use fleet_support::{
    PATIENCE, check_runs, check_runs_on_ending_workers, done, start, submit_surely,
};
use platform_stand_in::PlatformStandIn;

/// Waits until the workers were told that all ends of their attempts are recorded.
async fn ends_acknowledged(platform: &PlatformStandIn) {
    let start = Instant::now();
    let is_acknowledged = || {
        let mut attempts = platform.attempts().into_iter();
        attempts.all(|attempt| attempt.is_end_acknowledged)
    };
    while !is_acknowledged() {
        assert!(start.elapsed() < PATIENCE, "an end is never acknowledged");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_that_are_done_on_an_idle_worker_that_restarted_are_not_started_again() {
    let (platform, daemons) = start(1, 1).await;
    submit_surely(&daemons, 1, 6).await;
    done(&daemons, 1).await;
    ends_acknowledged(&platform).await;
    platform.workers[0].restart_under_same_id();
    submit_surely(&daemons, 2, 6).await;
    done(&daemons, 2).await;
    check_runs(&platform, 12);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_run_once_while_workers_restart_again_and_again() {
    const JOBS: u64 = 40;
    const RESTART_PERIODS_MS: [u64; 2] = [430, 710];
    let (platform, daemons) = start(3, 2).await;
    let calls = async {
        for id in 1..=JOBS {
            submit_surely(&daemons, id, 6).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        for id in 1..=JOBS {
            done(&daemons, id).await;
        }
    };
    // One of the three workers stays, so that there is progress.
    let restarts = RESTART_PERIODS_MS.iter().zip(&platform.workers);
    let restarts = restarts.map(|(period_ms, worker)| {
        let (worker, period) = (worker.clone(), Duration::from_millis(*period_ms));
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(period).await;
                worker.restart_under_same_id();
            }
        })
    });
    let restarts: Vec<_> = restarts.collect();
    calls.await;
    for restart in restarts {
        restart.abort();
    }
    check_runs_on_ending_workers(&platform, 240);
}
