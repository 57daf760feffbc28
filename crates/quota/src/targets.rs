//! How a team's quota is best split among the pools.

use crate::amounts::{Amounts, UNLIMITED, zip};

/// The share of a quota up to which a pool has next to nothing left of its limit, as a divisor of the quota.
const AT_LIMIT_DIVISOR: u64 = 16;

/// How much a pool that does not use up its limit may grow at least, as a divisor of the quota.
const GROWTH_DIVISOR: u64 = 8;

/// The use of a pool by a team, and the demand of the team.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolDemand {
    pub(crate) in_use: Amounts,
    /// What is in use and what waits.
    pub(crate) demand: Amounts,
    /// The limit that the pool's owner applies.
    pub(crate) limit: Amounts,
}

impl PoolDemand {
    /// Whether the limit keeps the team's tasks waiting: next to nothing is left of it.
    pub(crate) fn is_at_limit(&self, quota: Amounts) -> bool {
        (0..3).any(|index| {
            let left = self.limit[index].saturating_sub(self.in_use[index]);
            quota[index] != UNLIMITED && left <= quota[index] / AT_LIMIT_DIVISOR
        })
    }

    /// The demand that comes first. A pool with room below its limit has too few workers for its waiting tasks, so that
    /// more would be of no use to it.
    fn usable_demand(&self, quota: Amounts) -> Amounts {
        if self.is_at_limit(quota) {
            return self.demand;
        }
        let growth = zip(self.in_use, quota, |in_use, quota| {
            in_use.saturating_add((in_use / 2).max(quota / GROWTH_DIVISOR))
        });
        zip(self.demand, growth, u64::min)
    }
}

/// Splits `available`, the part of a team's quota that the pools can have, among the pools. First comes the demand that pools can
/// use, by max-min fairness; then the pool with the most other waiting tasks, so that a task or gang that needs most of
/// the quota starts at some time; what is left is split evenly, as any pool may be the next one to peak.
pub(crate) fn split(available: Amounts, quota: Amounts, pools: &[PoolDemand]) -> Vec<Amounts> {
    let mut targets = vec![[UNLIMITED; 3]; pools.len()];
    let usable: Vec<_> = pools.iter().map(|pool| pool.usable_demand(quota)).collect();
    let unmet = |pool: &usize| {
        let missing = zip(pools[*pool].demand, usable[*pool], u64::saturating_sub);
        // In millionths of the quota, of the resource that is most short (dominant share).
        let shares = missing.into_iter().zip(quota);
        let limited = shares.filter(|(_, quota)| *quota != UNLIMITED);
        let share = limited.map(|(missing, quota)| missing * 1_000_000 / quota.max(1));
        (share.max().unwrap_or(0), usize::MAX - *pool)
    };
    let shortest = (0..pools.len()).max_by_key(unmet);
    for index in (0..3).filter(|index| quota[*index] != UNLIMITED) {
        let demands: Vec<_> = usable.iter().map(|usable| usable[index]).collect();
        let mut shares = fill(available[index], &demands);
        let mut spare = available[index].saturating_sub(shares.iter().sum());
        if let Some(shortest) = shortest {
            let missing = pools[shortest].demand[index].saturating_sub(demands[shortest]);
            let extra = missing.min(spare);
            shares[shortest] += extra;
            spare -= extra;
        }
        let even = spare / pools.len().max(1) as u64;
        for (target, share) in targets.iter_mut().zip(shares) {
            target[index] = share + even;
        }
    }
    targets
}

/// Splits an amount among demands by max-min fairness: no demand gets more than it asks for, and what it leaves goes to
/// the others evenly.
fn fill(mut available: u64, demands: &[u64]) -> Vec<u64> {
    let mut shares = vec![0; demands.len()];
    let mut ascending: Vec<_> = (0..demands.len()).collect();
    ascending.sort_by_key(|index| demands[*index]);
    for (position, index) in ascending.into_iter().enumerate() {
        let others = (demands.len() - position) as u64;
        shares[index] = demands[index].min(available / others);
        available -= shares[index];
    }
    shares
}
