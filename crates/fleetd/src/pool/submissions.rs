//! The callers that wait for the rows of a job, and which new jobs may have rows already.

use std::collections::{HashMap, HashSet};

use smol_str::SmolStr;
use submission::JobId;
use tokio::sync::oneshot;

use crate::assignments::SubmittedIntake;
use crate::rpc::SubmitReply;

/// The condition on which a new job is recorded: the version of the pool's copy of the assignment of the job's queue.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct IntakeCondition {
    /// The key of the assignment.
    pub(super) key: SmolStr,
    pub(super) version: u64,
    /// Whether the copy with this version has no previous pools.
    is_first_pool: bool,
}

/// The callers that wait until the rows of a job are written, by job.
///
/// A new job may have rows from the time at which a transaction with the job is about to be sent. The job is then **in
/// doubt** until the outcome of the transaction is known.
#[derive(Debug, Default)]
pub(super) struct Submissions {
    waiters: HashMap<JobId, Vec<oneshot::Sender<SubmitReply>>>,
    in_doubt: HashSet<JobId>,
    /// The conditions on which the new jobs are recorded.
    intakes: HashMap<JobId, IntakeCondition>,
    /// The versions of those copies without previous pools on which a job has been recorded, by key. Daemons that have not read the
    /// copy, or can't as the store refuses them, submit jobs on this condition.
    first_intakes: HashMap<SmolStr, u64>,
}

impl Submissions {
    /// Adds a caller that waits for the rows of a job. The receiver fails when the ownership of the pool ends while the
    /// job is in doubt.
    pub(super) fn wait(&mut self, job: JobId) -> oneshot::Receiver<SubmitReply> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.entry(job).or_default().push(sender);
        receiver
    }

    /// Returns the condition on which a submitted job is recorded; none if no version of the copy is known.
    pub(super) fn condition(&self, intake: SubmittedIntake) -> Option<IntakeCondition> {
        let SubmittedIntake {
            key,
            version,
            is_first_pool,
        } = intake;
        let (version, is_first_pool) = match version {
            Some(version) => (version, is_first_pool),
            None => (*self.first_intakes.get(&key)?, true),
        };
        Some(IntakeCondition {
            key,
            version,
            is_first_pool,
        })
    }

    /// Sets the condition on which a new job is recorded. Lasts until the callers that wait for the job get their response.
    pub(super) fn set_intake(&mut self, job: JobId, intake: IntakeCondition) {
        self.intakes.insert(job, intake);
    }

    /// Notes that a new job was recorded on its condition.
    pub(super) fn confirm_intake(&mut self, job: JobId) {
        if let Some(intake) = self.intakes.get(&job).filter(|intake| intake.is_first_pool) {
            self.first_intakes
                .insert(intake.key.clone(), intake.version);
        }
    }

    /// Notes the version that the copy with a key has, and forgets another one.
    pub(super) fn check_intake(&mut self, key: &str, version: u64) {
        if self
            .first_intakes
            .get(key)
            .is_some_and(|known| *known != version)
        {
            self.first_intakes.remove(key);
        }
    }

    /// The condition on which a new job is recorded.
    pub(super) fn intake(&self, job: JobId) -> Option<&IntakeCondition> {
        self.intakes.get(&job)
    }

    /// The number of different conditions on which new jobs are recorded.
    pub(super) fn intake_count(&self) -> usize {
        let intakes: HashSet<_> = self.intakes.values().collect();
        intakes.len()
    }

    /// The number of jobs for whose rows a caller waits.
    pub(super) fn len(&self) -> usize {
        self.waiters.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Marks the new jobs of a transaction as in doubt before the transaction is sent. The outcome of the previous
    /// transaction is known.
    pub(super) fn begin_transaction(&mut self, jobs: impl IntoIterator<Item = JobId>) {
        self.in_doubt = jobs.into_iter().collect();
    }

    /// Ends the doubt about the jobs of a transaction whose outcome is known.
    pub(super) fn end_transaction(&mut self) {
        self.in_doubt.clear();
    }

    /// The jobs for which a caller waits and that are not in doubt.
    pub(super) fn without_doubt(&self) -> Vec<JobId> {
        let jobs = self.waiters.keys();
        jobs.filter(|job| !self.in_doubt.contains(job))
            .copied()
            .collect()
    }

    /// Responds to the callers that wait for a job.
    pub(super) fn respond(&mut self, job: JobId, reply: SubmitReply) {
        self.intakes.remove(&job);
        for waiter in self.waiters.remove(&job).unwrap_or_default() {
            // The send fails only when the caller no longer waits.
            let _ = waiter.send(reply);
        }
    }

    /// Responds to all callers when the ownership of the pool ends: nothing was written of the jobs that are not in
    /// doubt.
    pub(super) fn end(&mut self) {
        for job in self.without_doubt() {
            self.respond(job, SubmitReply::NotOwner);
        }
        self.waiters.clear();
        self.intakes.clear();
    }
}
