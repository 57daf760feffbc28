//! Adoption of recorded jobs by a new owner.

use smol_str::SmolStr;
use submission::{Job, TaskKey, TaskPhase};

use crate::scheduler::Scheduler;
use crate::types::Now;
use crate::worker::{AssignedAttempt, Worker, WorkerInfo, WorkerKey};

impl Scheduler {
    /// Adds a job as its rows record it. Resources for the job's assigned attempts stay reserved on each worker until
    /// the worker reports, or until the worker's leases have expired.
    pub fn adopt_job(&mut self, job: Job, now: Now) {
        let id = job.id;
        let team = self.teams.key(&job.team);
        let mut assigned = Vec::new();
        for (index, task) in job.tasks() {
            if let TaskPhase::Assigned { worker } = &task.phase {
                let task_key = TaskKey { job: id, index };
                let step = job.step(index);
                let attempt = AssignedAttempt::new(task.attempt, step, task.crashes, now.local_ms);
                assigned.push((worker.clone(), task_key, attempt.with_team(team)));
            }
        }
        for (worker, task, mut attempt) in assigned {
            let key = self.worker_or_unlisted(&worker, now);
            // The first poll carries this owner's term, after which the commands of previous owners have no effect.
            attempt.settled_at_ms = Some(0);
            attempt.is_speed_limit_known = false;
            attempt.is_adopted = true;
            self.insert_attempt(key, task, attempt);
        }
        self.recorded_states.insert(id, job.state());
        self.insert_job(job, now);
    }

    fn worker_or_unlisted(&mut self, id: &SmolStr, now: Now) -> WorkerKey {
        if let Some(&key) = self.workers_by_id.get(id) {
            return key;
        }
        let info = WorkerInfo {
            id: id.clone(),
            start_unix_ms: None,
            addr: SmolStr::default(),
            labels: Vec::new(),
            capacity: submission::Resources::default(),
            is_shutting_down: false,
        };
        let leases_expired_by_ms = self.previous_leases_expired_by_ms(now.local_ms);
        let mut worker = Worker::new(info, leases_expired_by_ms);
        worker.is_listed = false;
        worker.drain_until_ms = self.expected_drains.remove(id).unwrap_or(0);
        let key = self.workers.insert(worker);
        self.workers_by_id.insert(id.clone(), key);
        key
    }
}
