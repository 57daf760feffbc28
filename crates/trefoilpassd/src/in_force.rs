//! What is in force at this daemon: a configuration and the VM records. Both are only ever replaced by later ones.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use domain::{ConfigHead, Epoch, FleetSeq, VmId, VmRecord};
use membership::View;
use routing::Plan;
use settings::Deployment;

/// A configuration with its document.
#[derive(Debug, Clone)]
pub(crate) struct Config {
    pub(crate) head: ConfigHead,
    pub(crate) text: Arc<str>,
    pub(crate) deployment: Arc<Deployment>,
}

/// What is in force.
#[derive(Debug, Clone, Default)]
pub(crate) struct InForce {
    pub(crate) config: Option<Config>,
    pub(crate) fleet_seq: FleetSeq,
    /// Records that were changed since the document; other VMs serve in the document's pool.
    pub(crate) records: HashMap<VmId, VmRecord>,
    /// VMs that get no new work, because somebody may mark them as leaving before this time.
    holds_until_us: HashMap<VmId, u64>,
}

impl InForce {
    pub(crate) fn view(&self) -> View {
        let epoch = self
            .config
            .as_ref()
            .map_or(Epoch::default(), |config| config.head.epoch);
        View {
            epoch,
            fleet_seq: self.fleet_seq,
        }
    }

    /// Puts a configuration in force if it is a later one.
    pub(crate) fn apply_config(&mut self, config: Config) -> bool {
        if config.head.epoch <= self.view().epoch {
            return false;
        }
        self.config = Some(config);
        true
    }

    /// Puts all VM records as of `seq` in force if they are later ones.
    pub(crate) fn apply_records(
        &mut self,
        seq: FleetSeq,
        records: impl IntoIterator<Item = (VmId, VmRecord)>,
    ) -> bool {
        if seq <= self.fleet_seq {
            return false;
        }
        self.fleet_seq = seq;
        self.records = records.into_iter().collect();
        self.holds_until_us.clear();
        true
    }

    /// Puts the change `seq` in force if it is the next one.
    pub(crate) fn apply_change(&mut self, seq: FleetSeq, vm: VmId, record: VmRecord) -> bool {
        if seq != self.fleet_seq.next() {
            return false;
        }
        self.fleet_seq = seq;
        self.holds_until_us.remove(&vm);
        self.records.insert(vm, record);
        true
    }

    /// Sends nothing new to a VM until a view tells whether it was marked before `until_us`.
    pub(crate) fn hold(&mut self, vm: VmId, until_us: u64) {
        let hold_us = self.holds_until_us.entry(vm).or_default();
        *hold_us = until_us.max(*hold_us);
    }

    pub(crate) fn release_hold(&mut self, vm: &VmId) {
        self.holds_until_us.remove(vm);
    }

    /// Ends the holds of VMs that were not marked in their time, as the view confirmed for `as_of_us` shows; true
    /// when there were any. A daemon that is cut off keeps its holds, because the mark may be there.
    pub(crate) fn expire_holds(&mut self, as_of_us: u64) -> bool {
        let before = self.holds_until_us.len();
        self.holds_until_us
            .retain(|_, until_us| *until_us > as_of_us);
        before != self.holds_until_us.len()
    }

    /// The record of a VM of the document.
    pub(crate) fn record(&self, vm: &VmId) -> Option<VmRecord> {
        if let Some(record) = self.records.get(vm) {
            return Some(record.clone());
        }
        let deployment = &self.config.as_ref()?.deployment;
        deployment.vm(vm).map(|vm| VmRecord::new(vm.pool.clone()))
    }

    /// The plan for a router, shared by `daemon_count` daemons.
    pub(crate) fn plan(&self, daemon_count: u32) -> Plan {
        let Some(config) = &self.config else {
            return Plan::default();
        };
        let Some(preset) = config.deployment.preset(&config.head.preset) else {
            return Plan::default();
        };
        let held: HashSet<_> = self.holds_until_us.keys().cloned().collect();
        Plan::new(
            &config.deployment,
            preset,
            &self.records,
            &held,
            daemon_count,
        )
    }

    /// The longest deadline of any service.
    pub(crate) fn longest_request_us(&self) -> u64 {
        let services = self
            .config
            .iter()
            .flat_map(|config| &config.deployment.services);
        services
            .map(|service| service.deadline_ms * 1_000)
            .max()
            .unwrap_or(0)
    }
}
