//! The ways to choose a target, next to each other: healthy targets, one that is slow, and one that fails.

use std::path::Path;
use std::time::Duration;

use settings::RoutingPolicy;
use test_support::{Cluster, Shape, TargetFault, ZoneShape};

use crate::Result;
use crate::measure::quantiles;

/// The policies, the baselines first.
const POLICIES: [RoutingPolicy; 5] = [
    RoutingPolicy::Random,
    RoutingPolicy::RoundRobin,
    RoutingPolicy::LeastInFlight,
    RoutingPolicy::TwoChoices,
    RoutingPolicy::LeastWork,
];

/// What is wrong with one of the targets.
const FAULTS: [TargetFault; 3] = [TargetFault::None, TargetFault::Slow, TargetFault::Drop];

/// Requests a second: four executors with eight slots of 20 ms serve 1,600.
const RATE_PER_S: u32 = 1_000;

/// How long each policy is under load.
const TIME: Duration = Duration::from_secs(6);

/// Measures every policy with every fault, with the same load and seed.
pub(crate) async fn run(daemon: &Path) -> Result<()> {
    println!(
        "three daemons, four executors of 8 slots and 20 ms, {RATE_PER_S} requests/s, us: p50 p99 p99.9"
    );
    println!("one target   policy              p50      p99    p99.9  answered  errors");
    for fault in FAULTS {
        for policy in POLICIES {
            measure(daemon, fault, policy).await;
        }
    }
    Ok(())
}

async fn measure(daemon: &Path, fault: TargetFault, policy: RoutingPolicy) {
    let zone = ZoneShape {
        daemons: 3,
        parts: 4,
        quotes: 0,
    };
    let shape = Shape::new(daemon, &[zone]).with_service_time(Duration::from_millis(20));
    let mut cluster = Cluster::start_unconfigured(shape).await;
    for service in &mut cluster.spec.deployment.services {
        service.routing = policy;
    }
    cluster.apply().await;
    let vm = cluster.vms("parts")[0].clone();
    cluster.targets.set_fault(cluster.executor(&vm), fault);
    let mut load = cluster.load("parts");
    load.keyed_percent = 0;
    load.keyless_percent = 0;
    load.rate_per_s = RATE_PER_S;
    load.duration = TIME;
    let report = load.run().await;
    let errors: u64 = report.errors.values().sum();
    println!(
        "{:12} {:15} {} {:>9} {errors:>7}",
        format!("{fault:?}").to_lowercase(),
        format!("{policy:?}"),
        quantiles(&report.total_us),
        report.outcomes.answered
    );
}
