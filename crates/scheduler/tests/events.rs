//! The names in log records of scheduler events stay the same.

use scheduler::{CountedCrash, CrashSource, CrashedTask, SchedulerEvent};
use submission::CrashEvidence;

#[test]
fn events_are_logged_under_stable_names() {
    let blocklisted = SchedulerEvent::Blocklisted {
        worker: "w-1".into(),
        cause: "its attempts fail",
    };
    assert_eq!(
        format!("{blocklisted:?}"),
        r#"Avoided { worker: "w-1", cause: "its attempts fail" }"#
    );
    let expired = SchedulerEvent::LeasesExpired {
        worker: "w-1".into(),
        attempts: 2,
    };
    assert_eq!(
        format!("{expired:?}"),
        r#"Lapsed { worker: "w-1", runs: 2 }"#
    );
    let restarted = SchedulerEvent::Restarted {
        worker: "w-1".into(),
        previous_start_unix_ms: 5,
        start_unix_ms: 9,
    };
    assert_eq!(
        format!("{restarted:?}"),
        r#"Restarted { worker: "w-1", previous_start_unix_ms: 5, start_unix_ms: 9 }"#
    );
    let lost = SchedulerEvent::NotListed {
        worker: "w-1".into(),
        task: "t".into(),
        attempt: 1,
    };
    assert_eq!(
        format!("{lost:?}"),
        r#"NotListed { worker: "w-1", task: "t", run: 1 }"#
    );
    let crashed = SchedulerEvent::Crashed {
        worker: "w-1".into(),
        source: CrashSource::ReportedByLeader,
        tasks: vec![CrashedTask {
            task: "t".into(),
            crashes: 2,
            evidence: CrashEvidence::Doubtful,
            is_start_confirmed: true,
            ran_for_ms: 40,
        }],
    };
    assert_eq!(
        format!("{crashed:?}"),
        r#"Crashed { worker: "w-1", source: ReportedByLeader, tasks: [("t", 2, Doubtful, started, 40 ms)] }"#
    );
    let began = SchedulerEvent::OverloadBegan {
        queue_ms: 900,
        jobs: 12,
    };
    assert_eq!(
        format!("{began:?}"),
        "OverloadBegan { queue_ms: 900, jobs: 12 }"
    );
    let ended = SchedulerEvent::OverloadEnded { duration_ms: 2500 };
    assert_eq!(format!("{ended:?}"), "OverloadEnded { duration_ms: 2500 }");
}

#[test]
fn stops_for_drains_are_logged_with_what_they_rest_on() {
    let stopped = SchedulerEvent::StoppedForDrain {
        worker: "w-1".into(),
        task: "t".into(),
        attempt: 1,
        unavailable: 0,
        tolerated: 1,
        adopted: 3,
        oldest_report_ms: 1800,
    };
    assert_eq!(
        format!("{stopped:?}"),
        r#"StoppedForDrain { worker: "w-1", task: "t", run: 1, unavailable: 0, tolerated: 1, adopted: 3, oldest_report_ms: 1800 }"#
    );
}

#[test]
fn verdicts_are_logged_with_the_crashes_that_they_rest_on() {
    let given_up = SchedulerEvent::GivenUp {
        task: "t".into(),
        crashes: 2,
        counts: vec![
            CountedCrash {
                worker: "w-1".into(),
                source: CrashSource::AnotherIdResponds,
                evidence: CrashEvidence::Late,
                is_start_confirmed: true,
                ran_for_ms: 365,
                age_ms: 900,
            },
            CountedCrash {
                worker: "w-2".into(),
                source: CrashSource::ReportedByLeader,
                evidence: CrashEvidence::Doubtful,
                is_start_confirmed: false,
                ran_for_ms: 0,
                age_ms: 0,
            },
        ],
    };
    assert_eq!(
        format!("{given_up:?}"),
        r#"GivenUp { task: "t", crashes: 2, counts: [("w-1", AnotherIdResponds, Late, started, 365 ms, 900 ms ago), ("w-2", ReportedByLeader, Doubtful, unanswered, 0 ms, 0 ms ago)] }"#
    );
    let held = SchedulerEvent::Held {
        task: "t".into(),
        crashes: 3,
        counts: Vec::new(),
    };
    assert_eq!(
        format!("{held:?}"),
        r#"Held { task: "t", crashes: 3, counts: [] }"#
    );
    assert_eq!(
        held.message(),
        "a service task is held: workers crash under it"
    );
}
