//! The stored row that holds the progress of a job.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The progress of a job as stored. The spec of the job is stored in a separate row, which never changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Whether a caller cancelled the job.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_cancelled: bool,
    /// Whether the job failed because a task reached its maximum number of failed attempts or of crashes.
    #[serde(rename = "f", default, skip_serializing_if = "std::ops::Not::not")]
    pub has_failed: bool,
    /// When the job ended, in ms on the store's clock; 0 while the job has not ended.
    #[serde(rename = "e", default)]
    pub ended_at_ms: u64,
    /// The progress of each task, by the index of the task in the job.
    #[serde(rename = "t", default)]
    pub tasks: Vec<TaskRecord>,
    /// The index in the job of each task under which workers crashed, with the number of these crashes. Earlier builds
    /// ignore this field, whereas they can't read a task with more fields.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<(u32, u32)>,
    /// The index in the job of each service task under which workers crashed and whose last attempt is known to run, with the
    /// time since when, in ms on the store's clock. Earlier builds ignore this field.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub running_since_ms: Vec<(u32, u64)>,
}

/// The progress of a task as stored. The fields are, in this order: the number of the last attempt (0 before the first
/// attempt), the number of failed attempts, whether the task is done, the id of the worker that the task is assigned to
/// (empty for none), and the newest known checkpoint (empty for none, and for a task that is assigned or done).
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord(pub u32, pub u32, pub bool, pub SmolStr, pub SmolStr);
