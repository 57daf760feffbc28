//! Plays seeds of the soak and prints what they showed.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use soak::{Report, Scale, play};
use tokio::task::JoinSet;

/// Plays randomized faults against real daemons and checks what callers, workers and VMs see.
#[derive(Debug, Parser)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "each is a flag of the command line"
)]
struct Args {
    /// The first seed; by default a random one.
    #[arg(long)]
    first: Option<u64>,
    /// How many seeds.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// How many seeds at the same time.
    #[arg(long, default_value_t = 3)]
    jobs: usize,
    /// Plays large runs: 24 daemons and 40 workers.
    #[arg(long)]
    large: bool,
    /// Plays runs for the commands of leaders: 5 daemons and 12 workers.
    #[arg(long, conflicts_with = "large")]
    leaders: bool,
    /// Plays runs with outages of workers under jobs that last: 3 daemons and 14 workers.
    #[arg(long, conflicts_with_all = ["large", "leaders"])]
    workers: bool,
    /// Plays runs in which the queue is assigned to one pool after the other, and jobs are handed in again.
    #[arg(long, conflicts_with_all = ["large", "leaders", "workers"])]
    queues: bool,
    /// The daemon's program.
    #[arg(long, default_value = "target/release/trefoilpassd")]
    program: PathBuf,
    /// Where the daemons' logs go, in a folder for each seed.
    #[arg(long, default_value = "target/soak")]
    logs: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    let scale = if args.large {
        Scale::large()
    } else if args.leaders {
        Scale::leaders()
    } else if args.workers {
        Scale::workers()
    } else if args.queues {
        Scale::queues()
    } else {
        Scale::usual()
    };
    let first = args.first.unwrap_or_else(|| rand::random_range(0..1 << 32));
    let mut running = JoinSet::new();
    let mut failed = 0;
    for seed in first..first + args.seeds {
        if running.len() >= args.jobs
            && let Some(Ok(report)) = running.join_next().await
        {
            failed += usize::from(print(&report));
        }
        let (program, logs) = (args.program.clone(), args.logs.join(seed.to_string()));
        if let Err(err) = std::fs::create_dir_all(&logs) {
            eprintln!("{}: {err}", logs.display());
            return ExitCode::FAILURE;
        }
        running.spawn(async move { play(seed, scale, &program, &logs).await });
    }
    while let Some(joined) = running.join_next().await {
        match joined {
            Ok(report) => failed += usize::from(print(&report)),
            Err(err) => {
                eprintln!("a run was not carried through: {err}");
                failed += 1;
            }
        }
    }
    println!(
        "{} seeds from {first}: {failed} with a broken promise",
        args.seeds
    );
    if failed > 0 {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

/// Prints a report; true when a promise was broken.
fn print(report: &Report) -> bool {
    let Report {
        seed,
        faults,
        jobs,
        accepted,
        runs,
        vm_commands,
        allowed_failures,
        findings,
        began_unix_s,
        traces,
    } = report;
    println!(
        "seed {seed}: {} faults, {jobs} jobs, {accepted} accepted, {runs} runs, {vm_commands} commands to VMs, \
         {allowed_failures} failed as workers crashed under them",
        faults.len()
    );
    if findings.is_empty() {
        return false;
    }
    for finding in findings {
        println!("  broken: {finding}");
    }
    println!("  began at {began_unix_s:.3}");
    for line in traces {
        println!("  {line}");
    }
    for planned in faults {
        println!(
            "  fault at {:?} for {:?}: {:?}",
            planned.at, planned.lasts, planned.fault
        );
    }
    true
}
