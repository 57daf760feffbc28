//! Queues that no request can reach, or that no caller may use.

use users_platform::{ConfigDocument, Queue};

use crate::finding::Finding;

pub(crate) fn check(config: &ConfigDocument) -> Vec<Finding> {
    let mut findings = Vec::new();
    let has_keys = config.teams.iter().any(|team| !team.keys.is_empty());
    for (index, queue) in config.queues.iter().enumerate() {
        let subject = format!("queue {}", queue.name);
        // A request is matched by the host without its port, and by the longest prefix; of equal ones the last wins.
        if queue.host.is_empty() || queue.host.contains([':', '/', ' ']) {
            let message = format!(
                "has the host {:?}: requests are matched by a host name without a port, so that none matches",
                queue.host
            );
            findings.push(Finding::error(&subject, message));
        }
        if !queue.prefix.starts_with('/') {
            let message = format!(
                "has the prefix {:?} without a slash in front: no path matches",
                queue.prefix
            );
            findings.push(Finding::error(&subject, message));
        }
        let mut later = config.queues[index + 1..].iter();
        if let Some(other) = later.find(|other| matches_same(queue, other)) {
            let message = format!(
                "can never match: queue {} has the same host and prefix",
                other.name
            );
            findings.push(Finding::error(&subject, message));
        }
        if !queue.prefix.ends_with('/') {
            let message = "has a prefix without a slash at the end: it also matches longer names";
            findings.push(Finding::warning(&subject, message));
        }
        // Without teams, queues need no key.
        if !queue.is_public && !has_keys && !config.teams.is_empty() {
            let message = "is not public, and no team has a key: no caller may use it";
            findings.push(Finding::error(&subject, message));
        }
    }
    findings
}

fn matches_same(queue: &Queue, other: &Queue) -> bool {
    queue.host.eq_ignore_ascii_case(&other.host) && queue.prefix == other.prefix
}
