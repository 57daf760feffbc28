//! The number of workers that the pool wants, and the workers that the pool could give up.
//!
//! Built for queues that peak in turn: for a few seconds, one queue submits several times its mean load.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::ready::{Prospect, Rank, StepKey};
use crate::scheduler::Scheduler;
use crate::types::Now;
use crate::worker::UnavailableReason;

/// How far ahead the demand is extrapolated. A VM takes 1.5 s to move, and its worker is known 0.5 s later.
const FORECAST_MS: u64 = 1500;

/// The shortest interval over which the growth of the demand is measured.
const TREND_SPAN_MS: u64 = 800;

/// The weight of waiting work that is past its latest start, in percent. Such work is worth little, but has to be done
/// at some time.
const PAST_LATEST_START_WEIGHT_PERCENT: u64 = 50;

/// The part of a worker's capacity that tasks of different sizes can use, in percent.
const USABLE_CAPACITY_PERCENT: u64 = 90;

/// The smallest number of workers that a pool wants, so that work goes on while one is lost or drained.
const MIN_WORKERS: usize = 2;

/// The capacity of a worker, in thousandths of a core, when no worker is listed.
const ASSUMED_CPU_MILLI: u64 = 16_000;

/// A worker that could be given tasks, has none, and whose reported ends are all recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdleWorker {
    /// The id of the worker's incarnation.
    pub id: SmolStr,
    /// How long the worker has had no task, in ms.
    pub idle_ms: u64,
}

/// The demand of a pool for workers, and the state of the pool's workers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Demand {
    /// The number of workers that service tasks need, because of their size, of their limits on tasks per worker, and of
    /// drains that wait for a worker with room.
    pub service_demand_workers: usize,
    /// The number of workers for the work that can still meet its latency objective, including the growth expected
    /// until a moved VM is ready. At least the minimum of a pool and what service tasks need.
    pub urgent_demand_workers: usize,
    /// The number of workers for all work of the pool, at least `urgent_demand_workers`.
    pub total_demand_workers: usize,
    /// The ids of the workers that run service tasks.
    pub service_workers: Vec<SmolStr>,
    /// The ids of the workers to which no new task is assigned now, with the reason. Only workers that the registry
    /// lists and that have accepted a request with this owner's term.
    pub unavailable: Vec<(SmolStr, UnavailableReason)>,
    /// The ids of the workers that are unresponsive or have no known address, and to which attempts are assigned or
    /// which may turn out to have crashed.
    pub unresponsive: Vec<SmolStr>,
    /// The workers that could be given tasks, have none, and whose reported ends are all recorded.
    pub idle: Vec<IdleWorker>,
}

/// The last measured demand and its growth, in thousandths of a core.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Trend {
    at_ms: u64,
    cpu_milli: u64,
    growth_cpu_milli_per_s: u64,
}

impl Trend {
    fn update(&mut self, cpu_milli: u64, now_ms: u64) {
        let span_ms = now_ms.saturating_sub(self.at_ms);
        if span_ms < TREND_SPAN_MS {
            return;
        }
        let growth = cpu_milli.saturating_sub(self.cpu_milli) * 1000 / span_ms;
        self.growth_cpu_milli_per_s = if self.at_ms == 0 { 0 } else { growth };
        self.at_ms = now_ms;
        self.cpu_milli = cpu_milli;
    }
}

impl Scheduler {
    /// Returns the pool's demand for workers, and updates the measured growth of the demand.
    pub fn demand(&mut self, now: Now) -> Demand {
        let (waiting, waiting_past_latest_start) = self.waiting_cpu();
        let (running, running_past_deadline, service_workers) = self.running_cpu(now);
        self.trend.update(running + waiting, now.local_ms);
        let expected_growth = self.trend.growth_cpu_milli_per_s * FORECAST_MS / 1000;
        let arriving = self.arriving_cpu(now);
        let on_time = (running + waiting + expected_growth).max(arriving.saturating_add(waiting));
        let past_objective = running_past_deadline
            + waiting_past_latest_start * PAST_LATEST_START_WEIGHT_PERCENT / 100;
        let listed = self.workers.values().filter(|worker| worker.is_listed);
        let largest = listed
            .map(|worker| u64::from(worker.info.capacity.cpu_milli))
            .max();
        let usable_cpu_milli =
            largest.unwrap_or(ASSUMED_CPU_MILLI).max(1000) * USABLE_CAPACITY_PERCENT / 100;
        let workers_for =
            |cpu: u64| usize::try_from(cpu.div_ceil(usable_cpu_milli)).unwrap_or(usize::MAX);
        let service_demand_workers = self
            .min_service_workers()
            .max(workers_for(self.service_cpu()))
            .max(self.workers_for_blocked_drains(now));
        let min_workers = service_workers
            .len()
            .max(service_demand_workers)
            .max(MIN_WORKERS);
        let accepting = self
            .workers
            .values()
            .filter(|worker| worker.is_listed && worker.incarnation.has_accepted_term);
        let unavailable = accepting.filter_map(|worker| {
            let reason = worker.unavailable_reason(now.local_ms)?;
            Some((worker.info.id.clone(), reason))
        });
        let unresponsive = self.workers.values().filter(|worker| {
            (!worker.attempts.is_empty() || worker.awaits_proof_of_crash(now.local_ms))
                && (worker.is_unresponsive || worker.info.addr.is_empty())
        });
        Demand {
            unresponsive: unresponsive.map(|worker| worker.info.id.clone()).collect(),
            service_demand_workers,
            urgent_demand_workers: workers_for(on_time).max(min_workers),
            total_demand_workers: workers_for(on_time + past_objective).max(min_workers),
            service_workers,
            unavailable: unavailable.collect(),
            idle: self.idle_workers(now),
        }
    }

    /// The number of workers that service steps need because of their limits on tasks per worker.
    fn min_service_workers(&self) -> usize {
        let jobs = self.service_jobs.iter().filter_map(|id| self.jobs.get(id));
        let steps = jobs.flat_map(|job| {
            let steps = job.spec().steps.iter().enumerate();
            steps.map(move |(index, step)| (job, index, step))
        });
        let limited = steps.filter(|(_, _, step)| step.is_service && step.max_per_worker > 0);
        let workers = limited.map(|(job, index, step)| {
            let max_tasks = self.teams.max_tasks(&job.team, step.needs);
            let tasks = job.tasks_not_held(index).min(max_tasks);
            tasks.div_ceil(step.max_per_worker)
        });
        workers.max().map_or(0, |workers| workers as usize)
    }

    /// The number of workers with which each drain that waits for room has one without service tasks to move to; 0 if no
    /// drain waits.
    fn workers_for_blocked_drains(&self, now: Now) -> usize {
        let workers = self.workers.values();
        let blocked = workers.filter(|worker| worker.has_blocked_drain(now.local_ms));
        let blocked = blocked.count();
        if blocked == 0 {
            return 0;
        }
        let usable = self.workers.values();
        let usable = usable.filter(|worker| worker.is_usable(now.local_ms));
        let with_services = usable.filter(|worker| worker.service_attempts > 0);
        with_services.count() + blocked
    }

    /// The CPU, in thousandths of a core, of all service tasks of the pool that are not held, as far as the limits of teams allow
    /// them.
    fn service_cpu(&self) -> u64 {
        let mut by_team: BTreeMap<&SmolStr, u64> = BTreeMap::new();
        for job in self.service_jobs.iter().filter_map(|id| self.jobs.get(id)) {
            let steps = job.spec().steps.iter().enumerate();
            let service = steps.filter(|(_, step)| step.is_service);
            let cpu = service.map(|(index, step)| {
                u64::from(job.tasks_not_held(index)) * u64::from(step.footprint().cpu_milli)
            });
            *by_team.entry(&job.team).or_default() += cpu.sum::<u64>();
        }
        let allowed = by_team
            .into_iter()
            .map(|(team, cpu)| cpu.min(self.teams.max_cpu_milli(team)));
        allowed.sum()
    }

    /// The CPU that keeps up with the work that arrives, in thousandths of a core. The work of a team with a limit counts
    /// as far as the limit leaves room for it beside the team's waiting work.
    fn arriving_cpu(&mut self, now: Now) -> u64 {
        let mut arriving = self.arrivals.cpu_milli(now.local_ms);
        for (key, team) in self.teams.iter_mut() {
            let waiting = self.ready.by_team.waiting(key);
            let (on_time, past_latest_start) = waiting.startable_cpu_milli(team.headroom());
            let room = team
                .max_cpu_milli()
                .saturating_sub(on_time + past_latest_start);
            let of_team = team.arrivals.cpu_milli(now.local_ms).min(room);
            arriving = arriving.saturating_add(of_team);
        }
        arriving
    }

    /// The CPU, in thousandths of a core, in use by jobs that may meet their latency objective and by jobs that
    /// have missed their latency objective, and the ids of the workers that run service tasks.
    fn running_cpu(&self, now: Now) -> (u64, u64, Vec<SmolStr>) {
        let (mut on_time, mut past_deadline) = (0, 0);
        let mut service_workers = Vec::new();
        for worker in self.workers.values().filter(|worker| worker.is_listed) {
            let mut runs_service_tasks = false;
            for (task, attempt) in &worker.attempts {
                let cpu = u64::from(attempt.footprint.cpu_milli);
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let is_service = job.step(task.index).is_service;
                runs_service_tasks |= is_service;
                let is_past_deadline = !is_service && self.deadline_ms(job) < now.store_ms;
                if is_past_deadline {
                    past_deadline += cpu;
                } else {
                    on_time += cpu;
                }
            }
            if runs_service_tasks {
                service_workers.push(worker.info.id.clone());
            }
        }
        (on_time, past_deadline, service_workers)
    }

    fn idle_workers(&self, now: Now) -> Vec<IdleWorker> {
        let idle = self.workers.values().filter(|worker| {
            worker.is_usable(now.local_ms)
                && worker.attempts.is_empty()
                && !worker.incarnation.has_unrecorded_ends()
        });
        idle.map(|worker| IdleWorker {
            id: worker.info.id.clone(),
            idle_ms: now.local_ms.saturating_sub(worker.idle_since_ms),
        })
        .collect()
    }

    /// The CPU, in thousandths of a core, that waiting tasks need: of steps that can still start in time, and of steps
    /// past their latest start. Tasks that the limit of their team blocks are left out.
    fn waiting_cpu(&self) -> (u64, u64) {
        if !self.teams.is_active {
            return self.waiting_cpu_of(self.ready.ranked());
        }
        let mut sum = self.waiting_cpu_of(self.ready.by_team.without_team());
        for (key, team) in self.teams.iter() {
            let waiting = self.ready.by_team.waiting(key);
            let (on_time, past_latest_start) = waiting.startable_cpu_milli(team.headroom());
            sum.0 += on_time;
            sum.1 += past_latest_start;
        }
        sum
    }

    fn waiting_cpu_of(&self, steps: impl Iterator<Item = (Rank, StepKey)>) -> (u64, u64) {
        let (mut on_time, mut past_latest_start) = (0, 0);
        for (rank, key) in steps {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let step = usize::from(key.step);
            let idle = job.idle_tasks(key.occurrence, step);
            let cpu_per_task = u64::from(job.spec().steps[step].footprint().cpu_milli);
            let cpu = cpu_per_task * u64::try_from(idle.count()).unwrap_or(u64::MAX);
            if rank.prospect == Prospect::OnTime {
                on_time += cpu;
            } else {
                past_latest_start += cpu;
            }
        }
        (on_time, past_latest_start)
    }
}
