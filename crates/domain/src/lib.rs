//! The shared domain types: typed ids and counters, VM records with their state transitions, configuration heads and the
//! closed list of error kinds.
//!
//! This crate does no I/O and reads no clock.

mod error_kind;
mod head;
mod ids;
mod vm;

pub use error_kind::{ErrorKind, Outcome};
pub use head::{ConfigHead, FleetHead};
pub use ids::{
    BadId, EntryVmId, Epoch, FleetSeq, Incarnation, JobId, OpId, PoolId, PresetId, RackId,
    ServiceId, TeamId, Term, VmId, ZoneId,
};
pub use vm::{VmError, VmRecord, VmState};
