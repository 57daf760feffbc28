//! The state and the clients that all tasks of a daemon share.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use inbound::Inbound;
use ownership::{Peers, ShardOwner};
use parking_lot::Mutex;
use scheduler::DecisionTimeout;
use smol_str::SmolStr;
use tokio::sync::Notify;
use transfer::{LinkBudget, ResponseTimes};
use users_platform::{HttpClient, PolicyClient, StoreClient, VmClient, WaveRequest, WorkerClient};

use crate::assignments::Assignments;
use crate::clock::{Clock, local_ms, local_us};
use crate::config::ActiveConfig;
use crate::metrics::Metrics;
use crate::peer_calls::{self, PeerConnection};
use crate::pool::PoolOwner;
use crate::settings::FleetSettings;

/// How long a call to the store may take: thirty times its usual duration, and longer than a call takes while the store
/// is 50 times slower than usual.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(STORE_TIMEOUT_MS);

/// [`STORE_TIMEOUT`] in ms.
pub(crate) const STORE_TIMEOUT_MS: u64 = 1000;

/// How long a worker may take to respond to a command or a poll, beyond the time for which a poll lets the worker wait.
/// Fifty times the usual response time; a lost command delays the caller by the whole timeout.
const MIN_WORKER_TIMEOUT_MS: u64 = 250;

/// The longest timeout of a command or a poll, for a link that is saturated. A lease lasts five times as long.
const MAX_WORKER_TIMEOUT_MS: u64 = 1000;

/// The share of the link that start commands may use, in percent. Commits, polls and heartbeats share the rest.
const COMMAND_LINK_SHARE_PERCENT: u32 = 55;

/// The store counts as unavailable when it has not responded for this long. This daemon then reports that it is not
/// ready, so that callers use other daemons. The daemon calls the store every 0.4 s, and a slow response takes 0.3 s.
const STORE_UNAVAILABLE_AFTER_MS: u64 = 1300;

/// The owner that a shard's owner row names counts as gone when its heartbeat row has not listed the shard for this
/// long. An owner writes its heartbeat row at once after a takeover, and a call whose response is lost takes 1 s to
/// time out.
const OWNER_ANNOUNCEMENT_TIMEOUT_MS: u64 = 2000;

/// The tables in the store for the rows that daemons write.
pub(crate) mod tables {
    /// The heartbeat rows, by daemon.
    pub(crate) const DAEMON: &str = "daemon";
    /// The owner of a shard, in the shard's part.
    pub(crate) const OWNER: &str = "owner";
    /// The sequence number of the last transaction of a shard, in the shard's part.
    pub(crate) const SEQUENCE: &str = "sequence";
    /// The accepted jobs as submitted, by job, in the pool's part.
    pub(crate) const JOB: &str = "job";
    /// The progress of jobs, by job, in the pool's part.
    pub(crate) const PROGRESS: &str = "progress";
    /// The progress of maintenance waves, by wave, in the part of the fleet shard.
    pub(crate) const WAVE: &str = "wave";
    /// The recent commands of leaders to VMs, in the part of the fleet shard.
    pub(crate) const VM_COMMANDS: &str = "ordered";
    /// The pool of each queue, by where the queue's jobs are submitted: the assignments in the unnamed part, their copies in the
    /// parts of the pools.
    pub(crate) const ASSIGNMENT: &str = "assignment";
    /// What each pool holds of a team's quota, by team, in the part of the fleet shard.
    pub(crate) const QUOTA: &str = "quota";
}

/// The key in tables that have a single row per part.
pub(crate) const SINGLETON_KEY: &str = "it";

/// The state and the clients that all tasks of a daemon share.
pub(crate) struct Node {
    pub(crate) settings: FleetSettings,
    /// Identifies this incarnation of the process.
    pub(crate) incarnation: SmolStr,
    /// When this process started, in ms of the local clock.
    started_at_ms: u64,
    pub(crate) clock: Clock,
    pub(crate) store: StoreClient,
    pub(crate) workers: WorkerClient,
    pub(crate) vms: VmClient,
    pub(crate) policy_client: Option<PolicyClient>,
    /// Held during a request to the policy service.
    pub(crate) policy_timeout: tokio::sync::Mutex<DecisionTimeout>,
    pub(crate) active_config: ActiveConfig,
    pub(crate) assignments: Assignments,
    pub(crate) metrics: Metrics,
    pub(crate) inbound: Arc<Inbound>,
    pub(crate) peers: Mutex<Peers>,
    /// The pools that this daemon owns and whose jobs it has read.
    pub(crate) pool_owners: Mutex<BTreeMap<SmolStr, Arc<PoolOwner>>>,
    /// The shards that this daemon owns, each with the daemon's term.
    pub(crate) owned_shards: Mutex<BTreeMap<SmolStr, u64>>,
    /// The shards that this daemon is taking over.
    takeovers: Mutex<BTreeSet<SmolStr>>,
    /// Wakes the loop that writes the heartbeat row.
    pub(crate) owned_shards_changed: Notify,
    /// Wakes the loop that reads the heartbeat rows, when a peer stops responding or has lost a shard.
    pub(crate) peers_outdated: Notify,
    /// Whether this daemon is shutting down, and so takes over no more shards and reports that it is not ready.
    pub(crate) is_shutting_down: AtomicBool,
    /// When the store last responded to a read of the heartbeat rows or of the operators' rows, in ms of the local clock; 0
    /// before the first.
    pub(crate) store_responded_at_ms: AtomicU64,
    /// When the read was sent that last confirmed the active configuration as the newest, in ms of the local clock; 0 before
    /// the first.
    config_confirmed_at_ms: AtomicU64,
    /// Wakes requests that wait for the takeover of a shard, after each read of the heartbeat rows.
    pub(crate) peers_updated: Notify,
    /// The number of callers' requests that this daemon has received and not yet responded to.
    pub(crate) in_flight_requests: AtomicUsize,
    /// The maintenance waves that operators requested, by key.
    pub(crate) requested_waves: Mutex<BTreeMap<SmolStr, WaveRequest>>,
    /// The shards that were not listed in the heartbeat row of the owner that their owner row names: the version of the
    /// owner row, and when this daemon first found that version so, in ms of the local clock.
    unannounced_owners: Mutex<BTreeMap<SmolStr, (u64, u64)>>,
    peer_connections: Mutex<HashMap<SmolStr, PeerConnection>>,
    /// The share of the link that start commands may use.
    command_budget: Mutex<LinkBudget>,
    /// The response times of the workers that respond.
    worker_response_times: Mutex<ResponseTimes>,
}

impl Node {
    /// Creates the state of a daemon that owns no shards and has not read anything from the store.
    pub(crate) fn new(
        settings: FleetSettings,
        incarnation: SmolStr,
        http: &HttpClient,
        metrics: Metrics,
        peers: Peers,
    ) -> Self {
        let command_budget =
            LinkBudget::new(settings.machine.link_mbps, COMMAND_LINK_SHARE_PERCENT);
        Self {
            store: StoreClient::new(http.clone(), &settings.store_addr),
            workers: WorkerClient::new(http.clone()),
            vms: VmClient::new(http.clone(), &settings.vms_addr),
            policy_client: settings
                .policy_addr
                .as_ref()
                .filter(|addr| !addr.is_empty())
                .map(|addr| PolicyClient::new(http.clone(), addr)),
            policy_timeout: tokio::sync::Mutex::default(),
            inbound: Inbound::new(settings.clients, metrics.inbound.clone()),
            settings,
            incarnation,
            started_at_ms: local_ms(),
            clock: Clock::default(),
            active_config: ActiveConfig::default(),
            assignments: Assignments::default(),
            metrics,
            peers: Mutex::new(peers),
            pool_owners: Mutex::new(BTreeMap::new()),
            owned_shards: Mutex::new(BTreeMap::new()),
            takeovers: Mutex::new(BTreeSet::new()),
            owned_shards_changed: Notify::new(),
            peers_outdated: Notify::new(),
            is_shutting_down: AtomicBool::new(false),
            store_responded_at_ms: AtomicU64::new(0),
            config_confirmed_at_ms: AtomicU64::new(0),
            peers_updated: Notify::new(),
            in_flight_requests: AtomicUsize::new(0),
            requested_waves: Mutex::new(BTreeMap::new()),
            unannounced_owners: Mutex::new(BTreeMap::new()),
            peer_connections: Mutex::new(HashMap::new()),
            command_budget: Mutex::new(command_budget),
            worker_response_times: Mutex::new(ResponseTimes::new(
                MIN_WORKER_TIMEOUT_MS,
                MAX_WORKER_TIMEOUT_MS,
            )),
        }
    }

    /// When this process started, in ms of the store's clock. Accurate only after the store's first response.
    pub(crate) fn started_at_store_ms(&self) -> u64 {
        let now = self.clock.now();
        let uptime_ms = now.local_ms.saturating_sub(self.started_at_ms);
        now.store_ms.saturating_sub(uptime_ms)
    }

    /// How long a worker may take to respond to a command or a poll, beyond the time for which a poll lets the worker
    /// wait.
    pub(crate) fn worker_timeout(&self) -> Duration {
        Duration::from_millis(self.worker_response_times.lock().timeout_ms())
    }

    /// Records how long a responsive worker took to respond to a command, or that the command timed out after that time.
    pub(crate) fn record_worker_response(&self, duration: Duration) {
        let duration_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        self.worker_response_times.lock().record(duration_ms);
    }

    /// Waits until the link has room for a command of `bytes` bytes.
    pub(crate) async fn wait_for_link(&self, bytes: usize) {
        let wait_us = self.command_budget.lock().reserve(bytes as u64, local_us());
        if wait_us > 0 {
            tokio::time::sleep(Duration::from_micros(wait_us)).await;
        }
    }

    /// Whether the owner that this version of a shard's owner row names has not listed the shard in its heartbeat row
    /// for too long, counted from the first call for the version. Called only while no serving daemon lists the shard.
    ///
    /// Such an owner may have lost the response to its takeover, and not know that it is the owner.
    pub(crate) fn is_owner_unannounced(&self, shard: &SmolStr, version: u64) -> bool {
        let now_ms = local_ms();
        let mut unannounced = self.unannounced_owners.lock();
        let first_seen = unannounced
            .entry(shard.clone())
            .or_insert((version, now_ms));
        if first_seen.0 != version {
            *first_seen = (version, now_ms);
        }
        now_ms.saturating_sub(first_seen.1) > OWNER_ANNOUNCEMENT_TIMEOUT_MS
    }

    /// Marks a shard's owner as unreachable after a call to it failed, so that it counts as dead sooner.
    pub(crate) fn mark_unreachable(&self, owner: &ShardOwner) {
        if let Some(unchanged_ms) = self.peers.lock().mark_unreachable(&owner.daemon) {
            let daemon = owner.daemon.as_str();
            tracing::warn!(daemon, unchanged_ms, "a peer is unreachable");
            self.peers_outdated.notify_one();
        }
    }

    /// Whether the store has not responded to this daemon for so long that the daemon can't accept jobs or shards.
    pub(crate) fn is_store_unavailable(&self) -> bool {
        let responded_at_ms = self.store_responded_at_ms.load(Ordering::Relaxed);
        local_ms().saturating_sub(responded_at_ms) > STORE_UNAVAILABLE_AFTER_MS
    }

    /// Records that a read of the operators' rows, sent at this time in ms of the local clock, confirmed the active
    /// configuration as the newest.
    pub(crate) fn confirm_config(&self, sent_at_ms: u64) {
        // Whoever sees this time sees the configuration that was activated before.
        self.config_confirmed_at_ms
            .store(sent_at_ms, Ordering::Release);
    }

    /// When the read was sent that last confirmed the active configuration as the newest, in ms of the local clock; none
    /// before the first. A configuration that is read afterwards is this one or a newer one.
    pub(crate) fn config_confirmed_at_ms(&self) -> Option<u64> {
        let confirmed_at_ms = self.config_confirmed_at_ms.load(Ordering::Acquire);
        (confirmed_at_ms > 0).then_some(confirmed_at_ms)
    }

    /// The owner of a pool, or `None` when the owner is not this daemon or has not read the pool's jobs yet.
    pub(crate) fn local_pool_owner(&self, pool: &str) -> Option<Arc<PoolOwner>> {
        self.pool_owners.lock().get(pool).cloned()
    }

    /// The owner of a shard by the heartbeat rows, or `None` when no row lists the shard or the owner is unreachable.
    pub(crate) fn reachable_owner(&self, shard: &str) -> Option<ShardOwner> {
        let peers = self.peers.lock();
        let owner = peers.shard_owner(shard)?;
        (!peers.is_unreachable(&owner.daemon)).then_some(owner)
    }

    /// The connection to the peer with this address.
    ///
    /// # Errors
    /// [`peer_calls::Error::Unreachable`] when the address can't be used.
    pub(crate) fn peer_connection(&self, addr: &SmolStr) -> peer_calls::Result<PeerConnection> {
        let mut connections = self.peer_connections.lock();
        if let Some(connection) = connections.get(addr) {
            return Ok(connection.clone());
        }
        let connection = PeerConnection::new(addr)?;
        connections.insert(addr.clone(), connection.clone());
        Ok(connection)
    }

    /// The daemon to hand a shard over to, or `None` when no other daemon is alive, reachable and not shutting down.
    pub(crate) fn handover_target(&self) -> Option<ShardOwner> {
        self.peers.lock().least_loaded_other(&self.settings.daemon)
    }

    /// Begins a takeover of a shard. `None` while this daemon owns the shard or another takeover of it has not ended, as a
    /// second takeover would end the ownership that the first one begins.
    pub(crate) fn begin_takeover(&self, shard: &SmolStr) -> Option<TakeoverGuard<'_>> {
        let is_owned = self.owned_shards.lock().contains_key(shard);
        let began = !is_owned && self.takeovers.lock().insert(shard.clone());
        began.then(|| TakeoverGuard {
            node: self,
            shard: shard.clone(),
        })
    }

    /// Whether this daemon has taken a shard over from the term of a peer that hands it over, as when the peer repeats a call
    /// whose response was lost; `None` while this daemon does not own the shard. An earlier term of this daemon has been
    /// replaced by that of the peer, but the daemon does not know so yet.
    pub(crate) fn has_taken_over(&self, shard: &str, peer_term: Option<u64>) -> Option<bool> {
        let owned_shards = self.owned_shards.lock();
        let own_term = owned_shards.get(shard)?;
        Some(peer_term.is_none_or(|peer_term| *own_term > peer_term))
    }

    /// Records the term in which this daemon owns a shard, and wakes the loop that writes the heartbeat row.
    pub(crate) fn begin_term(&self, shard: &SmolStr, term: u64) {
        self.owned_shards.lock().insert(shard.clone(), term);
        self.owned_shards_changed.notify_one();
    }

    /// Records that this daemon's ownership of a shard has ended, unless a later term of this daemon has begun, and wakes
    /// the loop that writes the heartbeat row.
    pub(crate) fn end_term(&self, shard: &SmolStr, term: u64) {
        let mut owned_shards = self.owned_shards.lock();
        if owned_shards.get(shard) == Some(&term) {
            owned_shards.remove(shard);
        }
        drop(owned_shards);
        self.owned_shards_changed.notify_one();
    }
}

/// A takeover of a shard by this daemon. The takeover ends when the value is dropped.
pub(crate) struct TakeoverGuard<'a> {
    node: &'a Node,
    shard: SmolStr,
}

impl Drop for TakeoverGuard<'_> {
    fn drop(&mut self) {
        self.node.takeovers.lock().remove(&self.shard);
    }
}
