//! The active configuration, which only a configuration with a higher epoch replaces.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use access::Keys;
use parking_lot::RwLock;
use scheduler::{PolicyRules, QueueRules};
use smol_str::SmolStr;
use submission::Resources;
use users_platform::{ConfigDocument, Queue};

/// The name of the fleet shard, which the leader owns. All other shards are pools, whose names are chosen by operators.
pub(crate) const FLEET_SHARD: &str = "fleet";

/// The active configuration.
#[derive(Debug, Default)]
pub(crate) struct ActiveConfig {
    /// None until the first configuration arrives.
    current: RwLock<Option<(Arc<ConfigDocument>, Arc<Keys>)>>,
}

impl ActiveConfig {
    /// Activates a configuration, if its epoch is higher than that of the active one. Returns whether the configuration
    /// was activated.
    pub(crate) fn activate(&self, document: ConfigDocument) -> bool {
        let mut current = self.current.write();
        if current
            .as_ref()
            .is_some_and(|(previous, _)| previous.epoch >= document.epoch)
        {
            return false;
        }
        let teams = document.teams.iter();
        let keys = Keys::new(teams.map(|team| (team.name.as_str(), team.keys.as_slice())));
        if keys.duplicates() > 0 {
            let (epoch, shared) = (document.epoch, keys.duplicates());
            tracing::warn!(
                epoch,
                shared,
                "teams list keys of other teams, which stay with the first team of the configuration"
            );
        }
        *current = Some((Arc::new(document), Arc::new(keys)));
        true
    }

    /// The active configuration; none until the first one arrives.
    pub(crate) fn get(&self) -> Option<Arc<ConfigDocument>> {
        self.get_with_keys().map(|(document, _)| document)
    }

    /// The active configuration with the keys of its teams; none until the first one arrives.
    pub(crate) fn get_with_keys(&self) -> Option<(Arc<ConfigDocument>, Arc<Keys>)> {
        self.current.read().clone()
    }

    /// The names of all shards: the pools other than standby pools, and the fleet. Empty until the first configuration
    /// arrives.
    pub(crate) fn shards(&self) -> Vec<SmolStr> {
        let Some(document) = self.get() else {
            return Vec::new();
        };
        let mut shards: Vec<SmolStr> = document
            .pools
            .iter()
            .filter(|pool| !pool.is_standby)
            .map(|pool| pool.name.clone())
            .collect();
        shards.push(FLEET_SHARD.into());
        shards
    }
}

/// The queue of a host whose prefix is the longest one that the path starts with; none if no
/// prefix matches. A port after the host is ignored.
pub(crate) fn find_queue<'a>(
    document: &'a ConfigDocument,
    host: &str,
    path: &str,
) -> Option<&'a Queue> {
    let host = host.split(':').next().unwrap_or_default();
    let matching = document.queues.iter().filter(|queue| {
        queue.host.eq_ignore_ascii_case(host) && path.starts_with(queue.prefix.as_str())
    });
    matching.max_by_key(|queue| queue.prefix.len())
}

/// The scheduling rules of a queue.
pub(crate) fn rules_of(queue: &Queue) -> QueueRules {
    QueueRules {
        priority: queue.priority,
        max_failures: queue.max_failures.max(1),
        latency_objective_factor: queue.latency_objective_factor,
        latency_objective_base_ms: queue.latency_objective_base_ms,
        policy: queue.has_policy.then_some(PolicyRules {
            decision_base_ms: queue.decision_base_ms,
            decision_per_worker_ms: queue.decision_per_worker_ms,
        }),
    }
}

/// The scheduling rules of all queues, by queue.
pub(crate) fn queue_rules(document: &ConfigDocument) -> HashMap<SmolStr, QueueRules> {
    let queues = document.queues.iter();
    queues
        .map(|queue| (queue.name.clone(), rules_of(queue)))
        .collect()
}

/// The quotas of the teams that have one, by team.
pub(crate) fn team_quotas(document: &ConfigDocument) -> BTreeMap<SmolStr, Resources> {
    let limited = document
        .teams
        .iter()
        .filter(|team| team.quota != Resources::default());
    limited
        .map(|team| (team.name.clone(), team.quota))
        .collect()
}

/// The weights of all teams, by team.
pub(crate) fn team_weights(document: &ConfigDocument) -> HashMap<SmolStr, u32> {
    let weights = document.teams.iter();
    weights
        .map(|team| (team.name.clone(), team.weight))
        .collect()
}
