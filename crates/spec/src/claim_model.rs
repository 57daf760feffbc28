//! A keyed request at two daemons: claim, release, change of hands, lost answers, restart.

use crate::model::Model;

/// How often claims may be made in all, which bounds the model.
const MAX_CLAIMS: u8 = 4;

/// How often the row may be written in all, which bounds the model.
const MAX_VERSION: u8 = 6;

/// A rule that can be left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimRule {
    /// A claim is written on the condition of the row's version.
    Conditional,
    /// A holder that has released a claim starts over with another nonce.
    NewNonceAfterRelease,
    /// A holder that does not know of a claim is not taken for one that has released it.
    UnknownIsSpent,
}

/// The protocol, with all rules or without one of them.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClaimModel {
    /// The rule left out.
    pub without: Option<ClaimRule>,
}

/// Where a daemon is with the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    /// The write is on its way, on the condition of this version.
    Claiming {
        expected: u8,
    },
    /// The write was answered with a conflict; the holder is asked.
    Asking {
        version: u8,
    },
    Running,
    Ran,
    /// Claimed or not, and never sent.
    Unsent,
    Released,
    Spent,
}

/// A daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Daemon {
    nonce: u8,
    released: u8,
    phase: Phase,
}

/// The row: its holder's nonce, which no two runs share, and its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Row {
    nonce: u8,
    version: u8,
}

/// A state of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    daemons: [Daemon; 2],
    row: Option<Row>,
    claims: u8,
    effects: u8,
}

impl ClaimModel {
    fn has(self, rule: ClaimRule) -> bool {
        self.without != Some(rule)
    }

    fn begin(self, state: &State, index: usize, next: &mut Vec<State>) {
        let daemon = state.daemons[index];
        let keeps_nonce = match daemon.phase {
            Phase::Unsent => true,
            Phase::Released => !self.has(ClaimRule::NewNonceAfterRelease),
            Phase::Idle => false,
            _ => return,
        };
        if state.claims == MAX_CLAIMS {
            return;
        }
        let mut begun = state.clone();
        begun.claims += 1;
        let changed = &mut begun.daemons[index];
        if !keeps_nonce {
            changed.released = if daemon.phase == Phase::Released {
                daemon.nonce
            } else {
                0
            };
            changed.nonce = begun.claims;
        }
        changed.phase = Phase::Claiming { expected: 0 };
        next.push(begun);
    }

    /// The write takes effect, and its answer comes or is lost.
    fn write(self, state: &State, index: usize, next: &mut Vec<State>) {
        let daemon = state.daemons[index];
        let Phase::Claiming { expected } = daemon.phase else {
            return;
        };
        let version = state.row.map_or(0, |row| row.version);
        if version == MAX_VERSION {
            return;
        }
        let mut written = state.clone();
        let is_written = version == expected || !self.has(ClaimRule::Conditional);
        if is_written {
            let nonce = daemon.nonce;
            written.row = Some(Row {
                nonce,
                version: version + 1,
            });
            // The answer is lost: the daemon still waits.
            next.push(written.clone());
            Self::run(&mut written, index);
            next.push(written);
            return;
        }
        let row = state.row.expect("an absent row has version 0");
        if row.nonce == daemon.nonce {
            Self::run(&mut written, index);
        } else if row.nonce == daemon.released {
            written.daemons[index].phase = Phase::Claiming {
                expected: row.version,
            };
        } else {
            written.daemons[index].phase = Phase::Asking {
                version: row.version,
            };
        }
        next.push(written);
    }

    fn run(state: &mut State, index: usize) {
        state.daemons[index].phase = Phase::Running;
        state.effects += 1;
    }

    fn ask(self, state: &State, index: usize, next: &mut Vec<State>) {
        let Phase::Asking { version } = state.daemons[index].phase else {
            return;
        };
        let Some(row) = state.row.filter(|row| row.version == version) else {
            // The row has changed since: the write starts over.
            let mut again = state.clone();
            again.daemons[index].phase = Phase::Claiming { expected: version };
            next.push(again);
            return;
        };
        let mut asked = state.clone();
        let holder = &mut asked.daemons[1 - index];
        let is_free = if holder.nonce == row.nonce {
            let is_unsent = matches!(holder.phase, Phase::Unsent | Phase::Released);
            if is_unsent {
                holder.phase = Phase::Released;
            }
            is_unsent
        } else {
            !self.has(ClaimRule::UnknownIsSpent)
        };
        let phase = if is_free {
            Phase::Claiming { expected: version }
        } else {
            Phase::Spent
        };
        asked.daemons[index].phase = phase;
        next.push(asked);
    }

    fn end(state: &State, index: usize, next: &mut Vec<State>) {
        if state.daemons[index].phase != Phase::Running {
            return;
        }
        let mut ran = state.clone();
        ran.daemons[index].phase = Phase::Ran;
        next.push(ran);
        let mut unsent = state.clone();
        unsent.daemons[index].phase = Phase::Unsent;
        unsent.effects -= 1;
        next.push(unsent);
    }

    fn give_up_or_restart(state: &State, index: usize, next: &mut Vec<State>) {
        if matches!(state.daemons[index].phase, Phase::Claiming { .. }) {
            let mut given_up = state.clone();
            given_up.daemons[index].phase = Phase::Unsent;
            next.push(given_up);
        }
        let mut restarted = state.clone();
        restarted.daemons[index] = Daemon {
            nonce: 0,
            released: 0,
            phase: Phase::Idle,
        };
        next.push(restarted);
    }
}

impl Model for ClaimModel {
    type State = State;

    fn first(&self) -> State {
        let daemon = Daemon {
            nonce: 0,
            released: 0,
            phase: Phase::Idle,
        };
        State {
            daemons: [daemon; 2],
            row: None,
            claims: 0,
            effects: 0,
        }
    }

    fn next(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        if self.fault(state).is_some() {
            return next;
        }
        for index in 0..state.daemons.len() {
            self.begin(state, index, &mut next);
            self.write(state, index, &mut next);
            self.ask(state, index, &mut next);
            Self::end(state, index, &mut next);
            Self::give_up_or_restart(state, index, &mut next);
        }
        next
    }

    fn fault(&self, state: &State) -> Option<&'static str> {
        (state.effects > 1).then_some("the request runs twice")
    }
}
