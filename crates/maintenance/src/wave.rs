//! A maintenance wave: every VM of a pool is drained, rebooted and given back once.

use std::collections::{BTreeMap, BTreeSet};

use domain::{PoolId, VmId, VmState};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ledger::{Ledger, LedgerVm};

/// The result of an operator's step on a wave.
pub type Result<T> = std::result::Result<T, WaveError>;

/// Names a wave.
pub type WaveId = smol_str::SmolStr;

/// Where a wave is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveState {
    /// Takes VMs.
    Running,
    /// Takes no further VMs; those taken are finished.
    Paused,
    /// All VMs are done.
    Done,
    /// Ended by an operator; the VMs taken were finished.
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

/// A step that the wave's state does not allow.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("wave `{id}` is {state}"))]
pub struct WaveError {
    /// The wave.
    pub id: WaveId,
    /// The state it is in.
    pub state: WaveState,
}

/// What the steward does next for a wave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaveStep {
    /// Drain this VM.
    Drain(VmId),
    /// Reboot this VM, which has stopped.
    Reboot(VmId),
    /// Let this VM serve again; it has been rebooted and is live.
    Return(VmId),
}

/// The row `wave/<id>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Its id.
    pub id: WaveId,
    /// The pool that it maintains.
    pub pool: PoolId,
    /// Where it is.
    pub state: WaveState,
    /// VMs not yet taken.
    pub waiting: BTreeSet<VmId>,
    /// VMs taken and not yet rebooted.
    pub leaving: BTreeSet<VmId>,
    /// VMs rebooted and not yet serving, with the number of starts after which they are back.
    pub rebooted: BTreeMap<VmId, u64>,
    /// VMs that serve again.
    pub done: BTreeSet<VmId>,
}

impl Wave {
    /// A wave over `vms`.
    #[must_use]
    pub fn new(id: WaveId, pool: PoolId, vms: impl IntoIterator<Item = VmId>) -> Self {
        Self {
            id,
            pool,
            state: WaveState::Running,
            waiting: vms.into_iter().collect(),
            leaving: BTreeSet::new(),
            rebooted: BTreeMap::new(),
            done: BTreeSet::new(),
        }
    }

    /// The wave after an operator's pause.
    ///
    /// # Errors
    /// [`WaveError`] unless it is running.
    pub fn paused(&self) -> Result<Self> {
        self.changed(&[WaveState::Running], WaveState::Paused)
    }

    /// The wave after an operator let it go on.
    ///
    /// # Errors
    /// [`WaveError`] unless it is paused.
    pub fn resumed(&self) -> Result<Self> {
        self.changed(&[WaveState::Paused], WaveState::Running)
    }

    /// The wave after an operator ended it. VMs taken are still finished.
    ///
    /// # Errors
    /// [`WaveError`] when it has ended.
    pub fn aborted(&self) -> Result<Self> {
        let from = [WaveState::Running, WaveState::Paused];
        self.changed(&from, WaveState::Aborted)
    }

    fn changed(&self, from: &[WaveState], to: WaveState) -> Result<Self> {
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

    /// Whether something is left to do.
    #[must_use]
    pub fn is_open(&self) -> bool {
        let has_taken = !self.leaving.is_empty() || !self.rebooted.is_empty();
        has_taken || matches!(self.state, WaveState::Running | WaveState::Paused)
    }

    /// What to do now, given the pool's budget.
    ///
    /// VMs are taken from one rack at a time, as many as the budget allows; the rack with the most VMs left comes
    /// first, because it is the one that the last batch would wait for.
    #[must_use]
    pub fn next_steps(&self, ledger: &Ledger) -> Vec<WaveStep> {
        let mut steps = Vec::new();
        for vm in ledger.vms() {
            if self.leaving.contains(&vm.id) && vm.state == VmState::Stopped {
                steps.push(WaveStep::Reboot(vm.id.clone()));
            }
            let boots = self.rebooted.get(&vm.id);
            if vm.is_live && boots.is_some_and(|boots| vm.boots >= *boots) {
                steps.push(WaveStep::Return(vm.id.clone()));
            }
        }
        steps.extend(self.next_drains(ledger).into_iter().map(WaveStep::Drain));
        steps
    }

    fn next_drains(&self, ledger: &Ledger) -> Vec<VmId> {
        if self.state != WaveState::Running {
            return Vec::new();
        }
        let is_waiting =
            |vm: &&LedgerVm| vm.state == VmState::Serving && self.waiting.contains(&vm.id);
        let waiting: Vec<_> = ledger.vms().iter().filter(is_waiting).collect();
        let rack_of = |vm: &LedgerVm| (vm.zone.clone(), vm.rack.clone());
        let taken =
            |vm: &&LedgerVm| self.leaving.contains(&vm.id) || self.rebooted.contains_key(&vm.id);
        let open_rack = ledger.vms().iter().find(taken).map(rack_of);
        let left_in = |rack: &_| waiting.iter().filter(|vm| rack_of(vm) == *rack).count();
        let fullest = waiting.iter().map(|vm| rack_of(vm)).max_by_key(left_in);
        let Some(rack) = open_rack.or(fullest) else {
            return Vec::new();
        };
        let batch = waiting.into_iter().filter(|vm| rack_of(vm) == rack);
        let batch = batch.take(ledger.planned_allowance());
        batch.map(|vm| vm.id.clone()).collect()
    }

    /// The wave once a VM has begun to leave.
    #[must_use]
    pub fn after_drain(&self, vm: &VmId) -> Self {
        let mut wave = self.clone();
        wave.waiting.remove(vm);
        wave.leaving.insert(vm.clone());
        wave
    }

    /// The wave once a VM was told to reboot; it is back when it has been started `boots` times.
    #[must_use]
    pub fn after_reboot(&self, vm: &VmId, boots: u64) -> Self {
        let mut wave = self.clone();
        wave.leaving.remove(vm);
        wave.rebooted.insert(vm.clone(), boots);
        wave
    }

    /// The wave once a VM serves again.
    #[must_use]
    pub fn after_return(&self, vm: &VmId) -> Self {
        let mut wave = self.clone();
        wave.rebooted.remove(vm);
        wave.done.insert(vm.clone());
        let is_empty =
            wave.waiting.is_empty() && wave.leaving.is_empty() && wave.rebooted.is_empty();
        if is_empty && wave.state == WaveState::Running {
            wave.state = WaveState::Done;
        }
        wave
    }
}
