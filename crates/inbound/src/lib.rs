//! The inbound side of a process: listeners, their connections, and the bodies of requests, all within one bound on what the
//! process holds for its clients. [`clients::Ledger`] decides; this crate accepts, reads, closes and counts.

mod body;
mod connection;
mod metrics;
mod rpc;
mod server;
mod socket;

pub use body::{BodyBuffer, BodyError, HeldBody, Result, discard_body};
pub use connection::{Connection, Inbound};
pub use metrics::{Closures, Metrics};
pub use rpc::serve_rpc;
pub use server::{ConnectionOptions, serve};
pub use socket::listen;
