//! Which workers are known to have crashed, as the lists of VMs show it.
//!
//! Only a worker that a list showed on a VM can be known to have crashed: the VM is still in the same pool, but is down or
//! does not run the worker, and no leader sent a command to it that may have ended the worker. Whatever else ended a worker may
//! have been planned.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;
use users_platform::{ListedVm, VmPhase};

/// For how long after a command to a VM the worker there may end through the command, in ms. A worker that a list shows
/// later has outlasted the command.
const COMMAND_EFFECT_MS: u64 = 5000;

/// How long an ended worker is remembered after its end and after the last report of its owner, in ms. An owner may be suspended or
/// change before it finds that the worker does not respond.
const ENDED_KEPT_MS: u64 = 60_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    Ended {
        has_crashed: bool,
        kept_until_ms: u64,
    },
}

/// A worker that a list of VMs showed.
#[derive(Debug)]
struct Sighting {
    vm: SmolStr,
    pool: SmolStr,
    state: State,
    /// Until when a command to the VM may end the worker, in ms; 0 when there is no such command.
    commanded_until_ms: u64,
}

/// The workers that the lists of VMs showed. All times are on one clock that does not go back.
#[derive(Debug, Default)]
pub(super) struct WorkerSightings {
    by_worker: BTreeMap<SmolStr, Sighting>,
}

impl WorkerSightings {
    /// Records a command to a VM that has or may have an effect.
    pub(super) fn record_command(&mut self, vm: &str, now_ms: u64) {
        for sighting in self.by_worker.values_mut() {
            if sighting.vm == vm && sighting.state == State::Running {
                sighting.commanded_until_ms = now_ms + COMMAND_EFFECT_MS;
            }
        }
    }

    /// Records a list of VMs that was read after the commands recorded so far. `may_be_commanded` tells of a VM whether another
    /// leader may have sent a command to it lately.
    pub(super) fn record_list(
        &mut self,
        listed: &[ListedVm],
        may_be_commanded: impl Fn(&str) -> bool,
        now_ms: u64,
    ) {
        let by_vm: BTreeMap<_, _> = listed.iter().map(|vm| (&vm.vm, vm)).collect();
        for (worker, sighting) in &mut self.by_worker {
            if sighting.state == State::Running {
                if may_be_commanded(&sighting.vm) {
                    sighting.commanded_until_ms = sighting.commanded_until_ms.max(now_ms);
                }
                let vm = by_vm.get(&sighting.vm).copied();
                sighting.apply(worker, vm, now_ms);
            }
        }
        for vm in listed.iter().filter(|vm| vm.phase == VmPhase::Up) {
            let Some(worker) = &vm.worker_id else {
                continue;
            };
            let known = self.by_worker.get(worker);
            if known.is_none_or(|known| known.state != State::Running) {
                let sighting = Sighting {
                    vm: vm.vm.clone(),
                    pool: vm.pool.clone(),
                    state: State::Running,
                    commanded_until_ms: u64::from(may_be_commanded(&vm.vm)) * now_ms,
                };
                self.by_worker.insert(worker.clone(), sighting);
            }
        }
        self.by_worker.retain(|_, sighting| match sighting.state {
            State::Running => true,
            State::Ended { kept_until_ms, .. } => now_ms < kept_until_ms,
        });
    }

    /// Whether a list has shown the worker.
    pub(super) fn is_known(&self, worker: &SmolStr) -> bool {
        self.by_worker.contains_key(worker)
    }

    /// Returns which of the workers that do not respond to the owner of `pool` are known to have crashed.
    pub(super) fn crashed<'a>(
        &mut self,
        pool: &str,
        unresponsive: impl IntoIterator<Item = &'a SmolStr>,
        now_ms: u64,
    ) -> BTreeSet<SmolStr> {
        let has_crashed = |worker: &&SmolStr| {
            let sighting = self.by_worker.get_mut(*worker);
            sighting.is_some_and(|sighting| sighting.pool == pool && sighting.confirm(now_ms))
        };
        unresponsive
            .into_iter()
            .filter(has_crashed)
            .cloned()
            .collect()
    }
}

impl Sighting {
    /// Applies the entry of the worker's VM in a list; `None` when it is not listed.
    fn apply(&mut self, worker: &SmolStr, vm: Option<&ListedVm>, now_ms: u64) {
        let vm = vm.filter(|vm| vm.pool == self.pool);
        let has_crashed = match vm.map(|vm| (vm.phase, &vm.worker_id)) {
            Some((VmPhase::Up, Some(id))) if id == worker => {
                if now_ms > self.commanded_until_ms {
                    self.commanded_until_ms = 0;
                }
                return;
            }
            Some((VmPhase::Up | VmPhase::Down, _)) => self.commanded_until_ms == 0,
            Some((VmPhase::Moving | VmPhase::InMaintenance, _)) | None => false,
        };
        let kept_until_ms = now_ms + ENDED_KEPT_MS;
        self.state = State::Ended {
            has_crashed,
            kept_until_ms,
        };
    }

    /// Remembers the worker for longer as its owner still names it, and returns whether it has crashed.
    fn confirm(&mut self, now_ms: u64) -> bool {
        match &mut self.state {
            State::Running => false,
            State::Ended {
                has_crashed,
                kept_until_ms,
            } => {
                *kept_until_ms = now_ms + ENDED_KEPT_MS;
                *has_crashed
            }
        }
    }
}

#[cfg(test)]
mod tests;
