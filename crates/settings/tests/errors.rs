//! Errors for invalid settings name the field, so that an operator can find the mistake.

use insta::assert_snapshot;
use settings::{Deployment, EntrySettings};

const DEPLOYMENT: &str = r#"
deployment: small
zones: [z1, z2]
weights: {buffer_cost: 1, rollout_time: 1, vm_moves: 1}
first_preset: ordinary
presets:
  - {id: ordinary, max_out_percent: 20, queue_limit_requests: 10, retry_percent: 10}
services:
  - {id: parts, pool: parts, deadline_ms: 2000, max_body_bytes: 1000}
pools:
  - {id: parts, min_serving_vms: 1}
vms:
  - {id: vm-1, zone: z1, rack: r1, pool: parts, executors: [{addr: "127.0.0.1:1", slots: 8, connections: 64}]}
  - {id: vm-2, zone: z2, rack: r2, pool: parts, executors: [{addr: "127.0.0.1:2", slots: 8, connections: 64}]}
"#;

const ENTRY_SETTINGS: &str = r#"
entry_vm: e1
platform: {addr: "127.0.0.1:9", timeout_ms: 1000}
entry_vms:
  - {id: e1, zone: z1, callers: "127.0.0.1:3", peers: "127.0.0.1:4"}
  - {id: e2, zone: z2, callers: "127.0.0.1:5", peers: "127.0.0.1:6"}
"#;

fn deployment_error(from: &str, to: &str) -> String {
    assert!(DEPLOYMENT.contains(from), "`{from}` is not in the document");
    Deployment::parse(&DEPLOYMENT.replace(from, to))
        .unwrap_err()
        .to_string()
}

fn entry_settings_error(from: &str, to: &str) -> String {
    assert!(
        ENTRY_SETTINGS.contains(from),
        "`{from}` is not in the settings"
    );
    EntrySettings::parse(&ENTRY_SETTINGS.replace(from, to))
        .unwrap_err()
        .to_string()
}

#[test]
fn the_unmodified_documents_are_valid() {
    Deployment::parse(DEPLOYMENT).unwrap();
    EntrySettings::parse(ENTRY_SETTINGS).unwrap();
}

#[test]
fn errors_in_a_deployment_document_name_the_field() {
    let replacements = [
        ("deployment: small", "deployment: small\ncolour: red"),
        ("deadline_ms: 2000", "deadline_ms: 2s"),
        ("deadline_ms: 2000", "deadline_ms: 0"),
        ("deadline_ms: 2000, ", ""),
        ("zones: [z1, z2]", "zones: []"),
        ("zones: [z1, z2]", "zones: [z1, z1]"),
        ("zone: z2", "zone: z3"),
        ("id: vm-2", "id: vm-1"),
        ("id: vm-2", "id: VM 2"),
        ("127.0.0.1:2", "127.0.0.1:1"),
        ("127.0.0.1:2", "targets.example:80"),
        ("{id: parts, pool: parts", "{id: parts, pool: quotes"),
        ("rack: r2, pool: parts", "rack: r2, pool: quotes"),
        ("first_preset: ordinary", "first_preset: peak"),
        ("max_out_percent: 20", "max_out_percent: 120"),
        ("min_serving_vms: 1", "min_serving_vms: 3"),
        (
            "slots: 8, connections: 64}]}\n  - {id: vm-2",
            "slots: 0, connections: 64}]}\n  - {id: vm-2",
        ),
    ];
    let errors = replacements.map(|(from, to)| deployment_error(from, to));
    assert_snapshot!(errors.join("\n"), @r#"
    unknown field `colour`, expected one of `deployment`, `zones`, `weights`, `first_preset`, `presets`, `services`, `pools`, `teams`, `vms` at line 3 column 1
    services[0].deadline_ms: invalid type: string "2s", expected u64 at line 9 column 43
    services[0].deadline_ms: 0 is not between 1 and 600000
    services[0]: missing field `deadline_ms` at line 9 column 5
    zones: at least one availability zone is needed
    zones[1]: zone `z1` is listed twice
    vms[1].zone: `z3` is not listed under zones
    vms[1].id: id `vm-1` is listed twice
    vms[1]: `VM 2` is not an id: use 1 to 64 lower-case letters, digits, `-`, `_` or `.` at line 14 column 5
    vms[1].executors[0].addr: address `127.0.0.1:1` is listed twice
    vms[1].executors[0].addr: invalid socket address syntax at line 14 column 68
    services[0].pool: `quotes` is not listed under pools
    vms[1].pool: `quotes` is not listed under pools
    first_preset: `peak` is not listed under presets
    presets[0].max_out_percent: 120 is not between 0 and 100
    pools[0].min_serving_vms: 3 is not between 0 and 2
    vms[0].executors[0].slots: 0 is not between 1 and 10000
    "#);
}

#[test]
fn errors_in_entry_settings_name_the_field() {
    let replacements = [
        ("entry_vm: e1", "entry_vm: e9"),
        ("id: e2", "id: e1"),
        ("127.0.0.1:6", "127.0.0.1:3"),
        ("timeout_ms: 1000", "timeout_ms: 1"),
        ("timeout_ms: 1000", "timeout_s: 1"),
        ("zone: z2, ", ""),
    ];
    let errors = replacements.map(|(from, to)| entry_settings_error(from, to));
    assert_snapshot!(errors.join("\n"), @"
    entry_vm: `e9` is not listed under entry_vms
    entry_vms[1].id: id `e1` is listed twice
    entry_vms[1].peers: address `127.0.0.1:3` is listed twice
    platform.timeout_ms: 1 is not between 10 and 60000
    platform: unknown field `timeout_s`, expected `addr` or `timeout_ms` at line 3 column 33
    entry_vms[1]: missing field `zone` at line 6 column 5
    ");
}
