//! The cases of the second review: each plays a small deployment on loopback addresses, and exits with 1 if the rule was
//! broken, with 0 if it held, and with 2 if the case couldn't run.

mod daemons;
mod deadly;
mod gang;
mod gangsave;
mod routes;
mod world;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use daemons::{Caller, Daemon, Record};
use platform_stand_in::PlatformStandIn;
use serde_json::{Value, json};
use world::World;

/// The service that runs the subtasks.
pub const SERVICE: &str = "work";

/// A route of a config; `has_advice` gives it a policy.
pub fn route(name: &str, prefix: &str, has_advice: bool) -> Value {
    let mut route = json!({
        "name": name, "host": "jobs.example", "prefix": prefix, "kind": "mutating", "timeoutMs": 3000, "sloMs": 600,
        "priority": 0, "service": SERVICE, "attempts": 3, "stretch": 1.6,
    });
    if has_advice {
        route["advice"] = json!({"decideMs": 20, "periodMs": 1, "validMs": 3000});
    }
    route
}

/// A config with these routes.
pub fn config(version: u64, routes: &[Value]) -> Value {
    let service = json!({
        "name": SERVICE, "healthPath": "/health", "maxConns": 64, "proto": "h1", "tls": false,
        "rejectsOverload": true, "standby": false,
    });
    let limits = json!({
        "maxHeaderBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
    });
    json!({"version": version, "routes": routes, "services": [service], "limits": limits})
}

/// How a case ended.
pub enum Verdict {
    Broken,
    Held,
    CouldNotRun,
}

/// A deployment: the store of the project's stand-in, workers of our own, and daemons as processes.
pub struct Deployment {
    pub record: Record,
    pub platform: PlatformStandIn,
    pub world: Arc<World>,
    pub daemons: Vec<Daemon>,
    pub caller: Caller,
    pub has_trouble: bool,
}

impl Deployment {
    async fn start(root: &Path, folder: &Path, workers: Vec<(Vec<String>, u64, u64)>) -> Self {
        let platform = PlatformStandIn::start(0).await;
        platform
            .store
            .put("op", "config", &config(7, &[route("r-1", "/q/", false)]));
        let world = World::start(platform.store.clone(), SERVICE, workers).await;
        let vms = world::serve_machines(world.clone()).await;
        let advice = world::serve_advice().await;
        let start = |number: usize| {
            Daemon::start(
                root,
                &format!("edge-{number}"),
                platform.store_addr,
                vms,
                advice,
                folder,
            )
        };
        let daemons: Vec<_> = (0..3).map(start).collect();
        let callers: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.callers).collect();
        Self {
            record: Record::new(),
            platform,
            world,
            caller: Caller::new(callers),
            daemons,
            has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(root), Some(folder)) =
        (arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("usage: review-standins-2 CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let scratch = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    let workers = match case.as_str() {
        "gang" => gang::workers(),
        "gangsave" => gangsave::workers(),
        "deadly" => deadly::workers(),
        "renamed" | "removed" => routes::workers(),
        _ => return ExitCode::from(2),
    };
    let mut deployment = Deployment::start(&root, &scratch, workers).await;
    let verdict = if deployment
        .caller
        .wait_until_ready(&deployment.daemons)
        .await
    {
        // The pool's owner reads the registry.
        tokio::time::sleep(Duration::from_secs(3)).await;
        match case.as_str() {
            "gang" => gang::play(&deployment).await,
            "gangsave" => gangsave::play(&deployment).await,
            "deadly" => deadly::play(&deployment).await,
            "renamed" => routes::play_renamed(&deployment).await,
            _ => routes::play_removed(&deployment).await,
        }
    } else {
        deployment.record.note("the daemons were not ready in time");
        Verdict::CouldNotRun
    };
    for daemon in &mut deployment.daemons {
        if daemon.has_ended() {
            let name = daemon.name.clone();
            deployment
                .record
                .note(&format!("{name} has ended by itself"));
        }
    }
    let (label, code) = match verdict {
        Verdict::Broken => ("broken", 1),
        Verdict::Held => ("held", 0),
        Verdict::CouldNotRun => ("could not run", 2),
    };
    deployment.record.note(&format!("the rule: {label}"));
    deployment.record.write(&folder.join("record.txt"));
    if std::env::var_os("KEEP_LOGS").is_some() {
        println!("logs: {}", scratch.display());
    } else {
        drop(std::mem::take(&mut deployment.daemons));
        let _ = std::fs::remove_dir_all(&scratch);
    }
    ExitCode::from(code)
}
