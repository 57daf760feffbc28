//! The worker incarnations that have ended, kept until their pools are told.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::rpc::{RoundReply, RoundRequest};

/// A worker incarnation that has ended.
struct EndedIncarnation {
    worker: SmolStr,
    /// The start of the incarnation, in ms since 1970; `None` when it is unknown.
    start_unix_ms: Option<u64>,
}

/// The worker incarnations that have ended, by pool, and the starts by which they are told from later ones.
#[derive(Default)]
pub(super) struct EndedIncarnations {
    by_pool: BTreeMap<SmolStr, Vec<EndedIncarnation>>,
    /// The starts of workers in the replies of the last round, by id, in ms since 1970.
    starts_unix_ms: BTreeMap<SmolStr, u64>,
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

    /// Records that the incarnation of a worker that the last replies named has ended.
    pub(super) fn insert(&mut self, pool: SmolStr, worker: SmolStr) {
        let start_unix_ms = self.starts_unix_ms.get(&worker).copied();
        let ended = self.by_pool.entry(pool).or_default();
        ended.push(EndedIncarnation {
            worker,
            start_unix_ms,
        });
    }

    /// Moves the ended incarnations of a pool to a request to its owner.
    pub(super) fn move_to(&mut self, pool: &SmolStr, request: &mut RoundRequest) {
        for ended in self.by_pool.remove(pool).unwrap_or_default() {
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
        });
        self.by_pool.entry(pool).or_default().extend(ended);
    }
}

#[cfg(test)]
mod tests;
