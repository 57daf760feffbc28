//! The share of a link that bulk transfers may use.

/// The amount that may be sent at once after a pause, as a time at the budget's rate, in µs.
const BURST_US: u64 = 50_000;

/// Spreads bulk transfers over time, so that they use at most a share of the link and calls of other kinds are not
/// queued behind them.
///
/// ```
/// use transfer::LinkBudget;
/// // Half of a link of 8 Mbit/s is 500 bytes per ms. The first 25 kB of a burst are sent at once.
/// let mut budget = LinkBudget::new(Some(8.0), 50);
/// assert_eq!(budget.reserve(25_000, 1_000_000), 0);
/// assert_eq!(budget.reserve(5_000, 1_000_000), 0);
/// assert_eq!(budget.reserve(5_000, 1_000_000), 10_000);
/// ```
#[derive(Debug, Clone)]
pub struct LinkBudget {
    /// `None` for a link that does not limit transfers.
    bytes_per_s: Option<u64>,
    /// When the link share is free again, in µs on the caller's clock.
    free_at_us: u64,
}

impl LinkBudget {
    /// Creates the budget of `share_percent` of a link with a rate of `link_mbps` Mbit/s; without a rate, transfers
    /// are not limited.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "float casts saturate"
    )]
    pub fn new(link_mbps: Option<f64>, share_percent: u32) -> Self {
        let bytes_per_s = link_mbps.map(|mbps| mbps * 1250.0 * f64::from(share_percent));
        Self {
            bytes_per_s: bytes_per_s.map(|bytes| (bytes as u64).max(1)),
            free_at_us: 0,
        }
    }

    /// Reserves the transfer of `bytes` and returns how long to wait before it is sent, in µs. `now_us` is the time of a
    /// monotonic clock in µs.
    pub fn reserve(&mut self, bytes: u64, now_us: u64) -> u64 {
        let Some(bytes_per_s) = self.bytes_per_s else {
            return 0;
        };
        let start_us = self.free_at_us.max(now_us.saturating_sub(BURST_US));
        self.free_at_us = start_us.saturating_add(bytes.saturating_mul(1_000_000) / bytes_per_s);
        start_us.saturating_sub(now_us)
    }
}
