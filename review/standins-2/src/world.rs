//! Workers, and the list of their machines, by the pages of the platform. One lock holds the state of all of them, so that
//! the members of a gang on several workers see each other.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use platform_stand_in::Store;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};

/// `holdMaxMs`: a longer lease is shortened to it.
const HOLD_MAX_MS: u64 = 10_000;
/// `gangTimeoutMs`: a member that waits longer for the others ends `alone`.
const GANG_TIMEOUT: Duration = Duration::from_millis(3000);
/// `heartbeatMs`; an entry lapses after three of them.
const BEAT: Duration = Duration::from_millis(1500);
/// The startup after which a subtask that lasts is at work.
const STARTUP: Duration = Duration::from_millis(300);
/// `checkpointIntervalS` and `restoreMs`.
const CHECKPOINT_MS: u64 = 1000;
const RESTORE_MS: u64 = 600;
/// How long after its start a deadly subtask crashes its executor, and how long that is down.
const DEADLY_AFTER: Duration = Duration::from_millis(10);
const DOWN: Duration = Duration::from_secs(3);
/// `maintenanceS`.
const UPKEEP: Duration = Duration::from_secs(2);
/// The most ends that a list holds.
const MAX_LISTED_ENDS: usize = 500;

/// What a subtask does, as its `spec` tells this stand-in: `ms=300 cpu=100 mem=10 gang=4 last=1 saves=1 fails=1 ticket=1 deadly=1`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Work {
    ms: u64,
    cpu: u64,
    mem: u64,
    gang: usize,
    lasts: bool,
    saves: bool,
    /// Whether each run ends `failed`.
    fails: bool,
    /// Whether a start needs a ticket.
    needs_ticket: bool,
    /// Whether the subtask crashes each executor that starts it.
    is_deadly: bool,
}

impl Work {
    fn parse(spec: &str) -> Self {
        let mut work = Self::default();
        for (name, value) in spec
            .split_whitespace()
            .filter_map(|word| word.split_once('='))
        {
            let value: u64 = value.parse().unwrap_or(0);
            match name {
                "ms" => work.ms = value,
                "cpu" => work.cpu = value,
                "mem" => work.mem = value,
                "gang" => work.gang = value as usize,
                "last" => work.lasts = value > 0,
                "saves" => work.saves = value > 0,
                "fails" => work.fails = value > 0,
                "ticket" => work.needs_ticket = value > 0,
                "deadly" => work.is_deadly = value > 0,
                _ => {}
            }
        }
        work
    }
}

struct Run {
    run: u64,
    work: Work,
    started: Instant,
    stops_at: Option<Instant>,
    /// The `checkpointData` of the start.
    carried: String,
}

/// One life of an executor.
struct Life {
    id: String,
    born: u64,
    from: Instant,
    fence: u64,
    until_ms: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str, String)>,
    next_end: u64,
    /// The highest run of each subtask that was stopped, ended or started here.
    highest: HashMap<String, u64>,
}

impl Life {
    fn new() -> Self {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            id: format!("i-{:017x}", rand::random::<u64>() >> 4),
            born: born.as_millis() as u64,
            from: Instant::now(),
            fence: 0,
            until_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            highest: HashMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        self.from.elapsed().as_millis() as u64
    }
}

/// A start, and how it ended.
#[derive(Debug, Clone)]
pub struct StartRecord {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub at: Instant,
    pub end: Option<(Instant, &'static str)>,
    /// The `checkpointData` of the start.
    pub carried: String,
}

struct Worker {
    machine: String,
    addr: SocketAddr,
    labels: Vec<String>,
    cpu: u64,
    mem: u64,
    life: Option<Life>,
    is_cut: bool,
    cuts: u64,
    /// The waves for which the machine had its upkeep, or has it.
    upkept: Vec<u64>,
    is_in_upkeep: bool,
    stop: watch::Sender<bool>,
    changed: Arc<Notify>,
}

#[derive(Default)]
struct State {
    workers: Vec<Worker>,
    starts: Vec<StartRecord>,
    /// When the members of a run of a gang were all present, by step and run.
    gangs_began: HashMap<(String, u64), Instant>,
    /// The number of starts that were refused for want of a ticket.
    refused_tickets: usize,
    /// The executors that are about to crash under a subtask, and when.
    crashing: Vec<(Instant, usize)>,
}

/// All workers.
pub struct World {
    state: Mutex<State>,
    store: Arc<Store>,
    service: String,
}

/// The work that a `checkpointData` stands for, in ms.
fn saved_ms(checkpoint: &str) -> u64 {
    checkpoint
        .get(..8)
        .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        .unwrap_or(0)
}

/// A value of `checkpointData` after `ms` of work, the same for all members of a gang.
fn checkpoint(ms: u64) -> String {
    format!("{ms:08x}7a21d94b")
}

/// The ticket that the policy service gives for a step on an executor.
fn ticket(step: &str, id: &str) -> String {
    format!("{step}-{id}")
}

fn step_of(task: &str) -> String {
    task.rsplit_once('.')
        .map_or(task, |(step, _)| step)
        .to_owned()
}

impl State {
    fn end(&mut self, worker: usize, task: &str, how: &'static str) {
        let Some(life) = &self.workers[worker].life else {
            return;
        };
        let Some(run) = life.running.get(task) else {
            return;
        };
        let saved = self.saved(task, run, how == "stopped");
        let Some(life) = &mut self.workers[worker].life else {
            return;
        };
        let Some(run) = life.running.remove(task) else {
            return;
        };
        life.ended
            .push((life.next_end, task.to_owned(), run.run, how, saved));
        life.next_end += 1;
        let id = life.id.clone();
        self.note_end(&id, task, run.run, how);
        self.workers[worker].changed.notify_waiters();
        if run.work.gang > 0 && how != "broken" && how != "done" {
            self.break_gang(task, run.run);
        }
    }

    /// The work that a run of a gang has done, in ms; none before all members are present.
    fn worked_ms(&self, task: &str, run: &Run) -> Option<u64> {
        let began = self.gangs_began.get(&(step_of(task), run.run))?;
        let base = saved_ms(&run.carried);
        let restore = if base > 0 { RESTORE_MS } else { 0 };
        Some(base + (began.elapsed().as_millis() as u64).saturating_sub(restore))
    }

    /// The newest checkpoint of a run: a new one comes with each interval of work, and at a stop.
    fn saved(&self, task: &str, run: &Run, is_stopped: bool) -> String {
        let worked = if run.work.saves {
            self.worked_ms(task, run)
        } else {
            None
        };
        match worked {
            Some(ms) if is_stopped => checkpoint(ms),
            Some(ms) if ms / CHECKPOINT_MS > saved_ms(&run.carried) / CHECKPOINT_MS => {
                checkpoint(ms / CHECKPOINT_MS * CHECKPOINT_MS)
            }
            _ => run.carried.clone(),
        }
    }

    fn note_end(&mut self, id: &str, task: &str, run: u64, how: &'static str) {
        let mut starts = self.starts.iter_mut().rev();
        let record =
            starts.find(|start| start.task == task && start.run == run && start.worker == id);
        if let Some(record) = record {
            record.end = Some((Instant::now(), how));
        }
    }

    /// Ends the other members of a run of a gang, once it has begun: one of them has ended otherwise than done.
    fn break_gang(&mut self, task: &str, run: u64) {
        let step = step_of(task);
        if !self.gangs_began.contains_key(&(step.clone(), run)) {
            return;
        }
        for (worker, member, _) in self.members(&step, run) {
            self.end(worker, &member, "broken");
        }
    }

    fn members(&self, step: &str, run: u64) -> Vec<(usize, String, Work)> {
        let mut members = Vec::new();
        for (number, worker) in self.workers.iter().enumerate() {
            for (task, running) in worker.life.iter().flat_map(|life| &life.running) {
                if running.run == run && running.work.gang > 0 && step_of(task) == step {
                    members.push((number, task.clone(), running.work));
                }
            }
        }
        members
    }

    /// Ends what is due.
    fn tick(&mut self) {
        let now = Instant::now();
        let mut due = Vec::new();
        let mut gangs: HashMap<(String, u64), Vec<(usize, String, Work)>> = HashMap::new();
        for (number, worker) in self.workers.iter().enumerate() {
            let Some(life) = &worker.life else { continue };
            let has_lapsed = life.clock_ms() >= life.until_ms;
            for (task, run) in &life.running {
                if run.work.gang > 0 {
                    let gang = gangs.entry((step_of(task), run.run)).or_default();
                    gang.push((number, task.clone(), run.work));
                }
                if has_lapsed {
                    due.push((number, task.clone(), "lapsed"));
                } else if run.stops_at.is_some_and(|at| at <= now) {
                    due.push((number, task.clone(), "stopped"));
                } else if run.work.gang > 0 {
                    let began = self.gangs_began.contains_key(&(step_of(task), run.run));
                    if !began && run.started.elapsed() > GANG_TIMEOUT {
                        due.push((number, task.clone(), "alone"));
                    }
                } else if !run.work.lasts && run.started.elapsed().as_millis() as u64 >= run.work.ms
                {
                    due.push((
                        number,
                        task.clone(),
                        if run.work.fails { "failed" } else { "done" },
                    ));
                }
            }
        }
        for (worker, task, how) in due {
            self.end(worker, &task, how);
        }
        for (key, _) in gangs {
            let members = self.members(&key.0, key.1);
            let Some((_, _, work)) = members.first().cloned() else {
                continue;
            };
            // All members must carry the same value.
            let values: HashSet<_> = members
                .iter()
                .map(|(_, task, _)| self.carried(task, key.1))
                .collect();
            let worked = members.first().and_then(|(worker, task, _)| {
                let life = self.workers[*worker].life.as_ref()?;
                self.worked_ms(task, life.running.get(task)?)
            });
            match worked {
                None if members.len() == work.gang && values.len() == 1 => {
                    self.gangs_began.insert(key, now);
                }
                Some(worked) if worked >= work.ms => {
                    for (worker, task, _) in members {
                        self.end(worker, &task, "done");
                    }
                }
                _ => {}
            }
        }
    }

    fn carried(&self, task: &str, run: u64) -> String {
        let lives = self
            .workers
            .iter()
            .filter_map(|worker| worker.life.as_ref());
        let mut runs = lives.filter_map(|life| life.running.get(task));
        runs.find(|running| running.run == run)
            .map(|running| running.carried.clone())
            .unwrap_or_default()
    }

    fn percent(&self, task: &str, run: &Run) -> u64 {
        let elapsed = if run.work.gang > 0 {
            self.worked_ms(task, run).unwrap_or(0)
        } else {
            run.started.elapsed().as_millis() as u64
        };
        if run.work.lasts {
            return if run.started.elapsed() >= STARTUP {
                100
            } else {
                0
            };
        }
        (elapsed * 100 / run.work.ms.max(1)).min(99)
    }

    fn lists(&self, worker: usize) -> Value {
        let Some(life) = &self.workers[worker].life else {
            return json!({});
        };
        let running: Vec<_> = life
            .running
            .iter()
            .map(|(task, run)| {
                json!([
                    task,
                    run.run,
                    self.saved(task, run, false),
                    self.percent(task, run),
                    run.work.cpu
                ])
            })
            .collect();
        let ended: Vec<_> = life
            .ended
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|(number, task, run, how, saved)| json!([number, task, run, how, saved]))
            .collect();
        json!({"clockMs": life.clock_ms(), "born": life.born, "running": running, "ended": ended})
    }

    /// Carries out a start. Returns the status and the body.
    fn start(&mut self, worker: usize, body: &Value) -> (u16, Value) {
        let (cpu, mem) = (self.workers[worker].cpu, self.workers[worker].mem);
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let until = body["untilMs"].as_u64().unwrap_or(0);
        let carried = body["checkpointData"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        let work = Work::parse(body["spec"].as_str().unwrap_or_default());
        let Some(life) = &mut self.workers[worker].life else {
            return (503, json!({}));
        };
        let clock = life.clock_ms();
        let refused = |reason| (409, json!({"clockMs": clock, "reason": reason}));
        if until <= clock {
            return refused("late");
        }
        life.until_ms = life.until_ms.max(until.min(clock + HOLD_MAX_MS));
        if life
            .running
            .get(&task)
            .is_some_and(|running| running.run == run)
        {
            return (200, json!({"clockMs": clock}));
        }
        if life
            .highest
            .get(&task)
            .is_some_and(|highest| *highest >= run)
        {
            return refused("old");
        }
        let expected = ticket(&step_of(&task), &life.id);
        if work.needs_ticket && body["ticket"].as_str() != Some(&expected) {
            self.refused_tickets += 1;
            return refused("ticket");
        }
        let used =
            |of: fn(&Work) -> u64| life.running.values().map(|run| of(&run.work)).sum::<u64>();
        if used(|work| work.cpu) + work.cpu > cpu || used(|work| work.mem) + work.mem > mem {
            return refused("room");
        }
        if work.is_deadly {
            self.crashing.push((Instant::now() + DEADLY_AFTER, worker));
        }
        life.highest.insert(task.clone(), run);
        let started = Instant::now();
        let id = life.id.clone();
        life.running.insert(
            task.clone(),
            Run {
                run,
                work,
                started,
                stops_at: None,
                carried: carried.clone(),
            },
        );
        self.starts.push(StartRecord {
            task,
            run,
            worker: id,
            at: started,
            end: None,
            carried,
        });
        (200, json!({"clockMs": clock}))
    }

    fn stop(&mut self, worker: usize, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or_default();
        let run = body["run"].as_u64().unwrap_or(0);
        let Some(life) = &mut self.workers[worker].life else {
            return (503, json!({}));
        };
        let highest = life.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run);
        if let Some(running) = life
            .running
            .get_mut(task)
            .filter(|running| running.run <= run)
        {
            running
                .stops_at
                .get_or_insert(Instant::now() + Duration::from_millis(50));
        }
        (200, json!({"clockMs": life.clock_ms()}))
    }
}

type Reply = Option<(u16, Value)>;

impl World {
    /// Starts the workers; each is `(labels, cpu, mem)`, and the last label is the rack.
    pub async fn start(
        store: Arc<Store>,
        service: &str,
        workers: Vec<(Vec<String>, u64, u64)>,
    ) -> Arc<Self> {
        let world = Arc::new(Self {
            state: Mutex::new(State::default()),
            store,
            service: service.to_owned(),
        });
        for (number, (labels, cpu, mem)) in workers.into_iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let addr = listener.local_addr().expect("an address");
            let (stop, stopped) = watch::channel(false);
            world.state.lock().workers.push(Worker {
                machine: format!("m-{number:05x}"),
                addr,
                labels,
                cpu,
                mem,
                life: Some(Life::new()),
                is_cut: false,
                cuts: 0,
                upkept: Vec::new(),
                is_in_upkeep: false,
                stop,
                changed: Arc::new(Notify::new()),
            });
            tokio::spawn(world.clone().serve(number, listener, stopped));
            tokio::spawn(world.clone().beat(number));
        }
        let ticking = world.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(10)).await;
                ticking.state.lock().tick();
            }
        });
        let crashing = world.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(2)).await;
                for worker in crashing.take_crashing() {
                    crashing.crash(worker, DOWN).await;
                }
            }
        });
        world
    }

    async fn serve(
        self: Arc<Self>,
        number: usize,
        listener: TcpListener,
        mut stopped: watch::Receiver<bool>,
    ) {
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stopped.wait_for(|stopped| *stopped) => return,
            };
            let Ok((stream, _)) = stream else { return };
            let world = self.clone();
            let mut ended = stopped.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let world = world.clone();
                    async move { answer(world.handle(number, request).await).await }
                });
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    _ = connection => {}
                    _ = ended.wait_for(|stopped| *stopped) => {}
                }
            });
        }
    }

    /// Writes the entry of the worker's present life, and removes it three beats after the last one.
    async fn beat(self: Arc<Self>, number: usize) {
        let mut written: Option<(String, Instant)> = None;
        let mut seq = 0;
        loop {
            let entry = {
                let state = self.state.lock();
                let worker = &state.workers[number];
                worker.life.as_ref().map(|life| {
                    let entry = json!({
                        "service": self.service, "addr": worker.addr.to_string(), "zone": "z", "version": "v1",
                        "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": seq, "labels": worker.labels,
                        "capacity": {"cpu": worker.cpu, "memMb": worker.mem, "gpu": 0},
                        "clockMs": life.clock_ms(), "born": life.born,
                    });
                    (life.id.clone(), entry)
                })
            };
            seq += 1;
            if let Some((id, entry)) = entry {
                if let Some((previous, _)) = written.take_if(|(previous, _)| *previous != id) {
                    self.store.remove("servers", &previous);
                }
                self.store.put("servers", &id, &entry);
                written = Some((id, Instant::now()));
            } else if let Some((id, _)) = written.take_if(|(_, at)| at.elapsed() > 3 * BEAT) {
                self.store.remove("servers", &id);
            }
            let is_down = self.state.lock().workers[number].life.is_none();
            tokio::time::sleep(if is_down {
                Duration::from_millis(100)
            } else {
                BEAT
            })
            .await;
        }
    }

    async fn handle(&self, number: usize, request: http::Request<Incoming>) -> Reply {
        let cuts = {
            let state = self.state.lock();
            let worker = &state.workers[number];
            if worker.is_cut {
                return None;
            }
            worker.cuts
        };
        let (parts, body) = request.into_parts();
        let body = body
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes)
            .unwrap_or_default();
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let expected = parts
            .headers
            .get("Expect-Instance")
            .and_then(|id| id.to_str().ok())
            .unwrap_or_default();
        let fence = body["fence"].as_u64().unwrap_or(0);
        let (changed, reply) = {
            let mut state = self.state.lock();
            let worker = &mut state.workers[number];
            let changed = worker.changed.clone();
            if worker.is_cut || worker.cuts != cuts {
                return None;
            }
            let life = worker.life.as_mut()?;
            let clock = life.clock_ms();
            if life.id != expected {
                return Some((421, json!({"clockMs": clock})));
            }
            if fence < life.fence {
                return Some((409, json!({"clockMs": clock, "reason": "fence"})));
            }
            life.fence = fence;
            match parts.uri.path() {
                "/v1/run-start" => (changed, state.start(number, &body)),
                "/v1/run-stop" => (changed, state.stop(number, &body)),
                "/v1/pace" => (changed, (200, json!({"clockMs": clock}))),
                "/v1/hold" => {
                    if let Some(until) = body["untilMs"].as_u64() {
                        life.until_ms = life.until_ms.max(until.min(clock + HOLD_MAX_MS));
                    }
                    let last_seen = body["lastSeen"].as_u64().unwrap_or(0);
                    life.ended.retain(|(number, ..)| *number > last_seen);
                    (changed, (0, Value::Null))
                }
                _ => (changed, (404, json!({}))),
            }
        };
        let reply = if reply.0 == 0 {
            let wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0).min(2000));
            let until = tokio::time::Instant::now() + wait;
            loop {
                let notified = changed.notified();
                let has_ended = {
                    let state = self.state.lock();
                    state.workers[number]
                        .life
                        .as_ref()
                        .is_some_and(|life| !life.ended.is_empty())
                };
                if has_ended || tokio::time::timeout_at(until, notified).await.is_err() {
                    break;
                }
            }
            let state = self.state.lock();
            if state.workers[number]
                .life
                .as_ref()
                .is_none_or(|life| life.id != expected)
            {
                return None;
            }
            (200, state.lists(number))
        } else {
            reply
        };
        // An answer that meets a cut is lost.
        let state = self.state.lock();
        let worker = &state.workers[number];
        (!worker.is_cut && worker.cuts == cuts).then_some(reply)
    }

    /// Cuts a worker off from the system's machines, or heals the cut. It runs on, and goes on writing its entry.
    pub fn cut(&self, worker: usize, is_cut: bool) {
        let mut state = self.state.lock();
        let worker = &mut state.workers[worker];
        worker.is_cut = is_cut;
        worker.cuts += u64::from(is_cut);
    }

    /// The workers that crash now under a subtask.
    fn take_crashing(&self) -> Vec<usize> {
        let mut state = self.state.lock();
        let now = Instant::now();
        let (due, later) = state.crashing.iter().partition(|(at, _)| *at <= now);
        state.crashing = later;
        let due: Vec<(Instant, usize)> = due;
        let up = due.into_iter().map(|(_, worker)| worker);
        up.filter(|worker| state.workers[*worker].life.is_some())
            .collect()
    }

    /// Ends the process of a worker, which starts again after `down` with a new id.
    pub async fn crash(self: &Arc<Self>, number: usize, down: Duration) {
        let addr = {
            let mut state = self.state.lock();
            let worker = &mut state.workers[number];
            let addr = worker.addr;
            worker.stop.send_replace(true);
            if let Some(life) = worker.life.take() {
                for (task, run) in life.running {
                    state.note_end(&life.id, &task, run.run, "crashed");
                    if run.work.gang > 0 {
                        state.break_gang(&task, run.run);
                    }
                }
            }
            addr
        };
        let world = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(down).await;
            let listener = loop {
                match TcpListener::bind(addr).await {
                    Ok(listener) => break listener,
                    Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                }
            };
            let (stop, stopped) = watch::channel(false);
            {
                let mut state = world.state.lock();
                let worker = &mut state.workers[number];
                worker.stop = stop;
                worker.is_in_upkeep = false;
                worker.life = Some(Life::new());
            }
            world.serve(number, listener, stopped).await;
        });
    }

    /// Carries out the upkeep of a machine for a wave. Returns the status and the body.
    async fn upkeep(self: &Arc<Self>, body: &Value) -> (u16, Value) {
        let machine = body["machine"].as_str().unwrap_or_default();
        let wave = body["wave"].as_u64().unwrap_or(0);
        let requested = self
            .store
            .get("op", &format!("wave/{wave}"))
            .unwrap_or_default();
        let number = {
            let mut state = self.state.lock();
            let Some(number) = state
                .workers
                .iter()
                .position(|worker| worker.machine == machine)
            else {
                return (400, json!({}));
            };
            let worker = &mut state.workers[number];
            if worker.upkept.contains(&wave) {
                return (200, json!({}));
            }
            if !requested["machines"]
                .as_array()
                .is_some_and(|machines| machines.iter().any(|name| name == machine))
            {
                return (409, json!({"reason": "wave"}));
            }
            if worker.life.is_none() {
                return (409, json!({"reason": "busy"}));
            }
            worker.upkept.push(wave);
            worker.is_in_upkeep = true;
            number
        };
        self.crash(number, UPKEEP).await;
        (200, json!({}))
    }

    /// The name of the machine of a worker.
    pub fn machine(&self, worker: usize) -> String {
        self.state.lock().workers[worker].machine.clone()
    }

    /// The list of machines.
    pub fn machines(&self) -> Value {
        let state = self.state.lock();
        let machines: Vec<_> = state
            .workers
            .iter()
            .map(|worker| {
                let id = worker.life.as_ref().map(|life| life.id.clone());
                json!({
                    "machine": worker.machine, "pool": self.service, "state": match &id { Some(_) => "up", None if worker.is_in_upkeep => "upkeep", None => "down" },
                    "zone": "z", "labels": worker.labels, "id": id,
                    "capacity": {"cpu": worker.cpu, "memMb": worker.mem, "gpu": 0},
                })
            })
            .collect();
        json!({"machines": machines, "nextToken": null})
    }

    /// All starts so far.
    pub fn starts(&self) -> Vec<StartRecord> {
        self.state.lock().starts.clone()
    }

    /// The number of running subtasks of a submission on each worker.
    pub fn running_of(&self, id: &str) -> Vec<usize> {
        let state = self.state.lock();
        let of = |worker: &Worker| {
            let running = worker.life.iter().flat_map(|life| life.running.keys());
            running.filter(|task| task.starts_with(id)).count()
        };
        state.workers.iter().map(of).collect()
    }

    /// Whether all members of a run of the gang are at work.
    pub fn has_gang_begun(&self, step: &str) -> bool {
        self.state
            .lock()
            .gangs_began
            .keys()
            .any(|(began, _)| began == step)
    }

    /// The number of starts that were refused for want of a ticket.
    pub fn refused_tickets(&self) -> usize {
        self.state.lock().refused_tickets
    }

    /// The unused cpu of the workers.
    pub fn free_cpu(&self) -> u64 {
        let state = self.state.lock();
        let free = state
            .workers
            .iter()
            .filter(|worker| !worker.is_cut)
            .filter_map(|worker| {
                let life = worker.life.as_ref()?;
                Some(
                    worker.cpu
                        - life
                            .running
                            .values()
                            .map(|run| run.work.cpu)
                            .sum::<u64>()
                            .min(worker.cpu),
                )
            });
        free.sum()
    }
}

async fn answer(reply: Reply) -> Result<http::Response<Full<Bytes>>, std::io::Error> {
    let Some((status, body)) = reply else {
        // No answer: the caller waits until it gives up.
        return std::future::pending().await;
    };
    let response = http::Response::builder()
        .status(status)
        .header("Content-Type", "application/json");
    Ok(response
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a response"))
}

/// Serves the list of machines. Moves are refused as busy: these cases have one service.
pub async fn serve_machines(world: Arc<World>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let world = world.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request: http::Request<Incoming>| {
                    let world = world.clone();
                    async move {
                        let (parts, body) = request.into_parts();
                        let body = body
                            .collect()
                            .await
                            .map(http_body_util::Collected::to_bytes)
                            .unwrap_or_default();
                        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
                        let reply = match parts.uri.path() {
                            "/v1/machines" => (200, world.machines()),
                            "/v1/machine-upkeep" => world.upkeep(&body).await,
                            _ => (409, json!({"reason": "busy"})),
                        };
                        answer(Some(reply)).await
                    }
                });
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    addr
}

/// Serves `/v1/advise`: every executor may run every step. A call takes 20 ms and 1 ms for each executor named.
pub async fn serve_advice() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let service = service_fn(move |request: http::Request<Incoming>| async move {
                    let body = request.into_body().collect().await;
                    let body = body
                        .map(http_body_util::Collected::to_bytes)
                        .unwrap_or_default();
                    let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
                    let step = body["step"].as_str().unwrap_or_default();
                    let workers: Vec<&str> = body["workers"]
                        .as_array()
                        .into_iter()
                        .flatten()
                        .filter_map(Value::as_str)
                        .collect();
                    tokio::time::sleep(Duration::from_millis(20 + workers.len() as u64)).await;
                    let allowed: Vec<_> = workers
                        .iter()
                        .map(|id| json!([id, ticket(step, id)]))
                        .collect();
                    answer(Some((200, json!({"allowed": allowed, "validMs": 3000})))).await
                });
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    addr
}
