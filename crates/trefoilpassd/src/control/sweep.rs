//! Removes rows that nobody needs any more.

use domain::FleetSeq;
use platform::{Commit, Platform, RowEntry, Transaction};

use crate::clock::unix_time_s;
use crate::control::rows::{self, ClaimBatchRow, OpRow};
use crate::control::steward_actor::StewardActor;

/// How often a page of each kind is looked at.
const SWEEP_PERIOD_US: u64 = 10_000_000;

/// Rows looked at, of each kind.
const PAGE_ROWS: usize = 200;

/// Batches of claims removed in one round, so that the steward's other work and its lease do not wait for them.
const MAX_BATCHES: usize = 50;

/// How long the row of a write is kept.
const KEEP_OP_S: u64 = 3_600;

/// How long a claim is kept; a key that is used again after that counts as a new one.
const KEEP_CLAIM_S: u64 = 24 * 3_600;

/// Changes kept for daemons that catch up.
const KEEP_CHANGES: u64 = 200;

/// Where the sweep stands.
#[derive(Debug)]
pub(crate) struct Sweep {
    last_us: u64,
    /// Whether the last round ended with old batches of claims left.
    has_backlog: bool,
    after: [String; 2],
}

impl Sweep {
    pub(crate) fn new() -> Self {
        Self {
            last_us: 0,
            has_backlog: false,
            after: Default::default(),
        }
    }
}

impl<P: Platform> StewardActor<P> {
    /// Looks at the next page of each kind when it is time to.
    pub(crate) async fn sweep(&mut self) {
        let now_us = self.shared.clock.now_us();
        if self.sweep.has_backlog {
            self.sweep_claims(unix_time_s()).await;
        }
        if now_us.saturating_sub(self.sweep.last_us) < SWEEP_PERIOD_US {
            return;
        }
        self.sweep.last_us = now_us;
        let unix_time_s = unix_time_s();
        let seq = self.shared.view().fleet_seq;
        self.sweep_kind(0, rows::OPS, |entry| is_old_op(entry, unix_time_s))
            .await;
        self.sweep_kind(1, rows::CHANGES, |entry| is_old_change(entry, seq))
            .await;
        self.sweep_claims(unix_time_s).await;
    }

    /// Removes the oldest batches of claims, a batch in a transaction, until one is young enough to stay.
    async fn sweep_claims(&mut self, unix_time_s: u64) {
        self.sweep.has_backlog = false;
        for _ in 0..MAX_BATCHES {
            // Keys are in order of time, so that the first row is that of the oldest batch.
            let first = self.shared.platform.list(rows::CLAIM_BATCHES, "", 1).await;
            let Some(entry) = first.ok().and_then(|page| page.into_iter().next()) else {
                return;
            };
            let removed = self.remove_batch(&entry, unix_time_s).await;
            if removed != Some(Commit::Committed) {
                return;
            }
        }
        self.sweep.has_backlog = true;
    }

    /// Removes the claims of a batch if it is old enough.
    async fn remove_batch(&self, entry: &RowEntry, unix_time_s: u64) -> Option<Commit> {
        let row = entry.row.as_ref()?;
        let batch = row.read::<ClaimBatchRow>(&entry.key).ok()?;
        if batch.written_at_s + KEEP_CLAIM_S > unix_time_s {
            return None;
        }
        let fence = self.fence();
        let mut removal = Transaction::new(self.shared.next_op())
            .with_condition(fence.key, fence.version)
            .with_condition(entry.key.clone(), row.version)
            .with_removal(entry.key.clone());
        for key in batch.keys {
            removal = removal.with_removal(key);
        }
        self.shared.platform.transact(&removal).await.ok()
    }

    async fn sweep_kind(&mut self, kind: usize, prefix: &str, is_old: impl Fn(&RowEntry) -> bool) {
        let after = self.sweep.after[kind].clone();
        let Ok(page) = self.shared.platform.list(prefix, &after, PAGE_ROWS).await else {
            return;
        };
        // Past the last row the sweep starts over.
        self.sweep.after[kind] = page
            .last()
            .map_or_else(String::new, |entry| entry.key.clone());
        let fence = self.fence();
        let mut removal =
            Transaction::new(self.shared.next_op()).with_condition(fence.key, fence.version);
        for entry in page.iter().filter(|entry| is_old(entry)) {
            let version = entry.row.as_ref().map_or(0, |row| row.version);
            removal = removal
                .with_condition(entry.key.clone(), version)
                .with_removal(entry.key.clone());
        }
        if removal.writes.is_empty() {
            return;
        }
        let removed = self.shared.platform.transact(&removal).await;
        if removed != Ok(Commit::Committed) {
            log::debug!("rows under {prefix} were not removed; they come up again");
        }
    }
}

fn is_old_op(entry: &RowEntry, unix_time_s: u64) -> bool {
    let row = entry
        .row
        .as_ref()
        .and_then(|row| row.read::<OpRow>(&entry.key).ok());
    row.is_some_and(|row| row.made_at_s + KEEP_OP_S < unix_time_s)
}

fn is_old_change(entry: &RowEntry, newest: FleetSeq) -> bool {
    let seq = entry
        .key
        .strip_prefix(rows::CHANGES)
        .and_then(|seq| seq.parse::<u64>().ok());
    seq.is_some_and(|seq| seq + KEEP_CHANGES < newest.0)
}
