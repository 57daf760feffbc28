//! The ready steps by team, so that the steps of a team that is at its limit are passed over as a whole.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

use submission::Resources;

use crate::classes::{Class, ClassedSteps};
use crate::ready::{Prospect, Rank, StepKey};
use crate::scheduler::Scheduler;
use crate::teams::{TeamKey, Usage};

/// Ready steps that come before or after those of other lanes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Lane {
    /// The team of the jobs; `None` for jobs without a team.
    pub(crate) team: Option<TeamKey>,
    /// Whether the jobs are beyond what the weight of the team entitles to.
    pub(crate) is_excess: bool,
}

impl Lane {
    /// The lane of jobs without a team.
    pub(crate) const WITHOUT_TEAM: Self = Self {
        team: None,
        is_excess: false,
    };
}

/// A ready step.
#[derive(Debug, Clone)]
pub(crate) struct WaitingStep {
    pub(crate) lane: Lane,
    /// `None` for a step that no other is placed like.
    pub(crate) class: Option<Class>,
    /// What a task of the step needs.
    pub(crate) needs: Resources,
    /// The CPU that is reserved for a task of the step, in thousandths of a core.
    pub(crate) footprint_cpu_milli: u32,
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
    /// The reserved CPU of tasks that can start in time, in thousandths of a core.
    pub(crate) on_time_cpu_milli: u64,
    /// The reserved CPU of the other tasks, in thousandths of a core.
    pub(crate) late_cpu_milli: u64,
    /// How many steps need at least this much to start a task, by amount, for each resource.
    least: [BTreeMap<u64, usize>; 3],
}

impl TeamWaiting {
    /// Whether each of the steps needs more of the same resource to start a task than the headroom below the team's limit.
    pub(crate) fn exceeds(&self, headroom: [u64; 3]) -> bool {
        let smallest = self.least.iter().map(BTreeMap::first_key_value);
        let mut resources = smallest.zip(headroom);
        resources.any(|(smallest, headroom)| smallest.is_some_and(|(amount, _)| *amount > headroom))
    }

    fn count_least(&mut self, least: Usage) {
        for (counts, amount) in self.least.iter_mut().zip(least.amounts()) {
            *counts.entry(amount).or_default() += 1;
        }
    }

    fn uncount_least(&mut self, least: Usage) {
        for (counts, amount) in self.least.iter_mut().zip(least.amounts()) {
            if let Entry::Occupied(mut count) = counts.entry(amount) {
                *count.get_mut() -= 1;
                if *count.get() == 0 {
                    count.remove();
                }
            }
        }
    }

    /// The reserved CPU of the tasks that the headroom below the team's limit allows, in thousandths of a core: of tasks
    /// that can start in time, which start first, and of others.
    pub(crate) fn startable_cpu_milli(&self, headroom: [u64; 3]) -> (u64, u64) {
        let total = self.on_time_cpu_milli + self.late_cpu_milli;
        let mut startable = total;
        for (needed, headroom) in self.needs.amounts().into_iter().zip(headroom) {
            if needed > headroom {
                let part = u128::from(total) * u128::from(headroom) / u128::from(needed);
                startable = startable.min(u64::try_from(part).unwrap_or(total));
            }
        }
        let on_time = self.on_time_cpu_milli.min(startable);
        (on_time, startable - on_time)
    }

    fn add(&mut self, step: &WaitingStep, rank: Rank, idle: u32) {
        self.needs = self.needs.plus(Usage::of(step.needs, idle));
        *self.cpu_milli(rank) += u64::from(step.footprint_cpu_milli) * u64::from(idle);
    }

    fn subtract(&mut self, step: &WaitingStep, rank: Rank, idle: u32) {
        self.needs = self.needs.minus(Usage::of(step.needs, idle));
        *self.cpu_milli(rank) -= u64::from(step.footprint_cpu_milli) * u64::from(idle);
    }

    fn cpu_milli(&mut self, rank: Rank) -> &mut u64 {
        match rank.prospect {
            Prospect::OnTime => &mut self.on_time_cpu_milli,
            Prospect::Late | Prospect::TooLate => &mut self.late_cpu_milli,
        }
    }
}

/// The ready steps by team. Those of jobs without a team have a lane of their own.
#[derive(Debug, Clone, Default)]
pub(crate) struct TeamSteps {
    lanes: BTreeMap<Lane, ClassedSteps>,
    steps: HashMap<StepKey, (Rank, WaitingStep)>,
    /// By the index of the team's key.
    waiting: Vec<TeamWaiting>,
    nothing: TeamWaiting,
}

impl TeamSteps {
    /// Adds a step that is not among the steps.
    pub(crate) fn insert(&mut self, key: StepKey, rank: Rank, step: WaitingStep) {
        let lane = self.lanes.entry(step.lane).or_default();
        lane.insert((rank, key), step.class.as_ref());
        if let Some(team) = step.lane.team {
            if self.waiting.len() <= team.index() {
                self.waiting
                    .resize_with(team.index() + 1, TeamWaiting::default);
            }
            let waiting = &mut self.waiting[team.index()];
            waiting.add(&step, rank, step.idle);
            waiting.count_least(step.least());
        }
        self.steps.insert(key, (rank, step));
    }

    /// Removes a step. An unknown step is ignored.
    pub(crate) fn remove(&mut self, key: StepKey) {
        let Some((rank, step)) = self.steps.remove(&key) else {
            return;
        };
        if let Some(lane) = self.lanes.get_mut(&step.lane) {
            lane.remove((rank, key), step.class.as_ref());
        }
        let Some(team) = step.lane.team else {
            return;
        };
        let waiting = &mut self.waiting[team.index()];
        waiting.subtract(&step, rank, step.idle);
        waiting.uncount_least(step.least());
    }

    /// Records that a task of a step is not idle any more. An unknown step is ignored.
    pub(crate) fn record_start(&mut self, key: StepKey) {
        let Some((rank, step)) = self.steps.get_mut(&key) else {
            return;
        };
        if step.idle > 0 {
            step.idle -= 1;
            if let Some(team) = step.lane.team {
                self.waiting[team.index()].subtract(step, *rank, 1);
            }
        }
    }

    /// The class of a step; `None` for an unknown step and one that no other is placed like.
    pub(crate) fn class(&self, key: StepKey) -> Option<&Class> {
        let (_, step) = self.steps.get(&key)?;
        step.class.as_ref()
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

    /// The ready steps of jobs without a team, lowest rank first.
    pub(crate) fn without_team(&self) -> impl Iterator<Item = (Rank, StepKey)> {
        let lane = self.lanes.get(&Lane::WITHOUT_TEAM);
        lane.into_iter().flat_map(ClassedSteps::all).copied()
    }

    /// The first step of each class of a lane and the steps without a class that come behind `after`, lowest rank first.
    pub(crate) fn heads_after(
        &self,
        lane: Lane,
        after: Option<(Rank, StepKey)>,
    ) -> impl Iterator<Item = (Rank, StepKey)> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let lane = self.lanes.get(&lane);
        let heads = lane.map(|lane| lane.heads().range((start, Bound::Unbounded)));
        heads.into_iter().flatten().copied()
    }
}

impl Scheduler {
    /// Adds a ready step to those of its team.
    pub(crate) fn add_to_team(&mut self, key: StepKey, rank: Rank) {
        let job = &self.jobs[&key.job];
        let team = self.teams.key(&job.team);
        let step = &job.spec().steps[usize::from(key.step)];
        let idle = job.idle_tasks(key.occurrence, usize::from(key.step));
        let waiting = WaitingStep {
            lane: Lane {
                team,
                is_excess: team.is_some() && self.teams.is_in_excess(key.job),
            },
            class: self.class(job, key),
            needs: step.needs,
            footprint_cpu_milli: step.footprint().cpu_milli,
            idle: u32::try_from(idle.count()).unwrap_or(u32::MAX),
            together: if step.is_gang { step.tasks } else { 1 },
        };
        self.ready.by_team.insert(key, rank, waiting);
    }
}
