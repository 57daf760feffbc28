//! The processes, the proxies between them, and what strikes them.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use platform_stand_in::{PlatformStandIn, SECOND_POOL, StoreFaults};
use test_support::{Daemon, FaultProxy, FleetDaemonSpec, ProxyFault, free_addrs};
use tokio::task::JoinHandle;

use crate::plan::{Fault, Scale, Subject};

/// How long a daemon may take to end in order: the platform's grace.
const GRACE: Duration = Duration::from_secs(6);

/// The deadline of a wave.
pub(crate) const WAVE_DEADLINE_S: u64 = 25;

/// The pools of the queue in a run in which it is assigned to one after the other.
const POOLS: [&str; 2] = ["work", SECOND_POOL];

/// How many VMs a wave may have down at a time.
pub(crate) fn most_down(workers: usize) -> usize {
    workers.div_ceil(4)
}

struct Member {
    spec: FleetDaemonSpec,
    process: Option<Daemon>,
    /// The ordered end of an earlier process, which returns what was wrong with it.
    ending: Option<JoinHandle<Option<String>>>,
    /// How many faults at present keep it from running.
    kept_down: usize,
    /// How many faults at present pause it.
    paused: usize,
    log: PathBuf,
    store: FaultProxy,
    vms: FaultProxy,
    callers: FaultProxy,
}

/// A platform and the daemons on it.
pub(crate) struct Stage {
    pub(crate) platform: PlatformStandIn,
    members: Vec<Member>,
    workers: Vec<FaultProxy>,
    program: PathBuf,
    /// The number of the last wave that was requested.
    last_wave: u64,
    /// The number of the last configuration that assigned the queue to another pool.
    last_assignment: u64,
    /// What daemons did that nothing asked them to.
    pub(crate) findings: Vec<String>,
}

async fn proxy_to(server: SocketAddr) -> FaultProxy {
    FaultProxy::start(free_addrs(1)[0], server).await
}

/// Assigns the queue to the pools in turn.
fn assign_queue(platform: &PlatformStandIn, number: u64) {
    let pool = POOLS[usize::from(number % 2 == 1)];
    platform.configure_queue_in(3 + number, "r-1", pool);
}

impl Stage {
    /// Starts everything; the daemons' logs go to `logs`.
    pub(crate) async fn start(program: &Path, logs: &Path, scale: Scale) -> Self {
        let platform = PlatformStandIn::start(scale.workers).await;
        if scale.reassignments.is_some() {
            for worker in &platform.workers[scale.workers / 2..] {
                worker.set_pool(SECOND_POOL);
            }
            assign_queue(&platform, 0);
        } else {
            platform.configure_with_standby();
        }
        let mut workers = Vec::new();
        for worker in &platform.workers {
            let proxy = proxy_to(worker.addr).await;
            worker.advertise(proxy.addr);
            workers.push(proxy);
        }
        let mut members = Vec::new();
        for number in 0..scale.daemons {
            let name = format!("d{number}");
            let store = proxy_to(platform.store_addr).await;
            let vms = proxy_to(platform.vms_addr).await;
            let spec = FleetDaemonSpec::new(&name, store.addr, vms.addr);
            let callers = proxy_to(spec.callers).await;
            members.push(Member {
                process: None,
                ending: None,
                kept_down: 0,
                paused: 0,
                log: logs.join(format!("{name}.log")),
                spec,
                store,
                vms,
                callers,
            });
        }
        let mut stage = Self {
            platform,
            members,
            workers,
            program: program.to_path_buf(),
            last_wave: 1,
            last_assignment: 0,
            findings: Vec::new(),
        };
        for member in 0..stage.members.len() {
            stage.start_process(member).await;
        }
        stage
    }

    /// Where callers reach each daemon.
    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        self.members
            .iter()
            .map(|member| member.callers.addr)
            .collect()
    }

    /// Starts a daemon, after its earlier process has ended.
    async fn start_process(&mut self, number: usize) {
        let member = &mut self.members[number];
        if let Some(ending) = member.ending.take() {
            let finding = ending.await.unwrap_or_else(|err| Some(err.to_string()));
            self.findings.extend(finding);
        }
        let log = File::options().create(true).append(true).open(&member.log);
        let log = log.map_or_else(|_| Stdio::null(), Stdio::from);
        member.process = Some(Daemon::start_fleet(&self.program, &member.spec.yaml(), log));
    }

    /// A daemon that ended although nothing ended it is started again, and noted.
    pub(crate) async fn look_after(&mut self) {
        for number in 0..self.members.len() {
            let member = &mut self.members[number];
            let Some(process) = &mut member.process else {
                continue;
            };
            if let Some(status) = process.wait(Duration::from_millis(1)).await {
                self.findings
                    .push(format!("d{number} ended by itself: {status}"));
                self.start_process(number).await;
            }
        }
    }

    /// The fault of the daemon that is struck: the leader, for the faults of a leader, or the pool's owner.
    pub(crate) fn resolve(&self, fault: Fault) -> Fault {
        match fault {
            Fault::KillLeader => Fault::Kill(self.leader()),
            Fault::TerminateLeader => Fault::Terminate(self.leader()),
            Fault::PauseLeader => Fault::Pause(self.leader()),
            Fault::KillOwner => Fault::Kill(self.owner()),
            Fault::PauseOwner => Fault::Pause(self.owner()),
            other => other,
        }
    }

    /// The daemon that sent the last command to a VM; the first one before any command.
    fn leader(&self) -> usize {
        let commands = self.platform.vm_commands();
        let last = commands.last().map(|command| command.leader.as_str());
        let is_leader = |member: &Member| Some(member.spec.name.as_str()) == last;
        self.members.iter().position(is_leader).unwrap_or(0)
    }

    /// The daemon that owns the pool; the first one before any does.
    fn owner(&self) -> usize {
        let owner = self.platform.pool_owner();
        let is_owner = |member: &Member| Some(&member.spec.name) == owner.as_ref();
        self.members.iter().position(is_owner).unwrap_or(0)
    }

    /// `fault` is none of a leader or owner; see [`Stage::resolve`].
    pub(crate) fn begin(&mut self, fault: Fault, lasts: Duration) {
        match fault {
            Fault::Link(subject, fault) => self.link(subject).set(fault),
            Fault::Kill(daemon) => {
                self.members[daemon].kept_down += 1;
                self.members[daemon].process = None;
            }
            Fault::Terminate(daemon) => self.terminate(daemon),
            Fault::Pause(daemon) => {
                let member = &mut self.members[daemon];
                member.paused += 1;
                if let Some(process) = &member.process {
                    process.pause();
                }
            }
            Fault::StoreDown => self.set_store(true, 0),
            Fault::StoreLosing(lost_one_in) => self.set_store(false, lost_one_in),
            Fault::WorkerEnds(worker) => self.platform.workers[worker].restart(),
            Fault::WorkerRestarts(worker) => self.platform.workers[worker].restart_under_same_id(),
            Fault::WorkerDown(worker, link) => {
                self.platform.workers[worker].crash_for(lasts);
                self.workers[worker].set(link);
            }
            Fault::WorkerCutOff(worker) => {
                self.platform.workers[worker].lose_registry_for(lasts);
                self.workers[worker].set(ProxyFault::Freeze);
            }
            Fault::RegistryLapses => {
                for worker in &self.platform.workers {
                    worker.lose_registry_for(lasts);
                }
            }
            Fault::WaveAgain => self.request_wave_again(),
            Fault::QueueReassigned => {
                self.last_assignment += 1;
                assign_queue(&self.platform, self.last_assignment);
            }
            Fault::KillLeader
            | Fault::TerminateLeader
            | Fault::PauseLeader
            | Fault::KillOwner
            | Fault::PauseOwner => {}
        }
    }

    fn request_wave_again(&mut self) {
        if self.platform.is_wave_reported_done(self.last_wave) {
            self.last_wave += 1;
            let most_down = most_down(self.workers.len());
            self.platform
                .request_wave_again(self.last_wave, most_down, WAVE_DEADLINE_S);
        }
    }

    pub(crate) async fn end(&mut self, fault: Fault) {
        match fault {
            Fault::Link(subject, _) => self.link(subject).set(ProxyFault::None),
            Fault::Kill(daemon) | Fault::Terminate(daemon) => {
                let member = &mut self.members[daemon];
                member.kept_down -= 1;
                if member.kept_down == 0 && member.process.is_none() {
                    self.start_process(daemon).await;
                }
            }
            Fault::Pause(daemon) => {
                let member = &mut self.members[daemon];
                member.paused -= 1;
                if let Some(process) = member.process.as_ref().filter(|_| member.paused == 0) {
                    process.resume();
                }
            }
            Fault::StoreDown | Fault::StoreLosing(_) => self.set_store(false, 0),
            Fault::WorkerDown(worker, _) | Fault::WorkerCutOff(worker) => {
                self.workers[worker].set(ProxyFault::None);
            }
            Fault::WorkerEnds(_)
            | Fault::WorkerRestarts(_)
            | Fault::KillLeader
            | Fault::TerminateLeader
            | Fault::PauseLeader
            | Fault::KillOwner
            | Fault::PauseOwner
            | Fault::RegistryLapses
            | Fault::QueueReassigned
            | Fault::WaveAgain => {}
        }
    }

    /// Asks a daemon to end. Other faults come while it does.
    fn terminate(&mut self, daemon: usize) {
        let member = &mut self.members[daemon];
        member.kept_down += 1;
        let Some(mut process) = member.process.take() else {
            return;
        };
        if member.paused > 0 {
            // A paused process takes no signal but one that kills.
            return;
        }
        process.terminate();
        member.ending = Some(tokio::spawn(async move {
            match process.wait(GRACE).await {
                Some(status) if status.success() => None,
                Some(status) => Some(format!("d{daemon} ended in order with {status}")),
                None => Some(format!("d{daemon} did not end within {GRACE:?}")),
            }
        }));
    }

    fn set_store(&self, is_down: bool, lost_one_in: u64) {
        self.platform.store.set_faults(StoreFaults {
            is_down,
            response_loss_interval: lost_one_in,
            ..StoreFaults::default()
        });
    }

    fn link(&self, subject: Subject) -> &FaultProxy {
        match subject {
            Subject::StoreLink(daemon) => &self.members[daemon].store,
            Subject::VmsLink(daemon) => &self.members[daemon].vms,
            Subject::CallersLink(daemon) => &self.members[daemon].callers,
            Subject::WorkerLink(worker) => &self.workers[worker],
        }
    }
}
