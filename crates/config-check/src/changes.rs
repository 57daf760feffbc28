//! What a configuration changes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use smol_str::SmolStr;
use users_platform::{ConfigDocument, PoolConfig, Queue, TeamConfig};

/// A difference between two configurations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The entry: its kind and its name.
    pub subject: String,
    /// What is different.
    pub message: String,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.subject, self.message)
    }
}

/// Returns what differs between the configuration in force and the next one, by kind and name. The order of entries does
/// not matter. Of keys, only the number is told.
#[must_use]
pub fn changes(in_force: &ConfigDocument, next: &ConfigDocument) -> Vec<Change> {
    let queue_name = |queue: &Queue| queue.name.clone();
    let pool_name = |pool: &PoolConfig| pool.name.clone();
    let team_name = |team: &TeamConfig| team.name.clone();
    let mut changes = entries("queue", &in_force.queues, &next.queues, queue_name, queue);
    changes.extend(entries(
        "pool",
        &in_force.pools,
        &next.pools,
        pool_name,
        pool,
    ));
    changes.extend(entries(
        "team",
        &in_force.teams,
        &next.teams,
        team_name,
        team,
    ));
    let (old, new) = (in_force.limits, next.limits);
    let mut limits = Fields::default();
    limits.compare(
        "maximum size of headers",
        &old.max_header_bytes,
        &new.max_header_bytes,
    );
    limits.compare(
        "maximum size of a body",
        &old.max_body_bytes,
        &new.max_body_bytes,
    );
    let ms = |duration: std::time::Duration| duration.as_millis();
    limits.compare(
        "header timeout ms",
        &ms(old.header_timeout),
        &ms(new.header_timeout),
    );
    limits.compare(
        "idle timeout ms",
        &ms(old.idle_timeout),
        &ms(new.idle_timeout),
    );
    let change = |message| Change {
        subject: "limits of connections:".into(),
        message,
    };
    changes.extend(limits.changed.into_iter().map(change));
    changes
}

/// The fields of an entry that differ.
#[derive(Default)]
struct Fields {
    changed: Vec<String>,
}

impl Fields {
    fn compare<T: PartialEq + fmt::Display>(&mut self, field: &str, old: &T, new: &T) {
        if old != new {
            self.changed.push(format!("{field} {old} -> {new}"));
        }
    }
}

fn entries<T>(
    kind: &str,
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> SmolStr,
    compare: impl Fn(&T, &T, &mut Fields),
) -> Vec<Change> {
    let by_name = |entries| -> BTreeMap<SmolStr, &T> {
        let named = <[T]>::iter(entries).map(|entry| (name(entry), entry));
        named.collect()
    };
    let (old, new) = (by_name(old), by_name(new));
    let names: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    let mut changes = Vec::new();
    for name in names {
        let messages = match (old.get(name), new.get(name)) {
            (None, Some(_)) => vec!["is added".to_owned()],
            (Some(_), None) => vec!["is removed".to_owned()],
            (Some(old), Some(new)) => {
                let mut fields = Fields::default();
                compare(old, new, &mut fields);
                fields.changed
            }
            (None, None) => Vec::new(),
        };
        let change = |message| Change {
            subject: format!("{kind} {name}"),
            message,
        };
        changes.extend(messages.into_iter().map(change));
    }
    changes
}

fn queue(old: &Queue, new: &Queue, fields: &mut Fields) {
    fields.compare("host", &old.host, &new.host);
    fields.compare("prefix", &old.prefix, &new.prefix);
    fields.compare("pool", &old.pool, &new.pool);
    fields.compare("timeout ms", &old.timeout_ms, &new.timeout_ms);
    let (old_base_ms, new_base_ms) = (old.latency_objective_base_ms, new.latency_objective_base_ms);
    fields.compare("latency objective base ms", &old_base_ms, &new_base_ms);
    let (old_factor, new_factor) = (old.latency_objective_factor, new.latency_objective_factor);
    fields.compare("latency objective factor", &old_factor, &new_factor);
    fields.compare("failed attempts", &old.max_failures, &new.max_failures);
    fields.compare("priority", &old.priority, &new.priority);
    fields.compare("policy", &old.has_policy, &new.has_policy);
    let (old_ms, new_ms) = (old.decision_base_ms, new.decision_base_ms);
    fields.compare("decision base ms", &old_ms, &new_ms);
    let (old_ms, new_ms) = (old.decision_per_worker_ms, new.decision_per_worker_ms);
    fields.compare("decision per worker ms", &old_ms, &new_ms);
    fields.compare("public", &old.is_public, &new.is_public);
}

fn pool(old: &PoolConfig, new: &PoolConfig, fields: &mut Fields) {
    fields.compare(
        "refuses overload",
        &old.rejects_overload,
        &new.rejects_overload,
    );
    fields.compare("standby", &old.is_standby, &new.is_standby);
}

fn team(old: &TeamConfig, new: &TeamConfig, fields: &mut Fields) {
    let without = |keys: &[SmolStr], others: &[SmolStr]| {
        let missing = keys.iter().filter(|key| !others.contains(key));
        missing.count()
    };
    let withdrawn = without(&old.keys, &new.keys);
    let added = without(&new.keys, &old.keys);
    if withdrawn > 0 {
        let left = new.keys.len();
        fields
            .changed
            .push(format!("{withdrawn} keys withdrawn, {left} valid"));
    }
    if added > 0 {
        fields.changed.push(format!("{added} keys added"));
    }
    fields.compare("weight", &old.weight, &new.weight);
    let (old, new) = (old.quota, new.quota);
    fields.compare("quota CPU milli", &old.cpu_milli, &new.cpu_milli);
    fields.compare("quota memory MB", &old.memory_mb, &new.memory_mb);
    fields.compare("quota GPUs", &old.gpus, &new.gpus);
}
