//! Accepted jobs of which nothing runs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use platform_stand_in::{AttemptRecord, ReportedState};

use crate::checks::{all_done_at, job_of};
use crate::ledger::{JobKind, JobRecord, Ledger};

/// For how long an accepted job may have nothing running while workers have room: the platform's bound.
const STANDSTILL: Duration = Duration::from_secs(3);

/// The accepted jobs that stand still at `now`: nothing of a job that is not done has run for [`STANDSTILL`], or a task that
/// lasts has not.
#[must_use]
pub fn standing_jobs(ledger: &Ledger, runs: &[AttemptRecord], now: Instant) -> Vec<u64> {
    let mut by_job: BTreeMap<u64, Vec<&AttemptRecord>> = BTreeMap::new();
    for run in runs {
        if let Some(job) = job_of(&run.task) {
            by_job.entry(job).or_default().push(run);
        }
    }
    let stands = ledger.jobs.iter().filter(|(job, record)| {
        let runs = by_job.get(job).map_or(&[][..], Vec::as_slice);
        stands(**job, record, runs, now)
    });
    stands.map(|(job, _)| *job).collect()
}

fn stands(job: u64, record: &JobRecord, runs: &[&AttemptRecord], now: Instant) -> bool {
    let is_due = record
        .accepted
        .is_some_and(|accepted| now.duration_since(accepted) > STANDSTILL);
    // Whether a job may have failed is checked elsewhere.
    let has_failed = || {
        record
            .seen
            .iter()
            .any(|seen| seen.shown == ReportedState::Failed)
    };
    if !is_due || record.cancel_asked.is_some() || has_failed() {
        return false;
    }
    let is_active = |run: &&AttemptRecord| {
        run.ended
            .is_none_or(|(ended, _)| now.duration_since(ended) <= STANDSTILL)
    };
    if let JobKind::Lasting { tasks } = record.kind {
        return (0..tasks).any(|index| {
            let task = format!("{job:016x}.0.0.{index}");
            let mut runs = runs.iter().filter(|run| run.task == task);
            !runs.any(is_active)
        });
    }
    all_done_at(record.kind.tasks(), runs).is_none() && !runs.iter().any(is_active)
}
