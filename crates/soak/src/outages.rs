//! Outages of workers, which overlap with faults of the pool's owner and of the store.

use std::ops::Range;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::ProxyFault;

use crate::plan::{Fault, Planned, Scale};

/// The number of the random stream for outages of workers.
const OUTAGE_STREAM: u64 = 3;

/// For how long a worker that crashed is down.
const DOWN: Range<Duration> = Duration::from_millis(500)..Duration::from_secs(5);

/// For how long a worker is cut off: longer than a lease of 5 s and an owner's grace of 4 s.
const CUT_OFF: Range<Duration> = Duration::from_millis(9300)..Duration::from_secs(12);

/// For how long the store is down: longer than an entry takes to lapse.
const STORE_DOWN: Range<Duration> = Duration::from_secs(2)..Duration::from_secs(6);

/// For how long the owner is down or paused.
const OWNER_OUT: Range<Duration> = Duration::from_millis(300)..Duration::from_millis(3500);

/// The pause between two cut-offs of a series: a task that moves on when its leases have expired may meet the next one.
const CUT_OFF_GAP: Range<Duration> = Duration::from_secs(5)..Duration::from_millis(10_500);

/// The pause between two outages of another series.
const GAP: Range<Duration> = Duration::from_millis(1500)..Duration::from_secs(5);

/// The outages of a seed. They come from a random stream of their own, so that the other faults of a seed stay the same.
pub(crate) fn outages(seed: u64, scale: Scale) -> Vec<Planned> {
    let mut faults = Vec::new();
    let Some(pause) = scale.outages else {
        return faults;
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(OUTAGE_STREAM);
    let mut at = pause;
    while at < scale.faults {
        faults.extend(series(&mut rng, scale, at));
        at += pause.mul_f64(rng.random_range(0.5..1.5));
    }
    faults
}

fn series(rng: &mut ChaCha8Rng, scale: Scale, at: Duration) -> Vec<Planned> {
    let kind = rng.random_range(0..6);
    let gaps = if kind < 2 { CUT_OFF_GAP } else { GAP };
    let mut faults = Vec::new();
    let mut at = at;
    for _ in 0..rng.random_range(1..5) {
        faults.extend(match kind {
            0 | 1 => cut_offs(rng, scale, at),
            2 => store_outage(rng, scale, at),
            3 => owner_paused_in_wave(rng, at),
            _ => crashes_and_takeover(rng, scale, at),
        });
        at += rng.random_range(gaps.clone());
    }
    faults
}

/// Several workers are cut off at once, and at times something happens to the owner meanwhile.
fn cut_offs(rng: &mut ChaCha8Rng, scale: Scale, at: Duration) -> Vec<Planned> {
    let lasts = rng.random_range(CUT_OFF);
    let workers = some_workers(rng, scale);
    let cut_off = |worker| Planned {
        at,
        lasts,
        fault: Fault::WorkerCutOff(worker),
    };
    let mut faults: Vec<_> = workers.into_iter().map(cut_off).collect();
    if rng.random_ratio(1, 3) {
        let later = at + rng.random_range(Duration::ZERO..lasts);
        faults.push(owner_fault(rng, later));
    }
    faults
}

/// The store is down, entries lapse, and at times workers crash meanwhile.
fn store_outage(rng: &mut ChaCha8Rng, scale: Scale, at: Duration) -> Vec<Planned> {
    let lasts = rng.random_range(STORE_DOWN);
    let outage = |fault| Planned { at, lasts, fault };
    let mut faults = vec![outage(Fault::StoreDown), outage(Fault::RegistryLapses)];
    if rng.random() {
        faults.extend(crashes(rng, scale, at + lasts / 2));
    }
    faults
}

/// The owner is paused while VMs are maintained.
fn owner_paused_in_wave(rng: &mut ChaCha8Rng, at: Duration) -> Vec<Planned> {
    let wave = Planned {
        at,
        lasts: Duration::ZERO,
        fault: Fault::WaveAgain,
    };
    let pause = Planned {
        at: at + rng.random_range(Duration::ZERO..Duration::from_secs(1)),
        lasts: rng.random_range(OWNER_OUT),
        fault: Fault::PauseOwner,
    };
    vec![wave, pause]
}

/// Several workers crash at once, and something happens to the owner right then.
fn crashes_and_takeover(rng: &mut ChaCha8Rng, scale: Scale, at: Duration) -> Vec<Planned> {
    let mut faults = crashes(rng, scale, at);
    if rng.random_ratio(2, 3) {
        let later = at + rng.random_range(Duration::ZERO..Duration::from_millis(300));
        faults.push(owner_fault(rng, later));
    }
    faults
}

/// Several workers that crash at once.
fn crashes(rng: &mut ChaCha8Rng, scale: Scale, at: Duration) -> Vec<Planned> {
    let link = [ProxyFault::Cut, ProxyFault::Freeze][rng.random_range(0..2)];
    let workers = some_workers(rng, scale);
    let crash = |worker| Planned {
        at,
        lasts: rng.random_range(DOWN),
        fault: Fault::WorkerDown(worker, link),
    };
    workers.into_iter().map(crash).collect()
}

fn owner_fault(rng: &mut ChaCha8Rng, at: Duration) -> Planned {
    Planned {
        at,
        lasts: rng.random_range(OWNER_OUT),
        fault: [Fault::KillOwner, Fault::PauseOwner][rng.random_range(0..2)],
    }
}

/// Two workers to a third of them.
fn some_workers(rng: &mut ChaCha8Rng, scale: Scale) -> Vec<usize> {
    let count = rng.random_range(2..=scale.workers / 3);
    (0..scale.workers).choose_multiple(rng, count)
}
