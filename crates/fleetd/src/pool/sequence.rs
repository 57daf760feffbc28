//! Transactions of a unit's part, one after another, each conditional on the one before.
//!
//! A transaction whose answer is lost may take effect later. As each is conditional on the row that the last one
//! wrote, it can't do so after the next.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use users_platform::{CommitOutcome, Error, Row, RowKey, Transaction};

use crate::clock::local_ms;
use crate::node::{Node, SINGLETON_KEY, STORE_TIMEOUT, tables};

/// The pause before a transaction that failed is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// The first time-out of a try is this many times the usual time of an answer, so that a lost one costs little.
const TIMEOUT_FACTOR: u32 = 6;

/// The shortest time-out of a try. Answers take 8 ms to 18 ms on a calm store, and up to 0.6 s on one that is 60 times
/// slower: tries sent again too early would only add to its load.
const LEAST_TIMEOUT: Duration = Duration::from_millis(700);

/// The row that each transaction of a part rewrites.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SequenceRow {
    pub(crate) term: u64,
    pub(crate) number: u64,
}

/// Why a transaction did not take effect.
#[derive(Debug)]
pub(crate) enum SequenceError {
    /// Another daemon has taken the unit over.
    Deposed,
    /// These rows are not as the conditions want them.
    Conflict(Vec<Row>),
}

/// The transactions of a part.
#[derive(Debug)]
pub(crate) struct Sequence {
    unit: SmolStr,
    row: SequenceRow,
    version: u64,
    /// The usual time of an answer, as an average that forgets.
    usual: Duration,
}

impl Sequence {
    /// The sequence of a unit whose row was written with that version.
    pub(crate) fn new(unit: SmolStr, term: u64, version: u64) -> Self {
        Self {
            unit,
            row: SequenceRow { term, number: 0 },
            version,
            usual: Duration::ZERO,
        }
    }

    fn key(&self) -> RowKey {
        RowKey::new(tables::SEQUENCE, self.unit.clone(), SINGLETON_KEY)
    }

    /// Commits a transaction; tries until the outcome is known. Returns when the try that succeeded was sent.
    pub(crate) async fn commit(
        &mut self,
        node: &Node,
        transaction: Transaction,
        mut on_failure: impl FnMut(&Error),
    ) -> Result<u64, SequenceError> {
        let next = SequenceRow {
            number: self.row.number + 1,
            ..self.row
        };
        let value = serde_json::to_vec(&next).unwrap_or_default();
        let transaction = transaction
            .with_condition(self.key(), self.version)
            .with_write(self.key(), value);
        let mut first_sent_at_ms = None;
        let mut timeout = (self.usual * TIMEOUT_FACTOR).clamp(LEAST_TIMEOUT, STORE_TIMEOUT);
        loop {
            let sent_at_ms = local_ms();
            match node.store.commit(&transaction, timeout).await {
                Ok(CommitOutcome::Committed { version }) => {
                    let took = Duration::from_millis(local_ms().saturating_sub(sent_at_ms));
                    self.usual = (self.usual * 7 + took) / 8;
                    self.row = next;
                    self.version = version;
                    return Ok(sent_at_ms);
                }
                Ok(CommitOutcome::Conflict { rows }) => {
                    let own = rows.iter().find(|row| row.key == self.key());
                    let Some(own) = own.filter(|row| row.version != self.version) else {
                        return Err(SequenceError::Conflict(rows));
                    };
                    let found = own
                        .value
                        .as_deref()
                        .map(serde_json::from_slice::<SequenceRow>);
                    if !matches!(found, Some(Ok(row)) if row == next) {
                        return Err(SequenceError::Deposed);
                    }
                    // An earlier try took effect although its answer was lost.
                    self.row = next;
                    self.version = own.version;
                    return Ok(first_sent_at_ms.unwrap_or(sent_at_ms));
                }
                Err(err) => {
                    timeout = (timeout * 2).min(STORE_TIMEOUT);
                    node.metrics.store_failures.inc();
                    on_failure(&err);
                    first_sent_at_ms = first_sent_at_ms.or(Some(sent_at_ms));
                    if matches!(err, Error::Refused { .. } | Error::Unreachable) {
                        tokio::time::sleep(RETRY_PAUSE).await;
                    }
                }
            }
        }
    }
}
