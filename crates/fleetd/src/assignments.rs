//! Finds the pool that records the new jobs of a queue, and hands the queue over when the configuration names another pool:
//! the I/O for [`Assignment`].

use std::collections::{BTreeSet, HashMap};
use std::fmt::Write as _;
use std::sync::Arc;

use ownership::{Assignment, CopyStep, Intake};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::{SmolStr, format_smolstr};
use users_platform::{
    CommitOutcome, Error, KeyRange, MAX_KEY_BYTES, Queue, Result, Row, RowKey, StoreClient,
    Transaction,
};

use crate::node::{STORE_TIMEOUT, tables};

/// The part with the assignments themselves. The copies are in the parts of the pools.
const ASSIGNMENTS_PART: &str = "";

/// What a submission tells the owner of a pool of the pool's copy of the assignment of the job's queue. The owner records the job
/// on the condition that the copy has a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SubmittedIntake {
    /// The key of the assignment.
    pub(crate) key: SmolStr,
    /// The version of the copy, if the submitting daemon has read it, and has searched the previous pools for the job. Otherwise the
    /// owner uses the version of a copy without previous pools, if it knows one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) version: Option<u64>,
    /// Whether the copy with this version has no previous pools.
    #[serde(rename = "first", default)]
    pub(crate) is_first_pool: bool,
}

impl SubmittedIntake {
    /// Creates the intake of a submission by a daemon that has not read the assignment.
    pub(crate) fn unread(key: SmolStr) -> Self {
        Self {
            key,
            version: None,
            is_first_pool: false,
        }
    }
}

/// A pool that records the new jobs of a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OpenIntake {
    /// The name of the pool.
    pub(crate) pool: SmolStr,
    /// The pools that may have earlier jobs of the queue.
    pub(crate) previous_pools: Arc<BTreeSet<SmolStr>>,
    /// The version of the pool's copy of the assignment.
    pub(crate) version: u64,
}

impl OpenIntake {
    /// Creates the intake of a submission by a daemon that has searched the previous pools.
    pub(crate) fn submitted(&self, key: SmolStr) -> SubmittedIntake {
        SubmittedIntake {
            key,
            version: Some(self.version),
            is_first_pool: self.previous_pools.is_empty(),
        }
    }
}

/// What a daemon knows of the pools that record the new jobs of queues. What it knows may be outdated: the pool's owner
/// finds that out, as it records a job on the condition that the copy has the same version.
#[derive(Debug, Default)]
pub(crate) struct Assignments {
    /// By the key of the assignment and the pool that the configuration names. A slot is locked while the assignment is read,
    /// so that concurrent submissions read it once.
    slots: Mutex<HashMap<(SmolStr, SmolStr), Slot>>,
}

type Slot = Arc<tokio::sync::Mutex<Option<OpenIntake>>>;

impl Assignments {
    /// Returns the pool that records the new jobs of a queue, if this daemon knows it.
    pub(crate) fn known_intake(&self, queue: &Queue) -> Option<OpenIntake> {
        let key = assignment_key(&queue.host, &queue.prefix);
        // A slot that is locked is not known yet.
        self.slot(&key, &queue.pool).try_lock().ok()?.clone()
    }

    /// Returns the pool that records the new jobs of a queue, which the configuration with the epoch `epoch` assigns to a pool.
    /// Hands the queue over to that pool unless a newer configuration names another one.
    ///
    /// # Errors
    /// When a call to the store fails, or a row can't be decoded. A call may then take effect later, which is harmless.
    pub(crate) async fn open_intake(
        &self,
        store: &StoreClient,
        queue: &Queue,
        epoch: u64,
    ) -> Result<OpenIntake> {
        let key = assignment_key(&queue.host, &queue.prefix);
        let slot = self.slot(&key, &queue.pool);
        let mut known = slot.lock_owned().await;
        if let Some(intake) = known.as_ref() {
            return Ok(intake.clone());
        }
        let (store, pool) = (store.clone(), queue.pool.clone());
        // A task of its own, which goes on when the submission gives up: with a slow store, no submission waits for all steps.
        let search = tokio::spawn(async move {
            let intake = find_open_intake(&store, &key, &pool, epoch).await?;
            // Another pool has the queue only until this daemon has activated the newer configuration.
            *known = (intake.pool == pool).then(|| intake.clone());
            Ok(intake)
        });
        search.await.unwrap_or_else(|err| {
            let message = format_smolstr!("{err}");
            Err(Error::ResponseLost { message })
        })
    }

    /// Returns the pools that may have jobs of a queue: the one that the configuration names, and those of the queue's assignment.
    ///
    /// # Errors
    /// When the read from the store fails, or the row can't be decoded.
    pub(crate) async fn pools_with_jobs(
        &self,
        store: &StoreClient,
        queue: &Queue,
    ) -> Result<BTreeSet<SmolStr>> {
        let key = assignment_key(&queue.host, &queue.prefix);
        let mut pools = BTreeSet::from([queue.pool.clone()]);
        if let Some(intake) = self.known_intake(queue) {
            pools.extend(intake.previous_pools.iter().cloned());
            return Ok(pools);
        }
        let stored = StoredAssignment::read(store, ASSIGNMENTS_PART, &key).await?;
        if let Some(assignment) = stored.assignment {
            pools.insert(assignment.pool);
            pools.extend(assignment.previous_pools);
        }
        Ok(pools)
    }

    /// Forgets that a pool records the new jobs of the queue.
    pub(crate) fn forget(&self, queue: &Queue, outdated: &OpenIntake) {
        let key = assignment_key(&queue.host, &queue.prefix);
        let slot = self.slot(&key, &queue.pool);
        // A slot that is locked is being read anew.
        if let Ok(mut known) = slot.try_lock() {
            known.take_if(|intake| intake == outdated);
        }
    }

    fn slot(&self, key: &SmolStr, pool: &SmolStr) -> Slot {
        let mut slots = self.slots.lock();
        slots
            .entry((key.clone(), pool.clone()))
            .or_default()
            .clone()
    }

    /// Removes what is known of all queues but those of the active configuration.
    pub(crate) fn retain(&self, queues: &[Queue]) {
        let key = |queue: &Queue| {
            (
                assignment_key(&queue.host, &queue.prefix),
                queue.pool.clone(),
            )
        };
        let active: BTreeSet<_> = queues.iter().map(key).collect();
        self.slots.lock().retain(|key, _| active.contains(key));
    }
}

/// The key of the assignment of a queue: where callers submit its jobs, which also a queue with another name may replace.
pub(crate) fn assignment_key(host: &str, prefix: &str) -> SmolStr {
    let key = format_smolstr!("{}{prefix}", host.to_ascii_lowercase());
    if key.len() <= MAX_KEY_BYTES {
        return key;
    }
    let mut digest = String::new();
    for byte in Sha256::digest(key.as_bytes()) {
        // Writing to a string can't fail.
        let _ = write!(digest, "{byte:02x}");
    }
    digest.into()
}

/// Follows the assignment of a queue to the pool that records its new jobs, from the pool `pool` that the configuration with the
/// epoch `epoch` names. Takes the steps of a handover that are missing.
async fn find_open_intake(
    store: &StoreClient,
    key: &SmolStr,
    pool: &SmolStr,
    epoch: u64,
) -> Result<OpenIntake> {
    let (mut pool, mut epoch) = (pool.clone(), epoch);
    loop {
        let copy = StoredAssignment::read(store, &pool, key).await?;
        let (assignment, version) = match Intake::new(copy.assignment.as_ref(), &pool, epoch) {
            Intake::Open(assignment) => (assignment.clone(), Some(copy.version)),
            Intake::MovedTo(newer) => (newer.clone(), None),
            Intake::Unassigned => {
                let assignment = assign(store, key, &pool, epoch).await?;
                let version = copy_to_pools(store, key, &assignment).await?;
                (assignment, version)
            }
        };
        if let Some(version) = version {
            return Ok(OpenIntake {
                pool: assignment.pool,
                previous_pools: Arc::new(assignment.previous_pools),
                version,
            });
        }
        (pool, epoch) = (assignment.pool, assignment.epoch);
    }
}

/// Assigns a queue to a pool, and returns the assignment; returns the present one if it is the same or not older.
async fn assign(
    store: &StoreClient,
    key: &SmolStr,
    pool: &SmolStr,
    epoch: u64,
) -> Result<Assignment> {
    loop {
        let stored = StoredAssignment::read(store, ASSIGNMENTS_PART, key).await?;
        let next = match stored.assignment {
            None => Assignment::first(pool.clone(), epoch),
            Some(current) => match current.replaced_by(pool, epoch) {
                None => return Ok(current),
                Some(next) => next,
            },
        };
        let key_in_part = StoredAssignment::key(ASSIGNMENTS_PART, key);
        let written = write(store, key_in_part, stored.version, &next).await?;
        if written.is_some() {
            tracing::info!(
                queue = key.as_str(),
                pool = pool.as_str(),
                epoch,
                previous_pools = ?next.previous_pools,
                "assigned a queue to a pool"
            );
            return Ok(next);
        }
    }
}

/// Copies an assignment to the previous pools of the queue, and then to its pool. Returns the version of the copy there; none
/// if a newer assignment was found.
async fn copy_to_pools(
    store: &StoreClient,
    key: &SmolStr,
    assignment: &Assignment,
) -> Result<Option<u64>> {
    for previous_pool in &assignment.previous_pools {
        if copy_to_pool(store, key, assignment, previous_pool)
            .await?
            .is_none()
        {
            return Ok(None);
        }
    }
    copy_to_pool(store, key, assignment, &assignment.pool).await
}

/// Copies an assignment to a pool. Returns the version of the copy; none if a newer one was found.
async fn copy_to_pool(
    store: &StoreClient,
    key: &SmolStr,
    assignment: &Assignment,
    pool: &SmolStr,
) -> Result<Option<u64>> {
    loop {
        let copy = StoredAssignment::read(store, pool, key).await?;
        match assignment.copy_step(copy.assignment.as_ref()) {
            CopyStep::Outdated => return Ok(None),
            CopyStep::Done => return Ok(Some(copy.version)),
            CopyStep::Write => {}
        }
        let key_in_part = StoredAssignment::key(pool, key);
        let version = write(store, key_in_part, copy.version, assignment).await?;
        if version.is_some() {
            return Ok(version);
        }
    }
}

/// Writes an assignment on the condition that the row has a version. Returns the version that was written.
async fn write(
    store: &StoreClient,
    key: RowKey,
    version: u64,
    assignment: &Assignment,
) -> Result<Option<u64>> {
    // Serialization of plain data does not fail.
    let value = serde_json::to_vec(assignment).unwrap_or_default();
    let transaction = Transaction::default()
        .with_condition(key.clone(), version)
        .with_write(key, value);
    Ok(match store.commit(&transaction, STORE_TIMEOUT).await? {
        CommitOutcome::Committed { version } => Some(version),
        CommitOutcome::Conflict { .. } => None,
    })
}

/// An assignment or a copy of it as read from the store, with the version of its row.
#[derive(Default)]
struct StoredAssignment {
    assignment: Option<Assignment>,
    /// 0 when there is no row.
    version: u64,
}

impl StoredAssignment {
    fn key(part: &str, key: &SmolStr) -> RowKey {
        RowKey::new(tables::ASSIGNMENT, part, key.clone())
    }

    async fn read(store: &StoreClient, part: &str, key: &SmolStr) -> Result<Self> {
        let range = KeyRange {
            table: tables::ASSIGNMENT,
            part,
            from: key,
            until: "",
        };
        let page = store.read(range, 1, STORE_TIMEOUT).await?;
        let row = page.rows.into_iter().find(|row| row.key.key == *key);
        row.map_or_else(|| Ok(Self::default()), |row| Self::decode(&row))
    }

    fn decode(row: &Row) -> Result<Self> {
        let value = row.value.as_deref().unwrap_or_default();
        let assignment = serde_json::from_slice(value).map_err(|err| Error::Malformed {
            what: row.key.key.clone(),
            message: format_smolstr!("{err}"),
        })?;
        Ok(Self {
            assignment: Some(assignment),
            version: row.version,
        })
    }
}
