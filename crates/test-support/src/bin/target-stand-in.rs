//! All executors of a deployment as one process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Parser;
use settings::Deployment;
use test_support::{Targets, serve_targets_admin};
use tokio::net::TcpListener;

/// Stands in for the executors of a deployment.
#[derive(Debug, Parser)]
struct Args {
    /// The deployment document.
    #[arg(long)]
    deployment: PathBuf,
    /// Where to listen for experiments' requests.
    #[arg(long)]
    admin: SocketAddr,
    /// How long a request takes on average, in milliseconds.
    #[arg(long, default_value_t = 10)]
    service_time_ms: u64,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let text = std::fs::read_to_string(&args.deployment)?;
    let deployment = Deployment::parse(&text).map_err(std::io::Error::other)?;
    let executors = deployment.vms.iter().flat_map(|vm| {
        let executors = vm.executors.iter();
        executors.map(|executor| (executor.addr, vm.id.clone(), executor.slots))
    });
    let service_time = Duration::from_millis(args.service_time_ms);
    let targets = Targets::start(executors, service_time);
    let listener = TcpListener::bind(args.admin).await?;
    serve_targets_admin(listener, targets).await;
    Ok(())
}
