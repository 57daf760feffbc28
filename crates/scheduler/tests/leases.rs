//! A task starts again only when its run before is surely over.

mod support;

use scheduler::{JobAnswer, StartOutcome};
use submission::{JobId, JobState, Phase, RunEnd};
use support::{GRACE_MS, LEASE_MS, Pool, job, starts, step, stops};

#[test]
fn a_silent_worker_is_looked_at_without_a_new_lease_so_that_it_lapses() {
    let mut pool = Pool::new(&["one"]);
    pool.submit(1, job(vec![step(1)]));
    let actions = pool.round();
    pool.started(&actions);
    let key = pool.key("one");
    pool.scheduler.unanswered(key);
    let mut waited_ms = 0;
    // Each look gets no answer. The lease lapses all the same.
    let is_idle = |pool: &Pool| {
        let task = pool
            .scheduler
            .job(JobId(1))
            .and_then(|job| job.task(0))
            .cloned();
        task.is_some_and(|task| task.phase == Phase::Idle)
    };
    while !is_idle(&pool) {
        let plan = pool.scheduler.hold_plan(key, pool.now());
        assert!(plan.is_some_and(|plan| plan.lease_until_ms.is_none()));
        pool.pass(150);
        pool.scheduler.unanswered(key);
        waited_ms += 150;
        assert!(waited_ms < 2 * LEASE_MS, "the lease never lapses");
    }
    assert!(
        waited_ms > LEASE_MS,
        "freed after {waited_ms} ms, before the lease has lapsed"
    );
}

#[test]
fn a_task_on_a_silent_worker_is_not_started_elsewhere_before_the_lease_lapses() {
    let mut pool = Pool::new(&["one", "two"]);
    pool.submit(1, job(vec![step(1)]));
    let actions = pool.round();
    let (worker, _, _) = starts(&actions)[0];
    pool.started(&actions);
    pool.scheduler.unanswered(worker);
    pool.pass(LEASE_MS);
    assert!(starts(&pool.round()).is_empty());
    pool.pass(LEASE_MS / 10);
    let again = starts(&pool.round());
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].0, worker);
    assert_eq!(again[0].2, 2);
}

#[test]
fn what_an_earlier_owner_may_have_granted_is_waited_for() {
    let mut pool = Pool::new(&["one"]);
    let id = pool.submit(1, job(vec![step(1)]));
    let _ = pool.round();
    let record = pool.scheduler.job(id).unwrap().clone();
    let mut next = Pool::new(&["two"]);
    next.scheduler.adopt(record, next.now());
    // The worker of the earlier owner is not in the registry any more.
    next.pass(GRACE_MS + LEASE_MS);
    assert!(starts(&next.round()).is_empty());
    next.pass((GRACE_MS + LEASE_MS) / 20);
    assert_eq!(starts(&next.round()).len(), 1);
}

#[test]
fn an_unanswered_start_is_free_only_after_a_stop_was_taken_and_a_later_look_lists_nothing() {
    let mut pool = Pool::new(&["one"]);
    pool.submit(1, job(vec![step(1)]));
    let (worker, task, run) = starts(&pool.round())[0];
    pool.answer(worker, task, run, StartOutcome::Unanswered);
    pool.pass(10);
    pool.look("one", &[], &[]);
    assert!(
        starts(&pool.round()).is_empty(),
        "the start may still be carried out"
    );
    pool.scheduler.stop_taken(worker, task, run, pool.now());
    pool.pass(10);
    pool.look("one", &[], &[]);
    assert_eq!(starts(&pool.round()).len(), 1);
}

#[test]
fn an_end_counts_once_and_only_for_the_run_that_is_assigned() {
    let mut pool = Pool::new(&["one"]);
    let id = pool.submit(1, job(vec![step(1)]));
    let actions = pool.round();
    let (_, task, run) = pool.started(&actions)[0].clone();
    let name = pool.name(task);
    pool.pass(10);
    pool.look(
        "one",
        &[(name.clone(), run, 5)],
        &[(1, name.clone(), run + 1, RunEnd::Done)],
    );
    assert_ne!(pool.scheduler.job(id).unwrap().state(), JobState::Done);
    pool.look("one", &[], &[(2, name, run, RunEnd::Done)]);
    let _ = pool.round();
    assert_eq!(
        pool.scheduler.answer(id),
        JobAnswer::Recorded(JobState::Done)
    );
}

#[test]
fn a_cancelled_job_has_its_runs_stopped_after_its_row_is_written() {
    let mut pool = Pool::new(&["one"]);
    let id = pool.submit(1, job(vec![step(2)]));
    let actions = pool.round();
    pool.started(&actions);
    pool.scheduler.cancel(id, pool.now());
    assert!(
        pool.scheduler.take_urgent().is_empty(),
        "nothing before the row"
    );
    let actions = pool.round();
    assert_eq!(stops(&actions).len(), 2);
    assert!(starts(&actions).is_empty());
}

#[test]
fn a_life_that_is_over_is_not_looked_at_again_while_the_registry_lags() {
    let mut pool = Pool::new(&["one"]);
    pool.scheduler.life_over(pool.key("one"), pool.now());
    pool.list(&["one"]);
    assert!(pool.scheduler.worker_keys().is_empty());
    // A later life has an id of its own.
    pool.list(&["two"]);
    assert_eq!(pool.scheduler.worker_keys().len(), 1);
}

#[test]
fn a_worker_falls_silent_once_until_it_answers_again() {
    let mut pool = Pool::new(&["one"]);
    let key = pool.key("one");
    let mut check = |expected: bool| assert_eq!(pool.scheduler.unanswered(key), expected);
    check(true);
    check(false);
    pool.look("one", &[], &[]);
    assert!(pool.scheduler.unanswered(key), "it answered in between");
}
