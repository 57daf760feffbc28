//! Renewal of the leader's lease.

use std::ops::ControlFlow;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ownership::Lease;
use parking_lot::Mutex;
use users_platform::Transaction;

use crate::clock::local_ms;
use crate::node::Node;
use crate::pool::{Sequence, SequenceError};

/// The delay between two renewals of the leader's lease. Two renewals fit in
/// [`COMMAND_WINDOW_MS`](super::commands::COMMAND_WINDOW_MS).
const RENEWAL_PERIOD: Duration = Duration::from_millis(600);

/// How long the store may refuse the leader before the leader hands the shard over to a daemon that the store serves.
const HAND_OVER_AFTER_MS: u64 = 600;

/// Since when the store has refused the leader's transactions.
#[derive(Debug, Default)]
pub(super) struct StoreRefusals {
    /// When the store first refused a transaction without a success since, in ms on the local clock; 0 if there is none.
    since_ms: AtomicU64,
}

impl StoreRefusals {
    /// Records a failed try of a transaction. The transaction is to be given up once the leader has to hand the shard
    /// over: while it is tried, no other transaction of the shard and no round can go on.
    pub(super) fn record_failure(&self, err: &users_platform::Error) -> ControlFlow<()> {
        if err.is_without_effect() {
            // Keeps the time of the first refusal.
            let _ =
                self.since_ms
                    .compare_exchange(0, local_ms(), Ordering::Relaxed, Ordering::Relaxed);
        }
        if self.is_hand_over_due() {
            ControlFlow::Break(())
        } else {
            ControlFlow::Continue(())
        }
    }

    pub(super) fn record_success(&self) {
        self.since_ms.store(0, Ordering::Relaxed);
    }

    /// Whether the store has refused the leader for so long that the leader hands the shard over.
    pub(super) fn is_hand_over_due(&self) -> bool {
        let since_ms = self.since_ms.load(Ordering::Relaxed);
        since_ms > 0 && local_ms().saturating_sub(since_ms) > HAND_OVER_AFTER_MS
    }
}

/// Renews the lease until another daemon has taken over the fleet shard.
pub(super) async fn renew_lease(
    node: Arc<Node>,
    (sequence, lease, refusals): (
        Arc<tokio::sync::Mutex<Sequence>>,
        Arc<Mutex<Lease>>,
        Arc<StoreRefusals>,
    ),
) {
    loop {
        tokio::time::sleep(RENEWAL_PERIOD).await;
        let mut sequence = sequence.lock().await;
        let renewed = sequence
            .commit(&node, Transaction::default(), |err| {
                refusals.record_failure(err)
            })
            .await;
        drop(sequence);
        match renewed {
            Ok(sent_at_ms) => {
                refusals.record_success();
                lease.lock().renew(sent_at_ms);
            }
            Err(SequenceError::GivenUp) => {}
            Err(_) => return,
        }
    }
}
