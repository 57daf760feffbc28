//! The clocks: one that counts suspensions, and the store's as far as it is known.

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use scheduler::Now;

/// Reads the clocks.
#[derive(Debug, Clone, Default)]
pub(crate) struct Clock {
    /// The store's clock less the local one, in ms.
    store_offset_ms: Arc<AtomicI64>,
}

/// Milliseconds on the clock that goes on while the machine is suspended.
pub(crate) fn local_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let millis = u64::try_from(time.tv_nsec / 1_000_000).unwrap_or(0);
    seconds * 1000 + millis
}

impl Clock {
    /// The present.
    pub(crate) fn now(&self) -> Now {
        let local_ms = local_ms();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Now {
            local_ms,
            store_ms: local_ms.saturating_add_signed(self.store_offset_ms.load(Ordering::Relaxed)),
            unix_ms: unix.map_or(0, |unix| {
                u64::try_from(unix.as_millis()).unwrap_or(u64::MAX)
            }),
        }
    }

    /// Takes in the store's clock as an answer carried it.
    pub(crate) fn note_store(&self, store_ms: u64) {
        let offset_ms = store_ms.cast_signed() - local_ms().cast_signed();
        self.store_offset_ms.store(offset_ms, Ordering::Relaxed);
    }
}
