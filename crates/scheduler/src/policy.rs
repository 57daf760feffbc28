//! Requests to the policy service, and its decisions on which workers may run a step.
//!
//! A request names a limited number of workers: those whose authorization for the step has expired, then those that were not named for
//! it before. So each usable worker is named after about `ceil(usable / MAX_WORKERS_PER_REQUEST)` requests for the step, whichever
//! workers have the most free capacity meanwhile.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use smol_str::{SmolStr, format_smolstr};
use submission::{Job, JobId, StepSpec, TaskKey};

use crate::plan::{fits, is_below_step_limit};
use crate::ready::StepKey;
use crate::scheduler::{Scheduler, step_key};
use crate::types::Now;
use crate::worker::{Worker, WorkerKey};

/// The largest number of new requests at a time. The service handles one call of each daemon at a time.
const REQUESTS: Share = Share {
    by_rank: 2,
    by_wait: 2,
};

/// The largest number of workers in a request. Each takes the service time, and a step rarely needs more.
const MAX_WORKERS_PER_REQUEST: usize = 30;

/// The delay before a request is repeated when the service did not respond.
const REQUEST_RETRY_DELAY_MS: u64 = 1000;

/// How long a refusal holds at least. The service is not asked all the time about workers that it refuses, however short its
/// decisions hold.
const MIN_REFUSAL_MS: u64 = 1000;

/// How long a step that needs no request is left alone.
const RECHECK_DELAY_MS: u64 = 200;

/// The largest number of steps that are examined at a time, of those that every worker was refused for and of the others. Bounds
/// the work under overload.
const EXAMINED_STEPS: Share = Share {
    by_rank: 32,
    by_wait: 32,
};

/// How many steps are selected at a time: the first by rank, and of the others those that have waited longest, so that steps
/// that are due again and again don't keep those behind them waiting for good.
#[derive(Debug, Clone, Copy)]
struct Share {
    by_rank: usize,
    by_wait: usize,
}

impl Share {
    /// Selects from steps in the order of their rank. `wait` is the order of the others, the lowest first.
    fn select<T, K: Ord>(self, mut steps: Vec<T>, wait: impl Fn(&T) -> K) -> Vec<T> {
        let mut others = steps.split_off(self.by_rank.min(steps.len()));
        others.sort_by_key(wait);
        others.truncate(self.by_wait);
        steps.append(&mut others);
        steps
    }
}

/// The decisions of the policy service, by step.
pub(crate) type PolicyDecisions = BTreeMap<StepKey, PolicyDecision>;

/// What is known of the policy decision on a step. Times are in ms on the daemon's clock.
#[derive(Debug, Clone, Default)]
pub(crate) struct PolicyDecision {
    workers: HashMap<WorkerKey, WorkerDecision>,
    /// The workers that the last request names, until its response.
    named: Vec<WorkerKey>,
    /// Whether the last request left out workers that were not named before.
    has_unnamed: bool,
    /// Whether the service has refused every usable worker.
    is_refused: bool,
    /// Whether a worker has demanded an authorization although the rules of the job have no policy. They may be outdated.
    is_demanded: bool,
    /// No authorization for the step is valid from this time on.
    authorized_until_ms: u64,
    /// The step is not examined before.
    not_before_ms: u64,
    /// When a request was last sent for the step, or found to be needless; 0 before.
    settled_at_ms: u64,
}

/// The decision on one worker, for the incarnation that was named.
#[derive(Debug, Clone, Default)]
struct WorkerDecision {
    named_at_ms: u64,
    /// The authorization token, also after it has expired; `None` when the service has not authorized the worker.
    token: Option<SmolStr>,
    /// Until when the response holds; 0 without a response.
    until_ms: u64,
}

impl PolicyDecision {
    fn token(&self, worker: WorkerKey, now_ms: u64) -> Option<&SmolStr> {
        let decision = self.workers.get(&worker)?;
        decision
            .token
            .as_ref()
            .filter(|_| now_ms < decision.until_ms)
    }

    fn is_known(&self, worker: WorkerKey, now_ms: u64) -> bool {
        let decision = self.workers.get(&worker);
        decision.is_some_and(|decision| now_ms < decision.until_ms)
    }

    /// Whether the last response authorized the worker, and when the worker was last named; 0 when it was not.
    fn history(&self, worker: WorkerKey) -> (bool, u64) {
        let decision = self.workers.get(&worker);
        decision.map_or((false, 0), |decision| {
            (decision.token.is_some(), decision.named_at_ms)
        })
    }

    /// Forgets a worker, so that the next request names it.
    fn forget(&mut self, worker: WorkerKey) {
        self.workers.remove(&worker);
        self.named.retain(|named| *named != worker);
        self.is_refused = false;
    }

    fn record_request(&mut self, workers: Vec<WorkerKey>, has_unnamed: bool, now_ms: u64) {
        for &worker in &workers {
            let decision = self.workers.entry(worker).or_default();
            decision.named_at_ms = now_ms;
            decision.until_ms = 0;
        }
        self.named = workers;
        self.has_unnamed = has_unnamed;
        self.not_before_ms = now_ms + REQUEST_RETRY_DELAY_MS;
        self.settled_at_ms = now_ms;
    }

    /// Records the response to the last request.
    fn record_response(&mut self, tokens: HashMap<WorkerKey, SmolStr>, valid_ms: u64, now_ms: u64) {
        let refused_until_ms = now_ms.saturating_add(valid_ms.max(MIN_REFUSAL_MS));
        for worker in std::mem::take(&mut self.named) {
            let decision = self.workers.get_mut(&worker);
            if let Some(decision) = decision.filter(|_| !tokens.contains_key(&worker)) {
                decision.token = None;
                decision.until_ms = refused_until_ms;
            }
        }
        for (worker, token) in tokens {
            let decision = self.workers.entry(worker).or_default();
            decision.token = Some(token);
            decision.until_ms = now_ms.saturating_add(valid_ms);
            self.authorized_until_ms = self.authorized_until_ms.max(decision.until_ms);
        }
        let mut decisions = self.workers.values();
        self.is_refused = !self.has_unnamed && decisions.all(|decision| decision.token.is_none());
        self.not_before_ms = now_ms;
    }
}

/// A request to the policy service: which of these workers may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicyRequest {
    /// The name of the step: the job, the occurrence and the step's index, separated by dots.
    pub step: SmolStr,
    /// The first task of the step, to be passed to `Scheduler::apply_policy_decision` with the decision.
    pub task: TaskKey,
    /// The ids of the workers.
    pub workers: Vec<SmolStr>,
    /// The time that the service needs for the decision, in ms, by the rules of the job.
    pub expected_ms: u64,
    /// The number of usable workers that could run a task of the step, by its label and its size.
    pub usable_workers: usize,
    /// The number of these that were not named for the step before, and are not named now.
    pub remaining_workers: usize,
}

/// The workers that a request for a step would name.
struct Candidates {
    key: StepKey,
    /// How long the step has waited for a request.
    waited_ms: u64,
    task: TaskKey,
    /// Those without a decision, in the order in which they are to be named.
    workers: Vec<WorkerKey>,
    usable_workers: usize,
    /// The number of `workers` that were not named before.
    new_workers: usize,
    /// Whether the last response for one of `workers` authorized it.
    has_authorized: bool,
}

impl Scheduler {
    /// Returns whether any queue has a policy, any job was accepted under one, or a worker has demanded an authorization.
    #[must_use]
    pub fn has_policies(&self) -> bool {
        !self.jobs_accepted_with_policy.is_empty()
            || !self.policy_decisions.is_empty()
            || self
                .queue_rules
                .values()
                .any(|rules| rules.policy.is_some())
    }

    /// Whether the policy service has to authorize the workers for a step of a job.
    pub(crate) fn needs_authorization(&self, job: &Job, step: StepKey) -> bool {
        let decision = self.policy_decisions.get(&step);
        decision.is_some_and(|decision| decision.is_demanded)
            || self.rules(job).is_some_and(|rules| rules.policy.is_some())
    }

    /// Whether the step needs no authorization or one may be valid.
    pub(crate) fn may_be_authorized(&self, job: &Job, step: StepKey, now: Now) -> bool {
        let decision = self.policy_decisions.get(&step);
        !self.needs_authorization(job, step)
            || decision.is_some_and(|decision| now.local_ms < decision.authorized_until_ms)
    }

    pub(crate) fn authorization_for_step(
        &self,
        step: StepKey,
        worker: WorkerKey,
        now: Now,
    ) -> Option<&SmolStr> {
        let decision = self.policy_decisions.get(&step)?;
        decision.token(worker, now.local_ms)
    }

    /// Returns the authorization token for a task on a worker, or `None` when the policy service has not authorized the
    /// worker, the authorization has expired, or the job or the worker has been removed.
    #[must_use]
    pub fn authorization(&self, worker: WorkerKey, task: TaskKey, now: Now) -> Option<SmolStr> {
        let (occurrence, step, _) = self.jobs.get(&task.job)?.position(task.index);
        self.authorization_for_step(step_key(task.job, occurrence, step), worker, now)
            .cloned()
    }

    /// Forgets the authorization of a worker for the step of a task, which the worker has rejected. Its start had none if the job
    /// has no policy, and is not repeated without one.
    pub(crate) fn authorization_rejected(&mut self, task: TaskKey, worker: WorkerKey) {
        let Some(job) = self.jobs.get(&task.job).filter(|job| !job.has_ended()) else {
            return;
        };
        let (occurrence, step, _) = job.position(task.index);
        let step = step_key(task.job, occurrence, step);
        let is_demanded = !self.needs_authorization(job, step);
        let decision = self.policy_decisions.entry(step).or_default();
        decision.forget(worker);
        if is_demanded {
            decision.is_demanded = true;
            self.update_class(step);
        }
    }

    /// Forgets all decisions on a worker. They are valid for one incarnation.
    pub(crate) fn forget_authorizations(&mut self, worker: WorkerKey) {
        for decision in self.policy_decisions.values_mut() {
            decision.forget(worker);
        }
    }

    /// Forgets the policy decisions on the steps of a job.
    pub(crate) fn forget_policy_decisions(&mut self, job: JobId) {
        let steps = step_key(job, 0, 0)..=step_key(job, u32::MAX, usize::MAX);
        let steps = self.policy_decisions.range(steps);
        for step in steps.map(|(step, _)| *step).collect::<Vec<_>>() {
            self.policy_decisions.remove(&step);
        }
    }

    /// Returns the requests to send to the policy service now, and records them as sent. There are none for teams at their
    /// limits. They are for the steps that come first in rank and for those that have waited longest. Steps that every worker was
    /// refused for come last.
    pub fn policy_requests(&mut self, now: Now) -> Vec<PolicyRequest> {
        let usable = self.workers.iter();
        let mut usable: Vec<_> = usable
            .filter(|(_, worker)| worker.is_usable(now.local_ms))
            .collect();
        usable.sort_by_key(|(_, worker)| Reverse(worker.free_capacity().cpu_milli));
        if usable.is_empty() {
            return Vec::new();
        }
        let mut unsettled = [Vec::new(), Vec::new()];
        for (_, key) in self.ready.ranked() {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let decision = self.policy_decisions.get(&key);
            let not_before_ms = decision.map_or(0, |decision| decision.not_before_ms);
            if !self.needs_authorization(job, key) || now.local_ms < not_before_ms {
                continue;
            }
            let team = self.teams.get(&job.team);
            if team.is_some_and(|(team, _)| self.is_at_limit(team)) {
                continue;
            }
            let is_refused = decision.is_some_and(|decision| decision.is_refused);
            let settled_at_ms = decision.map_or(0, |decision| decision.settled_at_ms);
            let waited_ms = if settled_at_ms == 0 {
                now.store_ms.saturating_sub(job.accepted_at_ms)
            } else {
                now.local_ms.saturating_sub(settled_at_ms)
            };
            unsettled[usize::from(is_refused)].push((key, waited_ms));
        }
        let mut due = Vec::new();
        let mut needless = Vec::new();
        let examined = unsettled
            .map(|steps| EXAMINED_STEPS.select(steps, |(_, waited_ms)| Reverse(*waited_ms)));
        for (key, waited_ms) in examined.into_iter().flatten() {
            let job = &self.jobs[&key.job];
            match self.policy_candidates(job, key, waited_ms, &usable, now) {
                Some(candidates) => due.push(candidates),
                None => needless.push(key),
            }
        }
        let is_refused =
            |candidates: &Candidates| candidates.new_workers == 0 && !candidates.has_authorized;
        due.sort_by_key(is_refused);
        let due = REQUESTS.select(due, |candidates| {
            (is_refused(candidates), Reverse(candidates.waited_ms))
        });
        for key in needless {
            let decision = self.policy_decisions.entry(key).or_default();
            decision.not_before_ms = now.local_ms + RECHECK_DELAY_MS;
            decision.settled_at_ms = now.local_ms;
        }
        due.into_iter()
            .map(|candidates| self.policy_request(candidates, now))
            .collect()
    }

    /// The workers to name for a step, of the `usable` ones; `None` when the step needs no request, as a worker that may run it
    /// has room for it or there is nobody to ask about.
    fn policy_candidates(
        &self,
        job: &Job,
        key: StepKey,
        waited_ms: u64,
        usable: &[(WorkerKey, &Worker)],
        now: Now,
    ) -> Option<Candidates> {
        let step = &job.spec().steps[usize::from(key.step)];
        let decision = self.policy_decisions.get(&key);
        let could_run = |worker: &Worker| {
            worker.has_label(&step.required_label) && step.footprint().fits(worker.info.capacity)
        };
        let usable: Vec<_> = usable
            .iter()
            .filter(|(_, worker)| could_run(worker))
            .collect();
        let is_authorized =
            |worker: WorkerKey| self.authorization_for_step(key, worker, now).is_some();
        let has_authorized = usable.iter().any(|(worker, _)| is_authorized(*worker));
        if has_authorized && self.is_placeable(job, step, key, now) {
            return None;
        }
        let has_room = |worker_key: WorkerKey, worker: &Worker| {
            worker.may_join()
                && fits(worker, step, worker_key, &[], now)
                && is_below_step_limit(worker, job, step, key, worker_key, &[])
        };
        let unknown = usable.iter().filter(|(worker, _)| {
            !decision.is_some_and(|decision| decision.is_known(*worker, now.local_ms))
        });
        let order = |worker_key: WorkerKey, worker: &Worker| {
            let history = decision.map(|decision| decision.history(worker_key));
            let (was_authorized, named_at_ms) = history.unwrap_or_default();
            (!was_authorized, named_at_ms, !has_room(worker_key, worker))
        };
        let mut unknown: Vec<_> = unknown
            .map(|(worker_key, worker)| (order(*worker_key, worker), *worker_key))
            .collect();
        // Beside an authorized worker that is full, only workers with room are of use.
        unknown.retain(|((.., is_full), _)| !(has_authorized && *is_full));
        unknown.sort_by_key(|(order, _)| *order);
        if unknown.is_empty() {
            return None;
        }
        let new_workers = unknown
            .iter()
            .filter(|((_, named_at_ms, _), _)| *named_at_ms == 0);
        Some(Candidates {
            key,
            waited_ms,
            task: TaskKey {
                job: key.job,
                index: job.step_tasks(key.occurrence, usize::from(key.step)).start,
            },
            usable_workers: usable.len(),
            new_workers: new_workers.count(),
            has_authorized: unknown.iter().any(|((is_not, ..), _)| !is_not),
            workers: unknown.into_iter().map(|(_, worker)| worker).collect(),
        })
    }

    /// Whether authorized workers have room for a task of the step, or for all of a gang.
    fn is_placeable(&self, job: &Job, step: &StepSpec, key: StepKey, now: Now) -> bool {
        if step.is_gang {
            return self.gang_workers(job, key, now).is_some();
        }
        let idle = job.idle_tasks(key.occurrence, usize::from(key.step));
        let crashes = idle.filter_map(|index| Some(job.task(index)?.crashes));
        let crashes = crashes.min().unwrap_or(0);
        self.choose(job, step, key, crashes, &[], now).is_some()
    }

    /// Records the next request for a step and returns it.
    fn policy_request(&mut self, candidates: Candidates, now: Now) -> PolicyRequest {
        let Candidates { key, task, .. } = candidates;
        let mut workers = candidates.workers;
        workers.truncate(MAX_WORKERS_PER_REQUEST);
        let ids = workers.iter().filter_map(|worker| self.worker(*worker));
        let ids: Vec<_> = ids.map(|info| info.id.clone()).collect();
        let decision = self.policy_decisions.entry(key).or_default();
        let new = workers
            .iter()
            .filter(|worker| decision.history(**worker).1 == 0);
        let remaining_workers = candidates.new_workers.saturating_sub(new.count());
        decision
            .workers
            .retain(|worker, _| self.workers.contains_key(*worker));
        decision.record_request(workers, remaining_workers > 0, now.local_ms);
        let job = self.jobs.get(&key.job);
        let policy = job
            .and_then(|job| self.rules(job))
            .and_then(|rules| rules.policy);
        PolicyRequest {
            step: format_smolstr!("{}.{}.{}", key.job, key.occurrence, key.step),
            task,
            expected_ms: policy.unwrap_or_default().decision_ms(ids.len()),
            workers: ids,
            usable_workers: candidates.usable_workers,
            remaining_workers,
        }
    }

    /// Applies a decision of the policy service in response to the last request for the step of `task`. `allowed` has the ids of
    /// the authorized workers, each with its authorization token, which is valid for `valid_ms` from now. The other workers that
    /// the request names count as refused for as long, and at least for a second; the next request names others. A decision on
    /// a removed or ended job is ignored.
    pub fn apply_policy_decision(
        &mut self,
        task: TaskKey,
        allowed: Vec<(SmolStr, SmolStr)>,
        valid_ms: u64,
        now: Now,
    ) {
        let job = self.jobs.get(&task.job).filter(|job| !job.has_ended());
        let Some(job) = job else {
            return;
        };
        let (occurrence, step, _) = job.position(task.index);
        let step = step_key(task.job, occurrence, step);
        let key_of = |worker: SmolStr| self.workers_by_id.get(&worker).copied();
        let allowed = allowed.into_iter();
        let tokens = allowed.filter_map(|(worker, token)| Some((key_of(worker)?, token)));
        let tokens = tokens.collect();
        let decision = self.policy_decisions.entry(step).or_default();
        decision.record_response(tokens, valid_ms, now.local_ms);
    }
}
