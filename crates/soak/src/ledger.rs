//! What callers did and saw.

use std::collections::BTreeMap;
use std::time::Instant;

use platform_stand_in::ReportedState;

/// What a job consists of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobKind {
    /// One step of brief tasks.
    Single {
        /// How many.
        tasks: u32,
    },
    /// Two steps, one after the other.
    Chain {
        /// How many tasks in each.
        tasks: [u32; 2],
    },
    /// One step of lasting tasks.
    Lasting {
        /// How many.
        tasks: u32,
    },
}

impl JobKind {
    /// How many tasks it has.
    #[must_use]
    pub fn tasks(self) -> usize {
        let tasks = match self {
            Self::Single { tasks } | Self::Lasting { tasks } => tasks,
            Self::Chain { tasks } => tasks.iter().sum(),
        };
        tasks as usize
    }
}

/// A state that a daemon showed.
#[derive(Debug, Clone, Copy)]
pub struct StateSeen {
    /// When it was asked for.
    pub asked: Instant,
    /// When the answer came.
    pub answered: Instant,
    /// The answer.
    pub shown: ReportedState,
}

/// A job, as its caller knows it.
#[derive(Debug, Clone)]
pub struct JobRecord {
    /// What it consists of.
    pub kind: JobKind,
    /// When it was accepted.
    pub accepted: Option<Instant>,
    /// Whether every attempt to hand it in was refused for certain.
    pub is_refused: bool,
    /// When the caller first asked to cancel it.
    pub cancel_asked: Option<Instant>,
    /// When that was acknowledged.
    pub cancelled: Option<Instant>,
    /// What daemons showed.
    pub seen: Vec<StateSeen>,
}

impl JobRecord {
    /// A job that nobody has handed in yet.
    #[must_use]
    pub fn new(kind: JobKind) -> Self {
        Self {
            kind,
            accepted: None,
            is_refused: true,
            cancel_asked: None,
            cancelled: None,
            seen: Vec::new(),
        }
    }
}

/// All jobs, by id.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// The jobs.
    pub jobs: BTreeMap<u64, JobRecord>,
}
