//! Records the scheduler's decisions, one transaction after another, and then executes them.

use std::collections::{HashMap, HashSet};
use std::ops::ControlFlow;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use scheduler::{Batch, RoundSummary, RowChange, Scheduler, SchedulerEvent};
use submission::{Job, JobId, JobRecord, JobSpec, QueueRules};
use users_platform::{KeyRange, MAX_ROW_BYTES, Row, RowKey, Transaction};

use crate::clock::local_ms;
use crate::node::{STORE_TIMEOUT, tables};
use crate::pool::sequence::{Sequence, SequenceError};
use crate::pool::{PoolOwner, takeover};
use crate::rpc::{SubmitReply, SubmitRequest};

/// The longest delay between two rounds. Leases expire and steps become due also without an event.
const MAX_ROUND_DELAY: Duration = Duration::from_millis(100);

/// The time after which an owner that has nothing to record renews its lease by an empty transaction, in ms.
const IDLE_RENEWAL_MS: u64 = 1000;

/// The retry delay after a failed read of the rows of a job.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The maximum number of entries for jobs in a transaction. The store accepts 100 entries in a call, and the sequence
/// row takes two.
const MAX_ENTRIES_PER_TRANSACTION: usize = 98;

/// The number of new jobs that fit into a transaction if each has an intake condition of its own: three entries for its rows,
/// and the condition.
const MAX_INTAKES_PER_TRANSACTION: usize = MAX_ENTRIES_PER_TRANSACTION / 4;

impl PoolOwner {
    /// Records and executes the scheduler's decisions until the ownership ends.
    pub(crate) async fn record(self: Arc<Self>, mut sequence: Sequence) {
        let mut renewed_at_ms = local_ms();
        while !self.has_ended() {
            let mut batch = self.next_batch();
            let is_empty = batch.changes.is_empty() && batch.ends.is_empty();
            if is_empty && local_ms().saturating_sub(renewed_at_ms) < IDLE_RENEWAL_MS {
                // The wait ends early when the scheduler may have new decisions.
                let _ = tokio::time::timeout(MAX_ROUND_DELAY, self.recorder_waker.notified()).await;
                continue;
            }
            if !batch.changes.is_empty() || is_empty {
                let Some(sent_at_ms) = self.write(&mut sequence, &mut batch).await else {
                    return;
                };
                renewed_at_ms = sent_at_ms;
                self.lease.lock().renew(sent_at_ms);
            }
            self.execute_batch(batch);
        }
    }

    /// Lets the scheduler plan, logs its events and returns the decisions to record.
    fn next_batch(&self) -> Batch {
        let now = self.node.clock.now();
        let mut scheduler = self.scheduler.lock();
        scheduler.tick(now);
        if self.apply_teams(&mut scheduler) {
            scheduler.plan(now);
            self.count_round(scheduler.last_round());
        }
        for event in scheduler.drain_events() {
            match &event {
                SchedulerEvent::Crashed { .. } => self.node.metrics.worker_crashes.inc(),
                SchedulerEvent::GivenUp { .. } => self.node.metrics.tasks_given_up.inc(),
                SchedulerEvent::Held { .. } => self.node.metrics.tasks_held.inc(),
                SchedulerEvent::OverloadBegan { .. } => self.node.metrics.overloads.inc(),
                _ => {}
            }
            tracing::warn!(pool = self.pool.as_str(), note = ?event, "{}", event.message());
        }
        let intakes = self.submissions.lock().intake_count();
        let entries = MAX_ENTRIES_PER_TRANSACTION - intakes.min(MAX_INTAKES_PER_TRANSACTION);
        scheduler.take_batch(entries)
    }

    fn count_round(&self, round: RoundSummary) {
        let outcome = if round.is_complete() {
            "complete"
        } else {
            "incomplete"
        };
        let metrics = &self.node.metrics;
        metrics.placement_rounds.with_label_values(&[outcome]).inc();
        let failed_lookups = u64::try_from(round.failed_lookups).unwrap_or(u64::MAX);
        metrics.failed_lookups.inc_by(failed_lookups);
    }

    /// Writes the rows of a batch and returns the local time in ms at which the transaction was sent; `None` when the
    /// ownership ended, because another daemon took over the pool or a conflict could not be resolved. New jobs that
    /// have rows already are left out and loaded from their rows instead. New jobs that the store has rejected for too
    /// long, or whose intake condition does not hold, are removed from the batch and refused.
    async fn write(&self, sequence: &mut Sequence, batch: &mut Batch) -> Option<u64> {
        let start = std::time::Instant::now();
        let mut existing = Vec::new();
        loop {
            {
                let mut submissions = self.submissions.lock();
                if self.has_ended() {
                    return None;
                }
                submissions.begin_transaction(batch.new_jobs());
            }
            let transaction = self.transaction(&batch.changes, &existing);
            let on_failure = |err: &users_platform::Error| {
                self.record_store_failure(err);
                if self.is_store_unavailable() {
                    ControlFlow::Break(())
                } else {
                    ControlFlow::Continue(())
                }
            };
            let committed = sequence.commit(&self.node, transaction, on_failure).await;
            if !matches!(committed, Err(SequenceError::GivenUp)) {
                self.record_store_success();
            }
            match committed {
                Ok(sent_at_ms) => {
                    {
                        let mut submissions = self.submissions.lock();
                        submissions.end_transaction();
                        let recorded = batch.new_jobs().filter(|job| !existing.contains(job));
                        recorded.for_each(|job| submissions.confirm_intake(job));
                    }
                    self.node
                        .metrics
                        .commit_duration_s
                        .observe(start.elapsed().as_secs_f64());
                    self.node
                        .metrics
                        .commits
                        .with_label_values(&["written"])
                        .inc();
                    batch.remove_jobs(&existing);
                    for id in existing {
                        {
                            let mut submissions = self.submissions.lock();
                            submissions.respond(id, SubmitReply::Accepted);
                        }
                        self.reload_job(id).await;
                    }
                    return Some(sent_at_ms);
                }
                Err(SequenceError::Conflict(rows)) => {
                    self.node
                        .metrics
                        .commits
                        .with_label_values(&["conflict"])
                        .inc();
                    let previous_count = existing.len();
                    existing.extend(existing_jobs(&rows));
                    let reassigned = self.reassigned_jobs(batch, &existing, &rows);
                    if existing.len() == previous_count && reassigned.is_empty() {
                        tracing::error!(
                            pool = self.pool.as_str(),
                            "commit conflict names no existing job: ending the ownership of the pool"
                        );
                        self.end();
                        return None;
                    }
                    batch.remove_jobs(&reassigned);
                    self.return_reassigned(reassigned);
                }
                Err(SequenceError::GivenUp) => {
                    let new_jobs = batch.new_jobs().filter(|job| !existing.contains(job));
                    let new_jobs: Vec<_> = new_jobs.collect();
                    batch.remove_jobs(&new_jobs);
                    self.refuse_submissions(new_jobs);
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
                        "another daemon took over the pool"
                    );
                    self.end();
                    return None;
                }
            }
        }
    }

    /// Returns the new jobs of a batch, other than `existing` ones, whose intake condition does not hold by the rows of a conflict.
    fn reassigned_jobs(&self, batch: &Batch, existing: &[JobId], rows: &[Row]) -> Vec<JobId> {
        let versions: HashMap<_, _> = rows
            .iter()
            .filter(|row| row.key.table == tables::ASSIGNMENT)
            .map(|row| (&row.key.key, row.version))
            .collect();
        let mut submissions = self.submissions.lock();
        for (key, version) in &versions {
            submissions.check_intake(key, *version);
        }
        let is_reassigned = |job: &JobId| {
            let intake = submissions.intake(*job);
            intake.is_some_and(|intake| {
                let version = versions.get(&intake.key);
                version.is_some_and(|version| *version != intake.version)
            })
        };
        let new_jobs = batch.new_jobs().filter(|job| !existing.contains(job));
        new_jobs.filter(is_reassigned).collect()
    }

    /// Returns the submissions of new jobs, which must be in no transaction, to the daemons that sent them: their queues were
    /// assigned anew.
    fn return_reassigned(&self, jobs: Vec<JobId>) {
        let returned = self.withdraw_submissions(jobs, SubmitReply::Reassigned);
        if returned > 0 {
            tracing::info!(
                pool = self.pool.as_str(),
                returned,
                "returned submissions whose queue was assigned anew"
            );
        }
    }

    fn record_store_failure(&self, err: &users_platform::Error) {
        if err.is_without_effect() {
            // Keeps the time of the first failure.
            let _ = self.refused_since_ms.compare_exchange(
                0,
                local_ms(),
                Ordering::Relaxed,
                Ordering::Relaxed,
            );
        }
        let first_failure = self.failing_since_ms.compare_exchange(
            0,
            local_ms(),
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        if first_failure.is_ok() {
            let waiting = self.submissions.lock().len();
            tracing::warn!(pool = self.pool.as_str(), error = %err, waiting, "the store started to fail transactions");
        }
    }

    fn record_store_success(&self) {
        self.refused_since_ms.store(0, Ordering::Relaxed);
        let since_ms = self.failing_since_ms.swap(0, Ordering::Relaxed);
        if since_ms > 0 {
            let outage_ms = local_ms().saturating_sub(since_ms);
            let waiting = self.submissions.lock().len();
            tracing::info!(
                pool = self.pool.as_str(),
                lost_ms = outage_ms,
                waiting,
                "the store commits transactions again"
            );
        }
    }

    /// Builds the transaction that writes the rows of changed jobs. The jobs in `existing` are left out: new jobs that
    /// turned out to have rows already.
    fn transaction(&self, changes: &[RowChange], existing: &[JobId]) -> Transaction {
        let scheduler = self.scheduler.lock();
        let submissions = self.submissions.lock();
        let mut intakes = HashSet::new();
        let mut transaction = Transaction::default();
        for change in changes
            .iter()
            .filter(|change| !existing.contains(&change.job))
        {
            let key = |table| RowKey::new(table, self.pool.clone(), change.job.to_string());
            let job = scheduler.job(change.job).filter(|_| change.state.is_some());
            let Some(job) = job else {
                transaction.removals.push(key(tables::JOB));
                transaction.removals.push(key(tables::PROGRESS));
                continue;
            };
            if change.is_new {
                if let Some(intake) = submissions.intake(change.job)
                    && intakes.insert(intake)
                {
                    let key =
                        RowKey::new(tables::ASSIGNMENT, self.pool.clone(), intake.key.clone());
                    transaction = transaction.with_condition(key, intake.version);
                }
                transaction = transaction
                    .with_condition(key(tables::JOB), 0)
                    .with_write(key(tables::JOB), encode_job_row(job));
            }
            // Serialization of plain data does not fail.
            let progress = serde_json::to_vec(&job.record()).unwrap_or_default();
            transaction = transaction.with_write(key(tables::PROGRESS), progress);
        }
        transaction
    }

    /// Replaces a job that was submitted as new, but has rows in the store already, by the job that the rows describe:
    /// the rows are valid, and the plan for the new job is not. Reads the rows with as many tries as it takes, until the
    /// ownership ends: the job would not run before the next takeover otherwise.
    async fn reload_job(&self, id: JobId) {
        self.scheduler.lock().remove_job(id, self.node.clock.now());
        while !self.has_ended() {
            match self.read_job_rows(id).await {
                Ok(rows) => {
                    self.record_store_success();
                    let now = self.node.clock.now();
                    let mut scheduler = self.scheduler.lock();
                    // The job may have been submitted again meanwhile.
                    scheduler.remove_job(id, now);
                    for job in takeover::decode_jobs(rows) {
                        scheduler.adopt_job(job, now);
                    }
                    return;
                }
                Err(err) => {
                    self.record_store_failure(&err);
                    tracing::warn!(job = %id, error = %err, "failed to read the rows of an existing job; retrying");
                    tokio::time::sleep(READ_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn read_job_rows(&self, id: JobId) -> Result<Vec<Row>, users_platform::Error> {
        let key = id.to_string();
        let until = format!("{key}~");
        let mut rows = Vec::new();
        for table in [tables::JOB, tables::PROGRESS] {
            let range = KeyRange {
                table,
                part: &self.pool,
                from: &key,
                until: &until,
            };
            rows.extend(self.node.store.read(range, 1, STORE_TIMEOUT).await?.rows);
        }
        Ok(rows)
    }

    /// Executes a batch whose rows are written: responds to callers, sends the commands, and wakes the lease renewals
    /// that acknowledge recorded outcomes to workers.
    fn execute_batch(self: &Arc<Self>, batch: Batch) {
        let immediate_commands = {
            let mut scheduler = self.scheduler.lock();
            scheduler.apply_commit(&batch);
            scheduler.take_immediate_commands()
        };
        let mut submissions = self.submissions.lock();
        for change in &batch.changes {
            submissions.respond(change.job, SubmitReply::Accepted);
        }
        drop(submissions);
        self.wake_lease_renewals(batch.ends.iter().map(|ends| ends.worker));
        for command in batch.commands.into_iter().chain(immediate_commands) {
            self.send_command(command);
        }
    }
}

/// Encodes the row of a job in the table [`tables::JOB`].
pub(crate) fn encode_job_row(job: &Job) -> Vec<u8> {
    let row = JobRow {
        queue: job.queue.clone(),
        assignment_key: job.assignment_key.clone(),
        team: job.team.clone(),
        accepted_at_ms: job.accepted_at_ms,
        rules: job.accepted_rules().copied(),
        spec: JobSpec::clone(job.spec()),
    };
    // Serialization of plain data does not fail.
    serde_json::to_vec(&row).unwrap_or_default()
}

/// Whether the row of a submitted job fits into the store.
pub(crate) fn fits_row(request: &SubmitRequest) -> bool {
    let row = JobRow {
        queue: request.queue.clone(),
        assignment_key: request.assignment_key(),
        team: request.team.clone(),
        accepted_at_ms: u64::MAX,
        rules: request.rules,
        spec: request.spec.clone(),
    };
    serde_json::to_vec(&row).is_ok_and(|row| row.len() <= MAX_ROW_BYTES)
}

/// A row of the table [`tables::JOB`]: a job as accepted. The row never changes.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub(crate) struct JobRow {
    pub(crate) queue: smol_str::SmolStr,
    /// The key of the queue's assignment; empty in rows of earlier builds.
    #[serde(
        rename = "key",
        default,
        skip_serializing_if = "smol_str::SmolStr::is_empty"
    )]
    pub(crate) assignment_key: smol_str::SmolStr,
    /// The team that submitted the job; empty for none, and in rows of earlier builds.
    #[serde(default, skip_serializing_if = "smol_str::SmolStr::is_empty")]
    pub(crate) team: smol_str::SmolStr,
    /// The time at which the owner accepted the job, on the store's clock in ms.
    pub(crate) accepted_at_ms: u64,
    /// The rules of the queue under which the job was accepted; `None` in rows of earlier builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) rules: Option<QueueRules>,
    pub(crate) spec: JobSpec,
}

/// Decodes a row of the table [`tables::PROGRESS`]; `None` if the value is invalid.
pub(crate) fn decode_progress(value: &[u8]) -> Option<JobRecord> {
    serde_json::from_slice(value).ok()
}

/// Returns the jobs whose rows in the table [`tables::JOB`] exist, among the rows of a conflict.
fn existing_jobs(rows: &[Row]) -> Vec<JobId> {
    let jobs = rows
        .iter()
        .filter(|row| row.key.table == tables::JOB && row.version > 0);
    jobs.filter_map(|row| JobId::parse(&row.key.key)).collect()
}

/// Returns the name of a task for commands and the log; empty if the scheduler does not know the job.
pub(crate) fn task_name(scheduler: &Scheduler, task: submission::TaskKey) -> smol_str::SmolStr {
    let job = scheduler.job(task.job);
    job.map(|job| job.task_name(task.index)).unwrap_or_default()
}
