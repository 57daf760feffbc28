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
/// use pools::CommandLog;
/// let mut log = CommandLog::default();
/// log.record(["vm-1".into()], 1, 5_000, 3_000);
/// assert!(log.is_soft_locked("vm-1", 2, 6_000, 3_000));
/// assert!(!log.is_soft_locked("vm-2", 2, 6_000, 3_000));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandLog {
    last: BTreeMap<SmolStr, LastCommand>,
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

    /// Ends the soft locks of the commands that the leader of `term` recorded at `unlocked_from_ms`, unless they end earlier.
    /// To be used when the process of that leader is known to have ended before.
    pub fn end_term(&mut self, term: u64, unlocked_from_ms: u64, soft_lock_ms: u64) {
        let at_ms = unlocked_from_ms.saturating_sub(soft_lock_ms);
        for command in self.last.values_mut() {
            if command.term == term {
                command.at_ms = command.at_ms.min(at_ms);
            }
        }
    }

    /// Returns the VMs with a recorded command.
    pub fn vms(&self) -> impl Iterator<Item = &SmolStr> {
        self.last.keys()
    }

    /// Returns whether a VM is soft-locked for the leader of `term`: the leader may not send commands to the VM,
    /// because the leader of another term recorded a command to the VM less than `soft_lock_ms` ago. `now_ms` is on the
    /// store's clock.
    #[must_use]
    pub fn is_soft_locked(&self, vm: &str, term: u64, now_ms: u64, soft_lock_ms: u64) -> bool {
        self.last.get(vm).is_some_and(|command| {
            command.term != term && now_ms < command.at_ms.saturating_add(soft_lock_ms)
        })
    }
}
