//! The field names of the settings file.

use super::*;

#[test]
fn settings_are_read_by_their_outer_field_names() {
    let text = "\
        {daemon: d1, ip: 10.0.0.1, zone: a, callers_addr: 10.0.0.1:80, ready_addr: 10.0.0.1:81, peer_port: 82, \
        metrics_port: 83, store_addr: store:84, vms_addr: vms:85, vm_orders_per_s: 2.5, advice_addr: policy:86, \
        machine: {cpu_share: 0.5, speed: 1.5, link_mbps: 100}, bounds: {grace_s: 10.5, longest_lease_ms: 30000, \
        keep_ended_s: 3600, steward_gap_ms: 4000, maintenance_s: 90.5}}";
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
    assert!(!settings.overload.shed_least_cost);
    let text = text.replace("bounds:", "overload: {shed_least_cost: true}, bounds:");
    let settings: FleetSettings = serde_norway::from_str(&text).unwrap();
    assert!(settings.overload.shed_least_cost);
    let text = text.replace("true", "yes please");
    let error = serde_norway::from_str::<FleetSettings>(&text).unwrap_err();
    assert!(error.to_string().contains("shed_least_cost"), "{error}");
}
