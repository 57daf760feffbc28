//! The waves that the steward knows, and their rows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pools::{MaintenanceWave, VmCommandOutcome, WaveVm};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use users_platform::{RowKey, STATUS_TABLE, Transaction};

use crate::clock::local_ms;
use crate::config::FLEET_UNIT;
use crate::node::{Node, STORE_TIMEOUT, tables};
use crate::pool::{Sequence, read_all};
use crate::steward::orders::Order;

/// The wave's row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct WaveRow {
    /// When a steward first saw it, on the store's clock.
    seen_at_ms: u64,
    begun: BTreeSet<SmolStr>,
    is_done: bool,
}

struct KnownWave {
    wave: MaintenanceWave,
    number: u64,
    row: WaveRow,
}

/// The waves, by key.
#[derive(Default)]
pub(super) struct Waves {
    known: BTreeMap<SmolStr, KnownWave>,
}

impl Waves {
    /// Takes up waves that operators have asked for since.
    pub(super) async fn load(&mut self, node: &Node) {
        let asked = node.waves.lock().clone();
        for (key, order) in asked {
            if self.known.contains_key(&key) {
                continue;
            }
            let rows = match read_all(node, tables::WAVE, FLEET_UNIT).await {
                Ok(rows) => rows,
                Err(err) => {
                    tracing::warn!(error = %err, "the rows of waves can't be read");
                    return;
                }
            };
            let found = rows.iter().find(|row| row.key.key == key);
            let value = found.and_then(|row| row.value.as_deref());
            let mut row = match value.map(serde_json::from_slice::<WaveRow>) {
                None => WaveRow::default(),
                Some(Ok(row)) => row,
                Some(Err(err)) => {
                    tracing::warn!(wave = key.as_str(), error = %err, "a wave's row can't be read: it starts anew");
                    WaveRow::default()
                }
            };
            let store_ms = node.clock.now().store_ms;
            if row.seen_at_ms == 0 {
                row.seen_at_ms = store_ms;
            }
            let deadline_ms = u64::try_from(order.deadline.as_millis()).unwrap_or(u64::MAX);
            let left_ms = deadline_ms.saturating_sub(store_ms.saturating_sub(row.seen_at_ms));
            let seconds = node.settings.bounds.maintenance_s;
            let maintenance = Duration::try_from_secs_f64(seconds).unwrap_or_default();
            let maintenance_ms = u64::try_from(maintenance.as_millis()).unwrap_or(0);
            let now_ms = local_ms();
            let wave = MaintenanceWave::new(
                order.vms,
                &row.begun,
                order.max_down,
                maintenance_ms,
                now_ms,
                left_ms,
            );
            if !row.is_done {
                write_status(node, &key, false).await;
            }
            let number = order.number;
            self.known.insert(key, KnownWave { wave, number, row });
        }
    }

    /// The VMs to empty and the orders to send.
    pub(super) fn next(
        &mut self,
        list: &BTreeMap<SmolStr, WaveVm>,
    ) -> (BTreeSet<SmolStr>, Vec<Order>) {
        let now_ms = local_ms();
        let mut empty = BTreeSet::new();
        let mut orders = Vec::new();
        for (key, known) in self
            .known
            .iter_mut()
            .filter(|(_, known)| !known.row.is_done)
        {
            let actions = known.wave.next_actions(list, now_ms);
            empty.extend(actions.drain);
            let order = |vm| Order::Maintain {
                vm,
                wave: key.clone(),
                number: known.number,
            };
            orders.extend(actions.maintain.into_iter().map(order));
        }
        (empty, orders)
    }

    /// Whether a wave has a VM under way.
    pub(super) fn has_under_way(&self, vm: &str) -> bool {
        self.known
            .values()
            .any(|known| known.wave.is_in_progress(vm))
    }

    /// An order got its answer, or none.
    pub(super) fn ordered(&mut self, key: &str, vm: &str, result: VmCommandOutcome) {
        if let Some(known) = self.known.get_mut(key) {
            known.wave.record_outcome(vm, result, local_ms());
        }
    }

    /// Writes how far the waves are, where that has changed.
    pub(super) async fn write(&mut self, node: &Node, sequence: &tokio::sync::Mutex<Sequence>) {
        for (key, known) in &mut self.known {
            let row = WaveRow {
                seen_at_ms: known.row.seen_at_ms,
                begun: known.wave.started_vms().cloned().collect(),
                is_done: known.wave.is_done(),
            };
            if row == known.row {
                continue;
            }
            let row_key = RowKey::new(tables::WAVE, FLEET_UNIT, key.clone());
            // Plain data, which can always be written.
            let value = serde_json::to_vec(&row).unwrap_or_default();
            let transaction = Transaction::default().with_write(row_key, value);
            let written = sequence
                .lock()
                .await
                .commit(node, transaction, |_| {})
                .await;
            if written.is_err() {
                return;
            }
            let is_reported = !row.is_done || write_status(node, key, true).await;
            known.row = row;
            known.row.is_done &= is_reported;
        }
    }
}

/// Tells operators how far a wave is.
async fn write_status(node: &Node, key: &str, is_done: bool) -> bool {
    let state = if is_done { "done" } else { "running" };
    let value = format!(r#"{{"state":"{state}"}}"#).into_bytes();
    let transaction = Transaction::default().with_write(RowKey::new(STATUS_TABLE, "", key), value);
    let written = node.store.commit(&transaction, STORE_TIMEOUT).await;
    tracing::info!(
        wave = key,
        state,
        is_written = written.is_ok(),
        "a wave's state is reported"
    );
    written.is_ok()
}
