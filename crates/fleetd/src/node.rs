//! What the parts of a daemon share.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use jsonrpsee::http_client::{HttpClient as PeerClient, HttpClientBuilder};
use ownership::{Peers, ShardOwner};
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::sync::Notify;
use users_platform::{HttpClient, PolicyClient, StoreClient, VmClient, WaveRequest, WorkerClient};

use crate::clock::{Clock, local_ms};
use crate::config::ActiveConfig;
use crate::metrics::Metrics;
use crate::pool::PoolOwner;
use crate::settings::FleetSettings;

/// How long a call to the store may take. Thirty times its usual time, and more than it takes when it is 50 times
/// slower than usual.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// When the store has not answered for longer, this daemon sends callers elsewhere. It is asked every 0.4 s, and a
/// slow answer takes 0.3 s.
const STORE_AWAY_MS: u64 = 1300;

/// A holder that has not shown for longer that it holds a unit does not. It rewrites its row at once when it does, and
/// a lost answer takes 1 s.
const UNANNOUNCED_MS: u64 = 2000;

/// How long a call to a peer may take: one transaction there, and once more if its answer is lost.
const PEER_TIMEOUT: Duration = Duration::from_millis(1500);

/// The tables of the system's own rows.
pub(crate) mod tables {
    /// A daemon's sign of life, by daemon.
    pub(crate) const DAEMON: &str = "daemon";
    /// The holder of a unit, in the unit's part.
    pub(crate) const OWNER: &str = "owner";
    /// The number of a unit's last transaction, in the unit's part.
    pub(crate) const SEQUENCE: &str = "sequence";
    /// What was handed in, by job, in the pool's part.
    pub(crate) const JOB: &str = "job";
    /// How far a job is, by job, in the pool's part.
    pub(crate) const PROGRESS: &str = "progress";
    /// How far a wave is, by wave, in the fleet's part.
    pub(crate) const WAVE: &str = "wave";
    /// Which VMs the stewards ordered lately, in the fleet's part.
    pub(crate) const ORDERED: &str = "ordered";
}

/// The one key of a table that has one row in a part.
pub(crate) const ONLY_KEY: &str = "it";

/// What the parts of a daemon share.
pub(crate) struct Node {
    pub(crate) settings: FleetSettings,
    /// This life of the process.
    pub(crate) incarnation: SmolStr,
    started_at_ms: u64,
    pub(crate) clock: Clock,
    pub(crate) store: StoreClient,
    pub(crate) workers: WorkerClient,
    pub(crate) vms: VmClient,
    pub(crate) advice: Option<PolicyClient>,
    pub(crate) in_force: ActiveConfig,
    pub(crate) metrics: Metrics,
    pub(crate) peers: Mutex<Peers>,
    /// The pools that this daemon decides for.
    pub(crate) pools: Mutex<BTreeMap<SmolStr, Arc<PoolOwner>>>,
    /// The units that this daemon holds, with its terms.
    pub(crate) holds: Mutex<BTreeMap<SmolStr, u64>>,
    /// Wakes the loop that shows what this daemon holds.
    pub(crate) holds_changed: Notify,
    pub(crate) is_leaving: AtomicBool,
    /// When the store last answered this daemon.
    pub(crate) store_answered_at_ms: AtomicU64,
    /// Wakes requests that wait for a unit to be taken over.
    pub(crate) claims_read: Notify,
    pub(crate) in_flight: AtomicUsize,
    /// The waves that operators ask for, by key.
    pub(crate) waves: Mutex<BTreeMap<SmolStr, WaveRequest>>,
    /// Units whose holder by the owner row does not show that it holds them: the row's version, and since when.
    unannounced: Mutex<BTreeMap<SmolStr, (u64, u64)>>,
    peer_clients: Mutex<HashMap<SmolStr, PeerClient>>,
}

impl Node {
    pub(crate) fn new(
        settings: FleetSettings,
        incarnation: SmolStr,
        http: &HttpClient,
        metrics: Metrics,
        peers: Peers,
    ) -> Self {
        Self {
            store: StoreClient::new(http.clone(), &settings.store_addr),
            workers: WorkerClient::new(http.clone()),
            vms: VmClient::new(http.clone(), &settings.vms_addr),
            advice: settings
                .policy_addr
                .as_ref()
                .filter(|addr| !addr.is_empty())
                .map(|addr| PolicyClient::new(http.clone(), addr)),
            settings,
            incarnation,
            started_at_ms: local_ms(),
            clock: Clock::default(),
            in_force: ActiveConfig::default(),
            metrics,
            peers: Mutex::new(peers),
            pools: Mutex::new(BTreeMap::new()),
            holds: Mutex::new(BTreeMap::new()),
            holds_changed: Notify::new(),
            is_leaving: AtomicBool::new(false),
            store_answered_at_ms: AtomicU64::new(0),
            claims_read: Notify::new(),
            in_flight: AtomicUsize::new(0),
            waves: Mutex::new(BTreeMap::new()),
            unannounced: Mutex::new(BTreeMap::new()),
            peer_clients: Mutex::new(HashMap::new()),
        }
    }

    /// When this process started, on the store's clock as far as it is known.
    pub(crate) fn started_at_store_ms(&self) -> u64 {
        let now = self.clock.now();
        let up_ms = now.local_ms.saturating_sub(self.started_at_ms);
        now.store_ms.saturating_sub(up_ms)
    }

    /// Whether a unit's holder by an owner row of that version has not shown for a while that it holds the unit. It
    /// may have lost the answer that made it the holder.
    pub(crate) fn is_unannounced(&self, unit: &SmolStr, version: u64) -> bool {
        let now_ms = local_ms();
        let mut unannounced = self.unannounced.lock();
        let seen = unannounced.entry(unit.clone()).or_insert((version, now_ms));
        if seen.0 != version {
            *seen = (version, now_ms);
        }
        now_ms.saturating_sub(seen.1) > UNANNOUNCED_MS
    }

    /// A call to the daemon that claims a unit failed: its row decides sooner whether it is dead.
    pub(crate) fn suspect(&self, claim: &ShardOwner) {
        self.peers.lock().mark_unreachable(&claim.daemon);
    }

    /// Whether the store has not answered this daemon for a while, so that it can accept nothing.
    pub(crate) fn is_store_away(&self) -> bool {
        let answered_at_ms = self.store_answered_at_ms.load(Ordering::Relaxed);
        local_ms().saturating_sub(answered_at_ms) > STORE_AWAY_MS
    }

    /// The pool's owner, if it is this daemon.
    pub(crate) fn own_pool(&self, pool: &str) -> Option<Arc<PoolOwner>> {
        self.pools.lock().get(pool).cloned()
    }

    /// The daemon that claims a unit, as far as is known.
    pub(crate) fn claim(&self, unit: &str) -> Option<ShardOwner> {
        self.peers.lock().shard_owner(unit)
    }

    /// A client of a peer.
    pub(crate) fn peer(&self, addr: &SmolStr) -> Option<PeerClient> {
        let mut clients = self.peer_clients.lock();
        if let Some(client) = clients.get(addr) {
            return Some(client.clone());
        }
        let built = HttpClientBuilder::default()
            .request_timeout(PEER_TIMEOUT)
            .build(format!("http://{addr}"));
        match built {
            Ok(client) => {
                clients.insert(addr.clone(), client.clone());
                Some(client)
            }
            Err(err) => {
                tracing::warn!(addr = addr.as_str(), error = %err, "a peer's address can't be used");
                None
            }
        }
    }

    /// Another daemon to hand a unit to, and a client of it.
    pub(crate) fn other_daemon(&self) -> Option<(ShardOwner, PeerClient)> {
        let other = self
            .peers
            .lock()
            .least_loaded_other(&self.settings.daemon)?;
        let peer = self.peer(&other.addr)?;
        Some((other, peer))
    }

    /// Shows peers that this daemon holds a unit, or no longer does.
    pub(crate) fn set_hold(&self, unit: &SmolStr, term: Option<u64>) {
        let mut holds = self.holds.lock();
        match term {
            Some(term) => holds.insert(unit.clone(), term),
            None => holds.remove(unit),
        };
        drop(holds);
        self.holds_changed.notify_one();
    }
}
