//! What each command does.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use clap::CommandFactory;
use domain::VmState;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use peer::{OperatorRpcClient, PeerReport, PoolReport, ServiceReport, VmReport, WaveReport};
use placement::{Job, JobState};
use settings::Deployment;
use snafu::ResultExt;

use crate::args::{
    Args, Command, ConfigCommand, JobCommand, ListCommand, PresetCommand, VmCommand, WaveCommand,
};
use crate::error::{DocumentSnafu, Error, ReadFileSnafu, Result};
use crate::output::{print_json, print_rows};
use crate::{check_fleet, diff, wait};

/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Carries out a command.
pub(crate) async fn run(args: Args) -> Result<()> {
    let is_json = args.json;
    match args.command {
        Command::Completions { shell } => {
            let mut command = Args::command();
            clap_complete::generate(shell, &mut command, "trefoilpass", &mut std::io::stdout());
            Ok(())
        }
        Command::Config(ConfigCommand::Check { file }) => {
            read_document(&file)?;
            println!("{}: ok", file.display());
            Ok(())
        }
        Command::Config(ConfigCommand::CheckFleet { file, in_force }) => {
            check_fleet::run(&file, in_force.as_deref())
        }
        command => {
            let rpc = connect(&args.daemons).await?;
            run_remote(&rpc, command, is_json).await
        }
    }
}

async fn run_remote(rpc: &HttpClient, command: Command, is_json: bool) -> Result<()> {
    match command {
        Command::Config(command) => config(rpc, command, is_json).await,
        Command::Preset(command) => preset(rpc, command, is_json).await,
        Command::Status => status(rpc, is_json).await,
        Command::Vm(command) => vm(rpc, command, is_json).await,
        Command::Pool(ListCommand::List) => pools(rpc, is_json).await,
        Command::Service(ListCommand::List) => services(rpc, is_json).await,
        Command::Wave(command) => wave(rpc, command, is_json).await,
        Command::Job(command) => job(rpc, command, is_json).await,
        Command::Completions { .. } => Ok(()),
    }
}

/// A client of the first daemon that answers.
async fn connect(daemons: &[SocketAddr]) -> Result<HttpClient> {
    let mut message = String::from("none is named");
    for addr in daemons {
        let builder = HttpClientBuilder::default().request_timeout(CALL_TIMEOUT);
        let rpc = builder.build(format!("http://{addr}"));
        let rpc = rpc.map_err(|err| Error::NoDaemon {
            message: err.to_string(),
        })?;
        match rpc.status().await {
            Ok(_) => return Ok(rpc),
            Err(err) => message = format!("{addr}: {err}"),
        }
    }
    Err(Error::NoDaemon { message })
}

fn read_document(file: &Path) -> Result<String> {
    let text = std::fs::read_to_string(file).context(ReadFileSnafu { path: file })?;
    Deployment::parse(&text).context(DocumentSnafu { path: file })?;
    Ok(text)
}

async fn config(rpc: &HttpClient, command: ConfigCommand, is_json: bool) -> Result<()> {
    match command {
        ConfigCommand::Check { file } => read_document(&file).map(|_| ()),
        ConfigCommand::CheckFleet { file, in_force } => {
            check_fleet::run(&file, in_force.as_deref())
        }
        ConfigCommand::Show => {
            let document = rpc.config_show().await.map_err(Error::from_call)?;
            if is_json {
                print_json(&document);
            } else {
                println!("# epoch {}, preset {}", document.epoch, document.preset);
                print!("{}", document.text);
            }
            Ok(())
        }
        ConfigCommand::Diff { file } => {
            let text = read_document(&file)?;
            let document = rpc.config_show().await.map_err(Error::from_call)?;
            let lines = diff::lines(&document.text, &text);
            if is_json {
                print_json(&lines);
            } else {
                for line in &lines {
                    println!("{line}");
                }
            }
            Ok(())
        }
        ConfigCommand::Apply { file, after, wait } => {
            let text = read_document(&file)?;
            let after = ConfigCommand::after(after);
            let applied = rpc
                .config_apply(text, after)
                .await
                .map_err(Error::from_call)?;
            println!(
                "configuration {} is accepted, preset {}",
                applied.epoch, applied.preset
            );
            wait::for_epoch(rpc, wait, applied.epoch).await
        }
    }
}

async fn preset(rpc: &HttpClient, command: PresetCommand, is_json: bool) -> Result<()> {
    match command {
        PresetCommand::Show => {
            let document = rpc.config_show().await.map_err(Error::from_call)?;
            if is_json {
                print_json(&document.preset);
                return Ok(());
            }
            for preset in &document.presets {
                let mark = if *preset == document.preset { "*" } else { " " };
                println!("{mark} {preset}");
            }
            Ok(())
        }
        PresetCommand::Switch { from, to, wait } => {
            let applied = rpc
                .preset_switch(from, to)
                .await
                .map_err(Error::from_call)?;
            println!(
                "preset {} is accepted as configuration {}",
                applied.preset, applied.epoch
            );
            wait::for_epoch(rpc, wait, applied.epoch).await
        }
    }
}

async fn status(rpc: &HttpClient, is_json: bool) -> Result<()> {
    let status = rpc.status().await.map_err(Error::from_call)?;
    if is_json {
        print_json(&status);
        return Ok(());
    }
    let or_none = |text: Option<String>| text.unwrap_or_else(|| "none".into());
    println!(
        "entry VM      {} in {}, run {}",
        status.entry_vm, status.zone, status.incarnation
    );
    println!("ready         {}", status.is_ready);
    println!(
        "configuration epoch {}, preset {}",
        status.view.epoch,
        or_none(status.preset.map(|p| p.to_string()))
    );
    println!("VM records    change {}", status.view.fleet_seq);
    println!(
        "view age      {} ms",
        or_none(status.view_age_ms.map(|ms| ms.to_string()))
    );
    println!(
        "platform      {}",
        if status.platform_reachable {
            "reachable"
        } else {
            "away"
        }
    );
    println!(
        "steward       {}",
        or_none(
            status
                .leader
                .map(|leader| format!("{}, term {}", leader.incarnation, leader.term))
        )
    );
    let heading = ["PEER", "ZONE", "STATE", "EPOCH", "VM CHANGE"];
    print_rows(false, &status.peers, heading, |peer: &PeerReport| {
        let view = peer.view.unwrap_or_default();
        [
            peer.entry_vm.to_string(),
            peer.zone.to_string(),
            format!("{:?}", peer.state).to_lowercase(),
            view.epoch.to_string(),
            view.fleet_seq.to_string(),
        ]
    });
    Ok(())
}

async fn vm(rpc: &HttpClient, command: VmCommand, is_json: bool) -> Result<()> {
    match command {
        VmCommand::List => vms(rpc, is_json).await,
        VmCommand::Drain { vm, wait } => {
            rpc.vm_drain(vm.clone()).await.map_err(Error::from_call)?;
            println!("VM {vm} is leaving");
            wait::for_vm(rpc, wait, &vm, VmState::Stopped).await
        }
        VmCommand::Return { vm, wait } => {
            rpc.vm_return(vm.clone()).await.map_err(Error::from_call)?;
            println!("VM {vm} serves again");
            wait::for_vm(rpc, wait, &vm, VmState::Serving).await
        }
        VmCommand::Move { vm, to, wait } => {
            rpc.vm_move(vm.clone(), to.clone())
                .await
                .map_err(Error::from_call)?;
            println!("VM {vm} is leaving for pool {to}");
            wait::for_vm(rpc, wait, &vm, VmState::Serving).await
        }
    }
}

async fn vms(rpc: &HttpClient, is_json: bool) -> Result<()> {
    let vms = rpc.vms().await.map_err(Error::from_call)?;
    let heading = [
        "VM",
        "ZONE",
        "RACK",
        "POOL",
        "STATE",
        "MOVES TO",
        "IN FLIGHT",
    ];
    print_rows(is_json, &vms, heading, |vm: &VmReport| {
        [
            vm.vm.to_string(),
            vm.zone.to_string(),
            vm.rack.clone(),
            vm.pool.to_string(),
            vm.state.to_string(),
            vm.move_to
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            vm.in_flight.to_string(),
        ]
    });
    Ok(())
}

async fn pools(rpc: &HttpClient, is_json: bool) -> Result<()> {
    let pools = rpc.pools().await.map_err(Error::from_call)?;
    let heading = ["POOL", "VMS", "SERVING", "AT LEAST", "MAY LEAVE"];
    print_rows(is_json, &pools, heading, |pool: &PoolReport| {
        [
            pool.pool.to_string(),
            pool.vms.to_string(),
            pool.serving.to_string(),
            pool.min_serving_vms.to_string(),
            pool.planned_allowance.to_string(),
        ]
    });
    Ok(())
}

async fn services(rpc: &HttpClient, is_json: bool) -> Result<()> {
    let services = rpc.services().await.map_err(Error::from_call)?;
    let heading = [
        "SERVICE",
        "POOL",
        "DEADLINE MS",
        "EXECUTORS",
        "REQUESTS HERE",
    ];
    print_rows(is_json, &services, heading, |service: &ServiceReport| {
        [
            service.service.to_string(),
            service.pool.to_string(),
            service.deadline_ms.to_string(),
            service.serving_executors.to_string(),
            service.requests.to_string(),
        ]
    });
    Ok(())
}

async fn job(rpc: &HttpClient, command: JobCommand, is_json: bool) -> Result<()> {
    match command {
        JobCommand::Submit { file, id, wait } => {
            let text = std::fs::read_to_string(&file).context(ReadFileSnafu { path: &file })?;
            let spec = settings::parse_yaml(&text).context(DocumentSnafu { path: &file })?;
            rpc.job_submit(id.clone(), spec)
                .await
                .map_err(Error::from_call)?;
            println!("job {id} is queued");
            wait::for_job(rpc, wait, &id).await
        }
        JobCommand::List => {
            let jobs = rpc.jobs().await.map_err(Error::from_call)?;
            let heading = ["JOB", "TEAM", "POOL", "CLASS", "STATE", "ATTEMPT", "VM"];
            print_rows(is_json, &jobs, heading, |job: &Job| {
                [
                    job.id.to_string(),
                    job.spec.team.to_string(),
                    job.spec.pool.to_string(),
                    format!("{:?}", job.spec.class).to_lowercase(),
                    state_name(&job.state).to_owned(),
                    job.attempt.to_string(),
                    job.worker().map(ToString::to_string).unwrap_or_default(),
                ]
            });
            Ok(())
        }
        JobCommand::Show { job } => {
            let job = rpc.job_show(job).await.map_err(Error::from_call)?;
            print_json(&job);
            Ok(())
        }
        JobCommand::Cancel { jobs } => {
            let count = jobs.len();
            let left = rpc.jobs_cancel(jobs).await.map_err(Error::from_call)?;
            println!("{} jobs are cancelled", count - left.len());
            for job in left {
                println!("job {job} had ended before, or does not exist");
            }
            Ok(())
        }
    }
}

pub(crate) fn state_name(state: &JobState) -> &'static str {
    match state {
        JobState::Queued => "queued",
        JobState::Running {
            is_leaving: true, ..
        } => "leaving",
        JobState::Running { .. } => "running",
        JobState::Done => "done",
        JobState::Parked { .. } => "parked",
        JobState::Cancelled { .. } => "cancelled",
    }
}

async fn wave(rpc: &HttpClient, command: WaveCommand, is_json: bool) -> Result<()> {
    match command {
        WaveCommand::Start { pool, wait } => {
            let wave = rpc.wave_start(pool).await.map_err(Error::from_call)?;
            println!("wave {wave} has started");
            wait::for_wave(rpc, wait, &wave).await
        }
        WaveCommand::Status => {
            let waves = rpc.waves().await.map_err(Error::from_call)?;
            let heading = ["WAVE", "POOL", "STATE", "WAITING", "TAKEN", "DONE"];
            print_rows(is_json, &waves, heading, |wave: &WaveReport| {
                [
                    wave.wave.to_string(),
                    wave.pool.to_string(),
                    wave.state.to_string(),
                    wave.waiting.to_string(),
                    wave.taken.to_string(),
                    wave.done.to_string(),
                ]
            });
            Ok(())
        }
        WaveCommand::Pause { wave } => rpc.wave_pause(wave).await.map_err(Error::from_call),
        WaveCommand::Resume { wave } => rpc.wave_resume(wave).await.map_err(Error::from_call),
        WaveCommand::Abort { wave } => rpc.wave_abort(wave).await.map_err(Error::from_call),
    }
}
