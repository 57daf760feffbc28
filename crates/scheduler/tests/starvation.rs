//! Steps that can't be placed now keep no others waiting, however many they are and whatever they ask for.

mod support;

use std::collections::HashMap;

use scheduler::{PolicyRules, QueueRules};
use smol_str::format_smolstr;
use submission::{AttemptOutcome, JobId, JobSpec, StepSpec, TaskKey};
use support::{Pool, job, sized_step, started_jobs, starts};

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

/// Guards against: a round ends after 500 steps, and begins with the same ones again.
#[test]
fn equal_steps_without_room_do_not_keep_smaller_steps_from_starting_however_many_they_are() {
    let mut pool = nearly_full_pool();
    for id in 1..=2000 {
        pool.submit(id, job(vec![sized_step(2000)]));
    }
    pool.submit(SMALL, small_job());
    assert_eq!(started_jobs(&mut pool), [SMALL]);
}

/// Guards against: steps of one kind are visited one by one, and a round ends before it comes to the others.
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

/// Guards against: a round passes over a team after 200 of its steps, and begins with the same ones again.
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

/// Guards against: `review/11`: each round ends after 24 steps without room, the same ones.
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

/// Guards against: a round ends after 24 steps that no worker may run, although others ask for room alone.
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

/// Guards against: a gang that doesn't fit uses up the lookups of a round.
#[test]
fn large_gangs_without_room_do_not_keep_a_limited_step_from_starting() {
    let names: Vec<_> = (0..30).map(|number| format!("w-{number}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut pool = Pool::new(&names);
    for id in 1..=100 {
        let mut gang = StepSpec {
            tasks: 1400,
            is_gang: true,
            ..sized_step(1000)
        };
        gang.needs.memory_mb += u32::try_from(id).unwrap();
        pool.submit(id, job(vec![gang]));
    }
    let limited = StepSpec {
        max_per_worker: 1,
        ..sized_step(500)
    };
    pool.submit(SMALL, job(vec![limited]));
    assert_eq!(started_jobs(&mut pool), [SMALL]);
}

/// Guards against: steps that were looked up in vain come first again as soon as their job changes.
///
/// Of 400 workers, 150 steps of a job are authorized for a full one, and the step behind them for another. Ends of tasks of the
/// first step change the job between the rounds.
#[test]
fn a_step_with_a_worker_is_reached_behind_steps_without_one_although_their_job_changes() {
    let names: Vec<_> = (0..400).map(|number| format!("w-{number}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut pool = Pool::new(&names);
    let rules = QueueRules {
        priority: 0,
        max_failures: 2,
        latency_objective_factor: 1.5,
        latency_objective_base_ms: 600,
        policy: Some(PolicyRules::default()),
    };
    pool.scheduler
        .set_queue_rules(HashMap::from([("queue".into(), rules)]));
    let filling = pool.submit(0, job(vec![sized_step(4000)]));
    authorize(&mut pool, filling, 0, "w-0");
    assert_eq!(started_jobs(&mut pool), [0]);

    let ending = StepSpec {
        tasks: 10,
        ..sized_step(1)
    };
    let mut steps = vec![ending];
    steps.extend(vec![sized_step(500); 151]);
    let id = pool.submit(1, job(steps));
    authorize(&mut pool, id, 0, "w-1");
    for index in 10..160 {
        authorize(&mut pool, id, index, "w-0");
    }
    authorize(&mut pool, id, 160, "w-2");
    let first = starts(&pool.round());
    assert_eq!(first.len(), 10);
    let end = (1, pool.task_name(first[0].1), 1, AttemptOutcome::Done);
    pool.report("w-1", &[], &[end]);
    let second = starts(&pool.round());
    assert!(second.contains(&(
        pool.key("w-2"),
        TaskKey {
            job: id,
            index: 160
        },
        1
    )));
}

/// Authorizes a worker for the step of a task.
fn authorize(pool: &mut Pool, job: JobId, index: u32, worker: &str) {
    let allowed = vec![(worker.into(), format_smolstr!("token"))];
    let now = pool.now();
    pool.scheduler
        .apply_policy_decision(TaskKey { job, index }, allowed, 60_000, now);
}
