//! The example settings are taken as they are.

use std::path::Path;

use settings::{Deployment, EntrySettings};

fn check(folder: &str, zones: usize, entry_vms: usize) {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(folder);
    let read = |name: &str| std::fs::read_to_string(examples.join(name)).unwrap();
    let deployment = Deployment::parse(&read("deployment.yaml")).unwrap();
    let entry = EntrySettings::parse(&read("entry.yaml")).unwrap();
    assert_eq!(deployment.zones.len(), zones);
    assert_eq!(entry.entry_vms.len(), entry_vms);
    assert_eq!(deployment.services.len(), 5);
    assert_eq!(deployment.vms.len(), 50);
    let executors: usize = deployment.vms.iter().map(|vm| vm.executors.len()).sum();
    assert_eq!(executors, 50);
    for vm in &deployment.vms {
        let in_rack = deployment
            .vms
            .iter()
            .filter(|other| other.rack == vm.rack)
            .count();
        assert!(in_rack <= 4, "{in_rack} VMs in rack {}", vm.rack);
    }
    assert!(
        entry
            .entry_vms
            .iter()
            .all(|vm| deployment.zones.contains(&vm.zone))
    );
}

#[test]
fn hinokuni() {
    check("hinokuni", 3, 7);
}

#[test]
fn kudzu() {
    check("kudzu", 4, 7);
}
