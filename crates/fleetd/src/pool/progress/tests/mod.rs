//! When an owner is stuck.

use super::{MAX_RECORDED_AGE_MS, ProgressWatch};

/// The age of the last record and whether the store is unavailable, each second, and whether the owner is stuck at the end.
fn check(name: &str, seconds: &[(u64, bool)], expected: bool) {
    let mut watch = ProgressWatch::new(0);
    let mut is_stuck = false;
    for (second, &(age_ms, is_unavailable)) in (1u64..).zip(seconds) {
        is_stuck = watch.is_stuck(second * 1000, age_ms, is_unavailable);
    }
    assert_eq!(is_stuck, expected, "{name}");
}

#[test]
fn an_owner_that_records_nothing_is_stuck_only_while_the_store_responds() {
    assert_eq!(MAX_RECORDED_AGE_MS, 4000);
    let stuck: Vec<_> = (1..=5).map(|second| (second * 1000, false)).collect();
    check("nothing recorded", &stuck, true);
    check("not for long", &stuck[..3], false);
    check("records", &[(900, false); 9], false);
    let outage: Vec<_> = (1..=9).map(|second| (second * 1000, true)).collect();
    check("an outage of the store", &outage, false);
    let after = [&outage[..], &[(10_000, false), (11_000, false)]].concat();
    check("just after an outage", &after, false);
    let after = [&after[..], &[(12_000, false), (13_000, false)]].concat();
    check("long after an outage", &after, true);
    check("a lease older than the owner", &[(60_000, false); 3], false);
}
