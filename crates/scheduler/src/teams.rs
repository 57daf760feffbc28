//! The use of the pool by teams, its limits, and the teams' shares of a full pool.
//!
//! Built for a team that sends several times its usual work for some seconds, beside teams that go on as usual.

use std::collections::{HashMap, HashSet, VecDeque};

use smol_str::SmolStr;
use submission::{JobId, Resources, Task, TaskKey, TaskPhase};

use crate::arrivals::Arrivals;
use crate::scheduler::Scheduler;
use crate::types::Now;
use crate::worker::{AssignedAttempt, WorkerKey};

/// A limit that allows any use.
pub(crate) const UNLIMITED: Resources = Resources {
    cpu_milli: u32::MAX,
    memory_mb: u32::MAX,
    gpus: u32::MAX,
};

/// The time in which a team's jobs are counted against its weight, in ms: a weight is in jobs per second.
const RATE_WINDOW_MS: u64 = 1000;

/// The use of the pool by a team, and what the team could use beyond it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamDemand {
    /// The name of the team.
    pub team: SmolStr,
    /// What the team's tasks use or may use: tasks that are assigned to a worker, until their end is known.
    pub in_use: Resources,
    /// What the team's waiting tasks need that could start now.
    pub waiting: Resources,
}

/// A sum of resources. Unlike [`Resources`], it does not saturate, so that what was added can be subtracted again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    pub(crate) cpu_milli: u64,
    pub(crate) memory_mb: u64,
    pub(crate) gpus: u64,
}

impl Usage {
    pub(crate) fn of(resources: Resources, count: u32) -> Self {
        let times = |amount: u32| u64::from(amount) * u64::from(count);
        Self {
            cpu_milli: times(resources.cpu_milli),
            memory_mb: times(resources.memory_mb),
            gpus: times(resources.gpus),
        }
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mb: self.memory_mb + other.memory_mb,
            gpus: self.gpus + other.gpus,
        }
    }

    /// The difference; 0 where `other` is larger.
    pub(crate) fn minus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// The sum with each amount reduced to its limit.
    pub(crate) fn at_most(self, limits: [u64; 3]) -> Self {
        let [cpu_milli, memory_mb, gpus] = limits;
        Self {
            cpu_milli: self.cpu_milli.min(cpu_milli),
            memory_mb: self.memory_mb.min(memory_mb),
            gpus: self.gpus.min(gpus),
        }
    }

    pub(crate) fn amounts(self) -> [u64; 3] {
        [self.cpu_milli, self.memory_mb, self.gpus]
    }

    fn saturated(self) -> Resources {
        let saturated = |amount| u32::try_from(amount).unwrap_or(u32::MAX);
        Resources {
            cpu_milli: saturated(self.cpu_milli),
            memory_mb: saturated(self.memory_mb),
            gpus: saturated(self.gpus),
        }
    }
}

/// The amounts of a limit; `u64::MAX` for a resource without a limit.
fn limit_amounts(limit: Resources) -> [u64; 3] {
    [limit.cpu_milli, limit.memory_mb, limit.gpus].map(|amount| match amount {
        u32::MAX => u64::MAX,
        amount => u64::from(amount),
    })
}

/// The key of a team in a scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct TeamKey(u32);

impl TeamKey {
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

/// A team.
#[derive(Debug, Clone)]
pub(crate) struct Team {
    name: SmolStr,
    pub(crate) limit: Resources,
    /// The team's weight; 0 when the team has none.
    pub(crate) weight: u32,
    /// The needs of the team's attempts that run or may run on workers of the pool.
    pub(crate) in_use: Usage,
    /// When the last jobs within the team's weight were submitted, in ms on the daemon's clock, the oldest first.
    recent_ms: VecDeque<u64>,
    /// The work that arrived lately while the team's CPU was limited.
    pub(crate) arrivals: Arrivals,
}

impl Team {
    fn new(name: SmolStr) -> Self {
        Self {
            name,
            limit: UNLIMITED,
            weight: 0,
            in_use: Usage::default(),
            recent_ms: VecDeque::new(),
            arrivals: Arrivals::default(),
        }
    }

    /// Whether the limit allows the team to use this much more.
    pub(crate) fn may_use(&self, more: Usage) -> bool {
        let after = self.in_use.plus(more).amounts();
        let limits = limit_amounts(self.limit);
        after
            .iter()
            .zip(limits)
            .all(|(after, limit)| *after <= limit)
    }

    /// What the limit leaves to the team; `u64::MAX` for a resource without a limit.
    pub(crate) fn headroom(&self) -> [u64; 3] {
        let mut used = self.in_use.amounts().into_iter();
        limit_amounts(self.limit).map(|limit| {
            let used = used.next().unwrap_or(0);
            if limit == u64::MAX {
                limit
            } else {
                limit.saturating_sub(used)
            }
        })
    }

    /// What the team may use: up to its limit, or what is in use above it. `u64::MAX` for a resource without a limit.
    fn most(&self) -> [u64; 3] {
        let mut used = self.in_use.amounts().into_iter();
        limit_amounts(self.limit).map(|limit| limit.max(used.next().unwrap_or(0)))
    }

    /// The CPU that the team may use, in thousandths of a core; see [`Team::most`].
    pub(crate) fn max_cpu_milli(&self) -> u64 {
        let [cpu_milli, ..] = self.most();
        cpu_milli
    }

    /// Counts a job that is submitted at `now_ms` on the daemon's clock. Returns whether it is beyond what the team's
    /// weight entitles to.
    fn is_in_excess(&mut self, now_ms: u64) -> bool {
        if self.weight == 0 {
            return false;
        }
        while let Some(&at_ms) = self.recent_ms.front()
            && now_ms.saturating_sub(at_ms) >= RATE_WINDOW_MS
        {
            self.recent_ms.pop_front();
        }
        if self.recent_ms.len() >= self.weight as usize {
            return true;
        }
        self.recent_ms.push_back(now_ms);
        false
    }
}

/// The teams of a pool.
#[derive(Debug, Clone, Default)]
pub(crate) struct Teams {
    /// By the index of the team's key.
    arena: Vec<Team>,
    keys: HashMap<SmolStr, TeamKey>,
    /// Whether any team has had a limit or a weight.
    pub(crate) is_active: bool,
    /// What attempts of jobs without a team use.
    pub(crate) used_without_team: Usage,
    /// The jobs beyond what the weights of their teams entitle to.
    excess_jobs: HashSet<JobId>,
}

impl Teams {
    /// The key of the team with this name; `None` for the empty name, which stands for no team.
    pub(crate) fn key(&mut self, name: &SmolStr) -> Option<TeamKey> {
        if name.is_empty() {
            return None;
        }
        if let Some(&key) = self.keys.get(name) {
            return Some(key);
        }
        let key = TeamKey(u32::try_from(self.arena.len()).unwrap_or(u32::MAX));
        self.arena.push(Team::new(name.clone()));
        self.keys.insert(name.clone(), key);
        Some(key)
    }

    /// The team with this name, if it is known.
    pub(crate) fn get(&self, name: &SmolStr) -> Option<(TeamKey, &Team)> {
        let key = *self.keys.get(name)?;
        Some((key, self.team(key)))
    }

    pub(crate) fn team(&self, key: TeamKey) -> &Team {
        &self.arena[key.index()]
    }

    pub(crate) fn team_mut(&mut self, key: TeamKey) -> &mut Team {
        &mut self.arena[key.index()]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (TeamKey, &Team)> {
        (0..).map(TeamKey).zip(&self.arena)
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (TeamKey, &mut Team)> {
        (0..).map(TeamKey).zip(&mut self.arena)
    }

    /// Whether the limit of a team, if there is one, allows the team to use this much more.
    pub(crate) fn may_use(&self, team: Option<TeamKey>, more: Usage) -> bool {
        team.is_none_or(|key| self.team(key).may_use(more))
    }

    /// The CPU that the team with this name may use, in thousandths of a core; `u64::MAX` without a limit.
    pub(crate) fn max_cpu_milli(&self, name: &SmolStr) -> u64 {
        self.get(name)
            .map_or(u64::MAX, |(_, team)| team.max_cpu_milli())
    }

    /// How many tasks with these needs the team with this name may have running at once; `u32::MAX` without a limit.
    pub(crate) fn max_tasks(&self, name: &SmolStr, needs: Resources) -> u32 {
        let most = self
            .get(name)
            .map_or([u64::MAX; 3], |(_, team)| team.most());
        let needs = Usage::of(needs, 1).amounts();
        let tasks = most
            .into_iter()
            .zip(needs)
            .filter_map(|(most, need)| most.checked_div(need));
        u32::try_from(tasks.min().unwrap_or(u64::MAX)).unwrap_or(u32::MAX)
    }

    pub(crate) fn is_in_excess(&self, job: JobId) -> bool {
        self.excess_jobs.contains(&job)
    }

    pub(crate) fn forget_job(&mut self, job: JobId) {
        self.excess_jobs.remove(&job);
    }

    fn account(&mut self, team: Option<TeamKey>) -> &mut Usage {
        match team {
            Some(key) => &mut self.team_mut(key).in_use,
            None => &mut self.used_without_team,
        }
    }

    fn add(&mut self, team: Option<TeamKey>, needs: Resources) {
        let account = self.account(team);
        *account = account.plus(Usage::of(needs, 1));
    }

    fn subtract(&mut self, team: Option<TeamKey>, needs: Resources) {
        let account = self.account(team);
        *account = account.minus(Usage::of(needs, 1));
    }
}

impl Scheduler {
    /// Replaces the limits on what the tasks of each team may use in this pool, by team. A resource without a limit is
    /// `u32::MAX`. Teams that are not listed, and jobs without a team, have no limit.
    ///
    /// A limit below what is in use stops nothing, but no task of the team starts.
    pub fn set_team_limits(&mut self, limits: HashMap<SmolStr, Resources>) {
        for (_, team) in self.teams.iter_mut() {
            team.limit = UNLIMITED;
        }
        for (name, limit) in limits {
            if let Some(key) = self.teams.key(&name) {
                self.teams.team_mut(key).limit = limit;
                self.teams.is_active = true;
            }
        }
    }

    /// Replaces the weights of the teams, by team: the shares of a pool without enough room for all, and the jobs per
    /// second beyond which a team's jobs come after those of others. A weight of 0 counts as none.
    pub fn set_team_weights(&mut self, weights: HashMap<SmolStr, u32>) {
        for (_, team) in self.teams.iter_mut() {
            team.weight = 0;
        }
        for (name, weight) in weights {
            if let Some(key) = self.teams.key(&name).filter(|_| weight > 0) {
                self.teams.team_mut(key).weight = weight;
                self.teams.is_active = true;
            }
        }
    }

    /// Returns the demand of each team that uses the pool or waits for it, ordered by team.
    #[must_use]
    pub fn team_demand(&self) -> Vec<TeamDemand> {
        let demands = self.teams.iter().map(|(key, team)| TeamDemand {
            team: team.name.clone(),
            in_use: team.in_use.saturated(),
            waiting: self.ready.by_team.waiting(key).needs.saturated(),
        });
        let nothing = Resources::default();
        let mut demands: Vec<_> = demands
            .filter(|demand| demand.in_use != nothing || demand.waiting != nothing)
            .collect();
        demands.sort_by(|a, b| a.team.cmp(&b.team));
        demands
    }

    /// The arrivals among which the work of a team's job counts: those of the team if its CPU is limited.
    pub(crate) fn arrivals_of(&mut self, team: &SmolStr) -> &mut Arrivals {
        match self.teams.key(team) {
            Some(key) if self.teams.team(key).limit.cpu_milli < u32::MAX => {
                &mut self.teams.team_mut(key).arrivals
            }
            _ => &mut self.arrivals,
        }
    }

    /// Counts a job that is submitted now against the weight of its team.
    pub(crate) fn count_submission(&mut self, id: JobId, team: &SmolStr, now: Now) {
        if let Some(key) = self.teams.key(team)
            && self.teams.team_mut(key).is_in_excess(now.local_ms)
        {
            self.teams.excess_jobs.insert(id);
        }
    }

    /// Adds an attempt to a worker, and what the attempt needs to what its team uses.
    pub(crate) fn insert_attempt(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        attempt: AssignedAttempt,
    ) {
        self.teams.add(attempt.team, attempt.needs);
        if let Some(replaced) = self.workers[key].insert(task, attempt) {
            self.teams.subtract(replaced.team, replaced.needs);
        }
    }

    /// Removes an attempt that can't run any more from its worker. Ignored when the worker has no such attempt.
    pub(crate) fn remove_attempt(&mut self, key: WorkerKey, task: TaskKey, now: Now) {
        let worker = self.workers.get_mut(key);
        if let Some(attempt) = worker.and_then(|worker| worker.remove(task, now.local_ms)) {
            self.teams.subtract(attempt.team, attempt.needs);
        }
    }

    /// Whether an attempt of a job with a team may run. Once the job is removed, no report tells its team any more.
    pub(crate) fn may_run_for_team(&self, id: JobId) -> bool {
        let job = self.jobs.get(&id).filter(|job| !job.team.is_empty());
        let is_assigned = |task: &Task| matches!(task.phase, TaskPhase::Assigned { .. });
        job.is_some_and(|job| job.tasks().any(|(_, task)| is_assigned(task)))
    }

    /// Replaces the needs of the attempts that run on a worker without being assigned to it, each with its team.
    pub(crate) fn set_unassigned(
        &mut self,
        key: WorkerKey,
        unassigned: Vec<(Option<TeamKey>, Resources)>,
    ) {
        for &(team, needs) in &unassigned {
            self.teams.add(team, needs);
        }
        let incarnation = &mut self.workers[key].incarnation;
        for (team, needs) in std::mem::replace(&mut incarnation.unassigned, unassigned) {
            self.teams.subtract(team, needs);
        }
    }
}
