//! Limits that contradict each other.

use users_platform::{ConfigDocument, ConnectionLimits, Queue, TeamConfig};

use crate::finding::Finding;

pub(crate) fn check(config: &ConfigDocument) -> Vec<Finding> {
    let mut findings: Vec<_> = config.queues.iter().flat_map(queue).collect();
    findings.extend(config.teams.iter().flat_map(team));
    findings.extend(connections(config.limits));
    findings
}

fn queue(queue: &Queue) -> Vec<Finding> {
    let subject = format!("queue {}", queue.name);
    let mut findings = Vec::new();
    let factor = queue.latency_objective_factor;
    if !factor.is_finite() || factor < 0.0 {
        let message = format!("has the latency objective factor {factor}, which is no factor");
        findings.push(Finding::error(&subject, message));
    } else if factor < 1.0 {
        let message = format!(
            "has the latency objective factor {factor}: jobs are late even if they never wait"
        );
        findings.push(Finding::warning(&subject, message));
    }
    if queue.max_failures == 0 {
        let message = "allows no failed attempt, which is read as one";
        findings.push(Finding::warning(&subject, message));
    }
    if queue.timeout_ms == 0 {
        let message = "has a timeout of 0 ms: no response can be in time";
        findings.push(Finding::error(&subject, message));
    }
    findings
}

fn team(team: &TeamConfig) -> Vec<Finding> {
    let subject = format!("team {}", team.name);
    let mut findings = Vec::new();
    if team.weight == 0 {
        let message = "has the weight 0: when there is too little room it gets none";
        findings.push(Finding::warning(&subject, message));
    }
    let quota = team.quota;
    // A job needs both, so that a quota of one of them without the other limits nothing that was meant to be limited.
    if (quota.cpu_milli == 0) != (quota.memory_mb == 0) {
        let message = "has a quota of only one of CPU and memory; 0 is no limit";
        findings.push(Finding::warning(&subject, message));
    }
    findings
}

fn connections(limits: ConnectionLimits) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (field, is_zero) in [
        ("maximum size of headers", limits.max_header_bytes == 0),
        ("maximum size of a body", limits.max_body_bytes == 0),
        ("header timeout", limits.header_timeout.is_zero()),
        ("idle timeout", limits.idle_timeout.is_zero()),
    ] {
        if is_zero {
            findings.push(Finding::error(field, "is 0: no request is accepted"));
        }
    }
    if limits.idle_timeout < limits.header_timeout {
        let message = format!(
            "of {} ms is longer than the idle timeout of {} ms, which ends the connection first",
            limits.header_timeout.as_millis(),
            limits.idle_timeout.as_millis()
        );
        findings.push(Finding::warning("header timeout", message));
    }
    findings
}
