//! Decides when a VM may be drained, when a draining VM may be stopped, and what a maintenance wave does next.
//!
//! The functions take what is known of the daemons and the fleet and return a decision; they do no I/O.

mod disruption_budget;
mod drain;
mod wave;

pub use disruption_budget::{DisruptionBudget, PoolVm};
pub use drain::{DaemonReply, DrainRule, StopDecision};
pub use wave::{Wave, WaveError, WaveId, WaveState, WaveStep};
