//! The settings of a daemon on the users' platform, in YAML.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use serde::Deserialize;
use smol_str::SmolStr;
use snafu::{ResultExt, Snafu};

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
    /// The policy service; empty where there is none.
    #[serde(default)]
    pub advice_addr: Option<SmolStr>,
    /// The deployment's figures.
    pub bounds: Bounds,
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
