//! Membership: writes this daemon's heartbeat row, reads the rows of its peers, takes over unowned shards, and follows
//! the operators' rows.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ownership::{DaemonRow, OwnerRow};
use smol_str::SmolStr;
use users_platform::{
    CONFIG_KEY, Error, OPERATOR_TABLE, Row, RowKey, Transaction, WAVE_PREFIX, decode_config,
    decode_wave,
};

use crate::clock::local_ms;
use crate::config::FLEET_SHARD;
use crate::leader;
use crate::node::{Node, STORE_TIMEOUT, STORE_TIMEOUT_MS, tables};
use crate::pool::{RowReader, read_all_rows, take_over_pool, take_over_shard};

/// How often the daemon reads the heartbeat rows and takes over unowned shards.
const READ_PERIOD: Duration = Duration::from_millis(400);

/// How often a daemon reads the heartbeat rows that has no part in a takeover now. Every daemon reads all rows, so that
/// the bytes read grow with the square of the number of daemons.
const RARE_READ_PERIOD: Duration = Duration::from_millis(800);

/// How many daemons for each shard read the heartbeat rows each [`READ_PERIOD`] because they would take a shard over
/// first. More than one, because a daemon and its successors may be lost together.
const SUCCESSORS_PER_SHARD: usize = 2;

/// How often a daemon writes its heartbeat row.
const HEARTBEAT_PERIOD_MS: u64 = 600;

/// A daemon is dead when its heartbeat row has been unchanged for this long: it missed two heartbeats, and reads are
/// 0.4 s apart.
pub(crate) const DEAD_AFTER_MS: u64 = 1800;

/// An unreachable daemon (one to which a call failed) is dead when its heartbeat row has been unchanged for this long:
/// it missed one heartbeat.
pub(crate) const UNREACHABLE_DEAD_AFTER_MS: u64 = 900;

/// A gap between two reads adds at most this much to the age of a heartbeat row. A longer gap means that the store did
/// not respond.
pub(crate) const MAX_READ_GAP_MS: u64 = 800;

/// How long after its start a daemon leaves unowned shards to other daemons, whose rows it may not have read yet.
const STARTUP_DELAY_MS: u64 = 700;

/// How long the store holds a read of the operators' rows open for a change. An unresponsive connection is detected
/// within this wait and [`FEED_TIMEOUT`], which is less than the time in which a configuration has to become active.
const FEED_WAIT: Duration = Duration::from_millis(900);

/// How long a read of the operators' rows may take beyond [`FEED_WAIT`].
const FEED_TIMEOUT: Duration = Duration::from_millis(500);

/// The age of the configuration's last confirmation, in ms, above which it is overdue: more than [`FEED_WAIT`] and the
/// response time of a slow store. The configuration is this old after failed reads, and after a pause of the process.
const CONFIRMATION_OVERDUE_MS: u64 = 1200;

/// The delay before a failed read of the operators' rows is retried, and before the next attempt at a heartbeat that is
/// due at once. After a failed read of the heartbeat rows, that attempt follows after [`READ_PERIOD`].
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Runs the loop that writes this daemon's heartbeat row, reads the rows of its peers and takes over unowned shards.
pub(crate) async fn run_membership(node: Arc<Node>) {
    let started_at_ms = local_ms();
    let mut heartbeat_at_ms = 0;
    let mut read_at_ms = local_ms();
    let mut is_read_failing = false;
    // The shards that this daemon owned before its process was restarted.
    let mut previous_shards: Option<Vec<SmolStr>> = None;
    loop {
        let is_due = local_ms().saturating_sub(heartbeat_at_ms) >= HEARTBEAT_PERIOD_MS;
        // The row contains the start time of the process on the store's clock. That clock is unknown until the store's
        // first response.
        let is_clock_known = node.store_responded_at_ms.load(Ordering::Relaxed) > 0;
        if is_clock_known && (is_due || heartbeat_at_ms == 0) {
            let sent_at_ms = local_ms();
            if write_heartbeat(&node).await {
                heartbeat_at_ms = sent_at_ms;
            }
        }
        match read_all_rows(&node, tables::DAEMON, "").await {
            Ok(rows) => {
                let gap_ms = local_ms().saturating_sub(read_at_ms);
                read_at_ms = local_ms();
                if std::mem::take(&mut is_read_failing) {
                    tracing::info!(lost_ms = gap_ms, "the store responds again");
                }
                let rows = rows.into_iter().filter_map(decode_daemon_row).collect();
                node.peers.lock().update(rows, gap_ms);
                node.store_responded_at_ms
                    .store(read_at_ms, Ordering::Relaxed);
                node.peers_updated.notify_waiters();
                let previous_shards = previous_shards.get_or_insert_with(|| {
                    let peers = node.peers.lock();
                    peers.shards_of_earlier_incarnation(&node.settings.daemon, &node.incarnation)
                });
                if heartbeat_at_ms > 0 {
                    if node.active_config.get().is_some() {
                        // No other daemon has to be waited for: the previous owner is known to have ended.
                        take_over_shards(&node, std::mem::take(previous_shards)).await;
                    }
                    if local_ms().saturating_sub(started_at_ms) > STARTUP_DELAY_MS {
                        take_over_unowned_shards(&node).await;
                    }
                }
            }
            Err(err) => {
                node.metrics.store_failures.inc();
                if !std::mem::replace(&mut is_read_failing, true) {
                    tracing::warn!(error = %err, "the store does not respond");
                }
            }
        }
        // A change of the owned shards ends the wait and makes a heartbeat due, so that peers learn of the change.
        let is_heartbeat_pending = heartbeat_at_ms == 0 && !is_read_failing;
        let delay = if is_heartbeat_pending {
            RETRY_DELAY
        } else if !is_read_failing && may_read_rarely(&node) {
            RARE_READ_PERIOD
        } else {
            READ_PERIOD
        };
        tokio::select! {
            () = node.owned_shards_changed.notified() => heartbeat_at_ms = 0,
            () = node.peers_outdated.notified() => {}
            () = tokio::time::sleep(delay) => {}
        }
    }
}

/// Whether this daemon has no part in a takeover now; see [`Peers::may_read_rarely`](ownership::Peers::may_read_rarely).
fn may_read_rarely(node: &Node) -> bool {
    let shards = node.active_config.shards();
    let successors = SUCCESSORS_PER_SHARD * shards.len();
    let peers = node.peers.lock();
    peers.may_read_rarely(&node.settings.daemon, &shards, successors)
}

fn decode_daemon_row(row: Row) -> Option<(SmolStr, u64, DaemonRow)> {
    let value = row.value.as_deref().unwrap_or_default();
    match serde_json::from_slice(value) {
        Ok(daemon_row) => Some((row.key.key, row.version, daemon_row)),
        Err(err) => {
            tracing::warn!(daemon = row.key.key.as_str(), error = %err, "failed to decode a heartbeat row");
            None
        }
    }
}

/// Writes this daemon's heartbeat row. Returns false, and counts a store failure, when the store did not confirm the
/// write.
pub(crate) async fn write_heartbeat(node: &Node) -> bool {
    let row = DaemonRow {
        incarnation: node.incarnation.clone(),
        addr: node.settings.peer_addr().to_string().into(),
        started_at_ms: node.started_at_store_ms(),
        is_shutting_down: node.is_shutting_down.load(Ordering::Acquire),
        zone: node.settings.zone.clone(),
        capacity: node.settings.machine.capacity_millicores(),
        owned_shards: node.owned_shards.lock().clone(),
    };
    let key = RowKey::new(tables::DAEMON, "", node.settings.daemon.clone());
    // Serializing the row to JSON can't fail.
    let value = serde_json::to_vec(&row).unwrap_or_default();
    let transaction = Transaction::default().with_write(key, value);
    match node.store.commit(&transaction, STORE_TIMEOUT).await {
        Ok(_) => true,
        Err(err) => {
            node.metrics.store_failures.inc();
            tracing::debug!(error = %err, "failed to write the heartbeat row");
            false
        }
    }
}

async fn take_over_unowned_shards(node: &Arc<Node>) {
    if node.is_shutting_down.load(Ordering::Acquire) {
        return;
    }
    let shards = node.active_config.shards();
    let shards_to_take_over = node
        .peers
        .lock()
        .shards_to_take_over(&node.settings.daemon, &shards);
    take_over_shards(node, shards_to_take_over).await;
}

/// Takes over the shards of a list whose owner is not serving.
async fn take_over_shards(node: &Arc<Node>, shards: Vec<SmolStr>) {
    for shard in shards {
        let result = if shard == FLEET_SHARD {
            take_over_fleet(node, None).await
        } else {
            take_over_pool(node, &shard, None).await
        };
        if let Err(err) = result {
            tracing::warn!(unit = shard.as_str(), error = %err, "failed to take over a shard");
        }
    }
}

/// The handover of the fleet shard by the previous leader.
pub(crate) struct Handover {
    /// The term of the previous leader.
    pub(crate) term: u64,
    /// When the last command of the previous leader ended, in ms of the store's clock.
    pub(crate) last_command_at_ms: u64,
}

/// Takes over the fleet shard and starts the leader, on a handover or without one.
///
/// Returns false when another daemon owns the fleet shard, and an error when a call to the store failed. The owner row
/// may name this daemon even after an error, if the response to the write was lost.
pub(crate) async fn take_over_fleet(
    node: &Arc<Node>,
    handover: Option<Handover>,
) -> Result<bool, Error> {
    let shard = SmolStr::from(FLEET_SHARD);
    let term = handover.as_ref().map(|handover| handover.term);
    let previous_owner = |owner: Option<&OwnerRow>| {
        let mut owner = owner.cloned();
        if let Some(handover) = &handover
            && let Some(owner) = owner.as_mut().filter(|owner| owner.term == handover.term)
        {
            owner.is_released = true;
            owner.last_command_at_ms = handover.last_command_at_ms;
        }
        owner
    };
    let last_command_at_ms = |owner: Option<&OwnerRow>, version| {
        let owner = previous_owner(owner);
        // The takeover takes effect by the time of the response to it.
        let now_ms = node.clock.now().store_ms + STORE_TIMEOUT_MS;
        leader::earlier_commands_until_ms(node, owner.as_ref(), version, now_ms)
    };
    let takeover = take_over_shard(node, &shard, term, last_command_at_ms).await?;
    let Some(mut takeover) = takeover else {
        return Ok(false);
    };
    takeover.previous_owner = previous_owner(takeover.previous_owner.as_ref());
    tokio::spawn(leader::run(node.clone(), takeover));
    Ok(true)
}

/// Runs the loop that follows the operators' rows: the configuration and the maintenance waves.
pub(crate) async fn follow_operator_rows(node: Arc<Node>) {
    let mut version = None;
    // Whether the newest configuration row could be decoded. Revocations in a row that could not are unknown here.
    let mut is_config_decoded = true;
    // Whether the last read was of all rows and did not fail.
    let mut was_complete = false;
    loop {
        let sent_at_ms = local_ms();
        let confirmed_at_ms = node.config_confirmed_at_ms().unwrap_or(sent_at_ms);
        let age_ms = sent_at_ms.saturating_sub(confirmed_at_ms);
        // While the newest configuration can't be decoded, nothing confirms it.
        if is_config_decoded && must_read_all(age_ms, was_complete) {
            version = None;
        }
        let is_complete = version.is_none();
        let read = match version {
            None => {
                let mut reader = RowReader::new(&node, OPERATOR_TABLE, "");
                let read = reader.read_rest().await;
                read.map(|()| reader.into_rows_to_follow())
            }
            Some(after) => {
                let feed = node
                    .store
                    .feed(OPERATOR_TABLE, after, FEED_WAIT, FEED_TIMEOUT);
                feed.await.map(|feed| {
                    node.clock.record_store_time(feed.store_ms, sent_at_ms);
                    (feed.rows, feed.version)
                })
            }
        };
        match read {
            Ok((rows, read_version)) => {
                version = Some(read_version);
                was_complete = is_complete;
                node.store_responded_at_ms
                    .store(local_ms(), Ordering::Relaxed);
                if let Some(is_decoded) = apply_operator_rows(&node, &rows, is_complete) {
                    is_config_decoded = is_decoded;
                }
                if is_config_decoded {
                    node.confirm_config(sent_at_ms);
                }
            }
            Err(Error::HistoryCompacted) => version = None,
            Err(err) => {
                node.metrics.store_failures.inc();
                was_complete = false;
                tracing::debug!(error = %err, "failed to read the operators' rows");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Whether all rows of the operators are read instead of the changes, when the last read that confirmed the configuration was
/// sent `age_ms` ago. Such a read does not wait. After an outage it is also the smaller one: the changes contain each version
/// of the configuration, which may exceed what a narrow link transfers within the timeout of a read. Not twice in a row, as a
/// read that takes long itself would be repeated without end.
fn must_read_all(age_ms: u64, was_complete: bool) -> bool {
    age_ms > CONFIRMATION_OVERDUE_MS && !was_complete
}

/// Applies changed rows of the operators, or all of them (`is_complete`): waves without a row are then no longer requested.
/// Returns whether the configuration could be decoded; none if it is not among the rows.
fn apply_operator_rows(node: &Node, rows: &[Row], is_complete: bool) -> Option<bool> {
    if is_complete {
        let keys: BTreeSet<_> = rows.iter().map(|row| &row.key.key).collect();
        let mut waves = node.requested_waves.lock();
        waves.retain(|key, _| keys.contains(key));
    }
    let mut is_config_decoded = None;
    for row in rows {
        if row.key.key == CONFIG_KEY {
            is_config_decoded = Some(apply_config_row(node, row));
        } else {
            apply_wave_row(node, row);
        }
    }
    is_config_decoded
}

/// Activates the configuration of a row, if it is newer. Returns whether the row could be decoded.
fn apply_config_row(node: &Node, row: &Row) -> bool {
    match decode_config(row.value.as_deref().unwrap_or_default()) {
        Ok(document) => {
            let epoch = document.epoch;
            if node.active_config.activate(document) {
                if let Some(config) = node.active_config.get() {
                    node.assignments.retain(&config.queues);
                }
                tracing::info!(epoch, version = row.version, "activated a configuration");
            }
            true
        }
        Err(err) => {
            tracing::error!(error = %err, "failed to decode the configuration");
            false
        }
    }
}

fn apply_wave_row(node: &Node, row: &Row) {
    let key = &row.key.key;
    let value = row.value.as_deref().unwrap_or_default();
    if key.starts_with(WAVE_PREFIX) {
        if row.is_removed {
            node.requested_waves.lock().remove(key);
            return;
        }
        match decode_wave(value) {
            Ok(wave) => {
                tracing::info!(
                    wave = wave.number,
                    vms = wave.vms.len(),
                    most_down = wave.max_down,
                    "a maintenance wave was requested"
                );
                node.requested_waves.lock().insert(key.clone(), wave);
            }
            Err(err) => {
                tracing::error!(key = key.as_str(), error = %err, "failed to decode a maintenance wave");
            }
        }
    }
}

#[cfg(test)]
mod tests;
