//! How long urgent work takes to start on a full fleet, by the number of jobs.

use std::path::Path;
use std::time::{Duration, Instant};

use domain::{JobId, PoolId, TeamId};
use peer::OperatorRpcClient;
use placement::{Class, JobSpec};
use test_support::{Cluster, Shape, TaskBehaviour, ZoneShape};

use crate::Result;
use crate::measure::{core_percent, usage};

/// Batch jobs, running and waiting together.
const JOB_COUNTS: [usize; 4] = [50, 200, 500, 1_000];

/// Urgent jobs, one after the other.
const URGENT_JOBS: usize = 10;

/// VMs in each of three zones, each with room for four of the batch jobs.
const VMS_PER_ZONE: usize = 17;

/// Measures each size.
pub(crate) async fn run(daemon: &Path) -> Result<()> {
    println!(
        "three daemons, {} workers, urgent start target 2,400 ms",
        3 * VMS_PER_ZONE
    );
    println!(" jobs  urgent start ms: mean longest  steward core %  steward memory KB");
    for jobs in JOB_COUNTS {
        measure(daemon, jobs).await?;
    }
    Ok(())
}

async fn measure(daemon: &Path, jobs: usize) -> Result<()> {
    let zone = ZoneShape {
        daemons: 1,
        parts: VMS_PER_ZONE,
        quotes: 0,
    };
    let cluster = Cluster::start(Shape::new(daemon, &[zone; 3])).await;
    let rpc = cluster.operator(0);
    for number in 0..jobs {
        let id = JobId::new(&format!("batch-{number}"))?;
        rpc.job_submit(id, spec(Class::Batch)?).await?;
    }
    let slots = 3 * VMS_PER_ZONE * 4;
    let running = || cluster.platform.with(|store| store.tasks.running());
    while running().len() < jobs.min(slots) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let begun = Instant::now();
    let before: Vec<_> = (0..3).map(|index| usage(&cluster, index)).collect();
    let mut waits = Vec::new();
    for number in 0..URGENT_JOBS {
        let id = JobId::new(&format!("urgent-{number}"))?;
        let submitted = Instant::now();
        rpc.job_submit(id.clone(), spec(Class::Urgent)?).await?;
        let task = format!("{id}.1");
        while !running().contains(&task) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        waits.push(submitted.elapsed().as_millis());
    }
    let time = begun.elapsed();
    let after: Vec<_> = (0..3).map(|index| usage(&cluster, index)).collect();
    let cores = before
        .iter()
        .zip(&after)
        .map(|(b, a)| core_percent(*b, *a, time));
    // The steward is the one that works most.
    let steward = cores.fold(0.0, f64::max);
    let memory_kb = after.iter().map(|usage| usage.memory_kb).max().unwrap_or(0);
    let mean = waits.iter().sum::<u128>() / waits.len() as u128;
    let longest = waits.iter().max().copied().unwrap_or(0);
    println!("{jobs:>5} {mean:>22} {longest:>7} {steward:>15.1} {memory_kb:>18}");
    Ok(())
}

fn spec(class: Class) -> Result<JobSpec> {
    let behaviour = TaskBehaviour {
        run_ms: 600_000,
        memory_mb: 500,
        ..TaskBehaviour::default()
    };
    Ok(JobSpec {
        team: TeamId::new("a")?,
        pool: PoolId::new("parts")?,
        class,
        cpu_milli: 1_000,
        memory_mb: 500,
        run_s: 600,
        payload: serde_json::to_string(&behaviour)?,
    })
}
