//! A test pool whose workers crash.

use scheduler::{JobStatus, WorkerCommand, WorkerInfo, WorkerKey};
use smol_str::{SmolStr, format_smolstr};
use submission::{AttemptOutcome, JobId, TaskKey};

use super::{GRACE_MS, LEASE_MS, Pool, starts, worker};

/// How the scheduler learns that the incarnation of a worker has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    AnotherIdResponds,
    VmIsDown,
    AnotherStartReports,
    AnotherIdRespondsAfterTheLease,
    /// The worker is silent, and its entry is gone. Once its leases have expired, the leader tells that its VM is down.
    VmIsDownAfterTheLeaseAndTheEntry,
    /// The same, but then the worker is listed again and reports another start.
    AnotherStartReportsAfterTheLeaseAndTheEntry,
}

pub const ALL_EVIDENCE: [Evidence; 6] = [
    Evidence::AnotherIdResponds,
    Evidence::VmIsDown,
    Evidence::AnotherStartReports,
    Evidence::AnotherIdRespondsAfterTheLease,
    Evidence::VmIsDownAfterTheLeaseAndTheEntry,
    Evidence::AnotherStartReportsAfterTheLeaseAndTheEntry,
];

/// A pool whose workers crash and come back under a new id or a new start.
pub struct Workers {
    pub pool: Pool,
    pub infos: Vec<WorkerInfo>,
    incarnations: u64,
}

impl Workers {
    pub fn new(count: u64) -> Self {
        let mut workers = Self {
            pool: Pool::new(&[]),
            infos: Vec::new(),
            incarnations: 0,
        };
        for _ in 0..count {
            workers.add();
        }
        workers.register();
        workers
    }

    pub fn add(&mut self) {
        self.incarnations += 1;
        let name = format_smolstr!("worker-{}", self.incarnations);
        self.infos.push(WorkerInfo {
            start_unix_ms: Some(self.incarnations),
            ..worker(&name)
        });
    }

    /// Lists the workers in the registry, and lets each worker without attempts report.
    pub fn register(&mut self) {
        self.pool
            .scheduler
            .set_workers(self.infos.clone(), self.pool.now());
        for info in self.infos.clone() {
            self.pool
                .report_since(info.start_unix_ms, &info.id, &[], &[]);
        }
    }

    pub fn crash(&mut self, key: WorkerKey, evidence: Evidence) {
        let now = self.pool.now();
        let info = self.pool.scheduler.worker(key).unwrap().clone();
        self.infos.retain(|other| other.id != info.id);
        match evidence {
            Evidence::AnotherIdResponds => {
                assert!(
                    self.pool
                        .scheduler
                        .worker_replaced(key, info.start_unix_ms, now)
                );
                self.add();
            }
            Evidence::VmIsDown => {
                self.pool.scheduler.mark_unresponsive(key);
                self.pool
                    .scheduler
                    .incarnation_crashed(key, info.start_unix_ms, now);
                self.add();
            }
            Evidence::AnotherStartReports => {
                self.incarnations += 1;
                self.infos.push(WorkerInfo {
                    start_unix_ms: Some(self.incarnations),
                    ..info
                });
            }
            Evidence::AnotherIdRespondsAfterTheLease => {
                self.pool.scheduler.mark_unresponsive(key);
                self.pool.advance(GRACE_MS + 2 * LEASE_MS);
                let now = self.pool.now();
                self.pool
                    .scheduler
                    .worker_replaced(key, info.start_unix_ms, now);
                self.add();
            }
            Evidence::VmIsDownAfterTheLeaseAndTheEntry => {
                self.fall_silent_and_leave_registry(key);
                let now = self.pool.now();
                let demand = self.pool.scheduler.demand(now);
                // A worker of which nothing could be counted is forgotten.
                let is_forgotten = self.pool.scheduler.worker(key).is_none();
                assert!(is_forgotten || demand.unresponsive.contains(&info.id));
                self.pool
                    .scheduler
                    .incarnation_crashed(key, info.start_unix_ms, now);
                self.add();
            }
            Evidence::AnotherStartReportsAfterTheLeaseAndTheEntry => {
                self.fall_silent_and_leave_registry(key);
                self.incarnations += 1;
                self.infos.push(WorkerInfo {
                    start_unix_ms: Some(self.incarnations),
                    ..info
                });
            }
        }
        self.pool.advance(10);
        self.register();
    }

    /// Lets a worker without an entry be silent until its leases have expired.
    fn fall_silent_and_leave_registry(&mut self, key: WorkerKey) {
        self.pool.scheduler.mark_unresponsive(key);
        for _ in 0..4 {
            self.pool
                .scheduler
                .set_workers(self.infos.clone(), self.pool.now());
            self.pool.advance((GRACE_MS + 2 * LEASE_MS) / 4);
        }
    }

    /// Lets the task that `commands` start run for `run_ms`, and then its worker and another, which is idle, crash.
    pub fn crash_beside_an_idle_worker(&mut self, commands: &[WorkerCommand], run_ms: u64) {
        let (key, task, attempt) = starts(commands)[0];
        self.pool.confirm_starts(commands);
        self.pool.advance(run_ms);
        let info = self.pool.scheduler.worker(key).unwrap().clone();
        let running = [(self.pool.task_name(task), attempt, 50)];
        let start = info.start_unix_ms;
        self.pool.report_since(start, &info.id, &running, &[]);
        let is_idle = |other: &&WorkerInfo| other.id != info.id;
        let idle = self.infos.iter().find(is_idle).unwrap().clone();
        self.infos.retain(|other| other.id != idle.id);
        let idle_key = self.pool.key(&idle.id);
        let now = self.pool.now();
        let scheduler = &mut self.pool.scheduler;
        assert!(scheduler.worker_replaced(idle_key, idle.start_unix_ms, now));
        self.crash(key, Evidence::AnotherIdResponds);
        self.pool.advance(3000);
    }

    /// Plays rounds in which a task of a deadly job crashes its worker and all other tasks end, until nothing starts any
    /// more. Returns all starts.
    pub fn play(&mut self, evidence: Evidence, is_deadly: impl Fn(JobId) -> bool) -> Vec<TaskKey> {
        let mut started = Vec::new();
        let mut ends = 0;
        for _ in 0..40 {
            let commands = self.pool.round();
            let running = starts(&commands);
            if running.is_empty() {
                break;
            }
            self.pool.confirm_starts(&commands);
            started.extend(running.iter().map(|(_, task, _)| *task));
            self.pool.advance(50);
            let deadly = running.iter().filter(|(_, task, _)| is_deadly(task.job));
            let mut crashing: Vec<_> = deadly.map(|(worker, ..)| *worker).collect();
            crashing.dedup();
            let mut reports: Vec<(SmolStr, u64, Vec<_>)> = Vec::new();
            for (key, task, attempt) in &running {
                if crashing.contains(key) {
                    continue;
                }
                ends += 1;
                let info = self.pool.scheduler.worker(*key).unwrap();
                let end = (
                    ends,
                    self.pool.task_name(*task),
                    *attempt,
                    AttemptOutcome::Done,
                );
                let start = info.start_unix_ms.unwrap();
                reports.push((info.id.clone(), start, vec![end]));
            }
            for (id, start, ended) in reports {
                let running = self.still_running(&id, &running, &ended);
                self.pool.report_since(Some(start), &id, &running, &ended);
            }
            for key in crashing {
                if self.pool.scheduler.worker(key).is_some() {
                    self.crash(key, evidence);
                }
            }
        }
        started
    }

    /// The tasks of a round that still run on a worker.
    pub fn still_running(
        &self,
        id: &str,
        started: &[(WorkerKey, TaskKey, u32)],
        ended: &[(u64, SmolStr, u32, AttemptOutcome)],
    ) -> Vec<(SmolStr, u32, u32)> {
        let key = self.pool.key(id);
        let here = started.iter().filter(|(worker, task, attempt)| {
            *worker == key && self.pool.scheduler.is_assigned(key, *task, *attempt)
        });
        let names = here.map(|(_, task, attempt)| (self.pool.task_name(*task), *attempt, 50));
        let running = names.filter(|(name, ..)| ended.iter().all(|(_, other, ..)| other != name));
        running.collect()
    }

    pub fn state(&self, id: JobId) -> JobStatus {
        self.pool.scheduler.job_status(id)
    }
}
