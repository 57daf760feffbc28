//! What the parts of a daemon share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use domain::{EntryVmId, Incarnation, OpId, ZoneId};
use inbound::Inbound;
use membership::{Freshness, Peers, View};
use parking_lot::{Mutex, RwLock};
use settings::EntrySettings;

use crate::clock::{Clock, Timer};
use crate::in_force::InForce;
use crate::metrics::Metrics;
use crate::traffic::Traffic;

/// How long a request waits, after the process was paused, for the view to be read again.
const RECHECK_PATIENCE: Duration = Duration::from_millis(500);

/// How often it looks.
const RECHECK_PERIOD: Duration = Duration::from_millis(5);

/// The state that all parts of a daemon see.
#[derive(Debug)]
pub(crate) struct Shared<P> {
    pub(crate) settings: EntrySettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) timer: Timer,
    pub(crate) platform: P,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) metrics: Metrics,
    pub(crate) inbound: Arc<Inbound>,
    pub(crate) peers: Mutex<Peers>,
    pub(crate) freshness: Mutex<Freshness>,
    in_force: RwLock<Arc<InForce>>,
    ops: AtomicU64,
    rechecked_pauses: AtomicU64,
    platform_reachable: AtomicBool,
    is_draining: AtomicBool,
}

impl<P> Shared<P> {
    pub(crate) fn new(
        settings: EntrySettings,
        incarnation: Incarnation,
        platform: P,
        metrics: Metrics,
    ) -> Self {
        let clock = Clock::new();
        let own_zone = settings.own_entry_vm().zone.clone();
        let others = settings
            .other_entry_vms()
            .map(|vm| (vm.id.clone(), vm.zone.clone()));
        let peers = Peers::new(&own_zone, others);
        Self {
            peers: Mutex::new(peers),
            inbound: Inbound::new(settings.clients, metrics.inbound.clone()),
            settings,
            incarnation,
            clock,
            timer: Timer::start(clock),
            platform,
            traffic: Traffic::new(own_zone, clock),
            metrics,
            freshness: Mutex::new(Freshness::new()),
            in_force: RwLock::default(),
            ops: AtomicU64::new(0),
            rechecked_pauses: AtomicU64::new(0),
            platform_reachable: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
        }
    }

    pub(crate) fn entry_vm(&self) -> &EntryVmId {
        &self.settings.entry_vm
    }

    pub(crate) fn zone(&self) -> &ZoneId {
        &self.settings.own_entry_vm().zone
    }

    /// What is in force now.
    pub(crate) fn in_force(&self) -> Arc<InForce> {
        self.in_force.read().clone()
    }

    /// Changes what is in force; when `change` says that it did, the router follows.
    pub(crate) fn change_in_force(&self, change: impl FnOnce(&mut InForce) -> bool) -> bool {
        let mut in_force = self.in_force.write();
        let mut next = InForce::clone(&in_force);
        if !change(&mut next) {
            return false;
        }
        let plan = next.plan(self.peers.lock().configured_daemons());
        let view = next.view();
        *in_force = Arc::new(next);
        // The lock is held, so that plans reach the router in the order of the views.
        self.traffic
            .with(|router, rng, now_us| router.apply(plan, now_us, rng));
        drop(in_force);
        self.metrics
            .epoch
            .set(i64::try_from(view.epoch.0).unwrap_or(i64::MAX));
        self.metrics
            .fleet_seq
            .set(i64::try_from(view.fleet_seq.0).unwrap_or(i64::MAX));
        true
    }

    pub(crate) fn view(&self) -> View {
        self.in_force.read().view()
    }

    /// An id for a write that no other write has.
    pub(crate) fn next_op(&self) -> OpId {
        let number = self.ops.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}.{number}", self.incarnation);
        OpId::new(&text).expect("an incarnation and a number make an id")
    }

    pub(crate) fn platform_reachable(&self) -> bool {
        self.platform_reachable.load(Ordering::Relaxed)
    }

    /// Notes whether a call to the platform worked; one log line for each change.
    pub(crate) fn set_platform_reachable(&self, is_reachable: bool) {
        if !is_reachable {
            self.metrics.platform_failures.inc();
        }
        let before = self
            .platform_reachable
            .swap(is_reachable, Ordering::Relaxed);
        if before != is_reachable {
            let state = if is_reachable { "reachable" } else { "away" };
            log::info!("platform: {state}");
        }
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    pub(crate) fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Whether the balancer may send requests here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.in_force.read().config.is_some()
    }

    /// Notes that the view was read again, or found unreadable, since the `pauses`th pause.
    pub(crate) fn set_rechecked(&self, pauses: u64) {
        self.rechecked_pauses.store(pauses, Ordering::Release);
    }

    /// After a pause of the process, waits until the view was read again; with no result in time, the view
    /// counts as old.
    pub(crate) async fn recheck_after_pause(&self) {
        if !self.is_recheck_due() {
            return;
        }
        self.traffic
            .with(|router, _, _| router.set_view_is_fresh(false));
        let recheck = async {
            while self.is_recheck_due() {
                tokio::time::sleep(RECHECK_PERIOD).await;
            }
        };
        // Without a result in time the request goes on with the old view, to its own zone only.
        let _ = tokio::time::timeout(RECHECK_PATIENCE, recheck).await;
    }

    fn is_recheck_due(&self) -> bool {
        let rechecked = self.rechecked_pauses.load(Ordering::Acquire);
        self.timer.has_unseen_pause() || self.timer.pauses() != rechecked
    }
}
