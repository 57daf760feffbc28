//! The scheduler of one pool: orders the ready steps, assigns tasks to workers, issues commands to workers, and adopts
//! the recorded jobs after a takeover.
//!
//! This crate does no I/O and reads no clock.

mod adopt;
mod arrivals;
mod batch;
mod classes;
mod crashes;
mod decision_timeout;
mod demand;
mod dirty;
mod draining;
mod health;
mod incarnation;
mod overload;
mod plan;
mod policy;
mod rank;
mod ready;
mod reports;
mod rooms;
mod round;
mod scheduler;
mod speed_limits;
mod stops;
mod team_steps;
mod teams;
mod types;
mod visits;
mod worker;
mod workers;

pub use batch::{Batch, RecordedEnds, RowChange, WorkerCommand};
pub use decision_timeout::DecisionTimeout;
pub use demand::{Demand, IdleWorker};
pub use draining::DRAIN_LEASE_MS;
pub use overload::OverloadRules;
pub use policy::PolicyRequest;
pub use reports::{EndedAttempt, RunningTask, WorkerReport};
pub use round::RoundSummary;
pub use scheduler::Scheduler;
pub use stops::StopStep;
pub use submission::{PolicyRules, QueueRules};
pub use teams::TeamDemand;
pub use types::{
    CountedCrash, CrashSource, CrashedTask, JobStatus, Limits, Now, SchedulerEvent, StartOutcome,
};
pub use worker::{LeaseRenewalPlan, UnavailableReason, WorkerInfo, WorkerKey};
