//! Steps of queues whose policy allows only some workers, as a policy service tells.

use std::collections::HashMap;

use smol_str::{SmolStr, format_smolstr};
use submission::TaskKey;

use crate::ready::StepKey;
use crate::scheduler::{Scheduler, step_key};
use crate::types::Now;
use crate::worker::WorkerKey;

/// Steps that are asked about at the same time. The service takes calls one at a time from each daemon.
const MOST_ASKED: usize = 4;

/// Workers named in a call. Each costs the service time, and a step rarely needs more.
const MOST_WORKERS: usize = 30;

/// A step is asked about again after this long when the service did not answer, or allowed nobody.
const ASK_AGAIN_MS: u64 = 1000;

/// What is known of a step's workers.
#[derive(Debug, Clone)]
pub(crate) enum Advice {
    /// The service has been asked.
    Asked { again_at_ms: u64 },
    /// These workers may run the step, with their tickets.
    Allowed {
        tickets: HashMap<SmolStr, SmolStr>,
        until_ms: u64,
    },
}

/// A question for the policy service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step's name.
    pub step: SmolStr,
    /// A task of the step, by which the answer finds it.
    pub task: TaskKey,
    /// The workers, by their ids.
    pub workers: Vec<SmolStr>,
}

impl Scheduler {
    /// Whether any queue has a policy.
    #[must_use]
    pub fn has_policies(&self) -> bool {
        self.rules.values().any(|rules| rules.has_policy)
    }

    /// Whether a worker may run tasks of a step, as far as the policy service said.
    pub(crate) fn is_allowed(
        &self,
        queue: &str,
        step: StepKey,
        worker: &SmolStr,
        now: Now,
    ) -> bool {
        let has_policy = self.rules.get(queue).is_some_and(|rules| rules.has_policy);
        !has_policy || self.advised(step, worker, now).is_some()
    }

    fn advised(&self, step: StepKey, worker: &SmolStr, now: Now) -> Option<&SmolStr> {
        match self.advice.get(&step)? {
            Advice::Allowed { tickets, until_ms } if now.local_ms < *until_ms => {
                tickets.get(worker)
            }
            _ => None,
        }
    }

    /// The ticket for a task on a worker.
    #[must_use]
    pub fn ticket(&self, worker: WorkerKey, task: TaskKey, now: Now) -> Option<SmolStr> {
        let (occurrence, step, _) = self.jobs.get(&task.job)?.place(task.index);
        let worker = &self.workers.get(worker)?.info.id;
        self.advised(step_key(task.job, occurrence, step), worker, now)
            .cloned()
    }

    /// The questions to ask the policy service now.
    pub fn advice_requests(&mut self, now: Now) -> Vec<AdviceRequest> {
        self.advice.retain(|_, advice| match advice {
            Advice::Asked { again_at_ms } => now.local_ms < *again_at_ms,
            Advice::Allowed { until_ms, .. } => now.local_ms < *until_ms,
        });
        let usable = self
            .workers
            .values()
            .filter(|worker| worker.is_usable(now.local_ms));
        let mut workers: Vec<_> = usable.collect();
        workers.sort_by_key(|worker| std::cmp::Reverse(worker.room().cpu_milli));
        let workers = workers
            .into_iter()
            .take(MOST_WORKERS)
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
            let has_policy = self
                .rules
                .get(&job.queue)
                .is_some_and(|rules| rules.has_policy);
            if !has_policy || self.advice.contains_key(&key) {
                continue;
            }
            let index = job.step_tasks(key.occurrence, usize::from(key.step)).start;
            requests.push(AdviceRequest {
                step: format_smolstr!("{}.{}.{}", key.job, key.occurrence, key.step),
                task: TaskKey {
                    job: key.job,
                    index,
                },
                workers: workers.clone(),
            });
            let again_at_ms = now.local_ms + ASK_AGAIN_MS;
            self.advice.insert(key, Advice::Asked { again_at_ms });
            if requests.len() == MOST_ASKED {
                break;
            }
        }
        requests
    }

    /// The policy service answered: these workers may run the step until its tickets are no longer valid.
    pub fn advise(
        &mut self,
        task: TaskKey,
        allowed: Vec<(SmolStr, SmolStr)>,
        valid_ms: u64,
        now: Now,
    ) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let (occurrence, step, _) = job.place(task.index);
        if allowed.is_empty() {
            return;
        }
        let until_ms = now.local_ms + valid_ms;
        let tickets = allowed.into_iter().collect();
        self.advice.insert(
            step_key(task.job, occurrence, step),
            Advice::Allowed { tickets, until_ms },
        );
    }
}
