//! A whole deployment on this machine, under load, with operators at work and a daemon that dies.

use std::time::{Duration, Instant};

use test_support::{FleetSpec, Load, LoadReport, TargetStats};

use crate::fleet::{self, Fleet};
use crate::{Deployment, Result};

/// Requests a second.
const RATE_PER_S: u32 = 400;

/// How long the load lasts.
const LOAD: Duration = Duration::from_secs(24);

/// How long a target works on a request, on average.
const SERVICE_TIME_MS: u64 = 10;

/// How long a daemon may take to end in order.
const END_PATIENCE: Duration = Duration::from_secs(30);

/// Runs the demo; an error when a promise was broken.
pub(crate) async fn run(deployment: Deployment) -> Result<()> {
    let programs = fleet::build()?;
    let spec = FleetSpec::new(
        &fleet::example(deployment, "deployment.yaml")?,
        &fleet::example(deployment, "entry.yaml")?,
    );
    let started = Instant::now();
    let say = |text: &str| println!("[{:5.1} s] {text}", started.elapsed().as_secs_f64());
    let mut fleet = Fleet::start(spec, programs, SERVICE_TIME_MS).await?;
    say(&format!(
        "{} daemons and {} executors run",
        fleet.daemons.len(),
        fleet.spec.executors().len()
    ));
    say(fleet.apply().await?.trim());
    fleet.wait_until_ready().await?;
    let load = load(&fleet);
    let killed = load.killed.clone();
    let running = tokio::spawn(load.run());
    say(&format!("{RATE_PER_S} requests a second begin"));

    tokio::time::sleep(Duration::from_secs(2)).await;
    let switch = [
        "preset",
        "switch",
        "--from",
        "ordinary",
        "--to",
        "maintenance",
        "--wait",
    ];
    say(fleet.operate(&switch).await?.trim());
    let vm = fleet.spec.deployment.vms[0].id.to_string();
    say(fleet.operate(&["vm", "drain", &vm, "--wait"]).await?.trim());
    say(fleet
        .operate(&["vm", "return", &vm, "--wait"])
        .await?
        .trim());
    let moved = &fleet.spec.deployment.vms[1];
    let pools = &fleet.spec.deployment.pools;
    let to = pools
        .iter()
        .find(|pool| pool.id != moved.pool)
        .ok_or("one pool only")?;
    let to = to.id.to_string();
    let vm = moved.id.to_string();
    say(fleet
        .operate(&["vm", "move", &vm, "--to", &to, "--wait"])
        .await?
        .trim());

    let victim = 0;
    killed.lock().insert(fleet.spec.entry_vms[victim].callers);
    fleet.daemons[victim] = None;
    say(&format!("{} was killed", fleet.spec.entry_vms[victim].id));
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.start_daemon(victim);
    say(&format!(
        "{} was started again",
        fleet.spec.entry_vms[victim].id
    ));
    let leaver = fleet.daemons.len() - 1;
    if let Some(daemon) = &mut fleet.daemons[leaver] {
        daemon.terminate();
        let ended = daemon.wait(END_PATIENCE).await;
        say(&format!(
            "{} ended in order: {ended:?}",
            fleet.spec.entry_vms[leaver].id
        ));
    }
    fleet.start_daemon(leaver);
    let pool = fleet.spec.deployment.pools[2].id.to_string();
    say(fleet
        .operate(&["wave", "start", "--pool", &pool])
        .await?
        .trim());

    let report = running.await?;
    say("the load has ended");
    println!("{}", fleet.operate(&["wave", "status"]).await?.trim_end());
    println!("{}", fleet.operate(&["pool", "list"]).await?.trim_end());
    judge(&fleet, &report).await
}

fn load(fleet: &Fleet) -> Load {
    let services = &fleet.spec.deployment.services;
    Load {
        services: services
            .iter()
            .map(|service| service.id.to_string())
            .collect(),
        rate_per_s: RATE_PER_S,
        duration: LOAD,
        ..Load::new(fleet.spec.callers(), "")
    }
}

/// Prints the table; an error when a request was doubled, lost or cut.
async fn judge(fleet: &Fleet, report: &LoadReport) -> Result<()> {
    let runs = fleet.runs().await?;
    let stats = fleet.target_stats().await?;
    let doubled = report.doubled(&runs).len() as u64;
    let lost = report.lost(&runs).len() as u64;
    let falsely = report.falsely_not_run(&runs).len() as u64;
    let cut = report.cut + stats.cut_by_stop;
    print_table(report, &stats, [doubled, lost, cut, falsely]);
    if doubled + lost + cut + falsely + report.foreign > 0 {
        return Err("a promise was broken".into());
    }
    Ok(())
}

fn print_table(report: &LoadReport, stats: &TargetStats, [doubled, lost, cut, falsely]: [u64; 4]) {
    let row = |name: &str, value: String| println!("{name:44} {value:>10}");
    println!();
    row("requests", report.requests().to_string());
    row("answered", report.outcomes.answered.to_string());
    row("refused as not run", report.outcomes.not_run.to_string());
    row("outcome unknown", report.outcomes.unknown.to_string());
    for (kind, count) in &report.errors {
        row(&format!("  error answers: {kind}"), count.to_string());
    }
    row(
        "connections broken by the killed daemon",
        report.broken_by_kill.to_string(),
    );
    row("doubled", doubled.to_string());
    row("lost", lost.to_string());
    row("cut", cut.to_string());
    row("falsely called not run", falsely.to_string());
    row("another request's answer", report.foreign.to_string());
    row("VM moves", "1".into());
    row(
        "most connections to an executor",
        stats.most_connections.to_string(),
    );
    for quantile in [50.0, 99.0, 99.9] {
        let added_us = report.added_us.value_at_percentile(quantile);
        row(
            &format!("added by the daemon, p{quantile}, us"),
            added_us.to_string(),
        );
    }
}
