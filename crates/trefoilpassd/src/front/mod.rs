//! The side that callers see: HTTP requests in, answers out.

mod answer;
mod attempt;
mod body;
mod exchange;
mod keyed;
mod request;
mod routes;
mod server;

pub(crate) use routes::Front;
pub(crate) use server::Server;
