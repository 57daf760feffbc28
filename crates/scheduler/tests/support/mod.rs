//! A test pool: a scheduler with a few workers, in virtual time.

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

/// A pool in which the daemon, the workers and the store have the same clock.
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

pub fn service_step(tasks: u32, may_miss: u32) -> StepSpec {
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
    /// A pool of workers that have responded to a first poll.
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
        pool.set_registry(workers);
        for name in workers {
            pool.report(name, &[], &[]);
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

    pub fn set_registry(&mut self, workers: &[&str]) {
        let infos = workers.iter().map(|name| worker(name)).collect();
        self.scheduler.set_workers(infos, self.now());
    }

    pub fn key(&self, name: &str) -> WorkerKey {
        self.scheduler
            .worker_key(name)
            .expect("the worker is in the scheduler")
    }

    pub fn submit(&mut self, id: u64, spec: JobSpec) -> JobId {
        let id = JobId(id);
        self.scheduler
            .submit(id, "queue".into(), Arc::new(spec), self.now());
        id
    }

    /// Advances all clocks.
    pub fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        self.scheduler.tick(self.now());
    }

    /// Runs a round and records all its batches. Returns the commands that may be sent then.
    pub fn round(&mut self) -> Vec<Action> {
        let mut commands = Vec::new();
        self.scheduler.tick(self.now());
        self.scheduler.plan(self.now());
        loop {
            let batch: Batch = self.scheduler.take_batch(32);
            if batch.changes.is_empty() && batch.ends.is_empty() {
                break;
            }
            self.scheduler.committed(&batch);
            commands.extend(batch.actions);
        }
        commands.extend(self.scheduler.take_urgent());
        commands
    }

    /// Responds to all start commands with success.
    pub fn confirm_starts(&mut self, commands: &[Action]) -> Vec<(SmolStr, TaskKey, u32)> {
        let mut started = Vec::new();
        for command in commands {
            if let Action::Start {
                worker, task, run, ..
            } = command
            {
                let id = self
                    .scheduler
                    .worker(*worker)
                    .expect("the worker is in the scheduler")
                    .id
                    .clone();
                self.apply_start(*worker, *task, *run, StartOutcome::Started);
                started.push((id, *task, *run));
            }
        }
        started
    }

    /// Applies an outcome of a start command that carried a lease.
    pub fn apply_start(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        run: u32,
        outcome: StartOutcome,
    ) {
        self.scheduler.start_lease(worker, self.now());
        let clock = (outcome != StartOutcome::Unanswered).then_some(self.now_ms);
        self.scheduler
            .start_answered(worker, task, run, outcome, clock, self.now());
    }

    pub fn task_name(&self, task: TaskKey) -> SmolStr {
        let job = self.scheduler.job(task.job);
        job.map(|job| job.task_name(task.index)).unwrap_or_default()
    }

    /// Applies a worker's report: running tasks as (name, attempt, progress), and ended attempts as (number, name,
    /// attempt, outcome).
    pub fn report(
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
        let report = Look {
            sent_at_ms: self.now_ms,
            clock_ms: self.now_ms,
            recorded_end: 0,
            running: running.collect(),
            ended: ended.collect(),
        };
        self.scheduler.looked(key, report, self.now());
    }
}

/// The start commands among `commands`.
pub fn starts(commands: &[Action]) -> Vec<(WorkerKey, TaskKey, u32)> {
    let starts = commands.iter().filter_map(|command| match command {
        Action::Start {
            worker, task, run, ..
        } => Some((*worker, *task, *run)),
        _ => None,
    });
    starts.collect()
}

/// The stop commands among `commands`.
pub fn stops(commands: &[Action]) -> Vec<(SmolStr, u32)> {
    let stops = commands.iter().filter_map(|command| match command {
        Action::Stop { name, run, .. } => Some((name.clone(), *run)),
        _ => None,
    });
    stops.collect()
}
