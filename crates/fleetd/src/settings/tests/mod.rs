//! The field names of the settings file.

use std::collections::BTreeMap;

use super::*;

#[test]
fn settings_are_read_by_their_outer_field_names() {
    let text = "\
        {daemon: d1, ip: 10.0.0.1, zone: a, callers_addr: 10.0.0.1:80, ready_addr: 10.0.0.1:81, peer_port: 82, \
        metrics_port: 83, store_addr: store:84, vms_addr: vms:85, vm_orders_per_s: 2.5, advice_addr: policy:86, \
        machine: {cpu_share: 0.5, speed: 1.5, link_mbps: 100}, bounds: {grace_s: 10.5, longest_lease_ms: 30000, \
        keep_ended_s: 3600, steward_gap_ms: 4000, maintenance_s: 90.5, stop_ms: 300}}";
    let settings: FleetSettings = serde_norway::from_str(text).unwrap();
    assert_eq!(settings.daemon, "d1");
    assert_eq!(settings.ip.to_string(), "10.0.0.1");
    assert_eq!(settings.zone, "a");
    assert_eq!(settings.callers_addr.to_string(), "10.0.0.1:80");
    assert_eq!(settings.ready_addr.to_string(), "10.0.0.1:81");
    assert_eq!(settings.peer_port, 82);
    assert_eq!(settings.metrics_port, 83);
    assert_eq!(settings.store_addr, "store:84");
    assert_eq!(settings.vms_addr, "vms:85");
    assert_eq!(settings.vm_commands_per_s, Some(2.5));
    assert_eq!(settings.policy_addr.as_deref(), Some("policy:86"));
    assert_eq!(settings.machine.cpu_share, Some(0.5));
    assert_eq!(settings.machine.relative_speed, Some(1.5));
    assert_eq!(settings.machine.link_mbps, Some(100.0));
    assert!((settings.bounds.shutdown_grace_s - 10.5).abs() < f64::EPSILON);
    assert_eq!(settings.bounds.max_lease_ms, 30_000);
    assert_eq!(settings.bounds.ended_job_retention_s, 3600);
    assert_eq!(settings.bounds.leader_gap_ms, 4000);
    assert!((settings.bounds.maintenance_s - 90.5).abs() < f64::EPSILON);
    assert_eq!(settings.bounds.stop_ms, Some(300));
    assert_eq!(settings.bounds.access_rules(), AccessRules::default());
    assert!(!settings.overload.shed_least_cost);
    let text = text.replace("bounds:", "overload: {shed_least_cost: true}, bounds:");
    let settings: FleetSettings = serde_norway::from_str(&text).unwrap();
    assert!(settings.overload.shed_least_cost);
    let text = text.replace("true", "yes please");
    let error = serde_norway::from_str::<FleetSettings>(&text).unwrap_err();
    assert!(error.to_string().contains("shed_least_cost"), "{error}");
}

/// The lines of the template, with the values that a deployment sets; a value that it does not set is rendered as nothing.
fn bounds_text(strict_revoke: &str, revoke_ms: &str) -> String {
    format!(
        "bounds:\n  grace_s: 1\n  longest_lease_ms: 1\n  keep_ended_s: 1\n  steward_gap_ms: 1\n  maintenance_s: 1\n  \
        strict_revoke: {strict_revoke}\n  revoke_ms: {revoke_ms}\n"
    )
}

#[test]
fn keys_expire_with_the_configuration_only_where_the_deployment_asks_for_it() {
    let strict = AccessRules {
        are_keys_required: true,
        revocation_ms: Some(5000),
    };
    for (strict_revoke, revoke_ms, expected) in [
        ("", "", AccessRules::default()),
        ("", "5000", AccessRules::default()),
        ("false", "5000", AccessRules::default()),
        ("true", "5000", strict),
    ] {
        let text = bounds_text(strict_revoke, revoke_ms);
        let bounds: BTreeMap<String, Bounds> = serde_norway::from_str(&text).unwrap();
        assert_eq!(bounds["bounds"].access_rules(), expected, "{text}");
    }
}

#[test]
fn a_strict_revocation_without_a_time_is_an_error() {
    let path = std::env::temp_dir().join(format!("fleetd-settings-{}.yaml", std::process::id()));
    let text = "daemon: d1\nip: 10.0.0.1\nzone: a\ncallers_addr: 10.0.0.1:80\nready_addr: 10.0.0.1:81\npeer_port: 82\n\
        metrics_port: 83\nstore_addr: store:84\nvms_addr: vms:85\n";
    let read = |bounds: String| {
        std::fs::write(&path, text.to_owned() + &bounds).unwrap();
        FleetSettings::read(&path).map_err(|err| err.to_string())
    };
    assert!(read(bounds_text("true", "5000")).is_ok());
    let message = read(bounds_text("true", "")).unwrap_err();
    std::fs::remove_file(&path).unwrap();
    assert!(message.contains("bounds.revoke_ms"), "{message}");
}
