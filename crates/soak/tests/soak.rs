//! A short soak for every change, and every seed that ever failed.

use std::path::{Path, PathBuf};

use soak::{Scale, play};
use test_support::built_program;
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

/// How many runs play at the same time.
const AT_ONCE: usize = 3;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_faults_from_outside() {
    let own = std::env::current_exe().expect("the path of this test");
    // Programs are beside the folder of the tests.
    let sibling = own
        .parent()
        .and_then(Path::parent)
        .expect("a target folder");
    let program = built_program(&sibling.join("soak"), "trefoilpassd");
    let short = SHORT.map(|seed| (seed, Scale::short(), "a short run"));
    let regressions = REGRESSIONS.map(|(seed, cause)| (seed, Scale::usual(), cause));
    let mut running = JoinSet::new();
    let mut played = 0;
    for (seed, scale, why) in short.into_iter().chain(regressions) {
        if running.len() >= AT_ONCE {
            finish_one(&mut running).await;
            played += 1;
        }
        let program = program.clone();
        running.spawn(async move {
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
    while !running.is_empty() {
        finish_one(&mut running).await;
        played += 1;
    }
    assert_eq!(played, SHORT.len() + REGRESSIONS.len());
}

async fn finish_one(running: &mut JoinSet<()>) {
    let done = running.join_next().await.expect("a run under way");
    done.expect("a run without a broken promise");
}

/// Where the logs of a seed's daemons go, for whoever looks into a failure.
fn logs(seed: u64) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("trefoilpass-soak-{seed}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for logs");
    folder
}
