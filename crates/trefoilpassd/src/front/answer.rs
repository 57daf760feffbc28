//! Answers to callers: a target's, passed on as it comes, or a problem document.

use bytes::Bytes;
use domain::{ErrorKind, Outcome};
use futures_util::{Stream, StreamExt, stream};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use once::StoredAnswer;
use prometheus::IntCounter;
use routing::AttemptResult;
use serde::Serialize;
use smol_str::SmolStr;
use sync_wrapper::SyncStream;
use warp::reply::{Reply, Response};

use crate::front::request::{REQUEST_ID_HEADER, passed_on};
use crate::traffic::Lease;

/// The header on an answer that was given before.
const REPLAYED_HEADER: &str = "idempotent-replayed";

/// A target's answer, of which the head has come.
#[derive(Debug)]
pub(crate) struct TargetAnswer {
    pub(crate) response: reqwest::Response,
    pub(crate) lease: Lease,
    pub(crate) until: tokio::time::Instant,
}

/// The body of an error.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    #[serde(rename = "type")]
    kind: &'a str,
    title: String,
    status: u16,
    outcome: Outcome,
    request_id: &'a str,
}

/// The answer for an error of that kind.
pub(crate) fn problem(kind: ErrorKind, request_id: &SmolStr) -> Response {
    let problem = Problem {
        kind: kind.name(),
        title: kind.name().replace('-', " "),
        status: kind.status(),
        outcome: kind.outcome(),
        request_id,
    };
    let mut response = warp::reply::json(&problem).into_response();
    *response.status_mut() = status(kind.status());
    let headers = response.headers_mut();
    let content_type = HeaderValue::from_static("application/problem+json");
    headers.insert(header::CONTENT_TYPE, content_type);
    if let Some(retry_after_s) = kind.retry_after_s() {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(retry_after_s));
    }
    with_request_id(response, request_id)
}

/// An answer that was kept.
pub(crate) fn stored(answer: StoredAnswer, is_replay: bool, request_id: &SmolStr) -> Response {
    let mut response = answer.body.into_response();
    *response.status_mut() = status(answer.status);
    let headers = response.headers_mut();
    headers.remove(header::CONTENT_TYPE);
    let content_type = answer.content_type.as_deref().map(HeaderValue::from_str);
    if let Some(Ok(content_type)) = content_type {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    if is_replay {
        headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    }
    with_request_id(response, request_id)
}

/// A target's answer, passed on as it comes. `start` is what was read of the body already.
pub(crate) fn streamed(
    answer: TargetAnswer,
    start: Option<Bytes>,
    cut: IntCounter,
    request_id: &SmolStr,
) -> Response {
    let answer_status = answer.response.status();
    let length = answer
        .response
        .headers()
        .get(header::CONTENT_LENGTH)
        .cloned();
    let headers = answer_headers(answer.response.headers());
    let start = stream::iter(start).map(Ok);
    let body = start.chain(body_stream(answer, cut));
    let mut response = warp::reply::stream(SyncStream::new(body)).into_response();
    *response.status_mut() = answer_status;
    *response.headers_mut() = headers;
    if let Some(length) = length {
        // With the length, the server breaks the connection if the body ends short of it.
        response
            .headers_mut()
            .insert(header::CONTENT_LENGTH, length);
    }
    with_request_id(response, request_id)
}

/// The headers of a target's answer that are passed on.
pub(crate) fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    passed_on(headers.clone())
}

/// The rest of the body. An error in it breaks the caller's connection, so that a short body is never taken for
/// a whole one.
fn body_stream(
    answer: TargetAnswer,
    cut: IntCounter,
) -> impl Stream<Item = std::io::Result<Bytes>> + Send {
    let state = Some((answer, cut));
    stream::unfold(state, async |state| {
        let (mut answer, cut) = state?;
        let chunk = tokio::time::timeout_at(answer.until, answer.response.chunk()).await;
        match chunk {
            Ok(Ok(None)) => None,
            Ok(Ok(Some(bytes))) => Some((Ok(bytes), Some((answer, cut)))),
            Ok(Err(_)) | Err(_) => {
                answer.lease.ended(AttemptResult::Failed);
                cut.inc();
                let err = std::io::Error::other("the target's answer broke off");
                Some((Err(err), None))
            }
        }
    })
}

fn status(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

fn with_request_id(mut response: Response, request_id: &SmolStr) -> Response {
    if let Ok(value) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}
