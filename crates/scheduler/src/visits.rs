//! The order in which a round visits the ready steps of a pool with limits on teams.
//!
//! The steps of a team at its limit are passed over.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use crate::ready::{Rank, StepKey};
use crate::scheduler::Scheduler;
use crate::team_steps::Lane;
use crate::teams::TeamKey;

/// The number of a team's steps that a round finds to be beyond the team's limit, after which it passes over the team.
/// Smaller steps behind them may fit. A visit of such a step is a comparison.
const MAX_BLOCKED_STEPS_PER_TEAM: usize = 200;

/// The steps that a round has yet to visit.
#[derive(Debug)]
pub(crate) enum Visits {
    /// In the order of rank alone.
    Ranked(std::vec::IntoIter<StepKey>),
    /// With regard to the limits of teams.
    Limited(LimitedVisits),
}

/// The first unvisited steps of all lanes.
#[derive(Debug)]
pub(crate) struct LimitedVisits {
    heads: BinaryHeap<Reverse<Head>>,
    blocked_steps: HashMap<TeamKey, usize>,
}

/// The first unvisited step of a lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Head {
    rank: Rank,
    step: StepKey,
    lane: Lane,
}

impl Scheduler {
    /// The steps that a round visits, at most `max_steps` of them. In a pool with limits, the steps that are
    /// passed over because of a limit come on top of them.
    pub(crate) fn visits(&self, max_steps: usize) -> Visits {
        if !self.teams.is_active {
            return Visits::Ranked(self.ready.first(max_steps).into_iter());
        }
        let mut visits = LimitedVisits {
            heads: BinaryHeap::new(),
            blocked_steps: HashMap::new(),
        };
        for lane in self.ready.by_team.lanes() {
            self.push_head(&mut visits, lane, None);
        }
        Visits::Limited(visits)
    }

    /// The next step to visit; `None` when there is none.
    pub(crate) fn next_visit(&self, visits: &mut Visits) -> Option<StepKey> {
        let visits = match visits {
            Visits::Ranked(steps) => return steps.next(),
            Visits::Limited(visits) => visits,
        };
        loop {
            let Reverse(head) = visits.heads.pop()?;
            let least = self.ready.by_team.least(head.step);
            let blocked = head
                .lane
                .team
                .filter(|team| !self.teams.team(*team).may_use(least));
            if let Some(team) = blocked {
                let blocked_steps = visits.blocked_steps.entry(team).or_default();
                *blocked_steps += 1;
                if *blocked_steps >= MAX_BLOCKED_STEPS_PER_TEAM || self.is_at_limit(team) {
                    continue;
                }
            }
            self.push_head(visits, head.lane, Some((head.rank, head.step)));
            if blocked.is_none() {
                return Some(head.step);
            }
        }
    }

    /// Whether the limit of a team leaves too little CPU for any of its steps.
    fn is_at_limit(&self, team: TeamKey) -> bool {
        let [cpu_milli, ..] = self.teams.team(team).headroom();
        self.ready.by_team.waiting(team).least_cpu_milli() > cpu_milli
    }

    fn push_head(&self, visits: &mut LimitedVisits, lane: Lane, after: Option<(Rank, StepKey)>) {
        let mut steps = self.ready.by_team.steps_after(lane, after);
        let Some((rank, step)) = steps.find(|(_, step)| !self.ready.is_deferred(*step)) else {
            return;
        };
        visits.heads.push(Reverse(Head { rank, step, lane }));
    }
}
