//! The configuration in force: only ever replaced by a later one.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use parking_lot::RwLock;
use scheduler::QueueRules;
use smol_str::SmolStr;
use users_platform::{ConfigDocument, Queue};

/// The name of the unit that the steward holds. Pools have the names that operators gave them.
pub(crate) const FLEET_UNIT: &str = "fleet";

/// The configuration in force.
#[derive(Debug, Default)]
pub(crate) struct InForce {
    document: RwLock<Option<Arc<ConfigDocument>>>,
    /// The pools that each queue has been sent to since this process started.
    pools: RwLock<BTreeMap<SmolStr, BTreeSet<SmolStr>>>,
}

impl InForce {
    /// Takes a configuration with a higher epoch. False for others.
    pub(crate) fn take(&self, document: ConfigDocument) -> bool {
        let mut in_force = self.document.write();
        if in_force
            .as_ref()
            .is_some_and(|before| before.epoch >= document.epoch)
        {
            return false;
        }
        let mut pools = self.pools.write();
        for queue in &document.queues {
            pools
                .entry(queue.name.clone())
                .or_default()
                .insert(queue.pool.clone());
        }
        *in_force = Some(Arc::new(document));
        true
    }

    pub(crate) fn get(&self) -> Option<Arc<ConfigDocument>> {
        self.document.read().clone()
    }

    /// The other pools that a queue was sent to before: jobs handed in then are there.
    pub(crate) fn earlier_pools(&self, queue: &Queue) -> Vec<SmolStr> {
        let pools = self.pools.read();
        let pools = pools.get(&queue.name).into_iter().flatten();
        pools.filter(|pool| **pool != queue.pool).cloned().collect()
    }

    /// The units: the pools, and the fleet.
    pub(crate) fn units(&self) -> Vec<SmolStr> {
        let Some(document) = self.get() else {
            return Vec::new();
        };
        let mut units: Vec<SmolStr> = document
            .pools
            .iter()
            .filter(|service| !service.is_standby)
            .map(|service| service.name.clone())
            .collect();
        units.push(FLEET_UNIT.into());
        units
    }
}

/// The queue with the longest prefix that a path of a host starts with.
pub(crate) fn find_queue<'a>(
    document: &'a ConfigDocument,
    host: &str,
    path: &str,
) -> Option<&'a Queue> {
    let host = host.split(':').next().unwrap_or_default();
    let fitting = document.queues.iter().filter(|queue| {
        queue.host.eq_ignore_ascii_case(host) && path.starts_with(queue.prefix.as_str())
    });
    fitting.max_by_key(|queue| queue.prefix.len())
}

/// The rules of all queues.
pub(crate) fn queue_rules(document: &ConfigDocument) -> HashMap<SmolStr, QueueRules> {
    let rules = document.queues.iter().map(|queue| {
        let rules = QueueRules {
            priority: queue.priority,
            max_failures: queue.max_failures.max(1),
            latency_objective_factor: queue.latency_objective_factor,
            latency_objective_base_ms: queue.latency_objective_base_ms,
            has_policy: queue.has_policy,
        };
        (queue.name.clone(), rules)
    });
    rules.collect()
}
