//! How a daemon's use grows with the size of the fleet, the claims and the changes.

use std::path::Path;
use std::time::{Duration, Instant};

use domain::PresetId;
use peer::OperatorRpcClient;
use test_support::{Cluster, Shape, ZoneShape};

use crate::Result;
use crate::measure::{core_percent, usage};

/// VMs, each with one executor.
const VM_COUNTS: [usize; 4] = [50, 200, 700, 1_500];

/// Keyed requests a second.
const CLAIM_RATES_PER_S: [u32; 4] = [100, 400, 800, 1_600];

/// Configuration changes made as fast as each is in force.
const CHANGE_COUNTS: [u32; 4] = [5, 10, 20, 40];

/// The time between two readings.
const TIME: Duration = Duration::from_secs(10);

/// Measures each slope at four sizes.
pub(crate) async fn run(daemon: &Path) -> Result<()> {
    println!("by VMs, one daemon, idle");
    println!("  VMs  document KB  memory KB  core %  platform B/s  apply ms");
    for vms in VM_COUNTS {
        by_vms(daemon, vms).await?;
    }
    println!("by keyed requests a second, three daemons, all three together");
    println!("  asked/s  answered/s  transactions/s  claims each  core %  memory KB");
    for rate_per_s in CLAIM_RATES_PER_S {
        by_claims(daemon, rate_per_s).await;
    }
    println!("by configuration changes, six daemons in three zones");
    println!("  changes  mean ms until in force everywhere  longest ms  core % of one daemon");
    for changes in CHANGE_COUNTS {
        by_changes(daemon, changes).await?;
    }
    Ok(())
}

async fn by_vms(daemon: &Path, vms: usize) -> Result<()> {
    let zone = ZoneShape {
        daemons: 1,
        parts: vms / 2,
        quotes: vms - vms / 2,
    };
    let mut cluster = Cluster::start_unconfigured(Shape::new(daemon, &[zone])).await;
    let begun = Instant::now();
    cluster.apply().await;
    let apply_ms = begun.elapsed().as_millis();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (before, bytes) = (usage(&cluster, 0), cluster.platform_links[0].bytes());
    tokio::time::sleep(TIME).await;
    let after = usage(&cluster, 0);
    let per_s = (cluster.platform_links[0].bytes() - bytes) / TIME.as_secs();
    println!(
        "{vms:>5} {:>12} {:>10} {:>7.2} {per_s:>13} {apply_ms:>9}",
        cluster.spec.deployment_yaml().len() / 1_024,
        after.memory_kb,
        core_percent(before, after, TIME)
    );
    Ok(())
}

async fn by_claims(daemon: &Path, rate_per_s: u32) {
    let zone = ZoneShape {
        daemons: 3,
        parts: 20,
        quotes: 0,
    };
    let shape = Shape::new(daemon, &[zone]).with_service_time(Duration::from_millis(5));
    let cluster = Cluster::start(shape).await;
    let mut load = cluster.load("parts");
    load.keyed_percent = 100;
    load.rate_per_s = rate_per_s;
    load.duration = TIME;
    let transactions = cluster.platform.with(|store| store.transactions);
    let before: Vec<_> = (0..3).map(|daemon| usage(&cluster, daemon)).collect();
    let report = load.run().await;
    let transactions = cluster.platform.with(|store| store.transactions) - transactions;
    let after: Vec<_> = (0..3).map(|daemon| usage(&cluster, daemon)).collect();
    let used = before.iter().zip(&after);
    let core: f64 = used
        .map(|(before, after)| core_percent(*before, *after, TIME))
        .sum();
    let memory_kb: u64 = after.iter().map(|usage| usage.memory_kb).sum();
    println!(
        "{rate_per_s:>9} {:>11} {:>15} {:>12} {core:>7.1} {memory_kb:>10}",
        report.outcomes.answered / TIME.as_secs(),
        transactions / TIME.as_secs(),
        report.requests() / transactions.max(1)
    );
}

async fn by_changes(daemon: &Path, changes: u32) -> Result<()> {
    let zone = ZoneShape {
        daemons: 2,
        parts: 5,
        quotes: 5,
    };
    let cluster = Cluster::start(Shape::new(daemon, &[zone; 3])).await;
    let presets = [PresetId::new("ordinary")?, PresetId::new("peak")?];
    let rpc = cluster.operator(0);
    let before = usage(&cluster, 5);
    let begun = Instant::now();
    let mut longest = Duration::ZERO;
    for number in 0..changes as usize {
        let change = Instant::now();
        let (from, to) = (&presets[number % 2], &presets[(number + 1) % 2]);
        let applied = rpc.preset_switch(from.clone(), to.clone()).await?;
        let is_behind = |report: &peer::ActiveViewReport| {
            report.view.is_none_or(|view| view.epoch < applied.epoch)
        };
        while rpc.in_force().await?.iter().any(is_behind) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        longest = longest.max(change.elapsed());
    }
    let time = begun.elapsed();
    println!(
        "{changes:>9} {:>35} {:>11} {:>21.2}",
        time.as_millis() / u128::from(changes),
        longest.as_millis(),
        core_percent(before, usage(&cluster, 5), time)
    );
    Ok(())
}
