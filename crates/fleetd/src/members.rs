//! Shows peers that this daemon is alive, learns who else is, takes free units, and follows the operators' rows.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ownership::DaemonRow;
use smol_str::SmolStr;
use users_platform::{
    CONFIG_KEY, Error, OPERATOR_TABLE, Row, RowKey, Transaction, WAVE_PREFIX, decode_config,
    decode_wave,
};

use crate::clock::local_ms;
use crate::config::FLEET_SHARD;
use crate::leader;
use crate::node::{Node, STORE_TIMEOUT, tables};
use crate::pool::{read_all, take_over, take_pool};

/// How often the daemons' rows are read, and free units taken.
const READ_PERIOD: Duration = Duration::from_millis(400);

/// How often a daemon rewrites its row.
const SIGN_PERIOD_MS: u64 = 600;

/// A daemon whose row is unchanged for longer is dead: it missed two signs, and reads are 0.4 s apart.
pub(crate) const DEAD_AFTER_MS: u64 = 1800;

/// A daemon to which a call failed is dead when its row is unchanged for longer: it missed one sign.
pub(crate) const SUSPECT_DEAD_AFTER_MS: u64 = 900;

/// The longest gap between two reads that counts in full. Longer ones mean that the store did not answer.
pub(crate) const LONGEST_GAP_MS: u64 = 800;

/// How long a new daemon leaves free units to daemons that it does not see yet.
const SETTLE_MS: u64 = 700;

/// How long a read of the operators' rows waits for a change. A connection that fell silent is noticed within this
/// and the store's time-out, which is inside the time in which a configuration has to be in force.
const FEED_WAIT: Duration = Duration::from_millis(900);

/// The time-out of that read beyond its wait.
const FEED_TIMEOUT: Duration = Duration::from_millis(500);

/// The pause after a failed read.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// Keeps this daemon's row and its view of the others recent.
pub(crate) async fn keep_membership(node: Arc<Node>) {
    let started_at_ms = local_ms();
    let mut signed_at_ms = 0;
    let mut read_at_ms = local_ms();
    let mut is_away = false;
    loop {
        let is_due = local_ms().saturating_sub(signed_at_ms) >= SIGN_PERIOD_MS;
        // The row tells when the process started on the store's clock, which the first answer shows.
        let is_clock_known = node.store_answered_at_ms.load(Ordering::Relaxed) > 0;
        if is_clock_known && (is_due || signed_at_ms == 0) {
            let sent_at_ms = local_ms();
            if sign(&node).await {
                signed_at_ms = sent_at_ms;
            }
        }
        match read_all(&node, tables::DAEMON, "").await {
            Ok(rows) => {
                let gap_ms = local_ms().saturating_sub(read_at_ms);
                read_at_ms = local_ms();
                if std::mem::take(&mut is_away) {
                    tracing::info!(lost_ms = gap_ms, "the store answers again");
                }
                let rows = rows.into_iter().filter_map(daemon_row).collect();
                node.peers.lock().update(rows, gap_ms);
                node.store_answered_at_ms
                    .store(read_at_ms, Ordering::Relaxed);
                node.claims_read.notify_waiters();
                if local_ms().saturating_sub(started_at_ms) > SETTLE_MS && signed_at_ms > 0 {
                    take_free_units(&node).await;
                }
            }
            Err(err) => {
                node.metrics.store_failures.inc();
                if !std::mem::replace(&mut is_away, true) {
                    tracing::warn!(error = %err, "the store does not answer");
                }
            }
        }
        // The wait ends early when this daemon holds something new, so that peers learn of it.
        let is_first = signed_at_ms == 0 && !is_away;
        let pause = if is_first { FAILURE_PAUSE } else { READ_PERIOD };
        if tokio::time::timeout(pause, node.holds_changed.notified())
            .await
            .is_ok()
        {
            signed_at_ms = 0;
        }
    }
}

fn daemon_row(row: Row) -> Option<(SmolStr, u64, DaemonRow)> {
    let value = row.value.as_deref().unwrap_or_default();
    match serde_json::from_slice(value) {
        Ok(read) => Some((row.key.key, row.version, read)),
        Err(err) => {
            tracing::warn!(daemon = row.key.key.as_str(), error = %err, "a daemon's row can't be read");
            None
        }
    }
}

/// Rewrites this daemon's row. True when it was written.
pub(crate) async fn sign(node: &Node) -> bool {
    let row = DaemonRow {
        incarnation: node.incarnation.clone(),
        addr: node.settings.peer_addr().to_string().into(),
        started_at_ms: node.started_at_store_ms(),
        is_shutting_down: node.is_leaving.load(Ordering::Acquire),
        capacity: node.settings.machine.capacity_millicores(),
        owned_shards: node.holds.lock().clone(),
    };
    let key = RowKey::new(tables::DAEMON, "", node.settings.daemon.clone());
    // Plain data, which can always be written.
    let value = serde_json::to_vec(&row).unwrap_or_default();
    let transaction = Transaction::default().with_write(key, value);
    match node.store.commit(&transaction, STORE_TIMEOUT).await {
        Ok(_) => true,
        Err(err) => {
            node.metrics.store_failures.inc();
            tracing::debug!(error = %err, "the daemon's row can't be written");
            false
        }
    }
}

async fn take_free_units(node: &Arc<Node>) {
    if node.is_leaving.load(Ordering::Acquire) {
        return;
    }
    let units = node.in_force.shards();
    let wanted = node
        .peers
        .lock()
        .shards_to_take_over(&node.settings.daemon, &units);
    for unit in wanted {
        if node.holds.lock().contains_key(&unit) {
            continue;
        }
        let taken = if unit == FLEET_SHARD {
            take_fleet(node, None).await
        } else {
            take_pool(node, &unit, false).await
        };
        if let Err(err) = taken {
            tracing::warn!(unit = unit.as_str(), error = %err, "a unit can't be taken over");
        }
    }
}

/// Takes the stewardship; `last_order_at_ms` is when the one who hands it over gave its last order.
pub(crate) async fn take_fleet(
    node: &Arc<Node>,
    last_order_at_ms: Option<u64>,
) -> Result<bool, Error> {
    let unit = SmolStr::from(FLEET_SHARD);
    let Some(mut taken) = take_over(node, &unit, last_order_at_ms.is_some()).await? else {
        return Ok(false);
    };
    if let (Some(at_ms), Some(before)) = (last_order_at_ms, &mut taken.before) {
        before.is_released = true;
        before.last_command_at_ms = at_ms;
    }
    node.set_hold(&unit, Some(taken.term));
    tokio::spawn(leader::run(node.clone(), taken));
    Ok(true)
}

/// Follows the operators' rows: the configuration and the waves.
pub(crate) async fn follow_operators(node: Arc<Node>) {
    let mut version = None;
    loop {
        let read = match version {
            None => read_all(&node, OPERATOR_TABLE, "").await.map(|rows| {
                let newest = rows.iter().map(|row| row.version).max().unwrap_or(0);
                (rows, newest)
            }),
            Some(after) => {
                let feed = node
                    .store
                    .feed(OPERATOR_TABLE, after, FEED_WAIT, FEED_TIMEOUT);
                feed.await.map(|feed| {
                    node.clock.note_store(feed.store_ms);
                    (feed.rows, feed.version)
                })
            }
        };
        match read {
            Ok((rows, newest)) => {
                version = Some(newest);
                for row in rows {
                    take_operator_row(&node, &row);
                }
            }
            Err(Error::HistoryCompacted) => version = None,
            Err(err) => {
                node.metrics.store_failures.inc();
                tracing::debug!(error = %err, "the operators' rows can't be read");
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

fn take_operator_row(node: &Node, row: &Row) {
    let key = &row.key.key;
    let value = row.value.as_deref().unwrap_or_default();
    if key == CONFIG_KEY {
        match decode_config(value) {
            Ok(document) => {
                let epoch = document.epoch;
                if node.in_force.activate(document) {
                    tracing::info!(epoch, version = row.version, "a configuration is in force");
                }
            }
            Err(err) => tracing::error!(error = %err, "the configuration can't be read"),
        }
    } else if key.starts_with(WAVE_PREFIX) {
        if row.is_removed {
            node.waves.lock().remove(key);
            return;
        }
        match decode_wave(value) {
            Ok(wave) => {
                tracing::info!(
                    wave = wave.number,
                    vms = wave.vms.len(),
                    most_down = wave.max_down,
                    "a wave is asked for"
                );
                node.waves.lock().insert(key.clone(), wave);
            }
            Err(err) => tracing::error!(key = key.as_str(), error = %err, "a wave can't be read"),
        }
    }
}
