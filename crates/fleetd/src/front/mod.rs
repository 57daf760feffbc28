//! Callers' side: connections, and the calls that a queue answers.

mod calls;
mod server;

pub(crate) use calls::{answer_metrics, answer_ready, answer_request};
pub(crate) use server::{serve, serve_simple};
