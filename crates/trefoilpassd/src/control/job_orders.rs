//! What operators do with jobs.

use domain::JobId;
use peer::OperatorError;
use placement::{Job, JobSpec, Placer, Team, Usage, Worker};
use platform::{ListedState, Platform, Transaction};
use settings::Deployment;

use crate::clock::unix_time_s;
use crate::control::changes::{Changes, Result, Written, from_platform, no_configuration};
use crate::control::job_changes::{JobChange, OpenJob};
use crate::control::reports::Listed;
use crate::control::rows;
use crate::in_force::InForce;

/// Jobs listed at most, open and ended each.
pub(crate) const MAX_JOBS: usize = 2_000;

/// How often a cancellation starts over because the job changed at the same time.
const MAX_RACES: usize = 5;

impl<P: Platform> Changes<P> {
    /// Takes a job in, unless it can never run.
    pub(crate) async fn submit_job(&self, id: JobId, spec: JobSpec) -> Result<()> {
        let in_force = self.shared.in_force();
        let config = in_force.config.as_ref().ok_or_else(no_configuration)?;
        let workers = workers(&in_force, &Listed::new());
        let teams = teams(&config.deployment);
        let refused = |err: placement::Refusal| OperatorError::BadInput(err.to_string());
        Placer::check(&spec, &workers, &teams).map_err(refused)?;
        let (open, ended) = (rows::open_job(&id), rows::ended_job(&id));
        let job = Job::new(id.clone(), spec, unix_time_s() * 1_000);
        let transaction = Transaction::new(self.shared.next_op())
            .with_condition(ended, 0)
            .with_condition(open.clone(), 0)
            .with_write(open, &job);
        match self.write(transaction).await? {
            Written::Yes => Ok(()),
            Written::Raced => Err(OperatorError::Conflict(format!(
                "there is a job `{id}` already"
            ))),
        }
    }

    /// The open jobs.
    pub(crate) async fn open_jobs(&self) -> Result<Vec<OpenJob>> {
        let listed = self
            .shared
            .platform
            .list(rows::OPEN_JOBS, "", MAX_JOBS)
            .await;
        Ok(listed
            .map_err(from_platform)?
            .iter()
            .filter_map(OpenJob::read)
            .collect())
    }

    /// The open jobs, and those that have ended.
    pub(crate) async fn all_jobs(&self) -> Result<Vec<Job>> {
        let ended = self
            .shared
            .platform
            .list(rows::ENDED_JOBS, "", MAX_JOBS)
            .await;
        let ended = ended.map_err(from_platform)?;
        let ended = ended.iter().filter_map(OpenJob::read);
        let open = self.open_jobs().await?.into_iter();
        Ok(open.chain(ended).map(|open| open.job).collect())
    }

    /// A job, open or ended.
    pub(crate) async fn job(&self, id: &JobId) -> Result<Job> {
        let not_found = || OperatorError::NotFound(format!("there is no job `{id}`"));
        for key in [rows::open_job(id), rows::ended_job(id)] {
            if let Some(row) = self.read(&key).await? {
                return row.read(&key).map_err(from_platform);
            }
        }
        Err(not_found())
    }

    /// Cancels jobs, as many in one transaction as it takes; returns those that were not open.
    pub(crate) async fn cancel_jobs(&self, ids: Vec<JobId>) -> Result<Vec<JobId>> {
        let mut left = ids;
        for _ in 0..MAX_RACES {
            let open = self.open_jobs().await?;
            let of = |id: &JobId| open.iter().find(|open| open.job.id == *id);
            let cancelled = left.iter().filter_map(|id| {
                let open = of(id)?;
                let next = open.job.cancelled().ok()?;
                // The steward moves the row when the job's task is gone.
                Some(JobChange::new(open, next).with_row_kept_open())
            });
            let changes: Vec<_> = cancelled.collect();
            if changes.is_empty() {
                return Ok(left);
            }
            let written = self.change_jobs(changes, None).await?;
            left.retain(|id| written.iter().all(|change| change.next.id != *id));
            if left.is_empty() {
                return Ok(left);
            }
        }
        Ok(left)
    }
}

/// The VMs of all pools that take jobs.
pub(crate) fn workers(in_force: &InForce, listed: &Listed) -> Vec<Worker> {
    let Some(config) = &in_force.config else {
        return Vec::new();
    };
    let deployment = &config.deployment;
    let worker = |vm: &settings::Vm| {
        let record = in_force.record(&vm.id)?;
        let pool = deployment
            .pools
            .iter()
            .find(|pool| pool.id == record.pool)?;
        let entry = listed.get(&vm.id);
        let is_live = entry.is_none_or(|entry| entry.state == ListedState::Live);
        Some(Worker {
            vm: vm.id.clone(),
            pool: record.pool,
            size: Usage {
                cpu_milli: pool.job_cpu_milli,
                memory_mb: pool.job_memory_mb,
            },
            is_open: is_live && record.state == domain::VmState::Serving,
        })
    };
    deployment.vms.iter().filter_map(worker).collect()
}

/// The teams with their quotas.
pub(crate) fn teams(deployment: &Deployment) -> Vec<Team> {
    let team = |team: &settings::Team| Team {
        id: team.id.clone(),
        quota_cpu_milli: team.quota_cpu_milli,
    };
    deployment.teams.iter().map(team).collect()
}
