//! Plays a seed: faults while callers call, then calm, then the promises.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime};

use parking_lot::Mutex;
use platform_stand_in::{Caller, ReportedState};
use tokio::task::JoinSet;

use crate::callers::{SharedLedger, ask, call_until, cancel, repeat_until, serve_until};
use crate::checks::{allowed_failures, findings};
use crate::leaders::leader_findings;
use crate::ledger::{JobKind, Ledger};
use crate::plan::{Fault, Planned, Scale, plan};
use crate::stage::{Stage, WAVE_DEADLINE_S, most_down};
use crate::standstill::standing_jobs;
use crate::trace::{job_of_finding, log_lines, run_lines};

/// How long a caller waits for an answer, as the platform's callers do.
const CALLER_PATIENCE: Duration = Duration::from_secs(3);

/// How long accepted jobs may take to be done once all faults are over. The platform asks for 14 s; a busy machine gets
/// twice as long.
const FINISH: Duration = Duration::from_secs(28);

/// How long after the faults an accepted job may still have nothing running. The platform asks for 14 s.
const RECOVERY: Duration = Duration::from_secs(14);

/// How many tasks a worker of the stand-in has room for.
const TASKS_PER_WORKER: usize = 8;

/// How often jobs are asked for at the end.
const ASK_PAUSE: Duration = Duration::from_millis(200);

/// What a run showed.
#[derive(Debug, Clone)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The faults.
    pub faults: Vec<Planned>,
    /// How many jobs were handed in.
    pub jobs: usize,
    /// How many of them were accepted.
    pub accepted: usize,
    /// How many runs workers began.
    pub runs: usize,
    /// How many commands to VMs were received.
    pub vm_commands: usize,
    /// How many jobs are shown as failed within the terms, as workers crashed under their tasks.
    pub allowed_failures: usize,
    /// The promises that were broken.
    pub findings: Vec<String>,
    /// When the faults began, in seconds since 1970, for the comparison with logs.
    pub began_unix_s: f64,
    /// What the logs and the workers tell of the jobs in the findings.
    pub traces: Vec<String>,
}

enum Event {
    Begin(Planned),
    End(Fault),
}

/// Plays a seed with daemons of `program`, whose logs go to `logs`.
///
/// # Panics
/// When no processes can be started or no ports are free.
pub async fn play(seed: u64, scale: Scale, program: &Path, logs: &Path) -> Report {
    let faults = plan(seed, scale);
    let mut stage = Stage::start(program, logs, scale).await;
    let addrs = stage.callers();
    let callers: Vec<_> = addrs
        .iter()
        .map(|addr| Caller::new(*addr, CALLER_PATIENCE))
        .collect();
    let ledger = SharedLedger::new(Mutex::new(Ledger::default()));
    let vms: Vec<_> = (0..scale.workers).map(|vm| format!("m-{vm}")).collect();
    let vms: Vec<&str> = vms.iter().map(String::as_str).collect();
    let most_down = most_down(scale.workers);
    stage
        .platform
        .request_wave(&vms, most_down, WAVE_DEADLINE_S);

    let start = Instant::now();
    let since_1970 = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let began_unix_s = since_1970.map_or(0.0, |since| since.as_secs_f64());
    let mut calling = JoinSet::new();
    if scale.services > 0 {
        let serves = serve_until(
            start + scale.faults,
            (seed, scale.services),
            callers.clone(),
            ledger.clone(),
        );
        calling.spawn(serves);
    }
    if scale.reassignments.is_some() {
        let until = start + scale.faults;
        calling.spawn(repeat_until(until, seed, callers.clone(), ledger.clone()));
    }
    for number in 0..scale.callers as u64 {
        let calls = call_until(
            start + scale.faults,
            (seed, number),
            callers.clone(),
            ledger.clone(),
        );
        calling.spawn(calls);
    }
    strike(&mut stage, &faults, start).await;
    while calling.join_next().await.is_some() {}
    await_progress(&callers, &ledger, &mut stage).await;
    finish(&callers, &ledger, &mut stage).await;

    let ledger = ledger.lock().clone();
    let runs = stage.platform.attempts();
    let mut found = findings(&ledger, &runs);
    found.append(&mut stage.findings);
    found.extend(wave_findings(&stage, most_down, &vms));
    let commands = stage.platform.vm_commands();
    found.extend(leader_findings(&commands, start));
    let allowed_failures = allowed_failures(&ledger, &runs);
    if allowed_failures > 0 && scale.outages.is_none() {
        found.push(format!(
            "{allowed_failures} jobs are shown as failed, and no task crashes workers"
        ));
    }
    let accepted = ledger.jobs.values().filter(|job| job.accepted.is_some());
    let broken: BTreeSet<_> = found
        .iter()
        .filter_map(|found| job_of_finding(found))
        .collect();
    let lines = |job| [run_lines(&runs, job, start), log_lines(logs, job)].concat();
    let traces = broken.into_iter().flat_map(lines).collect();
    Report {
        seed,
        faults,
        jobs: ledger.jobs.len(),
        accepted: accepted.count(),
        runs: runs.len(),
        vm_commands: commands.len(),
        allowed_failures,
        findings: found,
        began_unix_s,
        traces,
    }
}

/// Has the faults come and go, each at its time.
async fn strike(stage: &mut Stage, faults: &[Planned], start: Instant) {
    let begins = faults
        .iter()
        .map(|planned| (planned.at, Event::Begin(*planned)));
    let mut events: Vec<_> = begins.collect();
    while let Some(next) = (0..events.len()).min_by_key(|index| events[*index].0) {
        let (at, event) = events.swap_remove(next);
        tokio::time::sleep_until((start + at).into()).await;
        match event {
            Event::Begin(planned) => {
                let fault = stage.resolve(planned.fault);
                stage.begin(fault, planned.lasts);
                events.push((at + planned.lasts, Event::End(fault)));
            }
            Event::End(fault) => stage.end(fault).await,
        }
        stage.look_after().await;
    }
}

/// Waits until something of each accepted job runs, or the workers are half full; and all that lasts, or the workers are full.
async fn await_progress(callers: &[Caller], ledger: &SharedLedger, stage: &mut Stage) {
    let until = Instant::now() + RECOVERY;
    loop {
        let room = stage.platform.workers_in_use() * TASKS_PER_WORKER;
        let runs = stage.platform.attempts();
        let running = runs.iter().filter(|run| run.ended.is_none()).count();
        let is_over = Instant::now() > until;
        let stands = |job: &u64| {
            let lasts = matches!(ledger.lock().jobs[job].kind, JobKind::Lasting { .. });
            let taken = if lasts { running + 2 } else { running * 2 + 1 };
            taken <= room
        };
        let mut standing = standing_jobs(&ledger.lock(), &runs, Instant::now());
        standing.retain(stands);
        if is_over && !standing.is_empty() {
            // A job that is shown as failed does not stand still, it is judged by that.
            for (job, caller) in standing.iter().zip(callers.iter().cycle()) {
                ask(*job, caller, ledger).await;
            }
            let still = standing_jobs(&ledger.lock(), &runs, Instant::now());
            standing.retain(|job| still.contains(job));
            let findings = standing.iter().map(|id| {
                format!(
                    "job {id:016x}: it stands still while {running} tasks run, with room for {room}"
                )
            });
            stage.findings.extend(findings);
        }
        if is_over || standing.is_empty() {
            return;
        }
        stage.look_after().await;
        tokio::time::sleep(ASK_PAUSE).await;
    }
}

/// Cancels what lasts, and waits until all other accepted jobs are done.
async fn finish(callers: &[Caller], ledger: &SharedLedger, stage: &mut Stage) {
    let jobs: Vec<_> = ledger
        .lock()
        .jobs
        .iter()
        .map(|(id, job)| (*id, job.clone()))
        .collect();
    let mut open: Vec<u64> = Vec::new();
    let until = Instant::now() + FINISH;
    let mut turns = callers.iter().cycle();
    let mut next = || turns.next().expect("at least one daemon");
    for (id, job) in jobs {
        let is_lasting = matches!(job.kind, JobKind::Lasting { .. });
        if is_lasting && job.cancelled.is_none() {
            while !cancel(id, next(), ledger).await && Instant::now() < until {
                tokio::time::sleep(ASK_PAUSE).await;
            }
        } else if job.accepted.is_some() && job.cancel_asked.is_none() {
            open.push(id);
        }
    }
    while !open.is_empty() && Instant::now() < until {
        let mut left = Vec::new();
        for id in open {
            let shown = ask(id, next(), ledger).await;
            if !matches!(shown, ReportedState::Done | ReportedState::Failed) {
                left.push(id);
            }
        }
        open = left;
        stage.look_after().await;
        tokio::time::sleep(ASK_PAUSE).await;
    }
    let late = open
        .into_iter()
        .map(|id| format!("job {id:016x}: it was accepted, and is never done"));
    stage.findings.extend(late);
    while !stage.platform.is_wave_done() && Instant::now() < until {
        tokio::time::sleep(ASK_PAUSE).await;
    }
}

fn wave_findings(stage: &Stage, most_down: usize, vms: &[&str]) -> Vec<String> {
    let mut findings = Vec::new();
    let most = stage.platform.max_in_maintenance();
    if most > most_down {
        findings.push(format!(
            "{most} VMs were down for a wave that allows {most_down}"
        ));
    }
    let mut maintained = stage.platform.maintained_vms();
    maintained.sort();
    let mut expected = vms.to_vec();
    expected.sort_unstable();
    let is_done = stage.platform.is_wave_done();
    if is_done && maintained != expected {
        findings.push(format!(
            "the wave is said to be done, and only {maintained:?} were maintained"
        ));
    }
    if !is_done {
        findings.push(format!(
            "the wave is never done: {maintained:?} were maintained"
        ));
    }
    findings
}
