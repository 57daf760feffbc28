//! The RPC interface between daemons. Its wire form stays compatible with earlier builds of the daemon: the names of
//! methods, fields and variants, and the order of parameters.

use std::collections::BTreeMap;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use quota::{LimitMessage, UsageReply};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use submission::{JobId, JobSpec, QueueRules};

use crate::assignments::SubmittedIntake;

/// A submitted job, sent to the owner of its pool.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SubmitRequest {
    /// The name of the job's pool.
    pub(crate) pool: SmolStr,
    /// The name of the job's queue.
    pub(crate) queue: SmolStr,
    /// The team of the caller; empty for none, and from a daemon of an earlier build.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub(crate) team: SmolStr,
    /// The rules of the queue under which the job is accepted; `None` from a daemon of an earlier build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) rules: Option<QueueRules>,
    /// The id of the job.
    pub(crate) id: JobId,
    /// The submitted spec of the job.
    pub(crate) spec: JobSpec,
    /// What the pool's owner needs to record the job; `None` from a daemon of an earlier build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) intake: Option<SubmittedIntake>,
}

impl SubmitRequest {
    /// The key of the assignment of the job's queue; empty from a daemon of an earlier build.
    pub(crate) fn assignment_key(&self) -> SmolStr {
        let intake = self.intake.as_ref();
        intake.map_or_else(SmolStr::default, |intake| intake.key.clone())
    }
}

/// The outcome of a submission to the owner of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum SubmitReply {
    /// The row of the job is written.
    Accepted,
    /// The row of the job is not written and will not be.
    Refused {
        /// The delay after which the caller may retry, in seconds.
        retry_after_s: u32,
    },
    /// The called daemon does not own the pool. The call had no effect.
    NotOwner,
    /// The id is that of a job of another team. The call had no effect.
    OtherTeam,
    /// The queue was assigned anew, or the request has no version of the pool's copy of the assignment, and the owner knows none.
    /// The row of the job is not written and will not be.
    Reassigned,
    /// The outcome is unknown: the row of the job may be written or not.
    #[serde(rename = "Unknown")]
    OutcomeUnknown,
}

/// The response of the owner of a pool to a call about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobReply {
    /// The state of the job.
    State(WireState),
    /// The owner has no such job.
    Absent,
    /// The called daemon does not own the pool.
    NotOwner,
    /// The job is of another team than the one that the call names. The call had no effect.
    OtherTeam,
    /// The state is unknown at present, or the outcome of a cancellation is.
    Unknown,
}

/// The wire form of [`submission::JobState`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(remote = "submission::JobState")]
pub(crate) enum WireStateDef {
    Queued,
    Running,
    Done,
    Failed,
    Cancelled,
}

/// The state of a job, in its wire form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireState(#[serde(with = "WireStateDef")] pub(crate) submission::JobState);

/// The request of the leader to the owner of a pool in each round. Workers are named by their ids.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RoundRequest {
    /// The workers to drain.
    #[serde(rename = "empty")]
    pub(crate) drain: Vec<SmolStr>,
    /// The workers whose drain is cancelled, so that they get new work again.
    #[serde(rename = "keep")]
    pub(crate) cancel_drain: Vec<SmolStr>,
    /// The workers whose incarnation has ended.
    #[serde(rename = "over")]
    pub(crate) ended_incarnations: Vec<SmolStr>,
    /// The starts of the ended incarnations that are known, by id, in ms since 1970. A worker that has restarted under its
    /// id has another start.
    #[serde(
        rename = "over_starts",
        default,
        skip_serializing_if = "BTreeMap::is_empty"
    )]
    pub(crate) ended_starts_unix_ms: BTreeMap<SmolStr, u64>,
    /// Those of the ended incarnations that are known to have crashed; `None` when none has ended, and from a leader of an
    /// earlier build.
    #[serde(rename = "crashed", default, skip_serializing_if = "Option::is_none")]
    pub(crate) crashed_incarnations: Option<Vec<SmolStr>>,
    /// The workers that will be drained for maintenance; `None` when the request says nothing of them.
    #[serde(rename = "due", default, skip_serializing_if = "Option::is_none")]
    pub(crate) maintenance_due: Option<Vec<SmolStr>>,
    /// The limits of teams in the pool; `None` when no team has a quota, and from a daemon of an earlier build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) quotas: Option<LimitMessage>,
}

impl RoundRequest {
    /// Whether the ended incarnation of a worker counts as crashed unless the owner knows of a planned end. All do for a leader
    /// of an earlier build, which names no crashes: while builds differ, ends are judged as by owners of that build. Otherwise
    /// tasks that crash their workers would start again for as long as that lasts.
    pub(crate) fn may_have_crashed(&self, worker: &SmolStr) -> bool {
        let crashed = self.crashed_incarnations.as_ref();
        crashed.is_none_or(|crashed| crashed.contains(worker))
    }
}

/// The response of the owner of a pool to the leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RoundReply {
    /// The number of tasks on each of the workers to drain, in the order of the request; 0 for a worker that the pool
    /// does not know, and at least 1 while the owner may have been deposed.
    #[serde(rename = "tasks")]
    pub(crate) remaining_tasks: Vec<usize>,
    /// The number of workers that the pool needs for its service tasks; 0 from a daemon of an earlier build.
    #[serde(rename = "required", default)]
    pub(crate) service_demand_workers: usize,
    /// The number of workers that the pool could use for work that can meet its latency objective.
    #[serde(rename = "urgent")]
    pub(crate) urgent_demand_workers: usize,
    /// The number of workers that the pool could use for all its work.
    #[serde(rename = "wanted")]
    pub(crate) total_demand_workers: usize,
    /// The workers that run service tasks.
    #[serde(rename = "steady")]
    pub(crate) service_workers: Vec<SmolStr>,
    /// The workers that do not respond, and on which a task runs, may run or has run until its lease expired.
    #[serde(rename = "silent")]
    pub(crate) unresponsive: Vec<SmolStr>,
    /// The starts of the unresponsive workers and of those to drain, as far as they are known, by id, in ms since 1970.
    #[serde(rename = "starts", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) starts_unix_ms: BTreeMap<SmolStr, u64>,
    /// The time since the last response of each unresponsive worker that has responded to the owner, by id, in ms; empty from a daemon
    /// of an earlier build.
    #[serde(rename = "ages", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) response_ages_ms: BTreeMap<SmolStr, u64>,
    /// The workers that get no new work at present.
    #[serde(rename = "unusable")]
    pub(crate) unavailable: Vec<SmolStr>,
    /// The available workers that run no task, each with the time for which the worker has run none, in ms.
    pub(crate) idle: Vec<(SmolStr, u64)>,
    /// The progress of the owner; `None` from a daemon of an earlier build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) progress: Option<OwnerProgress>,
    /// The use of the pool by teams, in reply to `quotas`; `None` while the owner may have been deposed, and from a daemon of
    /// an earlier build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) quotas: Option<UsageReply>,
}

/// Whether the owner of a pool makes progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerProgress {
    /// The term of the ownership.
    pub(crate) term: u64,
    /// How long ago the last transaction of the owner was sent that the store committed, in ms. Owners renew their lease at
    /// least once a second.
    pub(crate) recorded_age_ms: u64,
    /// The task that is placed first once a worker has room for it; empty when no task waits.
    pub(crate) first_waiting: SmolStr,
}

/// The calls to the owner of a pool, and those that transfer the ownership of a shard. A call fails if the
/// connection fails, no response arrives in time, or a message is too large or can't be decoded. Handlers return no
/// errors.
#[rpc(server, client, namespace = "pool")]
pub(crate) trait Pool {
    /// Responds at once, without access to the store.
    #[method(name = "ping")]
    async fn ping(&self) -> RpcResult<()>;

    /// Submits a job to the owner of its pool.
    #[method(name = "submit")]
    async fn submit(
        &self,
        #[argument(rename = "handover")] request: SubmitRequest,
    ) -> RpcResult<SubmitReply>;

    /// Returns the state of a job. `team` is the team of the caller whose access is checked, empty for a caller without one;
    /// absent, as in a call of an earlier build, for no check.
    #[method(name = "state")]
    async fn state(&self, pool: SmolStr, id: JobId, team: Option<SmolStr>) -> RpcResult<JobReply>;

    /// Cancels a job. `team` is as in the `state` call.
    #[method(name = "cancel")]
    async fn cancel(&self, pool: SmolStr, id: JobId, team: Option<SmolStr>) -> RpcResult<JobReply>;

    /// Returns the number of jobs of a queue that have not started, with those of queues that had the same assignment key before;
    /// none if the called daemon does not own the pool. The key is absent in a call of an earlier build.
    #[method(name = "pending")]
    async fn not_started_jobs(
        &self,
        pool: SmolStr,
        queue: SmolStr,
        assignment_key: Option<SmolStr>,
    ) -> RpcResult<Option<usize>>;

    /// Takes over a pool from the calling daemon, whose transactions the store refuses or which can't reach the store.
    /// `term` is the term of the calling daemon: the call has no effect once another daemon has taken the pool over.
    /// Returns whether the called daemon owns the pool now.
    #[method(name = "take")]
    async fn take_over_pool(&self, pool: SmolStr, term: Option<u64>) -> RpcResult<bool>;

    /// Takes over the fleet shard from the calling daemon, whose last command to a VM ended at the given time on the
    /// store's clock. `term` is the term of the calling daemon: the call has no effect once another daemon has taken the
    /// fleet shard over. Returns whether the called daemon owns the fleet shard now.
    #[method(name = "take_fleet")]
    async fn take_over_fleet(
        &self,
        #[argument(rename = "last_order_at_ms")] last_command_at_ms: u64,
        term: Option<u64>,
    ) -> RpcResult<bool>;

    /// Applies the request of the leader to a pool; none if the called daemon does not own the pool.
    #[method(name = "round")]
    async fn round(
        &self,
        pool: SmolStr,
        #[argument(rename = "ask")] request: RoundRequest,
    ) -> RpcResult<Option<RoundReply>>;
}

#[cfg(test)]
mod tests;
