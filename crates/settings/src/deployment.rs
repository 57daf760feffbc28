//! The deployment document, in which operators declare zones, presets, services, pools, teams and VMs.

use std::collections::HashSet;
use std::net::SocketAddr;

use domain::{PoolId, PresetId, RackId, ServiceId, TeamId, VmId, ZoneId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::validation::{self, Error, Result};

/// A deployment document. [`Deployment::parse`] returns only valid documents; serde alone does not check ranges,
/// duplicates and references.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// The name of the deployment.
    pub deployment: String,
    /// The availability zones; at least one, without duplicates.
    pub zones: Vec<ZoneId>,
    /// The weights of the costs of a plan. No daemon reads the weights.
    pub weights: Weights,
    /// The preset that becomes active with the first configuration, one of [`Deployment::presets`]. Later
    /// configurations keep the active preset.
    pub first_preset: PresetId,
    /// The presets, of which exactly one is active at a time.
    pub presets: Vec<Preset>,
    /// The services.
    pub services: Vec<Service>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The teams that submit jobs.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The target VMs.
    pub vms: Vec<Vm>,
}

/// The relative weights of the costs of a plan, without a unit, to decide between plans that are otherwise equal. The
/// fields are required in the document, but no daemon reads the weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// The weight of spare VMs that are held in reserve.
    pub buffer_cost: u32,
    /// The weight of the time from the start of a roll-out to its end.
    pub rollout_time: u32,
    /// The weight of VMs that change pool.
    pub vm_moves: u32,
}

/// A named set of limits that operators switch between, such as one for peak hours or one for maintenance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// The id of the preset, unique in the document.
    pub id: PresetId,
    /// The percentage of a pool's VMs up to which planned maintenance may take VMs out of service, 0 to 100. VMs
    /// that are out of service for any other reason count as well.
    pub max_out_percent: u32,
    /// The maximum number of requests that a daemon queues for one pool, 0 to 100 000.
    pub queue_limit_requests: u32,
    /// The number of retries that a daemon may make for a service, as a percentage of the service's first attempts, 0
    /// to 100.
    pub retry_percent: u32,
}

/// A service that callers send requests to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The id of the service, unique in the document and a segment of the path of each request.
    pub id: ServiceId,
    /// The pool whose executors serve the requests, one of [`Deployment::pools`].
    pub pool: PoolId,
    /// The default and the maximum of the deadline of a request, in milliseconds after arrival, 1 to 600 000. A longer
    /// deadline is reduced to the maximum.
    pub deadline_ms: u64,
    /// The maximum length of a request body, in bytes. Requests with a longer body are refused.
    pub max_body_bytes: u64,
    /// The priority class of the service's requests when targets have no free capacity.
    #[serde(default)]
    pub criticality: Criticality,
    /// The policy by which a target is chosen for a request.
    #[serde(default)]
    pub routing: RoutingPolicy,
}

/// The priority class of a service's requests when targets have no free capacity. The variants are in order of service.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Criticality {
    /// Served before all other requests.
    Urgent,
    /// Served after urgent requests.
    #[default]
    Normal,
    /// Served after all other requests, and the first to be refused when a queue is full.
    Sheddable,
}

/// The policy by which a daemon chooses one of the targets that have free capacity.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// A target drawn at random with equal probability. A baseline for comparisons.
    Random,
    /// Each target in turn. A baseline for comparisons.
    RoundRobin,
    /// The target with the fewest requests in flight from this daemon. A baseline for comparisons.
    LeastInFlight,
    /// Of two targets drawn at random, the target with the least estimated work (see [`RoutingPolicy::LeastWork`]). A
    /// baseline for comparisons.
    TwoChoices,
    /// The target with the least estimated work ahead of a new request: the requests in flight from this daemon plus
    /// the new request, times the recent latency, divided by the number of slots.
    #[default]
    LeastWork,
}

/// A pool of target VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The id of the pool, unique in the document.
    pub id: PoolId,
    /// The minimum number of VMs that planned maintenance leaves in service under every preset, even if the largest
    /// rack fails as well. At most the number of VMs that the document declares in the pool.
    pub min_serving_vms: u32,
    /// The CPU capacity of each VM that is available to jobs, in thousandths of a core, by default 0.
    #[serde(default)]
    pub job_cpu_milli: u32,
    /// The memory of each VM that is available to jobs, in megabytes, by default 0.
    #[serde(default)]
    pub job_memory_mb: u32,
}

/// A team that submits jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The id of the team, unique in the document.
    pub id: TeamId,
    /// The CPU capacity that all running jobs of the team may use together, in thousandths of a core.
    pub quota_cpu_milli: u32,
}

/// A target VM, which runs executors.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// The id of the VM, unique in the document.
    pub id: VmId,
    /// The availability zone of the VM, one of [`Deployment::zones`].
    pub zone: ZoneId,
    /// The rack of the VM, a failure domain within the zone.
    pub rack: RackId,
    /// The initial pool of the VM, one of [`Deployment::pools`]. After a move, the current pool is in the VM's record.
    pub pool: PoolId,
    /// The executors on the VM.
    pub executors: Vec<Executor>,
}

/// An executor, which serves requests on a target VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Executor {
    /// The address on which the executor listens, unique in the document.
    pub addr: SocketAddr,
    /// The maximum number of requests that the executor runs at once, 1 to 10 000.
    pub slots: u32,
    /// The maximum number of connections that the executor accepts from all daemons together, 1 to 100 000.
    pub connections: u32,
}

impl Deployment {
    /// Parses and validates the text of a document.
    ///
    /// # Errors
    /// [`Error::Yaml`] if the text is not YAML of this structure, [`Error::InvalidField`] if a value is out of range, a
    /// duplicate or a reference to an id that is not listed, or if no zone is listed.
    ///
    /// ```
    /// let err = settings::Deployment::parse("zones: 3").unwrap_err();
    /// assert!(err.to_string().contains("zones"));
    /// ```
    pub fn parse(text: &str) -> Result<Self> {
        let deployment: Self = validation::deserialize(text)?;
        deployment.validate()?;
        Ok(deployment)
    }

    /// Computes the digest of a document: the SHA-256 of its text, as 64 lower-case hexadecimal digits.
    ///
    /// ```
    /// assert_eq!(settings::Deployment::digest("a").len(), 64);
    /// ```
    #[must_use]
    pub fn digest(text: &str) -> String {
        use std::fmt::Write as _;
        let mut hex = String::new();
        for byte in Sha256::digest(text) {
            write!(hex, "{byte:02x}").expect("writing to a string can't fail");
        }
        hex
    }

    /// Returns the preset with this id, or `None` if the document lists no such preset.
    #[must_use]
    pub fn preset(&self, id: &PresetId) -> Option<&Preset> {
        self.presets.iter().find(|preset| preset.id == *id)
    }

    /// Returns the VM with this id, or `None` if the document lists no such VM.
    #[must_use]
    pub fn vm(&self, id: &VmId) -> Option<&Vm> {
        self.vms.iter().find(|vm| vm.id == *id)
    }

    fn validate(&self) -> Result<()> {
        if self.zones.is_empty() {
            return Err(Error::invalid_field(
                "zones",
                "at least one availability zone is needed",
            ));
        }
        validation::check_unique(&self.zones, "zone", |i| format!("zones[{i}]"))?;
        self.validate_presets()?;
        self.validate_pools()?;
        self.validate_services()?;
        let teams = self.teams.iter().map(|team| &team.id);
        validation::check_unique(teams, "id", |i| format!("teams[{i}].id"))?;
        self.validate_vms()
    }

    fn validate_presets(&self) -> Result<()> {
        let ids = self.presets.iter().map(|preset| &preset.id);
        validation::check_unique(ids, "id", |i| format!("presets[{i}].id"))?;
        if self.preset(&self.first_preset).is_none() {
            let message = format!("`{}` is not listed under presets", self.first_preset);
            return Err(Error::invalid_field("first_preset", message));
        }
        for (i, preset) in self.presets.iter().enumerate() {
            let field = |name| format!("presets[{i}].{name}");
            validation::check_range(
                preset.max_out_percent.into(),
                0..=100,
                field("max_out_percent"),
            )?;
            validation::check_range(preset.retry_percent.into(), 0..=100, field("retry_percent"))?;
            validation::check_range(
                preset.queue_limit_requests.into(),
                0..=100_000,
                field("queue_limit_requests"),
            )?;
        }
        Ok(())
    }

    fn validate_pools(&self) -> Result<()> {
        let ids = self.pools.iter().map(|pool| &pool.id);
        validation::check_unique(ids, "id", |i| format!("pools[{i}].id"))?;
        for (i, pool) in self.pools.iter().enumerate() {
            let vm_count = self.vms.iter().filter(|vm| vm.pool == pool.id).count();
            validation::check_range(
                pool.min_serving_vms.into(),
                0..=vm_count as u64,
                format_args!("pools[{i}].min_serving_vms"),
            )?;
        }
        Ok(())
    }

    fn validate_services(&self) -> Result<()> {
        let ids = self.services.iter().map(|service| &service.id);
        validation::check_unique(ids, "id", |i| format!("services[{i}].id"))?;
        for (i, service) in self.services.iter().enumerate() {
            self.check_pool_is_listed(&service.pool, format!("services[{i}].pool"))?;
            validation::check_range(
                service.deadline_ms,
                1..=600_000,
                format_args!("services[{i}].deadline_ms"),
            )?;
        }
        Ok(())
    }

    fn validate_vms(&self) -> Result<()> {
        let ids = self.vms.iter().map(|vm| &vm.id);
        validation::check_unique(ids, "id", |i| format!("vms[{i}].id"))?;
        let zones: HashSet<_> = self.zones.iter().collect();
        for (i, vm) in self.vms.iter().enumerate() {
            if !zones.contains(&vm.zone) {
                return Err(Error::invalid_field(
                    format_args!("vms[{i}].zone"),
                    format_args!("`{}` is not listed under zones", vm.zone),
                ));
            }
            self.check_pool_is_listed(&vm.pool, format!("vms[{i}].pool"))?;
            for (j, executor) in vm.executors.iter().enumerate() {
                let field = |name| format!("vms[{i}].executors[{j}].{name}");
                validation::check_range(executor.slots.into(), 1..=10_000, field("slots"))?;
                validation::check_range(
                    executor.connections.into(),
                    1..=100_000,
                    field("connections"),
                )?;
            }
        }
        let addrs: Vec<_> = self.indexed_executor_addrs().collect();
        validation::check_unique(addrs.iter().map(|addr| addr.2), "address", |i| {
            format!("vms[{}].executors[{}].addr", addrs[i].0, addrs[i].1)
        })
    }

    fn indexed_executor_addrs(&self) -> impl Iterator<Item = (usize, usize, SocketAddr)> {
        self.vms.iter().enumerate().flat_map(|(i, vm)| {
            let executors = vm.executors.iter().enumerate();
            executors.map(move |(j, executor)| (i, j, executor.addr))
        })
    }

    fn check_pool_is_listed(&self, id: &PoolId, field: String) -> Result<()> {
        if self.pools.iter().any(|pool| pool.id == *id) {
            return Ok(());
        }
        Err(Error::invalid_field(
            field,
            format_args!("`{id}` is not listed under pools"),
        ))
    }
}
