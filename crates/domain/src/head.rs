//! The two head rows. Each exists once, so that a single version of the configuration and of the VM records is active.

use serde::{Deserialize, Serialize};

use crate::{Epoch, FleetSeq, OpId, PresetId};

/// The row `config/head`: the active configuration and preset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// The epoch of the configuration.
    pub epoch: Epoch,
    /// The active preset.
    pub preset: PresetId,
    /// The SHA-256 of the document in hexadecimal, which is also the name of the document in the object store.
    pub digest: String,
    /// The write that activated the configuration.
    pub op: OpId,
}

/// The row `fleet/head`: the change number of the VM records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetHead {
    /// The number of the last change to any VM record.
    pub seq: FleetSeq,
}
