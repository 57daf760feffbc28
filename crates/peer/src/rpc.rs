//! The JSON-RPC methods between daemons and for operators.

use domain::{ConfigHead, EntryVmId, Epoch, FleetSeq, JobId, PoolId, PresetId, VmId, VmRecord};
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use maintenance::WaveId;
use membership::View;
use once::{ClaimId, ClaimRow, HolderReply};
use placement::{Job, JobSpec};
use serde::{Deserialize, Serialize};

use crate::operator::{
    ActiveViewReport, AppliedConfig, ConfigDocument, PoolReport, ServiceReport, StatusReport,
    VmReport, WaveReport,
};
use crate::wire_digest::WireDigest;

/// The contents of a daemon's active view, for a daemon that starts while the platform can't be reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewContents {
    /// The head of the active configuration.
    pub head: ConfigHead,
    /// The text of the configuration; `None` when the calling daemon has this epoch.
    pub text: Option<String>,
    /// The change number of the last change to the VM records.
    pub fleet_seq: FleetSeq,
    /// The VM records that differ from the configuration.
    pub records: Vec<(VmId, VmRecord)>,
    /// How long ago the view was confirmed as the newest, in us; `None` when it never was.
    pub age_us: Option<u64>,
}

/// The response of a daemon that was asked to stop sending requests to a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaveReply {
    /// Whether the daemon sends no more requests to the VM.
    pub is_agreed: bool,
    /// The number of the daemon's requests in flight to the VM.
    pub in_flight: u32,
}

/// The methods between daemons.
#[rpc(server, client, namespace = "peer")]
pub trait PeerRpc {
    /// Exchanges digests: returns the digest of the called daemon.
    #[method(name = "x")]
    async fn exchange(&self, digest: WireDigest) -> RpcResult<WireDigest>;

    /// Returns the contents of the active view if it is newer than `have`, else `None`.
    #[method(name = "view")]
    async fn view(&self, have: View) -> RpcResult<Option<ViewContents>>;

    /// Asks the daemon to stop sending requests to a VM: for `hold_ms` ms, or permanently once the view with the change
    /// number `mark` is active.
    #[method(name = "leave")]
    async fn leave(&self, vm: VmId, hold_ms: u64, mark: Option<FleetSeq>) -> RpcResult<LeaveReply>;

    /// Cancels an agreement to stop sending requests to a VM, when no change of the VM's record followed.
    #[method(name = "unleave")]
    async fn unleave(&self, vm: VmId) -> RpcResult<()>;

    /// Returns the outcome of a request with an idempotency key, as the daemon that executed the request knows it.
    #[method(name = "claim")]
    async fn claim(&self, id: ClaimId, row: ClaimRow) -> RpcResult<HolderReply>;

    /// Announces that a newer view exists, so that the daemon reads it at once.
    #[method(name = "news")]
    async fn news(&self, from: EntryVmId, view: View) -> RpcResult<()>;
}

/// The methods for operators. Failed calls carry the code and the message of an [`OperatorError`](crate::OperatorError).
#[rpc(server, client, namespace = "operator")]
pub trait OperatorRpc {
    /// Returns the status of the called daemon and its peers.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<StatusReport>;

    /// Returns the view that is active at each daemon.
    #[method(name = "in_force")]
    async fn in_force(&self) -> RpcResult<Vec<ActiveViewReport>>;

    /// Returns the active configuration.
    #[method(name = "config_show")]
    async fn config_show(&self) -> RpcResult<ConfigDocument>;

    /// Applies a configuration. Fails with a conflict when `after` is given and is not the active epoch.
    #[method(name = "config_apply")]
    async fn config_apply(&self, text: String, after: Option<Epoch>) -> RpcResult<AppliedConfig>;

    /// Switches the preset. Fails with a conflict when `from` is not the active preset.
    #[method(name = "preset_switch")]
    async fn preset_switch(&self, from: PresetId, to: PresetId) -> RpcResult<AppliedConfig>;

    /// Lists the services.
    #[method(name = "services")]
    async fn services(&self) -> RpcResult<Vec<ServiceReport>>;

    /// Lists the VMs.
    #[method(name = "vms")]
    async fn vms(&self) -> RpcResult<Vec<VmReport>>;

    /// Lists the pools.
    #[method(name = "pools")]
    async fn pools(&self) -> RpcResult<Vec<PoolReport>>;

    /// Drains a VM and then stops it.
    #[method(name = "vm_drain")]
    async fn vm_drain(&self, vm: VmId) -> RpcResult<()>;

    /// Returns a stopped VM to service.
    #[method(name = "vm_return")]
    async fn vm_return(&self, vm: VmId) -> RpcResult<()>;

    /// Drains a VM, and moves it to another pool once it has stopped.
    #[method(name = "vm_move")]
    async fn vm_move(&self, vm: VmId, to: PoolId) -> RpcResult<()>;

    /// Starts a maintenance wave over the VMs of a pool.
    #[method(name = "wave_start")]
    async fn wave_start(&self, pool: PoolId) -> RpcResult<WaveId>;

    /// Lists the maintenance waves.
    #[method(name = "waves")]
    async fn waves(&self) -> RpcResult<Vec<WaveReport>>;

    /// Pauses a maintenance wave: no further VM is drained.
    #[method(name = "wave_pause")]
    async fn wave_pause(&self, wave: WaveId) -> RpcResult<()>;

    /// Resumes a paused maintenance wave.
    #[method(name = "wave_resume")]
    async fn wave_resume(&self, wave: WaveId) -> RpcResult<()>;

    /// Aborts a maintenance wave: VMs whose maintenance has not begun are left as they are.
    #[method(name = "wave_abort")]
    async fn wave_abort(&self, wave: WaveId) -> RpcResult<()>;

    /// Submits a job with the given id.
    #[method(name = "job_submit")]
    async fn job_submit(&self, id: JobId, spec: JobSpec) -> RpcResult<()>;

    /// Lists the jobs that have not ended and the latest ended ones.
    #[method(name = "jobs")]
    async fn jobs(&self) -> RpcResult<Vec<Job>>;

    /// Returns a job.
    #[method(name = "job_show")]
    async fn job_show(&self, id: JobId) -> RpcResult<Job>;

    /// Cancels jobs. Returns the ids of jobs that had ended or do not exist.
    #[method(name = "jobs_cancel")]
    async fn jobs_cancel(&self, ids: Vec<JobId>) -> RpcResult<Vec<JobId>>;
}
