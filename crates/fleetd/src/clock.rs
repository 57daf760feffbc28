//! Clocks: the local boot-time clock, the wall clock, and an estimate of the store's clock.

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use scheduler::Now;

/// Reads the local clocks and estimates the store's clock. Clones share the estimate.
#[derive(Debug, Clone, Default)]
pub(crate) struct Clock {
    /// The store's clock minus the local clock, in ms. 0 until the store's first response.
    store_offset_ms: Arc<AtomicI64>,
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
            store_ms: local_ms.saturating_add_signed(self.store_offset_ms.load(Ordering::Relaxed)),
            unix_ms: unix.map_or(0, |elapsed| {
                u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
            }),
        }
    }

    /// Updates the estimate of the store's clock from `store_ms`, the time in a response of the store.
    pub(crate) fn record_store_time(&self, store_ms: u64) {
        let offset_ms = store_ms.cast_signed() - local_ms().cast_signed();
        self.store_offset_ms.store(offset_ms, Ordering::Relaxed);
    }
}
