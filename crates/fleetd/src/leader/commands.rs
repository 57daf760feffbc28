//! Commands to VMs. The leader's lease is checked right before a command is sent.

use std::sync::Arc;
use std::time::Duration;

use ownership::Lease;
use parking_lot::Mutex;
use pools::VmCommandOutcome;
use smol_str::SmolStr;
use tokio::task::JoinSet;
use users_platform::{CallLimits, Error, VmClient, VmCommandResponse};

use crate::clock::local_ms;

/// How long after the last renewal of its lease a leader may send commands.
pub(super) const COMMAND_WINDOW_MS: u64 = 1500;

/// The timeout of a call to the VM control. Together with [`COMMAND_WINDOW_MS`], the timeout is shorter than the
/// gap that a successor keeps to the commands of the previous leader.
pub(super) const COMMAND_TIMEOUT: Duration = Duration::from_millis(800);

/// How long connecting to the VM control may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How often the clock is read that tells whether a command has timed out.
const CLOCK_PERIOD: Duration = Duration::from_millis(50);

/// A command to a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum VmCommand {
    /// Moves the VM to a pool.
    Move { vm: SmolStr, pool: SmolStr },
    /// Maintains the VM as part of the maintenance wave with the key `wave` and the number `number`.
    Maintain {
        vm: SmolStr,
        wave: SmolStr,
        number: u64,
    },
}

/// Sends commands to VMs on behalf of one leader.
#[derive(Debug, Clone)]
pub(super) struct CommandSender {
    pub(super) vms: VmClient,
    pub(super) daemon: SmolStr,
    pub(super) term: u64,
    pub(super) lease: Arc<Mutex<Lease>>,
}

impl VmCommand {
    pub(super) fn vm(&self) -> &SmolStr {
        match self {
            Self::Move { vm, .. } | Self::Maintain { vm, .. } => vm,
        }
    }
}

impl CommandSender {
    pub(super) fn may_send_commands(&self) -> bool {
        self.lease.lock().is_valid(local_ms(), COMMAND_WINDOW_MS)
    }

    /// Sends commands concurrently and returns the outcome of each. `recorded_at_ms` is when the commands were
    /// recorded, on the local clock. A command whose task failed is missing from the result.
    pub(super) async fn send_all(
        &self,
        commands: Vec<VmCommand>,
        recorded_at_ms: u64,
    ) -> Vec<(VmCommand, VmCommandOutcome)> {
        let mut tasks = JoinSet::new();
        for command in commands {
            let sender = self.clone();
            tasks.spawn(async move {
                let outcome = sender.send(&command, recorded_at_ms).await;
                (command, outcome)
            });
        }
        let mut outcomes = Vec::new();
        while let Some(joined) = tasks.join_next().await {
            match joined {
                Ok(outcome) => outcomes.push(outcome),
                Err(err) => {
                    tracing::error!(error = %err, "task that sends a command to a VM failed");
                }
            }
        }
        outcomes
    }

    async fn send(&self, command: &VmCommand, recorded_at_ms: u64) -> VmCommandOutcome {
        let owner = (self.daemon.as_str(), self.term);
        let sent_at_ms = local_ms();
        let lease_age_ms = self.lease.lock().age_ms(sent_at_ms);
        // A successor's soft lock on the VM starts when the command is recorded, so the command must follow soon after.
        let is_recent = || local_ms().saturating_sub(recorded_at_ms) < COMMAND_WINDOW_MS;
        let limits = CallLimits {
            connect_timeout: CONNECT_TIMEOUT,
            unacknowledged_timeout: COMMAND_TIMEOUT,
            may_send: || is_recent() && self.may_send_commands(),
            give_up: time_passed(sent_at_ms, COMMAND_TIMEOUT, local_ms),
        };
        let response = match command {
            VmCommand::Move { vm, pool } => self.vms.move_to_pool(vm, pool, owner, limits).await,
            VmCommand::Maintain { vm, number, .. } => {
                self.vms.maintain(vm, *number, owner, limits).await
            }
        };
        let outcome = command_outcome(&response);
        let recorded_age_ms = sent_at_ms.saturating_sub(recorded_at_ms);
        let duration_ms = local_ms().saturating_sub(sent_at_ms);
        tracing::info!(
            order = ?command, term = self.term, recorded_age_ms, lease_age_ms, duration_ms, answer = ?response,
            "sent a command to a VM"
        );
        outcome
    }
}

fn command_outcome(response: &Result<VmCommandResponse, Error>) -> VmCommandOutcome {
    match response {
        Ok(VmCommandResponse::Done) => VmCommandOutcome::Started,
        Ok(VmCommandResponse::Busy | VmCommandResponse::StaleTerm) => VmCommandOutcome::Busy,
        Ok(VmCommandResponse::NotInWave | VmCommandResponse::Impossible { .. }) => {
            VmCommandOutcome::Impossible
        }
        Err(err) if err.is_without_effect() => VmCommandOutcome::WithoutEffect,
        Err(_) => VmCommandOutcome::Unknown,
    }
}

/// Waits until `duration` has passed since `start_ms` on a clock in ms that, unlike timers, counts the time in which the machine
/// is suspended.
async fn time_passed(start_ms: u64, duration: Duration, clock_ms: impl Fn() -> u64) {
    while u128::from(clock_ms().saturating_sub(start_ms)) < duration.as_millis() {
        tokio::time::sleep(CLOCK_PERIOD).await;
    }
}

#[cfg(test)]
mod tests;
