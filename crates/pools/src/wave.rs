//! A maintenance wave: each of its VMs is maintained once, with a limit on how many are down at the same time.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

/// The state of a VM in one listing of the fleet, as far as it matters to maintenance waves.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
pub struct WaveVm {
    /// Whether the VM is up and no command on the VM is in progress. A VM on standby counts as up, although the VM is
    /// off.
    pub is_up: bool,
    /// Whether the VM is in a standby pool, where VMs stay off and run no tasks until they are moved.
    pub is_standby: bool,
    /// Whether the VM runs no tasks and is assigned none, for example because its pool granted a drain lease.
    pub is_drained: bool,
    /// Whether the VM runs no task at the moment.
    pub is_idle: bool,
    /// Whether the VM runs a service task.
    pub runs_service_tasks: bool,
}

/// The outcome of a command to a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmCommandOutcome {
    /// The operation has started, through this command or an earlier one.
    Started,
    /// The operation has not started, and no earlier command has started it; the command may be sent again later.
    Busy,
    /// The command had no effect, as it was not sent or was refused unread. An earlier one may have had an effect.
    WithoutEffect,
    /// The outcome is unknown, because no response arrived: the operation may have started, or may still start.
    Unknown,
    /// The operation can never start, for example because the VM is not part of the maintenance wave.
    Impossible,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MaintenanceStage {
    Waiting {
        not_before_ms: u64,
    },
    Draining,
    CommandSent {
        /// Whether the outcome of an earlier command is unknown.
        is_repeated: bool,
    },
    OutcomeUnknown {
        not_before_ms: u64,
    },
    Started {
        started_at_ms: u64,
    },
    Ended,
}

/// The next actions of a maintenance wave.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WaveActions {
    /// The VMs to drain, including those whose drain is in progress and those to which a command may be under way.
    pub drain: Vec<SmolStr>,
    /// The VMs to send a maintenance command to.
    pub maintain: Vec<SmolStr>,
}

/// How long a VM that was found busy or not up is left out before it may be drained again. A VM is busy during a move,
/// which takes 1.5 s.
const BUSY_RETRY_DELAY_MS: u64 = 500;

/// How long after a command whose outcome is unknown the command is sent again.
const UNKNOWN_OUTCOME_RETRY_DELAY_MS: u64 = 300;

/// How long it takes to drain a busy VM: its longest batch task, and the start of a service task on another VM.
const DRAIN_MS: u64 = 3000;

/// From the start of the wave, at least one in this many of the remaining VMs that run service tasks is being drained,
/// as far as the limit on drains allows. Service tasks move one after another, in 1 s to 2 s each, so the last of these
/// VMs would miss the deadline if they were drained after the others.
const SERVICE_VM_DRAIN_DIVISOR: usize = 8;

/// The part of the time until the deadline that a wave is planned to take, in percent. The rest absorbs failures and
/// retries.
const PLANNED_TIME_PERCENT: u64 = 55;

/// The progress of a maintenance wave.
///
/// VMs that are off or idle are maintained as soon as possible. Busy VMs are drained only as fast as the deadline
/// requires, because every drained VM takes capacity from its pool.
#[derive(Debug, Clone)]
pub struct MaintenanceWave {
    max_down: usize,
    maintenance_ms: u64,
    /// When the wave is planned to be done, on the clock of the caller.
    planned_end_ms: u64,
    stages: BTreeMap<SmolStr, MaintenanceStage>,
}

impl MaintenanceWave {
    /// Creates a wave over `vms`.
    ///
    /// The maintenance of the VMs in `started` counts as ended. At most `max_down` VMs are down at the same time; 0
    /// counts as 1. The maintenance of a VM takes `maintenance_ms`, and the deadline of the wave is `remaining_ms`
    /// after `now_ms`. The caller has to use the same clock for `now_ms` in all calls.
    #[must_use]
    pub fn new(
        vms: impl IntoIterator<Item = SmolStr>,
        started: &BTreeSet<SmolStr>,
        max_down: usize,
        maintenance_ms: u64,
        now_ms: u64,
        remaining_ms: u64,
    ) -> Self {
        let initial_stage = |vm: &SmolStr| {
            if started.contains(vm) {
                MaintenanceStage::Ended
            } else {
                MaintenanceStage::Waiting { not_before_ms: 0 }
            }
        };
        Self {
            max_down: max_down.max(1),
            maintenance_ms,
            planned_end_ms: now_ms
                .saturating_add(remaining_ms.saturating_mul(PLANNED_TIME_PERCENT) / 100),
            stages: vms
                .into_iter()
                .map(|vm| (vm.clone(), initial_stage(&vm)))
                .collect(),
        }
    }

    /// Returns the VMs whose maintenance has started or ended, including the VMs that get none: VMs that were removed
    /// from the fleet before a command was sent, and VMs whose maintenance is impossible.
    pub fn started_vms(&self) -> impl Iterator<Item = &SmolStr> {
        let started = self.stages.iter().filter(|(_, stage)| {
            matches!(
                stage,
                MaintenanceStage::Started { .. } | MaintenanceStage::Ended
            )
        });
        started.map(|(vm, _)| vm)
    }

    /// Returns whether the maintenance of every VM of the wave has started or ended. VMs that were removed from the
    /// fleet before a command was sent, and VMs whose maintenance is impossible, count as ended.
    #[must_use]
    pub fn is_done(&self) -> bool {
        let mut stages = self.stages.values();
        stages.all(|stage| {
            matches!(
                stage,
                MaintenanceStage::Started { .. } | MaintenanceStage::Ended
            )
        })
    }

    /// Returns whether a VM is being drained for the wave, or is or may be down for the wave.
    #[must_use]
    pub fn is_in_progress(&self, vm: &str) -> bool {
        let stage = self.stages.get(vm);
        stage.is_some_and(|stage| {
            !matches!(
                stage,
                MaintenanceStage::Waiting { .. } | MaintenanceStage::Ended
            )
        })
    }

    /// Returns whether a VM still has to be drained for the wave.
    #[must_use]
    pub fn is_waiting(&self, vm: &str) -> bool {
        matches!(self.stages.get(vm), Some(MaintenanceStage::Waiting { .. }))
    }

    /// Returns how many VMs of the wave are or may be down.
    #[must_use]
    pub fn down_count(&self) -> usize {
        let down = self.stages.values().filter(|stage| {
            matches!(
                stage,
                MaintenanceStage::CommandSent { .. }
                    | MaintenanceStage::OutcomeUnknown { .. }
                    | MaintenanceStage::Started { .. }
            )
        });
        down.count()
    }

    /// Updates the wave from a listing of the fleet, and returns the next actions.
    ///
    /// Each returned maintenance command counts as sent, and its VM as down, until the outcome is reported with
    /// [`MaintenanceWave::record_outcome`].
    pub fn next_actions(&mut self, list: &BTreeMap<SmolStr, WaveVm>, now_ms: u64) -> WaveActions {
        self.apply_vm_list(list, now_ms);
        let mut actions = WaveActions::default();
        let mut free_capacity = self.max_down.saturating_sub(self.down_count());
        for (vm, stage) in &mut self.stages {
            let is_due = match *stage {
                MaintenanceStage::Draining => {
                    list.get(vm).is_some_and(|vm| vm.is_drained && vm.is_up) && free_capacity > 0
                }
                MaintenanceStage::OutcomeUnknown { not_before_ms } => {
                    // A VM that is up may have been given tasks again since the last command.
                    let is_empty = list.get(vm).is_none_or(|vm| vm.is_drained || !vm.is_up);
                    now_ms >= not_before_ms && is_empty
                }
                _ => false,
            };
            if is_due {
                free_capacity -= usize::from(*stage == MaintenanceStage::Draining);
                let is_repeated = *stage != MaintenanceStage::Draining;
                *stage = MaintenanceStage::CommandSent { is_repeated };
                actions.maintain.push(vm.clone());
            }
        }
        self.select_vms_to_drain(list, now_ms);
        let unknown = self.stages.iter().filter(|(_, stage)| {
            matches!(
                stage,
                MaintenanceStage::CommandSent { .. } | MaintenanceStage::OutcomeUnknown { .. }
            )
        });
        let drain = self.draining().chain(unknown.map(|(vm, _)| vm));
        actions.drain = drain.cloned().collect();
        actions
    }

    /// Returns the VMs that are being drained.
    fn draining(&self) -> impl Iterator<Item = &SmolStr> {
        let draining = self
            .stages
            .iter()
            .filter(|(_, stage)| **stage == MaintenanceStage::Draining);
        draining.map(|(vm, _)| vm)
    }

    /// Selects the VMs to drain next. VMs are drained while others are down, so that the wave does not wait for drains;
    /// at most `2 * max_down` VMs are down or being drained.
    fn select_vms_to_drain(&mut self, list: &BTreeMap<SmolStr, WaveVm>, now_ms: u64) {
        let draining = self.draining().count();
        let mut free_capacity = (2 * self.max_down).saturating_sub(self.down_count() + draining);
        let waiting = self.stages.iter().filter(|(_, stage)| match stage {
            MaintenanceStage::Waiting { not_before_ms } => now_ms >= *not_before_ms,
            _ => false,
        });
        let listed = waiting.filter_map(|(vm, _)| Some((vm, list.get(vm).filter(|vm| vm.is_up)?)));
        let (idle, busy): (Vec<_>, Vec<_>) =
            listed.partition(|(_, listed)| listed.is_standby || listed.is_idle);
        let idle: Vec<SmolStr> = idle.into_iter().map(|(vm, _)| vm.clone()).collect();
        let (with_service_tasks, batch_only): (Vec<_>, Vec<_>) = busy
            .into_iter()
            .partition(|(_, listed)| listed.runs_service_tasks);
        let listed_draining = self.draining().filter_map(|vm| list.get(vm));
        let service_draining = listed_draining.filter(|vm| vm.runs_service_tasks).count();
        let service_required =
            (with_service_tasks.len() + service_draining).div_ceil(SERVICE_VM_DRAIN_DIVISOR);
        let service_additional = service_required.saturating_sub(service_draining);
        let service_additional = service_additional.min(with_service_tasks.len());
        let busy = with_service_tasks.into_iter().chain(batch_only);
        let busy: Vec<SmolStr> = busy.map(|(vm, _)| vm.clone()).collect();
        let busy_draining = draining.saturating_sub(self.idle_draining_count(list));
        let required = self.required_concurrent_drains(busy.len() + busy_draining, now_ms);
        let additional = required
            .saturating_sub(busy_draining)
            .max(service_additional);
        let busy = busy.into_iter().take(additional);
        for vm in idle.into_iter().chain(busy) {
            if free_capacity == 0 {
                return;
            }
            free_capacity -= 1;
            self.stages.insert(vm, MaintenanceStage::Draining);
        }
    }

    /// Returns how many of the VMs that are being drained run no task.
    fn idle_draining_count(&self, list: &BTreeMap<SmolStr, WaveVm>) -> usize {
        let listed = self.draining().filter_map(|vm| list.get(vm));
        listed
            .filter(|vm| vm.is_standby || vm.is_idle || vm.is_drained)
            .count()
    }

    /// Returns how many of `busy` VMs have to be drained at the same time for the wave to meet its planned end.
    fn required_concurrent_drains(&self, busy: usize, now_ms: u64) -> usize {
        let remaining_ms = self.planned_end_ms.saturating_sub(now_ms).max(1);
        let each_ms = DRAIN_MS + self.maintenance_ms;
        let busy = u64::try_from(busy).unwrap_or(u64::MAX);
        usize::try_from(busy.saturating_mul(each_ms).div_ceil(remaining_ms)).unwrap_or(usize::MAX)
    }

    /// Applies a listing of the fleet: ends the maintenance of VMs that are up again or were removed, but not earlier
    /// than `maintenance_ms` after its start; ends the wait and the drain of VMs that were removed; and interrupts the
    /// drain of VMs that are not up.
    fn apply_vm_list(&mut self, list: &BTreeMap<SmolStr, WaveVm>, now_ms: u64) {
        for (vm, stage) in &mut self.stages {
            let listed = list.get(vm);
            match *stage {
                MaintenanceStage::Started { started_at_ms } => {
                    let is_back = listed.is_none_or(|vm| vm.is_up);
                    if is_back && now_ms >= started_at_ms + self.maintenance_ms {
                        *stage = MaintenanceStage::Ended;
                    }
                }
                // A VM that is no longer listed was removed from the fleet.
                MaintenanceStage::Waiting { .. } | MaintenanceStage::Draining
                    if listed.is_none() =>
                {
                    *stage = MaintenanceStage::Ended;
                }
                MaintenanceStage::Draining if listed.is_some_and(|vm| !vm.is_up) => {
                    let not_before_ms = now_ms + BUSY_RETRY_DELAY_MS;
                    *stage = MaintenanceStage::Waiting { not_before_ms };
                }
                _ => {}
            }
        }
    }

    /// Records that a maintenance command returned by [`MaintenanceWave::next_actions`] was not sent: its VM is drained
    /// again, or, if the outcome of an earlier command is unknown, the command is repeated later.
    pub fn record_not_sent(&mut self, vm: &str, now_ms: u64) {
        if let Some(stage) = self.stages.get_mut(vm)
            && let MaintenanceStage::CommandSent { is_repeated } = *stage
        {
            *stage = if is_repeated {
                let not_before_ms = now_ms + UNKNOWN_OUTCOME_RETRY_DELAY_MS;
                MaintenanceStage::OutcomeUnknown { not_before_ms }
            } else {
                let not_before_ms = now_ms + BUSY_RETRY_DELAY_MS;
                MaintenanceStage::Waiting { not_before_ms }
            };
        }
    }

    /// Records the outcome of a maintenance command to a VM. Does nothing for a VM that is not part of the wave.
    pub fn record_outcome(&mut self, vm: &str, outcome: VmCommandOutcome, now_ms: u64) {
        if outcome == VmCommandOutcome::WithoutEffect {
            return self.record_not_sent(vm, now_ms);
        }
        let Some(stage) = self.stages.get_mut(vm) else {
            return;
        };
        *stage = match outcome {
            VmCommandOutcome::Started => MaintenanceStage::Started {
                started_at_ms: now_ms,
            },
            VmCommandOutcome::Busy | VmCommandOutcome::WithoutEffect => MaintenanceStage::Waiting {
                not_before_ms: now_ms + BUSY_RETRY_DELAY_MS,
            },
            VmCommandOutcome::Unknown => MaintenanceStage::OutcomeUnknown {
                not_before_ms: now_ms + UNKNOWN_OUTCOME_RETRY_DELAY_MS,
            },
            VmCommandOutcome::Impossible => MaintenanceStage::Ended,
        };
    }
}
