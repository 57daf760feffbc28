//! The account of what teams use, under random events.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use scheduler::{Scheduler, StartOutcome, WorkerCommand};
use smol_str::SmolStr;
use submission::{AttemptOutcome, JobId, StepSpec, TaskKey, TaskPhase};
use support::{Pool, job, limits, sized_step, step};

/// The limit of the first team, as CPU in thousandths of a core.
const LIMIT_CPU_MILLI: u32 = 5000;

const WORKERS: [&str; 3] = ["one", "two", "three"];

/// Workers with the runs that they have, each with a lease.
struct Stage {
    /// What the first team used after the last event, as CPU in thousandths of a core.
    red_cpu_milli: u32,
    pool: Pool,
    jobs: Vec<(JobId, &'static str)>,
    unsent: Vec<WorkerCommand>,
    running: BTreeSet<(SmolStr, TaskKey, u32)>,
    lease_until_ms: BTreeMap<SmolStr, u64>,
    ends: BTreeMap<SmolStr, u64>,
    starts_unix_ms: BTreeMap<SmolStr, u64>,
}

impl Stage {
    fn new() -> Self {
        let mut pool = Pool::new(&WORKERS);
        pool.limit_cpu(&[("red", LIMIT_CPU_MILLI)]);
        Self {
            red_cpu_milli: 0,
            pool,
            jobs: Vec::new(),
            unsent: Vec::new(),
            running: BTreeSet::new(),
            lease_until_ms: BTreeMap::new(),
            ends: BTreeMap::new(),
            starts_unix_ms: BTreeMap::new(),
        }
    }

    fn apply(&mut self, event: u8, pick: usize) {
        let worker = WORKERS[pick % WORKERS.len()];
        let now = self.pool.now();
        match event {
            0..=2 => {
                let team = ["red", "blue", ""][pick % 3];
                let spec = StepSpec {
                    is_gang: pick.is_multiple_of(5),
                    is_best_effort: pick.is_multiple_of(7),
                    is_service: pick.is_multiple_of(11),
                    ..sized_step(400 + u32::try_from(pick % 9).unwrap() * 100)
                };
                let tasks = 1 + u32::try_from(pick % 4).unwrap();
                let spec = job(vec![StepSpec { tasks, ..spec }, step(1)]);
                let id = u64::try_from(self.jobs.len()).unwrap();
                self.jobs
                    .push((self.pool.submit_for_team(id, team, spec), team));
            }
            3 if !self.jobs.is_empty() => {
                let (id, _) = self.jobs[pick % self.jobs.len()];
                self.pool.scheduler.cancel(id, now);
            }
            4..=6 => {
                let commands = self.pool.round();
                self.unsent.extend(commands);
            }
            7..=10 if !self.unsent.is_empty() => {
                let command = self.unsent.swap_remove(pick % self.unsent.len());
                self.send(&command, pick);
            }
            11..=12 => self.report(worker, pick),
            13 => {
                self.pool.advance([10, 200, 3000][pick % 3]);
                let now_ms = self.pool.now_ms;
                let leases = &self.lease_until_ms;
                self.running
                    .retain(|(id, ..)| leases.get(id).is_some_and(|until| *until > now_ms));
            }
            14 => {
                let listed = WORKERS
                    .iter()
                    .filter(|id| **id != worker || pick.is_multiple_of(2));
                let listed: Vec<_> = listed.copied().collect();
                self.pool.set_registry(&listed);
            }
            15 => {
                if let Some(key) = self.pool.scheduler.worker_key(worker)
                    && let Some(plan) = self.pool.scheduler.lease_renewal_plan(key, now)
                    && let Some(until_ms) = plan.lease_until_ms
                {
                    self.lease_until_ms.insert(worker.into(), until_ms);
                }
            }
            16 if pick.is_multiple_of(4) => {
                self.running.retain(|(id, ..)| id != worker);
                self.ends.remove(worker);
                let started = self.starts_unix_ms.entry(worker.into()).or_insert(1);
                *started += 1;
                self.report(worker, 1);
            }
            17 if pick.is_multiple_of(4) => self.take_over(),
            _ => {}
        }
    }

    fn send(&mut self, command: &WorkerCommand, pick: usize) {
        let now = self.pool.now();
        match command {
            WorkerCommand::Start {
                worker,
                task,
                attempt,
                ..
            } => {
                let Some(info) = self.pool.scheduler.worker(*worker) else {
                    return;
                };
                let id = info.id.clone();
                if !self.pool.scheduler.may_start(*worker, *task, *attempt) {
                    let outcome = StartOutcome::Refused;
                    let scheduler = &mut self.pool.scheduler;
                    scheduler.apply_start_outcome(*worker, *task, *attempt, outcome, None, now);
                    return;
                }
                let scheduler = &mut self.pool.scheduler;
                let until_ms = scheduler.grant_start_lease(*worker, *task, now);
                let (arrives, outcome) = [
                    (true, StartOutcome::Started),
                    (true, StartOutcome::Started),
                    (true, StartOutcome::OutcomeUnknown),
                    (false, StartOutcome::OutcomeUnknown),
                    (false, StartOutcome::NoFreeCapacity),
                ][pick % 5];
                if arrives && let Some(until_ms) = until_ms {
                    self.lease_until_ms.insert(id.clone(), until_ms);
                    self.running.insert((id, *task, *attempt));
                }
                let clock = (outcome != StartOutcome::OutcomeUnknown).then_some(self.pool.now_ms);
                let scheduler = &mut self.pool.scheduler;
                scheduler.apply_start_outcome(*worker, *task, *attempt, outcome, clock, now);
            }
            WorkerCommand::Stop {
                worker,
                task: Some(task),
                attempt,
                ..
            } => {
                if let Some(info) = self.pool.scheduler.worker(*worker) {
                    self.running.remove(&(info.id.clone(), *task, *attempt));
                }
            }
            _ => {}
        }
    }

    fn report(&mut self, worker: &str, pick: usize) {
        if self.pool.scheduler.worker_key(worker).is_none() {
            return;
        }
        let on_worker = self.running.iter().filter(|(id, ..)| id == worker);
        let mut on_worker: Vec<_> = on_worker.cloned().collect();
        let mut ended = Vec::new();
        if pick.is_multiple_of(2)
            && let Some((id, task, attempt)) = on_worker.pop()
        {
            let number = self.ends.entry(id.clone()).or_default();
            *number += 1;
            let outcome = [AttemptOutcome::Done, AttemptOutcome::Failed][pick / 2 % 2];
            ended.push((*number, self.pool.task_name(task), attempt, outcome));
            self.running.remove(&(id, task, attempt));
            let is_gang = self
                .pool
                .scheduler
                .job(task.job)
                .is_some_and(|job| job.step(task.index).is_gang);
            if is_gang {
                // The members of a gang end together.
                let other = |key: &TaskKey| key.job == task.job;
                self.running.retain(|(_, key, _)| !other(key));
                on_worker.retain(|(_, key, _)| !other(key));
            }
        }
        let running = on_worker
            .iter()
            .map(|(_, task, attempt)| (self.pool.task_name(*task), *attempt, 50));
        let running: Vec<_> = running.collect();
        let start_unix_ms = Some(self.starts_unix_ms.get(worker).copied().unwrap_or(1));
        self.pool
            .report_since(start_unix_ms, worker, &running, &ended);
    }

    /// Lets a new owner adopt the jobs as they are recorded.
    fn take_over(&mut self) {
        self.pool.round();
        self.unsent.clear();
        let scheduler = Scheduler::new(limits());
        let previous = std::mem::replace(&mut self.pool.scheduler, scheduler);
        let now = self.pool.now();
        for (id, _) in &self.jobs {
            if let Some(job) = previous.job(*id) {
                self.pool.scheduler.adopt_job(job.clone(), now);
            }
        }
        self.pool.set_registry(&WORKERS);
        self.pool.limit_cpu(&[("red", LIMIT_CPU_MILLI)]);
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        let (red, _) = self.pool.team_cpu("red");
        let before = std::mem::replace(&mut self.red_cpu_milli, red);
        prop_assert!(red <= before.max(LIMIT_CPU_MILLI), "{before}, then {red}");
        for team in ["red", "blue"] {
            let (mut in_use, mut waiting) = (0, 0);
            let of_team = self.jobs.iter().filter(|(_, owner)| *owner == team);
            for job in of_team.filter_map(|(id, _)| self.pool.scheduler.job(*id)) {
                for (index, task) in job.tasks() {
                    let cpu = job.step(index).needs.cpu_milli;
                    let (occurrence, step, _) = job.position(index);
                    match task.phase {
                        TaskPhase::Assigned { .. } => in_use += cpu,
                        TaskPhase::Idle
                            if !job.has_ended() && job.is_unblocked(occurrence, step) =>
                        {
                            waiting += cpu;
                        }
                        TaskPhase::Idle | TaskPhase::Done => {}
                    }
                }
            }
            prop_assert_eq!(self.pool.team_cpu(team), (in_use, waiting), "{}", team);
            let running = self.running.iter().filter_map(|(_, task, _)| {
                let job = self.pool.scheduler.job(task.job)?;
                (job.team == team).then(|| job.step(task.index).needs.cpu_milli)
            });
            let running: u32 = running.sum();
            prop_assert!(in_use >= running, "{team}: {in_use} counted, {running} run");
        }
        Ok(())
    }
}

proptest! {
    /// What a team uses is kept incrementally. It must not drift, nor be lower than what runs, nor rise above the limit.
    #[test]
    fn the_use_of_teams_equals_a_recount_after_any_events(
        events in proptest::collection::vec((0..18_u8, 0..60_usize), 1..150),
    ) {
        let mut stage = Stage::new();
        for (event, pick) in events {
            stage.apply(event, pick);
            stage.check()?;
        }
    }
}
