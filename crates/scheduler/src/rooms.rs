//! The room on the workers of a pool during a round, so that a step that fits on no worker costs a few comparisons.

use std::collections::HashMap;

use slotmap::SlotMap;
use smol_str::SmolStr;
use submission::Resources;

use crate::worker::{Worker, WorkerKey};

/// What fits on a worker beside its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Room {
    pub(crate) free: Resources,
    /// The size that the worker refused lately; it fits nothing as large.
    pub(crate) refused: Option<Resources>,
}

impl Room {
    pub(crate) fn fits(&self, footprint: Resources) -> bool {
        footprint.fits(self.free) && !self.refused.is_some_and(|size| size.fits(footprint))
    }

    /// The number of tasks of this size for which there is room at most; `usize::MAX` for tasks that need nothing.
    pub(crate) fn copies(&self, footprint: Resources) -> usize {
        let amounts = [
            (self.free.cpu_milli, footprint.cpu_milli),
            (self.free.memory_mb, footprint.memory_mb),
            (self.free.gpus, footprint.gpus),
        ];
        let copies = amounts
            .into_iter()
            .filter_map(|(free, needed)| free.checked_div(needed));
        copies.min().map_or(usize::MAX, |copies| copies as usize)
    }

    /// Whether everything that fits `other` fits too.
    fn covers(&self, other: &Self) -> bool {
        let refuses_no_more = self
            .refused
            .is_none_or(|size| other.refused.is_some_and(|other| other.fits(size)));
        other.free.fits(self.free) && refuses_no_more
    }
}

/// The rooms of the usable workers with a label that no other such worker covers.
#[derive(Debug)]
struct LargestRooms {
    rooms: Vec<Room>,
    /// The number of tasks that the round had started when the rooms were determined.
    started_before: usize,
}

/// The room on the usable workers of a pool, by label. Valid for a round, in which room only shrinks.
#[derive(Debug, Default)]
pub(crate) struct Rooms {
    of_all: Option<LargestRooms>,
    by_label: HashMap<SmolStr, Option<LargestRooms>>,
    /// The workers by label; `None` while no step with a label was visited.
    workers_by_label: Option<HashMap<SmolStr, Vec<WorkerKey>>>,
    started: usize,
}

impl Rooms {
    /// Whether a task of this size may fit on a usable worker with the label. If it does not, no such worker has room. If it
    /// does, tasks that the round has started since may have taken the room; see [`Rooms::update`].
    pub(crate) fn may_fit(
        &mut self,
        workers: &SlotMap<WorkerKey, Worker>,
        label: &SmolStr,
        footprint: Resources,
        now_ms: u64,
    ) -> bool {
        if self.known(label).is_none() {
            let rooms = self.largest(workers, label, now_ms);
            let started_before = self.started;
            *self.known(label) = Some(LargestRooms {
                rooms,
                started_before,
            });
        }
        let largest = self.known(label).as_ref();
        let mut rooms = largest.into_iter().flat_map(|largest| &largest.rooms);
        rooms.any(|room| room.fits(footprint))
    }

    /// Records that tasks were started.
    pub(crate) fn record_starts(&mut self, tasks: usize) {
        self.started += tasks;
    }

    /// Drops what is known of the workers with a label if tasks were started since it was determined.
    pub(crate) fn update(&mut self, label: &SmolStr) {
        let started = self.started;
        let known = self.known(label);
        known.take_if(|largest| largest.started_before < started);
    }

    fn known(&mut self, label: &SmolStr) -> &mut Option<LargestRooms> {
        if label.is_empty() {
            &mut self.of_all
        } else {
            self.by_label.entry(label.clone()).or_default()
        }
    }

    fn largest(
        &mut self,
        workers: &SlotMap<WorkerKey, Worker>,
        label: &SmolStr,
        now_ms: u64,
    ) -> Vec<Room> {
        let may_start = |worker: &&Worker| worker.is_usable(now_ms) && worker.may_join();
        if label.is_empty() {
            return largest(workers.values().filter(may_start), now_ms);
        }
        let by_label = self.workers_by_label.get_or_insert_with(|| {
            let mut by_label: HashMap<SmolStr, Vec<WorkerKey>> = HashMap::new();
            for (key, worker) in workers {
                for label in &worker.info.labels {
                    by_label.entry(label.clone()).or_default().push(key);
                }
            }
            by_label
        });
        let labeled = by_label.get(label).into_iter().flatten();
        let labeled = labeled.filter_map(|key| workers.get(*key));
        largest(labeled.filter(may_start), now_ms)
    }
}

/// The rooms of workers that no other of the rooms covers.
fn largest<'a>(workers: impl Iterator<Item = &'a Worker>, now_ms: u64) -> Vec<Room> {
    let mut largest: Vec<Room> = Vec::new();
    for room in workers.filter_map(|worker| worker.room(now_ms)) {
        if !largest.iter().any(|other| other.covers(&room)) {
            largest.retain(|other| !room.covers(other));
            largest.push(room);
        }
    }
    largest
}
