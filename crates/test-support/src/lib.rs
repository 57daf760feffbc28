//! Stand-ins for what trefoilpass meets: the platform, the targets, bad networks and callers. Never part of a
//! shipped program.

mod cluster;
mod crowd;
mod fault_proxy;
mod fleet;
mod fleet_daemon;
mod load;
mod platform_stand_in;
mod platform_store;
mod platform_tasks;
mod ports;
mod processes;
mod target_server;
mod targets;

pub use cluster::{Cluster, PATIENCE, Shape, ZoneShape, refused};
pub use crowd::{Crowd, Holdings, HoldingsWatch, Sending};
pub use fault_proxy::{FaultProxy, ProxyFault};
pub use fleet::{FleetSpec, entry_settings_yaml};
pub use fleet_daemon::{ClientLimits, FleetDaemonSpec};
pub use load::{Load, LoadReport, Outcomes, latency_histogram};
pub use platform_stand_in::PlatformStandIn;
pub use platform_store::{Faults, PlatformStore};
pub use platform_tasks::{PlatformTasks, TaskBehaviour};
pub use ports::free_addrs;
pub use processes::{Daemon, Usage, built_program};
pub use target_server::serve_targets_admin;
pub use targets::{Run, TargetFault, TargetStats, Targets};
