//! Listings and budgets, computed from what is in force.

use std::collections::BTreeMap;

use domain::{PoolId, VmId, VmState};
use maintenance::{DisruptionBudget, PoolVm};
use peer::{OperatorError, PoolReport, ServiceReport, VmReport};
use platform::{ListedState, ListedVm};

use crate::control::changes::{Result, no_configuration};
use crate::in_force::InForce;

/// What the platform's list said last, by VM.
pub(crate) type Listed = BTreeMap<VmId, ListedVm>;

/// The availability budget of a pool.
pub(crate) fn ledger(
    in_force: &InForce,
    pool: &PoolId,
    listed: &Listed,
) -> Result<DisruptionBudget> {
    let config = in_force.config.as_ref().ok_or_else(no_configuration)?;
    let deployment = &config.deployment;
    let not_found = || OperatorError::NotFound(format!("there is no pool `{pool}`"));
    let declared = deployment
        .pools
        .iter()
        .find(|declared| declared.id == *pool);
    let declared = declared.ok_or_else(not_found)?;
    let preset = deployment
        .preset(&config.head.preset)
        .ok_or_else(no_configuration)?;
    let vms = deployment.vms.iter().filter_map(|vm| {
        let record = in_force
            .record(&vm.id)
            .filter(|record| record.pool == *pool)?;
        let entry = listed.get(&vm.id);
        Some(PoolVm {
            id: vm.id.clone(),
            zone: vm.zone.clone(),
            rack: vm.rack.clone(),
            state: record.state,
            is_live: entry.is_none_or(|entry| entry.state == ListedState::Live),
            boots: entry.map_or(0, |entry| entry.boots),
        })
    });
    Ok(DisruptionBudget::new(
        vms.collect(),
        declared.min_serving_vms,
        preset.max_out_percent,
    ))
}

/// All pools.
pub(crate) fn pools(in_force: &InForce, listed: &Listed) -> Result<Vec<PoolReport>> {
    let config = in_force.config.as_ref().ok_or_else(no_configuration)?;
    let report = |pool: &settings::Pool| {
        let ledger = ledger(in_force, &pool.id, listed)?;
        Ok(PoolReport {
            pool: pool.id.clone(),
            vms: count(ledger.vms().len()),
            serving: count(ledger.serving_count()),
            min_serving_vms: pool.min_serving_vms,
            planned_allowance: count(ledger.planned_allowance()),
        })
    };
    config.deployment.pools.iter().map(report).collect()
}

/// All VMs. `in_flight` gives the answering daemon's requests in flight.
pub(crate) fn vms(in_force: &InForce, in_flight: impl Fn(&VmId) -> u32) -> Result<Vec<VmReport>> {
    let config = in_force.config.as_ref().ok_or_else(no_configuration)?;
    let reports = config.deployment.vms.iter().filter_map(|vm| {
        let record = in_force.record(&vm.id)?;
        Some(VmReport {
            vm: vm.id.clone(),
            zone: vm.zone.clone(),
            rack: vm.rack.to_string(),
            pool: record.pool,
            state: record.state,
            move_to: record.move_to,
            in_flight: in_flight(&vm.id),
            executors: vm.executors.iter().map(|executor| executor.addr).collect(),
        })
    });
    Ok(reports.collect())
}

/// All services. `requests` gives the answering daemon's count of requests.
pub(crate) fn services(
    in_force: &InForce,
    requests: impl Fn(&str) -> u64,
) -> Result<Vec<ServiceReport>> {
    let config = in_force.config.as_ref().ok_or_else(no_configuration)?;
    let report = |service: &settings::Service| {
        let vms = config.deployment.vms.iter().filter(|vm| {
            let record = in_force.record(&vm.id);
            record.is_some_and(|r| r.pool == service.pool && r.state == VmState::Serving)
        });
        ServiceReport {
            service: service.id.clone(),
            pool: service.pool.clone(),
            deadline_ms: service.deadline_ms,
            serving_executors: count(vms.map(|vm| vm.executors.len()).sum()),
            requests: requests(service.id.as_str()),
        }
    };
    Ok(config.deployment.services.iter().map(report).collect())
}

pub(crate) fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
