//! Orders to VMs. Each is checked against the steward's lease right before.

use std::sync::Arc;
use std::time::Duration;

use ownership::Lease;
use parking_lot::Mutex;
use pools::VmCommandOutcome;
use smol_str::SmolStr;
use tokio::task::JoinSet;
use users_platform::{Error, VmClient, VmCommandResponse};

use crate::clock::local_ms;

/// How long a steward gives orders after its last renewal.
pub(super) const ORDER_SPAN_MS: u64 = 1500;

/// How long the control of VMs may take to answer. Together with the span for orders less than the gap that a
/// successor leaves.
pub(super) const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// An order to a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Order {
    /// Move it to a pool.
    Move { vm: SmolStr, pool: SmolStr },
    /// Maintain it as part of a wave, which has a key and a number.
    Maintain {
        vm: SmolStr,
        wave: SmolStr,
        number: u64,
    },
}

/// What sending orders takes.
#[derive(Debug, Clone)]
pub(super) struct Sender {
    pub(super) vms: VmClient,
    pub(super) daemon: SmolStr,
    pub(super) term: u64,
    pub(super) lease: Arc<Mutex<Lease>>,
}

impl Order {
    pub(super) fn vm(&self) -> &SmolStr {
        match self {
            Self::Move { vm, .. } | Self::Maintain { vm, .. } => vm,
        }
    }
}

impl Sender {
    pub(super) fn may_order(&self) -> bool {
        self.lease.lock().is_valid(local_ms(), ORDER_SPAN_MS)
    }

    /// Sends orders that were recorded at `recorded_at_ms` at the same time, and returns what came of each.
    pub(super) async fn send_all(
        &self,
        orders: Vec<Order>,
        recorded_at_ms: u64,
    ) -> Vec<(Order, VmCommandOutcome)> {
        let mut sent = JoinSet::new();
        for order in orders {
            let sender = self.clone();
            sent.spawn(async move {
                let result = sender.send(&order, recorded_at_ms).await;
                (order, result)
            });
        }
        let mut results = Vec::new();
        while let Some(joined) = sent.join_next().await {
            match joined {
                Ok(result) => results.push(result),
                Err(err) => {
                    tracing::error!(error = %err, "an order to a VM was not carried through");
                }
            }
        }
        results
    }

    async fn send(&self, order: &Order, recorded_at_ms: u64) -> VmCommandOutcome {
        // A successor counts the time in which it leaves a VM alone from when the order was recorded.
        let is_recent = local_ms().saturating_sub(recorded_at_ms) < ORDER_SPAN_MS;
        if !is_recent || !self.may_order() {
            return VmCommandOutcome::Busy;
        }
        let holder = (self.daemon.as_str(), self.term);
        let answer = match order {
            Order::Move { vm, pool } => {
                self.vms.move_to_pool(vm, pool, holder, ORDER_TIMEOUT).await
            }
            Order::Maintain { vm, number, .. } => {
                self.vms.maintain(vm, *number, holder, ORDER_TIMEOUT).await
            }
        };
        let result = order_result(&answer);
        tracing::info!(order = ?order, term = self.term, answer = ?answer, "ordered a VM");
        result
    }
}

fn order_result(answer: &Result<VmCommandResponse, Error>) -> VmCommandOutcome {
    match answer {
        Ok(VmCommandResponse::Done) => VmCommandOutcome::Started,
        Ok(VmCommandResponse::Busy | VmCommandResponse::StaleTerm) => VmCommandOutcome::Busy,
        Ok(VmCommandResponse::NotInWave | VmCommandResponse::Impossible { .. }) => {
            VmCommandOutcome::Impossible
        }
        Err(err) if err.is_without_effect() => VmCommandOutcome::Busy,
        Err(_) => VmCommandOutcome::Unknown,
    }
}
