//! The traits, and the shapes that go over the wire.

use std::future::Future;

use domain::{OpId, VmId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;

use crate::error::{Error, Result};

/// A row's value and its version, which grows with every write and is never 0.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The version.
    pub version: u64,
    /// The value.
    pub value: Value,
}

impl Row {
    /// The value as the type that `key` promises.
    ///
    /// # Errors
    /// [`Error::Unreadable`].
    ///
    /// ```
    /// let row = platform::Row { version: 1, value: 7.into() };
    /// assert_eq!(row.read::<u32>("a"), Ok(7));
    /// assert!(row.read::<String>("a").is_err());
    /// ```
    pub fn read<T: DeserializeOwned>(&self, key: &str) -> Result<T> {
        T::deserialize(&self.value).map_err(|err| Error::Unreadable {
            key: key.into(),
            message: err.to_string(),
        })
    }
}

/// A row with its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowEntry {
    /// The key.
    pub key: String,
    /// The row; `None` where there is none.
    pub row: Option<Row>,
}

/// What a transaction requires of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The row's key.
    pub key: String,
    /// The version that it has to have; 0 when it has to be absent.
    pub version: u64,
}

/// A row to be written, or removed when there is no value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// The new value.
    pub value: Option<Value>,
}

/// Writes that happen together, if all conditions hold, or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Names this write, so that a lost answer can be read back.
    pub op: OpId,
    /// The conditions.
    pub conditions: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// A transaction without conditions or writes.
    #[must_use]
    pub fn new(op: OpId) -> Self {
        Self {
            op,
            conditions: Vec::new(),
            writes: Vec::new(),
        }
    }

    /// The same transaction, which also requires a row's version.
    #[must_use]
    pub fn with_condition(mut self, key: impl Into<String>, version: u64) -> Self {
        let key = key.into();
        self.conditions.push(Condition { key, version });
        self
    }

    /// The same transaction, which also writes a row.
    ///
    /// # Panics
    /// When the value can't be written as JSON, which no type of this project allows.
    #[must_use]
    pub fn with_write(mut self, key: impl Into<String>, value: &impl Serialize) -> Self {
        let value = serde_json::to_value(value).expect("rows are plain data");
        self.writes.push(Write {
            key: key.into(),
            value: Some(value),
        });
        self
    }

    /// The same transaction, which also removes a row.
    #[must_use]
    pub fn with_removal(mut self, key: impl Into<String>) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: None,
        });
        self
    }
}

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum Commit {
    /// All writes took effect.
    Committed,
    /// Nothing took effect, because these rows have other versions.
    Conflict {
        /// The rows as they are.
        rows: Vec<RowEntry>,
    },
}

/// The transactional table.
pub trait Table: Send + Sync + 'static {
    /// Commits a transaction. After [`Error::Lost`] it may have taken effect.
    fn transact(&self, transaction: &Transaction) -> impl Future<Output = Result<Commit>> + Send;

    /// Reads rows at one moment, in the order of the keys.
    fn get(&self, keys: &[&str]) -> impl Future<Output = Result<Vec<Option<Row>>>> + Send;

    /// Reads up to `limit` rows whose keys start with `prefix` and come after `after`, in order of key.
    fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<RowEntry>>> + Send;
}

/// The object store.
pub trait Objects: Send + Sync + 'static {
    /// Stores an object; the same name always gets the same bytes.
    fn put_object(&self, name: &str, text: String) -> impl Future<Output = Result<()>> + Send;

    /// Reads an object.
    fn get_object(&self, name: &str) -> impl Future<Output = Result<Option<String>>> + Send;
}

/// What the platform's list says of a VM. The list lags behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// It runs.
    Live,
    /// It is about to be stopped.
    Leaving,
    /// It does not run.
    Down,
}

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmId,
    /// What the list says of it.
    pub state: ListedState,
    /// How often it has been started.
    pub boots: u64,
}

/// The list of VMs.
pub trait VmList: Send + Sync + 'static {
    /// Reads the list. VMs that never changed may be missing; they are live.
    fn list_vms(&self) -> impl Future<Output = Result<Vec<ListedVm>>> + Send;
}

/// A task to be started on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskOrder {
    /// Its name, which is that of one attempt at a job.
    pub task: SmolStr,
    /// The worker.
    pub vm: VmId,
    /// Processor time that it may use, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory that it may use.
    pub memory_mb: u32,
    /// How long it runs without a renewal.
    pub lease_ms: u64,
    /// What the worker runs.
    pub payload: String,
}

/// Where a task is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// It runs.
    Running,
    /// It ended with success.
    Succeeded,
    /// It ended with a failure.
    Failed,
    /// It made a checkpoint and stopped.
    Checkpointed,
    /// It was stopped, its lease lapsed, or its worker is gone.
    Lost,
}

/// A worker's report of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Its name.
    pub task: SmolStr,
    /// The worker.
    pub vm: VmId,
    /// Where it is.
    pub state: TaskState,
    /// Processor time in use, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in use.
    pub memory_mb: u32,
}

/// The control of VMs and their workers.
pub trait WorkerControl: Send + Sync + 'static {
    /// Reboots a VM; the same `op` reboots it once, however often it is asked. Returns how often the VM will have
    /// been started when it is back.
    fn reboot(&self, vm: &VmId, op: &OpId) -> impl Future<Output = Result<u64>> + Send;

    /// Starts a task under a lease; the same task starts once, however often it is asked.
    fn start_task(&self, task: &TaskOrder) -> impl Future<Output = Result<()>> + Send;

    /// Has a task make a checkpoint and stop, or, when it is not to be kept, stop.
    fn stop_task(&self, task: &str, is_kept: bool) -> impl Future<Output = Result<()>> + Send;

    /// Renews the leases of tasks.
    fn renew_tasks(
        &self,
        tasks: &[SmolStr],
        lease_ms: u64,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Reads the reports of all tasks that were not forgotten. They lag behind.
    fn list_tasks(&self) -> impl Future<Output = Result<Vec<TaskReport>>> + Send;

    /// Drops the reports of tasks that have ended.
    fn forget_tasks(&self, tasks: &[SmolStr]) -> impl Future<Output = Result<()>> + Send;
}

/// All of the platform's service.
pub trait Platform: Table + Objects + VmList + WorkerControl + Clone {}

impl<T: Table + Objects + VmList + WorkerControl + Clone> Platform for T {}
