//! A queue ordered by criticality, then deadline.

use std::collections::BTreeMap;

use settings::Criticality;
use slotmap::new_key_type;

use crate::router::ServiceKey;
use crate::target::TargetKey;

new_key_type! {
    /// A pool in the router's arena.
    pub struct PoolKey;
}

/// A waiting request. The order of keys is the order of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitKey {
    criticality: Criticality,
    deadline_us: u64,
    seq: u64,
    pool: PoolKey,
}

impl WaitKey {
    pub(crate) fn pool(self) -> PoolKey {
        self.pool
    }

    pub(crate) fn deadline_us(self) -> u64 {
        self.deadline_us
    }
}

/// What a waiting request still needs when its turn comes.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) service: ServiceKey,
    pub(crate) tried: Vec<TargetKey>,
}

#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: BTreeMap<WaitKey, Waiting>,
    next_seq: u64,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// The key that a request would get if it were pushed now.
    pub(crate) fn key(&self, pool: PoolKey, criticality: Criticality, deadline_us: u64) -> WaitKey {
        WaitKey {
            criticality,
            deadline_us,
            seq: self.next_seq,
            pool,
        }
    }

    pub(crate) fn push(&mut self, key: WaitKey, waiting: Waiting) {
        self.next_seq += 1;
        self.waiting.insert(key, waiting);
    }

    /// How many are served before `key`.
    pub(crate) fn ahead_of(&self, key: WaitKey) -> usize {
        self.waiting.range(..key).count()
    }

    pub(crate) fn first(&self) -> Option<(WaitKey, &Waiting)> {
        let (key, waiting) = self.waiting.first_key_value()?;
        Some((*key, waiting))
    }

    /// The request that is served last.
    pub(crate) fn last(&self) -> Option<WaitKey> {
        self.waiting.last_key_value().map(|(key, _)| *key)
    }

    pub(crate) fn remove(&mut self, key: WaitKey) -> Option<Waiting> {
        self.waiting.remove(&key)
    }

    /// Removes the requests that could not be answered in time even if they were sent at `now_us`.
    pub(crate) fn remove_late(&mut self, now_us: u64, service_us: u64) -> Vec<WaitKey> {
        let is_late = |key: &WaitKey| key.deadline_us < now_us.saturating_add(service_us);
        let late: Vec<_> = self.waiting.keys().copied().filter(is_late).collect();
        for key in &late {
            self.waiting.remove(key);
        }
        late
    }

    pub(crate) fn drain(&mut self) -> Vec<WaitKey> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_keys().collect()
    }
}
