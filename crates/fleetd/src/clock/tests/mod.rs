//! The estimate of the store's clock.

use super::StoreEstimate;

#[test]
fn a_response_that_was_long_under_way_does_not_set_the_stores_clock_back() {
    let mut estimate = StoreEstimate::default();
    assert_eq!(estimate.store_ms(50), 50);
    // The store's clock is 1,000 ms ahead; responses take 10 ms, and one takes 900 ms.
    estimate.record(1_090, 80, 100);
    estimate.record(1_100, 90, 1_000);
    assert_eq!(estimate.store_ms(1_000), 1_990);
    // A faster response improves the estimate.
    estimate.record(2_098, 1_096, 1_100);
    assert_eq!(estimate.store_ms(1_100), 2_098);
}

#[test]
fn the_estimate_of_the_stores_clock_does_not_run_ahead_of_it() {
    let mut estimate = StoreEstimate::default();
    estimate.record(1_000_000, 0, 20);
    // The local clock gains 1%, then the store's clock is set back by 5 s. Responses take 20 ms.
    for second in 1..=100 {
        let (store_ms, sent_at_ms) = (1_000_010 + second * 1_000, second * 1_010);
        estimate.record(store_ms, sent_at_ms, sent_at_ms + 20);
        assert!(estimate.store_ms(sent_at_ms + 20) <= store_ms + 20);
    }
    estimate.record(1_095_010, 101_100, 101_120);
    assert!(estimate.store_ms(101_120) <= 1_095_030);
}
