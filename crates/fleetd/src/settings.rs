//! The settings of a daemon on the users' platform, in YAML.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use serde::Deserialize;
use smol_str::SmolStr;
use snafu::{ResultExt, Snafu};

/// The thousandths of a core that one Mbit/s is worth. A pool's daemon filled a link of 10 Mbit/s while it used a
/// twentieth of a core.
const CAPACITY_PER_MBPS: f64 = 5.0;

/// What a daemon is told at its start.
#[derive(Debug, Clone, Deserialize)]
pub struct FleetSettings {
    /// Its name, which no other daemon has.
    pub daemon: SmolStr,
    /// Its address.
    pub ip: IpAddr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Where callers come.
    pub callers_addr: SocketAddr,
    /// Where the balancer asks.
    pub ready_addr: SocketAddr,
    /// The port for its peers.
    pub peer_port: u16,
    /// The port of its counters.
    pub metrics_port: u16,
    /// The platform's store.
    pub store_addr: SmolStr,
    /// The platform's control of VMs.
    pub vms_addr: SmolStr,
    /// How many orders per second the control of VMs takes from all daemons; left out where there is no limit.
    #[serde(default)]
    pub vm_orders_per_s: Option<f64>,
    /// The policy service; empty where there is none.
    #[serde(default)]
    pub advice_addr: Option<SmolStr>,
    /// What this daemon's VM can do.
    #[serde(default)]
    pub machine: Machine,
    /// The deployment's figures.
    pub bounds: Bounds,
}

/// What a daemon's VM can do. What is left out counts as a whole usual core with a wide link.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub struct Machine {
    /// The share of a core that the process may use.
    pub cpu_share: Option<f64>,
    /// How fast the core is, against the usual.
    pub speed: Option<f64>,
    /// What its network link carries, in Mbit/s.
    pub link_mbps: Option<f64>,
}

impl Machine {
    /// How much work it can hold, in thousandths of a core; a narrow link counts as a small share of a core.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "float casts saturate"
    )]
    pub(crate) fn capacity(self) -> u32 {
        let cpu = self.cpu_share.unwrap_or(1.0) * self.speed.unwrap_or(1.0) * 1000.0;
        let link = self.link_mbps.map(|mbps| mbps * CAPACITY_PER_MBPS);
        link.map_or(cpu, |link| cpu.min(link)) as u32
    }
}

/// The deployment's figures.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Bounds {
    /// How long a process has between the order to end and its end.
    pub grace_s: f64,
    /// The longest lease that a worker accepts.
    pub longest_lease_ms: u64,
    /// How long ended jobs are kept.
    pub keep_ended_s: u64,
    /// How long orders to VMs of two stewards have to be apart.
    pub steward_gap_ms: u64,
    /// How long the maintenance of a VM takes.
    pub maintenance_s: f64,
}

/// Why the settings can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A field is missing or has the wrong type.
    #[snafu(display("{}: {source}", path.display()))]
    Field {
        /// The file.
        path: PathBuf,
        /// The cause, which names the field.
        source: serde_norway::Error,
    },
}

impl FleetSettings {
    /// Reads a settings file. Fields that are not known are ignored.
    ///
    /// # Errors
    /// All kinds of [`SettingsError`].
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        serde_norway::from_str(&text).context(FieldSnafu { path })
    }

    pub(crate) fn peer_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }
}
