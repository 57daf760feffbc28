//! The order of the jobs that can still meet their latency objective while not all of them can.
//!
//! Built for a queue that submits several times the work that its pool can do for some seconds. In the order of latest
//! starts, each job then starts at its latest start, and those that take longer than estimated miss their objectives.

use submission::{Job, JobId};

use crate::ready::{Prospect, StepKey};
use crate::scheduler::Scheduler;
use crate::types::{Now, SchedulerEvent};

/// How often the overload is measured, in ms. A fraction of the time that the shortest jobs can wait.
const MEASUREMENT_PERIOD_MS: u64 = 100;

/// How long all jobs have to be able to start in time until an overload is reported as ended, in ms. The gaps between the
/// jobs of a peak are shorter.
const END_AFTER_MS: u64 = 1000;

/// Jobs count in the order with at most the mean work of a job divided by this, so that none is put off for being large. At
/// five times the capacity of a pool, the largest jobs are served about half as often as all.
const COUNTED_WORK_DIVISOR: u64 = 4;

/// The weight of a submitted job in the moving average of the work of a job is the reciprocal of this. The largest of so many
/// jobs change the average little, and a peak has as many in its first second.
const AVERAGED_JOBS: u64 = 64;

/// What a pool may do while it can't do all of its work in time. By default nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OverloadRules {
    /// Whether jobs are ordered by what their delay costs callers while not all of them can meet their latency objective,
    /// so that as few as possible miss it. Otherwise, they are always ordered by their latest start.
    pub shed_least_cost: bool,
}

/// The measured overload of a pool.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Overload {
    rules: OverloadRules,
    measured_at_ms: u64,
    /// The time that the pool needs for the waiting jobs on time, in ms, rounded down to a power of two; 0 while all of
    /// them can start by their latest start.
    queue_ms: u64,
    /// The moving average of the work of the submitted jobs, in thousandths of a core times ms.
    mean_work: u64,
    /// The time of the first and the last measurement of the reported overload, in ms on the daemon's clock.
    reported: Option<(u64, u64)>,
}

impl Overload {
    /// Records the work of a submitted job, in thousandths of a core times ms.
    pub(crate) fn record(&mut self, work: u64) {
        self.mean_work = if self.mean_work == 0 {
            work
        } else {
            self.mean_work - self.mean_work / AVERAGED_JOBS + work / AVERAGED_JOBS
        };
    }

    /// The order of a job among the jobs on time, the lowest first: the latest start while there is no overload.
    ///
    /// Under overload, the apparent tardiness cost of jobs of the same value (Vepsalainen and Morton, 1987): jobs with little
    /// work are more urgent, by the logarithm of their work times the time that the pool needs for the waiting jobs. The
    /// order does not change with time.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "float casts saturate"
    )]
    pub(crate) fn on_time_order(&self, job: &Job, occurrence: u32, latest_start_ms: u64) -> u64 {
        if self.queue_ms == 0 {
            return latest_start_ms;
        }
        let work = self.counted_work(job, occurrence).max(1) as f64;
        latest_start_ms.saturating_add((self.queue_ms as f64 * work.ln()) as u64)
    }

    /// The remaining work with which a job counts in the order, in thousandths of a core times ms.
    pub(crate) fn counted_work(&self, job: &Job, occurrence: u32) -> u64 {
        let work = job.remaining_batch_work(occurrence);
        if self.rules.shed_least_cost {
            work.min(self.mean_work / COUNTED_WORK_DIVISOR)
        } else {
            work
        }
    }

    /// Applies a measurement. Returns the event to report, if there is one.
    fn update(&mut self, queue_ms: u64, jobs: usize, now_ms: u64) -> Option<SchedulerEvent> {
        self.measured_at_ms = now_ms;
        self.queue_ms = queue_ms.checked_ilog2().map_or(0, |log| 1 << log);
        match &mut self.reported {
            None if queue_ms > 0 => {
                self.reported = Some((now_ms, now_ms));
                Some(SchedulerEvent::OverloadBegan { queue_ms, jobs })
            }
            Some((_, last_ms)) if queue_ms > 0 => {
                *last_ms = now_ms;
                None
            }
            &mut Some((since_ms, last_ms)) if now_ms.saturating_sub(last_ms) >= END_AFTER_MS => {
                self.reported = None;
                let duration_ms = last_ms.saturating_sub(since_ms);
                Some(SchedulerEvent::OverloadEnded { duration_ms })
            }
            _ => None,
        }
    }
}

/// A waiting job that can still meet its latency objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Waiting {
    latest_start_ms: u64,
    job: JobId,
    occurrence: u32,
    /// In thousandths of a core times ms.
    work: u64,
}

/// The time that `cpu_milli` thousandths of a core need for all of the jobs, in ms; 0 if all can start by their latest start
/// in the order of latest starts (the processor demand criterion; Baruah, Rosier and Howell, 1990), or if there is no CPU, as
/// when the workers of an adopted pool have not been reached yet.
fn queue_ms(waiting: &[Waiting], cpu_milli: u64, now_ms: u64) -> u64 {
    if cpu_milli == 0 {
        return 0;
    }
    let mut before = 0_u64;
    let mut is_overloaded = false;
    for job in waiting {
        is_overloaded |= job.latest_start_ms < now_ms.saturating_add(before / cpu_milli);
        before = before.saturating_add(job.work);
    }
    if is_overloaded { before / cpu_milli } else { 0 }
}

impl Scheduler {
    /// Sets what the pool may do while it can't do all of its work in time.
    #[must_use]
    pub fn with_overload_rules(mut self, rules: OverloadRules) -> Self {
        self.overload = Overload {
            rules,
            ..Overload::default()
        };
        self
    }

    /// Measures the overload from time to time, and ranks the ready steps anew when it has changed.
    pub(crate) fn measure_overload(&mut self, now: Now) {
        let age_ms = now.local_ms.saturating_sub(self.overload.measured_at_ms);
        if !self.overload.rules.shed_least_cost || age_ms < MEASUREMENT_PERIOD_MS {
            return;
        }
        let waiting = self.waiting_on_time();
        // VMs that are on their way don't count: a move takes longer than most jobs on time can wait.
        let workers = self.workers.values();
        let workers = workers.filter(|worker| worker.is_usable(now.local_ms));
        let cpu = workers.map(|worker| u64::from(worker.capacity_beside_services().cpu_milli));
        let queue_ms = queue_ms(&waiting, cpu.sum(), now.store_ms);
        let previous_ms = self.overload.queue_ms;
        let event = self.overload.update(queue_ms, waiting.len(), now.local_ms);
        self.events.extend(event);
        if self.overload.queue_ms != previous_ms {
            let steps: Vec<_> = self.ready.ranked().map(|(_, step)| step).collect();
            for step in steps {
                self.update_ready(step, now);
            }
        }
    }

    /// The jobs with ready batch steps that can still meet their latency objective, by their latest start. Without the jobs of
    /// teams at their limit, which more workers would not help.
    fn waiting_on_time(&self) -> Vec<Waiting> {
        let ranked = self.ready.ranked();
        let on_time = ranked.take_while(|(rank, _)| rank.prospect == Prospect::OnTime);
        let batch = on_time.filter(|(rank, _)| rank.is_batch);
        let waiting = batch.filter_map(
            |(
                _,
                StepKey {
                    job, occurrence, ..
                },
            )| {
                let waiting = self.jobs.get(&job)?;
                let team = self.teams.get(&waiting.team);
                if team.is_some_and(|(team, _)| self.is_at_limit(team)) {
                    return None;
                }
                Some(Waiting {
                    latest_start_ms: self.latest_start_ms(waiting, occurrence),
                    job,
                    occurrence,
                    work: waiting.remaining_batch_work(occurrence),
                })
            },
        );
        let mut waiting: Vec<_> = waiting.collect();
        waiting.sort_unstable();
        waiting.dedup();
        waiting
    }
}
