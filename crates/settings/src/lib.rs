//! Settings in YAML: the settings file of the daemon `trefoilpassd`, and the deployment document that operators apply.
//!
//! Parsing is strict. An unknown field, a value of the wrong type, a value out of range, a duplicate id or address and
//! a reference to an id that is not listed are errors. Each error names the field, and the errors of the YAML parser
//! also the line, where the parser knows them.

mod deployment;
mod entry_settings;
mod validation;

pub use deployment::{
    Criticality, Deployment, Executor, Pool, Preset, RoutingPolicy, Service, Team, Vm, Weights,
};
pub use entry_settings::{EntrySettings, EntryVm, PlatformSettings, TraceExporter};
pub use validation::{Error, Result, parse_yaml};
