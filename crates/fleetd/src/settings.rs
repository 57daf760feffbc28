//! The settings of a daemon on the users' platform, in YAML.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use access::AccessRules;
use clients::Limits;
use serde::Deserialize;
use smol_str::SmolStr;
use snafu::{ResultExt, Snafu};

/// The processing capacity that corresponds to a link rate of 1 Mbit/s, in thousandths of a core. The owner of a pool
/// saturated a link of 10 Mbit/s while it used a twentieth of a core.
const MILLICORES_PER_MBPS: f64 = 5.0;

/// How long workers are assumed to take to stop a task where the settings don't tell it, in ms.
pub(crate) const DEFAULT_STOP_MS: u64 = 1000;

/// The settings of a daemon, which are read once when the process starts.
#[derive(Debug, Clone, Deserialize)]
pub struct FleetSettings {
    /// The name of the daemon, unique among all daemons.
    pub daemon: SmolStr,
    /// The IP address of the daemon, to which its peers and the metrics scraper connect.
    pub ip: IpAddr,
    /// The availability zone of the daemon.
    pub zone: SmolStr,
    /// The address that accepts requests of callers.
    pub callers_addr: SocketAddr,
    /// The address that accepts the readiness probes of the load balancer.
    pub ready_addr: SocketAddr,
    /// The port for RPC calls from other daemons.
    pub peer_port: u16,
    /// The port that serves metrics.
    pub metrics_port: u16,
    /// The address of the platform's store.
    pub store_addr: SmolStr,
    /// The address of the platform's VM control API.
    pub vms_addr: SmolStr,
    /// The maximum rate of commands that the VM control API accepts from all daemons together, in commands per second;
    /// none where the rate is not limited.
    #[serde(default, rename = "vm_orders_per_s")]
    pub vm_commands_per_s: Option<f64>,
    /// The address of the policy service; none or empty where there is no policy service.
    #[serde(default, rename = "advice_addr")]
    pub policy_addr: Option<SmolStr>,
    /// The hardware of the VM that the daemon runs on.
    #[serde(default)]
    pub machine: Machine,
    /// The durations that the deployment prescribes.
    pub bounds: Bounds,
    /// What pools may do under overload.
    #[serde(default)]
    pub overload: Overload,
    /// The limits of what the daemon holds for its clients.
    #[serde(default)]
    pub clients: Limits,
}

/// What pools may do while they can't do all of their work in time. By default nothing.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub struct Overload {
    /// Whether jobs are ordered by what their delay costs callers while not all of them can meet their latency objective;
    /// see `OverloadRules` of the scheduler.
    #[serde(default)]
    pub shed_least_cost: bool,
}

/// The hardware of a daemon's VM. The defaults are one whole core of usual speed, and a link that does not limit the
/// capacity.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub struct Machine {
    /// The share of a core that the process may use; 1 is a whole core.
    pub cpu_share: Option<f64>,
    /// The speed of the core as a multiple of the usual speed.
    #[serde(rename = "speed")]
    pub relative_speed: Option<f64>,
    /// The rate of the network link, in Mbit/s.
    pub link_mbps: Option<f64>,
}

impl Machine {
    /// The processing capacity in thousandths of a core: that of the core or of the network link, whichever is less.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "float casts saturate"
    )]
    pub(crate) fn capacity_millicores(self) -> u32 {
        let cpu = self.cpu_share.unwrap_or(1.0) * self.relative_speed.unwrap_or(1.0) * 1000.0;
        let link = self.link_mbps.map(|mbps| mbps * MILLICORES_PER_MBPS);
        link.map_or(cpu, |link| cpu.min(link)) as u32
    }
}

/// The durations that the deployment prescribes.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Bounds {
    /// The maximum time between the signal to terminate and the end of the process, in seconds.
    #[serde(rename = "grace_s")]
    pub shutdown_grace_s: f64,
    /// The longest lease that a worker accepts, in ms.
    #[serde(rename = "longest_lease_ms")]
    pub max_lease_ms: u64,
    /// The time for which ended jobs are retained, in seconds.
    #[serde(rename = "keep_ended_s")]
    pub ended_job_retention_s: u64,
    /// The minimum time between the last command to a VM by one leader and the first command by the next one, in ms.
    #[serde(rename = "steward_gap_ms")]
    pub leader_gap_ms: u64,
    /// The duration of the maintenance of a VM, in seconds.
    pub maintenance_s: f64,
    /// How long a task may still run after its worker has accepted a stop command, in ms; [`DEFAULT_STOP_MS`] where the
    /// settings don't tell it.
    #[serde(default)]
    pub stop_ms: Option<u64>,
    /// Whether a key of a team is refused once the configuration is so old that the key may have been revoked; callers then
    /// need a key even under a configuration without teams. Absent where the deployment has no teams.
    #[serde(default)]
    pub strict_revoke: Option<bool>,
    /// How long after its revocation a key may still be used, in ms, if `strict_revoke` is true.
    #[serde(default)]
    pub revoke_ms: Option<u64>,
}

impl Bounds {
    /// What the deployment requires of callers' keys.
    pub(crate) fn access_rules(&self) -> AccessRules {
        let is_strict = self.strict_revoke == Some(true);
        AccessRules {
            are_keys_required: is_strict,
            revocation_ms: self.revoke_ms.filter(|_| is_strict),
        }
    }
}

/// The reason why the settings can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// The path of the settings file.
        path: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// A revocation is strict, but its time is not given.
    #[snafu(display("{}: bounds.revoke_ms is missing while bounds.strict_revoke is true", path.display()))]
    NoRevocationTime {
        /// The path of the settings file.
        path: PathBuf,
    },
    /// The limits of what the daemon holds for its clients can't be used.
    #[snafu(display("{}: {}: {source}", path.display(), source.field()))]
    ClientLimits {
        /// The path of the settings file.
        path: PathBuf,
        /// What is wrong with the limits.
        source: clients::Error,
    },
    /// The file is not valid YAML, or a field is missing or has the wrong type.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// The path of the settings file.
        path: PathBuf,
        /// The error of the parser, which names the field.
        source: serde_norway::Error,
    },
}

impl FleetSettings {
    /// Reads a settings file. Unknown fields are ignored.
    ///
    /// # Errors
    /// [`SettingsError::Read`] if the file can't be read, [`SettingsError::Parse`] if its contents are not valid,
    /// [`SettingsError::NoRevocationTime`] if a strict revocation has no time, and [`SettingsError::ClientLimits`] if the limits for
    /// clients can't be used.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        let settings: Self = serde_norway::from_str(&text).context(ParseSnafu { path })?;
        let bounds = &settings.bounds;
        let is_bounded = bounds.strict_revoke != Some(true) || bounds.revoke_ms.is_some();
        snafu::ensure!(is_bounded, NoRevocationTimeSnafu { path });
        let limits = settings.clients.check();
        limits.context(ClientLimitsSnafu { path })?;
        Ok(settings)
    }

    /// The address for RPC calls from other daemons.
    pub(crate) fn peer_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }
}

#[cfg(test)]
mod tests;
