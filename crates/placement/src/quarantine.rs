//! Workers that fail everything they start are given nothing for a while.

use std::collections::{BTreeMap, BTreeSet};

use domain::{JobId, VmId};

/// Distinct jobs that fail in a row before a worker is quarantined.
const FAILED_JOBS: usize = 3;

/// The first quarantine; each further one without a success in between doubles it.
const FIRST_US: u64 = 60 * 1_000_000;

/// The most doublings.
const MAX_DOUBLINGS: u32 = 6;

/// The share of a pool's workers that may be in quarantine at once, in percent; one of four or more always may.
const MAX_SHARE_PERCENT: usize = 20;

#[derive(Debug, Default)]
struct Record {
    failed_in_row: BTreeSet<JobId>,
    quarantines: u32,
    until_us: u64,
}

/// What is known of failing workers. A new steward starts without it and learns it again.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<VmId, Record>,
}

impl Quarantine {
    /// Nothing known.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a worker is in quarantine.
    #[must_use]
    pub fn has(&self, vm: &VmId, now_us: u64) -> bool {
        self.records
            .get(vm)
            .is_some_and(|record| record.until_us > now_us)
    }

    /// A job succeeded on a worker.
    pub fn succeeded(&mut self, vm: &VmId) {
        self.records.remove(vm);
    }

    /// A job failed on a worker; `pool` are the workers of its pool. True when the worker is quarantined now.
    ///
    /// ```
    /// use domain::{JobId, VmId};
    /// let pool: Vec<_> = (0..5).map(|i| VmId::new(&format!("vm-{i}")).unwrap()).collect();
    /// let mut quarantine = placement::Quarantine::new();
    /// for job in ["a", "b", "c"] {
    ///     quarantine.failed(&pool[0], &JobId::new(job).unwrap(), &pool, 0);
    /// }
    /// assert!(quarantine.has(&pool[0], 1));
    /// ```
    pub fn failed(&mut self, vm: &VmId, job: &JobId, pool: &[VmId], now_us: u64) -> bool {
        let in_quarantine = pool.iter().filter(|other| self.has(other, now_us)).count();
        let allowed = (pool.len() * MAX_SHARE_PERCENT / 100).max(usize::from(pool.len() > 3));
        let record = self.records.entry(vm.clone()).or_default();
        record.failed_in_row.insert(job.clone());
        if record.failed_in_row.len() < FAILED_JOBS || in_quarantine >= allowed {
            return false;
        }
        let doublings = record.quarantines.min(MAX_DOUBLINGS);
        record.until_us = now_us + (FIRST_US << doublings);
        record.quarantines += 1;
        record.failed_in_row.clear();
        true
    }
}
