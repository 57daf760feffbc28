//! Blocklisting of workers whose attempts fail or stall, or that refuse commands.

use std::collections::BTreeSet;

use submission::JobId;

/// The number of distinct jobs with failed attempts, without a success between, for which a worker is blocklisted. Up
/// to a tenth of a queue's jobs may fail on any worker: three in a row by chance have a probability of 1 in 1000.
const FAILED_JOBS_TO_BLOCKLIST: usize = 3;

/// The number of distinct jobs with stalled attempts, without a success between, for which a worker is blocklisted.
const STALLED_JOBS_TO_BLOCKLIST: usize = 1;

/// The initial duration on the blocklist. Faults of workers last from 3 s to 7 s.
const MIN_BLOCKLIST_MS: u64 = 3000;

/// The longest duration on the blocklist. The duration doubles each time until the worker succeeds.
const MAX_BLOCKLIST_MS: u64 = 12_000;

/// How long a worker is blocklisted after it refused a start command for another reason than its free capacity, or after no
/// command reached it.
const REFUSAL_BLOCKLIST_MS: u64 = 700;

/// The health of a worker. A new owner starts without this record and builds up its own.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    failed_jobs: BTreeSet<JobId>,
    stalled_jobs: BTreeSet<JobId>,
    blocklisted_until_ms: u64,
    blocklist_count: u32,
}

impl Health {
    pub(crate) fn is_blocklisted(&self, now_ms: u64) -> bool {
        now_ms < self.blocklisted_until_ms
    }

    /// Records that an attempt succeeded.
    pub(crate) fn record_success(&mut self) {
        self.failed_jobs.clear();
        self.stalled_jobs.clear();
        self.blocklist_count = 0;
    }

    /// Records that an attempt of a job failed. Returns whether the worker is newly blocklisted.
    pub(crate) fn record_failure(&mut self, job: JobId, may_blocklist: bool, now_ms: u64) -> bool {
        self.failed_jobs.insert(job);
        self.failed_jobs.len() >= FAILED_JOBS_TO_BLOCKLIST
            && may_blocklist
            && self.blocklist(now_ms)
    }

    /// Records that an attempt of a job stalled. Returns whether the worker is newly blocklisted.
    pub(crate) fn record_stall(&mut self, job: JobId, may_blocklist: bool, now_ms: u64) -> bool {
        self.stalled_jobs.insert(job);
        self.stalled_jobs.len() >= STALLED_JOBS_TO_BLOCKLIST
            && may_blocklist
            && self.blocklist(now_ms)
    }

    /// Records that the worker refused a start command for another reason than its free capacity, or that none reached it.
    pub(crate) fn record_refusal(&mut self, now_ms: u64) {
        self.blocklisted_until_ms = self.blocklisted_until_ms.max(now_ms + REFUSAL_BLOCKLIST_MS);
    }

    fn blocklist(&mut self, now_ms: u64) -> bool {
        if self.is_blocklisted(now_ms) {
            return false;
        }
        let duration_ms = (MIN_BLOCKLIST_MS << self.blocklist_count.min(4)).min(MAX_BLOCKLIST_MS);
        self.blocklisted_until_ms = now_ms + duration_ms;
        self.blocklist_count += 1;
        self.failed_jobs.clear();
        self.stalled_jobs.clear();
        true
    }
}
