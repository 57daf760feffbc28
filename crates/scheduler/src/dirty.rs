//! The jobs with changes that are not yet written, in the order in which they changed.

use std::collections::{HashSet, VecDeque};

use submission::JobId;

/// A queue of jobs without duplicates. First in, first out: under overload no job waits behind jobs that change again
/// and again.
#[derive(Debug, Clone, Default)]
pub(crate) struct DirtyJobs {
    /// The jobs in order, with entries of jobs that were removed.
    queue: VecDeque<JobId>,
    members: HashSet<JobId>,
    /// The number of entries that have left the queue.
    taken: u64,
}

/// A position in the queue. A later change has the same or a later position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position(u64);

impl DirtyJobs {
    /// Adds a job at the end, unless the queue has the job.
    pub(crate) fn insert(&mut self, job: JobId) {
        if self.members.insert(job) {
            self.queue.push_back(job);
        }
    }

    pub(crate) fn remove(&mut self, job: JobId) {
        self.members.remove(&job);
    }

    /// Takes the first job; `None` when the queue is empty.
    pub(crate) fn pop(&mut self) -> Option<JobId> {
        loop {
            let job = self.queue.pop_front()?;
            self.taken += 1;
            if self.members.remove(&job) {
                return Some(job);
            }
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The position after all jobs of the queue.
    pub(crate) fn end(&self) -> Position {
        Position(self.taken + self.queue.len() as u64)
    }

    /// Whether all jobs that were in the queue at `position` have been taken or removed.
    pub(crate) fn is_past(&self, position: Position) -> bool {
        self.taken >= position.0 || self.members.is_empty()
    }
}
