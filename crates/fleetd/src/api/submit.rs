//! Submits a job to the owner of its pool, unless a previous pool of its queue has it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use access::Caller;
use http::StatusCode;
use submission::JobId;
use users_platform::{Queue, decode_job};

use super::handlers::stored_job;
use super::request_record::RequestRecord;
use super::response::{ApiResponse, RETRY_AFTER_S};
use crate::node::Node;
use crate::peer_calls::{CALL_TIMEOUT, call_peer};
use crate::pool::fits_row;
use crate::rpc::{PoolClient, SubmitReply, SubmitRequest};

/// The time for which a submission waits for the next owner of its pool, unless its caller waits more than twice as long.
/// Most takeovers are done by then, and a caller that waits 3 s can still try another daemon.
const TAKEOVER_WAIT: Duration = Duration::from_millis(1600);

/// How long a caller waits whose request does not tell.
const DEFAULT_CALLER_WAIT: Duration = Duration::from_secs(3);

/// How long before the end of the caller's wait a response is sent at the latest, but in a wait of less than 400 ms a
/// quarter of it.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

pub(super) async fn submit(
    node: &Arc<Node>,
    queue: &Queue,
    caller: &Caller,
    id: JobId,
    body: &[u8],
    caller_wait: Option<Duration>,
    record: &mut RequestRecord,
) -> ApiResponse {
    let spec = match decode_job(body) {
        Ok(spec) => spec,
        Err(err) => return ApiResponse::bad_request(&err.to_string()),
    };
    if let Err(err) = spec.validate() {
        return ApiResponse::bad_request(&err.to_string());
    }
    // A transaction with a row that the store refuses would fail again and again, and others with it.
    if !fits_row(&queue.name, &caller.team().into(), &spec) {
        return ApiResponse::new(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let previous_pools = node.active_config.previous_pools(queue);
    record.searched_pools = Some(previous_pools.len());
    for pool in previous_pools {
        record.pool = Some(pool.clone());
        // A job that is submitted again after its queue was assigned to another pool stays in its pool.
        match stored_job(node, &pool, id).await {
            Ok(Some(job)) if !caller.may_access(&job.team) => return ApiResponse::other_team(),
            Ok(Some(_)) => return ApiResponse::new(StatusCode::OK).with_body("{}".into()),
            Ok(None) => {}
            Err(err) => {
                tracing::info!(job = %id, error = %err, "failed to check a previous pool of the queue for a submitted job");
                return ApiResponse::unavailable(RETRY_AFTER_S);
            }
        }
    }
    record.pool = Some(queue.pool.clone());
    let request = SubmitRequest {
        pool: queue.pool.clone(),
        queue: queue.name.clone(),
        team: caller.team().into(),
        id,
        spec,
    };
    match submit_to_owner(node, request, caller_wait).await {
        SubmitReply::Accepted => ApiResponse::new(StatusCode::OK).with_body("{}".into()),
        SubmitReply::Refused { retry_after_s } => ApiResponse::unavailable(retry_after_s),
        SubmitReply::NotOwner => ApiResponse::unavailable(RETRY_AFTER_S),
        SubmitReply::OtherTeam => ApiResponse::other_team(),
        SubmitReply::OutcomeUnknown => ApiResponse::new(StatusCode::GATEWAY_TIMEOUT),
    }
}

/// Submits a job to the owner of its pool. While no owner responds, waits for a takeover, unless the store is
/// unavailable. A call whose outcome is unknown is repeated: the id of the job makes that safe, and the next owner knows
/// whether the job was recorded.
async fn submit_to_owner(
    node: &Arc<Node>,
    request: SubmitRequest,
    caller_wait: Option<Duration>,
) -> SubmitReply {
    let start = tokio::time::Instant::now();
    let caller_wait = caller_wait.unwrap_or(DEFAULT_CALLER_WAIT);
    let respond_by = start + caller_wait - RESPONSE_MARGIN.min(caller_wait / 4);
    let give_up_at = respond_by.min(start + TAKEOVER_WAIT.max(caller_wait / 2));
    // The term of the owner that may have recorded the job, or may do so later.
    let mut in_doubt = None;
    loop {
        let owners_read = node.peers_updated.notified();
        let attempt = try_submit_to_owner(node, request.clone());
        let Ok((term, reply)) = tokio::time::timeout_at(respond_by, attempt).await else {
            return SubmitReply::OutcomeUnknown;
        };
        match reply {
            // An earlier call to the same owner may arrive late. The owner of a later term has read all rows.
            SubmitReply::Refused { .. } if in_doubt.is_some_and(|in_doubt| in_doubt >= term) => {
                return SubmitReply::OutcomeUnknown;
            }
            SubmitReply::Accepted | SubmitReply::Refused { .. } | SubmitReply::OtherTeam => {
                return reply;
            }
            SubmitReply::OutcomeUnknown => in_doubt = in_doubt.max(Some(term)),
            SubmitReply::NotOwner => node.peers_outdated.notify_one(),
        }
        let next_owner = tokio::time::timeout_at(give_up_at, owners_read);
        if node.is_store_unavailable() || next_owner.await.is_err() {
            return match in_doubt {
                Some(_) => SubmitReply::OutcomeUnknown,
                None => SubmitReply::NotOwner,
            };
        }
    }
}

/// Submits a job to the owner of its pool, once. Returns the owner's term, 0 without an owner, and the reply.
async fn try_submit_to_owner(node: &Arc<Node>, request: SubmitRequest) -> (u64, SubmitReply) {
    if let Some(owner) = node.local_pool_owner(&request.pool) {
        let reply = owner.submit(request);
        let reply = tokio::time::timeout(CALL_TIMEOUT, reply).await;
        return (owner.term, reply.unwrap_or(SubmitReply::OutcomeUnknown));
    }
    let Some(owner) = node.reachable_owner(&request.pool) else {
        return (0, SubmitReply::NotOwner);
    };
    let (job, pool) = (request.id, request.pool.clone());
    let start = Instant::now();
    let reply = call_peer(
        node,
        &owner,
        |peer| async move { peer.submit(request).await },
    );
    let reply = reply.await.unwrap_or_else(|err| {
        let daemon = owner.daemon.as_str();
        let ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
        tracing::info!(job = %job, pool = pool.as_str(), daemon, ms, error = %err, "submission to the pool owner failed");
        if err.is_without_effect() {
            SubmitReply::NotOwner
        } else {
            SubmitReply::OutcomeUnknown
        }
    });
    (owner.term, reply)
}
