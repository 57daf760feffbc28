//! The commands and their arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args as ClapArgs, Parser, Subcommand};
use clap_complete::Shell;
use domain::{Epoch, JobId, PoolId, PresetId, VmId};
use smol_str::SmolStr;

/// Drives a trefoilpass deployment.
///
/// Exit codes: 0 done; 2 bad arguments or input; 3 refused, nothing was changed; 4 no daemon reached;
/// 5 the outcome is unknown; 6 not done within the time to wait.
#[derive(Debug, Parser)]
#[command(name = "trefoilpass", version)]
pub(crate) struct Args {
    /// Daemons' addresses for peers, tried in turn.
    #[arg(
        long,
        global = true,
        env = "TREFOILPASS_DAEMONS",
        value_delimiter = ',',
        default_value = "127.0.0.1:20151"
    )]
    pub(crate) daemons: Vec<SocketAddr>,
    /// Print listings as JSON.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// How long to wait.
#[derive(Debug, Clone, Copy, ClapArgs)]
pub(crate) struct Wait {
    /// Wait until it is done everywhere, and show progress.
    #[arg(long)]
    pub(crate) wait: bool,
    /// The longest time to wait, in seconds.
    #[arg(long, default_value_t = 120)]
    pub(crate) wait_s: u64,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// The configuration.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// The preset in force.
    #[command(subcommand)]
    Preset(PresetCommand),
    /// A daemon and its peers.
    Status,
    /// Target VMs.
    #[command(subcommand)]
    Vm(VmCommand),
    /// Pools.
    #[command(subcommand)]
    Pool(ListCommand),
    /// Services.
    #[command(subcommand)]
    Service(ListCommand),
    /// Maintenance waves.
    #[command(subcommand)]
    Wave(WaveCommand),
    /// Jobs.
    #[command(subcommand)]
    Job(JobCommand),
    /// Print a shell's completion script.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum ConfigCommand {
    /// Check a deployment document.
    Check {
        /// The document.
        file: PathBuf,
    },
    /// Check a configuration of the users' platform before it is sent. Fails if it has errors.
    CheckFleet {
        /// The configuration, in JSON.
        file: PathBuf,
        /// The configuration in force, to show what differs.
        #[arg(long)]
        in_force: Option<PathBuf>,
    },
    /// Compare a document with the one in force.
    Diff {
        /// The document.
        file: PathBuf,
    },
    /// Put a document in force.
    Apply {
        /// The document.
        file: PathBuf,
        /// Only if this epoch is in force.
        #[arg(long)]
        after: Option<u64>,
        #[command(flatten)]
        wait: Wait,
    },
    /// Show the document in force.
    Show,
}

#[derive(Debug, Subcommand)]
pub(crate) enum PresetCommand {
    /// Show the preset in force.
    Show,
    /// Switch to another preset.
    Switch {
        /// The preset that has to be in force.
        #[arg(long)]
        from: PresetId,
        /// The preset to switch to.
        #[arg(long)]
        to: PresetId,
        #[command(flatten)]
        wait: Wait,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum ListCommand {
    /// List them.
    List,
}

#[derive(Debug, Subcommand)]
pub(crate) enum VmCommand {
    /// List the VMs.
    List,
    /// Let a VM finish its work and stop.
    Drain {
        /// The VM.
        vm: VmId,
        #[command(flatten)]
        wait: Wait,
    },
    /// Let a stopped VM serve again.
    Return {
        /// The VM.
        vm: VmId,
        #[command(flatten)]
        wait: Wait,
    },
    /// Drain a VM and give it to another pool.
    Move {
        /// The VM.
        vm: VmId,
        /// The pool.
        #[arg(long)]
        to: PoolId,
        #[command(flatten)]
        wait: Wait,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum WaveCommand {
    /// Drain, reboot and return every VM of a pool.
    Start {
        /// The pool.
        #[arg(long)]
        pool: PoolId,
        #[command(flatten)]
        wait: Wait,
    },
    /// Show the waves.
    Status,
    /// Take no further VMs for now.
    Pause {
        /// The wave.
        wave: SmolStr,
    },
    /// Go on with a paused wave.
    Resume {
        /// The wave.
        wave: SmolStr,
    },
    /// End a wave; VMs that it has taken are finished.
    Abort {
        /// The wave.
        wave: SmolStr,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum JobCommand {
    /// Submit a job.
    Submit {
        /// The job's description.
        file: PathBuf,
        /// The job's id. The same id is taken once, so that the command can be run again.
        #[arg(long)]
        id: JobId,
        #[command(flatten)]
        wait: Wait,
    },
    /// List the jobs.
    List,
    /// Show a job.
    Show {
        /// The job.
        job: JobId,
    },
    /// Cancel jobs.
    Cancel {
        /// The jobs.
        #[arg(required = true)]
        jobs: Vec<JobId>,
    },
}

impl ConfigCommand {
    /// The epoch that an `apply` is meant to follow.
    pub(crate) fn after(after: Option<u64>) -> Option<Epoch> {
        after.map(Epoch)
    }
}
