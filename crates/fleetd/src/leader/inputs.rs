//! Converts the list of VMs and the replies of pools to the inputs of the `pools` crate.

use std::collections::{BTreeMap, BTreeSet};

use pools::{PoolState, VmState, WaveVm};
use smol_str::SmolStr;
use users_platform::{ListedVm, VmPhase};

use crate::leader::commands::VmCommand;
use crate::leader::worker_sightings::UnresponsiveWorker;
use crate::rpc::RoundReply;

/// Logs the demand and the number of VMs of each pool, and the progress of its owner.
pub(super) fn log_pools(
    pools: &BTreeMap<SmolStr, PoolState>,
    vms: &BTreeMap<SmolStr, VmState>,
    replies: &BTreeMap<SmolStr, RoundReply>,
) {
    for (pool, state) in pools {
        let pool_vms = vms.values().filter(|vm| vm.pool == *pool);
        let movable = pool_vms.clone().filter(|vm| vm.is_movable).count();
        let (usable, other): (Vec<_>, Vec<_>) = pool_vms.partition(|vm| vm.is_usable);
        let idle = usable.iter().filter(|vm| vm.idle_ms.is_some()).count();
        let (urgent, wanted) = (state.urgent_demand_vms, state.total_demand_vms);
        let required = state.service_demand_vms;
        let (useful, other) = (usable.len(), other.len());
        let progress = replies.get(pool).and_then(|reply| reply.progress.as_ref());
        tracing::info!(
            pool = pool.as_str(),
            required,
            urgent,
            wanted,
            useful,
            idle,
            other,
            movable,
            term = progress.map(|progress| progress.term),
            recorded_age_ms = progress.map(|progress| progress.recorded_age_ms),
            first_waiting = progress.map(|progress| progress.first_waiting.as_str()),
            "demand and VMs of a pool"
        );
    }
}

/// Logs the commands to VMs on which a worker runs whose pool did not confirm in this round that it has no tasks.
pub(super) fn log_unconfirmed_drains<'a>(
    commands: impl Iterator<Item = &'a VmCommand>,
    listed: &[ListedVm],
    draining: &BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    replies: &BTreeMap<SmolStr, RoundReply>,
) {
    for command in commands {
        let vm = listed.iter().find(|vm| vm.vm == *command.vm());
        let Some(vm) = vm.filter(|vm| vm.phase == VmPhase::Up && vm.worker_id.is_some()) else {
            continue;
        };
        let tasks = remaining_tasks(vm, draining, replies);
        if tasks == Some(0) {
            continue;
        }
        let reply = replies.get(&vm.pool);
        let progress = reply.and_then(|reply| reply.progress.as_ref());
        tracing::info!(
            order = ?command,
            pool = vm.pool.as_str(),
            worker = vm.worker_id.as_deref(),
            tasks,
            owner_term = progress.map(|progress| progress.term),
            "a command goes to a VM whose drain was not confirmed in this round"
        );
    }
}

/// Returns the pool and the worker incarnation of each VM that has a worker.
pub(super) fn incarnations_by_vm(listed: &[ListedVm]) -> BTreeMap<SmolStr, (SmolStr, SmolStr)> {
    let incarnations = listed.iter().filter_map(|vm| {
        let worker = vm.worker_id.clone()?;
        Some((vm.vm.clone(), (vm.pool.clone(), worker)))
    });
    incarnations.collect()
}

/// Returns the unresponsive workers of a pool whose owner was asked at `asked_at_ms`, in ms, and replied.
pub(super) fn unresponsive_workers(
    reply: &RoundReply,
    asked_at_ms: u64,
) -> Vec<UnresponsiveWorker> {
    let worker = |id: &SmolStr| {
        let response_age_ms = reply.response_ages_ms.get(id);
        UnresponsiveWorker {
            id: id.clone(),
            ran_at_ms: response_age_ms.map(|age_ms| asked_at_ms.saturating_sub(*age_ms)),
        }
    };
    reply.unresponsive.iter().map(worker).collect()
}

/// Returns the demand of each standby pool, which is 0, and of each pool that replied.
pub(super) fn pool_states(
    standby: &BTreeSet<SmolStr>,
    replies: &BTreeMap<SmolStr, RoundReply>,
) -> BTreeMap<SmolStr, PoolState> {
    let standby_state = PoolState {
        is_standby: true,
        service_demand_vms: 0,
        urgent_demand_vms: 0,
        total_demand_vms: 0,
    };
    let standby = standby
        .iter()
        .map(|pool| (pool.clone(), standby_state.clone()));
    let responding = replies.iter().map(|(pool, reply)| {
        let state = PoolState {
            is_standby: false,
            service_demand_vms: reply.service_demand_workers,
            urgent_demand_vms: reply.urgent_demand_workers,
            total_demand_vms: reply.total_demand_workers,
        };
        (pool.clone(), state)
    });
    standby.chain(responding).collect()
}

/// Returns the state of each listed VM for the planning of maintenance waves. A soft-locked VM counts as not up.
pub(super) fn wave_vms(
    listed: &[ListedVm],
    standby: &BTreeSet<SmolStr>,
    draining: &BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    replies: &BTreeMap<SmolStr, RoundReply>,
    is_soft_locked: impl Fn(&str) -> bool,
) -> BTreeMap<SmolStr, WaveVm> {
    let wave_vm = |vm: &ListedVm| {
        let is_standby = standby.contains(&vm.pool);
        let tasks = remaining_tasks(vm, draining, replies);
        let reply = replies.get(&vm.pool);
        let is_idle = reply.is_some_and(|reply| {
            reply
                .idle
                .iter()
                .any(|(worker, _)| vm.worker_id.as_ref() == Some(worker))
        });
        let service_workers = reply.into_iter().flat_map(|reply| &reply.service_workers);
        let runs_service_tasks = vm
            .worker_id
            .iter()
            .any(|worker| service_workers.clone().any(|id| id == worker));
        let state = WaveVm {
            is_up: vm.phase == VmPhase::Up && !is_soft_locked(&vm.vm),
            is_standby,
            is_drained: is_standby || vm.worker_id.is_none() || tasks == Some(0),
            is_idle,
            runs_service_tasks,
        };
        (vm.vm.clone(), state)
    };
    listed.iter().map(wave_vm).collect()
}

/// Returns whether a move of a VM to a pool, whose outcome is unknown, may be repeated. Not while the VM is still in the pool that it
/// leaves and may run tasks there.
pub(super) fn may_repeat_move(
    (name, pool): (&SmolStr, &SmolStr),
    listed: &[ListedVm],
    standby: &BTreeSet<SmolStr>,
    draining: &BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    replies: &BTreeMap<SmolStr, RoundReply>,
) -> bool {
    let Some(vm) = listed.iter().find(|vm| vm.vm == *name) else {
        return true;
    };
    let is_off = standby.contains(&vm.pool) || vm.worker_id.is_none();
    let has_left = vm.pool == *pool || vm.phase != VmPhase::Up;
    is_off || has_left || remaining_tasks(vm, draining, replies) == Some(0)
}

/// Returns how many tasks remain on a VM that its pool is draining. `None` when the pool was not asked to drain the VM
/// or did not reply.
pub(super) fn remaining_tasks(
    vm: &ListedVm,
    draining: &BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    replies: &BTreeMap<SmolStr, RoundReply>,
) -> Option<usize> {
    // The reply lists the task counts in the order in which the request listed the workers.
    let index = draining
        .get(&vm.pool)?
        .iter()
        .position(|worker| vm.worker_id.as_ref() == Some(worker))?;
    replies.get(&vm.pool)?.remaining_tasks.get(index).copied()
}

#[cfg(test)]
mod tests;
