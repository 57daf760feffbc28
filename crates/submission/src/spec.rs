//! What a caller hands in, and what makes it impossible.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::{Snafu, ensure};

/// The result of checking a job.
pub type Result<T> = std::result::Result<T, Error>;

/// The longest payload in bytes, as published to callers.
pub const MAX_PAYLOAD_BYTES: usize = 4000;

/// The most steps. A dependency is a 16-bit number, and jobs in use have up to five.
pub const MAX_STEPS: usize = 64;

/// The most tasks over all occurrences. Bounds a job's row, at some 40 bytes a task, below the 64 KB of a row.
pub const MAX_TASKS: u64 = 1500;

/// A job's id: 16 hexadecimal digits chosen by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub u64);

impl JobId {
    /// Reads 16 lower-case hexadecimal digits, so that an id has one spelling.
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

/// What a task needs, or a worker offers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    #[serde(rename = "c", default)]
    pub cpu_milli: u32,
    /// Memory.
    #[serde(rename = "m", default)]
    pub memory_mb: u32,
    /// Accelerators.
    #[serde(rename = "g", default)]
    pub gpus: u32,
}

impl Resources {
    /// Whether all of it fits in `room`.
    ///
    /// ```
    /// use submission::Resources;
    /// let task = Resources { cpu_milli: 500, memory_mb: 10, gpus: 0 };
    /// let worker = Resources { cpu_milli: 400, memory_mb: 99, gpus: 1 };
    /// assert!(!task.fits(worker));
    /// ```
    #[must_use]
    pub fn fits(self, room: Self) -> bool {
        self.cpu_milli <= room.cpu_milli
            && self.memory_mb <= room.memory_mb
            && self.gpus <= room.gpus
    }

    /// The sum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// What is left, never less than nothing.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// A step: tasks that are alike.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent attributes that callers set"
)]
pub struct StepSpec {
    /// How many tasks.
    pub tasks: u32,
    /// What each declares to need.
    pub needs: Resources,
    /// A rough estimate of a task's run time.
    pub estimate_ms: u64,
    /// Earlier steps that must be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u16>,
    /// Whether a task makes checkpoints.
    #[serde(skip_serializing_if = "is_false")]
    pub has_checkpoints: bool,
    /// Whether the tasks work only together.
    #[serde(skip_serializing_if = "is_false")]
    pub is_gang: bool,
    /// Whether the tasks are slower when they run on several racks.
    #[serde(skip_serializing_if = "is_false")]
    pub is_same_rack: bool,
    /// A label that the worker must have; empty for none.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub required_label: SmolStr,
    /// The rack where the data is; empty for none.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub data_rack: SmolStr,
    /// How many tasks of one occurrence may run on one worker; 0 for any number.
    #[serde(skip_serializing_if = "is_zero")]
    pub most_per_worker: u32,
    /// Whether copies may run at the same time.
    #[serde(skip_serializing_if = "is_false")]
    pub is_speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_false")]
    pub is_lasting: bool,
    /// What the tasks run. Tasks of one image behave alike.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub image: SmolStr,
    /// The tail of a serving task's response times has to stay below this; 0 for tasks that don't serve.
    pub tail_target_ms: u64,
    /// Whether the tasks use what others leave unused, and don't count against a worker's processors.
    #[serde(skip_serializing_if = "is_false")]
    pub is_filler: bool,
    /// How many lasting tasks of the step the system may take from work at the same time.
    #[serde(skip_serializing_if = "is_zero")]
    pub may_miss: u32,
}

impl StepSpec {
    /// What a task takes of a worker's room.
    #[must_use]
    pub fn footprint(&self) -> Resources {
        let cpu_milli = if self.is_filler {
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

/// A job as it was handed in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobSpec {
    /// What workers run, passed on as it is.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// How often the steps run, at set times; 0 for once, at once.
    pub occurrences: u32,
    /// When the first occurrence is due, in ms since 1970.
    pub first_at_unix_ms: u64,
    /// The time between occurrences.
    pub interval_ms: u64,
}

/// Why a job can't be accepted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The payload is too long.
    #[snafu(display("the payload has {bytes} bytes, more than {MAX_PAYLOAD_BYTES}"))]
    PayloadTooLong {
        /// Its length.
        bytes: usize,
    },
    /// There are no steps, or too many.
    #[snafu(display("steps: {steps}, not 1 to {MAX_STEPS}"))]
    Steps {
        /// How many there are.
        steps: usize,
    },
    /// A step has no tasks.
    #[snafu(display("steps[{step}]: the number of tasks is 0"))]
    NoTasks {
        /// The step.
        step: usize,
    },
    /// There are too many tasks.
    #[snafu(display("{tasks} tasks over all occurrences, more than {MAX_TASKS}"))]
    TooManyTasks {
        /// How many there are.
        tasks: u64,
    },
    /// A step waits for one that is not earlier.
    #[snafu(display("steps[{step}]: waits for step {after}, which is not an earlier one"))]
    NotEarlier {
        /// The step.
        step: usize,
        /// What it waits for.
        after: u16,
    },
}

impl JobSpec {
    /// Checks what can be known without the fleet.
    ///
    /// # Errors
    /// All kinds of [`Error`], each naming the field.
    ///
    /// ```
    /// use submission::{JobSpec, StepSpec};
    /// let step = StepSpec { tasks: 2, after: vec![0], ..StepSpec::default() };
    /// let job = JobSpec { steps: vec![step], ..JobSpec::default() };
    /// assert!(job.check().is_err());
    /// ```
    pub fn check(&self) -> Result<()> {
        let bytes = self.payload.len();
        ensure!(bytes <= MAX_PAYLOAD_BYTES, PayloadTooLongSnafu { bytes });
        let steps = self.steps.len();
        ensure!((1..=MAX_STEPS).contains(&steps), StepsSnafu { steps });
        for (step, spec) in self.steps.iter().enumerate() {
            ensure!(spec.tasks > 0, NoTasksSnafu { step });
            for &after in &spec.after {
                ensure!(usize::from(after) < step, NotEarlierSnafu { step, after });
            }
        }
        let each: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        let tasks = each.saturating_mul(u64::from(self.occurrences.max(1)));
        ensure!(tasks <= MAX_TASKS, TooManyTasksSnafu { tasks });
        Ok(())
    }

    /// How many tasks one occurrence has.
    #[must_use]
    pub fn tasks_per_occurrence(&self) -> u32 {
        self.steps.iter().map(|step| step.tasks).sum()
    }
}
