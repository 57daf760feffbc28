//! Real daemons and rows in the store that can't be read, or are too large.

mod fleet_support;

use std::time::Duration;

use fleet_support::{call, check_runs, daemon, done, ready, start, submit, submit_surely};
use platform_stand_in::{PlatformStandIn, StoreFaults, job_body};
use serde_json::{Value, json};

/// Writes the rows of an accepted job with one task.
fn put_job(platform: &PlatformStandIn, id: u64, progress: &Value) {
    let spec = json!({"payload": "x", "steps": [{"tasks": 1, "needs": {"c": 500, "m": 10}}]});
    let row = json!({"queue": "r-1", "accepted_at_ms": 1, "spec": spec});
    let key = format!("{id:016x}");
    let store = &platform.store;
    store.put_in_part("job", "work", &key, &row);
    store.put_in_part("progress", "work", &key, progress);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_whose_progress_can_not_be_read_is_not_run_from_the_start() {
    let platform = PlatformStandIn::start(1).await;
    platform.configure();
    put_job(&platform, 1, &json!({}));
    // As a later build may write it: the task is done.
    put_job(
        &platform,
        2,
        &json!({"t": [[1, 0, true, "", "", "further"]]}),
    );
    let daemons = [daemon(&platform, "d0")];
    ready(&daemons[0]).await;
    done(&daemons, 1).await;
    submit_surely(&daemons, 3, 1).await;
    done(&daemons, 3).await;
    let path = "/q/0000000000000002";
    let (status, _) = call(reqwest::Method::GET, &daemons[0], path, None).await;
    assert_eq!(status, 503, "an accepted job is reported as unknown");
    check_runs(&platform, 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_whose_rows_can_not_be_read_for_a_while_is_run() {
    let (platform, daemons) = start(1, 1).await;
    submit_surely(&daemons, 1, 1).await;
    done(&daemons, 1).await;
    // The owner does not know the job, as after a lost answer.
    put_job(&platform, 2, &json!({}));
    platform.store.set_faults(StoreFaults {
        unreadable_table: "job",
        ..StoreFaults::default()
    });
    let repeated = submit(&daemons[0], 2, 1);
    let outage = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        platform.store.set_faults(StoreFaults::default());
    };
    let (status, ()) = tokio::join!(repeated, outage);
    assert_eq!(status, 200);
    done(&daemons, 2).await;
    check_runs(&platform, 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_too_large_for_a_row_is_refused_and_delays_no_other() {
    let (platform, daemons) = start(1, 1).await;
    submit_surely(&daemons, 1, 1).await;
    let mut config = platform.store.get("op", "config").unwrap();
    config["version"] = json!(4);
    config["limits"]["maxBodyBytes"] = json!(262_144);
    platform.store.put("op", "config", &config);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let step = json!({"count": 1, "cpu": 500, "requires": "x".repeat(70_000)});
    let large = json!({"spec": "x", "steps": [step]}).to_string();
    let large = call(
        reqwest::Method::POST,
        &daemons[0],
        "/q/0000000000000002",
        Some(large),
    );
    let small = call(
        reqwest::Method::POST,
        &daemons[0],
        "/q/0000000000000003",
        Some(job_body("x", 1, false)),
    );
    let ((large, _), (small, _)) = tokio::join!(large, small);
    assert_eq!((large, small), (413, 200));
    done(&daemons, 3).await;
}

/// Guards against transactions with more entries than the store accepts, as each queue with new jobs adds a condition.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_jobs_of_many_queues_at_once_are_accepted() {
    const QUEUES: usize = 80;
    let platform = PlatformStandIn::start(1).await;
    platform.configure_queues(QUEUES);
    let daemons = [daemon(&platform, "d0")];
    ready(&daemons[0]).await;
    let submit_to_all = |round: usize| {
        let daemon = &daemons[0];
        let submissions = (0..QUEUES).map(move |queue| async move {
            let path = format!("/q{queue}/{:016x}", 1 + round * QUEUES + queue);
            let body = Some(job_body("x", 1, false));
            call(reqwest::Method::POST, daemon, &path, body).await.0
        });
        futures_util::future::join_all(submissions)
    };
    // The daemon finds the pool of each queue, and has an owner for the pool.
    while submit_to_all(0).await.iter().any(|status| *status != 200) {}
    // All jobs wait for the same transactions.
    for round in 1..4 {
        let statuses = submit_to_all(round).await;
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    }
}
