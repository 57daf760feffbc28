//! Events of workers: the registry, answers to orders, silence, and the ends of lives.

use submission::{Job, RunEnd, TaskKey};

use crate::scheduler::Scheduler;
use crate::types::{Note, Now, StartOutcome};
use crate::worker::{HoldPlan, Worker, WorkerInfo, WorkerKey};

/// How long a size that a worker refused is not offered to it again, unless something ends there.
const ROOM_REFUSAL_MS: u64 = 400;

impl Scheduler {
    /// The present registry entries of the pool. Workers that are not among them get no new work.
    pub fn set_workers(&mut self, infos: Vec<WorkerInfo>, now: Now) {
        let lapse_at_ms = self.earlier_lapsed(now.local_ms);
        for worker in self.workers.values_mut() {
            worker.is_listed = false;
        }
        self.ended_lives
            .retain(|id| infos.iter().any(|info| info.id == *id));
        for info in infos {
            if self.ended_lives.contains(&info.id) {
                continue;
            }
            if let Some(&key) = self.by_id.get(&info.id) {
                let worker = &mut self.workers[key];
                worker.info = info;
                worker.is_listed = true;
                continue;
            }
            let id = info.id.clone();
            let mut worker = Worker::new(info, lapse_at_ms);
            worker.idle_since_ms = now.local_ms;
            let key = self.workers.insert(worker);
            self.by_id.insert(id, key);
        }
        let gone = self.workers.iter().filter(|(_, worker)| {
            !worker.is_listed && worker.runs.is_empty() && now.local_ms > worker.lapse_at_ms
        });
        for key in gone.map(|(key, _)| key).collect::<Vec<_>>() {
            self.remove_worker(key);
        }
    }

    /// When the last lease that an earlier owner may have granted, at the end of its grace, has surely lapsed.
    pub(crate) fn earlier_lapsed(&self, now_ms: u64) -> u64 {
        let limits = self.limits;
        now_ms
            + limits.owner_grace_ms
            + limits.lease_ms * 100 / (100 - limits.slow_clock_percent)
            + 1
    }

    fn remove_worker(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.by_id.remove(&worker.info.id);
        }
    }

    /// A life of a worker is over, and what ran there with it.
    pub fn life_over(&mut self, key: WorkerKey, now: Now) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        if worker.is_listed {
            self.ended_lives.insert(worker.info.id.clone());
        }
        let runs: Vec<_> = worker
            .runs
            .iter()
            .map(|(task, run)| (*task, run.number))
            .collect();
        for (task, run) in runs {
            self.end_run(key, task, run, RunEnd::Lost, now);
        }
        self.remove_worker(key);
    }

    /// The keys of the workers that are known.
    #[must_use]
    pub fn worker_keys(&self) -> Vec<WorkerKey> {
        self.workers.keys().collect()
    }

    /// A worker's registration.
    #[must_use]
    pub fn worker(&self, key: WorkerKey) -> Option<&WorkerInfo> {
        self.workers.get(key).map(|worker| &worker.info)
    }

    /// The worker with that id.
    #[must_use]
    pub fn worker_key(&self, id: &str) -> Option<WorkerKey> {
        self.by_id.get(id).copied()
    }

    /// What the next hold of a worker carries; `None` when it needs none now.
    pub fn hold_plan(&mut self, key: WorkerKey, now: Now) -> Option<HoldPlan> {
        let limits = self.limits;
        let worker = self.workers.get_mut(key)?;
        let has_ends = worker.recorded_end > worker.forgotten_end;
        if worker.info.addr.is_empty() || (!worker.is_listed && worker.runs.is_empty()) {
            return None;
        }
        if worker.is_proven && worker.runs.is_empty() && !has_ends && !worker.is_silent {
            return None;
        }
        // A silent worker is only looked at: renewals that may or may not arrive would put off for ever the moment
        // at which its leases have surely lapsed.
        let lease_until_ms = if worker.runs.is_empty() || worker.is_silent {
            None
        } else {
            worker.grant(limits.lease_ms, limits.slow_clock_percent, now.local_ms)
        };
        Some(HoldPlan {
            lease_until_ms,
            recorded_end: worker.recorded_end,
            is_busy: worker.is_proven && lease_until_ms.is_some(),
            is_lively: worker
                .runs
                .values()
                .any(|run| !run.is_lasting || run.footprint.cpu_milli == 0),
        })
    }

    /// The end of the lease that an order to start carries, on the worker's clock.
    pub fn start_lease(&mut self, key: WorkerKey, now: Now) -> Option<u64> {
        let limits = self.limits;
        let worker = self.workers.get_mut(key)?;
        worker.grant(limits.lease_ms, limits.slow_clock_percent, now.local_ms)
    }

    /// An order to start got its answer, or none.
    pub fn start_answered(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        number: u32,
        outcome: StartOutcome,
        clock_ms: Option<u64>,
        now: Now,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if let Some(clock_ms) = clock_ms {
            worker.note_clock(clock_ms, now.local_ms);
        }
        let Some(run) = worker
            .runs
            .get_mut(&task)
            .filter(|run| run.number == number)
        else {
            return;
        };
        match outcome {
            StartOutcome::Started => run.settled_at_ms = Some(now.local_ms),
            StartOutcome::Unanswered => worker.is_silent = true,
            StartOutcome::NoRoom => {
                worker.refused = Some((run.footprint, now.local_ms + ROOM_REFUSAL_MS));
                let refused = worker.refused;
                self.end_run(key, task, number, RunEnd::Lost, now);
                if let Some(worker) = self.workers.get_mut(key) {
                    worker.refused = refused;
                }
            }
            StartOutcome::Unhealthy => {
                worker.health.refused(now.local_ms);
                self.end_run(key, task, number, RunEnd::Lost, now);
            }
            StartOutcome::Refused => {
                // Whatever the worker has against the order, it has for a while.
                worker.health.refused(now.local_ms);
                self.end_run(key, task, number, RunEnd::Lost, now);
            }
        }
    }

    /// A worker took an order to stop: the run ends, or can't start any more. The next look tells which.
    pub fn stop_taken(&mut self, key: WorkerKey, task: TaskKey, number: u32, now: Now) {
        let worker = self.workers.get_mut(key);
        let run = worker.and_then(|worker| worker.runs.get_mut(&task));
        if let Some(run) = run.filter(|run| run.number == number && run.settled_at_ms.is_none()) {
            run.settled_at_ms = Some(now.local_ms);
        }
    }

    /// A hold or an order got no answer. True when the one before did.
    pub fn unanswered(&mut self, key: WorkerKey) -> bool {
        let worker = self.workers.get_mut(key);
        worker.is_some_and(|worker| !std::mem::replace(&mut worker.is_silent, true))
    }

    pub(crate) fn lapse(&mut self, key: WorkerKey, now: Now) {
        let runs: Vec<_> = self.workers[key]
            .runs
            .iter()
            .map(|(task, run)| (*task, run.number))
            .collect();
        if !runs.is_empty() {
            let worker = self.workers[key].info.id.clone();
            self.notes.push(Note::Lapsed {
                worker,
                runs: runs.len(),
            });
        }
        for (task, run) in runs {
            self.end_run(key, task, run, RunEnd::Lost, now);
        }
        if !self.workers[key].is_listed {
            self.remove_worker(key);
        }
    }

    /// Whether a run is assigned to a worker.
    #[must_use]
    pub fn is_there(&self, key: WorkerKey, task: TaskKey, number: u32) -> bool {
        let run = self
            .workers
            .get(key)
            .and_then(|worker| worker.runs.get(&task));
        run.is_some_and(|run| run.number == number)
    }

    /// Whether a run that is assigned to a worker is still to be started.
    #[must_use]
    pub fn is_wanted(&self, key: WorkerKey, task: TaskKey, number: u32) -> bool {
        let has_ended = self.jobs.get(&task.job).is_none_or(Job::has_ended);
        let draining = self
            .workers
            .get(key)
            .is_none_or(|worker| worker.info.is_draining);
        self.is_there(key, task, number) && !has_ended && !draining
    }
}
