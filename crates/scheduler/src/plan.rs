//! Which worker gets which task.
//!
//! Steps are taken in their order; a step that fits nowhere lets smaller ones behind it pass, because a worker's
//! room that stays empty serves nobody.

use smol_str::SmolStr;
use submission::{Job, Phase, Resources, StepSpec, TaskKey};

use crate::ready::StepKey;
use crate::scheduler::Scheduler;
use crate::types::Now;
use crate::worker::{Worker, WorkerKey};

/// How many steps that fit nowhere are passed over in a round. Bounds a round under overload.
const MOST_MISSES: usize = 24;

/// How many tasks are given out in a round, so that one transaction can record them.
const MOST_STARTS: usize = 200;

impl Scheduler {
    /// Gives out tasks that fit. The orders come with the next batch.
    pub fn plan(&mut self, now: Now) {
        let mut misses = 0;
        let mut starts = 0;
        let mut too_large = Vec::new();
        for key in self.ready.first(MOST_STARTS + MOST_MISSES) {
            if misses >= MOST_MISSES || starts >= MOST_STARTS {
                return;
            }
            let placed = self.place_step(key, &mut too_large, now);
            starts += placed.started;
            misses += usize::from(placed.is_left);
            if !placed.is_left {
                self.ready.remove(key);
            }
        }
    }

    /// Gives out the tasks of a step. `too_large` has the sizes that fit on no worker in this round, in which room only
    /// shrinks: under overload most steps are as large, and need not be tried on each worker.
    fn place_step(&mut self, key: StepKey, too_large: &mut Vec<Resources>, now: Now) -> Placed {
        let Some(job) = self.jobs.get(&key.job) else {
            return Placed::default();
        };
        let step = &job.spec().steps[usize::from(key.step)];
        let needs = step.footprint();
        if too_large.iter().any(|size| size.fits(needs)) {
            return Placed {
                started: 0,
                is_left: true,
            };
        }
        if step.is_gang {
            return self.place_gang(key, now);
        }
        // Whether a miss speaks of the size alone.
        let is_free = step.required_label.is_empty()
            && step.most_per_worker == 0
            && !self
                .rules
                .get(&job.queue)
                .is_some_and(|rules| rules.has_policy);
        let tasks = job.step_tasks(key.occurrence, usize::from(key.step));
        let idle = tasks.filter(|&index| {
            job.task(index)
                .is_some_and(|task| task.phase == Phase::Idle)
        });
        let mut placed = Placed::default();
        for index in idle.collect::<Vec<_>>() {
            let job = &self.jobs[&key.job];
            let step = &job.spec().steps[usize::from(key.step)];
            let Some(worker) = self.choose(job, step, key, &[], now) else {
                placed.is_left = true;
                if is_free {
                    too_large.push(needs);
                }
                break;
            };
            let task = TaskKey {
                job: key.job,
                index,
            };
            self.assign(worker, task, 0, now);
            placed.started += 1;
        }
        placed
    }

    /// All tasks of a gang at once, as runs of one number, or none.
    fn place_gang(&mut self, key: StepKey, now: Now) -> Placed {
        let job = &self.jobs[&key.job];
        let step = &job.spec().steps[usize::from(key.step)];
        let tasks = job.step_tasks(key.occurrence, usize::from(key.step));
        let all_idle = tasks.clone().all(|index| {
            job.task(index)
                .is_some_and(|task| task.phase == Phase::Idle)
        });
        let missed = Placed {
            started: 0,
            is_left: true,
        };
        if !all_idle {
            return missed;
        }
        let mut chosen = Vec::new();
        for _ in tasks.clone() {
            let Some(worker) = self.choose(job, step, key, &chosen, now) else {
                return missed;
            };
            chosen.push(worker);
        }
        let last_run = tasks
            .clone()
            .filter_map(|index| job.task(index))
            .map(|task| task.run);
        let run = last_run.max().unwrap_or(0) + 1;
        for (index, worker) in tasks.zip(chosen) {
            let task = TaskKey {
                job: key.job,
                index,
            };
            self.assign(worker, task, run, now);
        }
        Placed {
            started: step_len(&self.jobs[&key.job], key),
            is_left: false,
        }
    }

    /// The best worker for one more task of a step; `taken` are workers chosen for others of its gang.
    fn choose(
        &self,
        job: &Job,
        step: &StepSpec,
        key: StepKey,
        taken: &[WorkerKey],
        now: Now,
    ) -> Option<WorkerKey> {
        let preferred_rack = self.preferred_rack(job, step, key, taken);
        let usable = self.workers.iter().filter(|(worker_key, worker)| {
            worker.is_usable(now.local_ms)
                && has_label(worker, &step.required_label)
                && self.is_allowed(&job.queue, key, &worker.info.id, now)
                && fits(worker, step, *worker_key, taken, now)
                && has_place(worker, job, step, key, *worker_key, taken)
        });
        usable
            .max_by_key(|(_, worker)| {
                let is_near = worker.info.rack() == preferred_rack;
                // The fullest that has room: what stays empty can be moved to where it is needed.
                (
                    is_near,
                    !worker.runs.is_empty(),
                    u32::MAX - worker.room().cpu_milli,
                )
            })
            .map(|(worker_key, _)| worker_key)
    }

    /// The rack where tasks of the step are fastest; empty for any.
    fn preferred_rack(
        &self,
        job: &Job,
        step: &StepSpec,
        key: StepKey,
        taken: &[WorkerKey],
    ) -> SmolStr {
        if !step.data_rack.is_empty() {
            return step.data_rack.clone();
        }
        if !step.is_same_rack {
            return SmolStr::default();
        }
        if let Some(&first) = taken.first() {
            return self.workers[first].info.rack().into();
        }
        let tasks = job.step_tasks(key.occurrence, usize::from(key.step));
        for index in tasks {
            let phase = job.task(index).map(|task| &task.phase);
            if let Some(Phase::Assigned { worker }) = phase
                && let Some(&key) = self.by_id.get(worker)
            {
                return self.workers[key].info.rack().into();
            }
        }
        SmolStr::default()
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct Placed {
    started: usize,
    is_left: bool,
}

fn step_len(job: &Job, key: StepKey) -> usize {
    job.step_tasks(key.occurrence, usize::from(key.step)).len()
}

fn has_label(worker: &Worker, label: &SmolStr) -> bool {
    label.is_empty() || worker.info.labels.contains(label)
}

/// Whether one more task of the step may run there.
fn has_place(
    worker: &Worker,
    job: &Job,
    step: &StepSpec,
    key: StepKey,
    worker_key: WorkerKey,
    taken: &[WorkerKey],
) -> bool {
    if step.most_per_worker == 0 {
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
    let there = worker.runs.range(first..end).count();
    let chosen = taken.iter().filter(|other| **other == worker_key).count();
    there + chosen < step.most_per_worker as usize
}

fn fits(worker: &Worker, step: &StepSpec, key: WorkerKey, taken: &[WorkerKey], now: Now) -> bool {
    let copies = taken.iter().filter(|other| **other == key).count();
    let mut needs = step.footprint();
    for _ in 0..copies {
        needs = needs.plus(step.footprint());
    }
    worker.may_fit(needs, now.local_ms)
}
