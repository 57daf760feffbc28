//! Answers to operators.

use std::collections::BTreeMap;
use std::sync::Arc;

use domain::{Epoch, JobId, PoolId, PresetId, VmId};
use futures_util::future::join_all;
use jsonrpsee::core::{RpcResult, async_trait};
use maintenance::{Wave, WaveError, WaveId, WaveState};
use membership::View;
use parking_lot::Mutex;
use peer::{
    ActiveViewReport, AppliedConfig, ConfigDocument, LeaderReport, OperatorError,
    OperatorRpcServer, PeerReport, PeerRpcClient, PoolReport, ServiceReport, StatusReport,
    VmReport, WaveReport,
};
use placement::{Job, JobSpec};
use platform::{Platform, RowEntry, Transaction};
use smol_str::format_smolstr;

use crate::control::changes::{
    Changes, Result, Written, from_platform, has_pool, no_configuration,
};
use crate::control::lease::SeenLease;
use crate::control::leaving::{drained, wrong_state};
use crate::control::reports::{self, Listed};
use crate::control::rows;
use crate::shared::Shared;

/// Waves listed at most.
pub(crate) const MAX_WAVES: usize = 200;

/// Answers to operators.
#[derive(Debug)]
pub(crate) struct OperatorServer<P: Platform> {
    pub(crate) shared: Arc<Shared<P>>,
    pub(crate) changes: Changes<P>,
    pub(crate) lease: Arc<Mutex<SeenLease>>,
}

impl<P: Platform> OperatorServer<P> {
    async fn listed(&self) -> Result<Listed> {
        let listed = self.shared.platform.list_vms().await;
        let listed = listed.map_err(from_platform)?.into_iter();
        Ok(listed.map(|entry| (entry.vm.clone(), entry)).collect())
    }

    async fn start_wave(&self, pool: PoolId) -> Result<WaveId> {
        let in_force = self.shared.in_force();
        let ledger = reports::ledger(&in_force, &pool, &BTreeMap::new())?;
        let is_open = |wave: &Wave| wave.pool == pool && wave.is_unfinished();
        if let Some(open) = self.all_waves().await?.into_iter().find(is_open) {
            let message = format!("wave `{}` over pool `{pool}` is {}", open.id, open.state);
            return Err(OperatorError::WrongState(message));
        }
        let id = format_smolstr!("{pool}-{}", crate::clock::unix_time_s());
        let vms = ledger.vms().iter().map(|vm| vm.id.clone());
        let wave = Wave::new(id.clone(), pool.clone(), vms);
        self.write_wave(&wave, 0).await?;
        Ok(id)
    }

    async fn all_waves(&self) -> Result<Vec<Wave>> {
        let listed = self.shared.platform.list(rows::WAVES, "", MAX_WAVES).await;
        let entries = listed.map_err(from_platform)?;
        Ok(entries
            .iter()
            .filter_map(read_wave)
            .map(|(wave, _)| wave)
            .collect())
    }

    async fn change_wave(
        &self,
        id: &WaveId,
        change: impl Fn(&Wave) -> std::result::Result<Wave, WaveError>,
    ) -> Result<()> {
        let key = rows::wave(id);
        let row = self.changes.read(&key).await?;
        let not_found = || OperatorError::NotFound(format!("there is no wave `{id}`"));
        let row = row.ok_or_else(not_found)?;
        let wave = row.read::<Wave>(&key).map_err(from_platform)?;
        let next = change(&wave).map_err(|err| OperatorError::WrongState(err.to_string()))?;
        self.write_wave(&next, row.version).await
    }

    async fn write_wave(&self, wave: &Wave, version: u64) -> Result<()> {
        let key = rows::wave(&wave.id);
        let transaction = Transaction::new(self.shared.next_op())
            .with_condition(key.clone(), version)
            .with_write(key, wave);
        match self.changes.write(transaction).await? {
            Written::Yes => Ok(()),
            Written::Raced => Err(OperatorError::Conflict(format!(
                "wave `{}` changed at the same time",
                wave.id
            ))),
        }
    }
}

/// A wave and its row's version.
pub(crate) fn read_wave(entry: &RowEntry) -> Option<(Wave, u64)> {
    let row = entry.row.as_ref()?;
    Some((row.read(&entry.key).ok()?, row.version))
}

#[async_trait]
impl<P: Platform> OperatorRpcServer for OperatorServer<P> {
    async fn status(&self) -> RpcResult<StatusReport> {
        let shared = &self.shared;
        let now_us = shared.clock.now_us();
        let in_force = shared.in_force();
        let leader = self.lease.lock().row.clone().map(|row| LeaderReport {
            incarnation: row.holder,
            term: row.term,
        });
        let peers = shared.peers.lock().statuses(now_us);
        let age_us = shared.freshness.lock().age_us(now_us);
        Ok(StatusReport {
            entry_vm: shared.entry_vm().clone(),
            zone: shared.zone().clone(),
            incarnation: shared.incarnation.clone(),
            is_ready: shared.is_ready(),
            view: in_force.view(),
            preset: in_force
                .config
                .as_ref()
                .map(|config| config.head.preset.clone()),
            view_age_ms: age_us.map(|age_us| age_us / 1_000),
            platform_reachable: shared.platform_reachable(),
            leader,
            peers: peers
                .into_iter()
                .map(|peer| PeerReport {
                    entry_vm: peer.entry_vm,
                    zone: peer.zone,
                    state: peer.state,
                    view: peer.view,
                })
                .collect(),
        })
    }

    async fn in_force(&self) -> RpcResult<Vec<ActiveViewReport>> {
        let own = self.shared.view();
        let calls = self.changes.clients.iter().map(|(id, client)| async move {
            // The answer to a question that is far behind always tells the whole view.
            let contents = client.rpc.view(View::default()).await;
            let view = contents.ok().map(|contents| {
                contents.map_or(View::default(), |contents| View {
                    epoch: contents.head.epoch,
                    fleet_seq: contents.fleet_seq,
                })
            });
            ActiveViewReport {
                entry_vm: id.clone(),
                view,
            }
        });
        let mut reports = join_all(calls).await;
        reports.push(ActiveViewReport {
            entry_vm: self.shared.entry_vm().clone(),
            view: Some(own),
        });
        reports.sort_by(|a, b| a.entry_vm.cmp(&b.entry_vm));
        Ok(reports)
    }

    async fn config_show(&self) -> RpcResult<ConfigDocument> {
        let in_force = self.shared.in_force();
        let config = in_force.config.as_ref().ok_or_else(no_configuration)?;
        let presets = config.deployment.presets.iter();
        Ok(ConfigDocument {
            epoch: config.head.epoch,
            preset: config.head.preset.clone(),
            presets: presets.map(|preset| preset.id.clone()).collect(),
            text: config.text.to_string(),
        })
    }

    async fn config_apply(&self, text: String, after: Option<Epoch>) -> RpcResult<AppliedConfig> {
        Ok(self.changes.apply_config(text, after).await?)
    }

    async fn preset_switch(&self, from: PresetId, to: PresetId) -> RpcResult<AppliedConfig> {
        Ok(self.changes.switch_preset(&from, &to).await?)
    }

    async fn services(&self) -> RpcResult<Vec<ServiceReport>> {
        let requests = &self.shared.metrics.requests;
        let count = |service: &str| requests.with_label_values(&[service]).get();
        Ok(reports::services(&self.shared.in_force(), count)?)
    }

    async fn vms(&self) -> RpcResult<Vec<VmReport>> {
        let traffic = &self.shared.traffic;
        let in_flight = |vm: &VmId| traffic.with(|router, _, _| router.in_flight_to(vm));
        Ok(reports::vms(&self.shared.in_force(), in_flight)?)
    }

    async fn pools(&self) -> RpcResult<Vec<PoolReport>> {
        let listed = self.listed().await?;
        Ok(reports::pools(&self.shared.in_force(), &listed)?)
    }

    async fn vm_drain(&self, vm: VmId) -> RpcResult<()> {
        let listed = self.listed().await?;
        let next = |in_force: &_, record: &_| drained(in_force, &vm, record, &listed);
        Ok(self.changes.begin_leaving(&vm, &[], next).await?)
    }

    async fn vm_return(&self, vm: VmId) -> RpcResult<()> {
        let returned = self
            .changes
            .change_vm(&vm, &[], |_, record| record.returned().map_err(wrong_state));
        returned.await?;
        Ok(())
    }

    async fn vm_move(&self, vm: VmId, to: PoolId) -> RpcResult<()> {
        let listed = self.listed().await?;
        let moved = self.changes.begin_leaving(&vm, &[], |in_force, record| {
            let config = in_force.config.as_ref().ok_or_else(no_configuration)?;
            if !has_pool(&config.deployment, &to) {
                return Err(OperatorError::NotFound(format!("there is no pool `{to}`")));
            }
            let next = record.moving(to.clone()).map_err(wrong_state)?;
            drained(in_force, &vm, record, &listed)?;
            Ok(next)
        });
        Ok(moved.await?)
    }

    async fn wave_start(&self, pool: PoolId) -> RpcResult<WaveId> {
        Ok(self.start_wave(pool).await?)
    }

    async fn waves(&self) -> RpcResult<Vec<WaveReport>> {
        let waves = self.all_waves().await?;
        Ok(waves.iter().map(wave_report).collect())
    }

    async fn wave_pause(&self, wave: WaveId) -> RpcResult<()> {
        Ok(self.change_wave(&wave, Wave::paused).await?)
    }

    async fn wave_resume(&self, wave: WaveId) -> RpcResult<()> {
        Ok(self.change_wave(&wave, Wave::resumed).await?)
    }

    async fn wave_abort(&self, wave: WaveId) -> RpcResult<()> {
        Ok(self.change_wave(&wave, Wave::aborted).await?)
    }

    async fn job_submit(&self, id: JobId, spec: JobSpec) -> RpcResult<()> {
        Ok(self.changes.submit_job(id, spec).await?)
    }

    async fn jobs(&self) -> RpcResult<Vec<Job>> {
        Ok(self.changes.all_jobs().await?)
    }

    async fn job_show(&self, id: JobId) -> RpcResult<Job> {
        Ok(self.changes.job(&id).await?)
    }

    async fn jobs_cancel(&self, ids: Vec<JobId>) -> RpcResult<Vec<JobId>> {
        Ok(self.changes.cancel_jobs(ids).await?)
    }
}

fn wave_report(wave: &Wave) -> WaveReport {
    WaveReport {
        wave: wave.id.clone(),
        pool: wave.pool.clone(),
        state: wave.state,
        waiting: match wave.state {
            WaveState::Running | WaveState::Paused => reports::count(wave.waiting.len()),
            WaveState::Done | WaveState::Aborted => 0,
        },
        taken: reports::count(wave.draining.len() + wave.rebooted.len()),
        done: reports::count(wave.done.len()),
    }
}
