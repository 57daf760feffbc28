//! Liveness of the other daemons of the deployment, and the schedule of contacts with them.

use std::collections::BTreeMap;

use domain::{EntryVmId, Incarnation, ZoneId};
use serde::{Deserialize, Serialize};

use crate::freshness::View;

/// One of this many consecutive contacts goes to a peer of another zone.
const CONTACTS_PER_REMOTE_CONTACT: u64 = 4;

/// A peer of the own zone is suspect when no digest has arrived from the peer for this long.
const SUSPECT_AFTER_US: u64 = 5_000_000;

/// A peer of the own zone is gone when no digest has arrived from the peer for this long.
///
/// Until then the suspect peer counts among the daemons that share the zone's targets.
const GONE_AFTER_US: u64 = 10_000_000;

/// Factor on [`SUSPECT_AFTER_US`] and [`GONE_AFTER_US`] for a peer of another zone, because remote peers are contacted
/// less often.
const REMOTE_TIMEOUT_FACTOR: u64 = 12;

/// The state that a daemon sends in each exchange with a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The entry VM of the sending daemon.
    pub entry_vm: EntryVmId,
    /// The incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// The sender's view of the fleet.
    pub view: View,
    /// The age of the last confirmation of the sender's view, in microseconds; `None` if there is no confirmation.
    pub view_age_us: Option<u64>,
    /// Whether the sender is shutting down.
    pub is_draining: bool,
    /// The peak number of the sender's requests in flight to each target of the sender's zone, in order of address.
    ///
    /// Each peak covers one period of the sender's exchanges. Empty in digests for peers of another zone.
    #[serde(rename = "peaks")]
    pub peak_in_flight: Vec<u32>,
}

/// Why a call to a peer failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ContactFailure {
    /// The peer's VM refused the connection, because no process listens at the address.
    #[serde(rename = "refused")]
    ConnectionRefused,
    /// The call failed in any other way, so the peer's process may still run.
    #[serde(rename = "silent")]
    Unresponsive,
}

/// The liveness of a peer.
///
/// The state depends on the age of the peer's last digest, unless the peer refused the last contact and no digest has
/// arrived since: then the peer is [`Self::Gone`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerState {
    /// No digest has arrived from the peer since this process started, and the last contact was not refused.
    Unknown,
    /// The last digest is less than 5 s old for a peer of the own zone, less than 60 s old for a peer of another zone.
    Alive,
    /// The last digest is as recent as for [`Self::Alive`], and reports that the peer is shutting down.
    Draining,
    /// No digest has arrived for 5 s to 10 s from a peer of the own zone, or for 60 s to 120 s from a peer of another
    /// zone.
    Suspect,
    /// The peer refused the last contact, or no digest has arrived for at least 10 s from a peer of the own zone, or
    /// for at least 120 s from a peer of another zone.
    Gone,
}

/// The status of a peer at the time of the query, for logs and reports to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// The entry VM of the peer.
    pub entry_vm: EntryVmId,
    /// The availability zone of the peer.
    pub zone: ZoneId,
    /// The liveness of the peer.
    pub state: PeerState,
    /// The view in the peer's last digest; `None` if no digest has arrived yet.
    pub view: Option<View>,
}

#[derive(Debug)]
struct Peer {
    zone: ZoneId,
    is_local: bool,
    last_digest: Option<Digest>,
    /// When the last digest arrived, in microseconds; 0 without a digest.
    last_digest_at_us: u64,
    /// Whether the peer refused the last contact and no digest has arrived since.
    has_refused: bool,
}

impl Peer {
    fn state(&self, now_us: u64) -> PeerState {
        if self.has_refused {
            return PeerState::Gone;
        }
        let Some(digest) = &self.last_digest else {
            return PeerState::Unknown;
        };
        let timeout_factor = if self.is_local {
            1
        } else {
            REMOTE_TIMEOUT_FACTOR
        };
        match now_us.saturating_sub(self.last_digest_at_us) / timeout_factor {
            scaled_age_us if scaled_age_us >= GONE_AFTER_US => PeerState::Gone,
            scaled_age_us if scaled_age_us >= SUSPECT_AFTER_US => PeerState::Suspect,
            _ if digest.is_draining => PeerState::Draining,
            _ => PeerState::Alive,
        }
    }
}

/// The peers of one daemon, with their liveness and the schedule of contacts.
#[derive(Debug)]
pub struct Peers {
    by_id: BTreeMap<EntryVmId, Peer>,
    contact_count: u64,
    /// The round-robin position among the peers of the own zone, in order of id.
    local_position: usize,
    /// The round-robin position among the peers of other zones, in order of id.
    remote_position: usize,
}

impl Peers {
    /// Creates the state for the given peers, each with its zone. All peers start as [`PeerState::Unknown`].
    ///
    /// `own_zone` is the zone of this daemon. `peers` does not contain this daemon.
    #[must_use]
    pub fn new(own_zone: &ZoneId, peers: impl IntoIterator<Item = (EntryVmId, ZoneId)>) -> Self {
        let unknown_peer = |zone| Peer {
            is_local: zone == *own_zone,
            zone,
            last_digest: None,
            last_digest_at_us: 0,
            has_refused: false,
        };
        let peers = peers.into_iter().map(|(id, zone)| (id, unknown_peer(zone)));
        Self {
            by_id: peers.collect(),
            contact_count: 0,
            local_position: 0,
            remote_position: 0,
        }
    }

    /// Chooses the peer to contact in this period; `None` if there are no peers.
    ///
    /// To be called once in each period of exchanges. There is one contact in each period, so that the traffic of a
    /// daemon does not grow with the number of peers. One of four contacts goes to another zone and three to the own
    /// zone, unless only the own zone or only other zones have peers. The peers take turns in any state, so that a
    /// peer that is gone is still contacted.
    pub fn next_contact(&mut self) -> Option<EntryVmId> {
        self.contact_count += 1;
        let local = self.ids_by_locality(true);
        let remote = self.ids_by_locality(false);
        let is_remote_turn = self
            .contact_count
            .is_multiple_of(CONTACTS_PER_REMOTE_CONTACT)
            || local.is_empty();
        if is_remote_turn && !remote.is_empty() {
            return next_round_robin(&remote, &mut self.remote_position);
        }
        next_round_robin(&local, &mut self.local_position)
    }

    /// The peers of the own zone if `is_local`, otherwise those of other zones, in order of id.
    fn ids_by_locality(&self, is_local: bool) -> Vec<EntryVmId> {
        let peers = self.by_id.iter();
        let peers = peers.filter(|(_, peer)| peer.is_local == is_local);
        peers.map(|(id, _)| id.clone()).collect()
    }

    /// Records a digest that arrived from a peer at `now_us`, and returns the peer's previous state.
    ///
    /// A digest clears an earlier refusal. Returns `None` and records nothing if the sender is not a configured peer.
    /// Digests of an earlier incarnation are not distinguished from those of the latest one: the digest that arrived
    /// last counts.
    pub fn record_digest(&mut self, digest: Digest, now_us: u64) -> Option<PeerState> {
        let peer = self.by_id.get_mut(&digest.entry_vm)?;
        let previous_state = peer.state(now_us);
        peer.last_digest = Some(digest);
        peer.last_digest_at_us = now_us;
        peer.has_refused = false;
        Some(previous_state)
    }

    /// Records a failed contact with a peer. Has no effect if `id` is not a configured peer.
    ///
    /// A refusal marks the peer as gone at once. Any other failure clears an earlier refusal, and the peer's state then
    /// depends on the age of its last digest.
    pub fn record_contact_failure(&mut self, id: &EntryVmId, failure: ContactFailure) {
        if let Some(peer) = self.by_id.get_mut(id) {
            peer.has_refused = failure == ContactFailure::ConnectionRefused;
        }
    }

    /// The liveness of a peer at `now_us`; `None` if `id` is not a configured peer.
    #[must_use]
    pub fn state(&self, id: &EntryVmId, now_us: u64) -> Option<PeerState> {
        self.by_id.get(id).map(|peer| peer.state(now_us))
    }

    /// The peer whose last digest came from `incarnation`; `None` if there is no such peer.
    #[must_use]
    pub fn by_incarnation(&self, incarnation: &Incarnation) -> Option<&EntryVmId> {
        let is_match = |peer: &Peer| {
            peer.last_digest
                .as_ref()
                .is_some_and(|digest| digest.incarnation == *incarnation)
        };
        let found = self.by_id.iter().find(|(_, peer)| is_match(peer));
        found.map(|(id, _)| id)
    }

    /// The number of daemons that share the targets of the own zone at `now_us`, including this daemon.
    ///
    /// Counts each peer of the own zone that is not gone. Suspect peers count, so that a short loss of contact does not
    /// change the number.
    #[must_use]
    pub fn daemons_sharing_targets(&self, now_us: u64) -> u32 {
        let local = self.by_id.values().filter(|peer| peer.is_local);
        let sharing = local.filter(|peer| is_sharing(peer.state(now_us))).count();
        1 + u32::try_from(sharing).unwrap_or(u32::MAX - 1)
    }

    /// The number of daemons in the deployment, in any state and in all zones, including this daemon.
    #[must_use]
    pub fn configured_daemons(&self) -> u32 {
        1 + u32::try_from(self.by_id.len()).unwrap_or(u32::MAX - 1)
    }

    /// The status of each peer at `now_us`, in order of id.
    #[must_use]
    pub fn statuses(&self, now_us: u64) -> Vec<PeerStatus> {
        let status = |(id, peer): (&EntryVmId, &Peer)| PeerStatus {
            entry_vm: id.clone(),
            zone: peer.zone.clone(),
            state: peer.state(now_us),
            view: peer.last_digest.as_ref().map(|digest| digest.view),
        };
        self.by_id.iter().map(status).collect()
    }
}

/// Whether a peer of the own zone in this state counts among the daemons that share the zone's targets.
fn is_sharing(state: PeerState) -> bool {
    matches!(
        state,
        PeerState::Unknown | PeerState::Alive | PeerState::Draining | PeerState::Suspect
    )
}

/// Advances the round-robin `position` and returns the id there; `None` if `ids` is empty.
fn next_round_robin(ids: &[EntryVmId], position: &mut usize) -> Option<EntryVmId> {
    if ids.is_empty() {
        return None;
    }
    *position = (*position + 1) % ids.len();
    Some(ids[*position].clone())
}
