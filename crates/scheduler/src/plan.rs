//! Placement: the assignment of tasks to workers.
//!
//! Steps are placed in rank order. A step that fits on no worker does not block smaller steps behind it, so that no
//! capacity stays unused.

use smol_str::SmolStr;
use submission::{Job, StepSpec, TaskKey, TaskPhase};

use crate::ready::StepKey;
use crate::rooms::Rooms;
use crate::round::RoundSummary;
use crate::scheduler::Scheduler;
use crate::teams::Usage;
use crate::types::Now;
use crate::worker::{Worker, WorkerKey};

/// The number of workers that a round examines for steps that turn out to have none, after which it leaves the other steps
/// that need a lookup of their own to the next rounds. Bounds the duration of a round.
const MAX_WORKERS_EXAMINED_IN_VAIN: usize = 36_000;

/// The number of started tasks after which a round ends, so that one transaction can record them.
const MAX_STARTS: usize = 200;

impl Scheduler {
    /// Assigns the tasks of ready steps that fit to workers. The start commands come with the next batches.
    ///
    /// Each round comes to all steps that ask for nothing but room. Steps that need a lookup of their own take turns if there
    /// are more than a round can look up.
    pub fn plan(&mut self, now: Now) {
        self.measure_overload(now);
        let mut round = Round::default();
        let mut visits = self.visits();
        while round.summary.started_tasks < MAX_STARTS
            && let Some(key) = self.next_visit(&mut visits)
        {
            round.summary.visited_steps += 1;
            let placement = self.place_step(key, &mut round, now);
            round.record_starts(placement.started);
            if placement.is_complete {
                self.ready.remove(key);
            }
        }
        let is_complete = round.summary.started_tasks < MAX_STARTS && !round.has_skipped_steps;
        if round.has_skipped_steps {
            self.ready.defer(round.looked_up_in_vain);
        } else if is_complete {
            self.ready.end_deferrals();
        }
        if !is_complete {
            let since_ms = self.last_round.incomplete_since_ms;
            round.summary.incomplete_since_ms = Some(since_ms.unwrap_or(now.local_ms));
        }
        self.last_round = round.summary;
    }

    /// Assigns the tasks of a step to workers, as many as fit.
    fn place_step(&mut self, key: StepKey, round: &mut Round, now: Now) -> Placement {
        let class = self.ready.by_team.class(key);
        let has_class = class.is_some();
        if let Some(class) = class {
            let (label, footprint) = (&class.required_label, class.footprint);
            let rooms = &mut round.rooms;
            if !rooms.may_fit(&self.workers, label, footprint, now.local_ms) {
                return Placement::NONE;
            }
        }
        let Some(job) = self.jobs.get(&key.job) else {
            return Placement::COMPLETE;
        };
        let step = &job.spec().steps[usize::from(key.step)];
        let (label, is_gang) = (step.required_label.clone(), step.is_gang);
        if !has_class {
            let rooms = &mut round.rooms;
            if !self.may_be_authorized(job, key, now)
                || !rooms.may_fit(&self.workers, &label, step.footprint(), now.local_ms)
            {
                return Placement::NONE;
            }
        }
        let needs_own_lookup = is_gang || !has_class;
        if needs_own_lookup && round.examined_in_vain >= MAX_WORKERS_EXAMINED_IN_VAIN {
            round.has_skipped_steps = true;
            return Placement::NONE;
        }
        let (placement, lookups) = if is_gang {
            self.place_gang(key, now)
        } else {
            self.place_tasks(key, now)
        };
        if lookups > 0 {
            round.summary.failed_lookups += 1;
            round.rooms.update(&label);
            if needs_own_lookup {
                round.examined_in_vain += self.workers.len() * lookups;
                round.looked_up_in_vain.push(key);
            }
        }
        placement
    }

    /// Assigns the tasks of a step that is no gang, each by itself. Returns also the number of lookups in vain.
    fn place_tasks(&mut self, key: StepKey, now: Now) -> (Placement, usize) {
        let job = &self.jobs[&key.job];
        let team = self.teams.get(&job.team).map(|(team, _)| team);
        let needs = Usage::of(job.spec().steps[usize::from(key.step)].needs, 1);
        let idle = job.idle_tasks(key.occurrence, usize::from(key.step));
        let crashes = |job: &Job, index| job.task(index).map_or(0, |task| task.crashes);
        let mut idle: Vec<_> = idle.collect();
        // Suspects may have to wait and don't hold up the others.
        idle.sort_by_key(|&index| crashes(job, index));
        let mut placement = Placement::NONE;
        for index in idle {
            if !self.teams.may_use(team, needs) {
                return (placement, 0);
            }
            let job = &self.jobs[&key.job];
            let step = &job.spec().steps[usize::from(key.step)];
            let crashes = crashes(job, index);
            let Some(worker) = self.choose(job, step, key, crashes, &[], now) else {
                return (placement, 1);
            };
            let task = TaskKey {
                job: key.job,
                index,
            };
            self.assign(worker, task, 0, now);
            placement.started += 1;
        }
        placement.is_complete = true;
        (placement, 0)
    }

    /// Assigns all tasks of a gang at once, with the same attempt number, or none. Returns also the number of
    /// lookups in vain, at most.
    fn place_gang(&mut self, key: StepKey, now: Now) -> (Placement, usize) {
        let job = &self.jobs[&key.job];
        let step = &job.spec().steps[usize::from(key.step)];
        let tasks = job.step_tasks(key.occurrence, usize::from(key.step));
        let idle = job.idle_tasks(key.occurrence, usize::from(key.step));
        let team = self.teams.get(&job.team).map(|(team, _)| team);
        let needs = Usage::of(step.needs, step.tasks);
        if idle.count() < tasks.len() || !self.teams.may_use(team, needs) {
            return (Placement::NONE, 0);
        }
        if !self.may_fit_gang(step, tasks.len(), now) {
            return (Placement::NONE, 1);
        }
        let Some(chosen) = self.gang_workers(job, key, now) else {
            return (Placement::NONE, tasks.len());
        };
        let last_attempts = tasks
            .clone()
            .filter_map(|index| job.task(index))
            .map(|task| task.attempt);
        let attempt = last_attempts.max().unwrap_or(0) + 1;
        for (index, worker) in tasks.clone().zip(chosen) {
            let task = TaskKey {
                job: key.job,
                index,
            };
            self.assign(worker, task, attempt, now);
        }
        let placement = Placement {
            started: tasks.len(),
            is_complete: true,
        };
        (placement, 0)
    }

    /// The workers for all tasks of a gang; `None` when there is no room for all of them.
    pub(crate) fn gang_workers(&self, job: &Job, key: StepKey, now: Now) -> Option<Vec<WorkerKey>> {
        let step = &job.spec().steps[usize::from(key.step)];
        let tasks = job.step_tasks(key.occurrence, usize::from(key.step));
        if !self.may_fit_gang(step, tasks.len(), now) {
            return None;
        }
        let members = tasks.clone().filter_map(|index| job.task(index));
        let crashes = members.map(|task| task.crashes).max().unwrap_or(0);
        let mut chosen = Vec::new();
        for _ in tasks {
            chosen.push(self.choose(job, step, key, crashes, &chosen, now)?);
        }
        Some(chosen)
    }

    /// Whether there may be room for all tasks of a gang, by one look at each worker.
    fn may_fit_gang(&self, step: &StepSpec, tasks: usize, now: Now) -> bool {
        let mut missing = tasks;
        for worker in self.workers.values() {
            let may_start = worker.is_usable(now.local_ms)
                && worker.may_join()
                && worker.has_label(&step.required_label);
            let Some(room) = worker.room(now.local_ms).filter(|_| may_start) else {
                continue;
            };
            let limit = match step.max_per_worker {
                0 => usize::MAX,
                limit => limit as usize,
            };
            missing = missing.saturating_sub(room.copies(step.footprint()).min(limit));
            if missing == 0 {
                return true;
            }
        }
        false
    }

    /// The best worker for one more task of a step, or `None` when no usable worker has enough free capacity and meets
    /// the constraints of the step. `crashes` is the number of workers that crashed under the task, and `gang_workers` are the
    /// workers already chosen for other tasks of the gang.
    pub(crate) fn choose(
        &self,
        job: &Job,
        step: &StepSpec,
        key: StepKey,
        crashes: u32,
        gang_workers: &[WorkerKey],
        now: Now,
    ) -> Option<WorkerKey> {
        // Isolated batch tasks end soon, so that others can wait for them.
        if !step.is_service && !self.may_isolate_another(crashes) {
            return None;
        }
        let needs_stable_worker = self.needs_stable_worker(crashes, step, now);
        let preferred_rack = self.preferred_rack(job, step, key, gang_workers);
        let needs_authorization = self.needs_authorization(job, key);
        let is_authorized = |worker: WorkerKey| {
            !needs_authorization || self.authorization_for_step(key, worker, now).is_some()
        };
        let usable = self.workers.iter().filter(|(worker_key, worker)| {
            worker.is_usable(now.local_ms)
                && worker.may_join()
                && !(needs_stable_worker && worker.is_unstable(now.local_ms))
                && worker.has_label(&step.required_label)
                && is_authorized(*worker_key)
                && fits(worker, step, *worker_key, gang_workers, now)
                && is_below_step_limit(worker, job, step, key, *worker_key, gang_workers)
        });
        usable
            .max_by_key(|(_, worker)| {
                let is_preferred_rack = worker.info.rack() == preferred_rack;
                // Fewer tasks are lost when a suspect crashes its worker, and a suspect without neighbours is shown to be
                // the cause.
                let batch_attempts = worker.attempts.len() - worker.service_attempts;
                let suspect_order = if crashes > 0 {
                    usize::MAX - batch_attempts
                } else {
                    0
                };
                // Workers with service tasks stay in the pool in any case. Other workers become idle sooner when they
                // are used last, and the fullest of them first, and the VM of an idle worker can leave the pool.
                (
                    crashes == 0 || !worker.is_unstable(now.local_ms),
                    crashes == 0 || worker.suspect_attempts == 0,
                    suspect_order,
                    is_preferred_rack,
                    worker.suspect_attempts == 0,
                    !(step.is_service && worker.is_maintenance_due),
                    worker.service_attempts > 0,
                    !worker.attempts.is_empty(),
                    u32::MAX - worker.free_capacity().cpu_milli,
                )
            })
            .map(|(worker_key, _)| worker_key)
    }

    /// Whether a usable worker has room beside its service tasks for one more task of the step of `task`, a service task,
    /// and meets the constraints of the step. Batch tasks don't count, as they end soon and service tasks are placed first.
    /// Whether the policy allows the worker is not considered.
    pub(crate) fn has_service_room(&self, job: &Job, task: TaskKey, now: Now) -> bool {
        let (occurrence, step_index, _) = job.position(task.index);
        let step = &job.spec().steps[step_index];
        let key = StepKey {
            job: task.job,
            occurrence,
            step: u16::try_from(step_index).unwrap_or(u16::MAX),
        };
        self.workers.iter().any(|(worker_key, worker)| {
            worker.is_usable(now.local_ms)
                && worker.may_join()
                && worker.has_label(&step.required_label)
                && step.footprint().fits(worker.capacity_beside_services())
                && is_below_step_limit(worker, job, step, key, worker_key, &[])
        })
    }

    /// The rack where tasks of the step run fastest; empty when the rack does not matter.
    fn preferred_rack(
        &self,
        job: &Job,
        step: &StepSpec,
        key: StepKey,
        gang_workers: &[WorkerKey],
    ) -> SmolStr {
        if !step.data_rack.is_empty() {
            return step.data_rack.clone();
        }
        if !step.has_rack_affinity {
            return SmolStr::default();
        }
        if let Some(&first) = gang_workers.first() {
            return self.workers[first].info.rack().into();
        }
        let tasks = job.step_tasks(key.occurrence, usize::from(key.step));
        for index in tasks {
            let phase = job.task(index).map(|task| &task.phase);
            if let Some(TaskPhase::Assigned { worker }) = phase
                && let Some(&key) = self.workers_by_id.get(worker)
            {
                return self.workers[key].info.rack().into();
            }
        }
        SmolStr::default()
    }
}

/// What a round has done so far, and what it knows of the workers.
#[derive(Debug, Default)]
struct Round {
    rooms: Rooms,
    summary: RoundSummary,
    /// The number of workers that were examined for `looked_up_in_vain`.
    examined_in_vain: usize,
    /// The steps that needed a lookup of their own and that no worker may run now.
    looked_up_in_vain: Vec<StepKey>,
    /// Whether a step that needs a lookup of its own was left to the next rounds.
    has_skipped_steps: bool,
}

impl Round {
    fn record_starts(&mut self, tasks: usize) {
        self.summary.started_tasks += tasks;
        self.rooms.record_starts(tasks);
    }
}

/// The result of placing a step.
#[derive(Debug, Clone, Copy)]
struct Placement {
    /// The number of assigned tasks.
    started: usize,
    /// Whether no task is left without a worker.
    is_complete: bool,
}

impl Placement {
    const NONE: Self = Self {
        started: 0,
        is_complete: false,
    };

    const COMPLETE: Self = Self {
        started: 0,
        is_complete: true,
    };
}

/// Whether the step's limit on tasks per worker allows one more task on the worker.
pub(crate) fn is_below_step_limit(
    worker: &Worker,
    job: &Job,
    step: &StepSpec,
    key: StepKey,
    worker_key: WorkerKey,
    gang_workers: &[WorkerKey],
) -> bool {
    if step.max_per_worker == 0 {
        return true;
    }
    let tasks = job.step_tasks(key.occurrence, usize::from(key.step));
    let first = TaskKey {
        job: key.job,
        index: tasks.start,
    };
    let end = TaskKey {
        job: key.job,
        index: tasks.end,
    };
    let assigned = worker.attempts.range(first..end).count();
    let chosen = gang_workers
        .iter()
        .filter(|other| **other == worker_key)
        .count();
    assigned + chosen < step.max_per_worker as usize
}

pub(crate) fn fits(
    worker: &Worker,
    step: &StepSpec,
    key: WorkerKey,
    gang_workers: &[WorkerKey],
    now: Now,
) -> bool {
    let copies = gang_workers.iter().filter(|other| **other == key).count();
    let mut needs = step.footprint();
    for _ in 0..copies {
        needs = needs.saturating_add(step.footprint());
    }
    worker.may_fit(needs, now.local_ms)
}
