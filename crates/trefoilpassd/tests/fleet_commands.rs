//! Real daemons whose commands to workers are lost or refused.

mod fleet_support;

use fleet_support::{check_runs, done, start, submit_surely};

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
