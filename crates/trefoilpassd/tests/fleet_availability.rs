//! Real daemons end no service task at work that they don't know to be there.

mod fleet_support;

use std::time::{Duration, Instant};

use fleet_support::{Daemon, PATIENCE, call, done, start, submit_surely};
use platform_stand_in::{PlatformStandIn, SERVICE_PAYLOAD, StoreFaults, job_body};
use reqwest::{Client, Method};
use serde_json::{Value, json};

async fn submit_service(daemon: &Daemon, id: u64, tasks: u32) {
    let service = job_body(SERVICE_PAYLOAD, tasks, true);
    let path = format!("/q/{id:016x}");
    let submitted = call(Method::POST, daemon, &path, Some(service)).await;
    assert_eq!(submitted.0, 200);
}

async fn service_runs(platform: &PlatformStandIn) {
    let start = Instant::now();
    let is_running = || {
        let mut attempts = platform.attempts().into_iter();
        attempts.any(|attempt| attempt.is_service && attempt.ended.is_none())
    };
    while !is_running() {
        assert!(start.elapsed() < PATIENCE, "the service never runs");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_task_at_work_is_not_ended_by_a_command_to_its_vm_that_got_no_response_before() {
    let (platform, daemons) = start(2, 1).await;
    submit_service(&daemons[0], 1, 1).await;
    service_runs(&platform).await;
    // Longer than a drain lease.
    platform.silence_vm_commands_for(Duration::from_secs(6));
    platform.request_wave(&["m-0", "m-1"], 2, 30);
    let start = Instant::now();
    while !platform.is_wave_done() {
        assert!(start.elapsed() < PATIENCE, "the wave is never done");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let attempts = platform.attempts();
    let ended = attempts.iter().filter_map(|attempt| attempt.ended);
    let ended: Vec<_> = ended.map(|(_, reason)| reason).collect();
    assert!(ended.iter().all(|reason| *reason == "stopped"), "{ended:?}");
}

/// Asks the owner of the pool to drain a worker, as a leader does. Returns how many tasks it says are left there.
async fn drain(owner: &Daemon, worker: &str) -> u64 {
    let round = json!({"empty": [worker], "keep": [], "over": []});
    let call =
        json!({"jsonrpc": "2.0", "id": 1, "method": "pool_round", "params": ["work", round]});
    let client = Client::builder().no_proxy().build().unwrap();
    let request = client.post(&owner.peers).body(call.to_string());
    let response = request.header("content-type", "application/json").send();
    let response: Value = response.await.unwrap().json().await.unwrap();
    response["result"]["tasks"][0].as_u64().unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_that_may_have_been_deposed_does_not_say_that_a_worker_is_idle() {
    let (platform, daemons) = start(1, 1).await;
    submit_surely(&daemons, 1, 1).await;
    done(&daemons, 1).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let worker = platform.workers[0].id();
    assert_eq!(drain(&daemons[0], &worker).await, 0);
    platform.store.set_faults(StoreFaults {
        is_silent: true,
        ..StoreFaults::default()
    });
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_ne!(drain(&daemons[0], &worker).await, 0);
    platform.store.set_faults(StoreFaults::default());
    let start = Instant::now();
    while drain(&daemons[0], &worker).await > 0 {
        assert!(start.elapsed() < PATIENCE, "the worker is never drained");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
