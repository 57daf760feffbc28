//! Decides when a VM may leave, when it may be stopped, and which VMs a maintenance wave takes next.
//!
//! The functions take what is known of the daemons and the fleet and return a decision; they do no I/O.

mod leave;
mod ledger;
mod wave;

pub use leave::{DaemonReply, LeaveRule, StopDecision};
pub use ledger::{Ledger, LedgerVm};
pub use wave::{Wave, WaveError, WaveId, WaveState, WaveStep};
