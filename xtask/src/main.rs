//! Automation for developers: the demo and the measurements.

mod demo;
mod fleet;
mod measure;

use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};

/// The result of a task.
type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Automation for developers.
#[derive(Debug, Parser)]
#[command(name = "xtask")]
struct Args {
    #[command(subcommand)]
    task: Task,
}

#[derive(Debug, Subcommand)]
enum Task {
    /// Run a whole deployment on this machine, with load and operators, and check the promises.
    Demo {
        /// Which deployment.
        #[arg(long, value_enum, default_value_t = Deployment::Hinokuni)]
        deployment: Deployment,
    },
    /// Measure, and print a table.
    #[command(subcommand)]
    Measure(measure::Measurement),
}

/// A deployment under `examples`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Deployment {
    /// Three availability zones, seven entry VMs, fifty executors.
    Hinokuni,
    /// Four availability zones, seven entry VMs, fifty executors.
    Kudzu,
}

impl Deployment {
    fn folder(self) -> &'static str {
        match self {
            Self::Hinokuni => "hinokuni",
            Self::Kudzu => "kudzu",
        }
    }
}

#[tokio::main(worker_threads = 2)]
async fn main() -> ExitCode {
    let done = match Args::parse().task {
        Task::Demo { deployment } => demo::run(deployment).await,
        Task::Measure(measurement) => measure::run(measurement).await,
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("xtask: {err}");
            ExitCode::FAILURE
        }
    }
}
