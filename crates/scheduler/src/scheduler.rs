//! The scheduler's state and the operations on jobs.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use slotmap::SlotMap;
use smol_str::SmolStr;
use submission::{AttemptOutcome, Job, JobId, JobSpec, JobState, QueueRules, TaskKey, TaskPhase};

use crate::arrivals::Arrivals;
use crate::batch::WorkerCommand;
use crate::demand::Trend;
use crate::dirty::DirtyJobs;
use crate::overload::Overload;
use crate::policy::PolicyDecisions;
use crate::ready::{Ready, StepKey};
use crate::round::RoundSummary;
use crate::teams::Teams;
use crate::types::{CountedCrash, JobStatus, Limits, Now, SchedulerEvent};
use crate::worker::{AssignedAttempt, Worker, WorkerKey};

/// The scheduler of one pool: its jobs, its workers, and which task runs where.
#[derive(Debug, Clone)]
pub struct Scheduler {
    pub(crate) limits: Limits,
    pub(crate) workers: SlotMap<WorkerKey, Worker>,
    pub(crate) workers_by_id: HashMap<SmolStr, WorkerKey>,
    /// Ids and starts of ended worker incarnations that the registry, which lags behind, still lists.
    pub(crate) ended_incarnations: BTreeSet<(SmolStr, Option<u64>)>,
    /// The drain leases of workers that the scheduler does not know yet, by id: when each ends, in ms on the daemon's clock.
    pub(crate) expected_drains: HashMap<SmolStr, u64>,
    pub(crate) jobs: HashMap<JobId, Job>,
    pub(crate) queue_rules: HashMap<SmolStr, QueueRules>,
    pub(crate) ready: Ready,
    /// Steps that become due at a set time, in ms since 1970.
    pub(crate) scheduled_steps: BTreeSet<(u64, StepKey)>,
    /// Jobs with changes that are not yet written.
    pub(crate) dirty_jobs: DirtyJobs,
    /// Commands to send once the rows of the job are written.
    pub(crate) deferred_commands: HashMap<JobId, Vec<WorkerCommand>>,
    /// Commands that wait for no write: stops and speed limits.
    pub(crate) immediate_commands: Vec<WorkerCommand>,
    /// The states of jobs in the written rows.
    pub(crate) recorded_states: HashMap<JobId, JobState>,
    /// Ended jobs, by the time of their end on the store's clock.
    pub(crate) ended_jobs: BTreeSet<(u64, JobId)>,
    /// The jobs of which no attempt is known to have started on a worker, by the name and the assignment key of their queue.
    pub(crate) not_started: BTreeMap<(SmolStr, SmolStr), BTreeSet<JobId>>,
    pub(crate) events: Vec<SchedulerEvent>,
    pub(crate) trend: Trend,
    pub(crate) arrivals: Arrivals,
    pub(crate) overload: Overload,
    /// Requests to the policy service and its decisions, by step.
    pub(crate) policy_decisions: PolicyDecisions,
    /// The remaining jobs with service tasks.
    pub(crate) service_jobs: BTreeSet<JobId>,
    /// The jobs that have not ended and that were accepted under a policy.
    pub(crate) jobs_accepted_with_policy: BTreeSet<JobId>,
    pub(crate) teams: Teams,
    pub(crate) last_round: RoundSummary,
    /// The crashes that this owner has counted under each task, for the log, with the time of the count in ms on the daemon's
    /// clock.
    pub(crate) counted_crashes: BTreeMap<TaskKey, Vec<(u64, CountedCrash)>>,
    /// The last crashes of workers where no task was a likely cause, with their times in ms on the daemon's clock.
    pub(crate) unexplained_crashes: Vec<(WorkerKey, u64)>,
}

impl Scheduler {
    /// Creates a scheduler without jobs, workers and queue rules.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            workers: SlotMap::with_key(),
            workers_by_id: HashMap::new(),
            ended_incarnations: BTreeSet::new(),
            expected_drains: HashMap::new(),
            jobs: HashMap::new(),
            queue_rules: HashMap::new(),
            ready: Ready::default(),
            scheduled_steps: BTreeSet::new(),
            dirty_jobs: DirtyJobs::default(),
            deferred_commands: HashMap::new(),
            immediate_commands: Vec::new(),
            recorded_states: HashMap::new(),
            ended_jobs: BTreeSet::new(),
            not_started: BTreeMap::new(),
            events: Vec::new(),
            trend: Trend::default(),
            arrivals: Arrivals::default(),
            overload: Overload::default(),
            policy_decisions: PolicyDecisions::new(),
            service_jobs: BTreeSet::new(),
            jobs_accepted_with_policy: BTreeSet::new(),
            teams: Teams::default(),
            last_round: RoundSummary::default(),
            counted_crashes: BTreeMap::new(),
            unexplained_crashes: Vec::new(),
        }
    }

    /// Returns the events since the last call, for the log.
    pub fn drain_events(&mut self) -> Vec<SchedulerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Replaces the rules of all queues, keyed by queue name. Jobs of a queue without rules keep those under which they were
    /// accepted. Where these are unknown, they have the lowest priority, no policy and no limit on failed attempts, and their latency
    /// objective is their critical path.
    pub fn set_queue_rules(&mut self, rules: HashMap<SmolStr, QueueRules>) {
        if self.queue_rules != rules {
            self.queue_rules = rules;
            self.update_classes();
        }
    }

    /// Accepts a job, whose rows come with a later batch. Returns false and changes nothing when the id is already in
    /// use.
    pub fn submit(&mut self, id: JobId, queue: SmolStr, spec: Arc<JobSpec>, now: Now) -> bool {
        self.submit_for_team(id, queue, SmolStr::default(), spec, now)
    }

    /// Like [`Scheduler::submit`], for a job of a team; empty for none.
    pub fn submit_for_team(
        &mut self,
        id: JobId,
        queue: SmolStr,
        team: SmolStr,
        spec: Arc<JobSpec>,
        now: Now,
    ) -> bool {
        let job = Job::new(id, queue, spec, now.store_ms).with_team(team);
        self.submit_job(job, now)
    }

    /// Like [`Scheduler::submit`], for a job without progress. A job whose accepted rules are unknown gets the present ones of
    /// its queue.
    pub fn submit_job(&mut self, job: Job, now: Now) -> bool {
        let id = job.id;
        if self.jobs.contains_key(&id) {
            return false;
        }
        let rules = job.accepted_rules().or(self.queue_rules.get(&job.queue));
        let rules = rules.copied();
        let job = job.with_accepted_rules(rules);
        if job.spec().occurrences == 0 {
            let work = job.remaining_batch_work(0);
            self.arrivals_of(&job.team)
                .record(work, job.critical_path_ms(), now.local_ms);
            self.overload.record(work);
        }
        self.count_submission(id, &job.team, now);
        self.insert_job(job, now);
        self.dirty_jobs.insert(id);
        true
    }

    pub(crate) fn insert_job(&mut self, job: Job, now: Now) {
        let id = job.id;
        if !job.has_ended() && !job.has_started() {
            let queue = (job.queue.clone(), job.assignment_key.clone());
            let jobs = self.not_started.entry(queue).or_default();
            jobs.insert(id);
        }
        if job.has_ended() {
            self.ended_jobs.insert((job.ended_at_ms(), id));
        } else {
            if job.spec().steps.iter().any(|step| step.is_service) {
                self.service_jobs.insert(id);
            }
            if job
                .accepted_rules()
                .is_some_and(|rules| rules.policy.is_some())
            {
                self.jobs_accepted_with_policy.insert(id);
            }
        }
        self.jobs.insert(id, job);
        self.unblock(id, now);
    }

    /// The rules by which a job is scheduled: those of its queue, or, once the configuration has dropped the queue, those under
    /// which the job was accepted.
    pub(crate) fn rules<'a>(&'a self, job: &'a Job) -> Option<&'a QueueRules> {
        let present = self.queue_rules.get(&job.queue);
        present.or(job.accepted_rules())
    }

    /// Removes a submitted job that is in no written row. Returns false and changes nothing when the rows of the job are
    /// written, or when the id is unknown. A job in a taken batch must have been removed from the batch before; see
    /// [`Batch::remove_jobs`](crate::Batch::remove_jobs).
    pub fn withdraw(&mut self, id: JobId, now: Now) -> bool {
        if self.recorded_states.contains_key(&id) || !self.jobs.contains_key(&id) {
            return false;
        }
        self.remove_job(id, now);
        self.dirty_jobs.remove(id);
        true
    }

    /// Removes a job from the scheduler, but not from the written rows. An unknown job is ignored.
    pub fn remove_job(&mut self, id: JobId, now: Now) {
        self.remove_not_started(id);
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.ended_jobs.remove(&(job.ended_at_ms(), id));
        self.service_jobs.remove(&id);
        self.jobs_accepted_with_policy.remove(&id);
        self.forget_policy_decisions(id);
        self.counted_crashes.retain(|task, _| task.job != id);
        self.teams.forget_job(id);
        self.deferred_commands.remove(&id);
        for (index, task) in job.tasks() {
            let (occurrence, step, _) = job.position(index);
            self.ready.remove(step_key(id, occurrence, step));
            if let TaskPhase::Assigned { worker } = &task.phase
                && let Some(&key) = self.workers_by_id.get(worker)
            {
                self.remove_attempt(key, TaskKey { job: id, index }, now);
            }
        }
    }

    /// Removes a job from the jobs that have not started, because an attempt has started on a worker or the job has ended.
    pub(crate) fn remove_not_started(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let queue = (job.queue.clone(), job.assignment_key.clone());
        if let Some(jobs) = self.not_started.get_mut(&queue) {
            jobs.remove(&id);
            if jobs.is_empty() {
                self.not_started.remove(&queue);
            }
        }
    }

    /// Cancels a job and returns the job's status. Running attempts are stopped once the job's rows are written.
    pub fn cancel(&mut self, id: JobId, now: Now) -> JobStatus {
        let status = self.job_status(id);
        if status == JobStatus::Unknown {
            return status;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return JobStatus::Unknown;
        };
        if job.cancel(now.store_ms) {
            self.finish_job(id);
            self.dirty_jobs.insert(id);
        }
        self.job_status(id)
    }

    /// Returns the status of a job, as callers may be told.
    #[must_use]
    pub fn job_status(&self, id: JobId) -> JobStatus {
        match (self.recorded_states.get(&id), self.jobs.contains_key(&id)) {
            (Some(state), _) => JobStatus::Recorded(*state),
            (None, true) => JobStatus::NotYetRecorded,
            (None, false) => JobStatus::Unknown,
        }
    }

    /// Returns whether the written rows have the current state of a job. False for an unknown job.
    #[must_use]
    pub fn is_job_recorded(&self, id: JobId) -> bool {
        let state = self.jobs.get(&id).map(Job::state);
        state.is_some() && state == self.recorded_states.get(&id).copied()
    }

    /// Returns the number of jobs of a queue of which no attempt is known to have started on a worker.
    #[must_use]
    pub fn not_started_jobs(&self, queue: &str) -> usize {
        self.not_started_jobs_of(queue, "")
    }

    /// Like [`Scheduler::not_started_jobs`], with the jobs of queues that had this assignment key before; empty for none.
    #[must_use]
    pub fn not_started_jobs_of(&self, queue: &str, assignment_key: &str) -> usize {
        let queues = self.not_started.iter();
        let counted = queues
            .filter(|((name, key), _)| name == queue || (!key.is_empty() && key == assignment_key));
        counted.map(|(_, jobs)| jobs.len()).sum()
    }

    /// Returns the number of steps with a task that could start.
    #[must_use]
    pub fn ready_steps(&self) -> usize {
        self.ready.len()
    }

    /// Returns what the last round of placement did.
    #[must_use]
    pub fn last_round(&self) -> RoundSummary {
        self.last_round
    }

    /// Returns the first task of the step that is placed first, or `None` when no step is ready.
    #[must_use]
    pub fn first_ready_task(&self) -> Option<TaskKey> {
        let (_, key) = self.ready.ranked().next()?;
        let mut tasks = self
            .jobs
            .get(&key.job)?
            .idle_tasks(key.occurrence, usize::from(key.step));
        Some(TaskKey {
            job: key.job,
            index: tasks.next()?,
        })
    }

    /// Returns the job with this id, or `None` when the pool has no such job.
    #[must_use]
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Applies the passage of time: ends the attempts on workers that are unresponsive or have no known address once
    /// all leases there have expired, adds steps that became due, moves steps past their latest start to the back, and
    /// removes ended jobs after their retention time.
    pub fn tick(&mut self, now: Now) {
        let expired = self.workers.iter().filter(|(_, worker)| {
            now.local_ms > worker.leases_expired_by_ms
                && (worker.is_unresponsive || worker.info.addr.is_empty())
        });
        for key in expired.map(|(key, _)| key).collect::<Vec<_>>() {
            self.expire_leases(key, now);
        }
        while let Some(&(due_ms, step)) = self.scheduled_steps.first() {
            if due_ms > now.unix_ms {
                break;
            }
            self.scheduled_steps.remove(&(due_ms, step));
            self.update_ready(step, now);
        }
        for step in self.ready.outdated(now.store_ms) {
            self.update_ready(step, now);
        }
        let retention_ms = self.limits.ended_job_retention_ms;
        let ended = self.ended_jobs.iter().copied();
        let removable = ended
            .take_while(|(ended_ms, _)| now.store_ms >= ended_ms.saturating_add(retention_ms))
            .filter(|(_, job)| !self.may_run_for_team(*job));
        for (_, job) in removable.collect::<Vec<_>>() {
            self.remove_job(job, now);
            self.dirty_jobs.insert(job);
        }
    }

    /// Applies the outcome of an attempt that is assigned to a worker.
    pub(crate) fn end_attempt(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        number: u32,
        outcome: AttemptOutcome,
        now: Now,
    ) {
        if self.is_assigned(key, task, number) {
            self.remove_attempt(key, task, now);
        }
        let rules = self.jobs.get(&task.job).and_then(|job| self.rules(job));
        let max_failures = rules.map_or(u32::MAX, |rules| rules.max_failures);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if !job.end_attempt(task.index, number, outcome, max_failures, now.store_ms) {
            return;
        }
        self.dirty_jobs.insert(task.job);
        if self.jobs[&task.job].has_ended() {
            self.finish_job(task.job);
        } else {
            self.unblock(task.job, now);
        }
    }

    /// Removes an ended job from the ready steps and adds stop commands for its running attempts.
    pub(crate) fn finish_job(&mut self, id: JobId) {
        self.service_jobs.remove(&id);
        self.jobs_accepted_with_policy.remove(&id);
        self.remove_not_started(id);
        self.forget_policy_decisions(id);
        let job = &self.jobs[&id];
        self.ended_jobs.insert((job.ended_at_ms(), id));
        self.deferred_commands.remove(&id);
        let mut stops = Vec::new();
        for (index, task) in job.tasks() {
            let (occurrence, step, _) = job.position(index);
            self.ready.remove(step_key(id, occurrence, step));
            let TaskPhase::Assigned { worker } = &task.phase else {
                continue;
            };
            if let Some(&worker) = self.workers_by_id.get(worker) {
                stops.push(WorkerCommand::Stop {
                    worker,
                    name: job.task_name(index),
                    task: Some(TaskKey { job: id, index }),
                    attempt: task.attempt,
                });
            }
        }
        self.deferred_commands.entry(id).or_default().extend(stops);
    }

    /// Adds all steps of a job that could start to the ready steps.
    pub(crate) fn unblock(&mut self, id: JobId, now: Now) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.has_ended() {
            return;
        }
        let occurrences = job.spec().occurrences.max(1);
        let steps = job.spec().steps.len();
        let all =
            (0..occurrences).flat_map(|occurrence| (0..steps).map(move |step| (occurrence, step)));
        for (occurrence, step) in all {
            self.update_ready(step_key(id, occurrence, step), now);
        }
    }

    /// Adds a step to the ready steps, or removes a step that could not start. A step that is due later is scheduled.
    pub(crate) fn update_ready(&mut self, key: StepKey, now: Now) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let step = usize::from(key.step);
        let has_idle_task = job.idle_tasks(key.occurrence, step).next().is_some();
        if job.has_ended() || !has_idle_task || !job.is_unblocked(key.occurrence, step) {
            self.ready.remove(key);
            return;
        }
        if let Some(due_ms) = job.due_unix_ms(key.occurrence)
            && now.unix_ms < due_ms
        {
            self.scheduled_steps.insert((due_ms, key));
            return;
        }
        let (rank, changes_at_ms) = self.rank(job, key, now);
        self.ready.insert(key, rank, changes_at_ms);
        self.add_to_team(key, rank);
    }

    /// Assigns a task to a worker as the task's next attempt, numbered at least `min_attempt`.
    pub(crate) fn assign(&mut self, key: WorkerKey, task: TaskKey, min_attempt: u32, now: Now) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let worker = self.workers[key].info.id.clone();
        let attempt = job.assign(task.index, worker, min_attempt);
        let crashes = job.task(task.index).map_or(0, |task| task.crashes);
        let team = self.teams.key(&job.team);
        let mut assigned =
            AssignedAttempt::new(attempt, job.step(task.index), crashes, now.local_ms);
        let (occurrence, step, _) = job.position(task.index);
        let step = step_key(task.job, occurrence, step);
        self.ready.by_team.record_start(step);
        let checkpoint = job.task(task.index).map(|task| task.checkpoint.clone());
        let command = WorkerCommand::Start {
            worker: key,
            task,
            attempt,
            checkpoint: checkpoint.unwrap_or_default(),
        };
        self.deferred_commands
            .entry(task.job)
            .or_default()
            .push(command);
        assigned.is_isolated &= self.may_isolate_another(crashes);
        self.insert_attempt(key, task, assigned.with_team(team));
        self.dirty_jobs.insert(task.job);
    }
}

pub(crate) fn step_key(job: JobId, occurrence: u32, step: usize) -> StepKey {
    StepKey {
        job,
        occurrence,
        step: u16::try_from(step).unwrap_or(u16::MAX),
    }
}
