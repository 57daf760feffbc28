//! No more tasks of a service step are stopped at a time than the step tolerates, whatever is not known of the others.

mod support;

use scheduler::{DRAIN_LEASE_MS, Scheduler, StartOutcome, StopStep, WorkerKey};
use smol_str::SmolStr;
use submission::{Job, JobId, TaskKey};
use support::{Pool, job, limits, service_step, starts, stops};

const JOB: JobId = JobId(1);

/// A pool with one worker more than there are tasks, which are available.
struct Service {
    pool: Pool,
    workers: Vec<&'static str>,
    /// The worker, the task and the attempt of each task.
    running: Vec<(SmolStr, TaskKey, u32)>,
}

impl Service {
    /// A service of two tasks, one of which may be unavailable.
    fn new() -> Self {
        let workers = vec!["one", "two", "three"];
        let mut pool = Pool::new(&workers);
        pool.submit(JOB.0, job(vec![service_step(2, 1)]));
        let commands = pool.round();
        let running = pool.confirm_starts(&commands);
        assert_eq!(running.len(), 2);
        let mut service = Self {
            pool,
            workers,
            running,
        };
        service.report_all();
        service
    }

    fn report(&mut self, index: usize) {
        let (worker, task, attempt) = self.running[index].clone();
        let running = [(self.pool.task_name(task), attempt, 100)];
        self.pool.report(&worker, &running, &[]);
    }

    /// Lets all workers report that their tasks are available.
    fn report_all(&mut self) {
        for index in 0..self.running.len() {
            self.report(index);
        }
        for worker in self.workers.clone() {
            if self.running.iter().all(|(other, ..)| other != worker) {
                self.pool.report(worker, &[], &[]);
            }
        }
    }

    fn key(&self, index: usize) -> WorkerKey {
        self.pool.key(&self.running[index].0)
    }

    /// Drains the worker of a task, and returns how many tasks are stopped for it.
    fn drain(&mut self, index: usize) -> usize {
        let key = self.key(index);
        self.pool.scheduler.drain(key, self.pool.now());
        stops(&self.pool.round()).len()
    }

    /// What to do about the stop command of a task that is assigned to a worker.
    fn stop_step(&mut self, index: usize, may_be_delivered: bool) -> StopStep {
        let (key, (_, task, attempt), now) = (
            self.key(index),
            self.running[index].clone(),
            self.pool.now(),
        );
        let scheduler = &mut self.pool.scheduler;
        scheduler.next_stop_step(key, task, attempt, may_be_delivered, now)
    }

    /// Replaces the owner by one that has read the rows and the registry, and has polled no worker.
    fn take_over(&mut self) {
        let job = self.pool.scheduler.job(JOB).unwrap();
        let adopted = Job::new(JOB, "queue".into(), job.spec().clone(), 0);
        let adopted = adopted.with_record(job.record());
        self.pool.scheduler = Scheduler::new(limits());
        self.pool.scheduler.adopt_job(adopted, self.pool.now());
        self.pool.set_registry(&self.workers.clone());
    }
}

#[test]
fn a_new_owner_stops_no_task_while_a_stop_of_the_previous_one_may_be_under_way() {
    let mut service = Service::new();
    assert_eq!(service.drain(0), 1, "the previous owner stops one task");
    service.take_over();
    // The stop has not taken effect yet.
    service.report_all();
    assert_eq!(service.drain(1), 0);
    service.pool.advance(limits().stop_ms);
    service.report_all();
    assert_eq!(service.drain(1), 1, "the stop was not accepted in time");
}

#[test]
fn a_new_owner_polls_service_tasks_again_as_soon_as_stops_of_the_previous_one_have_ended() {
    let mut service = Service::new();
    service.take_over();
    service.report_all();
    let is_polled_often = |service: &mut Service| {
        let (key, now) = (service.key(0), service.pool.now());
        let plan = service.pool.scheduler.lease_renewal_plan(key, now);
        plan.unwrap().is_polled_often
    };
    assert!(is_polled_often(&mut service));
    service.pool.advance(limits().stop_ms);
    service.report_all();
    assert!(!is_polled_often(&mut service));
}

#[test]
fn a_report_from_before_a_pause_of_the_owner_shows_no_task_available() {
    let mut service = Service::new();
    service.pool.advance(4000);
    assert_eq!(service.drain(1), 0);
    service.report_all();
    assert_eq!(service.drain(1), 1);
}

#[test]
fn a_stop_that_was_not_sent_is_withdrawn_once_another_task_of_the_step_is_away() {
    let mut service = Service::new();
    assert_eq!(service.drain(0), 1);
    assert_eq!(service.stop_step(0, false), StopStep::Send);
    let other = service.key(1);
    service.pool.scheduler.mark_unresponsive(other);
    assert_eq!(service.stop_step(0, false), StopStep::Withdrawn);
    assert_eq!(service.drain(0), 0);
    service.report_all();
    assert_eq!(service.drain(0), 1, "the drain goes on");
}

#[test]
fn a_stop_that_may_be_delivered_is_not_sent_again_while_another_task_of_the_step_is_away() {
    let mut service = Service::new();
    assert_eq!(service.drain(0), 1);
    let other = service.key(1);
    service.pool.scheduler.mark_unresponsive(other);
    assert_eq!(service.stop_step(0, true), StopStep::Wait);
    service.report(1);
    assert_eq!(service.drain(1), 0, "the first stop may still take effect");
    assert_eq!(service.stop_step(0, true), StopStep::Send);
}

#[test]
fn a_stop_that_was_not_sent_is_withdrawn_after_the_drain() {
    let mut service = Service::new();
    assert_eq!(service.drain(0), 1);
    service.pool.advance(DRAIN_LEASE_MS);
    service.report_all();
    assert_eq!(service.stop_step(0, false), StopStep::Withdrawn);
    assert_eq!(service.drain(1), 1, "the task counts as available again");
}

#[test]
fn a_service_task_whose_start_got_no_response_is_stopped_only_if_it_does_not_run() {
    for outcome in [StartOutcome::OutcomeUnknown, StartOutcome::NoResponse] {
        for runs in [false, true] {
            let mut pool = Pool::new(&["one"]);
            pool.submit(JOB.0, job(vec![service_step(1, 1)]));
            let (key, task, attempt) = starts(&pool.round())[0];
            pool.apply_start(key, task, attempt, outcome);
            let step = |pool: &mut Pool| {
                let now = pool.now();
                pool.scheduler
                    .next_stop_step(key, task, attempt, false, now)
            };
            assert_eq!(step(&mut pool), StopStep::Wait, "no report tells");
            pool.advance(10);
            let running = [(pool.task_name(task), attempt, 100)];
            let running = if runs { &running[..] } else { &[] };
            pool.report("one", running, &[]);
            let expected = if runs {
                StopStep::Withdrawn
            } else {
                StopStep::Send
            };
            assert_eq!(step(&mut pool), expected);
        }
    }
}

#[test]
fn a_worker_that_is_listed_after_it_was_drained_is_given_no_task_during_the_drain_lease() {
    let mut pool = Pool::new(&[]);
    pool.submit(JOB.0, job(vec![service_step(1, 1)]));
    assert_eq!(pool.scheduler.drain_by_id(&"one".into(), pool.now()), 0);
    pool.advance(DRAIN_LEASE_MS / 2);
    pool.set_registry(&["one"]);
    pool.report("one", &[], &[]);
    assert_eq!(starts(&pool.round()), []);
    pool.advance(DRAIN_LEASE_MS / 2);
    assert_eq!(starts(&pool.round()).len(), 1);
}
