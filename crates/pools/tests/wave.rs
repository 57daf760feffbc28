//! A maintenance wave maintains each VM once before its deadline, and never takes down more VMs than allowed.

use std::collections::{BTreeMap, BTreeSet};

use pools::{MaintenanceWave, VmCommandOutcome, WaveVm};
use smol_str::{SmolStr, format_smolstr};

const MAINTENANCE_MS: u64 = 2000;

fn names(count: usize) -> Vec<SmolStr> {
    (0..count).map(|vm| format_smolstr!("vm-{vm:02}")).collect()
}

/// Creates a wave in which no maintenance has started.
fn new_wave(vms: Vec<SmolStr>, max_down: usize, remaining_ms: u64) -> MaintenanceWave {
    let started = BTreeSet::new();
    MaintenanceWave::new(vms, &started, max_down, MAINTENANCE_MS, 0, remaining_ms)
}

fn busy() -> WaveVm {
    WaveVm {
        is_up: true,
        is_standby: false,
        is_drained: false,
        is_idle: false,
        runs_service_tasks: false,
    }
}

/// Simulates a wave over busy VMs whose drain takes 1 s. Returns when the wave was done, in ms, and how many VMs
/// were down at the same time at most. The outcome of every `unknown_every`th command is unknown at first; 0 for none.
fn simulate_batch_wave(
    count: usize,
    max_down: usize,
    remaining_ms: u64,
    unknown_every: usize,
) -> (u64, usize) {
    let mut wave = new_wave(names(count), max_down, remaining_ms);
    let mut drain_started_at_ms: BTreeMap<SmolStr, u64> = BTreeMap::new();
    let mut up_at_ms: BTreeMap<SmolStr, u64> = BTreeMap::new();
    let (mut now_ms, mut max_seen_down, mut commands) = (0, 0, 0);
    while !wave.is_done() && now_ms < 10 * remaining_ms {
        let list = names(count).into_iter().map(|vm| {
            let is_up = up_at_ms.get(&vm).is_none_or(|at_ms| now_ms >= *at_ms);
            let is_drained = drain_started_at_ms
                .get(&vm)
                .is_some_and(|at_ms| now_ms >= at_ms + 1000);
            (
                vm,
                WaveVm {
                    is_up,
                    is_drained,
                    ..busy()
                },
            )
        });
        let actions = wave.next_actions(&list.collect(), now_ms);
        for vm in actions.drain {
            drain_started_at_ms.entry(vm).or_insert(now_ms);
        }
        for vm in actions.maintain {
            commands += 1;
            let is_unknown = unknown_every > 0 && commands % unknown_every == 0;
            up_at_ms
                .entry(vm.clone())
                .or_insert(now_ms + MAINTENANCE_MS);
            let outcome = if is_unknown {
                VmCommandOutcome::Unknown
            } else {
                VmCommandOutcome::Started
            };
            wave.record_outcome(&vm, outcome, now_ms);
        }
        max_seen_down =
            max_seen_down.max(up_at_ms.values().filter(|at_ms| now_ms < **at_ms).count());
        now_ms += 100;
    }
    (now_ms, max_seen_down)
}

#[test]
fn a_wave_of_busy_vms_meets_its_deadline_and_its_limit_of_vms_down() {
    for (count, max_down, unknown_every) in
        [(1, 1, 0), (22, 8, 0), (22, 8, 3), (24, 9, 2), (10, 1, 0)]
    {
        let (done_ms, max_seen_down) = simulate_batch_wave(count, max_down, 34_000, unknown_every);
        assert!(done_ms <= 34_000, "{count} VMs took {done_ms} ms");
        assert!(
            max_seen_down <= max_down,
            "{max_seen_down} VMs were down, limit {max_down}"
        );
    }
}

#[test]
fn idle_vms_are_drained_before_busy_ones() {
    let mut wave = MaintenanceWave::new(names(4), &BTreeSet::new(), 2, MAINTENANCE_MS, 0, 60_000);
    let list = names(4).into_iter().enumerate().map(|(index, vm)| {
        let is_idle = index >= 2;
        (vm, WaveVm { is_idle, ..busy() })
    });
    let drain = wave.next_actions(&list.collect(), 0).drain;
    assert!(drain.contains(&"vm-02".into()) && drain.contains(&"vm-03".into()));
    assert!(drain.len() <= 3);
}

#[test]
fn a_wave_does_not_wait_for_a_removed_vm() {
    let mut wave = MaintenanceWave::new(names(2), &BTreeSet::new(), 1, MAINTENANCE_MS, 0, 30_000);
    let _ = wave.next_actions(&BTreeMap::new(), 0);
    assert!(wave.is_done());
}

#[test]
fn a_vm_counts_as_down_while_the_outcome_of_its_command_is_unknown() {
    let mut wave = MaintenanceWave::new(names(2), &BTreeSet::new(), 1, MAINTENANCE_MS, 0, 5000);
    let drained = WaveVm {
        is_drained: true,
        is_idle: true,
        ..busy()
    };
    let list: BTreeMap<_, _> = names(2)
        .into_iter()
        .map(|vm| (vm, drained.clone()))
        .collect();
    let _ = wave.next_actions(&list, 0);
    let commanded = wave.next_actions(&list, 100).maintain;
    assert_eq!(commanded.len(), 1);
    wave.record_outcome(&commanded[0], VmCommandOutcome::Unknown, 100);
    assert_eq!(
        wave.next_actions(&list, 200).maintain,
        Vec::<SmolStr>::new()
    );
    assert_eq!(wave.next_actions(&list, 500).maintain, commanded);
}

#[test]
fn maintenance_without_an_outcome_is_not_commanded_again_while_the_vm_runs_tasks() {
    let mut wave = new_wave(names(1), 1, 30_000);
    let list = |is_drained| {
        let vms = names(1).into_iter();
        let state = WaveVm {
            is_drained,
            ..busy()
        };
        vms.map(|vm| (vm, state.clone()))
            .collect::<BTreeMap<_, _>>()
    };
    let _ = wave.next_actions(&list(false), 0);
    assert_eq!(wave.next_actions(&list(true), 300).maintain, names(1));
    for round in 1..20 {
        let now_ms = 300 + round * 300;
        wave.record_outcome("vm-00", VmCommandOutcome::Unknown, now_ms);
        let actions = wave.next_actions(&list(false), now_ms + 300);
        assert_eq!(actions.maintain, Vec::<SmolStr>::new(), "{round}");
        assert_eq!(actions.drain, names(1), "{round}");
    }
    let actions = wave.next_actions(&list(true), 20_000);
    assert_eq!(actions.maintain, names(1));
    assert_eq!(actions.drain, names(1), "the command may be repeated");
}

/// How long it takes to move the service tasks of one VM to another VM. These drains run one after another.
const SERVICE_DRAIN_MS: u64 = 2000;

/// Simulates a wave over busy VMs of which the last `service_count` run service tasks. The drain of the others takes
/// 1 s. Returns when the wave was done, in ms.
fn simulate_service_wave(
    count: usize,
    service_count: usize,
    max_down: usize,
    remaining_ms: u64,
) -> u64 {
    let all = names(count);
    let mut wave = new_wave(all.clone(), max_down, remaining_ms);
    let mut drain_started_at_ms: BTreeMap<SmolStr, u64> = BTreeMap::new();
    let mut up_at_ms: BTreeMap<SmolStr, u64> = BTreeMap::new();
    let mut drained: BTreeSet<SmolStr> = BTreeSet::new();
    let mut next_service_drain_ms = 0;
    let mut now_ms = 0;
    while !wave.is_done() && now_ms < 10 * remaining_ms {
        let runs_service_tasks = |index: usize| index >= count - service_count;
        for (index, vm) in all.iter().enumerate() {
            let Some(drain_from_ms) = drain_started_at_ms.get(vm) else {
                continue;
            };
            if !runs_service_tasks(index) && now_ms >= drain_from_ms + 1000 {
                drained.insert(vm.clone());
            } else if runs_service_tasks(index)
                && !drained.contains(vm)
                && now_ms >= next_service_drain_ms
            {
                drained.insert(vm.clone());
                next_service_drain_ms = now_ms + SERVICE_DRAIN_MS;
            }
        }
        let list = all.iter().enumerate().map(|(index, vm)| {
            let state = WaveVm {
                is_up: up_at_ms.get(vm).is_none_or(|at_ms| now_ms >= *at_ms),
                is_drained: drained.contains(vm),
                runs_service_tasks: runs_service_tasks(index) && !drained.contains(vm),
                ..busy()
            };
            (vm.clone(), state)
        });
        let actions = wave.next_actions(&list.collect(), now_ms);
        for vm in actions.drain {
            drain_started_at_ms.entry(vm).or_insert(now_ms);
        }
        for vm in actions.maintain {
            up_at_ms.insert(vm.clone(), now_ms + MAINTENANCE_MS);
            wave.record_outcome(&vm, VmCommandOutcome::Started, now_ms);
        }
        now_ms += 300;
    }
    now_ms
}

#[test]
fn a_wave_meets_its_deadline_although_service_tasks_move_one_after_another() {
    let check = |count, service_count, max_down, remaining_ms| {
        let done_ms = simulate_service_wave(count, service_count, max_down, remaining_ms);
        assert!(
            done_ms <= remaining_ms,
            "{service_count} of {count} VMs with service tasks: done at {done_ms} of {remaining_ms} ms"
        );
    };
    check(160, 10, 20, 26_000);
    check(60, 12, 20, 26_000);
    check(20, 10, 9, 25_000);
}

#[test]
fn a_command_that_was_not_sent_leaves_its_vm_to_be_drained_again() {
    let mut wave = new_wave(names(1), 1, 20_000);
    let vms = names(1);
    let vm = vms[0].clone();
    let list = |is_drained| {
        let state = WaveVm {
            is_drained,
            ..busy()
        };
        BTreeMap::from([(vm.clone(), state)])
    };
    assert_eq!(wave.next_actions(&list(false), 0).drain, vms);
    assert_eq!(wave.next_actions(&list(true), 500).maintain, vms);
    wave.record_not_sent(&vm, 600);
    assert_eq!(wave.down_count(), 0);
    assert_eq!(wave.next_actions(&list(false), 1200).drain, vms);
    // After a command whose outcome is unknown, the VM may be down, and the command is repeated.
    assert_eq!(wave.next_actions(&list(true), 1700).maintain, vms);
    wave.record_outcome(&vm, VmCommandOutcome::Unknown, 1800);
    assert_eq!(wave.next_actions(&list(true), 2200).maintain, vms);
    wave.record_not_sent(&vm, 2300);
    assert_eq!(wave.down_count(), 1);
    assert_eq!(wave.next_actions(&list(true), 2700).maintain, vms);
}

#[test]
fn a_deadline_beyond_the_range_of_times_is_far_away() {
    let mut wave = new_wave(names(4), 1, u64::MAX);
    let list = names(4).into_iter().map(|vm| (vm, busy())).collect();
    // No time presses, so that no more than one busy VM is drained at a time.
    assert_eq!(wave.next_actions(&list, 1000).drain.len(), 1);
}

#[test]
fn a_repeated_command_without_effect_leaves_the_outcome_of_the_first_one_unknown() {
    let mut wave = new_wave(names(2), 1, 30_000);
    let idle = WaveVm {
        is_drained: true,
        is_idle: true,
        ..busy()
    };
    let list: BTreeMap<_, _> = names(2).into_iter().map(|vm| (vm, idle.clone())).collect();
    let maintain = |wave: &mut MaintenanceWave, now_ms| wave.next_actions(&list, now_ms).maintain;
    assert!(maintain(&mut wave, 0).is_empty());
    let first = maintain(&mut wave, 300);
    assert_eq!(first.len(), 1);
    wave.record_outcome(&first[0], VmCommandOutcome::Unknown, 1100);
    assert_eq!(maintain(&mut wave, 1500), first, "the command is repeated");
    wave.record_outcome(&first[0], VmCommandOutcome::WithoutEffect, 1500);
    assert_eq!(
        wave.down_count(),
        1,
        "the VM may be down by the first command"
    );
    assert!(maintain(&mut wave, 1600).is_empty());
    assert_eq!(maintain(&mut wave, 1900), first);
}
