//! The disruption budget of a pool: how many of its VMs may be out of service, whether planned or not.

use std::collections::HashMap;

use domain::{RackId, VmId, VmState, ZoneId};

/// A VM of the pool, as seen by the disruption budget.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolVm {
    /// The VM's id.
    pub id: VmId,
    /// The zone that the VM is in.
    pub zone: ZoneId,
    /// The rack that the VM is in. Rack ids are unique only within a zone.
    pub rack: RackId,
    /// The VM's state in the table of VMs.
    pub state: VmState,
    /// Whether the platform lists the VM as live.
    pub is_live: bool,
    /// Number of times that the VM has been started, as reported by the platform.
    pub boots: u64,
}

impl PoolVm {
    fn is_serving(&self) -> bool {
        self.is_live && self.state == VmState::Serving
    }
}

/// The disruption budget of one pool under one preset.
#[derive(Debug, Clone)]
pub struct DisruptionBudget {
    vms: Vec<PoolVm>,
    min_serving_vms: usize,
    max_out_percent: usize,
}

impl DisruptionBudget {
    /// Creates the disruption budget of a pool that consists of `vms`.
    ///
    /// `min_serving_vms` is the number of VMs that must keep serving after the loss of the rack with the most serving
    /// VMs. `max_out_percent`, from the preset, is the highest share of the pool's VMs that may be out of service at a
    /// time.
    #[must_use]
    pub fn new(vms: Vec<PoolVm>, min_serving_vms: u32, max_out_percent: u32) -> Self {
        Self {
            vms,
            min_serving_vms: min_serving_vms as usize,
            max_out_percent: max_out_percent as usize,
        }
    }

    /// All VMs of the pool, in the order in which they were given to [`DisruptionBudget::new`].
    #[must_use]
    pub fn vms(&self) -> &[PoolVm] {
        &self.vms
    }

    /// Number of VMs that are in the serving state and live.
    #[must_use]
    pub fn serving_count(&self) -> usize {
        self.vms.iter().filter(|vm| vm.is_serving()).count()
    }

    /// Number of serving VMs in the rack that has the most of them; 0 when no VM serves.
    ///
    /// A rack may fail as a whole at any moment, so the budget reserves that many VMs for an unplanned loss.
    #[must_use]
    pub fn max_serving_in_rack(&self) -> usize {
        let mut by_rack: HashMap<_, usize> = HashMap::new();
        for vm in self.vms.iter().filter(|vm| vm.is_serving()) {
            *by_rack.entry((&vm.zone, &vm.rack)).or_default() += 1;
        }
        by_rack.into_values().max().unwrap_or(0)
    }

    /// How many more VMs planned maintenance may take out of service now.
    ///
    /// `min_serving_vms` VMs must keep serving even after the loss of the rack with the most serving VMs, and the VMs
    /// that are out of service for any reason must stay within `max_out_percent` of the pool, rounded down. 0 when one
    /// of these limits is reached or exceeded already.
    ///
    /// ```
    /// use maintenance::DisruptionBudget;
    /// assert_eq!(DisruptionBudget::new(Vec::new(), 0, 100).planned_allowance(), 0);
    /// ```
    #[must_use]
    pub fn planned_allowance(&self) -> usize {
        let serving = self.serving_count();
        let out = self.vms.len() - serving;
        let max_out = self.vms.len() * self.max_out_percent / 100;
        let by_share = max_out.saturating_sub(out);
        let by_rack_loss =
            serving.saturating_sub(self.max_serving_in_rack() + self.min_serving_vms);
        by_share.min(by_rack_loss)
    }
}
