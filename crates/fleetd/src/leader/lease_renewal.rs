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
use crate::pool::Sequence;

/// The delay between two renewals of the leader's lease. Two renewals fit in
/// [`COMMAND_WINDOW_MS`](super::commands::COMMAND_WINDOW_MS).
const RENEWAL_PERIOD: Duration = Duration::from_millis(600);

/// Renews the lease until another daemon has taken over the fleet shard. `refused_since_ms` is set to when the
/// store first refused the renewal in progress, in ms on the local clock, and to 0 when the renewal has ended.
pub(super) async fn renew_lease(
    node: Arc<Node>,
    (sequence, lease, refused_since_ms): (
        Arc<tokio::sync::Mutex<Sequence>>,
        Arc<Mutex<Lease>>,
        Arc<AtomicU64>,
    ),
) {
    loop {
        tokio::time::sleep(RENEWAL_PERIOD).await;
        let on_failure = |err: &users_platform::Error| {
            if err.is_without_effect() && refused_since_ms.load(Ordering::Relaxed) == 0 {
                refused_since_ms.store(local_ms(), Ordering::Relaxed);
            }
            ControlFlow::Continue(())
        };
        let mut sequence = sequence.lock().await;
        let renewed = sequence
            .commit(&node, Transaction::default(), on_failure)
            .await;
        drop(sequence);
        refused_since_ms.store(0, Ordering::Relaxed);
        match renewed {
            Ok(sent_at_ms) => lease.lock().renew(sent_at_ms),
            Err(_) => return,
        }
    }
}
