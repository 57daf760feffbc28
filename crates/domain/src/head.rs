//! The two head rows, whose singleness decides what is in force.

use serde::{Deserialize, Serialize};

use crate::{Epoch, FleetSeq, OpId, PresetId};

/// The row `config/head`: the configuration and preset in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// The number of this configuration.
    pub epoch: Epoch,
    /// The one preset in force.
    pub preset: PresetId,
    /// The SHA-256 of the document, in hexadecimal; also its name in the object store.
    pub digest: String,
    /// The write that put it in force.
    pub op: OpId,
}

/// The row `fleet/head`: the number of the last change to any VM record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetHead {
    /// The number of the last change.
    pub seq: FleetSeq,
}
