//! A short soak for every change, and every seed that ever failed.

use std::path::{Path, PathBuf};

use soak::{Scale, play};
use test_support::built_program;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// The seeds of the short runs.
const SHORT: [u64; 3] = [101, 102, 103];

/// The seeds that failed once, of the usual size, with the cause.
const REGRESSIONS: [(u64, &str); 3] = [
    (
        5,
        "an end that was recorded after a lapse counted as recorded (the stand-in's fault)",
    ),
    (
        24,
        "an end that was recorded after a lapse counted as recorded (the stand-in's fault)",
    ),
    (
        29_400_006,
        "a wave was recorded as done, and the leader killed before it reported that",
    ),
];

/// The same, of the size with outages of workers.
const WORKER_REGRESSIONS: [(u64, &str); 4] = [
    (
        9007,
        "a task was given up under which no worker had crashed: its worker was cut off, a start got no response, and an \
         end that its owner had seen was not recorded before the next takeover",
    ),
    (
        9010,
        "a task that lasts was given up: cut off twice, its attempts lapsed on workers that lived on, and then one crashed",
    ),
    (
        9011,
        "tasks were given up, as owners did not know whether and for how long they had run on workers that crashed, and \
         starts without a response counted",
    ),
    (
        9101,
        "a task that lasts was given up under which no worker had crashed: two starts got no response, and the last attempt \
         lapsed, long before its worker ended",
    ),
];

/// The seeds of the runs in which the queue is assigned to one pool after the other.
const QUEUES: [u64; 2] = [203, 204];

/// As many runs play at the same time, of all tests.
static SLOTS: Semaphore = Semaphore::const_new(3);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_faults_from_outside() {
    let short = SHORT.map(|seed| (seed, Scale::short(), "a short run"));
    let regressions = REGRESSIONS.map(|(seed, cause)| (seed, Scale::usual(), cause));
    play_all(short.into_iter().chain(regressions).collect()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_job_is_given_up_under_outages_of_workers() {
    let regressions = WORKER_REGRESSIONS.map(|(seed, cause)| (seed, Scale::workers(), cause));
    play_all(regressions.to_vec()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_run_once_while_their_queue_is_reassigned() {
    let runs = QUEUES.map(|seed| (seed, Scale::queues(), "a queue in two pools"));
    play_all(runs.to_vec()).await;
}

/// Plays runs; none may break a promise.
async fn play_all(runs: Vec<(u64, Scale, &'static str)>) {
    let own = std::env::current_exe().expect("the path of this test");
    // Programs are beside the folder of the tests.
    let sibling = own
        .parent()
        .and_then(Path::parent)
        .expect("a target folder");
    let program = built_program(&sibling.join("soak"), "trefoilpassd");
    let mut running = JoinSet::new();
    let expected = runs.len();
    for (seed, scale, why) in runs {
        let program = program.clone();
        running.spawn(async move {
            let _slot = SLOTS.acquire().await.expect("a semaphore that stays open");
            let logs = logs(seed);
            let report = play(seed, scale, &program, &logs).await;
            assert!(report.accepted > 0, "seed {seed}: no job is accepted");
            assert!(
                report.findings.is_empty(),
                "seed {seed}, {why}: {report:#?}"
            );
            // Only the logs of a run that failed are of use.
            let _ = std::fs::remove_dir_all(&logs);
        });
    }
    let mut played = 0;
    while let Some(done) = running.join_next().await {
        done.expect("a run without a broken promise");
        played += 1;
    }
    assert_eq!(played, expected);
}

/// Where the logs of a seed's daemons go, for whoever looks into a failure.
fn logs(seed: u64) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("trefoilpass-soak-{seed}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for logs");
    folder
}
