//! The estimate of the store's clock.

use super::StoreEstimate;

#[test]
fn a_response_that_was_long_under_way_does_not_set_the_stores_clock_back() {
    let mut estimate = StoreEstimate::default();
    assert_eq!(estimate.store_ms(50), 50);
    // The store's clock is 1,000 ms ahead; responses take 10 ms, and one takes 900 ms.
    estimate.record(1_090, 100);
    estimate.record(1_100, 1_000);
    assert_eq!(estimate.store_ms(1_000), 1_990);
    // A faster response improves the estimate.
    estimate.record(2_098, 1_100);
    assert_eq!(estimate.store_ms(1_100), 2_098);
    // The local clock gains 0.05%: the estimate follows within the drift that is allowed for.
    estimate.record(202_000, 201_100);
    assert_eq!(estimate.store_ms(201_100), 202_000);
}

#[test]
fn a_reset_of_the_stores_clock_is_followed() {
    let mut estimate = StoreEstimate::default();
    estimate.record(500_000, 1_000);
    estimate.record(40, 2_000);
    assert_eq!(estimate.store_ms(2_000), 40);
}
