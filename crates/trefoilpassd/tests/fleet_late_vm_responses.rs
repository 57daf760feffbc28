//! Real daemons whose commands to VMs take effect, but get their responses after the daemon has given the commands up.

mod fleet_support;

use std::time::{Duration, Instant};

use fleet_support::{
    Daemon, PATIENCE, call, check_runs, done, ready, start, start_daemons, submit_surely,
};
use platform_stand_in::{PlatformStandIn, SERVICE_PAYLOAD, job_body};
use reqwest::Method;

/// Longer than a daemon waits for a response to a command.
const LATE: Duration = Duration::from_millis(900);

/// The number of tasks that fill a worker.
const TASKS_PER_WORKER: u32 = 8;

async fn submit_service(daemon: &Daemon, id: u64, tasks: u32) {
    let service = job_body(SERVICE_PAYLOAD, tasks, true);
    let path = format!("/q/{id:016x}");
    let submitted = call(Method::POST, daemon, &path, Some(service)).await;
    assert_eq!(submitted.0, 200);
}

async fn until(condition: impl Fn() -> bool, what: &str) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "never: {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn running_tasks(platform: &PlatformStandIn) -> usize {
    let attempts = platform.attempts().into_iter();
    attempts.filter(|attempt| attempt.ended.is_none()).count()
}

/// Has a VM moved to the pool while responses are late for `late_for`, has it idle there for `idle_for`, and expects that it is used
/// then.
async fn a_moved_vm_is_used(late_for: Duration, idle_for: Duration) {
    let platform = PlatformStandIn::start(3).await;
    platform.configure_with_standby();
    let daemons = start_daemons(&platform, 1).await;
    submit_service(&daemons[0], 1, TASKS_PER_WORKER).await;
    // A pool with service tasks keeps a spare VM.
    let is_one_off = || running_tasks(&platform) == 8 && platform.workers_in_use() == 2;
    until(is_one_off, "an idle VM is moved to the standby pool").await;
    platform.delay_vm_responses_for(late_for, LATE);
    submit_service(&daemons[0], 2, 2 * TASKS_PER_WORKER).await;
    until(|| platform.vm_commands().len() == 2, "the VM is moved back").await;
    let path = format!("/q/{:016x}", 2);
    let cancelled = call(Method::DELETE, &daemons[0], &path, None).await;
    assert_eq!(cancelled.0, 200);
    tokio::time::sleep(idle_for).await;
    submit_service(&daemons[0], 3, 2 * TASKS_PER_WORKER).await;
    until(|| running_tasks(&platform) == 24, "all service tasks run").await;
}

/// Guards against: the response to the repeated command ends the worker that came with the move, which then gets no task for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_that_came_with_a_move_whose_response_was_late_gets_tasks() {
    a_moved_vm_is_used(Duration::from_secs(3), Duration::from_secs(4)).await;
}

/// Guards against: the worker is drained for the repetition of the move, for as long as no response is in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_that_came_with_a_move_gets_tasks_while_responses_are_late() {
    a_moved_vm_is_used(2 * PATIENCE, 4 * LATE).await;
}

/// Guards against: the response to the repeated command ends the worker that came after the maintenance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_that_came_after_a_maintenance_whose_response_was_late_gets_tasks() {
    let (platform, daemons) = start(1, 1).await;
    submit_surely(&daemons, 1, 1).await;
    done(&daemons, 1).await;
    platform.delay_vm_responses_for(Duration::from_secs(3), LATE);
    platform.request_wave(&["m-0"], 1, 30);
    until(|| platform.is_wave_done(), "the wave is done").await;
    submit_surely(&daemons, 2, 1).await;
    done(&daemons, 2).await;
    assert!(
        platform.vm_commands().len() > 1,
        "the command was not repeated"
    );
    check_runs(&platform, 2);
}

/// Guards against: a leader that doesn't know of the maintenance repeats it, and the response ends the worker that came after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_that_came_after_a_maintenance_by_a_lost_leader_gets_tasks() {
    let (platform, mut daemons) = start(1, 1).await;
    submit_surely(&daemons, 1, 1).await;
    done(&daemons, 1).await;
    platform.delay_vm_responses_for(Duration::from_millis(700), LATE);
    platform.request_wave(&["m-0"], 1, 30);
    until(
        || !platform.maintained_vms().is_empty(),
        "the VM is maintained",
    )
    .await;
    daemons.clear();
    daemons.push(fleet_support::daemon(&platform, "d9"));
    ready(&daemons[0]).await;
    until(|| platform.is_wave_done(), "the wave is done").await;
    submit_surely(&daemons, 2, 1).await;
    done(&daemons, 2).await;
    check_runs(&platform, 2);
}
