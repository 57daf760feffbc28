//! The leader's split of the teams' quotas among the pools.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use submission::Resources;

use crate::amounts::{Amounts, UNLIMITED, amounts, fits, quota_amounts, resources, sum_fits, zip};
use crate::message::{LimitMessage, TeamLimit, TeamUsage, UsageReply};
use crate::targets::{PoolDemand, split};

/// The least gain for which a quota is split anew, as a divisor of the quota, for a pool that uses up its limit. Each new
/// split writes a row.
const MIN_GAIN_DIVISOR: u64 = 32;

/// Like [`MIN_GAIN_DIVISOR`], for a pool with room below its limit: its waiting tasks or gangs are larger than that, or wait for
/// workers.
const MIN_GAIN_WITH_ROOM_DIVISOR: u64 = 8;

/// The row of a team: what each pool holds of the team's quota. A pool that is not listed holds nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRow {
    /// The quota that was split; 0 for a resource without a limit.
    pub quota: Resources,
    /// The most that the pool's owner may start up to, by pool; `u32::MAX` for a resource without a limit.
    pub held: BTreeMap<SmolStr, Resources>,
}

/// Changed rows of teams. They take effect with [`Allocation::apply`], once they are written.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowChanges {
    /// The rows to write, by team.
    pub writes: BTreeMap<SmolStr, TeamRow>,
    /// The teams whose rows are to be removed.
    pub removals: Vec<SmolStr>,
}

impl RowChanges {
    /// Whether there is nothing to write or remove.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.removals.is_empty()
    }

    /// Splits the changes into parts of at most `max_rows` rows. Each can be written and applied by itself, as the rows of
    /// teams don't depend on each other.
    #[must_use]
    pub fn into_parts(self, max_rows: usize) -> Vec<Self> {
        let writes = self.writes.into_iter().map(|(team, row)| Self {
            writes: BTreeMap::from([(team, row)]),
            removals: Vec::new(),
        });
        let removals = self.removals.into_iter().map(|team| Self {
            writes: BTreeMap::new(),
            removals: vec![team],
        });
        let mut parts: Vec<Self> = Vec::new();
        for row in writes.chain(removals) {
            match parts.last_mut() {
                Some(part) if part.writes.len() + part.removals.len() < max_rows => {
                    part.writes.extend(row.writes);
                    part.removals.extend(row.removals);
                }
                _ => parts.push(row),
            }
        }
        parts
    }
}

/// The leader's split of the quotas among the pools.
///
/// What a pool holds of a quota is raised in the team's row first, and then sent to the pool's owner. It is lowered by
/// sending the lower limit first; once the owner has confirmed it, no more than the higher of the limit and
/// what was in use then can run in the pool, and the rest goes to other pools with the next row.
#[derive(Debug)]
pub struct Allocation {
    leader_term: u64,
    /// When this leader may start to lower what pools hold, in ms. Before that, messages of earlier leaders may arrive.
    lower_from_ms: u64,
    last_number: u64,
    /// The quotas of the teams that have one, by team.
    quotas: BTreeMap<SmolStr, Resources>,
    pools: BTreeMap<SmolStr, PoolLink>,
    rows: BTreeMap<SmolStr, TeamRow>,
    /// The limits to be in force, by team and pool; nothing where there is none.
    limits: BTreeMap<SmolStr, BTreeMap<SmolStr, Resources>>,
}

/// What the leader knows of the owner of a pool.
#[derive(Debug, Default)]
struct PoolLink {
    /// The owner's term; 0 until its first reply.
    owner_term: u64,
    /// The owner's time in its last reply, in ms.
    echo_ms: u64,
    /// The number of the last message; 0 if there is none for this term of the owner.
    number: u64,
    /// The limits after the last message, by team.
    sent: BTreeMap<SmolStr, TeamLimit>,
    /// Whether the owner has accepted the last message.
    is_confirmed: bool,
    /// What the owner replied last, by team.
    usage: BTreeMap<SmolStr, TeamUsage>,
}

/// What a pool holds of a team's quota.
#[derive(Debug, Clone)]
struct PoolHold {
    pool: SmolStr,
    /// By the team's row.
    held: Amounts,
    /// No more than this can run in the pool.
    bound: Amounts,
    /// The quota that the owner's limit is a part of, at least. The owner starts nothing once it knows of a lower one.
    quota: Amounts,
    /// `None` while the owner has not confirmed the last message.
    demand: Option<PoolDemand>,
}

impl Allocation {
    /// Creates the allocation of a leader that has read the rows of earlier leaders. `lower_from_ms` is when no message of
    /// an earlier leader can arrive any more.
    #[must_use]
    pub fn new(leader_term: u64, rows: BTreeMap<SmolStr, TeamRow>, lower_from_ms: u64) -> Self {
        Self {
            leader_term,
            lower_from_ms,
            last_number: 0,
            quotas: BTreeMap::new(),
            pools: BTreeMap::new(),
            rows,
            limits: BTreeMap::new(),
        }
    }

    /// Sets the quotas of teams and the pools of the active configuration. A quota without any limited resource counts as
    /// none.
    pub fn configure(
        &mut self,
        quotas: BTreeMap<SmolStr, Resources>,
        pools: impl IntoIterator<Item = SmolStr>,
    ) {
        self.quotas = quotas;
        self.quotas
            .retain(|_, quota| *quota != Resources::default());
        let pools: BTreeSet<_> = pools.into_iter().collect();
        self.pools.retain(|pool, _| pools.contains(pool));
        for pool in pools {
            self.pools.entry(pool).or_default();
        }
    }

    /// Whether there is nothing to split, write, remove or send.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let is_empty = self.quotas.is_empty() && self.rows.is_empty();
        is_empty && !self.pools.keys().any(|pool| self.is_outdated(pool))
    }

    /// What the pools hold of a team's quota, by pool; `None` while that is unknown.
    #[must_use]
    pub fn row(&self, team: &str) -> Option<&TeamRow> {
        self.rows.get(team)
    }

    /// Whether the owner of a pool does not have the present limits yet, as far as this leader knows.
    #[must_use]
    pub fn is_outdated(&self, pool: &str) -> bool {
        self.pools.get(pool).is_some_and(|link| {
            !link.is_confirmed || link.owner_term == 0 || link.sent != self.team_limits(pool)
        })
    }

    /// Returns the next message to the owner of a pool, which asks for its use of the pool, and tells the limits once the owner's
    /// term is known. `None` for an unknown pool. The leader's lease must be valid after the call, for the message to be sent.
    pub fn next_message(&mut self, pool: &str) -> Option<LimitMessage> {
        let limits = self.team_limits(pool);
        let link = self.pools.get_mut(pool)?;
        let mut message = LimitMessage {
            leader_term: self.leader_term,
            owner_term: link.owner_term,
            echo_ms: link.echo_ms,
            ..LimitMessage::default()
        };
        if link.owner_term == 0 {
            return Some(message);
        }
        message.base = link.is_confirmed.then_some(link.number);
        if limits != link.sent || link.number == 0 {
            let is_kept = link.sent.keys().all(|team| limits.contains_key(team));
            message.base = message.base.filter(|_| is_kept);
            self.last_number += 1;
            link.number = self.last_number;
            link.is_confirmed = false;
        }
        message.number = link.number;
        message.limits.clone_from(&limits);
        if message.base.is_some() {
            message
                .limits
                .retain(|team, limit| link.sent.get(team) != Some(limit));
        }
        link.sent = limits;
        Some(message)
    }

    /// Records the reply of the owner of a pool to a message. Replies in an earlier term than known are ignored.
    pub fn record_reply(&mut self, pool: &str, reply: &UsageReply) {
        let Some(link) = self.pools.get_mut(pool) else {
            return;
        };
        if reply.owner_term < link.owner_term {
            return;
        }
        if reply.owner_term > link.owner_term {
            *link = PoolLink {
                owner_term: reply.owner_term,
                ..PoolLink::default()
            };
        }
        link.echo_ms = link.echo_ms.max(reply.now_ms);
        link.is_confirmed = reply.accepted == Some((self.leader_term, link.number));
        link.usage.clone_from(&reply.usage);
    }

    /// Decides on the split from the last replies. Limits are lowered at once; the returned rows raise limits once they are
    /// written and applied. `now_ms` is on the clock of `lower_from_ms`.
    pub fn plan(&mut self, now_ms: u64) -> RowChanges {
        let mut changes = RowChanges::default();
        for team in self.rows.keys() {
            if !self.quotas.contains_key(team) {
                changes.removals.push(team.clone());
            }
        }
        self.limits.retain(|team, _| self.quotas.contains_key(team));
        for (team, quota) in &self.quotas {
            let plan = self.plan_team(team, *quota, now_ms);
            let limits = plan.limits.into_iter();
            let limits = limits
                .map(|(pool, limit)| (pool, resources(limit)))
                .collect();
            self.limits.insert(team.clone(), limits);
            if let Some(row) = plan.new_row {
                changes.writes.insert(team.clone(), row);
            }
        }
        changes
    }

    /// Applies rows that were written: raises the limits to what the pools hold now.
    pub fn apply(&mut self, changes: RowChanges) {
        for team in changes.removals {
            self.rows.remove(&team);
        }
        for (team, row) in changes.writes {
            self.limits.insert(team.clone(), row.held.clone());
            self.rows.insert(team, row);
        }
    }

    /// The limits of all teams in a pool.
    fn team_limits(&self, pool: &str) -> BTreeMap<SmolStr, TeamLimit> {
        let limits = self.quotas.iter().map(|(team, quota)| {
            let limit = self.limits.get(team).and_then(|limits| limits.get(pool));
            let row = self.rows.get(team);
            let limit = TeamLimit {
                quota: row.map_or(*quota, |row| higher_quota(row.quota, *quota)),
                limit: limit.copied().unwrap_or_default(),
            };
            (team.clone(), limit)
        });
        limits.collect()
    }

    /// Returns what each pool holds of a team's quota; `None` while that is unknown, as the team had no quota before and a pool has
    /// not confirmed that it starts nothing of it.
    fn holds(&self, team: &SmolStr, now_ms: u64) -> Option<Vec<PoolHold>> {
        let row = self.rows.get(team);
        let may_lower = now_ms >= self.lower_from_ms;
        if row.is_none() && !may_lower {
            return None;
        }
        let row_pools = row.into_iter().flat_map(|row| row.held.keys());
        let pools: BTreeSet<_> = self.pools.keys().chain(row_pools).collect();
        let holds = pools.into_iter().map(|pool| {
            let held = row.and_then(|row| row.held.get(pool));
            let held = held.map_or([0; 3], |held| amounts(*held));
            let link = self.pools.get(pool).filter(|link| link.is_confirmed);
            let limit = link.and_then(|link| link.sent.get(team));
            let Some((link, limit)) = link.zip(limit) else {
                return row.is_some().then(|| PoolHold {
                    pool: pool.clone(),
                    held,
                    bound: held,
                    quota: row.map_or([0; 3], |row| quota_amounts(row.quota)),
                    demand: None,
                });
            };
            let usage = link.usage.get(team).copied().unwrap_or_default();
            let in_use = amounts(usage.in_use);
            let quota = quota_amounts(limit.quota);
            let limit = amounts(limit.limit);
            let confirmed = zip(limit, in_use, u64::max);
            let bound = if may_lower {
                confirmed
            } else {
                zip(confirmed, held, u64::max)
            };
            let demand = PoolDemand {
                in_use,
                demand: zip(in_use, amounts(usage.waiting), u64::saturating_add),
                limit,
            };
            Some(PoolHold {
                pool: pool.clone(),
                held,
                bound,
                quota,
                demand: Some(demand),
            })
        });
        holds.collect()
    }

    fn plan_team(&self, team: &SmolStr, quota: Resources, now_ms: u64) -> TeamPlan {
        let Some(holds) = self.holds(team, now_ms) else {
            return TeamPlan::default();
        };
        // A higher quota is split once all owners know it: one that does not would start tasks when the quota is lowered
        // again, although other pools use more than the lower one.
        let row = self.rows.get(team);
        let is_known = holds
            .iter()
            .all(|hold| fits(quota_amounts(quota), hold.quota));
        let row_quota = match row {
            _ if is_known => quota,
            Some(row) => row.quota,
            None => return TeamPlan::default(),
        };
        let quota = zip(quota_amounts(quota), quota_amounts(row_quota), u64::min);
        if !sum_fits(holds.iter().map(|hold| hold.bound), quota) {
            // More than the quota may be running, so that nothing starts until enough has ended.
            return TeamPlan::default();
        }
        let is_exceeded = holds.iter().any(|hold| {
            let in_use = hold.demand.map_or([0; 3], |demand| demand.in_use);
            !fits(in_use, hold.held)
        });
        let keeps_holds =
            row.is_some() && !is_exceeded && sum_fits(holds.iter().map(|hold| hold.held), quota);
        let is_rebase = !keeps_holds || row.is_none_or(|row| row.quota != row_quota);
        let targets = targets(&holds, quota);
        let gains = |hold: &PoolHold, amount: Amounts| {
            hold.demand
                .is_some_and(|demand| is_worthwhile(hold.held, amount, demand, quota))
        };
        let mut targeted = holds.iter().zip(&targets);
        if !is_rebase && !targeted.any(|(hold, target)| gains(hold, *target)) {
            let limits = holds.into_iter().map(|hold| (hold.pool, hold.held));
            return TeamPlan {
                limits: limits.collect(),
                new_row: None,
            };
        }
        let new_held = raise(&holds, &targets, quota);
        let mut raised = holds.iter().zip(&new_held);
        let is_written = is_rebase || raised.any(|(hold, new)| gains(hold, *new));
        // Until the row is written, no pool gets more than it holds; nothing if the pools hold more than the quota. What is
        // lowered too early is of no use to another pool.
        let limits = holds.iter().zip(&targets).map(|(hold, target)| {
            let limit = match keeps_holds {
                true if now_ms < self.lower_from_ms => hold.held,
                true => zip(hold.held, *target, u64::min),
                false => [0; 3],
            };
            (hold.pool.clone(), limit)
        });
        TeamPlan {
            limits: limits.collect(),
            new_row: is_written.then(|| {
                let pools = holds.iter().map(|hold| hold.pool.clone());
                let held = pools.zip(new_held.into_iter().map(resources)).collect();
                TeamRow {
                    quota: row_quota,
                    held,
                }
            }),
        }
    }
}

/// What is decided for a team.
#[derive(Default)]
struct TeamPlan {
    /// The limits to be in force now, by pool; nothing where there is none.
    limits: BTreeMap<SmolStr, Amounts>,
    /// The row to write, if it is to change.
    new_row: Option<TeamRow>,
}

/// The higher of two quotas, of each resource.
fn higher_quota(quota: Resources, other: Resources) -> Resources {
    let higher = zip(quota_amounts(quota), quota_amounts(other), u64::max);
    resources(higher.map(|amount| if amount == UNLIMITED { 0 } else { amount }))
}

/// Splits what the pools without a confirmed limit don't hold among the others.
fn targets(holds: &[PoolHold], quota: Amounts) -> Vec<Amounts> {
    let unconfirmed = holds.iter().filter(|hold| hold.demand.is_none());
    let available = unconfirmed.fold(quota, |available, hold| {
        zip(available, hold.bound, u64::saturating_sub)
    });
    let demands: Vec<_> = holds.iter().filter_map(|hold| hold.demand).collect();
    let mut split = split(available, quota, &demands).into_iter();
    let targets = holds.iter().map(|hold| match hold.demand {
        Some(_) => split.next().unwrap_or(hold.bound),
        None => hold.bound,
    });
    targets.collect()
}

/// Raises the bounds of pools to their targets, as far as the quota has room: first for demand, then for the rest.
fn raise(holds: &[PoolHold], targets: &[Amounts], quota: Amounts) -> Vec<Amounts> {
    let mut new_held: Vec<_> = holds.iter().map(|hold| hold.bound).collect();
    for index in 0..3 {
        if quota[index] == UNLIMITED {
            for new in &mut new_held {
                new[index] = UNLIMITED;
            }
            continue;
        }
        let sum: u64 = new_held.iter().map(|new| new[index]).sum();
        let mut free = quota[index].saturating_sub(sum);
        for is_for_demand in [true, false] {
            for ((hold, target), new) in holds.iter().zip(targets).zip(&mut new_held) {
                let demand = hold.demand.map_or(0, |demand| demand.demand[index]);
                let wanted = if is_for_demand {
                    demand.min(target[index])
                } else {
                    target[index]
                };
                let added = wanted.saturating_sub(new[index]).min(free);
                new[index] += added;
                free -= added;
            }
        }
    }
    new_held
}

/// Whether a pool with waiting tasks gains enough from holding `amount` instead of `held` for a new split.
fn is_worthwhile(held: Amounts, amount: Amounts, pool: PoolDemand, quota: Amounts) -> bool {
    let divisor = if pool.is_at_limit(quota) {
        MIN_GAIN_DIVISOR
    } else {
        MIN_GAIN_WITH_ROOM_DIVISOR
    };
    (0..3).any(|index| {
        let missing = pool.demand[index].saturating_sub(held[index]);
        let gain = amount[index].saturating_sub(held[index]);
        quota[index] != UNLIMITED
            && missing > 0
            && gain >= missing.min((quota[index] / divisor).max(1))
    })
}
