//! What the scheduler knows of one incarnation of a worker, which is one lifetime of the worker's process.
//!
//! A worker that restarts may keep its id and its address. The next process knows no term, no attempt and no lease of the
//! previous one, numbers the ends of its attempts from 1 and has a new clock. So all of this is replaced at once.

use std::collections::VecDeque;

use submission::Resources;

use crate::dirty::{DirtyJobs, Position};
use crate::health::Health;
use crate::teams::TeamKey;

/// How long after a report the ends in it may be acknowledged, in ms. An acknowledgement that reaches the next incarnation
/// makes it discard ends that it has not reported. The time is too short for a worker to restart and to end a task.
const ACKNOWLEDGEMENT_WINDOW_MS: u64 = 400;

/// How long after a response a process counts as alive, in ms. A worker with batch tasks is polled every 0.3 s.
const ALIVE_MS: u64 = 500;

/// The same when a task under which a worker has crashed is started, in ms: hardly any worker ends by itself in this time, so that
/// the task is the likely cause if one does.
const ALIVE_FOR_SUSPECT_MS: u64 = 50;

/// A reading of a worker's clock, paired with the time on the daemon's clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClockSample {
    pub(crate) worker_ms: u64,
    /// When the response with the reading arrived, in ms on the daemon's clock.
    pub(crate) at_ms: u64,
}

/// A poll that was answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Poll {
    /// When the poll was sent, in ms on the daemon's clock.
    pub(crate) sent_at_ms: u64,
    /// The number of the last ended attempt that the poll acknowledged as recorded; 0 for none.
    pub(crate) acknowledged_end: u64,
}

/// The state of a worker's process, as far as this owner knows it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Incarnation {
    /// The number of the incarnation among those of the worker that this scheduler has known, from 0.
    pub(crate) number: u32,
    /// The start of the process in ms since 1970 on the worker's clock; `None` when it is unknown.
    pub(crate) start_unix_ms: Option<u64>,
    /// Whether the process has accepted a request with this owner's term. From then on it refuses the commands of previous
    /// owners.
    pub(crate) has_accepted_term: bool,
    /// When the first report of the process arrived, in ms on the daemon's clock; 0 before.
    pub(crate) reports_since_ms: u64,
    last_report_at_ms: u64,
    /// When the poll was sent that the last report responds to, in ms on the daemon's clock.
    last_poll_sent_at_ms: u64,
    /// The worker's clock in the first and in the last report of the process, in ms; 0 before.
    first_report_clock_ms: u64,
    last_report_clock_ms: u64,
    /// When the last response of the process arrived, in ms on the daemon's clock; 0 before the first.
    last_response_at_ms: u64,
    /// The size of a task that the process refused, and until when tasks of that size are not sent (in ms on the daemon's
    /// clock). Cleared when an attempt ends on the worker.
    pub(crate) refused_size: Option<(Resources, u64)>,
    /// The resources in use by attempts that the last report lists as running and that are not assigned to the worker. They
    /// are being stopped.
    pub(crate) used_by_unassigned: Resources,
    /// What these attempts need, each with the team of its job. Only attempts of known jobs.
    pub(crate) unassigned: Vec<(Option<TeamKey>, Resources)>,
    pub(crate) health: Health,
    /// The number of the last ended attempt that was applied.
    pub(crate) received_end: u64,
    /// The numbers of ended attempts that were applied and are not recorded. With each comes a position in the queue of
    /// jobs to write: once all jobs before the position are written, so are all outcomes up to the number.
    unrecorded_ends: VecDeque<(u64, Position)>,
    /// The number of the last ended attempt whose outcome is recorded.
    pub(crate) recorded_end: u64,
    /// The number of the last ended attempt that was acknowledged to the worker, which then discards the end.
    acknowledged_end: u64,
    pub(crate) clock: Option<ClockSample>,
    /// When the leader said that the process has ended, but not that it crashed, in ms on the daemon's clock; `None` when it
    /// did not, and after a report to a later poll.
    pub(crate) ended_without_crash_at_ms: Option<u64>,
}

impl Incarnation {
    /// Returns the incarnation that follows this one and started at `start_unix_ms`.
    pub(crate) fn next(&self, start_unix_ms: Option<u64>) -> Self {
        Self {
            number: self.number + 1,
            start_unix_ms,
            ..Self::default()
        }
    }

    /// Records a report in response to a poll that was sent at `poll.sent_at_ms`: that the process has accepted the term, and
    /// that ends up to `poll.acknowledged_end` were acknowledged to it. The report was made at `clock_ms` on the worker's clock.
    pub(crate) fn record_report(&mut self, poll: Poll, clock_ms: u64, now_ms: u64) {
        if !self.has_accepted_term {
            self.reports_since_ms = now_ms;
            self.first_report_clock_ms = clock_ms;
        }
        self.has_accepted_term = true;
        self.last_report_at_ms = now_ms;
        self.last_report_clock_ms = clock_ms;
        self.last_poll_sent_at_ms = poll.sent_at_ms;
        self.record_response(now_ms);
        self.acknowledged_end = self.acknowledged_end.max(poll.acknowledged_end);
    }

    /// Whether the last report responds to a poll that was sent after `at_ms` on the daemon's clock.
    pub(crate) fn has_reported_since(&self, at_ms: u64) -> bool {
        self.last_poll_sent_at_ms > at_ms
    }

    /// Returns the time since the last response of the process, in ms; `None` before the first.
    pub(crate) fn response_age_ms(&self, now_ms: u64) -> Option<u64> {
        (self.last_response_at_ms > 0).then(|| now_ms.saturating_sub(self.last_response_at_ms))
    }

    /// Records that a response of the process has arrived.
    pub(crate) fn record_response(&mut self, now_ms: u64) {
        self.last_response_at_ms = now_ms;
    }

    /// The time since the last report of the process, in ms; since the start of the daemon's clock before the first.
    pub(crate) fn report_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_report_at_ms)
    }

    /// Whether an attempt in the last report may be about to end, because a previous owner has stopped it. The process refuses the
    /// commands of previous owners since its first report, and an attempt runs for at most `stop_ms` after a stop.
    pub(crate) fn may_run_earlier_stops(&self, stop_ms: u64) -> bool {
        !self.has_accepted_term
            || self.last_report_clock_ms < self.first_report_clock_ms.saturating_add(stop_ms)
    }

    /// Whether a response shows that the process was alive at a time, or shortly before.
    pub(crate) fn was_alive_at(&self, at_ms: u64) -> bool {
        self.last_response_at_ms > 0 && at_ms <= self.last_response_at_ms + ALIVE_MS
    }

    /// Whether the last response shows for a start at `now_ms` that the process is alive. `is_suspect` tells whether a worker has crashed
    /// under the task before.
    pub(crate) fn is_alive_for_start(&self, is_suspect: bool, now_ms: u64) -> bool {
        let alive_ms = if is_suspect {
            ALIVE_FOR_SUSPECT_MS
        } else {
            ALIVE_MS
        };
        self.last_response_at_ms > 0 && now_ms <= self.last_response_at_ms + alive_ms
    }

    /// Whether attempts that are not assigned to the worker were running at the last report.
    pub(crate) fn has_unassigned_attempts(&self) -> bool {
        self.used_by_unassigned != Resources::default()
    }

    /// Whether any reported end is not recorded yet. If the incarnation ended now, a next owner could not learn of that end.
    pub(crate) fn has_unrecorded_ends(&self) -> bool {
        self.received_end > self.recorded_end
    }

    /// Whether any end is recorded and not acknowledged yet.
    pub(crate) fn has_unacknowledged_ends(&self) -> bool {
        self.recorded_end > self.acknowledged_end
    }

    /// The number of the last end to acknowledge with the next lease renewal; 0 to acknowledge none. Ends are acknowledged
    /// once, and soon after a report: the worker may have restarted otherwise.
    pub(crate) fn end_to_acknowledge(&self, now_ms: u64) -> u64 {
        let is_report_recent =
            now_ms.saturating_sub(self.last_report_at_ms) <= ACKNOWLEDGEMENT_WINDOW_MS;
        if self.has_unacknowledged_ends() && is_report_recent {
            self.recorded_end
        } else {
            0
        }
    }

    /// Records that the outcomes of all ends up to `end` were applied. The jobs concerned are in the queue of jobs to
    /// write before `position`.
    pub(crate) fn record_received_ends(&mut self, end: u64, position: Position) {
        let last = self.unrecorded_ends.back().map_or(0, |(last, _)| *last);
        if end > last.max(self.recorded_end) {
            self.unrecorded_ends.push_back((end, position));
        }
    }

    /// Takes the largest number of an ended attempt for which all jobs with outcomes up to the number have left the queue
    /// of jobs to write; `None` when there is no new one.
    pub(crate) fn take_written_end(&mut self, dirty_jobs: &DirtyJobs) -> Option<u64> {
        let mut written = None;
        while let Some((end, position)) = self.unrecorded_ends.front() {
            if !dirty_jobs.is_past(*position) {
                break;
            }
            written = Some(*end);
            self.unrecorded_ends.pop_front();
        }
        written
    }
}
