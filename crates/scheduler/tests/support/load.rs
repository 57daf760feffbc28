//! A load model: jobs that arrive in peaks, workers on which tasks take their time, all in virtual time.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use scheduler::{OverloadRules, Scheduler, WorkerInfo, WorkerKey};
use smol_str::{SmolStr, format_smolstr};
use submission::{AttemptOutcome, JobId, JobSpec, JobState, Resources, StepSpec, TaskKey};

use super::{Pool, job, sized_step, starts, worker};

/// The interval at which workers report and tasks are placed.
const ROUND_MS: u64 = 20;

/// A kind of job: each has one step.
#[derive(Debug, Clone, Copy)]
pub struct JobKind {
    pub tasks: u32,
    pub cpu_milli: u32,
    pub duration_ms: u64,
    /// The duration that callers estimate, in percent of the actual one.
    pub estimate_percent: u64,
}

impl JobKind {
    fn spec(self) -> JobSpec {
        job(vec![StepSpec {
            tasks: self.tasks,
            estimated_duration_ms: self.duration_ms * self.estimate_percent / 100,
            ..sized_step(self.cpu_milli)
        }])
    }

    /// The CPU that keeps up with `per_s` jobs of this kind a second, in thousandths of a core.
    pub fn cpu_milli_for(self, per_s: u64) -> u64 {
        u64::from(self.tasks) * u64::from(self.cpu_milli) * self.duration_ms * per_s / 1000
    }
}

/// A team, with the jobs that it sends.
#[derive(Debug, Clone)]
pub struct TeamLoad {
    pub team: SmolStr,
    pub kind: JobKind,
    /// The jobs per 1000 s.
    pub millijobs_per_s: u64,
}

/// A job that was submitted.
#[derive(Debug, Clone)]
pub struct SubmittedJob {
    pub team: SmolStr,
    pub kind: JobKind,
    pub submitted_at_ms: u64,
    pub done_at_ms: Option<u64>,
}

impl SubmittedJob {
    /// The latency objective by the queue rules of [`Pool::new`].
    fn objective_ms(&self) -> u64 {
        self.kind.duration_ms * 3 / 2 + 600
    }

    /// Whether the job was done within `multiple` times its latency objective.
    pub fn is_done_within(&self, multiple: u64) -> bool {
        self.done_at_ms
            .is_some_and(|at_ms| at_ms - self.submitted_at_ms <= multiple * self.objective_ms())
    }
}

/// A pool under load.
pub struct LoadedPool {
    pub pool: Pool,
    pub jobs: BTreeMap<JobId, SubmittedJob>,
    workers: Vec<SmolStr>,
    /// What runs on each worker: when it ends, and its attempt number.
    running: HashMap<SmolStr, BTreeMap<TaskKey, (u64, u32)>>,
    ends: HashMap<SmolStr, Vec<(u64, SmolStr, u32, AttemptOutcome)>>,
    end_numbers: HashMap<SmolStr, u64>,
    /// All started attempts, in order.
    pub started: Vec<(WorkerKey, TaskKey, u32)>,
}

impl LoadedPool {
    /// A pool of `workers` workers with 32 cores each.
    pub fn new(workers: usize) -> Self {
        Self::with_overload_rules(workers, OverloadRules::default())
    }

    /// A pool like that of [`LoadedPool::new`], with rules on overload.
    pub fn with_overload_rules(workers: usize, rules: OverloadRules) -> Self {
        let names: Vec<SmolStr> = (0..workers).map(|n| format_smolstr!("w-{n:03}")).collect();
        let mut pool = Pool::new(&[]);
        pool.scheduler = pool.scheduler.with_overload_rules(rules);
        let infos = names.iter().map(|name| WorkerInfo {
            start_unix_ms: None,
            capacity: Resources {
                cpu_milli: 32_000,
                memory_mb: 128_000,
                gpus: 0,
            },
            ..worker(name)
        });
        pool.scheduler.set_workers(infos.collect(), pool.now());
        for name in &names {
            pool.report(name, &[], &[]);
        }
        Self {
            pool,
            jobs: BTreeMap::new(),
            workers: names,
            running: HashMap::new(),
            ends: HashMap::new(),
            end_numbers: HashMap::new(),
            started: Vec::new(),
        }
    }

    pub fn scheduler(&mut self) -> &mut Scheduler {
        &mut self.pool.scheduler
    }

    /// Lets `per_s` jobs of the kinds, in turn, arrive each second for `duration_ms`.
    pub fn run(&mut self, kinds: &[JobKind], per_s: u64, duration_ms: u64) {
        let end_ms = self.pool.now_ms + duration_ms;
        let mut due_millijobs = 0;
        while self.pool.now_ms < end_ms {
            due_millijobs += per_s * ROUND_MS;
            while due_millijobs >= 1000 {
                due_millijobs -= 1000;
                self.submit(kinds[self.jobs.len() % kinds.len()]);
            }
            self.round();
        }
    }

    /// Lets the jobs of teams arrive for `duration_ms`.
    pub fn run_teams(&mut self, loads: &[TeamLoad], duration_ms: u64) {
        let end_ms = self.pool.now_ms + duration_ms;
        let mut due_micro = vec![0; loads.len()];
        while self.pool.now_ms < end_ms {
            for (load, due_micro) in loads.iter().zip(&mut due_micro) {
                *due_micro += load.millijobs_per_s * ROUND_MS;
                while *due_micro >= 1_000_000 {
                    *due_micro -= 1_000_000;
                    self.submit_for_team(load.kind, load.team.clone());
                }
            }
            self.round();
        }
    }

    /// Submits a job without a team.
    pub fn submit(&mut self, kind: JobKind) {
        self.submit_for_team(kind, SmolStr::default());
    }

    pub fn submit_for_team(&mut self, kind: JobKind, team: SmolStr) {
        // Ids are in no order, as callers choose them.
        let id = JobId((self.jobs.len() as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let now = self.pool.now();
        let spec = Arc::new(kind.spec());
        self.scheduler()
            .submit_for_team(id, "queue".into(), team.clone(), spec, now);
        let submitted = SubmittedJob {
            team,
            kind,
            submitted_at_ms: now.local_ms,
            done_at_ms: None,
        };
        self.jobs.insert(id, submitted);
    }

    /// Lets tasks end, workers report and the scheduler place tasks, and advances the time by [`ROUND_MS`].
    fn round(&mut self) {
        self.pool.advance(ROUND_MS);
        let now_ms = self.pool.now_ms;
        for worker in self.workers.clone() {
            let running = self.running.entry(worker.clone()).or_default();
            let ended: Vec<_> = running
                .iter()
                .filter(|(_, (ends_at_ms, _))| *ends_at_ms <= now_ms)
                .map(|(task, (_, attempt))| (*task, *attempt))
                .collect();
            running.retain(|_, (ends_at_ms, _)| *ends_at_ms > now_ms);
            let still: Vec<_> = running.iter().map(|(task, run)| (*task, run.1)).collect();
            let still: Vec<_> = still
                .into_iter()
                .map(|(task, attempt)| (self.pool.task_name(task), attempt, 50))
                .collect();
            let number = self.end_numbers.entry(worker.clone()).or_default();
            let reported = self.ends.entry(worker.clone()).or_default();
            reported.clear();
            for (task, attempt) in ended {
                *number += 1;
                let name = self.pool.task_name(task);
                reported.push((*number, name, attempt, AttemptOutcome::Done));
            }
            self.pool.report(&worker, &still, reported);
        }
        for (id, job) in self
            .jobs
            .iter_mut()
            .filter(|(_, job)| job.done_at_ms.is_none())
        {
            let state = self.pool.scheduler.job(*id).map(submission::Job::state);
            if state == Some(JobState::Done) {
                job.done_at_ms = Some(now_ms);
            }
        }
        let commands = self.pool.round();
        let started = starts(&commands);
        self.started.extend(&started);
        self.pool.confirm_starts(&commands);
        for (key, task, attempt) in started {
            let worker = self
                .pool
                .scheduler
                .worker(key)
                .expect("a worker")
                .id
                .clone();
            let duration_ms = self.jobs[&task.job].kind.duration_ms;
            let running = self.running.entry(worker).or_default();
            running.insert(task, (now_ms + duration_ms, attempt));
        }
    }
}
