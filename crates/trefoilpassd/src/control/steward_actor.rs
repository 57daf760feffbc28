//! Holds the steward's lease, and does the steward's work while it is held.

use std::collections::BTreeMap;
use std::sync::Arc;

use domain::{OpId, VmId};
use parking_lot::Mutex;
use platform::{Commit, Platform, Transaction};
use xtra::prelude::*;

use crate::control::changes::{Changes, SideWrite};
use crate::control::job_duties::JobsView;
use crate::control::lease::{LeaseStep, SeenLease};
use crate::control::rows::{self, StewardRow};
use crate::control::sweep::Sweep;
use crate::shared::Shared;

/// Looks after the lease, and does what is to be done.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Work;

/// The steward, or a candidate for it.
#[derive(Debug, xtra::Actor)]
pub(crate) struct StewardActor<P: Platform> {
    pub(crate) shared: Arc<Shared<P>>,
    pub(crate) changes: Changes<P>,
    lease: Arc<Mutex<SeenLease>>,
    was_steward: bool,
    /// When this steward saw a VM's mark first, by the write that made the mark.
    pub(crate) marks_seen_us: BTreeMap<(VmId, Option<OpId>), u64>,
    pub(crate) sweep: Sweep,
    pub(crate) jobs: JobsView,
}

impl<P: Platform> StewardActor<P> {
    pub(crate) fn new(
        shared: Arc<Shared<P>>,
        changes: Changes<P>,
        lease: Arc<Mutex<SeenLease>>,
    ) -> Self {
        Self {
            shared,
            changes,
            lease,
            was_steward: false,
            marks_seen_us: BTreeMap::new(),
            sweep: Sweep::new(),
            jobs: JobsView::default(),
        }
    }

    /// Renews or takes the lease where it is time to; true when this daemon is the steward.
    async fn look_after_lease(&mut self) -> bool {
        let now_us = self.shared.clock.now_us();
        if self.shared.is_draining() || !self.shared.platform_reachable() {
            return false;
        }
        let seen = self.lease.lock().clone();
        match seen.next_step(&self.shared.incarnation, now_us) {
            LeaseStep::Hold => true,
            LeaseStep::Follow => false,
            LeaseStep::Write(row) => self.write_lease(&seen, row).await,
        }
    }

    async fn write_lease(&self, seen: &SeenLease, row: StewardRow) -> bool {
        let transaction = Transaction::new(self.shared.next_op())
            .with_condition(rows::STEWARD, seen.version)
            .with_write(rows::STEWARD, &row);
        match self.shared.platform.transact(&transaction).await {
            Ok(Commit::Committed) => {
                // The version is read with the next poll; until then the next write would fail.
                self.changes.poll().await;
                self.lease.lock().holder() == Some(&self.shared.incarnation)
            }
            // A lost answer is read back by the next poll: the row names its holder.
            _ => false,
        }
    }

    /// The condition on every write of the steward: that it still is the steward.
    pub(crate) fn fence(&self) -> SideWrite {
        SideWrite {
            key: rows::STEWARD.into(),
            version: self.lease.lock().version,
            value: None,
        }
    }

    async fn work(&mut self) {
        let is_steward = self.look_after_lease().await;
        if is_steward != self.was_steward {
            self.was_steward = is_steward;
            self.marks_seen_us.clear();
            self.jobs = JobsView::with_tasks();
            let state = if is_steward { "is" } else { "is not" };
            log::info!("this daemon {state} the steward");
        }
        if !is_steward {
            return;
        }
        self.place_jobs().await;
        self.finish_leaving().await;
        self.advance_waves().await;
        self.sweep().await;
    }
}

impl<P: Platform> Handler<Work> for StewardActor<P> {
    type Return = ();

    async fn handle(&mut self, _: Work, _: &mut Context<Self>) {
        self.work().await;
    }
}
