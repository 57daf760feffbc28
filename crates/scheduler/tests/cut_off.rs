//! Workers that are cut off from their owner and from the store: silence does not show whether a worker has crashed.

mod support;

use scheduler::{JobStatus, Scheduler, UnavailableReason, WorkerInfo, WorkerKey};
use smol_str::SmolStr;
use submission::{AttemptOutcome, Job, JobId, JobState};
use support::crashes::{Evidence, Workers};
use support::{GRACE_MS, LEASE_MS, job, limits, service_step, starts, step};

const JOB: JobId = JobId(7);
const RUNNING: JobStatus = JobStatus::Recorded(JobState::Running);

/// The number of workers that have crashed under the task of a job.
fn crashes(workers: &Workers) -> u32 {
    let job = workers.pool.scheduler.job(JOB);
    job.and_then(|job| job.task(0)).unwrap().crashes
}

/// Starts the task of the job. Returns its worker, and the name and the number of the attempt.
fn start(workers: &mut Workers) -> (WorkerKey, SmolStr, u32) {
    let commands = workers.pool.round();
    let (key, task, attempt) = starts(&commands)[0];
    workers.pool.confirm_starts(&commands);
    (key, workers.pool.task_name(task), attempt)
}

/// Cuts a worker off: it does not respond, and its entry leaves the registry. Returns the entry.
fn cut_off(workers: &mut Workers, key: WorkerKey) -> WorkerInfo {
    let entry = workers.pool.scheduler.worker(key).unwrap().clone();
    workers.infos.retain(|info| info.id != entry.id);
    workers.pool.scheduler.mark_unresponsive(key);
    set_registry(workers);
    entry
}

fn set_registry(workers: &mut Workers) {
    let now = workers.pool.now();
    let infos = workers.infos.clone();
    workers.pool.scheduler.set_workers(infos, now);
}

/// Lets time pass in steps, with the registry read in each.
fn advance(workers: &mut Workers, ms: u64) {
    for _ in 0..ms / 500 {
        workers.pool.advance(500);
        set_registry(workers);
    }
}

fn is_unresponsive(workers: &mut Workers, id: &str) -> bool {
    let now = workers.pool.now();
    let demand = workers.pool.scheduler.demand(now);
    demand.unresponsive.iter().any(|other| other == id)
}

/// Lists a worker again, which reports the end of its attempt.
fn come_back(workers: &mut Workers, entry: &WorkerInfo, ended: (SmolStr, u32), number: u64) {
    workers.infos.push(entry.clone());
    set_registry(workers);
    let end = (number, ended.0, ended.1, AttemptOutcome::Lost);
    let start = entry.start_unix_ms;
    workers.pool.report_since(start, &entry.id, &[], &[end]);
}

#[test]
fn a_worker_that_is_cut_off_and_leaves_the_registry_is_not_taken_for_crashed() {
    for step in [step(1), service_step(1, 0)] {
        let mut workers = Workers::new(3);
        workers.pool.submit(JOB.0, job(vec![step.clone()]));
        // How long each cut lasts. One worker never comes back.
        let cuts_ms = [
            Some(LEASE_MS + 1000),
            Some(GRACE_MS + 2 * LEASE_MS),
            None,
            Some(60_000),
            Some(LEASE_MS + 1000),
        ];
        for (number, cut_ms) in (1..).zip(cuts_ms) {
            let (key, name, attempt) = start(&mut workers);
            let entry = cut_off(&mut workers, key);
            advance(&mut workers, cut_ms.unwrap_or(60_000));
            if cut_ms.is_some() {
                come_back(&mut workers, &entry, (name, attempt), number);
            } else {
                workers.add();
            }
            workers.register();
            assert_eq!(workers.state(JOB), RUNNING, "{step:?}: cut {number}");
            assert_eq!(crashes(&workers), 0, "{step:?}: cut {number}");
        }
        let (key, name, attempt) = start(&mut workers);
        if step.is_service {
            continue;
        }
        let info = workers.pool.scheduler.worker(key).unwrap().clone();
        let end = (9, name, attempt, AttemptOutcome::Done);
        let start = info.start_unix_ms;
        workers.pool.report_since(start, &info.id, &[], &[end]);
        workers.pool.round();
        assert_eq!(workers.state(JOB), JobStatus::Recorded(JobState::Done));
    }
}

/// The next owner of the pool, which reads the row of the job.
fn take_over(workers: &mut Workers) {
    let recorded = workers.pool.scheduler.job(JOB).unwrap();
    let (row, spec) = (recorded.record(), recorded.spec().clone());
    let restored = Job::new(JOB, "queue".into(), spec, 0).with_record(row);
    workers.pool.scheduler = Scheduler::new(limits());
    let now = workers.pool.now();
    workers.pool.scheduler.adopt_job(restored, now);
    set_registry(workers);
}

#[test]
fn a_worker_that_is_cut_off_at_a_takeover_is_not_taken_for_crashed() {
    for step in [step(1), service_step(1, 0)] {
        let mut workers = Workers::new(3);
        workers.pool.submit(JOB.0, job(vec![step.clone()]));
        for number in 1..=5 {
            let (key, name, attempt) = start(&mut workers);
            let entry = cut_off(&mut workers, key);
            take_over(&mut workers);
            advance(&mut workers, GRACE_MS + 2 * LEASE_MS);
            assert_eq!(crashes(&workers), 0, "{step:?}: cut {number}");
            come_back(&mut workers, &entry, (name, attempt), number);
            workers.register();
            assert_eq!(workers.state(JOB), RUNNING, "{step:?}: cut {number}");
            assert_eq!(crashes(&workers), 0, "{step:?}: cut {number}");
        }
    }
}

#[test]
fn a_worker_that_responds_while_its_entry_is_gone_is_not_taken_for_crashed() {
    let mut workers = Workers::new(2);
    workers.pool.submit(JOB.0, job(vec![service_step(1, 0)]));
    let (key, name, attempt) = start(&mut workers);
    let entry = workers.pool.scheduler.worker(key).unwrap().clone();
    let listed = workers.infos.clone();
    for _ in 0..5 {
        // The store is down: no entry is renewed, but the worker responds, except once.
        workers.infos.clear();
        set_registry(&mut workers);
        for poll in 0..20 {
            advance(&mut workers, 1000);
            let now = workers.pool.now();
            let plan = workers.pool.scheduler.lease_renewal_plan(key, now);
            assert!(plan.is_some(), "the worker is not polled");
            if poll == 10 {
                workers.pool.scheduler.mark_unresponsive(key);
                continue;
            }
            let running = [(name.clone(), attempt, 100)];
            let start = entry.start_unix_ms;
            workers.pool.report_since(start, &entry.id, &running, &[]);
        }
        assert!(starts(&workers.pool.round()).is_empty());
        workers.infos.clone_from(&listed);
        set_registry(&mut workers);
    }
    assert_eq!(workers.state(JOB), RUNNING);
    assert_eq!(crashes(&workers), 0);
}

#[test]
fn a_worker_that_is_silent_again_after_its_leases_expired_counts_as_crashed_once() {
    let mut workers = Workers::new(3);
    workers.pool.submit(JOB.0, job(vec![step(1)]));
    let (key, ..) = start(&mut workers);
    let entry = cut_off(&mut workers, key);
    advance(&mut workers, LEASE_MS + 1000);
    // The entry comes back for a while, but the worker does not respond.
    workers.infos.push(entry.clone());
    set_registry(&mut workers);
    let now = workers.pool.now();
    let plan = workers.pool.scheduler.lease_renewal_plan(key, now);
    assert!(plan.is_some_and(|plan| plan.lease_until_ms.is_none()));
    advance(&mut workers, 1000);
    workers.infos.retain(|info| info.id != entry.id);
    advance(&mut workers, 1000);
    assert_eq!(crashes(&workers), 0);
    assert!(is_unresponsive(&mut workers, &entry.id));
    for _ in 0..2 {
        let now = workers.pool.now();
        let start = entry.start_unix_ms;
        workers.pool.scheduler.incarnation_crashed(key, start, now);
    }
    assert_eq!(crashes(&workers), 1);
    assert!(workers.pool.scheduler.worker(key).is_none());
}

#[test]
fn a_crash_of_a_worker_that_was_cut_off_before_does_not_count_for_its_earlier_tasks() {
    for evidence in [
        Evidence::AnotherIdResponds,
        Evidence::AnotherStartReports,
        Evidence::VmIsDown,
    ] {
        let mut workers = Workers::new(3);
        workers.pool.submit(JOB.0, job(vec![step(1)]));
        let (key, name, attempt) = start(&mut workers);
        let entry = cut_off(&mut workers, key);
        advance(&mut workers, LEASE_MS + 1000);
        // The task runs on another worker when this one comes back.
        let (other, ..) = start(&mut workers);
        assert_ne!(other, key);
        come_back(&mut workers, &entry, (name, attempt), 1);
        let now = workers.pool.now();
        let start_unix_ms = entry.start_unix_ms;
        assert!(!is_unresponsive(&mut workers, &entry.id));
        let scheduler = &mut workers.pool.scheduler;
        match evidence {
            Evidence::AnotherIdResponds => {
                scheduler.worker_replaced(key, start_unix_ms, now);
            }
            Evidence::AnotherStartReports => {
                let next = Some(1_000_000);
                workers.pool.report_since(next, &entry.id, &[], &[]);
            }
            _ => {
                scheduler.mark_unresponsive(key);
                scheduler.incarnation_crashed(key, start_unix_ms, now);
            }
        }
        assert_eq!(crashes(&workers), 0, "{evidence:?}");
    }
}

#[test]
fn a_worker_that_is_cut_off_is_forgotten_after_a_while() {
    let mut workers = Workers::new(3);
    workers.pool.submit(JOB.0, job(vec![step(1)]));
    let (key, ..) = start(&mut workers);
    let entry = cut_off(&mut workers, key);
    advance(&mut workers, LEASE_MS + 1000);
    let now = workers.pool.now();
    let plan = workers.pool.scheduler.lease_renewal_plan(key, now);
    assert!(plan.is_none(), "a worker without an entry is polled");
    assert!(is_unresponsive(&mut workers, &entry.id));
    advance(&mut workers, 30_000);
    assert!(workers.pool.scheduler.worker(key).is_none());
    assert!(!is_unresponsive(&mut workers, &entry.id));
}

#[test]
fn a_worker_whose_entry_comes_back_is_polled_at_once() {
    let mut workers = Workers::new(3);
    workers.pool.submit(JOB.0, job(vec![step(1)]));
    let (key, ..) = start(&mut workers);
    let entry = cut_off(&mut workers, key);
    advance(&mut workers, LEASE_MS + 1000);
    workers.infos.push(entry);
    let now = workers.pool.now();
    let infos = workers.infos.clone();
    let to_poll = workers.pool.scheduler.set_workers(infos, now);
    assert_eq!(to_poll, [key]);
}

#[test]
fn workers_that_are_cut_off_do_not_raise_the_number_of_blocklisted_workers() {
    let mut workers = Workers::new(6);
    let mut whole_worker = step(1);
    whole_worker.needs.cpu_milli = 4000;
    workers.pool.submit(JOB.0, job(vec![whole_worker.clone()]));
    let (key, ..) = start(&mut workers);
    cut_off(&mut workers, key);
    advance(&mut workers, LEASE_MS + 1000);
    for id in 1..=2 {
        workers.pool.submit(id, job(vec![whole_worker.clone()]));
    }
    let commands = workers.pool.round();
    workers.pool.confirm_starts(&commands);
    assert_eq!(starts(&commands).len(), 3);
    // No task makes progress. Two of six workers could be blocklisted, but only five are left.
    for _ in 0..2 {
        for (key, task, attempt) in starts(&commands) {
            let info = workers.pool.scheduler.worker(key).unwrap().clone();
            let running = [(workers.pool.task_name(task), attempt, 0)];
            let start = info.start_unix_ms;
            workers.pool.report_since(start, &info.id, &running, &[]);
        }
        workers.pool.advance(2000);
    }
    let now = workers.pool.now();
    let unavailable = workers.pool.scheduler.demand(now).unavailable;
    let reasons: Vec<_> = unavailable.iter().map(|(_, reason)| *reason).collect();
    assert_eq!(reasons, [UnavailableReason::Blocklisted]);
}

/// Starts the task, and lets its worker be silent until the lease has expired, while the worker stays listed.
fn lapse(workers: &mut Workers) -> (WorkerKey, WorkerInfo) {
    let (key, ..) = start(workers);
    let entry = workers.pool.scheduler.worker(key).unwrap().clone();
    workers.pool.scheduler.mark_unresponsive(key);
    advance(workers, LEASE_MS + 1000);
    (key, entry)
}

#[test]
fn a_worker_that_crashes_long_after_an_attempt_lapsed_there_did_not_crash_under_it() {
    for evidence in [Evidence::VmIsDown, Evidence::AnotherStartReports] {
        let mut workers = Workers::new(4);
        workers.pool.submit(JOB.0, job(vec![step(1)]));
        for round in 1..=5 {
            let (key, _) = lapse(&mut workers);
            advance(&mut workers, 20_000);
            workers.crash(key, evidence);
            assert_eq!(crashes(&workers), 0, "{evidence:?}: {round}");
        }
        assert_eq!(workers.state(JOB), RUNNING, "{evidence:?}");
    }
}

#[test]
fn a_late_proof_of_a_crash_does_not_count_for_a_task_that_runs_elsewhere_by_then() {
    for (run_ms, expected) in [(1000, 0), (100, 1)] {
        let mut workers = Workers::new(4);
        workers.pool.submit(JOB.0, job(vec![step(1)]));
        let (lapsed, _) = lapse(&mut workers);
        let (key, name, attempt) = start(&mut workers);
        let info = workers.pool.scheduler.worker(key).unwrap().clone();
        workers.pool.advance(run_ms);
        let running = [(name, attempt, 50)];
        let since = info.start_unix_ms;
        workers.pool.report_since(since, &info.id, &running, &[]);
        let now = workers.pool.now();
        let scheduler = &mut workers.pool.scheduler;
        scheduler.incarnation_crashed(lapsed, None, now);
        assert_eq!(crashes(&workers), expected, "{run_ms}");
    }
}
