//! Callers: each hands in one job after another, asks for them, and cancels some.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use platform_stand_in::{
    Caller, ReportedState, SERVICE_PAYLOAD, SubmitOutcome, job_body, sequential_job_body,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::ledger::{JobKind, JobRecord, Ledger, StateSeen};

/// How often a caller tries to hand a job in, as the platform's callers do.
const TRIES: usize = 5;

/// The pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// The longest pause between two calls of a caller.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// How long callers call, and then pause, in turns. The demand then rises and falls, and VMs are moved to the standby pool and
/// back.
const BURST: Duration = Duration::from_secs(2);

/// The number of the random stream for jobs that last. Callers have those from 1 on.
const SERVICE_STREAM: u64 = u64::MAX;

/// The number of the random stream for jobs that are handed in again.
const REPEAT_STREAM: u64 = u64::MAX - 1;

/// For how long after its acceptance a job is handed in again.
const REPEATED_FOR: Duration = Duration::from_secs(6);

/// The longest pause between two jobs that are handed in again.
const LONGEST_REPEAT_PAUSE: Duration = Duration::from_millis(100);

pub(crate) type SharedLedger = Arc<Mutex<Ledger>>;

/// Calls until `until`. Connections stay open over the whole run.
pub(crate) async fn call_until(
    until: Instant,
    (seed, number): (u64, u64),
    daemons: Vec<Caller>,
    ledger: SharedLedger,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(number + 1);
    let mut job = (number + 1) << 32;
    let start = Instant::now();
    while Instant::now() < until {
        await_burst(start).await;
        job += 1;
        let kind = kind(&mut rng);
        ledger.lock().jobs.insert(job, JobRecord::new(kind));
        hand_in(job, kind, &mut rng, &daemons, &ledger).await;
        pause(&mut rng).await;
        let own = rng.random_range((number + 1) << 32..=job);
        ask(own.max(job), pick(&daemons, &mut rng), &ledger).await;
        let is_lasting = matches!(kind, JobKind::Lasting { .. });
        if is_lasting || rng.random_ratio(1, 10) {
            pause(&mut rng).await;
            cancel(job, pick(&daemons, &mut rng), &ledger).await;
        }
    }
}

/// The job number of the first job that [`serve_until`] hands in.
const FIRST_SERVICE: u64 = 0xff << 32;

/// Keeps `count` jobs that last running until `until`, and asks for them. Nobody cancels them; jobs that have failed get a
/// successor.
pub(crate) async fn serve_until(
    until: Instant,
    (seed, count): (u64, usize),
    daemons: Vec<Caller>,
    ledger: SharedLedger,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(SERVICE_STREAM);
    let mut next = FIRST_SERVICE;
    let mut live: Vec<u64> = Vec::new();
    while Instant::now() < until {
        if live.len() < count {
            next += 1;
            let tasks = rng.random_range(2..6);
            let kind = JobKind::Lasting { tasks };
            ledger.lock().jobs.insert(next, JobRecord::new(kind));
            hand_in(next, kind, &mut rng, &daemons, &ledger).await;
            live.push(next);
        }
        if let Some(job) = live.choose(&mut rng).copied() {
            let shown = ask(job, pick(&daemons, &mut rng), &ledger).await;
            live.retain(|other| *other != job || shown != ReportedState::Failed);
        }
        pause(&mut rng).await;
    }
}

/// Hands accepted jobs in again until `until`, at any daemon, as callers do after a response that they did not get.
pub(crate) async fn repeat_until(
    until: Instant,
    seed: u64,
    daemons: Vec<Caller>,
    ledger: SharedLedger,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(REPEAT_STREAM);
    while Instant::now() < until {
        let recent: Vec<_> = {
            let ledger = ledger.lock();
            let jobs = ledger.jobs.iter();
            let recent = jobs.filter(|(_, job)| {
                let accepted = job.accepted;
                accepted.is_some_and(|accepted| accepted.elapsed() < REPEATED_FOR)
            });
            recent.map(|(id, job)| (*id, job.kind)).collect()
        };
        if let Some((job, kind)) = recent.choose(&mut rng) {
            pick(&daemons, &mut rng).submit(*job, body(*kind)).await;
        }
        tokio::time::sleep(rng.random_range(Duration::ZERO..LONGEST_REPEAT_PAUSE)).await;
    }
}

async fn await_burst(start: Instant) {
    let elapsed_ms = start.elapsed().as_millis();
    let burst_ms = BURST.as_millis();
    if elapsed_ms / burst_ms % 2 == 1 {
        let rest_ms = burst_ms - elapsed_ms % burst_ms;
        tokio::time::sleep(Duration::from_millis(u64::try_from(rest_ms).unwrap_or(0))).await;
    }
}

fn kind(rng: &mut ChaCha8Rng) -> JobKind {
    match rng.random_range(0..10) {
        0 => JobKind::Lasting { tasks: 2 },
        1..=4 => JobKind::Chain {
            tasks: [rng.random_range(1..4), rng.random_range(1..3)],
        },
        _ => JobKind::Single {
            tasks: rng.random_range(1..5),
        },
    }
}

fn body(kind: JobKind) -> String {
    match kind {
        JobKind::Single { tasks } => job_body("x", tasks, false),
        JobKind::Chain { tasks } => sequential_job_body("x", &tasks),
        JobKind::Lasting { tasks } => job_body(SERVICE_PAYLOAD, tasks, true),
    }
}

fn pick<'a>(daemons: &'a [Caller], rng: &mut ChaCha8Rng) -> &'a Caller {
    daemons.choose(rng).expect("at least one daemon")
}

async fn pause(rng: &mut ChaCha8Rng) {
    tokio::time::sleep(rng.random_range(Duration::ZERO..LONGEST_PAUSE)).await;
}

async fn hand_in(
    job: u64,
    kind: JobKind,
    rng: &mut ChaCha8Rng,
    daemons: &[Caller],
    ledger: &SharedLedger,
) {
    for _ in 0..TRIES {
        let outcome = pick(daemons, rng).submit(job, body(kind)).await;
        if let Some(record) = ledger.lock().jobs.get_mut(&job) {
            record.is_refused &= outcome == SubmitOutcome::Refused;
            if outcome == SubmitOutcome::Accepted {
                record.accepted = Some(Instant::now());
                return;
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Asks for a job's state, and notes the answer.
pub(crate) async fn ask(job: u64, daemon: &Caller, ledger: &SharedLedger) -> ReportedState {
    let asked = Instant::now();
    let shown = daemon.state(job).await;
    if let Some(record) = ledger.lock().jobs.get_mut(&job) {
        record.seen.push(StateSeen {
            asked,
            answered: Instant::now(),
            shown,
        });
    }
    shown
}

/// Asks to cancel a job, and notes whether that was acknowledged.
pub(crate) async fn cancel(job: u64, daemon: &Caller, ledger: &SharedLedger) -> bool {
    if let Some(record) = ledger.lock().jobs.get_mut(&job) {
        record.cancel_asked.get_or_insert(Instant::now());
    }
    let is_cancelled = daemon.cancel(job).await;
    if let Some(record) = ledger.lock().jobs.get_mut(&job).filter(|_| is_cancelled) {
        record.cancelled.get_or_insert(Instant::now());
    }
    is_cancelled
}
