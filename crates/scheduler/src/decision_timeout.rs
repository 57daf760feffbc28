//! How long the response to a policy request is waited for.
//!
//! Answers a service that needs longer than a fixed time: with a fixed one, it would be given up and asked again for good. The service
//! handles the calls of a daemon in turn, also those that were given up, so that each of these delays the next response. The
//! timeout doubles with each request that times out, as the retransmission timer of TCP does (RFC 6298, section 5.5).

/// The timeout of a request that is expected to take no longer than half of it, in ms.
const MIN_TIMEOUT_MS: u64 = 2500;

/// The timeout is not doubled beyond this, in ms.
const MAX_DOUBLED_MS: u64 = 60_000;

/// The timeouts of one daemon's requests to the policy service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DecisionTimeout {
    timed_out: u32,
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
        let factor = 1u64.checked_shl(self.timed_out).unwrap_or(u64::MAX);
        let doubled_ms = first_ms.saturating_mul(factor);
        doubled_ms.min(MAX_DOUBLED_MS.max(first_ms))
    }

    /// Records whether a request has timed out. Any other end shows that the service does not need longer.
    pub fn record(&mut self, has_timed_out: bool) {
        self.timed_out = if has_timed_out { self.timed_out + 1 } else { 0 };
    }
}
