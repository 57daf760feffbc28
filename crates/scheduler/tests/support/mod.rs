//! A scheduler with a few workers, in virtual time.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::HashMap;
use std::sync::Arc;

use scheduler::{
    Action, Batch, End, Limits, Look, Now, QueueRules, RunningTask, Scheduler, StartOutcome,
    WorkerInfo, WorkerKey,
};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use submission::{JobId, JobSpec, Resources, RunEnd, StepSpec, TaskKey};

pub const LEASE_MS: u64 = 5000;
pub const GRACE_MS: u64 = 4000;

/// A pool whose clock, workers' clocks and store's clock are one.
pub struct Pool {
    pub scheduler: Scheduler,
    pub now_ms: u64,
}

pub fn limits() -> Limits {
    Limits {
        lease_ms: LEASE_MS,
        owner_grace_ms: GRACE_MS,
        slow_clock_percent: 3,
        keep_ended_ms: 120_000,
    }
}

pub fn worker(name: &str) -> WorkerInfo {
    WorkerInfo {
        id: name.into(),
        addr: format_smolstr!("{name}:1"),
        labels: vec!["a".into(), "rack-1".into()],
        capacity: Resources {
            cpu_milli: 4000,
            memory_mb: 8000,
            gpus: 0,
        },
        is_draining: false,
    }
}

pub fn step(tasks: u32) -> StepSpec {
    StepSpec {
        tasks,
        needs: Resources {
            cpu_milli: 1000,
            memory_mb: 100,
            gpus: 0,
        },
        estimate_ms: 500,
        ..StepSpec::default()
    }
}

pub fn lasting(tasks: u32, may_miss: u32) -> StepSpec {
    StepSpec {
        is_lasting: true,
        most_per_worker: 1,
        may_miss,
        ..step(tasks)
    }
}

pub fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        payload: "payload".into(),
        steps,
        ..JobSpec::default()
    }
}

impl Pool {
    /// A pool of workers that have answered.
    pub fn new(workers: &[&str]) -> Self {
        let mut pool = Self {
            scheduler: Scheduler::new(limits()),
            now_ms: 1_000_000,
        };
        let rules = QueueRules {
            priority: 0,
            attempts: 2,
            stretch: 1.5,
            objective_ms: 600,
            has_policy: false,
        };
        pool.scheduler
            .set_rules(HashMap::from([("queue".into(), rules)]));
        pool.list(workers);
        for name in workers {
            pool.look(name, &[], &[]);
        }
        pool
    }

    pub fn now(&self) -> Now {
        Now {
            local_ms: self.now_ms,
            store_ms: self.now_ms,
            unix_ms: self.now_ms,
        }
    }

    pub fn list(&mut self, workers: &[&str]) {
        let infos = workers.iter().map(|name| worker(name)).collect();
        self.scheduler.set_workers(infos, self.now());
    }

    pub fn key(&self, name: &str) -> WorkerKey {
        self.scheduler.worker_key(name).expect("a known worker")
    }

    pub fn submit(&mut self, id: u64, spec: JobSpec) -> JobId {
        let id = JobId(id);
        self.scheduler
            .submit(id, "queue".into(), Arc::new(spec), self.now());
        id
    }

    pub fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        self.scheduler.tick(self.now());
    }

    /// Plans, and records all that is planned.
    pub fn round(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.tick(self.now());
        self.scheduler.plan(self.now());
        loop {
            let batch: Batch = self.scheduler.take_batch(32);
            if batch.changes.is_empty() && batch.ends.is_empty() {
                break;
            }
            self.scheduler.committed(&batch);
            actions.extend(batch.actions);
        }
        actions.extend(self.scheduler.take_urgent());
        actions
    }

    /// Answers all orders to start with success.
    pub fn started(&mut self, actions: &[Action]) -> Vec<(SmolStr, TaskKey, u32)> {
        let mut started = Vec::new();
        for action in actions {
            if let Action::Start {
                worker, task, run, ..
            } = action
            {
                let id = self.scheduler.worker(*worker).expect("a worker").id.clone();
                self.answer(*worker, *task, *run, StartOutcome::Started);
                started.push((id, *task, *run));
            }
        }
        started
    }

    pub fn answer(&mut self, worker: WorkerKey, task: TaskKey, run: u32, outcome: StartOutcome) {
        self.scheduler.start_lease(worker, self.now());
        let clock = (outcome != StartOutcome::Unanswered).then_some(self.now_ms);
        self.scheduler
            .start_answered(worker, task, run, outcome, clock, self.now());
    }

    pub fn name(&self, task: TaskKey) -> SmolStr {
        let job = self.scheduler.job(task.job);
        job.map(|job| job.task_name(task.index)).unwrap_or_default()
    }

    /// A look at a worker that lists runs and ends.
    pub fn look(
        &mut self,
        worker: &str,
        running: &[(SmolStr, u32, u32)],
        ended: &[(u64, SmolStr, u32, RunEnd)],
    ) {
        let key = self.key(worker);
        let running = running.iter().map(|(name, run, percent)| RunningTask {
            name: name.clone(),
            run: *run,
            checkpoint: "".to_smolstr(),
            percent: *percent,
            load: 0,
        });
        let ended = ended.iter().map(|(number, name, run, end)| End {
            number: *number,
            name: name.clone(),
            run: *run,
            end: *end,
            checkpoint: "".to_smolstr(),
        });
        let look = Look {
            sent_at_ms: self.now_ms,
            clock_ms: self.now_ms,
            recorded_end: 0,
            running: running.collect(),
            ended: ended.collect(),
        };
        self.scheduler.looked(key, look, self.now());
    }
}

/// The orders to start among actions.
pub fn starts(actions: &[Action]) -> Vec<(WorkerKey, TaskKey, u32)> {
    let starts = actions.iter().filter_map(|action| match action {
        Action::Start {
            worker, task, run, ..
        } => Some((*worker, *task, *run)),
        _ => None,
    });
    starts.collect()
}

/// The orders to stop among actions.
pub fn stops(actions: &[Action]) -> Vec<(SmolStr, u32)> {
    let stops = actions.iter().filter_map(|action| match action {
        Action::Stop { name, run, .. } => Some((name.clone(), *run)),
        _ => None,
    });
    stops.collect()
}
