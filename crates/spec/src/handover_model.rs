//! One job that is submitted at daemons with different configurations, which assign its queue to pools in turn. Explores the
//! shipped decisions of [`ownership::Assignment`].
//!
//! Each submission may pause between any two of its steps, for as long as the others take. So a pause before a write is also a
//! write that takes effect late, and a submission that never goes on is a daemon that has crashed.

use std::collections::BTreeSet;

use ownership::{Assignment, CopyStep, Intake};
use smol_str::SmolStr;

use crate::model::Model;

/// The pools. Configurations with odd epochs assign the queue to the first one, all others to the second one.
const POOLS: [&str; 2] = ["a", "b"];

/// The epochs of the configurations that the daemons of the submissions have.
const EPOCHS: [u64; 4] = [1, 2, 2, 3];

/// A rule that can be left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandoverRule {
    /// A pool records a job on the condition that its copy of the assignment has the version that the submission has read.
    RecordsOnCondition,
    /// The previous pools get the copy before the pool itself does.
    PreviousPoolsFirst,
    /// A submission looks for the job in the previous pools.
    SearchesPreviousPools,
}

/// The protocol, with all rules or without one of them.
#[derive(Debug, Clone, Copy, Default)]
pub struct HandoverModel {
    /// The rule left out.
    pub without: Option<HandoverRule>,
}

/// A row with an assignment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Stored {
    assignment: Option<Assignment>,
    version: u8,
}

impl Stored {
    /// Writes the row if it has the version `expected`. Returns whether it had.
    fn write(&mut self, assignment: &Assignment, expected: u8) -> bool {
        let is_met = self.version == expected;
        if is_met {
            self.assignment = Some(assignment.clone());
            self.version += 1;
        }
        is_met
    }
}

/// The next step of a submission.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Step {
    /// Reads the copy of the pool that should record the job.
    ReadCopy { pool: SmolStr, epoch: u64 },
    /// Reads the assignment itself.
    ReadAssignment { pool: SmolStr, epoch: u64 },
    /// Replaces the assignment that has the version `expected`.
    Assign { next: Assignment, expected: u8 },
    /// Reads the copy of the pool with the position `at` in the order of copying.
    ReadTarget { assignment: Assignment, at: usize },
    /// Replaces that copy, which has the version `expected`.
    Copy {
        assignment: Assignment,
        at: usize,
        expected: u8,
    },
    /// Looks for the job in the previous pools.
    Search {
        pool: SmolStr,
        previous_pools: BTreeSet<SmolStr>,
        version: u8,
    },
    /// Records the job.
    Record { pool: SmolStr, version: u8 },
    /// Has recorded the job, found it, or found that the pool doesn't record it.
    Ended,
}

/// A state of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    assignment: Stored,
    copies: [Stored; 2],
    is_recorded: [bool; 2],
    submissions: [Step; EPOCHS.len()],
}

fn index(pool: &str) -> usize {
    usize::from(pool == POOLS[1])
}

fn read_assignment(stored: &Stored, pool: &SmolStr, epoch: u64) -> Step {
    let assign = |next| Step::Assign {
        next,
        expected: stored.version,
    };
    let Some(current) = &stored.assignment else {
        return assign(Assignment::first(pool.clone(), epoch));
    };
    let keep = Step::ReadTarget {
        assignment: current.clone(),
        at: 0,
    };
    current.replaced_by(pool, epoch).map_or(keep, assign)
}

impl HandoverModel {
    fn has(self, rule: HandoverRule) -> bool {
        self.without != Some(rule)
    }

    /// The pools in the order in which the assignment is copied to them.
    fn targets(self, assignment: &Assignment) -> Vec<&SmolStr> {
        let mut targets: Vec<_> = assignment.previous_pools.iter().collect();
        targets.push(&assignment.pool);
        if !self.has(HandoverRule::PreviousPoolsFirst) {
            targets.reverse();
        }
        targets
    }

    /// The step after the copy with the position `at`.
    fn after_copy(self, assignment: &Assignment, at: usize, state: &State) -> Step {
        if at + 1 < self.targets(assignment).len() {
            return Step::ReadTarget {
                assignment: assignment.clone(),
                at: at + 1,
            };
        }
        Step::Search {
            pool: assignment.pool.clone(),
            previous_pools: assignment.previous_pools.clone(),
            version: state.copies[index(&assignment.pool)].version,
        }
    }

    /// Takes a step of a submission. Returns its next one.
    fn take(self, step: &Step, state: &mut State) -> Step {
        match step {
            Step::ReadCopy { pool, epoch } => {
                let copy = &state.copies[index(pool)];
                match Intake::new(copy.assignment.as_ref(), pool, *epoch) {
                    Intake::Open(assignment) => Step::Search {
                        pool: pool.clone(),
                        previous_pools: assignment.previous_pools.clone(),
                        version: copy.version,
                    },
                    Intake::MovedTo(newer) => Step::ReadCopy {
                        pool: newer.pool.clone(),
                        epoch: newer.epoch,
                    },
                    Intake::Unassigned => Step::ReadAssignment {
                        pool: pool.clone(),
                        epoch: *epoch,
                    },
                }
            }
            Step::ReadAssignment { pool, epoch } => {
                read_assignment(&state.assignment, pool, *epoch)
            }
            Step::Assign { next, expected } => {
                if state.assignment.write(next, *expected) {
                    Step::ReadTarget {
                        assignment: next.clone(),
                        at: 0,
                    }
                } else {
                    Step::ReadAssignment {
                        pool: next.pool.clone(),
                        epoch: next.epoch,
                    }
                }
            }
            Step::ReadTarget { assignment, at } => {
                let copy = &state.copies[index(self.targets(assignment)[*at])];
                match assignment.copy_step(copy.assignment.as_ref()) {
                    CopyStep::Outdated => Step::ReadCopy {
                        pool: assignment.pool.clone(),
                        epoch: assignment.epoch,
                    },
                    CopyStep::Done => self.after_copy(assignment, *at, state),
                    CopyStep::Write => Step::Copy {
                        assignment: assignment.clone(),
                        at: *at,
                        expected: copy.version,
                    },
                }
            }
            Step::Copy {
                assignment,
                at,
                expected,
            } => {
                let target = index(self.targets(assignment)[*at]);
                if state.copies[target].write(assignment, *expected) {
                    self.after_copy(assignment, *at, state)
                } else {
                    Step::ReadTarget {
                        assignment: assignment.clone(),
                        at: *at,
                    }
                }
            }
            Step::Search {
                pool,
                previous_pools,
                version,
            } => {
                let mut previous = previous_pools.iter();
                let is_found = previous.any(|pool| state.is_recorded[index(pool)]);
                if is_found && self.has(HandoverRule::SearchesPreviousPools) {
                    return Step::Ended;
                }
                Step::Record {
                    pool: pool.clone(),
                    version: *version,
                }
            }
            Step::Record { pool, version } => {
                let copy = &state.copies[index(pool)];
                if copy.version == *version || !self.has(HandoverRule::RecordsOnCondition) {
                    state.is_recorded[index(pool)] = true;
                }
                Step::Ended
            }
            Step::Ended => Step::Ended,
        }
    }
}

impl Model for HandoverModel {
    type State = State;

    fn first(&self) -> State {
        State {
            assignment: Stored::default(),
            copies: [Stored::default(), Stored::default()],
            is_recorded: [false; 2],
            submissions: EPOCHS.map(|epoch| Step::ReadCopy {
                pool: POOLS[usize::from(epoch % 2 == 0)].into(),
                epoch,
            }),
        }
    }

    fn next(&self, state: &State) -> Vec<State> {
        let submissions = state.submissions.iter().enumerate();
        let unfinished = submissions.filter(|(_, step)| **step != Step::Ended);
        let next = unfinished.map(|(number, step)| {
            let mut next = state.clone();
            next.submissions[number] = self.take(step, &mut next);
            next
        });
        next.collect()
    }

    fn fault(&self, state: &State) -> Option<&'static str> {
        (state.is_recorded == [true; 2]).then_some("a job is recorded in two pools")
    }
}
