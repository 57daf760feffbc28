//! Freshness of this daemon's view of the fleet.

use domain::{Epoch, FleetSeq};
use serde::{Deserialize, Serialize};

/// How long a view allows requests to other zones after the view's last confirmation, in microseconds.
pub const VIEW_TTL_US: u64 = 3_000_000;

/// The versions of the configuration and of the VM records that a daemon acts on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The epoch of the active configuration.
    pub epoch: Epoch,
    /// The sequence number of the last change to the VM records that the daemon has applied.
    pub fleet_seq: FleetSeq,
}

impl View {
    /// Whether both versions of this view are at least those of `other`.
    #[must_use]
    pub fn covers(self, other: Self) -> bool {
        self.epoch >= other.epoch && self.fleet_seq >= other.fleet_seq
    }
}

/// The latest time as of which a daemon's own view is known to have been the newest.
///
/// A confirmation counts from the time the request for the newest view was sent, not from the time the response
/// arrived, so that a slow response can't make the view appear fresher than the view is.
///
/// ```
/// use domain::{Epoch, FleetSeq};
/// use membership::{Freshness, View};
/// let old = View { epoch: Epoch(1), fleet_seq: FleetSeq(4) };
/// let new = View { epoch: Epoch(1), fleet_seq: FleetSeq(5) };
/// let mut freshness = Freshness::new();
/// freshness.confirm(old, old, 1_000_000);
/// assert!(freshness.is_fresh(2_000_000));
/// // A newer view exists, so the call does not confirm the old view.
/// freshness.confirm(old, new, 9_000_000);
/// assert!(!freshness.is_fresh(9_000_000));
/// ```
#[derive(Debug, Default)]
pub struct Freshness {
    as_of_us: Option<u64>,
}

impl Freshness {
    /// Creates the freshness of a view that was never confirmed.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Confirms this daemon's view `own`, given that `newest` was the newest view at the time `as_of_us`.
    ///
    /// `as_of_us` is in microseconds: the time the request for the newest view was sent, less the age that a responding
    /// peer reports for the last confirmation of the peer's own view. Has no effect if `own` does not cover `newest`,
    /// or if the view is already confirmed as of a later time.
    pub fn confirm(&mut self, own: View, newest: View, as_of_us: u64) {
        if own.covers(newest) {
            self.as_of_us = self.as_of_us.max(Some(as_of_us));
        }
    }

    /// Discards all confirmations.
    ///
    /// To be called when the process was paused or a newer view is known to exist, because the view may be outdated.
    pub fn invalidate(&mut self) {
        self.as_of_us = None;
    }

    /// The latest time, in microseconds, as of which the view is known to have been the newest.
    ///
    /// `None` if the view was never confirmed, or not since the last call of [`Self::invalidate`].
    #[must_use]
    pub fn as_of_us(&self) -> Option<u64> {
        self.as_of_us
    }

    /// The age of the last confirmation at `now_us`, in microseconds.
    ///
    /// `None` if the view was never confirmed, or not since the last call of [`Self::invalidate`]. 0 if the
    /// confirmation is later than `now_us`.
    #[must_use]
    pub fn age_us(&self, now_us: u64) -> Option<u64> {
        self.as_of_us
            .map(|as_of_us| now_us.saturating_sub(as_of_us))
    }

    /// Whether requests may go to other zones: the last confirmation is less than [`VIEW_TTL_US`] old at `now_us`.
    ///
    /// `false` if the view was never confirmed, or not since the last call of [`Self::invalidate`].
    #[must_use]
    pub fn is_fresh(&self, now_us: u64) -> bool {
        self.age_us(now_us)
            .is_some_and(|age_us| age_us < VIEW_TTL_US)
    }
}
