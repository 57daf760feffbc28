//! Orders to VMs. Each is checked against the steward's lease right before.

use std::time::Duration;

use pools::OrderResult;
use users_platform::VmOrderAnswer;

use crate::clock::local_ms;
use crate::steward::Steward;

/// How long the control of VMs may take to answer. Together with the span for orders less than the gap that a
/// successor leaves.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

impl Steward {
    /// Orders a VM of a wave into maintenance.
    pub(super) async fn maintain(&mut self, key: &str, vm: &str) {
        let Some(number) = self.node.waves.lock().get(key).map(|order| order.number) else {
            return;
        };
        let result = if self.may_order() {
            let holder = (self.node.settings.daemon.as_str(), self.term);
            let maintain = self.node.vms.maintain(vm, number, holder, ORDER_TIMEOUT);
            match maintain.await {
                Ok(VmOrderAnswer::Done) => OrderResult::Begun,
                Ok(VmOrderAnswer::Busy | VmOrderAnswer::Term) => OrderResult::Busy,
                Ok(VmOrderAnswer::NotOfWave | VmOrderAnswer::Impossible { .. }) => {
                    OrderResult::Impossible
                }
                Err(err) if err.is_without_effect() => OrderResult::Busy,
                Err(_) => OrderResult::Unanswered,
            }
        } else {
            OrderResult::Busy
        };
        tracing::info!(vm, wave = key, term = self.term, result = ?result, "ordered maintenance");
        if let Some((wave, _)) = self.waves.get_mut(key) {
            wave.ordered(vm, result, local_ms());
        }
    }
}
