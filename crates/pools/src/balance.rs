//! How many VMs each pool has: brought in from standby or from pools that can spare them, and given back.
//!
//! Answers queues that take turns. A VM in a pool costs by the second and a move about as much as a second, so that
//! VMs follow the demand, and go back when they have had nothing to do for a while.

use std::collections::BTreeMap;

use smol_str::SmolStr;

/// How long a VM has to be idle before it is given back to standby. Three times the usual task, so that a pause
/// between two tasks is not taken for the end of a turn.
const RELEASE_IDLE_MS: u64 = 1200;

/// How long a VM has to be idle before another pool that lacks VMs gets it.
const LEND_IDLE_MS: u64 = 250;

/// VMs that are left in a pool beyond its demand before any are given back.
const SPARE_VMS: usize = 1;

/// How many VMs a pool has to have beyond its share before busy ones are emptied for others: less than that changes
/// with every task.
const LEAST_RECLAIM: usize = 2;

/// A pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolState {
    /// Whether its VMs are off and free until they are moved.
    pub is_standby: bool,
    /// How many VMs it could use for work that can be on time. 0 for standby.
    pub urgent: usize,
    /// How many VMs it could use for all its work. 0 for standby.
    pub wanted: usize,
}

/// A VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
pub struct VmState {
    /// Its pool, or the one it moves to.
    pub pool: SmolStr,
    /// Whether it runs tasks of its pool, or will once it is there.
    pub is_of_use: bool,
    /// Whether it is up and no order on it is under way.
    pub is_movable: bool,
    /// Whether a lasting task runs there.
    pub is_steady: bool,
    /// Whether its pool is emptying it for others.
    pub is_reclaimed: bool,
    /// For how long nothing has run there; `None` when something runs or nothing is known.
    pub idle_ms: Option<u64>,
}

/// A move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The VM.
    pub vm: SmolStr,
    /// From which pool.
    pub from: SmolStr,
    /// To which pool.
    pub to: SmolStr,
}

/// What follows the demand.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BalanceSteps {
    /// The moves.
    pub moves: Vec<Move>,
    /// Busy VMs that are to be emptied for other pools.
    pub reclaim: Vec<SmolStr>,
}

type Counts = BTreeMap<SmolStr, usize>;

/// The moves that follow the demand, at most `most`.
///
/// Work that can be on time goes before work that is late, in whichever pool: a pool whose work is late gives up VMs
/// to one whose work is not.
///
/// ```
/// use std::collections::BTreeMap;
/// use pools::{PoolState, VmState, plan_moves};
/// let pools = BTreeMap::from([
///     ("quotes".into(), PoolState { is_standby: false, urgent: 1, wanted: 1 }),
///     ("off".into(), PoolState { is_standby: true, urgent: 0, wanted: 0 }),
/// ]);
/// let off = VmState {
///     pool: "off".into(),
///     is_of_use: true,
///     is_movable: true,
///     is_steady: false,
///     is_reclaimed: false,
///     idle_ms: None,
/// };
/// let vms = BTreeMap::from([("vm-1".into(), off)]);
/// let steps = plan_moves(&pools, &vms, 4);
/// assert_eq!(steps.moves[0].to, "quotes");
/// ```
#[must_use]
pub fn plan_moves(
    pools: &BTreeMap<SmolStr, PoolState>,
    vms: &BTreeMap<SmolStr, VmState>,
    most: usize,
) -> BalanceSteps {
    let mut have: Counts = pools.keys().map(|pool| (pool.clone(), 0)).collect();
    for vm in vms.values().filter(|vm| vm.is_of_use) {
        if let Some(count) = have.get_mut(&vm.pool) {
            *count += 1;
        }
    }
    let reclaimed = vms.values().filter(|vm| vm.is_reclaimed).count();
    let shares = shares(pools, have.values().sum::<usize>() + reclaimed);
    let mut steps = BalanceSteps::default();
    let mut free = spare_vms(pools, vms);
    let mut lacking: Vec<_> = pools
        .iter()
        .filter(|(_, pool)| !pool.is_standby)
        .map(|(name, _)| (shares[name].saturating_sub(have[name]), name))
        .filter(|(lack, _)| *lack > 0)
        .collect();
    lacking.sort();
    let mut still_lacking = 0;
    for (lack, to) in lacking.into_iter().rev() {
        for given in 0..lack {
            let found = free.iter().position(|spare| {
                let may_go = spare.is_standby || spare.is_reclaimed;
                spare.pool != to && (may_go || have[spare.pool] > shares[spare.pool])
            });
            let Some(found) = found else {
                still_lacking += lack - given;
                break;
            };
            let spare = free.remove(found);
            if !spare.is_reclaimed {
                have.entry(spare.pool.clone())
                    .and_modify(|count| *count = count.saturating_sub(1));
            }
            have.entry(to.clone()).and_modify(|count| *count += 1);
            steps.moves.push(spare.to(to));
        }
    }
    release(pools, &shares, &mut have, free, &mut steps);
    steps.moves.truncate(most);
    steps.reclaim = reclaim(pools, vms, &shares, &have, still_lacking);
    steps
}

/// Gives VMs that have been idle for a while back to standby.
fn release(
    pools: &BTreeMap<SmolStr, PoolState>,
    shares: &Counts,
    have: &mut Counts,
    free: Vec<Spare<'_>>,
    steps: &mut BalanceSteps,
) {
    let Some((standby, _)) = pools.iter().find(|(_, pool)| pool.is_standby) else {
        return;
    };
    for spare in free {
        let is_surplus = have[spare.pool] > shares[spare.pool] + SPARE_VMS;
        let is_releasable = !spare.is_standby && !spare.is_reclaimed;
        if is_releasable && is_surplus && spare.idle_ms >= RELEASE_IDLE_MS {
            have.entry(spare.pool.clone())
                .and_modify(|count| *count = count.saturating_sub(1));
            steps.moves.push(spare.to(standby));
        }
    }
}

/// The busy VMs to empty for pools that lack some: those that are being emptied already, and more where needed.
fn reclaim(
    pools: &BTreeMap<SmolStr, PoolState>,
    vms: &BTreeMap<SmolStr, VmState>,
    shares: &Counts,
    have: &Counts,
    lacking: usize,
) -> Vec<SmolStr> {
    let mut reclaimed: Vec<SmolStr> = Vec::new();
    for (pool, count) in have {
        let of_pool = vms
            .iter()
            .filter(|(_, vm)| vm.is_reclaimed && vm.pool == *pool);
        let under_way: Vec<_> = of_pool.map(|(name, _)| name.clone()).collect();
        // Those moved since are in a pool that needs them.
        let spared = (count + under_way.len()).saturating_sub(shares[pool]);
        let left = lacking.saturating_sub(reclaimed.len());
        reclaimed.extend(under_way.into_iter().take(spared.min(left)));
    }
    for (pool, state) in pools.iter().filter(|(_, pool)| !pool.is_standby) {
        let surplus = have[pool].saturating_sub(shares[pool].max(state.urgent));
        if surplus < LEAST_RECLAIM {
            continue;
        }
        let busy = vms.iter().filter(|(_, vm)| {
            let is_busy = vm.idle_ms.is_none() && vm.is_movable && vm.is_of_use;
            vm.pool == *pool && is_busy && !vm.is_steady && !vm.is_reclaimed
        });
        let left = lacking.saturating_sub(reclaimed.len());
        reclaimed.extend(busy.take(surplus.min(left)).map(|(vm, _)| vm.clone()));
    }
    reclaimed
}

/// How many of `total` VMs each pool is to have: first what it needs for work that can be on time, then the rest.
fn shares(pools: &BTreeMap<SmolStr, PoolState>, total: usize) -> Counts {
    let urgent = pools.iter().map(|(name, pool)| (name, pool.urgent));
    let mut shares = divide(urgent, total);
    let left = total.saturating_sub(shares.values().sum());
    let rest = pools
        .iter()
        .map(|(name, pool)| (name, pool.wanted.saturating_sub(pool.urgent)));
    for (pool, more) in divide(rest, left) {
        shares.entry(pool).and_modify(|share| *share += more);
    }
    shares
}

/// Divides `total` by what is asked for: all of it if there is enough, else in proportion.
fn divide<'a>(asked: impl Iterator<Item = (&'a SmolStr, usize)>, total: usize) -> Counts {
    let asked: Vec<_> = asked.collect();
    let sum: usize = asked.iter().map(|(_, asked)| asked).sum();
    let part = |asked: usize| {
        if sum <= total {
            asked
        } else {
            asked * total / sum.max(1)
        }
    };
    asked
        .into_iter()
        .map(|(pool, asked)| (pool.clone(), part(asked)))
        .collect()
}

/// A VM that could be moved.
struct Spare<'a> {
    idle_ms: u64,
    vm: &'a SmolStr,
    pool: &'a SmolStr,
    is_standby: bool,
    is_reclaimed: bool,
}

impl Spare<'_> {
    fn to(&self, pool: &SmolStr) -> Move {
        Move {
            vm: self.vm.clone(),
            from: self.pool.clone(),
            to: pool.clone(),
        }
    }
}

/// The VMs that could be moved: those on standby first, then those idle for the longest.
fn spare_vms<'a>(
    pools: &BTreeMap<SmolStr, PoolState>,
    vms: &'a BTreeMap<SmolStr, VmState>,
) -> Vec<Spare<'a>> {
    let spare = vms
        .iter()
        .filter(|(_, vm)| vm.is_movable)
        .filter_map(|(name, vm)| {
            let is_standby = pools.get(&vm.pool)?.is_standby;
            let idle_ms = if is_standby { u64::MAX } else { vm.idle_ms? };
            let is_spare = is_standby || vm.is_reclaimed || idle_ms >= LEND_IDLE_MS;
            is_spare.then_some(Spare {
                idle_ms,
                vm: name,
                pool: &vm.pool,
                is_standby,
                is_reclaimed: vm.is_reclaimed,
            })
        });
    let mut spare: Vec<_> = spare.collect();
    spare.sort_by_key(|spare| (std::cmp::Reverse(spare.idle_ms), spare.vm));
    spare
}
