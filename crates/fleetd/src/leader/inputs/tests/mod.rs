//! The inputs of maintenance waves.

use std::collections::{BTreeMap, BTreeSet};

use pools::MaintenanceWave;
use submission::Resources;
use users_platform::{ListedVm, VmPhase};

use crate::rpc::RoundReply;

use super::{may_repeat_move, wave_vms};

fn standby_vm(vm: &str) -> ListedVm {
    ListedVm {
        vm: vm.into(),
        pool: "spare".into(),
        phase: VmPhase::Up,
        zone: domain::ZoneId::new("z").unwrap(),
        labels: Vec::new(),
        capacity: Resources::default(),
        worker_id: None,
    }
}

#[test]
fn a_wave_sends_no_command_to_a_vm_that_another_leader_commanded_lately() {
    let listed = ["locked", "free"].map(standby_vm);
    let standby = BTreeSet::from(["spare".into()]);
    let mut wave = MaintenanceWave::new(
        listed.iter().map(|vm| vm.vm.clone()),
        &BTreeSet::new(),
        2,
        2_000,
        0,
        30_000,
    );
    let mut maintained = |now_ms, locked_vm: &str| {
        let is_soft_locked = |vm: &str| vm == locked_vm;
        let list = wave_vms(
            &listed,
            &standby,
            &BTreeMap::new(),
            &BTreeMap::new(),
            is_soft_locked,
        );
        wave.next_actions(&list, now_ms).maintain
    };
    let mut before: Vec<_> = (0..5)
        .flat_map(|round| maintained(round * 300, "locked"))
        .collect();
    before.dedup();
    assert_eq!(before, ["free"]);
    let after: Vec<_> = (5..10)
        .flat_map(|round| maintained(round * 300, ""))
        .collect();
    assert_eq!(after, ["locked"]);
}

#[test]
fn a_move_without_an_outcome_is_not_repeated_while_the_vm_runs_tasks() {
    let vm = ListedVm {
        pool: "old".into(),
        worker_id: Some("i-1".into()),
        ..standby_vm("m")
    };
    let draining = BTreeMap::from([("old".into(), BTreeSet::from(["i-1".into()]))]);
    let may_repeat = |vm: &ListedVm, tasks: Option<usize>| {
        let reply = RoundReply {
            remaining_tasks: tasks.into_iter().collect(),
            ..RoundReply::default()
        };
        let replies = BTreeMap::from([("old".into(), reply)]);
        let command = (&"m".into(), &"new".into());
        may_repeat_move(
            command,
            std::slice::from_ref(vm),
            &BTreeSet::from(["spare".into()]),
            &draining,
            &replies,
        )
    };
    assert!(!may_repeat(&vm, Some(1)));
    assert!(!may_repeat(&vm, None), "the pool did not reply");
    assert!(may_repeat(&vm, Some(0)));
    let moved = ListedVm {
        pool: "new".into(),
        ..vm.clone()
    };
    assert!(may_repeat(&moved, None));
    let moving = ListedVm {
        phase: VmPhase::Moving,
        ..vm
    };
    assert!(may_repeat(&moving, None));
    assert!(may_repeat(&standby_vm("m"), None));
}
