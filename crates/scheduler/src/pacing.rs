//! The pace of tasks that fill what others leave unused, so that those that serve stay below their target.
//!
//! Answers a tail that rises within half a second: down by halves, up by small steps.

use crate::batch::Action;
use crate::scheduler::Scheduler;
use crate::worker::WorkerKey;

/// Above this share of its target, in percent, a tail has fillers slowed.
const HIGH_PERCENT: u64 = 85;

/// Below this share of all targets, in percent, fillers may go faster.
const LOW_PERCENT: u64 = 60;

/// By how much fillers go faster at a look, in percent of full speed.
const STEP_UP_PERCENT: u32 = 10;

/// Paces below this are 0: they would cost a place without getting anything done.
const LEAST_PERCENT: u32 = 13;

impl Scheduler {
    /// An order to set a task's pace got no answer: the next look sets it again.
    pub fn pace_unknown(&mut self, key: WorkerKey, name: &str) {
        let Some(task) = self.task_of(name) else {
            return;
        };
        let run = self
            .workers
            .get_mut(key)
            .and_then(|worker| worker.runs.get_mut(&task));
        if let Some(run) = run {
            run.pace_percent = 100;
        }
    }

    pub(crate) fn pace_fillers(&mut self, key: WorkerKey) {
        let mut worst_percent = 0;
        let mut fillers = Vec::new();
        for (task, run) in &self.workers[key].runs {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let step = job.step(task.index);
            if step.is_filler {
                fillers.push((
                    *task,
                    run.number,
                    run.pace_percent,
                    job.task_name(task.index),
                ));
            } else if let Some(percent) = (run.load * 100).checked_div(step.tail_target_ms) {
                worst_percent = worst_percent.max(percent);
            }
        }
        for (task, number, pace, name) in fillers {
            let next = next_pace(pace, worst_percent);
            if next == pace {
                continue;
            }
            if let Some(run) = self.workers[key].runs.get_mut(&task) {
                run.pace_percent = next;
            }
            self.urgent.push(Action::Pace {
                worker: key,
                name,
                run: number,
                percent: next,
            });
        }
    }
}

fn next_pace(pace: u32, worst_percent: u64) -> u32 {
    if worst_percent > 100 {
        return 0;
    }
    if worst_percent > HIGH_PERCENT {
        let half = pace / 2;
        return if half < LEAST_PERCENT { 0 } else { half };
    }
    if worst_percent < LOW_PERCENT {
        return (pace + STEP_UP_PERCENT).min(100);
    }
    pace
}
