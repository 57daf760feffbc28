//! Names and keys that have to be unique, and references between entries.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;
use users_platform::ConfigDocument;

use crate::finding::Finding;

pub(crate) fn check(config: &ConfigDocument) -> Vec<Finding> {
    let queues = config.queues.iter().map(|queue| &queue.name);
    let pools = config.pools.iter().map(|pool| &pool.name);
    let teams = config.teams.iter().map(|team| &team.name);
    let mut findings = repeated("queue", queues);
    findings.extend(repeated("pool", pools));
    findings.extend(repeated("team", teams));
    findings.extend(pools_of_queues(config));
    findings.extend(keys(config));
    findings
}

fn repeated<'a>(kind: &str, names: impl Iterator<Item = &'a SmolStr>) -> Vec<Finding> {
    let mut seen = BTreeSet::new();
    let repeated: BTreeSet<_> = names.filter(|name| !seen.insert(*name)).collect();
    let finding = |name| Finding::error(format!("{kind} {name}"), "is listed more than once");
    repeated.into_iter().map(finding).collect()
}

fn pools_of_queues(config: &ConfigDocument) -> Vec<Finding> {
    let mut findings = Vec::new();
    for queue in &config.queues {
        let subject = format!("queue {}, pool {},", queue.name, queue.pool);
        let mut pools = config.pools.iter();
        match pools.find(|pool| pool.name == queue.pool) {
            None => {
                findings.push(Finding::error(subject, "does not exist: no job can run"));
            }
            Some(pool) if pool.is_standby => {
                let message = "is a standby pool, whose VMs are off: no job can run";
                findings.push(Finding::error(subject, message));
            }
            Some(_) => {}
        }
    }
    findings
}

fn keys(config: &ConfigDocument) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut teams_by_key: BTreeMap<&SmolStr, &SmolStr> = BTreeMap::new();
    for team in &config.teams {
        for (number, key) in team.keys.iter().enumerate() {
            let subject = format!("team {}, key {number},", team.name);
            if key.is_empty() || key.contains(char::is_whitespace) {
                let message = "is empty or has a space: no caller can send it";
                findings.push(Finding::error(subject, message));
                continue;
            }
            match teams_by_key.insert(key, &team.name) {
                Some(other) if *other == team.name => {
                    findings.push(Finding::warning(subject, "is listed more than once"));
                }
                Some(other) => {
                    let message =
                        format!("is also a key of team {other}: its callers are of one of the two");
                    findings.push(Finding::error(subject, message));
                }
                None => {}
            }
        }
        if team.keys.is_empty() {
            let subject = format!("team {}", team.name);
            findings.push(Finding::warning(subject, "has no key: no caller is of it"));
        }
    }
    findings
}
