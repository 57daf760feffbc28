//! Keeps a daemon's transactions within its share of the table's writes.

/// A token bucket over transactions.
///
/// ```
/// let mut pace = once::Pace::new(10, 2);
/// assert!(pace.try_take(0) && pace.try_take(0));
/// assert!(!pace.try_take(0));
/// assert!(pace.try_take(100_000));
/// ```
#[derive(Debug)]
pub struct Pace {
    interval_us: u64,
    burst: u64,
    /// When the bucket would be full again.
    full_at_us: u64,
}

impl Pace {
    /// Allows `per_s` transactions a second, and `burst` at once after a pause.
    #[must_use]
    pub fn new(per_s: u32, burst: u32) -> Self {
        Self {
            interval_us: 1_000_000 / u64::from(per_s.max(1)),
            burst: u64::from(burst.max(1)),
            full_at_us: 0,
        }
    }

    /// Takes one transaction; false when it has to wait until [`Pace::ready_at_us`].
    pub fn try_take(&mut self, now_us: u64) -> bool {
        if self.ready_at_us() > now_us {
            return false;
        }
        self.full_at_us = self.full_at_us.max(now_us) + self.interval_us;
        true
    }

    /// When the next transaction may go.
    #[must_use]
    pub fn ready_at_us(&self) -> u64 {
        self.full_at_us
            .saturating_sub(self.interval_us * (self.burst - 1))
    }
}
