//! Tasks that crash the workers that start them.

mod support;

use std::sync::Arc;

use scheduler::{DRAIN_LEASE_MS, JobStatus, Scheduler, StartOutcome, WorkerInfo, WorkerKey};
use submission::{Job, JobId, JobRecord, JobState, TaskKey, TaskRecord};
use support::crashes::{ALL_EVIDENCE, Evidence, Workers};
use support::{GRACE_MS, LEASE_MS, job, limits, service_step, starts, step};

const DEADLY: JobId = JobId(1);

#[test]
fn a_task_that_crashes_each_worker_is_not_started_again_after_three_crashes() {
    for evidence in ALL_EVIDENCE {
        let mut workers = Workers::new(4);
        workers.pool.submit(DEADLY.0, job(vec![step(1)]));
        let started = workers.play(evidence, |id| id == DEADLY);
        assert!(
            (2..=3).contains(&started.len()),
            "{evidence:?}: {}",
            started.len()
        );
        assert_eq!(
            workers.state(DEADLY),
            JobStatus::Recorded(JobState::Failed),
            "{evidence:?}"
        );
    }
}

#[test]
fn the_neighbours_of_a_task_that_crashes_workers_are_done() {
    for evidence in ALL_EVIDENCE {
        let mut workers = Workers::new(4);
        workers.pool.submit(DEADLY.0, job(vec![step(1)]));
        for id in 2..=9 {
            workers.pool.submit(id, job(vec![step(1)]));
        }
        let started = workers.play(evidence, |id| id == DEADLY);
        let deadly = started.iter().filter(|task| task.job == DEADLY).count();
        assert!(deadly <= 3, "{evidence:?}: {deadly}");
        assert_eq!(workers.state(DEADLY), JobStatus::Recorded(JobState::Failed));
        for id in 2..=9 {
            let state = workers.state(JobId(id));
            assert_eq!(
                state,
                JobStatus::Recorded(JobState::Done),
                "{evidence:?}: job {id}"
            );
        }
    }
}

#[test]
fn workers_that_fall_silent_are_drained_or_shut_down_do_not_count_as_crashed() {
    #[derive(Debug, Clone, Copy)]
    enum End {
        Silent,
        Drained,
        ShutDown,
    }
    for end in [End::Silent, End::Drained, End::ShutDown] {
        let mut workers = Workers::new(2);
        workers.pool.submit(1, job(vec![step(1)]));
        for _ in 0..5 {
            let commands = workers.pool.round();
            let (key, ..) = starts(&commands)[0];
            workers.pool.confirm_starts(&commands);
            let info = workers.pool.scheduler.worker(key).unwrap().clone();
            match end {
                End::Silent => {
                    workers.pool.scheduler.mark_unresponsive(key);
                    workers.pool.advance(GRACE_MS + 2 * LEASE_MS);
                    workers.register();
                }
                End::Drained => {
                    workers.pool.scheduler.drain(key, workers.pool.now());
                    workers.crash(key, Evidence::VmIsDown);
                }
                End::ShutDown => {
                    let is_ending = |other: &&mut WorkerInfo| other.id == info.id;
                    let entry = workers.infos.iter_mut().find(is_ending).unwrap();
                    entry.is_shutting_down = true;
                    let infos = workers.infos.clone();
                    workers
                        .pool
                        .scheduler
                        .set_workers(infos, workers.pool.now());
                    workers.crash(key, Evidence::VmIsDown);
                }
            }
        }
        assert_eq!(
            workers.state(JobId(1)),
            JobStatus::Recorded(JobState::Running),
            "{end:?}"
        );
    }
}

#[test]
fn a_next_owner_goes_on_counting_the_crashes_under_a_task() {
    let mut workers = Workers::new(4);
    workers.pool.submit(DEADLY.0, job(vec![step(1)]));
    let commands = workers.pool.round();
    workers.pool.confirm_starts(&commands);
    workers.crash(starts(&commands)[0].0, Evidence::AnotherIdResponds);
    let recorded = workers.pool.scheduler.job(DEADLY).unwrap();
    let row = recorded.record();
    let spec = recorded.spec().clone();
    let restored = Job::new(DEADLY, "queue".into(), spec, 0);
    let restored = restored.with_record(row);
    workers.pool.scheduler = Scheduler::new(limits());
    workers
        .pool
        .scheduler
        .adopt_job(restored, workers.pool.now());
    workers.register();
    let started = workers.play(Evidence::AnotherIdResponds, |id| id == DEADLY);
    assert!(started.len() <= 2, "{}", started.len());
    assert_eq!(workers.state(DEADLY), JobStatus::Recorded(JobState::Failed));
}

/// Adopts a job of one task under which `crashes` workers have crashed.
fn adopt_suspect(workers: &mut Workers, id: u64, crashes: u32) {
    let record = JobRecord {
        tasks: vec![TaskRecord(crashes, 0, false, "".into(), "".into())],
        crashes: vec![(0, crashes)],
        ..JobRecord::default()
    };
    let suspect = Job::new(JobId(id), "queue".into(), Arc::new(job(vec![step(1)])), 0);
    let now = workers.pool.now();
    workers
        .pool
        .scheduler
        .adopt_job(suspect.with_record(record), now);
}

#[test]
fn tasks_under_which_workers_crash_again_take_a_part_of_the_workers_and_no_neighbours() {
    let mut workers = Workers::new(8);
    for id in 1..=5 {
        adopt_suspect(&mut workers, id, 2);
    }
    for id in 6..=20 {
        workers.pool.submit(id, job(vec![step(1)]));
    }
    let started = starts(&workers.pool.round());
    let is_suspect = |task: &TaskKey| task.job.0 <= 5;
    let suspects: Vec<_> = started
        .iter()
        .filter(|(_, task, _)| is_suspect(task))
        .collect();
    assert_eq!(suspects.len(), 4);
    for (worker, task, _) in suspects {
        let on_worker = started.iter().filter(|(other, ..)| other == worker);
        assert_eq!(on_worker.count(), 1, "{task:?} has neighbours");
    }
    assert_eq!(started.len(), 19, "the other jobs have to wait");
}

#[test]
fn a_service_task_that_runs_for_a_while_does_not_crash_workers() {
    let mut workers = Workers::new(3);
    workers.pool.submit(1, job(vec![service_step(1, 0)]));
    for _ in 0..6 {
        let commands = workers.pool.round();
        let (key, task, attempt) = starts(&commands)[0];
        workers.pool.confirm_starts(&commands);
        workers.pool.advance(6000);
        let info = workers.pool.scheduler.worker(key).unwrap().clone();
        let running = [(workers.pool.task_name(task), attempt, 100)];
        workers
            .pool
            .report_since(info.start_unix_ms, &info.id, &running, &[]);
        workers.crash(key, Evidence::AnotherIdResponds);
    }
    assert_eq!(
        workers.state(JobId(1)),
        JobStatus::Recorded(JobState::Running)
    );
}

#[test]
fn a_service_task_that_crashes_each_worker_at_once_is_held() {
    let mut workers = Workers::new(4);
    workers.pool.submit(DEADLY.0, job(vec![service_step(1, 0)]));
    let started = workers.play(Evidence::AnotherIdResponds, |id| id == DEADLY);
    assert_eq!(started.len(), 3);
    let state = workers.state(DEADLY);
    assert_eq!(state, JobStatus::Recorded(JobState::Running));
    workers.pool.advance(60_000);
    workers.register();
    assert_eq!(starts(&workers.pool.round()), []);
}

#[test]
fn a_task_is_not_given_up_because_its_workers_crash_by_themselves() {
    let mut workers = Workers::new(1);
    workers.pool.submit(7, job(vec![step(1)]));
    let crash = |workers: &mut Workers, id: &str| {
        let commands = workers.pool.round();
        let started = starts(&commands);
        workers.pool.confirm_starts(&commands);
        let key = workers.pool.key(id);
        assert!(started.iter().all(|(worker, ..)| *worker == key));
        workers.crash(key, Evidence::AnotherStartReports);
        started.len()
    };
    // There is no other worker. The third crash does not tell whether the task or the worker is the cause.
    for crashes in 1..=3 {
        assert_eq!(crash(&mut workers, "worker-1"), 1, "{crashes}");
        let state = workers.state(JobId(7));
        assert_ne!(state, JobStatus::Recorded(JobState::Failed), "{crashes}");
    }
    // Another worker comes, on which the task ends.
    workers.add();
    workers.register();
    let commands = workers.pool.round();
    let started = starts(&commands);
    let other = workers.infos.last().unwrap().id.clone();
    assert_eq!(started[0].0, workers.pool.key(&other));
}

#[test]
fn a_worker_that_crashed_while_it_was_idle_gets_no_suspect_while_there_is_another() {
    let mut workers = Workers::new(1);
    workers.pool.submit(7, job(vec![step(1)]));
    for _ in 0..2 {
        let commands = workers.pool.round();
        workers.pool.confirm_starts(&commands);
        let key = workers.pool.key("worker-1");
        workers.crash(key, Evidence::AnotherStartReports);
    }
    // The other worker has no room. The first one crashes on, with nothing on it.
    workers.add();
    workers.infos.last_mut().unwrap().capacity.memory_mb = 99;
    workers.register();
    for _ in 0..50 {
        let key = workers.pool.key("worker-1");
        workers.crash(key, Evidence::AnotherStartReports);
        workers.pool.advance(300);
    }
    workers
        .infos
        .iter_mut()
        .for_each(|info| info.capacity.memory_mb = 8000);
    workers.register();
    let commands = workers.pool.round();
    let other = workers.infos.iter().find(|info| info.id != "worker-1");
    let other = workers.pool.key(&other.unwrap().id);
    assert_eq!(starts(&commands)[0].0, other);
}

/// How long the task of a job runs in each of its attempts before the worker crashes, and what the scheduler knows of that.
#[derive(Debug, Clone, Copy)]
enum Run {
    Reported(u64),
    StartGotNoResponse,
}

/// Lets workers crash under the task of job 7, as long as it is started. Returns the number of starts, at most 9.
fn starts_until_given_up(workers: &mut Workers, runs: &[Run]) -> usize {
    for count in 0..9 {
        let commands = workers.pool.round();
        let Some(&(key, task, attempt)) = starts(&commands).first() else {
            return count;
        };
        match runs[count % runs.len()] {
            Run::Reported(run_ms) => {
                workers.pool.confirm_starts(&commands);
                workers.pool.advance(run_ms);
                let info = workers.pool.scheduler.worker(key).unwrap().clone();
                let running = [(workers.pool.task_name(task), attempt, 50)];
                let start = info.start_unix_ms;
                workers.pool.report_since(start, &info.id, &running, &[]);
            }
            Run::StartGotNoResponse => {
                let outcome = StartOutcome::OutcomeUnknown;
                workers.pool.apply_start(key, task, attempt, outcome);
            }
        }
        workers.crash(key, Evidence::AnotherIdResponds);
        workers.pool.advance(3000);
    }
    9
}

#[test]
fn a_task_that_had_run_for_long_at_each_crash_is_started_twice_more_after_the_third() {
    for step in [step(1), service_step(1, 0)] {
        for (run_ms, starts) in [(10, 3), (383, 5), (3000, 5)] {
            let mut workers = Workers::new(8);
            workers.pool.submit(7, job(vec![step.clone()]));
            let started = starts_until_given_up(&mut workers, &[Run::Reported(run_ms)]);
            assert_eq!(started, starts, "{step:?} {run_ms}");
            let state = if step.is_service {
                JobState::Running
            } else {
                JobState::Failed
            };
            let found = workers.state(JobId(7));
            assert_eq!(found, JobStatus::Recorded(state), "{run_ms}");
        }
    }
}

#[test]
fn a_task_that_had_run_for_long_is_not_given_up_while_other_workers_crash_at_the_same_times() {
    for step in [step(1), service_step(1, 0)] {
        let mut workers = Workers::new(40);
        workers.pool.submit(7, job(vec![step]));
        let mut started = 0;
        for _ in 0..9 {
            let commands = workers.pool.round();
            started += starts(&commands).len();
            workers.crash_beside_an_idle_worker(&commands, 3000);
        }
        assert_eq!(started, 9);
    }
}

#[test]
fn a_task_that_crashes_each_worker_before_the_start_is_answered_is_given_up() {
    let mut workers = Workers::new(8);
    workers.pool.submit(7, job(vec![step(1)]));
    let started = starts_until_given_up(&mut workers, &[Run::StartGotNoResponse]);
    assert_eq!(started, 3);
}

#[test]
fn a_task_is_not_given_up_at_its_third_crash_when_an_idle_worker_crashes_at_the_same_time() {
    let mut workers = Workers::new(8);
    adopt_suspect(&mut workers, 7, 2);
    let commands = workers.pool.round();
    workers.crash_beside_an_idle_worker(&commands, 10);
    let state = workers.state(JobId(7));
    assert_eq!(state, JobStatus::Recorded(JobState::Running));
    let runs = [Run::Reported(10)];
    assert_eq!(starts_until_given_up(&mut workers, &runs), 1);
}

#[test]
fn a_task_that_crashes_workers_that_were_drained_before_its_start_is_given_up() {
    let mut workers = Workers::new(8);
    workers.pool.submit(DEADLY.0, job(vec![step(1)]));
    let mut started = 0;
    while started < 9 {
        for info in workers.infos.clone() {
            let key = workers.pool.key(&info.id);
            let now = workers.pool.now();
            workers.pool.scheduler.drain(key, now);
        }
        // The leader does not renew the drain leases.
        workers.pool.advance(DRAIN_LEASE_MS + 1);
        let commands = workers.pool.round();
        let Some(&(key, ..)) = starts(&commands).first() else {
            break;
        };
        started += 1;
        workers.pool.confirm_starts(&commands);
        workers.crash(key, Evidence::VmIsDown);
    }
    assert!(started <= 4, "{started}");
    assert_eq!(workers.state(DEADLY), JobStatus::Recorded(JobState::Failed));
}

#[test]
fn a_task_that_crashes_workers_which_are_drained_once_they_are_silent_is_given_up() {
    let mut workers = Workers::new(8);
    workers.pool.submit(DEADLY.0, job(vec![step(1)]));
    let mut started = 0;
    while started < 9 {
        let commands = workers.pool.round();
        let Some(&(key, ..)) = starts(&commands).first() else {
            break;
        };
        started += 1;
        workers.pool.confirm_starts(&commands);
        workers.pool.scheduler.mark_unresponsive(key);
        for _ in 0..2 {
            workers.pool.advance(300);
            let now = workers.pool.now();
            workers.pool.scheduler.drain(key, now);
        }
        workers.crash(key, Evidence::VmIsDown);
    }
    assert_eq!(started, 3);
    assert_eq!(workers.state(DEADLY), JobStatus::Recorded(JobState::Failed));
}

#[test]
fn a_service_task_whose_crash_is_noticed_late_is_held() {
    let mut workers = Workers::new(4);
    workers.pool.submit(DEADLY.0, job(vec![service_step(1, 0)]));
    let started = workers.play(Evidence::AnotherIdRespondsAfterTheLease, |id| id == DEADLY);
    assert!(started.len() <= 3, "{}", started.len());
}

#[test]
fn a_task_is_given_up_at_its_third_crash_beside_tasks_that_are_new() {
    let mut workers = Workers::new(1);
    for id in 2..=3 {
        workers.pool.submit(id, job(vec![step(1)]));
    }
    let commands = workers.pool.round();
    let (key, ..) = starts(&commands)[0];
    workers.pool.confirm_starts(&commands);
    adopt_suspect(&mut workers, DEADLY.0, 2);
    let commands = workers.pool.round();
    workers.pool.confirm_starts(&commands);
    workers.crash(key, Evidence::AnotherIdResponds);
    workers.pool.round();
    assert_eq!(workers.state(DEADLY), JobStatus::Recorded(JobState::Failed));
    let neighbour = workers.state(JobId(2));
    assert_eq!(neighbour, JobStatus::Recorded(JobState::Running));
}

/// Starts the task of job 1 five times, each time on a worker that is gone and of which `end` tells the scheduler.
fn start_on_workers_that_are_gone(
    workers: &mut Workers,
    mut end: impl FnMut(&mut Workers, WorkerKey),
) {
    for _ in 0..5 {
        let commands = workers.pool.round();
        let started = starts(&commands);
        assert_eq!(started.len(), 1, "the task is given up");
        let (key, task, attempt) = started[0];
        let outcome = StartOutcome::OutcomeUnknown;
        let now = workers.pool.now();
        workers.pool.scheduler.grant_start_lease(key, task, now);
        end(workers, key);
        workers.pool.apply_start(key, task, attempt, outcome);
        end(workers, key);
        workers.pool.advance(3000);
        workers.add();
        workers.register();
    }
    let state = workers.state(JobId(1));
    assert_eq!(state, JobStatus::Recorded(JobState::Running));
}

#[test]
fn a_worker_that_was_moved_while_its_owner_was_suspended_is_not_taken_for_crashed() {
    let mut workers = Workers::new(1);
    workers.pool.submit(1, job(vec![step(1)]));
    start_on_workers_that_are_gone(&mut workers, |workers, key| {
        let now = workers.pool.now();
        workers.infos.clear();
        workers.pool.scheduler.incarnation_ended(key, None, now);
    });
}

#[test]
fn a_worker_of_which_the_leader_told_a_planned_end_is_not_taken_for_crashed_when_another_answers() {
    let mut workers = Workers::new(1);
    workers.pool.submit(1, job(vec![step(1)]));
    start_on_workers_that_are_gone(&mut workers, |workers, key| {
        let now = workers.pool.now();
        workers.infos.clear();
        // The worker seems to respond, so that its attempts stay.
        workers.pool.scheduler.incarnation_ended(key, None, now);
        workers.pool.scheduler.worker_replaced(key, None, now);
    });
}

#[test]
fn a_worker_that_reports_after_the_leader_told_a_planned_end_may_crash() {
    let mut workers = Workers::new(4);
    workers.pool.submit(DEADLY.0, job(vec![step(1)]));
    for _ in 0..3 {
        let commands = workers.pool.round();
        let (key, task, attempt) = starts(&commands)[0];
        workers.pool.confirm_starts(&commands);
        let now = workers.pool.now();
        workers.pool.scheduler.incarnation_ended(key, None, now);
        workers.pool.advance(50);
        let info = workers.pool.scheduler.worker(key).unwrap().clone();
        let running = [(workers.pool.task_name(task), attempt, 50)];
        let start = info.start_unix_ms;
        workers.pool.report_since(start, &info.id, &running, &[]);
        workers.crash(key, Evidence::AnotherIdResponds);
    }
    assert!(starts(&workers.pool.round()).is_empty());
    assert_eq!(workers.state(DEADLY), JobStatus::Recorded(JobState::Failed));
}
