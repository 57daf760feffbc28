//! How many workers the pool wants, and which it could spare.
//!
//! Answers queues that take turns: each in its time asks for several times its mean, for a few seconds.

use smol_str::SmolStr;
use submission::Phase;

use crate::scheduler::Scheduler;
use crate::types::Now;
use crate::worker::Unusable;

/// How far ahead the demand is wanted: a VM takes 1.5 s to move, and half a second until its worker is known.
const AHEAD_MS: u64 = 1500;

/// The span over which the trend of the demand is taken.
const TREND_SPAN_MS: u64 = 800;

/// Work that is late counts by this share, in percent: it earns little, but it has to be done some time.
const LATE_SHARE_PERCENT: u64 = 50;

/// The share of a worker that tasks of different sizes fill, in percent.
const FILL_PERCENT: u64 = 90;

/// The workers that a pool keeps whatever it has to do. One may be lost or emptied without a pause.
const LEAST_WORKERS: usize = 2;

/// The size of a worker when none is known.
const ASSUMED_CPU_MILLI: u64 = 16_000;

/// A worker on which nothing runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdleWorker {
    /// The life of the worker.
    pub id: SmolStr,
    /// For how long.
    pub idle_ms: u64,
}

/// What the pool wants.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Demand {
    /// How many workers it could use for work that can be on time, now and at the end of a move by the trend.
    pub urgent: usize,
    /// How many it could use for all its work.
    pub wanted: usize,
    /// The workers on which lasting tasks run.
    pub steady: Vec<SmolStr>,
    /// The workers that get no new work now, and why.
    pub unusable: Vec<(SmolStr, Unusable)>,
    /// The workers that do not answer, and on which something runs or may run.
    pub silent: Vec<SmolStr>,
    /// The workers on which nothing runs.
    pub idle: Vec<IdleWorker>,
}

/// The demand of a moment ago.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Trend {
    at_ms: u64,
    cpu_milli: u64,
    growth_milli_per_s: u64,
}

impl Trend {
    fn note(&mut self, cpu_milli: u64, now_ms: u64) {
        let span_ms = now_ms.saturating_sub(self.at_ms);
        if span_ms < TREND_SPAN_MS {
            return;
        }
        let growth = cpu_milli.saturating_sub(self.cpu_milli) * 1000 / span_ms;
        self.growth_milli_per_s = if self.at_ms == 0 { 0 } else { growth };
        self.at_ms = now_ms;
        self.cpu_milli = cpu_milli;
    }
}

impl Scheduler {
    /// What the pool wants now.
    pub fn demand(&mut self, now: Now) -> Demand {
        let (waiting, waiting_late) = self.waiting_cpu();
        let (running, running_late, steady) = self.running_cpu(now);
        self.trend.note(running + waiting, now.local_ms);
        let ahead = self.trend.growth_milli_per_s * AHEAD_MS / 1000;
        let on_time = running + waiting + ahead;
        let late = running_late + waiting_late * LATE_SHARE_PERCENT / 100;
        let listed = self.workers.values().filter(|worker| worker.is_listed);
        let largest = listed
            .map(|worker| u64::from(worker.info.capacity.cpu_milli))
            .max();
        let each = largest.unwrap_or(ASSUMED_CPU_MILLI).max(1000) * FILL_PERCENT / 100;
        let workers = |cpu: u64| usize::try_from(cpu.div_ceil(each)).unwrap_or(usize::MAX);
        let least = steady.len().max(self.lasting_places()).max(LEAST_WORKERS);
        let proven = self
            .workers
            .values()
            .filter(|worker| worker.is_listed && worker.is_proven);
        let unusable = proven.filter_map(|worker| {
            let cause = worker.unusable(now.local_ms)?;
            Some((worker.info.id.clone(), cause))
        });
        let silent = self.workers.values().filter(|worker| {
            !worker.runs.is_empty() && (worker.is_silent || worker.info.addr.is_empty())
        });
        Demand {
            silent: silent.map(|worker| worker.info.id.clone()).collect(),
            urgent: workers(on_time).max(least),
            wanted: workers(on_time + late).max(least),
            steady,
            unusable: unusable.collect(),
            idle: self.idle_workers(now),
        }
    }

    /// The workers that lasting steps need because of how many of their tasks may run on one.
    fn lasting_places(&self) -> usize {
        let jobs = self.lasting.iter().filter_map(|id| self.jobs.get(id));
        let steps = jobs.flat_map(|job| &job.spec().steps);
        let limited = steps.filter(|step| step.is_lasting && step.most_per_worker > 0);
        let places = limited.map(|step| step.tasks.div_ceil(step.most_per_worker));
        places.max().map_or(0, |places| places as usize)
    }

    /// The processors in use by work that can be on time and by work that is late, and the workers with lasting tasks.
    fn running_cpu(&self, now: Now) -> (u64, u64, Vec<SmolStr>) {
        let (mut on_time, mut late) = (0, 0);
        let mut steady = Vec::new();
        for worker in self.workers.values().filter(|worker| worker.is_listed) {
            let mut is_steady = false;
            for (task, run) in &worker.runs {
                let cpu = u64::from(run.footprint.cpu_milli);
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let is_lasting = job.step(task.index).is_lasting;
                is_steady |= is_lasting;
                let is_late = !is_lasting && self.due_ms(job) < now.store_ms;
                if is_late {
                    late += cpu;
                } else {
                    on_time += cpu;
                }
            }
            if is_steady {
                steady.push(worker.info.id.clone());
            }
        }
        (on_time, late, steady)
    }

    fn idle_workers(&self, now: Now) -> Vec<IdleWorker> {
        let idle = self
            .workers
            .values()
            .filter(|worker| worker.is_usable(now.local_ms) && worker.runs.is_empty());
        idle.map(|worker| IdleWorker {
            id: worker.info.id.clone(),
            idle_ms: now.local_ms.saturating_sub(worker.idle_since_ms),
        })
        .collect()
    }

    /// The processors that waiting tasks ask for: those that can be on time, and those that are late.
    fn waiting_cpu(&self) -> (u64, u64) {
        let (mut on_time, mut late) = (0, 0);
        for (rank, key) in self.ready.ranked() {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let step = usize::from(key.step);
            let idle = job.step_tasks(key.occurrence, step).filter(|&index| {
                job.task(index)
                    .is_some_and(|task| task.phase == Phase::Idle)
            });
            let each = u64::from(job.spec().steps[step].footprint().cpu_milli);
            let cpu = each * u64::try_from(idle.count()).unwrap_or(u64::MAX);
            if rank.is_late {
                late += cpu;
            } else {
                on_time += cpu;
            }
        }
        (on_time, late)
    }
}
