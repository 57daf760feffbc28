//! The settings of `trefoilpassd`: its own entry VM, the addresses of its peers and the address of the platform.

use std::net::SocketAddr;

use clients::Limits;
use domain::{EntryVmId, ZoneId};
use serde::Deserialize;

use crate::validation::{self, Error, Result};

/// The settings file of `trefoilpassd`. Only `entry_vm` depends on the entry VM; all entry VMs may share one file if
/// each daemon replaces `entry_vm` by [`EntrySettings::with_entry_vm`].
///
/// [`EntrySettings::parse`] returns only valid settings; serde alone does not check ranges, duplicates and references.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The id of the entry VM that this daemon runs on, one of `entry_vms`.
    pub entry_vm: EntryVmId,
    /// All entry VMs of the deployment, including the entry VM of this daemon.
    pub entry_vms: Vec<EntryVm>,
    /// The connection to the platform's service.
    pub platform: PlatformSettings,
    /// The exporter that receives the trace spans.
    #[serde(default)]
    pub traces: TraceExporter,
    /// The number of threads that serve requests, 1 to 64, by default 2. Threads beyond the number of idle cores only
    /// wait for each other.
    #[serde(default = "default_threads")]
    pub threads: u64,
    /// The maximum time that a shutdown waits for requests in flight, in milliseconds, 100 to 600 000, by default
    /// 20 000.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// The limits of what the daemon holds for its clients.
    #[serde(default)]
    pub clients: Limits,
}

/// An entry VM and the addresses of the daemon on it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryVm {
    /// The id of the entry VM, unique in the settings.
    pub id: EntryVmId,
    /// The availability zone of the entry VM.
    pub zone: ZoneId,
    /// The listen address for callers, the load balancer and metrics scrapers, unique among all addresses of entry VMs.
    pub callers: SocketAddr,
    /// The listen address for other daemons and operators, unique among all addresses of entry VMs.
    pub peers: SocketAddr,
}

/// The connection to the platform's service.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address of the platform's service.
    pub addr: SocketAddr,
    /// The timeout of one call to the platform, in milliseconds, 10 to 60 000, by default 1 000.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

/// An exporter of trace spans.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TraceExporter {
    /// No spans are exported. The caller's trace context is still propagated.
    #[default]
    None,
    /// Spans are written to the standard output.
    Stdout,
}

fn default_threads() -> u64 {
    2
}

fn default_drain_ms() -> u64 {
    20_000
}

fn default_timeout_ms() -> u64 {
    1_000
}

impl EntrySettings {
    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// [`Error::Yaml`] if the text is not YAML of this structure, [`Error::InvalidField`] if a value is out of range or
    /// a duplicate, or if `entry_vms` does not list `entry_vm`.
    ///
    /// ```
    /// let err = settings::EntrySettings::parse("entry_vm: e1\nentry_vms: []\nplatform: {addr: '127.0.0.1:1'}\n");
    /// assert!(err.unwrap_err().to_string().starts_with("entry_vm:"));
    /// ```
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = validation::deserialize(text)?;
        settings.validate()?;
        Ok(settings)
    }

    /// Returns the same settings for the daemon on another entry VM.
    ///
    /// # Errors
    /// [`Error::InvalidField`] if `entry_vms` does not list the entry VM.
    pub fn with_entry_vm(mut self, id: EntryVmId) -> Result<Self> {
        self.entry_vm = id;
        self.validate()?;
        Ok(self)
    }

    /// Returns the entry VM that this daemon runs on.
    ///
    /// # Panics
    /// If `entry_vms` does not list `entry_vm`, which [`EntrySettings::parse`] rules out.
    #[must_use]
    pub fn own_entry_vm(&self) -> &EntryVm {
        let is_own_vm = |vm: &&EntryVm| vm.id == self.entry_vm;
        self.entry_vms
            .iter()
            .find(is_own_vm)
            .expect("validated settings list their own entry VM")
    }

    /// Returns all entry VMs but the entry VM that this daemon runs on.
    pub fn other_entry_vms(&self) -> impl Iterator<Item = &EntryVm> {
        self.entry_vms.iter().filter(|vm| vm.id != self.entry_vm)
    }

    fn validate(&self) -> Result<()> {
        if !self.entry_vms.iter().any(|vm| vm.id == self.entry_vm) {
            return Err(Error::invalid_field(
                "entry_vm",
                format_args!("`{}` is not listed under entry_vms", self.entry_vm),
            ));
        }
        let ids = self.entry_vms.iter().map(|vm| &vm.id);
        validation::check_unique(ids, "id", |i| format!("entry_vms[{i}].id"))?;
        let addrs = self.entry_vms.iter().flat_map(|vm| [vm.callers, vm.peers]);
        validation::check_unique(addrs, "address", |i| {
            let field = ["callers", "peers"][i % 2];
            format!("entry_vms[{}].{field}", i / 2)
        })?;
        validation::check_range(self.platform.timeout_ms, 10..=60_000, "platform.timeout_ms")?;
        validation::check_range(self.threads, 1..=64, "threads")?;
        validation::check_range(self.drain_ms, 100..=600_000, "drain_ms")?;
        self.clients.check().map_err(Error::from)
    }
}
