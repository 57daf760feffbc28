//! Clocks: the local boot-time clock, the wall clock, and an estimate of the store's clock.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use rustix::time::{ClockId, clock_gettime};
use scheduler::Now;

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

    /// Updates the estimate of the store's clock from `store_ms`, the time in a response of the store to a request that was
    /// sent at `sent_at_ms` on the local clock. A response without a time changes nothing.
    pub(crate) fn record_store_time(&self, store_ms: u64, sent_at_ms: u64) {
        if store_ms > 0 {
            let mut estimate = self.store_estimate.lock();
            estimate.record(store_ms, sent_at_ms, local_ms());
        }
    }
}

/// An estimate of the store's clock.
///
/// The store's time in a response is a time between the request and the response, so that each response bounds the offset
/// between the clocks from both sides. The estimate is the highest lower bound that no later response contradicts.
#[derive(Debug, Clone, Copy, Default)]
struct StoreEstimate {
    /// The store's clock minus the local clock, in ms; `None` until the store's first response.
    offset_ms: Option<i64>,
}

impl StoreEstimate {
    fn record(&mut self, store_ms: u64, sent_at_ms: u64, received_at_ms: u64) {
        let lowest_ms = store_ms.cast_signed() - received_at_ms.cast_signed();
        let highest_ms = store_ms.cast_signed() - sent_at_ms.cast_signed();
        let offset_ms = self.offset_ms.unwrap_or(lowest_ms);
        self.offset_ms = Some(offset_ms.min(highest_ms).max(lowest_ms));
    }

    fn store_ms(&self, local_ms: u64) -> u64 {
        local_ms.saturating_add_signed(self.offset_ms.unwrap_or(0))
    }
}

#[cfg(test)]
mod tests;
