//! Real daemons whose queue has a policy, with a service that is slow to decide.

mod fleet_support;

use std::time::Duration;

use fleet_support::{daemon_of, done, ready, submit_surely, test_log};
use platform_stand_in::{PlatformStandIn, PolicyStandIn};
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
