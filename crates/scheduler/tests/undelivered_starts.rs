//! Starts that reached no worker, and starts of which that is not known yet, do not count towards the crashes under a task.

mod support;

use scheduler::{JobStatus, Scheduler, StartOutcome, WorkerKey};
use submission::{Job, JobId, JobState, TaskKey};
use support::crashes::{ALL_EVIDENCE, Evidence, Workers};
use support::{LEASE_MS, Pool, job, limits, service_step, starts, step};

/// More workers than may crash under a task.
const ROUNDS: usize = 9;

const JOB: JobId = JobId(7);

const FAILED: JobStatus = JobStatus::Recorded(JobState::Failed);

/// Starts the task of [`JOB`]; `None` when it is not started any more.
fn start_task(workers: &mut Workers) -> Option<(WorkerKey, TaskKey, u32)> {
    starts(&workers.pool.round()).first().copied()
}

fn send_start(workers: &mut Workers, (key, task, _): (WorkerKey, TaskKey, u32)) {
    let now = workers.pool.now();
    workers.pool.scheduler.grant_start_lease(key, task, now);
}

fn end_start(workers: &mut Workers, start: (WorkerKey, TaskKey, u32), outcome: StartOutcome) {
    let now = workers.pool.now();
    let scheduler = &mut workers.pool.scheduler;
    scheduler.apply_start_outcome(start.0, start.1, start.2, outcome, None, now);
}

#[test]
fn a_task_whose_starts_reach_no_worker_is_never_given_up() {
    for evidence in ALL_EVIDENCE {
        for step in [step(1), service_step(1, 0)] {
            let mut workers = Workers::new(4);
            workers.pool.submit(JOB.0, job(vec![step]));
            for round in 0..ROUNDS {
                let start = start_task(&mut workers);
                let start = start.unwrap_or_else(|| panic!("{evidence:?}: no start {round}"));
                send_start(&mut workers, start);
                end_start(&mut workers, start, StartOutcome::NotDelivered);
                workers.crash(start.0, evidence);
            }
            assert_ne!(workers.state(JOB), FAILED, "{evidence:?}");
        }
    }
}

/// Lets workers crash while the start of the task of [`JOB`] is on its way, as long as it is started. Returns the number of
/// starts, at most [`ROUNDS`].
fn crash_during_starts(workers: &mut Workers, evidence: Evidence, outcome: StartOutcome) -> usize {
    for count in 0..ROUNDS {
        let Some(start) = start_task(workers) else {
            return count;
        };
        let (key, task, attempt) = start;
        send_start(workers, start);
        let info = workers.pool.scheduler.worker(key).unwrap().clone();
        let now = workers.pool.now();
        match evidence {
            Evidence::AnotherStartReports => workers.crash(key, evidence),
            Evidence::VmIsDown => {
                workers.pool.scheduler.mark_unresponsive(key);
                let start_unix_ms = info.start_unix_ms;
                let scheduler = &mut workers.pool.scheduler;
                scheduler.incarnation_crashed(key, start_unix_ms, now);
            }
            _ => {
                let scheduler = &mut workers.pool.scheduler;
                scheduler.worker_replaced(key, info.start_unix_ms, now);
            }
        }
        workers.pool.advance(10);
        end_start(workers, start, outcome);
        let now = workers.pool.now();
        if evidence == Evidence::AnotherStartReports {
            workers
                .pool
                .scheduler
                .stop_accepted(key, task, attempt, now);
        } else if workers.pool.scheduler.worker(key).is_some() {
            workers.crash(key, evidence);
        } else {
            workers.infos.retain(|other| other.id != info.id);
            workers.add();
        }
        workers.pool.advance(10);
        workers.register();
        workers.pool.advance(3000);
    }
    ROUNDS
}

const EVIDENCE_DURING_STARTS: [Evidence; 3] = [
    Evidence::AnotherIdResponds,
    Evidence::VmIsDown,
    Evidence::AnotherStartReports,
];

#[test]
fn a_crash_during_a_start_does_not_count_if_the_start_reached_no_worker() {
    for evidence in EVIDENCE_DURING_STARTS {
        let mut workers = Workers::new(8);
        workers.pool.submit(JOB.0, job(vec![step(1)]));
        let outcome = StartOutcome::NotDelivered;
        let started = crash_during_starts(&mut workers, evidence, outcome);
        assert_eq!(started, ROUNDS, "{evidence:?}");
    }
}

#[test]
fn a_crash_during_a_start_counts_if_the_start_may_have_reached_the_worker() {
    for evidence in EVIDENCE_DURING_STARTS {
        let mut workers = Workers::new(8);
        workers.pool.submit(JOB.0, job(vec![step(1)]));
        let outcome = StartOutcome::OutcomeUnknown;
        let started = crash_during_starts(&mut workers, evidence, outcome);
        assert_eq!(started, 3, "{evidence:?}");
        assert_eq!(workers.state(JOB), FAILED, "{evidence:?}");
    }
}

/// Replaces the owner by one that has read the rows of [`JOB`] and the registry, and has polled no worker.
fn take_over(workers: &mut Workers) {
    let job = workers.pool.scheduler.job(JOB).unwrap();
    let (row, spec) = (job.record(), job.spec().clone());
    let restored = Job::new(JOB, "queue".into(), spec, 0).with_record(row);
    workers.pool.scheduler = Scheduler::new(limits());
    let (infos, now) = (workers.infos.clone(), workers.pool.now());
    let scheduler = &mut workers.pool.scheduler;
    scheduler.set_workers(infos, now);
    scheduler.adopt_job(restored, now);
}

/// Lets workers crash under the task of [`JOB`] right after a takeover, as long as it is started. `is_listed` tells whether the
/// worker reports the attempt to the new owner first. Returns the number of starts, at most [`ROUNDS`].
fn crash_after_takeovers(evidence: Evidence, is_listed: bool) -> usize {
    let mut workers = Workers::new(8);
    workers.pool.submit(JOB.0, job(vec![step(1)]));
    for count in 0..ROUNDS {
        let commands = workers.pool.round();
        let Some(&(key, task, attempt)) = starts(&commands).first() else {
            return count;
        };
        workers.pool.confirm_starts(&commands);
        let id = workers.pool.scheduler.worker(key).unwrap().id.clone();
        let infos = workers.infos.clone();
        let info = infos.iter().find(|info| info.id == id).unwrap();
        take_over(&mut workers);
        if is_listed {
            let running = [(workers.pool.task_name(task), attempt, 50)];
            let start_unix_ms = info.start_unix_ms;
            workers.pool.report_since(start_unix_ms, &id, &running, &[]);
        }
        let key = workers.pool.key(&id);
        workers.crash(key, evidence);
        workers.pool.advance(3000);
    }
    ROUNDS
}

const EVIDENCE_AFTER_TAKEOVERS: [Evidence; 3] = [
    Evidence::AnotherIdResponds,
    Evidence::VmIsDown,
    Evidence::AnotherIdRespondsAfterTheLease,
];

#[test]
fn an_adopted_attempt_that_no_report_lists_counts_no_crash() {
    for evidence in EVIDENCE_AFTER_TAKEOVERS {
        let started = crash_after_takeovers(evidence, false);
        assert_eq!(started, ROUNDS, "{evidence:?}");
    }
}

#[test]
fn an_adopted_attempt_that_a_report_lists_counts_its_crash() {
    for evidence in EVIDENCE_AFTER_TAKEOVERS {
        let started = crash_after_takeovers(evidence, true);
        assert!(started < ROUNDS, "{evidence:?}: {started}");
    }
}

#[test]
fn a_task_whose_start_reached_no_worker_starts_elsewhere_at_once() {
    let mut pool = Pool::new(&["one", "two"]);
    pool.submit(1, job(vec![step(1)]));
    let (worker, task, attempt) = starts(&pool.round())[0];
    pool.apply_start(worker, task, attempt, StartOutcome::NotDelivered);
    let again = starts(&pool.round());
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].0, worker);
    assert_eq!(again[0].2, attempt + 1);
}

#[test]
fn a_worker_that_no_start_reached_gets_no_start_until_it_responds_and_then_not_at_once() {
    let mut pool = Pool::new(&["one"]);
    pool.submit(1, job(vec![step(1)]));
    let (worker, task, attempt) = starts(&pool.round())[0];
    pool.apply_start(worker, task, attempt, StartOutcome::NotDelivered);
    pool.advance(2 * LEASE_MS);
    assert_eq!(starts(&pool.round()), [], "the worker has not responded");
    let plan = pool.scheduler.lease_renewal_plan(worker, pool.now());
    assert!(plan.is_some(), "the worker is polled until it responds");
    pool.report("one", &[], &[]);
    let (worker, task, attempt) = starts(&pool.round())[0];
    pool.apply_start(worker, task, attempt, StartOutcome::NotDelivered);
    // Polls may use a connection that the worker accepted before.
    pool.advance(10);
    pool.report("one", &[], &[]);
    assert_eq!(
        starts(&pool.round()),
        [],
        "starts are repeated in a tight loop"
    );
    pool.advance(1000);
    assert_eq!(starts(&pool.round()).len(), 1);
}

/// Lets the starts of the task of [`JOB`] time out and their workers crash, as long as it is started. Before each start, the
/// worker was last heard of `silent_ms` ago. Returns the number of starts, at most [`ROUNDS`].
fn crash_after_starts_without_response(evidence: Evidence, silent_ms: u64) -> usize {
    let mut workers = Workers::new(8);
    workers.pool.submit(JOB.0, job(vec![step(1)]));
    for count in 0..ROUNDS {
        workers.register();
        workers.pool.advance(silent_ms);
        let Some(start) = start_task(&mut workers) else {
            return count;
        };
        send_start(&mut workers, start);
        workers.pool.advance(750);
        end_start(&mut workers, start, StartOutcome::NoResponse);
        workers.crash(start.0, evidence);
        workers.pool.advance(3000);
    }
    ROUNDS
}

const EVIDENCE_AFTER_TIMEOUTS: [Evidence; 3] = [
    Evidence::AnotherIdResponds,
    Evidence::VmIsDown,
    Evidence::VmIsDownAfterTheLeaseAndTheEntry,
];

#[test]
fn starts_that_time_out_on_workers_that_had_crashed_before_count_no_crash() {
    for evidence in EVIDENCE_AFTER_TIMEOUTS {
        let started = crash_after_starts_without_response(evidence, 1500);
        assert_eq!(started, ROUNDS, "{evidence:?}");
    }
}

#[test]
fn a_start_that_times_out_on_a_worker_that_had_just_responded_counts_its_crash() {
    for evidence in EVIDENCE_AFTER_TIMEOUTS {
        let started = crash_after_starts_without_response(evidence, 100);
        assert!((3..=5).contains(&started), "{evidence:?}: {started}");
    }
}

#[test]
fn a_start_on_a_worker_that_has_not_responded_lately_needs_a_poll_first() {
    for (crashes, silent_ms, needs_poll) in [
        (0, 400, false),
        (0, 600, true),
        (1, 40, false),
        (1, 100, true),
    ] {
        let mut workers = Workers::new(8);
        workers.pool.submit(JOB.0, job(vec![step(1)]));
        for _ in 0..crashes {
            let commands = workers.pool.round();
            workers.pool.confirm_starts(&commands);
            workers.crash(starts(&commands)[0].0, Evidence::AnotherIdResponds);
        }
        workers.register();
        let (key, task, _) = start_task(&mut workers).unwrap();
        workers.pool.advance(silent_ms);
        let now = workers.pool.now();
        let scheduler = &workers.pool.scheduler;
        let found = scheduler.must_poll_before_start(key, task, now);
        assert_eq!(found, needs_poll, "{crashes} crashes, {silent_ms} ms");
    }
}
