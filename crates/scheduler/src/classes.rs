//! Classes of ready steps that ask the same of a worker, so that a round looks at each class once (the equivalence classes
//! of Verma et al., "Large-scale cluster management at Google with Borg", 2015, section 3.4).

use std::collections::{BTreeSet, HashMap};

use smol_str::SmolStr;
use submission::{Job, Resources};

use crate::ready::{Rank, StepKey};
use crate::scheduler::Scheduler;

/// What the steps of a class ask of workers. If a task of one of them fits nowhere, no task of the others does.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Class {
    pub(crate) required_label: SmolStr,
    /// What a task needs, by which the limit of a team is checked.
    needs: Resources,
    /// What a task reserves on a worker.
    pub(crate) footprint: Resources,
    /// The number of tasks of a gang; 0 for steps that are no gangs.
    gang_tasks: u32,
}

/// Ready steps by rank, of which a round visits the first one of each class. Steps without a class are visited one by one.
#[derive(Debug, Clone, Default)]
pub(crate) struct ClassedSteps {
    all: BTreeSet<(Rank, StepKey)>,
    classes: HashMap<Class, BTreeSet<(Rank, StepKey)>>,
    /// The first step of each class, and the steps without a class.
    heads: BTreeSet<(Rank, StepKey)>,
}

impl ClassedSteps {
    /// Adds a step that is not among the steps.
    pub(crate) fn insert(&mut self, step: (Rank, StepKey), class: Option<&Class>) {
        self.all.insert(step);
        let Some(class) = class else {
            self.heads.insert(step);
            return;
        };
        let members = self.classes.entry(class.clone()).or_default();
        match members.first() {
            Some(first) if *first < step => {}
            first => {
                if let Some(first) = first {
                    self.heads.remove(first);
                }
                self.heads.insert(step);
            }
        }
        members.insert(step);
    }

    /// Removes a step, which was added with this class.
    pub(crate) fn remove(&mut self, step: (Rank, StepKey), class: Option<&Class>) {
        self.all.remove(&step);
        let was_head = self.heads.remove(&step);
        let Some(class) = class else {
            return;
        };
        let Some(members) = self.classes.get_mut(class) else {
            return;
        };
        members.remove(&step);
        match members.first() {
            Some(first) if was_head => {
                self.heads.insert(*first);
            }
            Some(_) => {}
            None => {
                self.classes.remove(class);
            }
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// All steps, lowest rank first.
    pub(crate) fn all(&self) -> &BTreeSet<(Rank, StepKey)> {
        &self.all
    }

    /// The first step of each class and the steps without a class, lowest rank first.
    pub(crate) fn heads(&self) -> &BTreeSet<(Rank, StepKey)> {
        &self.heads
    }
}

impl Scheduler {
    /// The class of a ready step. `None` for a step whose placement depends on more than what it asks for: on where its own
    /// tasks run, on decisions of the policy service, on crashes under its tasks, or on ends of its gang's tasks.
    pub(crate) fn class(&self, job: &Job, key: StepKey) -> Option<Class> {
        let step_index = usize::from(key.step);
        let step = &job.spec().steps[step_index];
        if step.max_per_worker > 0 || self.needs_authorization(job, key) {
            return None;
        }
        let mut idle = 0;
        for index in job.idle_tasks(key.occurrence, step_index) {
            if job.task(index).is_some_and(|task| task.crashes > 0) {
                return None;
            }
            idle += 1;
        }
        if step.is_gang && idle != step.tasks {
            return None;
        }
        Some(Class {
            required_label: step.required_label.clone(),
            needs: step.needs,
            footprint: step.footprint(),
            gang_tasks: if step.is_gang { step.tasks } else { 0 },
        })
    }

    /// Determines the class of a ready step anew, when it may have changed although the step has not.
    pub(crate) fn update_class(&mut self, key: StepKey) {
        if let Some(rank) = self.ready.rank(key) {
            self.ready.by_team.remove(key);
            self.add_to_team(key, rank);
        }
    }

    /// Like [`Self::update_class`], for all ready steps.
    pub(crate) fn update_classes(&mut self) {
        let steps: Vec<_> = self.ready.ranked().map(|(_, step)| step).collect();
        for step in steps {
            self.update_class(step);
        }
    }
}
