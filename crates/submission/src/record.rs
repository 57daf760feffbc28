//! The row that holds how far a job is.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// How far a job is; its spec has a row of its own, which never changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Whether a caller cancelled it.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_cancelled: bool,
    /// Whether a task failed too often.
    #[serde(rename = "f", default, skip_serializing_if = "std::ops::Not::not")]
    pub has_failed: bool,
    /// When it ended, on the store's clock; 0 while it has not.
    #[serde(rename = "e", default)]
    pub ended_at_ms: u64,
    /// Its tasks, in order.
    #[serde(rename = "t", default)]
    pub tasks: Vec<TaskRecord>,
}

/// How far a task is: the number of its last run, the runs that failed, whether it is done, the worker it was given
/// to (empty for none), and the newest checkpoint known.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord(pub u32, pub u32, pub bool, pub SmolStr, pub SmolStr);
