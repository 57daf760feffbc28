//! Settings in YAML: a daemon's own, and the deployment document that operators apply.
//!
//! Reading is strict: an unknown field, a value without its unit's type, a duplicate id or a zone that is not
//! listed is an error that names the field and, where the reader knows it, the line.

mod check;
mod deployment;
mod entry;

pub use check::{Error, Result, parse_yaml};
pub use deployment::{
    Criticality, Deployment, Executor, Pool, Preset, RoutingPolicy, Service, Team, Vm, Weights,
};
pub use entry::{EntrySettings, EntryVm, Platform, Traces};
