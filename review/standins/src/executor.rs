//! An executor: it guards its capacity, holds everything under a lease, and numbers its ends.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::http::{self, Request, Response};
use crate::record::Record;
use crate::store::Store;

pub const HEARTBEAT: Duration = Duration::from_millis(1500);
const HOLD_MAX_MS: u64 = 10_000;
const TICK: Duration = Duration::from_millis(5);
/// How long a subtask that lasts takes until it is at work.
const STARTUP_MS: u64 = 900;
const MAX_LISTED_ENDS: usize = 500;

/// What a subtask asks for, which consumers declare and executors know.
#[derive(Debug, Clone, Copy, Default)]
pub struct Needs {
    pub cpu: u64,
    pub mem_mb: u64,
}

/// A run that an executor has begun.
#[derive(Debug, Clone)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub executor: String,
    pub service: String,
    pub started_ms: u64,
    pub ended: Option<(u64, &'static str)>,
    /// When the end was taken note of.
    pub noted_ms: Option<u64>,
    pub needs: Needs,
    spec: String,
    begun: Instant,
    stop_at: Option<Instant>,
}

/// What the executors of all services have run, and what consumers have declared.
#[derive(Default)]
pub struct Log {
    pub runs: Mutex<Vec<Run>>,
    /// What each subtask of a step needs, by `ID.STEP`.
    pub needs: Mutex<BTreeMap<String, Needs>>,
    /// The tickets that were given out, by `ID.K.STEP` and the executor's id.
    pub tickets: Mutex<BTreeMap<(String, String), String>>,
    /// The submissions whose starts need a ticket.
    pub ticketed: Mutex<std::collections::BTreeSet<String>>,
}

impl Log {
    fn needs_of(&self, task: &str) -> Needs {
        let parts: Vec<_> = task.split('.').collect();
        let name = format!("{}.{}", parts[0], parts.get(2).unwrap_or(&""));
        self.needs
            .lock()
            .unwrap()
            .get(&name)
            .copied()
            .unwrap_or_default()
    }

    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        let runs = self.runs.lock().unwrap();
        runs.iter()
            .filter(|run| run.task.starts_with(id))
            .cloned()
            .collect()
    }
}

#[derive(Default)]
struct State {
    fence: u64,
    until_ms: u64,
    /// The highest run that was begun or stopped, by subtask.
    highest: BTreeMap<String, u64>,
    /// The indices in the log of what runs here.
    running: Vec<usize>,
    ended: Vec<(u64, usize)>,
    next_end: u64,
}

#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub rack: String,
    pub zone: String,
    pub cpu: u64,
    pub mem_mb: u64,
}

pub struct Executor {
    pub spec: Spec,
    pub addr: SocketAddr,
    born_ms: u64,
    born: Instant,
    state: Mutex<State>,
    changed: Notify,
    log: Arc<Log>,
    record: Arc<Record>,
    is_over: Mutex<bool>,
    /// Whether the executor is cut off from everything, and runs on.
    is_cut_off: AtomicBool,
    has_crashed: AtomicBool,
}

fn spec_ms(spec: &str) -> Option<u64> {
    spec.split(' ')
        .find_map(|word| word.strip_prefix("ms=")?.parse().ok())
}

impl Executor {
    pub async fn start(
        spec: Spec,
        store: Arc<Store>,
        log: Arc<Log>,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let slot: Arc<Mutex<Option<Arc<Self>>>> = Arc::default();
        let handler_slot = slot.clone();
        let addr = http::serve(move |request| {
            let executor = handler_slot.lock().unwrap().clone();
            async move { executor?.handle(request).await }
        });
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let executor = Arc::new(Self {
            spec,
            addr: addr.await,
            born_ms: u64::try_from(unix.as_millis()).unwrap_or(0),
            born: Instant::now(),
            state: Mutex::new(State {
                next_end: 1,
                ..State::default()
            }),
            changed: Notify::new(),
            log,
            record,
            is_over: Mutex::new(false),
            is_cut_off: AtomicBool::new(false),
            has_crashed: AtomicBool::new(false),
        });
        *slot.lock().unwrap() = Some(executor.clone());
        tokio::spawn(executor.clone().tick());
        tokio::spawn(executor.clone().register(store));
        executor
    }

    fn clock_ms(&self) -> u64 {
        1000 + u64::try_from(self.born.elapsed().as_millis()).unwrap_or(0)
    }

    /// Ends this life: its machine is moved or goes to upkeep.
    pub fn end(&self) {
        *self.is_over.lock().unwrap() = true;
        let mut state = self.state.lock().unwrap();
        for index in std::mem::take(&mut state.running) {
            self.log.runs.lock().unwrap()[index].ended = Some((self.record.now_ms(), "gone"));
        }
    }

    /// Ends this life as a crash does; the next life may have the same id, and so its entry stays.
    pub fn crash(&self) {
        self.has_crashed.store(true, Ordering::Relaxed);
        self.end();
    }

    /// Cuts the executor off from everything, or ends that.
    pub fn set_cut_off(&self, is_cut_off: bool) {
        self.is_cut_off.store(is_cut_off, Ordering::Relaxed);
    }

    fn is_over(&self) -> bool {
        *self.is_over.lock().unwrap()
    }

    async fn register(self: Arc<Self>, store: Arc<Store>) {
        let spec = &self.spec;
        let mut written_at = None;
        for seq in 1u64.. {
            if self.is_over() {
                if !self.has_crashed.load(Ordering::Relaxed) {
                    store.put("servers", &spec.id, None);
                }
                return;
            }
            let entry = json!({
                "service": spec.service, "addr": self.addr.to_string(), "zone": spec.zone, "version": "v1",
                "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": seq, "born": self.born_ms,
                "capacity": {"cpu": spec.cpu, "memMb": spec.mem_mb, "gpu": 0}, "labels": ["a", spec.rack],
            });
            if !self.is_cut_off.load(Ordering::Relaxed) {
                store.put("servers", &spec.id, Some(&entry));
                written_at = Some(Instant::now());
            }
            let next = tokio::time::Instant::now() + HEARTBEAT;
            while tokio::time::Instant::now() < next && !self.is_over() {
                tokio::time::sleep(Duration::from_millis(50)).await;
                // The platform removes an entry after three intervals of silence.
                if written_at.is_some_and(|at| at.elapsed() > 3 * HEARTBEAT) {
                    written_at = None;
                    store.put("servers", &spec.id, None);
                }
            }
        }
    }

    async fn tick(self: Arc<Self>) {
        while !self.is_over() {
            tokio::time::sleep(TICK).await;
            let mut state = self.state.lock().unwrap();
            let mut runs = self.log.runs.lock().unwrap();
            let has_lapsed = self.clock_ms() > state.until_ms;
            let mut ended = Vec::new();
            for &index in &state.running {
                let run = &runs[index];
                let is_done = spec_ms(&run.spec)
                    .is_some_and(|ms| run.begun.elapsed().as_millis() >= u128::from(ms));
                let how = if has_lapsed {
                    "lapsed"
                } else if run.stop_at.is_some_and(|at| Instant::now() >= at) {
                    "stopped"
                } else if is_done {
                    if run.spec.contains("fails") {
                        "failed"
                    } else {
                        "done"
                    }
                } else {
                    continue;
                };
                ended.push((index, how));
            }
            for (index, how) in &ended {
                runs[*index].ended = Some((self.record.now_ms(), how));
                let number = state.next_end;
                state.next_end += 1;
                state.ended.push((number, *index));
                state.running.retain(|running| running != index);
            }
            drop((runs, state));
            if !ended.is_empty() {
                self.changed.notify_waiters();
            }
        }
    }

    async fn handle(self: Arc<Self>, request: Request) -> Response {
        if self.is_over() || self.is_cut_off.load(Ordering::Relaxed) {
            return None;
        }
        let response = self.answer(request).await;
        // What a cut holds up is lost with its channel.
        response.filter(|_| !self.is_cut_off.load(Ordering::Relaxed))
    }

    async fn answer(&self, request: Request) -> Response {
        let clock = |extra: Value| {
            let mut body = json!({"clockMs": self.clock_ms(), "born": self.born_ms});
            for (name, value) in extra.as_object().cloned().unwrap_or_default() {
                body[name] = value;
            }
            body
        };
        if request.path == "/health" {
            return Some((200, json!({})));
        }
        if request
            .headers
            .get("expect-instance")
            .is_some_and(|id| *id != self.spec.id)
        {
            return Some((421, clock(json!({}))));
        }
        let body = &request.body;
        {
            let mut state = self.state.lock().unwrap();
            let fence = body["fence"].as_u64().unwrap_or(0);
            if fence < state.fence {
                return Some((409, clock(json!({"reason": "fence"}))));
            }
            state.fence = fence;
        }
        match request.path.as_str() {
            "/v1/run-start" => {
                let (status, extra) = self.run_start(body);
                Some((status, clock(extra)))
            }
            "/v1/run-stop" => {
                let mut state = self.state.lock().unwrap();
                let (task, run) = (
                    body["task"].as_str().unwrap_or(""),
                    body["run"].as_u64().unwrap_or(0),
                );
                let highest = state.highest.entry(task.into()).or_default();
                *highest = (*highest).max(run);
                let mut runs = self.log.runs.lock().unwrap();
                for &index in &state.running {
                    let known = &mut runs[index];
                    if known.task == task && known.run == run {
                        known
                            .stop_at
                            .get_or_insert(Instant::now() + Duration::from_millis(50));
                    }
                }
                Some((200, clock(json!({}))))
            }
            "/v1/hold" => {
                let extra = self.hold(body).await?;
                Some((200, clock(extra)))
            }
            "/v1/pace" => Some((200, clock(json!({})))),
            _ => Some((404, clock(json!({})))),
        }
    }

    fn extend(&self, state: &mut State, body: &Value) {
        if let Some(until_ms) = body["untilMs"].as_u64() {
            let longest_ms = self.clock_ms() + HOLD_MAX_MS;
            state.until_ms = state.until_ms.max(until_ms.min(longest_ms));
        }
    }

    fn run_start(&self, body: &Value) -> (u16, Value) {
        let mut state = self.state.lock().unwrap();
        let (task, number) = (
            body["task"].as_str().unwrap_or(""),
            body["run"].as_u64().unwrap_or(0),
        );
        let mut runs = self.log.runs.lock().unwrap();
        let is_there = |index: &&usize| runs[**index].task == task && runs[**index].run == number;
        if state.running.iter().any(|index| is_there(&index)) {
            self.extend(&mut state, body);
            return (200, json!({}));
        }
        let refuse = |reason: &str| (409, json!({"reason": reason}));
        let until_ms = body["untilMs"].as_u64().unwrap_or(0);
        if state
            .highest
            .get(task)
            .is_some_and(|highest| number <= *highest)
        {
            self.extend(&mut state, body);
            return refuse("old");
        }
        if until_ms.max(state.until_ms) <= self.clock_ms() {
            return refuse("late");
        }
        let step = task.rsplit_once('.').map_or("", |(step, _)| step);
        let id = task.split('.').next().unwrap_or("");
        if self.log.ticketed.lock().unwrap().contains(id) {
            let tickets = self.log.tickets.lock().unwrap();
            let ticket = tickets.get(&(step.to_owned(), self.spec.id.clone()));
            if ticket.is_none() || ticket.map(String::as_str) != body["ticket"].as_str() {
                drop((runs, state));
                self.record.line(&format!(
                    "{} rejects {task} run {number}: 409 ticket",
                    self.spec.id
                ));
                return refuse("ticket");
            }
        }
        self.extend(&mut state, body);
        let needs = self.log.needs_of(task);
        let used = state.running.iter().map(|index| runs[*index].needs);
        let used = used.fold(Needs::default(), |sum, it| Needs {
            cpu: sum.cpu + it.cpu,
            mem_mb: sum.mem_mb + it.mem_mb,
        });
        if used.cpu + needs.cpu > self.spec.cpu || used.mem_mb + needs.mem_mb > self.spec.mem_mb {
            return refuse("room");
        }
        state.highest.insert(task.into(), number);
        state.running.push(runs.len());
        runs.push(Run {
            task: task.into(),
            run: number,
            executor: self.spec.id.clone(),
            service: self.spec.service.clone(),
            started_ms: self.record.now_ms(),
            ended: None,
            noted_ms: None,
            needs,
            spec: body["spec"].as_str().unwrap_or("").into(),
            begun: Instant::now(),
            stop_at: None,
        });
        (200, json!({}))
    }

    async fn hold(&self, body: &Value) -> Option<Value> {
        let last_seen = body["lastSeen"].as_u64().unwrap_or(0);
        {
            let mut state = self.state.lock().unwrap();
            self.extend(&mut state, body);
            let mut runs = self.log.runs.lock().unwrap();
            for (_, index) in state
                .ended
                .iter()
                .filter(|(number, _)| *number <= last_seen)
            {
                runs[*index].noted_ms = Some(self.record.now_ms());
            }
            state.ended.retain(|(number, _)| *number > last_seen);
        }
        let wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0).min(2000));
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let lists = {
                let state = self.state.lock().unwrap();
                let runs = self.log.runs.lock().unwrap();
                let running = state.running.iter().map(|index| {
                    let run = &runs[*index];
                    let ran_ms = u64::try_from(run.begun.elapsed().as_millis()).unwrap_or(0);
                    let percent = spec_ms(&run.spec)
                        .map_or(if ran_ms < STARTUP_MS { 0 } else { 100 }, |ms| {
                            (ran_ms * 100 / ms.max(1)).min(99)
                        });
                    json!([run.task, run.run, "", percent, 0])
                });
                let running: Vec<_> = running.collect();
                let ended = state
                    .ended
                    .iter()
                    .take(MAX_LISTED_ENDS)
                    .map(|(number, index)| {
                        let run = &runs[*index];
                        json!([
                            number,
                            run.task,
                            run.run,
                            run.ended.map_or("", |it| it.1),
                            ""
                        ])
                    });
                let ended: Vec<_> = ended.collect();
                (running, ended)
            };
            if self.is_over() {
                return None;
            }
            if !lists.1.is_empty() || tokio::time::timeout_at(deadline, changed).await.is_err() {
                return Some(json!({"running": lists.0, "ended": lists.1}));
            }
        }
    }
}
