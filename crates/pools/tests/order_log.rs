//! Orders of two stewards to one VM are apart, and other VMs need not wait.

use pools::OrderLog;

const HOLD_MS: u64 = 5000;

#[test]
fn a_successor_leaves_alone_what_was_ordered_lately() {
    let mut log = OrderLog::default();
    log.note(["a".into()], 1, 1000, HOLD_MS);
    let check = |vm: &str, term, now_ms, expected: bool| {
        let held = log.is_held(vm, term, now_ms, HOLD_MS);
        assert_eq!(held, expected, "{vm} for term {term} at {now_ms} ms");
    };
    check("a", 1, 1000, false);
    check("a", 2, 1000, true);
    check("a", 2, 5999, true);
    check("a", 2, 6000, false);
    check("b", 2, 1000, false);
    // The store's clock can't go back, but an estimate of it can.
    check("a", 2, 900, true);
}

#[test]
fn a_third_steward_knows_the_orders_of_the_first() {
    let mut log = OrderLog::default();
    log.note(["a".into()], 1, 1000, HOLD_MS);
    log.note(["b".into()], 2, 2000, HOLD_MS);
    let row = serde_json::to_vec(&log).expect("plain data");
    let log: OrderLog = serde_json::from_slice(&row).expect("plain data");
    assert!(log.is_held("a", 3, 3000, HOLD_MS));
    assert!(log.is_held("b", 3, 3000, HOLD_MS));
}

#[test]
fn orders_that_hold_nobody_are_forgotten() {
    let mut log = OrderLog::default();
    log.note(["a".into()], 1, 1000, HOLD_MS);
    log.note(["b".into()], 1, 6000, HOLD_MS);
    let mut expected = OrderLog::default();
    expected.note(["b".into()], 1, 6000, HOLD_MS);
    assert_eq!(log, expected);
}
