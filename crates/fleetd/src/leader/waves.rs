//! The maintenance waves that the leader drives, and their rows in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pools::{MaintenanceWave, VmCommandOutcome, WaveVm};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use users_platform::{RowKey, STATUS_TABLE, Transaction};

use crate::clock::local_ms;
use crate::config::FLEET_SHARD;
use crate::leader::commands::VmCommand;
use crate::leader::lease_renewal::StoreRefusals;
use crate::node::{Node, STORE_TIMEOUT, tables};
use crate::pool::{Sequence, read_all_rows};

/// The row with the progress of a maintenance wave.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct WaveRow {
    /// When a leader first loaded the wave, in ms on the store's clock. 0 when no leader has loaded it.
    seen_at_ms: u64,
    #[serde(rename = "begun")]
    started_vms: BTreeSet<SmolStr>,
    is_done: bool,
}

struct LoadedWave {
    wave: MaintenanceWave,
    number: u64,
    row: WaveRow,
}

/// The maintenance waves that were loaded, by key.
#[derive(Default)]
pub(super) struct Waves {
    loaded: BTreeMap<SmolStr, LoadedWave>,
}

impl Waves {
    /// Loads the waves that operators have requested since the last call. Waves whose rows can't be read are loaded by
    /// a later call.
    pub(super) async fn load_requested(&mut self, node: &Node) {
        let requested = node.requested_waves.lock().clone();
        for (key, request) in requested {
            if self.loaded.contains_key(&key) {
                continue;
            }
            let rows = match read_all_rows(node, tables::WAVE, FLEET_SHARD).await {
                Ok(rows) => rows,
                Err(err) => {
                    tracing::warn!(error = %err, "failed to read the rows of maintenance waves");
                    return;
                }
            };
            let found = rows.iter().find(|row| row.key.key == key);
            let value = found.and_then(|row| row.value.as_deref());
            let mut row = match value.map(serde_json::from_slice::<WaveRow>) {
                None => WaveRow::default(),
                Some(Ok(row)) => row,
                Some(Err(err)) => {
                    tracing::warn!(wave = key.as_str(), error = %err, "failed to decode the row of a maintenance wave; the wave starts from the beginning");
                    WaveRow::default()
                }
            };
            let store_ms = node.clock.now().store_ms;
            if row.seen_at_ms == 0 {
                row.seen_at_ms = store_ms;
            }
            let deadline_ms = u64::try_from(request.deadline.as_millis()).unwrap_or(u64::MAX);
            let remaining_ms = deadline_ms.saturating_sub(store_ms.saturating_sub(row.seen_at_ms));
            let seconds = node.settings.bounds.maintenance_s;
            let maintenance = Duration::try_from_secs_f64(seconds).unwrap_or_default();
            let maintenance_ms = u64::try_from(maintenance.as_millis()).unwrap_or(0);
            let now_ms = local_ms();
            let wave = MaintenanceWave::new(
                request.vms,
                &row.started_vms,
                request.max_down,
                maintenance_ms,
                now_ms,
                remaining_ms,
            );
            if !row.is_done && !wave.is_done() {
                write_status(node, &key, false).await;
            }
            let number = request.number;
            self.loaded.insert(key, LoadedWave { wave, number, row });
        }
    }

    /// Returns the VMs to drain and the commands to send for the waves that are not done.
    pub(super) fn next_actions(
        &mut self,
        list: &BTreeMap<SmolStr, WaveVm>,
    ) -> (BTreeSet<SmolStr>, Vec<VmCommand>) {
        let now_ms = local_ms();
        let mut to_drain = BTreeSet::new();
        let mut commands = Vec::new();
        for (key, loaded) in self
            .loaded
            .iter_mut()
            .filter(|(_, loaded)| !loaded.row.is_done)
        {
            let actions = loaded.wave.next_actions(list, now_ms);
            to_drain.extend(actions.drain);
            let command = |vm| VmCommand::Maintain {
                vm,
                wave: key.clone(),
                number: loaded.number,
            };
            commands.extend(actions.maintain.into_iter().map(command));
        }
        (to_drain, commands)
    }

    /// Returns whether a VM is being drained for a wave, or is or may be down for a wave.
    pub(super) fn is_in_progress(&self, vm: &str) -> bool {
        self.loaded
            .values()
            .any(|loaded| loaded.wave.is_in_progress(vm))
    }

    /// Returns whether a VM still has to be drained for a wave.
    pub(super) fn is_waiting(&self, vm: &str) -> bool {
        let mut loaded = self.loaded.values().filter(|loaded| !loaded.row.is_done);
        loaded.any(|loaded| loaded.wave.is_waiting(vm))
    }

    /// Records that a command to a VM for the wave with the key `key` was not sent.
    pub(super) fn record_not_sent(&mut self, key: &str, vm: &str) {
        if let Some(loaded) = self.loaded.get_mut(key) {
            loaded.wave.record_not_sent(vm, local_ms());
        }
    }

    /// Records the outcome of a command to a VM for the wave with the key `key`.
    pub(super) fn record_outcome(&mut self, key: &str, vm: &str, outcome: VmCommandOutcome) {
        if let Some(loaded) = self.loaded.get_mut(key) {
            loaded.wave.record_outcome(vm, outcome, local_ms());
        }
    }

    /// Writes the rows of the waves whose progress has changed, and reports the waves that are done. A wave is recorded as
    /// done only after that was reported, as a later leader reports no wave that is.
    pub(super) async fn write_progress(
        &mut self,
        node: &Node,
        sequence: &tokio::sync::Mutex<Sequence>,
        refusals: &StoreRefusals,
    ) {
        for (key, loaded) in &mut self.loaded {
            let started_vms = loaded.wave.started_vms().cloned().collect();
            let row = WaveRow {
                started_vms,
                ..loaded.row
            };
            if !loaded.write_row(row, key, node, sequence, refusals).await {
                return;
            }
            if loaded.wave.is_done() && !loaded.row.is_done {
                let is_done = write_status(node, key, true).await;
                let row = WaveRow {
                    is_done,
                    ..loaded.row.clone()
                };
                if !loaded.write_row(row, key, node, sequence, refusals).await {
                    return;
                }
            }
        }
    }
}

impl LoadedWave {
    /// Writes the row of the wave if it has changed. Returns false when another daemon is the leader, or has to be.
    async fn write_row(
        &mut self,
        row: WaveRow,
        key: &SmolStr,
        node: &Node,
        sequence: &tokio::sync::Mutex<Sequence>,
        refusals: &StoreRefusals,
    ) -> bool {
        if row == self.row {
            return true;
        }
        let row_key = RowKey::new(tables::WAVE, FLEET_SHARD, key.clone());
        // Serialization of plain data does not fail.
        let value = serde_json::to_vec(&row).unwrap_or_default();
        let transaction = Transaction::default().with_write(row_key, value);
        let written = sequence
            .lock()
            .await
            .commit(node, transaction, |err| refusals.record_failure(err))
            .await;
        if written.is_err() {
            return false;
        }
        refusals.record_success();
        self.row = row;
        true
    }
}

/// Writes the state of a wave to the row that operators read. Returns false when the write failed or its outcome is
/// unknown.
async fn write_status(node: &Node, key: &str, is_done: bool) -> bool {
    let state = if is_done { "done" } else { "running" };
    let value = format!(r#"{{"state":"{state}"}}"#).into_bytes();
    let transaction = Transaction::default().with_write(RowKey::new(STATUS_TABLE, "", key), value);
    let written = node.store.commit(&transaction, STORE_TIMEOUT).await;
    tracing::info!(
        wave = key,
        state,
        is_written = written.is_ok(),
        "reported the state of a maintenance wave"
    );
    written.is_ok()
}

#[cfg(test)]
mod tests;
