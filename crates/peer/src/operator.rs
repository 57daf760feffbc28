//! The listings and reports that operators read.

use std::net::SocketAddr;

use domain::{
    EntryVmId, Epoch, Incarnation, PoolId, PresetId, ServiceId, Term, VmId, VmState, ZoneId,
};
use maintenance::{WaveId, WaveState};
use membership::{PeerState, View};
use serde::{Deserialize, Serialize};

/// The status of a daemon, and its view of its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The entry VM of the daemon.
    pub entry_vm: EntryVmId,
    /// The availability zone of the daemon.
    pub zone: ZoneId,
    /// The incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Whether the daemon reports to the load balancer that it is ready.
    pub is_ready: bool,
    /// The view that is active at the daemon.
    pub view: View,
    /// The active preset; `None` without a configuration.
    pub preset: Option<PresetId>,
    /// How long ago the view was confirmed as the newest, in ms; `None` when it never was.
    pub view_age_ms: Option<u64>,
    /// Whether the daemon's last call to the platform succeeded.
    pub platform_reachable: bool,
    /// The leader, as far as the daemon knows.
    #[serde(rename = "steward")]
    pub leader: Option<LeaderReport>,
    /// The other daemons, as far as the daemon knows.
    pub peers: Vec<PeerReport>,
}

/// The leader, as its lease row shows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderReport {
    /// The incarnation of the leader.
    #[serde(rename = "holder")]
    pub incarnation: Incarnation,
    /// The term of the leader.
    pub term: Term,
}

/// A peer of the daemon that responds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReport {
    /// The entry VM of the peer.
    pub entry_vm: EntryVmId,
    /// The availability zone of the peer.
    pub zone: ZoneId,
    /// The state of the peer, as far as the daemon knows.
    pub state: PeerState,
    /// The view in the peer's last digest; `None` when no digest has arrived.
    pub view: Option<View>,
}

/// The result of applying a configuration or of a switch of the preset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedConfig {
    /// The epoch of the configuration.
    pub epoch: Epoch,
    /// The active preset.
    pub preset: PresetId,
}

/// The active configuration, with its text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// The epoch of the configuration.
    pub epoch: Epoch,
    /// The active preset.
    pub preset: PresetId,
    /// All presets of the configuration.
    pub presets: Vec<PresetId>,
    /// The document as the operator applied it.
    pub text: String,
}

/// The view that is active at a daemon at the time of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveViewReport {
    /// The entry VM of the daemon.
    pub entry_vm: EntryVmId,
    /// The active view; `None` when the daemon could not be reached.
    pub view: Option<View>,
}

/// A service of the active configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The name of the service.
    pub service: ServiceId,
    /// The pool that runs the service.
    pub pool: PoolId,
    /// The longest deadline of the service's routes, in ms.
    pub deadline_ms: u64,
    /// The number of executors that serve the service.
    pub serving_executors: u32,
    /// The number of requests for the service that the responding daemon has accepted since its start.
    pub requests: u64,
}

/// A VM and its executors.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmReport {
    /// The name of the VM.
    pub vm: VmId,
    /// The availability zone of the VM.
    pub zone: ZoneId,
    /// The rack of the VM.
    pub rack: String,
    /// The pool of the VM.
    pub pool: PoolId,
    /// The state of the VM.
    pub state: VmState,
    /// The pool to which the VM is moved once it is drained; `None` when no move was requested.
    pub move_to: Option<PoolId>,
    /// The number of requests that the responding daemon has in flight to the VM.
    pub in_flight: u32,
    /// The addresses of the executors on the VM.
    pub executors: Vec<SocketAddr>,
}

/// A pool and its disruption budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolReport {
    /// The name of the pool.
    pub pool: PoolId,
    /// The number of VMs of the pool.
    pub vms: u32,
    /// The number of VMs that serve.
    pub serving: u32,
    /// The smallest number of VMs that have to serve.
    pub min_serving_vms: u32,
    /// The number of further VMs that planned work may take out of service now.
    pub planned_allowance: u32,
}

/// A maintenance wave and its progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveReport {
    /// The id of the wave.
    pub wave: WaveId,
    /// The pool whose VMs are maintained.
    pub pool: PoolId,
    /// The state of the wave.
    pub state: WaveState,
    /// The number of VMs whose maintenance has not begun.
    pub waiting: u32,
    /// The number of VMs that are being drained, maintained or returned to service.
    pub taken: u32,
    /// The number of VMs that serve again after their maintenance.
    pub done: u32,
}
