//! Decides which target a request goes to, whether it waits, and when it is refused.
//!
//! The state is driven by events that carry the time in microseconds and a random source. It holds no socket,
//! clock or task, so that it runs the same in a daemon, in a test with virtual time, and in a bench.

mod health;
mod plan;
mod policy;
mod queue;
mod retry_budget;
mod router;
mod target;

pub use plan::{Plan, PlannedPool, PlannedService, PlannedTarget};
pub use policy::{
    Candidate, Choose, LeastInFlight, LeastWork, Policy, RandomChoice, RoundRobin, TwoChoices,
};
pub use queue::{PoolKey, WaitKey};
pub use retry_budget::RetryBudget;
pub use router::{Admission, PeerLoad, Request, Router, ServiceKey, TargetStatus, Verdict, Wake};
pub use target::{AttemptResult, IDLE_CONNECTIONS, Report, TargetKey};
