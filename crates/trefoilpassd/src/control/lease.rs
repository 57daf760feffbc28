//! The steward's lease, judged by this daemon's own clock only.
//!
//! A candidate takes the lease over when it has seen the row unchanged for the lease's length. A holder that was
//! paused meanwhile fails on the row's version with its next write.

use domain::{Incarnation, Term};

use crate::control::rows::StewardRow;

/// How long a row has to stay unchanged before another daemon may take the lease over.
const LEASE_US: u64 = 10_000_000;

/// How often the holder renews it.
const RENEW_US: u64 = 3_000_000;

/// The lease as the table had it last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SeenLease {
    /// 0 when there is no row.
    pub(crate) version: u64,
    pub(crate) row: Option<StewardRow>,
    /// When this version was seen first.
    pub(crate) since_us: u64,
}

/// What to do about the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LeaseStep {
    /// This daemon holds it and need not renew it yet.
    Hold,
    /// Write this row, if the row's version is still `SeenLease::version`.
    Write(StewardRow),
    /// Another daemon holds it.
    Follow,
}

impl SeenLease {
    /// No row, at the time `now_us`.
    pub(crate) fn new(now_us: u64) -> Self {
        Self {
            version: 0,
            row: None,
            since_us: now_us,
        }
    }

    /// Takes in the row as it was read or written.
    pub(crate) fn saw(&mut self, version: u64, row: Option<StewardRow>, now_us: u64) {
        if version != self.version {
            *self = Self {
                version,
                row,
                since_us: now_us,
            };
        }
    }

    /// The holder, unless there is no row.
    pub(crate) fn holder(&self) -> Option<&Incarnation> {
        self.row.as_ref().map(|row| &row.holder)
    }

    /// What the daemon `own` does about the lease now.
    pub(crate) fn next_step(&self, own: &Incarnation, now_us: u64) -> LeaseStep {
        let age_us = now_us.saturating_sub(self.since_us);
        match &self.row {
            None => LeaseStep::Write(first_row(own, Term(1))),
            Some(row) if row.holder == *own && age_us < RENEW_US => LeaseStep::Hold,
            Some(row) if row.holder == *own => LeaseStep::Write(StewardRow {
                renewals: row.renewals + 1,
                ..row.clone()
            }),
            Some(row) if age_us >= LEASE_US => LeaseStep::Write(first_row(own, row.term.next())),
            Some(_) => LeaseStep::Follow,
        }
    }
}

fn first_row(holder: &Incarnation, term: Term) -> StewardRow {
    StewardRow {
        holder: holder.clone(),
        term,
        renewals: 0,
    }
}
