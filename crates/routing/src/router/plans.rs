//! Puts a plan in force: what stays keeps its state, what is gone ends in order.

use std::collections::HashSet;

use domain::{ErrorKind, PoolId};
use rand::Rng;

use super::{Pool, Router, Service, refuse_all};
use crate::plan::{Plan, PlannedPool, PlannedService, PlannedTarget};
use crate::policy::Policy;
use crate::queue::{PoolKey, Queue};
use crate::retry_budget::RetryBudget;
use crate::target::{Target, TargetKey};

impl Router {
    /// Puts a plan in force. Requests in flight and waiting stay; those waiting for a pool that is gone are refused.
    pub fn apply(&mut self, plan: Plan, now_us: u64, rng: &mut impl Rng) {
        self.apply_pools(plan.pools);
        self.apply_services(plan.services);
        self.dispatch_all(now_us, rng);
    }

    fn apply_pools(&mut self, planned: Vec<PlannedPool>) {
        for target in self.targets.values_mut() {
            target.is_planned = false;
        }
        let ids: HashSet<_> = planned.iter().map(|pool| pool.id.clone()).collect();
        for planned_pool in planned {
            let pool = self.pool_key(&planned_pool.id);
            let targets = planned_pool.targets.into_iter();
            let targets = targets
                .map(|target| self.apply_target(pool, target))
                .collect();
            let state = &mut self.pools[pool];
            state.targets = targets;
            state.queue_limit_requests = planned_pool.queue_limit_requests;
        }
        self.remove_pools_except(&ids);
        self.remove_idle_targets();
    }

    fn pool_key(&mut self, id: &PoolId) -> PoolKey {
        let known = self.pools.iter().find(|(_, pool)| pool.id == *id);
        if let Some((key, _)) = known {
            return key;
        }
        self.pools.insert(Pool {
            id: id.clone(),
            queue: Queue::default(),
            queue_limit_requests: 0,
            targets: Vec::new(),
            latency_us: 0,
        })
    }

    fn apply_target(&mut self, pool: PoolKey, planned: PlannedTarget) -> TargetKey {
        let addr = planned.addr;
        let key = match self.target_by_addr.get(&addr) {
            Some(key) => *key,
            None => self
                .targets
                .insert(Target::new(planned.clone(), &self.own_zone)),
        };
        let target = &mut self.targets[key];
        target.is_local = planned.zone == self.own_zone;
        target.planned = planned;
        target.is_planned = true;
        self.target_by_addr.insert(addr, key);
        self.pool_of_target.insert(key, pool);
        key
    }

    fn remove_pools_except(&mut self, ids: &HashSet<PoolId>) {
        let wakes = &mut self.wakes;
        self.pools.retain(|_, pool| {
            let is_kept = ids.contains(&pool.id);
            if !is_kept {
                refuse_all(wakes, pool.queue.drain(), ErrorKind::NoTarget);
            }
            is_kept
        });
    }

    pub(super) fn remove_idle_targets(&mut self) {
        let is_kept = |target: &Target| target.is_planned || target.in_flight > 0;
        self.targets.retain(|_, target| is_kept(target));
        let targets = &self.targets;
        self.pool_of_target
            .retain(|key, _| targets.contains_key(*key));
        self.target_by_addr
            .retain(|_, key| targets.contains_key(*key));
    }

    fn apply_services(&mut self, planned: Vec<PlannedService>) {
        let ids: HashSet<_> = planned.iter().map(|service| service.id.clone()).collect();
        for service in planned {
            self.apply_service(service);
        }
        self.service_by_id.retain(|id, _| ids.contains(id));
        self.services
            .retain(|_, service| ids.contains(&service.planned.id));
    }

    fn apply_service(&mut self, planned: PlannedService) {
        let pool = self.pool_key(&planned.pool);
        let Some(&key) = self.service_by_id.get(&planned.id) else {
            let id = planned.id.clone();
            let key = self.services.insert(Service {
                policy: Policy::new(planned.policy),
                planned,
                pool,
                retry_budget: RetryBudget::new(),
            });
            self.service_by_id.insert(id, key);
            return;
        };
        let service = &mut self.services[key];
        if service.planned.policy != planned.policy {
            service.policy = Policy::new(planned.policy);
        }
        service.planned = planned;
        service.pool = pool;
    }
}
