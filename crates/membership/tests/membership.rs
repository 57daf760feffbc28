//! Freshness of the view, and the states of peers.

use domain::{EntryVmId, Epoch, FleetSeq, Incarnation, ZoneId};
use membership::{Digest, Freshness, NoContact, PeerState, Peers, VIEW_TTL_US, View};

const S: u64 = 1_000_000;

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
        peaks: Vec::new(),
    }
}

/// Peers of a daemon in z1: e2 and e3 in z1, e4 in z2.
fn peers() -> Peers {
    let others = [("e2", "z1"), ("e3", "z1"), ("e4", "z2")];
    Peers::new(
        &zone("z1"),
        others.map(|(id, zone_id)| (entry(id), zone(zone_id))),
    )
}

#[test]
fn a_view_expires() {
    let mut freshness = Freshness::new();
    assert!(
        !freshness.is_fresh(0),
        "a view that was never confirmed is not fresh"
    );
    freshness.confirmed(view(1, 1), view(1, 1), 10 * S);
    assert!(freshness.is_fresh(10 * S + VIEW_TTL_US - 1));
    assert!(!freshness.is_fresh(10 * S + VIEW_TTL_US));
}

#[test]
fn an_older_confirmation_does_not_make_a_view_older() {
    let mut freshness = Freshness::new();
    freshness.confirmed(view(1, 1), view(1, 1), 10 * S);
    freshness.confirmed(view(1, 1), view(1, 1), 5 * S);
    assert_eq!(freshness.age_us(12 * S), Some(2 * S));
}

#[test]
fn a_peer_with_an_older_view_confirms_a_newer_one() {
    let mut freshness = Freshness::new();
    freshness.confirmed(view(2, 5), view(2, 4), 10 * S);
    assert!(freshness.is_fresh(10 * S));
}

#[test]
fn a_pause_takes_the_freshness_away() {
    let mut freshness = Freshness::new();
    freshness.confirmed(view(1, 1), view(1, 1), 10 * S);
    freshness.invalidate();
    assert!(!freshness.is_fresh(10 * S));
}

#[test]
fn contacts_go_round_and_do_not_grow_with_the_peers() {
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
fn a_daemon_without_peers_contacts_nobody() {
    let mut peers = Peers::new(&zone("z1"), []);
    assert_eq!(peers.next_contact(), None);
}

fn check_state(id: &str, silent_s: u64, expected: PeerState) {
    let mut peers = peers();
    peers.heard(digest(id), 100 * S);
    assert_eq!(
        peers.state(&entry(id), (100 + silent_s) * S),
        Some(expected),
        "{id} {silent_s}"
    );
}

#[test]
fn a_silent_peer_is_suspect_before_it_is_gone() {
    check_state("e2", 1, PeerState::Alive);
    check_state("e2", 6, PeerState::Suspect);
    check_state("e2", 11, PeerState::Gone);
    check_state("e4", 30, PeerState::Alive);
    check_state("e4", 70, PeerState::Suspect);
    check_state("e4", 130, PeerState::Gone);
}

#[test]
fn a_refused_connection_shows_at_once_that_a_process_is_gone() {
    let mut peers = peers();
    peers.heard(digest("e2"), 0);
    peers.not_heard(&entry("e2"), NoContact::Silent);
    assert_eq!(peers.state(&entry("e2"), 0), Some(PeerState::Alive));
    peers.not_heard(&entry("e2"), NoContact::Refused);
    assert_eq!(peers.state(&entry("e2"), 0), Some(PeerState::Gone));
    peers.heard(digest("e2"), 0);
    assert_eq!(peers.state(&entry("e2"), 0), Some(PeerState::Alive));
}

#[test]
fn shares_follow_the_zone_with_hysteresis() {
    let mut peers = peers();
    assert_eq!(
        peers.sharing_in_zone(0),
        3,
        "peers not heard from yet count"
    );
    peers.heard(digest("e2"), 0);
    peers.heard(digest("e3"), 0);
    assert_eq!(peers.sharing_in_zone(6 * S), 3, "suspects count");
    peers.heard(digest("e3"), 10 * S);
    assert_eq!(peers.sharing_in_zone(11 * S), 2);
    assert_eq!(peers.configured(), 4);
}

#[test]
fn a_stranger_is_not_taken_in() {
    let mut peers = peers();
    assert_eq!(peers.heard(digest("e9"), 0), None);
    assert_eq!(peers.statuses(0).len(), 3);
}
