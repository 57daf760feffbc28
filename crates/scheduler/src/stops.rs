//! Stop commands that no worker has accepted yet.
//!
//! Between the decision and the send, and between two sends, the reason for a stop may go away: other tasks of the step become
//! unavailable, the drain ends, or a report shows that the start which the stop is to rule out has taken effect.

use submission::TaskKey;

use crate::scheduler::Scheduler;
use crate::types::Now;
use crate::worker::WorkerKey;

/// What to do about a stop command that the worker has not accepted yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopStep {
    /// Send the command now.
    Send,
    /// Decide again later: the step of the task tolerates no more unavailable tasks now, or no report tells yet whether the attempt
    /// runs.
    Wait,
    /// Send the command no more.
    Withdrawn,
}

impl Scheduler {
    /// Returns what to do about a stop command for an attempt now. `may_be_delivered` tells whether an earlier send may have
    /// reached the worker. A service task that is at work is stopped only for a drain that goes on, and while its step tolerates it.
    pub fn next_stop_step(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        number: u32,
        may_be_delivered: bool,
        now: Now,
    ) -> StopStep {
        if !self.is_assigned(key, task, number) {
            return StopStep::Withdrawn;
        }
        let Some(job) = self.jobs.get(&task.job) else {
            return StopStep::Withdrawn;
        };
        let worker = &self.workers[key];
        let attempt = &worker.attempts[&task];
        if job.has_ended() || !attempt.is_service {
            return StopStep::Send;
        }
        if !attempt.is_stopping {
            return match attempt.unanswered_at_ms {
                _ if attempt.has_started => StopStep::Withdrawn,
                Some(at_ms) if !worker.incarnation.has_reported_since(at_ms) => StopStep::Wait,
                _ => StopStep::Send,
            };
        }
        let is_drained = now.local_ms < worker.drain_until_ms;
        let is_tolerated = self.tolerates_stop(job, task, now);
        if is_tolerated && (is_drained || may_be_delivered) {
            return StopStep::Send;
        }
        if may_be_delivered {
            return StopStep::Wait;
        }
        // The next renewal of the drain decides anew.
        if let Some(attempt) = self.workers[key].attempts.get_mut(&task) {
            attempt.is_stopping = false;
        }
        StopStep::Withdrawn
    }
}
