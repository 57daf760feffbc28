//! How long the response to a policy request is waited for.
//!
//! Answers a service that needs longer than a fixed time: with a fixed one, it would be given up and asked again for good. The service
//! handles the calls of a daemon in turn, also those that were given up, so that each of these delays the next response. The
//! timeout doubles with each request that times out, as the retransmission timer of TCP does (RFC 6298, section 5.5). It stays
//! bounded, as a service that was silent for a while may never answer the request that is waited for when it is back.

/// The timeout of a request that is expected to take no longer than half of it, in ms.
const MIN_TIMEOUT_MS: u64 = 2500;

/// How often the timeout is doubled at most.
const MAX_DOUBLINGS: u32 = 2;

/// The timeouts of one daemon's requests to the policy service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DecisionTimeout {
    doublings: u32,
}

impl DecisionTimeout {
    /// Returns the timeout in ms of a request that the service is expected to take `expected_ms` for.
    ///
    /// ```
    /// let mut timeout = scheduler::DecisionTimeout::default();
    /// assert_eq!(timeout.for_request(3500), 7000);
    /// timeout.record(true);
    /// assert_eq!(timeout.for_request(3500), 14_000);
    /// timeout.record(false);
    /// assert_eq!(timeout.for_request(80), 2500);
    /// ```
    #[must_use]
    pub fn for_request(self, expected_ms: u64) -> u64 {
        let first_ms = expected_ms.saturating_mul(2).max(MIN_TIMEOUT_MS);
        first_ms.saturating_mul(1 << self.doublings)
    }

    /// Records whether a request has timed out. Any other end shows that the service does not need longer.
    pub fn record(&mut self, has_timed_out: bool) {
        self.doublings = if has_timed_out {
            MAX_DOUBLINGS.min(self.doublings + 1)
        } else {
            0
        };
    }
}
