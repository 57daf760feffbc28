//! The router: admission, waiting, release and what follows from them.

mod plans;
mod results;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use domain::{EntryVmId, ErrorKind, PoolId, ServiceId, VmId, ZoneId};
use rand::Rng;
use slotmap::{SlotMap, new_key_type};

use crate::plan::PlannedService;
use crate::policy::{Candidate, Choose, Policy};
use crate::queue::{PoolKey, Queue, WaitKey, Waiting};
use crate::retry_budget::RetryBudget;
use crate::target::{AttemptResult, Report, Target, TargetKey};

new_key_type! {
    /// A service in the router's arena.
    pub struct ServiceKey;
}

/// The share of a pool's serving targets that may be ejected at once, in percent; one target always may.
const MAX_EJECTED_PERCENT: usize = 34;

/// The weight of a new sample in a pool's moving average of latency, as a divisor.
const POOL_LATENCY_DIVISOR: u64 = 32;

/// A request that asks for a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The service that it is for.
    pub service: ServiceKey,
    /// When its answer is due.
    pub deadline_us: u64,
    /// Targets that earlier attempts went to.
    pub tried: Vec<TargetKey>,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Decided at once.
    Decided(Verdict),
    /// Waits; a [`Wake`] with this key follows.
    Wait(WaitKey),
}

/// A final decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to this target, and call [`Router::finish`] when the attempt ends.
    Send(TargetKey, SocketAddr),
    /// Answer with this error.
    Refuse(ErrorKind),
}

/// The end of a wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wake {
    /// The request that waited.
    pub key: WaitKey,
    /// What becomes of it.
    pub verdict: Verdict,
}

/// A peer's requests in flight to the targets of its zone, in the order of [`Router::local_peaks`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerLoad {
    /// The peer.
    pub peer: EntryVmId,
    /// Requests in flight by target.
    pub peaks: Vec<u32>,
}

/// A target as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetStatus {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its VM.
    pub vm: VmId,
    /// This daemon's requests in flight.
    pub in_flight: u32,
    /// Recent latency, 0 while unknown.
    pub latency_us: u64,
    /// Whether it is ejected or being probed.
    pub is_ejected: bool,
}

#[derive(Debug)]
struct Pool {
    id: PoolId,
    queue: Queue,
    queue_limit_requests: usize,
    targets: Vec<TargetKey>,
    latency_us: u64,
}

#[derive(Debug)]
struct Service {
    planned: PlannedService,
    pool: PoolKey,
    policy: Policy,
    retry_budget: RetryBudget,
}

/// Routes the requests of one daemon.
#[derive(Debug)]
pub struct Router {
    own_zone: ZoneId,
    pools: SlotMap<PoolKey, Pool>,
    services: SlotMap<ServiceKey, Service>,
    service_by_id: HashMap<ServiceId, ServiceKey>,
    targets: SlotMap<TargetKey, Target>,
    pool_of_target: HashMap<TargetKey, PoolKey>,
    target_by_addr: BTreeMap<SocketAddr, TargetKey>,
    zone_daemons: u32,
    all_daemons: u32,
    view_is_fresh: bool,
    wakes: Vec<Wake>,
}

impl Router {
    /// A router without a plan, which refuses all requests.
    #[must_use]
    pub fn new(own_zone: ZoneId) -> Self {
        Self {
            own_zone,
            pools: SlotMap::with_key(),
            services: SlotMap::with_key(),
            service_by_id: HashMap::new(),
            targets: SlotMap::with_key(),
            pool_of_target: HashMap::new(),
            target_by_addr: BTreeMap::new(),
            zone_daemons: 1,
            all_daemons: 1,
            view_is_fresh: true,
            wakes: Vec::new(),
        }
    }

    /// The service of that id.
    #[must_use]
    pub fn service(&self, id: &str) -> Option<(ServiceKey, &PlannedService)> {
        let id = ServiceId::new(id).ok()?;
        let key = *self.service_by_id.get(&id)?;
        Some((key, &self.services[key].planned))
    }

    /// Tells how many daemons share the targets of this zone, and of all zones. Both include this daemon.
    pub fn set_daemons(&mut self, in_zone: u32, in_all_zones: u32) {
        self.zone_daemons = in_zone.max(1);
        self.all_daemons = in_all_zones.max(1);
    }

    /// Tells whether the view of the fleet is recent enough to send to other zones.
    ///
    /// A planned stop of a VM in this zone waits for this daemon's acknowledgement, so that a daemon whose view
    /// is old may go on sending to its own zone. Stops in other zones wait only until old views have expired.
    pub fn set_view_is_fresh(&mut self, is_fresh: bool) {
        self.view_is_fresh = is_fresh;
    }

    /// Decides on a request. The ends of waits that this causes are in [`Router::take_wakes`].
    pub fn admit(&mut self, request: Request, now_us: u64, rng: &mut impl Rng) -> Admission {
        let Some(service) = self.services.get_mut(request.service) else {
            return Admission::Decided(Verdict::Refuse(ErrorKind::UnknownService));
        };
        if request.tried.is_empty() {
            service.retry_budget.earn(service.planned.retry_percent);
        }
        if request.deadline_us <= now_us {
            return Admission::Decided(Verdict::Refuse(ErrorKind::DeadlinePast));
        }
        let pool = service.pool;
        if self.pools[pool].queue.len() == 0
            && let Some(key) = self.pick(request.service, &request.tried, now_us, rng)
        {
            return Admission::Decided(self.start(key));
        }
        self.wait_or_refuse(pool, request, now_us)
    }

    /// Takes one retry from the service's budget; false when none is left.
    pub fn try_take_retry(&mut self, service: ServiceKey) -> bool {
        let service = self.services.get_mut(service);
        service.is_some_and(|service| service.retry_budget.try_take())
    }

    fn wait_or_refuse(&mut self, pool: PoolKey, request: Request, now_us: u64) -> Admission {
        let refuse = |kind| Admission::Decided(Verdict::Refuse(kind));
        let capacity = self.capacity(pool);
        if capacity == 0 {
            return refuse(ErrorKind::NoTarget);
        }
        let criticality = self.services[request.service].planned.criticality;
        let state = &mut self.pools[pool];
        let key = state.queue.key(pool, criticality, request.deadline_us);
        let ahead = state.queue.ahead_of(key) as u64 + 1;
        let wait_us = ahead * state.latency_us / capacity;
        if now_us + wait_us + state.latency_us > request.deadline_us {
            return refuse(ErrorKind::CannotMeetDeadline);
        }
        if state.queue.len() >= state.queue_limit_requests {
            let Some(last) = state.queue.last().filter(|last| *last > key) else {
                return refuse(ErrorKind::QueueFull);
            };
            state.queue.remove(last);
            refuse_all(&mut self.wakes, [last], ErrorKind::QueueFull);
        }
        let waiting = Waiting {
            service: request.service,
            tried: request.tried,
        };
        state.queue.push(key, waiting);
        Admission::Wait(key)
    }

    /// Requests that the pool's targets together take from this daemon at once.
    fn capacity(&self, pool: PoolKey) -> u64 {
        let targets = self.pools[pool]
            .targets
            .iter()
            .map(|key| &self.targets[*key]);
        let usable = targets.filter(|target| self.may_send(target));
        usable.map(|target| u64::from(self.limit(target))).sum()
    }

    fn may_send(&self, target: &Target) -> bool {
        target.planned.is_serving && (target.is_local || self.view_is_fresh)
    }

    fn limit(&self, target: &Target) -> u32 {
        let sharing = if target.is_local {
            self.zone_daemons
        } else {
            self.all_daemons
        };
        target.limit(sharing)
    }

    /// A target with headroom: of this zone if there is one, and not tried before if there is one.
    fn pick(
        &mut self,
        service: ServiceKey,
        tried: &[TargetKey],
        now_us: u64,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        let pool = self.services[service].pool;
        let mut open = self.open_targets(pool, now_us);
        if open.iter().any(|key| !tried.contains(key)) {
            open.retain(|key| !tried.contains(key));
        }
        if open.iter().any(|key| self.targets[*key].is_local) {
            open.retain(|key| self.targets[*key].is_local);
        }
        let candidates: Vec<_> = open
            .into_iter()
            .map(|key| self.candidate(key, now_us))
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let index = self.services[service].policy.choose(&candidates, rng);
        Some(candidates[index].key)
    }

    fn open_targets(&mut self, pool: PoolKey, now_us: u64) -> Vec<TargetKey> {
        let mut open = Vec::with_capacity(self.pools[pool].targets.len());
        for &key in &self.pools[pool].targets {
            let target = &self.targets[key];
            if !self.may_send(target) || target.in_flight >= self.limit(target) {
                continue;
            }
            let target = &mut self.targets[key];
            if target.health.admits(now_us, target.in_flight) {
                open.push(key);
            }
        }
        open
    }

    fn candidate(&self, key: TargetKey, now_us: u64) -> Candidate {
        let target = &self.targets[key];
        let pool_us = self.pools[self.pool_of_target[&key]].latency_us;
        Candidate {
            key,
            own_in_flight: target.in_flight,
            slots: target.planned.slots,
            latency_us: target.expected_latency_us(pool_us, now_us),
        }
    }

    fn start(&mut self, key: TargetKey) -> Verdict {
        let target = &mut self.targets[key];
        target.start();
        Verdict::Send(key, target.addr())
    }

    /// Ends an attempt, and sends waiting requests where there is room now.
    pub fn finish(&mut self, key: TargetKey, report: Report, now_us: u64, rng: &mut impl Rng) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        target.end();
        let pool = self.pool_of_target[&key];
        match report.result {
            AttemptResult::Answered => self.record_answer(key, pool, report.latency_us, now_us),
            AttemptResult::Refused | AttemptResult::Abandoned => {}
            AttemptResult::Unreachable | AttemptResult::Failed => {
                self.record_failure(key, pool, now_us);
            }
        }
        if !self.targets[key].is_planned {
            self.remove_idle_targets();
        }
        if self.pools.contains_key(pool) {
            self.dispatch(pool, now_us, rng);
        }
    }

    /// Refuses waiting requests that can't be answered in time, and sends those for which there is room.
    pub fn tick(&mut self, now_us: u64, rng: &mut impl Rng) {
        for pool in self.pools.values_mut() {
            let late = pool.queue.remove_late(now_us, pool.latency_us);
            refuse_all(&mut self.wakes, late, ErrorKind::CannotMeetDeadline);
        }
        self.dispatch_all(now_us, rng);
    }

    fn dispatch_all(&mut self, now_us: u64, rng: &mut impl Rng) {
        let pools: Vec<_> = self.pools.keys().collect();
        for pool in pools {
            self.dispatch(pool, now_us, rng);
        }
    }

    fn dispatch(&mut self, pool: PoolKey, now_us: u64, rng: &mut impl Rng) {
        while let Some((key, waiting)) = self.pools[pool].queue.first() {
            let waiting = waiting.clone();
            let verdict = if key.deadline_us() < now_us + self.pools[pool].latency_us {
                Verdict::Refuse(ErrorKind::CannotMeetDeadline)
            } else if !self.services.contains_key(waiting.service) {
                Verdict::Refuse(ErrorKind::UnknownService)
            } else {
                let Some(target) = self.pick(waiting.service, &waiting.tried, now_us, rng) else {
                    return;
                };
                self.start(target)
            };
            self.pools[pool].queue.remove(key);
            self.wakes.push(Wake { key, verdict });
        }
    }

    /// Takes a request out of its queue because its caller went away. False when its wait had ended.
    pub fn cancel(&mut self, key: WaitKey) -> bool {
        let pool = self.pools.get_mut(key.pool());
        pool.is_some_and(|pool| pool.queue.remove(key).is_some())
    }

    /// The waits that have ended since the last call.
    pub fn take_wakes(&mut self) -> Vec<Wake> {
        std::mem::take(&mut self.wakes)
    }

    /// The most requests that were in flight to each target of this zone since the last call, in order of address.
    pub fn local_peaks(&mut self) -> Vec<u32> {
        let mut peaks = Vec::new();
        for key in self.target_by_addr.values() {
            let target = &mut self.targets[*key];
            if target.is_local && target.is_planned {
                peaks.push(target.take_peak());
            }
        }
        peaks
    }

    /// Takes in a peer's load. One that does not fit this daemon's targets is left out.
    pub fn set_peer_load(&mut self, load: &PeerLoad) {
        let keys = self.target_by_addr.values().copied();
        let is_shared =
            |key: &TargetKey| self.targets[*key].is_local && self.targets[*key].is_planned;
        let keys: Vec<_> = keys.filter(is_shared).collect();
        if keys.len() != load.peaks.len() {
            return;
        }
        for (key, peak) in keys.into_iter().zip(&load.peaks) {
            self.targets[key].set_peer_in_flight(&load.peer, *peak);
        }
    }

    /// Forgets a peer's load, because the peer is gone.
    pub fn forget_peer(&mut self, peer: &EntryVmId) {
        for target in self.targets.values_mut() {
            target.set_peer_in_flight(peer, 0);
        }
    }

    /// This daemon's requests in flight to the executors of a VM.
    #[must_use]
    pub fn in_flight_to(&self, vm: &VmId) -> u32 {
        let targets = self.targets.values().filter(|target| target.vm() == vm);
        targets.map(|target| target.in_flight).sum()
    }

    /// Requests waiting in all queues.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.pools.values().map(|pool| pool.queue.len()).sum()
    }

    /// All targets, in order of address.
    #[must_use]
    pub fn target_statuses(&self) -> Vec<TargetStatus> {
        let targets = self.target_by_addr.values().map(|key| &self.targets[*key]);
        let status = |target: &Target| TargetStatus {
            addr: target.addr(),
            vm: target.vm().clone(),
            in_flight: target.in_flight,
            latency_us: target.latency_us(),
            is_ejected: target.health.is_ejected(),
        };
        targets.map(status).collect()
    }
}

fn refuse_all(wakes: &mut Vec<Wake>, keys: impl IntoIterator<Item = WaitKey>, kind: ErrorKind) {
    let refused = keys.into_iter().map(|key| Wake {
        key,
        verdict: Verdict::Refuse(kind),
    });
    wakes.extend(refused);
}
