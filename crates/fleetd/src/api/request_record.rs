//! The record of a caller's request in the log and the metrics.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use http::StatusCode;
use smol_str::SmolStr;

use super::response::ApiResponse;
use super::shorten::shorten;
use crate::node::Node;

/// The maximum length of the subject of a request in the log, in bytes. Callers choose paths.
const MAX_SUBJECT_BYTES: usize = 200;

/// The record of a caller's request in the log and the metrics: of its response, or of the caller's departure before it.
/// The request counts as in flight while the record exists.
pub(super) struct RequestRecord {
    node: Arc<Node>,
    started_at: Instant,
    /// The name of the call.
    pub(super) call: &'static str,
    /// The id of the job, or else the queue or the path.
    subject: SmolStr,
    /// The team whose key the request carries; empty for none.
    pub(super) team: SmolStr,
    /// How long the caller waits for the response, in ms; 0 when the request does not tell.
    pub(super) caller_wait_ms: u64,
    /// The pool that a submitted job was sent to, or was found in.
    pub(super) pool: Option<SmolStr>,
    /// How many previous pools of the queue were searched for a submitted job.
    pub(super) searched_pools: Option<usize>,
    is_answered: bool,
}

impl RequestRecord {
    pub(super) fn new(node: Arc<Node>) -> Self {
        node.in_flight_requests.fetch_add(1, Ordering::Relaxed);
        Self {
            node,
            started_at: Instant::now(),
            call: "none",
            subject: SmolStr::default(),
            team: SmolStr::default(),
            caller_wait_ms: 0,
            pool: None,
            searched_pools: None,
            is_answered: false,
        }
    }

    /// Sets the id of the job, the queue or the path, of which the log shows the first [`MAX_SUBJECT_BYTES`].
    pub(super) fn set_subject(&mut self, subject: &str) {
        self.subject = shorten(subject, MAX_SUBJECT_BYTES).into();
    }

    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The team for the log, which leaves it out where there is none.
    fn logged_team(&self) -> Option<&str> {
        (!self.team.is_empty()).then_some(self.team.as_str())
    }

    fn count(&self, status: &str) {
        let responses = &self.node.metrics.responses;
        responses.with_label_values(&[self.call, status]).inc();
    }

    /// Records the response. The log leaves out the states that were found.
    pub(super) fn record_response(&mut self, response: &ApiResponse) {
        let status = response.status;
        self.is_answered = true;
        self.count(status.as_str());
        if let Some(reason) = response.refusal {
            let refusals = &self.node.metrics.refusals;
            refusals.with_label_values(&[reason]).inc();
        }
        let duration_s = self.started_at.elapsed().as_secs_f64();
        self.node.metrics.response_duration_s.observe(duration_s);
        if self.call == "state" && status == StatusCode::OK {
            return;
        }
        let epoch = self.node.active_config.get().map_or(0, |it| it.epoch);
        tracing::info!(
            call = self.call,
            job = self.subject.as_str(),
            team = self.logged_team(),
            pool = self.pool.as_deref(),
            searched_pools = self.searched_pools,
            status = status.as_u16(),
            reason = response.refusal,
            ms = self.elapsed_ms(),
            caller_wait_ms = self.caller_wait_ms,
            epoch,
            "answered"
        );
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        self.node.in_flight_requests.fetch_sub(1, Ordering::Relaxed);
        if self.is_answered {
            return;
        }
        self.count("abandoned");
        tracing::info!(
            call = self.call,
            job = self.subject.as_str(),
            team = self.logged_team(),
            ms = self.elapsed_ms(),
            caller_wait_ms = self.caller_wait_ms,
            "the caller left before the response"
        );
    }
}
