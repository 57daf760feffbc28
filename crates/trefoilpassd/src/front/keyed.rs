//! Requests with an idempotency key: claim first, then send, then keep the answer for resends.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use domain::{ErrorKind, Outcome};
use http::header;
use inbound::HeldBody;
use once::{Begin, ClaimId, Ending, Fingerprint, Ruling, StoredAnswer};
use platform::Platform;
use sha2::{Digest, Sha256};
use smol_str::{SmolStrBuilder, format_smolstr};
use tokio::sync::oneshot;
use tracing::Instrument;
use warp::reply::Response;

use crate::control::{BeginClaim, EndClaim, GiveUpClaim};
use crate::front::answer::{self, TargetAnswer};
use crate::front::exchange;
use crate::front::request::Head;
use crate::front::routes::Front;

/// The longest answer that is kept for resends.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// Bytes of the digest that tells a resend from another request.
const FINGERPRINT_BYTES: usize = 16;

/// The result of a step on a keyed request's way.
pub(crate) type Result<T> = std::result::Result<T, ErrorKind>;

/// Serves a keyed request. It goes on when the caller goes away, so that the answer is there for a resend.
pub(crate) async fn serve<P: Platform>(
    front: &Arc<Front<P>>,
    head: Head,
    body: HeldBody,
) -> Result<Response> {
    let front = front.clone();
    let task = async move { run(&front, &head, body.bytes()).await };
    let running = tokio::spawn(task.in_current_span());
    // The task panics only on a defect; the request may have run then.
    running.await.unwrap_or(Err(ErrorKind::TargetFailed))
}

async fn run<P: Platform>(front: &Front<P>, head: &Head, body: &Bytes) -> Result<Response> {
    let Some(key) = &head.key else {
        return Err(ErrorKind::MalformedRequest);
    };
    let id = ClaimId {
        service: head.service_id.clone(),
        key: key.clone(),
    };
    let span = tracing::info_span!("claim", key = %id.key);
    let ruling = claim(front, head, &id, fingerprint(head, body)).instrument(span);
    match ruling.await {
        Ruling::Run => {}
        Ruling::Replay(stored) => {
            front.shared.metrics.replays.inc();
            return Ok(answer::stored(stored, true, &head.request_id));
        }
        Ruling::Refuse(kind) => return Err(kind),
        Ruling::AskHolder(_) => return Err(ErrorKind::KeyHolderAway),
    }
    let sent = exchange::send_whole(front, head, body).await;
    let (ending, response) = match sent {
        Ok(answer) => keep(front, answer, head).await,
        Err(kind) if kind.outcome() == Outcome::NotRun => (Ending::NotRun, Err(kind)),
        Err(kind) => (Ending::Unknown, Err(kind)),
    };
    // The actor lives as long as the daemon.
    let _ = front.claims.send(EndClaim { id, ending }).await;
    response
}

async fn claim<P: Platform>(
    front: &Front<P>,
    head: &Head,
    id: &ClaimId,
    fingerprint: Fingerprint,
) -> Ruling {
    let unavailable = Ruling::Refuse(ErrorKind::ClaimUnavailable);
    let (waiter, mut ruled) = oneshot::channel();
    let begin = BeginClaim {
        id: id.clone(),
        fingerprint,
        waiter,
        span: tracing::Span::current(),
    };
    match front.claims.send(begin).await {
        Ok(Begin::Ruled(ruling)) => return ruling,
        Ok(Begin::Wait) => {}
        Err(_) => return unavailable,
    }
    let until = tokio::time::Instant::from_std(front.shared.clock.instant(head.deadline_us));
    if let Ok(ruling) = tokio::time::timeout_at(until, &mut ruled).await {
        return ruling.unwrap_or(unavailable);
    }
    // The actor learns that nobody waits any more before it can rule on the claim.
    ruled.close();
    let _ = front.claims.send(GiveUpClaim { id: id.clone() }).await;
    if matches!(ruled.try_recv(), Ok(Ruling::Run)) {
        let ending = Ending::NotRun;
        let _ = front
            .claims
            .send(EndClaim {
                id: id.clone(),
                ending,
            })
            .await;
    }
    unavailable
}

/// Reads an answer that is small enough to keep; a larger one is passed on as it comes.
async fn keep<P: Platform>(
    front: &Front<P>,
    mut answer: TargetAnswer,
    head: &Head,
) -> (Ending, Result<Response>) {
    let metrics = &front.shared.metrics;
    let mut start = BytesMut::new();
    loop {
        let chunk = tokio::time::timeout_at(answer.until, answer.response.chunk()).await;
        match chunk {
            Ok(Ok(Some(bytes))) => start.extend_from_slice(&bytes),
            Ok(Ok(None)) => break,
            Ok(Err(_)) | Err(_) => {
                answer.lease.ended(routing::AttemptResult::Failed);
                return (Ending::Unknown, Err(ErrorKind::TargetFailed));
            }
        }
        if start.len() > MAX_KEPT_BYTES {
            metrics.answers.inc();
            let cut = metrics.cut_answers.clone();
            let start = Some(start.freeze());
            let response = answer::streamed(answer, start, cut, &head.request_id);
            return (Ending::Answered(None), Ok(response));
        }
    }
    metrics.answers.inc();
    let headers = answer::answer_headers(answer.response.headers());
    let content_type = headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    let stored = StoredAnswer {
        status: answer.response.status().as_u16(),
        content_type: content_type.map(str::to_owned),
        body: start.to_vec(),
    };
    let mut response = answer::stored(stored.clone(), false, &head.request_id);
    for (name, value) in &headers {
        if !response.headers().contains_key(name) {
            response.headers_mut().append(name.clone(), value.clone());
        }
    }
    (Ending::Answered(Some(stored)), Ok(response))
}

fn fingerprint(head: &Head, body: &Bytes) -> Fingerprint {
    let mut hash = Sha256::new();
    hash.update(head.method.as_str());
    hash.update(head.path_and_query.as_bytes());
    hash.update([0]);
    hash.update(body);
    let digest = hash.finalize();
    let mut hex = SmolStrBuilder::new();
    for byte in &digest[..FINGERPRINT_BYTES] {
        hex.push_str(&format_smolstr!("{byte:02x}"));
    }
    Fingerprint(hex.finish())
}
