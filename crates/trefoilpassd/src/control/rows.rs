//! The keys of the platform's table, and the rows that only daemons read.

use domain::{FleetSeq, Incarnation, JobId, OpId, Term, VmId, VmRecord};
use maintenance::WaveId;
use serde::{Deserialize, Serialize};

/// The configuration in force.
pub(crate) const CONFIG_HEAD: &str = "config/head";

/// The number of the last change to the VM records.
pub(crate) const FLEET_HEAD: &str = "fleet/head";

/// The steward's lease.
pub(crate) const STEWARD: &str = "steward/fleet";

/// The VM records.
pub(crate) const VMS: &str = "vm/";

/// The changes to VM records, by number.
pub(crate) const CHANGES: &str = "change/";

/// The writes that were made, by operation id.
pub(crate) const OPS: &str = "op/";

/// The waves.
pub(crate) const WAVES: &str = "wave/";

/// The jobs that have not ended, and the cancelled ones whose task may still run.
pub(crate) const OPEN_JOBS: &str = "job/open/";

/// The jobs that have ended.
pub(crate) const ENDED_JOBS: &str = "job/ended/";

/// Which claims were written when, so that old ones are found without reading all.
pub(crate) const CLAIM_BATCHES: &str = "claims-of/";

pub(crate) fn vm(id: &VmId) -> String {
    format!("{VMS}{id}")
}

pub(crate) fn change(seq: FleetSeq) -> String {
    format!("{CHANGES}{:020}", seq.0)
}

pub(crate) fn op(id: &OpId) -> String {
    format!("{OPS}{id}")
}

pub(crate) fn wave(id: &WaveId) -> String {
    format!("{WAVES}{id}")
}

/// The index row of one batch of claims. Keys are in order of time.
pub(crate) fn claim_batch(unix_time_s: u64, op: &OpId) -> String {
    format!("{CLAIM_BATCHES}{unix_time_s:012}/{op}")
}

pub(crate) fn open_job(id: &JobId) -> String {
    format!("{OPEN_JOBS}{id}")
}

pub(crate) fn ended_job(id: &JobId) -> String {
    format!("{ENDED_JOBS}{id}")
}

/// The name of a document in the object store.
pub(crate) fn document(digest: &str) -> String {
    format!("config-{digest}")
}

/// The row `change/<seq>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangeRow {
    pub(crate) vm: VmId,
    pub(crate) record: VmRecord,
}

/// The row `claims-of/<time>/<op>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimBatchRow {
    pub(crate) written_at_s: u64,
    /// The keys of the claims' rows.
    pub(crate) keys: Vec<String>,
}

/// The row `op/<id>`, which tells that the write took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OpRow {
    /// When it was made, in seconds since 1970; only its removal looks at it.
    pub(crate) made_at_s: u64,
}

/// The row `steward/fleet`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StewardRow {
    pub(crate) holder: Incarnation,
    pub(crate) term: Term,
    /// Grows with every renewal of a term.
    pub(crate) renewals: u64,
}
