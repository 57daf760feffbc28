//! Real daemons and workers whose capacity shrinks and grows and that accept starts beyond it.

mod fleet_support;

use std::time::Duration;

use fleet_support::{Daemon, call, daemon, done, ready, submit_surely};
use platform_stand_in::{PlatformStandIn, SERVICE_PAYLOAD, job_body};

/// How long a capacity stays: longer than a smaller one may be ignored.
const CAPACITY_PERIOD: Duration = Duration::from_millis(4500);

/// The CPU capacities of the first worker, in thousandths of a core. The last one lets all jobs end.
const CPU_MILLI: [u32; 4] = [1000, 3000, 500, 4000];

const JOBS: u64 = 120;

/// Submits a job of service tasks, which run until it is cancelled.
async fn submit_service(daemons: &[Daemon], id: u64, tasks: u32) {
    let path = format!("/q/{id:016x}");
    let body = job_body(SERVICE_PAYLOAD, tasks, true);
    for daemon in daemons {
        let (status, _) = call(reqwest::Method::POST, daemon, &path, Some(body.clone())).await;
        if status == 200 {
            return;
        }
    }
}

async fn cancel(daemons: &[Daemon], id: u64) {
    let path = format!("/q/{id:016x}");
    for daemon in daemons {
        let (status, _) = call(reqwest::Method::DELETE, daemon, &path, None).await;
        if matches!(status, 200 | 410) {
            return;
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_start_exceeds_the_capacity_of_a_worker_that_shrinks_and_does_not_refuse() {
    let platform = PlatformStandIn::start(2).await;
    platform.configure_unguarded();
    for worker in &platform.workers {
        worker.set_stop_duration(Duration::from_millis(900));
    }
    let mut daemons: Vec<_> = (0..3)
        .map(|number| daemon(&platform, &format!("d{number}")))
        .collect();
    for daemon in &daemons {
        ready(daemon).await;
    }
    let changing = platform.workers[0].clone();
    let changes = tokio::spawn(async move {
        for cpu_milli in CPU_MILLI {
            changing.set_cpu_milli(cpu_milli);
            tokio::time::sleep(CAPACITY_PERIOD).await;
        }
    });
    for id in 1..=JOBS {
        submit_surely(&daemons, id, 6).await;
        // Service tasks whose stop overlaps with the next starts.
        let service = JOBS + id;
        if id % 4 == 0 {
            submit_service(&daemons, service, 4).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
            cancel(&daemons, service).await;
        }
        // The pool's owner is among those killed unless it is the last daemon.
        if id == JOBS / 3 || id == JOBS * 2 / 3 {
            drop(daemons.remove(0));
        }
    }
    for id in 1..=JOBS {
        done(&daemons, id).await;
    }
    changes.await.unwrap();
    for worker in &platform.workers {
        let overuse_milli = worker.largest_overuse_milli();
        assert_eq!(
            overuse_milli,
            0,
            "a start brought {} over its capacity by {overuse_milli} thousandths of a core",
            worker.id()
        );
    }
}
