//! Answers callers: hand a job in, where it is, cancel it, how many wait.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use jsonrpsee::http_client::HttpClient as PeerClient;
use ownership::ShardOwner;
use smol_str::SmolStr;
use submission::{Job, JobId};
use users_platform::{
    CallerRequest, KeyRange, Queue, READY_PATH, decode_job, decode_request, pending_body,
    state_body,
};

use crate::config::{FLEET_UNIT, find_queue};
use crate::node::{Node, STORE_TIMEOUT, tables};
use crate::pool::jobs_of;
use crate::rpc::{Handover, HandoverAnswer, JobReply, PoolClient, WireState, is_without_effect};

/// When to come back to a daemon that does not know who decides for the pool. A takeover takes 3 s.
const RETRY_AFTER_S: u32 = 1;

/// How long a job waits for a pool's next daemon. A takeover takes 2 s, and callers wait 3 s.
const TAKEOVER_WAIT: std::time::Duration = std::time::Duration::from_millis(1600);

/// An answer without a body of its own.
struct Answer {
    status: StatusCode,
    body: String,
    retry_after_s: Option<u32>,
}

impl Answer {
    fn new(status: StatusCode) -> Self {
        Self {
            status,
            body: String::new(),
            retry_after_s: None,
        }
    }

    fn with_body(mut self, body: String) -> Self {
        self.body = body;
        self
    }

    /// It has not run, and will not: come back.
    fn refused(retry_after_s: u32) -> Self {
        let mut answer = Self::new(StatusCode::SERVICE_UNAVAILABLE);
        answer.retry_after_s = Some(retry_after_s);
        answer
    }

    fn bad_request(why: &str) -> Self {
        let body = serde_json::json!({ "error": why }).to_string();
        Self::new(StatusCode::BAD_REQUEST).with_body(body)
    }
}

/// Answers a caller.
pub(crate) async fn answer_request(
    request: Request<Incoming>,
    node: &Arc<Node>,
) -> Response<Full<Bytes>> {
    let start = Instant::now();
    let (call, id, answer) = decide(request, node).await;
    let status = answer.status.as_u16();
    node.metrics
        .answers
        .with_label_values(&[call, &status.to_string()])
        .inc();
    node.metrics.answer_s.observe(start.elapsed().as_secs_f64());
    let ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
    if call != "state" || status != 200 {
        let epoch = node.in_force.get().map_or(0, |config| config.epoch);
        tracing::info!(call, job = id.as_str(), status, ms, epoch, "answered");
    }
    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
    *response.status_mut() = answer.status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    if let Some(seconds) = answer.retry_after_s {
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

async fn decide(request: Request<Incoming>, node: &Arc<Node>) -> (&'static str, SmolStr, Answer) {
    let Some(config) = node.in_force.get() else {
        return ("none", SmolStr::default(), Answer::refused(RETRY_AFTER_S));
    };
    let (parts, body) = request.into_parts();
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let path = parts.uri.path();
    let Some(queue) = find_queue(&config, host.unwrap_or_default(), path) else {
        return ("none", path.into(), Answer::new(StatusCode::NOT_FOUND));
    };
    let rest = &path[queue.prefix.len()..];
    match decode_request(&parts.method, rest) {
        CallerRequest::Submit(id) => {
            let most_bytes = config.limits.max_body_bytes;
            let body = match Limited::new(body, most_bytes).collect().await {
                Ok(body) => body.to_bytes(),
                Err(err) if err.is::<http_body_util::LengthLimitError>() => {
                    let answer = Answer::new(StatusCode::PAYLOAD_TOO_LARGE);
                    return ("submit", id.to_string().into(), answer);
                }
                Err(err) => {
                    let answer = Answer::bad_request(&err.to_string());
                    return ("submit", id.to_string().into(), answer);
                }
            };
            (
                "submit",
                id.to_string().into(),
                submit(node, queue, id, &body).await,
            )
        }
        CallerRequest::State(id) => ("state", id.to_string().into(), state(node, queue, id).await),
        CallerRequest::Cancel(id) => (
            "cancel",
            id.to_string().into(),
            cancel(node, queue, id).await,
        ),
        CallerRequest::Pending => ("pending", queue.name.clone(), pending(node, queue).await),
        CallerRequest::Unknown if parts.method == Method::GET || parts.method == Method::POST => {
            let why = "the path does not end with a job id of 16 hexadecimal digits";
            ("unknown", rest.into(), Answer::bad_request(why))
        }
        CallerRequest::Unknown => (
            "unknown",
            rest.into(),
            Answer::new(StatusCode::METHOD_NOT_ALLOWED),
        ),
    }
}

async fn submit(node: &Arc<Node>, queue: &Queue, id: JobId, body: &[u8]) -> Answer {
    let spec = match decode_job(body) {
        Ok(spec) => spec,
        Err(err) => return Answer::bad_request(&err.to_string()),
    };
    if let Err(err) = spec.validate() {
        return Answer::bad_request(&err.to_string());
    }
    for pool in node.in_force.earlier_pools(queue) {
        // A job that is handed in again after its queue was sent to another pool stays where it is.
        match stored_job(node, &pool, id).await {
            Ok(Some(_)) => return Answer::new(StatusCode::OK).with_body("{}".into()),
            Ok(None) => {}
            Err(err) => {
                tracing::info!(job = %id, error = %err, "it can't be known whether a job is in an earlier pool");
                return Answer::refused(RETRY_AFTER_S);
            }
        }
    }
    let handover = Handover {
        pool: queue.pool.clone(),
        queue: queue.name.clone(),
        id,
        spec,
    };
    match hand_over(node, handover).await {
        HandoverAnswer::Accepted => Answer::new(StatusCode::OK).with_body("{}".into()),
        HandoverAnswer::Refused { retry_after_s } => Answer::refused(retry_after_s),
        HandoverAnswer::NotOwner => Answer::refused(RETRY_AFTER_S),
        HandoverAnswer::Unknown => Answer::new(StatusCode::GATEWAY_TIMEOUT),
    }
}

/// Hands a job to the daemon that decides for its pool. While none does, waits a little for one to take over.
async fn hand_over(node: &Arc<Node>, handover: Handover) -> HandoverAnswer {
    let deadline = tokio::time::Instant::now() + TAKEOVER_WAIT;
    loop {
        let claims_read = node.claims_read.notified();
        let answer = hand_over_once(node, handover.clone()).await;
        if answer != HandoverAnswer::NotOwner || node.is_store_away() {
            return answer;
        }
        if tokio::time::timeout_at(deadline, claims_read)
            .await
            .is_err()
        {
            return answer;
        }
    }
}

async fn hand_over_once(node: &Arc<Node>, handover: Handover) -> HandoverAnswer {
    if let Some(owner) = node.own_pool(&handover.pool) {
        return owner
            .submit(handover.queue, handover.id, handover.spec)
            .await;
    }
    let Some((claim, peer)) = claimant(node, &handover.pool) else {
        return HandoverAnswer::NotOwner;
    };
    let job = handover.id;
    match peer.submit(handover).await {
        Ok(answer) => answer,
        Err(err) => {
            tracing::info!(job = %job, error = %err, "the pool's daemon does not answer");
            node.suspect(&claim);
            if is_without_effect(&err) {
                HandoverAnswer::NotOwner
            } else {
                HandoverAnswer::Unknown
            }
        }
    }
}

/// The daemon that claims a pool, and a client of it.
fn claimant(node: &Node, pool: &str) -> Option<(ShardOwner, PeerClient)> {
    let claim = node.claim(pool)?;
    let peer = node.peer(&claim.addr)?;
    Some((claim, peer))
}

async fn state(node: &Arc<Node>, queue: &Queue, id: JobId) -> Answer {
    let reply = match node.own_pool(&queue.pool) {
        Some(owner) => owner.state(id),
        None => ask_peer_state(node, &queue.pool, id).await,
    };
    match reply {
        JobReply::State(WireState(state)) => {
            Answer::new(StatusCode::OK).with_body(state_body(state))
        }
        JobReply::Absent | JobReply::NotOwner | JobReply::Unknown => {
            stored_state(node, queue, id).await
        }
    }
}

async fn ask_peer_state(node: &Arc<Node>, pool: &SmolStr, id: JobId) -> JobReply {
    let Some((claim, peer)) = claimant(node, pool) else {
        return JobReply::NotOwner;
    };
    peer.state(pool.clone(), id).await.unwrap_or_else(|err| {
        tracing::debug!(job = %id, error = %err, "the pool's daemon does not tell of a job");
        node.suspect(&claim);
        JobReply::NotOwner
    })
}

/// Where a job is by the rows in the store. Only the store can tell that there is none.
async fn stored_state(node: &Arc<Node>, queue: &Queue, id: JobId) -> Answer {
    match find_job(node, queue, id).await {
        Ok(Some((_, job))) => Answer::new(StatusCode::OK).with_body(state_body(job.state())),
        Ok(None) => Answer::new(StatusCode::GONE),
        Err(err) => {
            tracing::info!(job = %id, error = %err, "neither the pool's daemon nor the store tells of a job");
            Answer::refused(RETRY_AFTER_S)
        }
    }
}

/// A job by the rows in the store, in the queue's pool or in any other: queues are sent elsewhere at times.
async fn find_job(
    node: &Arc<Node>,
    queue: &Queue,
    id: JobId,
) -> Result<Option<(SmolStr, Job)>, users_platform::Error> {
    let mut pools = node.in_force.units();
    pools.retain(|pool| pool != FLEET_UNIT && *pool != queue.pool);
    pools.insert(0, queue.pool.clone());
    for pool in pools {
        if let Some(job) = stored_job(node, &pool, id).await? {
            return Ok(Some((pool, job)));
        }
    }
    Ok(None)
}

async fn stored_job(
    node: &Arc<Node>,
    pool: &str,
    id: JobId,
) -> Result<Option<Job>, users_platform::Error> {
    let key = id.to_string();
    let until = format!("{key}~");
    let mut rows = Vec::new();
    // The progress first: it is written with the job or after it.
    for table in [tables::PROGRESS, tables::JOB] {
        let range = KeyRange {
            table,
            part: pool,
            from: &key,
            until: &until,
        };
        rows.extend(node.store.read(range, 1, STORE_TIMEOUT).await?.rows);
    }
    Ok(jobs_of(rows).into_iter().next())
}

async fn cancel(node: &Arc<Node>, queue: &Queue, id: JobId) -> Answer {
    let mut reply = cancel_in(node, &queue.pool, id).await;
    if reply == JobReply::Absent {
        reply = match find_job(node, queue, id).await {
            Ok(None) => return Answer::new(StatusCode::GONE),
            Ok(Some((pool, _))) => cancel_in(node, &pool, id).await,
            Err(err) => {
                tracing::info!(job = %id, error = %err, "the store does not tell of a job to cancel");
                JobReply::Unknown
            }
        };
    }
    match reply {
        JobReply::State(_) => Answer::new(StatusCode::OK).with_body("{}".into()),
        _ => Answer::refused(RETRY_AFTER_S),
    }
}

async fn cancel_in(node: &Arc<Node>, pool: &SmolStr, id: JobId) -> JobReply {
    if let Some(owner) = node.own_pool(pool) {
        return owner.cancel(id).await;
    }
    let Some((claim, peer)) = claimant(node, pool) else {
        return JobReply::NotOwner;
    };
    peer.cancel(pool.clone(), id).await.unwrap_or_else(|err| {
        tracing::info!(job = %id, error = %err, "the pool's daemon does not cancel");
        node.suspect(&claim);
        JobReply::Unknown
    })
}

async fn pending(node: &Arc<Node>, queue: &Queue) -> Answer {
    let count = match node.own_pool(&queue.pool) {
        Some(owner) => Some(owner.pending(&queue.name)),
        None => match claimant(node, &queue.pool) {
            Some((claim, peer)) => {
                let count = peer.pending(queue.pool.clone(), queue.name.clone()).await;
                count.unwrap_or_else(|err| {
                    tracing::debug!(queue = queue.name.as_str(), error = %err, "the pool's daemon does not count");
                    node.suspect(&claim);
                    None
                })
            }
            None => None,
        },
    };
    match count {
        Some(count) => Answer::new(StatusCode::OK).with_body(pending_body(count)),
        None => Answer::refused(RETRY_AFTER_S),
    }
}

/// Answers the balancer: a daemon takes connections while it has a configuration and the store, until it leaves.
pub(crate) async fn answer_ready(
    request: Request<Incoming>,
    node: Arc<Node>,
) -> Response<Full<Bytes>> {
    let is_leaving = node.is_leaving.load(Ordering::Acquire);
    let is_ready = node.in_force.get().is_some() && !is_leaving && !node.is_store_away();
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

/// Answers with the counters.
pub(crate) async fn answer_metrics(_: Request<Incoming>, node: Arc<Node>) -> Response<Full<Bytes>> {
    Response::new(Full::new(Bytes::from(node.metrics.text())))
}
