//! Real daemons and tasks that crash the workers that start them.

mod fleet_support;

use std::time::{Duration, Instant};

use fleet_support::{Daemon, PATIENCE, call, done, start, submit_surely};
use platform_stand_in::{CRASHING_PAYLOAD, job_body};
use reqwest::Method;

/// The number of crashes after which a task is not started again.
const MAX_CRASHES: usize = 3;

/// The number of starts of a service task that crashes each worker, whatever the crashes show.
const MAX_SERVICE_STARTS: usize = 5;

/// How long workers count as unstable, and longer: a task that waits for a stable worker has started by then.
const QUIET: Duration = Duration::from_secs(12);

/// Waits until a job is shown as failed.
async fn failed(daemon: &Daemon, path: &str) {
    let start = Instant::now();
    loop {
        let (status, body) = call(Method::GET, daemon, path, None).await;
        if status == 200 && body["state"] == "failed" {
            return;
        }
        assert!(
            start.elapsed() < PATIENCE,
            "job {path} is never given up: {status} {body}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_that_crashes_each_worker_is_given_up_and_other_jobs_are_done() {
    const DEADLY: u64 = 1;
    const OTHERS: std::ops::RangeInclusive<u64> = 2..=8;
    let (platform, daemons) = start(4, 2).await;
    let path = format!("/q/{DEADLY:016x}");
    let deadly = job_body(CRASHING_PAYLOAD, 1, false);
    let submitted = call(Method::POST, &daemons[0], &path, Some(deadly)).await;
    assert_eq!(submitted.0, 200);
    for id in OTHERS {
        submit_surely(&daemons, id, 4).await;
    }
    failed(&daemons[0], &path).await;
    for id in OTHERS {
        done(&daemons, id).await;
    }
    let attempts = platform.attempts();
    let name = format!("{DEADLY:016x}.");
    let deadly = attempts
        .iter()
        .filter(|attempt| attempt.task.starts_with(&name));
    let starts = deadly.count();
    assert!(starts <= MAX_CRASHES, "started {starts} times");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_whose_task_crashes_each_worker_stays_running_and_is_started_five_times_at_most()
{
    const DEADLY: u64 = 1;
    const OTHERS: std::ops::RangeInclusive<u64> = 2..=8;
    let (platform, daemons) = start(4, 2).await;
    let path = format!("/q/{DEADLY:016x}");
    let deadly = job_body(CRASHING_PAYLOAD, 1, true);
    let submitted = call(Method::POST, &daemons[0], &path, Some(deadly)).await;
    assert_eq!(submitted.0, 200);
    for id in OTHERS {
        submit_surely(&daemons, id, 4).await;
    }
    let name = format!("{DEADLY:016x}.");
    let starts = || {
        let attempts = platform.attempts().into_iter();
        let deadly = attempts.filter(|attempt| attempt.task.starts_with(&name));
        deadly.count()
    };
    let began = Instant::now();
    let mut last = (Instant::now(), 0);
    while last.0.elapsed() < QUIET {
        assert!(began.elapsed() < PATIENCE, "started {} times", starts());
        if starts() > last.1 {
            last = (Instant::now(), starts());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let range = MAX_CRASHES..=MAX_SERVICE_STARTS;
    assert!(range.contains(&starts()), "started {} times", starts());
    for id in OTHERS {
        done(&daemons, id).await;
    }
    let (status, body) = call(Method::GET, &daemons[0], &path, None).await;
    assert_eq!((status, &body["state"]), (200, &"running".into()), "{body}");
    let cancelled = call(Method::DELETE, &daemons[0], &path, None).await;
    assert_eq!(cancelled.0, 200);
    let (status, body) = call(Method::GET, &daemons[0], &path, None).await;
    assert_eq!(
        (status, &body["state"]),
        (200, &"canceled".into()),
        "{body}"
    );
}
