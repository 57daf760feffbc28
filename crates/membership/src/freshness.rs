//! How recent this daemon's view of the fleet is.

use domain::{Epoch, FleetSeq};
use serde::{Deserialize, Serialize};

/// A view older than this gives no right to send to another zone.
pub const VIEW_TTL_US: u64 = 3_000_000;

/// Which configuration and which VM records a daemon acts on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The configuration in force.
    pub epoch: Epoch,
    /// The last change to the VM records that is in force.
    pub fleet_seq: FleetSeq,
}

impl View {
    /// Whether this view has all that `other` has.
    #[must_use]
    pub fn covers(self, other: Self) -> bool {
        self.epoch >= other.epoch && self.fleet_seq >= other.fleet_seq
    }
}

/// The latest moment for which the view in force is known to have been the newest.
///
/// The moment is always that at which a question was asked, never that at which the answer came, so that a slow
/// answer makes the view older and not younger.
///
/// ```
/// use domain::{Epoch, FleetSeq};
/// use membership::{Freshness, View};
/// let old = View { epoch: Epoch(1), fleet_seq: FleetSeq(4) };
/// let new = View { epoch: Epoch(1), fleet_seq: FleetSeq(5) };
/// let mut freshness = Freshness::new();
/// freshness.confirmed(old, old, 1_000_000);
/// assert!(freshness.is_fresh(2_000_000));
/// // A newer view exists, so this one is not confirmed any further.
/// freshness.confirmed(old, new, 9_000_000);
/// assert!(!freshness.is_fresh(9_000_000));
/// ```
#[derive(Debug, Default)]
pub struct Freshness {
    as_of_us: Option<u64>,
}

impl Freshness {
    /// A view that was never confirmed.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// At `as_of_us` the newest view was `newest`, while `own` is in force here.
    pub fn confirmed(&mut self, own: View, newest: View, as_of_us: u64) {
        if own.covers(newest) {
            self.as_of_us = self.as_of_us.max(Some(as_of_us));
        }
    }

    /// Forgets all confirmations, after this process was paused or a change was heard of that it lacks.
    pub fn invalidate(&mut self) {
        self.as_of_us = None;
    }

    /// The latest moment for which the view is known to have been the newest.
    #[must_use]
    pub fn as_of_us(&self) -> Option<u64> {
        self.as_of_us
    }

    /// How old the confirmation is; `None` without one.
    #[must_use]
    pub fn age_us(&self, now_us: u64) -> Option<u64> {
        self.as_of_us
            .map(|as_of_us| now_us.saturating_sub(as_of_us))
    }

    /// Whether the view is recent enough to send to another zone.
    #[must_use]
    pub fn is_fresh(&self, now_us: u64) -> bool {
        self.age_us(now_us)
            .is_some_and(|age_us| age_us < VIEW_TTL_US)
    }
}
