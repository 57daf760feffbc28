//! Withdrawal of submitted jobs that are in no written row.

mod support;

use scheduler::JobStatus;
use submission::JobId;
use support::{Pool, job, starts, step};

#[test]
fn a_withdrawn_job_leaves_no_commands_and_no_used_capacity() {
    let mut pool = Pool::new(&["one"]);
    let recorded = pool.submit(1, job(vec![step(1)]));
    pool.round();
    let refused = pool.submit(2, job(vec![step(3)]));
    pool.scheduler.plan(pool.now());
    let mut batch = pool.scheduler.take_batch(98);
    assert_eq!(starts(&batch.commands).len(), 3);
    assert_eq!(batch.new_jobs().collect::<Vec<_>>(), [refused]);

    batch.remove_jobs(&[refused]);
    assert!(pool.scheduler.withdraw(refused, pool.now()));

    assert_eq!(batch.commands, []);
    assert_eq!(batch.changes, []);
    assert_eq!(pool.scheduler.job_status(refused), JobStatus::Unknown);
    assert_eq!(pool.scheduler.not_started_jobs("queue"), 1);
    let again = pool.submit(2, job(vec![step(3)]));
    let started = starts(&pool.round());
    let tasks = started
        .iter()
        .map(|(_, task, attempt)| (task.job, *attempt));
    assert_eq!(tasks.collect::<Vec<_>>(), [(again, 1); 3]);
    assert!(!pool.scheduler.withdraw(recorded, pool.now()));
}

#[test]
fn only_submitted_jobs_without_rows_are_withdrawn() {
    let mut pool = Pool::new(&["one"]);
    let waiting = pool.submit(1, job(vec![step(1)]));
    assert!(pool.scheduler.withdraw(waiting, pool.now()));
    assert!(
        !pool.scheduler.withdraw(waiting, pool.now()),
        "withdrawn before"
    );
    assert!(!pool.scheduler.withdraw(JobId(7), pool.now()), "unknown");
    assert_eq!(pool.round(), []);
    let recorded = pool.submit(2, job(vec![step(1)]));
    pool.round();
    assert!(!pool.scheduler.withdraw(recorded, pool.now()), "recorded");
    assert!(matches!(
        pool.scheduler.job_status(recorded),
        JobStatus::Recorded(_)
    ));
}
