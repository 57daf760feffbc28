//! Workers that crash under service tasks.

mod support;

use std::sync::Arc;

use scheduler::{JobStatus, Scheduler, SchedulerEvent, WorkerKey};
use submission::{
    AttemptOutcome, CrashEvidence, Job, JobId, JobRecord, JobState, StepSpec, TaskKey, TaskPhase,
    TaskRecord,
};
use support::crashes::{ALL_EVIDENCE, Evidence, Workers};
use support::{GRACE_MS, LEASE_MS, job, limits, service_step, starts, step, stops};

const SERVICE: JobId = JobId(7);

/// Lets a next owner take the pool over, which knows the recorded rows and the registry.
fn take_over(workers: &mut Workers) {
    let previous = std::mem::replace(&mut workers.pool.scheduler, Scheduler::new(limits()));
    let now = workers.pool.now();
    let scheduler = &mut workers.pool.scheduler;
    scheduler.set_workers(workers.infos.clone(), now);
    let recorded = previous.job(SERVICE).unwrap();
    let row = recorded.record();
    let restored = Job::new(SERVICE, "queue".into(), recorded.spec().clone(), 0);
    scheduler.adopt_job(restored.with_record(row), now);
}

/// Lets the next task of the job start, and returns its worker.
fn start_next(workers: &mut Workers) -> Option<(WorkerKey, TaskKey, u32)> {
    let commands = workers.pool.round();
    workers.pool.confirm_starts(&commands);
    starts(&commands).first().copied()
}

/// Lets the worker of an attempt report the attempt with this progress.
fn report(workers: &mut Workers, task: TaskKey, attempt: u32, id: &str, percent: u32) {
    let key = workers.pool.key(id);
    let info = workers.pool.scheduler.worker(key).unwrap().clone();
    let running = [(workers.pool.task_name(task), attempt, percent)];
    let start = info.start_unix_ms;
    workers.pool.report_since(start, id, &running, &[]);
}

fn crashes(workers: &Workers) -> u32 {
    let job = workers.pool.scheduler.job(SERVICE).unwrap();
    job.task(0).unwrap().crashes
}

/// The evidence for each task in the crashes since the last call.
fn evidence(workers: &mut Workers) -> Vec<CrashEvidence> {
    let events = workers.pool.scheduler.drain_events();
    let tasks = events.into_iter().flat_map(|event| match event {
        SchedulerEvent::Crashed { tasks, .. } => tasks,
        _ => Vec::new(),
    });
    tasks.map(|task| task.evidence).collect()
}

#[test]
fn a_service_task_that_ran_for_long_before_each_takeover_is_not_given_up() {
    for how in ALL_EVIDENCE {
        let mut workers = Workers::new(8);
        workers
            .pool
            .submit(SERVICE.0, job(vec![service_step(1, 0)]));
        for run_ms in [2800, 2600, 2800, 4000, 2800, 2800] {
            let (key, task, attempt) = start_next(&mut workers).expect("the task is started");
            let id = workers.pool.scheduler.worker(key).unwrap().id.clone();
            workers.pool.advance(run_ms);
            report(&mut workers, task, attempt, &id, 100);
            // The owner ends before it notices that the worker has crashed.
            workers.pool.advance(100);
            take_over(&mut workers);
            let key = workers.pool.key(&id);
            workers.crash(key, how);
            workers.pool.advance(3000);
        }
        let job = workers.pool.scheduler.job(SERVICE).unwrap();
        assert_eq!(job.state(), JobState::Running, "{how:?}");
    }
}

/// Lets a task of the step start as the third after two crashes, be taken over, report once with this progress, and then
/// crash its worker. Returns the evidence of this crash.
fn evidence_after_takeover(step: StepSpec, percent: u32) -> Vec<CrashEvidence> {
    let mut workers = Workers::new(8);
    workers.pool.submit(SERVICE.0, job(vec![step]));
    for _ in 0..2 {
        let (key, ..) = start_next(&mut workers).unwrap();
        workers.crash(key, Evidence::AnotherIdResponds);
        workers.pool.advance(3000);
    }
    let (key, task, attempt) = start_next(&mut workers).unwrap();
    let id = workers.pool.scheduler.worker(key).unwrap().id.clone();
    take_over(&mut workers);
    report(&mut workers, task, attempt, &id, percent);
    evidence(&mut workers);
    workers.crash(workers.pool.key(&id), Evidence::AnotherIdResponds);
    evidence(&mut workers)
}

#[test]
fn a_task_whose_progress_shows_that_it_has_run_for_long_is_a_less_likely_cause_after_a_takeover() {
    use CrashEvidence::{Conclusive, Late};
    let estimated = |estimated_duration_ms| StepSpec {
        estimated_duration_ms,
        ..step(1)
    };
    let with_checkpoints = StepSpec {
        has_checkpoints: true,
        ..estimated(5000)
    };
    for (step, percent, expected) in [
        (service_step(1, 0), 100, Late),
        (service_step(1, 0), 99, Conclusive),
        (estimated(5000), 40, Late),
        (estimated(5000), 39, Conclusive),
        // It may have taken a tenth of the estimate.
        (estimated(1900), 100, Conclusive),
        // It may have begun with a checkpoint of an earlier attempt.
        (with_checkpoints, 90, Conclusive),
    ] {
        let found = evidence_after_takeover(step.clone(), percent);
        assert_eq!(found, [expected], "{percent} {step:?}");
    }
}

#[test]
fn the_crashes_of_a_service_task_are_forgotten_when_it_has_run_for_five_seconds_under_two_owners() {
    for (before_ms, after_ms, expected) in [(3000, 2001, 0), (3000, 1900, 1), (100, 3000, 1)] {
        let mut workers = Workers::new(8);
        workers
            .pool
            .submit(SERVICE.0, job(vec![service_step(1, 0)]));
        let (key, ..) = start_next(&mut workers).unwrap();
        workers.crash(key, Evidence::AnotherIdResponds);
        // The task that has crashed a worker is started, and this is recorded.
        let (key, task, attempt) = start_next(&mut workers).unwrap();
        let id = workers.pool.scheduler.worker(key).unwrap().id.clone();
        report(&mut workers, task, attempt, &id, 0);
        workers.pool.round();
        workers.pool.advance(before_ms);
        take_over(&mut workers);
        assert_eq!(crashes(&workers), 1);
        workers.pool.advance(after_ms);
        report(&mut workers, task, attempt, &id, 100);
        assert_eq!(crashes(&workers), expected, "{before_ms} {after_ms}");
    }
}

#[test]
fn the_time_that_an_attempt_has_run_does_not_count_for_the_next() {
    let mut workers = Workers::new(8);
    workers
        .pool
        .submit(SERVICE.0, job(vec![service_step(1, 0)]));
    let mut started = 0;
    while started < 9 {
        let Some((key, task, attempt)) = start_next(&mut workers) else {
            break;
        };
        started += 1;
        let id = workers.pool.scheduler.worker(key).unwrap().id.clone();
        report(&mut workers, task, attempt, &id, 100);
        workers.pool.advance(3000);
        take_over(&mut workers);
        report(&mut workers, task, attempt, &id, 100);
        workers.crash(workers.pool.key(&id), Evidence::AnotherIdResponds);
        workers.pool.advance(3000);
    }
    assert_eq!(started, 5);
}

/// Lets a worker crash while the other workers go on. Another worker comes.
fn crash_alone(workers: &mut Workers, key: WorkerKey) {
    let now = workers.pool.now();
    let info = workers.pool.scheduler.worker(key).unwrap().clone();
    workers.infos.retain(|other| other.id != info.id);
    let scheduler = &mut workers.pool.scheduler;
    assert!(scheduler.worker_replaced(key, info.start_unix_ms, now));
    workers.add();
    let next = workers.infos.last().unwrap().clone();
    let infos = workers.infos.clone();
    workers.pool.scheduler.set_workers(infos, now);
    let start = next.start_unix_ms;
    workers.pool.report_since(start, &next.id, &[], &[]);
}

/// Plays a service of three tasks of which the first crashes each worker, until nothing starts. Returns the starts of
/// the first task, and all stops.
fn play_service(workers: &mut Workers, max_unavailable: u32) -> (usize, usize) {
    let service = job(vec![service_step(3, max_unavailable)]);
    workers.pool.submit(SERVICE.0, service);
    let (mut deadly_starts, mut all_stops) = (0, 0);
    let mut running = Vec::new();
    for _ in 0..20 {
        let commands = workers.pool.round();
        all_stops += stops(&commands).len();
        workers.pool.confirm_starts(&commands);
        workers.pool.advance(10);
        for (key, task, attempt) in starts(&commands) {
            if task.index == 0 {
                deadly_starts += 1;
                crash_alone(workers, key);
            } else {
                let id = workers.pool.scheduler.worker(key).unwrap().id.clone();
                running.push((id, task, attempt));
            }
        }
        for (id, task, attempt) in &running {
            report(workers, *task, *attempt, id, 100);
        }
        workers.pool.advance(500);
    }
    assert_eq!(running.len(), 2, "the other tasks start once");
    (deadly_starts, all_stops)
}

/// The number of workers that run a task of the service at 100 %.
fn service_workers(workers: &mut Workers) -> usize {
    let now = workers.pool.now();
    workers.pool.scheduler.demand(now).service_workers.len()
}

#[test]
fn a_service_whose_task_crashes_workers_keeps_its_other_tasks() {
    let mut workers = Workers::new(8);
    let (started, stopped) = play_service(&mut workers, 1);
    assert_eq!((started, stopped), (3, 0));
    let state = workers.state(SERVICE);
    assert_eq!(state, JobStatus::Recorded(JobState::Running));
    assert_eq!(service_workers(&mut workers), 2);
    let events = workers.pool.scheduler.drain_events();
    let held = events.into_iter().filter_map(|event| match event {
        SchedulerEvent::Held {
            task,
            crashes,
            counts,
        } => Some((task, crashes, counts.len())),
        SchedulerEvent::GivenUp { task, .. } => panic!("{task} is given up"),
        _ => None,
    });
    let name = workers.pool.task_name(TaskKey {
        job: SERVICE,
        index: 0,
    });
    assert_eq!(held.collect::<Vec<_>>(), [(name, 3, 3)]);
    // A failed end of another task starts it again, as before.
    let ended = workers
        .pool
        .scheduler
        .job(SERVICE)
        .unwrap()
        .task(1)
        .unwrap()
        .clone();
    let TaskPhase::Assigned { worker: id } = ended.phase else {
        panic!("{ended:?}");
    };
    let key = workers.pool.key(&id);
    let start = workers.pool.scheduler.worker(key).unwrap().start_unix_ms;
    let name = workers.pool.task_name(TaskKey {
        job: SERVICE,
        index: 1,
    });
    let end = [(1, name, ended.attempt, AttemptOutcome::Failed)];
    workers.pool.report_since(start, &id, &[], &end);
    let started = starts(&workers.pool.round());
    assert_eq!(
        started
            .iter()
            .map(|(_, task, _)| task.index)
            .collect::<Vec<_>>(),
        [1]
    );
}

#[test]
fn a_held_task_of_a_service_is_held_by_the_next_owner_and_until_the_job_is_cancelled() {
    let mut workers = Workers::new(8);
    play_service(&mut workers, 1);
    take_over(&mut workers);
    let now = workers.pool.now();
    for info in workers.infos.clone() {
        let assigned = workers.pool.scheduler.job(SERVICE).unwrap().clone();
        let here = assigned.tasks().find_map(|(index, task)| {
            let is_here =
                matches!(&task.phase, TaskPhase::Assigned { worker } if *worker == info.id);
            is_here.then(|| (assigned.task_name(index), task.attempt, 100))
        });
        let running: Vec<_> = here.into_iter().collect();
        workers
            .pool
            .report_since(info.start_unix_ms, &info.id, &running, &[]);
    }
    assert_eq!(service_workers(&mut workers), 2);
    for _ in 0..20 {
        assert_eq!(starts(&workers.pool.round()), []);
        workers.pool.advance(100);
    }
    assert_eq!(
        workers.pool.scheduler.job(SERVICE).unwrap().state(),
        JobState::Running
    );
    workers.pool.scheduler.cancel(SERVICE, now);
    let commands = workers.pool.round();
    assert_eq!((starts(&commands).len(), stops(&commands).len()), (0, 2));
    assert_eq!(
        workers.state(SERVICE),
        JobStatus::Recorded(JobState::Cancelled)
    );
}

#[test]
fn a_held_task_of_a_service_asks_for_no_worker_and_does_not_count_as_waiting() {
    let mut workers = Workers::new(8);
    workers.pool.limit_cpu(&[("team", 100_000)]);
    play_service(&mut workers, 1);
    let now = workers.pool.now();
    let scheduler = &mut workers.pool.scheduler;
    assert_eq!(scheduler.ready_steps(), 0);
    assert_eq!(scheduler.first_ready_task(), None);
    // Each of the three would need a worker of its own.
    assert_eq!(scheduler.demand(now).service_demand_workers, 2);
    assert_eq!(scheduler.demand(now).urgent_demand_workers, 2);
}

/// Drains the workers of a service with a held task. Returns the number of tasks that are stopped.
fn stops_of_drain(max_unavailable: u32) -> usize {
    let mut workers = Workers::new(8);
    play_service(&mut workers, max_unavailable);
    let now = workers.pool.now();
    let ids = workers.pool.scheduler.demand(now).service_workers;
    for id in ids {
        let key = workers.pool.key(&id);
        workers.pool.scheduler.drain(key, now);
    }
    stops(&workers.pool.round()).len()
}

#[test]
fn a_held_task_counts_as_unavailable_but_does_not_block_drains_of_services_without_a_limit() {
    assert_eq!(stops_of_drain(1), 0);
    assert_eq!(stops_of_drain(2), 1);
    assert_eq!(stops_of_drain(0), 1);
}

#[test]
fn a_start_that_waits_for_the_store_is_not_sent_once_its_service_task_is_held() {
    let mut workers = Workers::new(8);
    workers
        .pool
        .submit(SERVICE.0, job(vec![service_step(1, 0)]));
    for _ in 0..2 {
        let (key, ..) = start_next(&mut workers).unwrap();
        workers.crash(key, Evidence::AnotherIdResponds);
        workers.pool.advance(11_000);
    }
    // The leases on a silent worker expire, and only then it turns out to have crashed.
    let (key, ..) = start_next(&mut workers).unwrap();
    let start = workers.pool.scheduler.worker(key).unwrap().start_unix_ms;
    workers.pool.scheduler.mark_unresponsive(key);
    workers.pool.advance(GRACE_MS + 2 * LEASE_MS);
    let (next, task, attempt) = starts(&workers.pool.round())[0];
    assert!(workers.pool.scheduler.may_start(next, task, attempt));
    let now = workers.pool.now();
    assert!(workers.pool.scheduler.worker_replaced(key, start, now));
    assert!(!workers.pool.scheduler.may_start(next, task, attempt));
}

#[test]
fn a_service_task_that_is_held_while_it_waits_does_not_wait_any_more() {
    let mut workers = Workers::new(8);
    workers
        .pool
        .submit(SERVICE.0, job(vec![service_step(1, 0)]));
    for _ in 0..2 {
        let (key, ..) = start_next(&mut workers).unwrap();
        workers.crash(key, Evidence::AnotherIdResponds);
        workers.pool.advance(11_000);
    }
    let (key, ..) = start_next(&mut workers).unwrap();
    let start = workers.pool.scheduler.worker(key).unwrap().start_unix_ms;
    workers.pool.scheduler.mark_unresponsive(key);
    workers.pool.advance(GRACE_MS + 2 * LEASE_MS);
    assert_eq!(workers.pool.scheduler.ready_steps(), 1);
    let now = workers.pool.now();
    assert!(workers.pool.scheduler.worker_replaced(key, start, now));
    assert_eq!(workers.pool.scheduler.ready_steps(), 0);
    assert_eq!(starts(&workers.pool.round()), []);
}

#[test]
fn a_gang_of_a_service_is_not_started_without_its_held_task() {
    let mut workers = Workers::new(4);
    let gang = StepSpec {
        is_gang: true,
        ..service_step(2, 0)
    };
    workers.pool.submit(SERVICE.0, job(vec![gang]));
    let started = workers.play(Evidence::AnotherIdResponds, |id| id == SERVICE);
    assert!((6..=10).contains(&started.len()), "{}", started.len());
    assert_eq!(
        workers.state(SERVICE),
        JobStatus::Recorded(JobState::Running)
    );
    assert_eq!(workers.pool.scheduler.ready_steps(), 0);
}

#[test]
fn a_service_task_does_not_wait_for_a_stable_worker_that_other_service_tasks_fill() {
    let mut workers = Workers::new(2);
    let mut filling = service_step(1, 0);
    filling.needs.cpu_milli = workers.infos[0].capacity.cpu_milli;
    workers.pool.submit(8, job(vec![filling]));
    let (full, ..) = start_next(&mut workers).unwrap();
    workers
        .pool
        .submit(SERVICE.0, job(vec![service_step(1, 0)]));
    for start in 100..102 {
        let (key, ..) = start_next(&mut workers).unwrap();
        assert_ne!(key, full);
        // Only this worker restarts and reports.
        let id = workers.pool.scheduler.worker(key).unwrap().id.clone();
        let mut infos = workers.infos.iter_mut();
        infos.find(|info| info.id == id).unwrap().start_unix_ms = Some(start);
        let (infos, now) = (workers.infos.clone(), workers.pool.now());
        workers.pool.scheduler.set_workers(infos, now);
        workers.pool.advance(10);
        workers.pool.report_since(Some(start), &id, &[], &[]);
    }
    assert_eq!(crashes(&workers), 2);
    assert!(start_next(&mut workers).is_some());
}

#[test]
fn service_tasks_do_not_wait_while_many_others_are_isolated() {
    let mut workers = Workers::new(12);
    for id in 1..=12 {
        let record = JobRecord {
            tasks: vec![TaskRecord(2, 0, false, "".into(), "".into())],
            crashes: vec![(0, 2)],
            ..JobRecord::default()
        };
        let spec = Arc::new(job(vec![service_step(1, 0)]));
        let suspect = Job::new(JobId(id), "queue".into(), spec, 0).with_record(record);
        let now = workers.pool.now();
        workers.pool.scheduler.adopt_job(suspect, now);
    }
    let started = starts(&workers.pool.round());
    assert_eq!(started.len(), 12);
    let mut on: Vec<_> = started.iter().map(|(worker, ..)| *worker).collect();
    on.sort();
    on.dedup();
    assert_eq!(on.len(), 12, "suspects are neighbours");
}
