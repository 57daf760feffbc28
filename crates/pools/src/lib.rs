//! Decides for VMs: which move between pools, which are emptied next, and which are maintained.
//!
//! This crate does no I/O and reads no clock.

mod balance;
mod order_log;
mod wave;

pub use balance::{BalanceSteps, Move, PoolState, VmState, plan_moves};
pub use order_log::OrderLog;
pub use wave::{OrderResult, Wave, WaveSteps, WaveVm};
