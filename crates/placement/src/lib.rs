//! Decides which worker runs which job, which jobs make room, and which jobs and workers are taken out.
//!
//! The functions take the jobs and workers as they are and return steps; they do no I/O. Time comes in
//! microseconds with the call.

mod job;
mod placer;
mod quarantine;
mod room;

pub use job::{Class, Job, JobError, JobSpec, JobState, ParkReason, TaskEnd, TaskName, Usage};
pub use placer::{Fleet, Placer, Refusal, Step, Team, Worker};
pub use quarantine::Quarantine;
