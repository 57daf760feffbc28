//! When a job has to be done by the rules of its queue, and the rank of its steps.

use submission::{Job, JobState};

use crate::ready::{Prospect, Rank, StepKey};
use crate::scheduler::Scheduler;
use crate::types::Now;

/// The expected duration of the remaining critical path of a started job, in percent of the estimate. More than 100,
/// because a step ends with its slowest task.
const STARTED_PATH_PERCENT: u64 = 115;

/// The expected duration of the critical path of a job that has not started, in percent of the estimate. Estimates are
/// off by 20 to 50 percent, and under overload every job starts at its latest start: a latest start that is computed
/// too late makes all jobs miss their latency objective.
const NOT_STARTED_PATH_PERCENT: u64 = 140;

/// The multiple of its latency objective after which the result of a job is of no use to its caller.
const USEFUL_OBJECTIVES: u64 = 3;

impl Scheduler {
    /// The time by which a job has to be done to meet its latency objective, in ms on the store's clock.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "run times are far below the limits of the types"
    )]
    pub(crate) fn deadline_ms(&self, job: &Job) -> u64 {
        let rules = self.rules(job);
        let factor = rules.map_or(1.0, |rules| rules.latency_objective_factor);
        let base_ms = rules.map_or(0, |rules| rules.latency_objective_base_ms);
        let stretched_ms = (job.critical_path_ms() as f64 * factor) as u64;
        job.accepted_at_ms
            .saturating_add(stretched_ms)
            .saturating_add(base_ms)
    }

    /// The time by which an occurrence of a job has to go on so that the job meets its latency objective, by the estimates,
    /// in ms on the store's clock.
    pub(crate) fn latest_start_ms(&self, job: &Job, occurrence: u32) -> u64 {
        let percent = if job.state() == JobState::Queued {
            NOT_STARTED_PATH_PERCENT
        } else {
            STARTED_PATH_PERCENT
        };
        let path_ms = job.remaining_critical_path_ms(occurrence);
        let expected_ms = path_ms.saturating_mul(percent) / 100;
        self.deadline_ms(job).saturating_sub(expected_ms)
    }

    /// The rank of a step, and the time at which the rank changes, in ms on the store's clock.
    pub(crate) fn rank(&self, job: &Job, key: StepKey, now: Now) -> (Rank, u64) {
        let is_not_started = job.state() == JobState::Queued;
        let path_ms = job.remaining_critical_path_ms(key.occurrence);
        let deadline_ms = self.deadline_ms(job);
        let latest_start_ms = self.latest_start_ms(job, key.occurrence);
        let objective_ms = deadline_ms.saturating_sub(job.accepted_at_ms);
        let useful_until_ms = job
            .accepted_at_ms
            .saturating_add(objective_ms.saturating_mul(USEFUL_OBJECTIVES));
        let latest_useful_start_ms = useful_until_ms.saturating_sub(path_ms);
        let is_service = job.spec().steps[usize::from(key.step)].is_service;
        let (prospect, order, changes_at_ms) = if is_service {
            (Prospect::OnTime, latest_start_ms, u64::MAX)
        } else if now.store_ms <= latest_start_ms {
            let overload = &self.overload;
            let order = overload.on_time_order(job, key.occurrence, latest_start_ms);
            (Prospect::OnTime, order, latest_start_ms)
        } else if now.store_ms <= latest_useful_start_ms {
            let order = self.overload.counted_work(job, key.occurrence);
            (Prospect::Late, order, latest_useful_start_ms)
        } else {
            (Prospect::TooLate, latest_start_ms, u64::MAX)
        };
        let rules = self.rules(job);
        let rank = Rank {
            prospect,
            is_batch: !is_service,
            priority: rules.map_or(u32::MAX, |rules| rules.priority),
            is_not_started,
            order,
        };
        (rank, changes_at_ms)
    }
}
