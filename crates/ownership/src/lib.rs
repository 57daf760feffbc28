//! Shard ownership: which daemons are alive, which shards they own in which term, and which unowned shards a daemon
//! takes over next.
//!
//! A shard is a part of the system that one daemon at a time makes the decisions for: either a pool, or the fleet
//! (moves and maintenance of all VMs). A term is the number of an owner's tenure of a shard; each takeover of the shard
//! increases the term by 1.
//! This crate does no I/O and reads no clock.

mod assignment;
mod lease;
mod peers;

pub use assignment::{Assignment, CopyStep, Intake};
pub use lease::Lease;
pub use peers::{DaemonRow, OwnerEvidence, OwnerRow, Peers, ShardOwner};
