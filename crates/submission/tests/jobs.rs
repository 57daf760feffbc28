//! The job aggregate: validation, outcomes of attempts, and the stored row.

use std::sync::Arc;

use submission::{
    AttemptOutcome, CrashEvidence, CrashVerdict, Error, Job, JobId, JobSpec, JobState, Resources,
    StepSpec, TaskPhase,
};

fn step(tasks: u32, dependencies: &[u16]) -> StepSpec {
    StepSpec {
        tasks,
        dependencies: dependencies.to_vec(),
        estimated_duration_ms: 100,
        ..StepSpec::default()
    }
}

fn spec(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        steps,
        ..JobSpec::default()
    }
}

fn job(steps: Vec<StepSpec>) -> Job {
    Job::new(JobId(7), "queue".into(), Arc::new(spec(steps)), 1)
}

#[test]
fn an_invalid_job_is_rejected_with_the_error_for_its_fault() {
    fn check(spec: &JobSpec, expected: Option<&Error>) {
        assert_eq!(spec.validate().err().as_ref(), expected);
    }
    check(&spec(vec![step(1, &[])]), None);
    check(&spec(vec![]), Some(&Error::InvalidStepCount { steps: 0 }));
    check(
        &spec(vec![step(0, &[])]),
        Some(&Error::EmptyStep { step: 0 }),
    );
    check(
        &spec(vec![step(1, &[0])]),
        Some(&Error::InvalidDependency {
            step: 0,
            dependency: 0,
        }),
    );
    check(
        &spec(vec![step(1, &[]), step(1, &[2])]),
        Some(&Error::InvalidDependency {
            step: 1,
            dependency: 2,
        }),
    );
    check(
        &spec(vec![step(u32::MAX, &[])]),
        Some(&Error::TooManyTasks {
            tasks: u64::from(u32::MAX),
        }),
    );
    let long = JobSpec {
        payload: "x".repeat(4001),
        ..spec(vec![step(1, &[])])
    };
    check(&long, Some(&Error::PayloadTooLong { bytes: 4001 }));
}

#[test]
fn a_step_is_blocked_until_all_tasks_of_its_dependencies_are_done() {
    let mut job = job(vec![step(2, &[]), step(1, &[0])]);
    for index in 0..2 {
        assert!(!job.is_unblocked(0, 1));
        let attempt = job.assign(index, "worker".into(), 0);
        assert!(job.end_attempt(index, attempt, AttemptOutcome::Done, 1, 5));
    }
    assert!(job.is_unblocked(0, 1));
    assert_eq!(job.state(), JobState::Running);
}

#[test]
fn the_outcome_of_another_attempt_changes_nothing() {
    let mut job = job(vec![step(1, &[])]);
    let attempt = job.assign(0, "worker".into(), 0);
    assert!(!job.end_attempt(0, attempt + 1, AttemptOutcome::Done, 1, 5));
    assert!(job.end_attempt(0, attempt, AttemptOutcome::Done, 1, 5));
    assert!(!job.end_attempt(0, attempt, AttemptOutcome::Failed, 1, 5));
    assert_eq!(job.state(), JobState::Done);
}

#[test]
fn a_lost_attempt_is_not_a_failure_and_service_tasks_never_fail_a_job() {
    fn check(is_service: bool, outcome: AttemptOutcome, expected: JobState) {
        let mut job = job(vec![StepSpec {
            is_service,
            ..step(1, &[])
        }]);
        for _ in 0..2 {
            let attempt = job.assign(0, "worker".into(), 0);
            job.end_attempt(0, attempt, outcome, 2, 5);
        }
        assert_eq!(job.state(), expected, "{is_service} {outcome:?}");
    }
    check(false, AttemptOutcome::Lost, JobState::Running);
    check(false, AttemptOutcome::Failed, JobState::Failed);
    check(true, AttemptOutcome::Failed, JobState::Running);
    check(true, AttemptOutcome::Done, JobState::Running);
}

#[test]
fn a_job_restored_from_its_row_has_the_same_progress() {
    let mut original = job(vec![step(3, &[])]);
    let attempt = original.assign(0, "one".into(), 0);
    original.end_attempt(0, attempt, AttemptOutcome::Done, 2, 5);
    original.assign(1, "two".into(), 4);
    original.update_checkpoint(1, "saved".into());
    let row = serde_json::to_vec(&original.record()).unwrap();
    let record = serde_json::from_slice(&row).unwrap();
    let restored = job(vec![step(3, &[])]).with_record(record);
    assert_eq!(restored.record(), original.record());
    assert_eq!(restored.task(0).unwrap().phase, TaskPhase::Done);
    assert_eq!(restored.task(1).unwrap().attempt, 4);
    assert_eq!(restored.state(), JobState::Running);
}

/// Lets workers crash under the second of two tasks until the task is given up or held. Returns the job, and the number of crashes.
fn crash_until_verdict(is_service: bool, evidence: CrashEvidence) -> (Job, CrashVerdict, u32) {
    let mut job = job(vec![StepSpec {
        is_service,
        ..step(2, &[])
    }]);
    job.assign(0, "other".into(), 0);
    let verdicts = (1..=9).map(|crashes| {
        let attempt = job.assign(1, "worker".into(), 0);
        let verdict = job.record_crash(1, evidence, 5);
        job.end_attempt(1, attempt, AttemptOutcome::Lost, 2, 5);
        (verdict, crashes)
    });
    let mut last = verdicts.skip_while(|(verdict, _)| *verdict == CrashVerdict::GoesOn);
    let (verdict, crashes) = last.next().expect("the crashes are bounded");
    (job, verdict, crashes)
}

const LIMITS: [(CrashEvidence, u32); 3] = [
    (CrashEvidence::Conclusive, 3),
    (CrashEvidence::Doubtful, 4),
    (CrashEvidence::Late, 5),
];

#[test]
fn a_batch_task_under_which_workers_crash_is_given_up() {
    for (evidence, limit) in LIMITS {
        let (job, verdict, crashes) = crash_until_verdict(false, evidence);
        assert_eq!((verdict, crashes), (CrashVerdict::GivenUp, limit));
        assert_eq!((job.state(), job.ended_at_ms()), (JobState::Failed, 5));
    }
}

#[test]
fn a_service_job_does_not_fail_when_workers_crash_under_a_task_which_is_held_until_the_job_is_cancelled()
 {
    for (evidence, limit) in LIMITS {
        let (job, verdict, crashes) = crash_until_verdict(true, evidence);
        assert_eq!((verdict, crashes), (CrashVerdict::Held, limit));
        let restored = Job::new(JobId(7), "queue".into(), job.spec().clone(), 1);
        for mut job in [restored.with_record(job.record()), job] {
            assert_eq!((job.state(), job.ended_at_ms()), (JobState::Running, 0));
            assert_eq!((job.is_held(0), job.is_held(1)), (false, true));
            assert_eq!(job.idle_tasks(0, 0).count(), 0);
            assert_eq!(job.tasks_not_held(0), 1);
            let attempt = job.task(0).unwrap().attempt;
            job.end_attempt(0, attempt, AttemptOutcome::Failed, 1, 6);
            assert_eq!(job.idle_tasks(0, 0).collect::<Vec<_>>(), [0]);
            let verdict = job.record_crash(1, evidence, 7);
            assert_eq!(verdict, CrashVerdict::GoesOn, "it is held once");
            assert!(job.cancel(8));
            assert_eq!(job.state(), JobState::Cancelled);
        }
    }
}

#[test]
fn a_service_job_that_an_earlier_build_has_failed_stays_failed() {
    let service = StepSpec {
        is_service: true,
        ..step(1, &[])
    };
    let row = r#"{"f":true,"e":9,"t":[[3,0,false,"",""]],"c":[[0,3]]}"#;
    let job = job(vec![service]).with_record(serde_json::from_str(row).unwrap());
    assert_eq!((job.state(), job.ended_at_ms()), (JobState::Failed, 9));
    assert_eq!(serde_json::to_string(&job.record()).unwrap(), row);
}

#[test]
fn crashes_under_a_task_do_not_count_once_the_task_is_done_or_its_job_has_ended() {
    let mut job = job(vec![step(2, &[])]);
    let attempt = job.assign(0, "worker".into(), 0);
    assert!(job.end_attempt(0, attempt, AttemptOutcome::Done, 1, 5));
    for _ in 0..4 {
        let verdict = job.record_crash(0, CrashEvidence::Doubtful, 6);
        assert_eq!(verdict, CrashVerdict::GoesOn);
    }
    assert!(job.cancel(7));
    for _ in 0..4 {
        let verdict = job.record_crash(1, CrashEvidence::Doubtful, 8);
        assert_eq!(verdict, CrashVerdict::GoesOn);
    }
    assert_eq!(job.state(), JobState::Cancelled);
    let verdict = job.record_crash(9, CrashEvidence::Doubtful, 8);
    assert_eq!(verdict, CrashVerdict::GoesOn);
}

/// Daemons of an earlier build read the rows of this one, and the reverse.
#[test]
fn a_row_with_crashes_keeps_the_form_that_earlier_builds_read() {
    let mut job = job(vec![step(2, &[])]);
    job.assign(1, "one".into(), 0);
    let without = r#"{"e":0,"t":[[0,0,false,"",""],[1,0,false,"one",""]]}"#;
    assert_eq!(serde_json::to_string(&job.record()).unwrap(), without);
    job.record_crash(1, CrashEvidence::Doubtful, 5);
    let with = r#"{"e":0,"t":[[0,0,false,"",""],[1,0,false,"one",""]],"c":[[1,1]]}"#;
    assert_eq!(serde_json::to_string(&job.record()).unwrap(), with);
    for (row, crashes) in [(without, 0), (with, 1)] {
        let record = serde_json::from_str(row).unwrap();
        let restored = Job::new(JobId(7), "queue".into(), job.spec().clone(), 1);
        let restored = restored.with_record(record);
        assert_eq!(restored.task(1).map(|task| task.crashes), Some(crashes));
    }
}

#[test]
fn a_row_tells_since_when_a_service_task_runs_that_workers_crashed_under() {
    let service = StepSpec {
        is_service: true,
        ..step(2, &[])
    };
    let mut job = job(vec![service, step(1, &[])]);
    for index in [0, 2] {
        let attempt = job.assign(index, "one".into(), 0);
        job.record_crash(index, CrashEvidence::Late, 5);
        job.end_attempt(index, attempt, AttemptOutcome::Lost, 2, 5);
    }
    let attempts: Vec<_> = (0..3)
        .map(|index| job.assign(index, "two".into(), 0))
        .collect();
    let changes: Vec<_> = (0..3).map(|index| job.record_running(index, 30)).collect();
    // No worker has crashed under the second task, and the third is a batch task.
    assert_eq!(changes, [true, false, false]);
    assert!(!job.record_running(0, 40));
    let row = serde_json::to_string(&job.record()).unwrap();
    assert!(
        row.ends_with(r#","c":[[0,1],[2,1]],"r":[[0,30]]}"#),
        "{row}"
    );
    let restored = Job::new(JobId(7), "queue".into(), job.spec().clone(), 1);
    let restored = restored.with_record(serde_json::from_str(&row).unwrap());
    assert_eq!(restored.record(), job.record());
    let mut ended = restored.clone();
    ended.end_attempt(0, attempts[0], AttemptOutcome::Lost, 2, 50);
    ended.assign(0, "three".into(), 0);
    let mut forgotten = restored;
    assert!(forgotten.forget_crashes(0));
    for job in [ended, forgotten] {
        assert_eq!(job.record().running_since_ms, []);
    }
}

#[test]
fn a_task_name_gives_back_the_index_of_its_task() {
    let spec = JobSpec {
        occurrences: 2,
        ..spec(vec![step(2, &[]), step(3, &[0])])
    };
    let job = Job::new(JobId(7), "queue".into(), Arc::new(spec), 1);
    for (index, _) in job.tasks() {
        assert_eq!(job.task_index(&job.task_name(index)), Some(index));
    }
    assert_eq!(job.task_name(9), "0000000000000007.1.1.2");
    assert_eq!(job.task_index("0000000000000007.2.0.0"), None);
}

#[test]
fn a_cancelled_job_stays_cancelled() {
    let mut job = job(vec![step(1, &[])]);
    assert!(job.cancel(9));
    assert!(!job.cancel(10));
    assert_eq!((job.state(), job.ended_at_ms()), (JobState::Cancelled, 9));
}

/// Jobs of earlier builds are read from the store, and daemons of different builds exchange specs.
#[test]
fn the_json_form_of_a_spec_keeps_its_field_names() {
    let step = StepSpec {
        tasks: 2,
        needs: Resources {
            cpu_milli: 3,
            memory_mb: 4,
            gpus: 5,
        },
        estimated_duration_ms: 6,
        dependencies: vec![0],
        has_checkpoints: true,
        is_gang: true,
        has_rack_affinity: true,
        required_label: "label".into(),
        data_rack: "rack".into(),
        max_per_worker: 7,
        is_speculative: true,
        is_service: true,
        image: "image".into(),
        tail_latency_target_ms: 8,
        is_best_effort: true,
        max_unavailable: 9,
    };
    let spec = JobSpec {
        payload: "payload".into(),
        steps: vec![step],
        occurrences: 10,
        first_at_unix_ms: 11,
        interval_ms: 12,
    };
    let json = concat!(
        r#"{"payload":"payload","steps":[{"tasks":2,"needs":{"c":3,"m":4,"g":5},"estimate_ms":6,"after":[0],"#,
        r#""has_checkpoints":true,"is_gang":true,"is_same_rack":true,"required_label":"label","data_rack":"rack","#,
        r#""most_per_worker":7,"is_speculative":true,"is_lasting":true,"image":"image","tail_target_ms":8,"#,
        r#""is_filler":true,"may_miss":9}],"occurrences":10,"first_at_unix_ms":11,"interval_ms":12}"#,
    );
    assert_eq!(serde_json::to_string(&spec).unwrap(), json);
    assert_eq!(serde_json::from_str::<JobSpec>(json).unwrap(), spec);
}

#[test]
fn an_occurrence_whose_due_time_exceeds_the_range_is_not_due_early() {
    let spec = JobSpec {
        occurrences: 3,
        first_at_unix_ms: u64::MAX - 5,
        interval_ms: 10,
        ..spec(vec![step(1, &[])])
    };
    let job = Job::new(JobId(7), "queue".into(), Arc::new(spec), 1);
    assert_eq!(job.due_unix_ms(0), Some(u64::MAX - 5));
    assert_eq!(job.due_unix_ms(2), Some(u64::MAX));
}
