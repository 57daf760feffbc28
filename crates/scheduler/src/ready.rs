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
    /// The latest start, by the estimates, that meets the objective; on the store's clock.
    pub(crate) latest_start_ms: u64,
}

/// The steps with a task that could start.
#[derive(Debug, Default)]
pub(crate) struct Ready {
    order: BTreeSet<(Rank, StepKey)>,
    ranks: HashMap<StepKey, Rank>,
}

impl Ready {
    pub(crate) fn insert(&mut self, step: StepKey, rank: Rank) {
        if let Some(before) = self.ranks.insert(step, rank) {
            self.order.remove(&(before, step));
        }
        self.order.insert((rank, step));
    }

    pub(crate) fn remove(&mut self, step: StepKey) {
        if let Some(rank) = self.ranks.remove(&step) {
            self.order.remove(&(rank, step));
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// The steps whose latest start has passed, and which are not yet ranked as late.
    pub(crate) fn turned_late(&self, store_ms: u64) -> Vec<(Rank, StepKey)> {
        let on_time = self.order.iter().take_while(|(rank, _)| !rank.is_late);
        let passed = on_time.filter(|(rank, _)| rank.is_brief && rank.latest_start_ms < store_ms);
        passed.copied().collect()
    }

    /// The steps with their ranks, in order.
    pub(crate) fn ranked(&self) -> impl Iterator<Item = (Rank, StepKey)> {
        self.order.iter().copied()
    }

    /// The steps in order.
    pub(crate) fn steps(&self) -> Vec<StepKey> {
        self.order.iter().map(|(_, step)| *step).collect()
    }
}
