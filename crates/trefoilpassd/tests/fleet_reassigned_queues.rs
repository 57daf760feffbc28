//! Real daemons, and queues that a configuration assigns to another pool while their jobs are submitted again.

mod fleet_support;

use std::time::Duration;

use fleet_support::{
    Daemon, call, check_runs, daemon, done, pending, ready, start_daemons, submit, submit_surely,
};
use platform_stand_in::{PlatformStandIn, SECOND_POOL};
use reqwest::Method;
use serde_json::json;

const TASKS: u32 = 2;

/// Long enough for all daemons to activate a configuration, and for a job that was recorded by mistake to run.
const SETTLED: Duration = Duration::from_secs(2);

/// Starts a platform with a worker in each of two pools, and daemons that have the queue in the first pool.
async fn start_with_two_pools(daemons: usize) -> (PlatformStandIn, Vec<Daemon>) {
    let platform = PlatformStandIn::start(2).await;
    platform.workers[1].set_pool(SECOND_POOL);
    platform.configure_queue_in(3, "r-1", "work");
    let daemons = start_daemons(&platform, daemons).await;
    (platform, daemons)
}

/// Guards against TWICE: a daemon that started after a queue was assigned to another pool did not look for a job in the pool
/// that had it, so that the job was recorded in both pools and ran in both.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_runs_once_that_comes_again_at_a_daemon_which_never_saw_the_previous_pool_of_its_queue()
 {
    let (platform, mut daemons) = start_with_two_pools(2).await;
    submit_surely(&daemons, 1, TASKS).await;
    done(&daemons, 1).await;
    platform.configure_queue_in(8, "r-1", SECOND_POOL);
    let added = daemon(&platform, "added");
    ready(&added).await;
    tokio::time::sleep(SETTLED).await;
    daemons.push(added);
    submit_surely(&daemons[2..], 1, TASKS).await;
    tokio::time::sleep(SETTLED).await;
    check_runs(&platform, TASKS as usize);
    // New jobs of the queue run in the pool that has it now.
    submit_surely(&daemons[2..], 2, TASKS).await;
    done(&daemons, 2).await;
    check_runs(&platform, 2 * TASKS as usize);
}

/// Guards against the same failure where a configuration replaces a queue by another one with its paths, so that also daemons
/// that have seen the previous configuration know no previous pool.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_runs_once_that_comes_again_after_its_queue_was_replaced_by_one_in_another_pool() {
    let (platform, daemons) = start_with_two_pools(2).await;
    submit_surely(&daemons, 1, TASKS).await;
    done(&daemons, 1).await;
    platform.configure_queue_in(8, "r-9", SECOND_POOL);
    tokio::time::sleep(SETTLED).await;
    submit_surely(&daemons, 1, TASKS).await;
    tokio::time::sleep(SETTLED).await;
    check_runs(&platform, TASKS as usize);
}

/// Guards against the same failure the other way round: a daemon that has not seen the new configuration sent a job to the
/// previous pool of its queue, although the new one had recorded it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_runs_once_that_comes_again_at_a_daemon_which_was_paused_while_its_queue_was_reassigned()
 {
    let (platform, daemons) = start_with_two_pools(2).await;
    // The daemon knows the pool of the queue.
    submit_surely(&daemons[1..], 1, TASKS).await;
    done(&daemons, 1).await;
    daemons[1].process.pause();
    platform.configure_queue_in(8, "r-1", SECOND_POOL);
    tokio::time::sleep(SETTLED).await;
    submit_surely(&daemons[..1], 2, TASKS).await;
    done(&daemons[..1], 2).await;
    let again = submit(&daemons[1], 2, TASKS);
    let resume = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        daemons[1].process.resume();
    };
    let (status, ()) = tokio::join!(again, resume);
    assert!(matches!(status, 200 | 503 | 504), "status {status}");
    submit_surely(&daemons[1..], 2, TASKS).await;
    tokio::time::sleep(SETTLED).await;
    check_runs(&platform, 2 * TASKS as usize);
}

/// Guards against MIXED: after a queue was assigned to another pool, the jobs that waited in the previous pool were not counted
/// as pending any more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_that_wait_in_the_previous_pool_of_their_queue_are_pending() {
    let (platform, daemons) = start_with_two_pools(2).await;
    let step = json!({"count": 1, "cpu": 1_000_000});
    let too_large_for_a_worker = json!({"spec": "x", "steps": [step]}).to_string();
    for id in 1..4 {
        let path = format!("/q/{id:016x}");
        let body = Some(too_large_for_a_worker.clone());
        let (status, _) = call(Method::POST, &daemons[0], &path, body).await;
        assert_eq!(status, 200, "{id}");
    }
    platform.configure_queue_in(8, "r-1", SECOND_POOL);
    let added = daemon(&platform, "added");
    ready(&added).await;
    tokio::time::sleep(SETTLED).await;
    for daemon in daemons.iter().chain([&added]) {
        assert_eq!(pending(daemon).await, (200, json!(3)), "{}", daemon.name);
    }
    // Also where the daemon has submitted a job of the queue since.
    submit_surely(&daemons[..1], 4, TASKS).await;
    done(&daemons, 4).await;
    assert_eq!(pending(&daemons[0]).await, (200, json!(3)));
    let (status, _) = call(Method::DELETE, &daemons[0], "/q/0000000000000001", None).await;
    assert_eq!(status, 200);
    assert_eq!(pending(&daemons[0]).await, (200, json!(2)));
}
