//! The steward's work: leaving VMs are stopped when nothing is in flight, and waves go on.

use std::time::Duration;

use domain::{VmId, VmState};
use futures_util::future::join_all;
use maintenance::{StopDecision, Wave, WaveStep};
use platform::Platform;

use crate::control::changes::{Result, SideWrite};
use crate::control::leaving::{as_rule_input, drained, leave_rule, wrong_state};
use crate::control::operator_server::{MAX_WAVES, read_wave};
use crate::control::reports::{self, Listed};
use crate::control::rows;
use crate::control::steward_actor::StewardActor;

impl<P: Platform> StewardActor<P> {
    /// Stops the leaving VMs to which nothing is in flight any more.
    pub(crate) async fn finish_leaving(&mut self) {
        let in_force = self.shared.in_force();
        let leaving = in_force.records.iter();
        let leaving = leaving.filter(|(_, record)| record.state == VmState::Leaving);
        let leaving: Vec<_> = leaving
            .map(|(vm, record)| (vm.clone(), record.op.clone()))
            .collect();
        let now_us = self.shared.clock.now_us();
        self.marks_seen_us.retain(|mark, _| leaving.contains(mark));
        for mark in &leaving {
            self.marks_seen_us.entry(mark.clone()).or_insert(now_us);
        }
        let mark_ages = leaving.iter().map(|mark| now_us - self.marks_seen_us[mark]);
        let asked = leaving.iter().zip(mark_ages);
        let asked = asked.map(|((vm, _), mark_age_us)| self.may_stop(vm, mark_age_us));
        let decisions = join_all(asked).await;
        for ((vm, _), decision) in leaving.iter().zip(decisions) {
            if !matches!(decision, Ok(StopDecision::Stop)) || !self.jobs.is_idle(vm) {
                continue;
            }
            if let Err(err) = self.stop(vm).await {
                log::debug!("VM {vm} is not stopped yet: {err}");
            }
        }
    }

    /// Asks all daemons about a VM whose mark this steward has known for `mark_age_us`.
    async fn may_stop(&self, vm: &VmId, mark_age_us: u64) -> Result<StopDecision> {
        let in_force = self.shared.in_force();
        let rule = leave_rule(&in_force, vm)?;
        let mark = Some(in_force.fleet_seq);
        let replies = self.changes.ask_all(vm, Duration::ZERO, mark).await;
        Ok(rule.stop_decision(mark_age_us, as_rule_input(&replies)))
    }

    async fn stop(&self, vm: &VmId) -> Result<()> {
        let fence = [self.fence()];
        let stopped = self.changes.change_vm(vm, &fence, |_, record| {
            let stopped = record.stopped().map_err(wrong_state)?;
            if record.move_to.is_some() {
                // A VM that changes pool serves there at once.
                return stopped.returned().map_err(wrong_state);
            }
            Ok(stopped)
        });
        stopped.await.map(|_| ())
    }

    /// Takes the next steps of all open waves.
    pub(crate) async fn advance_waves(&mut self) {
        let listed = self.shared.platform.list(rows::WAVES, "", MAX_WAVES).await;
        let waves = listed.unwrap_or_default();
        let waves: Vec<_> = waves.iter().filter_map(read_wave).collect();
        if !waves.iter().any(|(wave, _)| wave.is_unfinished()) {
            return;
        }
        let Ok(vms) = self.shared.platform.list_vms().await else {
            return;
        };
        let listed: Listed = vms.into_iter().map(|vm| (vm.vm.clone(), vm)).collect();
        for (wave, version) in waves {
            if wave.is_unfinished()
                && let Err(err) = self.advance_wave(&wave, version, &listed).await
            {
                log::debug!("wave {} waits: {err}", wave.id);
            }
        }
    }

    /// Takes the steps that a wave is ready for, one after the other.
    async fn advance_wave(&mut self, wave: &Wave, version: u64, listed: &Listed) -> Result<()> {
        let in_force = self.shared.in_force();
        let ledger = reports::ledger(&in_force, &wave.pool, listed)?;
        let mut wave = wave.clone();
        let mut version = version;
        for step in wave.next_steps(&ledger) {
            wave = self.take_step(&wave, version, &step, listed).await?;
            // Every step writes the row once.
            let row = self.changes.read(&rows::wave(&wave.id)).await?;
            version = row.map_or(0, |row| row.version);
        }
        Ok(())
    }

    async fn take_step(
        &mut self,
        wave: &Wave,
        version: u64,
        step: &WaveStep,
        listed: &Listed,
    ) -> Result<Wave> {
        match step {
            WaveStep::Drain(vm) => {
                let next = wave.after_drain(vm);
                let writes = [self.fence(), side_write(&next, version)];
                let drain = |in_force: &_, record: &_| drained(in_force, vm, record, listed);
                self.changes.begin_leaving(vm, &writes, drain).await?;
                Ok(next)
            }
            WaveStep::Reboot(vm) => {
                let op = reboot_op(wave, vm)?;
                let rebooted = self.shared.platform.reboot(vm, &op).await;
                let boots = rebooted.map_err(crate::control::changes::from_platform)?;
                let next = wave.after_reboot(vm, boots);
                self.write_wave(&next, version).await?;
                Ok(next)
            }
            WaveStep::Return(vm) => {
                let next = wave.after_return(vm);
                let writes = [self.fence(), side_write(&next, version)];
                let returned = self.changes.change_vm(vm, &writes, |_, record| {
                    record.returned().map_err(wrong_state)
                });
                returned.await?;
                Ok(next)
            }
        }
    }

    async fn write_wave(&self, wave: &Wave, version: u64) -> Result<()> {
        let fence = self.fence();
        let key = rows::wave(&wave.id);
        let transaction = platform::Transaction::new(self.shared.next_op())
            .with_condition(fence.key, fence.version)
            .with_condition(key.clone(), version)
            .with_write(key, wave);
        self.changes.write(transaction).await.map(|_| ())
    }
}

fn side_write(wave: &Wave, version: u64) -> SideWrite {
    SideWrite {
        key: rows::wave(&wave.id),
        version,
        value: serde_json::to_value(wave).ok(),
    }
}

/// The same for every steward, so that a VM is rebooted once in a wave.
fn reboot_op(wave: &Wave, vm: &VmId) -> Result<domain::OpId> {
    let text = format!("{}.{vm}", wave.id);
    domain::OpId::new(&text).map_err(|err| peer::OperatorError::BadInput(err.to_string()))
}
