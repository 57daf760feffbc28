//! Knows which daemons are there, how recent this daemon's view of the fleet is, and whom to contact next.
//!
//! The state is driven by events that carry the time in microseconds; it holds no socket, clock or task.

mod freshness;
mod peers;

pub use freshness::{Freshness, VIEW_TTL_US, View};
pub use peers::{Digest, NoContact, PeerState, PeerStatus, Peers};
