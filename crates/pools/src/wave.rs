//! A wave: every VM of it is maintained once, with at most so many down at the same time.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

/// A VM of a wave as the list shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
pub struct WaveVm {
    /// Whether it runs, and no order on it is under way.
    pub is_up: bool,
    /// Whether it is off until it is moved, so that nothing runs there.
    pub is_standby: bool,
    /// Whether its pool has promised that nothing runs there, nor will.
    pub is_empty: bool,
    /// Whether nothing runs there at the moment.
    pub is_idle: bool,
    /// Whether a lasting task runs there.
    pub is_steady: bool,
}

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The maintenance has begun, now or before.
    Begun,
    /// Not now.
    Busy,
    /// No answer: it may have begun, or begin later.
    Unanswered,
    /// Never: there is no such VM in the wave.
    Impossible,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Waiting { not_before_ms: u64 },
    Emptying,
    Ordered,
    InDoubt { not_before_ms: u64 },
    Begun { at_ms: u64 },
    Over,
}

/// What to do next.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WaveSteps {
    /// The VMs to empty.
    pub empty: Vec<SmolStr>,
    /// The VMs to order into maintenance.
    pub order: Vec<SmolStr>,
}

/// How long a VM that was busy is left alone. A move takes 1.5 s.
const BUSY_PAUSE_MS: u64 = 500;

/// How long after an order without an answer it is sent again.
const DOUBT_PAUSE_MS: u64 = 300;

/// How long it takes to empty a busy VM: its longest brief task, and a lasting one's start elsewhere.
const EMPTYING_MS: u64 = 3000;

/// The part of the VMs with lasting tasks that is emptied from the start: one in this many. Their tasks are moved one
/// after another, in 1 s to 2 s each, so that the last of them would be late if they waited for the others.
const STEADY_PARTS: usize = 12;

/// The part of a wave's time that it is planned to take, in percent; the rest is for what goes wrong.
const PLANNED_PERCENT: u64 = 55;

/// A wave under way.
///
/// VMs that are off or idle are maintained at once. Busy ones are emptied only as fast as the deadline asks for,
/// because each of them is missed where it works.
#[derive(Debug, Clone)]
pub struct Wave {
    most_down: usize,
    maintenance_ms: u64,
    /// When the planned part of its time is over.
    planned_end_ms: u64,
    steps: BTreeMap<SmolStr, Step>,
}

impl Wave {
    /// A wave over `vms` of which none has begun but those in `begun`, with `left_ms` until its deadline.
    #[must_use]
    pub fn new(
        vms: impl IntoIterator<Item = SmolStr>,
        begun: &BTreeSet<SmolStr>,
        most_down: usize,
        maintenance_ms: u64,
        now_ms: u64,
        left_ms: u64,
    ) -> Self {
        let step = |vm: &SmolStr| {
            if begun.contains(vm) {
                Step::Over
            } else {
                Step::Waiting { not_before_ms: 0 }
            }
        };
        Self {
            most_down: most_down.max(1),
            maintenance_ms,
            planned_end_ms: now_ms + left_ms * PLANNED_PERCENT / 100,
            steps: vms.into_iter().map(|vm| (vm.clone(), step(&vm))).collect(),
        }
    }

    /// The VMs whose maintenance has begun.
    pub fn begun(&self) -> impl Iterator<Item = &SmolStr> {
        let begun = self
            .steps
            .iter()
            .filter(|(_, step)| matches!(step, Step::Begun { .. } | Step::Over));
        begun.map(|(vm, _)| vm)
    }

    /// Whether every VM that stays has begun its maintenance.
    #[must_use]
    pub fn is_done(&self) -> bool {
        let mut steps = self.steps.values();
        steps.all(|step| matches!(step, Step::Begun { .. } | Step::Over))
    }

    /// Whether a VM is being emptied for the wave, or down for it.
    #[must_use]
    pub fn is_under_way(&self, vm: &str) -> bool {
        let step = self.steps.get(vm);
        step.is_some_and(|step| !matches!(step, Step::Waiting { .. } | Step::Over))
    }

    /// How many VMs are down, or may be.
    #[must_use]
    pub fn down(&self) -> usize {
        let down = self.steps.values().filter(|step| {
            matches!(
                step,
                Step::Ordered | Step::InDoubt { .. } | Step::Begun { .. }
            )
        });
        down.count()
    }

    /// The next steps, given the VMs that the list has.
    pub fn next(&mut self, list: &BTreeMap<SmolStr, WaveVm>, now_ms: u64) -> WaveSteps {
        self.note_list(list, now_ms);
        let mut next = WaveSteps::default();
        let mut room = self.most_down.saturating_sub(self.down());
        for (vm, step) in &mut self.steps {
            let is_due = match *step {
                Step::Emptying => {
                    list.get(vm).is_some_and(|vm| vm.is_empty && vm.is_up) && room > 0
                }
                Step::InDoubt { not_before_ms } => now_ms >= not_before_ms,
                _ => false,
            };
            if is_due {
                room -= usize::from(*step == Step::Emptying);
                *step = Step::Ordered;
                next.order.push(vm.clone());
            }
        }
        self.choose(list, now_ms);
        next.empty = self.emptying().cloned().collect();
        next
    }

    /// The VMs that are being emptied.
    fn emptying(&self) -> impl Iterator<Item = &SmolStr> {
        let emptying = self
            .steps
            .iter()
            .filter(|(_, step)| **step == Step::Emptying);
        emptying.map(|(vm, _)| vm)
    }

    /// Chooses the VMs to empty next, while others are down, so that the wave does not wait for them.
    fn choose(&mut self, list: &BTreeMap<SmolStr, WaveVm>, now_ms: u64) {
        let emptying = self.emptying().count();
        let mut free = (2 * self.most_down).saturating_sub(self.down() + emptying);
        let waiting = self.steps.iter().filter(|(_, step)| match step {
            Step::Waiting { not_before_ms } => now_ms >= *not_before_ms,
            _ => false,
        });
        let listed = waiting.filter_map(|(vm, _)| Some((vm, list.get(vm).filter(|vm| vm.is_up)?)));
        let (easy, busy): (Vec<_>, Vec<_>) =
            listed.partition(|(_, listed)| listed.is_standby || listed.is_idle);
        let easy: Vec<SmolStr> = easy.into_iter().map(|(vm, _)| vm.clone()).collect();
        let (steady, brief): (Vec<_>, Vec<_>) =
            busy.into_iter().partition(|(_, listed)| listed.is_steady);
        let under_way = self.emptying().filter_map(|vm| list.get(vm));
        let steady_under_way = under_way.filter(|vm| vm.is_steady).count();
        let steady_asked = (steady.len() + steady_under_way).div_ceil(STEADY_PARTS);
        let steady_more = steady_asked.saturating_sub(steady_under_way);
        let steady_more = steady_more.min(steady.len());
        let busy = steady.into_iter().chain(brief);
        let busy: Vec<SmolStr> = busy.map(|(vm, _)| vm.clone()).collect();
        let busy_under_way = emptying.saturating_sub(self.easy_under_way(list));
        let asked = self.emptied_at_once(busy.len() + busy_under_way, now_ms);
        let more = asked.saturating_sub(busy_under_way).max(steady_more);
        let busy = busy.into_iter().take(more);
        for vm in easy.into_iter().chain(busy) {
            if free == 0 {
                return;
            }
            free -= 1;
            self.steps.insert(vm, Step::Emptying);
        }
    }

    fn easy_under_way(&self, list: &BTreeMap<SmolStr, WaveVm>) -> usize {
        let listed = self.emptying().filter_map(|vm| list.get(vm));
        listed
            .filter(|vm| vm.is_standby || vm.is_idle || vm.is_empty)
            .count()
    }

    /// How many busy VMs have to be emptied at once for all of them to be done in the planned time.
    fn emptied_at_once(&self, busy: usize, now_ms: u64) -> usize {
        let left_ms = self.planned_end_ms.saturating_sub(now_ms).max(1);
        let each_ms = EMPTYING_MS + self.maintenance_ms;
        let busy = u64::try_from(busy).unwrap_or(u64::MAX);
        usize::try_from(busy.saturating_mul(each_ms).div_ceil(left_ms)).unwrap_or(usize::MAX)
    }

    fn note_list(&mut self, list: &BTreeMap<SmolStr, WaveVm>, now_ms: u64) {
        for (vm, step) in &mut self.steps {
            let listed = list.get(vm);
            match *step {
                Step::Begun { at_ms } => {
                    let is_back = listed.is_none_or(|vm| vm.is_up);
                    if is_back && now_ms >= at_ms + self.maintenance_ms {
                        *step = Step::Over;
                    }
                }
                // A VM that is no longer listed has left.
                Step::Waiting { .. } | Step::Emptying if listed.is_none() => *step = Step::Over,
                Step::Emptying if listed.is_some_and(|vm| !vm.is_up) => {
                    let not_before_ms = now_ms + BUSY_PAUSE_MS;
                    *step = Step::Waiting { not_before_ms };
                }
                _ => {}
            }
        }
    }

    /// An order got its answer, or none.
    pub fn ordered(&mut self, vm: &str, result: OrderResult, now_ms: u64) {
        let Some(step) = self.steps.get_mut(vm) else {
            return;
        };
        *step = match result {
            OrderResult::Begun => Step::Begun { at_ms: now_ms },
            OrderResult::Busy => Step::Waiting {
                not_before_ms: now_ms + BUSY_PAUSE_MS,
            },
            OrderResult::Unanswered => Step::InDoubt {
                not_before_ms: now_ms + DOUBT_PAUSE_MS,
            },
            OrderResult::Impossible => Step::Over,
        };
    }
}
