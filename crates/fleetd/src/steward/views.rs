//! What the list of VMs and the pools' replies say, in the shapes that the decisions take.

use std::collections::{BTreeMap, BTreeSet};

use pools::{PoolState, VmState, WaveVm};
use smol_str::SmolStr;
use users_platform::{ListedVm, VmPhase};

use crate::rpc::RoundReply;

pub(super) fn log_pools(pools: &BTreeMap<SmolStr, PoolState>, vms: &BTreeMap<SmolStr, VmState>) {
    for (pool, state) in pools {
        let of_pool = vms.values().filter(|vm| vm.pool == *pool);
        let (useful, other): (Vec<_>, Vec<_>) = of_pool.partition(|vm| vm.is_usable);
        let idle = useful.iter().filter(|vm| vm.idle_ms.is_some()).count();
        let (urgent, wanted) = (state.urgent_demand_vms, state.total_demand_vms);
        let (useful, other) = (useful.len(), other.len());
        tracing::info!(
            pool = pool.as_str(),
            urgent,
            wanted,
            useful,
            idle,
            other,
            "a pool's VMs"
        );
    }
}

/// The pool and the life of the worker on each VM.
pub(super) fn lives(listed: &[ListedVm]) -> BTreeMap<SmolStr, (SmolStr, SmolStr)> {
    let lives = listed.iter().filter_map(|vm| {
        let worker = vm.worker_id.clone()?;
        Some((vm.vm.clone(), (vm.pool.clone(), worker)))
    });
    lives.collect()
}

pub(super) fn pool_states(
    standby: &BTreeSet<SmolStr>,
    replies: &BTreeMap<SmolStr, RoundReply>,
) -> BTreeMap<SmolStr, PoolState> {
    let off = PoolState {
        is_standby: true,
        urgent_demand_vms: 0,
        total_demand_vms: 0,
    };
    let standby = standby.iter().map(|pool| (pool.clone(), off.clone()));
    let asked = replies.iter().map(|(pool, reply)| {
        let state = PoolState {
            is_standby: false,
            urgent_demand_vms: reply.urgent,
            total_demand_vms: reply.wanted,
        };
        (pool.clone(), state)
    });
    standby.chain(asked).collect()
}

/// The VMs as waves want to know them.
pub(super) fn wave_vms(
    listed: &[ListedVm],
    standby: &BTreeSet<SmolStr>,
    emptying: &BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    replies: &BTreeMap<SmolStr, RoundReply>,
) -> BTreeMap<SmolStr, WaveVm> {
    let vm = |vm: &ListedVm| {
        let is_standby = standby.contains(&vm.pool);
        let tasks = tasks_left(vm, emptying, replies);
        let reply = replies.get(&vm.pool);
        let is_idle = reply.is_some_and(|reply| {
            reply
                .idle
                .iter()
                .any(|(worker, _)| vm.worker_id.as_ref() == Some(worker))
        });
        let steady = reply.into_iter().flat_map(|reply| &reply.steady);
        let runs_service_tasks = vm
            .worker_id
            .iter()
            .any(|worker| steady.clone().any(|id| id == worker));
        let state = WaveVm {
            is_up: vm.phase == VmPhase::Up,
            is_standby,
            is_drained: is_standby || vm.worker_id.is_none() || tasks == Some(0),
            is_idle,
            runs_service_tasks,
        };
        (vm.vm.clone(), state)
    };
    listed.iter().map(vm).collect()
}

/// How many tasks are left on a VM that its pool was asked to empty.
pub(super) fn tasks_left(
    vm: &ListedVm,
    emptying: &BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    replies: &BTreeMap<SmolStr, RoundReply>,
) -> Option<usize> {
    // The reply has the workers in the order in which they were asked for.
    let place = emptying
        .get(&vm.pool)?
        .iter()
        .position(|worker| vm.worker_id.as_ref() == Some(worker))?;
    replies.get(&vm.pool)?.tasks.get(place).copied()
}
