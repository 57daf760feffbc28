//! What this daemon knows of one executor.

use std::collections::HashMap;
use std::net::SocketAddr;

use domain::{EntryVmId, VmId, ZoneId};
use slotmap::new_key_type;

use crate::health::Health;
use crate::plan::PlannedTarget;

new_key_type! {
    /// An executor in the router's arena.
    pub struct TargetKey;
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target answered.
    Answered,
    /// The target said that it did not run the request.
    Refused,
    /// No connection could be made.
    Unreachable,
    /// The connection broke, or the deadline passed, after the request was sent.
    Failed,
    /// The caller went away.
    Abandoned,
}

/// The end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// How it ended.
    pub result: AttemptResult,
    /// From sending to the first byte of the answer, or to the failure.
    pub latency_us: u64,
}

/// The weight of a new sample in the moving average of latency, as a divisor.
const LATENCY_DIVISOR: u64 = 8;

/// A target is clearly slower than its pool when its latency is longer by this share.
const CLEARLY_SLOWER_PERCENT: u64 = 50;

const US_PER_S: u64 = 1_000_000;

/// Idle connections that a daemon keeps to a target. They count towards its share of connections, so that requests
/// in flight and idle connections together stay within it.
pub const IDLE_CONNECTIONS: u32 = 3;

/// The share of its slots that all daemons of a zone together may offer a target, in percent.
///
/// Somewhat above 100 keeps slots busy when the daemons' loads differ.
const OFFERED_PERCENT: u32 = 125;

#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) planned: PlannedTarget,
    pub(crate) is_local: bool,
    pub(crate) in_flight: u32,
    pub(crate) health: Health,
    /// The most of this daemon's requests in flight since the last digest.
    peak_in_flight: u32,
    peers_in_flight: HashMap<EntryVmId, u32>,
    latency_us: Option<u64>,
    latency_known_us: u64,
    /// Whether the plan still has this target; a removed one stays until its last request ends.
    pub(crate) is_planned: bool,
}

impl Target {
    pub(crate) fn new(planned: PlannedTarget, own_zone: &ZoneId) -> Self {
        Self {
            is_local: planned.zone == *own_zone,
            planned,
            in_flight: 0,
            health: Health::new(),
            peak_in_flight: 0,
            peers_in_flight: HashMap::new(),
            latency_us: None,
            latency_known_us: 0,
            is_planned: true,
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.planned.addr
    }

    pub(crate) fn vm(&self) -> &VmId {
        &self.planned.vm
    }

    pub(crate) fn latency_us(&self) -> u64 {
        self.latency_us.unwrap_or(0)
    }

    pub(crate) fn peers_in_flight(&self) -> u32 {
        self.peers_in_flight.values().sum()
    }

    pub(crate) fn set_peer_in_flight(&mut self, peer: &EntryVmId, in_flight: u32) {
        if in_flight == 0 {
            self.peers_in_flight.remove(peer);
        } else {
            self.peers_in_flight.insert(peer.clone(), in_flight);
        }
    }

    pub(crate) fn start(&mut self) {
        self.in_flight += 1;
        self.peak_in_flight = self.peak_in_flight.max(self.in_flight);
    }

    pub(crate) fn end(&mut self) {
        self.in_flight -= 1;
    }

    pub(crate) fn take_peak(&mut self) -> u32 {
        std::mem::replace(&mut self.peak_in_flight, self.in_flight)
    }

    /// The latency to expect: the pool's, unless the recent one is clearly longer.
    ///
    /// Each second without an answer takes away half of the difference, so that a target that was slow is tried again.
    pub(crate) fn expected_latency_us(&self, pool_us: u64, now_us: u64) -> u64 {
        let Some(latency_us) = self.latency_us else {
            return pool_us;
        };
        let age_s = now_us.saturating_sub(self.latency_known_us) / US_PER_S;
        let halvings = u32::try_from(age_s).unwrap_or(u32::MAX).min(u64::BITS - 1);
        let excess_us = latency_us.saturating_sub(pool_us) >> halvings;
        let is_clear = excess_us > pool_us * CLEARLY_SLOWER_PERCENT / 100;
        pool_us + if is_clear { excess_us } else { 0 }
    }

    pub(crate) fn record_latency(&mut self, sample_us: u64, now_us: u64) {
        self.latency_known_us = now_us;
        let average = self.latency_us.unwrap_or(sample_us);
        let kept = average - average / LATENCY_DIVISOR;
        self.latency_us = Some(kept + sample_us / LATENCY_DIVISOR);
    }

    /// The most requests that this daemon sends to the target at once.
    ///
    /// It is the larger of a fixed share of the slots and what the peers were last seen to leave free, and never
    /// more than the daemon's share of connections.
    pub(crate) fn limit(&self, sharing_daemons: u32) -> u32 {
        let offered = self.planned.slots * OFFERED_PERCENT;
        let share = offered.div_ceil(100 * sharing_daemons.max(1)).max(1);
        let left_by_peers = self.planned.slots.saturating_sub(self.peers_in_flight());
        let connections = self
            .planned
            .connection_share
            .saturating_sub(IDLE_CONNECTIONS);
        share.max(left_by_peers).min(connections.max(1))
    }
}
