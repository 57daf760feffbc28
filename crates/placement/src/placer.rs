//! The placer: refusals at submission, and the steps of one round.

use std::collections::{BTreeMap, BTreeSet};

use domain::{JobId, PoolId, TeamId, VmId};
use snafu::Snafu;

use crate::job::{Class, Job, JobSpec, JobState, Usage};
use crate::quarantine::Quarantine;
use crate::room::{Room, fits, fits_some, rooms};

/// A VM as a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Worker {
    /// The VM.
    pub vm: VmId,
    /// Its pool.
    pub pool: PoolId,
    /// What it has for jobs.
    pub size: Usage,
    /// Whether it takes new work.
    pub is_open: bool,
}

/// A team and its quota.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// The team.
    pub id: TeamId,
    /// The processor time that its jobs may use at once, in thousandths of a core.
    pub quota_cpu_milli: u32,
}

/// All that a round is decided on.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// The workers.
    pub workers: &'a [Worker],
    /// The teams.
    pub teams: &'a [Team],
    /// The jobs that have not ended.
    pub jobs: &'a [Job],
}

/// Why a job is refused at submission.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// No such team.
    #[snafu(display("team: there is no team `{team}`"))]
    UnknownTeam {
        /// The team named.
        team: TeamId,
    },
    /// No worker of the pool is large enough, even when empty.
    #[snafu(display(
        "no worker of pool `{pool}` has {cpu_milli} cpu_milli and {memory_mb} memory_mb"
    ))]
    FitsNoWorker {
        /// The pool named.
        pool: PoolId,
        /// The processor time asked for.
        cpu_milli: u32,
        /// The memory asked for.
        memory_mb: u32,
    },
    /// The team's whole quota is too small.
    #[snafu(display(
        "cpu_milli: {cpu_milli} is over the quota of team `{team}`, {quota_cpu_milli}"
    ))]
    OverQuota {
        /// The team.
        team: TeamId,
        /// The processor time asked for.
        cpu_milli: u32,
        /// The team's quota.
        quota_cpu_milli: u32,
    },
}

/// A step of a round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Give the job's next attempt to the worker.
    Start(JobId, VmId),
    /// Have the running job make a checkpoint and stop.
    Leave(JobId),
    /// The job fits no worker any more.
    Park(JobId),
}

/// Places jobs.
#[derive(Debug, Default)]
pub struct Placer {
    /// Workers that fail everything.
    pub quarantine: Quarantine,
}

impl Placer {
    /// A placer that knows of no failing workers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Why a job can never run, if it can't.
    ///
    /// # Errors
    /// [`Refusal`].
    pub fn check(spec: &JobSpec, workers: &[Worker], teams: &[Team]) -> Result<(), Refusal> {
        let team = teams.iter().find(|team| team.id == spec.team);
        let Some(team) = team else {
            let team = spec.team.clone();
            return UnknownTeamSnafu { team }.fail();
        };
        let declared = Usage {
            cpu_milli: spec.cpu_milli,
            memory_mb: spec.memory_mb,
        };
        if !fits_some(workers, &spec.pool, declared) {
            return FitsNoWorkerSnafu {
                pool: spec.pool.clone(),
                cpu_milli: spec.cpu_milli,
                memory_mb: spec.memory_mb,
            }
            .fail();
        }
        if spec.cpu_milli > team.quota_cpu_milli {
            return OverQuotaSnafu {
                team: team.id.clone(),
                cpu_milli: spec.cpu_milli,
                quota_cpu_milli: team.quota_cpu_milli,
            }
            .fail();
        }
        Ok(())
    }

    /// The steps of one round: jobs on closed workers leave, then queued jobs are started, urgent ones first and
    /// then those of the team that uses the least of its quota.
    #[must_use]
    pub fn plan(&self, fleet: Fleet<'_>, now_us: u64) -> Vec<Step> {
        let mut round = Round::new(fleet, &self.quarantine, now_us);
        round.clear_closed_workers();
        for class in [Class::Urgent, Class::Batch] {
            round.start_all(class);
        }
        round.steps
    }
}

/// One round in the making.
struct Round<'a> {
    fleet: Fleet<'a>,
    quarantine: &'a Quarantine,
    now_us: u64,
    rooms: BTreeMap<&'a VmId, Room<'a>>,
    used_cpu_milli: BTreeMap<&'a TeamId, u32>,
    steps: Vec<Step>,
}

impl<'a> Round<'a> {
    fn new(fleet: Fleet<'a>, quarantine: &'a Quarantine, now_us: u64) -> Self {
        let mut used_cpu_milli: BTreeMap<_, u32> = BTreeMap::new();
        for job in fleet.jobs.iter().filter(|job| job.worker().is_some()) {
            *used_cpu_milli.entry(&job.spec.team).or_default() += job.needs().cpu_milli;
        }
        Self {
            fleet,
            quarantine,
            now_us,
            rooms: rooms(fleet.workers, fleet.jobs),
            used_cpu_milli,
            steps: Vec::new(),
        }
    }

    fn clear_closed_workers(&mut self) {
        let closed = self.fleet.workers.iter().filter(|worker| !worker.is_open);
        let closed: BTreeSet<_> = closed.map(|worker| &worker.vm).collect();
        let leave =
            self.fleet.jobs.iter().filter(|job| {
                !job.is_leaving() && job.worker().is_some_and(|vm| closed.contains(vm))
            });
        self.steps
            .extend(leave.map(|job| Step::Leave(job.id.clone())));
    }

    fn start_all(&mut self, class: Class) {
        let is_queued = |job: &&Job| job.state == JobState::Queued && job.spec.class == class;
        let mut queued: Vec<_> = self.fleet.jobs.iter().filter(is_queued).collect();
        queued.sort_by_key(|job| job.submitted_at_ms);
        while !queued.is_empty() {
            let least = |job: &&Job| self.quota_used_percent(&job.spec.team);
            let index = (0..queued.len())
                .min_by_key(|i| least(&queued[*i]))
                .unwrap_or(0);
            let job = queued.remove(index);
            self.start(job);
        }
    }

    fn quota_used_percent(&self, team: &TeamId) -> u32 {
        let used = self.used_cpu_milli.get(team).copied().unwrap_or(0);
        let quota = self.quota(team).max(1);
        used.saturating_mul(100) / quota
    }

    fn quota(&self, team: &TeamId) -> u32 {
        let team = self
            .fleet
            .teams
            .iter()
            .find(|declared| declared.id == *team);
        team.map_or(0, |team| team.quota_cpu_milli)
    }

    fn start(&mut self, job: &'a Job) {
        let needs = job.needs();
        if !fits_some(self.fleet.workers, &job.spec.pool, needs) {
            self.steps.push(Step::Park(job.id.clone()));
            return;
        }
        let used = self
            .used_cpu_milli
            .get(&job.spec.team)
            .copied()
            .unwrap_or(0);
        if used + needs.cpu_milli > self.quota(&job.spec.team) {
            return;
        }
        if let Some(vm) = self.best_fit(job, needs) {
            self.give(job, vm, needs);
        } else if job.spec.class == Class::Urgent {
            self.make_room(job, needs);
        }
    }

    /// Whether the job may run there at all. A job that failed on a worker goes elsewhere.
    fn may_run(&self, job: &Job, room: &Room<'_>) -> bool {
        let worker = room.worker;
        worker.is_open
            && worker.pool == job.spec.pool
            && !job.failed_on.contains(&worker.vm)
            && !self.quarantine.has(&worker.vm, self.now_us)
    }

    /// The worker that would have the least left, so that large jobs find room elsewhere.
    fn best_fit(&self, job: &Job, needs: Usage) -> Option<&'a VmId> {
        let fitting = self.rooms.iter().filter(|(_, room)| {
            !room.is_reserved && self.may_run(job, room) && fits(needs, room.free)
        });
        let best = fitting.min_by_key(|(_, room)| room.free.cpu_milli - needs.cpu_milli);
        best.map(|(vm, _)| *vm)
    }

    fn give(&mut self, job: &'a Job, vm: &'a VmId, needs: Usage) {
        if let Some(room) = self.rooms.get_mut(vm) {
            room.take(needs);
        }
        *self.used_cpu_milli.entry(&job.spec.team).or_default() += needs.cpu_milli;
        self.steps.push(Step::Start(job.id.clone(), vm.clone()));
    }

    /// Has the fewest batch jobs leave that make room for an urgent one, and keeps the worker for it.
    fn make_room(&mut self, job: &'a Job, needs: Usage) {
        let candidates = self
            .rooms
            .iter()
            .filter(|(_, room)| !room.is_reserved && self.may_run(job, room));
        let victims = candidates.filter_map(|(vm, room)| Some((*vm, room.victims(needs)?)));
        let Some((vm, victims)) = victims.min_by_key(|(_, victims)| victims.len()) else {
            return;
        };
        if let Some(room) = self.rooms.get_mut(vm) {
            room.is_reserved = true;
        }
        *self.used_cpu_milli.entry(&job.spec.team).or_default() += needs.cpu_milli;
        let leave = victims
            .into_iter()
            .map(|victim| Step::Leave(victim.id.clone()));
        self.steps.extend(leave);
    }
}
