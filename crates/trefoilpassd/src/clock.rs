//! The clock, and the timer service that parts of the daemon subscribe to.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::watch;

/// How often the timer service looks at the clock.
const BASE_PERIOD: Duration = Duration::from_millis(20);

/// When the clock goes on by more than this between two looks, the process was paused.
const PAUSE_US: u64 = 1_000_000;

/// A clock that starts at zero with the daemon.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Microseconds since the daemon started.
    pub(crate) fn now_us(self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// The moment of a time on this clock.
    pub(crate) fn instant(self, at_us: u64) -> Instant {
        self.start + Duration::from_micros(at_us)
    }
}

/// Seconds since 1970. Nothing that must hold rests on it.
pub(crate) fn unix_time_s() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}

/// What the timer service tells its subscribers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Tick {
    /// The time.
    pub(crate) now_us: u64,
    /// How often the process has been paused so far.
    pub(crate) pauses: u64,
}

/// The timer service.
#[derive(Debug, Clone)]
pub(crate) struct Timer {
    clock: Clock,
    last_tick_us: Arc<AtomicU64>,
    ticks: watch::Receiver<Tick>,
}

impl Timer {
    /// Starts the service.
    pub(crate) fn start(clock: Clock) -> Self {
        let (sender, ticks) = watch::channel(Tick::default());
        let last_tick_us = Arc::new(AtomicU64::new(clock.now_us()));
        tokio::spawn(run(clock, last_tick_us.clone(), sender));
        Self {
            clock,
            last_tick_us,
            ticks,
        }
    }

    /// Whether the process was paused and the subscribers do not know yet.
    pub(crate) fn has_unseen_pause(&self) -> bool {
        let last_us = self.last_tick_us.load(Ordering::Acquire);
        self.clock.now_us().saturating_sub(last_us) > PAUSE_US
    }

    /// How often the process has been paused so far.
    pub(crate) fn pauses(&self) -> u64 {
        self.ticks.borrow().pauses
    }

    /// A subscription that fires every `period`, and at once after a pause.
    pub(crate) fn subscribe(&self, period: Duration) -> Subscription {
        Subscription {
            ticks: self.ticks.clone(),
            period_us: u64::try_from(period.as_micros()).unwrap_or(u64::MAX),
            last: Tick::default(),
        }
    }
}

async fn run(clock: Clock, last_tick_us: Arc<AtomicU64>, sender: watch::Sender<Tick>) {
    let mut interval = tokio::time::interval(BASE_PERIOD);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut pauses = 0;
    loop {
        interval.tick().await;
        let now_us = clock.now_us();
        let before_us = last_tick_us.swap(now_us, Ordering::AcqRel);
        if now_us.saturating_sub(before_us) > PAUSE_US {
            pauses += 1;
        }
        if sender.send(Tick { now_us, pauses }).is_err() {
            return;
        }
    }
}

/// A part's subscription to the timer service.
#[derive(Debug)]
pub(crate) struct Subscription {
    ticks: watch::Receiver<Tick>,
    period_us: u64,
    last: Tick,
}

impl Subscription {
    /// Waits for the next firing; `None` when the daemon ends.
    pub(crate) async fn next(&mut self) -> Option<Tick> {
        loop {
            self.ticks.changed().await.ok()?;
            let tick = *self.ticks.borrow_and_update();
            let is_due = tick.now_us.saturating_sub(self.last.now_us) >= self.period_us;
            if is_due || tick.pauses != self.last.pauses {
                self.last = tick;
                return Some(tick);
            }
        }
    }
}
