//! The stored record of recent commands to VMs. With this record, a new leader keeps a gap to the commands
//! that previous leaders sent to the same VM.

use std::time::Duration;

use ownership::OwnerRow;
use pools::{CommandLog, Leader, PreviousLeader};
use users_platform::{RowKey, Transaction};

use crate::clock::local_ms;
use crate::config::FLEET_SHARD;
use crate::leader::commands::{COMMAND_TIMEOUT, COMMAND_WINDOW_MS, VmCommand};
use crate::leader::lease_renewal::StoreRefusals;
use crate::leader::{LEADER_GAP_MARGIN_MS, ROUND_PERIOD};
use crate::node::{Node, SINGLETON_KEY, tables};
use crate::pool::{Sequence, read_all_rows};

/// How long after the start of this process the commands of its earlier incarnation soft-lock VMs, in ms. That incarnation
/// had ended by the start, so that its commands were executed or lost soon after. Both have the same holder, so that no
/// gap between two holders has to be kept.
const RESTART_SOFT_LOCK_MS: u64 = 1000;

/// The recent commands of a leader and of the leaders before it.
pub(super) struct CommandRecord {
    log: CommandLog,
    leader: Leader,
}

impl CommandRecord {
    /// Reads the record that previous leaders wrote. If the `previous` leader was an earlier incarnation of this daemon, its
    /// commands soft-lock VMs only until [`RESTART_SOFT_LOCK_MS`] after the start of this process. Retries without a time limit while the store can't be read. When
    /// the record can't be decoded, waits until the commands in the record can no longer soft-lock a VM, and returns an
    /// empty record.
    pub(super) async fn read(node: &Node, term: u64, previous: Option<&OwnerRow>) -> Self {
        let log: CommandLog = loop {
            match read_all_rows(node, tables::VM_COMMANDS, FLEET_SHARD).await {
                Ok(rows) => {
                    let value = rows.first().and_then(|row| row.value.as_deref());
                    break decode_log(value.unwrap_or_default(), soft_lock_ms(node)).await;
                }
                Err(err) => {
                    tracing::warn!(error = %err, "failed to read the record of VM commands; retrying");
                    tokio::time::sleep(ROUND_PERIOD).await;
                }
            }
        };
        let restarted = previous.filter(|previous| {
            previous.daemon == node.settings.daemon && previous.incarnation != node.incarnation
        });
        let mut leader = Leader::new(term);
        if let Some(previous) = restarted {
            let unlocked_from_ms = node.started_at_store_ms() + RESTART_SOFT_LOCK_MS;
            leader = leader.with_ended_term(previous.term, unlocked_from_ms);
        }
        Self { log, leader }
    }

    /// Records which VMs are about to get a command, and returns when the write began, in ms on the local clock. Writes
    /// nothing when `commands` is empty. `None` when another daemon is the leader, or has to be as the store refuses this one.
    pub(super) async fn write(
        &mut self,
        node: &Node,
        sequence: &tokio::sync::Mutex<Sequence>,
        refusals: &StoreRefusals,
        commands: &[VmCommand],
    ) -> Option<u64> {
        let recorded_at_ms = local_ms();
        if commands.is_empty() {
            return Some(recorded_at_ms);
        }
        let vms = commands.iter().map(|command| command.vm().clone());
        let now_ms = node.clock.now().store_ms;
        self.log
            .record(vms, self.leader.term, now_ms, soft_lock_ms(node));
        let key = RowKey::new(tables::VM_COMMANDS, FLEET_SHARD, SINGLETON_KEY);
        // Serialization of plain data does not fail.
        let value = serde_json::to_vec(&self.log).unwrap_or_default();
        let transaction = Transaction::default().with_write(key, value);
        let mut sequence = sequence.lock().await;
        let committed = sequence
            .commit(node, transaction, |err| refusals.record_failure(err))
            .await;
        if committed.is_ok() {
            refusals.record_success();
        }
        committed.is_ok().then_some(recorded_at_ms)
    }

    /// Returns how many VMs are soft-locked for this leader.
    pub(super) fn soft_locked_vms(&self, node: &Node) -> usize {
        let vms = self.log.vms();
        vms.filter(|vm| self.is_soft_locked(node, vm)).count()
    }

    /// Returns whether a VM is soft-locked for this leader, because another leader recently recorded a command to the
    /// VM.
    pub(super) fn is_soft_locked(&self, node: &Node, vm: &str) -> bool {
        let now_ms = node.clock.now().store_ms;
        self.log
            .is_soft_locked(vm, &self.leader, now_ms, soft_lock_ms(node))
    }
}

/// Returns until when the leaders before this one may send commands, in ms on the store's clock; 0 without a previous leader.
/// `previous` is the row of the previous leader and `version` the store's version of it.
pub(crate) fn earlier_commands_until_ms(
    node: &Node,
    previous: Option<&OwnerRow>,
    version: u64,
    now_ms: u64,
) -> u64 {
    let Some(previous) = previous else {
        return 0;
    };
    let restarted =
        node.peers
            .lock()
            .restarted_at_ms(&previous.daemon, &previous.incarnation, version);
    let leader = match restarted {
        _ if previous.is_released => PreviousLeader::Ended,
        Some(by_ms) => PreviousLeader::ProcessEnded { by_ms },
        None => PreviousLeader::MayBeActive,
    };
    let recorded_until_ms = previous.last_command_at_ms;
    pools::earlier_commands_until_ms(recorded_until_ms, leader, now_ms, COMMAND_WINDOW_MS)
}

/// Returns for how long a VM is soft-locked after another leader recorded a command to it, in ms: the time in which the
/// command may be sent and executed, and the required gap.
fn soft_lock_ms(node: &Node) -> u64 {
    let timeout_ms = u64::try_from(COMMAND_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
    COMMAND_WINDOW_MS + timeout_ms + node.settings.bounds.leader_gap_ms + LEADER_GAP_MARGIN_MS
}

/// Decodes the log from the value of a row. The value is empty where there is no row, and the log is then empty. When
/// the value can't be decoded, waits until the commands in the log can no longer soft-lock a VM.
async fn decode_log(value: &[u8], soft_lock_ms: u64) -> CommandLog {
    if value.is_empty() {
        return CommandLog::default();
    }
    match serde_json::from_slice(value) {
        Ok(log) => log,
        Err(err) => {
            tracing::error!(error = %err, hold_ms = soft_lock_ms, "failed to decode the record of VM commands; soft-locking all VMs");
            tokio::time::sleep(Duration::from_millis(soft_lock_ms)).await;
            CommandLog::default()
        }
    }
}
