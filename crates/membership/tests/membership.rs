//! Freshness of the view, liveness of peers, and the schedule of contacts.

use domain::{EntryVmId, Epoch, FleetSeq, Incarnation, ZoneId};
use membership::{ContactFailure, Digest, Freshness, PeerState, Peers, VIEW_TTL_US, View};

const US_PER_S: u64 = 1_000_000;

fn entry(id: &str) -> EntryVmId {
    EntryVmId::new(id).unwrap()
}

fn zone(id: &str) -> ZoneId {
    ZoneId::new(id).unwrap()
}

fn view(epoch: u64, seq: u64) -> View {
    View {
        epoch: Epoch(epoch),
        fleet_seq: FleetSeq(seq),
    }
}

fn digest(id: &str) -> Digest {
    Digest {
        entry_vm: entry(id),
        incarnation: Incarnation::new(&format!("{id}.1")).unwrap(),
        view: view(1, 1),
        view_age_us: Some(0),
        is_draining: false,
        peak_in_flight: Vec::new(),
    }
}

/// The peers of a daemon in z1: e2 and e3 in z1, and e4 in z2.
fn peers() -> Peers {
    let others = [("e2", "z1"), ("e3", "z1"), ("e4", "z2")];
    Peers::new(
        &zone("z1"),
        others.map(|(id, zone_id)| (entry(id), zone(zone_id))),
    )
}

#[test]
fn a_view_expires_when_its_time_to_live_has_passed() {
    let mut freshness = Freshness::new();
    assert!(
        !freshness.is_fresh(0),
        "a view without a confirmation is not fresh"
    );
    freshness.confirm(view(1, 1), view(1, 1), 10 * US_PER_S);
    assert!(freshness.is_fresh(10 * US_PER_S + VIEW_TTL_US - 1));
    assert!(!freshness.is_fresh(10 * US_PER_S + VIEW_TTL_US));
}

#[test]
fn an_older_confirmation_does_not_replace_a_later_one() {
    let mut freshness = Freshness::new();
    freshness.confirm(view(1, 1), view(1, 1), 10 * US_PER_S);
    freshness.confirm(view(1, 1), view(1, 1), 5 * US_PER_S);
    assert_eq!(freshness.age_us(12 * US_PER_S), Some(2 * US_PER_S));
}

#[test]
fn a_peer_with_an_older_view_confirms_the_own_newer_view() {
    let mut freshness = Freshness::new();
    freshness.confirm(view(2, 5), view(2, 4), 10 * US_PER_S);
    assert!(freshness.is_fresh(10 * US_PER_S));
}

#[test]
fn an_invalidated_view_is_not_fresh() {
    let mut freshness = Freshness::new();
    freshness.confirm(view(1, 1), view(1, 1), 10 * US_PER_S);
    freshness.invalidate();
    assert!(!freshness.is_fresh(10 * US_PER_S));
}

#[test]
fn each_period_has_one_contact_and_every_fourth_goes_to_another_zone() {
    let mut peers = peers();
    let contacts: Vec<_> = (0..8).filter_map(|_| peers.next_contact()).collect();
    assert_eq!(contacts.len(), 8);
    let count = |id: &str| {
        contacts
            .iter()
            .filter(|contact| **contact == entry(id))
            .count()
    };
    assert_eq!((count("e2"), count("e3"), count("e4")), (3, 3, 2));
}

#[test]
fn a_daemon_without_peers_has_no_next_contact() {
    let mut peers = Peers::new(&zone("z1"), []);
    assert_eq!(peers.next_contact(), None);
}

fn assert_state_at_digest_age(id: &str, digest_age_s: u64, expected: PeerState) {
    let mut peers = peers();
    peers.record_digest(digest(id), 100 * US_PER_S);
    assert_eq!(
        peers.state(&entry(id), (100 + digest_age_s) * US_PER_S),
        Some(expected),
        "{id} with a last digest {digest_age_s} s old"
    );
}

#[test]
fn a_peer_that_sends_no_digest_is_suspect_first_and_then_gone() {
    assert_state_at_digest_age("e2", 1, PeerState::Alive);
    assert_state_at_digest_age("e2", 6, PeerState::Suspect);
    assert_state_at_digest_age("e2", 11, PeerState::Gone);
    assert_state_at_digest_age("e4", 30, PeerState::Alive);
    assert_state_at_digest_age("e4", 70, PeerState::Suspect);
    assert_state_at_digest_age("e4", 130, PeerState::Gone);
}

#[test]
fn a_refused_connection_marks_a_peer_as_gone_at_once() {
    let mut peers = peers();
    peers.record_digest(digest("e2"), 0);
    peers.record_contact_failure(&entry("e2"), ContactFailure::Unresponsive);
    assert_eq!(peers.state(&entry("e2"), 0), Some(PeerState::Alive));
    peers.record_contact_failure(&entry("e2"), ContactFailure::ConnectionRefused);
    assert_eq!(peers.state(&entry("e2"), 0), Some(PeerState::Gone));
    peers.record_digest(digest("e2"), 0);
    assert_eq!(peers.state(&entry("e2"), 0), Some(PeerState::Alive));
}

#[test]
fn suspect_peers_share_the_targets_of_the_zone_until_they_are_gone() {
    let mut peers = peers();
    assert_eq!(peers.daemons_sharing_targets(0), 3, "unknown peers count");
    peers.record_digest(digest("e2"), 0);
    peers.record_digest(digest("e3"), 0);
    assert_eq!(
        peers.daemons_sharing_targets(6 * US_PER_S),
        3,
        "suspect peers count"
    );
    peers.record_digest(digest("e3"), 10 * US_PER_S);
    assert_eq!(peers.daemons_sharing_targets(11 * US_PER_S), 2);
    assert_eq!(peers.configured_daemons(), 4);
}

#[test]
fn a_digest_from_an_unconfigured_daemon_is_ignored() {
    let mut peers = peers();
    assert_eq!(peers.record_digest(digest("e9"), 0), None);
    assert_eq!(peers.statuses(0).len(), 3);
}
