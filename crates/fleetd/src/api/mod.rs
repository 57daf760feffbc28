//! The HTTP API for callers, and the endpoints for readiness and metrics.

mod handlers;
mod server;

pub(crate) use handlers::{answer_metrics, answer_ready, handle_request};
pub(crate) use server::{serve, serve_simple};
