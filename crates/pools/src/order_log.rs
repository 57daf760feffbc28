//! Which VMs were ordered lately, and by which steward.
//!
//! Orders of two stewards to one VM have to be apart. A steward records the VMs before it orders them, so that its
//! successor leaves alone just these and orders all others at once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The last order to each VM.
///
/// ```
/// use pools::OrderLog;
/// let mut log = OrderLog::default();
/// log.note(["vm-1".into()], 1, 5_000, 3_000);
/// assert!(log.is_held("vm-1", 2, 6_000, 3_000));
/// assert!(!log.is_held("vm-2", 2, 6_000, 3_000));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderLog {
    last: BTreeMap<SmolStr, LastOrder>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct LastOrder {
    term: u64,
    /// When it was recorded, on the store's clock.
    at_ms: u64,
}

impl OrderLog {
    /// The steward of `term` is about to order these VMs. Orders that hold nobody any more are forgotten.
    pub fn note(
        &mut self,
        vms: impl IntoIterator<Item = SmolStr>,
        term: u64,
        now_ms: u64,
        hold_ms: u64,
    ) {
        self.last
            .retain(|_, order| now_ms < order.at_ms.saturating_add(hold_ms));
        let order = LastOrder {
            term,
            at_ms: now_ms,
        };
        self.last.extend(vms.into_iter().map(|vm| (vm, order)));
    }

    /// Whether the steward of `term` has to leave a VM alone, because another ordered it less than `hold_ms` ago.
    #[must_use]
    pub fn is_held(&self, vm: &str, term: u64, now_ms: u64, hold_ms: u64) -> bool {
        self.last
            .get(vm)
            .is_some_and(|order| order.term != term && now_ms < order.at_ms.saturating_add(hold_ms))
    }
}
