//! The ready steps, in the order in which they are placed.
//!
//! Built for overload: for several seconds, a queue may submit several times the work that its pool can do.

use std::collections::{BTreeSet, HashMap};

use submission::JobId;

/// A step of an occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct StepKey {
    pub(crate) job: JobId,
    pub(crate) occurrence: u32,
    pub(crate) step: u16,
}

/// The rank of a ready step: the lowest is placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Jobs that can't meet their latency objective any more come after jobs that can.
    pub(crate) is_past_latest_start: bool,
    /// Service tasks come before batch tasks, as each second without a service task is lost.
    pub(crate) is_batch: bool,
    /// The priority of the queue; 0 is the highest.
    pub(crate) priority: u32,
    /// Started jobs come before jobs that have not started, as a partly done job has no value yet.
    pub(crate) is_not_started: bool,
    /// The latest start with which the job meets its latency objective by the estimates, in ms on the store's clock.
    pub(crate) latest_start_ms: u64,
}

/// The steps with a task that could start, by rank.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ready {
    order: BTreeSet<(Rank, StepKey)>,
    ranks: HashMap<StepKey, Rank>,
    /// The batch steps whose latest start had not passed when they were ranked, by latest start.
    by_latest_start: BTreeSet<(u64, StepKey)>,
}

impl Ready {
    pub(crate) fn insert(&mut self, step: StepKey, rank: Rank) {
        if let Some(previous) = self.ranks.insert(step, rank) {
            self.order.remove(&(previous, step));
            self.by_latest_start
                .remove(&(previous.latest_start_ms, step));
        }
        self.order.insert((rank, step));
        if rank.is_batch && !rank.is_past_latest_start {
            self.by_latest_start.insert((rank.latest_start_ms, step));
        }
    }

    pub(crate) fn remove(&mut self, step: StepKey) {
        if let Some(rank) = self.ranks.remove(&step) {
            self.order.remove(&(rank, step));
            self.by_latest_start.remove(&(rank.latest_start_ms, step));
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// The steps whose latest start has passed since they were ranked.
    pub(crate) fn newly_past_latest_start(&self, store_ms: u64) -> Vec<(Rank, StepKey)> {
        let passed = self
            .by_latest_start
            .iter()
            .take_while(|(latest_ms, _)| *latest_ms < store_ms);
        let ranked = passed.filter_map(|(_, step)| Some((*self.ranks.get(step)?, *step)));
        ranked.collect()
    }

    /// The steps with their ranks, lowest rank first.
    pub(crate) fn ranked(&self) -> impl Iterator<Item = (Rank, StepKey)> {
        self.order.iter().copied()
    }

    /// The `max_steps` steps with the lowest ranks, lowest first.
    pub(crate) fn first(&self, max_steps: usize) -> Vec<StepKey> {
        self.order
            .iter()
            .take(max_steps)
            .map(|(_, step)| *step)
            .collect()
    }
}
