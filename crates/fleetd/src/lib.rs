//! The daemon on the users' platform: task loops that do the I/O for the decisions of `scheduler`, `pools` and
//! `ownership`.

mod api;
mod assignments;
mod clock;
mod config;
mod leader;
mod logging;
mod membership;
mod metrics;
mod node;
mod peer_calls;
mod pool;
mod rpc;
mod run;
mod settings;

pub use run::{Error, Result, run};
pub use settings::{FleetSettings, SettingsError};
