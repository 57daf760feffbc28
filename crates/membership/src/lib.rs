//! Liveness of the other daemons, freshness of this daemon's view of the fleet, and the choice of the next peer to
//! contact.
//!
//! The types hold state only. The caller does the network I/O, reads the clock and passes the time with each event, in
//! microseconds since a fixed start, such as that of the process.

mod freshness;
mod peers;

pub use freshness::{Freshness, VIEW_TTL_US, View};
pub use peers::{ContactFailure, Digest, PeerState, PeerStatus, Peers};
