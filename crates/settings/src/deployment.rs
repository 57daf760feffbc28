//! The deployment document: services, pools, VMs and presets, as operators declare them.

use std::collections::HashSet;
use std::net::SocketAddr;

use domain::{PoolId, PresetId, RackId, ServiceId, TeamId, VmId, ZoneId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::check::{self, Error, Result};

/// A deployment document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// The deployment's name.
    pub deployment: String,
    /// The availability zones.
    pub zones: Vec<ZoneId>,
    /// What a tie between plans is decided by.
    pub weights: Weights,
    /// The preset that a first configuration starts with.
    pub first_preset: PresetId,
    /// The presets, of which exactly one is in force.
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

/// How much each cost of a plan counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Spare VMs held.
    pub buffer_cost: u32,
    /// Time from the start of a roll-out to its end.
    pub rollout_time: u32,
    /// VMs that change pool.
    pub vm_moves: u32,
}

/// What differs between ordinary days, peaks and maintenance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Its id.
    pub id: PresetId,
    /// The share of a pool's VMs that may be out of service at once, planned and unplanned together.
    pub max_out_percent: u32,
    /// Requests that a daemon lets wait for one service.
    pub queue_limit_requests: u32,
    /// Retries allowed, as a share of first attempts.
    pub retry_percent: u32,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its id, which is part of the callers' path.
    pub id: ServiceId,
    /// The pool whose executors run it.
    pub pool: PoolId,
    /// The deadline of a request that names none, and the longest that one may name.
    pub deadline_ms: u64,
    /// The longest body taken.
    pub max_body_bytes: u64,
    /// Who is served first when targets are scarce.
    #[serde(default)]
    pub criticality: Criticality,
    /// How targets are chosen.
    #[serde(default)]
    pub routing: RoutingPolicy,
}

/// Who is served first when targets are scarce.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Criticality {
    /// Before all others.
    Urgent,
    /// After urgent requests.
    #[default]
    Normal,
    /// After all others.
    Sheddable,
}

/// How a target is chosen among those with headroom.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// Any, with equal chances. A baseline.
    Random,
    /// One after the other. A baseline.
    RoundRobin,
    /// The one with the fewest of this daemon's own requests in flight. A baseline.
    LeastInFlight,
    /// The better of two drawn at random, by the work ahead of a new request. A baseline.
    TwoChoices,
    /// The one with the least work ahead of a new request: own requests in flight times recent latency.
    #[default]
    LeastWork,
}

/// A pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Its id.
    pub id: PoolId,
    /// The fewest VMs that may serve, in every preset.
    pub min_serving_vms: u32,
    /// Processor time of each VM that is for jobs, in thousandths of a core.
    #[serde(default)]
    pub job_cpu_milli: u32,
    /// Memory of each VM that is for jobs.
    #[serde(default)]
    pub job_memory_mb: u32,
}

/// A team that submits jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its id.
    pub id: TeamId,
    /// The processor time that its jobs may use at once, in thousandths of a core.
    pub quota_cpu_milli: u32,
}

/// A target VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Its id.
    pub id: VmId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
    /// The pool it starts in; later moves are kept in the VM's record.
    pub pool: PoolId,
    /// Its executors.
    pub executors: Vec<Executor>,
}

/// An executor on a target VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Executor {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it takes, from all daemons together.
    pub connections: u32,
}

impl Deployment {
    /// Reads and checks a document's text.
    ///
    /// # Errors
    /// [`Error`] naming the field.
    ///
    /// ```
    /// let err = settings::Deployment::parse("zones: 3").unwrap_err();
    /// assert!(err.to_string().contains("zones"));
    /// ```
    pub fn parse(text: &str) -> Result<Self> {
        let deployment: Self = check::read(text)?;
        deployment.check()?;
        Ok(deployment)
    }

    /// The document's digest: the SHA-256 of its text, in hexadecimal.
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

    /// The preset of that id.
    #[must_use]
    pub fn preset(&self, id: &PresetId) -> Option<&Preset> {
        self.presets.iter().find(|preset| preset.id == *id)
    }

    /// The VM of that id.
    #[must_use]
    pub fn vm(&self, id: &VmId) -> Option<&Vm> {
        self.vms.iter().find(|vm| vm.id == *id)
    }

    fn check(&self) -> Result<()> {
        if self.zones.is_empty() {
            return Err(Error::field(
                "zones",
                "at least one availability zone is needed",
            ));
        }
        check::unique(&self.zones, "zone", |i| format!("zones[{i}]"))?;
        self.check_presets()?;
        self.check_pools()?;
        self.check_services()?;
        let teams = self.teams.iter().map(|team| &team.id);
        check::unique(teams, "id", |i| format!("teams[{i}].id"))?;
        self.check_vms()
    }

    fn check_presets(&self) -> Result<()> {
        let ids = self.presets.iter().map(|preset| &preset.id);
        check::unique(ids, "id", |i| format!("presets[{i}].id"))?;
        if self.preset(&self.first_preset).is_none() {
            let message = format!("`{}` is not listed under presets", self.first_preset);
            return Err(Error::field("first_preset", message));
        }
        for (i, preset) in self.presets.iter().enumerate() {
            let field = |name| format!("presets[{i}].{name}");
            check::within(
                preset.max_out_percent.into(),
                0..=100,
                field("max_out_percent"),
            )?;
            check::within(preset.retry_percent.into(), 0..=100, field("retry_percent"))?;
            check::within(
                preset.queue_limit_requests.into(),
                0..=100_000,
                field("queue_limit_requests"),
            )?;
        }
        Ok(())
    }

    fn check_pools(&self) -> Result<()> {
        let ids = self.pools.iter().map(|pool| &pool.id);
        check::unique(ids, "id", |i| format!("pools[{i}].id"))?;
        for (i, pool) in self.pools.iter().enumerate() {
            let vm_count = self.vms.iter().filter(|vm| vm.pool == pool.id).count();
            check::within(
                pool.min_serving_vms.into(),
                0..=vm_count as u64,
                format_args!("pools[{i}].min_serving_vms"),
            )?;
        }
        Ok(())
    }

    fn check_services(&self) -> Result<()> {
        let ids = self.services.iter().map(|service| &service.id);
        check::unique(ids, "id", |i| format!("services[{i}].id"))?;
        for (i, service) in self.services.iter().enumerate() {
            self.check_pool(&service.pool, format!("services[{i}].pool"))?;
            check::within(
                service.deadline_ms,
                1..=600_000,
                format_args!("services[{i}].deadline_ms"),
            )?;
        }
        Ok(())
    }

    fn check_vms(&self) -> Result<()> {
        let ids = self.vms.iter().map(|vm| &vm.id);
        check::unique(ids, "id", |i| format!("vms[{i}].id"))?;
        let zones: HashSet<_> = self.zones.iter().collect();
        for (i, vm) in self.vms.iter().enumerate() {
            if !zones.contains(&vm.zone) {
                return Err(Error::field(
                    format_args!("vms[{i}].zone"),
                    format_args!("`{}` is not listed under zones", vm.zone),
                ));
            }
            self.check_pool(&vm.pool, format!("vms[{i}].pool"))?;
            for (j, executor) in vm.executors.iter().enumerate() {
                let field = |name| format!("vms[{i}].executors[{j}].{name}");
                check::within(executor.slots.into(), 1..=10_000, field("slots"))?;
                check::within(
                    executor.connections.into(),
                    1..=100_000,
                    field("connections"),
                )?;
            }
        }
        let places: Vec<_> = self.executor_places().collect();
        check::unique(places.iter().map(|place| place.2), "address", |i| {
            format!("vms[{}].executors[{}].addr", places[i].0, places[i].1)
        })
    }

    fn executor_places(&self) -> impl Iterator<Item = (usize, usize, SocketAddr)> {
        self.vms.iter().enumerate().flat_map(|(i, vm)| {
            let executors = vm.executors.iter().enumerate();
            executors.map(move |(j, executor)| (i, j, executor.addr))
        })
    }

    fn check_pool(&self, id: &PoolId, field: String) -> Result<()> {
        if self.pools.iter().any(|pool| pool.id == *id) {
            return Ok(());
        }
        Err(Error::field(
            field,
            format_args!("`{id}` is not listed under pools"),
        ))
    }
}
