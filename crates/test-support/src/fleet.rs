//! A deployment on free ports of this machine.

use std::fmt::Write as _;
use std::net::SocketAddr;

use domain::{EntryVmId, VmId};
use settings::{Deployment, EntrySettings, EntryVm};

use crate::ports::free_addrs;

/// A deployment and its entry VMs, with all addresses moved to free ports.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    /// The deployment.
    pub deployment: Deployment,
    /// The entry VMs.
    pub entry_vms: Vec<EntryVm>,
    /// The platform's address.
    pub platform: SocketAddr,
}

impl FleetSpec {
    /// The deployment and entry VMs of these documents.
    ///
    /// # Panics
    /// When a document can't be used.
    #[must_use]
    pub fn new(deployment: &str, entry: &str) -> Self {
        let mut deployment = Deployment::parse(deployment).expect("a deployment document");
        let entry = EntrySettings::parse(entry).expect("a settings file");
        let mut entry_vms = entry.entry_vms;
        let executors = deployment
            .vms
            .iter()
            .map(|vm| vm.executors.len())
            .sum::<usize>();
        let mut addrs = free_addrs(executors + 2 * entry_vms.len() + 1).into_iter();
        let mut next = || addrs.next().expect("enough addresses");
        for executor in deployment.vms.iter_mut().flat_map(|vm| &mut vm.executors) {
            executor.addr = next();
        }
        for entry_vm in &mut entry_vms {
            entry_vm.callers = next();
            entry_vm.peers = next();
        }
        let platform = next();
        Self {
            deployment,
            entry_vms,
            platform,
        }
    }

    /// The deployment document.
    ///
    /// # Panics
    /// Never: a deployment is plain data.
    #[must_use]
    pub fn deployment_yaml(&self) -> String {
        serde_norway::to_string(&self.deployment).expect("plain data")
    }

    /// The settings of one entry VM's daemon.
    #[must_use]
    pub fn entry_yaml(&self, own: &EntryVmId) -> String {
        entry_settings_yaml(own, &self.entry_vms, self.platform)
    }

    /// The callers' addresses of all daemons.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entry_vms.iter().map(|vm| vm.callers).collect()
    }

    /// All executors: address, VM, slots.
    #[must_use]
    pub fn executors(&self) -> Vec<(SocketAddr, VmId, u32)> {
        let vms = self.deployment.vms.iter();
        let executors = vms.flat_map(|vm| {
            let executors = vm.executors.iter();
            executors.map(|executor| (executor.addr, vm.id.clone(), executor.slots))
        });
        executors.collect()
    }
}

/// A daemon's settings.
///
/// # Panics
/// Never: writing to a string can't fail.
#[must_use]
pub fn entry_settings_yaml(own: &EntryVmId, entry_vms: &[EntryVm], platform: SocketAddr) -> String {
    let mut yaml = format!("entry_vm: {own}\nplatform: {{addr: \"{platform}\"}}\nentry_vms:\n");
    for vm in entry_vms {
        let EntryVm {
            id,
            zone,
            callers,
            peers,
        } = vm;
        writeln!(
            yaml,
            "  - {{id: {id}, zone: {zone}, callers: \"{callers}\", peers: \"{peers}\"}}"
        )
        .expect("writing to a string can't fail");
    }
    yaml
}
