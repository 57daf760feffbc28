//! The tasks of the platform stand-in: they run by the clock, as their payload says.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use domain::VmId;
use platform::{TaskOrder, TaskReport, TaskState};
use serde::{Deserialize, Serialize};

/// How a task behaves, as JSON in its payload.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskBehaviour {
    /// How long it runs.
    pub run_ms: u64,
    /// Memory that it uses.
    pub memory_mb: u32,
    /// How long a checkpoint takes.
    pub checkpoint_ms: u64,
    /// Whether it fails everywhere.
    pub fails: bool,
    /// Workers on which it fails.
    pub fails_on: Vec<VmId>,
}

#[derive(Debug)]
struct Task {
    order: TaskOrder,
    behaviour: TaskBehaviour,
    started: Instant,
    lease_until: Instant,
    checkpointed: Option<Instant>,
    ended: Option<TaskState>,
}

impl Task {
    fn state(&self, now: Instant) -> TaskState {
        if let Some(ended) = self.ended {
            return ended;
        }
        if self.checkpointed.is_some_and(|at| at <= now) {
            return TaskState::Checkpointed;
        }
        let ends = self.started + Duration::from_millis(self.behaviour.run_ms);
        if self.lease_until < ends.min(now) {
            return TaskState::Lost;
        }
        let fails = self.behaviour.fails || self.behaviour.fails_on.contains(&self.order.vm);
        match (now >= ends, fails) {
            (false, _) => TaskState::Running,
            (true, true) => TaskState::Failed,
            (true, false) => TaskState::Succeeded,
        }
    }
}

/// All tasks.
#[derive(Debug, Default)]
pub struct PlatformTasks {
    tasks: BTreeMap<String, Task>,
    /// Names of all tasks ever started, which start once.
    names: BTreeSet<String>,
    /// Tasks that ran to their end, by name.
    pub completed: BTreeMap<String, u32>,
}

impl PlatformTasks {
    /// Starts a task, unless its name was started before.
    pub fn start(&mut self, order: TaskOrder) {
        if !self.names.insert(order.task.to_string()) {
            return;
        }
        let now = Instant::now();
        let task = Task {
            behaviour: serde_json::from_str(&order.payload).unwrap_or_default(),
            started: now,
            lease_until: now + Duration::from_millis(order.lease_ms),
            checkpointed: None,
            ended: None,
            order,
        };
        self.tasks.insert(task.order.task.to_string(), task);
    }

    /// Ends a task that runs.
    pub fn stop(&mut self, name: &str, end: TaskState) {
        let now = Instant::now();
        if let Some(task) = self.tasks.get_mut(name)
            && task.state(now) == TaskState::Running
        {
            if end == TaskState::Checkpointed {
                let takes = Duration::from_millis(task.behaviour.checkpoint_ms);
                task.checkpointed.get_or_insert(now + takes);
            } else {
                task.ended = Some(end);
            }
        }
    }

    /// Ends all tasks of a VM that goes down.
    pub fn stop_all_on(&mut self, vm: &VmId) {
        let on_vm = self.tasks.values().filter(|task| task.order.vm == *vm);
        let names: Vec<_> = on_vm.map(|task| task.order.task.to_string()).collect();
        for name in names {
            self.stop(&name, TaskState::Lost);
        }
    }

    /// Renews leases.
    pub fn renew(&mut self, names: &[String], lease_ms: u64) {
        let now = Instant::now();
        for name in names {
            if let Some(task) = self.tasks.get_mut(name)
                && task.state(now) == TaskState::Running
            {
                task.lease_until = now + Duration::from_millis(lease_ms);
            }
        }
    }

    /// Reports of all tasks.
    pub fn list(&mut self) -> Vec<TaskReport> {
        let now = Instant::now();
        let mut reports = Vec::new();
        for (name, task) in &mut self.tasks {
            let state = task.state(now);
            if state != TaskState::Running && task.ended.is_none() {
                task.ended = Some(state);
                if state == TaskState::Succeeded {
                    *self.completed.entry(name.clone()).or_default() += 1;
                }
            }
            reports.push(TaskReport {
                task: task.order.task.clone(),
                vm: task.order.vm.clone(),
                state,
                cpu_milli: task.order.cpu_milli,
                memory_mb: task.behaviour.memory_mb,
            });
        }
        reports
    }

    /// Names of the tasks that run now.
    pub fn running(&mut self) -> Vec<String> {
        let reports = self.list().into_iter();
        let running = reports.filter(|report| report.state == TaskState::Running);
        running.map(|report| report.task.to_string()).collect()
    }

    /// Drops reports.
    pub fn forget(&mut self, names: &[String]) {
        for name in names {
            self.tasks.remove(name);
        }
    }
}
