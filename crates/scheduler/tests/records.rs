//! Which state of a job counts as recorded.

mod support;

use scheduler::JobStatus;
use submission::{AttemptOutcome, JobState};
use support::{Pool, job, step};

#[test]
fn a_cancellation_after_a_batch_was_taken_is_not_recorded_by_that_batch() {
    let mut pool = Pool::new(&["one"]);
    let id = pool.submit(1, job(vec![step(1)]));
    let batch = pool.scheduler.take_batch(98);
    pool.scheduler.cancel(id, pool.now());
    pool.scheduler.apply_commit(&batch);
    assert_eq!(
        pool.scheduler.job_status(id),
        JobStatus::Recorded(JobState::Queued)
    );
    assert!(!pool.scheduler.is_job_recorded(id));

    pool.round();
    assert_eq!(
        pool.scheduler.job_status(id),
        JobStatus::Recorded(JobState::Cancelled)
    );
    assert!(pool.scheduler.is_job_recorded(id));
}

#[test]
fn a_job_that_ends_after_a_batch_was_taken_is_not_shown_as_done_by_that_batch() {
    let mut pool = Pool::new(&["one"]);
    let id = pool.submit(1, job(vec![step(2)]));
    let commands = pool.round();
    let started = pool.confirm_starts(&commands);
    let names: Vec<_> = started
        .iter()
        .map(|(_, task, _)| pool.task_name(*task))
        .collect();
    pool.report(
        "one",
        &[(names[1].clone(), 1, 50)],
        &[(1, names[0].clone(), 1, AttemptOutcome::Done)],
    );
    let batch = pool.scheduler.take_batch(98);
    pool.report(
        "one",
        &[],
        &[(2, names[1].clone(), 1, AttemptOutcome::Done)],
    );
    pool.scheduler.apply_commit(&batch);
    assert_eq!(
        pool.scheduler.job_status(id),
        JobStatus::Recorded(JobState::Running)
    );

    pool.round();
    assert_eq!(
        pool.scheduler.job_status(id),
        JobStatus::Recorded(JobState::Done)
    );
}
