//! Applies changes of the worker registry and of the active configuration to a pool's scheduler.

use std::sync::Arc;
use std::time::Duration;

use scheduler::WorkerInfo;
use smol_str::SmolStr;
use users_platform::{Row, WORKER_TABLE, WorkerState, decode_worker};

use crate::clock::local_ms;
use crate::config::queue_rules;
use crate::node::STORE_TIMEOUT;
use crate::pool::{PoolOwner, takeover};

/// How often the worker registry is read. The capacity of a moved VM is unused until its new worker is read.
const READ_PERIOD: Duration = Duration::from_millis(150);

impl PoolOwner {
    /// Keeps the scheduler's workers in line with the registry until the ownership ends. Reads the whole registry
    /// first, then the changes; reads the whole registry again when the store has compacted the history of changes.
    pub(crate) async fn watch_registry(self: Arc<Self>) {
        let mut entries: Vec<(SmolStr, WorkerInfo)> = Vec::new();
        let mut version = None;
        // A read of the whole registry that failed, to be continued: each read from the start could fail on a narrow link.
        let mut partial_read: Option<takeover::RowReader<'_>> = None;
        while !self.has_ended() {
            let is_first_read = version.is_none();
            let read = match version {
                None => {
                    let reader = partial_read.take();
                    let mut reader = reader
                        .unwrap_or_else(|| takeover::RowReader::new(&self.node, WORKER_TABLE, ""));
                    match reader.read_rest().await {
                        Ok(()) => {
                            entries.clear();
                            Ok(reader.into_rows_to_follow())
                        }
                        Err(err) => {
                            partial_read = Some(reader);
                            Err(err)
                        }
                    }
                }
                Some(after) => {
                    let sent_at_ms = local_ms();
                    let feed =
                        self.node
                            .store
                            .feed(WORKER_TABLE, after, Duration::ZERO, STORE_TIMEOUT);
                    feed.await.map(|feed| {
                        self.node.clock.record_store_time(feed.store_ms, sent_at_ms);
                        (feed.rows, feed.version)
                    })
                }
            };
            match read {
                Ok((rows, read_version)) => {
                    version = Some(read_version);
                    for row in rows {
                        self.apply_entry(&mut entries, &row);
                    }
                    if is_first_read {
                        // Workers may have left since their page was read.
                        continue;
                    }
                    self.set_workers(&entries);
                }
                Err(users_platform::Error::HistoryCompacted) => {
                    version = None;
                    self.set_workers_unless_empty(&entries);
                }
                Err(err) => {
                    // The leases of known workers are renewed whether or not the store responds.
                    self.set_workers_unless_empty(&entries);
                    self.node.metrics.store_failures.inc();
                    tracing::debug!(pool = self.pool.as_str(), error = %err, "failed to read the worker registry");
                }
            }
            tokio::time::sleep(READ_PERIOD).await;
        }
    }

    /// Applies a changed row: drops the previous entry, and adds the worker if it is in this pool.
    fn apply_entry(&self, entries: &mut Vec<(SmolStr, WorkerInfo)>, row: &Row) {
        let id = &row.key.key;
        entries.retain(|(other, _)| other != id);
        if row.is_removed {
            return;
        }
        let value = row.value.as_deref().unwrap_or_default();
        match decode_worker(id, value) {
            Ok(entry) if entry.pool == self.pool => {
                let info = WorkerInfo {
                    id: entry.id,
                    start_unix_ms: entry.start_unix_ms,
                    addr: entry.addr,
                    labels: entry.labels,
                    capacity: entry.capacity,
                    is_shutting_down: entry.state == WorkerState::ShuttingDown,
                };
                entries.push((id.clone(), info));
            }
            Ok(_) => {}
            Err(err) => {
                tracing::warn!(entry = id.as_str(), error = %err, "failed to decode an entry of the worker registry");
            }
        }
    }

    fn set_workers_unless_empty(self: &Arc<Self>, entries: &[(SmolStr, WorkerInfo)]) {
        if !entries.is_empty() {
            self.set_workers(entries);
        }
    }

    /// Gives the scheduler the workers and the queue rules, and starts the lease renewal of new workers.
    fn set_workers(self: &Arc<Self>, entries: &[(SmolStr, WorkerInfo)]) {
        let infos = entries.iter().map(|(_, info)| info.clone()).collect();
        let (keys, to_poll) = {
            let mut scheduler = self.scheduler.lock();
            let to_poll = scheduler.set_workers(infos, self.node.clock.now());
            if let Some(document) = self.node.active_config.get() {
                scheduler.set_queue_rules(queue_rules(&document));
            }
            (scheduler.worker_keys(), to_poll)
        };
        self.start_lease_renewals(&keys);
        self.wake_lease_renewals(to_poll.into_iter());
    }
}
