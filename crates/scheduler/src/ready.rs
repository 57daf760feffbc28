//! The ready steps, in the order in which they are placed.
//!
//! Built for overload: for several seconds, a queue may submit several times the work that its pool can do.

use std::collections::{BTreeSet, HashMap, HashSet};

use submission::JobId;

use crate::team_steps::TeamSteps;

/// A step of an occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct StepKey {
    pub(crate) job: JobId,
    pub(crate) occurrence: u32,
    pub(crate) step: u16,
}

/// Whether a job can still meet its latency objective, by the estimates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Prospect {
    /// The job can meet its objective if its next step starts before its latest start.
    OnTime,
    /// The job will miss its objective, but its result is still of use to its caller.
    Late,
    /// The job's result will be of no use to its caller.
    TooLate,
}

/// The rank of a ready step: the lowest is placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Jobs that can't meet their latency objective any more come after jobs that can, and jobs whose results will be of no
    /// use come last.
    pub(crate) prospect: Prospect,
    /// Service tasks come before batch tasks, as each second without a service task is lost.
    pub(crate) is_batch: bool,
    /// The priority of the queue; 0 is the highest.
    pub(crate) priority: u32,
    /// Started jobs come before jobs that have not started, as a partly done job has no value yet.
    pub(crate) is_not_started: bool,
    /// For jobs on time and jobs too late, the latest start of the step, in ms on the store's clock; under overload, the
    /// latest start of jobs on time is shifted by their work where the rules say so. For late jobs, the remaining work, so
    /// that as many of them as possible are done while their results are of use.
    pub(crate) order: u64,
}

/// The steps with a task that could start, by rank.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ready {
    order: BTreeSet<(Rank, StepKey)>,
    /// The rank of each step, and when the rank changes, in ms on the store's clock.
    ranks: HashMap<StepKey, (Rank, u64)>,
    /// The steps by the time at which their rank changes.
    by_change: BTreeSet<(u64, StepKey)>,
    /// Steps that are left out of rounds until all others that need a lookup of their own have had one.
    deferred: HashSet<StepKey>,
    /// The steps by team.
    pub(crate) by_team: TeamSteps,
}

impl Ready {
    /// Adds a step, or changes its rank. The rank holds until `changes_at_ms` on the store's clock. A step that is left out of
    /// rounds stays so: otherwise, steps whose ranks change often would keep others from their turns.
    pub(crate) fn insert(&mut self, step: StepKey, rank: Rank, changes_at_ms: u64) {
        self.unlink(step);
        self.ranks.insert(step, (rank, changes_at_ms));
        self.order.insert((rank, step));
        self.by_change.insert((changes_at_ms, step));
    }

    pub(crate) fn remove(&mut self, step: StepKey) {
        self.deferred.remove(&step);
        self.unlink(step);
    }

    fn unlink(&mut self, step: StepKey) {
        self.by_team.remove(step);
        if let Some((rank, changes_at_ms)) = self.ranks.remove(&step) {
            self.order.remove(&(rank, step));
            self.by_change.remove(&(changes_at_ms, step));
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// The steps whose rank has changed since they were ranked.
    pub(crate) fn outdated(&self, store_ms: u64) -> Vec<StepKey> {
        let outdated = self
            .by_change
            .iter()
            .take_while(|(changes_at_ms, _)| *changes_at_ms < store_ms);
        outdated.map(|(_, step)| *step).collect()
    }

    /// The steps with their ranks, lowest rank first.
    pub(crate) fn ranked(&self) -> impl Iterator<Item = (Rank, StepKey)> {
        self.order.iter().copied()
    }

    pub(crate) fn rank(&self, step: StepKey) -> Option<Rank> {
        self.ranks.get(&step).map(|(rank, _)| *rank)
    }

    /// Leaves steps out of rounds, so that rounds reach the steps behind them.
    pub(crate) fn defer(&mut self, steps: impl IntoIterator<Item = StepKey>) {
        self.deferred.extend(steps);
    }

    /// Ends all deferrals, after a round that skipped no other step.
    pub(crate) fn end_deferrals(&mut self) {
        self.deferred.clear();
    }

    pub(crate) fn is_deferred(&self, step: StepKey) -> bool {
        self.deferred.contains(&step)
    }
}
