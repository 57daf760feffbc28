//! No more tasks of a service step are stopped at a time than the step tolerates, whatever is not known of the others.

mod support;

use scheduler::{Scheduler, WorkerKey};
use smol_str::SmolStr;
use submission::{Job, JobId, TaskKey};
use support::{Pool, job, limits, service_step, stops};

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

    /// Replaces the owner by one that has read the rows and the registry, and has polled no worker.
    fn take_over(&mut self) {
        let job = self.pool.scheduler.job(JOB).unwrap();
        let adopted = Job::new(JOB, "queue".into(), job.spec().clone(), 0);
        let adopted = adopted.with_record(job.record());
        self.pool.scheduler = Scheduler::new(limits());
        self.pool
            .scheduler
            .adopt_job(adopted, self.pool.now());
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
