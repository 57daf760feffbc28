//! The worker incarnations that have ended, kept until their pools are told.
//!
//! The response to a command doesn't tell which worker the command ended: it is the same when an earlier command had ended the
//! worker, and another one runs on the VM by now. So an incarnation counts as ended only when a list of VMs that was read after the
//! command doesn't show it on its VM.

use std::collections::{BTreeMap, BTreeSet};

use pools::VmCommandOutcome;
use smol_str::SmolStr;
use users_platform::{ListedVm, VmPhase};

use crate::clock::local_ms;
use crate::leader::worker_sightings::{UnresponsiveWorker, WorkerSightings};
use crate::rpc::{RoundReply, RoundRequest};

/// A worker incarnation that has ended.
struct EndedIncarnation {
    worker: SmolStr,
    /// The start of the incarnation, in ms since 1970; `None` when it is unknown.
    start_unix_ms: Option<u64>,
    /// Whether the incarnation is known to have crashed.
    has_crashed: bool,
}

/// A worker that may end through a command to its VM.
struct CommandedWorker {
    pool: SmolStr,
    worker: SmolStr,
    /// The start of the incarnation, in ms since 1970; `None` when it is unknown.
    start_unix_ms: Option<u64>,
    /// Whether a response showed that the command, or an earlier one, has taken effect.
    is_confirmed: bool,
}

impl CommandedWorker {
    /// Whether the worker still runs on its VM, whose entry in a list is `vm`; `None` when it is not listed.
    fn is_running(&self, vm: Option<&ListedVm>) -> bool {
        vm.is_some_and(|vm| {
            vm.phase == VmPhase::Up
                && vm.pool == self.pool
                && vm.worker_id.as_ref() == Some(&self.worker)
        })
    }
}

/// What a list of VMs shows of workers after commands to their VMs. Each worker comes with its pool, and needs no drain any more.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct SettledWorkers {
    pub(super) ended: Vec<(SmolStr, SmolStr)>,
    /// Those that came after the operation of the command, so that it did not end them.
    pub(super) running: Vec<(SmolStr, SmolStr)>,
}

/// The worker incarnations that have ended, by pool, and the starts by which they are told from later ones.
#[derive(Default)]
pub(super) struct EndedIncarnations {
    by_pool: BTreeMap<SmolStr, Vec<EndedIncarnation>>,
    /// The starts of workers in the replies of the last round, by id, in ms since 1970.
    starts_unix_ms: BTreeMap<SmolStr, u64>,
    /// The workers that a list showed on VMs when a command was sent there, by VM, until a later list shows what became of them.
    commanded: BTreeMap<SmolStr, CommandedWorker>,
    sightings: WorkerSightings,
}

impl EndedIncarnations {
    /// Replaces the starts of workers by those in the replies of a round.
    pub(super) fn begin_round<'a>(&mut self, replies: impl Iterator<Item = &'a RoundReply>) {
        self.starts_unix_ms.clear();
        for reply in replies {
            self.record_starts(reply);
        }
    }

    /// Records the starts of workers in a further reply of the round.
    pub(super) fn record_starts(&mut self, reply: &RoundReply) {
        let starts = reply.starts_unix_ms.iter();
        self.starts_unix_ms
            .extend(starts.map(|(worker, start)| (worker.clone(), *start)));
    }

    fn push(
        &mut self,
        pool: SmolStr,
        worker: SmolStr,
        start_unix_ms: Option<u64>,
        has_crashed: bool,
    ) {
        let ended = self.by_pool.entry(pool).or_default();
        ended.push(EndedIncarnation {
            worker,
            start_unix_ms,
            has_crashed,
        });
    }

    /// Records the outcome of a command to a VM on which the last list shows `listed`, a worker and its pool.
    pub(super) fn record_command(
        &mut self,
        vm: &SmolStr,
        listed: Option<&(SmolStr, SmolStr)>,
        outcome: VmCommandOutcome,
    ) {
        match outcome {
            VmCommandOutcome::Started | VmCommandOutcome::Unknown => {}
            VmCommandOutcome::Busy | VmCommandOutcome::Impossible => {
                self.commanded.remove(vm);
                return;
            }
            VmCommandOutcome::WithoutEffect => return,
        }
        let is_outcome_known = outcome == VmCommandOutcome::Started;
        self.sightings
            .record_command(vm, is_outcome_known, local_ms());
        if let Some((pool, worker)) = listed {
            let commanded = CommandedWorker {
                pool: pool.clone(),
                worker: worker.clone(),
                start_unix_ms: self.starts_unix_ms.get(worker).copied(),
                is_confirmed: outcome == VmCommandOutcome::Started,
            };
            self.commanded.insert(vm.clone(), commanded);
        }
    }

    /// Finds the commanded workers that a list shows on their VMs no longer, and those that run there although the operation has
    /// taken place. Only the end by a command without a known outcome may have been a crash.
    fn settle_commanded(&mut self, listed: &[ListedVm], now_ms: u64) -> SettledWorkers {
        let by_vm: BTreeMap<_, _> = listed.iter().map(|vm| (&vm.vm, vm)).collect();
        let mut settled = SettledWorkers::default();
        for (vm, commanded) in std::mem::take(&mut self.commanded) {
            let is_running = commanded.is_running(by_vm.get(&vm).copied());
            if is_running && !commanded.is_confirmed {
                self.commanded.insert(vm, commanded);
                continue;
            }
            let CommandedWorker {
                pool,
                worker,
                is_confirmed,
                ..
            } = commanded;
            tracing::info!(
                vm = vm.as_str(),
                pool = pool.as_str(),
                worker = worker.as_str(),
                start_unix_ms = commanded.start_unix_ms,
                is_confirmed,
                is_running,
                "a list of VMs shows what became of a worker after a command"
            );
            if is_running {
                settled.running.push((pool, worker));
                continue;
            }
            let listed_before = UnresponsiveWorker {
                id: worker.clone(),
                ran_at_ms: None,
            };
            let crashed = self.sightings.crashed(&pool, [&listed_before], now_ms);
            let has_crashed = !is_confirmed && crashed.contains(&worker);
            let start_unix_ms = self.starts_unix_ms.get(&worker).copied();
            let start_unix_ms = start_unix_ms.or(commanded.start_unix_ms);
            self.push(pool.clone(), worker.clone(), start_unix_ms, has_crashed);
            settled.ended.push((pool, worker));
        }
        settled
    }

    /// Records a list of VMs, and finds the incarnations that have ended: workers that were `unresponsive` before the list was
    /// read and that it has on no VM or on a VM that is down, and workers on VMs to which commands were sent before. Returns the
    /// latter, and those that the commands did not end. `may_be_commanded` tells of a VM whether another leader may
    /// have sent a command to it lately.
    pub(super) fn record_list(
        &mut self,
        listed: &[ListedVm],
        unresponsive: BTreeMap<SmolStr, Vec<UnresponsiveWorker>>,
        may_be_commanded: impl Fn(&str) -> bool,
    ) -> SettledWorkers {
        let now_ms = local_ms();
        self.sightings.record_list(listed, may_be_commanded, now_ms);
        let settled = self.settle_commanded(listed, now_ms);
        let running = listed.iter().filter(|vm| vm.phase != VmPhase::Down);
        let running: BTreeSet<_> = running.filter_map(|vm| vm.worker_id.clone()).collect();
        for (pool, workers) in unresponsive {
            let mut ended = workers;
            ended.retain(|worker| !running.contains(&worker.id));
            let never_listed = ended.iter().map(|worker| worker.id.clone());
            let never_listed: Vec<_> = never_listed
                .filter(|worker| !self.sightings.is_known(worker))
                .collect();
            let crashed = self.sightings.crashed(&pool, &ended, now_ms);
            let ended: Vec<_> = ended.into_iter().map(|worker| worker.id).collect();
            if !ended.is_empty() {
                tracing::info!(pool = pool.as_str(), workers = ?ended, ?crashed, ?never_listed, "unresponsive workers ended: they are on no listed VM, or their VM is down");
            }
            for worker in ended {
                let has_crashed = crashed.contains(&worker);
                let start_unix_ms = self.starts_unix_ms.get(&worker).copied();
                self.push(pool.clone(), worker, start_unix_ms, has_crashed);
            }
        }
        settled
    }

    /// Moves the ended incarnations of a pool to a request to its owner.
    pub(super) fn move_to(&mut self, pool: &SmolStr, request: &mut RoundRequest) {
        for ended in self.by_pool.remove(pool).unwrap_or_default() {
            let crashed = request.crashed_incarnations.get_or_insert_default();
            if ended.has_crashed {
                crashed.push(ended.worker.clone());
            }
            if let Some(start_unix_ms) = ended.start_unix_ms {
                let starts = &mut request.ended_starts_unix_ms;
                starts.insert(ended.worker.clone(), start_unix_ms);
            }
            request.ended_incarnations.push(ended.worker);
        }
    }

    /// Takes the ended incarnations back from a request that got no reply.
    pub(super) fn take_back(&mut self, pool: SmolStr, request: &RoundRequest) {
        let workers = request.ended_incarnations.iter();
        let ended = workers.map(|worker| EndedIncarnation {
            worker: worker.clone(),
            start_unix_ms: request.ended_starts_unix_ms.get(worker).copied(),
            has_crashed: request
                .crashed_incarnations
                .as_ref()
                .is_some_and(|crashed| crashed.contains(worker)),
        });
        self.by_pool.entry(pool).or_default().extend(ended);
    }
}

#[cfg(test)]
mod tests;
