//! What is known of a worker, and how long what runs there may go on.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use submission::{Resources, StepSpec, TaskKey};

use crate::health::Health;

slotmap::new_key_type! {
    /// A worker known to a scheduler.
    pub struct WorkerKey;
}

/// A worker as it registered itself. One id is one life.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerInfo {
    /// The id of this life.
    pub id: SmolStr,
    /// Where it takes orders.
    pub addr: SmolStr,
    /// Its labels.
    pub labels: Vec<SmolStr>,
    /// What it offers.
    pub capacity: Resources,
    /// Whether it is about to end.
    pub is_draining: bool,
}

impl WorkerInfo {
    /// The rack, which is the last of the labels.
    #[must_use]
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", SmolStr::as_str)
    }
}

/// Why a worker gets no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unusable {
    /// Its last order got no answer.
    Silent,
    /// It is about to end.
    Draining,
    /// It is to be empty for a move or for maintenance.
    Emptied,
    /// Its runs fail, or it refuses orders.
    Avoided,
}

/// The clock of a worker, as a sample pairs it with this daemon's.
#[derive(Debug, Clone, Copy)]
struct ClockSample {
    worker_ms: u64,
    /// When the answer that carried the sample arrived.
    at_ms: u64,
}

/// A run on a worker.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) number: u32,
    /// When an answer showed that the order has had its effect or can't have it any more. Only a look that was sent
    /// later can show that the run is gone.
    pub(crate) settled_at_ms: Option<u64>,
    pub(crate) assigned_at_ms: u64,
    pub(crate) percent: u32,
    pub(crate) percent_since_ms: u64,
    pub(crate) load: u64,
    pub(crate) pace_percent: u32,
    pub(crate) is_stopping: bool,
    pub(crate) footprint: Resources,
    pub(crate) is_lasting: bool,
}

impl Run {
    pub(crate) fn new(number: u32, step: &StepSpec, now_ms: u64) -> Self {
        Self {
            number,
            settled_at_ms: None,
            assigned_at_ms: now_ms,
            percent: 0,
            percent_since_ms: now_ms,
            load: 0,
            pace_percent: 100,
            is_stopping: false,
            footprint: step.footprint(),
            is_lasting: step.is_lasting,
        }
    }
}

/// A worker.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    pub(crate) info: WorkerInfo,
    /// Whether it is in the registry. One that is not gets no new work.
    pub(crate) is_listed: bool,
    /// Whether it has taken an order of this owner, so that it refuses those of earlier ones.
    pub(crate) is_proven: bool,
    /// Whether its last order got no answer.
    pub(crate) is_silent: bool,
    /// Until when it is given nothing, because it is to be empty.
    pub(crate) evacuated_until_ms: u64,
    /// What runs there, or may run there.
    pub(crate) runs: BTreeMap<TaskKey, Run>,
    pub(crate) used: Resources,
    /// Since when nothing runs there.
    pub(crate) idle_since_ms: u64,
    /// A size that it refused, until something ends there or the time has passed.
    pub(crate) refused: Option<(Resources, u64)>,
    pub(crate) health: Health,
    /// When the last lease that may have been granted there has surely lapsed.
    pub(crate) lapse_at_ms: u64,
    /// The last end taken in, and the last one that is recorded.
    pub(crate) seen_end: u64,
    pub(crate) recorded_end: u64,
    /// The last end that the worker was told to forget.
    pub(crate) forgotten_end: u64,
    clock: Option<ClockSample>,
}

/// What the next hold of a worker carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldPlan {
    /// The end of the lease, on the worker's clock; `None` before its clock is known.
    pub lease_until_ms: Option<u64>,
    /// The last end that is recorded.
    pub recorded_end: u64,
    /// Whether something runs there, so that waiting for an end makes sense.
    pub is_busy: bool,
    /// Whether it has to be looked at often: brief tasks run there, which end soon, or tasks that fill beside others.
    pub is_lively: bool,
}

impl Worker {
    pub(crate) fn new(info: WorkerInfo, lapse_at_ms: u64) -> Self {
        Self {
            info,
            is_listed: true,
            is_proven: false,
            is_silent: false,
            evacuated_until_ms: 0,
            runs: BTreeMap::new(),
            used: Resources::default(),
            idle_since_ms: 0,
            refused: None,
            health: Health::default(),
            lapse_at_ms,
            seen_end: 0,
            recorded_end: 0,
            forgotten_end: 0,
            clock: None,
        }
    }

    /// Whether it may be given new work.
    pub(crate) fn is_usable(&self, now_ms: u64) -> bool {
        self.is_listed && self.is_proven && self.unusable(now_ms).is_none()
    }

    /// Why a worker of this pool that has taken an order gets no new work; `None` when it gets some.
    pub(crate) fn unusable(&self, now_ms: u64) -> Option<Unusable> {
        if self.is_silent {
            Some(Unusable::Silent)
        } else if self.info.is_draining {
            Some(Unusable::Draining)
        } else if now_ms < self.evacuated_until_ms {
            Some(Unusable::Emptied)
        } else if self.health.is_avoided(now_ms) {
            Some(Unusable::Avoided)
        } else {
            None
        }
    }

    pub(crate) fn room(&self) -> Resources {
        self.info.capacity.minus(self.used)
    }

    /// Whether a task of that size may be sent, given what it refused last.
    pub(crate) fn may_fit(&self, footprint: Resources, now_ms: u64) -> bool {
        let is_refused = self
            .refused
            .is_some_and(|(size, until_ms)| now_ms < until_ms && size.fits(footprint));
        footprint.fits(self.room()) && !is_refused
    }

    pub(crate) fn insert(&mut self, task: TaskKey, run: Run) {
        self.used = self.used.plus(run.footprint);
        self.runs.insert(task, run);
    }

    pub(crate) fn remove(&mut self, task: TaskKey, now_ms: u64) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        self.idle_since_ms = now_ms;
        // Summed anew, because a saturated sum can't be taken back.
        let footprints = self.runs.values().map(|run| run.footprint);
        self.used = footprints.fold(Resources::default(), Resources::plus);
        self.refused = None;
        Some(run)
    }

    pub(crate) fn note_clock(&mut self, worker_ms: u64, at_ms: u64) {
        self.clock = Some(ClockSample { worker_ms, at_ms });
        self.is_silent = false;
    }

    /// The end of a lease of `lease_ms` that begins now, on the worker's clock, and when it has surely lapsed.
    ///
    /// The worker's clock may run slow by `slow_percent`. The sample is at the latest from the moment at which its
    /// answer arrived, so that the worker's clock is not behind it by more than that.
    pub(crate) fn grant(&mut self, lease_ms: u64, slow_percent: u64, now_ms: u64) -> Option<u64> {
        let sample = self.clock?;
        let until_ms = sample.worker_ms + now_ms.saturating_sub(sample.at_ms) + lease_ms;
        let span_ms = until_ms - sample.worker_ms;
        let lapse_at_ms = sample.at_ms + span_ms * 100 / (100 - slow_percent) + 1;
        self.lapse_at_ms = self.lapse_at_ms.max(lapse_at_ms);
        Some(until_ms)
    }
}
