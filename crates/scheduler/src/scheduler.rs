//! The scheduler's state, and the events that change it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use slotmap::SlotMap;
use smol_str::SmolStr;
use submission::{Job, JobId, JobSpec, JobState, Phase, RunEnd, TaskKey};

use crate::advice::Advice;
use crate::batch::Action;
use crate::demand::Trend;
use crate::ready::{Rank, Ready, StepKey};
use crate::types::{JobAnswer, Limits, Note, Now, QueueRules};
use crate::worker::{Run, Worker, WorkerKey};

/// What the rest of a chain that has begun takes of its estimate, in percent: a step ends with its slowest task.
const BEGUN_CHAIN_PERCENT: u64 = 115;

/// The same for a chain that has not begun. Under overload every job starts at its latest start, so that one that is
/// set too late makes all of them late; estimates are off by a fifth to a half.
const UNTOUCHED_CHAIN_PERCENT: u64 = 140;

/// Decides for the jobs and workers of one pool.
#[derive(Debug, Clone)]
pub struct Scheduler {
    pub(crate) limits: Limits,
    pub(crate) workers: SlotMap<WorkerKey, Worker>,
    pub(crate) by_id: HashMap<SmolStr, WorkerKey>,
    /// Lives that are over and still in the registry, which lags.
    pub(crate) ended_lives: BTreeSet<SmolStr>,
    pub(crate) jobs: HashMap<JobId, Job>,
    pub(crate) rules: HashMap<SmolStr, QueueRules>,
    pub(crate) ready: Ready,
    /// Steps that are due at a time, in ms since 1970.
    pub(crate) timed: BTreeSet<(u64, StepKey)>,
    /// Jobs whose rows have to be written.
    pub(crate) dirty: BTreeSet<JobId>,
    /// Orders that wait for a job's row.
    pub(crate) actions: HashMap<JobId, Vec<Action>>,
    /// Orders that follow rows written before: stops and paces.
    pub(crate) urgent: Vec<Action>,
    /// The state by the rows written.
    pub(crate) recorded: HashMap<JobId, JobState>,
    /// Jobs that have ended, by when.
    pub(crate) ended: BTreeSet<(u64, JobId)>,
    /// How many jobs of each queue have not started.
    pub(crate) pending: BTreeMap<SmolStr, usize>,
    pub(crate) notes: Vec<Note>,
    pub(crate) trend: Trend,
    /// What the policy service said, by step.
    pub(crate) advice: HashMap<StepKey, Advice>,
    /// The jobs with lasting tasks that have not ended.
    pub(crate) lasting: BTreeSet<JobId>,
}

impl Scheduler {
    /// A scheduler that knows nothing yet.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            workers: SlotMap::with_key(),
            by_id: HashMap::new(),
            ended_lives: BTreeSet::new(),
            jobs: HashMap::new(),
            rules: HashMap::new(),
            ready: Ready::default(),
            timed: BTreeSet::new(),
            dirty: BTreeSet::new(),
            actions: HashMap::new(),
            urgent: Vec::new(),
            recorded: HashMap::new(),
            ended: BTreeSet::new(),
            pending: BTreeMap::new(),
            notes: Vec::new(),
            trend: Trend::default(),
            advice: HashMap::new(),
            lasting: BTreeSet::new(),
        }
    }

    /// What has changed in the scheduler's beliefs since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Takes over what a configuration says of the queues.
    pub fn set_rules(&mut self, rules: HashMap<SmolStr, QueueRules>) {
        self.rules = rules;
    }

    /// A job was handed in. False when it is known already.
    pub fn submit(&mut self, id: JobId, queue: SmolStr, spec: Arc<JobSpec>, now: Now) -> bool {
        if self.jobs.contains_key(&id) {
            return false;
        }
        let job = Job::new(id, queue, spec, now.store_ms);
        self.insert_job(job, now);
        self.dirty.insert(id);
        true
    }

    pub(crate) fn insert_job(&mut self, job: Job, now: Now) {
        let id = job.id;
        if job.state() == JobState::Queued {
            *self.pending.entry(job.queue.clone()).or_default() += 1;
        }
        if job.has_ended() {
            self.ended.insert((job.ended_at_ms(), id));
        } else if job.spec().steps.iter().any(|step| step.is_lasting) {
            self.lasting.insert(id);
        }
        self.jobs.insert(id, job);
        self.unblock(id, now);
    }

    /// Takes back a job that was never written. False when it may have been.
    pub fn withdraw(&mut self, id: JobId, now: Now) -> bool {
        if self.recorded.contains_key(&id) || !self.dirty.contains(&id) {
            return false;
        }
        self.forget(id, now);
        self.dirty.remove(&id);
        true
    }

    /// Drops what is known of a job, without touching its rows.
    pub fn forget(&mut self, id: JobId, now: Now) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        if job.state() == JobState::Queued {
            self.count_pending_out(&job.queue);
        }
        self.ended.remove(&(job.ended_at_ms(), id));
        self.lasting.remove(&id);
        self.actions.remove(&id);
        for (index, task) in job.tasks() {
            let (occurrence, step, _) = job.place(index);
            self.ready.remove(step_key(id, occurrence, step));
            if let Phase::Assigned { worker } = &task.phase {
                let key = self.by_id.get(worker);
                if let Some(worker) = key.and_then(|key| self.workers.get_mut(*key)) {
                    worker.remove(TaskKey { job: id, index }, now.local_ms);
                }
            }
        }
    }

    fn count_pending_out(&mut self, queue: &SmolStr) {
        if let Some(count) = self.pending.get_mut(queue) {
            *count = count.saturating_sub(1);
        }
    }

    /// Cancels a job. What runs is stopped once the row is written.
    pub fn cancel(&mut self, id: JobId, now: Now) -> JobAnswer {
        let answer = self.answer(id);
        if answer == JobAnswer::Unknown {
            return answer;
        }
        let was_queued = self.jobs[&id].state() == JobState::Queued;
        let Some(job) = self.jobs.get_mut(&id) else {
            return JobAnswer::Unknown;
        };
        if job.cancel(now.store_ms) {
            let queue = job.queue.clone();
            if was_queued {
                self.count_pending_out(&queue);
            }
            self.settle_ended(id);
            self.dirty.insert(id);
        }
        self.answer(id)
    }

    /// What callers may be told of a job.
    #[must_use]
    pub fn answer(&self, id: JobId) -> JobAnswer {
        match (self.recorded.get(&id), self.jobs.contains_key(&id)) {
            (Some(state), _) => JobAnswer::Recorded(*state),
            (None, true) => JobAnswer::NotYetRecorded,
            (None, false) => JobAnswer::Unknown,
        }
    }

    /// Whether all that is known of a job is in its rows.
    #[must_use]
    pub fn is_written(&self, id: JobId) -> bool {
        let state = self.jobs.get(&id).map(Job::state);
        state.is_some() && state == self.recorded.get(&id).copied()
    }

    /// How many jobs of a queue have not started.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        self.pending.get(queue).copied().unwrap_or(0)
    }

    /// How many steps wait for a worker.
    #[must_use]
    pub fn waiting_steps(&self) -> usize {
        self.ready.len()
    }

    /// A job, for its spec and its row.
    #[must_use]
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Time has passed: leases lapse, steps come due, late jobs go back in the order, old jobs are removed.
    pub fn tick(&mut self, now: Now) {
        let lapsed = self.workers.iter().filter(|(_, worker)| {
            now.local_ms > worker.lapse_at_ms && (worker.is_silent || worker.info.addr.is_empty())
        });
        for key in lapsed.map(|(key, _)| key).collect::<Vec<_>>() {
            self.lapse(key, now);
        }
        while let Some(&(due_ms, step)) = self.timed.first() {
            if due_ms > now.unix_ms {
                break;
            }
            self.timed.remove(&(due_ms, step));
            self.offer(step, now);
        }
        for (rank, step) in self.ready.turned_late(now.store_ms) {
            let is_late = true;
            self.ready.insert(step, Rank { is_late, ..rank });
        }
        while let Some(&(ended_ms, job)) = self.ended.first() {
            if now.store_ms < ended_ms + self.limits.keep_ended_ms {
                break;
            }
            self.ended.remove(&(ended_ms, job));
            self.forget(job, now);
            self.dirty.insert(job);
        }
    }

    /// Takes in the end of a run that was assigned to a worker.
    pub(crate) fn end_run(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        number: u32,
        end: RunEnd,
        now: Now,
    ) {
        if let Some(worker) = self.workers.get_mut(key)
            && worker
                .runs
                .get(&task)
                .is_some_and(|run| run.number == number)
        {
            worker.remove(task, now.local_ms);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let attempts = self
            .rules
            .get(&job.queue)
            .map_or(u32::MAX, |rules| rules.attempts);
        if !job.end_run(task.index, number, end, attempts, now.store_ms) {
            return;
        }
        self.dirty.insert(task.job);
        if self.jobs[&task.job].has_ended() {
            self.settle_ended(task.job);
        } else {
            self.unblock(task.job, now);
        }
    }

    /// An ended job waits for nothing, and what still runs of it is stopped.
    fn settle_ended(&mut self, id: JobId) {
        self.lasting.remove(&id);
        let job = &self.jobs[&id];
        self.ended.insert((job.ended_at_ms(), id));
        self.actions.remove(&id);
        let mut stops = Vec::new();
        for (index, task) in job.tasks() {
            let (occurrence, step, _) = job.place(index);
            self.ready.remove(step_key(id, occurrence, step));
            let Phase::Assigned { worker } = &task.phase else {
                continue;
            };
            if let Some(&worker) = self.by_id.get(worker) {
                stops.push(Action::Stop {
                    worker,
                    name: job.task_name(index),
                    task: Some(TaskKey { job: id, index }),
                    run: task.run,
                });
            }
        }
        self.actions.entry(id).or_default().extend(stops);
    }

    /// Offers all steps of a job that could start.
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
            self.offer(step_key(id, occurrence, step), now);
        }
    }

    /// Puts a step among those that could start, if it is one.
    pub(crate) fn offer(&mut self, key: StepKey, now: Now) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let step = usize::from(key.step);
        let mut tasks = job.step_tasks(key.occurrence, step);
        let has_idle = tasks.any(|index| {
            job.task(index)
                .is_some_and(|task| task.phase == Phase::Idle)
        });
        if job.has_ended() || !has_idle || !job.is_unblocked(key.occurrence, step) {
            self.ready.remove(key);
            return;
        }
        if let Some(due_ms) = job.due_unix_ms(key.occurrence)
            && now.unix_ms < due_ms
        {
            self.timed.insert((due_ms, key));
            return;
        }
        let rank = self.rank(job, key, now);
        self.ready.insert(key, rank);
    }

    /// When a job has to be done to meet its objective, on the store's clock.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "run times are far below the limits of the types"
    )]
    pub(crate) fn due_ms(&self, job: &Job) -> u64 {
        let rules = self.rules.get(&job.queue);
        let stretch = rules.map_or(1.0, |rules| rules.stretch);
        let objective_ms = rules.map_or(0, |rules| rules.objective_ms);
        let stretched_ms = (job.full_chain_ms() as f64 * stretch) as u64;
        job.accepted_at_ms + stretched_ms + objective_ms
    }

    fn rank(&self, job: &Job, key: StepKey, now: Now) -> Rank {
        let is_untouched = job.state() == JobState::Queued;
        let percent = if is_untouched {
            UNTOUCHED_CHAIN_PERCENT
        } else {
            BEGUN_CHAIN_PERCENT
        };
        let left_ms = job.chain_ms(key.occurrence) * percent / 100;
        let latest_start_ms = self.due_ms(job).saturating_sub(left_ms);
        let is_lasting = job.spec().steps[usize::from(key.step)].is_lasting;
        let rules = self.rules.get(&job.queue);
        Rank {
            is_late: !is_lasting && latest_start_ms < now.store_ms,
            is_brief: !is_lasting,
            priority: rules.map_or(u32::MAX, |rules| rules.priority),
            is_untouched,
            latest_start_ms,
        }
    }

    pub(crate) fn assign(&mut self, key: WorkerKey, task: TaskKey, least_run: u32, now: Now) {
        let worker = &mut self.workers[key];
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let was_queued = job.state() == JobState::Queued;
        let run = job.assign(task.index, worker.info.id.clone(), least_run);
        worker.insert(task, Run::new(run, job.step(task.index), now.local_ms));
        let checkpoint = job.task(task.index).map(|task| task.checkpoint.clone());
        let action = Action::Start {
            worker: key,
            task,
            run,
            checkpoint: checkpoint.unwrap_or_default(),
        };
        let queue = job.queue.clone();
        self.actions.entry(task.job).or_default().push(action);
        self.dirty.insert(task.job);
        if was_queued {
            self.count_pending_out(&queue);
        }
    }
}

pub(crate) fn step_key(job: JobId, occurrence: u32, step: usize) -> StepKey {
    StepKey {
        job,
        occurrence,
        step: u16::try_from(step).unwrap_or(u16::MAX),
    }
}
