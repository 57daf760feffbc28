//! The request handlers of the API: submit a job, read its state, cancel it, and count the jobs of a queue that have
//! not started.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use access::{AccessRequest, Caller, Keys, Refusal};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use inbound::{BodyError, Connection, discard_body};
use smol_str::SmolStr;
use submission::{Job, JobId};
use users_platform::{
    CallerRequest, KeyRange, Queue, READY_PATH, decode_caller_wait, decode_key, decode_request,
    pending_body, state_body,
};

use super::request_record::RequestRecord;
use super::response::{ApiResponse, RETRY_AFTER_S};
use super::submit::Submission;
use crate::assignments::assignment_key;
use crate::clock::local_ms;
use crate::config::{FLEET_SHARD, find_queue};
use crate::node::{Node, STORE_TIMEOUT, tables};
use crate::peer_calls::call_peer;
use crate::pool::decode_jobs;
use crate::rpc::{JobReply, PoolClient, WireState};

/// Handles a request of a caller, and records the outcome in the log and the metrics.
pub(crate) async fn handle_request(
    request: Request<Incoming>,
    node: &Arc<Node>,
) -> Response<Full<Bytes>> {
    let mut record = RequestRecord::new(node.clone());
    let api_response = route_request(request, node, &mut record).await;
    record.record_response(&api_response);
    let mut response = Response::new(Full::new(Bytes::from(api_response.body)));
    *response.status_mut() = api_response.status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    if let Some(seconds) = api_response.retry_after_s {
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if api_response.status == StatusCode::UNAUTHORIZED {
        let scheme = HeaderValue::from_static("Bearer");
        response
            .headers_mut()
            .insert(header::WWW_AUTHENTICATE, scheme);
    }
    response
}

/// Passes a request to the handler of its call, and names the call in the record.
async fn route_request(
    request: Request<Incoming>,
    node: &Arc<Node>,
    record: &mut RequestRecord,
) -> ApiResponse {
    // Before the configuration is read: it is at least as new as this.
    let confirmed_at_ms = node.config_confirmed_at_ms();
    let Some((config, keys)) = node.active_config.get_with_keys() else {
        return ApiResponse::unavailable(RETRY_AFTER_S);
    };
    let (parts, mut body) = request.into_parts();
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let path = parts.uri.path();
    let Some(queue) = find_queue(&config, host.unwrap_or_default(), path) else {
        record.set_subject(path);
        return ApiResponse::new(StatusCode::NOT_FOUND);
    };
    let path_in_queue = &path[queue.prefix.len()..];
    let call = decode_request(&parts.method, path_in_queue);
    let (call_name, subject): (_, SmolStr) = match call {
        CallerRequest::Submit(id) => ("submit", id.to_string().into()),
        CallerRequest::State(id) => ("state", id.to_string().into()),
        CallerRequest::Cancel(id) => ("cancel", id.to_string().into()),
        CallerRequest::Pending => ("pending", queue.name.clone()),
        CallerRequest::Unknown => ("unknown", path_in_queue.into()),
    };
    record.call = call_name;
    record.set_subject(&subject);
    let caller_wait = decode_caller_wait(&parts.headers);
    let wait_ms = caller_wait.map_or(0, |wait| wait.as_millis());
    record.caller_wait_ms = u64::try_from(wait_ms).unwrap_or(u64::MAX);
    let key = decode_key(&parts.headers);
    let caller = match check_access(node, &keys, queue, key, confirmed_at_ms) {
        Ok(caller) => caller,
        Err(refusal) => {
            tokio::spawn(discard_body(body, config.limits.max_body_bytes));
            return ApiResponse::refused(refusal);
        }
    };
    record.team = caller.team().into();
    match call {
        CallerRequest::Submit(id) => {
            let max_body_bytes = config.limits.max_body_bytes;
            let connection = parts.extensions.get::<Connection>();
            let connection = connection.expect("the server adds the connection to each request");
            let err = match connection.read_body(&mut body, max_body_bytes).await {
                Ok(body) => {
                    let submission = Submission::new(queue, config.epoch, &caller, id, caller_wait);
                    return submission.submit(node, body.bytes(), record).await;
                }
                Err(err) => err,
            };
            tokio::spawn(discard_body(body, max_body_bytes));
            match err {
                BodyError::TooLarge => ApiResponse::new(StatusCode::PAYLOAD_TOO_LARGE),
                BodyError::NoMemory => ApiResponse::unavailable(RETRY_AFTER_S),
                BodyError::Broken { message } => ApiResponse::bad_request(&message),
            }
        }
        CallerRequest::State(id) => state(node, queue, &caller, id).await,
        CallerRequest::Cancel(id) => cancel(node, queue, &caller, id).await,
        CallerRequest::Pending => pending(node, queue).await,
        CallerRequest::Unknown if parts.method == Method::GET || parts.method == Method::POST => {
            let reason = "the path does not end with a job id of 16 hexadecimal digits";
            ApiResponse::bad_request(reason)
        }
        CallerRequest::Unknown => ApiResponse::new(StatusCode::METHOD_NOT_ALLOWED),
    }
}

/// Decides whether a request with this key may be handled, by a configuration that was read after `confirmed_at_ms`.
fn check_access(
    node: &Node,
    keys: &Keys,
    queue: &Queue,
    key: Option<&str>,
    confirmed_at_ms: Option<u64>,
) -> Result<Caller, Refusal> {
    let now_ms = local_ms();
    let request = AccessRequest {
        is_public: queue.is_public,
        key,
        config_age_ms: confirmed_at_ms.map(|it| now_ms.saturating_sub(it)),
    };
    keys.decide(node.settings.bounds.access_rules(), request)
}

async fn state(node: &Arc<Node>, queue: &Queue, caller: &Caller, id: JobId) -> ApiResponse {
    let reply = match node.local_pool_owner(&queue.pool) {
        Some(owner) => owner.job_state(id, caller),
        None => request_peer_state(node, &queue.pool, caller, id).await,
    };
    match reply {
        JobReply::State(WireState(state)) => {
            ApiResponse::new(StatusCode::OK).with_body(state_body(state))
        }
        JobReply::OtherTeam => ApiResponse::other_team(),
        JobReply::Absent | JobReply::NotOwner | JobReply::Unknown => {
            stored_state(node, queue, caller, id).await
        }
    }
}

async fn request_peer_state(
    node: &Arc<Node>,
    pool: &SmolStr,
    caller: &Caller,
    id: JobId,
) -> JobReply {
    let Some(owner) = node.reachable_owner(pool) else {
        return JobReply::NotOwner;
    };
    let (pool, team) = (pool.clone(), caller.to_parameter());
    let reply = call_peer(node, &owner, |peer| async move {
        peer.state(pool, id, team).await
    });
    reply.await.unwrap_or_else(|err| {
        tracing::debug!(job = %id, error = %err, "state request to the pool owner failed");
        JobReply::NotOwner
    })
}

/// Responds with the state of a job by its rows in the store. Only the store can tell that a job does not exist.
async fn stored_state(node: &Arc<Node>, queue: &Queue, caller: &Caller, id: JobId) -> ApiResponse {
    match find_job(node, queue, id).await {
        Ok(Some((_, job))) if !caller.may_access(&job.team) => ApiResponse::other_team(),
        Ok(Some((_, job))) => ApiResponse::new(StatusCode::OK).with_body(state_body(job.state())),
        Ok(None) => ApiResponse::new(StatusCode::GONE),
        Err(err) => {
            tracing::info!(job = %id, error = %err, "state of a job is unknown: the pool owner reported none and the read from the store failed");
            ApiResponse::unavailable(RETRY_AFTER_S)
        }
    }
}

/// Reads a job and the name of its pool from the store. Searches the pool of the queue first and then all others,
/// because a queue may have been assigned to another pool before. None if no pool has the job.
///
/// # Errors
/// When a read from the store fails.
async fn find_job(
    node: &Arc<Node>,
    queue: &Queue,
    id: JobId,
) -> Result<Option<(SmolStr, Job)>, users_platform::Error> {
    let mut pools = node.active_config.shards();
    pools.retain(|pool| pool != FLEET_SHARD && *pool != queue.pool);
    pools.insert(0, queue.pool.clone());
    find_in_pools(node, pools.iter(), id).await
}

/// Reads a job and the name of its pool from the store. Searches the pools in their order; none if no pool has the job.
///
/// # Errors
/// When a read from the store fails.
pub(super) async fn find_in_pools(
    node: &Arc<Node>,
    pools: impl Iterator<Item = &SmolStr>,
    id: JobId,
) -> Result<Option<(SmolStr, Job)>, users_platform::Error> {
    for pool in pools {
        if let Some(job) = stored_job(node, pool, id).await? {
            return Ok(Some((pool.clone(), job)));
        }
    }
    Ok(None)
}

/// Reads a job of a pool from the store; none if the pool has no such job.
///
/// # Errors
/// When a read from the store fails, or the rows of the job can't be decoded.
async fn stored_job(
    node: &Arc<Node>,
    pool: &str,
    id: JobId,
) -> Result<Option<Job>, users_platform::Error> {
    let key = id.to_string();
    let range_end = format!("{key}~");
    let mut rows = Vec::new();
    // The progress row is read first: it is written with the job row or after it.
    for table in [tables::PROGRESS, tables::JOB] {
        let range = KeyRange {
            table,
            part: pool,
            from: &key,
            until: &range_end,
        };
        rows.extend(node.store.read(range, 1, STORE_TIMEOUT).await?.rows);
    }
    let is_stored = rows.iter().any(|row| row.key.table == tables::JOB);
    match decode_jobs(rows).into_iter().next() {
        None if is_stored => Err(users_platform::Error::Malformed {
            what: key.into(),
            message: "the rows of the job can't be decoded".into(),
        }),
        job => Ok(job),
    }
}

async fn cancel(node: &Arc<Node>, queue: &Queue, caller: &Caller, id: JobId) -> ApiResponse {
    let mut reply = cancel_in(node, &queue.pool, caller, id).await;
    if reply == JobReply::Absent {
        reply = match find_job(node, queue, id).await {
            Ok(None) => return ApiResponse::new(StatusCode::GONE),
            Ok(Some((_, job))) if !caller.may_access(&job.team) => JobReply::OtherTeam,
            Ok(Some((pool, _))) => cancel_in(node, &pool, caller, id).await,
            Err(err) => {
                tracing::info!(job = %id, error = %err, "failed to look up a job to cancel in the store");
                JobReply::Unknown
            }
        };
    }
    match reply {
        JobReply::State(_) => ApiResponse::accepted(),
        JobReply::OtherTeam => ApiResponse::other_team(),
        _ => ApiResponse::unavailable(RETRY_AFTER_S),
    }
}

async fn cancel_in(node: &Arc<Node>, pool: &SmolStr, caller: &Caller, id: JobId) -> JobReply {
    if let Some(owner) = node.local_pool_owner(pool) {
        return owner.cancel(id, caller).await;
    }
    let Some(owner) = node.reachable_owner(pool) else {
        return JobReply::NotOwner;
    };
    let (pool, team) = (pool.clone(), caller.to_parameter());
    let reply = call_peer(node, &owner, |peer| async move {
        peer.cancel(pool, id, team).await
    });
    reply.await.unwrap_or_else(|err| {
        tracing::info!(job = %id, daemon = owner.daemon.as_str(), error = %err, "cancellation request to the pool owner failed");
        JobReply::Unknown
    })
}

/// Responds with the number of jobs of a queue that have not started, in all pools that may have jobs of the queue.
async fn pending(node: &Arc<Node>, queue: &Queue) -> ApiResponse {
    let mut pools = pools_with_jobs(node, queue).await;
    // A pool that the configuration no longer has is owned by no daemon.
    let shards = node.active_config.shards();
    pools.retain(|pool| shards.contains(pool));
    let key = assignment_key(&queue.host, &queue.prefix);
    let mut total = 0;
    for pool in pools {
        let count = match node.local_pool_owner(&pool) {
            Some(owner) => Some(owner.not_started_jobs(&queue.name, &key)),
            None => request_peer_count(node, &pool, &queue.name, &key).await,
        };
        let Some(count) = count else {
            return ApiResponse::unavailable(RETRY_AFTER_S);
        };
        total += count;
    }
    ApiResponse::new(StatusCode::OK).with_body(pending_body(total))
}

/// The pools that may have jobs of a queue. A daemon that can't read the store assumes that the queue was in no other pool, and
/// goes on to respond.
async fn pools_with_jobs(node: &Node, queue: &Queue) -> BTreeSet<SmolStr> {
    let configured = BTreeSet::from([queue.pool.clone()]);
    if node.is_store_unavailable() && node.assignments.known_intake(queue).is_none() {
        return configured;
    }
    let pools = node.assignments.pools_with_jobs(&node.store, queue).await;
    pools.unwrap_or_else(|err| {
        tracing::info!(queue = queue.name.as_str(), error = %err, "failed to read the previous pools of a queue; assuming that it has none");
        configured
    })
}

async fn request_peer_count(
    node: &Arc<Node>,
    pool: &SmolStr,
    queue: &SmolStr,
    assignment_key: &SmolStr,
) -> Option<usize> {
    let owner = node.reachable_owner(pool)?;
    let (pool, name, key) = (pool.clone(), queue.clone(), assignment_key.clone());
    let count = call_peer(node, &owner, |peer| async move {
        peer.not_started_jobs(pool, name, Some(key)).await
    });
    count.await.unwrap_or_else(|err| {
        tracing::debug!(queue = queue.as_str(), error = %err, "request to the pool owner for the number of jobs not started failed");
        None
    })
}

/// Handles the readiness probe of the load balancer. The daemon is ready while it has a configuration, the store
/// responds, and the daemon is not shutting down. Paths other than [`READY_PATH`] get status 404.
pub(crate) async fn handle_readiness(
    request: Request<Incoming>,
    node: Arc<Node>,
) -> Response<Full<Bytes>> {
    let is_shutting_down = node.is_shutting_down.load(Ordering::Acquire);
    let is_ready =
        node.active_config.get().is_some() && !is_shutting_down && !node.is_store_unavailable();
    let mut response = Response::new(Full::default());
    *response.status_mut() = if request.uri().path() != READY_PATH {
        StatusCode::NOT_FOUND
    } else if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    response
}

/// Responds with the metrics in the Prometheus text format.
pub(crate) async fn handle_metrics(_: Request<Incoming>, node: Arc<Node>) -> Response<Full<Bytes>> {
    if let Some(confirmed_at_ms) = node.config_confirmed_at_ms() {
        let age_ms = local_ms().saturating_sub(confirmed_at_ms);
        let age_ms = i64::try_from(age_ms).unwrap_or(i64::MAX);
        node.metrics.config_age_ms.set(age_ms);
    }
    Response::new(Full::new(Bytes::from(node.metrics.text())))
}
