//! How long to wait for the response to a short call.

/// The weight of a new response time in the average is one part in this many.
const AVERAGED_CALLS: u64 = 16;

/// The timeout, as a multiple of the average response time.
const TIMEOUT_FACTOR: u64 = 4;

/// The average response time of calls that share a link, and the timeout that follows from it.
///
/// On a saturated link all responses are late. A fixed timeout would then repeat calls that are already on their way, and
/// saturate the link further.
///
/// ```
/// use transfer::ResponseTimes;
/// let mut times = ResponseTimes::new(250, 1000);
/// assert_eq!(times.timeout_ms(), 250);
/// for _ in 0..40 {
///     times.record(250);
/// }
/// assert!(times.timeout_ms() > 800);
/// ```
#[derive(Debug, Clone)]
pub struct ResponseTimes {
    average_us: u64,
    min_timeout_ms: u64,
    max_timeout_ms: u64,
}

impl ResponseTimes {
    /// Creates an average of 0, with the limits of the timeout in ms.
    #[must_use]
    pub fn new(min_timeout_ms: u64, max_timeout_ms: u64) -> Self {
        Self {
            average_us: 0,
            min_timeout_ms,
            max_timeout_ms: max_timeout_ms.max(min_timeout_ms),
        }
    }

    /// Records the response time of a call, or the timeout of a call without a response, in ms.
    pub fn record(&mut self, duration_ms: u64) {
        let sample_us = duration_ms.min(self.max_timeout_ms) * 1000;
        self.average_us = (self.average_us * (AVERAGED_CALLS - 1) + sample_us) / AVERAGED_CALLS;
    }

    /// The timeout of the next call, in ms.
    #[must_use]
    pub fn timeout_ms(&self) -> u64 {
        let timeout_ms = self.average_us * TIMEOUT_FACTOR / 1000;
        timeout_ms.clamp(self.min_timeout_ms, self.max_timeout_ms)
    }
}
