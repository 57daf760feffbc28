//! The specification of a job as submitted by a caller, and its validation.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::{Snafu, ensure};

/// The result of validating a job.
pub type Result<T> = std::result::Result<T, Error>;

/// The maximum length of a payload in bytes, as published to callers.
pub const MAX_PAYLOAD_BYTES: usize = 4000;

/// The maximum number of steps of a job. Step indices in dependencies are 16-bit; jobs in use have up to five steps.
pub const MAX_STEPS: usize = 64;

/// The maximum number of tasks of a job over all occurrences. The stored row of a job takes about 40 bytes per task,
/// so that this limit keeps the row below the 64 KB that the store accepts.
pub const MAX_TASKS: u64 = 1500;

/// The id of a job: a 64-bit number chosen by the caller. Written as 16 lower-case hexadecimal digits, but serialized
/// as an integer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub u64);

impl JobId {
    /// Parses exactly 16 lower-case hexadecimal digits; `None` for any other text, so that each id has one spelling.
    ///
    /// ```
    /// use submission::JobId;
    /// let id = JobId::parse("5c0e7a21d94b36f8").unwrap();
    /// assert_eq!(id.to_string(), "5c0e7a21d94b36f8");
    /// assert_eq!(JobId::parse("5C0E7A21D94B36F8"), None);
    /// assert_eq!(JobId::parse("12"), None);
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != 16 || !text.bytes().all(is_digit) {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// An amount of resources: what a task requests, or what a worker has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// CPU in thousandths of a core.
    #[serde(rename = "c", default)]
    pub cpu_milli: u32,
    /// Memory in MB.
    #[serde(rename = "m", default)]
    pub memory_mb: u32,
    /// The number of accelerators.
    #[serde(rename = "g", default)]
    pub gpus: u32,
}

impl Resources {
    /// Whether each resource is at most the same resource of `capacity`.
    ///
    /// ```
    /// use submission::Resources;
    /// let task = Resources { cpu_milli: 500, memory_mb: 10, gpus: 0 };
    /// let worker = Resources { cpu_milli: 400, memory_mb: 99, gpus: 1 };
    /// assert!(!task.fits(worker));
    /// ```
    #[must_use]
    pub fn fits(self, capacity: Self) -> bool {
        self.cpu_milli <= capacity.cpu_milli
            && self.memory_mb <= capacity.memory_mb
            && self.gpus <= capacity.gpus
    }

    /// Adds each resource, saturating at the maximum of its type.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// Subtracts each resource, saturating at 0.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// The specification of a step: a number of tasks with the same attributes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent attributes that callers set"
)]
pub struct StepSpec {
    /// The number of tasks in each occurrence.
    pub tasks: u32,
    /// The resources that each task requests.
    pub needs: Resources,
    /// A rough estimate of the run time of each task, in ms.
    #[serde(rename = "estimate_ms")]
    pub estimated_duration_ms: u64,
    /// The indices of the earlier steps that must be done before this step starts.
    #[serde(rename = "after", skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<u16>,
    /// Whether the tasks write checkpoints.
    #[serde(skip_serializing_if = "is_false")]
    pub has_checkpoints: bool,
    /// Whether the tasks form a gang: they work only together, and are started all at once or not at all.
    #[serde(skip_serializing_if = "is_false")]
    pub is_gang: bool,
    /// Whether the tasks should share a rack, because they are slower when spread over several racks.
    #[serde(rename = "is_same_rack", skip_serializing_if = "is_false")]
    pub has_rack_affinity: bool,
    /// A label that a worker must have to run the tasks; empty for none.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub required_label: SmolStr,
    /// The rack that holds the data of the tasks; empty for none.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub data_rack: SmolStr,
    /// The maximum number of tasks of the step in one occurrence on one worker at the same time; 0 for no limit.
    #[serde(rename = "most_per_worker", skip_serializing_if = "is_zero")]
    pub max_per_worker: u32,
    /// Whether several copies of a task may run at the same time.
    #[serde(skip_serializing_if = "is_false")]
    pub is_speculative: bool,
    /// Whether the tasks are service tasks, which run until the job is cancelled.
    #[serde(rename = "is_lasting", skip_serializing_if = "is_false")]
    pub is_service: bool,
    /// The image that the tasks run; empty for none. Tasks of the same image are expected to behave alike.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub image: SmolStr,
    /// The upper bound for the tail latency of the tasks, in ms; 0 for tasks that serve no requests.
    #[serde(rename = "tail_target_ms")]
    pub tail_latency_target_ms: u64,
    /// Whether the tasks are best-effort: they use CPU that other tasks leave unused, and reserve none.
    #[serde(rename = "is_filler", skip_serializing_if = "is_false")]
    pub is_best_effort: bool,
    /// The maximum number of service tasks of the step in one occurrence that the system may make unavailable at the
    /// same time. 0 counts as 1, so that every worker can be drained.
    #[serde(rename = "may_miss", skip_serializing_if = "is_zero")]
    pub max_unavailable: u32,
}

impl StepSpec {
    /// The resources that a task of the step reserves on a worker. A best-effort task reserves no CPU.
    #[must_use]
    pub fn footprint(&self) -> Resources {
        let cpu_milli = if self.is_best_effort {
            0
        } else {
            self.needs.cpu_milli
        };
        Resources {
            cpu_milli,
            ..self.needs
        }
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_false(value: &bool) -> bool {
    !value
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// The specification of a job as submitted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobSpec {
    /// What the workers run, passed to them unchanged. At most [`MAX_PAYLOAD_BYTES`] long.
    pub payload: String,
    /// The steps. A step is identified by its index.
    pub steps: Vec<StepSpec>,
    /// The number of scheduled occurrences of the steps; 0 for a single occurrence that is due immediately.
    pub occurrences: u32,
    /// When the first scheduled occurrence is due, in ms since the Unix epoch. Ignored when `occurrences` is 0.
    pub first_at_unix_ms: u64,
    /// The time between the due times of successive scheduled occurrences, in ms.
    pub interval_ms: u64,
}

/// Why a job is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The payload is longer than [`MAX_PAYLOAD_BYTES`].
    #[snafu(display("the payload has {bytes} bytes; at most {MAX_PAYLOAD_BYTES} are allowed"))]
    PayloadTooLong {
        /// The length of the payload in bytes.
        bytes: usize,
    },
    /// The job has no steps, or more than [`MAX_STEPS`].
    #[snafu(display("steps: {steps} steps; 1 to {MAX_STEPS} are allowed"))]
    InvalidStepCount {
        /// The number of steps.
        steps: usize,
    },
    /// A step has no tasks.
    #[snafu(display("steps[{step}]: the number of tasks is 0; at least 1 is required"))]
    EmptyStep {
        /// The index of the step.
        step: usize,
    },
    /// The job has more than [`MAX_TASKS`] tasks over all occurrences.
    #[snafu(display("{tasks} tasks over all occurrences; at most {MAX_TASKS} are allowed"))]
    TooManyTasks {
        /// The number of tasks over all occurrences.
        tasks: u64,
    },
    /// A step depends on itself, on a later step or on a step that does not exist.
    #[snafu(display(
        "steps[{step}]: depends on step {dependency}; only earlier steps are allowed"
    ))]
    InvalidDependency {
        /// The index of the step.
        step: usize,
        /// The step index that the step depends on.
        dependency: u16,
    },
}

impl JobSpec {
    /// Validates what does not depend on the state of the fleet: the length of the payload, the number of steps and of
    /// tasks, and the dependencies. Due times and estimated run times are not checked.
    ///
    /// # Errors
    /// Returns the first violation found; see the variants of [`Error`].
    ///
    /// ```
    /// use submission::{JobSpec, StepSpec};
    /// let step = StepSpec { tasks: 2, dependencies: vec![0], ..StepSpec::default() };
    /// let job = JobSpec { steps: vec![step], ..JobSpec::default() };
    /// assert!(job.validate().is_err());
    /// ```
    pub fn validate(&self) -> Result<()> {
        let bytes = self.payload.len();
        ensure!(bytes <= MAX_PAYLOAD_BYTES, PayloadTooLongSnafu { bytes });
        let steps = self.steps.len();
        ensure!(
            (1..=MAX_STEPS).contains(&steps),
            InvalidStepCountSnafu { steps }
        );
        for (step, spec) in self.steps.iter().enumerate() {
            ensure!(spec.tasks > 0, EmptyStepSnafu { step });
            for &dependency in &spec.dependencies {
                ensure!(
                    usize::from(dependency) < step,
                    InvalidDependencySnafu { step, dependency }
                );
            }
        }
        let tasks_per_occurrence: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        let tasks = tasks_per_occurrence.saturating_mul(u64::from(self.occurrences.max(1)));
        ensure!(tasks <= MAX_TASKS, TooManyTasksSnafu { tasks });
        Ok(())
    }

    /// The number of tasks in each occurrence.
    ///
    /// The sum must not exceed `u32::MAX`, which [`JobSpec::validate`] ensures.
    #[must_use]
    pub fn tasks_per_occurrence(&self) -> u32 {
        self.steps.iter().map(|step| step.tasks).sum()
    }
}
