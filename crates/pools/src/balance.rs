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

/// A pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolState {
    /// Whether its VMs are off and free until they are moved.
    pub is_standby: bool,
    /// How many VMs it could use. 0 for standby.
    pub wanted: usize,
}

/// A VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmState {
    /// Its pool, or the one it moves to.
    pub pool: SmolStr,
    /// Whether it runs tasks of its pool, or will once it is there.
    pub is_of_use: bool,
    /// Whether it is up and no order on it is under way.
    pub is_movable: bool,
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

/// The moves that follow the demand, at most `most`.
///
/// ```
/// use std::collections::BTreeMap;
/// use pools::{PoolState, VmState, plan_moves};
/// let pools = BTreeMap::from([
///     ("quotes".into(), PoolState { is_standby: false, wanted: 1 }),
///     ("off".into(), PoolState { is_standby: true, wanted: 0 }),
/// ]);
/// let off = VmState { pool: "off".into(), is_of_use: true, is_movable: true, idle_ms: None };
/// let vms = BTreeMap::from([("vm-1".into(), off)]);
/// let moves = plan_moves(&pools, &vms, 4);
/// assert_eq!(moves[0].to, "quotes");
/// ```
#[must_use]
pub fn plan_moves(
    pools: &BTreeMap<SmolStr, PoolState>,
    vms: &BTreeMap<SmolStr, VmState>,
    most: usize,
) -> Vec<Move> {
    let mut have: BTreeMap<&SmolStr, usize> = pools.keys().map(|pool| (pool, 0)).collect();
    for vm in vms.values().filter(|vm| vm.is_of_use) {
        if let Some(count) = have.get_mut(&vm.pool) {
            *count += 1;
        }
    }
    let mut moves: Vec<Move> = Vec::new();
    let mut free = spare_vms(pools, vms);
    let mut lacking: Vec<_> = pools
        .iter()
        .filter(|(_, pool)| !pool.is_standby)
        .map(|(name, pool)| (pool.wanted.saturating_sub(have[name]), name))
        .filter(|(lack, _)| *lack > 0)
        .collect();
    lacking.sort();
    for (lack, to) in lacking.into_iter().rev() {
        for _ in 0..lack {
            let Some(found) = free.iter().position(|(_, vm, from, is_standby)| {
                let is_left = !moves.iter().any(|done| done.vm == **vm);
                is_left && *from != to && (*is_standby || have[*from] > pools[*from].wanted)
            }) else {
                break;
            };
            let (_, vm, from, _) = free.remove(found);
            have.entry(from).and_modify(|count| *count = count.saturating_sub(1));
            *have.entry(to).or_default() += 1;
            moves.push(Move { vm: vm.clone(), from: from.clone(), to: to.clone() });
        }
    }
    if let Some((standby, _)) = pools.iter().find(|(_, pool)| pool.is_standby) {
        for (idle_ms, vm, from, is_standby) in free {
            let is_surplus = have[from] > pools[from].wanted + SPARE_VMS;
            if !is_standby && is_surplus && idle_ms >= RELEASE_IDLE_MS {
                have.entry(from).and_modify(|count| *count = count.saturating_sub(1));
                moves.push(Move { vm: vm.clone(), from: from.clone(), to: standby.clone() });
            }
        }
    }
    moves.truncate(most);
    moves
}

/// The VMs that could be moved: those on standby first, then those idle for the longest.
fn spare_vms<'a>(
    pools: &BTreeMap<SmolStr, PoolState>,
    vms: &'a BTreeMap<SmolStr, VmState>,
) -> Vec<(u64, &'a SmolStr, &'a SmolStr, bool)> {
    let mut spare: Vec<_> = vms
        .iter()
        .filter(|(_, vm)| vm.is_movable)
        .filter_map(|(name, vm)| {
            let is_standby = pools.get(&vm.pool)?.is_standby;
            let idle_ms = if is_standby { u64::MAX } else { vm.idle_ms? };
            let is_spare = is_standby || idle_ms >= LEND_IDLE_MS;
            is_spare.then_some((idle_ms, name, &vm.pool, is_standby))
        })
        .collect();
    spare.sort_by_key(|(idle_ms, name, _, _)| (std::cmp::Reverse(*idle_ms), *name));
    spare
}
