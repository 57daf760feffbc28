//! The keys of the platform's table, and the rows that only daemons read.

use domain::{FleetSeq, Incarnation, OpId, Term, VmId, VmRecord};
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

/// The claims.
pub(crate) const CLAIMS: &str = "claim/";

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
