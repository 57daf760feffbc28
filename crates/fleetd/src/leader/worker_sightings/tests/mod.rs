//! Which ends of workers are taken for crashes.

use submission::Resources;

use super::*;

const ROUND_MS: u64 = 360;

/// The VM `m`, with a worker.
fn vm(pool: &str, phase: VmPhase, worker: Option<&str>) -> ListedVm {
    ListedVm {
        vm: "m".into(),
        pool: pool.into(),
        phase,
        zone: domain::ZoneId::new("z").unwrap(),
        labels: Vec::new(),
        capacity: Resources::default(),
        worker_id: worker.map(SmolStr::from),
    }
}

fn up(worker: &str) -> ListedVm {
    vm("p", VmPhase::Up, Some(worker))
}

/// The lists of a leader, one in each round.
#[derive(Default)]
struct Lists {
    sightings: WorkerSightings,
    now_ms: u64,
    is_soft_locked: bool,
}

impl Lists {
    fn after(listed: impl IntoIterator<Item = ListedVm>) -> Self {
        let mut lists = Self::default();
        lists.read(listed);
        lists
    }

    fn read(&mut self, listed: impl IntoIterator<Item = ListedVm>) {
        self.now_ms += ROUND_MS;
        let listed: Vec<_> = listed.into_iter().collect();
        let is_soft_locked = self.is_soft_locked;
        self.sightings
            .record_list(&listed, |_| is_soft_locked, self.now_ms);
    }

    fn command(&mut self) {
        self.sightings.record_command("m", false, self.now_ms);
    }

    /// Whether worker `w` of pool `p` is known to have crashed.
    fn has_crashed(&mut self) -> bool {
        self.has_crashed_in("p")
    }

    fn has_crashed_in(&mut self, pool: &str) -> bool {
        self.has_crashed_since(pool, None)
    }

    /// Like [`Lists::has_crashed_in`], for a worker that ran at a time.
    fn has_crashed_since(&mut self, pool: &str, ran_at_ms: Option<u64>) -> bool {
        let worker = UnresponsiveWorker {
            id: "w".into(),
            ran_at_ms,
        };
        let crashed = self.sightings.crashed(&pool.into(), [&worker], self.now_ms);
        !crashed.is_empty()
    }

    /// Plays one round in which worker `w` of pool `p` runs for a moment right after the last list, and reads the next list. Returns
    /// whether the worker is known to have crashed.
    fn crashes_between_lists(&mut self, next: ListedVm) -> bool {
        let ran_at_ms = self.now_ms + 1;
        self.read([next]);
        self.has_crashed_since("p", Some(ran_at_ms))
    }
}

fn down() -> ListedVm {
    vm("p", VmPhase::Down, None)
}

#[test]
fn a_worker_whose_vm_is_down_or_runs_another_worker_has_crashed() {
    for next in [
        vm("p", VmPhase::Down, None),
        vm("p", VmPhase::Down, Some("w")),
        vm("p", VmPhase::Up, None),
        up("next"),
    ] {
        let mut lists = Lists::after([up("w")]);
        assert!(!lists.has_crashed());
        lists.read([next.clone()]);
        assert!(lists.has_crashed(), "{next:?}");
        assert!(!lists.has_crashed_in("other"), "{next:?}");
    }
}

#[test]
fn a_crash_is_known_when_the_owner_notices_it_after_the_vm_was_moved() {
    let mut lists = Lists::after([up("w")]);
    lists.read([vm("p", VmPhase::Down, None)]);
    lists.read([up("next")]);
    lists.command();
    for phase in [VmPhase::Moving, VmPhase::Up] {
        lists.read([vm("other", phase, None)]);
    }
    assert!(lists.has_crashed());
}

#[test]
fn a_worker_whose_vm_is_moving_in_maintenance_in_another_pool_or_gone_is_not_taken_for_crashed() {
    for next in [
        Some(vm("p", VmPhase::Moving, None)),
        Some(vm("p", VmPhase::InMaintenance, Some("w"))),
        Some(vm("other", VmPhase::Up, Some("next"))),
        Some(vm("standby", VmPhase::Down, None)),
        None,
    ] {
        let mut lists = Lists::after([up("w")]);
        lists.read(next.clone());
        assert!(!lists.has_crashed(), "{next:?}");
        lists.read([up("next")]);
        assert!(!lists.has_crashed(), "{next:?}, and it is back");
    }
}

#[test]
fn a_worker_that_no_list_showed_running_is_not_taken_for_crashed() {
    let mut lists = Lists::after([vm("p", VmPhase::Down, Some("w"))]);
    lists.read([up("next")]);
    assert!(!lists.has_crashed());
}

#[test]
fn a_worker_whose_vm_got_a_command_is_not_taken_for_crashed() {
    for next in [vm("p", VmPhase::Down, None), up("next")] {
        let mut lists = Lists::after([up("w")]);
        lists.command();
        // The list is late.
        lists.read([up("w")]);
        lists.read([next.clone()]);
        assert!(!lists.has_crashed(), "{next:?}");
    }
}

#[test]
fn a_worker_whose_vm_may_have_got_a_command_of_another_leader_is_not_taken_for_crashed() {
    for is_locked_until_the_end in [true, false] {
        let mut lists = Lists {
            is_soft_locked: true,
            ..Lists::default()
        };
        lists.read([up("w")]);
        lists.is_soft_locked = is_locked_until_the_end;
        lists.read([up("next")]);
        assert!(!lists.has_crashed(), "{is_locked_until_the_end}");
    }
}

#[test]
fn a_worker_that_outlasts_a_command_and_a_soft_lock_may_crash() {
    let mut lists = Lists {
        is_soft_locked: true,
        ..Lists::default()
    };
    lists.read([up("w")]);
    lists.command();
    lists.is_soft_locked = false;
    lists.now_ms += COMMAND_EFFECT_MS;
    lists.read([up("w")]);
    lists.read([up("next")]);
    assert!(lists.has_crashed());
}

#[test]
fn a_worker_that_restarts_under_its_id_after_a_move_may_crash() {
    let mut lists = Lists::after([up("w")]);
    lists.command();
    lists.read([vm("other", VmPhase::Moving, None)]);
    lists.read([vm("other", VmPhase::Up, Some("w"))]);
    lists.read([vm("other", VmPhase::Down, None)]);
    assert!(lists.has_crashed_in("other"));
    assert!(!lists.has_crashed_in("p"));
}

#[test]
fn ended_workers_are_forgotten_once_their_owner_names_them_no_more() {
    let mut lists = Lists::default();
    for number in 0..1000 {
        lists.read([up(&format!("w-{number}"))]);
    }
    let kept = ENDED_KEPT_MS / ROUND_MS + 2;
    let known = lists.sightings.by_worker.len();
    assert!(u64::try_from(known).unwrap() <= kept, "{known}");

    let mut lists = Lists::after([up("w")]);
    for _ in 0..3 {
        lists.now_ms += ENDED_KEPT_MS / 2;
        lists.read([up("next")]);
        assert!(lists.has_crashed());
    }
    lists.now_ms += ENDED_KEPT_MS;
    lists.read([up("next")]);
    assert!(!lists.has_crashed());
}

/// Guards against BUDGET: a worker that crashed under a task before a list had shown it was not known to have crashed, so that the
/// task was started again without a count.
#[test]
fn a_worker_that_comes_and_crashes_between_two_lists_has_crashed() {
    for next in [down(), vm("p", VmPhase::Up, None), up("next")] {
        let mut lists = Lists::after([down()]);
        assert!(lists.crashes_between_lists(next.clone()), "{next:?}");
        lists.read([up("another")]);
        assert!(
            lists.has_crashed(),
            "{next:?}, and its owner names it again"
        );
        assert!(!lists.has_crashed_in("other"), "{next:?}");
    }
}

/// Guards against the same failure where an earlier incarnation with the id had ended by a command.
#[test]
fn an_incarnation_with_the_id_of_an_earlier_one_that_crashes_between_two_lists_has_crashed() {
    let mut lists = Lists::after([up("w")]);
    lists.command();
    lists.read([vm("p", VmPhase::InMaintenance, None)]);
    assert!(!lists.has_crashed());
    lists.now_ms += COMMAND_EFFECT_MS;
    lists.read([down()]);
    assert!(!lists.has_crashed());
    assert!(lists.crashes_between_lists(down()));
}

#[test]
fn a_worker_without_a_vm_that_it_may_have_run_on_is_not_taken_for_crashed() {
    for next in [
        vm("p", VmPhase::Moving, None),
        vm("p", VmPhase::InMaintenance, None),
        vm("other", VmPhase::Down, None),
        up("old"),
    ] {
        let mut lists = Lists::after([up("old")]);
        assert!(!lists.crashes_between_lists(next.clone()), "{next:?}");
    }
}

#[test]
fn a_worker_that_may_have_ended_by_a_command_before_a_list_showed_it_is_not_taken_for_crashed() {
    for is_outcome_known in [true, false] {
        let mut lists = Lists::after([down()]);
        let ran_at_ms = lists.now_ms + 1;
        lists.now_ms += 2;
        lists
            .sightings
            .record_command("m", is_outcome_known, lists.now_ms);
        lists.read([down()]);
        assert!(!lists.has_crashed_since("p", Some(ran_at_ms)));
    }
    // A command without a known outcome may take effect later.
    let mut lists = Lists::after([down()]);
    lists.command();
    lists.read([down()]);
    assert!(!lists.crashes_between_lists(down()));
    lists.now_ms += COMMAND_EFFECT_MS;
    assert!(lists.crashes_between_lists(down()));
}

#[test]
fn a_command_that_ended_a_listed_worker_does_not_explain_the_end_of_an_unlisted_one() {
    let other = ListedVm {
        vm: "other".into(),
        ..down()
    };
    let mut lists = Lists::after([up("old"), other.clone()]);
    let ran_at_ms = lists.now_ms + 1;
    lists.now_ms += 2;
    lists.sightings.record_command("m", true, lists.now_ms);
    lists.read([vm("p", VmPhase::InMaintenance, None), other]);
    assert!(lists.has_crashed_since("p", Some(ran_at_ms)));
}

#[test]
fn a_worker_that_ran_while_another_leader_may_have_sent_commands_is_not_taken_for_crashed() {
    // Before the first list of this leader.
    let mut lists = Lists::after([down()]);
    let ran_at_ms = Some(lists.now_ms - 1);
    lists.read([down()]);
    assert!(!lists.has_crashed_since("p", ran_at_ms));
    // While a VM is soft-locked.
    let mut lists = Lists::after([down()]);
    lists.is_soft_locked = true;
    assert!(!lists.crashes_between_lists(down()));
}

#[test]
fn a_worker_of_which_no_time_is_known_at_which_it_ran_is_not_taken_for_crashed() {
    let mut lists = Lists::after([down()]);
    lists.read([down()]);
    assert!(!lists.has_crashed_since("p", None));
}
