//! A small deployment: the store, the executors on their machines, the VM control, the advice, and the daemons.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};

use crate::executor::{Executor, Log, Needs, Run, Spec};
use crate::http::{self, Request, Response};
use crate::record::Record;
use crate::store::Store;

const MOVE_TIME: Duration = Duration::from_millis(1500);
const UPKEEP_TIME: Duration = Duration::from_millis(2000);
const ADVICE_VALID_MS: u64 = 10_000;
/// The service whose machines are off, and how long the VM control usually takes to answer.
pub const STANDBY: &str = "spare";
pub const CLOUD_MS: u64 = 18;
pub const HOST: &str = "pule25.example";

struct Machine {
    spec: Spec,
    /// `up`, `moving` or `upkeep`.
    state: &'static str,
    /// None on standby, and while the machine is moved or in upkeep.
    executor: Option<Arc<Executor>>,
}

pub struct Platform {
    pub store: Arc<Store>,
    pub log: Arc<Log>,
    pub record: Arc<Record>,
    machines: Mutex<BTreeMap<String, Machine>>,
    /// The machines that have had their upkeep, with its wave.
    upkept: Mutex<BTreeSet<(String, u64)>>,
    /// How long the VM control takes to answer, in ms.
    pub cloud_ms: AtomicU64,
    /// How many executors the policy allows to run a step, others for each step.
    pub allowed_each_step: Mutex<usize>,
    /// How long the advice takes to decide, and for each executor.
    pub advice_ms: Mutex<(u64, u64)>,
    advice_turn: tokio::sync::Mutex<()>,
    pub store_addr: SocketAddr,
    pub cloud_addr: SocketAddr,
    pub advice_addr: SocketAddr,
    next_life: Mutex<u64>,
    uuid_ids: bool,
}

impl Platform {
    /// Starts the platform with so many machines in each service. `uuid_ids` gives executors ids in the form of a UUID.
    pub async fn start(
        record: Arc<Record>,
        services: &[(&str, usize, u64, u64)],
        uuid_ids: bool,
    ) -> Arc<Self> {
        let store = Store::new(record.clone());
        let handler = store.clone();
        let store_addr = http::serve(move |request| handler.clone().handle(request)).await;
        let slot: Arc<Mutex<Option<Arc<Self>>>> = Arc::default();
        let handler = slot.clone();
        let cloud_addr = http::serve(move |request| {
            let platform = handler.lock().unwrap().clone();
            async move { platform?.cloud(request).await }
        });
        let cloud_addr = cloud_addr.await;
        let handler = slot.clone();
        let advice_addr = http::serve(move |request| {
            let platform = handler.lock().unwrap().clone();
            async move { platform?.advise(request).await }
        });
        let platform = Arc::new(Self {
            store,
            log: Arc::default(),
            record,
            machines: Mutex::default(),
            upkept: Mutex::default(),
            cloud_ms: AtomicU64::new(CLOUD_MS),
            allowed_each_step: Mutex::new(usize::MAX),
            advice_ms: Mutex::new((20, 2)),
            advice_turn: tokio::sync::Mutex::default(),
            store_addr,
            cloud_addr,
            advice_addr: advice_addr.await,
            next_life: Mutex::new(1),
            uuid_ids,
        });
        *slot.lock().unwrap() = Some(platform.clone());
        let mut number = 0;
        for (service, count, cpu, mem_mb) in services {
            for _ in 0..*count {
                number += 1;
                let spec = Spec {
                    id: platform.new_id(),
                    machine: format!("m-{number:03}"),
                    service: (*service).into(),
                    rack: format!("r{}", number / 4),
                    zone: "z-a".into(),
                    cpu: *cpu,
                    mem_mb: *mem_mb,
                };
                platform.run(spec).await;
            }
        }
        platform
    }

    fn new_id(&self) -> String {
        let mut life = self.next_life.lock().unwrap();
        *life += 1;
        let mixed = life.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        if self.uuid_ids {
            format!(
                "{:08x}-5f1c-4b7e-9d3a-{:012x}",
                mixed >> 32,
                mixed & 0xffff_ffff_ffff
            )
        } else {
            format!("i-{:08x}", mixed >> 32)
        }
    }

    async fn run(&self, spec: Spec) {
        let executor = if spec.service == STANDBY {
            None
        } else {
            let (store, log, record) = (self.store.clone(), self.log.clone(), self.record.clone());
            Some(Executor::start(spec.clone(), store, log, record).await)
        };
        let id = if executor.is_some() {
            spec.id.as_str()
        } else {
            "no executor"
        };
        self.record.line(&format!(
            "machine {} is up in {} with {id}",
            spec.machine, spec.service
        ));
        let machine = Machine {
            spec: spec.clone(),
            state: "up",
            executor,
        };
        self.machines.lock().unwrap().insert(spec.machine, machine);
    }

    /// The machines that are up, but for those of the executors `busy`.
    pub fn idle_machines(&self, busy: &[String]) -> Vec<String> {
        let machines = self.machines.lock().unwrap();
        let idle = machines
            .iter()
            .filter(|(_, it)| it.executor.is_some() && !busy.contains(&it.spec.id));
        idle.map(|(name, _)| name.clone()).collect()
    }

    /// Lets an executor crash and start again under its id.
    pub async fn restart(&self, id: &str) {
        let Some(executor) = self.executor(id) else {
            return;
        };
        executor.crash();
        self.record
            .line(&format!("{id} crashes and starts again under its id"));
        self.run(executor.spec.clone()).await;
    }

    /// The executor with this id.
    pub fn executor(&self, id: &str) -> Option<Arc<Executor>> {
        let machines = self.machines.lock().unwrap();
        let mut executors = machines
            .values()
            .filter_map(|machine| machine.executor.clone());
        executors.find(|executor| executor.spec.id == id)
    }

    /// The ids of the executors of a service, in the order of their machines.
    pub fn executors(&self, service: &str) -> Vec<String> {
        let machines = self.machines.lock().unwrap();
        let of_service = machines
            .values()
            .filter(|it| it.spec.service == service && it.executor.is_some());
        of_service.map(|machine| machine.spec.id.clone()).collect()
    }

    /// The capacity of an executor that `running` leaves.
    fn free(spec: &Spec, running: &[&Run]) -> Needs {
        let here = running
            .iter()
            .filter(|run| run.executor == spec.id)
            .map(|run| run.needs);
        here.fold(
            Needs {
                cpu: spec.cpu,
                mem_mb: spec.mem_mb,
            },
            |free, needs| Needs {
                cpu: free.cpu.saturating_sub(needs.cpu),
                mem_mb: free.mem_mb.saturating_sub(needs.mem_mb),
            },
        )
    }

    /// Whether half of the capacity of a service is in use.
    pub fn is_half_used(&self, service: &str, running: &[&Run]) -> bool {
        let machines = self.machines.lock().unwrap();
        let up = machines
            .values()
            .filter(|it| it.spec.service == service && it.executor.is_some());
        let (mut cpu, mut free) = (0, 0);
        for machine in up {
            cpu += machine.spec.cpu;
            free += Self::free(&machine.spec, running).cpu;
        }
        free * 2 <= cpu
    }

    /// How many subtasks of a submission, or of the step of the subtask `name`, the executors have room for that may run it.
    pub fn slots(&self, service: &str, name: &str, running: &[&Run]) -> u64 {
        let parts: Vec<_> = name.split('.').collect();
        let step = parts.get(2).unwrap_or(&"0");
        let needs = self
            .log
            .needs
            .lock()
            .unwrap()
            .get(&format!("{}.{step}", parts[0]))
            .copied();
        let needs = needs.unwrap_or_default();
        let is_ticketed = self.log.ticketed.lock().unwrap().contains(parts[0]);
        let allowed = is_ticketed.then(|| self.allowed(&format!("{}.0.{step}", parts[0])));
        let machines = self.machines.lock().unwrap();
        let up = machines
            .values()
            .filter(|it| it.spec.service == service && it.executor.is_some());
        let up = up.filter(|it| {
            allowed
                .as_ref()
                .is_none_or(|allowed| allowed.contains(&it.spec.id))
        });
        let slots = up.map(|machine| {
            let free = Self::free(&machine.spec, running);
            (free.cpu / needs.cpu.max(1)).min(free.mem_mb / needs.mem_mb.max(1))
        });
        slots.sum()
    }

    /// The VM control. A call takes effect when it arrives, and is answered after `cloud_ms`.
    async fn cloud(self: Arc<Self>, request: Request) -> Response {
        let delay_ms = self.cloud_ms.load(Ordering::Relaxed);
        let response = if request.path == "/v1/machines" {
            self.list()
        } else {
            self.command(&request)
        };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        Some(response)
    }

    fn list(&self) -> (u16, Value) {
        let machines = self.machines.lock().unwrap();
        let entry = |(name, machine): (&String, &Machine)| {
            let spec = &machine.spec;
            json!({
                "machine": name, "pool": spec.service, "state": machine.state, "zone": spec.zone,
                "labels": ["a", spec.rack], "id": machine.executor.as_ref().map_or("", |_| spec.id.as_str()),
                "capacity": {"cpu": spec.cpu, "memMb": spec.mem_mb, "gpu": 0},
            })
        };
        let machines: Vec<_> = machines.iter().map(entry).collect();
        (200, json!({"machines": machines}))
    }

    fn command(self: &Arc<Self>, request: &Request) -> (u16, Value) {
        let name = request.body["machine"].as_str().unwrap_or("").to_owned();
        let pool = request.body["pool"].as_str();
        let wave = request.body["wave"].as_u64().unwrap_or(0);
        let holder = request
            .headers
            .get("lease-holder")
            .cloned()
            .unwrap_or_default();
        let what = format!(
            "{} of {name} to {} by {holder}",
            request.path,
            pool.unwrap_or("-")
        );
        let (mut spec, duration) = {
            let mut machines = self.machines.lock().unwrap();
            let Some(machine) = machines.get_mut(&name) else {
                return (400, json!({}));
            };
            let is_done = match pool {
                Some(pool) => machine.spec.service == pool,
                None => !self.upkept.lock().unwrap().insert((name.clone(), wave)),
            };
            if is_done {
                self.record
                    .line(&format!("VM control: {what}: already done"));
                return (200, json!({}));
            }
            if machine.state != "up" {
                self.record.line(&format!("VM control: {what}: busy"));
                return (409, json!({"reason": "busy"}));
            }
            self.record.line(&format!("VM control: {what}: begins"));
            if let Some(executor) = machine.executor.take() {
                executor.end();
            }
            machine.state = if pool.is_some() { "moving" } else { "upkeep" };
            if let Some(pool) = pool {
                machine.spec.service = pool.into();
            }
            (
                machine.spec.clone(),
                if pool.is_some() {
                    MOVE_TIME
                } else {
                    UPKEEP_TIME
                },
            )
        };
        spec.id = self.new_id();
        let platform = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            platform.run(spec).await;
        });
        (200, json!({}))
    }

    /// The executors that may run a step, which don't change while the executors live.
    fn allowed(&self, step: &str) -> Vec<String> {
        let machines = self.machines.lock().unwrap();
        let executors = machines
            .values()
            .filter(|machine| machine.executor.is_some());
        let mut ids: Vec<_> = executors.map(|machine| machine.spec.id.clone()).collect();
        ids.sort_by_key(|id| mixed(&format!("{step} {id}")));
        ids.truncate(*self.allowed_each_step.lock().unwrap());
        ids
    }

    async fn advise(self: Arc<Self>, request: Request) -> Response {
        let _turn = self.advice_turn.lock().await;
        let step = request.body["step"].as_str().unwrap_or("").to_owned();
        let workers = request.body["workers"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let workers: Vec<String> = workers
            .iter()
            .filter_map(|it| Some(it.as_str()?.to_owned()))
            .collect();
        let count = u64::try_from(workers.len()).unwrap_or(0);
        let (decide_ms, period_ms) = *self.advice_ms.lock().unwrap();
        tokio::time::sleep(Duration::from_millis(decide_ms + period_ms * count)).await;
        let allowed = self.allowed(&step);
        let rows = workers.iter().filter(|id| allowed.contains(id)).map(|id| {
            let ticket = format!("t-{step}-{id}");
            let mut tickets = self.log.tickets.lock().unwrap();
            tickets.insert((step.clone(), id.clone()), ticket.clone());
            json!([id, ticket])
        });
        let rows: Vec<_> = rows.collect();
        self.record.line(&format!(
            "advice for {step}: asked on {count} executors, allowed {}",
            rows.len()
        ));
        Some((200, json!({"allowed": rows, "validMs": ADVICE_VALID_MS})))
    }

    /// Writes a config, as the operator does.
    pub fn configure(&self, version: u64, routes: &[Value], services: &[&str]) {
        let service = |name: &&str| json!({"name": name, "rejectsOverload": true, "standby": *name == STANDBY});
        let services = services.iter().map(service);
        let config = json!({
            "version": version, "routes": routes, "services": services.collect::<Vec<_>>(),
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        });
        self.store.put("op", "config", Some(&config));
        let routes: Vec<_> = routes
            .iter()
            .map(|it| format!("{} {} -> {}", it["name"], it["prefix"], it["service"]))
            .collect();
        self.record.line(&format!(
            "operator: config version {version} acknowledged: {}",
            routes.join(", ")
        ));
    }

    /// Declares what the subtasks of a submission need, as its consumer does in its steps.
    pub fn declare(&self, id: &str, body: &Value) {
        let mut needs = self.log.needs.lock().unwrap();
        for (number, step) in body["steps"].as_array().into_iter().flatten().enumerate() {
            let of_step = Needs {
                cpu: step["cpu"].as_u64().unwrap_or(0),
                mem_mb: step["memMb"].as_u64().unwrap_or(0),
            };
            needs.insert(format!("{id}.{number}"), of_step);
        }
    }
}

/// A number that depends on a text only.
fn mixed(text: &str) -> u64 {
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    });
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 8
}

/// A route as the operator writes it.
pub fn route(name: &str, prefix: &str, service: &str, attempts: u32) -> Value {
    json!({
        "name": name, "host": HOST, "prefix": prefix, "service": service, "kind": "mutating", "timeoutMs": 3000,
        "sloMs": 600, "priority": 0, "attempts": attempts, "stretch": 1.6,
    })
}

/// A daemon of the system: the command of `deploy/system.toml`, with the settings of `deploy/settings.yaml`.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
    record: Arc<Record>,
}

/// Free ports below those that outgoing connections get, which could take a port before its daemon listens.
fn free_addrs<const N: usize>() -> [SocketAddr; N] {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let own = u16::try_from(std::process::id() % 250).unwrap_or(0) * 48;
    let next = || loop {
        let port = 20_000 + (own + NEXT.fetch_add(1, Ordering::Relaxed)) % 12_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    };
    std::array::from_fn(|_| next())
}

/// Fills in a template, as the deploy page says, with values by their dotted names.
fn fill(template: &str, values: &BTreeMap<&str, Value>) -> String {
    let mut text = template.to_owned();
    for (open, is_shown) in [("{{#", true), ("{{^", false)] {
        while let Some(start) = text.find(open) {
            let name_end = start
                + text[start..]
                    .find("}}")
                    .expect("the end of a section's name");
            let name = text[start + 3..name_end].to_owned();
            let close = format!("{{{{/{name}}}}}");
            let end = start + text[start..].find(&close).expect("the end of a section");
            let body = text[name_end + 2..end].to_owned();
            let is_present = values
                .get(name.as_str())
                .is_some_and(|value| *value != Value::Bool(false));
            let shown = if is_present == is_shown {
                body
            } else {
                String::new()
            };
            text.replace_range(start..end + close.len(), &shown);
        }
    }
    while let Some(start) = text.find("{{") {
        let end = start + text[start..].find("}}").expect("the end of a placeholder");
        let (name, is_json) = match text[start + 2..end].strip_suffix("|json") {
            Some(name) => (name, true),
            None => (&text[start + 2..end], false),
        };
        let value = match values.get(name) {
            Some(value) if is_json => value.to_string(),
            Some(Value::String(value)) => value.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        };
        text.replace_range(start..end + 2, &value);
    }
    text
}

impl Daemon {
    pub fn start(name: &str, platform: &Platform, folder: &Path, record: Arc<Record>) -> Self {
        let [front, ready, peers, metrics] = free_addrs();
        let deploy = std::fs::read_to_string("deploy/system.toml").expect("deploy/system.toml");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let mut words = run.expect("a command").split(' ');
        let template =
            std::fs::read_to_string("deploy/settings.yaml").expect("deploy/settings.yaml");
        let text = |addr: SocketAddr| json!(addr.to_string());
        let values = BTreeMap::from([
            ("nodeName", json!(name)),
            ("ip", json!("127.0.0.1")),
            ("zone", json!("z-a")),
            ("listen.front", text(front)),
            ("listen.ready", text(ready)),
            ("portRange.0", json!(peers.port())),
            ("portRange.1", json!(metrics.port())),
            ("platform.addr", text(platform.store_addr)),
            ("cloud.addr", text(platform.cloud_addr)),
            ("cloud.dutyPerS", json!(64.0)),
            ("advice", text(platform.advice_addr)),
            ("limits.cpuShare", json!(0.25)),
            ("limits.cores", json!(1)),
            ("limits.linkMbps", json!(1000.0)),
            ("bounds.graceS", json!(6)),
            ("bounds.holdMaxMs", json!(10_000)),
            ("bounds.status_s", json!(120)),
            ("bounds.leaseMs", json!(3000)),
            ("bounds.maintenanceS", json!(2)),
            ("bounds.stopMs", json!(200)),
        ]);
        let settings = folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, fill(&template, &values)).expect("a settings file");
        let log = std::fs::File::create(folder.join(format!("{name}.log"))).expect("a log file");
        let child = Command::new(words.next().expect("a program"))
            .args(words)
            .env("TREFOILPASS_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program of the deploy file");
        record.line(&format!("{name} starts, consumers reach it at {front}"));
        Self {
            name: name.into(),
            front,
            ready,
            child,
            record,
        }
    }

    pub async fn wait_until_ready(&mut self) -> bool {
        for _ in 0..150 {
            let second = Duration::from_secs(1);
            if let Ok((200, _)) = http::call(self.ready, "GET", "/v1/ready", &[], "", second).await
            {
                self.record.line(&format!("{} is ready", self.name));
                return true;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.record
            .line(&format!("{} is ended by the script", self.name));
    }
}

/// A consumer.
pub struct Consumer {
    pub record: Arc<Record>,
}

impl Consumer {
    pub async fn send(
        &self,
        front: SocketAddr,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<(u16, Value), String> {
        let headers = [
            ("Host", HOST),
            ("Content-Type", "application/json"),
            ("Deadline-Ms", "3000"),
        ];
        let timeout = Duration::from_millis(3000);
        let answer = http::call(front, method, path, &headers, body, timeout).await;
        let size = if body.is_empty() {
            String::new()
        } else {
            format!(" ({} bytes)", body.len())
        };
        let shown = match &answer {
            Ok((status, body)) => format!("{status} {body}"),
            Err(err) => err.clone(),
        };
        self.record.line(&format!(
            "consumer: {method} {path}{size} at {front} -> {shown}"
        ));
        answer
    }

    pub async fn state(&self, front: SocketAddr, path: &str) -> Option<String> {
        let (_, body) = self.send(front, "GET", path, "").await.ok()?;
        Some(body["state"].as_str()?.to_owned())
    }
}
