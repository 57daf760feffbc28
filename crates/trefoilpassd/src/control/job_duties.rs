//! The steward's work on jobs: reports of tasks are taken in, jobs are placed, leases are renewed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use domain::{JobId, VmId};
use placement::{Fleet, Job, JobState, Placer, Step, TaskEnd, TaskName, Usage, Worker};
use platform::{Platform, TaskOrder, TaskReport, TaskState};
use smol_str::SmolStr;

use crate::control::changes::{Result, from_platform, no_configuration};
use crate::control::job_changes::{JobChange, OpenJob};
use crate::control::job_orders::{teams, workers};
use crate::control::reports::Listed;
use crate::control::steward_actor::StewardActor;

/// How long a task runs without a renewal. It outlasts the change of a steward.
const LEASE_MS: u64 = 30_000;

/// How often leases are renewed.
const RENEW_US: u64 = 5_000_000;

/// A report of more than this share of what was seen before is written down, in percent.
const NEW_PEAK_PERCENT: u32 = 110;

/// How long jobs that make room are given before the next look, so that urgent work does not wait a whole round.
const CHECKPOINT_PAUSE: Duration = Duration::from_millis(250);

/// What the steward keeps of jobs between two rounds.
#[derive(Debug, Default)]
pub(crate) struct JobsView {
    placer: Placer,
    has_tasks: bool,
    renewed_us: u64,
    /// VMs on which tasks may run; `None` while that is not known.
    busy: Option<BTreeSet<VmId>>,
}

impl JobsView {
    /// Nothing known, but that there may be tasks.
    pub(crate) fn with_tasks() -> Self {
        Self {
            has_tasks: true,
            ..Self::default()
        }
    }

    /// Whether no task runs on a VM.
    pub(crate) fn is_idle(&self, vm: &VmId) -> bool {
        self.busy.as_ref().is_some_and(|busy| !busy.contains(vm))
    }
}

/// What came of a round.
#[derive(Debug, Default)]
struct Round {
    /// VMs on which tasks may run.
    busy: BTreeSet<VmId>,
    has_made_room: bool,
}

/// What is done at the platform once a job's row was written.
#[derive(Debug, Clone)]
enum Effect {
    Start(TaskOrder),
    Stop { task: TaskName, is_kept: bool },
    Forget(TaskName),
}

impl<P: Platform> StewardActor<P> {
    /// One round, and another one soon after if jobs were told to make room.
    pub(crate) async fn place_jobs(&mut self) {
        if self.place_jobs_once().await {
            tokio::time::sleep(CHECKPOINT_PAUSE).await;
            self.place_jobs_once().await;
        }
    }

    /// True when jobs were told to make room.
    async fn place_jobs_once(&mut self) -> bool {
        self.jobs.busy = None;
        match self.try_place_jobs().await {
            Ok(round) => {
                self.jobs.busy = Some(round.busy);
                round.has_made_room
            }
            Err(err) => {
                log::debug!("jobs wait: {err}");
                false
            }
        }
    }

    async fn try_place_jobs(&mut self) -> Result<Round> {
        let open = self.changes.open_jobs().await?;
        if open.is_empty() && !self.jobs.has_tasks {
            return Ok(Round::default());
        }
        let reports = self
            .shared
            .platform
            .list_tasks()
            .await
            .map_err(from_platform)?;
        self.jobs.has_tasks = !reports.is_empty() || !open.is_empty();
        let listed = self
            .shared
            .platform
            .list_vms()
            .await
            .map_err(from_platform)?;
        let listed: Listed = listed.into_iter().map(|vm| (vm.vm.clone(), vm)).collect();
        let workers = workers(&self.shared.in_force(), &listed);
        self.take_in(&open, &reports, &workers).await?;
        let open = self.changes.open_jobs().await?;
        let has_made_room = self.place(&open, &reports, &workers).await?;
        self.renew_leases(&open).await?;
        let running = reports
            .into_iter()
            .filter(|report| report.state == TaskState::Running);
        let given = open.iter().filter_map(|open| open.job.worker().cloned());
        let busy = running.map(|report| report.vm).chain(given).collect();
        Ok(Round {
            busy,
            has_made_room,
        })
    }

    /// Takes in the reports: ends of attempts, use, and tasks that should not be there.
    async fn take_in(
        &mut self,
        open: &[OpenJob],
        reports: &[TaskReport],
        workers: &[Worker],
    ) -> Result<()> {
        let by_id: BTreeMap<_, _> = open.iter().map(|open| (&open.job.id, open)).collect();
        let mut changes = Vec::new();
        let mut effects = Vec::new();
        for report in reports {
            let task = TaskName(report.task.clone());
            let Ok((id, attempt)) = task.parts() else {
                continue;
            };
            let is_running = report.state == TaskState::Running;
            let job = by_id
                .get(&id)
                .filter(|open| open.job.attempt == attempt && open.job.worker().is_some());
            match (job, is_running) {
                (Some(open), true) => changes.extend(with_new_peak(open, report)),
                (Some(open), false) => changes.extend(self.ended(open, attempt, report, workers)),
                (None, true) => effects.push(Effect::Stop {
                    task,
                    is_kept: false,
                }),
                (None, false) => effects.push(Effect::Forget(task)),
            }
        }
        changes.extend(
            open.iter()
                .filter_map(|open| cancelled_and_gone(open, reports)),
        );
        let fence = self.fence();
        self.changes.change_jobs(changes, Some(&fence)).await?;
        // A task that has ended is forgotten in the next round, when its job's row no longer waits for it.
        self.carry_out(effects).await
    }

    fn ended(
        &mut self,
        open: &OpenJob,
        attempt: u32,
        report: &TaskReport,
        workers: &[Worker],
    ) -> Option<JobChange> {
        let end = match report.state {
            TaskState::Running => return None,
            TaskState::Succeeded => TaskEnd::Succeeded,
            TaskState::Failed => TaskEnd::Failed,
            TaskState::Checkpointed => TaskEnd::Checkpointed,
            TaskState::Lost => TaskEnd::Lost,
        };
        let now_us = self.shared.clock.now_us();
        let quarantine = &mut self.jobs.placer.quarantine;
        let is_healthy = !quarantine.has(&report.vm, now_us);
        match end {
            TaskEnd::Succeeded => quarantine.succeeded(&report.vm),
            TaskEnd::Failed => {
                let pool = workers
                    .iter()
                    .filter(|worker| worker.pool == open.job.spec.pool);
                let pool: Vec<_> = pool.map(|worker| worker.vm.clone()).collect();
                if quarantine.failed(&report.vm, &open.job.id, &pool, now_us) {
                    log::warn!("VM {}: in quarantine, jobs fail on it", report.vm);
                }
            }
            TaskEnd::Checkpointed | TaskEnd::Lost => {}
        }
        let next = open.job.ended(attempt, end, is_healthy).ok()?;
        Some(JobChange::new(open, next))
    }

    /// Starts jobs and makes room, as the placer says; true when jobs were told to make room.
    async fn place(
        &mut self,
        open: &[OpenJob],
        reports: &[TaskReport],
        workers: &[Worker],
    ) -> Result<bool> {
        let in_force = self.shared.in_force();
        let config = in_force.config.as_ref().ok_or_else(no_configuration)?;
        let jobs: Vec<_> = open.iter().map(|open| open.job.clone()).collect();
        let teams = teams(&config.deployment);
        let fleet = Fleet {
            workers,
            teams: &teams,
            jobs: &jobs,
        };
        let steps = self.jobs.placer.plan(fleet, self.shared.clock.now_us());
        let changes = steps.iter().filter_map(|step| change_of(step, open));
        let fence = self.fence();
        let written = self
            .changes
            .change_jobs(changes.collect(), Some(&fence))
            .await?;
        // A step whose answer was lost, or whose steward was lost before this, is carried out in the next round:
        // a job that runs by its row and has no task is started, one that leaves is stopped.
        let written: BTreeMap<_, _> = written.iter().map(|c| (&c.next.id, &c.next)).collect();
        let now = jobs
            .iter()
            .map(|job| written.get(&job.id).copied().unwrap_or(job));
        let reported: BTreeSet<_> = reports.iter().map(|report| &report.task).collect();
        let effects = now.flat_map(|job| effects_of(job, reported.contains(&job.task().0)));
        self.carry_out(effects.collect()).await?;
        Ok(steps.iter().any(|step| matches!(step, Step::Leave(_))))
    }

    async fn renew_leases(&mut self, open: &[OpenJob]) -> Result<()> {
        let now_us = self.shared.clock.now_us();
        if now_us.saturating_sub(self.jobs.renewed_us) < RENEW_US {
            return Ok(());
        }
        let running = open.iter().filter(|open| open.job.worker().is_some());
        let tasks: Vec<SmolStr> = running.map(|open| open.job.task().0).collect();
        let renewed = self.shared.platform.renew_tasks(&tasks, LEASE_MS).await;
        renewed.map_err(from_platform)?;
        self.jobs.renewed_us = now_us;
        Ok(())
    }

    async fn carry_out(&self, effects: Vec<Effect>) -> Result<()> {
        let platform = &self.shared.platform;
        let mut forgotten = Vec::new();
        for effect in effects {
            let done = match effect {
                Effect::Start(order) => platform.start_task(&order).await,
                Effect::Stop { task, is_kept } => platform.stop_task(&task.0, is_kept).await,
                Effect::Forget(task) => {
                    forgotten.push(task.0);
                    Ok(())
                }
            };
            done.map_err(from_platform)?;
        }
        if forgotten.is_empty() {
            return Ok(());
        }
        platform
            .forget_tasks(&forgotten)
            .await
            .map_err(from_platform)
    }
}

fn with_new_peak(open: &OpenJob, report: &TaskReport) -> Option<JobChange> {
    let usage = Usage {
        cpu_milli: report.cpu_milli,
        memory_mb: report.memory_mb,
    };
    let seen = open.job.observed;
    let is_new = |now: u32, seen: u32| now > seen.saturating_mul(NEW_PEAK_PERCENT) / 100;
    let is_new_peak =
        is_new(usage.cpu_milli, seen.cpu_milli) || is_new(usage.memory_mb, seen.memory_mb);
    is_new_peak.then(|| JobChange::new(open, open.job.observed(usage)))
}

/// A cancelled job is done with when no task of it runs.
fn cancelled_and_gone(open: &OpenJob, reports: &[TaskReport]) -> Option<JobChange> {
    if !matches!(open.job.state, JobState::Cancelled { .. }) {
        return None;
    }
    let task = open.job.task();
    let is_there =
        |report: &TaskReport| report.task == task.0 && report.state == TaskState::Running;
    let is_gone = !reports.iter().any(is_there);
    is_gone.then(|| JobChange::new(open, open.job.clone()))
}

fn change_of(step: &Step, open: &[OpenJob]) -> Option<JobChange> {
    let of = |id: &JobId| open.iter().find(|open| open.job.id == *id);
    match step {
        Step::Start(id, vm) => {
            let open = of(id)?;
            Some(JobChange::new(open, open.job.started(vm.clone()).ok()?))
        }
        Step::Leave(id) => {
            let open = of(id)?;
            Some(JobChange::new(open, open.job.leaving()))
        }
        Step::Park(id) => {
            let open = of(id)?;
            Some(JobChange::new(open, open.job.outgrown()))
        }
    }
}

/// What has to be so at the platform for the job's row to be true. It is the same when it is done again.
///
/// A job that leaves before its task was started is started all the same, because only a task's end ends its attempt.
fn effects_of(job: &Job, is_reported: bool) -> Vec<Effect> {
    let JobState::Running { vm, is_leaving } = &job.state else {
        return Vec::new();
    };
    let mut effects = Vec::new();
    if !is_reported {
        effects.push(Effect::Start(order(job, vm)));
    }
    if *is_leaving {
        effects.push(Effect::Stop {
            task: job.task(),
            is_kept: true,
        });
    }
    effects
}

fn order(job: &Job, vm: &VmId) -> TaskOrder {
    let needs = job.needs();
    TaskOrder {
        task: job.task().0,
        vm: vm.clone(),
        cpu_milli: needs.cpu_milli,
        memory_mb: needs.memory_mb,
        lease_ms: LEASE_MS,
        payload: job.spec.payload.clone(),
    }
}
