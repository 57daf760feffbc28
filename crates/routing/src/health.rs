//! Ejection of targets that fail or are slow, and probing them back.

/// Failures in a row after which a target is ejected.
const FAILURES_TO_EJECT: u32 = 5;

/// The first ejection's length; each further one without a success in between doubles it.
const FIRST_EJECTION_US: u64 = 1_000_000;

/// The most doublings of an ejection's length.
const MAX_DOUBLINGS: u32 = 5;

/// A target is slow when its average latency is this many times the median of its pool's others.
const SLOW_FACTOR: u64 = 4;

/// Below this average latency no target is slow.
const SLOW_FLOOR_US: u64 = 20_000;

/// Answers needed before a target can be called slow.
const MIN_SAMPLES: u32 = 20;

#[derive(Debug)]
pub(crate) struct Health {
    failures_in_row: u32,
    ejections_in_row: u32,
    samples: u32,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Healthy,
    Ejected {
        until_us: u64,
    },
    /// One request at a time until one succeeds.
    Probing,
}

impl Health {
    pub(crate) fn new() -> Self {
        Self {
            failures_in_row: 0,
            ejections_in_row: 0,
            samples: 0,
            state: State::Healthy,
        }
    }

    /// Whether the target may be sent to, given its requests in flight.
    pub(crate) fn admits(&mut self, now_us: u64, in_flight: u32) -> bool {
        if let State::Ejected { until_us } = self.state
            && now_us >= until_us
        {
            self.state = State::Probing;
        }
        match self.state {
            State::Healthy => true,
            State::Ejected { .. } => false,
            State::Probing => in_flight == 0,
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.state != State::Healthy
    }

    pub(crate) fn succeeded(&mut self) {
        self.failures_in_row = 0;
        self.samples = self.samples.saturating_add(1);
        if self.state == State::Probing {
            self.state = State::Healthy;
            self.ejections_in_row = 0;
            self.samples = 0;
        }
    }

    /// Counts a failure; true when the target should now be ejected.
    pub(crate) fn failed(&mut self) -> bool {
        self.failures_in_row += 1;
        self.state == State::Probing || self.failures_in_row >= FAILURES_TO_EJECT
    }

    /// Whether the target is slow next to its pool's median.
    pub(crate) fn is_slow(&self, average_us: u64, median_us: u64) -> bool {
        self.state == State::Healthy
            && self.samples >= MIN_SAMPLES
            && average_us >= SLOW_FLOOR_US
            && average_us > median_us.saturating_mul(SLOW_FACTOR)
    }

    pub(crate) fn eject(&mut self, now_us: u64) {
        let doublings = self.ejections_in_row.min(MAX_DOUBLINGS);
        self.state = State::Ejected {
            until_us: now_us + (FIRST_EJECTION_US << doublings),
        };
        self.ejections_in_row += 1;
        self.failures_in_row = 0;
        self.samples = 0;
    }
}
