//! Workers that restart under the id that they had.

mod support;

use scheduler::{JobStatus, StartOutcome, WorkerInfo};
use smol_str::SmolStr;
use submission::{AttemptOutcome, JobId, JobState};
use support::{LEASE_MS, MAX_LEASE_MS, Pool, job, starts, step, worker};

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
        pool.scheduler.job_status(JobId(2)),
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

#[test]
fn ends_of_a_previous_incarnation_that_are_recorded_late_are_not_acknowledged_to_the_next_one() {
    let mut pool = Pool::new(&["one"]);
    pool.report_since(FIRST, "one", &[], &[]);
    let names = start_job(&mut pool, 1, 1);
    pool.advance(500);
    let done = (7, names[0].clone(), 1, AttemptOutcome::Done);
    pool.report_since(FIRST, "one", &[], &[done]);
    let batch = pool.scheduler.take_batch(98);
    pool.report_since(SECOND, "one", &[], &[]);
    pool.scheduler.apply_commit(&batch);
    let key = pool.key("one");
    let plan = pool.scheduler.lease_renewal_plan(key, pool.now());
    assert_eq!(plan.map_or(0, |plan| plan.recorded_end), 0);
}

#[test]
fn a_start_command_on_its_way_to_a_restarted_worker_is_not_given_up() {
    let mut pool = Pool::new(&["one", "two"]);
    pool.report_since(FIRST, "one", &[], &[]);
    pool.submit(1, job(vec![step(1)]));
    let (key, task, attempt) = starts(&pool.round())[0];
    let name = pool.task_name(task);
    let id = pool.scheduler.worker(key).unwrap().id.clone();
    pool.report_since(FIRST, &id, &[], &[]);
    pool.scheduler.grant_start_lease(key, task, pool.now());
    pool.advance(100);
    pool.report_since(SECOND, &id, &[], &[]);
    assert!(
        starts(&pool.round()).is_empty(),
        "the start command may still reach the worker"
    );
    pool.apply_start(key, task, attempt, StartOutcome::Started);
    pool.advance(10);
    pool.report_since(SECOND, &id, &[(name.clone(), attempt, 10)], &[]);
    pool.advance(400);
    let done = (1, name, attempt, AttemptOutcome::Done);
    pool.report_since(SECOND, &id, &[], &[done]);
    assert!(starts(&pool.round()).is_empty());
    assert!(pool.has_ended(JobId(1)));
}

#[test]
fn an_attempt_of_the_previous_incarnation_starts_again_after_a_restart() {
    let mut pool = Pool::new(&["one"]);
    pool.report_since(FIRST, "one", &[], &[]);
    start_job(&mut pool, 1, 1);
    pool.advance(100);
    pool.report_since(SECOND, "one", &[], &[]);
    let again = starts(&pool.round());
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].2, 2);
}

#[test]
fn a_lease_of_a_restarted_worker_may_last_as_long_as_workers_allow() {
    let mut pool = Pool::new(&["one", "two"]);
    pool.report_since(FIRST, "one", &[], &[]);
    pool.report_since(FIRST, "two", &[], &[]);
    pool.submit(1, job(vec![step(1)]));
    let commands = pool.round();
    let (key, _, _) = starts(&commands)[0];
    let started = pool.confirm_starts(&commands);
    let (id, task, attempt) = started[0].clone();
    let name = pool.task_name(task);
    pool.advance(100);
    // The start command carried a lease on the clock of the previous incarnation.
    pool.report_since(SECOND, &id, &[(name, attempt, 10)], &[]);
    pool.scheduler.mark_unresponsive(key);
    pool.advance(MAX_LEASE_MS - LEASE_MS / 10);
    assert!(
        starts(&pool.round()).is_empty(),
        "the lease may be in force"
    );
    pool.advance(LEASE_MS / 5);
    assert_eq!(starts(&pool.round()).len(), 1);
}

#[test]
fn a_start_response_of_the_next_incarnation_keeps_the_attempt_until_the_longest_lease_has_expired()
{
    let mut pool = Pool::new(&["one", "two"]);
    pool.submit(1, job(vec![step(1)]));
    let (key, task, attempt) = starts(&pool.round())[0];
    pool.advance(100);
    let now = pool.now();
    pool.scheduler.grant_start_lease(key, task, now);
    // The worker restarted since its last report: its clock is behind.
    let outcome = StartOutcome::Started;
    pool.scheduler
        .apply_start_outcome(key, task, attempt, outcome, Some(1000), now);
    pool.scheduler.mark_unresponsive(key);
    pool.advance(MAX_LEASE_MS - LEASE_MS / 10);
    assert!(
        starts(&pool.round()).is_empty(),
        "the lease may be in force"
    );
    pool.advance(LEASE_MS);
    assert_eq!(starts(&pool.round()).len(), 1);
}

/// The registry entry of a worker that started at `start_unix_ms`.
fn entry(name: &str, start_unix_ms: Option<u64>) -> WorkerInfo {
    WorkerInfo {
        start_unix_ms,
        ..worker(name)
    }
}

#[test]
fn a_worker_with_a_new_start_in_the_registry_is_polled_before_it_is_given_tasks() {
    let mut pool = Pool::new(&["one"]);
    pool.scheduler
        .set_workers(vec![entry("one", FIRST)], pool.now());
    pool.report_since(FIRST, "one", &[], &[]);
    let key = pool.key("one");
    assert_eq!(pool.scheduler.lease_renewal_plan(key, pool.now()), None);
    let may_have_restarted = pool
        .scheduler
        .set_workers(vec![entry("one", SECOND)], pool.now());
    assert_eq!(may_have_restarted, [key]);
    pool.submit(1, job(vec![step(1)]));
    assert!(starts(&pool.round()).is_empty());
    let plan = pool.scheduler.lease_renewal_plan(key, pool.now());
    assert!(plan.is_some_and(|plan| plan.lease_until_ms.is_none()));
    pool.report_since(SECOND, "one", &[], &[]);
    assert_eq!(starts(&pool.round()).len(), 1);
}

#[test]
fn a_registry_that_lags_behind_does_not_end_the_attempts_of_a_worker() {
    let mut pool = Pool::new(&["one"]);
    pool.scheduler
        .set_workers(vec![entry("one", SECOND)], pool.now());
    pool.report_since(SECOND, "one", &[], &[]);
    let names = start_job(&mut pool, 1, 1);
    pool.scheduler
        .set_workers(vec![entry("one", FIRST)], pool.now());
    pool.advance(100);
    pool.report_since(SECOND, "one", &[(names[0].clone(), 1, 50)], &[]);
    assert!(starts(&pool.round()).is_empty());
    let task = pool.scheduler.job(JobId(1)).unwrap().task(0);
    assert_eq!(task.unwrap().attempt, 1);
}

#[test]
fn ends_of_a_restarted_worker_are_acknowledged_although_its_predecessor_was_told_a_higher_number() {
    let mut pool = pool_with_recorded_ends();
    let names = start_job(&mut pool, 2, 1);
    pool.advance(500);
    let done = (1, names[0].clone(), 1, AttemptOutcome::Done);
    pool.acknowledged_end = 2;
    pool.report_since(SECOND, "one", &[], &[done]);
    assert!(starts(&pool.round()).is_empty());
    let key = pool.key("one");
    assert_eq!(pool.acknowledge(key), 1);
}

#[test]
fn a_restarted_worker_is_used_although_its_previous_incarnation_has_ended() {
    let mut pool = Pool::new(&["one"]);
    pool.scheduler
        .set_workers(vec![entry("one", FIRST)], pool.now());
    pool.report_since(FIRST, "one", &[], &[]);
    pool.scheduler
        .incarnation_ended(pool.key("one"), FIRST, pool.now());
    pool.scheduler
        .set_workers(vec![entry("one", FIRST)], pool.now());
    assert!(pool.scheduler.worker_keys().is_empty());
    // The entry of the next incarnation replaces the one of the previous incarnation.
    pool.scheduler
        .set_workers(vec![entry("one", SECOND)], pool.now());
    pool.report_since(SECOND, "one", &[], &[]);
    pool.submit(1, job(vec![step(1)]));
    assert_eq!(starts(&pool.round()).len(), 1);
}

#[test]
fn the_end_of_a_previous_incarnation_does_not_end_the_attempts_of_the_next_one() {
    let mut pool = Pool::new(&["one", "two"]);
    for name in ["one", "two"] {
        pool.report_since(SECOND, name, &[], &[]);
    }
    pool.submit(1, job(vec![step(1)]));
    let commands = pool.round();
    let (key, _, _) = starts(&commands)[0];
    pool.confirm_starts(&commands);
    pool.scheduler.mark_unresponsive(key);
    pool.scheduler.incarnation_ended(key, FIRST, pool.now());
    assert!(!pool.scheduler.worker_replaced(key, FIRST, pool.now()));
    assert!(starts(&pool.round()).is_empty());
    pool.scheduler.incarnation_ended(key, SECOND, pool.now());
    assert_eq!(starts(&pool.round()).len(), 1);
}

#[test]
fn a_start_command_on_its_way_outlasts_the_end_of_an_incarnation() {
    let mut pool = Pool::new(&["one", "two"]);
    pool.submit(1, job(vec![step(1)]));
    let (key, task, attempt) = starts(&pool.round())[0];
    pool.scheduler.grant_start_lease(key, task, pool.now());
    pool.scheduler.mark_unresponsive(key);
    pool.scheduler.incarnation_ended(key, None, pool.now());
    assert!(
        starts(&pool.round()).is_empty(),
        "the start command may reach the next incarnation"
    );
    let unknown = StartOutcome::OutcomeUnknown;
    pool.scheduler
        .apply_start_outcome(key, task, attempt, unknown, None, pool.now());
    pool.scheduler.incarnation_ended(key, None, pool.now());
    assert_eq!(starts(&pool.round()).len(), 1);
}

#[test]
fn a_worker_that_responds_keeps_its_attempts_although_its_vm_is_said_to_be_down() {
    let mut pool = Pool::new(&["one", "two"]);
    pool.submit(1, job(vec![step(1)]));
    let commands = pool.round();
    let (key, _, _) = starts(&commands)[0];
    pool.confirm_starts(&commands);
    pool.scheduler.incarnation_ended(key, None, pool.now());
    assert!(starts(&pool.round()).is_empty());
}

#[test]
fn an_end_counts_for_its_attempt_whatever_its_number() {
    let mut pool = Pool::new(&["one"]);
    let names = start_job(&mut pool, 1, 2);
    let done = |number, name: &SmolStr| (number, name.clone(), 1, AttemptOutcome::Done);
    pool.advance(500);
    pool.report("one", &[(names[1].clone(), 1, 50)], &[done(9, &names[0])]);
    pool.round();
    // The worker may have restarted without a start in its reports.
    pool.advance(500);
    pool.report("one", &[], &[done(1, &names[1])]);
    assert!(starts(&pool.round()).is_empty());
    assert!(pool.has_ended(JobId(1)));
}

#[test]
fn a_report_without_a_start_comes_from_the_incarnation_in_the_registry() {
    let mut pool = pool_with_recorded_ends();
    pool.scheduler
        .set_workers(vec![entry("one", SECOND)], pool.now());
    let names = start_job_after_poll(&mut pool, 2);
    pool.advance(500);
    let done = (1, names[0].clone(), 1, AttemptOutcome::Done);
    pool.report("one", &[], &[done]);
    assert!(starts(&pool.round()).is_empty());
    let key = pool.key("one");
    assert_eq!(pool.acknowledge(key), 1);
}

/// Has the worker `one` report without a start, then submits a job of one task and starts it.
fn start_job_after_poll(pool: &mut Pool, id: u64) -> Vec<SmolStr> {
    pool.report("one", &[], &[]);
    start_job(pool, id, 1)
}
