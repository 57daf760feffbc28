//! VM records: the pool and the state of a VM, and the allowed state transitions.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{OpId, PoolId};

/// The result of a state transition of a VM.
pub type Result<T> = std::result::Result<T, VmError>;

/// The state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM accepts new work.
    Serving,
    /// The VM accepts no new work and finishes its work in flight.
    Leaving,
    /// The VM has no work in flight and may be stopped.
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

/// The reason why a state transition is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum VmError {
    /// The VM is not in the state in which the transition starts.
    #[snafu(display("the VM is {state}; it has to be {wanted}"))]
    WrongState {
        /// The current state.
        state: VmState,
        /// The state in which the transition starts.
        wanted: VmState,
    },
    /// The VM is already in the pool to which it is to be moved.
    #[snafu(display("the VM is in pool `{pool}` already"))]
    SamePool {
        /// The requested pool.
        pool: PoolId,
    },
}

/// The row `vm/<id>`. A VM belongs to exactly one pool, which the row names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The pool of the VM.
    pub pool: PoolId,
    /// The state of the VM.
    pub state: VmState,
    /// The pool to which the VM is moved once it has drained; `None` when no move was requested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub move_to: Option<PoolId>,
    /// The write that created this record; `None` when the record comes from the configuration.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub op: Option<OpId>,
}

impl VmRecord {
    /// Creates the record of a serving VM of `pool`.
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

    /// Returns the record with `op` as the write that creates it.
    #[must_use]
    pub fn with_op(mut self, op: OpId) -> Self {
        self.op = Some(op);
        self
    }

    /// Returns the record of the VM when its drain begins.
    ///
    /// # Errors
    /// [`VmError::WrongState`] unless the VM is serving.
    pub fn drained(&self) -> Result<Self> {
        self.expect(VmState::Serving)?;
        Ok(Self {
            state: VmState::Leaving,
            ..self.clone()
        })
    }

    /// Returns the record of the VM when its drain for a move to the pool `to` begins.
    ///
    /// # Errors
    /// [`VmError::SamePool`] when the VM is in the pool `to`, and [`VmError::WrongState`] unless the VM is serving.
    pub fn moving(&self, to: PoolId) -> Result<Self> {
        if to == self.pool {
            return SamePoolSnafu { pool: to }.fail();
        }
        Ok(Self {
            move_to: Some(to),
            ..self.drained()?
        })
    }

    /// Returns the record of the VM when no work is in flight any more. A VM that is being moved belongs to its new pool
    /// from then on.
    ///
    /// # Errors
    /// [`VmError::WrongState`] unless the VM is leaving.
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

    /// Returns the record of the VM when it accepts work again.
    ///
    /// # Errors
    /// [`VmError::WrongState`] unless the VM is stopped.
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
