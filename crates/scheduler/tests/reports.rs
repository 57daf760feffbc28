//! What a report of a worker shows of the attempts that it does not list.

mod support;

use submission::{AttemptOutcome, TaskPhase};
use support::{Pool, job, starts, step};

#[test]
fn tasks_whose_ends_do_not_fit_into_a_report_are_not_started_again() {
    let mut pool = Pool::new(&["one"]);
    let id = pool.submit(1, job(vec![step(4)]));
    let commands = pool.round();
    let started = pool.confirm_starts(&commands);
    let end = |number: u64, task| {
        let name = pool.task_name(task);
        (number, name, 1, AttemptOutcome::Done)
    };
    let ends: Vec<_> = (1..)
        .zip(&started)
        .map(|(n, start)| end(n, start.1))
        .collect();
    pool.advance(10);
    // All four are done, and the report holds the ends of two.
    pool.has_more_ends = true;
    pool.report("one", &[], &ends[..2]);
    assert_eq!(starts(&pool.round()), []);
    pool.advance(10);
    pool.has_more_ends = false;
    pool.report("one", &[], &ends[2..]);
    assert_eq!(starts(&pool.round()), []);
    let tasks = pool.scheduler.job(id).unwrap().tasks();
    let done = tasks.filter(|(_, task)| task.phase == TaskPhase::Done);
    assert_eq!(done.count(), 4);
}

#[test]
fn a_task_that_a_complete_report_does_not_list_is_started_again() {
    let mut pool = Pool::new(&["one"]);
    pool.submit(1, job(vec![step(1)]));
    let commands = pool.round();
    pool.confirm_starts(&commands);
    pool.advance(10);
    pool.has_more_ends = true;
    pool.report("one", &[], &[]);
    assert_eq!(starts(&pool.round()), []);
    pool.has_more_ends = false;
    pool.report("one", &[], &[]);
    assert_eq!(starts(&pool.round()).len(), 1);
}
