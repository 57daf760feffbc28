//! The way of a request: head, body, attempts, answer.

use std::sync::Arc;

use bytes::Bytes;
use domain::{ErrorKind, Outcome};
use futures_util::Stream;
use http::header::CONTENT_LENGTH;
use inbound::Connection;
use platform::Platform;
use prometheus::IntGauge;
use routing::Request;
use smol_str::{SmolStr, format_smolstr};
use tracing::Instrument;
use warp::Buf;
use warp::reply::Response;

use crate::front::answer::{self, TargetAnswer};
use crate::front::body::{self, Body, Need};
use crate::front::request::{Head, RawRequest};
use crate::front::routes::Front;
use crate::front::{attempt, keyed};
use crate::shared::Shared;
use crate::traces;

/// The most attempts for one request.
const MAX_ATTEMPTS: usize = 3;

/// The result of a step on a request's way.
pub(crate) type Result<T> = std::result::Result<T, ErrorKind>;

/// Serves one request.
pub(crate) async fn serve<P, S, B>(
    front: &Arc<Front<P>>,
    raw: RawRequest,
    parts: S,
    connection: Connection,
) -> Response
where
    P: Platform,
    S: Stream<Item = std::result::Result<B, warp::Error>> + Send + Unpin + 'static,
    B: Buf + Send + 'static,
{
    let shared = &front.shared;
    let _in_flight = Counted::new(shared.metrics.in_flight.clone());
    let request_id = raw.request_id().unwrap_or_else(|| {
        let op = shared.next_op();
        format_smolstr!("{op}")
    });
    let span = tracing::info_span!("request", id = %request_id);
    traces::continue_from(&span, &raw.headers);
    let served = try_serve(front, raw, (parts, connection), request_id.clone()).instrument(span);
    served.await.unwrap_or_else(|kind| {
        shared.metrics.count_error(kind);
        answer::problem(kind, &request_id)
    })
}

async fn try_serve<P, S, B>(
    front: &Arc<Front<P>>,
    raw: RawRequest,
    (mut parts, connection): (S, Connection),
    request_id: SmolStr,
) -> Result<Response>
where
    P: Platform,
    S: Stream<Item = std::result::Result<B, warp::Error>> + Send + Unpin + 'static,
    B: Buf + Send + 'static,
{
    let read = read(&front.shared, raw, (&mut parts, &connection), request_id);
    let (mut head, body) = match read.await {
        Ok(request) => request,
        Err(kind) => {
            if kind != ErrorKind::BodyTooSlow {
                body::discard(&mut parts).await;
            }
            return Err(kind);
        }
    };
    match body {
        Body::Whole(body) if head.needs_claim() => keyed::serve(front, head, body).await,
        Body::Whole(body) => {
            let answer = send_whole(front, &head, body.bytes()).await?;
            Ok(pass_on(front, answer, &head))
        }
        Body::Start(start) => {
            if let Some(body_bytes) = head.body_bytes {
                // With the length, a target can tell a body that stops from a whole one.
                head.headers.insert(CONTENT_LENGTH, body_bytes.into());
            }
            let body = body::streamed(start, parts, head.max_body_bytes, connection);
            let answer = send_once(front, &head, body).await?;
            Ok(pass_on(front, answer, &head))
        }
    }
}

/// Reads a request's head, and its body as far as it is needed before anything is sent.
async fn read<P, S, B>(
    shared: &Shared<P>,
    raw: RawRequest,
    (parts, connection): (&mut S, &Connection),
    request_id: SmolStr,
) -> Result<(Head, Body)>
where
    P: Platform,
    S: Stream<Item = std::result::Result<B, warp::Error>> + Unpin,
    B: Buf,
{
    let head = Head::read(shared, raw, request_id, shared.clock.now_us())?;
    let service = head.service_id.as_str();
    shared.metrics.requests.with_label_values(&[service]).inc();
    let need = if head.needs_claim() {
        Need::Whole
    } else {
        Need::None
    };
    let until = tokio::time::Instant::from_std(shared.clock.instant(head.deadline_us));
    let body = body::read((parts, connection), need, head.max_body_bytes, until).await?;
    Ok((head, body))
}

fn pass_on<P: Platform>(front: &Front<P>, answer: TargetAnswer, head: &Head) -> Response {
    let metrics = &front.shared.metrics;
    metrics.answers.inc();
    answer::streamed(answer, None, metrics.cut_answers.clone(), &head.request_id)
}

/// Sends a request whose body can be sent again, and tries other targets where that is safe.
///
/// A request that no target has run may be tried again; one that may have run only if it is idempotent.
pub(crate) async fn send_whole<P: Platform>(
    front: &Front<P>,
    head: &Head,
    body: &Bytes,
) -> Result<TargetAnswer> {
    let shared = &front.shared;
    let mut tried = Vec::new();
    let mut worst = None;
    loop {
        let lease = match acquire(front, head, tried.clone()).await {
            Ok(lease) => lease,
            Err(kind) => return Err(worst.unwrap_or(kind)),
        };
        let target = lease.key;
        shared.metrics.attempts.inc();
        let sent = attempt::send(&front.http, shared.clock, head, body.clone().into(), lease);
        let kind = match sent.await {
            Ok(answer) => return Ok(answer),
            Err(kind) => kind,
        };
        if kind.outcome() == Outcome::Unknown {
            worst = Some(kind);
        }
        tried.push(target);
        let is_safe = kind.outcome() == Outcome::NotRun || head.is_idempotent();
        let may_retry = is_safe && tried.len() < MAX_ATTEMPTS && kind != ErrorKind::TargetTimeout;
        if !may_retry || !take_retry(front, head) {
            return Err(worst.unwrap_or(kind));
        }
        shared.metrics.retries.inc();
    }
}

/// Sends a request whose body can be sent once only.
async fn send_once<P: Platform>(
    front: &Front<P>,
    head: &Head,
    body: reqwest::Body,
) -> Result<TargetAnswer> {
    let lease = acquire(front, head, Vec::new()).await?;
    front.shared.metrics.attempts.inc();
    attempt::send(&front.http, front.shared.clock, head, body, lease).await
}

async fn acquire<P: Platform>(
    front: &Front<P>,
    head: &Head,
    tried: Vec<routing::TargetKey>,
) -> Result<crate::traffic::Lease> {
    front.shared.recheck_after_pause().await;
    let request = Request {
        service: head.service,
        deadline_us: head.deadline_us,
        tried,
    };
    let span = tracing::info_span!("queue");
    front.shared.traffic.acquire(request).instrument(span).await
}

fn take_retry<P: Platform>(front: &Front<P>, head: &Head) -> bool {
    let traffic = &front.shared.traffic;
    traffic.with(|router, _, _| router.try_take_retry(head.service))
}

/// Counts a request for as long as it lives.
struct Counted(IntGauge);

impl Counted {
    fn new(gauge: IntGauge) -> Self {
        gauge.inc();
        Self(gauge)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.dec();
    }
}
