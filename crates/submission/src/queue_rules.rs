//! The rules of a queue, by which its jobs are scheduled.

use serde::{Deserialize, Serialize};

/// The rules of a queue, from a configuration. A job's row has those under which the job was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QueueRules {
    /// The priority of the queue; 0 is the highest.
    #[serde(rename = "p")]
    pub priority: u32,
    /// The number of failed attempts of one task at which the job fails.
    #[serde(rename = "m")]
    pub max_failures: u32,
    /// The factor in the latency objective of a job, which is `latency_objective_factor` times the estimated critical
    /// path of the job plus `latency_objective_base_ms`.
    #[serde(rename = "f")]
    pub latency_objective_factor: f64,
    /// The constant part of the latency objective, in ms; see `latency_objective_factor`.
    #[serde(rename = "b")]
    pub latency_objective_base_ms: u64,
    /// The policy of the queue, whose service has to authorize each worker before a step starts there; `None` for no policy.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<PolicyRules>,
}

/// How long the policy service needs for a decision on a step of a queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyRules {
    /// The time beside that for each worker, in ms.
    #[serde(rename = "b")]
    pub decision_base_ms: u64,
    /// The time for each worker of a decision, in ms.
    #[serde(rename = "w")]
    pub decision_per_worker_ms: u64,
}

impl PolicyRules {
    /// Returns the time that the service needs for a decision on `workers` workers, in ms.
    ///
    /// ```
    /// use submission::PolicyRules;
    /// let rules = PolicyRules { decision_base_ms: 50, decision_per_worker_ms: 10 };
    /// assert_eq!(rules.decision_ms(30), 350);
    /// ```
    #[must_use]
    pub fn decision_ms(self, workers: usize) -> u64 {
        let workers = u64::try_from(workers).unwrap_or(u64::MAX);
        let workers_ms = self.decision_per_worker_ms.saturating_mul(workers);
        self.decision_base_ms.saturating_add(workers_ms)
    }
}
