//! Workers that restart under the id that they had.

mod support;

use scheduler::JobStatus;
use smol_str::SmolStr;
use submission::{AttemptOutcome, JobState};
use support::{Pool, job, starts, step};

/// The starts of two incarnations of a worker, in ms since 1970.
const FIRST: Option<u64> = Some(1_785_000_000_000);
const SECOND: Option<u64> = Some(1_785_000_060_000);

/// A pool whose worker `one` has ended two tasks; the ends are recorded and acknowledged.
fn pool_with_recorded_ends() -> Pool {
    let mut pool = Pool::new(&["one"]);
    pool.report_since(FIRST, "one", &[], &[]);
    let names = start_job(&mut pool, 1, 2);
    let done = |(number, name): (u64, &SmolStr)| (number, name.clone(), 1, AttemptOutcome::Done);
    let ended: Vec<_> = (1..).zip(&names).map(done).collect();
    pool.advance(500);
    pool.report_since(FIRST, "one", &[], &ended);
    assert!(starts(&pool.round()).is_empty());
    let key = pool.key("one");
    assert_eq!(pool.acknowledge(key), 2);
    pool.advance(10);
    pool
}

/// Submits a job of one step and starts its tasks. Returns their names.
fn start_job(pool: &mut Pool, id: u64, tasks: u32) -> Vec<SmolStr> {
    pool.submit(id, job(vec![step(tasks)]));
    let commands = pool.round();
    let started = pool.confirm_starts(&commands);
    assert_eq!(started.len(), tasks as usize);
    let names = started.iter().map(|(_, task, _)| pool.task_name(*task));
    names.collect()
}

#[test]
fn a_task_that_is_done_on_a_restarted_worker_is_not_started_again() {
    let mut pool = pool_with_recorded_ends();
    let names = start_job(&mut pool, 2, 1);
    pool.advance(500);
    // The next incarnation numbers its ends from 1.
    let done = (1, names[0].clone(), 1, AttemptOutcome::Done);
    pool.report_since(SECOND, "one", &[], &[done]);
    assert!(
        starts(&pool.round()).is_empty(),
        "a task that was done was started again"
    );
    assert_eq!(
        pool.scheduler.job_status(submission::JobId(2)),
        JobStatus::Recorded(JobState::Done)
    );
}

#[test]
fn a_worker_that_may_have_restarted_is_not_told_to_discard_ends_that_it_has_not_reported() {
    let mut pool = pool_with_recorded_ends();
    start_job(&mut pool, 2, 1);
    pool.advance(500);
    // The worker may have restarted, and the task may have been its first one to end.
    let key = pool.key("one");
    let plan = pool.scheduler.lease_renewal_plan(key, pool.now());
    assert_eq!(plan.map(|plan| plan.recorded_end), Some(0));
}
