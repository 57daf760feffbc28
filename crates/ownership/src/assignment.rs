//! Which pool records the new jobs of a queue.
//!
//! A job that is submitted again must reach the pool that has its rows, also after its queue was assigned to another pool, and
//! in a daemon that has never seen the earlier configuration. The store has no transactions across pools, so that a queue is
//! handed over in steps, each of which is one conditional write:
//!
//! 1. The assignment of the queue is replaced. It lists all pools that the queue was assigned to before.
//! 2. It is copied to each of these pools. A pool records a new job only on the condition that the version of its copy is the
//!    one that the submitting daemon has read, and that copy names the pool itself. So from now on these pools record no more
//!    jobs of the queue. For a copy without previous pools, the pool's owner may know the version instead of the daemon.
//! 3. It is copied to the pool that the queue is assigned to now, which records jobs of the queue from then on.
//!
//! Any daemon may execute a step, also one that another daemon has begun, and each step may take effect late. A daemon that reads
//! a copy which names the pool itself, and then finds a job in none of the previous pools, may submit the job: if another pool
//! gets the queue meanwhile, the version of the copy has changed.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Row that assigns a queue to a pool. The row of the queue itself is the authoritative one; the pools have copies.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Assignment {
    /// Epoch of the first configuration that assigned the queue to the pool, since the queue was last in another one.
    pub epoch: u64,
    /// Name of the pool.
    pub pool: SmolStr,
    /// Names of the other pools that the queue was assigned to before. They may have jobs of the queue.
    pub previous_pools: BTreeSet<SmolStr>,
}

impl Assignment {
    /// Creates the first assignment of a queue, to the pool that the configuration with the epoch `epoch` names.
    #[must_use]
    pub fn first(pool: impl Into<SmolStr>, epoch: u64) -> Self {
        Self {
            epoch,
            pool: pool.into(),
            previous_pools: BTreeSet::new(),
        }
    }

    /// Returns the assignment that replaces this one when the configuration with the epoch `epoch` names the pool `pool`;
    /// `None` when the queue is assigned to that pool already, or by a configuration that is not older.
    ///
    /// ```
    /// use ownership::Assignment;
    /// let first = Assignment::first("a", 3);
    /// assert_eq!(first.replaced_by("a", 8), None);
    /// let moved = first.replaced_by("b", 8).unwrap();
    /// assert_eq!(moved.previous_pools, ["a".into()].into());
    /// assert_eq!(moved.replaced_by("a", 3), None);
    /// ```
    #[must_use]
    pub fn replaced_by(&self, pool: &str, epoch: u64) -> Option<Self> {
        if self.pool == pool || self.epoch >= epoch {
            return None;
        }
        let mut previous_pools = self.previous_pools.clone();
        previous_pools.insert(self.pool.clone());
        previous_pools.remove(pool);
        Some(Self {
            epoch,
            pool: pool.into(),
            previous_pools,
        })
    }

    /// Decides about the copy of the assignment in the part of a pool, which has the copy `found`.
    ///
    /// ```
    /// use ownership::{Assignment, CopyStep};
    /// let first = Assignment::first("a", 3);
    /// let moved = first.replaced_by("b", 8).unwrap();
    /// assert_eq!(moved.copy_step(Some(&first)), CopyStep::Write);
    /// assert_eq!(moved.copy_step(Some(&moved)), CopyStep::Done);
    /// assert_eq!(first.copy_step(Some(&moved)), CopyStep::Outdated);
    /// ```
    #[must_use]
    pub fn copy_step(&self, found: Option<&Self>) -> CopyStep {
        match found {
            Some(found) if found.epoch > self.epoch => CopyStep::Outdated,
            Some(found) if found.epoch == self.epoch => CopyStep::Done,
            _ => CopyStep::Write,
        }
    }
}

/// What to do with the copy of an assignment in the part of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyStep {
    /// The pool has no copy, or an older one, which is replaced on the condition that it still has the version that was read.
    Write,
    /// The pool has the copy.
    Done,
    /// The queue was assigned anew meanwhile: the assignment is read again.
    Outdated,
}

/// Where a daemon continues that wants to submit a new job of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Intake<'a> {
    /// The pool records new jobs of the queue. The previous pools of the assignment may have the job.
    Open(&'a Assignment),
    /// A configuration that is not older than the daemon's assigned the queue to this other pool.
    MovedTo(&'a Assignment),
    /// The queue has to be assigned to the pool first.
    Unassigned,
}

impl<'a> Intake<'a> {
    /// Decides by the copy of the queue's assignment in the part of the pool `pool`, which the configuration with the epoch
    /// `epoch` names.
    ///
    /// ```
    /// use ownership::{Assignment, Intake};
    /// let first = Assignment::first("a", 3);
    /// let moved = first.replaced_by("b", 8).unwrap();
    /// assert!(matches!(Intake::new(Some(&first), "a", 5), Intake::Open(_)));
    /// assert_eq!(Intake::new(Some(&moved), "a", 5), Intake::MovedTo(&moved));
    /// assert_eq!(Intake::new(Some(&moved), "a", 9), Intake::Unassigned);
    /// ```
    #[must_use]
    pub fn new(copy: Option<&'a Assignment>, pool: &str, epoch: u64) -> Self {
        match copy {
            Some(copy) if copy.pool == pool => Self::Open(copy),
            Some(copy) if copy.epoch >= epoch => Self::MovedTo(copy),
            _ => Self::Unassigned,
        }
    }
}
