//! The leader's part in the quotas of teams: reads and writes what pools hold of them, and exchanges limits and use with the
//! owners of pools.

use std::collections::BTreeMap;
use std::sync::Arc;

use quota::{Allocation, LimitMessage, LimitReceiver, RowChanges, TeamRow};
use smol_str::SmolStr;
use tokio::task::JoinSet;
use users_platform::{ConfigDocument, Row, RowKey, Transaction};

use crate::clock::local_ms;
use crate::config::{FLEET_SHARD, team_quotas};
use crate::leader::Leader;
use crate::leader::pool_calls::{REPLY_WAIT, call_pool};
use crate::node::{Node, tables};
use crate::pool::read_all_rows;
use crate::rpc::{RoundReply, RoundRequest};

/// What a new leader adds to the time in which messages of the previous one may arrive, in ms, for clocks that run at
/// different rates.
const CLOCK_MARGIN_MS: u64 = 300;

/// How often limits are sent within a round at most: lowered, raised once that is confirmed, and once more for pools whose owner
/// is new.
const MAX_EXCHANGES: usize = 4;

/// How many rows a transaction writes at most. The store accepts 100 entries and 1 MB in a call, and the row of a team takes
/// up to 15 KB with 285 pools.
const MAX_ROWS_PER_TRANSACTION: usize = 30;

/// How many teams a log line names at most.
const MAX_LOGGED_TEAMS: usize = 5;

/// The quotas of teams, as the leader splits them among the pools.
#[derive(Debug)]
pub(super) struct Quotas {
    term: u64,
    /// When this leader may start to lower what pools hold, in ms on the local clock.
    lower_from_ms: u64,
    /// `None` while no team has a quota, or the rows were not read.
    allocation: Option<Allocation>,
    /// Whether this leader has seen a configuration without quotas. Rows of earlier leaders are then out of date.
    had_none: bool,
}

impl Quotas {
    /// Creates the quotas of a leader whose takeover has just been committed. Leaders before it may send messages for another
    /// `earlier_leaders_ms`; `None` if there were none.
    pub(super) fn new(term: u64, earlier_leaders_ms: Option<u64>) -> Self {
        let lower_from_ms = earlier_leaders_ms.map_or(0, |earlier_leaders_ms| {
            local_ms() + earlier_leaders_ms + LimitReceiver::MAX_ECHO_AGE_MS + CLOCK_MARGIN_MS
        });
        Self {
            term,
            lower_from_ms,
            allocation: None,
            had_none: false,
        }
    }

    /// Applies the active configuration, and reads the rows of earlier leaders when the first team has a quota. Retries in the
    /// next round when they can't be read.
    pub(super) async fn configure(&mut self, node: &Node) {
        let Some(document) = node.active_config.get() else {
            return;
        };
        let quotas = team_quotas(&document);
        if self.allocation.is_none() {
            if quotas.is_empty() {
                self.had_none = true;
                return;
            }
            let rows = if self.had_none {
                BTreeMap::new()
            } else {
                match read_all_rows(node, tables::QUOTA, FLEET_SHARD).await {
                    Ok(rows) => decode_rows(rows),
                    Err(err) => {
                        tracing::warn!(error = %err, "failed to read the rows of quotas");
                        return;
                    }
                }
            };
            tracing::info!(
                teams = quotas.len(),
                rows = rows.len(),
                "splits the quotas of teams"
            );
            self.allocation = Some(Allocation::new(self.term, rows, self.lower_from_ms));
        }
        if let Some(allocation) = &mut self.allocation {
            allocation.configure(quotas, pool_names(&document));
            if allocation.is_idle() {
                self.allocation = None;
                self.had_none = true;
            }
        }
    }

    /// The next message to the owner of a pool. Sent only if the leader's lease is valid after the call.
    pub(super) fn next_message(&mut self, pool: &str) -> Option<LimitMessage> {
        self.allocation.as_mut()?.next_message(pool)
    }

    fn record_replies(&mut self, replies: &BTreeMap<SmolStr, RoundReply>) {
        let Some(allocation) = &mut self.allocation else {
            return;
        };
        for (pool, reply) in replies {
            if let Some(reply) = &reply.quotas {
                allocation.record_reply(pool, reply);
            }
        }
    }
}

impl Leader {
    /// A round of calls to the owners of pools that concerns only quotas, as the list of VMs is unknown.
    pub(super) async fn run_quota_round(&mut self) {
        self.quotas.configure(&self.node).await;
        let Some(document) = self.node.active_config.get() else {
            return;
        };
        let pools = pool_names(&document).into_iter();
        let pools = pools.filter(|pool| !self.calls.is_under_way(pool));
        let messages = pools.filter_map(|pool| {
            let message = self.quotas.next_message(&pool)?;
            Some((pool, message))
        });
        let messages: Vec<_> = messages.collect();
        if messages.is_empty() || !self.sender.may_send_commands() {
            return;
        }
        let replies = call_pools(&self.node, messages).await;
        self.exchange_quotas(&replies).await;
    }

    /// Follows the demand in the pools' replies: writes what the pools hold of the quotas of teams, and sends the limits that
    /// changed, until nothing changes or a pool has not replied.
    pub(super) async fn exchange_quotas(&mut self, replies: &BTreeMap<SmolStr, RoundReply>) {
        self.quotas.record_replies(replies);
        let mut reached: Vec<_> = replies.keys().cloned().collect();
        for _ in 0..MAX_EXCHANGES {
            let Some(allocation) = &mut self.quotas.allocation else {
                return;
            };
            let changes = allocation.plan(local_ms());
            for changes in changes.into_parts(MAX_ROWS_PER_TRANSACTION) {
                if !self.write_quotas(&changes).await {
                    break;
                }
                log_changes(&changes);
                if let Some(allocation) = &mut self.quotas.allocation {
                    allocation.apply(changes);
                }
            }
            let Some(allocation) = &mut self.quotas.allocation else {
                return;
            };
            reached.retain(|pool| allocation.is_outdated(pool));
            let messages = reached.iter().filter_map(|pool| {
                let message = allocation.next_message(pool)?;
                Some((pool.clone(), message))
            });
            let messages: Vec<_> = messages.collect();
            if messages.is_empty() || !self.sender.may_send_commands() {
                return;
            }
            let replies = call_pools(&self.node, messages).await;
            self.quotas.record_replies(&replies);
            reached.retain(|pool| replies.contains_key(pool));
        }
    }

    /// Writes the changed rows. Returns false when that failed: nothing is raised, and the next round tries again.
    async fn write_quotas(&mut self, changes: &RowChanges) -> bool {
        let key = |team: &SmolStr| RowKey::new(tables::QUOTA, FLEET_SHARD, team.clone());
        let mut transaction = Transaction::default();
        for (team, row) in &changes.writes {
            // Serialization of plain data does not fail.
            let value = serde_json::to_vec(row).unwrap_or_default();
            transaction = transaction.with_write(key(team), value);
        }
        transaction.removals = changes.removals.iter().map(key).collect();
        let mut sequence = self.sequence.lock().await;
        let written = sequence
            .commit(&self.node, transaction, |err| {
                self.refusals.record_failure(err)
            })
            .await;
        match &written {
            Ok(_) => self.refusals.record_success(),
            Err(err) => tracing::warn!(error = ?err, "failed to write the rows of quotas"),
        }
        written.is_ok()
    }
}

/// Sends limits to the owners of pools, and returns the replies that arrive in time.
async fn call_pools(
    node: &Arc<Node>,
    messages: Vec<(SmolStr, LimitMessage)>,
) -> BTreeMap<SmolStr, RoundReply> {
    let mut calls = JoinSet::new();
    for (pool, message) in messages {
        let node = node.clone();
        calls.spawn(async move {
            let request = RoundRequest {
                quotas: Some(message),
                ..RoundRequest::default()
            };
            let call = call_pool(&node, &pool, request);
            let reply = tokio::time::timeout(REPLY_WAIT, call).await;
            (pool, reply.ok().flatten())
        });
    }
    let mut replies = BTreeMap::new();
    while let Some(call) = calls.join_next().await {
        match call {
            Ok((pool, Some(reply))) => {
                replies.insert(pool, reply);
            }
            Ok((pool, None)) => {
                tracing::info!(pool = pool.as_str(), "no reply to the limits of teams");
            }
            Err(err) => tracing::error!(error = %err, "call with limits of teams panicked"),
        }
    }
    replies
}

/// The names of the pools that use quotas.
fn pool_names(document: &ConfigDocument) -> Vec<SmolStr> {
    let pools = document.pools.iter().filter(|pool| !pool.is_standby);
    pools.map(|pool| pool.name.clone()).collect()
}

/// Decodes the rows of teams. A row that can't be decoded is logged and left out: what pools hold of the quota is then
/// found out from all their owners.
fn decode_rows(rows: Vec<Row>) -> BTreeMap<SmolStr, TeamRow> {
    let rows = rows.into_iter().filter_map(|row| {
        let team = row.key.key;
        match serde_json::from_slice(row.value.as_deref()?) {
            Ok(row) => Some((team, row)),
            Err(err) => {
                tracing::error!(team = team.as_str(), error = %err, "failed to decode the row of a quota");
                None
            }
        }
    });
    rows.collect()
}

fn log_changes(changes: &RowChanges) {
    let named = changes.writes.iter().take(MAX_LOGGED_TEAMS);
    let named: Vec<_> = named
        .map(|(team, row)| {
            let held = row.held.iter();
            let held = held.map(|(pool, held)| format!("{pool} {}", held.cpu_milli));
            let held = held.collect::<Vec<_>>().join(", ");
            format!("{team}: {held} of {} mcpu", row.quota.cpu_milli)
        })
        .collect();
    let (written, removed) = (changes.writes.len(), changes.removals.len());
    tracing::info!(written, removed, teams = ?named, "split the quotas of teams anew");
}
