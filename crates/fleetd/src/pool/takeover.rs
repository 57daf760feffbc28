//! Becoming the holder of a unit, and reading what the holder before left.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ownership::{Lease, OwnerRow};
use scheduler::{Limits, Scheduler};
use smol_str::SmolStr;
use submission::{Job, JobId, JobRecord};
use users_platform::{CommitOutcome, Error, KeyRange, Row, RowKey, Transaction};

use crate::clock::local_ms;
use crate::config::queue_rules;
use crate::node::{Node, SINGLETON_KEY, STORE_TIMEOUT, tables};
use crate::pool::recorder::{JobRow, read_progress};
use crate::pool::sequence::{Sequence, SequenceRow};
use crate::pool::{OWNER_GRACE_MS, PoolOwner};

/// How long leases last. Longer than the pause between two holds and two lost ones, and short, because a task on a
/// worker that fell silent starts again only when it has lapsed.
const LEASE_MS: u64 = 5000;

/// By how much workers' clocks may be slow, by the platform's description, and half a percent for rounding.
const SLOW_CLOCK_PERCENT: u64 = 3;

/// The pause after a failed read of a pool's rows.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// The most rows that a read returns.
const PAGE_ROWS: u32 = 500;

/// A unit that was taken over.
pub(crate) struct Taken {
    pub(crate) term: u64,
    pub(crate) sequence: Sequence,
    pub(crate) sent_at_ms: u64,
    /// The holder before.
    pub(crate) before: Option<OwnerRow>,
}

/// Takes a unit whose holder is gone, or hands it over. `None` when another daemon was faster, or the holder is there.
pub(crate) async fn take_over(
    node: &Node,
    unit: &SmolStr,
    is_handed_over: bool,
) -> Result<Option<Taken>, Error> {
    let owner_key = RowKey::new(tables::OWNER, unit.clone(), SINGLETON_KEY);
    let range = KeyRange {
        table: tables::OWNER,
        part: unit,
        from: "",
        until: "",
    };
    let page = node.store.read(range, 1, STORE_TIMEOUT).await?;
    node.clock.record_store_time(page.store_ms);
    let before = page.rows.first();
    let version = before.map_or(0, |row| row.version);
    let before = before.and_then(|row| row.value.as_deref());
    let before: Option<OwnerRow> = before.and_then(|value| serde_json::from_slice(value).ok());
    if let Some(owner) = &before {
        let is_other = owner.incarnation != node.incarnation;
        let is_serving = node
            .peers
            .lock()
            .is_serving(&owner.daemon, &owner.incarnation);
        let is_free =
            is_handed_over || owner.is_released || node.is_owner_unannounced(unit, version);
        if is_other && !is_free && is_serving {
            return Ok(None);
        }
    }
    let term = before.as_ref().map_or(0, |owner| owner.term) + 1;
    let owner = OwnerRow {
        daemon: node.settings.daemon.clone(),
        incarnation: node.incarnation.clone(),
        term,
        is_released: false,
        last_command_at_ms: 0,
    };
    let sequence_key = RowKey::new(tables::SEQUENCE, unit.clone(), SINGLETON_KEY);
    let first = SequenceRow { term, number: 0 };
    // Plain data, which can always be written.
    let transaction = Transaction::default()
        .with_condition(owner_key.clone(), version)
        .with_write(owner_key, serde_json::to_vec(&owner).unwrap_or_default())
        .with_write(sequence_key, serde_json::to_vec(&first).unwrap_or_default());
    let sent_at_ms = local_ms();
    match node.store.commit(&transaction, STORE_TIMEOUT).await? {
        CommitOutcome::Conflict { .. } => Ok(None),
        CommitOutcome::Committed { version } => {
            node.metrics.takeovers.inc();
            let from = before.as_ref().map_or("", |owner| owner.daemon.as_str());
            tracing::info!(
                unit = unit.as_str(),
                term,
                from,
                version,
                "took a unit over"
            );
            Ok(Some(Taken {
                term,
                sequence: Sequence::new(unit.clone(), term, version),
                sent_at_ms,
                before,
            }))
        }
    }
}

/// Takes a pool over and starts to decide for it.
pub(crate) async fn take_pool(
    node: &Arc<Node>,
    pool: &SmolStr,
    is_handed_over: bool,
) -> Result<bool, Error> {
    let Some(taken) = take_over(node, pool, is_handed_over).await? else {
        return Ok(false);
    };
    node.set_owned_term(pool, Some(taken.term));
    tokio::spawn(start(node.clone(), pool.clone(), taken));
    Ok(true)
}

/// Reads what the owner before left, however long it takes, and starts to decide.
async fn start(node: Arc<Node>, pool: SmolStr, taken: Taken) {
    let rows = loop {
        match read_jobs(&node, &pool).await {
            Ok(rows) => break rows,
            Err(err) => {
                tracing::warn!(pool = pool.as_str(), error = %err, "the rows of a pool can't be read yet");
                tokio::time::sleep(READ_PAUSE).await;
            }
        }
    };
    let bounds = node.settings.bounds;
    let mut scheduler = Scheduler::new(Limits {
        lease_ms: LEASE_MS.min(bounds.max_lease_ms),
        owner_grace_ms: OWNER_GRACE_MS,
        slow_clock_percent: SLOW_CLOCK_PERCENT,
        ended_job_retention_ms: bounds.ended_job_retention_s * 1000,
    });
    if let Some(document) = node.active_config.get() {
        scheduler.set_queue_rules(queue_rules(&document));
    }
    let now = node.clock.now();
    let jobs = jobs_of(rows);
    tracing::info!(
        pool = pool.as_str(),
        term = taken.term,
        jobs = jobs.len(),
        "adopts the pool's jobs"
    );
    for job in jobs {
        scheduler.adopt_job(job, now);
    }
    let lease = Lease::new(taken.sent_at_ms);
    let owner = PoolOwner::new(node.clone(), pool.clone(), taken.term, scheduler, lease);
    let owner = Arc::new(owner);
    node.pool_owners.lock().insert(pool, owner.clone());
    tokio::spawn(owner.clone().record(taken.sequence));
    tokio::spawn(owner.clone().hand_over_when_refused());
    tokio::spawn(owner.clone().ask_for_advice());
    tokio::spawn(owner.watch_registry());
}

async fn read_jobs(node: &Node, pool: &str) -> Result<Vec<Row>, Error> {
    let mut rows = read_all(node, tables::JOB, pool).await?;
    rows.extend(read_all(node, tables::PROGRESS, pool).await?);
    Ok(rows)
}

pub(crate) async fn read_all(node: &Node, table: &str, part: &str) -> Result<Vec<Row>, Error> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let from = rows.last().map(|row| format!("{}\u{1}", row.key.key));
        let range = KeyRange {
            table,
            part,
            from: from.as_deref().unwrap_or_default(),
            until: "",
        };
        let page = node.store.read(range, PAGE_ROWS, STORE_TIMEOUT).await?;
        node.clock.record_store_time(page.store_ms);
        rows.extend(page.rows);
        if !page.has_more {
            return Ok(rows);
        }
    }
}

/// The jobs whose rows are among those read. Rows that can't be read are passed over, with a line in the log.
pub(crate) fn jobs_of(rows: Vec<Row>) -> Vec<Job> {
    let mut specs = Vec::new();
    let mut progress: HashMap<JobId, JobRecord> = HashMap::new();
    for row in rows {
        let id = JobId::parse(&row.key.key);
        let value = row.value.as_deref().unwrap_or_default();
        let is_spec = row.key.table == tables::JOB;
        let spec = serde_json::from_slice::<JobRow>(value)
            .ok()
            .filter(|_| is_spec);
        match (id, spec, read_progress(value)) {
            (Some(id), Some(spec), _) if spec.spec.validate().is_ok() => specs.push((id, spec)),
            (Some(id), _, Some(record)) if !is_spec => {
                progress.insert(id, record);
            }
            _ => {
                let (table, key) = (row.key.table.as_str(), row.key.key.as_str());
                tracing::warn!(table, key, "a row can't be read and is passed over");
            }
        }
    }
    let job = |(id, row): (JobId, JobRow)| {
        let job = Job::new(id, row.queue, Arc::new(row.spec), row.accepted_at_ms);
        job.with_record(progress.remove(&id).unwrap_or_default())
    };
    specs.into_iter().map(job).collect()
}
