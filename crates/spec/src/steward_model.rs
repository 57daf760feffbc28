//! Two candidates for the steward, one of which may be paused after it has decided to write.

use crate::model::Model;

/// Terms in all, which bounds the model.
const MAX_TERM: u8 = 4;

/// A rule that can be left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StewardRule {
    /// Every write is conditional on the lease row's version.
    Fenced,
}

/// The protocol, with all rules or without one of them.
#[derive(Debug, Clone, Copy, Default)]
pub struct StewardModel {
    /// The rule left out.
    pub without: Option<StewardRule>,
}

/// A candidate: the term that it believes to hold, and the write that it has decided on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Candidate {
    term: u8,
    decided: bool,
}

/// A state of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    candidates: [Candidate; 2],
    term: u8,
    /// The highest term that has written, and whether a lower one wrote after it.
    written: u8,
    is_overtaken: bool,
}

impl Model for StewardModel {
    type State = State;

    fn first(&self) -> State {
        State {
            candidates: [Candidate::default(); 2],
            term: 0,
            written: 0,
            is_overtaken: false,
        }
    }

    fn next(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for (index, candidate) in state.candidates.iter().enumerate() {
            if state.term < MAX_TERM {
                // The lease has lapsed, or this candidate thinks so; the row's version decides.
                let mut taken = state.clone();
                taken.term += 1;
                taken.candidates[index] = Candidate {
                    term: taken.term,
                    decided: false,
                };
                next.push(taken);
            }
            if candidate.term > 0 && !candidate.decided {
                let mut decided = state.clone();
                decided.candidates[index].decided = true;
                next.push(decided);
            }
            if candidate.decided {
                let mut written = state.clone();
                written.candidates[index].decided = false;
                let is_fenced = self.without != Some(StewardRule::Fenced);
                if candidate.term == state.term || !is_fenced {
                    written.is_overtaken |= candidate.term < state.written;
                    written.written = state.written.max(candidate.term);
                }
                next.push(written);
            }
        }
        next
    }

    fn fault(&self, state: &State) -> Option<&'static str> {
        state
            .is_overtaken
            .then_some("a former steward writes after its successor")
    }
}
