//! Moves VMs between pools and drives the waves of maintenance: one daemon at a time.

mod orders;
mod record;
mod views;
mod waves;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ownership::{Lease, OwnerRow};
use parking_lot::Mutex;
use pools::{VmCommandOutcome, VmState, plan_rebalance};
use smol_str::SmolStr;
use tokio::task::JoinSet;
use users_platform::{ListedVm, RowKey, Transaction, VmPhase};

use crate::clock::local_ms;
use crate::config::FLEET_UNIT;
use crate::node::{Node, ONLY_KEY, STORE_TIMEOUT, tables};
use crate::pool::{Sequence, Taken};
use crate::rpc::{PoolClient, RoundAsk, RoundReply, is_without_effect};
use crate::steward::orders::{ORDER_SPAN_MS, Order, Sender};
use crate::steward::record::OrderRecord;
use crate::steward::views::{lives, log_pools, pool_states, tasks_left, wave_vms};
use crate::steward::waves::Waves;

/// How often the list of VMs is read and the next steps are taken.
const ROUND_PERIOD: Duration = Duration::from_millis(300);

/// How often the steward renews its lease. Two renewals fit in the span for orders.
const RENEWAL_PERIOD: Duration = Duration::from_millis(600);

/// When the store has refused the steward for longer, it hands over to a daemon that the store serves.
const HAND_OVER_AFTER_MS: u64 = 600;

/// What a successor adds to the gap between two stewards' orders, for the time they take on their way.
const GAP_RESERVE_MS: u64 = 300;

/// The share of the orders per second that the control of VMs takes which a round may use for moves; the
/// rest of a round of 0.36 s is left to maintenance.
const MOVES_SHARE: f64 = 0.3;

/// The most moves in a round on a deployment that names no limit.
const USUAL_MOST_MOVES: usize = 12;

struct Steward {
    node: Arc<Node>,
    sender: Sender,
    sequence: Arc<tokio::sync::Mutex<Sequence>>,
    waves: Waves,
    /// From when on this steward maintains VMs, on the store's clock. Until then orders of the steward before may be
    /// on their way, and the list doesn't tell which VMs are down.
    maintains_from_ms: u64,
    ordered: OrderRecord,
    /// The workers that pools are emptying for waves, by pool.
    emptying: BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    /// The workers whose life an order has ended, by pool; told with the next round.
    over: BTreeMap<SmolStr, Vec<SmolStr>>,
    /// The workers that did not answer their pool in the last round, by pool.
    silent: BTreeMap<SmolStr, Vec<SmolStr>>,
    /// The workers that are not moved after all, by pool.
    kept: BTreeMap<SmolStr, Vec<SmolStr>>,
    /// The VMs that pools are emptying for other pools.
    reclaimed: BTreeSet<SmolStr>,
    /// When the last order was answered, or given up, on the store's clock.
    last_order_at_ms: u64,
    /// Moves whose answers were lost, with the VM's pool to be. They are sent again until answered.
    in_doubt: BTreeMap<SmolStr, SmolStr>,
}

/// Does the steward's work until another daemon takes it over.
pub(crate) async fn run(node: Arc<Node>, taken: Taken) {
    let term = taken.term;
    let lease = Arc::new(Mutex::new(Lease::new(taken.sent_at_ms)));
    let sender = Sender {
        vms: node.vms.clone(),
        daemon: node.settings.daemon.clone(),
        term,
        lease: lease.clone(),
    };
    let gap_ms = gap_after(&node, taken.before.as_ref());
    let now_ms = node.clock.now().store_ms;
    let mut steward = Steward {
        node: node.clone(),
        sender,
        sequence: Arc::new(tokio::sync::Mutex::new(taken.sequence)),
        waves: Waves::default(),
        maintains_from_ms: now_ms + gap_ms,
        ordered: OrderRecord::read(&node, term).await,
        emptying: BTreeMap::new(),
        over: BTreeMap::new(),
        silent: BTreeMap::new(),
        kept: BTreeMap::new(),
        reclaimed: BTreeSet::new(),
        last_order_at_ms: now_ms,
        in_doubt: BTreeMap::new(),
    };
    let refused_since_ms = Arc::new(AtomicU64::new(0));
    let renewed = (steward.sequence.clone(), lease, refused_since_ms.clone());
    let renewal = tokio::spawn(renew(node.clone(), renewed));
    while !renewal.is_finished() {
        if node.is_leaving.load(Ordering::Acquire) {
            steward.release().await;
            renewal.abort();
            break;
        }
        let since_ms = refused_since_ms.load(Ordering::Relaxed);
        let is_refused = since_ms > 0 && local_ms().saturating_sub(since_ms) > HAND_OVER_AFTER_MS;
        if is_refused && steward.hand_over().await {
            renewal.abort();
            break;
        }
        steward.round().await;
        tokio::time::sleep(ROUND_PERIOD).await;
    }
    tracing::warn!(term, "no longer the steward");
    node.set_hold(&FLEET_UNIT.into(), None);
}

/// How long a new steward leaves after the one before until it maintains VMs, in ms.
fn gap_after(node: &Node, before: Option<&OwnerRow>) -> u64 {
    let Some(before) = before else {
        return 0;
    };
    let gap_ms = node.settings.bounds.steward_gap_ms + GAP_RESERVE_MS;
    if before.is_released {
        let next_at_ms = before.last_command_at_ms + gap_ms;
        return next_at_ms.saturating_sub(node.clock.now().store_ms);
    }
    let restarted = node
        .peers
        .lock()
        .restarted_at_ms(&before.daemon, &before.incarnation);
    match restarted {
        // The process that gave the last order had ended when the next one started.
        Some(at_ms) => (at_ms + gap_ms).saturating_sub(node.clock.now().store_ms),
        // It may give orders until the end of its span.
        None => gap_ms + ORDER_SPAN_MS,
    }
}

/// Renews the lease until another daemon has taken it over.
async fn renew(
    node: Arc<Node>,
    (sequence, lease, refused_since_ms): (
        Arc<tokio::sync::Mutex<Sequence>>,
        Arc<Mutex<Lease>>,
        Arc<AtomicU64>,
    ),
) {
    loop {
        tokio::time::sleep(RENEWAL_PERIOD).await;
        let on_failure = |err: &users_platform::Error| {
            if err.is_without_effect() && refused_since_ms.load(Ordering::Relaxed) == 0 {
                refused_since_ms.store(local_ms(), Ordering::Relaxed);
            }
        };
        let mut sequence = sequence.lock().await;
        let renewed = sequence
            .commit(&node, Transaction::default(), on_failure)
            .await;
        drop(sequence);
        refused_since_ms.store(0, Ordering::Relaxed);
        match renewed {
            Ok(sent_at_ms) => lease.lock().renew(sent_at_ms),
            Err(_) => return,
        }
    }
}

impl Steward {
    /// Gives the unit up in order, and tells a successor when the last order was given.
    async fn release(&mut self) {
        let owner = OwnerRow {
            daemon: self.node.settings.daemon.clone(),
            incarnation: self.node.incarnation.clone(),
            term: self.sender.term,
            is_released: true,
            last_command_at_ms: self.last_order_at_ms,
        };
        let key = RowKey::new(tables::OWNER, FLEET_UNIT, ONLY_KEY);
        // Plain data, which can always be written.
        let value = serde_json::to_vec(&owner).unwrap_or_default();
        let transaction = Transaction::default().with_write(key, value);
        let mut sequence = self.sequence.lock().await;
        let released = sequence
            .commit(&self.node, transaction, |_| {})
            .await
            .is_ok();
        tracing::info!(
            released,
            last_order_at_ms = self.last_order_at_ms,
            "gives the stewardship up"
        );
    }

    /// Hands the stewardship to a daemon that the store serves. No order is under way between two rounds. True also
    /// when the answer is lost: the other may be the steward now.
    async fn hand_over(&self) -> bool {
        let Some((other, peer)) = self.node.other_daemon() else {
            return false;
        };
        match peer.take_fleet(self.last_order_at_ms).await {
            Ok(is_taken) => is_taken,
            Err(err) => {
                tracing::info!(daemon = other.daemon.as_str(), error = %err, "a peer does not take the stewardship");
                self.node.suspect(&other);
                !is_without_effect(&err)
            }
        }
    }

    async fn round(&mut self) {
        if !self.sender.may_order() {
            return;
        }
        let may_maintain = self.node.clock.now().store_ms >= self.maintains_from_ms;
        if may_maintain {
            self.waves.load(&self.node).await;
        }
        let listed = match self.node.vms.list(STORE_TIMEOUT).await {
            Ok(listed) => listed,
            Err(err) => {
                tracing::warn!(error = %err, "the list of VMs can't be read");
                return;
            }
        };
        let standby = self.standby_pools();
        self.find_ended_lives(&listed);
        let replies = self.ask_pools(&standby).await;
        let silent = replies
            .iter()
            .map(|(pool, reply)| (pool.clone(), reply.silent.clone()));
        self.silent = silent.collect();
        let list = wave_vms(&listed, &standby, &self.emptying, &replies);
        let (mut empty, mut orders) = self.waves.next(&list);
        let lives = lives(&listed);
        orders.extend(self.moves(&listed, &standby, &replies).await);
        empty.extend(self.reclaimed.iter().cloned());
        empty.extend(self.in_doubt.keys().cloned());
        self.set_emptying(&listed, &empty);
        let has_orders = !orders.is_empty();
        let recorded = self.ordered.write(&self.node, &self.sequence, &orders);
        let Some(recorded_at_ms) = recorded.await else {
            return;
        };
        for (order, result) in self.sender.send_all(orders, recorded_at_ms).await {
            self.take_result(&order, result, &lives);
        }
        if has_orders {
            self.last_order_at_ms = self.node.clock.now().store_ms;
        }
        self.waves.write(&self.node, &self.sequence).await;
    }

    /// Workers that did not answer, and that the list, read since, does not have on any VM: their life is over.
    fn find_ended_lives(&mut self, listed: &[ListedVm]) {
        for (pool, workers) in std::mem::take(&mut self.silent) {
            let ended = workers.into_iter().filter(|worker| {
                let vm = listed
                    .iter()
                    .find(|vm| vm.worker_id.as_ref() == Some(worker));
                vm.is_none_or(|vm| vm.phase == VmPhase::Down)
            });
            let ended: Vec<_> = ended.collect();
            if !ended.is_empty() {
                tracing::info!(pool = pool.as_str(), workers = ?ended, "the list of VMs no longer has these workers");
                self.over.entry(pool).or_default().extend(ended);
            }
        }
    }

    /// The most moves in a round.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "float casts saturate"
    )]
    fn most_moves(&self) -> usize {
        let per_s = self.node.settings.vm_orders_per_s;
        per_s.map_or(USUAL_MOST_MOVES, |per_s| {
            ((per_s * MOVES_SHARE) as usize).max(1)
        })
    }

    fn standby_pools(&self) -> BTreeSet<SmolStr> {
        let document = self.node.in_force.get();
        let services = document.iter().flat_map(|document| &document.pools);
        let standby = services.filter(|service| service.is_standby);
        standby.map(|service| service.name.clone()).collect()
    }

    /// One exchange with each pool's daemon.
    async fn ask_pools(&mut self, standby: &BTreeSet<SmolStr>) -> BTreeMap<SmolStr, RoundReply> {
        let units = self.node.in_force.units();
        let pools = units
            .into_iter()
            .filter(|unit| unit != FLEET_UNIT && !standby.contains(unit));
        let mut asked = JoinSet::new();
        for pool in pools {
            let empty = self.emptying.get(&pool);
            let ask = RoundAsk {
                empty: empty.into_iter().flatten().cloned().collect(),
                keep: self.kept.remove(&pool).unwrap_or_default(),
                over: self.over.remove(&pool).unwrap_or_default(),
            };
            let node = self.node.clone();
            asked.spawn(async move {
                let reply = ask_pool(&node, &pool, ask).await;
                (pool, reply)
            });
        }
        let mut replies = BTreeMap::new();
        while let Some(joined) = asked.join_next().await {
            if let Ok((pool, Some(reply))) = joined {
                replies.insert(pool, reply);
            }
        }
        replies
    }

    /// Notes which workers pools are to empty from now on; those that are no longer among them are used again.
    fn set_emptying(&mut self, listed: &[ListedVm], empty: &BTreeSet<SmolStr>) {
        let before = std::mem::take(&mut self.emptying);
        for vm in listed.iter().filter(|vm| empty.contains(&vm.vm)) {
            if let Some(worker) = &vm.worker_id {
                let workers = self.emptying.entry(vm.pool.clone()).or_default();
                workers.insert(worker.clone());
            }
        }
        for (pool, workers) in before {
            let now = self.emptying.get(&pool);
            let dropped = workers
                .into_iter()
                .filter(|worker| now.is_none_or(|now| !now.contains(worker)));
            // Those whose order follows stay empty; they are told of as over once it is answered.
            let ordered = dropped.filter(|worker| {
                let vm = listed
                    .iter()
                    .find(|vm| vm.worker_id.as_ref() == Some(worker));
                !vm.is_some_and(|vm| self.waves.has_under_way(&vm.vm))
            });
            let kept: Vec<_> = ordered.collect();
            if !kept.is_empty() {
                self.kept.entry(pool).or_default().extend(kept);
            }
        }
    }

    /// The moves that follow the demand, of VMs whose pools have promised to leave them empty.
    async fn moves(
        &mut self,
        listed: &[ListedVm],
        standby: &BTreeSet<SmolStr>,
        replies: &BTreeMap<SmolStr, RoundReply>,
    ) -> Vec<Order> {
        let again = self.in_doubt.iter();
        let mut orders: Vec<_> = again
            .map(|(vm, pool)| Order::Move {
                vm: vm.clone(),
                pool: pool.clone(),
            })
            .collect();
        let vms = listed
            .iter()
            .map(|vm| (vm.vm.clone(), self.vm_state(vm, replies)))
            .collect();
        let pools = pool_states(standby, replies);
        let plan = plan_rebalance(&pools, &vms, self.most_moves());
        log_pools(&pools, &vms);
        self.reclaimed = plan.reclaim.into_iter().collect();
        let planned = plan.moves;
        let mut promised: BTreeMap<SmolStr, Vec<(SmolStr, SmolStr)>> = BTreeMap::new();
        for planned in &planned {
            let worker = listed
                .iter()
                .find(|vm| vm.vm == planned.vm)
                .and_then(|vm| vm.worker_id.clone());
            match worker.filter(|_| !standby.contains(&planned.from)) {
                Some(worker) => {
                    let asked = promised.entry(planned.from.clone()).or_default();
                    asked.push((planned.vm.clone(), worker));
                }
                None => orders.push(Order::Move {
                    vm: planned.vm.clone(),
                    pool: planned.to.clone(),
                }),
            }
        }
        for (pool, asked) in promised {
            let empty: Vec<_> = asked.iter().map(|(_, worker)| worker.clone()).collect();
            let ask = RoundAsk {
                empty,
                ..RoundAsk::default()
            };
            let Some(reply) = ask_pool(&self.node, &pool, ask).await else {
                continue;
            };
            for ((vm, worker), tasks) in asked.into_iter().zip(reply.tasks) {
                let to = planned.iter().find(|planned| planned.vm == vm);
                match to.filter(|_| tasks == 0) {
                    Some(to) => orders.push(Order::Move {
                        vm,
                        pool: to.to.clone(),
                    }),
                    None => self.kept.entry(pool.clone()).or_default().push(worker),
                }
            }
        }
        orders
    }

    fn vm_state(&self, vm: &ListedVm, replies: &BTreeMap<SmolStr, RoundReply>) -> VmState {
        let reply = replies.get(&vm.pool);
        let idle = reply.map(|reply| &reply.idle).into_iter().flatten();
        let idle = idle
            .into_iter()
            .find(|(worker, _)| vm.worker_id.as_ref() == Some(worker));
        let is_being_reclaimed = self.reclaimed.contains(&vm.vm);
        let is_emptied = is_being_reclaimed && tasks_left(vm, &self.emptying, replies) == Some(0);
        let has = |workers: &Vec<SmolStr>| {
            vm.worker_id
                .as_ref()
                .is_some_and(|worker| workers.contains(worker))
        };
        let is_unusable = reply.is_some_and(|reply| has(&reply.unusable));
        let is_promised = self.in_doubt.contains_key(&vm.vm) || self.waves.has_under_way(&vm.vm);
        VmState {
            pool: self.in_doubt.get(&vm.vm).unwrap_or(&vm.pool).clone(),
            is_usable: matches!(vm.phase, VmPhase::Up | VmPhase::Moving) && !is_unusable,
            is_movable: vm.phase == VmPhase::Up
                && !is_promised
                && !self.ordered.is_held(&self.node, &vm.vm),
            runs_service_tasks: reply.is_some_and(|reply| has(&reply.steady)),
            is_being_reclaimed,
            idle_ms: if is_emptied {
                Some(0)
            } else {
                idle.map(|(_, idle_ms)| *idle_ms)
            },
        }
    }

    fn take_result(
        &mut self,
        order: &Order,
        result: VmCommandOutcome,
        lives: &BTreeMap<SmolStr, (SmolStr, SmolStr)>,
    ) {
        let vm = match order {
            Order::Move { vm, pool } => {
                if result == VmCommandOutcome::Started {
                    self.reclaimed.remove(vm);
                }
                match result {
                    VmCommandOutcome::Unknown => self.in_doubt.insert(vm.clone(), pool.clone()),
                    _ => self.in_doubt.remove(vm),
                };
                vm
            }
            Order::Maintain { vm, wave, .. } => {
                self.waves.ordered(wave, vm, result);
                vm
            }
        };
        let Some((pool, worker)) = lives.get(vm) else {
            return;
        };
        match result {
            VmCommandOutcome::Started => self
                .over
                .entry(pool.clone())
                .or_default()
                .push(worker.clone()),
            VmCommandOutcome::Busy | VmCommandOutcome::Impossible => {
                self.kept
                    .entry(pool.clone())
                    .or_default()
                    .push(worker.clone());
            }
            VmCommandOutcome::Unknown => {}
        }
    }
}

async fn ask_pool(node: &Node, pool: &SmolStr, ask: RoundAsk) -> Option<RoundReply> {
    if let Some(owner) = node.own_pool(pool) {
        return Some(owner.round(&ask));
    }
    let claim = node.claim(pool)?;
    let peer = node.peer(&claim.addr)?;
    match peer.round(pool.clone(), ask).await {
        Ok(reply) => reply,
        Err(err) => {
            let daemon = claim.daemon.as_str();
            tracing::warn!(pool = pool.as_str(), daemon, error = %err, "a pool's daemon does not answer");
            node.suspect(&claim);
            None
        }
    }
}
