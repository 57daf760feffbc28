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

/// A worker that a steward wants to be empty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Emptiness {
    /// Whether nothing runs there.
    pub(crate) is_empty: bool,
    /// How many tasks run there.
    pub(crate) tasks: usize,
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

    /// Empties workers; gives back those in `keep`. Tells of each in `empty` how far it is.
    #[method(name = "evacuate")]
    async fn evacuate(
        &self,
        pool: SmolStr,
        empty: Vec<SmolStr>,
        keep: Vec<SmolStr>,
    ) -> RpcResult<Option<Vec<Emptiness>>>;
}

/// Why a call gave no answer: whether it may have had its effect.
pub(crate) fn is_without_effect(err: &ClientError) -> bool {
    // The library tells connection failures from lost answers in its message only.
    let text = err.to_string();
    text.contains("Connection refused") || text.contains("tcp connect error")
}
