//! The lease of a shard, as its owner sees it.

/// The lease of a shard's owner, renewed by each conditional write of the owner that succeeds in the store.
///
/// Such a write fails once another daemon has taken over the shard.
///
/// All times are in milliseconds of a monotonic clock that advances while the machine is suspended, so that an owner
/// that was suspended finds its lease expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    renewed_at_ms: u64,
}

impl Lease {
    /// Creates a lease whose first successful write was sent at `sent_at_ms`.
    ///
    /// ```
    /// let mut lease = ownership::Lease::new(100);
    /// assert!(lease.is_valid(1099, 1000));
    /// assert!(!lease.is_valid(1100, 1000));
    /// lease.renew(600);
    /// assert!(lease.is_valid(1100, 1000));
    /// ```
    #[must_use]
    pub fn new(sent_at_ms: u64) -> Self {
        Self {
            renewed_at_ms: sent_at_ms,
        }
    }

    /// Renews the lease after a conditional write, sent at `sent_at_ms`, succeeded.
    ///
    /// A time before the latest renewal changes nothing.
    pub fn renew(&mut self, sent_at_ms: u64) {
        self.renewed_at_ms = self.renewed_at_ms.max(sent_at_ms);
    }

    /// How long before `now_ms` the latest successful write was sent, in ms.
    ///
    /// ```
    /// assert_eq!(ownership::Lease::new(100).age_ms(160), 60);
    /// ```
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.renewed_at_ms)
    }

    /// Whether the lease is valid at `now_ms`: the latest successful write was sent less than `duration_ms` earlier.
    #[must_use]
    pub fn is_valid(&self, now_ms: u64, duration_ms: u64) -> bool {
        self.age_ms(now_ms) < duration_ms
    }
}
