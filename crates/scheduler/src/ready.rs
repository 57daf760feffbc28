//! The steps whose tasks could start, in the order in which they are served.
//!
//! Answers the load pattern of a turn: for seconds, a queue asks several times what its pool can do.

use std::collections::{BTreeSet, HashMap};

use submission::JobId;

/// A step of an occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct StepKey {
    pub(crate) job: JobId,
    pub(crate) occurrence: u32,
    pub(crate) step: u16,
}

/// The place of a step in the order: the lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Jobs that can't meet their objective any more come after those that can.
    pub(crate) is_late: bool,
    /// Lasting tasks come first: each second without them is lost.
    pub(crate) is_brief: bool,
    pub(crate) priority: u32,
    /// Jobs that have begun go before those that have not: what is half done has earned nothing yet.
    pub(crate) is_untouched: bool,
    /// The latest start, by the estimates, that meets the objective; on the store's clock.
    pub(crate) latest_start_ms: u64,
}

/// The steps with a task that could start.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ready {
    order: BTreeSet<(Rank, StepKey)>,
    ranks: HashMap<StepKey, Rank>,
    /// The brief steps that are not late, by their latest start.
    by_latest_start: BTreeSet<(u64, StepKey)>,
}

impl Ready {
    pub(crate) fn insert(&mut self, step: StepKey, rank: Rank) {
        if let Some(before) = self.ranks.insert(step, rank) {
            self.order.remove(&(before, step));
            self.by_latest_start.remove(&(before.latest_start_ms, step));
        }
        self.order.insert((rank, step));
        if rank.is_brief && !rank.is_late {
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

    /// The steps whose latest start has passed, and which are not yet ranked as late.
    pub(crate) fn turned_late(&self, store_ms: u64) -> Vec<(Rank, StepKey)> {
        let passed = self
            .by_latest_start
            .iter()
            .take_while(|(latest_ms, _)| *latest_ms < store_ms);
        let ranked = passed.filter_map(|(_, step)| Some((*self.ranks.get(step)?, *step)));
        ranked.collect()
    }

    /// The steps with their ranks, in order.
    pub(crate) fn ranked(&self) -> impl Iterator<Item = (Rank, StepKey)> {
        self.order.iter().copied()
    }

    /// The first `most` steps in order.
    pub(crate) fn first(&self, most: usize) -> Vec<StepKey> {
        self.order
            .iter()
            .take(most)
            .map(|(_, step)| *step)
            .collect()
    }
}
