//! A platform stand-in as a process of its own.

use std::net::SocketAddr;

use clap::Parser;
use domain::VmId;
use test_support::PlatformStandIn;
use tokio::net::TcpListener;

/// Stands in for the platform's service.
#[derive(Debug, Parser)]
struct Args {
    /// Where to listen.
    #[arg(long)]
    listen: SocketAddr,
    /// The admin address of the target stand-in, which is told of reboots.
    #[arg(long)]
    targets: Option<SocketAddr>,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let listener = TcpListener::bind(args.listen).await?;
    let http = reqwest::Client::new();
    let hook = move |vm: &VmId, is_up: bool| {
        let Some(targets) = args.targets else {
            return;
        };
        let state = if is_up { "up" } else { "down" };
        let told = http
            .post(format!("http://{targets}/vms/{vm}/{state}"))
            .send();
        tokio::spawn(async move {
            // Without the target stand-in there is nothing to tell.
            let _ = told.await;
        });
    };
    let _stand_in = PlatformStandIn::start(listener, hook);
    std::future::pending().await
}
