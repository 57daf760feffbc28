//! Asks all daemons about a VM that leaves, and starts its leaving when its zone agrees.

use std::collections::BTreeMap;
use std::time::Duration;

use domain::{EntryVmId, FleetSeq, VmId, VmRecord, ZoneId};
use futures_util::future::join_all;
use maintenance::{DaemonReply, DrainRule};
use membership::ContactFailure;
use peer::{OperatorError, PeerRpcClient};
use platform::Platform;

use crate::control::changes::{Changes, Result, SideWrite, no_configuration};
use crate::control::clients::no_contact;
use crate::control::reports::{self, Listed};
use crate::in_force::InForce;

/// How long a daemon sends nothing to a VM that somebody wants to mark as leaving.
pub(crate) const HOLD: Duration = Duration::from_secs(15);

/// The mark has to be written this long before the holds end.
const HOLD_MARGIN_US: u64 = 5_000_000;

/// What all daemons said, by entry VM, with their zones.
pub(crate) type Replies = BTreeMap<EntryVmId, (ZoneId, DaemonReply)>;

impl<P: Platform> Changes<P> {
    /// Lets a VM leave: its zone's daemons stop sending to it, then it is marked.
    pub(crate) async fn begin_leaving(
        &self,
        vm: &VmId,
        side_writes: &[SideWrite],
        next: impl Fn(&InForce, &VmRecord) -> Result<VmRecord> + Sync,
    ) -> Result<()> {
        // Mistakes are found before any daemon is asked, and not in a view that lags behind.
        self.poll().await;
        let in_force = self.shared.in_force();
        let record = in_force.record(vm).ok_or_else(|| unknown_vm(vm))?;
        next(&in_force, &record)?;
        let rule = leave_rule(&in_force, vm)?;
        // The first question holds nothing back, so that a drain that can't be made does not disturb the VM.
        let reached = self
            .ask_all(vm, Duration::ZERO, Some(FleetSeq::default()))
            .await;
        check_held(vm, &rule, &reached)?;
        let asked_us = self.shared.clock.now_us();
        let replies = self.ask_all(vm, HOLD, None).await;
        if let Err(err) = check_held(vm, &rule, &replies) {
            self.take_back(vm).await;
            return Err(err);
        }
        let clock = self.shared.clock;
        let limit_us = u64::try_from(HOLD.as_micros()).unwrap_or(u64::MAX) - HOLD_MARGIN_US;
        let marked = self.change_vm(vm, side_writes, |in_force, record| {
            if clock.now_us().saturating_sub(asked_us) > limit_us {
                return Err(OperatorError::PeersUnreachable(
                    "the agreement took too long".into(),
                ));
            }
            // The budget is looked at again, with all changes that came before this one.
            next(in_force, record)
        });
        let marked = marked.await;
        if marked
            .as_ref()
            .is_err_and(|err| !matches!(err, OperatorError::OutcomeUnknown(_)))
        {
            self.take_back(vm).await;
        }
        marked.map(|_| ())
    }

    /// Asks all daemons, this one included, to send a VM nothing more, and for their requests in flight to it.
    pub(crate) async fn ask_all(
        &self,
        vm: &VmId,
        hold: Duration,
        mark: Option<FleetSeq>,
    ) -> Replies {
        let own = self.agree_to_leave(vm, hold, mark);
        let hold_ms = u64::try_from(hold.as_millis()).unwrap_or(u64::MAX);
        let calls = self.clients.iter().map(|(id, client)| async move {
            let reply = match client.rpc.leave(vm.clone(), hold_ms, mark).await {
                Ok(reply) if reply.is_agreed => DaemonReply::Agreed {
                    in_flight: reply.in_flight,
                },
                Ok(_) => DaemonReply::NotApplied,
                Err(err) if no_contact(&err) == ContactFailure::ConnectionRefused => {
                    DaemonReply::NotRunning
                }
                Err(_) => DaemonReply::Unresponsive,
            };
            (id.clone(), (client.zone.clone(), reply))
        });
        let mut replies: Replies = join_all(calls).await.into_iter().collect();
        let zone = self.shared.zone().clone();
        replies.insert(self.shared.entry_vm().clone(), (zone, own));
        replies
    }

    /// This daemon's own agreement: for a while, or because the mark is in force.
    pub(crate) fn agree_to_leave(
        &self,
        vm: &VmId,
        hold: Duration,
        mark: Option<FleetSeq>,
    ) -> DaemonReply {
        if let Some(mark) = mark {
            if self.shared.view().fleet_seq < mark {
                return DaemonReply::NotApplied;
            }
        } else {
            let hold_us = u64::try_from(hold.as_micros()).unwrap_or(u64::MAX);
            let until_us = self.shared.clock.now_us() + hold_us;
            self.shared.change_in_force(|in_force| {
                in_force.hold(vm.clone(), until_us);
                true
            });
        }
        let in_flight = self
            .shared
            .traffic
            .with(|router, _, _| router.in_flight_to(vm));
        DaemonReply::Agreed { in_flight }
    }

    async fn take_back(&self, vm: &VmId) {
        self.release_hold(vm);
        let calls = self
            .clients
            .iter()
            .map(|(_, client)| client.rpc.unleave(vm.clone()));
        // A daemon that misses this ends its hold by itself.
        join_all(calls).await;
    }

    pub(crate) fn release_hold(&self, vm: &VmId) {
        self.shared.change_in_force(|in_force| {
            in_force.release_hold(vm);
            true
        });
    }
}

/// The rule for the VM's zone.
pub(crate) fn leave_rule(in_force: &InForce, vm: &VmId) -> Result<DrainRule> {
    let config = in_force.config.as_ref().ok_or_else(no_configuration)?;
    let vm = config.deployment.vm(vm).ok_or_else(|| unknown_vm(vm))?;
    Ok(DrainRule::new(
        vm.zone.clone(),
        in_force.longest_request_us(),
    ))
}

pub(crate) fn as_rule_input(
    replies: &Replies,
) -> impl Iterator<Item = (&EntryVmId, &ZoneId, &DaemonReply)> {
    replies.iter().map(|(id, (zone, reply))| (id, zone, reply))
}

/// Fails, naming them, when daemons of the VM's zone do not agree.
fn check_held(vm: &VmId, rule: &DrainRule, replies: &Replies) -> Result<()> {
    let holding = rule.daemons_blocking_drain(as_rule_input(replies));
    if holding.is_empty() {
        return Ok(());
    }
    let names: Vec<_> = holding.iter().map(EntryVmId::as_str).collect();
    let message = format!(
        "VM `{vm}` stays in service: entry VMs of its zone can't be reached: {}",
        names.join(", ")
    );
    Err(OperatorError::PeersUnreachable(message))
}

/// The record of a VM that drains, if its pool's budget allows it with the VMs that `listed` shows as down.
pub(crate) fn drained(
    in_force: &InForce,
    vm: &VmId,
    record: &VmRecord,
    listed: &Listed,
) -> Result<VmRecord> {
    let next = record.drained().map_err(wrong_state)?;
    let ledger = reports::ledger(in_force, &record.pool, listed)?;
    if ledger.planned_allowance() == 0 {
        let message = format!(
            "VM `{vm}` stays in service: pool `{}` has {} of {} VMs serving and may lose no more",
            record.pool,
            ledger.serving_count(),
            ledger.vms().len()
        );
        return Err(OperatorError::OverBudget(message));
    }
    Ok(next)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as a function of map_err"
)]
pub(crate) fn wrong_state(err: domain::VmError) -> OperatorError {
    OperatorError::WrongState(err.to_string())
}

pub(crate) fn unknown_vm(vm: &VmId) -> OperatorError {
    OperatorError::NotFound(format!("there is no VM `{vm}`"))
}
