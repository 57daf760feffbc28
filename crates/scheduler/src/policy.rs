//! Requests to the policy service, and its decisions on which workers may run a step.

use std::collections::HashMap;

use smol_str::{SmolStr, format_smolstr};
use submission::TaskKey;

use crate::ready::StepKey;
use crate::scheduler::{Scheduler, step_key};
use crate::types::Now;
use crate::worker::WorkerKey;

/// The largest number of new requests at a time. The service handles one call of each daemon at a time.
const MAX_REQUESTS: usize = 4;

/// The largest number of workers in a request. Each takes the service time, and a step rarely needs more.
const MAX_WORKERS_PER_REQUEST: usize = 30;

/// The delay before a request is repeated when the service did not respond, or authorized no worker.
const REQUEST_RETRY_DELAY_MS: u64 = 1000;

/// The state of the policy decision on a step. Times are in ms on the daemon's clock.
#[derive(Debug, Clone)]
pub(crate) enum PolicyDecision {
    /// A request was issued; the service has authorized no worker yet.
    Requested { retry_at_ms: u64 },
    /// The workers that may run the step, by id, each with its authorization token.
    Authorized {
        authorizations: HashMap<SmolStr, SmolStr>,
        until_ms: u64,
    },
}

impl PolicyDecision {
    /// Removes a worker from the authorized ones. Returns false when the decision authorizes no worker any more, so that the
    /// service has to be asked again.
    fn remove_worker(&mut self, worker: &SmolStr) -> bool {
        match self {
            Self::Requested { .. } => true,
            Self::Authorized { authorizations, .. } => {
                authorizations.remove(worker);
                !authorizations.is_empty()
            }
        }
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
    /// The number of workers that could have been named.
    pub usable_workers: usize,
}

impl Scheduler {
    /// Returns whether any queue has a policy.
    #[must_use]
    pub fn has_policies(&self) -> bool {
        self.queue_rules.values().any(|rules| rules.has_policy)
    }

    /// Whether the policy service has to authorize the workers for the steps of a queue.
    pub(crate) fn has_policy(&self, queue: &str) -> bool {
        self.queue_rules
            .get(queue)
            .is_some_and(|rules| rules.has_policy)
    }

    pub(crate) fn authorization_for_step(
        &self,
        step: StepKey,
        worker: &SmolStr,
        now: Now,
    ) -> Option<&SmolStr> {
        match self.policy_decisions.get(&step)? {
            PolicyDecision::Authorized {
                authorizations,
                until_ms,
            } if now.local_ms < *until_ms => authorizations.get(worker),
            _ => None,
        }
    }

    /// Returns the authorization token for a task on a worker, or `None` when the policy service has not authorized the
    /// worker, the authorization has expired, or the job or the worker has been removed.
    #[must_use]
    pub fn authorization(&self, worker: WorkerKey, task: TaskKey, now: Now) -> Option<SmolStr> {
        let (occurrence, step, _) = self.jobs.get(&task.job)?.position(task.index);
        let worker = &self.workers.get(worker)?.info.id;
        self.authorization_for_step(step_key(task.job, occurrence, step), worker, now)
            .cloned()
    }

    /// Forgets the authorization of a worker for the step of a task.
    pub(crate) fn forget_authorization(&mut self, task: TaskKey, worker: &SmolStr) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let (occurrence, step, _) = job.position(task.index);
        let step = step_key(task.job, occurrence, step);
        if let Some(decision) = self.policy_decisions.get_mut(&step)
            && !decision.remove_worker(worker)
        {
            self.policy_decisions.remove(&step);
        }
    }

    /// Forgets all authorizations of a worker. They are valid for one incarnation.
    pub(crate) fn forget_authorizations(&mut self, worker: &SmolStr) {
        self.policy_decisions
            .retain(|_, decision| decision.remove_worker(worker));
    }

    /// Returns the requests to send to the policy service now, and records them as sent. There are none for teams at their
    /// limits.
    pub fn policy_requests(&mut self, now: Now) -> Vec<PolicyRequest> {
        self.policy_decisions.retain(|_, decision| match decision {
            PolicyDecision::Requested { retry_at_ms } => now.local_ms < *retry_at_ms,
            PolicyDecision::Authorized { until_ms, .. } => now.local_ms < *until_ms,
        });
        let usable = self
            .workers
            .values()
            .filter(|worker| worker.is_usable(now.local_ms));
        let mut workers: Vec<_> = usable.collect();
        workers.sort_by_key(|worker| std::cmp::Reverse(worker.free_capacity().cpu_milli));
        let usable_workers = workers.len();
        let workers = workers
            .into_iter()
            .take(MAX_WORKERS_PER_REQUEST)
            .map(|worker| worker.info.id.clone());
        let workers: Vec<SmolStr> = workers.collect();
        if workers.is_empty() {
            return Vec::new();
        }
        let mut requests = Vec::new();
        for (_, key) in self.ready.ranked() {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            if !self.has_policy(&job.queue) || self.policy_decisions.contains_key(&key) {
                continue;
            }
            let team = self.teams.get(&job.team);
            if team.is_some_and(|(team, _)| self.is_at_limit(team)) {
                continue;
            }
            let index = job.step_tasks(key.occurrence, usize::from(key.step)).start;
            requests.push(PolicyRequest {
                step: format_smolstr!("{}.{}.{}", key.job, key.occurrence, key.step),
                task: TaskKey {
                    job: key.job,
                    index,
                },
                workers: workers.clone(),
                usable_workers,
            });
            let retry_at_ms = now.local_ms + REQUEST_RETRY_DELAY_MS;
            self.policy_decisions
                .insert(key, PolicyDecision::Requested { retry_at_ms });
            if requests.len() == MAX_REQUESTS {
                break;
            }
        }
        requests
    }

    /// Applies a decision of the policy service on the step of `task`. `allowed` has the ids of the authorized workers,
    /// each with its authorization token, which is valid for `valid_ms` from now. A decision without workers is
    /// ignored, so that the request is repeated. A decision on a removed job is ignored.
    pub fn apply_policy_decision(
        &mut self,
        task: TaskKey,
        allowed: Vec<(SmolStr, SmolStr)>,
        valid_ms: u64,
        now: Now,
    ) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let (occurrence, step, _) = job.position(task.index);
        if allowed.is_empty() {
            return;
        }
        let until_ms = now.local_ms.saturating_add(valid_ms);
        let authorizations = allowed.into_iter().collect();
        self.policy_decisions.insert(
            step_key(task.job, occurrence, step),
            PolicyDecision::Authorized {
                authorizations,
                until_ms,
            },
        );
    }
}
