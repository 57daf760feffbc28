//! Runs the scheduler of each pool that this daemon owns: records the scheduler's decisions in the store, then
//! sends the commands that follow from them to the workers.

mod commands;
mod lease_renewal;
mod policy;
mod progress;
mod quotas;
mod recorder;
mod registry;
mod sequence;
mod submissions;
mod takeover;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use access::Caller;
use ownership::Lease;
use parking_lot::Mutex;
use scheduler::{Demand, JobStatus, Now, Scheduler, UnavailableReason, WorkerKey};
use smol_str::SmolStr;
use submission::{Job, JobId};
use tokio::sync::Notify;

use crate::clock::local_ms;
use crate::node::Node;
use crate::peer_calls::call_peer;
use crate::rpc::{
    JobReply, OwnerProgress, PoolClient, RoundReply, RoundRequest, SubmitReply, SubmitRequest,
    WireState,
};

use quotas::TeamLimits;
use submissions::Submissions;

pub(crate) use recorder::fits_row;
pub(crate) use sequence::{Sequence, SequenceError};
pub(crate) use takeover::{
    RowReader, Takeover, decode_jobs, read_all_rows, take_over_pool, take_over_shard,
};

/// How long an owner continues to renew the leases of workers after its last committed transaction. Together with the
/// lease of 5 s, running attempts survive the usual outages of the store of 4.5 s. The next owner waits for the same
/// time before it assumes that the leases of an unresponsive worker have expired.
pub(crate) const OWNER_GRACE_MS: u64 = 4000;

/// How long after its last committed transaction an owner may tell the leader that a worker runs nothing. An owner renews its lease each
/// second.
const DRAIN_REPLY_WINDOW_MS: u64 = 1500;

/// How long the store may fail transactions before new jobs are refused at once instead of waiting for a commit.
const STORE_UNAVAILABLE_MS: u64 = 700;

/// How often an owner checks whether the store is unavailable to it. Short, so that submissions are refused before the
/// calls that carry them time out.
const STORE_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// How long an owner's transactions may fail without effect (the store refuses them or is unreachable) before the owner
/// hands its pool over to a daemon that the store serves. An owner whose calls are only slow keeps the pool, as the
/// store may be slow for all daemons.
const HAND_OVER_AFTER_MS: u64 = 600;

/// How long a daemon that shuts down continues to record submitted jobs whose callers wait for a response. The time
/// suffices for about twenty transactions.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(400);

/// How often a daemon that shuts down checks whether any callers still wait.
const RELEASE_POLL_PERIOD: Duration = Duration::from_millis(10);

/// How long workers have to be idle while steps wait, or rounds have to be incomplete, until that is logged, in ms: several
/// rounds of placement.
const STALLED_AFTER_MS: u64 = 1000;

/// The reply to a submission while the store is unavailable. Outages of the store last from 3 s to 9 s.
const REFUSED_IN_OUTAGE: SubmitReply = SubmitReply::Refused { retry_after_s: 2 };

/// A pool that this daemon owns, with the pool's scheduler and lease.
pub(crate) struct PoolOwner {
    pub(crate) node: Arc<Node>,
    /// The name of the pool, which also names the pool's shard.
    pub(crate) pool: SmolStr,
    /// The term of the ownership. Commands to workers carry the term as their fencing token.
    pub(crate) term: u64,
    pub(crate) scheduler: Mutex<Scheduler>,
    /// The lease on the pool, renewed by each committed transaction.
    pub(crate) lease: Mutex<Lease>,
    /// Wakes the recorder when the scheduler may have new decisions.
    pub(crate) recorder_waker: Notify,
    has_ended: AtomicBool,
    /// The local time at which the store first failed a transaction without a success since, in ms; 0 if there is none.
    failing_since_ms: AtomicU64,
    /// The local time at which a transaction first failed without effect (the store refused it or was unreachable)
    /// without a success since, in ms; 0 if there is none.
    refused_since_ms: AtomicU64,
    submissions: Mutex<Submissions>,
    /// The limits of teams in the pool. Locked while the scheduler is.
    team_limits: Mutex<TeamLimits>,
    /// The wakers of the lease renewal loops, by worker.
    renewal_wakers: Mutex<HashMap<WorkerKey, Arc<Notify>>>,
    /// The semaphores that limit the concurrent start commands, by worker.
    start_slots: Mutex<HashMap<WorkerKey, Arc<tokio::sync::Semaphore>>>,
}

impl PoolOwner {
    fn new(node: Arc<Node>, pool: SmolStr, term: u64, scheduler: Scheduler, lease: Lease) -> Self {
        Self {
            node,
            pool,
            term,
            scheduler: Mutex::new(scheduler),
            lease: Mutex::new(lease),
            recorder_waker: Notify::new(),
            has_ended: AtomicBool::new(false),
            failing_since_ms: AtomicU64::new(0),
            refused_since_ms: AtomicU64::new(0),
            submissions: Mutex::new(Submissions::default()),
            team_limits: Mutex::new(TeamLimits::new(term)),
            renewal_wakers: Mutex::new(HashMap::new()),
            start_slots: Mutex::new(HashMap::new()),
        }
    }

    /// Whether this daemon's ownership of the pool has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Acquire)
    }

    /// Whether commands may be sent to workers: the ownership has not ended and the lease on the pool is valid. Checked
    /// right before each command.
    pub(crate) fn may_send_commands(&self) -> bool {
        !self.has_ended() && self.lease.lock().is_valid(local_ms(), OWNER_GRACE_MS)
    }

    /// Whether the store has failed transactions for so long that new jobs are refused.
    fn is_store_unavailable(&self) -> bool {
        let since_ms = self.failing_since_ms.load(Ordering::Relaxed);
        since_ms > 0 && local_ms().saturating_sub(since_ms) > STORE_UNAVAILABLE_MS
    }

    /// Submits a job and returns once its rows are written. A job with a known id is not submitted again. Returns
    /// `OtherTeam` when the id is that of a job of another team,
    /// `Refused` for a new job when the store is unavailable before a transaction with the job was sent, `Reassigned` for a new
    /// job whose intake condition does not hold or is not known, `NotOwner` when the ownership has ended by then, and `OutcomeUnknown` when the
    /// ownership ends later.
    pub(crate) async fn submit(&self, request: SubmitRequest) -> SubmitReply {
        let id = request.id;
        if self.has_ended() {
            return SubmitReply::NotOwner;
        }
        let receiver = {
            let mut scheduler = self.scheduler.lock();
            if let Some(job) = scheduler.job(id)
                && !is_repeat_of(job, &request)
            {
                return SubmitReply::OtherTeam;
            }
            match scheduler.job_status(id) {
                JobStatus::Recorded(_) => return SubmitReply::Accepted,
                JobStatus::Unknown if self.is_store_unavailable() => return REFUSED_IN_OUTAGE,
                JobStatus::Unknown => {
                    let assignment_key = request.assignment_key();
                    if let Some(intake) = request.intake {
                        let mut submissions = self.submissions.lock();
                        let Some(condition) = submissions.condition(intake) else {
                            return SubmitReply::Reassigned;
                        };
                        submissions.set_intake(id, condition);
                    }
                    let now = self.node.clock.now();
                    let job = Job::new(id, request.queue, Arc::new(request.spec), now.store_ms)
                        .with_assignment_key(assignment_key)
                        .with_team(request.team)
                        .with_accepted_rules(request.rules);
                    scheduler.submit_job(job, now);
                }
                JobStatus::NotYetRecorded => {}
            }
            self.submissions.lock().wait(id)
        };
        self.recorder_waker.notify_one();
        receiver.await.unwrap_or(SubmitReply::OutcomeUnknown)
    }

    /// Returns the recorded state of a job: `Unknown` while its rows are not written, `Absent` for an unknown job,
    /// `OtherTeam` when the caller has no access, and `NotOwner` when the ownership has ended.
    pub(crate) fn job_state(&self, id: JobId, caller: &Caller) -> JobReply {
        if self.has_ended() {
            return JobReply::NotOwner;
        }
        let scheduler = self.scheduler.lock();
        if !may_access(&scheduler, id, caller) {
            return JobReply::OtherTeam;
        }
        job_reply(&scheduler, id)
    }

    /// Cancels a job and returns the job's state once its rows are written. Returns `Absent` for an unknown job,
    /// `OtherTeam` when the caller has no access, `NotOwner` when the ownership has ended, and `Unknown` when the ownership
    /// ends during the call.
    pub(crate) async fn cancel(&self, id: JobId, caller: &Caller) -> JobReply {
        // Repeated, because the rows that are written next may be of a batch that was taken before the cancellation, and
        // a new job that turned out to have rows is replaced by the job of these rows.
        loop {
            if self.has_ended() {
                return JobReply::NotOwner;
            }
            let receiver = {
                let mut scheduler = self.scheduler.lock();
                if !may_access(&scheduler, id, caller) {
                    return JobReply::OtherTeam;
                }
                if scheduler.cancel(id, self.node.clock.now()) == JobStatus::Unknown {
                    return JobReply::Absent;
                }
                if scheduler.is_job_recorded(id) {
                    return job_reply(&scheduler, id);
                }
                self.submissions.lock().wait(id)
            };
            self.recorder_waker.notify_one();
            if receiver.await != Ok(SubmitReply::Accepted) {
                return JobReply::Unknown;
            }
        }
    }

    /// Returns the number of a queue's jobs that have not started, with those of queues that had the same assignment key before.
    pub(crate) fn not_started_jobs(&self, queue: &str, assignment_key: &str) -> usize {
        let scheduler = self.scheduler.lock();
        scheduler.not_started_jobs_of(queue, assignment_key)
    }

    /// Applies a leader's requests (ended incarnations, cancelled drains, due maintenance, drains and limits of teams, in
    /// this order) and returns the pool's demand and the state of its workers.
    pub(crate) fn run_round(&self, request: &RoundRequest) -> RoundReply {
        let now = self.node.clock.now();
        let mut scheduler = self.scheduler.lock();
        for id in &request.ended_incarnations {
            let start_unix_ms = request.ended_starts_unix_ms.get(id).copied();
            let Some(key) = scheduler.worker_key(id) else {
                continue;
            };
            let response_age_ms = scheduler.response_age_ms(key, now);
            if request.may_have_crashed(id) {
                scheduler.incarnation_crashed(key, start_unix_ms, now);
            } else {
                scheduler.incarnation_ended(key, start_unix_ms, now);
            }
            tracing::info!(
                pool = self.pool.as_str(),
                worker = id.as_str(),
                start_unix_ms,
                response_age_ms,
                is_removed = scheduler.worker_key(id).is_none(),
                "the leader reported the end of a worker"
            );
        }
        for id in &request.cancel_drain {
            scheduler.cancel_drain_by_id(id);
        }
        if let Some(due) = &request.maintenance_due {
            scheduler.set_maintenance_due(due);
        }
        let drain = request.drain.iter();
        // A successor may have started tasks of which an owner that was deposed does not know.
        let least_tasks = usize::from(
            !self
                .lease
                .lock()
                .is_valid(now.local_ms, DRAIN_REPLY_WINDOW_MS),
        );
        let tasks = drain.map(|id| scheduler.drain_by_id(id, now).max(least_tasks));
        let tasks = tasks.collect();
        let quotas = request
            .quotas
            .as_ref()
            .and_then(|message| self.exchange_limits(&mut scheduler, message, now.local_ms));
        let demand = scheduler.demand(now);
        let named = request.drain.iter().chain(&demand.unresponsive);
        let start = |id: &SmolStr| {
            let worker = scheduler.worker(scheduler.worker_key(id)?)?;
            Some((id.clone(), worker.start_unix_ms?))
        };
        let starts_unix_ms = named.filter_map(start).collect();
        let response_age = |id: &SmolStr| {
            let age_ms = scheduler.response_age_ms(scheduler.worker_key(id)?, now)?;
            Some((id.clone(), age_ms))
        };
        let unresponsive = demand.unresponsive.iter();
        let response_ages_ms = unresponsive.filter_map(response_age).collect();
        log_stalled_work(&self.pool, &scheduler, &demand);
        log_incomplete_rounds(&self.pool, &scheduler, now);
        let first = scheduler.first_ready_task();
        let progress = OwnerProgress {
            term: self.term,
            recorded_age_ms: self.lease.lock().age_ms(now.local_ms),
            first_waiting: first.map_or_else(SmolStr::default, |task| {
                recorder::task_name(&scheduler, task)
            }),
        };
        drop(scheduler);
        self.recorder_waker.notify_one();
        log_unavailable_workers(&self.pool, &demand.unavailable);
        RoundReply {
            remaining_tasks: tasks,
            service_demand_workers: demand.service_demand_workers,
            urgent_demand_workers: demand.urgent_demand_workers,
            total_demand_workers: demand.total_demand_workers,
            service_workers: demand.service_workers,
            unavailable: demand.unavailable.into_iter().map(|(id, _)| id).collect(),
            unresponsive: demand.unresponsive,
            starts_unix_ms,
            response_ages_ms,
            progress: Some(progress),
            quotas,
            idle: demand
                .idle
                .into_iter()
                .map(|idle| (idle.id, idle.idle_ms))
                .collect(),
        }
    }

    /// Refuses the waiting submissions that are in no transaction while the store is unavailable, and hands the pool over
    /// when the store rejects only this daemon. Runs until the ownership ends.
    pub(crate) async fn watch_store(self: Arc<Self>) {
        while !self.has_ended() {
            tokio::time::sleep(STORE_CHECK_PERIOD).await;
            if self.is_store_unavailable() {
                let jobs = self.submissions.lock().without_doubt();
                self.refuse_submissions(jobs);
            }
            let since_ms = self.refused_since_ms.load(Ordering::Relaxed);
            if since_ms > 0 && local_ms().saturating_sub(since_ms) >= HAND_OVER_AFTER_MS {
                self.hand_over().await;
            }
        }
    }

    /// Refuses the submissions of new jobs in an outage of the store; see [`PoolOwner::withdraw_submissions`].
    fn refuse_submissions(&self, jobs: Vec<JobId>) {
        let refused = self.withdraw_submissions(jobs, REFUSED_IN_OUTAGE);
        if refused > 0 {
            let pool = self.pool.as_str();
            tracing::info!(
                pool,
                refused,
                "refused submissions that waited for the store"
            );
        }
    }

    /// Removes new jobs, which must be in no transaction, and responds to their callers. Leaves out the jobs with rows: callers
    /// that cancel a job wait for its rows too. Returns the number of removed jobs.
    fn withdraw_submissions(&self, jobs: Vec<JobId>, reply: SubmitReply) -> usize {
        let now = self.node.clock.now();
        let mut scheduler = self.scheduler.lock();
        let mut submissions = self.submissions.lock();
        let mut withdrawn = 0;
        for job in jobs {
            if scheduler.withdraw(job, now) {
                submissions.respond(job, reply);
                withdrawn += 1;
            }
        }
        withdrawn
    }

    /// Hands the pool over to a daemon that the store serves, if there is one.
    async fn hand_over(&self) {
        let Some(other) = self.node.handover_target() else {
            return;
        };
        let (pool, term) = (self.pool.clone(), self.term);
        let taken = call_peer(&self.node, &other, |peer| async move {
            peer.take_over_pool(pool, Some(term)).await
        });
        match taken.await {
            Ok(true) => {
                let (pool, daemon) = (self.pool.as_str(), other.daemon.as_str());
                tracing::warn!(
                    pool,
                    daemon,
                    "handed the pool over to a daemon that the store serves"
                );
                self.end();
            }
            Ok(false) => {}
            Err(err) => {
                tracing::info!(daemon = other.daemon.as_str(), error = %err, "a peer did not confirm the takeover of a pool");
            }
        }
    }

    /// Ends this daemon's ownership of the pool. Callers that wait are told whether their call can have had an effect.
    pub(crate) fn end(&self) {
        self.has_ended.store(true, Ordering::Release);
        self.submissions.lock().end();
        self.team_limits
            .lock()
            .remove_gauges(&self.node.metrics, &self.pool);
        self.recorder_waker.notify_one();
        for waker in self.renewal_wakers.lock().values() {
            waker.notify_one();
        }
        let mut pools = self.node.pool_owners.lock();
        if pools
            .get(&self.pool)
            .is_some_and(|owner| owner.term == self.term)
        {
            pools.remove(&self.pool);
        }
        drop(pools);
        self.node.end_term(&self.pool, self.term);
    }
}

/// Logs that steps wait although workers have been idle for [`STALLED_AFTER_MS`].
fn log_stalled_work(pool: &str, scheduler: &Scheduler, demand: &Demand) {
    let idle = demand.idle.iter();
    let idle = idle.filter(|idle| idle.idle_ms >= STALLED_AFTER_MS).count();
    let Some(first) = scheduler.first_ready_task().filter(|_| idle > 0) else {
        return;
    };
    let task = recorder::task_name(scheduler, first);
    let steps = scheduler.ready_steps();
    tracing::warn!(
        pool,
        steps,
        idle,
        first = task.as_str(),
        "steps wait although workers are idle"
    );
}

/// Logs that no round of placement has come to all ready steps for [`STALLED_AFTER_MS`].
fn log_incomplete_rounds(pool: &str, scheduler: &Scheduler, now: Now) {
    let round = scheduler.last_round();
    let incomplete_ms = round
        .incomplete_since_ms
        .map_or(0, |since_ms| now.local_ms.saturating_sub(since_ms));
    if incomplete_ms < STALLED_AFTER_MS {
        return;
    }
    tracing::warn!(
        pool,
        steps = scheduler.ready_steps(),
        visited = round.visited_steps,
        failed_lookups = round.failed_lookups,
        started = round.started_tasks,
        incomplete_ms,
        "rounds of placement do not come to all steps"
    );
}

fn log_unavailable_workers(pool: &str, unavailable: &[(SmolStr, UnavailableReason)]) {
    if unavailable.is_empty() {
        return;
    }
    let count = |reason| {
        unavailable
            .iter()
            .filter(|(_, other)| *other == reason)
            .count()
    };
    tracing::info!(
        pool,
        silent = count(UnavailableReason::Unresponsive),
        draining = count(UnavailableReason::ShuttingDown),
        emptied = count(UnavailableReason::Draining),
        avoided = count(UnavailableReason::Blocklisted),
        "workers are unavailable for new tasks"
    );
}

/// Whether a caller may read or cancel a job; true for an unknown job.
fn may_access(scheduler: &Scheduler, id: JobId, caller: &Caller) -> bool {
    let job = scheduler.job(id);
    job.is_none_or(|job| caller.may_access(&job.team))
}

/// Whether a submission with the id of a job may be a repetition of that job's submission. A daemon of an earlier build
/// repeats it without the team, but to the same queue.
fn is_repeat_of(job: &Job, request: &SubmitRequest) -> bool {
    let is_without_team = request.team.is_empty() && request.queue == job.queue;
    job.team.is_empty() || request.team == job.team || is_without_team
}

/// Returns the recorded state of a job.
fn job_reply(scheduler: &Scheduler, id: JobId) -> JobReply {
    match scheduler.job_status(id) {
        JobStatus::Recorded(state) => JobReply::State(WireState(state)),
        JobStatus::NotYetRecorded => JobReply::Unknown,
        JobStatus::Unknown => JobReply::Absent,
    }
}

/// Ends the ownership of all pools, so that other daemons take them over at once. Waits up to [`RELEASE_TIMEOUT`] in
/// total for submitted jobs to be recorded.
pub(crate) async fn release_all_pools(node: &Arc<Node>) {
    let owners: Vec<_> = node.pool_owners.lock().values().cloned().collect();
    let deadline = tokio::time::Instant::now() + RELEASE_TIMEOUT;
    for owner in owners {
        while !owner.submissions.lock().is_empty() && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(RELEASE_POLL_PERIOD).await;
        }
        owner.end();
    }
}
