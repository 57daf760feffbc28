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

/// The number of steps that ask for more than room, and for which a worker was looked for in vain, after which a round ends.
/// Bounds the duration of a round.
const MAX_RESTRICTED_STEPS: usize = 24;

/// The number of started tasks after which a round ends, so that one transaction can record them.
const MAX_STARTS: usize = 200;

impl Scheduler {
    /// Assigns the tasks of ready steps that fit to workers. The start commands come with the next batches.
    ///
    /// A round that ends because of steps that no worker may run leaves these out of the next rounds, until a round has
    /// visited all steps behind them.
    pub fn plan(&mut self, now: Now) {
        self.measure_overload(now);
        let mut round = RoundSummary::default();
        let is_complete = self.place_steps(&mut round, now);
        if !is_complete {
            let since_ms = self.last_round.incomplete_since_ms;
            round.incomplete_since_ms = Some(since_ms.unwrap_or(now.local_ms));
        }
        self.last_round = round;
    }

    /// Visits ready steps and counts what was done. Returns whether all of them were visited.
    fn place_steps(&mut self, round: &mut RoundSummary, now: Now) -> bool {
        let mut restricted = Vec::new();
        let mut rooms = Rooms::default();
        let mut visits = self.visits();
        while let Some(key) = self.next_visit(&mut visits) {
            if round.started_tasks >= MAX_STARTS {
                return false;
            }
            if restricted.len() >= MAX_RESTRICTED_STEPS {
                self.ready.defer(restricted);
                return false;
            }
            round.visited_steps += 1;
            let placement = self.place_step(key, &mut rooms, now);
            round.started_tasks += placement.started;
            rooms.record_starts(placement.started);
            match placement.unplaced {
                None => self.ready.remove(key),
                Some(Unplaced::NoRoom | Unplaced::AtTeamLimit) => {}
                Some(Unplaced::NoRoomLeft) => round.failed_lookups += 1,
                Some(Unplaced::Restricted) => {
                    round.failed_lookups += 1;
                    restricted.push(key);
                }
            }
        }
        self.ready.end_deferrals();
        true
    }

    /// Assigns the tasks of a step to workers.
    fn place_step(&mut self, key: StepKey, rooms: &mut Rooms, now: Now) -> Placement {
        let Some(job) = self.jobs.get(&key.job) else {
            return Placement::default();
        };
        let team = self.teams.get(&job.team).map(|(team, _)| team);
        let step = &job.spec().steps[usize::from(key.step)];
        let needs = Usage::of(step.needs, 1);
        let label = step.required_label.clone();
        if !rooms.may_fit(&self.workers, &label, step.footprint(), now.local_ms) {
            return Placement {
                started: 0,
                unplaced: Some(Unplaced::NoRoom),
            };
        }
        if step.is_gang {
            return self.place_gang(key, now);
        }
        let idle = job.idle_tasks(key.occurrence, usize::from(key.step));
        let crashes = |job: &Job, index| job.task(index).map_or(0, |task| task.crashes);
        let mut idle: Vec<_> = idle.collect();
        // Suspects may have to wait and don't hold up the others.
        idle.sort_by_key(|&index| crashes(job, index));
        let mut placement = Placement::default();
        for index in idle {
            if !self.teams.may_use(team, needs) {
                placement.unplaced = Some(Unplaced::AtTeamLimit);
                break;
            }
            let job = &self.jobs[&key.job];
            let step = &job.spec().steps[usize::from(key.step)];
            let crashes = crashes(job, index);
            let Some(worker) = self.choose(job, step, key, crashes, &[], now) else {
                rooms.update(&label);
                placement.unplaced = Some(if self.ready.by_team.has_class(key) {
                    Unplaced::NoRoomLeft
                } else {
                    Unplaced::Restricted
                });
                break;
            };
            let task = TaskKey {
                job: key.job,
                index,
            };
            self.assign(worker, task, 0, now);
            placement.started += 1;
        }
        placement
    }

    /// Assigns all tasks of a gang at once, with the same attempt number, or none.
    fn place_gang(&mut self, key: StepKey, now: Now) -> Placement {
        let job = &self.jobs[&key.job];
        let step = &job.spec().steps[usize::from(key.step)];
        let tasks = job.step_tasks(key.occurrence, usize::from(key.step));
        let idle = job.idle_tasks(key.occurrence, usize::from(key.step));
        let all_idle = idle.count() == tasks.len();
        let not_placed = Placement {
            started: 0,
            unplaced: Some(Unplaced::Restricted),
        };
        if !all_idle {
            return not_placed;
        }
        let team = self.teams.get(&job.team).map(|(team, _)| team);
        let all_needs = Usage::of(step.needs, u32::try_from(tasks.len()).unwrap_or(u32::MAX));
        if !self.teams.may_use(team, all_needs) {
            return Placement {
                started: 0,
                unplaced: Some(Unplaced::AtTeamLimit),
            };
        }
        let Some(chosen) = self.gang_workers(job, key, now) else {
            return not_placed;
        };
        let last_attempts = tasks
            .clone()
            .filter_map(|index| job.task(index))
            .map(|task| task.attempt);
        let attempt = last_attempts.max().unwrap_or(0) + 1;
        for (index, worker) in tasks.zip(chosen) {
            let task = TaskKey {
                job: key.job,
                index,
            };
            self.assign(worker, task, attempt, now);
        }
        Placement {
            started: step_len(&self.jobs[&key.job], key),
            unplaced: None,
        }
    }

    /// The workers for all tasks of a gang; `None` when there is no room for all of them.
    pub(crate) fn gang_workers(&self, job: &Job, key: StepKey, now: Now) -> Option<Vec<WorkerKey>> {
        let step = &job.spec().steps[usize::from(key.step)];
        let tasks = job.step_tasks(key.occurrence, usize::from(key.step));
        let members = tasks.clone().filter_map(|index| job.task(index));
        let crashes = members.map(|task| task.crashes).max().unwrap_or(0);
        let mut chosen = Vec::new();
        for _ in tasks {
            chosen.push(self.choose(job, step, key, crashes, &chosen, now)?);
        }
        Some(chosen)
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

/// The result of placing a step: the number of assigned tasks, and why an idle task was left without a worker, if one was.
#[derive(Debug, Default, Clone, Copy)]
struct Placement {
    started: usize,
    unplaced: Option<Unplaced>,
}

/// Why a task was left without a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unplaced {
    /// No usable worker with the label has room, as the round knew before.
    NoRoom,
    /// No usable worker with the label has room any more.
    NoRoomLeft,
    /// The step asks for more than room. Workers may be idle nevertheless.
    Restricted,
    /// The limit of the team allows no more.
    AtTeamLimit,
}

fn step_len(job: &Job, key: StepKey) -> usize {
    job.step_tasks(key.occurrence, usize::from(key.step)).len()
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
