//! A test pool: a scheduler with a few workers, in virtual time.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod crashes;
pub mod load;

use std::collections::HashMap;
use std::sync::Arc;

use scheduler::{
    Batch, EndedAttempt, Limits, Now, QueueRules, RunningTask, Scheduler, StartOutcome,
    WorkerCommand, WorkerInfo, WorkerKey, WorkerReport,
};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use submission::{AttemptOutcome, Job, JobId, JobSpec, Resources, StepSpec, TaskKey};

pub const LEASE_MS: u64 = 5000;
pub const MAX_LEASE_MS: u64 = 10_000;
pub const GRACE_MS: u64 = 4000;

/// A pool in which the daemon, the workers and the store have the same clock.
pub struct Pool {
    pub scheduler: Scheduler,
    pub now_ms: u64,
    /// The number of the last end that the polls acknowledge.
    pub acknowledged_end: u64,
    /// Whether the reports of workers hold only the first of their ends.
    pub has_more_ends: bool,
}

pub fn limits() -> Limits {
    Limits {
        lease_ms: LEASE_MS,
        max_lease_ms: MAX_LEASE_MS,
        owner_grace_ms: GRACE_MS,
        slow_clock_percent: 3,
        ended_job_retention_ms: 120_000,
        stop_ms: 200,
    }
}

pub fn worker(name: &str) -> WorkerInfo {
    WorkerInfo {
        id: name.into(),
        start_unix_ms: None,
        addr: format_smolstr!("{name}:1"),
        labels: vec!["a".into(), "rack-1".into()],
        capacity: Resources {
            cpu_milli: 4000,
            memory_mb: 8000,
            gpus: 0,
        },
        is_shutting_down: false,
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
        estimated_duration_ms: 500,
        ..StepSpec::default()
    }
}

/// A step of one task that needs this much CPU, in thousandths of a core.
pub fn sized_step(cpu_milli: u32) -> StepSpec {
    let mut step = step(1);
    step.needs.cpu_milli = cpu_milli;
    step
}

pub fn service_step(tasks: u32, max_unavailable: u32) -> StepSpec {
    StepSpec {
        is_service: true,
        max_per_worker: 1,
        max_unavailable,
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
            acknowledged_end: 0,
            has_more_ends: false,
        };
        let rules = QueueRules {
            priority: 0,
            max_failures: 2,
            latency_objective_factor: 1.5,
            latency_objective_base_ms: 600,
            policy: None,
        };
        pool.scheduler
            .set_queue_rules(HashMap::from([("queue".into(), rules)]));
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

    pub fn submit_for_team(&mut self, id: u64, team: &str, spec: JobSpec) -> JobId {
        let id = JobId(id);
        let now = self.now();
        self.scheduler
            .submit_for_team(id, "queue".into(), team.into(), Arc::new(spec), now);
        id
    }

    /// Limits what teams may use, by the CPU in thousandths of a core.
    pub fn limit_cpu(&mut self, limits: &[(&str, u32)]) {
        let limit = |cpu_milli| Resources {
            cpu_milli,
            memory_mb: u32::MAX,
            gpus: u32::MAX,
        };
        let limits = limits
            .iter()
            .map(|(team, cpu)| ((*team).into(), limit(*cpu)));
        self.scheduler.set_team_limits(limits.collect());
    }

    /// What a team uses and waits for, as CPU in thousandths of a core.
    pub fn team_cpu(&self, team: &str) -> (u32, u32) {
        let demands = self.scheduler.team_demand();
        let demand = demands.iter().find(|demand| demand.team == team);
        demand.map_or((0, 0), |demand| {
            (demand.in_use.cpu_milli, demand.waiting.cpu_milli)
        })
    }

    /// Advances all clocks.
    pub fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        self.scheduler.tick(self.now());
    }

    /// Runs a round and records all its batches. Returns the commands that may be sent then.
    pub fn round(&mut self) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        self.scheduler.tick(self.now());
        self.scheduler.plan(self.now());
        loop {
            let batch: Batch = self.scheduler.take_batch(98);
            if batch.changes.is_empty() && batch.ends.is_empty() {
                break;
            }
            self.scheduler.apply_commit(&batch);
            commands.extend(batch.commands);
        }
        commands.extend(self.scheduler.take_immediate_commands());
        commands
    }

    /// Responds to all start commands with success.
    pub fn confirm_starts(&mut self, commands: &[WorkerCommand]) -> Vec<(SmolStr, TaskKey, u32)> {
        let mut started = Vec::new();
        for command in commands {
            if let WorkerCommand::Start {
                worker,
                task,
                attempt,
                ..
            } = command
            {
                let id = self
                    .scheduler
                    .worker(*worker)
                    .expect("the worker is in the scheduler")
                    .id
                    .clone();
                self.apply_start(*worker, *task, *attempt, StartOutcome::Started);
                started.push((id, *task, *attempt));
            }
        }
        started
    }

    /// Applies an outcome of a start command that carried a lease.
    pub fn apply_start(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        attempt: u32,
        outcome: StartOutcome,
    ) {
        self.scheduler.grant_start_lease(worker, task, self.now());
        let is_response = !matches!(
            outcome,
            StartOutcome::OutcomeUnknown | StartOutcome::NoResponse | StartOutcome::NotDelivered
        );
        let clock = is_response.then_some(self.now_ms);
        self.scheduler
            .apply_start_outcome(worker, task, attempt, outcome, clock, self.now());
    }

    /// Plans a lease renewal of a worker, which acknowledges ends, and applies the worker's empty report in response. Returns
    /// the number of the last acknowledged end.
    pub fn acknowledge(&mut self, key: WorkerKey) -> u64 {
        let plan = self.scheduler.lease_renewal_plan(key, self.now());
        self.acknowledged_end = plan.map_or(0, |plan| plan.recorded_end);
        let worker = self.scheduler.worker(key).map(|info| info.id.clone());
        self.report(&worker.unwrap_or_default(), &[], &[]);
        std::mem::take(&mut self.acknowledged_end)
    }

    /// Whether a known job has ended.
    pub fn has_ended(&self, id: JobId) -> bool {
        self.scheduler.job(id).is_some_and(Job::has_ended)
    }

    pub fn task_name(&self, task: TaskKey) -> SmolStr {
        let job = self.scheduler.job(task.job);
        job.map(|job| job.task_name(task.index)).unwrap_or_default()
    }

    /// Applies a report of a worker whose start is unknown: running tasks as (name, attempt, progress), and ended attempts
    /// as (number, name, attempt, outcome).
    pub fn report(
        &mut self,
        worker: &str,
        running: &[(SmolStr, u32, u32)],
        ended: &[(u64, SmolStr, u32, AttemptOutcome)],
    ) {
        self.report_since(None, worker, running, ended);
    }

    /// Like [`Pool::report`], from the incarnation that started at `start_unix_ms`.
    pub fn report_since(
        &mut self,
        start_unix_ms: Option<u64>,
        worker: &str,
        running: &[(SmolStr, u32, u32)],
        ended: &[(u64, SmolStr, u32, AttemptOutcome)],
    ) {
        let key = self.key(worker);
        let running = running.iter().map(|(name, attempt, percent)| RunningTask {
            name: name.clone(),
            attempt: *attempt,
            checkpoint: "".to_smolstr(),
            progress_percent: *percent,
            load: 0,
        });
        let ended = ended
            .iter()
            .map(|(number, name, attempt, outcome)| EndedAttempt {
                number: *number,
                name: name.clone(),
                attempt: *attempt,
                outcome: *outcome,
                checkpoint: "".to_smolstr(),
            });
        let report = WorkerReport {
            request_sent_at_ms: self.now_ms,
            worker_clock_ms: self.now_ms,
            start_unix_ms,
            acknowledged_end: self.acknowledged_end,
            running: running.collect(),
            ended: ended.collect(),
            has_more_ends: self.has_more_ends,
        };
        self.scheduler.apply_report(key, report, self.now());
    }
}

/// The start commands among `commands`.
pub fn starts(commands: &[WorkerCommand]) -> Vec<(WorkerKey, TaskKey, u32)> {
    let starts = commands.iter().filter_map(|command| match command {
        WorkerCommand::Start {
            worker,
            task,
            attempt,
            ..
        } => Some((*worker, *task, *attempt)),
        _ => None,
    });
    starts.collect()
}

/// Runs a round, and returns the job of each started task in order.
pub fn started_jobs(pool: &mut Pool) -> Vec<u64> {
    let started = starts(&pool.round());
    let mut jobs: Vec<_> = started.iter().map(|(_, task, _)| task.job.0).collect();
    jobs.sort_unstable();
    jobs
}

/// The stop commands among `commands`.
pub fn stops(commands: &[WorkerCommand]) -> Vec<(SmolStr, u32)> {
    let stops = commands.iter().filter_map(|command| match command {
        WorkerCommand::Stop { name, attempt, .. } => Some((name.clone(), *attempt)),
        _ => None,
    });
    stops.collect()
}
