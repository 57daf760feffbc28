//! The room that workers have left while a plan is made.

use std::collections::BTreeMap;

use domain::{PoolId, VmId};

use crate::job::{Class, Job, Usage};
use crate::placer::Worker;

/// What is left on one worker.
#[derive(Debug, Clone)]
pub(crate) struct Room<'a> {
    pub(crate) worker: &'a Worker,
    pub(crate) free: Usage,
    /// What jobs that were told to leave will free.
    pub(crate) freed_soon: Usage,
    /// Batch jobs that run there and were not told to leave, youngest last.
    batch: Vec<&'a Job>,
    /// Whether it is kept for an urgent job.
    pub(crate) is_reserved: bool,
}

pub(crate) fn fits(needs: Usage, room: Usage) -> bool {
    needs.cpu_milli <= room.cpu_milli && needs.memory_mb <= room.memory_mb
}

fn add(a: Usage, b: Usage) -> Usage {
    Usage {
        cpu_milli: a.cpu_milli.saturating_add(b.cpu_milli),
        memory_mb: a.memory_mb.saturating_add(b.memory_mb),
    }
}

fn subtract(a: Usage, b: Usage) -> Usage {
    Usage {
        cpu_milli: a.cpu_milli.saturating_sub(b.cpu_milli),
        memory_mb: a.memory_mb.saturating_sub(b.memory_mb),
    }
}

impl<'a> Room<'a> {
    fn new(worker: &'a Worker) -> Self {
        Self {
            worker,
            free: worker.size,
            freed_soon: Usage::default(),
            batch: Vec::new(),
            is_reserved: false,
        }
    }

    fn occupy(&mut self, job: &'a Job) {
        self.free = subtract(self.free, job.needs());
        if job.is_leaving() {
            self.freed_soon = add(self.freed_soon, job.needs());
        } else if job.spec.class == Class::Batch {
            self.batch.push(job);
        }
    }

    pub(crate) fn take(&mut self, needs: Usage) {
        self.free = subtract(self.free, needs);
    }

    /// The batch jobs that would have to leave to make room, the youngest first; `None` if even all are not enough.
    pub(crate) fn victims(&self, needs: Usage) -> Option<Vec<&'a Job>> {
        let mut room = add(self.free, self.freed_soon);
        let mut victims = Vec::new();
        for job in self.batch.iter().rev() {
            if fits(needs, room) {
                break;
            }
            room = add(room, job.needs());
            victims.push(*job);
        }
        fits(needs, room).then_some(victims)
    }
}

/// The room on all workers.
pub(crate) fn rooms<'a>(workers: &'a [Worker], jobs: &'a [Job]) -> BTreeMap<&'a VmId, Room<'a>> {
    let rooms = workers.iter().map(|worker| (&worker.vm, Room::new(worker)));
    let mut rooms: BTreeMap<_, _> = rooms.collect();
    let mut running: Vec<_> = jobs.iter().filter(|job| job.worker().is_some()).collect();
    running.sort_by_key(|job| job.submitted_at_ms);
    for job in running {
        if let Some(room) = job.worker().and_then(|vm| rooms.get_mut(vm)) {
            room.occupy(job);
        }
    }
    rooms
}

/// Whether some worker of the pool, were it empty, could run a job of that size.
pub(crate) fn fits_some(workers: &[Worker], pool: &PoolId, needs: Usage) -> bool {
    let of_pool = workers.iter().filter(|worker| worker.pool == *pool);
    of_pool.into_iter().any(|worker| fits(needs, worker.size))
}
