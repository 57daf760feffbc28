//! The row of the last orders, by which stewards keep their orders to one VM apart.

use std::time::Duration;

use pools::CommandLog;
use users_platform::{RowKey, Transaction};

use crate::clock::local_ms;
use crate::config::FLEET_UNIT;
use crate::node::{Node, ONLY_KEY, tables};
use crate::pool::{Sequence, read_all};
use crate::steward::orders::{ORDER_SPAN_MS, ORDER_TIMEOUT, Order};
use crate::steward::{GAP_RESERVE_MS, ROUND_PERIOD};

/// The last orders of a steward and of those before it.
pub(super) struct OrderRecord {
    log: CommandLog,
    term: u64,
}

impl OrderRecord {
    /// Reads what the stewards before ordered lately, however long it takes.
    pub(super) async fn read(node: &Node, term: u64) -> Self {
        let log = loop {
            match read_all(node, tables::ORDERED, FLEET_UNIT).await {
                Ok(rows) => {
                    let value = rows.first().and_then(|row| row.value.as_deref());
                    break read_log(value.unwrap_or_default(), hold_ms(node)).await;
                }
                Err(err) => {
                    tracing::warn!(error = %err, "the last orders to VMs can't be read yet");
                    tokio::time::sleep(ROUND_PERIOD).await;
                }
            }
        };
        Self { log, term }
    }

    /// Records which VMs are about to be ordered, and returns since when. `None` when another daemon is the steward.
    pub(super) async fn write(
        &mut self,
        node: &Node,
        sequence: &tokio::sync::Mutex<Sequence>,
        orders: &[Order],
    ) -> Option<u64> {
        let recorded_at_ms = local_ms();
        if orders.is_empty() {
            return Some(recorded_at_ms);
        }
        let vms = orders.iter().map(|order| order.vm().clone());
        let now_ms = node.clock.now().store_ms;
        self.log.record(vms, self.term, now_ms, hold_ms(node));
        let key = RowKey::new(tables::ORDERED, FLEET_UNIT, ONLY_KEY);
        // Plain data, which can always be written.
        let value = serde_json::to_vec(&self.log).unwrap_or_default();
        let transaction = Transaction::default().with_write(key, value);
        let mut sequence = sequence.lock().await;
        let committed = sequence.commit(node, transaction, |_| {}).await;
        committed.is_ok().then_some(recorded_at_ms)
    }

    /// Whether another steward ordered a VM so lately that it has to be left alone.
    pub(super) fn is_held(&self, node: &Node, vm: &str) -> bool {
        let now_ms = node.clock.now().store_ms;
        self.log
            .is_soft_locked(vm, self.term, now_ms, hold_ms(node))
    }
}

/// For how long after another steward recorded an order to a VM this one leaves the VM alone: the time in which the order
/// may be sent and carried out, and the gap.
fn hold_ms(node: &Node) -> u64 {
    let order_ms = u64::try_from(ORDER_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
    ORDER_SPAN_MS + order_ms + node.settings.bounds.steward_gap_ms + GAP_RESERVE_MS
}

/// The log in a row's value, which is empty where there is no row.
async fn read_log(value: &[u8], hold_ms: u64) -> CommandLog {
    if value.is_empty() {
        return CommandLog::default();
    }
    match serde_json::from_slice(value) {
        Ok(log) => log,
        Err(err) => {
            tracing::error!(error = %err, hold_ms, "the last orders to VMs are unreadable: all VMs are left alone for a while");
            tokio::time::sleep(Duration::from_millis(hold_ms)).await;
            CommandLog::default()
        }
    }
}
