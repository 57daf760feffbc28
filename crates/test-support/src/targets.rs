//! Executors on target VMs, with slots, connections, service times and faults, and a ledger of what ran.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use domain::VmId;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::{Semaphore, watch};

use crate::target_server;

/// What is wrong with an executor.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetFault {
    /// Nothing.
    #[default]
    None,
    /// Runs the request and answers 500.
    Fail,
    /// Says that it did not run the request.
    NotRun,
    /// Runs the request and closes the connection instead of answering.
    Drop,
    /// Runs the request and sends half of the answer.
    Truncate,
    /// Runs the request and never answers.
    Hang,
    /// Takes ten times as long.
    Slow,
    /// Answers with another request's id.
    WrongId,
}

/// A request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The executor.
    pub addr: SocketAddr,
    /// The VM.
    pub vm: VmId,
}

/// Figures of all executors.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStats {
    /// Requests that ran.
    pub runs: u64,
    /// Requests that were in flight when their VM was taken down.
    pub cut_by_stop: u64,
    /// The most connections that any executor had at once.
    pub most_connections: u32,
    /// Requests that came with a body shorter than announced.
    pub broken_bodies: u64,
}

/// One executor.
#[derive(Debug)]
pub(crate) struct Executor {
    pub(crate) addr: SocketAddr,
    pub(crate) vm: VmId,
    pub(crate) slots: Semaphore,
    pub(crate) state: Mutex<ExecutorState>,
    /// Whether the VM is up; its connections end when it goes down.
    pub(crate) is_up: watch::Sender<bool>,
}

#[derive(Debug, Default)]
pub(crate) struct ExecutorState {
    pub(crate) fault: TargetFault,
    pub(crate) connections: u32,
    pub(crate) in_flight: u64,
    pub(crate) last_request_ms: u64,
}

/// What all executors share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) service_time: Duration,
    pub(crate) runs: Mutex<HashMap<String, Vec<Run>>>,
    pub(crate) stats: Mutex<TargetStats>,
    pub(crate) started: std::time::Instant,
}

/// A set of executors.
#[derive(Debug, Clone)]
pub struct Targets {
    executors: Arc<BTreeMap<SocketAddr, Arc<Executor>>>,
    shared: Arc<Shared>,
}

impl Targets {
    /// Starts executors on these addresses. A request takes `service_time` on average.
    ///
    /// # Panics
    /// When an address can't be listened on.
    pub fn start(
        executors: impl IntoIterator<Item = (SocketAddr, VmId, u32)>,
        service_time: Duration,
    ) -> Self {
        let shared = Arc::new(Shared {
            service_time,
            runs: Mutex::default(),
            stats: Mutex::default(),
            started: std::time::Instant::now(),
        });
        let mut by_addr = BTreeMap::new();
        for (addr, vm, slots) in executors {
            let executor = Arc::new(Executor {
                addr,
                vm,
                slots: Semaphore::new(slots as usize),
                state: Mutex::default(),
                is_up: watch::Sender::new(true),
            });
            let listening = target_server::start(executor.clone(), shared.clone());
            listening.expect("an address to listen on");
            by_addr.insert(addr, executor);
        }
        Self {
            executors: Arc::new(by_addr),
            shared,
        }
    }

    /// Switches a fault on or off, on one executor.
    pub fn set_fault(&self, addr: SocketAddr, fault: TargetFault) {
        if let Some(executor) = self.executors.get(&addr) {
            executor.state.lock().fault = fault;
        }
    }

    /// Switches a fault on or off, on all executors.
    pub fn set_fault_everywhere(&self, fault: TargetFault) {
        for executor in self.executors.values() {
            executor.state.lock().fault = fault;
        }
    }

    /// Takes a VM down, which cuts what is in flight, or brings it up.
    pub fn set_vm_up(&self, vm: &VmId, is_up: bool) {
        for executor in self
            .executors
            .values()
            .filter(|executor| executor.vm == *vm)
        {
            if !is_up {
                self.shared.stats.lock().cut_by_stop += executor.state.lock().in_flight;
            }
            executor.is_up.send_replace(is_up);
        }
    }

    /// How often each operation ran, by the value of its `x-op` header.
    #[must_use]
    pub fn runs(&self) -> HashMap<String, Vec<Run>> {
        self.shared.runs.lock().clone()
    }

    /// The figures so far.
    #[must_use]
    pub fn stats(&self) -> TargetStats {
        self.shared.stats.lock().clone()
    }

    /// When the last request came to a VM's executors, in milliseconds since the start.
    #[must_use]
    pub fn last_request_ms(&self, vm: &VmId) -> u64 {
        let executors = self
            .executors
            .values()
            .filter(|executor| executor.vm == *vm);
        executors
            .map(|executor| executor.state.lock().last_request_ms)
            .max()
            .unwrap_or(0)
    }

    /// Milliseconds since the start.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.shared.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
