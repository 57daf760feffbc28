//! The listings and reports that operators read.

use std::net::SocketAddr;

use domain::{
    EntryVmId, Epoch, Incarnation, PoolId, PresetId, ServiceId, Term, VmId, VmState, ZoneId,
};
use maintenance::{WaveId, WaveState};
use membership::{PeerState, View};
use serde::{Deserialize, Serialize};

/// A daemon and what it knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The daemon that answers.
    pub entry_vm: EntryVmId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Whether the balancer may send to it.
    pub is_ready: bool,
    /// What it has in force.
    pub view: View,
    /// The preset in force.
    pub preset: Option<PresetId>,
    /// How long ago its view was confirmed as the newest.
    pub view_age_ms: Option<u64>,
    /// Whether its last call to the platform succeeded.
    pub platform_reachable: bool,
    /// The steward that it knows of.
    pub steward: Option<StewardReport>,
    /// Its peers.
    pub peers: Vec<PeerReport>,
}

/// The holder of the steward's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StewardReport {
    /// The run that holds it.
    pub holder: Incarnation,
    /// Its term.
    pub term: Term,
}

/// A peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReport {
    /// The peer.
    pub entry_vm: EntryVmId,
    /// Its zone.
    pub zone: ZoneId,
    /// What is known of it.
    pub state: PeerState,
    /// What it had in force when last heard from.
    pub view: Option<View>,
}

/// A configuration that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedConfig {
    /// Its epoch.
    pub epoch: Epoch,
    /// The preset in force.
    pub preset: PresetId,
}

/// The configuration in force, with its text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Its epoch.
    pub epoch: Epoch,
    /// The preset in force.
    pub preset: PresetId,
    /// The presets that it has.
    pub presets: Vec<PresetId>,
    /// The document as it was applied.
    pub text: String,
}

/// What a daemon has in force, asked for now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceReport {
    /// The daemon.
    pub entry_vm: EntryVmId,
    /// What it has in force; `None` when it could not be reached.
    pub view: Option<View>,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service.
    pub service: ServiceId,
    /// Its pool.
    pub pool: PoolId,
    /// Its longest deadline.
    pub deadline_ms: u64,
    /// Executors that serve it.
    pub serving_executors: u32,
    /// Requests that the answering daemon has taken for it.
    pub requests: u64,
}

/// A VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmReport {
    /// The VM.
    pub vm: VmId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: String,
    /// The pool that it belongs to.
    pub pool: PoolId,
    /// Where it is in its life.
    pub state: VmState,
    /// The pool that it goes to once drained.
    pub move_to: Option<PoolId>,
    /// Requests that the answering daemon has in flight to it.
    pub in_flight: u32,
    /// Its executors.
    pub executors: Vec<SocketAddr>,
}

/// A pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolReport {
    /// The pool.
    pub pool: PoolId,
    /// Its VMs.
    pub vms: u32,
    /// Those that serve.
    pub serving: u32,
    /// The fewest that may serve.
    pub min_serving_vms: u32,
    /// How many more planned work may take out now.
    pub planned_allowance: u32,
}

/// A maintenance wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveReport {
    /// The wave.
    pub wave: WaveId,
    /// Its pool.
    pub pool: PoolId,
    /// Where it is.
    pub state: WaveState,
    /// VMs not yet taken.
    pub waiting: u32,
    /// VMs taken and not yet serving again.
    pub taken: u32,
    /// VMs that serve again.
    pub done: u32,
}
