//! A budget that ties retries to first attempts, so that an outage is not amplified.

/// Retries that may be saved up, in hundredths.
const MAX_SAVED: u32 = 1_000;

/// A retry costs this many hundredths.
const RETRY_COST: u32 = 100;

/// The retries left to a service.
///
/// ```
/// let mut budget = routing::RetryBudget::new();
/// assert!(!budget.try_take());
/// for _ in 0..10 {
///     budget.earn(10);
/// }
/// assert!(budget.try_take());
/// assert!(!budget.try_take());
/// ```
#[derive(Debug, Default)]
pub struct RetryBudget {
    saved: u32,
}

impl RetryBudget {
    /// An empty budget.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a first attempt, which earns `percent` hundredths of a retry.
    pub fn earn(&mut self, percent: u32) {
        self.saved = (self.saved + percent).min(MAX_SAVED);
    }

    /// Takes one retry; false when none is left.
    pub fn try_take(&mut self) -> bool {
        if self.saved < RETRY_COST {
            return false;
        }
        self.saved -= RETRY_COST;
        true
    }
}
