//! The example settings are valid and declare the expected numbers of zones and VMs, with at most 4 VMs in a rack.

use std::path::Path;

use settings::{Deployment, EntrySettings};

fn check_example(directory: &str, zone_count: usize, entry_vm_count: usize) {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(directory);
    let read_file = |name: &str| std::fs::read_to_string(examples.join(name)).unwrap();
    let deployment = Deployment::parse(&read_file("deployment.yaml")).unwrap();
    let entry_settings = EntrySettings::parse(&read_file("entry.yaml")).unwrap();
    assert_eq!(deployment.zones.len(), zone_count);
    assert_eq!(entry_settings.entry_vms.len(), entry_vm_count);
    assert_eq!(deployment.services.len(), 5);
    assert_eq!(deployment.vms.len(), 50);
    let executors: usize = deployment.vms.iter().map(|vm| vm.executors.len()).sum();
    assert_eq!(executors, 50);
    for vm in &deployment.vms {
        let vms_in_rack = deployment
            .vms
            .iter()
            .filter(|other| other.rack == vm.rack)
            .count();
        assert!(vms_in_rack <= 4, "{vms_in_rack} VMs in rack {}", vm.rack);
    }
    assert!(
        entry_settings
            .entry_vms
            .iter()
            .all(|vm| deployment.zones.contains(&vm.zone))
    );
}

#[test]
fn the_hinokuni_example_is_valid() {
    check_example("hinokuni", 3, 7);
}

#[test]
fn the_kudzu_example_is_valid() {
    check_example("kudzu", 4, 7);
}
