//! Liveness of daemons and ownership of shards, derived from the daemons' rows in the store.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Loads are integers in millionths of a shard per unit of capacity, so that the loads of daemons with capacities of up
/// to some thousands differ.
const LOAD_SCALE: u64 = 1_000_000;

/// A daemon's heartbeat row in the store, which the daemon rewrites periodically to show that the daemon is alive and
/// which shards the daemon owns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRow {
    /// Identifies the incarnation (one lifetime) of the daemon's process.
    pub incarnation: SmolStr,
    /// The address on which the daemon serves calls of its peers, as `host:port`.
    pub addr: SmolStr,
    /// When the process started, in milliseconds of the store's clock.
    pub started_at_ms: u64,
    /// Whether the daemon is shutting down and takes over no more shards.
    #[serde(rename = "is_leaving")]
    pub is_shutting_down: bool,
    /// The availability zone of the daemon; empty in rows of older versions.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub zone: SmolStr,
    /// How much work the daemon can do, in thousandths of a core; 0 counts as 1, and rows of older versions, which lack
    /// the field, have 1.
    #[serde(default = "usual_capacity")]
    pub capacity: u32,
    /// The shards that the daemon owns: the daemon's term by the name of the shard.
    #[serde(rename = "holds")]
    pub owned_shards: BTreeMap<SmolStr, u64>,
}

/// The capacity of a daemon whose row lacks the field, as rows of older versions do.
fn usual_capacity() -> u32 {
    1
}

/// The row in the store that makes a daemon the owner of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRow {
    /// The name of the daemon that owns the shard.
    pub daemon: SmolStr,
    /// Identifies the incarnation of the owner's process.
    pub incarnation: SmolStr,
    /// The owner's term, which increases by 1 with each takeover of the shard.
    pub term: u64,
    /// Whether the owner has released the shard, so that another daemon may take over the shard at once.
    pub is_released: bool,
    /// Until when commands may be sent that a successor has to keep a gap to, in milliseconds of the store's clock.
    ///
    /// When the owner takes the shard over: until when the owners before it may send commands. When the owner releases the
    /// shard: when its last command ended, unless the owners before it may send commands for longer. 0 for shards without
    /// such a gap, and in rows that lack the field.
    #[serde(default, rename = "last_order_at_ms")]
    pub last_command_at_ms: u64,
}

/// What a daemon knows about the owner that a shard's row names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OwnerEvidence {
    /// Whether the row names the incarnation of the daemon that decides.
    pub is_self: bool,
    /// Whether the owner may be alive and not shutting down.
    pub may_be_serving: bool,
    /// Whether the owner has not announced the shard in its heartbeat row in time.
    pub is_unannounced: bool,
    /// The term of the daemon that hands the shard over; `None` when no daemon does.
    pub handed_over_term: Option<u64>,
}

impl OwnerRow {
    /// What is assumed of an owner whose row can't be decoded, when the highest term that is known otherwise is `term`: that it
    /// may be serving, under a name that no daemon has.
    ///
    /// ```
    /// use ownership::{OwnerEvidence, OwnerRow};
    /// let row = OwnerRow::unreadable(7);
    /// assert_eq!(row.term, 7);
    /// assert!(!row.may_be_replaced(OwnerEvidence { may_be_serving: true, ..OwnerEvidence::default() }));
    /// ```
    #[must_use]
    pub fn unreadable(term: u64) -> Self {
        Self {
            daemon: SmolStr::default(),
            incarnation: SmolStr::default(),
            term,
            is_released: false,
            last_command_at_ms: 0,
        }
    }

    /// Whether another term may replace the one of this row. A handover counts only from the term of this row: a daemon
    /// that was cut off may hand over a shard that another daemon has taken over since.
    ///
    /// ```
    /// use ownership::{OwnerEvidence, OwnerRow};
    /// let row = OwnerRow {
    ///     daemon: "b".into(),
    ///     incarnation: "b-1".into(),
    ///     term: 3,
    ///     is_released: false,
    ///     last_command_at_ms: 0,
    /// };
    /// let serving = OwnerEvidence { may_be_serving: true, ..OwnerEvidence::default() };
    /// assert!(!row.may_be_replaced(serving));
    /// assert!(row.may_be_replaced(OwnerEvidence { handed_over_term: Some(3), ..serving }));
    /// assert!(!row.may_be_replaced(OwnerEvidence { handed_over_term: Some(2), ..serving }));
    /// ```
    #[must_use]
    pub fn may_be_replaced(&self, evidence: OwnerEvidence) -> bool {
        evidence.is_self
            || self.is_released
            || evidence.is_unannounced
            || !evidence.may_be_serving
            || evidence.handed_over_term == Some(self.term)
    }
}

/// The owner of a shard, as the owner's heartbeat row shows, or a daemon that could become the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardOwner {
    /// The name of the daemon.
    pub daemon: SmolStr,
    /// The address on which the daemon serves calls of its peers, as `host:port`.
    pub addr: SmolStr,
    /// The owner's term; 0 for a daemon that could become the owner.
    pub term: u64,
}

#[derive(Debug, Clone)]
struct Peer {
    row: DaemonRow,
    /// The store's version of the row, which changes with each write.
    version: u64,
    /// How long the row has been unchanged; each gap between two reads counts for at most `max_gap_ms`.
    unchanged_ms: u64,
    /// Whether a call to the daemon failed since the row last changed.
    is_unreachable: bool,
}

/// All daemons that have a row, including the daemon that reads the rows, with their liveness and the shards that they
/// own, as of the latest read.
#[derive(Debug, Clone)]
pub struct Peers {
    by_daemon: BTreeMap<SmolStr, Peer>,
    dead_after_ms: u64,
    unreachable_dead_after_ms: u64,
    max_gap_ms: u64,
}

impl Peers {
    /// Creates an empty view, without any daemons.
    ///
    /// A daemon is dead when its row has been unchanged for `dead_after_ms`, or, once a call to the daemon has failed,
    /// for `unreachable_dead_after_ms`. Each gap between two reads counts for at most `max_gap_ms`: during a longer
    /// gap the store may have been unavailable to the daemon as well.
    #[must_use]
    pub fn new(dead_after_ms: u64, unreachable_dead_after_ms: u64, max_gap_ms: u64) -> Self {
        Self {
            by_daemon: BTreeMap::new(),
            dead_after_ms,
            unreachable_dead_after_ms,
            max_gap_ms,
        }
    }

    /// Replaces all rows by those of a new read, done `gap_ms` after the previous read.
    ///
    /// Each row comes with the name of its daemon and the store's version of the row. A row is unchanged while its
    /// version is. A daemon without a row is forgotten.
    pub fn update(&mut self, rows: Vec<(SmolStr, u64, DaemonRow)>, gap_ms: u64) {
        let gap_ms = gap_ms.min(self.max_gap_ms);
        let mut by_daemon = BTreeMap::new();
        for (daemon, version, row) in rows {
            let unchanged = self
                .by_daemon
                .get(&daemon)
                .filter(|peer| peer.version == version);
            let unchanged_ms = unchanged.map_or(0, |peer| peer.unchanged_ms + gap_ms);
            let is_unreachable = unchanged.is_some_and(|peer| peer.is_unreachable);
            let peer = Peer {
                row,
                version,
                unchanged_ms,
                is_unreachable,
            };
            by_daemon.insert(daemon, peer);
        }
        self.by_daemon = by_daemon;
    }

    /// Marks a daemon as unreachable after a call to the daemon failed, until the daemon's row changes.
    ///
    /// Returns how long the row has been unchanged, in ms; `None` for a daemon that was marked before or is unknown.
    pub fn mark_unreachable(&mut self, daemon: &str) -> Option<u64> {
        let peer = self.by_daemon.get_mut(daemon)?;
        let was_unreachable = std::mem::replace(&mut peer.is_unreachable, true);
        (!was_unreachable).then_some(peer.unchanged_ms)
    }

    /// Whether a daemon is marked as unreachable. False for an unknown daemon.
    #[must_use]
    pub fn is_unreachable(&self, daemon: &str) -> bool {
        let peer = self.by_daemon.get(daemon);
        peer.is_some_and(|peer| peer.is_unreachable)
    }

    /// When the incarnation of a daemon started that came after `incarnation`, which wrote a row with the store's version
    /// `version`, in milliseconds of the store's clock.
    ///
    /// `None` when no later incarnation is known: `incarnation` is still the current one, the daemon has no row, or its row is
    /// older than `version` and may be of an earlier incarnation.
    #[must_use]
    pub fn restarted_at_ms(&self, daemon: &str, incarnation: &str, version: u64) -> Option<u64> {
        let peer = self.by_daemon.get(daemon)?;
        let is_later = peer.row.incarnation != incarnation && peer.version > version;
        is_later.then_some(peer.row.started_at_ms)
    }

    /// The shards that the row of `daemon` lists, if the row is of an earlier incarnation than `incarnation`. That
    /// incarnation has ended.
    ///
    /// ```
    /// use ownership::Peers;
    /// let peers = Peers::new(1800, 900, 800);
    /// assert!(peers.shards_of_earlier_incarnation("a", "a-2").is_empty());
    /// ```
    #[must_use]
    pub fn shards_of_earlier_incarnation(&self, daemon: &str, incarnation: &str) -> Vec<SmolStr> {
        let peer = self.by_daemon.get(daemon);
        let earlier = peer.filter(|peer| peer.row.incarnation != incarnation);
        let shards = earlier.into_iter().flat_map(|peer| &peer.row.owned_shards);
        shards.map(|(shard, _)| shard.clone()).collect()
    }

    /// The daemon to which `daemon` hands over a shard: of the other daemons that are alive, reachable and not shutting
    /// down, the one that would have the fewest shards for its capacity with one shard more.
    ///
    /// The term of the result is 0. `None` when there is no such daemon.
    #[must_use]
    pub fn least_loaded_other(&self, daemon: &str) -> Option<ShardOwner> {
        let others = self.by_daemon.iter().filter(|(name, peer)| {
            name.as_str() != daemon
                && self.is_alive(peer)
                && !peer.row.is_shutting_down
                && !peer.is_unreachable
        });
        let least_loaded = others
            .min_by_key(|(_, peer)| load(peer.row.owned_shards.len() + 1, peer.row.capacity))?;
        Some(ShardOwner {
            daemon: least_loaded.0.clone(),
            addr: least_loaded.1.row.addr.clone(),
            term: 0,
        })
    }

    /// Whether `incarnation`, which wrote a row with the store's version `version`, may be the current incarnation of
    /// `daemon`, alive and not shutting down.
    ///
    /// A heartbeat row of another incarnation that is older than `version`, or a missing one, tells nothing of `incarnation`: it
    /// may have started since the rows were read.
    #[must_use]
    pub fn may_be_serving(&self, daemon: &str, incarnation: &str, version: u64) -> bool {
        self.by_daemon.get(daemon).is_none_or(|peer| {
            if peer.row.incarnation == incarnation {
                self.is_alive(peer) && !peer.row.is_shutting_down
            } else {
                peer.version < version
            }
        })
    }

    fn is_alive(&self, peer: &Peer) -> bool {
        let dead_after_ms = if peer.is_unreachable {
            self.unreachable_dead_after_ms
        } else {
            self.dead_after_ms
        };
        peer.unchanged_ms < dead_after_ms
    }

    /// The owner of a shard: of the daemons whose rows list the shard, the one with the highest term, alive or dead.
    ///
    /// `None` when no row lists the shard.
    #[must_use]
    pub fn shard_owner(&self, shard: &str) -> Option<ShardOwner> {
        let owners = self.by_daemon.iter().filter_map(|(daemon, peer)| {
            let term = *peer.row.owned_shards.get(shard)?;
            Some(ShardOwner {
                daemon: daemon.clone(),
                addr: peer.row.addr.clone(),
                term,
            })
        });
        owners.max_by_key(|owner| owner.term)
    }

    /// Whether the heartbeat row of the owner that a shard's row names lists the shard in the term of that row.
    ///
    /// ```
    /// use ownership::{OwnerRow, Peers};
    /// let peers = Peers::new(1800, 900, 800);
    /// assert!(!peers.announces("pool", &OwnerRow::unreadable(3)));
    /// ```
    #[must_use]
    pub fn announces(&self, shard: &str, owner: &OwnerRow) -> bool {
        let peer = self.by_daemon.get(&owner.daemon);
        let peer = peer.filter(|peer| peer.row.incarnation == owner.incarnation);
        peer.is_some_and(|peer| peer.row.owned_shards.get(shard) == Some(&owner.term))
    }

    /// Whether the shard's owner is alive and not shutting down.
    fn has_serving_owner(&self, shard: &str) -> bool {
        let owner = self.shard_owner(shard);
        let peer = owner.and_then(|owner| self.by_daemon.get(&owner.daemon));
        peer.is_some_and(|peer| self.is_alive(peer) && !peer.row.is_shutting_down)
    }

    /// Whether `daemon` may read the rows less often than others: it owns no shard, every shard of `shards` has a serving
    /// owner to which no call has failed, and at least `successors` other daemons would take an unowned shard over first.
    ///
    /// ```
    /// use ownership::Peers;
    /// let peers = Peers::new(1800, 900, 800);
    /// assert!(!peers.may_read_rarely("a", &["pool".into()], 1));
    /// ```
    #[must_use]
    pub fn may_read_rarely(&self, daemon: &str, shards: &[SmolStr], successors: usize) -> bool {
        let Some(peer) = self.by_daemon.get(daemon) else {
            return false;
        };
        let is_settled = |shard: &SmolStr| {
            let owner = self.shard_owner(shard);
            let is_reachable = owner.is_some_and(|owner| !self.is_unreachable(&owner.daemon));
            is_reachable && self.has_serving_owner(shard)
        };
        if !peer.row.owned_shards.is_empty() || shards.is_empty() || !shards.iter().all(is_settled)
        {
            return false;
        }
        let next_load = |peer: &Peer| load(peer.row.owned_shards.len() + 1, peer.row.capacity);
        let own_load = next_load(peer);
        let preferred = self.by_daemon.values().filter(|other| {
            self.is_alive(other) && !other.row.is_shutting_down && next_load(other) < own_load
        });
        preferred.count() >= successors
    }

    /// The unowned shards of `shards` that `daemon` is to take over: those without an owner that is alive and not
    /// shutting down, as far as they are assigned to `daemon`.
    ///
    /// Each unowned shard is assigned in turn to the daemon, alive and not shutting down, that would then have the
    /// fewest shards for its capacity; of equal ones, to one in the availability zone whose daemons own the fewest shards,
    /// so that the loss of a zone takes few shards with it. The assignment depends only on the rows and on which daemons are alive, so that
    /// all daemons with the same view of these agree. Empty when `daemon` is dead, is shutting down or has no row.
    #[must_use]
    pub fn shards_to_take_over(&self, daemon: &str, shards: &[SmolStr]) -> Vec<SmolStr> {
        let serving = self
            .by_daemon
            .iter()
            .filter(|(_, peer)| self.is_alive(peer) && !peer.row.is_shutting_down);
        // Of equally loaded daemons, the one started last is preferred: in a rolling restart that daemon has been
        // restarted already.
        let mut candidates: Vec<Candidate<'_>> = serving
            .map(|(daemon, peer)| Candidate {
                daemon,
                zone: &peer.row.zone,
                owned_shards: peer.row.owned_shards.len(),
                capacity: peer.row.capacity,
                relative_age_s: u64::MAX - peer.row.started_at_ms / 1000,
            })
            .collect();
        let mut to_take_over = Vec::new();
        let mut shards_by_zone: BTreeMap<&SmolStr, usize> = BTreeMap::new();
        for candidate in &candidates {
            *shards_by_zone.entry(candidate.zone).or_default() += candidate.owned_shards;
        }
        for shard in shards.iter().filter(|shard| !self.has_serving_owner(shard)) {
            let least_loaded = candidates.iter_mut().min_by_key(|candidate| {
                let load = load(candidate.owned_shards + 1, candidate.capacity);
                (
                    load,
                    shards_by_zone[candidate.zone],
                    candidate.relative_age_s,
                    tie_break_hash(candidate.daemon, shard),
                )
            });
            let Some(assignee) = least_loaded else {
                return to_take_over;
            };
            assignee.owned_shards += 1;
            *shards_by_zone.entry(assignee.zone).or_default() += 1;
            if assignee.daemon.as_str() == daemon {
                to_take_over.push(shard.clone());
            }
        }
        to_take_over
    }
}

/// A daemon to which an unowned shard can be assigned.
struct Candidate<'a> {
    daemon: &'a SmolStr,
    zone: &'a SmolStr,
    /// The number of shards that the daemon owns or has been assigned.
    owned_shards: usize,
    capacity: u32,
    /// The process's age in seconds, with an offset that is the same for all daemons.
    relative_age_s: u64,
}

/// The load of a daemon: its number of shards per unit of capacity, in units of 1 / [`LOAD_SCALE`].
fn load(owned_shards: usize, capacity: u32) -> u64 {
    let owned_shards = u64::try_from(owned_shards).unwrap_or(u64::MAX);
    owned_shards.saturating_mul(LOAD_SCALE) / u64::from(capacity.max(1))
}

/// A hash of the daemon and the shard that breaks ties between equally loaded daemons, so that not all ties go to one
/// daemon.
fn tie_break_hash(daemon: &str, shard: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (daemon, shard).hash(&mut hasher);
    hasher.finish()
}
