//! Clocks: the local boot-time clock, the wall clock, and an estimate of the store's clock.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use rustix::time::{ClockId, clock_gettime};
use scheduler::Now;

/// The local clock gains at most one ms in this many on the store's clock.
const MAX_DRIFT_DIVISOR: u64 = 1000;

/// No response is under way for longer. A sample that is further back shows that the store's clock was reset.
const MAX_TRANSIT_MS: i64 = 60_000;

/// Reads the local clocks and estimates the store's clock. Clones share the estimate.
#[derive(Debug, Clone, Default)]
pub(crate) struct Clock {
    store_estimate: Arc<Mutex<StoreEstimate>>,
}

/// Milliseconds since boot on the local clock, which includes the time in which the machine is suspended.
pub(crate) fn local_ms() -> u64 {
    local_us() / 1000
}

/// Microseconds since boot on the local clock, which includes the time in which the machine is suspended.
pub(crate) fn local_us() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let micros = u64::try_from(time.tv_nsec / 1000).unwrap_or(0);
    seconds * 1_000_000 + micros
}

impl Clock {
    /// The current time on the local clock, the store's clock and the wall clock, in ms.
    ///
    /// Until the store's first response, the time on the store's clock is that on the local clock. The time on the wall
    /// clock is 0 when that clock is set to before 1970.
    pub(crate) fn now(&self) -> Now {
        let local_ms = local_ms();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Now {
            local_ms,
            store_ms: self.store_estimate.lock().store_ms(local_ms),
            unix_ms: unix.map_or(0, |elapsed| {
                u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
            }),
        }
    }

    /// Updates the estimate of the store's clock from `store_ms`, the time in a response of the store.
    pub(crate) fn record_store_time(&self, store_ms: u64) {
        self.store_estimate.lock().record(store_ms, local_ms());
    }
}

/// An estimate of the store's clock.
///
/// A response shows a time that is past by as much as the response was under way, so that the sample with the largest offset
/// is the best one. Offsets fall slowly with their age, in case the local clock runs fast.
#[derive(Debug, Clone, Copy, Default)]
struct StoreEstimate {
    /// The store's clock minus the local clock, in ms; `None` until the store's first response.
    offset_ms: Option<i64>,
    /// When the offset was last updated, in ms on the local clock.
    updated_at_ms: u64,
}

impl StoreEstimate {
    fn record(&mut self, store_ms: u64, local_ms: u64) {
        let sample_ms = store_ms.cast_signed() - local_ms.cast_signed();
        let age_ms = local_ms.saturating_sub(self.updated_at_ms);
        let drift_ms = (age_ms / MAX_DRIFT_DIVISOR).cast_signed();
        let is_better = |offset_ms: i64| sample_ms >= offset_ms.saturating_sub(drift_ms);
        let is_reset = |offset_ms: i64| offset_ms.saturating_sub(sample_ms) > MAX_TRANSIT_MS;
        if self
            .offset_ms
            .is_none_or(|offset_ms| is_better(offset_ms) || is_reset(offset_ms))
        {
            self.offset_ms = Some(sample_ms);
            self.updated_at_ms = local_ms;
        }
    }

    fn store_ms(&self, local_ms: u64) -> u64 {
        local_ms.saturating_add_signed(self.offset_ms.unwrap_or(0))
    }
}

#[cfg(test)]
mod tests;
