//! The VMs that recently got a command, and the leader that sent each command.
//!
//! Commands of two leaders to the same VM must be apart in time. A leader records the VMs before sending commands to
//! them, so that its successor soft-locks only these VMs and may send commands to all others at once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The time of the last command to each VM, and the term of the leader that recorded the command. Serialized into a row
/// of the store.
///
/// ```
/// use pools::{CommandLog, Leader};
/// let mut log = CommandLog::default();
/// log.record(["vm-1".into()], 1, 5_000, 3_000);
/// assert!(log.is_soft_locked("vm-1", &Leader::new(2), 6_000, 3_000));
/// assert!(!log.is_soft_locked("vm-2", &Leader::new(2), 6_000, 3_000));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandLog {
    last: BTreeMap<SmolStr, LastCommand>,
}

/// A leader, as far as soft locks depend on it.
///
/// ```
/// use pools::Leader;
/// let leader = Leader::new(3).with_ended_term(2, 4_000);
/// assert_eq!(leader.term, 3);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leader {
    /// The term of the leader.
    pub term: u64,
    ended_term: Option<EndedTerm>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct EndedTerm {
    term: u64,
    unlocked_from_ms: u64,
}

impl Leader {
    /// Creates the leader of a term. Commands of all other terms soft-lock VMs for it.
    #[must_use]
    pub fn new(term: u64) -> Self {
        Self {
            term,
            ended_term: None,
        }
    }

    /// Ends the soft locks of the commands that were recorded in `term` at `unlocked_from_ms` on the store's clock, unless they
    /// end earlier. To be used when the leader of that term was an earlier process of the same daemon, which has ended: for
    /// all other daemons the soft locks last on.
    #[must_use]
    pub fn with_ended_term(mut self, term: u64, unlocked_from_ms: u64) -> Self {
        self.ended_term = Some(EndedTerm {
            term,
            unlocked_from_ms,
        });
        self
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct LastCommand {
    /// The term of the leader that recorded the command.
    term: u64,
    /// When the command was recorded, on the store's clock.
    at_ms: u64,
}

impl CommandLog {
    /// Records that the leader of `term` is about to send commands to `vms`, and removes the commands that were
    /// recorded `soft_lock_ms` ago or earlier. `now_ms` is on the store's clock.
    pub fn record(
        &mut self,
        vms: impl IntoIterator<Item = SmolStr>,
        term: u64,
        now_ms: u64,
        soft_lock_ms: u64,
    ) {
        self.last
            .retain(|_, command| now_ms < command.at_ms.saturating_add(soft_lock_ms));
        let command = LastCommand {
            term,
            at_ms: now_ms,
        };
        self.last.extend(vms.into_iter().map(|vm| (vm, command)));
    }

    /// Returns the VMs with a recorded command.
    pub fn vms(&self) -> impl Iterator<Item = &SmolStr> {
        self.last.keys()
    }

    /// Returns whether a VM is soft-locked for a leader, which may not send commands to the VM then: the leader of another
    /// term recorded a command to the VM less than `soft_lock_ms` ago. `now_ms` is on the store's clock.
    #[must_use]
    pub fn is_soft_locked(
        &self,
        vm: &str,
        leader: &Leader,
        now_ms: u64,
        soft_lock_ms: u64,
    ) -> bool {
        self.last.get(vm).is_some_and(|command| {
            let until_ms = command.at_ms.saturating_add(soft_lock_ms);
            let ended = leader.ended_term.filter(|ended| ended.term == command.term);
            let until_ms = ended.map_or(until_ms, |ended| until_ms.min(ended.unlocked_from_ms));
            command.term != leader.term && now_ms < until_ms
        })
    }
}
