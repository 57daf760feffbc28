//! The worker incarnations that have ended, kept until their pools are told.

use std::collections::{BTreeMap, BTreeSet};

use pools::VmCommandOutcome;
use smol_str::SmolStr;
use users_platform::{ListedVm, VmPhase};

use crate::clock::local_ms;
use crate::leader::worker_sightings::WorkerSightings;
use crate::rpc::{RoundReply, RoundRequest};

/// A worker incarnation that has ended.
struct EndedIncarnation {
    worker: SmolStr,
    /// The start of the incarnation, in ms since 1970; `None` when it is unknown.
    start_unix_ms: Option<u64>,
    /// Whether the incarnation is known to have crashed.
    has_crashed: bool,
}

/// The worker incarnations that have ended, by pool, and the starts by which they are told from later ones.
#[derive(Default)]
pub(super) struct EndedIncarnations {
    by_pool: BTreeMap<SmolStr, Vec<EndedIncarnation>>,
    /// The starts of workers in the replies of the last round, by id, in ms since 1970.
    starts_unix_ms: BTreeMap<SmolStr, u64>,
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

    /// Records that the incarnation of a worker that the last replies named has ended through a command.
    pub(super) fn insert(&mut self, pool: SmolStr, worker: SmolStr) {
        self.push(pool, worker, false);
    }

    fn push(&mut self, pool: SmolStr, worker: SmolStr, has_crashed: bool) {
        let start_unix_ms = self.starts_unix_ms.get(&worker).copied();
        let ended = self.by_pool.entry(pool).or_default();
        ended.push(EndedIncarnation {
            worker,
            start_unix_ms,
            has_crashed,
        });
    }

    /// Records the outcome of a command to a VM.
    pub(super) fn record_command(&mut self, vm: &str, outcome: VmCommandOutcome) {
        if matches!(
            outcome,
            VmCommandOutcome::Started | VmCommandOutcome::Unknown
        ) {
            self.sightings.record_command(vm, local_ms());
        }
    }

    /// Records a list of VMs, and finds the incarnations that have ended: workers that were `unresponsive` before the list was
    /// read and that it has on no VM or on a VM that is down. `may_be_commanded` tells of a VM whether another leader may
    /// have sent a command to it lately.
    pub(super) fn record_list(
        &mut self,
        listed: &[ListedVm],
        unresponsive: BTreeMap<SmolStr, Vec<SmolStr>>,
        may_be_commanded: impl Fn(&str) -> bool,
    ) {
        let now_ms = local_ms();
        self.sightings.record_list(listed, may_be_commanded, now_ms);
        let running = listed.iter().filter(|vm| vm.phase != VmPhase::Down);
        let running: BTreeSet<_> = running.filter_map(|vm| vm.worker_id.clone()).collect();
        for (pool, workers) in unresponsive {
            let crashed = self.sightings.crashed(&pool, &workers, now_ms);
            let ended = workers.into_iter();
            let ended: Vec<_> = ended.filter(|worker| !running.contains(worker)).collect();
            if !ended.is_empty() {
                tracing::info!(pool = pool.as_str(), workers = ?ended, ?crashed, "unresponsive workers ended: they are on no listed VM, or their VM is down");
            }
            for worker in ended {
                let has_crashed = crashed.contains(&worker);
                self.push(pool.clone(), worker, has_crashed);
            }
        }
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
