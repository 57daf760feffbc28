//! Changes of job rows, many in one transaction.

use placement::Job;
use platform::{Platform, RowEntry, Transaction};

use crate::control::changes::{Changes, Result, SideWrite, Written};
use crate::control::rows;

/// Jobs in one transaction.
const BATCH_JOBS: usize = 50;

/// An open job and its row's version.
#[derive(Debug, Clone)]
pub(crate) struct OpenJob {
    pub(crate) job: Job,
    pub(crate) version: u64,
}

impl OpenJob {
    pub(crate) fn read(entry: &RowEntry) -> Option<Self> {
        let row = entry.row.as_ref()?;
        let job = row.read(&entry.key).ok()?;
        let version = row.version;
        Some(Self { job, version })
    }
}

/// The next state of an open job.
#[derive(Debug, Clone)]
pub(crate) struct JobChange {
    pub(crate) version: u64,
    pub(crate) next: Job,
    /// Whether the job's row stays among the open ones.
    pub(crate) stays_open: bool,
}

impl JobChange {
    pub(crate) fn new(open: &OpenJob, next: Job) -> Self {
        Self {
            version: open.version,
            stays_open: !next.has_ended(),
            next,
        }
    }

    /// The same change, after which the row stays among the open ones.
    pub(crate) fn with_row_kept_open(mut self) -> Self {
        self.stays_open = true;
        self
    }

    fn add_to(&self, transaction: Transaction) -> Transaction {
        let open_key = rows::open_job(&self.next.id);
        let transaction = transaction.with_condition(open_key.clone(), self.version);
        if self.stays_open {
            return transaction.with_write(open_key, &self.next);
        }
        transaction
            .with_removal(open_key)
            .with_write(rows::ended_job(&self.next.id), &self.next)
    }
}

impl<P: Platform> Changes<P> {
    /// Writes changes of jobs; returns those that took effect. Of a batch that meets a changed row, each change is
    /// tried alone, so that one cancelled job does not hold up the others.
    pub(crate) async fn change_jobs(
        &self,
        changes: Vec<JobChange>,
        fence: Option<&SideWrite>,
    ) -> Result<Vec<JobChange>> {
        let mut written = Vec::new();
        for batch in changes.chunks(BATCH_JOBS) {
            if self.write_jobs(batch, fence).await? == Written::Yes {
                written.extend_from_slice(batch);
                continue;
            }
            for change in batch {
                let alone = std::slice::from_ref(change);
                if self.write_jobs(alone, fence).await? == Written::Yes {
                    written.push(change.clone());
                }
            }
        }
        Ok(written)
    }

    async fn write_jobs(&self, batch: &[JobChange], fence: Option<&SideWrite>) -> Result<Written> {
        let mut transaction = Transaction::new(self.shared.next_op());
        if let Some(fence) = fence {
            transaction = transaction.with_condition(fence.key.clone(), fence.version);
        }
        for change in batch {
            transaction = change.add_to(transaction);
        }
        self.write(transaction).await
    }
}
