//! Responses to callers.

use access::Refusal;
use http::StatusCode;

use super::shorten::shorten;

/// The delay after which callers may retry a request that the daemon can't serve now, for instance because the owner of
/// the pool is unknown.
pub(super) const RETRY_AFTER_S: u32 = 1;

/// The maximum length of the reason in a response, in bytes. The decoder's reasons repeat values of the request.
const MAX_REASON_BYTES: usize = 300;

/// The content of a response to a caller.
pub(super) struct ApiResponse {
    pub(super) status: StatusCode,
    pub(super) body: String,
    pub(super) retry_after_s: Option<u32>,
    /// Why the caller has no access, in logs and metrics.
    pub(super) refusal: Option<&'static str>,
}

impl ApiResponse {
    pub(super) fn new(status: StatusCode) -> Self {
        Self {
            status,
            body: String::new(),
            retry_after_s: None,
            refusal: None,
        }
    }

    pub(super) fn with_body(mut self, body: String) -> Self {
        self.body = body;
        self
    }

    /// Status 200 for a submission or a cancellation.
    pub(super) fn accepted() -> Self {
        Self::new(StatusCode::OK).with_body("{}".into())
    }

    /// Status 503 with the delay after which the caller may retry. A submission had no effect and will have none; the
    /// outcome of a cancellation may be unknown.
    pub(super) fn unavailable(retry_after_s: u32) -> Self {
        let mut response = Self::new(StatusCode::SERVICE_UNAVAILABLE);
        response.retry_after_s = Some(retry_after_s);
        response
    }

    /// Refuses a request by its key. The request had no effect.
    pub(super) fn refused(refusal: Refusal) -> Self {
        let mut response = match refusal {
            Refusal::NoKey | Refusal::UnknownKey => Self::new(StatusCode::UNAUTHORIZED),
            Refusal::StaleConfig => Self::unavailable(RETRY_AFTER_S),
        };
        response.refusal = Some(refusal.name());
        response
    }

    /// Status 403 for a request about a job of another team. The request had no effect.
    pub(super) fn other_team() -> Self {
        let mut response = Self::new(StatusCode::FORBIDDEN);
        response.refusal = Some("other_team");
        response
    }

    /// Status 400 with the first [`MAX_REASON_BYTES`] of a reason.
    pub(super) fn bad_request(reason: &str) -> Self {
        let reason = shorten(reason, MAX_REASON_BYTES);
        let body = serde_json::json!({ "error": reason }).to_string();
        Self::new(StatusCode::BAD_REQUEST).with_body(body)
    }
}
