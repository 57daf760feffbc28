//! Real daemons whose queue has a policy, with a service that is slow to decide.

mod fleet_support;

use std::time::{Duration, Instant};

use fleet_support::{Daemon, PATIENCE, call, daemon_of, done, ready, submit_surely, test_log};
use platform_stand_in::{PlatformStandIn, PolicyStandIn, sequential_job_body};
use reqwest::Method;
use test_support::FleetDaemonSpec;

/// Runs a job on a platform whose policy service takes 3.5 s, which needs these times by the configuration. Returns the number of
/// requests that the service got.
async fn requests_for_a_job((base_ms, per_worker_ms): (u64, u64)) -> usize {
    let platform = PlatformStandIn::start(1).await;
    let policy = PolicyStandIn::start(Duration::from_millis(3500)).await;
    platform.configure_policy(base_ms, per_worker_ms);
    let spec = FleetDaemonSpec::new("d0", platform.store_addr, platform.vms_addr);
    let daemons = [daemon_of(&spec.with_policy(policy.addr), test_log())];
    ready(&daemons[0]).await;
    submit_surely(&daemons, 1, 1).await;
    done(&daemons, 1).await;
    policy.requests()
}

/// Guards against: a decision that takes longer than a fixed time is given up each time, and the job waits for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_decision_that_takes_long_by_the_configuration_is_waited_for() {
    assert_eq!(requests_for_a_job((3400, 100)).await, 1);
}

/// Guards against: the same, with a service that is slower than configured.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_decision_that_takes_longer_than_configured_is_heard() {
    assert!(requests_for_a_job((20, 2)).await > 1);
}

async fn start_daemon(platform: &PlatformStandIn, policy: &PolicyStandIn, name: &str) -> Daemon {
    let spec = FleetDaemonSpec::new(name, platform.store_addr, platform.vms_addr);
    let daemon = daemon_of(&spec.with_policy(policy.addr), test_log());
    ready(&daemon).await;
    daemon
}

/// Guards against LOST: after a configuration had replaced a queue by another one with the same paths and policy, the steps of
/// accepted jobs were started without an authorization, hundreds of times a second, and never ran. Also after a takeover.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn steps_of_a_replaced_queue_with_a_policy_are_authorized() {
    const STEPS: usize = 6;
    let platform = PlatformStandIn::start(2).await;
    for worker in &platform.workers {
        worker.require_authorization();
    }
    let policy = PolicyStandIn::start(Duration::from_millis(20)).await;
    platform.configure_policy_of(3, "r-1", (20, 1));
    let mut daemons = vec![start_daemon(&platform, &policy, "d0").await];
    let body = sequential_job_body("x", &[1; STEPS]);
    let path = "/q/0000000000000001";
    let (status, _) = call(Method::POST, &daemons[0], path, Some(body)).await;
    assert_eq!(status, 200);
    platform.configure_policy_of(8, "r-9", (20, 1));
    let start = Instant::now();
    while platform.attempts().len() < STEPS / 2 {
        assert!(
            start.elapsed() < PATIENCE,
            "the steps of the job stand still"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    daemons.push(start_daemon(&platform, &policy, "d1").await);
    daemons.remove(0).process.kill();
    done(&daemons, 1).await;
    let refused = platform.workers.iter();
    let refused: usize = refused.map(|worker| worker.unauthorized_starts()).sum();
    assert_eq!(refused, 0);
}
