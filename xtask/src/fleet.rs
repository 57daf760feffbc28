//! A deployment as processes: the stand-ins and one daemon for each entry VM.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use domain::EntryVmId;
use test_support::{Daemon, FleetSpec, Run, TargetStats, free_addrs};

use crate::{Deployment, Result};

/// How long a process may take to answer.
const START_PATIENCE: Duration = Duration::from_secs(20);

/// The processes of a deployment. They end with this value.
pub(crate) struct Fleet {
    pub(crate) spec: FleetSpec,
    pub(crate) daemons: Vec<Option<Daemon>>,
    programs: PathBuf,
    document: PathBuf,
    targets_admin: SocketAddr,
    stand_ins: Vec<Child>,
    http: reqwest::Client,
}

/// Builds the shipped programs and the stand-ins. Returns the folder that has them.
pub(crate) fn build() -> Result<PathBuf> {
    let status = Command::new(env!("CARGO"))
        .args([
            "build",
            "--release",
            "--workspace",
            "--bins",
            "--exclude",
            "xtask",
        ])
        .status()?;
    if !status.success() {
        return Err("the programs can't be built".into());
    }
    let target = std::env::var_os("CARGO_TARGET_DIR").map(PathBuf::from);
    Ok(target
        .unwrap_or_else(|| root().join("target"))
        .join("release"))
}

fn root() -> PathBuf {
    let own = Path::new(env!("CARGO_MANIFEST_DIR"));
    own.parent().unwrap_or(own).to_owned()
}

/// A document under `examples`.
pub(crate) fn example(deployment: Deployment, name: &str) -> Result<String> {
    let path = root().join("examples").join(deployment.folder()).join(name);
    Ok(std::fs::read_to_string(path)?)
}

impl Fleet {
    /// Starts the stand-ins and all daemons of `spec`.
    pub(crate) async fn start(
        spec: FleetSpec,
        programs: PathBuf,
        service_time_ms: u64,
    ) -> Result<Self> {
        let name = format!("trefoilpass-deployment-{}.yaml", std::process::id());
        let document = std::env::temp_dir().join(name);
        std::fs::write(&document, spec.deployment_yaml())?;
        let targets_admin = free_addrs(1)[0];
        let targets = Command::new(programs.join("target-stand-in"))
            .arg("--deployment")
            .arg(&document)
            .args(["--admin", &targets_admin.to_string()])
            .args(["--service-time-ms", &service_time_ms.to_string()])
            .spawn()?;
        let platform = Command::new(programs.join("platform-stand-in"))
            .args(["--listen", &spec.platform.to_string()])
            .args(["--targets", &targets_admin.to_string()])
            .spawn()?;
        let mut fleet = Self {
            daemons: spec.entry_vms.iter().map(|_| None).collect(),
            spec,
            programs,
            document,
            targets_admin,
            stand_ins: vec![targets, platform],
            http: reqwest::Client::builder().no_proxy().build()?,
        };
        fleet
            .wait_for(&format!("http://{targets_admin}/stats"), true)
            .await?;
        let platform = fleet.spec.platform;
        fleet
            .wait_for(&format!("http://{platform}/vms"), true)
            .await?;
        for index in 0..fleet.daemons.len() {
            fleet.start_daemon(index);
        }
        for vm in &fleet.spec.entry_vms {
            fleet
                .wait_for(&format!("http://{}/healthz", vm.callers), true)
                .await?;
        }
        Ok(fleet)
    }

    /// Starts one daemon.
    pub(crate) fn start_daemon(&mut self, index: usize) {
        let id: &EntryVmId = &self.spec.entry_vms[index].id;
        let settings = self.spec.entry_yaml(id);
        let log =
            std::env::var_os("TREFOILPASS_DEMO_LOG").map_or(Stdio::null(), |_| Stdio::inherit());
        let daemon = Daemon::start(&self.programs.join("trefoilpassd"), &settings, log);
        self.daemons[index] = Some(daemon);
    }

    /// Waits until `url` answers: with success, when that is wanted.
    pub(crate) async fn wait_for(&self, url: &str, is_success: bool) -> Result<()> {
        let until = Instant::now() + START_PATIENCE;
        while Instant::now() < until {
            if let Ok(answer) = self.http.get(url).send().await
                && (answer.status().is_success() || !is_success)
            {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(format!("{url} does not answer").into())
    }

    /// Waits until all daemons that run are ready.
    pub(crate) async fn wait_until_ready(&self) -> Result<()> {
        for (vm, daemon) in self.spec.entry_vms.iter().zip(&self.daemons) {
            if daemon.is_some() {
                self.wait_for(&format!("http://{}/readyz", vm.callers), true)
                    .await?;
            }
        }
        Ok(())
    }

    /// Runs the operators' command line against the daemons.
    pub(crate) async fn operate(&self, args: &[&str]) -> Result<String> {
        let peers = self.spec.entry_vms.iter().map(|vm| vm.peers.to_string());
        let peers: Vec<_> = peers.collect();
        let mut command = Command::new(self.programs.join("trefoilpass"));
        command.args(args).args(["--daemons", &peers.join(",")]);
        let output = tokio::task::spawn_blocking(move || command.output()).await??;
        if !output.status.success() {
            let message = String::from_utf8_lossy(&output.stderr).into_owned();
            return Err(format!("`{}` failed:\n{message}", args.join(" ")).into());
        }
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Puts the deployment in force.
    pub(crate) async fn apply(&self) -> Result<String> {
        let document = self.document.display().to_string();
        self.operate(&["config", "apply", &document, "--wait"])
            .await
    }

    /// What ran at the targets, by operation.
    pub(crate) async fn runs(&self) -> Result<HashMap<String, Vec<Run>>> {
        let url = format!("http://{}/runs", self.targets_admin);
        Ok(self.http.get(url).send().await?.json().await?)
    }

    /// The targets' figures.
    pub(crate) async fn target_stats(&self) -> Result<TargetStats> {
        let url = format!("http://{}/stats", self.targets_admin);
        Ok(self.http.get(url).send().await?.json().await?)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.stand_ins {
            // A process that has ended already is what is wanted.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_file(&self.document);
    }
}
