//! Decisions about VMs: which VMs move between pools, which are drained, and which are maintained next.
//!
//! The crate does no I/O and reads no clock: callers pass the state of the fleet and the time.

mod balance;
mod command_log;
mod wave;

pub use balance::{Move, PoolState, RebalancePlan, VmState, plan_rebalance};
pub use command_log::CommandLog;
pub use wave::{MaintenanceWave, VmCommandOutcome, WaveActions, WaveVm};
