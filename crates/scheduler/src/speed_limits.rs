//! Speed limits of best-effort tasks, which use the capacity that other tasks leave unused. The limits keep the tail
//! latency of service tasks below its target.
//!
//! A tail latency can rise within half a second: speed limits are halved when the tail latency is high, and raised in
//! small steps when the tail latency is low.

use crate::batch::WorkerCommand;
use crate::scheduler::Scheduler;
use crate::worker::WorkerKey;

/// Speed limits are lowered when a tail latency on the worker is above this percentage of its target.
const SLOW_DOWN_ABOVE_PERCENT: u64 = 85;

/// Speed limits are raised when all tail latencies on the worker are below this percentage of their targets.
const SPEED_UP_BELOW_PERCENT: u64 = 60;

/// By how much a speed limit is raised at each report, in percent of full speed.
const STEP_UP_PERCENT: u32 = 10;

/// The lowest speed limit above 0, in percent of full speed. A slower task would occupy its worker without getting
/// anything done.
const MIN_SPEED_LIMIT_PERCENT: u32 = 13;

impl Scheduler {
    /// Records that a command to set a speed limit may not have taken effect: the worker may apply that speed limit or an
    /// earlier one, until the next command. An unknown task is ignored.
    pub fn forget_speed_limit(&mut self, key: WorkerKey, name: &str) {
        let Some(task) = self.task_by_name(name) else {
            return;
        };
        let attempt = self
            .workers
            .get_mut(key)
            .and_then(|worker| worker.attempts.get_mut(&task));
        if let Some(attempt) = attempt {
            attempt.is_speed_limit_known = false;
        }
    }

    /// Adjusts the speed limits of a worker's best-effort tasks to the tail latencies of its other tasks.
    pub(crate) fn update_speed_limits(&mut self, key: WorkerKey) {
        let mut worst_percent = 0;
        let mut best_effort = Vec::new();
        for (task, attempt) in &self.workers[key].attempts {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let step = job.step(task.index);
            if step.is_best_effort {
                best_effort.push((
                    *task,
                    attempt.number,
                    (attempt.speed_limit_percent, attempt.is_speed_limit_known),
                    job.task_name(task.index),
                ));
            } else if let Some(percent) = attempt
                .load
                .saturating_mul(100)
                .checked_div(step.tail_latency_target_ms)
            {
                worst_percent = worst_percent.max(percent);
            }
        }
        let is_kept = (SPEED_UP_BELOW_PERCENT..=SLOW_DOWN_ABOVE_PERCENT).contains(&worst_percent);
        for (task, number, (current_percent, is_known), name) in best_effort {
            let next_percent = next_speed_limit_percent(current_percent, worst_percent);
            if next_percent == current_percent && (is_known || is_kept) {
                continue;
            }
            if let Some(attempt) = self.workers[key].attempts.get_mut(&task) {
                attempt.speed_limit_percent = next_percent;
                attempt.is_speed_limit_known = true;
            }
            self.immediate_commands.push(WorkerCommand::SetSpeedLimit {
                worker: key,
                name,
                attempt: number,
                speed_limit_percent: next_percent,
            });
        }
    }
}

/// The next speed limit, in percent of full speed. `worst_percent` is the tail latency on the worker that is largest in
/// percent of its target.
fn next_speed_limit_percent(current_percent: u32, worst_percent: u64) -> u32 {
    if worst_percent > 100 {
        return 0;
    }
    if worst_percent > SLOW_DOWN_ABOVE_PERCENT {
        let half = current_percent / 2;
        return if half < MIN_SPEED_LIMIT_PERCENT {
            0
        } else {
            half
        };
    }
    if worst_percent < SPEED_UP_BELOW_PERCENT {
        return (current_percent + STEP_UP_PERCENT).min(100);
    }
    current_percent
}
