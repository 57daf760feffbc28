//! Records what the scheduler decides, one transaction after another, and then carries it out.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use scheduler::{Batch, RowChange, Scheduler};
use submission::{Job, JobId, JobRecord, JobSpec};
use users_platform::{KeyRange, Row, RowKey, Transaction};

use crate::clock::local_ms;
use crate::node::{STORE_TIMEOUT, tables};
use crate::pool::sequence::{Sequence, SequenceError};
use crate::pool::{PoolOwner, takeover};
use crate::rpc::SubmitReply;

/// The longest pause between two rounds. Leases lapse and steps come due between events.
const ROUND_PERIOD: Duration = Duration::from_millis(100);

/// An owner without news renews its lease by an empty transaction after this long.
const RENEWAL_MS: u64 = 1000;

/// The most jobs in a transaction. A new job takes two rows and a condition, of the 100 entries that a call may have.
const MOST_JOBS: usize = 32;

impl PoolOwner {
    /// Records and carries out until the ownership ends.
    pub(crate) async fn record(self: Arc<Self>, mut sequence: Sequence) {
        let mut renewed_at_ms = local_ms();
        while !self.is_over() {
            let batch = self.next_batch();
            let is_empty = batch.changes.is_empty() && batch.ends.is_empty();
            if is_empty && local_ms().saturating_sub(renewed_at_ms) < RENEWAL_MS {
                // The wait ends early when something has changed.
                let _ = tokio::time::timeout(ROUND_PERIOD, self.changed.notified()).await;
                continue;
            }
            if !batch.changes.is_empty() || is_empty {
                let Some(sent_at_ms) = self.write(&mut sequence, &batch).await else {
                    return;
                };
                renewed_at_ms = sent_at_ms;
                self.lease.lock().renew(sent_at_ms);
            }
            self.carry_out(batch);
        }
    }

    fn next_batch(&self) -> Batch {
        let now = self.node.clock.now();
        let mut scheduler = self.scheduler.lock();
        scheduler.tick(now);
        scheduler.plan(now);
        for note in scheduler.drain_events() {
            tracing::warn!(pool = self.pool.as_str(), note = ?note, "a worker is believed to be unfit");
        }
        scheduler.take_batch(MOST_JOBS)
    }

    /// Writes a batch's rows; `None` when the ownership has ended.
    async fn write(&self, sequence: &mut Sequence, batch: &Batch) -> Option<u64> {
        let start = std::time::Instant::now();
        let mut known = Vec::new();
        loop {
            let transaction = self.transaction(&batch.changes, &known);
            let on_failure = |err: &users_platform::Error| self.note_store_failure(err);
            let committed = sequence.commit(&self.node, transaction, on_failure).await;
            self.note_store_success();
            match committed {
                Ok(sent_at_ms) => {
                    self.node
                        .metrics
                        .commit_duration_s
                        .observe(start.elapsed().as_secs_f64());
                    self.node
                        .metrics
                        .commits
                        .with_label_values(&["written"])
                        .inc();
                    for id in known {
                        self.load_again(id).await;
                    }
                    return Some(sent_at_ms);
                }
                Err(SequenceError::Conflict(rows)) => {
                    self.node
                        .metrics
                        .commits
                        .with_label_values(&["conflict"])
                        .inc();
                    let before = known.len();
                    known.extend(existing_jobs(&rows));
                    if known.len() == before {
                        tracing::error!(
                            pool = self.pool.as_str(),
                            "a conflict names no row of the transaction"
                        );
                        self.end();
                        return None;
                    }
                }
                Err(SequenceError::Deposed) => {
                    self.node
                        .metrics
                        .commits
                        .with_label_values(&["deposed"])
                        .inc();
                    tracing::warn!(
                        pool = self.pool.as_str(),
                        term = self.term,
                        "another daemon has taken the pool over"
                    );
                    self.end();
                    return None;
                }
            }
        }
    }

    fn note_store_failure(&self, err: &users_platform::Error) {
        if err.is_without_effect() {
            // Kept from the first one on.
            let _ = self.refused_since_ms.compare_exchange(
                0,
                local_ms(),
                Ordering::Relaxed,
                Ordering::Relaxed,
            );
        }
        let before = self.failing_since_ms.compare_exchange(
            0,
            local_ms(),
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        if before.is_ok() {
            tracing::warn!(pool = self.pool.as_str(), error = %err, "the store fails transactions");
        }
    }

    fn note_store_success(&self) {
        self.refused_since_ms.store(0, Ordering::Relaxed);
        let since_ms = self.failing_since_ms.swap(0, Ordering::Relaxed);
        if since_ms > 0 {
            let lost_ms = local_ms().saturating_sub(since_ms);
            tracing::info!(
                pool = self.pool.as_str(),
                lost_ms,
                "the store takes transactions again"
            );
        }
    }

    /// The rows of changed jobs, but for new jobs that turned out to be known.
    fn transaction(&self, changes: &[RowChange], known: &[JobId]) -> Transaction {
        let scheduler = self.scheduler.lock();
        let mut transaction = Transaction::default();
        for change in changes.iter().filter(|change| !known.contains(&change.job)) {
            let key = |table| RowKey::new(table, self.pool.clone(), change.job.to_string());
            let job = scheduler.job(change.job).filter(|_| !change.is_removal);
            let Some(job) = job else {
                transaction.removals.push(key(tables::JOB));
                transaction.removals.push(key(tables::PROGRESS));
                continue;
            };
            if change.is_new {
                transaction = transaction
                    .with_condition(key(tables::JOB), 0)
                    .with_write(key(tables::JOB), job_row(job));
            }
            // Plain data, which can always be written.
            let progress = serde_json::to_vec(&job.record()).unwrap_or_default();
            transaction = transaction.with_write(key(tables::PROGRESS), progress);
        }
        transaction
    }

    /// A job that was handed in as new has rows already: they hold, and what was planned for it does not.
    async fn load_again(&self, id: JobId) {
        let key = id.to_string();
        let mut rows = Vec::new();
        for table in [tables::JOB, tables::PROGRESS] {
            let until = format!("{key}~");
            let range = KeyRange {
                table,
                part: &self.pool,
                from: &key,
                until: &until,
            };
            match self.node.store.read(range, 1, STORE_TIMEOUT).await {
                Ok(page) => rows.extend(page.rows),
                Err(err) => {
                    tracing::warn!(job = key, error = %err, "the rows of a known job can't be read");
                    self.scheduler.lock().remove_job(id, self.node.clock.now());
                    return;
                }
            }
        }
        let now = self.node.clock.now();
        let mut scheduler = self.scheduler.lock();
        scheduler.remove_job(id, now);
        for job in takeover::jobs_of(rows) {
            scheduler.adopt_job(job, now);
        }
    }

    /// The rows are written: tells callers, sends the orders, and lets workers forget ends.
    fn carry_out(self: &Arc<Self>, batch: Batch) {
        let urgent = {
            let mut scheduler = self.scheduler.lock();
            scheduler.apply_commit(&batch);
            scheduler.take_immediate_commands()
        };
        let mut waiters = self.waiters.lock();
        for change in &batch.changes {
            for waiter in waiters.remove(&change.job).unwrap_or_default() {
                // A caller that has gone away needs no answer.
                let _ = waiter.send(SubmitReply::Accepted);
            }
        }
        drop(waiters);
        self.wake_holds(batch.ends.iter().map(|(key, _)| *key));
        for action in batch.commands.into_iter().chain(urgent) {
            self.send_order(action);
        }
    }
}

/// The row of a job's spec.
pub(crate) fn job_row(job: &Job) -> Vec<u8> {
    let row = JobRow {
        queue: job.queue.clone(),
        accepted_at_ms: job.accepted_at_ms,
        spec: JobSpec::clone(job.spec()),
    };
    // Plain data, which can always be written.
    serde_json::to_vec(&row).unwrap_or_default()
}

/// The row `job`, which never changes.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub(crate) struct JobRow {
    pub(crate) queue: smol_str::SmolStr,
    pub(crate) accepted_at_ms: u64,
    pub(crate) spec: JobSpec,
}

/// The progress of a job whose row has been read.
pub(crate) fn read_progress(value: &[u8]) -> Option<JobRecord> {
    serde_json::from_slice(value).ok()
}

fn existing_jobs(rows: &[Row]) -> Vec<JobId> {
    let jobs = rows
        .iter()
        .filter(|row| row.key.table == tables::JOB && row.version > 0);
    jobs.filter_map(|row| JobId::parse(&row.key.key)).collect()
}

/// What a scheduler knows of a job, for the log.
pub(crate) fn task_name(scheduler: &Scheduler, task: submission::TaskKey) -> smol_str::SmolStr {
    let job = scheduler.job(task.job);
    job.map(|job| job.task_name(task.index)).unwrap_or_default()
}
