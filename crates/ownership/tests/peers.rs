//! Which daemons are alive, and who takes what is free.

use std::collections::BTreeMap;

use ownership::{DaemonRow, Peers};
use smol_str::{SmolStr, format_smolstr};

const DEAD_AFTER_MS: u64 = 1800;
const SUSPECT_MS: u64 = 900;
const GAP_MS: u64 = 400;

fn row(daemon: &str, life: &str, holds: &[(&str, u64)]) -> (SmolStr, DaemonRow) {
    let holds: BTreeMap<SmolStr, u64> = holds
        .iter()
        .map(|(unit, term)| ((*unit).into(), *term))
        .collect();
    let row = DaemonRow {
        incarnation: life.into(),
        addr: format_smolstr!("{daemon}:1"),
        started_at_ms: 5,
        is_leaving: false,
        capacity: 250,
        holds,
    };
    (daemon.into(), row)
}

fn read(peers: &mut Peers, version: u64, rows: &[(SmolStr, DaemonRow)], gap_ms: u64) {
    let rows = rows
        .iter()
        .map(|(daemon, row)| (daemon.clone(), version, row.clone()));
    peers.read(rows.collect(), gap_ms);
}

fn peers() -> Peers {
    Peers::new(DEAD_AFTER_MS, SUSPECT_MS, 800)
}

#[test]
fn a_daemon_is_dead_when_its_row_does_not_change_for_long_enough() {
    let mut peers = peers();
    let rows = [row("a", "1", &[])];
    read(&mut peers, 1, &rows, 0);
    for _ in 0..4 {
        read(&mut peers, 1, &rows, GAP_MS);
        assert!(peers.is_serving("a", "1"));
    }
    read(&mut peers, 1, &rows, GAP_MS);
    assert!(!peers.is_serving("a", "1"));
    read(&mut peers, 2, &rows, GAP_MS);
    assert!(peers.is_serving("a", "1"));
    assert!(!peers.is_serving("a", "2"));
}

#[test]
fn time_in_which_the_store_did_not_answer_counts_little() {
    let mut peers = peers();
    let rows = [row("a", "1", &[])];
    read(&mut peers, 1, &rows, 0);
    read(&mut peers, 1, &rows, 60_000);
    assert!(peers.is_serving("a", "1"));
}

#[test]
fn a_suspect_is_dead_sooner_and_cleared_by_a_new_row() {
    let mut peers = peers();
    let rows = [row("a", "1", &[])];
    read(&mut peers, 1, &rows, 0);
    peers.suspect("a");
    read(&mut peers, 1, &rows, GAP_MS);
    assert!(peers.is_serving("a", "1"));
    read(&mut peers, 1, &rows, SUSPECT_MS - GAP_MS);
    assert!(!peers.is_serving("a", "1"));
    read(&mut peers, 2, &rows, GAP_MS);
    read(&mut peers, 2, &rows, SUSPECT_MS);
    assert!(peers.is_serving("a", "1"));
}

#[test]
fn free_units_go_to_large_daemons_until_small_ones_hold_less_for_their_capacity() {
    let check = |capacities: [u32; 3], expected: [usize; 3]| {
        let names = ["a", "b", "c"];
        let rows = names.iter().zip(capacities).map(|(name, capacity)| {
            let (daemon, mut row) = row(name, "1", &[]);
            row.capacity = capacity;
            (daemon, row)
        });
        let mut peers = peers();
        read(&mut peers, 1, &rows.collect::<Vec<_>>(), 0);
        let units: Vec<SmolStr> = (0..5).map(|n| format_smolstr!("unit-{n}")).collect();
        let mut taken = names.map(|name| peers.to_take(name, &units).len());
        // Which of two that are as large takes one more is a matter of names.
        taken.sort_unstable_by(|a, b| b.cmp(a));
        assert_eq!(taken, expected, "capacities {capacities:?}");
    };
    check([500, 500, 120], [3, 2, 0]);
    check([500, 120, 120], [4, 1, 0]);
    check([200, 120, 120], [3, 1, 1]);
    // A row of an older version shows no capacity.
    check([0, 0, 120], [5, 0, 0]);
}

#[test]
fn free_units_are_divided_and_all_daemons_agree() {
    let mut peers = peers();
    let rows = [
        row("a", "1", &[]),
        row("b", "1", &[("p1", 3)]),
        row("c", "1", &[]),
    ];
    read(&mut peers, 1, &rows, 0);
    let units: Vec<SmolStr> = ["p1", "p2", "p3"].map(SmolStr::from).to_vec();
    let takers = ["a", "b", "c"].map(|daemon| peers.to_take(daemon, &units).len());
    assert_eq!(takers, [1, 0, 1]);
}

#[test]
fn the_highest_term_is_the_claim() {
    let mut peers = peers();
    read(
        &mut peers,
        1,
        &[row("a", "1", &[("p1", 3)]), row("b", "1", &[("p1", 4)])],
        0,
    );
    assert_eq!(peers.claim("p1").unwrap().daemon, "b");
    assert_eq!(peers.claim("p2"), None);
}

#[test]
fn a_restart_is_told_from_the_life_that_held_something() {
    let mut peers = peers();
    read(&mut peers, 1, &[row("a", "2", &[])], 0);
    assert_eq!(peers.restarted_at_ms("a", "1"), Some(5));
    assert_eq!(peers.restarted_at_ms("a", "2"), None);
    assert_eq!(peers.restarted_at_ms("b", "1"), None);
}
