//! The order in which a round visits the ready steps: by rank, in a pool with limits or weights also by the shares of teams.
//!
//! A round visits the first step of each class and goes on with the next one when that was placed completely. So steps that
//! don't fit cost a visit for each class, however many they are, and keep no others from being visited.
//!
//! In a pool with weights, within one prospect, service steps come before batch steps. Among each of them, the steps of
//! teams below their weighted share of the pool come first, with those of jobs without a team, then the steps of teams
//! above their share, and then those of jobs beyond what a team's weight entitles to. The shares are those of weighted
//! dominant resource fairness (Ghodsi et al., "Dominant Resource Fairness", 2011): what no team asks for goes to the
//! others, and no capacity stays unused. The steps of a team at its limit are passed over.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::ready::{Prospect, Rank, StepKey};
use crate::scheduler::Scheduler;
use crate::team_steps::Lane;
use crate::teams::{Team, TeamKey, Usage};

/// The halvings of the interval in which the level of the shares lies. The rest is far below the size of a task.
const LEVEL_HALVINGS: usize = 40;

/// The steps that a round has yet to visit: the first unvisited ones of all lanes.
#[derive(Debug)]
pub(crate) struct Visits {
    heads: BinaryHeap<Reverse<Head>>,
    shares: Shares,
    /// The lane and the place of the last step. What comes next in the lane depends on whether all its tasks are placed.
    last: Option<(Lane, (Rank, StepKey))>,
}

/// The order of a lane among service steps or batch steps with the same prospect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    BelowShare,
    AboveShare,
    Excess,
}

/// The first unvisited step of a lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Head {
    prospect: Prospect,
    is_batch: bool,
    tier: Tier,
    rank: Rank,
    step: StepKey,
    lane: Lane,
}

/// The weighted shares of the teams in a pool.
#[derive(Debug, Clone, Copy)]
struct Shares {
    capacity: Usage,
    /// The dominant share up to which a team is below its share, by unit of weight. Infinite when all demand fits.
    level: f64,
}

/// A part of a whole; 0 of nothing is 0.
#[expect(
    clippy::cast_precision_loss,
    reason = "capacities are far below the limit of exact conversion"
)]
fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}

fn shares_of(usage: Usage, capacity: Usage) -> [f64; 3] {
    let mut wholes = capacity.amounts().into_iter();
    usage
        .amounts()
        .map(|part| ratio(part, wholes.next().unwrap_or(0)))
}

fn dominant(shares: [f64; 3]) -> f64 {
    shares.into_iter().fold(0.0, f64::max)
}

impl Shares {
    /// Whether a team with a weight uses its share of the pool or more.
    fn is_reached_by(&self, team: &Team) -> bool {
        team.weight > 0
            && dominant(shares_of(team.in_use, self.capacity))
                >= self.level * f64::from(team.weight)
    }
}

/// The largest level at which the allocations of all teams fit into `available`. Each team is given as its weight and the
/// shares of the resources that it asks for.
fn level(teams: &[(f64, [f64; 3])], available: [f64; 3]) -> f64 {
    let fits = |level: f64| {
        let mut sums = [0.0; 3];
        for (weight, asked) in teams {
            let part = (level * weight / dominant(*asked)).min(1.0);
            for (sum, asked) in sums.iter_mut().zip(asked) {
                *sum += part * asked;
            }
        }
        sums.iter().zip(available).all(|(sum, limit)| *sum <= limit)
    };
    let full = teams
        .iter()
        .map(|(weight, asked)| dominant(*asked) / weight);
    let full = full.fold(0.0, f64::max);
    if fits(full) {
        return f64::INFINITY;
    }
    let (mut low, mut high) = (0.0, full);
    for _ in 0..LEVEL_HALVINGS {
        let middle = f64::midpoint(low, high);
        if fits(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

impl Scheduler {
    /// The steps that a round visits: all ready steps but those behind one of the same class that was not placed completely.
    pub(crate) fn visits(&self) -> Visits {
        let mut visits = Visits {
            heads: BinaryHeap::new(),
            shares: self.shares(),
            last: None,
        };
        for lane in self.ready.by_team.lanes() {
            self.push_head(&mut visits, lane, None);
        }
        visits
    }

    /// The next step to visit, after the last one was placed as far as possible; `None` when there is none.
    pub(crate) fn next_visit(&self, visits: &mut Visits) -> Option<StepKey> {
        if let Some((lane, last)) = visits.last.take() {
            self.push_head(visits, lane, Some(last));
        }
        loop {
            let Reverse(head) = visits.heads.pop()?;
            let tier = self.tier(head.lane, &visits.shares);
            if tier != head.tier {
                // The team has reached its share in this round.
                visits.heads.push(Reverse(Head { tier, ..head }));
                continue;
            }
            let place = (head.rank, head.step);
            let least = self.ready.by_team.least(head.step);
            let blocked = head
                .lane
                .team
                .filter(|team| !self.teams.team(*team).may_use(least));
            match blocked {
                None => {
                    visits.last = Some((head.lane, place));
                    return Some(head.step);
                }
                Some(team) if self.is_at_limit(team) => {}
                Some(_) => self.push_head(visits, head.lane, Some(place)),
            }
        }
    }

    /// Whether the limit of a team leaves too little for any of its steps.
    pub(crate) fn is_at_limit(&self, team: TeamKey) -> bool {
        let headroom = self.teams.team(team).headroom();
        self.ready.by_team.waiting(team).exceeds(headroom)
    }

    fn push_head(&self, visits: &mut Visits, lane: Lane, after: Option<(Rank, StepKey)>) {
        let mut heads = self.ready.by_team.heads_after(lane, after);
        let Some((rank, step)) = heads.find(|(_, step)| !self.ready.is_deferred(*step)) else {
            return;
        };
        visits.heads.push(Reverse(Head {
            prospect: rank.prospect,
            is_batch: rank.is_batch,
            tier: self.tier(lane, &visits.shares),
            rank,
            step,
            lane,
        }));
    }

    fn tier(&self, lane: Lane, shares: &Shares) -> Tier {
        let Some(team) = lane.team else {
            return Tier::BelowShare;
        };
        if lane.is_excess {
            Tier::Excess
        } else if shares.is_reached_by(self.teams.team(team)) {
            Tier::AboveShare
        } else {
            Tier::BelowShare
        }
    }

    /// The shares of the teams with weights in what the other tasks of the pool leave. A team asks for what it uses and
    /// waits for, up to its limit.
    fn shares(&self) -> Shares {
        if !self.teams.is_active {
            return Shares {
                capacity: Usage::default(),
                level: f64::INFINITY,
            };
        }
        let listed = self.workers.values().filter(|worker| worker.is_listed);
        let capacities = listed.map(|worker| Usage::of(worker.info.capacity, 1));
        let capacity = capacities.fold(Usage::default(), Usage::plus);
        let mut others = self.teams.used_without_team;
        let mut weighted = Vec::new();
        for (key, team) in self.teams.iter() {
            if team.weight == 0 {
                others = others.plus(team.in_use);
                continue;
            }
            let waiting = self.ready.by_team.waiting(key).needs;
            let asked = shares_of(team.in_use.plus(waiting.at_most(team.headroom())), capacity);
            if dominant(asked) > 0.0 {
                weighted.push((f64::from(team.weight), asked));
            }
        }
        let available = shares_of(others, capacity).map(|used| (1.0 - used).max(0.0));
        Shares {
            capacity,
            level: level(&weighted, available),
        }
    }
}
