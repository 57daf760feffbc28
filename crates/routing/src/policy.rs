//! Ways to choose one of several targets with headroom.

use rand::Rng;
use settings::RoutingPolicy;

use crate::target::TargetKey;

/// A target that may be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Its key.
    pub key: TargetKey,
    /// This daemon's requests in flight to it.
    pub own_in_flight: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Its recent latency, 0 while unknown.
    pub latency_us: u64,
}

impl Candidate {
    /// The work ahead of a new request, in microseconds per slot.
    ///
    /// Peers' requests are left out: they are known once in seconds, and a request takes milliseconds. They count
    /// in the limit, where they change slowly.
    fn work_us(&self) -> u64 {
        let occupied = u64::from(self.own_in_flight + 1);
        occupied * self.latency_us.max(1) / u64::from(self.slots.max(1))
    }
}

/// Chooses one of several candidates.
pub trait Choose {
    /// The index of the chosen one. `candidates` is not empty.
    fn choose(&mut self, candidates: &[Candidate], rng: &mut impl Rng) -> usize;
}

/// Any, with equal chances.
#[derive(Debug, Default)]
pub struct RandomChoice;

/// One after the other.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

/// The one with the fewest of this daemon's own requests in flight; the first of equals.
#[derive(Debug, Default)]
pub struct LeastInFlight;

/// The better of two drawn at random, by the work ahead of a new request.
#[derive(Debug, Default)]
pub struct TwoChoices;

impl Choose for RandomChoice {
    fn choose(&mut self, candidates: &[Candidate], rng: &mut impl Rng) -> usize {
        rng.random_range(0..candidates.len())
    }
}

impl Choose for RoundRobin {
    fn choose(&mut self, candidates: &[Candidate], _: &mut impl Rng) -> usize {
        self.turn = self.turn.wrapping_add(1);
        self.turn % candidates.len()
    }
}

impl Choose for LeastInFlight {
    fn choose(&mut self, candidates: &[Candidate], _: &mut impl Rng) -> usize {
        let load = |i: &usize| candidates[*i].own_in_flight;
        (0..candidates.len()).min_by_key(load).unwrap_or(0)
    }
}

impl Choose for TwoChoices {
    fn choose(&mut self, candidates: &[Candidate], rng: &mut impl Rng) -> usize {
        let first = rng.random_range(0..candidates.len());
        let second = rng.random_range(0..candidates.len());
        if candidates[second].work_us() < candidates[first].work_us() {
            second
        } else {
            first
        }
    }
}

/// The one with the least work ahead of a new request; among equals, each in its turn.
#[derive(Debug, Default)]
pub struct LeastWork {
    turn: usize,
}

impl Choose for LeastWork {
    fn choose(&mut self, candidates: &[Candidate], _: &mut impl Rng) -> usize {
        self.turn = self.turn.wrapping_add(1);
        let count = candidates.len();
        let in_turn = (0..count).map(|i| (i + self.turn) % count);
        let least = in_turn.min_by_key(|i| candidates[*i].work_us());
        least.unwrap_or(0)
    }
}

/// The policy that a service's settings name.
#[derive(Debug)]
pub enum Policy {
    /// See [`RandomChoice`].
    Random(RandomChoice),
    /// See [`RoundRobin`].
    RoundRobin(RoundRobin),
    /// See [`LeastInFlight`].
    LeastInFlight(LeastInFlight),
    /// See [`TwoChoices`].
    TwoChoices(TwoChoices),
    /// See [`LeastWork`].
    LeastWork(LeastWork),
}

impl Policy {
    /// The policy of that name, in its first state.
    #[must_use]
    pub fn new(name: RoutingPolicy) -> Self {
        match name {
            RoutingPolicy::Random => Self::Random(RandomChoice),
            RoutingPolicy::RoundRobin => Self::RoundRobin(RoundRobin::default()),
            RoutingPolicy::LeastInFlight => Self::LeastInFlight(LeastInFlight),
            RoutingPolicy::TwoChoices => Self::TwoChoices(TwoChoices),
            RoutingPolicy::LeastWork => Self::LeastWork(LeastWork::default()),
        }
    }
}

impl Choose for Policy {
    fn choose(&mut self, candidates: &[Candidate], rng: &mut impl Rng) -> usize {
        match self {
            Self::Random(policy) => policy.choose(candidates, rng),
            Self::RoundRobin(policy) => policy.choose(candidates, rng),
            Self::LeastInFlight(policy) => policy.choose(candidates, rng),
            Self::TwoChoices(policy) => policy.choose(candidates, rng),
            Self::LeastWork(policy) => policy.choose(candidates, rng),
        }
    }
}
