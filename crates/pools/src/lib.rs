//! Decisions about VMs: which VMs move between pools, which are drained, which are maintained next, and to which VMs a
//! new leader may not send commands yet.
//!
//! The crate does no I/O and reads no clock: callers pass the state of the fleet and the time.

mod balance;
mod command_log;
mod leader_gap;
mod wave;

pub use balance::{Move, PoolState, RebalancePlan, VmState, plan_rebalance};
pub use command_log::{CommandLog, Leader};
pub use leader_gap::{PreviousLeader, earlier_commands_until_ms};
pub use wave::{MaintenanceWave, VmCommandOutcome, WaveActions, WaveVm};
