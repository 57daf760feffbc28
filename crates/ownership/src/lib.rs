//! Who holds what: daemons that are alive, the terms they claim, and which free unit a daemon takes next.
//!
//! A unit is what one daemon at a time decides for: a pool, or the moves and the maintenance of all VMs.
//! This crate does no I/O and reads no clock.

mod lease;
mod peers;

pub use lease::Lease;
pub use peers::{Claim, DaemonRow, OwnerRow, Peers};
