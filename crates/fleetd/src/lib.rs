//! The daemon on the users' platform: loops that drive the decisions of `scheduler`, `pools` and `ownership`.

mod api;
mod clock;
mod config;
mod leader;
mod members;
mod metrics;
mod node;
mod observe;
mod pool;
mod rpc;
mod run;
mod settings;

pub use run::{Error, Result, run};
pub use settings::{FleetSettings, SettingsError};
