//! Daemons as child processes, which end with their handle.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

/// What a process has used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time, in milliseconds.
    pub cpu_ms: u64,
    /// Resident memory, in kilobytes.
    pub memory_kb: u64,
}

/// The kernel counts processor time in hundredths of a second.
const MS_PER_TICK: u64 = 10;

/// A daemon in a process of its own.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    settings: PathBuf,
}

impl Daemon {
    /// Starts a daemon with these settings. Its log goes to `log`, or nowhere.
    ///
    /// # Panics
    /// When the process can't be started.
    #[must_use]
    pub fn start(program: &Path, settings_yaml: &str, log: Stdio) -> Self {
        let mut command = Command::new(program);
        command.stdout(Stdio::null()).stderr(log);
        Self::spawn(command, settings_yaml)
    }

    /// Starts a daemon on the users' platform. Its log goes to `log`, or nowhere.
    ///
    /// # Panics
    /// When the process can't be started.
    #[must_use]
    pub fn start_fleet(program: &Path, settings_yaml: &str, log: Stdio) -> Self {
        let mut command = Command::new(program);
        command.arg("--fleet").stdout(log).stderr(Stdio::null());
        Self::spawn(command, settings_yaml)
    }

    fn spawn(mut command: Command, settings_yaml: &str) -> Self {
        let number: u64 = rand::random();
        let name = format!("trefoilpass-{}-{number:016x}.yaml", std::process::id());
        let settings = std::env::temp_dir().join(name);
        std::fs::write(&settings, settings_yaml).expect("a settings file");
        let child = command
            .arg("--config")
            .arg(&settings)
            .stdin(Stdio::null())
            .spawn()
            .expect("a daemon");
        Self { child, settings }
    }

    /// The process's id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What the process has used so far; zeros when it has ended.
    #[must_use]
    pub fn usage(&self) -> Usage {
        self.read_usage().unwrap_or_default()
    }

    fn read_usage(&self) -> Option<Usage> {
        let folder = PathBuf::from(format!("/proc/{}", self.id()));
        let stat = std::fs::read_to_string(folder.join("stat")).ok()?;
        // The name in parentheses may have spaces; the fields behind it are counted from the state.
        let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = |index: usize| fields.get(index)?.parse::<u64>().ok();
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        Some(Usage {
            cpu_ms: (ticks(11)? + ticks(12)?) * MS_PER_TICK,
            memory_kb: resident.split_whitespace().next()?.parse().ok()?,
        })
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        // A process that has ended already is what was asked for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to end in order.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Stops the process from running, as when its VM is paused.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets the process run again.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        // It fails only when the process has ended.
        let _ = kill_process(pid, signal);
    }

    /// Waits for the process's end; `None` when it has not come in time.
    pub async fn wait(&mut self, patience: Duration) -> Option<ExitStatus> {
        let until = tokio::time::Instant::now() + patience;
        while tokio::time::Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        // A file that is gone already is what was asked for.
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// The program of another package beside `sibling`, built first if need be.
///
/// # Panics
/// When it can't be built.
#[must_use]
pub fn built_program(sibling: &Path, name: &str) -> PathBuf {
    let program = sibling.with_file_name(name);
    if !program.exists() {
        let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
        let built = Command::new(cargo)
            .args(["build", "--package", name, "--bin", name])
            .status();
        assert!(
            built.is_ok_and(|status| status.success()),
            "{name} can't be built"
        );
    }
    program
}
