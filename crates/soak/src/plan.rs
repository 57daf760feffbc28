//! Which faults come when: a seed decides.

use std::ops::Range;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::ProxyFault;

use crate::outages::outages;

/// The shortest time for which a fault lasts. Below the 0.9 s after which a suspect daemon is dead.
const SHORTEST: Duration = Duration::from_millis(300);

/// The longest time: longer than a lease of 5 s.
const LONGEST: Duration = Duration::from_millis(6500);

/// The number of the random stream for restarts of workers; the other faults come from stream 0.
const RESTART_STREAM: u64 = 1;

/// The number of the random stream for faults of the leader.
const LEADER_STREAM: u64 = 2;

/// The number of the random stream for configurations that assign the queue to the other pool.
const REASSIGNMENT_STREAM: u64 = 3;

/// The time for which a paused leader is paused: longer than the gap between the commands of two leaders.
const LEADER_PAUSE: Range<Duration> = Duration::from_millis(3100)..LONGEST;

/// How large a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scale {
    /// How many daemons.
    pub daemons: usize,
    /// How many workers.
    pub workers: usize,
    /// How many callers, each with one job after another.
    pub callers: usize,
    /// For how long faults come.
    pub faults: Duration,
    /// The mean pause between two faults.
    pub pause: Duration,
    /// The mean pause between two series of outages of workers; `None` for none.
    pub outages: Option<Duration>,
    /// How many jobs that last are kept running, without being cancelled.
    pub services: usize,
    /// The mean pause between two configurations that assign the queue to the other one of two pools, while accepted jobs are
    /// handed in again; `None` for one pool.
    pub reassignments: Option<Duration>,
}

impl Scale {
    /// The usual size: three daemons, four workers, faults for 15 s.
    #[must_use]
    pub fn usual() -> Self {
        Self {
            daemons: 3,
            workers: 4,
            callers: 6,
            faults: Duration::from_secs(15),
            pause: Duration::from_millis(900),
            outages: None,
            services: 0,
            reassignments: None,
        }
    }

    /// A short run, for every change.
    #[must_use]
    pub fn short() -> Self {
        Self {
            faults: Duration::from_secs(6),
            ..Self::usual()
        }
    }

    /// A run with many commands to VMs, and longer, in which more of the faults strike the leader.
    #[must_use]
    pub fn leaders() -> Self {
        Self {
            daemons: 5,
            workers: 12,
            callers: 16,
            faults: Duration::from_secs(30),
            pause: Duration::from_millis(1500),
            ..Self::usual()
        }
    }

    /// A run with outages of several workers at once, often together with the pool's owner, under jobs that last.
    #[must_use]
    pub fn workers() -> Self {
        Self {
            workers: 14,
            faults: Duration::from_secs(40),
            pause: Duration::from_secs(4),
            outages: Some(Duration::from_secs(8)),
            services: 7,
            ..Self::usual()
        }
    }

    /// A run in which configurations assign the queue to one pool after the other, and jobs are handed in again.
    #[must_use]
    pub fn queues() -> Self {
        Self {
            workers: 6,
            reassignments: Some(Duration::from_secs(3)),
            ..Self::usual()
        }
    }

    /// A run near the limits of a machine.
    #[must_use]
    pub fn large() -> Self {
        Self {
            daemons: 24,
            workers: 40,
            callers: 24,
            ..Self::usual()
        }
    }
}

/// What a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// The connections from a daemon to the store.
    StoreLink(usize),
    /// The connections from a daemon to the control of VMs.
    VmsLink(usize),
    /// The connections from callers to a daemon.
    CallersLink(usize),
    /// The connections from daemons to a worker.
    WorkerLink(usize),
}

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Connections misbehave.
    Link(Subject, ProxyFault),
    /// A daemon is killed, and started again at the end.
    Kill(usize),
    /// A daemon is asked to end, and started again at the end.
    Terminate(usize),
    /// A daemon is paused, and goes on at the end.
    Pause(usize),
    /// The daemon that sent the last command to a VM is killed, and started again at the end.
    KillLeader,
    /// That daemon is asked to end, and started again at the end.
    TerminateLeader,
    /// That daemon is paused, and goes on at the end.
    PauseLeader,
    /// The store refuses all calls.
    StoreDown,
    /// The store loses the answer to one of so many transactions.
    StoreLosing(u64),
    /// A worker ends with all that runs there, and comes back under another id.
    WorkerEnds(usize),
    /// A worker ends with all that runs there, and comes back under the id that it had.
    WorkerRestarts(usize),
    /// A worker ends with all that runs there, is down while connections to it misbehave, and comes back under another id.
    WorkerDown(usize, ProxyFault),
    /// A worker lives on, and neither daemons reach it nor it the store.
    WorkerCutOff(usize),
    /// The heartbeats of all workers are lost, and their entries lapse.
    RegistryLapses,
    /// The pool's owner is killed, and started again at the end.
    KillOwner,
    /// The pool's owner is paused, and goes on at the end.
    PauseOwner,
    /// A configuration assigns the queue to the other pool.
    QueueReassigned,
    /// VMs are due for maintenance once more, unless a wave is under way.
    WaveAgain,
}

/// A fault and when it comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Planned {
    /// From when on.
    pub at: Duration,
    /// For how long.
    pub lasts: Duration,
    /// What.
    pub fault: Fault,
}

/// The faults of a seed, in order. They overlap; one process may be struck again while it is still down.
///
/// ```
/// use soak::{Scale, plan};
/// let faults = plan(7, Scale::usual());
/// assert_eq!(faults, plan(7, Scale::usual()));
/// assert!(faults.windows(2).all(|pair| pair[0].at <= pair[1].at));
/// ```
#[must_use]
pub fn plan(seed: u64, scale: Scale) -> Vec<Planned> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(100..1000));
    while at < scale.faults {
        let lasts = rng.random_range(SHORTEST..LONGEST);
        let fault = fault(&mut rng, scale);
        faults.push(Planned { at, lasts, fault });
        if rng.random_ratio(1, 5) {
            // A series: the same kind strikes the daemons one after the other, or all at once.
            let gap = *[Duration::ZERO, Duration::from_millis(400)]
                .choose(&mut rng)
                .unwrap_or(&Duration::ZERO);
            faults.extend(series(fault, at, lasts, gap, scale));
        }
        at += scale.pause.mul_f64(rng.random_range(0.1..2.0));
    }
    faults.extend(restarts(seed, scale));
    faults.extend(leader_faults(seed, scale));
    faults.extend(outages(seed, scale));
    faults.extend(reassignments(seed, scale));
    faults.sort_by_key(|planned| planned.at);
    faults
}

/// The restarts of workers under their ids. They come from a random stream of their own, so that the other faults of a seed
/// stay the same.
fn restarts(seed: u64, scale: Scale) -> Vec<Planned> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(RESTART_STREAM);
    let mut faults = Vec::new();
    let mut at = scale.pause;
    while at < scale.faults {
        at += scale.pause.mul_f64(rng.random_range(0.1..4.0));
        faults.push(Planned {
            at,
            lasts: SHORTEST,
            fault: Fault::WorkerRestarts(rng.random_range(0..scale.workers)),
        });
    }
    faults
}

/// The configurations that assign the queue to the other pool. They come from a random stream of their own, like [`restarts`].
fn reassignments(seed: u64, scale: Scale) -> Vec<Planned> {
    let Some(pause) = scale.reassignments else {
        return Vec::new();
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(REASSIGNMENT_STREAM);
    let mut faults = Vec::new();
    let mut at = pause;
    while at < scale.faults {
        faults.push(Planned {
            at,
            lasts: Duration::ZERO,
            fault: Fault::QueueReassigned,
        });
        at += pause.mul_f64(rng.random_range(0.1..2.0));
    }
    faults
}

/// The faults of the leader, of which some end one leader right after the other. They come from a random stream of their own,
/// like [`restarts`].
fn leader_faults(seed: u64, scale: Scale) -> Vec<Planned> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(LEADER_STREAM);
    let mut faults = Vec::new();
    let mut at = scale.pause;
    while at < scale.faults {
        at += scale.pause.mul_f64(rng.random_range(1.0..4.0));
        let lasts = rng.random_range(SHORTEST..LONGEST);
        let pause = rng.random_range(LEADER_PAUSE);
        let series: &[_] = match rng.random_range(0..7) {
            0 => &[(Fault::KillLeader, lasts)],
            1 => &[(Fault::TerminateLeader, lasts)],
            2 => &[(Fault::KillLeader, SHORTEST); 2],
            3 => &[(Fault::TerminateLeader, SHORTEST); 3],
            4 => &[
                (Fault::KillLeader, SHORTEST),
                (Fault::TerminateLeader, lasts),
            ],
            _ => &[(Fault::PauseLeader, pause)],
        };
        for &(fault, lasts) in series {
            faults.push(Planned { at, lasts, fault });
            at += rng.random_range(SHORTEST..scale.pause * 2);
        }
    }
    faults
}

/// The same fault for all other daemons; none for faults of other parts.
fn series(
    fault: Fault,
    at: Duration,
    lasts: Duration,
    gap: Duration,
    scale: Scale,
) -> Vec<Planned> {
    let (first, make): (usize, fn(usize) -> Fault) = match fault {
        Fault::Kill(daemon) => (daemon, Fault::Kill),
        Fault::Terminate(daemon) => (daemon, Fault::Terminate),
        Fault::Pause(daemon) => (daemon, Fault::Pause),
        _ => return Vec::new(),
    };
    let others = (0..scale.daemons).filter(|daemon| *daemon != first);
    let planned = others.zip(1u32..).map(|(daemon, place)| Planned {
        at: at + gap * place,
        lasts,
        fault: make(daemon),
    });
    planned.collect()
}

fn fault(rng: &mut ChaCha8Rng, scale: Scale) -> Fault {
    let daemon = rng.random_range(0..scale.daemons);
    let worker = rng.random_range(0..scale.workers);
    match rng.random_range(0..13) {
        0 | 1 => Fault::Kill(daemon),
        2 | 3 => Fault::Terminate(daemon),
        4 | 5 => Fault::Pause(daemon),
        6 => Fault::StoreDown,
        7 => Fault::StoreLosing(rng.random_range(2..6)),
        8 => Fault::WorkerEnds(worker),
        9 => Fault::Link(Subject::StoreLink(daemon), link_fault(rng)),
        10 => Fault::Link(Subject::VmsLink(daemon), link_fault(rng)),
        11 => Fault::Link(Subject::CallersLink(daemon), link_fault(rng)),
        _ => Fault::Link(Subject::WorkerLink(worker), link_fault(rng)),
    }
}

fn link_fault(rng: &mut ChaCha8Rng) -> ProxyFault {
    match rng.random_range(0..6) {
        0 => ProxyFault::Delay(Duration::from_millis(rng.random_range(5..400))),
        1 => ProxyFault::Cut,
        2 => ProxyFault::Freeze,
        3 => ProxyFault::FreezeRequests,
        4 => ProxyFault::FreezeAnswers,
        _ => ProxyFault::TruncateAnswers(rng.random_range(0..200)),
    }
}
