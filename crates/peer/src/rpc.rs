//! The JSON-RPC methods.

use domain::{ConfigHead, EntryVmId, Epoch, FleetSeq, JobId, PoolId, PresetId, VmId, VmRecord};
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use maintenance::WaveId;
use membership::View;
use once::{ClaimId, ClaimRow, HolderReply};
use placement::{Job, JobSpec};
use serde::{Deserialize, Serialize};

use crate::operator::{
    AppliedConfig, ConfigDocument, InForceReport, PoolReport, ServiceReport, StatusReport,
    VmReport, WaveReport,
};
use crate::wire_digest::WireDigest;

/// All that is in force at a daemon, for one that starts without the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewContents {
    /// The configuration head.
    pub head: ConfigHead,
    /// The document, left out when the asking daemon has this epoch.
    pub text: Option<String>,
    /// The last change to the VM records.
    pub fleet_seq: FleetSeq,
    /// The VM records that differ from the document.
    pub records: Vec<(VmId, VmRecord)>,
    /// How long ago this view was confirmed as the newest.
    pub age_us: Option<u64>,
}

/// What a daemon says when it is asked to send nothing more to a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaveReply {
    /// Whether it sends nothing more.
    pub is_agreed: bool,
    /// Its requests in flight to the VM.
    pub in_flight: u32,
}

/// Methods between daemons.
#[rpc(server, client, namespace = "peer")]
pub trait PeerRpc {
    /// Exchanges digests.
    #[method(name = "x")]
    async fn exchange(&self, digest: WireDigest) -> RpcResult<WireDigest>;

    /// Gives what is in force, if it is more than `have`.
    #[method(name = "view")]
    async fn view(&self, have: View) -> RpcResult<Option<ViewContents>>;

    /// Asks to send nothing more to a VM: for `hold_ms`, or for good once `mark` is in force.
    #[method(name = "leave")]
    async fn leave(&self, vm: VmId, hold_ms: u64, mark: Option<FleetSeq>) -> RpcResult<LeaveReply>;

    /// Takes back an agreement that was not followed by a mark.
    #[method(name = "unleave")]
    async fn unleave(&self, vm: VmId) -> RpcResult<()>;

    /// Asks what became of a claim.
    #[method(name = "claim")]
    async fn claim(&self, id: ClaimId, row: ClaimRow) -> RpcResult<HolderReply>;

    /// Says that a newer view exists, so that the daemon reads it at once.
    #[method(name = "news")]
    async fn news(&self, from: EntryVmId, view: View) -> RpcResult<()>;
}

/// Methods for operators.
#[rpc(server, client, namespace = "operator")]
pub trait OperatorRpc {
    /// The daemon and its peers.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<StatusReport>;

    /// What each daemon has in force now.
    #[method(name = "in_force")]
    async fn in_force(&self) -> RpcResult<Vec<InForceReport>>;

    /// The configuration in force.
    #[method(name = "config_show")]
    async fn config_show(&self) -> RpcResult<ConfigDocument>;

    /// Puts a document in force; `after` is the epoch that it is meant to follow.
    #[method(name = "config_apply")]
    async fn config_apply(&self, text: String, after: Option<Epoch>) -> RpcResult<AppliedConfig>;

    /// Switches the preset, if `from` is in force.
    #[method(name = "preset_switch")]
    async fn preset_switch(&self, from: PresetId, to: PresetId) -> RpcResult<AppliedConfig>;

    /// The services.
    #[method(name = "services")]
    async fn services(&self) -> RpcResult<Vec<ServiceReport>>;

    /// The VMs.
    #[method(name = "vms")]
    async fn vms(&self) -> RpcResult<Vec<VmReport>>;

    /// The pools.
    #[method(name = "pools")]
    async fn pools(&self) -> RpcResult<Vec<PoolReport>>;

    /// Lets a VM leave: no new work, then stopped.
    #[method(name = "vm_drain")]
    async fn vm_drain(&self, vm: VmId) -> RpcResult<()>;

    /// Lets a stopped VM serve again.
    #[method(name = "vm_return")]
    async fn vm_return(&self, vm: VmId) -> RpcResult<()>;

    /// Drains a VM, and gives it to another pool once it has stopped.
    #[method(name = "vm_move")]
    async fn vm_move(&self, vm: VmId, to: PoolId) -> RpcResult<()>;

    /// Starts a wave over a pool's VMs.
    #[method(name = "wave_start")]
    async fn wave_start(&self, pool: PoolId) -> RpcResult<WaveId>;

    /// The waves.
    #[method(name = "waves")]
    async fn waves(&self) -> RpcResult<Vec<WaveReport>>;

    /// Pauses a wave.
    #[method(name = "wave_pause")]
    async fn wave_pause(&self, wave: WaveId) -> RpcResult<()>;

    /// Lets a paused wave go on.
    #[method(name = "wave_resume")]
    async fn wave_resume(&self, wave: WaveId) -> RpcResult<()>;

    /// Ends a wave.
    #[method(name = "wave_abort")]
    async fn wave_abort(&self, wave: WaveId) -> RpcResult<()>;

    /// Submits a job under that id.
    #[method(name = "job_submit")]
    async fn job_submit(&self, id: JobId, spec: JobSpec) -> RpcResult<()>;

    /// The jobs that have not ended, and those that ended last.
    #[method(name = "jobs")]
    async fn jobs(&self) -> RpcResult<Vec<Job>>;

    /// A job.
    #[method(name = "job_show")]
    async fn job_show(&self, id: JobId) -> RpcResult<Job>;

    /// Cancels jobs, and tells which of them had ended already or do not exist.
    #[method(name = "jobs_cancel")]
    async fn jobs_cancel(&self, ids: Vec<JobId>) -> RpcResult<Vec<JobId>>;
}
