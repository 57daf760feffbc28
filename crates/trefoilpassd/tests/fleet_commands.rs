//! Real daemons whose commands to workers are lost or refused.

mod fleet_support;

use std::time::Duration;

use fleet_support::{call, check_runs, done, start, submit_surely};
use platform_stand_in::{SERVICE_PAYLOAD, job_body};
use reqwest::Method;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_whose_start_was_lost_and_whose_stop_was_refused_is_started_again() {
    let (platform, daemons) = start(1, 1).await;
    submit_surely(&daemons, 1, 1).await;
    done(&daemons, 1).await;
    // All sends of a start command, and the first stop command that is to rule out its effect.
    platform.workers[0].lose_starts_and_refuse_stops((3, 1));
    submit_surely(&daemons, 2, 1).await;
    done(&daemons, 2).await;
    check_runs(&platform, 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_task_whose_start_got_no_response_is_not_stopped_once_it_is_reported_at_work() {
    let (platform, daemons) = start(1, 1).await;
    submit_surely(&daemons, 1, 1).await;
    done(&daemons, 1).await;
    // All sends of a start command.
    platform.workers[0].lose_start_responses(3);
    let service = job_body(SERVICE_PAYLOAD, 1, true);
    let path = format!("/q/{:016x}", 2);
    let submitted = call(Method::POST, &daemons[0], &path, Some(service)).await;
    assert_eq!(submitted.0, 200);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let attempts = platform.attempts();
    let service: Vec<_> = attempts
        .iter()
        .filter(|attempt| attempt.is_service)
        .collect();
    assert_eq!(service.len(), 1);
    assert_eq!(service[0].ended, None);
}
