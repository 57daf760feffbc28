//! The VM aggregate: one pool at any moment, and the steps a VM may take.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{OpId, PoolId};

/// The result of a step of a VM.
pub type Result<T> = std::result::Result<T, VmError>;

/// Where a VM is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// Takes new work.
    Serving,
    /// Takes no new work; its work in flight is let finish.
    Leaving,
    /// Has no work in flight and may be stopped.
    Stopped,
}

impl std::fmt::Display for VmState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(match self {
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Stopped => "stopped",
        })
    }
}

/// A step that the VM's state does not allow.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum VmError {
    /// The step starts from another state.
    #[snafu(display("the VM is {state}; it has to be {wanted}"))]
    WrongState {
        /// The state it is in.
        state: VmState,
        /// The state that the step starts from.
        wanted: VmState,
    },
    /// The VM is in that pool already.
    #[snafu(display("the VM is in pool `{pool}` already"))]
    SamePool {
        /// The pool named.
        pool: PoolId,
    },
}

/// The row `vm/<id>`. It names exactly one pool, so a VM belongs to exactly one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The pool that the VM belongs to.
    pub pool: PoolId,
    /// Where the VM is in its life.
    pub state: VmState,
    /// The pool it goes to once it has drained.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub move_to: Option<PoolId>,
    /// The write that made this record, absent when it stems from the configuration.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub op: Option<OpId>,
}

impl VmRecord {
    /// A serving VM of `pool`.
    ///
    /// ```
    /// use domain::{PoolId, VmRecord, VmState};
    /// let vm = VmRecord::new(PoolId::new("parts").unwrap());
    /// assert_eq!(vm.state, VmState::Serving);
    /// ```
    #[must_use]
    pub fn new(pool: PoolId) -> Self {
        Self {
            pool,
            state: VmState::Serving,
            move_to: None,
            op: None,
        }
    }

    /// The same record, made by the write `op`.
    #[must_use]
    pub fn with_op(mut self, op: OpId) -> Self {
        self.op = Some(op);
        self
    }

    /// The record once the VM has begun to leave.
    ///
    /// # Errors
    /// [`VmError::WrongState`] unless it is serving.
    pub fn drained(&self) -> Result<Self> {
        self.expect(VmState::Serving)?;
        Ok(Self {
            state: VmState::Leaving,
            ..self.clone()
        })
    }

    /// The record once the VM has begun to leave for the pool `to`.
    ///
    /// # Errors
    /// [`VmError::SamePool`], or [`VmError::WrongState`] unless it is serving.
    pub fn moving(&self, to: PoolId) -> Result<Self> {
        if to == self.pool {
            return SamePoolSnafu { pool: to }.fail();
        }
        Ok(Self {
            move_to: Some(to),
            ..self.drained()?
        })
    }

    /// The record once no work is in flight. A VM on its way to another pool belongs to it from here on.
    ///
    /// # Errors
    /// [`VmError::WrongState`] unless it is leaving.
    ///
    /// ```
    /// use domain::{PoolId, VmRecord, VmState};
    /// let parts = PoolId::new("parts").unwrap();
    /// let quotes = PoolId::new("quotes").unwrap();
    /// let moved = VmRecord::new(parts).moving(quotes.clone()).unwrap().stopped().unwrap();
    /// assert_eq!(moved.pool, quotes);
    /// ```
    pub fn stopped(&self) -> Result<Self> {
        self.expect(VmState::Leaving)?;
        Ok(Self {
            pool: self.move_to.clone().unwrap_or_else(|| self.pool.clone()),
            state: VmState::Stopped,
            move_to: None,
            op: None,
        })
    }

    /// The record once the VM takes work again.
    ///
    /// # Errors
    /// [`VmError::WrongState`] unless it is stopped.
    pub fn returned(&self) -> Result<Self> {
        self.expect(VmState::Stopped)?;
        Ok(Self::new(self.pool.clone()))
    }

    fn expect(&self, wanted: VmState) -> Result<()> {
        if self.state == wanted {
            return Ok(());
        }
        WrongStateSnafu {
            state: self.state,
            wanted,
        }
        .fail()
    }
}
