//! Rebalances VMs between pools: pools that lack VMs get them from standby pools or from pools with a surplus, and VMs
//! that stay idle are released to a standby pool.
//!
//! This serves queues whose demand peaks at different times. A VM in a pool is paid for by the second, and a move costs
//! about as much as one second of a VM. VMs therefore follow the demand, and are released after a period without work.

use std::collections::BTreeMap;

use smol_str::SmolStr;

/// How long a VM has to be idle before it is released to standby. Three times the duration of a usual task, so that a
/// gap between two tasks is not taken for the end of a demand peak.
const RELEASE_IDLE_MS: u64 = 1200;

/// How long a VM has to be idle before it may be moved to another pool that lacks VMs. VMs on standby and VMs that were
/// drained for other pools are moved at once.
const TRANSFER_IDLE_MS: u64 = 250;

/// How many VMs a pool has to have beyond its share and its urgent demand before busy VMs of the pool are drained for
/// other pools. A smaller surplus comes and goes with every task.
const MIN_RECLAIM_SURPLUS_VMS: usize = 2;

/// The demand of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolState {
    /// Whether the pool is a standby pool, whose VMs are off and cost nothing until they are moved.
    pub is_standby: bool,
    /// How many VMs the pool needs so that each of its service tasks has a place. 0 for a standby pool.
    pub service_demand_vms: usize,
    /// How many VMs the pool could use for work that can still meet its latency objective, including the VMs that run
    /// such work already and the service demand. 0 for a standby pool.
    pub urgent_demand_vms: usize,
    /// How many VMs the pool could use for all its work, including the urgent demand. 0 for a standby pool.
    pub total_demand_vms: usize,
}

/// The state of a VM, as far as it matters to rebalancing.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
pub struct VmState {
    /// The pool of the VM, or the pool to which the VM is being moved.
    pub pool: SmolStr,
    /// Whether the VM can run tasks of its pool, or can once its move to the pool ends.
    pub is_usable: bool,
    /// Whether the VM may be moved: the VM is up, and no command on the VM is in progress. A VM on standby counts as
    /// up, although the VM is off.
    pub is_movable: bool,
    /// Whether the VM runs a service task.
    pub runs_service_tasks: bool,
    /// Whether the VM is being drained for other pools. Such a VM is expected to have `is_usable` false, because
    /// [`plan_rebalance`] counts the VM in addition to the usable ones.
    pub is_being_reclaimed: bool,
    /// How long the VM has run no task, in ms. `None` if a task runs or the state is unknown. Ignored for a VM on
    /// standby.
    pub idle_ms: Option<u64>,
}

/// A move of a VM from one pool to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The name of the VM.
    pub vm: SmolStr,
    /// The pool that gives up the VM.
    pub from: SmolStr,
    /// The pool that gets the VM.
    pub to: SmolStr,
}

/// The moves and drains by which the pools follow their demand.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RebalancePlan {
    /// The moves to start now: first moves to pools that lack VMs, then releases to a standby pool.
    pub moves: Vec<Move>,
    /// The VMs to drain for other pools, including those whose drain is in progress. The drain of any other VM is to be
    /// cancelled.
    pub reclaim: Vec<SmolStr>,
}

/// The number of VMs of each pool.
type Counts = BTreeMap<SmolStr, usize>;

/// Plans how VMs follow the demand of the pools, with at most `max_moves` moves. The number of drains is not limited.
/// VMs whose pool is not in `pools` are neither moved nor drained.
///
/// Service tasks go first, then work that can still meet its latency objective, then work that is past its latest start,
/// in whichever pool: a pool with work of a later kind gives up VMs to a pool with work of an earlier kind. Busy VMs are
/// drained for service tasks even if their pool has more urgent work than VMs.
///
/// ```
/// use std::collections::BTreeMap;
/// use pools::{PoolState, VmState, plan_rebalance};
/// let pools = BTreeMap::from([
///     ("quotes".into(), PoolState { is_standby: false, service_demand_vms: 0, urgent_demand_vms: 1, total_demand_vms: 1 }),
///     ("off".into(), PoolState { is_standby: true, service_demand_vms: 0, urgent_demand_vms: 0, total_demand_vms: 0 }),
/// ]);
/// let off = VmState {
///     pool: "off".into(),
///     is_usable: true,
///     is_movable: true,
///     runs_service_tasks: false,
///     is_being_reclaimed: false,
///     idle_ms: None,
/// };
/// let vms = BTreeMap::from([("vm-1".into(), off)]);
/// let plan = plan_rebalance(&pools, &vms, 4);
/// assert_eq!(plan.moves[0].to, "quotes");
/// ```
#[must_use]
pub fn plan_rebalance(
    pools: &BTreeMap<SmolStr, PoolState>,
    vms: &BTreeMap<SmolStr, VmState>,
    max_moves: usize,
) -> RebalancePlan {
    let mut vm_counts: Counts = pools.keys().map(|pool| (pool.clone(), 0)).collect();
    for vm in vms.values().filter(|vm| vm.is_usable) {
        if let Some(count) = vm_counts.get_mut(&vm.pool) {
            *count += 1;
        }
    }
    let reclaimed = vms.values().filter(|vm| vm.is_being_reclaimed).count();
    let shares = compute_shares(pools, vm_counts.values().sum::<usize>() + reclaimed);
    let mut plan = RebalancePlan::default();
    let mut movable = movable_vms(pools, vms);
    let mut unmet = Unmet::default();
    for (is_service, shortage, to) in shortages(pools, &shares, &vm_counts) {
        for moved in 0..shortage {
            let found = movable.iter().position(|candidate| {
                let is_spare = candidate.is_standby || candidate.is_being_reclaimed;
                candidate.pool != to
                    && (is_spare || vm_counts[candidate.pool] > shares[candidate.pool])
            });
            let Some(found) = found else {
                unmet.total_vms += shortage - moved;
                if is_service {
                    unmet.service_vms += shortage - moved;
                }
                break;
            };
            let candidate = movable.remove(found);
            if !candidate.is_being_reclaimed {
                vm_counts
                    .entry(candidate.pool.clone())
                    .and_modify(|count| *count = count.saturating_sub(1));
            }
            vm_counts.entry(to.clone()).and_modify(|count| *count += 1);
            plan.moves.push(candidate.move_to(to));
        }
    }
    release_idle_vms(pools, &shares, &mut vm_counts, movable, &mut plan);
    plan.moves.truncate(max_moves);
    plan.reclaim = select_vms_to_reclaim(pools, vms, &shares, &vm_counts, unmet);
    plan
}

/// The VMs that pools lack and that no movable VM can replace.
#[derive(Debug, Clone, Copy, Default)]
struct Unmet {
    /// The VMs for all demand within the shares.
    total_vms: usize,
    /// Of these, the VMs for service tasks.
    service_vms: usize,
}

/// Returns the shortages of pools, the first to be met first: whether service tasks lack the VMs, the number of VMs, and
/// the pool.
fn shortages<'a>(
    pools: &'a BTreeMap<SmolStr, PoolState>,
    shares: &Counts,
    vm_counts: &Counts,
) -> Vec<(bool, usize, &'a SmolStr)> {
    let active = pools.iter().filter(|(_, pool)| !pool.is_standby);
    let shortages = active.flat_map(|(name, pool)| {
        let (share, count) = (shares[name], vm_counts[name]);
        let for_service = pool.service_demand_vms.min(share).saturating_sub(count);
        let for_batch = share.saturating_sub(count) - for_service;
        [(true, for_service, name), (false, for_batch, name)]
    });
    let mut shortages: Vec<_> = shortages.filter(|(_, shortage, _)| *shortage > 0).collect();
    shortages.sort();
    shortages.reverse();
    shortages
}

/// Releases surplus VMs that have been idle for [`RELEASE_IDLE_MS`] to a standby pool.
fn release_idle_vms(
    pools: &BTreeMap<SmolStr, PoolState>,
    shares: &Counts,
    vm_counts: &mut Counts,
    movable: Vec<MovableVm<'_>>,
    plan: &mut RebalancePlan,
) {
    let Some((standby, _)) = pools.iter().find(|(_, pool)| pool.is_standby) else {
        return;
    };
    for vm in movable {
        let is_surplus = vm_counts[vm.pool] > shares[vm.pool];
        let is_releasable = !vm.is_standby && !vm.is_being_reclaimed;
        if is_releasable && is_surplus && vm.idle_ms >= RELEASE_IDLE_MS {
            vm_counts
                .entry(vm.pool.clone())
                .and_modify(|count| *count = count.saturating_sub(1));
            plan.moves.push(vm.move_to(standby));
        }
    }
}

/// Selects the VMs to drain for pools that lack VMs: first VMs whose drain is in progress, then busy VMs without service
/// tasks of pools with a surplus. For service tasks, VMs beyond a pool's share count as a surplus also while the pool has
/// more urgent work.
fn select_vms_to_reclaim(
    pools: &BTreeMap<SmolStr, PoolState>,
    vms: &BTreeMap<SmolStr, VmState>,
    shares: &Counts,
    vm_counts: &Counts,
    unmet: Unmet,
) -> Vec<SmolStr> {
    let unmet_vms = unmet.total_vms;
    let mut reclaimed: Vec<SmolStr> = Vec::new();
    for (pool, count) in vm_counts {
        let of_pool = vms
            .iter()
            .filter(|(_, vm)| vm.is_being_reclaimed && vm.pool == *pool);
        let draining: Vec<_> = of_pool.map(|(name, _)| name.clone()).collect();
        // A VM that was moved while marked as reclaimed is in a pool that needs the VM, so its drain ends.
        let surplus = (count + draining.len()).saturating_sub(shares[pool]);
        let remaining = unmet_vms.saturating_sub(reclaimed.len());
        reclaimed.extend(draining.into_iter().take(surplus.min(remaining)));
    }
    for (pool, state) in pools.iter().filter(|(_, pool)| !pool.is_standby) {
        let beyond_share = vm_counts[pool].saturating_sub(shares[pool]);
        let surplus = vm_counts[pool].saturating_sub(shares[pool].max(state.urgent_demand_vms));
        let for_service = beyond_share.min(unmet.service_vms.saturating_sub(reclaimed.len()));
        let surplus = if surplus < MIN_RECLAIM_SURPLUS_VMS {
            for_service
        } else {
            surplus.max(for_service)
        };
        let busy = vms.iter().filter(|(_, vm)| {
            let is_busy = vm.idle_ms.is_none() && vm.is_movable && vm.is_usable;
            vm.pool == *pool && is_busy && !vm.runs_service_tasks && !vm.is_being_reclaimed
        });
        let remaining = unmet_vms.saturating_sub(reclaimed.len());
        reclaimed.extend(busy.take(surplus.min(remaining)).map(|(vm, _)| vm.clone()));
    }
    reclaimed
}

/// Returns how many of `total` VMs each pool should have. The demand of service tasks is met first, then that of work that
/// can still meet its latency objective, then the rest.
fn compute_shares(pools: &BTreeMap<SmolStr, PoolState>, total: usize) -> Counts {
    let service = |pool: &PoolState| pool.service_demand_vms;
    let urgent = |pool: &PoolState| {
        let urgent = pool.urgent_demand_vms;
        urgent.saturating_sub(pool.service_demand_vms)
    };
    let rest = |pool: &PoolState| {
        let met = pool.urgent_demand_vms.max(pool.service_demand_vms);
        pool.total_demand_vms.saturating_sub(met)
    };
    let mut shares: Counts = pools.keys().map(|pool| (pool.clone(), 0)).collect();
    let demands: [fn(&PoolState) -> usize; 3] = [service, urgent, rest];
    for demand in demands {
        let remaining = total.saturating_sub(shares.values().sum());
        let demands = pools.iter().map(|(name, pool)| (name, demand(pool)));
        for (pool, additional) in allocate(demands, remaining) {
            shares.entry(pool).and_modify(|share| *share += additional);
        }
    }
    shares
}

/// Allocates `total` VMs by demand: each pool gets its full demand if there are enough VMs, else a proportional part,
/// rounded down.
fn allocate<'a>(demands: impl Iterator<Item = (&'a SmolStr, usize)>, total: usize) -> Counts {
    let demands: Vec<_> = demands.collect();
    let sum: usize = demands.iter().map(|(_, demand)| demand).sum();
    let allocated = |demand: usize| {
        if sum <= total {
            demand
        } else {
            demand * total / sum.max(1)
        }
    };
    demands
        .into_iter()
        .map(|(pool, demand)| (pool.clone(), allocated(demand)))
        .collect()
}

/// A VM that may be moved to another pool.
struct MovableVm<'a> {
    idle_ms: u64,
    vm: &'a SmolStr,
    pool: &'a SmolStr,
    is_standby: bool,
    is_being_reclaimed: bool,
}

impl MovableVm<'_> {
    fn move_to(&self, pool: &SmolStr) -> Move {
        Move {
            vm: self.vm.clone(),
            from: self.pool.clone(),
            to: pool.clone(),
        }
    }
}

/// Returns the VMs that may be moved: first the VMs on standby, then the others from the longest idle time to the
/// shortest.
fn movable_vms<'a>(
    pools: &BTreeMap<SmolStr, PoolState>,
    vms: &'a BTreeMap<SmolStr, VmState>,
) -> Vec<MovableVm<'a>> {
    let movable = vms
        .iter()
        .filter(|(_, vm)| vm.is_movable)
        .filter_map(|(name, vm)| {
            let is_standby = pools.get(&vm.pool)?.is_standby;
            let idle_ms = if is_standby { u64::MAX } else { vm.idle_ms? };
            let may_move = is_standby || vm.is_being_reclaimed || idle_ms >= TRANSFER_IDLE_MS;
            may_move.then_some(MovableVm {
                idle_ms,
                vm: name,
                pool: &vm.pool,
                is_standby,
                is_being_reclaimed: vm.is_being_reclaimed,
            })
        });
    let mut movable: Vec<_> = movable.collect();
    movable.sort_by_key(|vm| (std::cmp::Reverse(vm.idle_ms), vm.vm));
    movable
}
