//! The command line.

use std::path::PathBuf;

use clap::Parser;
use domain::EntryVmId;
use settings::EntrySettings;
use snafu::{ResultExt, Snafu};

/// The exit code for settings that can't be used.
pub(crate) const EXIT_BAD_SETTINGS: u8 = 2;

/// The result of reading the command line and its settings file.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Why the settings can't be used.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The settings for the users' platform can't be used.
    #[snafu(display("{source}"))]
    Fleet { source: fleetd::SettingsError },
    /// The file's contents can't be used.
    #[snafu(display("{}: {source}", path.display()))]
    Settings {
        path: PathBuf,
        source: settings::Error,
    },
}

/// The trefoilpass daemon, one for each entry VM.
#[derive(Debug, Parser)]
#[command(name = "trefoilpassd", version)]
pub(crate) struct Args {
    /// The settings file.
    #[arg(long, value_name = "FILE", env = "TREFOILPASS_SETTINGS")]
    pub(crate) config: PathBuf,
    /// Run on the users' platform, whose settings the file has.
    #[arg(long)]
    pub(crate) fleet: bool,
    /// The entry VM to run as, in place of the file's `entry_vm`.
    #[arg(long, value_name = "ID")]
    pub(crate) entry_vm: Option<EntryVmId>,
    /// Check the settings and exit.
    #[arg(long)]
    pub(crate) check: bool,
}

impl Args {
    /// Reads and checks the settings file of a daemon on the users' platform.
    pub(crate) fn fleet_settings(&self) -> Result<fleetd::FleetSettings> {
        fleetd::FleetSettings::read(&self.config).context(FleetSnafu)
    }

    /// Reads and checks the settings file.
    pub(crate) fn settings(&self) -> Result<EntrySettings> {
        let path = &self.config;
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        let settings = EntrySettings::parse(&text).context(SettingsSnafu { path })?;
        match &self.entry_vm {
            Some(id) => settings
                .with_entry_vm(id.clone())
                .context(SettingsSnafu { path }),
            None => Ok(settings),
        }
    }
}
