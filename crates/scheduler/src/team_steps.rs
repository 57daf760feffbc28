//! The ready steps by team, so that the steps of a team that is at its limit are passed over as a whole.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;

use submission::Resources;

use crate::ready::{Rank, StepKey};
use crate::teams::{TeamKey, Usage};

/// Ready steps that a limit blocks together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Lane {
    /// The team of the jobs; `None` for jobs without a team.
    pub(crate) team: Option<TeamKey>,
}

/// A ready step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitingStep {
    pub(crate) lane: Lane,
    /// What a task of the step needs.
    pub(crate) needs: Resources,
    /// The number of tasks that could start.
    pub(crate) idle: u32,
    /// The number of tasks that start together.
    pub(crate) together: u32,
}

impl WaitingStep {
    /// What the step needs at least to start a task.
    pub(crate) fn least(&self) -> Usage {
        Usage::of(self.needs, self.together)
    }
}

/// What the ready steps of a team need.
#[derive(Debug, Clone, Default)]
pub(crate) struct TeamWaiting {
    pub(crate) needs: Usage,
    /// How many steps need at least this much CPU to start a task, by CPU in thousandths of a core.
    least_cpu_milli: BTreeMap<u64, usize>,
}

impl TeamWaiting {
    /// The CPU that the smallest of the steps needs to start a task, in thousandths of a core.
    pub(crate) fn least_cpu_milli(&self) -> u64 {
        let least = self.least_cpu_milli.first_key_value();
        least.map_or(0, |(cpu_milli, _)| *cpu_milli)
    }

    fn add(&mut self, step: &WaitingStep, idle: u32) {
        self.needs = self.needs.plus(Usage::of(step.needs, idle));
    }

    fn subtract(&mut self, step: &WaitingStep, idle: u32) {
        self.needs = self.needs.minus(Usage::of(step.needs, idle));
    }
}

/// The ready steps of jobs with a team, and those of other jobs once the pool has limits.
#[derive(Debug, Clone, Default)]
pub(crate) struct TeamSteps {
    lanes: BTreeMap<Lane, BTreeSet<(Rank, StepKey)>>,
    steps: HashMap<StepKey, (Rank, WaitingStep)>,
    /// By the index of the team's key.
    waiting: Vec<TeamWaiting>,
    nothing: TeamWaiting,
}

impl TeamSteps {
    /// Adds a step that is not among the steps.
    pub(crate) fn insert(&mut self, key: StepKey, rank: Rank, step: WaitingStep) {
        self.steps.insert(key, (rank, step));
        let lane = self.lanes.entry(step.lane).or_default();
        lane.insert((rank, key));
        let Some(team) = step.lane.team else {
            return;
        };
        if self.waiting.len() <= team.index() {
            self.waiting
                .resize_with(team.index() + 1, TeamWaiting::default);
        }
        let waiting = &mut self.waiting[team.index()];
        waiting.add(&step, step.idle);
        let least = waiting.least_cpu_milli.entry(step.least().cpu_milli);
        *least.or_default() += 1;
    }

    /// Removes a step. An unknown step is ignored.
    pub(crate) fn remove(&mut self, key: StepKey) {
        if self.steps.is_empty() {
            return;
        }
        let Some((rank, step)) = self.steps.remove(&key) else {
            return;
        };
        if let Some(lane) = self.lanes.get_mut(&step.lane) {
            lane.remove(&(rank, key));
        }
        let Some(team) = step.lane.team else {
            return;
        };
        let waiting = &mut self.waiting[team.index()];
        waiting.subtract(&step, step.idle);
        let cpu_milli = step.least().cpu_milli;
        if let Some(count) = waiting.least_cpu_milli.get_mut(&cpu_milli) {
            *count -= 1;
            if *count == 0 {
                waiting.least_cpu_milli.remove(&cpu_milli);
            }
        }
    }

    /// Records that a task of a step is not idle any more. An unknown step is ignored.
    pub(crate) fn record_start(&mut self, key: StepKey) {
        let Some((_, step)) = self.steps.get_mut(&key) else {
            return;
        };
        if step.idle > 0 {
            step.idle -= 1;
            if let Some(team) = step.lane.team {
                self.waiting[team.index()].subtract(step, 1);
            }
        }
    }

    pub(crate) fn contains(&self, key: StepKey) -> bool {
        self.steps.contains_key(&key)
    }

    /// What the ready steps of a team need.
    pub(crate) fn waiting(&self, team: TeamKey) -> &TeamWaiting {
        self.waiting.get(team.index()).unwrap_or(&self.nothing)
    }

    /// The lanes that have steps.
    pub(crate) fn lanes(&self) -> impl Iterator<Item = Lane> {
        let lanes = self.lanes.iter().filter(|(_, steps)| !steps.is_empty());
        lanes.map(|(lane, _)| *lane)
    }

    /// What a step needs at least to start a task; nothing for an unknown step.
    pub(crate) fn least(&self, key: StepKey) -> Usage {
        let step = self.steps.get(&key);
        step.map_or_else(Usage::default, |(_, step)| step.least())
    }

    /// The steps of a lane behind `after`, lowest rank first.
    pub(crate) fn steps_after(
        &self,
        lane: Lane,
        after: Option<(Rank, StepKey)>,
    ) -> impl Iterator<Item = (Rank, StepKey)> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let lane = self.lanes.get(&lane);
        let steps = lane.map(|steps| steps.range((start, Bound::Unbounded)));
        steps.into_iter().flatten().copied()
    }
}
