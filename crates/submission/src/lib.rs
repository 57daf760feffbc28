//! The job aggregate of the users' platform: steps, tasks, attempts, outcomes and cancellation.
//!
//! This crate does no I/O and reads no clock.

mod job;
mod queue_rules;
mod record;
mod spec;

pub use job::{
    AttemptOutcome, CrashEvidence, CrashVerdict, Job, JobState, Task, TaskKey, TaskPhase,
};
pub use queue_rules::{PolicyRules, QueueRules};
pub use record::{JobRecord, TaskRecord};
pub use spec::{
    Error, JobId, JobSpec, MAX_PAYLOAD_BYTES, MAX_STEPS, MAX_TASKS, Resources, Result, StepSpec,
};
