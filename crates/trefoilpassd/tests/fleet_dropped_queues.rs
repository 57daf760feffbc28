//! Real daemons, and a configuration that drops the queue of jobs that have not ended.

mod fleet_support;

use std::time::{Duration, Instant};

use fleet_support::{PATIENCE, call, pending, start_daemons};
use platform_stand_in::{FAILING_PAYLOAD, PlatformStandIn, SECOND_POOL, job_body};
use reqwest::Method;
use serde_json::json;

const JOB_PATH: &str = "/q/0000000000000001";

/// Long enough for all daemons to activate a configuration.
const SETTLED: Duration = Duration::from_secs(2);

/// The failed attempts of a task at which its job fails, by the configurations of the stand-in.
const MAX_FAILURES: usize = 3;

/// Guards against BUDGET: a task that always fails was started again and again once a configuration had dropped its queue.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_that_always_fails_is_given_up_although_its_queue_is_dropped() {
    let platform = PlatformStandIn::start(1).await;
    platform.configure_queue_in(3, "r-1", "work");
    let daemons = start_daemons(&platform, 1).await;
    // The task starts once the queue is gone.
    platform.workers[0].go_down();
    let body = job_body(FAILING_PAYLOAD, 1, false);
    let (status, _) = call(Method::POST, &daemons[0], JOB_PATH, Some(body)).await;
    assert_eq!(status, 200);
    // Callers read the state of the job at the same path, and the name of its queue is gone.
    platform.configure_queue_in(8, "r-9", SECOND_POOL);
    tokio::time::sleep(SETTLED).await;
    platform.workers[0].come_up().await;
    let start = Instant::now();
    loop {
        let (status, body) = call(Method::GET, &daemons[0], JOB_PATH, None).await;
        if status == 200 && body["state"] == "failed" {
            break;
        }
        let attempts = platform.attempts().len();
        assert!(attempts <= MAX_FAILURES, "started {attempts} times");
        assert!(start.elapsed() < PATIENCE, "not shown as failed: {body}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(platform.attempts().len(), MAX_FAILURES);
}

/// Guards against MIXED: once a configuration had replaced a queue by another one with the same paths, the jobs that waited were not
/// counted as pending any more. Also after a takeover, and at daemons that don't own the pool.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn waiting_jobs_of_a_replaced_queue_are_pending() {
    const JOBS: u64 = 3;
    let platform = PlatformStandIn::start(1).await;
    platform.configure_queue_in(3, "r-1", "work");
    let mut daemons = start_daemons(&platform, 3).await;
    let step = json!({"count": 1, "cpu": 1_000_000});
    let too_large_for_a_worker = json!({"spec": "x", "steps": [step]}).to_string();
    for id in 1..=JOBS {
        let path = format!("/q/{id:016x}");
        let body = Some(too_large_for_a_worker.clone());
        let (status, _) = call(Method::POST, &daemons[0], &path, body).await;
        assert_eq!(status, 200, "{id}");
    }
    platform.configure_queue_in(8, "r-9", "work");
    tokio::time::sleep(SETTLED).await;
    for daemon in &daemons {
        assert_eq!(pending(daemon).await, (200, json!(JOBS)), "{}", daemon.name);
    }
    let owner = platform.pool_owner();
    daemons.retain_mut(|daemon| {
        let is_owner = Some(&daemon.name) == owner.as_ref();
        if is_owner {
            daemon.process.kill();
        }
        !is_owner
    });
    let start = Instant::now();
    for daemon in &daemons {
        while pending(daemon).await.0 != 200 {
            assert!(start.elapsed() < PATIENCE, "the pool is never taken over");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(pending(daemon).await, (200, json!(JOBS)), "{}", daemon.name);
    }
}
