//! The promises, checked against what callers and workers saw.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use platform_stand_in::{AttemptRecord, CRASHED, ReportedState};

use crate::ledger::{JobKind, JobRecord, Ledger};

/// An accepted job may be unknown for so long: the platform's `visible` bound.
const VISIBLE: Duration = Duration::from_secs(3);

/// Tasks of a cancelled job may start for so long: the platform's bound on cancelling.
const CANCEL: Duration = Duration::from_secs(3);

/// A task may be given up after so many workers have crashed under it: the platform's bound.
const GIVEN_UP_FROM: usize = 2;

/// Every promise that was broken, in words.
#[must_use]
pub fn findings(ledger: &Ledger, runs: &[AttemptRecord]) -> Vec<String> {
    let mut by_job: BTreeMap<u64, Vec<&AttemptRecord>> = BTreeMap::new();
    let mut findings = Vec::new();
    for run in runs {
        match job_of(&run.task).filter(|job| ledger.jobs.contains_key(job)) {
            Some(job) => by_job.entry(job).or_default().push(run),
            None => findings.push(format!("{} was started, and nobody handed it in", run.task)),
        }
    }
    for (job, record) in &ledger.jobs {
        let runs = by_job.remove(job).unwrap_or_default();
        let found = check_job(record, &runs);
        findings.extend(
            found
                .into_iter()
                .map(|found| format!("job {job:016x}: {found}")),
        );
    }
    findings
}

/// How many jobs are shown as failed within the terms: a batch task was given up after workers had crashed under it.
#[must_use]
pub fn allowed_failures(ledger: &Ledger, runs: &[AttemptRecord]) -> usize {
    let jobs = ledger.jobs.iter();
    let allowed = jobs.filter(|(job, record)| {
        let runs = runs.iter().filter(|run| job_of(&run.task) == Some(**job));
        let runs: Vec<_> = runs.collect();
        let mut failed = record.seen.iter();
        failed.any(|seen| {
            seen.shown == ReportedState::Failed && may_have_failed(record, &runs, seen.answered)
        })
    });
    allowed.count()
}

/// Whether a job may be shown as failed at `at`. Jobs that last never may.
fn may_have_failed(record: &JobRecord, runs: &[&AttemptRecord], at: Instant) -> bool {
    !matches!(record.kind, JobKind::Lasting { .. }) && most_crashes(runs, at) >= GIVEN_UP_FROM
}

/// The largest number of workers that had crashed under one task by `at`.
fn most_crashes(runs: &[&AttemptRecord], at: Instant) -> usize {
    let mut crashes: BTreeMap<&str, usize> = BTreeMap::new();
    for run in runs {
        if matches!(run.ended, Some((ended, CRASHED)) if ended <= at) {
            *crashes.entry(&run.task).or_default() += 1;
        }
    }
    crashes.into_values().max().unwrap_or(0)
}

/// The job in a task's name.
pub(crate) fn job_of(task: &str) -> Option<u64> {
    u64::from_str_radix(task.split('.').next()?, 16).ok()
}

/// The step in a task's name.
fn step_of(task: &str) -> Option<usize> {
    task.split('.').nth(2)?.parse().ok()
}

fn check_job(record: &JobRecord, runs: &[&AttemptRecord]) -> Vec<String> {
    let mut findings = Vec::new();
    if record.is_refused && !runs.is_empty() {
        findings.push("every attempt was refused, and it ran".to_owned());
    }
    findings.extend(check_tasks(runs));
    if let JobKind::Chain { tasks } = record.kind {
        findings.extend(check_order(tasks[0] as usize, runs));
    }
    findings.extend(check_cancel(record, runs));
    findings.extend(check_states(record, runs));
    findings
}

/// No task runs twice at the same time, or again after it was done and that was recorded.
fn check_tasks(runs: &[&AttemptRecord]) -> Vec<String> {
    let mut by_task: BTreeMap<&str, Vec<&AttemptRecord>> = BTreeMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    let mut findings = Vec::new();
    for (task, mut runs) in by_task {
        runs.sort_by_key(|run| run.started_at);
        for pair in runs.windows(2) {
            match pair[0].ended {
                Some((_, "done")) if pair[0].is_end_acknowledged => {
                    findings.push(format!("{task} ran again after it was done"));
                }
                Some((ended, _)) if ended <= pair[1].started_at => {}
                _ => findings.push(format!("{task} ran twice at once")),
            }
        }
    }
    findings
}

/// The second step starts after all tasks of the first are done.
fn check_order(first_tasks: usize, runs: &[&AttemptRecord]) -> Option<String> {
    let second = runs.iter().filter(|run| step_of(&run.task) == Some(1));
    let began = second.map(|run| run.started_at).min()?;
    let first = runs.iter().filter(|run| step_of(&run.task) == Some(0));
    let done = first.filter(|run| matches!(run.ended, Some((at, "done")) if at <= began));
    (done.count() < first_tasks)
        .then(|| "its second step began before the first was done".to_owned())
}

/// Nothing of a cancelled job starts later than the bound.
fn check_cancel(record: &JobRecord, runs: &[&AttemptRecord]) -> Option<String> {
    let cancelled = record.cancelled?;
    let late = runs
        .iter()
        .find(|run| run.started_at > cancelled + CANCEL)?;
    let after = late.started_at - cancelled;
    Some(format!(
        "{} started {after:?} after the job was cancelled",
        late.task
    ))
}

fn check_states(record: &JobRecord, runs: &[&AttemptRecord]) -> Vec<String> {
    let mut findings = Vec::new();
    let done_at = all_done_at(record.kind.tasks(), runs);
    for seen in &record.seen {
        let is_cancelled = record.cancel_asked.is_some_and(|at| at <= seen.answered);
        let is_accepted = record.accepted.is_some_and(|at| at + VISIBLE < seen.asked);
        match seen.shown {
            ReportedState::NotFound if is_accepted => {
                findings.push("it was accepted, and is not known".to_owned());
            }
            ReportedState::Done if done_at.is_none_or(|at| at > seen.answered) => {
                findings.push("it is shown as done, and is not".to_owned());
            }
            ReportedState::Failed if !may_have_failed(record, runs, seen.answered) => {
                let crashes = most_crashes(runs, seen.answered);
                findings.push(format!(
                    "it is shown as failed, and nothing failed; {crashes} workers crashed under one of its tasks"
                ));
            }
            ReportedState::Cancelled if !is_cancelled => {
                findings.push("it is shown as cancelled, and nobody cancelled it".to_owned());
            }
            _ => {}
        }
    }
    findings.dedup();
    findings
}

/// When the last of a job's tasks was done; `None` while one is not.
pub(crate) fn all_done_at(tasks: usize, runs: &[&AttemptRecord]) -> Option<Instant> {
    let done = runs.iter().filter_map(|run| match run.ended {
        Some((at, "done")) => Some((run.task.as_str(), at)),
        _ => None,
    });
    let by_task: BTreeMap<&str, Instant> = done.collect();
    if by_task.len() < tasks {
        return None;
    }
    by_task.into_values().max()
}
