//! A task starts again only once its previous attempt can't run any more.

mod support;

use scheduler::{JobStatus, StartOutcome};
use submission::{AttemptOutcome, JobId, JobState, TaskPhase};
use support::{GRACE_MS, LEASE_MS, Pool, job, starts, step, stops};

#[test]
fn polls_of_an_unresponsive_worker_grant_no_lease_so_that_its_leases_expire() {
    let mut pool = Pool::new(&["one"]);
    pool.submit(1, job(vec![step(1)]));
    let commands = pool.round();
    pool.confirm_starts(&commands);
    let key = pool.key("one");
    pool.scheduler.mark_unresponsive(key);
    let mut waited_ms = 0;
    // No poll gets a response. The lease expires nevertheless.
    let is_idle = |pool: &Pool| {
        let task = pool
            .scheduler
            .job(JobId(1))
            .and_then(|job| job.task(0))
            .cloned();
        task.is_some_and(|task| task.phase == TaskPhase::Idle)
    };
    while !is_idle(&pool) {
        let plan = pool.scheduler.lease_renewal_plan(key, pool.now());
        assert!(plan.is_some_and(|plan| plan.lease_until_ms.is_none()));
        pool.advance(150);
        pool.scheduler.mark_unresponsive(key);
        waited_ms += 150;
        assert!(waited_ms < 2 * LEASE_MS, "the lease does not expire");
    }
    assert!(
        waited_ms > LEASE_MS,
        "the task was released after {waited_ms} ms, before the lease expired"
    );
}

#[test]
fn a_task_on_an_unresponsive_worker_does_not_start_elsewhere_before_the_lease_expires() {
    let mut pool = Pool::new(&["one", "two"]);
    pool.submit(1, job(vec![step(1)]));
    let commands = pool.round();
    let (worker, _, _) = starts(&commands)[0];
    pool.confirm_starts(&commands);
    pool.scheduler.mark_unresponsive(worker);
    pool.advance(LEASE_MS);
    assert!(starts(&pool.round()).is_empty());
    pool.advance(LEASE_MS / 10);
    let again = starts(&pool.round());
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].0, worker);
    assert_eq!(again[0].2, 2);
}

#[test]
fn a_new_owner_waits_for_leases_that_the_previous_owner_may_have_granted() {
    let mut pool = Pool::new(&["one"]);
    let id = pool.submit(1, job(vec![step(1)]));
    let _ = pool.round();
    let record = pool.scheduler.job(id).unwrap().clone();
    let mut next_owner = Pool::new(&["two"]);
    next_owner.scheduler.adopt_job(record, next_owner.now());
    // The worker to which the previous owner assigned the task is not in the registry any more.
    next_owner.advance(GRACE_MS + LEASE_MS);
    assert!(starts(&next_owner.round()).is_empty());
    next_owner.advance((GRACE_MS + LEASE_MS) / 20);
    assert_eq!(starts(&next_owner.round()).len(), 1);
}

#[test]
fn a_start_without_a_response_is_repeated_only_after_an_accepted_stop_and_a_later_empty_report() {
    let mut pool = Pool::new(&["one"]);
    pool.submit(1, job(vec![step(1)]));
    let (worker, task, attempt) = starts(&pool.round())[0];
    pool.apply_start(worker, task, attempt, StartOutcome::OutcomeUnknown);
    pool.advance(10);
    pool.report("one", &[], &[]);
    assert!(
        starts(&pool.round()).is_empty(),
        "the first start command may still take effect"
    );
    pool.scheduler
        .stop_accepted(worker, task, attempt, pool.now());
    pool.advance(10);
    pool.report("one", &[], &[]);
    assert_eq!(starts(&pool.round()).len(), 1);
}

#[test]
fn an_end_counts_once_and_only_for_the_assigned_attempt() {
    let mut pool = Pool::new(&["one"]);
    let id = pool.submit(1, job(vec![step(1)]));
    let commands = pool.round();
    let (_, task, attempt) = pool.confirm_starts(&commands)[0].clone();
    let name = pool.task_name(task);
    pool.advance(10);
    pool.report(
        "one",
        &[(name.clone(), attempt, 5)],
        &[(1, name.clone(), attempt + 1, AttemptOutcome::Done)],
    );
    assert_ne!(pool.scheduler.job(id).unwrap().state(), JobState::Done);
    pool.report("one", &[], &[(2, name, attempt, AttemptOutcome::Done)]);
    let _ = pool.round();
    assert_eq!(
        pool.scheduler.job_status(id),
        JobStatus::Recorded(JobState::Done)
    );
}

#[test]
fn attempts_of_a_cancelled_job_are_stopped_after_the_rows_of_the_job_are_written() {
    let mut pool = Pool::new(&["one"]);
    let id = pool.submit(1, job(vec![step(2)]));
    let commands = pool.round();
    pool.confirm_starts(&commands);
    pool.scheduler.cancel(id, pool.now());
    assert!(
        pool.scheduler.take_immediate_commands().is_empty(),
        "a command was issued before the rows were written"
    );
    let commands = pool.round();
    assert_eq!(stops(&commands).len(), 2);
    assert!(starts(&commands).is_empty());
}

#[test]
fn an_ended_incarnation_is_not_added_again_while_the_registry_still_lists_it() {
    let mut pool = Pool::new(&["one"]);
    pool.scheduler
        .incarnation_ended(pool.key("one"), None, pool.now());
    pool.set_registry(&["one"]);
    assert!(pool.scheduler.worker_keys().is_empty());
    // The next incarnation has another id.
    pool.set_registry(&["two"]);
    assert_eq!(pool.scheduler.worker_keys().len(), 1);
}

#[test]
fn a_worker_becomes_unresponsive_once_until_it_responds_again() {
    let mut pool = Pool::new(&["one"]);
    let key = pool.key("one");
    let mut check = |expected: bool| assert_eq!(pool.scheduler.mark_unresponsive(key), expected);
    check(true);
    check(false);
    pool.report("one", &[], &[]);
    assert!(
        pool.scheduler.mark_unresponsive(key),
        "the worker responded in between"
    );
}

#[test]
fn a_worker_is_neither_idle_nor_drained_until_the_ends_of_its_attempts_are_recorded() {
    let mut pool = Pool::new(&["one"]);
    pool.submit(1, job(vec![step(1)]));
    let commands = pool.round();
    let (worker, task, attempt) = pool.confirm_starts(&commands)[0].clone();
    let key = pool.key(&worker);
    let name = pool.task_name(task);
    pool.advance(500);
    pool.report("one", &[], &[(1, name, attempt, AttemptOutcome::Done)]);
    // The VM may be moved only when this owner's successor can learn of the end from the rows.
    assert_eq!(pool.scheduler.demand(pool.now()).idle, []);
    assert_eq!(pool.scheduler.drain(key, pool.now()), 1);
    pool.round();
    assert_eq!(pool.scheduler.drain(key, pool.now()), 0);
    pool.scheduler.cancel_drain(key);
    assert_eq!(pool.scheduler.demand(pool.now()).idle.len(), 1);
}
