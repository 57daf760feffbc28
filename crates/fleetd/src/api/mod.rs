//! The HTTP API for callers, and the endpoints for readiness and metrics.

mod handlers;
mod request_record;
mod response;
mod server;
mod shorten;
mod submit;

pub(crate) use handlers::{handle_metrics, handle_readiness, handle_request};
pub(crate) use server::{KERNEL_BUFFER_BYTES, never_stopped, serve_callers, serve_endpoint};
