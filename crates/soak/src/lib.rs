//! A randomized fault soak: real daemons as processes of their own, faults from outside them, and promises checked from
//! what callers, workers and VMs see.
//!
//! A seed decides all faults and all calls. Connections pass loopback proxies that delay, cut, silence and freeze them
//! one way; processes are killed, paused, ended in order and started again by signals, the leader more often than the
//! others; the store refuses, or loses answers; workers end and come back as new lives.

mod callers;
mod checks;
mod leaders;
mod ledger;
mod outages;
mod plan;
mod play;
mod stage;
mod standstill;
mod trace;

pub use checks::{allowed_failures, findings};
pub use leaders::leader_findings;
pub use ledger::{JobKind, JobRecord, Ledger, StateSeen};
pub use plan::{Fault, Planned, Scale, Subject, plan};
pub use play::{Report, play};
pub use standstill::standing_jobs;
