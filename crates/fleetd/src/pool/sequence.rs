//! Commits the transactions of a shard one after another, each conditional on the previous one.
//!
//! A transaction whose response is lost may take effect later. As each transaction is conditional on the sequence row
//! that the previous one wrote, a delayed transaction can't take effect after the next one has.

use std::ops::ControlFlow;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use users_platform::{CommitOutcome, Error, Row, RowKey, Transaction};

use crate::clock::local_ms;
use crate::node::{Node, SINGLETON_KEY, STORE_TIMEOUT, tables};

/// The delay before a transaction that was refused, or did not reach the store, is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The timeout of the first try, as a multiple of the average response time. A lost response then costs little time.
const TIMEOUT_FACTOR: u32 = 6;

/// The shortest timeout of a try. Responses take 8 ms to 18 ms when the store has little load, and up to 0.6 s when it
/// is 60 times slower. Tries that are repeated too early would only add to the load.
const MIN_TIMEOUT: Duration = Duration::from_millis(700);

/// The sequence row of a shard, rewritten by each of the shard's transactions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SequenceRow {
    /// The term of the owner that committed the transaction.
    pub(crate) term: u64,
    /// The number of the transaction within the term, from 0 for the takeover.
    pub(crate) number: u64,
}

/// Why a transaction did not take effect.
#[derive(Debug)]
pub(crate) enum SequenceError {
    /// Another daemon took over the shard.
    Deposed,
    /// The conditions on other rows did not hold. The payload is the rows as found.
    Conflict(Vec<Row>),
    /// The caller gave the transaction up after the store had rejected all tries.
    GivenUp,
}

/// The sequence of an owner's transactions in a shard.
#[derive(Debug)]
pub(crate) struct Sequence {
    shard: SmolStr,
    row: SequenceRow,
    /// The version of the sequence row that the last transaction wrote.
    version: u64,
    /// The moving average of the store's response time.
    average_response_time: Duration,
}

impl Sequence {
    /// Creates the sequence of a shard whose sequence row the takeover wrote with the given version.
    pub(crate) fn new(shard: SmolStr, term: u64, version: u64) -> Self {
        Self {
            shard,
            row: SequenceRow { term, number: 0 },
            version,
            average_response_time: Duration::ZERO,
        }
    }

    fn key(&self) -> RowKey {
        RowKey::new(tables::SEQUENCE, self.shard.clone(), SINGLETON_KEY)
    }

    /// Commits a transaction, with as many tries as it takes until the outcome is known. Returns the local time in ms
    /// at which the successful try was sent, or the first try when the store does not tell which try succeeded. Fails
    /// with [`SequenceError::Deposed`] when another daemon owns the shard, and with [`SequenceError::Conflict`] when a
    /// condition of the transaction does not hold.
    ///
    /// Calls `on_failure` for each failed try. Fails with [`SequenceError::GivenUp`] when `on_failure` tells to stop and
    /// no try can have had an effect; after a try that may have, a stop is ignored.
    pub(crate) async fn commit(
        &mut self,
        node: &Node,
        transaction: Transaction,
        mut on_failure: impl FnMut(&Error) -> ControlFlow<()>,
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
        let mut is_in_doubt = false;
        let mut timeout =
            (self.average_response_time * TIMEOUT_FACTOR).clamp(MIN_TIMEOUT, STORE_TIMEOUT);
        loop {
            let sent_at_ms = local_ms();
            match node.store.commit(&transaction, timeout).await {
                Ok(CommitOutcome::Committed { version }) => {
                    let response_time =
                        Duration::from_millis(local_ms().saturating_sub(sent_at_ms));
                    self.average_response_time =
                        (self.average_response_time * 7 + response_time) / 8;
                    self.row = next;
                    self.version = version;
                    return Ok(sent_at_ms);
                }
                Ok(CommitOutcome::Conflict { rows }) => {
                    let sequence_row = rows.iter().find(|row| row.key == self.key());
                    let Some(sequence_row) = sequence_row.filter(|row| row.version != self.version)
                    else {
                        return Err(SequenceError::Conflict(rows));
                    };
                    let found = sequence_row
                        .value
                        .as_deref()
                        .map(serde_json::from_slice::<SequenceRow>);
                    if !matches!(found, Some(Ok(row)) if row == next) {
                        return Err(SequenceError::Deposed);
                    }
                    // An earlier try took effect although its response was lost.
                    self.row = next;
                    self.version = sequence_row.version;
                    return Ok(first_sent_at_ms.unwrap_or(sent_at_ms));
                }
                Err(err) => {
                    timeout = (timeout * 2).min(STORE_TIMEOUT);
                    node.metrics.store_failures.inc();
                    let next_step = on_failure(&err);
                    first_sent_at_ms = first_sent_at_ms.or(Some(sent_at_ms));
                    is_in_doubt |= !err.is_without_effect();
                    if matches!(err, Error::Refused { .. } | Error::Unreachable) {
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                    if next_step.is_break() && !is_in_doubt {
                        return Err(SequenceError::GivenUp);
                    }
                }
            }
        }
    }
}
