//! Decides for one pool: what waits, which worker runs what, which orders come next, and what a takeover adopts.
//!
//! This crate does no I/O and reads no clock.

mod adopt;
mod advice;
mod batch;
mod demand;
mod evacuation;
mod health;
mod looks;
mod pacing;
mod plan;
mod ready;
mod scheduler;
mod types;
mod worker;
mod workers;

pub use advice::AdviceRequest;
pub use batch::{Action, Batch, RowChange};
pub use demand::{Demand, IdleWorker};
pub use looks::{End, Look, RunningTask};
pub use scheduler::Scheduler;
pub use types::{JobAnswer, Limits, Note, Now, QueueRules, StartOutcome};
pub use worker::{HoldPlan, Unusable, WorkerInfo, WorkerKey};
