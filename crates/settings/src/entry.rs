//! The settings of a daemon: who it is, where its peers are, where the platform is.

use std::net::SocketAddr;

use domain::{EntryVmId, ZoneId};
use serde::Deserialize;

use crate::check::{self, Error, Result};

/// The settings file of `trefoilpassd`. One file serves every entry VM; `entry_vm` says which one this is.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The entry VM that this daemon runs on.
    pub entry_vm: EntryVmId,
    /// Every entry VM of the deployment, this one included.
    pub entry_vms: Vec<EntryVm>,
    /// Where the platform's service is.
    pub platform: Platform,
    /// Where spans go.
    #[serde(default)]
    pub traces: Traces,
    /// Threads that serve requests. More than the entry VM's spare cores only make each other wait.
    #[serde(default = "default_threads")]
    pub threads: u64,
    /// How long a shutdown waits for requests in flight.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
}

/// An entry VM and its daemon's addresses.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryVm {
    /// Its id.
    pub id: EntryVmId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where callers, the balancer and the metrics reader connect.
    pub callers: SocketAddr,
    /// Where peers and operators connect.
    pub peers: SocketAddr,
}

/// The platform's service.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Its address.
    pub addr: SocketAddr,
    /// How long one call may take.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

/// Where spans go.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Traces {
    /// Nowhere; the caller's trace context is still carried on.
    #[default]
    None,
    /// To the standard output.
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
    /// Reads and checks a settings file's text.
    ///
    /// # Errors
    /// [`Error`] naming the field.
    ///
    /// ```
    /// let err = settings::EntrySettings::parse("entry_vm: e1\nentry_vms: []\nplatform: {addr: '127.0.0.1:1'}\n");
    /// assert!(err.unwrap_err().to_string().starts_with("entry_vm:"));
    /// ```
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = check::read(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// The same settings for another entry VM of the list.
    ///
    /// # Errors
    /// [`Error::Field`] when the list has no such entry VM.
    pub fn with_entry_vm(mut self, id: EntryVmId) -> Result<Self> {
        self.entry_vm = id;
        self.check()?;
        Ok(self)
    }

    /// The entry of this daemon's own entry VM.
    ///
    /// # Panics
    /// Never for settings from [`EntrySettings::parse`], which checks that the entry is there.
    #[must_use]
    pub fn own(&self) -> &EntryVm {
        let is_own = |vm: &&EntryVm| vm.id == self.entry_vm;
        self.entry_vms.iter().find(is_own).expect("parse checks it")
    }

    /// The entries of the other daemons.
    pub fn others(&self) -> impl Iterator<Item = &EntryVm> {
        self.entry_vms.iter().filter(|vm| vm.id != self.entry_vm)
    }

    fn check(&self) -> Result<()> {
        if !self.entry_vms.iter().any(|vm| vm.id == self.entry_vm) {
            return Err(Error::field(
                "entry_vm",
                format_args!("`{}` is not listed under entry_vms", self.entry_vm),
            ));
        }
        let ids = self.entry_vms.iter().map(|vm| &vm.id);
        check::unique(ids, "id", |i| format!("entry_vms[{i}].id"))?;
        let addrs = self.entry_vms.iter().flat_map(|vm| [vm.callers, vm.peers]);
        check::unique(addrs, "address", |i| {
            let field = ["callers", "peers"][i % 2];
            format!("entry_vms[{}].{field}", i / 2)
        })?;
        check::within(self.platform.timeout_ms, 10..=60_000, "platform.timeout_ms")?;
        check::within(self.threads, 1..=64, "threads")?;
        check::within(self.drain_ms, 100..=600_000, "drain_ms")
    }
}
