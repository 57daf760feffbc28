//! Decides what a process holds for its clients: which connections stay open, and how much memory their requests may take. Does no
//! I/O; time comes with each call.

mod ledger;
mod limits;

pub use ledger::{ConnectionKey, Ledger, Opening, Reservation};
pub use limits::{
    CONNECTION_BYTES, Error, INCLUDED_BODY_BYTES, Limits, Listener, MAX_PROBE_CONNECTIONS, Result,
};
