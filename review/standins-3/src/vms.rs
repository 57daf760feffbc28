//! The control of the machines as PROTOCOL.md describes it under "Machines".

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use platform_stand_in::Store;
use serde_json::{Value, json};

use crate::executor::Executor;
use crate::http_server::{Request, serve};
use crate::record::Record;

struct Machine {
    executor: Arc<Executor>,
    upkeep_until: Option<Instant>,
    /// The wave for which the machine has begun its upkeep.
    had_upkeep: Option<u64>,
}

pub struct VmControl {
    machines: Mutex<Vec<Machine>>,
    store: Arc<Store>,
    upkeep: Duration,
    record: Record,
    /// The status with which orders are answered that have no effect, and until when.
    unavailable: Mutex<Option<(u16, Instant)>>,
    most_down: Mutex<usize>,
}

impl VmControl {
    pub async fn start(
        executors: Vec<Arc<Executor>>,
        store: Arc<Store>,
        upkeep: Duration,
        record: Record,
    ) -> (Arc<Self>, SocketAddr) {
        let machines = executors.into_iter().map(|executor| Machine {
            executor,
            upkeep_until: None,
            had_upkeep: None,
        });
        let control = Arc::new(Self {
            machines: Mutex::new(machines.collect()),
            store,
            upkeep,
            record,
            unavailable: Mutex::new(None),
            most_down: Mutex::new(0),
        });
        let own = control.clone();
        let addr = serve(move |request| {
            let own = own.clone();
            async move { own.handle(&request) }
        })
        .await;
        let own = control.clone();
        tokio::spawn(async move {
            for life in 1u64.. {
                tokio::time::sleep(Duration::from_millis(10)).await;
                for machine in own.machines.lock().iter_mut() {
                    if machine
                        .upkeep_until
                        .is_some_and(|until| Instant::now() >= until)
                    {
                        machine.upkeep_until = None;
                        machine
                            .executor
                            .begin(format!("i-{life:08x}-{}", machine.executor.machine));
                        own.record.line(&format!(
                            "machine {} is back from upkeep",
                            machine.executor.machine
                        ));
                    }
                }
            }
        });
        (control, addr)
    }

    /// Orders are answered with `status` and have no effect for `duration`.
    pub fn be_unavailable(&self, status: u16, duration: Duration) {
        *self.unavailable.lock() = Some((status, Instant::now() + duration));
    }

    pub fn without_upkeep(&self) -> Vec<String> {
        let machines = self.machines.lock();
        let missing = machines
            .iter()
            .filter(|machine| machine.had_upkeep.is_none());
        missing
            .map(|machine| machine.executor.machine.clone())
            .collect()
    }

    pub fn most_down(&self) -> usize {
        *self.most_down.lock()
    }

    fn handle(&self, request: &Request) -> (u16, Value) {
        if request.path == "/v1/machines" {
            return self.list();
        }
        let name = request.body["machine"].as_str().unwrap_or_default();
        let (status, body) = self.order(request, name);
        self.record.line(&format!(
            "order {} {} holder {} fence {} -> {status} {body}",
            request.path, request.body, request.holder, request.fence
        ));
        (status, body)
    }

    fn list(&self) -> (u16, Value) {
        let machines = self.machines.lock();
        let entries = machines.iter().map(|machine| {
            let state = if machine.upkeep_until.is_some() { "upkeep" } else { "up" };
            json!({
                "machine": machine.executor.machine, "pool": machine.executor.pool(), "state": state, "zone": "z",
                "labels": ["a", "r1"], "capacity": {"cpu": machine.executor.cpu(), "memMb": 65536}, "id": machine.executor.id(),
            })
        });
        (
            200,
            json!({"machines": entries.collect::<Vec<_>>(), "nextToken": null}),
        )
    }

    fn order(&self, request: &Request, name: &str) -> (u16, Value) {
        if let Some((status, _)) = self
            .unavailable
            .lock()
            .filter(|(_, until)| Instant::now() < *until)
        {
            return (status, json!({}));
        }
        let mut machines = self.machines.lock();
        let Some(index) = machines
            .iter()
            .position(|machine| machine.executor.machine == name)
        else {
            return (400, json!({}));
        };
        if request.path != "/v1/machine-upkeep" {
            return (409, json!({"reason": "busy"}));
        }
        let wave = request.body["wave"].as_u64();
        let machine = &mut machines[index];
        if machine.had_upkeep == wave {
            return (200, json!({}));
        }
        if machine.upkeep_until.is_some() {
            return (409, json!({"reason": "busy"}));
        }
        machine.had_upkeep = wave;
        machine.upkeep_until = Some(Instant::now() + self.upkeep);
        machine.executor.end(&self.store);
        let down = machines
            .iter()
            .filter(|machine| machine.upkeep_until.is_some())
            .count();
        let mut most_down = self.most_down.lock();
        *most_down = down.max(*most_down);
        self.record.line(&format!(
            "machine {name} begins its upkeep; {down} are down for theirs"
        ));
        (200, json!({}))
    }
}
