//! Takes over the ownership of shards, and loads the rows of a pool that was taken over.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use ownership::{Lease, OwnerEvidence, OwnerRow};
use scheduler::{Limits, OverloadRules, Scheduler};
use smol_str::SmolStr;
use submission::{Job, JobId, JobRecord};
use transfer::PageSize;
use users_platform::{CommitOutcome, Error, KeyRange, Row, RowKey, Transaction};

use crate::clock::local_ms;
use crate::config::queue_rules;
use crate::node::{Node, SINGLETON_KEY, STORE_TIMEOUT, tables};
use crate::pool::recorder::{JobRow, decode_progress};
use crate::pool::sequence::{Sequence, SequenceRow};
use crate::pool::{OWNER_GRACE_MS, PoolOwner};
use crate::settings::DEFAULT_STOP_MS;

/// The duration of a lease on a worker's attempts, in ms. The lease outlasts the delay between two renewals and two
/// lost renewals. The lease is short because a task on an unresponsive worker starts elsewhere only after the lease has
/// expired.
const LEASE_MS: u64 = 5000;

/// The percentage by which the clocks of workers may be slow, by the platform's description, plus half a percent for
/// rounding.
const SLOW_CLOCK_PERCENT: u64 = 3;

/// The retry delay after a failed read of a pool's rows.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The maximum number of rows that a read returns.
const MAX_PAGE_ROWS: u32 = 500;

/// A completed takeover of a shard by this daemon.
pub(crate) struct Takeover {
    /// The term that the takeover began.
    pub(crate) term: u64,
    /// The sequence of the new owner's transactions.
    pub(crate) sequence: Sequence,
    /// The local time at which the transaction of the takeover was sent, in ms. The lease on the shard starts then.
    pub(crate) sent_at_ms: u64,
    /// The row of the previous owner; `None` if the shard had no owner.
    pub(crate) previous_owner: Option<OwnerRow>,
    /// The store's version of the row of the previous owner; 0 if there was none.
    pub(crate) previous_version: u64,
}

/// Takes over a shard that has no owner, or whose owner is this process, is not serving, has released the shard, hands
/// the shard over (`handed_over_term` is the term of the daemon that does), or has not announced its ownership to the
/// peers in time. Returns `None` when another daemon was faster, when the owner still serves the shard, or when this daemon
/// owns the shard or is taking it over. Fails when the store does; the transaction may then have taken effect.
///
/// `last_command_at_ms` returns what the owner row records under this name, from the previous owner and the store's version of
/// its row.
pub(crate) async fn take_over_shard(
    node: &Node,
    shard: &SmolStr,
    handed_over_term: Option<u64>,
    last_command_at_ms: impl FnOnce(Option<&OwnerRow>, u64) -> u64,
) -> Result<Option<Takeover>, Error> {
    let Some(_takeover) = node.begin_takeover(shard) else {
        return Ok(None);
    };
    let owner_key = RowKey::new(tables::OWNER, shard.clone(), SINGLETON_KEY);
    let range = KeyRange {
        table: tables::OWNER,
        part: shard,
        from: "",
        until: "",
    };
    let read_at_ms = local_ms();
    let page = node.store.read(range, 1, STORE_TIMEOUT).await?;
    node.clock.record_store_time(page.store_ms, read_at_ms);
    let owner_row = page.rows.first();
    let version = owner_row.map_or(0, |row| row.version);
    let value = owner_row.and_then(|row| row.value.as_deref());
    let previous_owner = match value.map(serde_json::from_slice::<OwnerRow>) {
        None => None,
        Some(Ok(owner)) => Some(owner),
        Some(Err(err)) => {
            tracing::error!(unit = shard.as_str(), version, error = %err, "failed to decode the owner row of a shard");
            Some(OwnerRow::unreadable(highest_term(node, shard).await?))
        }
    };
    if let Some(owner) = &previous_owner {
        let peers = node.peers.lock();
        let may_be_serving = peers.may_be_serving(&owner.daemon, &owner.incarnation, version);
        let is_announced = peers.announces(shard, owner);
        drop(peers);
        let evidence = OwnerEvidence {
            is_self: owner.incarnation == node.incarnation,
            may_be_serving,
            is_unannounced: !is_announced && node.is_owner_unannounced(shard, version),
            handed_over_term,
        };
        if !owner.may_be_replaced(evidence) {
            return Ok(None);
        }
    }
    let term = previous_owner.as_ref().map_or(0, |owner| owner.term) + 1;
    let owner = OwnerRow {
        daemon: node.settings.daemon.clone(),
        incarnation: node.incarnation.clone(),
        term,
        is_released: false,
        last_command_at_ms: last_command_at_ms(previous_owner.as_ref(), version),
    };
    let sequence_key = RowKey::new(tables::SEQUENCE, shard.clone(), SINGLETON_KEY);
    let first = SequenceRow { term, number: 0 };
    // Serialization of plain data does not fail.
    let transaction = Transaction::default()
        .with_condition(owner_key.clone(), version)
        .with_write(owner_key, serde_json::to_vec(&owner).unwrap_or_default())
        .with_write(sequence_key, serde_json::to_vec(&first).unwrap_or_default());
    let sent_at_ms = local_ms();
    match node.store.commit(&transaction, STORE_TIMEOUT).await? {
        CommitOutcome::Conflict { .. } => Ok(None),
        CommitOutcome::Committed {
            version: committed_version,
        } => {
            node.begin_term(shard, term);
            node.metrics.takeovers.inc();
            let from = previous_owner
                .as_ref()
                .map_or("", |owner| owner.daemon.as_str());
            tracing::info!(
                unit = shard.as_str(),
                term,
                from,
                version = committed_version,
                "took over a shard"
            );
            Ok(Some(Takeover {
                term,
                sequence: Sequence::new(shard.clone(), term, committed_version),
                sent_at_ms,
                previous_owner,
                previous_version: version,
            }))
        }
    }
}

/// Returns the highest term of a shard by the shard's sequence row and the heartbeat rows; 0 when none is known.
async fn highest_term(node: &Node, shard: &SmolStr) -> Result<u64, Error> {
    let rows = read_all_rows(node, tables::SEQUENCE, shard).await?;
    let sequence_rows = rows.iter().filter_map(|row| row.value.as_deref());
    let terms = sequence_rows.filter_map(|value| {
        let row = serde_json::from_slice::<SequenceRow>(value);
        row.ok().map(|row| row.term)
    });
    let announced = node.peers.lock().shard_owner(shard);
    let announced = announced.map(|owner| owner.term);
    Ok(terms.chain(announced).max().unwrap_or(0))
}

/// Takes over a pool and starts its scheduler in the background. Returns false when the pool was not taken over; fails
/// when the store does. See [`take_over_shard`].
pub(crate) async fn take_over_pool(
    node: &Arc<Node>,
    pool: &SmolStr,
    handed_over_term: Option<u64>,
) -> Result<bool, Error> {
    let takeover = take_over_shard(node, pool, handed_over_term, |_, _| 0);
    let Some(takeover) = takeover.await? else {
        return Ok(false);
    };
    tokio::spawn(start_owner(node.clone(), pool.clone(), takeover));
    Ok(true)
}

/// Loads the jobs of a pool that was taken over, with as many tries as it takes, and starts the loops of the pool's
/// owner. Gives the pool up when another daemon has taken it over meanwhile.
async fn start_owner(node: Arc<Node>, pool: SmolStr, takeover: Takeover) {
    let Some(rows) = read_jobs(&node, &pool, takeover.term).await else {
        node.end_term(&pool, takeover.term);
        return;
    };
    let bounds = node.settings.bounds;
    let mut scheduler = Scheduler::new(Limits {
        lease_ms: LEASE_MS.min(bounds.max_lease_ms),
        max_lease_ms: bounds.max_lease_ms,
        owner_grace_ms: OWNER_GRACE_MS,
        slow_clock_percent: SLOW_CLOCK_PERCENT,
        ended_job_retention_ms: bounds.ended_job_retention_s * 1000,
        stop_ms: bounds.stop_ms.unwrap_or(DEFAULT_STOP_MS),
    })
    .with_overload_rules(OverloadRules {
        shed_least_cost: node.settings.overload.shed_least_cost,
    });
    if let Some(document) = node.active_config.get() {
        scheduler.set_queue_rules(queue_rules(&document));
    }
    let now = node.clock.now();
    let jobs = decode_jobs(rows);
    tracing::info!(
        pool = pool.as_str(),
        term = takeover.term,
        jobs = jobs.len(),
        "adopting the jobs of a pool"
    );
    for job in jobs {
        scheduler.adopt_job(job, now);
    }
    let lease = Lease::new(takeover.sent_at_ms);
    let owner = PoolOwner::new(node.clone(), pool.clone(), takeover.term, scheduler, lease);
    let owner = Arc::new(owner);
    node.pool_owners.lock().insert(pool, owner.clone());
    tokio::spawn(owner.clone().record(takeover.sequence));
    tokio::spawn(owner.clone().watch_store());
    tokio::spawn(owner.clone().watch_progress());
    tokio::spawn(owner.clone().request_policy_decisions());
    tokio::spawn(owner.watch_registry());
}

/// Reads the rows of a pool's jobs, with as many tries as it takes. Returns `None` when the term has ended: a peer lists
/// the pool with a later term.
async fn read_jobs(node: &Node, pool: &SmolStr, term: u64) -> Option<Vec<Row>> {
    let started_at_ms = local_ms();
    let mut rows = Vec::new();
    for table in [tables::PROGRESS, tables::JOB] {
        let mut reader = RowReader::new(node, table, pool);
        while !reader.is_complete {
            let owner = node.peers.lock().shard_owner(pool);
            if owner.is_some_and(|owner| owner.term > term) {
                tracing::warn!(
                    pool = pool.as_str(),
                    term,
                    "another daemon took over the pool while its rows were read"
                );
                return None;
            }
            if let Err(err) = reader.read_page().await {
                tracing::warn!(pool = pool.as_str(), table, rows = reader.rows.len(), page_rows = reader.page_size.rows(), error = %err, "failed to read the rows of a pool; retrying");
                tokio::time::sleep(READ_RETRY_DELAY).await;
            }
        }
        rows.extend(reader.rows);
    }
    let duration_ms = local_ms().saturating_sub(started_at_ms);
    tracing::info!(
        pool = pool.as_str(),
        term,
        rows = rows.len(),
        duration_ms,
        "read the rows of a pool"
    );
    Some(rows)
}

/// Reads all rows of a table in a part of the store, page by page. Fails when a read of a page fails.
pub(crate) async fn read_all_rows(node: &Node, table: &str, part: &str) -> Result<Vec<Row>, Error> {
    let mut reader = RowReader::new(node, table, part);
    reader.read_rest().await?;
    Ok(reader.rows)
}

/// A read of all rows of a table in a part of the store. After a failed page, the read goes on where it stopped.
pub(crate) struct RowReader<'a> {
    node: &'a Node,
    table: &'a str,
    part: &'a str,
    rows: Vec<Row>,
    /// The version of the store at the read of the first page.
    first_version: Option<u64>,
    page_size: PageSize,
    is_complete: bool,
}

impl<'a> RowReader<'a> {
    pub(crate) fn new(node: &'a Node, table: &'a str, part: &'a str) -> Self {
        Self {
            node,
            table,
            part,
            rows: Vec::new(),
            first_version: None,
            page_size: PageSize::new(MAX_PAGE_ROWS, node.settings.machine.link_mbps),
            is_complete: false,
        }
    }

    /// Reads the remaining pages. Fails when a read of a page fails, and can then be called again.
    pub(crate) async fn read_rest(&mut self) -> Result<(), Error> {
        while !self.is_complete {
            self.read_page().await?;
        }
        Ok(())
    }

    /// Returns the rows, and the version after which the changes of the table have to be read: that of the first page, as later
    /// pages don't show what has changed in the range of the earlier ones since.
    pub(crate) fn into_rows_to_follow(self) -> (Vec<Row>, u64) {
        (self.rows, self.first_version.unwrap_or(0))
    }

    /// Reads the next page. The size of the pages follows how long they take.
    async fn read_page(&mut self) -> Result<(), Error> {
        let from = self.rows.last().map(|row| format!("{}\u{1}", row.key.key));
        let range = KeyRange {
            table: self.table,
            part: self.part,
            from: from.as_deref().unwrap_or_default(),
            until: "",
        };
        let sent_at_ms = local_ms();
        let read = self
            .node
            .store
            .read(range, self.page_size.rows(), STORE_TIMEOUT);
        match read.await {
            Ok(page) => {
                let duration_ms = local_ms().saturating_sub(sent_at_ms);
                let rows = u32::try_from(page.rows.len()).unwrap_or(u32::MAX);
                self.page_size.record_page(rows, duration_ms);
                self.node.clock.record_store_time(page.store_ms, sent_at_ms);
                self.first_version.get_or_insert(page.version);
                self.rows.extend(page.rows);
                self.is_complete = !page.has_more;
                Ok(())
            }
            Err(err) => {
                if matches!(err, Error::ResponseLost { .. }) {
                    self.page_size.record_timeout();
                }
                Err(err)
            }
        }
    }
}

/// Decodes the jobs from rows of the tables [`tables::JOB`] and [`tables::PROGRESS`]. Rows that can't be decoded are
/// logged and skipped, and so are jobs whose progress is in such a row: their tasks may be done.
pub(crate) fn decode_jobs(rows: Vec<Row>) -> Vec<Job> {
    let mut specs = Vec::new();
    let mut progress: HashMap<JobId, JobRecord> = HashMap::new();
    let mut undecoded = HashSet::new();
    for row in rows {
        let id = JobId::parse(&row.key.key);
        let value = row.value.as_deref().unwrap_or_default();
        let is_spec = row.key.table == tables::JOB;
        let spec = serde_json::from_slice::<JobRow>(value)
            .ok()
            .filter(|_| is_spec);
        match (id, spec, decode_progress(value)) {
            (Some(id), Some(spec), _) if spec.spec.validate().is_ok() => specs.push((id, spec)),
            (Some(id), _, Some(record)) if !is_spec => {
                progress.insert(id, record);
            }
            _ => {
                let (table, key) = (row.key.table.as_str(), row.key.key.as_str());
                tracing::error!(table, key, "failed to decode a row; skipped the job");
                undecoded.extend(id);
            }
        }
    }
    let job = |(id, row): (JobId, JobRow)| {
        let job = Job::new(id, row.queue, Arc::new(row.spec), row.accepted_at_ms)
            .with_assignment_key(row.assignment_key)
            .with_team(row.team)
            .with_accepted_rules(row.rules);
        job.with_record(progress.remove(&id).unwrap_or_default())
    };
    let specs = specs.into_iter();
    specs
        .filter(|(id, _)| !undecoded.contains(id))
        .map(job)
        .collect()
}
