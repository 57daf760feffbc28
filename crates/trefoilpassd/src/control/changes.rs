//! Changes that operators and the steward make: transactions on the table, each of them whole or not at all.

use std::sync::Arc;
use std::time::Duration;

use domain::{ConfigHead, Epoch, FleetHead, FleetSeq, PoolId, PresetId, VmId, VmRecord};
use peer::{AppliedConfig, OperatorError, PeerRpcClient};
use platform::{Commit, Error, Platform, Transaction};
use settings::Deployment;
use xtra::Address;

use crate::clock::unix_time_s;
use crate::control::rows::{self, ChangeRow, OpRow};
use crate::control::{Clients, Poll, ViewActor};
use crate::in_force::InForce;
use crate::shared::Shared;

/// The result of a change.
pub(crate) type Result<T> = std::result::Result<T, OperatorError>;

/// How long a write is tried while the platform's answers are lost.
const WRITE_PATIENCE_US: u64 = 5_000_000;

/// The pause between two tries.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// How often a change starts over because another one came first.
const MAX_RACES: usize = 20;

/// A row that a change writes besides its own, on the condition of a version.
#[derive(Debug, Clone)]
pub(crate) struct SideWrite {
    pub(crate) key: String,
    pub(crate) version: u64,
    /// The value to write; without one the version is only checked.
    pub(crate) value: Option<serde_json::Value>,
}

/// Makes changes.
#[derive(Debug)]
pub(crate) struct Changes<P: Platform> {
    pub(crate) shared: Arc<Shared<P>>,
    pub(crate) clients: Clients,
    pub(crate) view: Address<ViewActor<P>>,
}

// By hand, because `P` need not be `Clone` for an `Arc` of it.
impl<P: Platform> Clone for Changes<P> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            clients: self.clients.clone(),
            view: self.view.clone(),
        }
    }
}

/// How a write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Written {
    /// It took effect.
    Yes,
    /// It did not, because a row had another version.
    Raced,
}

impl<P: Platform> Changes<P> {
    /// Writes a transaction. After a lost answer it is sent again; the row `op/<id>`, which is part of it, tells
    /// whether the first one took effect.
    pub(crate) async fn write(&self, transaction: Transaction) -> Result<Written> {
        let op_key = rows::op(&transaction.op);
        let made = OpRow {
            made_at_s: unix_time_s(),
        };
        let transaction = transaction
            .with_condition(op_key.clone(), 0)
            .with_write(op_key.clone(), &made);
        let until_us = self.shared.clock.now_us() + WRITE_PATIENCE_US;
        let mut may_have_taken_effect = false;
        loop {
            let result = self.shared.platform.transact(&transaction).await;
            match result {
                Ok(Commit::Committed) => return Ok(Written::Yes),
                Ok(Commit::Conflict { rows }) => {
                    let is_own = rows
                        .iter()
                        .any(|entry| entry.key == op_key && entry.row.is_some());
                    return Ok(if is_own { Written::Yes } else { Written::Raced });
                }
                Err(Error::Lost { .. }) => may_have_taken_effect = true,
                Err(Error::Unreachable) => {}
                Err(err) => return Err(OperatorError::PlatformUnreachable(err.to_string())),
            }
            if self.shared.clock.now_us() >= until_us {
                let message = "the platform did not answer";
                return Err(if may_have_taken_effect {
                    OperatorError::OutcomeUnknown(message.into())
                } else {
                    OperatorError::PlatformUnreachable(message.into())
                });
            }
            tokio::time::sleep(WRITE_PAUSE).await;
        }
    }

    /// Changes a VM's record. `change` sees all that is in force, as of the last change, and decides on it; two
    /// changes never decide on the same state.
    pub(crate) async fn change_vm(
        &self,
        vm: &VmId,
        side_writes: &[SideWrite],
        change: impl Fn(&InForce, &VmRecord) -> Result<VmRecord> + Sync,
    ) -> Result<FleetSeq> {
        for _ in 0..MAX_RACES {
            let (version, seq) = self.fleet_head().await?;
            let in_force = self.shared.in_force();
            if in_force.fleet_seq != seq {
                self.poll().await;
                continue;
            }
            let not_found = || OperatorError::NotFound(format!("there is no VM `{vm}`"));
            let record = in_force.record(vm).ok_or_else(not_found)?;
            let op = self.shared.next_op();
            let next = change(&in_force, &record)?.with_op(op.clone());
            let seq = seq.next();
            let row = ChangeRow {
                vm: vm.clone(),
                record: next.clone(),
            };
            let mut transaction = Transaction::new(op)
                .with_condition(rows::FLEET_HEAD, version)
                .with_write(rows::FLEET_HEAD, &FleetHead { seq })
                .with_write(rows::vm(vm), &next)
                .with_write(rows::change(seq), &row);
            for side in side_writes {
                transaction = transaction.with_condition(side.key.clone(), side.version);
                if let Some(value) = &side.value {
                    transaction = transaction.with_write(side.key.clone(), value);
                }
            }
            match self.write(transaction).await? {
                Written::Yes => {
                    log::info!("VM {vm}: {} in pool {}", next.state, next.pool);
                    self.spread().await;
                    return Ok(seq);
                }
                Written::Raced => self.check_side_writes(side_writes).await?,
            }
        }
        Err(raced("the VM records"))
    }

    async fn fleet_head(&self) -> Result<(u64, FleetSeq)> {
        let row = self.read(rows::FLEET_HEAD).await?;
        let head = row
            .as_ref()
            .map(|row| row.read::<FleetHead>(rows::FLEET_HEAD));
        let head = head.transpose().map_err(from_platform)?.unwrap_or_default();
        Ok((row.map_or(0, |row| row.version), head.seq))
    }

    async fn check_side_writes(&self, side_writes: &[SideWrite]) -> Result<()> {
        for side in side_writes {
            let row = self.read(&side.key).await?;
            if row.map_or(0, |row| row.version) != side.version {
                return Err(raced(&side.key));
            }
        }
        Ok(())
    }

    pub(crate) async fn read(&self, key: &str) -> Result<Option<platform::Row>> {
        let rows = self
            .shared
            .platform
            .get(&[key])
            .await
            .map_err(from_platform)?;
        Ok(rows.into_iter().next().flatten())
    }

    /// Puts a document in force, after the epoch `after` if one is named.
    pub(crate) async fn apply_config(
        &self,
        text: String,
        after: Option<Epoch>,
    ) -> Result<AppliedConfig> {
        let bad = |err: settings::Error| OperatorError::BadInput(err.to_string());
        let deployment = Deployment::parse(&text).map_err(bad)?;
        let digest = Deployment::digest(&text);
        let name = rows::document(&digest);
        let stored = self.shared.platform.put_object(&name, text).await;
        stored.map_err(from_platform)?;
        for _ in 0..MAX_RACES {
            let (fleet_version, seq) = self.fleet_head().await?;
            let (version, head) = self.config_head().await?;
            let epoch = head.as_ref().map_or(Epoch::default(), |head| head.epoch);
            if after.is_some_and(|after| after != epoch) {
                let message = format!(
                    "configuration {epoch} is in force, not {}",
                    after.unwrap_or_default()
                );
                return Err(OperatorError::Conflict(message));
            }
            let in_force = self.shared.in_force();
            let own = in_force.view();
            if own.fleet_seq != seq || own.epoch != epoch {
                self.poll().await;
                continue;
            }
            check_vms(&in_force, &deployment)?;
            let preset = head.map(|head| head.preset);
            let preset = preset.unwrap_or_else(|| deployment.first_preset.clone());
            if deployment.preset(&preset).is_none() {
                let message = format!("presets: preset `{preset}`, which is in force, is missing");
                return Err(OperatorError::BadInput(message));
            }
            let next = ConfigHead {
                epoch: epoch.next(),
                preset,
                digest: digest.clone(),
                op: self.shared.next_op(),
            };
            if self.write_head(&next, version, Some(fleet_version)).await? == Written::Yes {
                return Ok(applied(next));
            }
        }
        Err(raced("the configuration"))
    }

    /// Switches the preset, if `from` is in force.
    pub(crate) async fn switch_preset(
        &self,
        from: &PresetId,
        to: &PresetId,
    ) -> Result<AppliedConfig> {
        let (version, head) = self.config_head().await?;
        let head = head.ok_or_else(no_configuration)?;
        if head.preset != *from {
            let message = format!("preset `{}` is in force, not `{from}`", head.preset);
            return Err(OperatorError::Conflict(message));
        }
        if self.shared.view().epoch != head.epoch {
            self.poll().await;
        }
        let in_force = self.shared.in_force();
        let config = in_force.config.as_ref().ok_or_else(no_configuration)?;
        if config.deployment.preset(to).is_none() {
            return Err(OperatorError::NotFound(format!(
                "there is no preset `{to}`"
            )));
        }
        let next = ConfigHead {
            epoch: head.epoch.next(),
            preset: to.clone(),
            digest: head.digest,
            op: self.shared.next_op(),
        };
        match self.write_head(&next, version, None).await? {
            Written::Yes => Ok(applied(next)),
            Written::Raced => Err(raced("the configuration")),
        }
    }

    async fn config_head(&self) -> Result<(u64, Option<ConfigHead>)> {
        let row = self.read(rows::CONFIG_HEAD).await?;
        let head = row
            .as_ref()
            .map(|row| row.read::<ConfigHead>(rows::CONFIG_HEAD));
        let head = head.transpose().map_err(from_platform)?;
        Ok((row.map_or(0, |row| row.version), head))
    }

    async fn write_head(
        &self,
        head: &ConfigHead,
        version: u64,
        fleet_version: Option<u64>,
    ) -> Result<Written> {
        let mut transaction = Transaction::new(head.op.clone())
            .with_condition(rows::CONFIG_HEAD, version)
            .with_write(rows::CONFIG_HEAD, head);
        if let Some(fleet_version) = fleet_version {
            transaction = transaction.with_condition(rows::FLEET_HEAD, fleet_version);
        }
        let written = self.write(transaction).await?;
        if written == Written::Yes {
            self.spread().await;
        }
        Ok(written)
    }

    /// Takes in what is new here, and tells the peers that there is something new.
    async fn spread(&self) {
        self.poll().await;
        let view = self.shared.view();
        for (_, client) in self.clients.iter() {
            let rpc = client.rpc.clone();
            let from = self.shared.entry_vm().clone();
            tokio::spawn(async move {
                // A peer that misses the news finds it with its next poll.
                let _ = rpc.news(from, view).await;
            });
        }
    }

    pub(crate) async fn poll(&self) {
        // The actor lives as long as the daemon.
        let _ = self.view.send(Poll).await;
    }
}

/// VMs that carry work can't go away or change pool by a document; operators drain and move them.
fn check_vms(in_force: &InForce, next: &Deployment) -> Result<()> {
    let Some(config) = &in_force.config else {
        return Ok(());
    };
    for vm in &config.deployment.vms {
        let Some(record) = in_force.record(&vm.id) else {
            continue;
        };
        let is_stopped = record.state == domain::VmState::Stopped;
        if next.vm(&vm.id).is_none() && !is_stopped {
            let message = format!(
                "vms: `{}` is missing, but it is {}; drain it first",
                vm.id, record.state
            );
            return Err(OperatorError::BadInput(message));
        }
    }
    for (i, vm) in next.vms.iter().enumerate() {
        let before = config.deployment.vm(&vm.id);
        if before.is_some_and(|before| before.pool != vm.pool) {
            let message = format!(
                "vms[{i}].pool: `{}` changes pool by `vm move`, not here",
                vm.id
            );
            return Err(OperatorError::BadInput(message));
        }
        let record = in_force.records.get(&vm.id);
        if record.is_some_and(|record| !has_pool(next, &record.pool)) {
            let message = format!("pools: a pool is missing that VM `{}` was moved to", vm.id);
            return Err(OperatorError::BadInput(message));
        }
    }
    Ok(())
}

pub(crate) fn has_pool(deployment: &Deployment, id: &PoolId) -> bool {
    deployment.pools.iter().any(|pool| pool.id == *id)
}

fn applied(head: ConfigHead) -> AppliedConfig {
    AppliedConfig {
        epoch: head.epoch,
        preset: head.preset,
    }
}

fn raced(what: &str) -> OperatorError {
    OperatorError::Conflict(format!("{what} changed at the same time"))
}

pub(crate) fn no_configuration() -> OperatorError {
    OperatorError::NoConfiguration("no configuration has been applied yet".into())
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as a function of map_err"
)]
pub(crate) fn from_platform(err: Error) -> OperatorError {
    OperatorError::PlatformUnreachable(err.to_string())
}
