//! What the ends of attempts say about targets.

use super::{MAX_EJECTED_PERCENT, POOL_LATENCY_DIVISOR, Router};
use crate::queue::PoolKey;
use crate::target::TargetKey;

impl Router {
    pub(super) fn record_answer(
        &mut self,
        key: TargetKey,
        pool: PoolKey,
        latency_us: u64,
        now_us: u64,
    ) {
        let target = &mut self.targets[key];
        target.record_latency(latency_us, now_us);
        target.health.succeeded();
        if let Some(state) = self.pools.get_mut(pool) {
            let average_us = state.latency_us;
            let is_first = average_us == 0;
            state.latency_us = if is_first {
                latency_us
            } else {
                average_us - average_us / POOL_LATENCY_DIVISOR + latency_us / POOL_LATENCY_DIVISOR
            };
        }
        let median_us = self.median_latency_us(pool, key);
        let target = &self.targets[key];
        if target.health.is_slow(target.latency_us(), median_us) {
            self.eject(key, pool, now_us);
        }
    }

    pub(super) fn record_failure(&mut self, key: TargetKey, pool: PoolKey, now_us: u64) {
        if self.targets[key].health.failed() {
            self.eject(key, pool, now_us);
        }
    }

    fn median_latency_us(&self, pool: PoolKey, except: TargetKey) -> u64 {
        let Some(state) = self.pools.get(pool) else {
            return u64::MAX;
        };
        let others = state.targets.iter().filter(|key| **key != except);
        let mut latencies: Vec<_> = others.map(|key| self.targets[*key].latency_us()).collect();
        latencies.retain(|latency_us| *latency_us > 0);
        if latencies.is_empty() {
            return u64::MAX;
        }
        let middle = latencies.len() / 2;
        *latencies.select_nth_unstable(middle).1
    }

    fn eject(&mut self, key: TargetKey, pool: PoolKey, now_us: u64) {
        let Some(state) = self.pools.get(pool) else {
            return;
        };
        let serving = state
            .targets
            .iter()
            .filter(|key| self.targets[**key].planned.is_serving);
        let others = serving.clone().filter(|other| **other != key);
        let ejected = others
            .filter(|key| self.targets[**key].health.is_ejected())
            .count();
        let serving = serving.count();
        let allowed = (serving * MAX_EJECTED_PERCENT / 100).max(1);
        if ejected < allowed && serving > 1 {
            self.targets[key].health.eject(now_us);
        }
    }
}
