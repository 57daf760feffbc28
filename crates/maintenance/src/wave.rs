//! A maintenance wave: every VM of a pool is drained, rebooted and returned to service once.

use std::collections::{BTreeMap, BTreeSet};

use domain::{PoolId, VmId, VmState};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::disruption_budget::{DisruptionBudget, PoolVm};

/// The result of an operator's request to change the state of a wave.
pub type Result<T> = std::result::Result<T, WaveError>;

/// Identifies a wave.
pub type WaveId = smol_str::SmolStr;

/// The state of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveState {
    /// The wave drains further VMs.
    Running,
    /// The wave drains no further VMs; VMs whose drain has started are still rebooted and returned to service.
    Paused,
    /// All VMs were rebooted and serve again.
    Done,
    /// An operator ended the wave; VMs whose drain has started are still rebooted and returned to service.
    Aborted,
}

impl std::fmt::Display for WaveState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(match self {
            Self::Running => "running",
            Self::Paused => "paused",
            Self::Done => "done",
            Self::Aborted => "aborted",
        })
    }
}

/// The error of an operator's request that the state of the wave does not allow.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("wave `{id}` is {state}"))]
pub struct WaveError {
    /// The wave's id.
    pub id: WaveId,
    /// The wave's current state.
    pub state: WaveState,
}

/// A step that the leader of the fleet shard takes for a wave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaveStep {
    /// Start to drain this VM.
    Drain(VmId),
    /// Reboot this VM, which is drained and in the stopped state.
    Reboot(VmId),
    /// Return this VM to service: the platform lists it as live after its reboot.
    Return(VmId),
}

/// A maintenance wave over the VMs of one pool, stored as the row `wave/<id>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// The wave's id.
    pub id: WaveId,
    /// The pool whose VMs are rebooted.
    pub pool: PoolId,
    /// The wave's state.
    pub state: WaveState,
    /// VMs whose drain has not started.
    pub waiting: BTreeSet<VmId>,
    /// VMs whose drain has started and that have not been told to reboot.
    #[serde(rename = "leaving")]
    pub draining: BTreeSet<VmId>,
    /// VMs told to reboot that have not returned to service, each with the boot count that the platform reports once
    /// the reboot has happened.
    pub rebooted: BTreeMap<VmId, u64>,
    /// VMs that have returned to service.
    pub done: BTreeSet<VmId>,
}

impl Wave {
    /// Creates a running wave in which all `vms` wait to be drained.
    #[must_use]
    pub fn new(id: WaveId, pool: PoolId, vms: impl IntoIterator<Item = VmId>) -> Self {
        Self {
            id,
            pool,
            state: WaveState::Running,
            waiting: vms.into_iter().collect(),
            draining: BTreeSet::new(),
            rebooted: BTreeMap::new(),
            done: BTreeSet::new(),
        }
    }

    /// The wave after an operator paused it.
    ///
    /// # Errors
    /// [`WaveError`] unless the wave is running.
    pub fn paused(&self) -> Result<Self> {
        self.transition(&[WaveState::Running], WaveState::Paused)
    }

    /// The wave after an operator resumed it.
    ///
    /// # Errors
    /// [`WaveError`] unless the wave is paused.
    pub fn resumed(&self) -> Result<Self> {
        self.transition(&[WaveState::Paused], WaveState::Running)
    }

    /// The wave after an operator aborted it. VMs whose drain has started are still rebooted and returned to service.
    ///
    /// # Errors
    /// [`WaveError`] when the wave is done or was aborted before.
    pub fn aborted(&self) -> Result<Self> {
        let from = [WaveState::Running, WaveState::Paused];
        self.transition(&from, WaveState::Aborted)
    }

    fn transition(&self, from: &[WaveState], to: WaveState) -> Result<Self> {
        if !from.contains(&self.state) {
            return WaveSnafu {
                id: self.id.clone(),
                state: self.state,
            }
            .fail();
        }
        Ok(Self {
            state: to,
            ..self.clone()
        })
    }

    /// Whether the wave still has to be advanced: it is running or paused, or has VMs that are out of service.
    #[must_use]
    pub fn is_unfinished(&self) -> bool {
        let has_vms_out = !self.draining.is_empty() || !self.rebooted.is_empty();
        has_vms_out || matches!(self.state, WaveState::Running | WaveState::Paused)
    }

    /// The steps that can be taken now, given the pool's disruption budget.
    ///
    /// Only a running wave drains further VMs; reboots and returns to service are steps in every state of the wave.
    ///
    /// At any time, the wave has VMs of only one rack out of service, as many as the budget allows. The rack with the
    /// most waiting VMs comes first, because the wave would otherwise end with the batches of that rack.
    #[must_use]
    pub fn next_steps(&self, budget: &DisruptionBudget) -> Vec<WaveStep> {
        let mut steps = Vec::new();
        for vm in budget.vms() {
            if self.draining.contains(&vm.id) && vm.state == VmState::Stopped {
                steps.push(WaveStep::Reboot(vm.id.clone()));
            }
            let boots = self.rebooted.get(&vm.id);
            if vm.is_live && boots.is_some_and(|boots| vm.boots >= *boots) {
                steps.push(WaveStep::Return(vm.id.clone()));
            }
        }
        steps.extend(self.next_drains(budget).into_iter().map(WaveStep::Drain));
        steps
    }

    fn next_drains(&self, budget: &DisruptionBudget) -> Vec<VmId> {
        if self.state != WaveState::Running {
            return Vec::new();
        }
        let is_waiting =
            |vm: &&PoolVm| vm.state == VmState::Serving && self.waiting.contains(&vm.id);
        let waiting: Vec<_> = budget.vms().iter().filter(is_waiting).collect();
        let rack_of = |vm: &PoolVm| (vm.zone.clone(), vm.rack.clone());
        let is_out =
            |vm: &&PoolVm| self.draining.contains(&vm.id) || self.rebooted.contains_key(&vm.id);
        let started_rack = budget.vms().iter().find(is_out).map(rack_of);
        let waiting_in = |rack: &_| waiting.iter().filter(|vm| rack_of(vm) == *rack).count();
        let rack_with_most_waiting = waiting.iter().map(|vm| rack_of(vm)).max_by_key(waiting_in);
        let Some(rack) = started_rack.or(rack_with_most_waiting) else {
            return Vec::new();
        };
        let batch = waiting.into_iter().filter(|vm| rack_of(vm) == rack);
        let batch = batch.take(budget.planned_allowance());
        batch.map(|vm| vm.id.clone()).collect()
    }

    /// The wave after the drain of `vm` has started.
    #[must_use]
    pub fn after_drain(&self, vm: &VmId) -> Self {
        let mut wave = self.clone();
        wave.waiting.remove(vm);
        wave.draining.insert(vm.clone());
        wave
    }

    /// The wave after `vm` was told to reboot; the reboot is complete when the platform reports `boots` starts of `vm`.
    #[must_use]
    pub fn after_reboot(&self, vm: &VmId, boots: u64) -> Self {
        let mut wave = self.clone();
        wave.draining.remove(vm);
        wave.rebooted.insert(vm.clone(), boots);
        wave
    }

    /// The wave after `vm` has returned to service; a running wave is done when `vm` was the last one.
    #[must_use]
    pub fn after_return(&self, vm: &VmId) -> Self {
        let mut wave = self.clone();
        wave.rebooted.remove(vm);
        wave.done.insert(vm.clone());
        let is_complete =
            wave.waiting.is_empty() && wave.draining.is_empty() && wave.rebooted.is_empty();
        if is_complete && wave.state == WaveState::Running {
            wave.state = WaveState::Done;
        }
        wave
    }
}
