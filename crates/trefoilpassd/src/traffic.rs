//! The router behind a lock, with the requests that wait for its decisions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use domain::{ErrorKind, ZoneId};
use parking_lot::Mutex;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::{
    Admission, AttemptResult, Report, Request, Router, TargetKey, Verdict, WaitKey, Wake,
};
use tokio::sync::oneshot;

use crate::clock::Clock;

/// The result of asking for a target.
pub(crate) type Result<T> = std::result::Result<T, ErrorKind>;

/// Shares one router among the daemon's tasks.
#[derive(Debug)]
pub(crate) struct Traffic {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    router: Router,
    rng: ChaCha8Rng,
    waiters: HashMap<WaitKey, oneshot::Sender<Result<Lease>>>,
}

/// The right to send one attempt to a target. Dropping it ends the attempt.
#[derive(Debug)]
pub(crate) struct Lease {
    traffic: Arc<Traffic>,
    pub(crate) key: TargetKey,
    pub(crate) addr: SocketAddr,
    sent_us: u64,
    report: Report,
}

impl Lease {
    /// The first byte of the answer is there.
    pub(crate) fn answered(&mut self) {
        self.ended(AttemptResult::Answered);
    }

    /// The attempt ended in another way.
    pub(crate) fn ended(&mut self, result: AttemptResult) {
        let latency_us = self.traffic.clock.now_us().saturating_sub(self.sent_us);
        self.report = Report { result, latency_us };
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let (key, report) = (self.key, self.report);
        self.traffic
            .with(|router, rng, now_us| router.finish(key, report, now_us, rng));
    }
}

impl Traffic {
    pub(crate) fn new(own_zone: ZoneId, clock: Clock) -> Arc<Self> {
        let state = State {
            router: Router::new(own_zone),
            rng: ChaCha8Rng::from_os_rng(),
            waiters: HashMap::new(),
        };
        Arc::new(Self {
            clock,
            state: Mutex::new(state),
        })
    }

    /// Runs `f` on the router, then wakes the requests whose wait this has ended.
    pub(crate) fn with<R>(
        self: &Arc<Self>,
        f: impl FnOnce(&mut Router, &mut ChaCha8Rng, u64) -> R,
    ) -> R {
        self.with_state(|state, now_us| f(&mut state.router, &mut state.rng, now_us))
    }

    fn with_state<R>(self: &Arc<Self>, f: impl FnOnce(&mut State, u64) -> R) -> R {
        let now_us = self.clock.now_us();
        let mut state = self.state.lock();
        let result = f(&mut state, now_us);
        let woken = state.take_woken();
        drop(state);
        // A waiter that has gone away drops its lease here, which takes the lock again.
        for (wake, waiter) in woken {
            let _ = waiter.send(self.outcome(wake.verdict, now_us));
        }
        result
    }

    /// Gets a target for the request, waiting as long as the router allows.
    pub(crate) async fn acquire(self: &Arc<Self>, request: Request) -> Result<Lease> {
        let admitted = self.with_state(|state, now_us| state.admit(request, now_us));
        let (key, receiver) = match admitted {
            Ok(verdict) => return self.outcome(verdict, self.clock.now_us()),
            Err(waiting) => waiting,
        };
        let _guard = WaitGuard { traffic: self, key };
        receiver.await.unwrap_or(Err(ErrorKind::NoTarget))
    }

    fn outcome(self: &Arc<Self>, verdict: Verdict, now_us: u64) -> Result<Lease> {
        match verdict {
            Verdict::Refuse(kind) => Err(kind),
            Verdict::Send(key, addr) => Ok(Lease {
                traffic: self.clone(),
                key,
                addr,
                sent_us: now_us,
                report: Report {
                    result: AttemptResult::Abandoned,
                    latency_us: 0,
                },
            }),
        }
    }
}

/// A request that waits: its key in the queue, and where the end of its wait arrives.
type Waiting = (WaitKey, oneshot::Receiver<Result<Lease>>);

impl State {
    /// The verdict on a request, or its wait for one.
    fn admit(&mut self, request: Request, now_us: u64) -> std::result::Result<Verdict, Waiting> {
        match self.router.admit(request, now_us, &mut self.rng) {
            Admission::Decided(verdict) => Ok(verdict),
            Admission::Wait(key) => {
                let (sender, receiver) = oneshot::channel();
                self.waiters.insert(key, sender);
                Err((key, receiver))
            }
        }
    }

    fn take_woken(&mut self) -> Vec<(Wake, oneshot::Sender<Result<Lease>>)> {
        let wakes = self.router.take_wakes();
        let waiters = &mut self.waiters;
        let woken = wakes.into_iter().filter_map(|wake| {
            let waiter = waiters.remove(&wake.key)?;
            Some((wake, waiter))
        });
        woken.collect()
    }
}

/// Takes a request out of the queue when its caller goes away.
struct WaitGuard<'a> {
    traffic: &'a Arc<Traffic>,
    key: WaitKey,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.traffic.state.lock();
        state.router.cancel(self.key);
        let waiter = state.waiters.remove(&self.key);
        drop(state);
        drop(waiter);
    }
}
