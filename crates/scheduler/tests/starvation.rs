//! Steps that can't be placed now keep no others waiting, however many they are and whatever they ask for.

mod support;

use submission::{JobSpec, StepSpec};
use support::{Pool, job, sized_step, started_jobs};

/// The id of the small job that is submitted last.
const SMALL: u64 = 1_000_000;

/// A pool of one worker with 1.5 of 4 cores free.
fn nearly_full_pool() -> Pool {
    let mut pool = Pool::new(&["one"]);
    pool.submit(0, job(vec![sized_step(2500)]));
    assert_eq!(started_jobs(&mut pool), [0]);
    pool
}

fn small_job() -> JobSpec {
    job(vec![sized_step(500)])
}

#[test]
fn equal_steps_without_room_do_not_keep_smaller_steps_from_starting_however_many_they_are() {
    let mut pool = nearly_full_pool();
    for id in 1..=2000 {
        pool.submit(id, job(vec![sized_step(2000)]));
    }
    pool.submit(SMALL, small_job());
    assert_eq!(started_jobs(&mut pool), [SMALL]);
}

#[test]
fn equal_steps_without_a_worker_do_not_keep_others_from_starting_however_many_they_are() {
    let mut pool = nearly_full_pool();
    let restricted = StepSpec {
        required_label: "b".into(),
        ..sized_step(100)
    };
    for id in 1..=2000 {
        pool.submit(id, job(vec![restricted.clone()]));
    }
    pool.submit(SMALL, small_job());
    assert_eq!(started_jobs(&mut pool), [SMALL]);
}

#[test]
fn steps_beyond_the_limit_of_their_team_do_not_keep_its_smaller_steps_from_starting() {
    let mut pool = Pool::new(&["one"]);
    pool.limit_cpu(&[("limited", 1000)]);
    for id in 1..=2000 {
        pool.submit_for_team(id, "limited", job(vec![sized_step(2000)]));
    }
    pool.submit_for_team(SMALL, "limited", small_job());
    assert_eq!(started_jobs(&mut pool), [SMALL]);
}

#[test]
fn steps_of_falling_sizes_without_room_do_not_keep_smaller_steps_from_starting() {
    let mut pool = nearly_full_pool();
    for id in 1..=2000 {
        let cpu_milli = 4000 - u32::try_from(id).unwrap();
        pool.submit(id, job(vec![sized_step(cpu_milli)]));
    }
    pool.submit(SMALL, small_job());
    assert_eq!(started_jobs(&mut pool), [SMALL]);
}

#[test]
fn steps_at_their_limits_on_each_worker_do_not_keep_other_steps_from_starting() {
    let mut pool = Pool::new(&["one"]);
    let limited = StepSpec {
        tasks: 2,
        max_per_worker: 1,
        ..sized_step(10)
    };
    for id in 1..=60 {
        pool.submit(id, job(vec![limited.clone()]));
    }
    while !started_jobs(&mut pool).is_empty() {}
    pool.submit(SMALL, small_job());
    assert_eq!(started_jobs(&mut pool), [SMALL]);
}
