//! The availability budget of a pool, spent by planned and unplanned losses alike.

use std::collections::HashMap;

use domain::{RackId, VmId, VmState, ZoneId};

/// A VM of the pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerVm {
    /// The VM.
    pub id: VmId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
    /// Its state in the table.
    pub state: VmState,
    /// Whether the platform lists it as live.
    pub is_live: bool,
    /// How often the platform says that it has been started.
    pub boots: u64,
}

impl LedgerVm {
    fn serves(&self) -> bool {
        self.is_live && self.state == VmState::Serving
    }
}

/// The budget of one pool under one preset.
#[derive(Debug, Clone)]
pub struct Ledger {
    vms: Vec<LedgerVm>,
    min_serving_vms: usize,
    max_out_percent: usize,
}

impl Ledger {
    /// The budget of a pool with these VMs.
    #[must_use]
    pub fn new(vms: Vec<LedgerVm>, min_serving_vms: u32, max_out_percent: u32) -> Self {
        Self {
            vms,
            min_serving_vms: min_serving_vms as usize,
            max_out_percent: max_out_percent as usize,
        }
    }

    /// The pool's VMs.
    #[must_use]
    pub fn vms(&self) -> &[LedgerVm] {
        &self.vms
    }

    /// VMs that serve.
    #[must_use]
    pub fn serving(&self) -> usize {
        self.vms.iter().filter(|vm| vm.serves()).count()
    }

    /// The most serving VMs in one rack, which may fail at any moment.
    #[must_use]
    pub fn largest_rack(&self) -> usize {
        let mut by_rack: HashMap<_, usize> = HashMap::new();
        for vm in self.vms.iter().filter(|vm| vm.serves()) {
            *by_rack.entry((&vm.zone, &vm.rack)).or_default() += 1;
        }
        by_rack.into_values().max().unwrap_or(0)
    }

    /// How many more VMs planned work may take out now.
    ///
    /// What is left must still hold the fewest serving VMs after the loss of the largest rack, and the VMs that
    /// are out, for whatever reason, must stay within the preset's share.
    ///
    /// ```
    /// use maintenance::Ledger;
    /// assert_eq!(Ledger::new(Vec::new(), 0, 100).planned_allowance(), 0);
    /// ```
    #[must_use]
    pub fn planned_allowance(&self) -> usize {
        let serving = self.serving();
        let out = self.vms.len() - serving;
        let most_out = self.vms.len() * self.max_out_percent / 100;
        let by_share = most_out.saturating_sub(out);
        let by_failure = serving.saturating_sub(self.largest_rack() + self.min_serving_vms);
        by_share.min(by_failure)
    }
}
