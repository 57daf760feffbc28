//! Workers that crash under service tasks.

mod support;

use scheduler::{Scheduler, SchedulerEvent, WorkerKey};
use submission::{CrashEvidence, Job, JobId, JobState, StepSpec, TaskKey};
use support::crashes::{ALL_EVIDENCE, Evidence, Workers};
use support::{job, limits, service_step, starts, step};

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
