//! The disruption budget of a pool, and the steps of a maintenance wave.

use std::fmt::Write as _;

use domain::{PoolId, RackId, VmId, VmState, ZoneId};
use insta::assert_snapshot;
use maintenance::{DisruptionBudget, PoolVm, Wave, WaveState, WaveStep};

const MIN_SERVING_VMS: u32 = 5;

/// The VMs of a pool, all serving; `racks` has the number of VMs of each rack.
fn vms(racks: &[usize]) -> Vec<PoolVm> {
    let mut vms = Vec::new();
    for (rack, count) in racks.iter().enumerate() {
        for number in 0..*count {
            vms.push(PoolVm {
                id: VmId::new(&format!("r{rack}-{number}")).unwrap(),
                zone: ZoneId::new("z1").unwrap(),
                rack: RackId::new(&format!("r{rack}")).unwrap(),
                state: VmState::Serving,
                is_live: true,
                boots: 1,
            });
        }
    }
    vms
}

/// Checks the planned allowance of a pool in which the last `down` VMs are not live.
fn check_allowance(racks: &[usize], down: usize, max_out_percent: u32, expected: usize) {
    let mut vms = vms(racks);
    let count = vms.len();
    for vm in &mut vms[count - down..] {
        vm.is_live = false;
    }
    let budget = DisruptionBudget::new(vms, MIN_SERVING_VMS, max_out_percent);
    assert_eq!(
        budget.planned_allowance(),
        expected,
        "{racks:?}, {down} down"
    );
}

#[test]
fn planned_work_leaves_the_minimum_after_the_loss_of_the_largest_rack() {
    check_allowance(&[2, 2, 2, 2, 2], 0, 100, 3);
    check_allowance(&[2, 2, 2, 2, 2], 0, 20, 2);
    check_allowance(&[4, 4, 2], 0, 100, 1);
    check_allowance(&[4, 4], 0, 100, 0);
}

#[test]
fn unplanned_losses_count_against_the_budget() {
    check_allowance(&[2, 2, 2, 2, 2], 1, 20, 1);
    check_allowance(&[2, 2, 2, 2, 2], 2, 20, 0);
    check_allowance(&[2, 2, 2, 2, 2], 4, 100, 0);
}

fn wave(vms: &[PoolVm]) -> Wave {
    let ids = vms.iter().map(|vm| vm.id.clone());
    Wave::new("w".into(), PoolId::new("parts").unwrap(), ids)
}

/// Runs a wave to its end and returns the steps, one line for each round.
fn run_wave(racks: &[usize]) -> String {
    let mut vms = vms(racks);
    let mut wave = wave(&vms);
    let mut log = String::new();
    for _ in 0..100 {
        let budget = DisruptionBudget::new(vms.clone(), MIN_SERVING_VMS, 100);
        let serving = budget.serving_count();
        assert!(serving >= MIN_SERVING_VMS as usize, "{serving} serve");
        let steps = wave.next_steps(&budget);
        if steps.is_empty() && !wave.is_unfinished() {
            return log;
        }
        let mut line = String::new();
        for step in &steps {
            let (WaveStep::Drain(id) | WaveStep::Reboot(id) | WaveStep::Return(id)) = step;
            let vm = vms.iter_mut().find(|vm| vm.id == *id).unwrap();
            let name = match step {
                WaveStep::Drain(_) => {
                    vm.state = VmState::Stopped;
                    wave = wave.after_drain(id);
                    "drain"
                }
                WaveStep::Reboot(_) => {
                    vm.boots += 1;
                    wave = wave.after_reboot(id, vm.boots);
                    "reboot"
                }
                WaveStep::Return(_) => {
                    vm.state = VmState::Serving;
                    wave = wave.after_return(id);
                    "return"
                }
            };
            write!(line, "{name} {id}; ").unwrap();
        }
        writeln!(log, "{}", line.trim_end()).unwrap();
    }
    panic!("the wave does not end:\n{log}");
}

#[test]
fn a_wave_drains_one_rack_at_a_time_starting_with_the_most_waiting_vms() {
    assert_snapshot!(run_wave(&[2, 3, 3, 2]), @"
    drain r2-0; drain r2-1;
    reboot r2-0; reboot r2-1;
    return r2-0; return r2-1;
    drain r1-0; drain r1-1;
    reboot r1-0; reboot r1-1;
    return r1-0; return r1-1;
    drain r3-0; drain r3-1;
    reboot r3-0; reboot r3-1;
    return r3-0; return r3-1;
    drain r0-0; drain r0-1;
    reboot r0-0; reboot r0-1;
    return r0-0; return r0-1;
    drain r2-2;
    reboot r2-2;
    return r2-2;
    drain r1-2;
    reboot r1-2;
    return r1-2;
    ");
}

#[test]
fn a_rebooted_vm_returns_when_the_platform_lists_its_new_boot_as_live() {
    let mut vms = vms(&[2, 3, 3]);
    vms[0].state = VmState::Stopped;
    let wave = wave(&vms)
        .after_drain(&vms[0].id)
        .after_reboot(&vms[0].id, 2);
    let returns = |vms: &[PoolVm]| {
        let budget = DisruptionBudget::new(vms.to_vec(), MIN_SERVING_VMS, 100);
        wave.next_steps(&budget)
            .contains(&WaveStep::Return(vms[0].id.clone()))
    };
    assert!(
        !returns(&vms),
        "the platform still reports the boot count from before the reboot"
    );
    vms[0].boots = 2;
    vms[0].is_live = false;
    assert!(!returns(&vms));
    vms[0].is_live = true;
    assert!(returns(&vms));
}

#[test]
fn a_paused_wave_reboots_the_vms_it_has_drained() {
    let mut vms = vms(&[2, 3, 3]);
    vms[0].state = VmState::Stopped;
    let wave = wave(&vms).after_drain(&vms[0].id).paused().unwrap();
    let budget = DisruptionBudget::new(vms.clone(), MIN_SERVING_VMS, 100);
    assert_eq!(
        wave.next_steps(&budget),
        [WaveStep::Reboot(vms[0].id.clone())]
    );
    assert_eq!(wave.resumed().unwrap().state, WaveState::Running);
}

#[test]
fn a_request_that_the_state_does_not_allow_fails() {
    let running = wave(&vms(&[2]));
    assert_eq!(
        running.resumed().unwrap_err().to_string(),
        "wave `w` is running"
    );
    let aborted = running.aborted().unwrap();
    assert_eq!(
        aborted.paused().unwrap_err().to_string(),
        "wave `w` is aborted"
    );
    assert!(!aborted.is_unfinished());
}

#[test]
fn a_stored_wave_keeps_its_field_names() {
    let vms = vms(&[4]);
    let wave = wave(&vms)
        .after_drain(&vms[1].id)
        .after_drain(&vms[2].id)
        .after_reboot(&vms[2].id, 2)
        .after_drain(&vms[3].id)
        .after_reboot(&vms[3].id, 2)
        .after_return(&vms[3].id);
    let stored = serde_json::json!({
        "id": "w",
        "pool": "parts",
        "state": "running",
        "waiting": ["r0-0"],
        "leaving": ["r0-1"],
        "rebooted": {"r0-2": 2},
        "done": ["r0-3"],
    });
    assert_eq!(serde_json::to_value(&wave).unwrap(), stored);
    assert_eq!(serde_json::from_value::<Wave>(stored).unwrap(), wave);
}
