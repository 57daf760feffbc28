//! Which workers are known to have crashed, as the lists of VMs show it.
//!
//! A worker that a list showed on a VM has crashed if the VM is still in the same pool, but is down or does not run the worker, and no
//! leader sent a command to it that may have ended the worker.
//!
//! A worker may also come and end between two lists, as one under a task that crashes it within milliseconds of its start. Its VM is
//! unknown then. It has crashed if its pool has a VM that it may have run on, and no leader sent a command since to a VM of the
//! pool that may have ended a worker that no list shows.
//!
//! Whatever else ended a worker may have been planned.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;
use users_platform::{ListedVm, VmPhase};

/// For how long after a command to a VM the worker there may end through the command, in ms. A worker that a list shows
/// later has outlasted the command.
const COMMAND_EFFECT_MS: u64 = 5000;

/// How long an ended worker is remembered after its end and after the last report of its owner, in ms. An owner may be suspended or
/// change before it finds that the worker does not respond.
const ENDED_KEPT_MS: u64 = 60_000;

/// A worker that does not respond to the owner of its pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct UnresponsiveWorker {
    pub(super) id: SmolStr,
    /// A time at which the worker had not ended, in ms; `None` when none is known.
    pub(super) ran_at_ms: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    Ended {
        has_crashed: bool,
        at_ms: u64,
        kept_until_ms: u64,
    },
}

impl State {
    fn ended(has_crashed: bool, now_ms: u64) -> Self {
        Self::Ended {
            has_crashed,
            at_ms: now_ms,
            kept_until_ms: now_ms + ENDED_KEPT_MS,
        }
    }
}

/// A worker that a list of VMs showed, or that has ended without that.
#[derive(Debug)]
struct Sighting {
    /// The name of the VM; empty when no list showed the worker.
    vm: SmolStr,
    pool: SmolStr,
    state: State,
    /// Until when a command to the VM may end the worker, in ms; 0 when there is no such command.
    commanded_until_ms: u64,
}

/// What the lists of VMs show of a pool.
#[derive(Debug, Default)]
struct PoolSighting {
    /// Whether the last list has a VM of the pool without a worker that runs.
    has_vacant_vm: bool,
    /// When a list first showed the newest worker of the pool, in ms; 0 before.
    newest_worker_at_ms: u64,
    /// Until when a command may have ended a worker of the pool that no list showed, in ms; 0 when there is no such command.
    commanded_until_ms: u64,
}

/// The workers that the lists of VMs showed. All times are on one clock that does not go back.
#[derive(Debug, Default)]
pub(super) struct WorkerSightings {
    by_worker: BTreeMap<SmolStr, Sighting>,
    pools: BTreeMap<SmolStr, PoolSighting>,
    /// The pool of each VM in the last list.
    vm_pools: BTreeMap<SmolStr, SmolStr>,
    /// When the first list was recorded, in ms; `None` before.
    since_ms: Option<u64>,
    /// When another leader may last have sent a command to a listed VM, in ms; 0 when that is not known to be so.
    other_leader_until_ms: u64,
}

impl WorkerSightings {
    /// Records a command to a VM that has an effect, or may have one until later if its outcome is unknown.
    pub(super) fn record_command(&mut self, vm: &str, is_outcome_known: bool, now_ms: u64) {
        let mut has_listed_worker = false;
        for sighting in self.by_worker.values_mut() {
            if sighting.vm == vm && sighting.state == State::Running {
                sighting.commanded_until_ms = now_ms + COMMAND_EFFECT_MS;
                has_listed_worker = true;
            }
        }
        let until_ms = match (is_outcome_known, has_listed_worker) {
            // The command has ended the listed worker, and no other one.
            (true, true) => return,
            (true, false) => now_ms,
            (false, _) => now_ms + COMMAND_EFFECT_MS,
        };
        if let Some(pool) = self.vm_pools.get(vm) {
            let commanded_until_ms = &mut self
                .pools
                .entry(pool.clone())
                .or_default()
                .commanded_until_ms;
            *commanded_until_ms = until_ms.max(*commanded_until_ms);
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
        self.record_pools(listed, now_ms);
        if listed.iter().any(|vm| may_be_commanded(&vm.vm)) {
            self.other_leader_until_ms = now_ms;
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
                let pool = self.pools.entry(vm.pool.clone()).or_default();
                pool.newest_worker_at_ms = now_ms;
            }
        }
        self.by_worker.retain(|_, sighting| match sighting.state {
            State::Running => true,
            State::Ended { kept_until_ms, .. } => now_ms < kept_until_ms,
        });
    }

    fn record_pools(&mut self, listed: &[ListedVm], now_ms: u64) {
        self.since_ms.get_or_insert(now_ms);
        self.vm_pools.clear();
        for pool in self.pools.values_mut() {
            pool.has_vacant_vm = false;
        }
        for vm in listed {
            self.vm_pools.insert(vm.vm.clone(), vm.pool.clone());
            let is_vacant = match vm.phase {
                VmPhase::Up => vm.worker_id.is_none(),
                VmPhase::Down => true,
                VmPhase::Moving | VmPhase::InMaintenance => false,
            };
            if is_vacant {
                self.pools.entry(vm.pool.clone()).or_default().has_vacant_vm = true;
            }
        }
    }

    /// Whether a list has shown a worker with this id, or one is known to have ended without that.
    pub(super) fn is_known(&self, worker: &SmolStr) -> bool {
        self.by_worker.contains_key(worker)
    }

    /// Returns which of the workers that do not respond to the owner of `pool`, and that the last list does not show, are known to
    /// have crashed.
    pub(super) fn crashed<'a>(
        &mut self,
        pool: &SmolStr,
        unresponsive: impl IntoIterator<Item = &'a UnresponsiveWorker>,
        now_ms: u64,
    ) -> BTreeSet<SmolStr> {
        let mut crashed = BTreeSet::new();
        for UnresponsiveWorker { id, ran_at_ms } in unresponsive {
            if let Some(ran_at_ms) = ran_at_ms.filter(|ran_at_ms| self.is_unlisted(id, *ran_at_ms))
            {
                let has_crashed = self.has_crashed_unlisted(pool, ran_at_ms);
                let sighting = Sighting {
                    vm: SmolStr::default(),
                    pool: pool.clone(),
                    state: State::ended(has_crashed, now_ms),
                    commanded_until_ms: 0,
                };
                self.by_worker.insert(id.clone(), sighting);
            }
            let sighting = self.by_worker.get_mut(id);
            if sighting.is_some_and(|sighting| sighting.pool == *pool && sighting.confirm(now_ms)) {
                crashed.insert(id.clone());
            }
        }
        crashed
    }

    /// Whether no list showed the incarnation of a worker that ran at `ran_at_ms`. A list may have shown an earlier one with its id.
    fn is_unlisted(&self, worker: &SmolStr, ran_at_ms: u64) -> bool {
        let sighting = self.by_worker.get(worker);
        sighting.is_none_or(|sighting| match sighting.state {
            State::Running => false,
            State::Ended { at_ms, .. } => at_ms < ran_at_ms,
        })
    }

    /// Whether a worker of a pool that ran at `ran_at_ms`, and that no list showed, has crashed.
    fn has_crashed_unlisted(&self, pool: &str, ran_at_ms: u64) -> bool {
        let Some(pool) = self.pools.get(pool) else {
            return false;
        };
        let has_vm = pool.has_vacant_vm || pool.newest_worker_at_ms > ran_at_ms;
        let commanded_until_ms = pool.commanded_until_ms.max(self.other_leader_until_ms);
        // Commands from before the first list are unknown.
        let is_after_first_list = self.since_ms.is_some_and(|since_ms| since_ms <= ran_at_ms);
        has_vm && is_after_first_list && commanded_until_ms < ran_at_ms
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
        self.state = State::ended(has_crashed, now_ms);
    }

    /// Remembers the worker for longer as its owner still names it, and returns whether it has crashed.
    fn confirm(&mut self, now_ms: u64) -> bool {
        match &mut self.state {
            State::Running => false,
            State::Ended {
                has_crashed,
                kept_until_ms,
                ..
            } => {
                *kept_until_ms = now_ms + ENDED_KEPT_MS;
                *has_crashed
            }
        }
    }
}

#[cfg(test)]
mod tests;
