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
    /// Whether the policy service has to authorize each worker before a step of the queue starts there.
    #[serde(rename = "a", default, skip_serializing_if = "std::ops::Not::not")]
    pub has_policy: bool,
}
