//! The job aggregate: what can't be accepted, how tasks end, and what its row keeps.

use std::sync::Arc;

use submission::{Error, Job, JobId, JobSpec, JobState, Phase, RunEnd, StepSpec};

fn step(tasks: u32, after: &[u16]) -> StepSpec {
    StepSpec {
        tasks,
        after: after.to_vec(),
        estimate_ms: 100,
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
fn impossible_jobs_are_refused_by_field() {
    fn check(spec: &JobSpec, expected: Option<&Error>) {
        assert_eq!(spec.check().err().as_ref(), expected);
    }
    check(&spec(vec![step(1, &[])]), None);
    check(&spec(vec![]), Some(&Error::Steps { steps: 0 }));
    check(&spec(vec![step(0, &[])]), Some(&Error::NoTasks { step: 0 }));
    check(
        &spec(vec![step(1, &[0])]),
        Some(&Error::NotEarlier { step: 0, after: 0 }),
    );
    check(
        &spec(vec![step(1, &[]), step(1, &[2])]),
        Some(&Error::NotEarlier { step: 1, after: 2 }),
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
fn a_step_waits_for_all_tasks_of_the_steps_before() {
    let mut job = job(vec![step(2, &[]), step(1, &[0])]);
    for index in 0..2 {
        assert!(!job.is_unblocked(0, 1));
        let run = job.assign(index, "worker".into(), 0);
        assert!(job.end_run(index, run, RunEnd::Done, 1, 5));
    }
    assert!(job.is_unblocked(0, 1));
    assert_eq!(job.state(), JobState::Running);
}

#[test]
fn an_end_of_another_run_changes_nothing() {
    let mut job = job(vec![step(1, &[])]);
    let run = job.assign(0, "worker".into(), 0);
    assert!(!job.end_run(0, run + 1, RunEnd::Done, 1, 5));
    assert!(job.end_run(0, run, RunEnd::Done, 1, 5));
    assert!(!job.end_run(0, run, RunEnd::Failed, 1, 5));
    assert_eq!(job.state(), JobState::Done);
}

#[test]
fn lost_runs_are_not_failures_and_lasting_tasks_never_use_up_attempts() {
    fn check(is_lasting: bool, end: RunEnd, expected: JobState) {
        let mut job = job(vec![StepSpec {
            is_lasting,
            ..step(1, &[])
        }]);
        for _ in 0..2 {
            let run = job.assign(0, "worker".into(), 0);
            job.end_run(0, run, end, 2, 5);
        }
        assert_eq!(job.state(), expected, "{is_lasting} {end:?}");
    }
    check(false, RunEnd::Lost, JobState::Running);
    check(false, RunEnd::Failed, JobState::Failed);
    check(true, RunEnd::Failed, JobState::Running);
    check(true, RunEnd::Done, JobState::Running);
}

#[test]
fn a_row_keeps_all_that_a_successor_needs() {
    let mut before = job(vec![step(3, &[])]);
    let run = before.assign(0, "one".into(), 0);
    before.end_run(0, run, RunEnd::Done, 2, 5);
    before.assign(1, "two".into(), 4);
    before.note_checkpoint(1, "saved".into());
    let row = serde_json::to_vec(&before.record()).unwrap();
    let record = serde_json::from_slice(&row).unwrap();
    let after = job(vec![step(3, &[])]).with_record(record);
    assert_eq!(after.record(), before.record());
    assert_eq!(after.task(0).unwrap().phase, Phase::Done);
    assert_eq!(after.task(1).unwrap().run, 4);
    assert_eq!(after.state(), JobState::Running);
}

#[test]
fn names_and_places_of_tasks_match() {
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
