//! Submits a job: to the owner of the pool that records the new jobs of its queue, unless a previous pool of the queue has it.

use std::sync::Arc;
use std::time::Duration;

use access::Caller;
use http::StatusCode;
use smol_str::SmolStr;
use submission::{Job, JobId};
use tokio::time::{Instant, timeout_at};
use users_platform::{Queue, decode_job};

use super::handlers::find_in_pools;
use super::request_record::RequestRecord;
use super::response::{ApiResponse, RETRY_AFTER_S};
use crate::assignments::{OpenIntake, SubmittedIntake, assignment_key};
use crate::config::rules_of;
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

/// The longest time for which a request is kept, whatever its caller says. Callers whose requests have a timeout wait for some seconds.
const MAX_CALLER_WAIT: Duration = Duration::from_secs(30);

/// How long a submission may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Waits {
    /// Until the response at the latest.
    response: Duration,
    /// For an owner of the pool.
    owner: Duration,
}

impl Waits {
    fn new(caller_wait: Option<Duration>) -> Self {
        let caller_wait = caller_wait
            .unwrap_or(DEFAULT_CALLER_WAIT)
            .min(MAX_CALLER_WAIT);
        let response = caller_wait.saturating_sub(RESPONSE_MARGIN.min(caller_wait / 4));
        Self {
            response,
            owner: response.min(TAKEOVER_WAIT.max(caller_wait / 2)),
        }
    }
}

/// A submission of a caller.
pub(super) struct Submission<'a> {
    queue: &'a Queue,
    /// The epoch of the configuration with the queue.
    epoch: u64,
    caller: &'a Caller,
    id: JobId,
    /// When the caller gets a response at the latest.
    respond_by: Instant,
    /// Until when the submission waits for an owner of its pool.
    give_up_at: Instant,
}

/// What a submission finds out before it is sent to the owner of a pool.
struct Findings {
    intake: OpenIntake,
    /// The job and its pool, if it is in a previous pool of the queue.
    found: Option<(SmolStr, Job)>,
}

impl<'a> Submission<'a> {
    /// Creates the submission of the job `id` that has just arrived.
    pub(super) fn new(
        queue: &'a Queue,
        epoch: u64,
        caller: &'a Caller,
        id: JobId,
        caller_wait: Option<Duration>,
    ) -> Self {
        let now = Instant::now();
        let waits = Waits::new(caller_wait);
        Self {
            queue,
            epoch,
            caller,
            id,
            respond_by: now + waits.response,
            give_up_at: now + waits.owner,
        }
    }

    /// Submits the job that the body of the request describes. A job that is submitted again after its queue was assigned to
    /// another pool stays in the pool that has it.
    pub(super) async fn submit(
        &self,
        node: &Arc<Node>,
        body: &[u8],
        record: &mut RequestRecord,
    ) -> ApiResponse {
        let spec = match decode_job(body) {
            Ok(spec) => spec,
            Err(err) => return ApiResponse::bad_request(&err.to_string()),
        };
        if let Err(err) = spec.validate() {
            return ApiResponse::bad_request(&err.to_string());
        }
        let key = assignment_key(&self.queue.host, &self.queue.prefix);
        let mut request = SubmitRequest {
            pool: self.queue.pool.clone(),
            queue: self.queue.name.clone(),
            team: self.caller.team().into(),
            rules: Some(rules_of(self.queue)),
            id: self.id,
            spec,
            intake: Some(SubmittedIntake::unread(key.clone())),
        };
        // A transaction with a row that the store refuses would fail again and again, and others with it.
        if !fits_row(&request) {
            return ApiResponse::new(StatusCode::PAYLOAD_TOO_LARGE);
        }
        // The owner of the pool knows most assignments. Without a read, a daemon that the store refuses can submit jobs, too.
        let mut is_read = node.assignments.known_intake(self.queue).is_some();
        loop {
            let mut read_intake = None;
            request.intake = Some(SubmittedIntake::unread(key.clone()));
            record.searched_pools = Some(0);
            if is_read {
                let Some(Findings { intake, found }) = self.find(node).await else {
                    return ApiResponse::unavailable(RETRY_AFTER_S);
                };
                record.searched_pools = Some(intake.previous_pools.len());
                if let Some((pool, job)) = found {
                    record.pool = Some(pool);
                    return if self.caller.may_access(&job.team) {
                        ApiResponse::accepted()
                    } else {
                        ApiResponse::other_team()
                    };
                }
                request.pool = intake.pool.clone();
                request.intake = Some(intake.submitted(key.clone()));
                read_intake = Some(intake);
            }
            record.pool = Some(request.pool.clone());
            match self.submit_to_owner(node, &request).await {
                SubmitReply::Accepted => return ApiResponse::accepted(),
                SubmitReply::Refused { retry_after_s } => {
                    return ApiResponse::unavailable(retry_after_s);
                }
                SubmitReply::NotOwner => return ApiResponse::unavailable(RETRY_AFTER_S),
                SubmitReply::OtherTeam => return ApiResponse::other_team(),
                SubmitReply::OutcomeUnknown => {
                    return ApiResponse::new(StatusCode::GATEWAY_TIMEOUT);
                }
                SubmitReply::Reassigned => {
                    if let Some(outdated) = read_intake {
                        node.assignments.forget(self.queue, &outdated);
                    }
                    is_read = true;
                }
            }
        }
    }

    /// Finds the pool that records the job if it is new, and the job in the previous pools of the queue. None, with a log
    /// record, if the store does not tell in time.
    async fn find(&self, node: &Arc<Node>) -> Option<Findings> {
        let search = async {
            let intake = node
                .assignments
                .open_intake(&node.store, self.queue, self.epoch);
            let intake = intake.await?;
            // The pools are searched after the intake was found open: they record no new jobs of the queue since.
            let found = find_in_pools(node, intake.previous_pools.iter(), self.id).await?;
            Ok::<_, users_platform::Error>(Findings { intake, found })
        };
        let message = match timeout_at(self.give_up_at, search).await {
            Ok(Ok(findings)) => return Some(findings),
            Ok(Err(err)) => err.to_string(),
            Err(_) => "the time of the submission is over".to_owned(),
        };
        tracing::info!(job = %self.id, queue = self.queue.name.as_str(), error = message, "failed to find the pool of a submitted job");
        None
    }

    /// Submits a job to the owner of its pool. While no owner responds, waits for a takeover, unless the store is
    /// unavailable. A call whose outcome is unknown is repeated: the id of the job makes that safe, and the next owner knows
    /// whether the job was recorded.
    async fn submit_to_owner(&self, node: &Arc<Node>, request: &SubmitRequest) -> SubmitReply {
        // The term of the owner that may have recorded the job, or may do so later.
        let mut in_doubt = None;
        loop {
            let owners_read = node.peers_updated.notified();
            let attempt = try_submit_to_owner(node, request.clone());
            let Ok((term, reply)) = timeout_at(self.respond_by, attempt).await else {
                return SubmitReply::OutcomeUnknown;
            };
            match reply {
                // An earlier call to the same owner may arrive late. The owner of a later term has read all rows.
                SubmitReply::Refused { .. } | SubmitReply::Reassigned
                    if in_doubt.is_some_and(|in_doubt| in_doubt >= term) =>
                {
                    return SubmitReply::OutcomeUnknown;
                }
                SubmitReply::Accepted
                | SubmitReply::Refused { .. }
                | SubmitReply::OtherTeam
                | SubmitReply::Reassigned => return reply,
                SubmitReply::OutcomeUnknown => in_doubt = in_doubt.max(Some(term)),
                SubmitReply::NotOwner => node.peers_outdated.notify_one(),
            }
            let next_owner = timeout_at(self.give_up_at, owners_read);
            if node.is_store_unavailable() || next_owner.await.is_err() {
                return match in_doubt {
                    Some(_) => SubmitReply::OutcomeUnknown,
                    None => SubmitReply::NotOwner,
                };
            }
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
    let start = std::time::Instant::now();
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

#[cfg(test)]
mod tests;
