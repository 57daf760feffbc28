//! Which workers the pools drain for commands to their VMs, and when a list of VMs ends that.

use std::collections::BTreeSet;

use smol_str::SmolStr;
use users_platform::ListedVm;

use crate::leader::Leader;
use crate::leader::ended_incarnations::SettledWorkers;

impl Leader {
    /// Sets the VMs that pools are to drain, and cancels the drain of workers on other VMs.
    pub(super) fn set_draining(&mut self, listed: &[ListedVm], to_drain: &BTreeSet<SmolStr>) {
        let previous = std::mem::take(&mut self.draining);
        for vm in listed.iter().filter(|vm| to_drain.contains(&vm.vm)) {
            if let Some(worker) = &vm.worker_id {
                let workers = self.draining.entry(vm.pool.clone()).or_default();
                workers.insert(worker.clone());
            }
        }
        for (pool, workers) in previous {
            let now = self.draining.get(&pool);
            let dropped = workers
                .into_iter()
                .filter(|worker| now.is_none_or(|now| !now.contains(worker)));
            // Workers on VMs whose maintenance is in progress stay drained. Once the outcome of the command is known,
            // the pool is told that the incarnation has ended or that the drain is cancelled.
            let cancelled = dropped.filter(|worker| {
                let vm = listed
                    .iter()
                    .find(|vm| vm.worker_id.as_ref() == Some(worker));
                !vm.is_some_and(|vm| self.waves.is_in_progress(&vm.vm))
            });
            let cancelled: Vec<_> = cancelled.collect();
            if !cancelled.is_empty() {
                self.cancelled_drains
                    .entry(pool)
                    .or_default()
                    .extend(cancelled);
            }
        }
    }

    /// Ends the drains of workers whose VMs need no further command.
    pub(super) fn end_drains(&mut self, settled: SettledWorkers) {
        for (pool, worker) in settled.ended.iter().chain(&settled.running) {
            if let Some(draining) = self.draining.get_mut(pool) {
                draining.remove(worker);
            }
        }
        for (pool, worker) in settled.running {
            self.cancelled_drains.entry(pool).or_default().push(worker);
        }
    }

    /// Stops repeating the moves that a list shows to have taken effect. Workers that came with them are drained for as long as the
    /// moves are repeated, and while the VM control is slow, a response may never come in time.
    pub(super) fn confirm_moves(&mut self, listed: &[ListedVm]) {
        for vm in listed {
            let target = self.unconfirmed_moves.get(&vm.vm);
            if target.is_some_and(|target| *target == vm.pool) {
                self.unconfirmed_moves.remove(&vm.vm);
                self.reclaiming.remove(&vm.vm);
                tracing::info!(
                    vm = vm.vm.as_str(),
                    pool = vm.pool.as_str(),
                    "a list of VMs shows that a move without a response has taken effect"
                );
            }
        }
    }
}
