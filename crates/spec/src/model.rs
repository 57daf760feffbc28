//! Visits all states of a model, breadth first, so that a trace to a fault is a shortest one.

use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A protocol as states and steps.
pub trait Model {
    /// A state of all parties and of what is under way between them.
    type State: Clone + Debug + Eq + Hash;

    /// The first state.
    fn first(&self) -> Self::State;

    /// All states that one step leads to.
    fn next(&self, state: &Self::State) -> Vec<Self::State>;

    /// What is wrong with a state, if anything is.
    fn fault(&self, state: &Self::State) -> Option<&'static str>;
}

/// The result of a check.
#[derive(Debug)]
pub struct Checked<S> {
    /// States visited.
    pub states: usize,
    /// A shortest way to a fault.
    pub trace: Option<Vec<S>>,
}

/// Visits all states of `model`, or those before the first fault.
pub fn check<M: Model>(model: &M) -> Checked<M::State> {
    let next = |state: &M::State| model.next(state);
    let trace = bfs(&model.first(), next, |state| model.fault(state).is_some());
    let states = bfs_reach(model.first(), |state| model.next(state)).count();
    Checked { states, trace }
}
