//! The leader: the one daemon that owns the fleet shard, moves VMs between pools and drives maintenance waves.

mod command_record;
mod commands;
mod drains;
mod ended_incarnations;
mod inputs;
mod lease_renewal;
mod pool_calls;
mod quotas;
mod waves;
mod worker_sightings;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::ControlFlow;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ownership::{Lease, OwnerRow};
use parking_lot::Mutex;
use pools::{VmCommandOutcome, VmState, plan_rebalance};
use smol_str::SmolStr;
use users_platform::{ListedVm, RowKey, Transaction, VmPhase};

use crate::clock::local_ms;
use crate::config::FLEET_SHARD;
use crate::leader::command_record::CommandRecord;
pub(crate) use crate::leader::command_record::earlier_commands_until_ms;
use crate::leader::commands::{CommandSender, VmCommand};
use crate::leader::ended_incarnations::EndedIncarnations;
use crate::leader::inputs::{
    incarnations_by_vm, log_pools, log_unconfirmed_drains, may_repeat_move, pool_states,
    remaining_tasks, unresponsive_workers, wave_vms,
};
use crate::leader::lease_renewal::{StoreRefusals, renew_lease};
use crate::leader::pool_calls::{PoolCalls, REPLY_WAIT, call_pool};
use crate::leader::quotas::Quotas;
use crate::leader::waves::Waves;
use crate::leader::worker_sightings::UnresponsiveWorker;
use crate::node::{Node, SINGLETON_KEY, STORE_TIMEOUT, tables};
use crate::peer_calls::call_peer;
use crate::pool::{Sequence, Takeover};
use crate::rpc::{PoolClient, RoundReply, RoundRequest};

/// The delay between two rounds. A round reads the list of VMs, exchanges data with the pools and sends commands.
const ROUND_PERIOD: Duration = Duration::from_millis(300);

/// What a successor adds to `leader_gap_ms`, the gap between the commands of two leaders, for the transit of commands.
const LEADER_GAP_MARGIN_MS: u64 = 300;

/// The share of the VM commands allowed per second that one round may spend on moves. A round takes 0.36 s; the other
/// commands that the limit allows in a round are left to maintenance.
const ROUND_MOVES_SHARE: f64 = 0.3;

/// The maximum number of moves in a round when the settings have no limit on VM commands per second.
const DEFAULT_MAX_MOVES: usize = 12;

struct Leader {
    node: Arc<Node>,
    calls: PoolCalls,
    sender: CommandSender,
    sequence: Arc<tokio::sync::Mutex<Sequence>>,
    refusals: Arc<StoreRefusals>,
    waves: Waves,
    /// When this leader starts to maintain VMs, in ms on the store's clock. Before that, commands of the previous
    /// leader may be in transit, and the list of VMs doesn't show which VMs these commands take down.
    maintenance_from_ms: u64,
    command_record: CommandRecord,
    quotas: Quotas,
    /// The workers that pools are draining, by pool.
    draining: BTreeMap<SmolStr, BTreeSet<SmolStr>>,
    /// The worker incarnations that have ended. The next round tells their pools.
    ended_incarnations: EndedIncarnations,
    /// The workers that were unresponsive in the last round, by pool.
    unresponsive: BTreeMap<SmolStr, Vec<UnresponsiveWorker>>,
    /// The workers whose drain is cancelled, by pool. The next round tells the pools.
    cancelled_drains: BTreeMap<SmolStr, Vec<SmolStr>>,
    /// The VMs that pools are draining for other pools.
    reclaiming: BTreeSet<SmolStr>,
    /// Until when commands may be sent that a successor has to keep a gap to, in ms on the store's clock: when the last
    /// command got its response or timed out, or until when the leaders before this one may send commands.
    last_command_at_ms: u64,
    /// The moves whose outcome is unknown: the target pool by VM. A move is sent again until a response or a list shows its
    /// outcome.
    unconfirmed_moves: BTreeMap<SmolStr, SmolStr>,
}

/// Runs the leader until it releases the fleet shard, hands the shard over, or another daemon has taken the shard over.
pub(crate) async fn run(node: Arc<Node>, takeover: Takeover) {
    let term = takeover.term;
    let lease = Arc::new(Mutex::new(Lease::new(takeover.sent_at_ms)));
    let sender = CommandSender {
        vms: node.vms.clone(),
        daemon: node.settings.daemon.clone(),
        term,
        lease: lease.clone(),
    };
    let previous = takeover.previous_owner.as_ref();
    let now_ms = node.clock.now().store_ms;
    let earlier_commands_until_ms =
        earlier_commands_until_ms(&node, previous, takeover.previous_version, now_ms);
    let earlier_leaders_ms = previous.map(|_| earlier_commands_until_ms.saturating_sub(now_ms));
    let gap_ms = node.settings.bounds.leader_gap_ms + LEADER_GAP_MARGIN_MS;
    let maintenance_from_ms = previous.map_or(now_ms, |_| earlier_commands_until_ms + gap_ms);
    let mut leader = Leader {
        node: node.clone(),
        calls: PoolCalls::default(),
        sender,
        sequence: Arc::new(tokio::sync::Mutex::new(takeover.sequence)),
        refusals: Arc::default(),
        waves: Waves::default(),
        maintenance_from_ms,
        command_record: CommandRecord::read(&node, term, takeover.previous_owner.as_ref()).await,
        quotas: Quotas::new(term, earlier_leaders_ms),
        draining: BTreeMap::new(),
        ended_incarnations: EndedIncarnations::default(),
        unresponsive: BTreeMap::new(),
        cancelled_drains: BTreeMap::new(),
        reclaiming: BTreeSet::new(),
        last_command_at_ms: earlier_commands_until_ms,
        unconfirmed_moves: BTreeMap::new(),
    };
    tracing::info!(
        term,
        previous = ?takeover.previous_owner,
        maintenance_delay_ms = maintenance_from_ms.saturating_sub(now_ms),
        soft_locked_vms = leader.command_record.soft_locked_vms(&node),
        "became the leader"
    );
    let renewal_state = (leader.sequence.clone(), lease, leader.refusals.clone());
    let renewal = tokio::spawn(renew_lease(node.clone(), renewal_state));
    while !renewal.is_finished() {
        if node.is_shutting_down.load(Ordering::Acquire) {
            leader.release_shard().await;
            renewal.abort();
            break;
        }
        if leader.refusals.is_hand_over_due() && leader.hand_over().await {
            renewal.abort();
            break;
        }
        leader.run_round().await;
        tokio::time::sleep(ROUND_PERIOD).await;
    }
    tracing::warn!(term, "stopped being the leader");
    node.end_term(&FLEET_SHARD.into(), term);
}

impl Leader {
    /// Releases the fleet shard and records for the successor when the last command ended.
    async fn release_shard(&mut self) {
        let owner = OwnerRow {
            daemon: self.node.settings.daemon.clone(),
            incarnation: self.node.incarnation.clone(),
            term: self.sender.term,
            is_released: true,
            last_command_at_ms: self.last_command_at_ms,
        };
        let key = RowKey::new(tables::OWNER, FLEET_SHARD, SINGLETON_KEY);
        // Serialization of plain data does not fail.
        let value = serde_json::to_vec(&owner).unwrap_or_default();
        let transaction = Transaction::default().with_write(key, value);
        let mut sequence = self.sequence.lock().await;
        let released = sequence
            .commit(&self.node, transaction, |_| ControlFlow::Continue(()))
            .await
            .is_ok();
        tracing::info!(
            released,
            last_order_at_ms = self.last_command_at_ms,
            "requested the release of the fleet shard"
        );
    }

    /// Hands the fleet shard over to a daemon that the store serves. No command is in flight between two rounds. Also
    /// returns true when the response is lost, because the other daemon may be the leader by then.
    async fn hand_over(&self) -> bool {
        let Some(other) = self.node.handover_target() else {
            return false;
        };
        let (last_command_at_ms, term) = (self.last_command_at_ms, self.sender.term);
        let taken = call_peer(&self.node, &other, |peer| async move {
            peer.take_over_fleet(last_command_at_ms, Some(term)).await
        });
        match taken.await {
            Ok(is_taken) => is_taken,
            Err(err) => {
                tracing::info!(daemon = other.daemon.as_str(), error = %err, "a peer did not confirm the takeover of the fleet shard");
                !err.is_without_effect()
            }
        }
    }

    async fn run_round(&mut self) {
        if !self.sender.may_send_commands() {
            return;
        }
        let may_maintain = self.node.clock.now().store_ms >= self.maintenance_from_ms;
        if may_maintain {
            self.waves.load_requested(&self.node).await;
        }
        let listed = match self.node.vms.list(STORE_TIMEOUT).await {
            Ok(listed) => listed,
            Err(err) => {
                tracing::warn!(error = %err, "failed to read the list of VMs");
                self.run_quota_round().await;
                return;
            }
        };
        let standby = self.standby_pools();
        let unresponsive = std::mem::take(&mut self.unresponsive);
        // While this leader may send no commands, another may.
        let may_be_commanded = |vm: &str| {
            !self.sender.may_send_commands() || self.command_record.is_soft_locked(&self.node, vm)
        };
        let settled = self
            .ended_incarnations
            .record_list(&listed, unresponsive, may_be_commanded);
        self.end_drains(settled);
        self.confirm_moves(&listed);
        self.quotas.configure(&self.node).await;
        let asked_at_ms = local_ms();
        let replies = self.call_pools(&listed, &standby).await;
        self.exchange_quotas(&replies).await;
        let unresponsive = replies
            .iter()
            .map(|(pool, reply)| (pool.clone(), unresponsive_workers(reply, asked_at_ms)));
        self.unresponsive = unresponsive.collect();
        self.ended_incarnations.begin_round(replies.values());
        let is_soft_locked = |vm: &str| self.command_record.is_soft_locked(&self.node, vm);
        let list = wave_vms(&listed, &standby, &self.draining, &replies, is_soft_locked);
        let (mut to_drain, mut commands) = self.waves.next_actions(&list);
        let incarnations = incarnations_by_vm(&listed);
        let moves = self.move_commands(&listed, &standby, &replies).await;
        // Until its outcome is known, a move may have to be sent again.
        to_drain.extend(moves.iter().map(|command| command.vm().clone()));
        commands.extend(moves);
        to_drain.extend(self.reclaiming.iter().cloned());
        to_drain.extend(self.unconfirmed_moves.keys().cloned());
        let is_new_move = |command: &&VmCommand| matches!(command, VmCommand::Move { vm, .. } if !self.unconfirmed_moves.contains_key(vm));
        let unconfirmed = commands.iter().filter(|command| !is_new_move(command));
        log_unconfirmed_drains(unconfirmed, &listed, &self.draining, &replies);
        self.set_draining(&listed, &to_drain);
        let has_commands = !commands.is_empty();
        let recorded =
            self.command_record
                .write(&self.node, &self.sequence, &self.refusals, &commands);
        let Some(recorded_at_ms) = recorded.await else {
            for command in &commands {
                if let VmCommand::Maintain { vm, wave, .. } = command {
                    self.waves.record_not_sent(wave, vm);
                }
            }
            return;
        };
        for (command, outcome) in self.sender.send_all(commands, recorded_at_ms).await {
            self.apply_outcome(&command, outcome, &incarnations);
        }
        if has_commands {
            let now_ms = self.node.clock.now().store_ms;
            self.last_command_at_ms = self.last_command_at_ms.max(now_ms);
        }
        self.waves
            .write_progress(&self.node, &self.sequence, &self.refusals)
            .await;
    }

    /// Returns the maximum number of moves in a round.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "float casts saturate"
    )]
    fn max_moves(&self) -> usize {
        let per_s = self.node.settings.vm_commands_per_s;
        per_s.map_or(DEFAULT_MAX_MOVES, |per_s| {
            ((per_s * ROUND_MOVES_SHARE) as usize).max(1)
        })
    }

    fn standby_pools(&self) -> BTreeSet<SmolStr> {
        let document = self.node.active_config.get();
        let pools = document.iter().flat_map(|document| &document.pools);
        let standby = pools.filter(|pool| pool.is_standby);
        standby.map(|pool| pool.name.clone()).collect()
    }

    /// Calls the owner of each pool except the `standby` pools. Pools without a reply in time are missing from the result;
    /// what such a pool was to be told is kept for the next call.
    async fn call_pools(
        &mut self,
        listed: &[ListedVm],
        standby: &BTreeSet<SmolStr>,
    ) -> BTreeMap<SmolStr, RoundReply> {
        let mut due: BTreeMap<SmolStr, Vec<SmolStr>> = BTreeMap::new();
        for vm in listed.iter().filter(|vm| self.waves.is_waiting(&vm.vm)) {
            let workers = due.entry(vm.pool.clone()).or_default();
            workers.extend(vm.worker_id.clone());
        }
        let shards = self.node.active_config.shards();
        let pools = shards
            .into_iter()
            .filter(|shard| shard != FLEET_SHARD && !standby.contains(shard));
        let mut requests = Vec::new();
        for pool in pools.filter(|pool| !self.calls.is_under_way(pool)) {
            let draining = self.draining.get(&pool);
            let mut request = RoundRequest {
                drain: draining.into_iter().flatten().cloned().collect(),
                cancel_drain: self.cancelled_drains.remove(&pool).unwrap_or_default(),
                maintenance_due: Some(due.remove(&pool).unwrap_or_default()),
                ..RoundRequest::default()
            };
            self.ended_incarnations.move_to(&pool, &mut request);
            request.quotas = self.quotas.next_message(&pool);
            requests.push((pool, request));
        }
        if !self.sender.may_send_commands() {
            for (_, request) in &mut requests {
                request.quotas = None;
            }
        }
        let ended = self.calls.run_round(&self.node, requests).await;
        for (pool, request) in ended.failed {
            self.ended_incarnations.take_back(pool.clone(), &request);
            let cancelled = self.cancelled_drains.entry(pool).or_default();
            cancelled.extend(request.cancel_drain);
        }
        ended.replies
    }

    /// Returns the moves whose outcome is unknown and that may be repeated, then new moves that follow the demand: of VMs that are
    /// under a drain lease of their pool and have no tasks, VMs of standby pools and VMs without a worker.
    async fn move_commands(
        &mut self,
        listed: &[ListedVm],
        standby: &BTreeSet<SmolStr>,
        replies: &BTreeMap<SmolStr, RoundReply>,
    ) -> Vec<VmCommand> {
        let repeated = self.unconfirmed_moves.iter().filter(|(vm, pool)| {
            may_repeat_move((vm, pool), listed, standby, &self.draining, replies)
        });
        let mut commands: Vec<_> = repeated
            .map(|(vm, pool)| VmCommand::Move {
                vm: vm.clone(),
                pool: pool.clone(),
            })
            .collect();
        let vms = listed
            .iter()
            .map(|vm| (vm.vm.clone(), self.vm_state(vm, replies)))
            .collect();
        let pools = pool_states(standby, replies);
        let plan = plan_rebalance(&pools, &vms, self.max_moves());
        log_pools(&pools, &vms, replies);
        self.reclaiming = plan.reclaim.into_iter().collect();
        let moves = plan.moves;
        let mut candidates: BTreeMap<SmolStr, Vec<(SmolStr, SmolStr)>> = BTreeMap::new();
        for planned in &moves {
            let worker = listed
                .iter()
                .find(|vm| vm.vm == planned.vm)
                .and_then(|vm| vm.worker_id.clone());
            match worker.filter(|_| !standby.contains(&planned.from)) {
                Some(worker) => {
                    let requested = candidates.entry(planned.from.clone()).or_default();
                    requested.push((planned.vm.clone(), worker));
                }
                None => commands.push(VmCommand::Move {
                    vm: planned.vm.clone(),
                    pool: planned.to.clone(),
                }),
            }
        }
        for (pool, requested) in candidates {
            let workers: Vec<_> = requested.iter().map(|(_, worker)| worker.clone()).collect();
            let request = RoundRequest {
                drain: workers,
                ..RoundRequest::default()
            };
            let reply = call_pool(&self.node, &pool, request);
            let Ok(Some(reply)) = tokio::time::timeout(REPLY_WAIT, reply).await else {
                continue;
            };
            self.ended_incarnations.record_starts(&reply);
            for ((vm, worker), tasks) in requested.into_iter().zip(reply.remaining_tasks) {
                let planned = moves.iter().find(|planned| planned.vm == vm);
                match planned.filter(|_| tasks == 0) {
                    Some(planned) => commands.push(VmCommand::Move {
                        vm,
                        pool: planned.to.clone(),
                    }),
                    None => self
                        .cancelled_drains
                        .entry(pool.clone())
                        .or_default()
                        .push(worker),
                }
            }
        }
        commands
    }

    fn vm_state(&self, vm: &ListedVm, replies: &BTreeMap<SmolStr, RoundReply>) -> VmState {
        let reply = replies.get(&vm.pool);
        let idle = reply.map(|reply| &reply.idle).into_iter().flatten();
        let idle = idle
            .into_iter()
            .find(|(worker, _)| vm.worker_id.as_ref() == Some(worker));
        let is_being_reclaimed = self.reclaiming.contains(&vm.vm);
        let is_drained =
            is_being_reclaimed && remaining_tasks(vm, &self.draining, replies) == Some(0);
        let contains = |workers: &Vec<SmolStr>| {
            vm.worker_id
                .as_ref()
                .is_some_and(|worker| workers.contains(worker))
        };
        let is_unusable = reply.is_some_and(|reply| contains(&reply.unavailable));
        let is_reserved = self.is_reserved(&vm.vm);
        VmState {
            pool: self
                .unconfirmed_moves
                .get(&vm.vm)
                .unwrap_or(&vm.pool)
                .clone(),
            is_usable: matches!(vm.phase, VmPhase::Up | VmPhase::Moving) && !is_unusable,
            is_movable: vm.phase == VmPhase::Up
                && !is_reserved
                && !self.command_record.is_soft_locked(&self.node, &vm.vm),
            runs_service_tasks: reply.is_some_and(|reply| contains(&reply.service_workers)),
            is_being_reclaimed,
            idle_ms: if is_drained {
                Some(0)
            } else {
                idle.map(|(_, idle_ms)| *idle_ms)
            },
        }
    }

    /// Whether a VM is being drained for a wave, or a command to it may be under way.
    fn is_reserved(&self, vm: &str) -> bool {
        self.unconfirmed_moves.contains_key(vm) || self.waves.is_in_progress(vm)
    }

    fn apply_outcome(
        &mut self,
        command: &VmCommand,
        outcome: VmCommandOutcome,
        incarnations: &BTreeMap<SmolStr, (SmolStr, SmolStr)>,
    ) {
        let vm = match command {
            VmCommand::Move { vm, pool } => {
                if outcome == VmCommandOutcome::Started {
                    self.reclaiming.remove(vm);
                }
                match outcome {
                    VmCommandOutcome::Unknown => {
                        self.unconfirmed_moves.insert(vm.clone(), pool.clone())
                    }
                    VmCommandOutcome::WithoutEffect => None,
                    _ => self.unconfirmed_moves.remove(vm),
                };
                vm
            }
            VmCommand::Maintain { vm, wave, .. } => {
                self.waves.record_outcome(wave, vm, outcome);
                vm
            }
        };
        let listed = incarnations.get(vm);
        self.ended_incarnations.record_command(vm, listed, outcome);
        let Some((pool, worker)) = listed else {
            return;
        };
        match outcome {
            // Another command may be under way to the VM.
            VmCommandOutcome::WithoutEffect if self.is_reserved(vm) => {}
            VmCommandOutcome::Busy
            | VmCommandOutcome::WithoutEffect
            | VmCommandOutcome::Impossible => {
                self.cancelled_drains
                    .entry(pool.clone())
                    .or_default()
                    .push(worker.clone());
            }
            // A later list shows whether the worker has ended.
            VmCommandOutcome::Started | VmCommandOutcome::Unknown => {}
        }
    }
}
