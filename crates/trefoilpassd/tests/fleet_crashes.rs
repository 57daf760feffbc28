//! Real daemons and tasks that crash the workers that start them.

mod fleet_support;

use std::time::{Duration, Instant};

use fleet_support::{Daemon, PATIENCE, call, done, start, submit_surely};
use platform_stand_in::{CRASHING_PAYLOAD, DOWNING_PAYLOAD, PlatformStandIn, job_body};
use reqwest::Method;

/// The number of crashes after which a task is not started again.
const MAX_CRASHES: usize = 3;

/// The number of starts of a service task that crashes each worker, whatever the crashes show.
const MAX_SERVICE_STARTS: usize = 5;

/// How long workers count as unstable, and longer: a task that waits for a stable worker has started by then.
const QUIET: Duration = Duration::from_secs(12);

/// The id of a job whose task crashes workers.
const DEADLY: u64 = 1;

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
async fn a_task_under_which_vms_go_down_before_the_start_is_answered_is_given_up() {
    let (platform, daemons) = start(4, 1).await;
    let path = format!("/q/{DEADLY:016x}");
    let deadly = job_body(DOWNING_PAYLOAD, 1, false);
    let submitted = call(Method::POST, &daemons[0], &path, Some(deadly)).await;
    assert_eq!(submitted.0, 200);
    failed(&daemons[0], &path).await;
    let starts = platform.attempts().len();
    assert!(starts <= MAX_CRASHES, "started {starts} times");
}

/// Guards against BUDGET: a worker that a task took down before a list of VMs had shown the worker was not known to have crashed, so
/// that the task was started again without a count.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_under_which_a_vm_goes_down_before_a_list_shows_its_worker_is_given_up() {
    // The owner and the leader find the worker unresponsive meanwhile.
    const DOWNTIME: Duration = Duration::from_secs(3);
    let (platform, daemons) = start(1, 1).await;
    all_polled(&platform).await;
    platform.workers[0].set_downtime(DOWNTIME);
    platform.list_vms_only_while_one_is_down();
    let path = format!("/q/{DEADLY:016x}");
    let deadly = job_body(DOWNING_PAYLOAD, 1, false);
    let submitted = call(Method::POST, &daemons[0], &path, Some(deadly)).await;
    assert_eq!(submitted.0, 200);
    failed(&daemons[0], &path).await;
    let starts = platform.attempts().len();
    assert!(starts <= MAX_CRASHES, "started {starts} times");
}

/// Waits until the owner of the pool has polled all workers.
async fn all_polled(platform: &PlatformStandIn) {
    let start = Instant::now();
    while !platform.workers.iter().all(|worker| worker.has_owner()) {
        assert!(start.elapsed() < PATIENCE, "a worker is never polled");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The last response is on its way.
    tokio::time::sleep(Duration::from_millis(500)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_whose_starts_are_refused_at_the_addresses_of_lost_vms_is_not_shown_as_failed() {
    const LOST_VMS: usize = 7;
    const DOWNTIME: Duration = Duration::from_secs(6);
    let (platform, daemons) = start(LOST_VMS, 1).await;
    all_polled(&platform).await;
    for worker in &platform.workers {
        worker.go_down();
    }
    submit_surely(&daemons, 1, 1).await;
    tokio::time::sleep(DOWNTIME).await;
    for worker in &platform.workers {
        worker.come_up().await;
    }
    done(&daemons, 1).await;
    let attempts = platform.attempts();
    let first = attempts.iter().map(|attempt| attempt.attempt).min();
    assert!(
        first > Some(MAX_CRASHES as u64),
        "the job was not started at the lost VMs: {first:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_whose_task_crashes_each_worker_stays_running_and_is_started_five_times_at_most()
{
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

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_is_not_given_up_because_it_is_started_on_workers_that_lost_power_with_its_first_one()
{
    const WORKERS: usize = 10;
    let (platform, daemons) = start(WORKERS, 1).await;
    all_polled(&platform).await;
    // Idle workers are not polled any more. The connections to them stay open.
    tokio::time::sleep(Duration::from_secs(1)).await;
    submit_surely(&daemons, 1, 1).await;
    let start = Instant::now();
    while platform.attempts().is_empty() {
        assert!(start.elapsed() < PATIENCE, "the task is never started");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for worker in &platform.workers {
        worker.lose_registry_for(Duration::from_secs(3));
        worker.lose_power_for_a_moment();
    }
    // Fails when the job is shown as failed.
    done(&daemons, 1).await;
}
