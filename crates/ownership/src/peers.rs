//! The daemons that are alive, as their rows show.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Loads are compared in millionths of a unit, so that capacities of up to some thousands differ.
const LOAD_SCALE: u64 = 1_000_000;

/// The row by which a daemon shows that it is alive, and what it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRow {
    /// The life of the process.
    pub incarnation: SmolStr,
    /// Where it answers its peers.
    pub addr: SmolStr,
    /// When the process started, on the store's clock.
    pub started_at_ms: u64,
    /// Whether it is about to end and takes nothing more.
    pub is_leaving: bool,
    /// How much work it can hold, against that of others.
    #[serde(default = "usual_capacity")]
    pub capacity: u32,
    /// The units that it holds, with its terms.
    pub holds: BTreeMap<SmolStr, u64>,
}

/// The capacity of a daemon whose row doesn't name one.
fn usual_capacity() -> u32 {
    1
}

/// The row that makes a daemon the holder of a unit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRow {
    /// The daemon.
    pub daemon: SmolStr,
    /// The life of its process.
    pub incarnation: SmolStr,
    /// Grows with every holder.
    pub term: u64,
    /// Whether the holder gave it up in order.
    pub is_released: bool,
    /// When a holder that gave it up in order had given its last order, on the store's clock.
    #[serde(default)]
    pub last_order_at_ms: u64,
}

/// Who claims a unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The daemon.
    pub daemon: SmolStr,
    /// Where it answers.
    pub addr: SmolStr,
    /// Its term.
    pub term: u64,
}

#[derive(Debug, Clone)]
struct Peer {
    row: DaemonRow,
    version: u64,
    /// For how long the row has not changed, counting only time in which the store answered.
    unchanged_ms: u64,
    /// Whether a call to it failed since its row last changed.
    is_suspect: bool,
}

/// The daemons, by their rows.
#[derive(Debug, Clone)]
pub struct Peers {
    by_daemon: BTreeMap<SmolStr, Peer>,
    dead_after_ms: u64,
    suspect_dead_after_ms: u64,
    longest_gap_ms: u64,
}

impl Peers {
    /// No daemons yet. One is dead when its row is unchanged for `dead_after_ms`, or, once a call to it has failed,
    /// for `suspect_dead_after_ms`. Gaps between two reads count for at most `longest_gap_ms`: in a longer one the
    /// store may have been away, for the daemon too.
    #[must_use]
    pub fn new(dead_after_ms: u64, suspect_dead_after_ms: u64, longest_gap_ms: u64) -> Self {
        Self {
            by_daemon: BTreeMap::new(),
            dead_after_ms,
            suspect_dead_after_ms,
            longest_gap_ms,
        }
    }

    /// Takes in all rows, read `gap_ms` after those before.
    pub fn read(&mut self, rows: Vec<(SmolStr, u64, DaemonRow)>, gap_ms: u64) {
        let gap_ms = gap_ms.min(self.longest_gap_ms);
        let mut by_daemon = BTreeMap::new();
        for (daemon, version, row) in rows {
            let before = self
                .by_daemon
                .get(&daemon)
                .filter(|peer| peer.version == version);
            let unchanged_ms = before.map_or(0, |peer| peer.unchanged_ms + gap_ms);
            let is_suspect = before.is_some_and(|peer| peer.is_suspect);
            let peer = Peer {
                row,
                version,
                unchanged_ms,
                is_suspect,
            };
            by_daemon.insert(daemon, peer);
        }
        self.by_daemon = by_daemon;
    }

    /// A call to a daemon failed.
    pub fn suspect(&mut self, daemon: &str) {
        if let Some(peer) = self.by_daemon.get_mut(daemon) {
            peer.is_suspect = true;
        }
    }

    /// When the present life of a daemon started, on the store's clock; `None` when that is still the life named.
    #[must_use]
    pub fn restarted_at_ms(&self, daemon: &str, incarnation: &str) -> Option<u64> {
        let row = &self.by_daemon.get(daemon)?.row;
        (row.incarnation != incarnation).then_some(row.started_at_ms)
    }

    /// Another daemon that is alive and stays, the one that holds the least for its capacity.
    #[must_use]
    pub fn least_loaded_other(&self, daemon: &str) -> Option<Claim> {
        let others = self.by_daemon.iter().filter(|(name, peer)| {
            name.as_str() != daemon
                && self.is_alive(peer)
                && !peer.row.is_leaving
                && !peer.is_suspect
        });
        let least =
            others.min_by_key(|(_, peer)| load(peer.row.holds.len() + 1, peer.row.capacity))?;
        Some(Claim {
            daemon: least.0.clone(),
            addr: least.1.row.addr.clone(),
            term: 0,
        })
    }

    /// Whether that life of a daemon is alive and stays.
    #[must_use]
    pub fn is_serving(&self, daemon: &str, incarnation: &str) -> bool {
        self.by_daemon.get(daemon).is_some_and(|peer| {
            peer.row.incarnation == incarnation && self.is_alive(peer) && !peer.row.is_leaving
        })
    }

    fn is_alive(&self, peer: &Peer) -> bool {
        let dead_after_ms = if peer.is_suspect {
            self.suspect_dead_after_ms
        } else {
            self.dead_after_ms
        };
        peer.unchanged_ms < dead_after_ms
    }

    /// The claim of the highest term to a unit, whether its daemon is alive or not.
    #[must_use]
    pub fn claim(&self, unit: &str) -> Option<Claim> {
        let claims = self.by_daemon.iter().filter_map(|(daemon, peer)| {
            let term = *peer.row.holds.get(unit)?;
            Some(Claim {
                daemon: daemon.clone(),
                addr: peer.row.addr.clone(),
                term,
            })
        });
        claims.max_by_key(|claim| claim.term)
    }

    fn is_held(&self, unit: &str) -> bool {
        let claim = self.claim(unit);
        let peer = claim.and_then(|claim| self.by_daemon.get(&claim.daemon));
        peer.is_some_and(|peer| self.is_alive(peer) && !peer.row.is_leaving)
    }

    /// The units that `daemon` is to take: the free ones go in turn to the daemon that would hold the least for its
    /// capacity, so that all daemons that see the same rows agree.
    #[must_use]
    pub fn to_take(&self, daemon: &str, units: &[SmolStr]) -> Vec<SmolStr> {
        let serving = self
            .by_daemon
            .iter()
            .filter(|(_, peer)| self.is_alive(peer) && !peer.row.is_leaving);
        // Of those that hold as much, the youngest: when daemons are restarted in turn, it was restarted already.
        let mut candidates: Vec<Candidate<'_>> = serving
            .map(|(daemon, peer)| Candidate {
                daemon,
                holds: peer.row.holds.len(),
                capacity: peer.row.capacity,
                age_s: u64::MAX - peer.row.started_at_ms / 1000,
            })
            .collect();
        let mut wanted = Vec::new();
        for unit in units.iter().filter(|unit| !self.is_held(unit)) {
            let least = candidates.iter_mut().min_by_key(|candidate| {
                let load = load(candidate.holds + 1, candidate.capacity);
                (load, candidate.age_s, spread(candidate.daemon, unit))
            });
            let Some(chosen) = least else {
                return wanted;
            };
            chosen.holds += 1;
            if chosen.daemon.as_str() == daemon {
                wanted.push(unit.clone());
            }
        }
        wanted
    }
}

/// A daemon that may take a free unit.
struct Candidate<'a> {
    daemon: &'a SmolStr,
    holds: usize,
    capacity: u32,
    age_s: u64,
}

/// What a daemon holds for its capacity.
fn load(holds: usize, capacity: u32) -> u64 {
    let holds = u64::try_from(holds).unwrap_or(u64::MAX);
    holds.saturating_mul(LOAD_SCALE) / u64::from(capacity.max(1))
}

/// A number that differs by unit, so that not all ties fall to one daemon.
fn spread(daemon: &str, unit: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (daemon, unit).hash(&mut hasher);
    hasher.finish()
}
