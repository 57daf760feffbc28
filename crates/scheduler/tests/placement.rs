//! Placement of tasks, draining, and blocklisting of workers.

mod support;

use scheduler::DRAIN_LEASE_MS;
use submission::{AttemptOutcome, JobId, Resources, StepSpec};
use support::{Pool, job, service_step, sized_step, starts, step, stops};

struct Case {
    name: &'static str,
    steps: Vec<StepSpec>,
    workers: &'static [&'static str],
    started: usize,
}

fn check(case: Case) {
    let mut pool = Pool::new(case.workers);
    pool.submit(1, job(case.steps));
    let started = starts(&pool.round());
    assert_eq!(started.len(), case.started, "{}", case.name);
}

#[test]
fn tasks_start_where_they_fit() {
    let big = Resources {
        cpu_milli: 5000,
        memory_mb: 1,
        gpus: 0,
    };
    check(Case {
        name: "all fit",
        steps: vec![step(4)],
        workers: &["one"],
        started: 4,
    });
    check(Case {
        name: "only as many as fit",
        steps: vec![step(6)],
        workers: &["one"],
        started: 4,
    });
    check(Case {
        name: "too large",
        steps: vec![StepSpec {
            needs: big,
            ..step(1)
        }],
        workers: &["one"],
        started: 0,
    });
    check(Case {
        name: "a step that depends on another",
        steps: vec![
            step(1),
            StepSpec {
                dependencies: vec![0],
                ..step(1)
            },
        ],
        workers: &["one"],
        started: 1,
    });
    check(Case {
        name: "one task per worker",
        steps: vec![StepSpec {
            max_per_worker: 1,
            ..step(3)
        }],
        workers: &["one", "two"],
        started: 2,
    });
    check(Case {
        name: "a label that no worker has",
        steps: vec![StepSpec {
            required_label: "b".into(),
            ..step(1)
        }],
        workers: &["one"],
        started: 0,
    });
    check(Case {
        name: "a gang that fits",
        steps: vec![StepSpec {
            is_gang: true,
            ..step(5)
        }],
        workers: &["one", "two"],
        started: 5,
    });
    check(Case {
        name: "a gang that does not fit",
        steps: vec![StepSpec {
            is_gang: true,
            ..step(9)
        }],
        workers: &["one", "two"],
        started: 0,
    });
    check(Case {
        name: "a best-effort task on a full worker",
        steps: vec![
            step(4),
            StepSpec {
                is_best_effort: true,
                ..step(1)
            },
        ],
        workers: &["one"],
        started: 5,
    });
}

#[test]
fn draining_stops_at_most_one_service_task_of_a_step_before_reports_show_them_available() {
    let mut pool = Pool::new(&["one", "two", "three"]);
    pool.submit(1, job(vec![service_step(2, 1)]));
    let commands = pool.round();
    let started = pool.confirm_starts(&commands);
    let keys: Vec<_> = started
        .iter()
        .map(|(worker, _, _)| pool.key(worker))
        .collect();
    // The last reports showed neither task as available; both may be available now.
    for key in &keys {
        pool.scheduler.drain(*key, pool.now());
    }
    assert!(stops(&pool.round()).len() <= 1);
}

#[test]
fn a_drain_leaves_a_service_task_running_until_it_has_room_elsewhere() {
    let mut pool = Pool::new(&["one", "two"]);
    pool.submit(1, job(vec![service_step(2, 1)]));
    let commands = pool.round();
    let started = pool.confirm_starts(&commands);
    for (worker, task, attempt) in &started {
        let name = pool.task_name(*task);
        pool.report(worker, &[(name, *attempt, 100)], &[]);
    }
    let drained = pool.key(&started[0].0);
    let demand = |pool: &mut Pool| pool.scheduler.demand(pool.now()).service_demand_workers;
    assert_eq!(demand(&mut pool), 2);
    pool.scheduler.drain(drained, pool.now());
    assert_eq!(stops(&pool.round()).len(), 0);
    assert_eq!(demand(&mut pool), 2, "one usable, and one to move to");
    pool.set_registry(&["one", "two", "three"]);
    pool.report("three", &[], &[]);
    pool.scheduler.drain(drained, pool.now());
    assert_eq!(stops(&pool.round()).len(), 1);
}

/// Two tasks of a size of which a worker holds one.
#[test]
fn a_pool_wants_a_worker_for_a_service_task_that_fits_on_no_other_while_its_worker_is_drained() {
    let mut pool = Pool::new(&["one", "two"]);
    let mut large = service_step(2, 1);
    large.max_per_worker = 0;
    large.needs.memory_mb = 5000;
    pool.submit(1, job(vec![large]));
    let commands = pool.round();
    for (worker, task, attempt) in pool.confirm_starts(&commands) {
        let name = pool.task_name(task);
        pool.report(&worker, &[(name, attempt, 100)], &[]);
    }
    assert_eq!(
        pool.scheduler.demand(pool.now()).service_demand_workers,
        1,
        "by CPU"
    );
    let (one, two) = (pool.key("one"), pool.key("two"));
    pool.scheduler.drain(one, pool.now());
    assert_eq!(pool.scheduler.demand(pool.now()).service_demand_workers, 2);
    pool.scheduler.drain(two, pool.now());
    assert_eq!(pool.scheduler.demand(pool.now()).service_demand_workers, 2);
    assert_eq!(stops(&pool.round()).len(), 0);
}

#[test]
fn a_service_task_leaves_a_drained_worker_for_one_that_is_full_of_batch_tasks() {
    let mut pool = Pool::new(&["one"]);
    pool.submit(1, job(vec![service_step(1, 1)]));
    let commands = pool.round();
    let started = pool.confirm_starts(&commands);
    let (worker, task, attempt) = &started[0];
    let name = pool.task_name(*task);
    pool.report(worker, &[(name, *attempt, 100)], &[]);
    pool.set_registry(&["one", "two"]);
    pool.report("two", &[], &[]);
    pool.submit(2, job(vec![step(8)]));
    assert_eq!(starts(&pool.round()).len(), 7, "both workers are full");
    let drained = pool.key("one");
    pool.scheduler.drain(drained, pool.now());
    assert_eq!(stops(&pool.round()).len(), 1);
}

#[test]
fn service_tasks_go_to_workers_without_due_maintenance() {
    let mut pool = Pool::new(&["one", "two", "three", "four"]);
    pool.scheduler
        .set_maintenance_due(&["one".into(), "three".into(), "unknown".into()]);
    pool.submit(1, job(vec![service_step(2, 1)]));
    let commands = pool.round();
    let mut workers: Vec<_> = pool
        .confirm_starts(&commands)
        .into_iter()
        .map(|(worker, _, _)| worker)
        .collect();
    workers.sort();
    assert_eq!(workers, ["four", "two"]);
}

#[test]
fn steps_that_no_worker_can_run_do_not_keep_later_steps_from_idle_workers() {
    let mut pool = Pool::new(&["one", "two"]);
    for id in 1..=100 {
        let unplaceable = StepSpec {
            required_label: "b".into(),
            ..step(1)
        };
        pool.submit(id, job(vec![unplaceable]));
    }
    assert_eq!(starts(&pool.round()).len(), 0);
    // The jobs are too late by now, as the ones before them are.
    pool.now_ms += 60_000;
    for name in ["one", "two"] {
        pool.report(name, &[], &[]);
    }
    pool.submit(101, job(vec![step(1)]));
    pool.now_ms += 60_000;
    for name in ["one", "two"] {
        pool.report(name, &[], &[]);
    }
    let mut started = 0;
    for _ in 0..10 {
        started += starts(&pool.round()).len();
        pool.now_ms += 100;
    }
    assert_eq!(started, 1);
}

#[test]
fn a_pool_wants_a_worker_for_each_service_task_that_may_not_share_one() {
    let mut pool = Pool::new(&["one", "two"]);
    pool.submit(1, job(vec![service_step(5, 1)]));
    let _ = pool.round();
    assert_eq!(pool.scheduler.demand(pool.now()).total_demand_workers, 5);
}

#[test]
fn a_job_fails_when_a_task_has_failed_as_often_as_its_queue_allows() {
    let mut pool = Pool::new(&["one"]);
    let id = pool.submit(1, job(vec![step(1)]));
    for number in 1..=2 {
        let commands = pool.round();
        let (_, task, attempt) = pool.confirm_starts(&commands)[0].clone();
        let name = pool.task_name(task);
        pool.advance(10);
        pool.report(
            "one",
            &[],
            &[(number, name, attempt, AttemptOutcome::Failed)],
        );
    }
    assert!(starts(&pool.round()).is_empty());
    assert!(pool.scheduler.job(id).unwrap().has_ended());
}

#[test]
fn a_job_id_is_not_accepted_twice() {
    let mut pool = Pool::new(&["one"]);
    pool.submit(1, job(vec![step(1)]));
    let _ = pool.round();
    pool.submit(1, job(vec![step(4)]));
    assert!(starts(&pool.round()).is_empty());
    assert_eq!(pool.scheduler.job(JobId(1)).unwrap().tasks().count(), 1);
}

/// Reports failed attempts of jobs, as (job, number of failures), on the only listed worker. Returns whether the worker
/// is still given tasks.
fn is_used_after_failures(failures: &[(u64, u32)]) -> bool {
    let mut pool = Pool::new(&["one", "two", "three"]);
    // The other workers get no tasks, but count for the limit by which one worker of three may be blocklisted.
    pool.set_registry(&["one"]);
    let mut number = 0;
    for (id, times) in failures {
        pool.submit(*id, job(vec![step(1)]));
        for _ in 0..*times {
            let commands = pool.round();
            let Some((_, task, attempt)) = pool.confirm_starts(&commands).first().cloned() else {
                return false;
            };
            let name = pool.task_name(task);
            pool.advance(10);
            number += 1;
            pool.report(
                "one",
                &[],
                &[(number, name, attempt, AttemptOutcome::Failed)],
            );
        }
        pool.scheduler.cancel(JobId(*id), pool.now());
    }
    pool.submit(99, job(vec![step(1)]));
    !starts(&pool.round()).is_empty()
}

#[test]
fn a_worker_is_blocklisted_for_failures_of_different_jobs_and_not_for_jobs_that_fail_anywhere() {
    assert!(is_used_after_failures(&[(1, 2)]));
    assert!(is_used_after_failures(&[(1, 2), (2, 2)]));
    assert!(!is_used_after_failures(&[(1, 1), (2, 1), (3, 1)]));
}

#[test]
fn a_worker_is_used_again_after_its_drain_lease_ends() {
    let mut pool = Pool::new(&["one"]);
    let key = pool.key("one");
    pool.scheduler.drain(key, pool.now());
    pool.submit(1, job(vec![step(1)]));
    assert!(starts(&pool.round()).is_empty());
    // The leader that asked for the drain does not renew the drain lease.
    pool.advance(DRAIN_LEASE_MS);
    assert_eq!(starts(&pool.round()).len(), 1);
}

#[test]
fn a_task_size_that_fits_nowhere_does_not_block_smaller_tasks_or_tasks_without_its_constraints() {
    let labelled = StepSpec {
        required_label: "no worker has this".into(),
        ..sized_step(1000)
    };
    let mut pool = Pool::new(&["one"]);
    pool.submit(1, job(vec![sized_step(3000)]));
    pool.round();
    pool.submit(2, job(vec![sized_step(2000)]));
    pool.submit(3, job(vec![labelled]));
    pool.submit(4, job(vec![sized_step(2500)]));
    pool.submit(5, job(vec![sized_step(1000)]));
    let started: Vec<_> = starts(&pool.round())
        .iter()
        .map(|start| start.1.job)
        .collect();
    assert_eq!(started, [JobId(5)]);
}
