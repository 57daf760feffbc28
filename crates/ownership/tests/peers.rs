//! Tests of the liveness of daemons and of the assignment of unowned shards.

use std::collections::BTreeMap;

use ownership::{DaemonRow, OwnerRow, Peers};
use smol_str::{SmolStr, format_smolstr};

const DEAD_AFTER_MS: u64 = 1800;
const UNREACHABLE_DEAD_AFTER_MS: u64 = 900;
const GAP_MS: u64 = 400;
const MAX_GAP_MS: u64 = 800;

fn row(daemon: &str, incarnation: &str, owned_shards: &[(&str, u64)]) -> (SmolStr, DaemonRow) {
    let owned_shards: BTreeMap<SmolStr, u64> = owned_shards
        .iter()
        .map(|(shard, term)| ((*shard).into(), *term))
        .collect();
    let row = DaemonRow {
        incarnation: incarnation.into(),
        addr: format_smolstr!("{daemon}:1"),
        started_at_ms: 5,
        is_shutting_down: false,
        zone: SmolStr::default(),
        capacity: 250,
        owned_shards,
    };
    (daemon.into(), row)
}

fn update(peers: &mut Peers, version: u64, rows: &[(SmolStr, DaemonRow)], gap_ms: u64) {
    let rows = rows
        .iter()
        .map(|(daemon, row)| (daemon.clone(), version, row.clone()));
    peers.update(rows.collect(), gap_ms);
}

fn peers() -> Peers {
    Peers::new(DEAD_AFTER_MS, UNREACHABLE_DEAD_AFTER_MS, MAX_GAP_MS)
}

#[test]
fn a_daemon_whose_row_is_unchanged_for_the_time_limit_is_dead() {
    let mut peers = peers();
    let rows = [row("a", "1", &[])];
    update(&mut peers, 1, &rows, 0);
    for _ in 0..4 {
        update(&mut peers, 1, &rows, GAP_MS);
        assert!(peers.may_be_serving("a", "1", 0));
    }
    update(&mut peers, 1, &rows, GAP_MS);
    assert!(!peers.may_be_serving("a", "1", 0));
    update(&mut peers, 2, &rows, GAP_MS);
    assert!(peers.may_be_serving("a", "1", 0));
    assert!(!peers.may_be_serving("a", "2", 0));
}

#[test]
fn a_long_gap_between_reads_counts_only_up_to_the_maximum() {
    let mut peers = peers();
    let rows = [row("a", "1", &[])];
    update(&mut peers, 1, &rows, 0);
    // During a long gap the store may have been unavailable to the daemon as well.
    update(&mut peers, 1, &rows, 60_000);
    assert!(peers.may_be_serving("a", "1", 0));
}

#[test]
fn an_unreachable_daemon_is_dead_sooner_until_its_row_changes() {
    let mut peers = peers();
    let rows = [row("a", "1", &[])];
    update(&mut peers, 1, &rows, 0);
    peers.mark_unreachable("a");
    update(&mut peers, 1, &rows, GAP_MS);
    assert!(peers.may_be_serving("a", "1", 0));
    update(&mut peers, 1, &rows, UNREACHABLE_DEAD_AFTER_MS - GAP_MS);
    assert!(!peers.may_be_serving("a", "1", 0));
    update(&mut peers, 2, &rows, GAP_MS);
    update(&mut peers, 2, &rows, UNREACHABLE_DEAD_AFTER_MS);
    assert!(peers.may_be_serving("a", "1", 0));
}

#[test]
fn unowned_shards_go_to_the_daemon_with_the_lowest_load_for_its_capacity() {
    let check = |capacities: [u32; 3], expected: [usize; 3]| {
        let names = ["a", "b", "c"];
        let rows = names.iter().zip(capacities).map(|(name, capacity)| {
            let (daemon, mut row) = row(name, "1", &[]);
            row.capacity = capacity;
            (daemon, row)
        });
        let mut peers = peers();
        update(&mut peers, 1, &rows.collect::<Vec<_>>(), 0);
        let shards: Vec<SmolStr> = (0..5).map(|n| format_smolstr!("shard-{n}")).collect();
        let mut assigned = names.map(|name| peers.shards_to_take_over(name, &shards).len());
        // Which of two daemons of equal capacity gets one shard more depends on a hash of their names.
        assigned.sort_unstable_by(|a, b| b.cmp(a));
        assert_eq!(assigned, expected, "capacities {capacities:?}");
    };
    check([500, 500, 120], [3, 2, 0]);
    check([500, 120, 120], [4, 1, 0]);
    check([200, 120, 120], [3, 1, 1]);
    // A capacity of 0 counts as 1, which is also the capacity in a row of an older version, without the field.
    check([0, 0, 120], [5, 0, 0]);
}

#[test]
fn daemons_with_the_same_rows_agree_on_the_assignment_of_unowned_shards() {
    let mut peers = peers();
    let rows = [
        row("a", "1", &[]),
        row("b", "1", &[("p1", 3)]),
        row("c", "1", &[]),
    ];
    update(&mut peers, 1, &rows, 0);
    let shards: Vec<SmolStr> = ["p1", "p2", "p3"].map(SmolStr::from).to_vec();
    let assigned = ["a", "b", "c"].map(|daemon| peers.shards_to_take_over(daemon, &shards).len());
    assert_eq!(assigned, [1, 0, 1]);
}

#[test]
fn the_daemon_with_the_highest_term_owns_the_shard() {
    let mut peers = peers();
    update(
        &mut peers,
        1,
        &[row("a", "1", &[("p1", 3)]), row("b", "1", &[("p1", 4)])],
        0,
    );
    assert_eq!(peers.shard_owner("p1").unwrap().daemon, "b");
    assert_eq!(peers.shard_owner("p2"), None);
}

#[test]
fn a_restart_is_reported_only_for_a_former_incarnation() {
    let mut peers = peers();
    update(&mut peers, 1, &[row("a", "2", &[])], 0);
    assert_eq!(peers.restarted_at_ms("a", "1", 0), Some(5));
    assert_eq!(peers.restarted_at_ms("a", "2", 0), None);
    assert_eq!(peers.restarted_at_ms("b", "1", 0), None);
}

#[test]
fn daemons_that_would_take_no_shard_over_read_the_rows_rarely_while_all_owners_serve() {
    let shards: [SmolStr; 1] = ["pool".into()];
    let with_capacity = |daemon: &str, capacity: u32, owned: &[(&str, u64)]| {
        let (name, mut row) = row(daemon, "1", owned);
        row.capacity = capacity;
        (name, row)
    };
    let rows = [
        with_capacity("owner", 500, &[("pool", 1)]),
        with_capacity("large-1", 500, &[]),
        with_capacity("large-2", 500, &[]),
        with_capacity("small-1", 100, &[]),
        with_capacity("small-2", 100, &[]),
    ];
    let mut peers = peers();
    update(&mut peers, 1, &rows, 0);
    let rare = |peers: &Peers| -> Vec<&str> {
        let daemons = rows.iter().map(|(daemon, _)| daemon.as_str());
        daemons
            .filter(|daemon| peers.may_read_rarely(daemon, &shards, 2))
            .collect()
    };
    assert_eq!(rare(&peers), ["small-1", "small-2"]);
    let _ = peers.mark_unreachable("owner");
    assert_eq!(rare(&peers), [""; 0], "the owner may be gone");
    update(&mut peers, 2, &rows, GAP_MS);
    assert_eq!(rare(&peers), ["small-1", "small-2"]);
    for _ in 0..5 {
        update(&mut peers, 2, &rows, GAP_MS);
    }
    assert_eq!(rare(&peers), [""; 0], "the owner is dead");
}

#[test]
fn a_restarted_daemon_knows_which_shards_it_owned_until_its_row_is_rewritten() {
    let mut peers = peers();
    update(&mut peers, 1, &[row("a", "1", &[("pool", 3)])], 0);
    assert_eq!(peers.shards_of_earlier_incarnation("a", "2"), ["pool"]);
    assert!(peers.shards_of_earlier_incarnation("a", "1").is_empty());
    update(&mut peers, 2, &[row("a", "2", &[])], GAP_MS);
    assert!(peers.shards_of_earlier_incarnation("a", "2").is_empty());
}

#[test]
fn unowned_shards_go_to_zones_whose_daemons_own_few_shards() {
    let shards = ["p1", "p2", "p3", "p4"].map(SmolStr::from);
    let in_zone = |daemon: &str, zone: &str, owned: &[(&str, u64)]| {
        let (name, mut row) = row(daemon, "1", owned);
        row.zone = zone.into();
        (name, row)
    };
    let rows = [
        in_zone("a-1", "a", &[("p1", 1)]),
        in_zone("a-2", "a", &[]),
        in_zone("a-3", "a", &[]),
        in_zone("b-1", "b", &[]),
        in_zone("b-2", "b", &[]),
        in_zone("c-1", "c", &[]),
        in_zone("c-2", "c", &[]),
    ];
    let mut peers = peers();
    update(&mut peers, 1, &rows, 0);
    let taken_over = |zone: &str| -> usize {
        let daemons = rows.iter().filter(|(_, row)| row.zone == zone);
        let shards = daemons.map(|(daemon, _)| peers.shards_to_take_over(daemon, &shards).len());
        shards.sum()
    };
    // After the second and the third shard every zone has one.
    assert_eq!(taken_over("a") + taken_over("b") + taken_over("c"), 3);
    assert!(taken_over("a") <= 1);
    assert!(taken_over("b") >= 1 && taken_over("c") >= 1);
}

#[test]
fn an_owner_that_restarted_after_the_rows_were_read_is_not_replaced() {
    let mut peers = peers();
    let rows = [row("a", "1", &[("fleet", 3)]), row("b", "1", &[])];
    update(&mut peers, 7, &rows, 0);
    for _ in 0..5 {
        update(&mut peers, 7, &rows, GAP_MS);
    }
    assert!(!peers.may_be_serving("a", "1", 5), "a is dead");
    // The owner row, read later, names the next incarnation of the daemon, which took the shard back.
    assert!(peers.may_be_serving("a", "2", 8));
    assert_eq!(peers.restarted_at_ms("a", "2", 8), None);
    // A daemon that was started after the read of the rows.
    assert!(peers.may_be_serving("c", "1", 8));
    // The heartbeat row of a later incarnation shows that the one of the owner row has ended.
    update(&mut peers, 9, &[row("a", "3", &[])], GAP_MS);
    assert!(!peers.may_be_serving("a", "2", 8));
    assert_eq!(peers.restarted_at_ms("a", "2", 8), Some(5));
}

#[test]
fn an_owner_announces_a_shard_only_in_the_term_of_its_row() {
    let mut peers = peers();
    update(&mut peers, 1, &[row("a", "1", &[("fleet", 3)])], 0);
    let owner = |daemon: &str, incarnation: &str, term| OwnerRow {
        daemon: daemon.into(),
        incarnation: incarnation.into(),
        ..OwnerRow::unreadable(term)
    };
    assert!(peers.announces("fleet", &owner("a", "1", 3)));
    assert!(!peers.announces("fleet", &owner("a", "1", 4)));
    assert!(!peers.announces("fleet", &owner("a", "2", 3)));
    assert!(!peers.announces("fleet", &owner("b", "1", 3)));
    assert!(!peers.announces("pool", &owner("a", "1", 3)));
}
