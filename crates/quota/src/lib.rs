//! The quotas of teams: how much of a team's quota, which holds for all pools together, each pool may use.
//!
//! The load that this answers: the demand of the pools peaks in turn, and a peak begins within half a second, so that a
//! fixed split of a quota would starve the pool that peaks. The leader holds an [`Allocation`], which gives each pool a
//! limit for each team; the owner of a pool holds a [`LimitReceiver`]. The sum of what the owners may start up to does not
//! exceed a quota, whatever messages are lost, late or repeated and whoever takes over.
//!
//! The limits work like escrowed counters (O'Neil, "The escrow transactional method", 1986): what a pool holds of a quota
//! is taken back only once its owner has confirmed the lower limit.
//!
//! The crate does no I/O and reads no clock.

mod allocation;
mod amounts;
mod message;
mod receiver;
mod targets;

pub use allocation::{Allocation, RowChanges, TeamRow};
pub use message::{LimitMessage, TeamLimit, TeamUsage, UsageReply};
pub use receiver::LimitReceiver;
