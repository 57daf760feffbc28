//! What the router routes to, derived from the configuration in force and the VM records.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use domain::{PoolId, ServiceId, VmId, VmRecord, VmState, ZoneId};
use settings::{Criticality, Deployment, Preset, RoutingPolicy};

/// All pools, services and targets, as one view of the fleet gives them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// The pools.
    pub pools: Vec<PlannedPool>,
    /// The services.
    pub services: Vec<PlannedService>,
}

/// A pool and its targets.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedPool {
    /// Its id.
    pub id: PoolId,
    /// Requests that may wait for the pool.
    pub queue_limit_requests: usize,
    /// Its executors, those of VMs that take no new work included.
    pub targets: Vec<PlannedTarget>,
}

/// An executor.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedTarget {
    /// Where it listens; this is also its identity across plans.
    pub addr: SocketAddr,
    /// The VM that it runs on.
    pub vm: VmId,
    /// The VM's availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that this daemon may have to it.
    pub connection_share: u32,
    /// Whether it takes new work.
    pub is_serving: bool,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedService {
    /// Its id.
    pub id: ServiceId,
    /// The pool that runs it.
    pub pool: PoolId,
    /// The longest deadline.
    pub deadline_us: u64,
    /// The longest body.
    pub max_body_bytes: u64,
    /// Who is served first.
    pub criticality: Criticality,
    /// How targets are chosen.
    pub policy: RoutingPolicy,
    /// Retries, as a share of first attempts.
    pub retry_percent: u32,
}

impl Plan {
    /// Derives a plan.
    ///
    /// VMs without a record serve in the pool that the document names. VMs in `blocked` take no new work. The
    /// connections of an executor are shared equally among `daemon_count` daemons, alive or not, so that their
    /// sum stays within the executor's limit while membership changes.
    #[must_use]
    pub fn new(
        deployment: &Deployment,
        preset: &Preset,
        records: &HashMap<VmId, VmRecord>,
        blocked: &HashSet<VmId>,
        daemon_count: u32,
    ) -> Self {
        let mut targets: HashMap<&PoolId, Vec<PlannedTarget>> = HashMap::new();
        for vm in &deployment.vms {
            let record = records.get(&vm.id);
            let pool = record.map_or(&vm.pool, |record| &record.pool);
            let is_serving = record.is_none_or(|record| record.state == VmState::Serving)
                && !blocked.contains(&vm.id);
            let planned = vm.executors.iter().map(|executor| PlannedTarget {
                addr: executor.addr,
                vm: vm.id.clone(),
                zone: vm.zone.clone(),
                slots: executor.slots,
                connection_share: (executor.connections / daemon_count.max(1)).max(1),
                is_serving,
            });
            targets.entry(pool).or_default().extend(planned);
        }
        let pools = deployment.pools.iter().map(|pool| PlannedPool {
            id: pool.id.clone(),
            queue_limit_requests: preset.queue_limit_requests as usize,
            targets: targets.remove(&pool.id).unwrap_or_default(),
        });
        let services = deployment.services.iter().map(|service| PlannedService {
            id: service.id.clone(),
            pool: service.pool.clone(),
            deadline_us: service.deadline_ms * 1_000,
            max_body_bytes: service.max_body_bytes,
            criticality: service.criticality,
            policy: service.routing,
            retry_percent: preset.retry_percent,
        });
        Self {
            pools: pools.collect(),
            services: services.collect(),
        }
    }
}
