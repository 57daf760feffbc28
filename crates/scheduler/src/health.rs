//! Workers that fail what they start, or let it stand still, are given nothing for a while.

use std::collections::BTreeSet;

use submission::JobId;

/// Distinct jobs that fail in a row before a worker is avoided. Jobs that can't be done fail anywhere, and up to a
/// tenth of a queue's jobs are of that kind at times: three in a row by chance are one in a thousand.
const FAILED_JOBS: usize = 3;

/// Distinct jobs whose tasks stood still in a row before a worker is avoided.
const STALLED_JOBS: usize = 1;

/// The first time for which a worker is avoided. Troubles of workers last from 3 s to 7 s.
const FIRST_AVOIDANCE_MS: u64 = 3000;

/// The longest time.
const MAX_AVOIDANCE_MS: u64 = 12_000;

/// How long a worker is avoided that refused an order because it is unhealthy.
const REFUSAL_AVOIDANCE_MS: u64 = 700;

/// What is known of a worker's health. A new owner starts without it and learns it again.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    failed_jobs: BTreeSet<JobId>,
    stalled_jobs: BTreeSet<JobId>,
    avoided_until_ms: u64,
    avoidances: u32,
}

impl Health {
    pub(crate) fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoided_until_ms
    }

    pub(crate) fn succeeded(&mut self) {
        self.failed_jobs.clear();
        self.stalled_jobs.clear();
        self.avoidances = 0;
    }

    /// A run of a job failed. True when the worker is avoided from now on.
    pub(crate) fn failed(&mut self, job: JobId, may_avoid: bool, now_ms: u64) -> bool {
        self.failed_jobs.insert(job);
        self.failed_jobs.len() >= FAILED_JOBS && may_avoid && self.avoid(now_ms)
    }

    /// A run of a job stood still. True when the worker is avoided from now on.
    pub(crate) fn stalled(&mut self, job: JobId, may_avoid: bool, now_ms: u64) -> bool {
        self.stalled_jobs.insert(job);
        self.stalled_jobs.len() >= STALLED_JOBS && may_avoid && self.avoid(now_ms)
    }

    /// It refused an order without a reason in the order.
    pub(crate) fn refused(&mut self, now_ms: u64) {
        self.avoided_until_ms = self.avoided_until_ms.max(now_ms + REFUSAL_AVOIDANCE_MS);
    }

    fn avoid(&mut self, now_ms: u64) -> bool {
        if self.is_avoided(now_ms) {
            return false;
        }
        let span_ms = (FIRST_AVOIDANCE_MS << self.avoidances.min(4)).min(MAX_AVOIDANCE_MS);
        self.avoided_until_ms = now_ms + span_ms;
        self.avoidances += 1;
        self.failed_jobs.clear();
        self.stalled_jobs.clear();
        true
    }
}
