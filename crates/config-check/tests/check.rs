//! What the check finds in configurations, and what it says of their differences.

use config_check::{Finding, changes, check};
use smol_str::SmolStr;
use submission::Resources;
use users_platform::{ConfigDocument, PoolConfig, Queue, TeamConfig, decode_config};

const EMPTY: &str = r#"{"version":7,"limits":
    {"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

fn queue(name: &str, prefix: &str) -> Queue {
    Queue {
        name: name.into(),
        host: "jobs.example".into(),
        prefix: prefix.into(),
        pool: "orders".into(),
        timeout_ms: 3000,
        latency_objective_base_ms: 600,
        latency_objective_factor: 1.6,
        max_failures: 3,
        priority: 0,
        has_policy: false,
        decision_base_ms: 0,
        decision_per_worker_ms: 0,
        is_public: false,
    }
}

fn team(name: &str, keys: &[&str]) -> TeamConfig {
    TeamConfig {
        name: name.into(),
        keys: keys.iter().copied().map(SmolStr::from).collect(),
        weight: 8,
        quota: Resources {
            cpu_milli: 200_000,
            memory_mb: 300_000,
            gpus: 0,
        },
    }
}

fn config() -> ConfigDocument {
    let mut config = decode_config(EMPTY.as_bytes()).unwrap();
    config.queues = vec![queue("quotes", "/quotes/"), queue("sync", "/sync/")];
    config.pools = vec![PoolConfig {
        name: "orders".into(),
        rejects_overload: true,
        is_standby: false,
    }];
    config.teams = vec![team("north", &["n1", "n2"]), team("south", &["s1"])];
    config
}

fn shown<T: ToString>(items: &[T]) -> String {
    let lines: Vec<_> = items.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

fn found(change: impl FnOnce(&mut ConfigDocument)) -> Vec<Finding> {
    let mut changed = config();
    change(&mut changed);
    check(&changed, None)
}

#[test]
fn a_sound_configuration_has_no_findings() {
    assert_eq!(check(&config(), None), []);
}

#[test]
fn an_epoch_that_is_not_higher_is_an_error() {
    let findings = check(&config(), Some(&config()));
    insta::assert_snapshot!(shown(&findings), @"error: epoch 7 is not higher than that in force, 7: the configuration would be ignored");
}

#[test]
fn queues_that_can_never_match_are_errors() {
    let findings = found(|config| {
        config.queues.push(queue("again", "/quotes/"));
        config.queues[1].prefix = "sync/".into();
        config.queues[2].host = "JOBS.example".into();
        let mut with_port = queue("port", "/port/");
        with_port.host = "jobs.example:80".into();
        config.queues.push(with_port);
    });
    insta::assert_snapshot!(shown(&findings), @r#"
    error: queue quotes can never match: queue again has the same host and prefix
    error: queue sync has the prefix "sync/" without a slash in front: no path matches
    error: queue port has the host "jobs.example:80": requests are matched by a host name without a port, so that none matches
    "#);
}

#[test]
fn a_queue_needs_a_pool_that_runs() {
    let findings = found(|config| {
        config.queues[0].pool = "gone".into();
        config.pools[0].is_standby = true;
        config.pools.push(config.pools[0].clone());
    });
    insta::assert_snapshot!(shown(&findings), @r"
    error: pool orders is listed more than once
    error: queue quotes, pool gone, does not exist: no job can run
    error: queue sync, pool orders, is a standby pool, whose VMs are off: no job can run
    ");
}

#[test]
fn a_key_is_of_one_team_and_is_never_shown() {
    let findings = found(|config| {
        config.teams[1].keys = vec!["n1".into(), "two words".into(), "s1".into(), "s1".into()];
        config.teams.push(team("keyless", &[]));
    });
    let text = shown(&findings);
    assert!(!text.contains("two words"), "{text}");
    insta::assert_snapshot!(text, @r"
    error: team south, key 0, is also a key of team north: its callers are of one of the two
    error: team south, key 1, is empty or has a space: no caller can send it
    warning: team south, key 3, is listed more than once
    warning: team keyless has no key: no caller is of it
    ");
}

#[test]
fn queues_that_nobody_may_use_are_errors() {
    let findings = found(|config| {
        config.teams = vec![team("keyless", &[])];
        config.queues[1].is_public = true;
    });
    insta::assert_snapshot!(shown(&findings), @r"
    error: queue quotes is not public, and no team has a key: no caller may use it
    warning: team keyless has no key: no caller is of it
    ");
}

#[test]
fn limits_that_contradict_each_other_are_found() {
    let findings = found(|config| {
        config.queues[0].latency_objective_factor = f64::NAN;
        config.queues[0].timeout_ms = 0;
        config.queues[1].latency_objective_factor = 0.5;
        config.queues[1].max_failures = 0;
        config.teams[0].weight = 0;
        config.teams[1].quota.memory_mb = 0;
        config.limits.max_body_bytes = 0;
        config.limits.idle_timeout = std::time::Duration::from_secs(1);
    });
    insta::assert_snapshot!(shown(&findings), @r"
    error: queue quotes has the latency objective factor NaN, which is no factor
    error: queue quotes has a timeout of 0 ms: no response can be in time
    error: maximum size of a body is 0: no request is accepted
    warning: queue sync has the latency objective factor 0.5: jobs are late even if they never wait
    warning: queue sync allows no failed attempt, which is read as one
    warning: team north has the weight 0: when there is too little room it gets none
    warning: team south has a quota of only one of CPU and memory; 0 is no limit
    warning: header timeout of 3000 ms is longer than the idle timeout of 1000 ms, which ends the connection first
    ");
}

#[test]
fn changes_are_told_by_entry_and_field() {
    let mut next = config();
    next.epoch = 9;
    next.queues.reverse();
    next.queues[0].timeout_ms = 2000;
    next.queues.push(queue("new", "/new/"));
    next.pools[0].rejects_overload = false;
    next.teams[0].keys = vec!["n2".into(), "n3".into()];
    next.teams[0].quota.cpu_milli = 20_000;
    next.teams.remove(1);
    next.limits.max_body_bytes = 1000;
    let changes = changes(&config(), &next);
    insta::assert_snapshot!(shown(&changes), @r"
    queue new is added
    queue sync timeout ms 3000 -> 2000
    pool orders refuses overload true -> false
    team north 1 keys withdrawn, 2 valid
    team north 1 keys added
    team north quota CPU milli 200000 -> 20000
    team south is removed
    limits of connections: maximum size of a body 262144 -> 1000
    ");
}
