//! Waves: each VM once, never more down than allowed, in time.

use std::collections::{BTreeMap, BTreeSet};

use pools::{OrderResult, Wave, WaveVm};
use smol_str::{SmolStr, format_smolstr};

const MAINTENANCE_MS: u64 = 2000;

fn names(count: usize) -> Vec<SmolStr> {
    (0..count).map(|vm| format_smolstr!("vm-{vm:02}")).collect()
}

/// A wave of which nothing has begun.
fn new_wave(vms: Vec<SmolStr>, most_down: usize, left_ms: u64) -> Wave {
    let begun = BTreeSet::new();
    Wave::new(vms, &begun, most_down, MAINTENANCE_MS, 0, left_ms)
}

fn busy() -> WaveVm {
    WaveVm {
        is_up: true,
        is_standby: false,
        is_empty: false,
        is_idle: false,
        is_steady: false,
    }
}

/// Plays a wave over busy VMs, each empty 1 s after it was asked to be; returns when it was done, and the most that
/// were down at once. Every `unanswered`th order gets no answer at first.
fn play(count: usize, most_down: usize, left_ms: u64, unanswered: usize) -> (u64, usize) {
    let mut wave = new_wave(names(count), most_down, left_ms);
    let mut asked: BTreeMap<SmolStr, u64> = BTreeMap::new();
    let mut back: BTreeMap<SmolStr, u64> = BTreeMap::new();
    let (mut now_ms, mut most, mut orders) = (0, 0, 0);
    while !wave.is_done() && now_ms < 10 * left_ms {
        let list = names(count).into_iter().map(|vm| {
            let is_up = back.get(&vm).is_none_or(|at_ms| now_ms >= *at_ms);
            let is_empty = asked.get(&vm).is_some_and(|at_ms| now_ms >= at_ms + 1000);
            (
                vm,
                WaveVm {
                    is_up,
                    is_empty,
                    ..busy()
                },
            )
        });
        let next = wave.next(&list.collect(), now_ms);
        for vm in next.empty {
            asked.entry(vm).or_insert(now_ms);
        }
        for vm in next.order {
            orders += 1;
            let is_lost = unanswered > 0 && orders % unanswered == 0;
            back.entry(vm.clone()).or_insert(now_ms + MAINTENANCE_MS);
            let result = if is_lost {
                OrderResult::Unanswered
            } else {
                OrderResult::Begun
            };
            wave.ordered(&vm, result, now_ms);
        }
        most = most.max(back.values().filter(|at_ms| now_ms < **at_ms).count());
        now_ms += 100;
    }
    (now_ms, most)
}

#[test]
fn a_wave_of_busy_vms_is_done_in_time_and_under_its_cap() {
    for (count, most_down, unanswered) in
        [(1, 1, 0), (22, 8, 0), (22, 8, 3), (24, 9, 2), (10, 1, 0)]
    {
        let (done_ms, most) = play(count, most_down, 34_000, unanswered);
        assert!(done_ms <= 34_000, "{count} VMs took {done_ms} ms");
        assert!(most <= most_down, "{most} of {most_down} were down");
    }
}

#[test]
fn idle_vms_are_taken_before_busy_ones_are_emptied() {
    let mut wave = Wave::new(names(4), &BTreeSet::new(), 2, MAINTENANCE_MS, 0, 60_000);
    let list = names(4).into_iter().enumerate().map(|(place, vm)| {
        let is_idle = place >= 2;
        (vm, WaveVm { is_idle, ..busy() })
    });
    let empty = wave.next(&list.collect(), 0).empty;
    assert!(empty.contains(&"vm-02".into()) && empty.contains(&"vm-03".into()));
    assert!(empty.len() <= 3);
}

#[test]
fn a_vm_that_has_left_is_not_waited_for() {
    let mut wave = Wave::new(names(2), &BTreeSet::new(), 1, MAINTENANCE_MS, 0, 30_000);
    let _ = wave.next(&BTreeMap::new(), 0);
    assert!(wave.is_done());
}

#[test]
fn an_order_without_an_answer_counts_as_down_until_it_is_answered() {
    let mut wave = Wave::new(names(2), &BTreeSet::new(), 1, MAINTENANCE_MS, 0, 5000);
    let empty = WaveVm {
        is_empty: true,
        is_idle: true,
        ..busy()
    };
    let list: BTreeMap<_, _> = names(2).into_iter().map(|vm| (vm, empty.clone())).collect();
    let _ = wave.next(&list, 0);
    let ordered = wave.next(&list, 100).order;
    assert_eq!(ordered.len(), 1);
    wave.ordered(&ordered[0], OrderResult::Unanswered, 100);
    assert_eq!(wave.next(&list, 200).order, Vec::<SmolStr>::new());
    assert_eq!(wave.next(&list, 500).order, ordered);
}

/// How long it takes to move the lasting tasks of one VM elsewhere, which happens to one VM after another.
const STEADY_MOVE_MS: u64 = 2000;

/// When a wave is done over busy VMs of which the last `steady` have lasting tasks. The others are empty 1 s after they
/// were asked to be.
fn play_steady(count: usize, steady: usize, most_down: usize, left_ms: u64) -> u64 {
    let all = names(count);
    let mut wave = new_wave(all.clone(), most_down, left_ms);
    let mut asked: BTreeMap<SmolStr, u64> = BTreeMap::new();
    let mut back: BTreeMap<SmolStr, u64> = BTreeMap::new();
    let mut emptied: BTreeSet<SmolStr> = BTreeSet::new();
    let mut next_move_ms = 0;
    let mut now_ms = 0;
    while !wave.is_done() && now_ms < 10 * left_ms {
        let is_steady = |index: usize| index >= count - steady;
        for (index, vm) in all.iter().enumerate() {
            let Some(asked_ms) = asked.get(vm) else {
                continue;
            };
            if !is_steady(index) && now_ms >= asked_ms + 1000 {
                emptied.insert(vm.clone());
            } else if is_steady(index) && !emptied.contains(vm) && now_ms >= next_move_ms {
                emptied.insert(vm.clone());
                next_move_ms = now_ms + STEADY_MOVE_MS;
            }
        }
        let list = all.iter().enumerate().map(|(index, vm)| {
            let state = WaveVm {
                is_up: back.get(vm).is_none_or(|at_ms| now_ms >= *at_ms),
                is_empty: emptied.contains(vm),
                is_steady: is_steady(index) && !emptied.contains(vm),
                ..busy()
            };
            (vm.clone(), state)
        });
        let next = wave.next(&list.collect(), now_ms);
        for vm in next.empty {
            asked.entry(vm).or_insert(now_ms);
        }
        for vm in next.order {
            back.insert(vm.clone(), now_ms + MAINTENANCE_MS);
            wave.ordered(&vm, OrderResult::Begun, now_ms);
        }
        now_ms += 300;
    }
    now_ms
}

#[test]
fn a_wave_is_in_time_although_lasting_tasks_move_one_after_another() {
    let check = |count, steady, most_down, left_ms| {
        let done_ms = play_steady(count, steady, most_down, left_ms);
        assert!(
            done_ms <= left_ms,
            "{steady} of {count} VMs with lasting tasks: done at {done_ms} of {left_ms} ms"
        );
    };
    check(160, 10, 20, 26_000);
    check(60, 12, 20, 26_000);
    check(20, 10, 9, 25_000);
}
