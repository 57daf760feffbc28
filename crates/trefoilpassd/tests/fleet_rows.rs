//! Real daemons and rows in the store that can't be read.

mod fleet_support;

use fleet_support::{call, check_runs, daemon, done, ready, submit_surely};
use platform_stand_in::PlatformStandIn;
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
