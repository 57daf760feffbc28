//! Workers whose capacity shrinks and grows while tasks run there.

mod support;

use scheduler::{StartOutcome, WorkerInfo};
use smol_str::SmolStr;
use submission::{AttemptOutcome, Resources, StepSpec, TaskKey};
use support::{Pool, job, sized_step, starts, step, stops, worker};

/// Sets the capacity in the registry entry of the worker `one`, in thousandths of a core.
fn set_cpu(pool: &mut Pool, cpu_milli: u32) {
    pool.scheduler
        .set_workers(vec![entry(cpu_milli)], pool.now());
}

fn entry(cpu_milli: u32) -> WorkerInfo {
    let entry = worker("one");
    let capacity = Resources {
        cpu_milli,
        ..entry.capacity
    };
    WorkerInfo { capacity, ..entry }
}

/// Submits a job of `tasks` tasks of a core each and starts those that fit. Returns their names.
fn start_tasks(pool: &mut Pool, id: u64, tasks: u32) -> Vec<SmolStr> {
    pool.submit(id, job(vec![step(tasks)]));
    let commands = pool.round();
    let started = pool.confirm_starts(&commands);
    let names = started.iter().map(|(_, task, _)| pool.task_name(*task));
    names.collect()
}

#[test]
fn a_start_that_was_recorded_before_the_capacity_shrank_is_not_sent() {
    let mut pool = Pool::new(&["one"]);
    start_tasks(&mut pool, 1, 1);
    pool.submit(2, job(vec![step(3)]));
    let planned = starts(&pool.round());
    assert_eq!(planned.len(), 3);
    set_cpu(&mut pool, 2000);
    let mut sent = 0;
    for (worker, task, attempt) in planned {
        if pool.scheduler.fits_capacity(worker) {
            sent += 1;
            pool.apply_start(worker, task, attempt, StartOutcome::Started);
        } else {
            pool.apply_start(worker, task, attempt, StartOutcome::NoFreeCapacity);
        }
    }
    assert_eq!(sent, 1, "one core is left beside the running task");
    assert!(starts(&pool.round()).is_empty());
    pool.advance(500);
    set_cpu(&mut pool, 4000);
    assert_eq!(
        starts(&pool.round()).len(),
        2,
        "the capacity has grown again"
    );
}

#[test]
fn an_attempt_that_is_being_stopped_counts_until_a_report_does_not_list_it() {
    let unassigned = StepSpec {
        required_label: "none".into(),
        ..step(1)
    };
    let cases = [
        ("of a known task", Some(unassigned), 3),
        ("of an unknown task", None, 0),
    ];
    for (name, known_step, startable) in cases {
        let mut pool = Pool::new(&["one"]);
        let mut stopping = SmolStr::new("00000000000000ff.0.0.0");
        if let Some(step) = known_step {
            let job = pool.submit(1, job(vec![step]));
            stopping = pool.task_name(TaskKey { job, index: 0 });
        }
        pool.advance(10);
        pool.report("one", &[(stopping.clone(), 7, 50)], &[]);
        pool.submit(2, job(vec![step(4)]));
        let commands = pool.round();
        assert_eq!(stops(&commands), [(stopping, 7)], "{name}");
        let started = pool.confirm_starts(&commands);
        assert_eq!(started.len(), startable, "{name}");
        let key = pool.key("one");
        let plan = pool.scheduler.lease_renewal_plan(key, pool.now());
        assert!(
            plan.is_some_and(|plan| plan.is_busy && plan.is_polled_often),
            "{name}"
        );
        pool.advance(300);
        let running = started.iter();
        let running: Vec<_> = running
            .map(|(_, task, attempt)| (pool.task_name(*task), *attempt, 50))
            .collect();
        pool.report("one", &running, &[]);
        assert_eq!(starts(&pool.round()).len(), 4 - startable, "{name}");
    }
}

#[test]
fn a_worker_over_its_shrunk_capacity_gets_no_task_until_enough_have_ended() {
    let best_effort = StepSpec {
        is_best_effort: true,
        ..step(1)
    };
    for (name, next) in [
        ("a small task", sized_step(100)),
        ("a best-effort task", best_effort),
    ] {
        let mut pool = Pool::new(&["one"]);
        let names = start_tasks(&mut pool, 1, 3);
        set_cpu(&mut pool, 2500);
        pool.submit(2, job(vec![next]));
        let commands = pool.round();
        assert!(starts(&commands).is_empty(), "{name}");
        assert!(
            stops(&commands).is_empty(),
            "{name}: no work is thrown away"
        );
        pool.advance(500);
        let running = [(names[1].clone(), 1, 50), (names[2].clone(), 1, 50)];
        let done = (1, names[0].clone(), 1, AttemptOutcome::Done);
        pool.report("one", &running, &[done]);
        assert_eq!(starts(&pool.round()).len(), 1, "{name}");
    }
}

#[test]
fn a_job_that_fits_no_worker_while_the_capacity_is_small_starts_when_it_has_grown_again() {
    let mut pool = Pool::new(&["one"]);
    set_cpu(&mut pool, 1000);
    let large = pool.submit(1, job(vec![sized_step(3000)]));
    let small = pool.submit(2, job(vec![sized_step(500)]));
    let commands = pool.round();
    let started = pool.confirm_starts(&commands);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].1.job, small);
    for _ in 0..100 {
        pool.advance(1000);
        pool.report("one", &[(pool.task_name(started[0].1), 1, 50)], &[]);
        assert!(starts(&pool.round()).is_empty());
    }
    assert!(!pool.has_ended(large));
    set_cpu(&mut pool, 4000);
    let commands = pool.round();
    let started = starts(&commands);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].1.job, large);
}

#[test]
fn a_worker_without_any_capacity_gets_no_task_and_is_used_when_it_has_grown() {
    let mut pool = Pool::new(&["one"]);
    set_cpu(&mut pool, 0);
    pool.submit(1, job(vec![step(2)]));
    assert!(starts(&pool.round()).is_empty());
    set_cpu(&mut pool, 1500);
    assert_eq!(starts(&pool.round()).len(), 1);
}

#[test]
fn a_worker_that_restarted_as_another_kind_gets_no_task_until_its_new_entry_is_read() {
    const STARTS: [Option<u64>; 2] = [Some(1_785_000_000_000), Some(1_785_000_060_000)];
    let mut pool = Pool::new(&["one"]);
    let entry = |start_unix_ms, cpu_milli| WorkerInfo {
        start_unix_ms,
        ..entry(cpu_milli)
    };
    pool.scheduler
        .set_workers(vec![entry(STARTS[0], 4000)], pool.now());
    pool.report_since(STARTS[0], "one", &[], &[]);
    pool.report_since(STARTS[1], "one", &[], &[]);
    pool.submit(1, job(vec![step(4)]));
    assert!(
        starts(&pool.round()).is_empty(),
        "the capacity is that of the previous incarnation"
    );
    pool.scheduler
        .set_workers(vec![entry(STARTS[1], 1000)], pool.now());
    assert_eq!(starts(&pool.round()).len(), 1);
}

#[test]
fn a_recorded_start_is_not_sent_to_a_worker_that_its_entry_does_not_allow_any_more() {
    const START: Option<u64> = Some(1_785_000_000_000);
    let listed = WorkerInfo {
        start_unix_ms: START,
        ..worker("one")
    };
    let restarted = WorkerInfo {
        start_unix_ms: START.map(|start| start + 60_000),
        ..listed.clone()
    };
    let other_kind = WorkerInfo {
        labels: vec!["b".into(), "rack-1".into()],
        ..listed.clone()
    };
    let shutting_down = WorkerInfo {
        is_shutting_down: true,
        ..listed.clone()
    };
    let cases = [
        ("unchanged", vec![listed.clone()], true),
        ("left", vec![], false),
        ("restarted", vec![restarted], false),
        ("of another kind", vec![other_kind], false),
        ("shutting down", vec![shutting_down], false),
    ];
    for (name, entries, may_start) in cases {
        let mut pool = Pool::new(&["one"]);
        pool.scheduler.set_workers(vec![listed.clone()], pool.now());
        pool.report_since(START, "one", &[], &[]);
        let labelled = StepSpec {
            required_label: "a".into(),
            ..step(1)
        };
        pool.submit(1, job(vec![labelled]));
        let (key, task, attempt) = starts(&pool.round())[0];
        pool.scheduler.set_workers(entries, pool.now());
        assert_eq!(
            pool.scheduler.may_start(key, task, attempt),
            may_start,
            "{name}"
        );
    }
}
