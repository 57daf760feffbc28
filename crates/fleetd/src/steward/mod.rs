//! Drives the waves of maintenance: one daemon at a time.

mod orders;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ownership::Lease;
use parking_lot::Mutex;
use pools::{Wave, WaveVm};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use users_platform::{ListedVm, RowKey, STATUS_TABLE, Transaction, VmPhase};

use crate::clock::local_ms;
use crate::config::FLEET_UNIT;
use crate::node::{Node, STORE_TIMEOUT, tables};
use crate::pool::{Sequence, Taken, read_all};
use crate::rpc::{Emptiness, PoolClient};

/// How often the list of VMs is read and the next steps are taken while a wave is under way.
const ROUND_PERIOD: Duration = Duration::from_millis(400);

/// How often the steward looks for waves when none is under way.
const IDLE_PERIOD: Duration = Duration::from_millis(800);

/// How long a steward gives orders after its last renewal.
pub(crate) const ORDER_SPAN_MS: u64 = 1500;

/// How often the steward renews its lease. Two renewals fit in the span for orders.
const RENEWAL_PERIOD: Duration = Duration::from_millis(600);

/// The wave's row.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct WaveRow {
    begun: BTreeSet<SmolStr>,
    is_done: bool,
}

struct Steward {
    node: Arc<Node>,
    term: u64,
    lease: Arc<Mutex<Lease>>,
    sequence: Arc<tokio::sync::Mutex<Sequence>>,
    waves: BTreeMap<SmolStr, (Wave, WaveRow)>,
    /// The workers that pools were asked to empty, by pool.
    emptied: BTreeMap<SmolStr, BTreeSet<SmolStr>>,
}

/// Does the steward's work until another daemon takes it over.
pub(crate) async fn run(node: Arc<Node>, taken: Taken) {
    let lease = Arc::new(Mutex::new(Lease::new(taken.sent_at_ms)));
    let term = taken.term;
    let mut steward = Steward {
        node: node.clone(),
        term,
        lease: lease.clone(),
        sequence: Arc::new(tokio::sync::Mutex::new(taken.sequence)),
        waves: BTreeMap::new(),
        emptied: BTreeMap::new(),
    };
    let renewal = tokio::spawn(renew(node.clone(), steward.sequence.clone(), lease));
    if taken.is_after_loss || term > 1 {
        // The steward before may have given an order until the end of its span, and orders of two have to be apart.
        let gap_ms = ORDER_SPAN_MS + node.settings.bounds.steward_gap_ms + 300;
        tokio::time::sleep(Duration::from_millis(gap_ms)).await;
    }
    while !renewal.is_finished() {
        let is_busy = steward.round().await;
        tokio::time::sleep(if is_busy { ROUND_PERIOD } else { IDLE_PERIOD }).await;
    }
    tracing::warn!(term, "no longer the steward");
    node.set_hold(&FLEET_UNIT.into(), None);
}

/// Renews the lease until another daemon has taken it over.
async fn renew(
    node: Arc<Node>,
    sequence: Arc<tokio::sync::Mutex<Sequence>>,
    lease: Arc<Mutex<Lease>>,
) {
    loop {
        tokio::time::sleep(RENEWAL_PERIOD).await;
        let renewed = sequence.lock().await.commit(&node, Transaction::default(), |_| {}).await;
        match renewed {
            Ok(sent_at_ms) => lease.lock().renewed(sent_at_ms),
            Err(_) => return,
        }
    }
}

impl Steward {
    pub(crate) fn may_order(&self) -> bool {
        self.lease.lock().is_held(local_ms(), ORDER_SPAN_MS)
    }

    /// One round over all waves. True when one is under way.
    async fn round(&mut self) -> bool {
        self.load_waves().await;
        if self.waves.values().all(|(_, row)| row.is_done) || !self.may_order() {
            return false;
        }
        let listed = match self.node.vms.list(STORE_TIMEOUT).await {
            Ok(listed) => listed,
            Err(err) => {
                tracing::warn!(error = %err, "the list of VMs can't be read");
                return true;
            }
        };
        let list = self.wave_vms(&listed).await;
        let now_ms = local_ms();
        let mut empty = BTreeSet::new();
        let mut orders = Vec::new();
        for (key, (wave, row)) in &mut self.waves {
            if row.is_done {
                continue;
            }
            let next = wave.next(&list, now_ms);
            empty.extend(next.empty);
            orders.extend(next.order.into_iter().map(|vm| (key.clone(), vm)));
        }
        self.ask_for_empty(&listed, &empty);
        for (key, vm) in orders {
            self.maintain(&key, &vm).await;
        }
        self.write_waves().await;
        true
    }

    /// Takes up waves that operators have asked for since.
    async fn load_waves(&mut self) {
        let asked = self.node.waves.lock().clone();
        for (key, order) in asked {
            if self.waves.contains_key(&key) {
                continue;
            }
            let rows = match read_all(&self.node, tables::WAVE, FLEET_UNIT).await {
                Ok(rows) => rows,
                Err(err) => {
                    tracing::warn!(error = %err, "the rows of waves can't be read");
                    return;
                }
            };
            let found = rows.iter().find(|row| row.key.key == key);
            let value = found.and_then(|row| row.value.as_deref()).unwrap_or_default();
            let row: WaveRow = serde_json::from_slice(value).unwrap_or_default();
            let seconds = self.node.settings.bounds.maintenance_s;
            let maintenance = Duration::try_from_secs_f64(seconds).unwrap_or_default();
            let maintenance_ms = u64::try_from(maintenance.as_millis()).unwrap_or(0);
            let wave = Wave::new(order.vms.clone(), &row.begun, order.most_down, maintenance_ms);
            if !row.is_done {
                self.write_status(&key, false).await;
            }
            self.waves.insert(key, (wave, row));
        }
    }

    /// The VMs as the waves want to know them; asks pools how empty the workers are that they empty.
    async fn wave_vms(&mut self, listed: &[ListedVm]) -> BTreeMap<SmolStr, WaveVm> {
        let document = self.node.in_force.get();
        let standby: BTreeSet<SmolStr> = document
            .iter()
            .flat_map(|document| &document.services)
            .filter(|service| service.is_standby)
            .map(|service| service.name.clone())
            .collect();
        let mut emptiness: BTreeMap<SmolStr, Emptiness> = BTreeMap::new();
        for (pool, workers) in &self.emptied {
            let workers: Vec<_> = workers.iter().cloned().collect();
            let answers = self.evacuate(pool, workers.clone(), Vec::new()).await;
            emptiness.extend(workers.into_iter().zip(answers.unwrap_or_default()));
        }
        let vm = |listed: &ListedVm| {
            let is_standby = standby.contains(&listed.pool);
            let worker = listed.worker.as_ref();
            let known = worker.and_then(|worker| emptiness.get(worker));
            let vm = WaveVm {
                is_up: listed.phase == VmPhase::Up,
                is_standby,
                pool: listed.pool.clone(),
                is_empty: is_standby || worker.is_none() || known.is_some_and(|known| known.is_empty),
                tasks: known.map_or(0, |known| known.tasks),
            };
            (listed.vm.clone(), vm)
        };
        listed.iter().map(vm).collect()
    }

    /// Notes which workers pools are to empty from now on; those no longer among them are given back.
    fn ask_for_empty(&mut self, listed: &[ListedVm], empty: &BTreeSet<SmolStr>) {
        self.emptied.clear();
        for vm in listed.iter().filter(|vm| empty.contains(&vm.vm)) {
            if let Some(worker) = &vm.worker {
                let workers = self.emptied.entry(vm.pool.clone()).or_default();
                workers.insert(worker.clone());
            }
        }
    }

    async fn evacuate(
        &self,
        pool: &SmolStr,
        empty: Vec<SmolStr>,
        keep: Vec<SmolStr>,
    ) -> Option<Vec<Emptiness>> {
        if let Some(owner) = self.node.own_pool(pool) {
            return Some(owner.evacuate(&empty, &keep));
        }
        let claim = self.node.claim(pool)?;
        let peer = self.node.peer(&claim.addr)?;
        match peer.evacuate(pool.clone(), empty, keep).await {
            Ok(answer) => answer,
            Err(err) => {
                tracing::warn!(pool = pool.as_str(), daemon = claim.daemon.as_str(), error = %err, "a pool's daemon does not answer");
                None
            }
        }
    }

    /// Writes how far the waves are, where that has changed.
    async fn write_waves(&mut self) {
        let mut changed = Vec::new();
        for (key, (wave, row)) in &mut self.waves {
            let begun: BTreeSet<SmolStr> = wave.begun().cloned().collect();
            let is_done = wave.is_done();
            if begun != row.begun || is_done != row.is_done {
                changed.push((key.clone(), WaveRow { begun, is_done }));
            }
        }
        for (key, row) in changed {
            let row_key = RowKey::new(tables::WAVE, FLEET_UNIT, key.clone());
            // Plain data, which can always be written.
            let value = serde_json::to_vec(&row).unwrap_or_default();
            let transaction = Transaction::default().with_write(row_key, value);
            let mut sequence = self.sequence.lock().await;
            let written = sequence.commit(&self.node, transaction, |_| {}).await;
            drop(sequence);
            if written.is_err() {
                return;
            }
            let is_done = row.is_done;
            if let Some((_, before)) = self.waves.get_mut(&key) {
                *before = row;
            }
            if is_done && !self.write_status(&key, true).await
                && let Some((_, row)) = self.waves.get_mut(&key)
            {
                row.is_done = false;
            }
        }
    }

    /// Tells operators how far a wave is.
    async fn write_status(&self, key: &str, is_done: bool) -> bool {
        let state = if is_done { "done" } else { "running" };
        let value = format!(r#"{{"state":"{state}"}}"#).into_bytes();
        let transaction = Transaction::default().with_write(RowKey::new(STATUS_TABLE, "", key), value);
        let written = self.node.store.commit(&transaction, STORE_TIMEOUT).await;
        tracing::info!(wave = key, state, is_written = written.is_ok(), "a wave's state is reported");
        written.is_ok()
    }
}
