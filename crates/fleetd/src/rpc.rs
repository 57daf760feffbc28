//! The calls between daemons.

use jsonrpsee::core::{ClientError, RpcResult};
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use submission::{JobId, JobSpec};

/// A job on its way to the daemon that decides for its pool.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Handover {
    /// The pool.
    pub(crate) pool: SmolStr,
    /// The queue.
    pub(crate) queue: SmolStr,
    /// The job.
    pub(crate) id: JobId,
    /// What was handed in.
    pub(crate) spec: JobSpec,
}

/// What came of handing a job over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum HandoverAnswer {
    /// Its row is written.
    Accepted,
    /// It is not written and will not be.
    Refused {
        /// When to come back.
        retry_after_s: u32,
    },
    /// This daemon does not decide for the pool. Nothing was done.
    NotOwner,
    /// It may be written, or not.
    Unknown,
}

/// What the deciding daemon knows of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobReply {
    /// Its state.
    State(WireState),
    /// There is no such job.
    Absent,
    /// This daemon does not decide for the pool.
    NotOwner,
    /// Not known now.
    Unknown,
}

/// [`submission::JobState`] between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(remote = "submission::JobState")]
pub(crate) enum WireStateDef {
    Queued,
    Running,
    Done,
    Failed,
    Cancelled,
}

/// A job's state between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireState(#[serde(with = "WireStateDef")] pub(crate) submission::JobState);

/// What a steward asks of a pool's daemon in a round. Workers are named by their life.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RoundAsk {
    /// The workers to empty.
    pub(crate) empty: Vec<SmolStr>,
    /// The workers to use again.
    pub(crate) keep: Vec<SmolStr>,
    /// The workers whose life an order to their VM has ended.
    pub(crate) over: Vec<SmolStr>,
}

/// What a pool's daemon tells a steward.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RoundReply {
    /// How many tasks there are on each of the workers to empty.
    pub(crate) tasks: Vec<usize>,
    /// How many workers the pool could use for work that can be on time.
    pub(crate) urgent: usize,
    /// How many workers the pool could use for all its work.
    pub(crate) wanted: usize,
    /// The workers on which lasting tasks run.
    pub(crate) steady: Vec<SmolStr>,
    /// The workers that do not answer, and on which something runs or may run.
    pub(crate) silent: Vec<SmolStr>,
    /// The workers that get no new work now.
    pub(crate) unusable: Vec<SmolStr>,
    /// The workers on which nothing runs, and for how long in ms.
    pub(crate) idle: Vec<(SmolStr, u64)>,
}

#[rpc(server, client, namespace = "pool")]
pub(crate) trait Pool {
    /// Hands a job over to the pool's daemon.
    #[method(name = "submit")]
    async fn submit(&self, handover: Handover) -> RpcResult<HandoverAnswer>;

    /// Where a job is.
    #[method(name = "state")]
    async fn state(&self, pool: SmolStr, id: JobId) -> RpcResult<JobReply>;

    /// Cancels a job.
    #[method(name = "cancel")]
    async fn cancel(&self, pool: SmolStr, id: JobId) -> RpcResult<JobReply>;

    /// How many jobs of a queue have not started; nothing from a daemon that does not decide for the pool.
    #[method(name = "pending")]
    async fn pending(&self, pool: SmolStr, queue: SmolStr) -> RpcResult<Option<usize>>;

    /// Takes a pool over from the daemon that asks, which the store no longer serves. True when it was taken.
    #[method(name = "take")]
    async fn take(&self, pool: SmolStr) -> RpcResult<bool>;

    /// Takes the stewardship over from the daemon that asks, which gave its last order at that time on the store's
    /// clock. True when it was taken.
    #[method(name = "take_fleet")]
    async fn take_fleet(&self, last_order_at_ms: u64) -> RpcResult<bool>;

    /// Does what a steward asks; nothing from a daemon that does not decide for the pool.
    #[method(name = "round")]
    async fn round(&self, pool: SmolStr, ask: RoundAsk) -> RpcResult<Option<RoundReply>>;
}

/// Why a call gave no answer: whether it may have had its effect.
pub(crate) fn is_without_effect(err: &ClientError) -> bool {
    // The library tells connection failures from lost answers in its message only.
    let text = err.to_string();
    text.contains("(Connect)")
}
