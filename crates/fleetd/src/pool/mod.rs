//! Drives the scheduler of one pool: records what it decides, then carries it out.

mod advice;
mod holds;
mod orders;
mod recorder;
mod registry;
mod sequence;
mod takeover;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use ownership::Lease;
use parking_lot::Mutex;
use scheduler::{JobStatus, Scheduler, UnavailableReason, WorkerKey};
use smol_str::SmolStr;
use submission::{JobId, JobSpec};
use tokio::sync::{Notify, oneshot};

use crate::clock::local_ms;
use crate::node::Node;
use crate::rpc::{JobReply, PoolClient, RoundReply, RoundRequest, SubmitReply, WireState};

pub(crate) use sequence::Sequence;
pub(crate) use takeover::{Taken, jobs_of, read_all, take_over, take_pool};

/// How long an owner goes on to renew workers' leases after its last recorded write. With the lease of 5 s, what runs
/// outlasts the usual outages of the store, of 4.5 s; a successor waits for it when a worker stays silent.
pub(crate) const OWNER_GRACE_MS: u64 = 4000;

/// When the store has not answered for longer, jobs are refused at once instead of held.
const STORE_AWAY_MS: u64 = 700;

/// How often an owner looks whether it should hand its pool over.
const HAND_OVER_PERIOD: Duration = Duration::from_millis(200);

/// When the store has refused an owner for longer, it hands its pool over to a daemon that the store serves. An owner
/// whose calls only take long keeps it, as the store may be slow for all.
const HAND_OVER_AFTER_MS: u64 = 600;

/// How long a daemon that ends goes on to record jobs that wait for it. Some twenty transactions.
const RELEASE_WAIT: Duration = Duration::from_millis(400);

/// How often it looks whether any are left.
const RELEASE_STEP: Duration = Duration::from_millis(10);

/// When to come back when the store is away. Outages last from 3 s to 9 s.
const RETRY_AFTER_OUTAGE_S: u32 = 2;

/// The daemon's side of one pool that it decides for.
pub(crate) struct PoolOwner {
    pub(crate) node: Arc<Node>,
    pub(crate) pool: SmolStr,
    pub(crate) term: u64,
    pub(crate) scheduler: Mutex<Scheduler>,
    pub(crate) lease: Mutex<Lease>,
    /// Wakes the recorder.
    pub(crate) changed: Notify,
    is_over: AtomicBool,
    /// When the store first failed a transaction that has not succeeded since; 0 for not.
    failing_since_ms: AtomicU64,
    /// When the store first refused one, or could not be reached, without a success since; 0 for not.
    refused_since_ms: AtomicU64,
    waiters: Mutex<HashMap<JobId, Vec<oneshot::Sender<SubmitReply>>>>,
    hold_wakers: Mutex<HashMap<WorkerKey, Arc<Notify>>>,
    order_slots: Mutex<HashMap<WorkerKey, Arc<tokio::sync::Semaphore>>>,
}

impl PoolOwner {
    fn new(node: Arc<Node>, pool: SmolStr, term: u64, scheduler: Scheduler, lease: Lease) -> Self {
        Self {
            node,
            pool,
            term,
            scheduler: Mutex::new(scheduler),
            lease: Mutex::new(lease),
            changed: Notify::new(),
            is_over: AtomicBool::new(false),
            failing_since_ms: AtomicU64::new(0),
            refused_since_ms: AtomicU64::new(0),
            waiters: Mutex::new(HashMap::new()),
            hold_wakers: Mutex::new(HashMap::new()),
            order_slots: Mutex::new(HashMap::new()),
        }
    }

    /// Whether this daemon no longer decides for the pool.
    pub(crate) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Acquire)
    }

    /// Whether orders may still be sent. Checked right before each of them.
    pub(crate) fn may_order(&self) -> bool {
        !self.is_over() && self.lease.lock().is_valid(local_ms(), OWNER_GRACE_MS)
    }

    /// Takes a job in, and answers once its row is written.
    pub(crate) async fn submit(&self, queue: SmolStr, id: JobId, spec: JobSpec) -> SubmitReply {
        if self.is_over() {
            return SubmitReply::NotOwner;
        }
        let since_ms = self.failing_since_ms.load(Ordering::Relaxed);
        let is_store_away = since_ms > 0 && local_ms().saturating_sub(since_ms) > STORE_AWAY_MS;
        let receiver = {
            let mut scheduler = self.scheduler.lock();
            match scheduler.job_status(id) {
                JobStatus::Recorded(_) => return SubmitReply::Accepted,
                JobStatus::Unknown if is_store_away => {
                    return SubmitReply::Refused {
                        retry_after_s: RETRY_AFTER_OUTAGE_S,
                    };
                }
                JobStatus::Unknown => {
                    scheduler.submit(id, queue, Arc::new(spec), self.node.clock.now());
                }
                JobStatus::NotYetRecorded => {}
            }
            let (sender, receiver) = oneshot::channel();
            self.waiters.lock().entry(id).or_default().push(sender);
            receiver
        };
        self.changed.notify_one();
        // The sender is dropped when the ownership ends before the outcome is known.
        receiver.await.unwrap_or(SubmitReply::OutcomeUnknown)
    }

    /// Where a job is, by the rows written.
    pub(crate) fn state(&self, id: JobId) -> JobReply {
        if self.is_over() {
            return JobReply::NotOwner;
        }
        reply(&self.scheduler.lock(), id)
    }

    /// Cancels a job, and answers once its row is written.
    pub(crate) async fn cancel(&self, id: JobId) -> JobReply {
        if self.is_over() {
            return JobReply::NotOwner;
        }
        let receiver = {
            let mut scheduler = self.scheduler.lock();
            if scheduler.cancel(id, self.node.clock.now()) == JobStatus::Unknown {
                return JobReply::Absent;
            }
            if scheduler.is_job_recorded(id) {
                return reply(&scheduler, id);
            }
            let (sender, receiver) = oneshot::channel();
            self.waiters.lock().entry(id).or_default().push(sender);
            receiver
        };
        self.changed.notify_one();
        match receiver.await {
            Ok(SubmitReply::Accepted) => reply(&self.scheduler.lock(), id),
            _ => JobReply::Unknown,
        }
    }

    /// How many jobs of a queue have not started.
    pub(crate) fn pending(&self, queue: &str) -> usize {
        self.scheduler.lock().not_started_jobs(queue)
    }

    /// Does what a steward asks, and tells what the pool wants.
    pub(crate) fn round(&self, ask: &RoundRequest) -> RoundReply {
        let now = self.node.clock.now();
        let mut scheduler = self.scheduler.lock();
        for key in ask
            .ended_incarnations
            .iter()
            .filter_map(|id| scheduler.worker_key(id))
            .collect::<Vec<_>>()
        {
            scheduler.incarnation_ended(key, now);
        }
        for key in ask
            .cancel_drain
            .iter()
            .filter_map(|id| scheduler.worker_key(id))
            .collect::<Vec<_>>()
        {
            scheduler.cancel_drain(key);
        }
        let tasks = ask.drain.iter().map(|id| match scheduler.worker_key(id) {
            Some(key) => scheduler.drain(key, now),
            None => 0,
        });
        let tasks = tasks.collect();
        let demand = scheduler.demand(now);
        drop(scheduler);
        self.changed.notify_one();
        log_unusable(&self.pool, &demand.unavailable);
        RoundReply {
            remaining_tasks: tasks,
            urgent_demand_workers: demand.urgent_demand_workers,
            total_demand_workers: demand.total_demand_workers,
            service_workers: demand.service_workers,
            unavailable: demand.unavailable.into_iter().map(|(id, _)| id).collect(),
            unresponsive: demand.unresponsive,
            idle: demand
                .idle
                .into_iter()
                .map(|idle| (idle.id, idle.idle_ms))
                .collect(),
        }
    }

    /// Hands the pool to another daemon when the store serves that one and not this.
    pub(crate) async fn hand_over_when_refused(self: Arc<Self>) {
        while !self.is_over() {
            tokio::time::sleep(HAND_OVER_PERIOD).await;
            let since_ms = self.refused_since_ms.load(Ordering::Relaxed);
            if since_ms == 0 || local_ms().saturating_sub(since_ms) < HAND_OVER_AFTER_MS {
                continue;
            }
            let Some((other, peer)) = self.node.handover_target() else {
                continue;
            };
            match peer.take_over_pool(self.pool.clone()).await {
                Ok(true) => {
                    let (pool, daemon) = (self.pool.as_str(), other.daemon.as_str());
                    tracing::warn!(pool, daemon, "handed over, as the store serves that daemon");
                    self.end();
                }
                Ok(false) => {}
                Err(err) => {
                    tracing::info!(daemon = other.daemon.as_str(), error = %err, "a peer does not take a pool");
                    self.node.mark_unreachable(&other);
                }
            }
        }
    }

    /// Ends this daemon's part. Waiters learn that the outcome is unknown.
    pub(crate) fn end(&self) {
        self.is_over.store(true, Ordering::Release);
        self.waiters.lock().clear();
        self.changed.notify_one();
        for waker in self.hold_wakers.lock().values() {
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
        self.node.set_owned_term(&self.pool, None);
    }
}

fn log_unusable(pool: &str, unusable: &[(SmolStr, UnavailableReason)]) {
    if unusable.is_empty() {
        return;
    }
    let count = |cause| unusable.iter().filter(|(_, other)| *other == cause).count();
    tracing::info!(
        pool,
        silent = count(UnavailableReason::Unresponsive),
        draining = count(UnavailableReason::ShuttingDown),
        emptied = count(UnavailableReason::Draining),
        avoided = count(UnavailableReason::Blocklisted),
        "workers that get no new work"
    );
}

/// Where a job is, by the rows written.
fn reply(scheduler: &Scheduler, id: JobId) -> JobReply {
    match scheduler.job_status(id) {
        JobStatus::Recorded(state) => JobReply::State(WireState(state)),
        JobStatus::NotYetRecorded => JobReply::Unknown,
        JobStatus::Unknown => JobReply::Absent,
    }
}

/// Gives up all pools, so that other daemons take them at once. Jobs that wait for their row get a moment for it.
pub(crate) async fn release_all(node: &Arc<Node>) {
    let owners: Vec<_> = node.pool_owners.lock().values().cloned().collect();
    let deadline = tokio::time::Instant::now() + RELEASE_WAIT;
    for owner in owners {
        while !owner.waiters.lock().is_empty() && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(RELEASE_STEP).await;
        }
        owner.end();
    }
}
