//! Waiting with progress.

use std::time::{Duration, Instant};

use domain::{Epoch, JobId, VmId, VmState};
use jsonrpsee::http_client::HttpClient;
use maintenance::{WaveId, WaveState};
use peer::OperatorRpcClient;

use crate::args::Wait;
use crate::commands::state_name;
use crate::error::{Error, Result};

/// The pause between two looks.
const PERIOD: Duration = Duration::from_millis(250);

/// What a look found.
enum Look {
    Done,
    NotYet(String),
}

async fn until_done(wait: Wait, look: impl AsyncFn() -> Result<Look>) -> Result<()> {
    let started = Instant::now();
    let mut shown = String::new();
    loop {
        let progress = match look().await? {
            Look::Done => return Ok(()),
            Look::NotYet(progress) => progress,
        };
        if progress != shown {
            eprintln!("{progress}");
            shown.clone_from(&progress);
        }
        if started.elapsed().as_secs() >= wait.wait_s {
            return Err(Error::Waited {
                seconds: wait.wait_s,
                message: progress,
            });
        }
        tokio::time::sleep(PERIOD).await;
    }
}

/// Waits until every daemon that can be reached has `epoch` in force; names those that can't be reached.
pub(crate) async fn for_epoch(rpc: &HttpClient, wait: Wait, epoch: Epoch) -> Result<()> {
    if !wait.wait {
        return Ok(());
    }
    until_done(wait, async || {
        let reports = rpc.in_force().await.map_err(Error::from_call)?;
        let has = |view: membership::View| view.epoch >= epoch;
        let in_force = reports
            .iter()
            .filter(|report| report.view.is_some_and(has))
            .count();
        let behind = reports
            .iter()
            .filter(|report| report.view.is_some_and(|view| !has(view)));
        let unreachable = reports.iter().filter(|report| report.view.is_none());
        let names = |reports: Vec<&peer::ActiveViewReport>| {
            let names: Vec<_> = reports
                .iter()
                .map(|report| report.entry_vm.as_str())
                .collect();
            names.join(", ")
        };
        let (behind, unreachable) = (names(behind.collect()), names(unreachable.collect()));
        let progress = format!("epoch {epoch}: in force at {in_force} of {}", reports.len());
        if behind.is_empty() {
            eprintln!("{progress}");
            if !unreachable.is_empty() {
                eprintln!("unreachable, and bound as soon as they are back: {unreachable}");
            }
            return Ok(Look::Done);
        }
        Ok(Look::NotYet(format!("{progress}; not yet at {behind}")))
    })
    .await
}

/// Waits until a VM is in that state.
pub(crate) async fn for_vm(rpc: &HttpClient, wait: Wait, vm: &VmId, state: VmState) -> Result<()> {
    if !wait.wait {
        return Ok(());
    }
    until_done(wait, async || {
        let vms = rpc.vms().await.map_err(Error::from_call)?;
        let report = vms.into_iter().find(|report| report.vm == *vm);
        Ok(match report {
            Some(report) if report.state == state && report.move_to.is_none() => Look::Done,
            Some(report) => Look::NotYet(format!("VM {vm}: {}", report.state)),
            None => Look::NotYet(format!("VM {vm}: not listed")),
        })
    })
    .await
}

/// Waits until a wave has ended.
pub(crate) async fn for_wave(rpc: &HttpClient, wait: Wait, wave: &WaveId) -> Result<()> {
    if !wait.wait {
        return Ok(());
    }
    until_done(wait, async || {
        let waves = rpc.waves().await.map_err(Error::from_call)?;
        let report = waves.into_iter().find(|report| report.wave == *wave);
        Ok(match report {
            Some(report) if report.state == WaveState::Done => Look::Done,
            Some(report) => Look::NotYet(format!(
                "wave {wave}: {}, {} waiting, {} taken, {} done",
                report.state, report.waiting, report.taken, report.done
            )),
            None => Look::NotYet(format!("wave {wave}: not listed")),
        })
    })
    .await
}

/// Waits until a job has ended.
pub(crate) async fn for_job(rpc: &HttpClient, wait: Wait, id: &JobId) -> Result<()> {
    if !wait.wait {
        return Ok(());
    }
    until_done(wait, async || {
        let job = rpc.job_show(id.clone()).await.map_err(Error::from_call)?;
        let state = state_name(&job.state);
        if job.has_ended() {
            eprintln!("job {id}: {state}");
            return Ok(Look::Done);
        }
        Ok(Look::NotYet(format!(
            "job {id}: {state}, attempt {}",
            job.attempt
        )))
    })
    .await
}
