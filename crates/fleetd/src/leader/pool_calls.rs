//! The leader's calls to the owners of pools. A round goes on without the pools whose owners are slow or gone.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::task::{AbortHandle, JoinSet};

use crate::node::Node;
use crate::peer_calls::call_peer;
use crate::rpc::{PoolClient, RoundReply, RoundRequest};

/// How long a round waits for the replies of pools.
pub(super) const REPLY_WAIT: Duration = Duration::from_millis(300);

/// The calls to the owners of pools, at most one for each pool. A call may outlast its round, so that it finds out
/// whether the owner is gone.
#[derive(Default)]
pub(super) struct PoolCalls {
    /// The number of the current round.
    round: u64,
    /// The calls that have not ended, or whose end was not handled yet.
    calls: JoinSet<PoolCall>,
    /// The last call to the owner of each pool.
    last_calls: BTreeMap<SmolStr, AbortHandle>,
}

struct PoolCall {
    pool: SmolStr,
    round: u64,
    request: RoundRequest,
    reply: Option<RoundReply>,
}

/// The calls that ended during a round.
#[derive(Default)]
pub(super) struct EndedCalls {
    /// The replies to the calls of this round.
    pub(super) replies: BTreeMap<SmolStr, RoundReply>,
    /// The requests without a reply, also of earlier rounds. They may have had an effect.
    pub(super) failed: Vec<(SmolStr, RoundRequest)>,
}

impl PoolCalls {
    /// Whether the last call to the owner of a pool has not ended.
    pub(super) fn is_under_way(&self, pool: &SmolStr) -> bool {
        let last_call = self.last_calls.get(pool);
        last_call.is_some_and(|call| !call.is_finished())
    }

    /// Calls the owners of pools, none of which has a call under way, and waits for [`REPLY_WAIT`] at most.
    pub(super) async fn run_round(
        &mut self,
        node: &Arc<Node>,
        requests: Vec<(SmolStr, RoundRequest)>,
    ) -> EndedCalls {
        self.round += 1;
        for (pool, request) in requests {
            let node = node.clone();
            let mut call = PoolCall {
                pool: pool.clone(),
                round: self.round,
                request,
                reply: None,
            };
            let handle = self.calls.spawn(async move {
                call.reply = call_pool(&node, &call.pool, call.request.clone()).await;
                call
            });
            self.last_calls.insert(pool, handle);
        }
        let mut ended = EndedCalls::default();
        let reply_by = tokio::time::Instant::now() + REPLY_WAIT;
        while let Ok(Some(call)) = tokio::time::timeout_at(reply_by, self.calls.join_next()).await {
            match call {
                Ok(call) => self.end_call(call, &mut ended),
                Err(err) => tracing::error!(error = %err, "call to the owner of a pool panicked"),
            }
        }
        ended
    }

    /// Sorts a call by its reply. A reply to a call of an earlier round is out of date.
    fn end_call(&self, call: PoolCall, ended: &mut EndedCalls) {
        match call.reply {
            Some(reply) if call.round == self.round => {
                ended.replies.insert(call.pool, reply);
            }
            Some(_) => {}
            None => ended.failed.push((call.pool, call.request)),
        }
    }
}

/// Calls the owner of a pool, which may be this daemon. `None` when no owner has replied.
pub(super) async fn call_pool(
    node: &Node,
    pool: &SmolStr,
    request: RoundRequest,
) -> Option<RoundReply> {
    if let Some(owner) = node.local_pool_owner(pool) {
        return Some(owner.run_round(&request));
    }
    let owner = node.reachable_owner(pool)?;
    let name = pool.clone();
    let reply = call_peer(node, &owner, |peer| async move {
        peer.round(name, request).await
    });
    match reply.await {
        Ok(reply) => reply,
        Err(err) => {
            let daemon = owner.daemon.as_str();
            tracing::warn!(pool = pool.as_str(), daemon, error = %err, "call to the owner of a pool failed");
            None
        }
    }
}
