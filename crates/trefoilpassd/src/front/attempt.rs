//! One attempt: a request to one target, up to the head of its answer.

use domain::ErrorKind;
use http::HeaderValue;
use routing::AttemptResult;
use tracing::{Instrument, Span};

use crate::clock::Clock;
use crate::front::answer::TargetAnswer;
use crate::front::request::{DEADLINE_HEADER, Head, REQUEST_ID_HEADER};
use crate::traces;
use crate::traffic::Lease;

/// The header by which a target says that it did not run a request.
const TARGET_OUTCOME_HEADER: &str = "x-outcome";

/// Its value.
const NOT_RUN: &str = "not-run";

/// The result of an attempt. The error's outcome says whether the target may have run the request.
pub(crate) type Result<T> = std::result::Result<T, ErrorKind>;

/// Sends a request to the target of `lease`.
pub(crate) async fn send(
    http: &reqwest::Client,
    clock: Clock,
    head: &Head,
    body: reqwest::Body,
    mut lease: Lease,
) -> Result<TargetAnswer> {
    let span = tracing::info_span!("target", addr = %lease.addr);
    let until = tokio::time::Instant::from_std(clock.instant(head.deadline_us));
    let request = request(http, clock, head, body, &lease, &span);
    let sent = tokio::time::timeout_at(until, request.send()).instrument(span);
    let response = match sent.await {
        Ok(Ok(response)) => response,
        Ok(Err(err)) if err.is_connect() => {
            lease.ended(AttemptResult::Unreachable);
            return Err(ErrorKind::TargetUnreachable);
        }
        Ok(Err(_)) => {
            lease.ended(AttemptResult::Failed);
            return Err(ErrorKind::TargetFailed);
        }
        Err(_) => {
            lease.ended(AttemptResult::Failed);
            return Err(ErrorKind::TargetTimeout);
        }
    };
    let header = |name| response.headers().get(name).map(HeaderValue::as_bytes);
    if header(TARGET_OUTCOME_HEADER) == Some(NOT_RUN.as_bytes()) {
        lease.ended(AttemptResult::Refused);
        return Err(ErrorKind::TargetRefused);
    }
    let is_other_answer =
        header(REQUEST_ID_HEADER).is_some_and(|id| id != head.request_id.as_bytes());
    if is_other_answer {
        // Dropping the response closes the connection, so that it carries no further wrong answers.
        lease.ended(AttemptResult::Failed);
        return Err(ErrorKind::TargetFailed);
    }
    if response.status().is_server_error() {
        lease.ended(AttemptResult::Failed);
    } else {
        lease.answered();
    }
    Ok(TargetAnswer {
        response,
        lease,
        until,
    })
}

fn request(
    http: &reqwest::Client,
    clock: Clock,
    head: &Head,
    body: reqwest::Body,
    lease: &Lease,
    span: &Span,
) -> reqwest::RequestBuilder {
    let url = format!("http://{}{}", lease.addr, head.path_and_query);
    let mut headers = head.headers.clone();
    traces::carry_on(span, &mut headers);
    let left_ms = head.deadline_us.saturating_sub(clock.now_us()) / 1_000;
    headers.insert(DEADLINE_HEADER, HeaderValue::from(left_ms));
    if let Ok(id) = HeaderValue::from_str(&head.request_id) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    http.request(head.method.clone(), url)
        .headers(headers)
        .body(body)
}
