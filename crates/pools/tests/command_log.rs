//! Commands of two leaders to the same VM are apart in time, and VMs without a recent command are not soft-locked.

use pools::{CommandLog, Leader};

const SOFT_LOCK_MS: u64 = 5000;

#[test]
fn a_vm_with_a_recent_command_is_soft_locked_for_the_next_leader() {
    let mut log = CommandLog::default();
    log.record(["a".into()], 1, 1000, SOFT_LOCK_MS);
    let check = |vm: &str, term, now_ms, expected: bool| {
        let is_locked = log.is_soft_locked(vm, &Leader::new(term), now_ms, SOFT_LOCK_MS);
        assert_eq!(is_locked, expected, "{vm} for term {term} at {now_ms} ms");
    };
    check("a", 1, 1000, false);
    check("a", 2, 1000, true);
    check("a", 2, 5999, true);
    check("a", 2, 6000, false);
    check("b", 2, 1000, false);
    // The store's clock never goes back, but a daemon's estimate of the store's clock can.
    check("a", 2, 900, true);
}

#[test]
fn commands_of_all_previous_leaders_are_in_the_stored_row() {
    let mut log = CommandLog::default();
    log.record(["a".into()], 1, 1000, SOFT_LOCK_MS);
    log.record(["b".into()], 2, 2000, SOFT_LOCK_MS);
    let row = serde_json::to_vec(&log).expect("plain data");
    let log: CommandLog = serde_json::from_slice(&row).expect("plain data");
    assert!(log.is_soft_locked("a", &Leader::new(3), 3000, SOFT_LOCK_MS));
    assert!(log.is_soft_locked("b", &Leader::new(3), 3000, SOFT_LOCK_MS));
}

#[test]
fn commands_older_than_the_soft_lock_are_removed() {
    let mut log = CommandLog::default();
    log.record(["a".into()], 1, 1000, SOFT_LOCK_MS);
    log.record(["b".into()], 1, 6000, SOFT_LOCK_MS);
    let mut expected = CommandLog::default();
    expected.record(["b".into()], 1, 6000, SOFT_LOCK_MS);
    assert_eq!(log, expected);
}

#[test]
fn the_soft_locks_of_a_leader_whose_process_has_ended_end_early() {
    let mut log = CommandLog::default();
    log.record(["a".into()], 1, 9000, SOFT_LOCK_MS);
    log.record(["b".into()], 2, 9500, SOFT_LOCK_MS);
    log.record(["c".into()], 2, 5000, SOFT_LOCK_MS);
    let leader = Leader::new(3).with_ended_term(2, 11_000);
    let is_locked = |vm: &str, now_ms| log.is_soft_locked(vm, &leader, now_ms, SOFT_LOCK_MS);
    assert!(is_locked("b", 10_999));
    assert!(!is_locked("b", 11_000));
    assert!(is_locked("a", 13_999), "a command of another leader");
    assert!(!is_locked("c", 10_000), "never later than without");
}

#[test]
fn the_next_daemon_waits_for_the_commands_of_a_leader_before_a_restarted_one() {
    let mut log = CommandLog::default();
    log.record(["a".into()], 1, 9000, SOFT_LOCK_MS);
    // The daemon restarts, leads on from 10,000 ms, and writes the log with a command of its own.
    let restarted = Leader::new(2).with_ended_term(1, 10_500);
    assert!(!log.is_soft_locked("a", &restarted, 10_500, SOFT_LOCK_MS));
    log.record(["b".into()], restarted.term, 10_500, SOFT_LOCK_MS);
    let other_daemon = Leader::new(3);
    assert!(log.is_soft_locked("a", &other_daemon, 13_999, SOFT_LOCK_MS));
    assert!(!log.is_soft_locked("a", &other_daemon, 14_000, SOFT_LOCK_MS));
}
