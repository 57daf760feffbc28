//! A holder's own view of its lease.

/// A lease that lasts while its holder's conditional writes succeed.
///
/// All times are of a clock that also counts suspensions, so that a holder that was suspended notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    renewed_at_ms: u64,
}

impl Lease {
    /// A lease whose first write was sent at that time.
    ///
    /// ```
    /// let mut lease = ownership::Lease::new(100);
    /// assert!(lease.is_held(1099, 1000));
    /// assert!(!lease.is_held(1100, 1000));
    /// lease.renewed(600);
    /// assert!(lease.is_held(1100, 1000));
    /// ```
    #[must_use]
    pub fn new(sent_at_ms: u64) -> Self {
        Self {
            renewed_at_ms: sent_at_ms,
        }
    }

    /// A conditional write that was sent at that time succeeded.
    pub fn renewed(&mut self, sent_at_ms: u64) {
        self.renewed_at_ms = self.renewed_at_ms.max(sent_at_ms);
    }

    /// Whether the last write that succeeded was sent less than `span_ms` ago.
    #[must_use]
    pub fn is_held(&self, now_ms: u64, span_ms: u64) -> bool {
        now_ms.saturating_sub(self.renewed_at_ms) < span_ms
    }
}
