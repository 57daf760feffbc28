//! The other daemons of the deployment.

use std::collections::BTreeMap;

use domain::{EntryVmId, Incarnation, ZoneId};
use serde::{Deserialize, Serialize};

use crate::freshness::View;

/// Of this many contacts in a row, one goes to a peer of another zone.
const REMOTE_EVERY: u64 = 4;

/// Without contact for this long, a peer of the own zone is suspect.
const SUSPECT_AFTER_US: u64 = 5_000_000;

/// A suspect peer of the own zone counts among those that share targets until it has been silent for this long.
const GONE_AFTER_US: u64 = 10_000_000;

/// How much longer a peer of another zone may be silent, because it is contacted less often.
const REMOTE_PATIENCE: u64 = 12;

/// What a daemon tells its peers in each period.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The daemon.
    pub entry_vm: EntryVmId,
    /// Its run.
    pub incarnation: Incarnation,
    /// What it has in force.
    pub view: View,
    /// How long ago its view was confirmed as the newest.
    pub view_age_us: Option<u64>,
    /// Whether it is shutting down.
    pub is_draining: bool,
    /// Its requests in flight to the targets of its zone.
    pub peaks: Vec<u32>,
}

/// Why a peer could not be contacted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NoContact {
    /// Its VM answered that no process listens there.
    Refused,
    /// Nothing came back.
    Silent,
}

/// What is known of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerState {
    /// Not contacted yet.
    Unknown,
    /// Heard from recently.
    Alive,
    /// Heard from recently, and shutting down.
    Draining,
    /// Not heard from for a while.
    Suspect,
    /// Its process is not there, or it was silent for long.
    Gone,
}

/// A peer as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// The peer.
    pub entry_vm: EntryVmId,
    /// Its zone.
    pub zone: ZoneId,
    /// What is known of it.
    pub state: PeerState,
    /// What it had in force when last heard from.
    pub view: Option<View>,
}

#[derive(Debug)]
struct Peer {
    zone: ZoneId,
    is_local: bool,
    last: Option<Digest>,
    heard_us: u64,
    is_refused: bool,
}

impl Peer {
    fn state(&self, now_us: u64) -> PeerState {
        if self.is_refused {
            return PeerState::Gone;
        }
        let Some(digest) = &self.last else {
            return PeerState::Unknown;
        };
        let patience = if self.is_local { 1 } else { REMOTE_PATIENCE };
        match now_us.saturating_sub(self.heard_us) / patience {
            silent_us if silent_us >= GONE_AFTER_US => PeerState::Gone,
            silent_us if silent_us >= SUSPECT_AFTER_US => PeerState::Suspect,
            _ if digest.is_draining => PeerState::Draining,
            _ => PeerState::Alive,
        }
    }
}

/// The peers of one daemon.
#[derive(Debug)]
pub struct Peers {
    by_id: BTreeMap<EntryVmId, Peer>,
    turn: u64,
    zone_turn: usize,
    remote_turn: usize,
}

impl Peers {
    /// The peers that the settings list, none of them heard from yet.
    #[must_use]
    pub fn new(own_zone: &ZoneId, peers: impl IntoIterator<Item = (EntryVmId, ZoneId)>) -> Self {
        let unknown = |zone| Peer {
            is_local: zone == *own_zone,
            zone,
            last: None,
            heard_us: 0,
            is_refused: false,
        };
        let peers = peers.into_iter().map(|(id, zone)| (id, unknown(zone)));
        Self {
            by_id: peers.collect(),
            turn: 0,
            zone_turn: 0,
            remote_turn: 0,
        }
    }

    /// Whom to contact in this period. It is one peer, mostly of the own zone, so that the traffic of a daemon does
    /// not grow with their number.
    pub fn next_contact(&mut self) -> Option<EntryVmId> {
        self.turn += 1;
        let in_zone = self.of_own_zone(true);
        let remote = self.of_own_zone(false);
        let is_remote_turn = self.turn.is_multiple_of(REMOTE_EVERY) || in_zone.is_empty();
        if is_remote_turn && !remote.is_empty() {
            return next_of(&remote, &mut self.remote_turn);
        }
        next_of(&in_zone, &mut self.zone_turn)
    }

    fn of_own_zone(&self, is_own: bool) -> Vec<EntryVmId> {
        let peers = self.by_id.iter();
        let peers = peers.filter(|(_, peer)| peer.is_local == is_own);
        peers.map(|(id, _)| id.clone()).collect()
    }

    /// A peer was heard from. Returns its state before. Digests of an older run are not told from those of the
    /// latest one; the later heard counts.
    pub fn heard(&mut self, digest: Digest, now_us: u64) -> Option<PeerState> {
        let peer = self.by_id.get_mut(&digest.entry_vm)?;
        let before = peer.state(now_us);
        peer.last = Some(digest);
        peer.heard_us = now_us;
        peer.is_refused = false;
        Some(before)
    }

    /// A peer could not be contacted.
    pub fn not_heard(&mut self, id: &EntryVmId, why: NoContact) {
        if let Some(peer) = self.by_id.get_mut(id) {
            peer.is_refused = why == NoContact::Refused;
        }
    }

    /// The state of a peer.
    #[must_use]
    pub fn state(&self, id: &EntryVmId, now_us: u64) -> Option<PeerState> {
        self.by_id.get(id).map(|peer| peer.state(now_us))
    }

    /// The peer whose last digest came from that run.
    #[must_use]
    pub fn by_incarnation(&self, incarnation: &Incarnation) -> Option<&EntryVmId> {
        let is_of = |peer: &Peer| {
            peer.last
                .as_ref()
                .is_some_and(|d| d.incarnation == *incarnation)
        };
        let found = self.by_id.iter().find(|(_, peer)| is_of(peer));
        found.map(|(id, _)| id)
    }

    /// The daemons that share this zone's targets, this one included. A suspect still shares them.
    #[must_use]
    pub fn sharing_in_zone(&self, now_us: u64) -> u32 {
        let in_zone = self.by_id.values().filter(|peer| peer.is_local);
        let sharing = in_zone
            .filter(|peer| is_sharing(peer.state(now_us)))
            .count();
        1 + u32::try_from(sharing).unwrap_or(u32::MAX - 1)
    }

    /// The daemons of the deployment, alive or not, this one included.
    #[must_use]
    pub fn configured(&self) -> u32 {
        1 + u32::try_from(self.by_id.len()).unwrap_or(u32::MAX - 1)
    }

    /// All peers, in order of id.
    #[must_use]
    pub fn statuses(&self, now_us: u64) -> Vec<PeerStatus> {
        let status = |(id, peer): (&EntryVmId, &Peer)| PeerStatus {
            entry_vm: id.clone(),
            zone: peer.zone.clone(),
            state: peer.state(now_us),
            view: peer.last.as_ref().map(|digest| digest.view),
        };
        self.by_id.iter().map(status).collect()
    }
}

fn is_sharing(state: PeerState) -> bool {
    matches!(
        state,
        PeerState::Unknown | PeerState::Alive | PeerState::Draining | PeerState::Suspect
    )
}

/// The one of `ids` whose turn it is.
fn next_of(ids: &[EntryVmId], turn: &mut usize) -> Option<EntryVmId> {
    if ids.is_empty() {
        return None;
    }
    *turn = (*turn + 1) % ids.len();
    Some(ids[*turn].clone())
}
