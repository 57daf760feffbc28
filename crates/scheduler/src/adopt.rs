//! What a new owner takes over from the rows.

use smol_str::SmolStr;
use submission::{Job, Phase, TaskKey};

use crate::scheduler::Scheduler;
use crate::types::Now;
use crate::worker::{Run, Worker, WorkerInfo, WorkerKey};

impl Scheduler {
    /// A job as its rows have it. What it has on workers stays reserved until they answer, or their lease has lapsed.
    pub fn adopt(&mut self, job: Job, now: Now) {
        let id = job.id;
        let mut runs = Vec::new();
        for (index, task) in job.tasks() {
            if let Phase::Assigned { worker } = &task.phase {
                let task_key = TaskKey { job: id, index };
                runs.push((
                    worker.clone(),
                    task_key,
                    Run::new(task.run, job.step(index), now.local_ms),
                ));
            }
        }
        for (worker, task, mut run) in runs {
            let key = self.worker_or_unlisted(&worker, now);
            // The first look carries this owner's term: an earlier owner's order can't take effect after it.
            run.settled_at_ms = Some(0);
            self.workers[key].insert(task, run);
        }
        self.recorded.insert(id, job.state());
        self.insert_job(job, now);
    }

    fn worker_or_unlisted(&mut self, id: &SmolStr, now: Now) -> WorkerKey {
        if let Some(&key) = self.by_id.get(id) {
            return key;
        }
        let info = WorkerInfo {
            id: id.clone(),
            addr: SmolStr::default(),
            labels: Vec::new(),
            capacity: submission::Resources::default(),
            is_draining: false,
        };
        let lapse_at_ms = self.earlier_lapsed(now.local_ms);
        let mut worker = Worker::new(info, lapse_at_ms);
        worker.is_listed = false;
        let key = self.workers.insert(worker);
        self.by_id.insert(id.clone(), key);
        key
    }
}
