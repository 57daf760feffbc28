//! An executor as PROTOCOL.md describes it under "Running subtasks".
//!
//! The `spec` of a submission tells how long each of its subtasks works: `work=MS`; `lasting` works until it is stopped.
//! `gang=N` makes the subtasks of a step a gang of N.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use platform_stand_in::Store;
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::http_server::{Request, serve};
use crate::record::Record;

const HOLD_MAX_MS: u64 = 10_000;
const HEARTBEAT: Duration = Duration::from_millis(500);
const GANG_TIMEOUT: Duration = Duration::from_secs(3);
/// How much work there is between two checkpoints of a gang, `checkpointIntervalS`.
const CHECKPOINT_INTERVAL_MS: u64 = 1000;

#[derive(Debug, Clone)]
pub struct Running {
    pub task: String,
    pub run: u64,
    pub cpu: u64,
    pub started_at: Instant,
    pub ends_at: Option<Instant>,
    work_ms: u64,
    gang: Option<Member>,
}

/// A member of a gang.
#[derive(Debug, Clone)]
struct Member {
    /// The step and the run.
    key: (String, u64),
    size: u64,
    work_ms: u64,
    /// The `checkpointData` with which the member was started.
    value: String,
}

/// The gangs of all executors: who of a run is present, since when it works, and whether it has ended.
#[derive(Default)]
pub struct Gangs {
    runs: BTreeMap<(String, u64), GangRun>,
}

#[derive(Default)]
struct GangRun {
    /// The values of the members that are present, by subtask.
    present: BTreeMap<String, String>,
    began_at: Option<Instant>,
    /// How the run has ended.
    ended: Option<&'static str>,
    worked_ms: u64,
}

impl Gangs {
    /// The progress of a run in ms of work, with what its members had done before.
    fn worked_ms(&self, member: &Member) -> u64 {
        let run = &self.runs[&member.key];
        let now_ms = run
            .began_at
            .map_or(0, |at| u64::try_from(at.elapsed().as_millis()).unwrap_or(0));
        let since_ms = if run.ended.is_some() {
            run.worked_ms
        } else {
            now_ms
        };
        (work_of(&member.value) + since_ms).min(member.work_ms)
    }

    /// The newest value of a member. At a stop, there is one of the work up to then.
    fn value(&self, member: &Member, is_stop: bool) -> String {
        let worked_ms = self.worked_ms(member);
        let saved_ms = if is_stop {
            worked_ms
        } else {
            worked_ms / CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS
        };
        let saved_ms = saved_ms.max(work_of(&member.value));
        if saved_ms == 0 {
            String::new()
        } else {
            format!("{saved_ms:016x}")
        }
    }

    fn end(&mut self, member: &Member, how: &'static str) {
        let run = self.runs.entry(member.key.clone()).or_default();
        if run.ended.is_none() {
            run.worked_ms = run
                .began_at
                .map_or(0, |at| u64::try_from(at.elapsed().as_millis()).unwrap_or(0));
            run.ended = Some(how);
        }
    }
}

/// How much work a value stands for.
fn work_of(value: &str) -> u64 {
    u64::from_str_radix(value, 16).unwrap_or(0)
}

struct State {
    id: String,
    born: u64,
    born_at: Instant,
    fence: u64,
    until_ms: u64,
    running: Vec<Running>,
    /// The highest run of each subtask that was started, stopped or ended here.
    highest: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str, String)>,
    next_end: u64,
    is_up: bool,
    pool: String,
}

pub struct Executor {
    pub machine: String,
    cpu: u64,
    state: Mutex<State>,
    changed: Notify,
    record: Record,
    gangs: Arc<Mutex<Gangs>>,
}

impl State {
    fn clock_ms(&self) -> u64 {
        1000 + u64::try_from(self.born_at.elapsed().as_millis()).unwrap_or(0)
    }

    fn end(&mut self, index: usize, how: &'static str, record: &Record, gangs: &Mutex<Gangs>) {
        let running = self.running.remove(index);
        let mut value = String::new();
        if let Some(member) = &running.gang {
            let mut gangs = gangs.lock();
            value = gangs.value(member, how == "stopped");
            gangs.end(member, if how == "done" { "done" } else { "broken" });
        }
        record.line(&format!(
            "end {} run {} {how} on {} value {value:?}",
            running.task, running.run, self.id
        ));
        self.ended
            .push((self.next_end, running.task, running.run, how, value));
        self.next_end += 1;
    }

    /// How a member of a gang ends now, if it does. A gang works from the moment when all of a run are present, all with the
    /// same value.
    fn gang_end(running: &Running, gangs: &Mutex<Gangs>) -> Option<&'static str> {
        let member = running.gang.as_ref()?;
        let mut gangs = gangs.lock();
        let run = gangs.runs.entry(member.key.clone()).or_default();
        run.present
            .entry(running.task.clone())
            .or_insert_with(|| member.value.clone());
        if let Some(how) = run.ended {
            return Some(how);
        }
        let is_complete = run.present.len() as u64 == member.size
            && run.present.values().all(|value| *value == member.value);
        if is_complete && run.began_at.is_none() {
            run.began_at = Some(Instant::now());
        }
        if run.began_at.is_none() {
            return (running.started_at.elapsed() > GANG_TIMEOUT).then_some("alone");
        }
        (gangs.worked_ms(member) >= member.work_ms).then_some("done")
    }

    fn end_due(&mut self, record: &Record, gangs: &Mutex<Gangs>) -> bool {
        let before = self.ended.len();
        if self.clock_ms() > self.until_ms {
            while !self.running.is_empty() {
                self.end(0, "lapsed", record, gangs);
            }
        }
        let now = Instant::now();
        let mut index = 0;
        while index < self.running.len() {
            let gang_end = Self::gang_end(&self.running[index], gangs);
            if let Some(how) = gang_end {
                self.end(index, how, record, gangs);
            } else if self.running[index].ends_at.is_some_and(|at| now >= at) {
                self.end(index, "done", record, gangs);
            } else {
                index += 1;
            }
        }
        self.ended.len() > before
    }
}

fn new_state(id: String, pool: &str) -> State {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time after 1970");
    State {
        id,
        born: u64::try_from(since.as_millis()).unwrap_or(0),
        born_at: Instant::now(),
        fence: 0,
        until_ms: 0,
        running: Vec::new(),
        highest: BTreeMap::new(),
        ended: Vec::new(),
        next_end: 1,
        is_up: true,
        pool: pool.to_owned(),
    }
}

impl Executor {
    /// Starts an executor that registers itself under `id`.
    pub async fn start(
        machine: &str,
        id: String,
        kind: &'static str,
        pool: &str,
        cpu: u64,
        store: Arc<Store>,
        record: Record,
        gangs: Arc<Mutex<Gangs>>,
    ) -> Arc<Self> {
        let executor = Arc::new(Self {
            machine: machine.to_owned(),
            cpu,
            state: Mutex::new(new_state(id, pool)),
            changed: Notify::new(),
            record,
            gangs,
        });
        let own = executor.clone();
        let addr = serve(move |request| {
            let own = own.clone();
            async move { own.handle(request).await }
        })
        .await;
        let own = executor.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(10)).await;
                if own.state.lock().end_due(&own.record, &own.gangs) {
                    own.changed.notify_waiters();
                }
            }
        });
        let own = executor.clone();
        tokio::spawn(async move {
            for seq in 0u64.. {
                let entry = {
                    let state = own.state.lock();
                    state.is_up.then(|| {
                        let entry = json!({
                            "service": state.pool, "addr": addr.to_string(), "zone": "z", "version": "v1", "slots": 8,
                            "state": "ready", "coldLeftMs": 0, "seq": seq, "born": state.born,
                            "labels": [kind, "r1"], "capacity": {"cpu": own.cpu, "memMb": 65536}, "clockMs": state.clock_ms(),
                        });
                        (state.id.clone(), entry)
                    })
                };
                if let Some((id, entry)) = entry {
                    store.put("servers", &id, &entry);
                }
                tokio::time::sleep(HEARTBEAT).await;
            }
        });
        executor
    }

    pub fn id(&self) -> Option<String> {
        let state = self.state.lock();
        state.is_up.then(|| state.id.clone())
    }

    pub fn pool(&self) -> String {
        self.state.lock().pool.clone()
    }

    pub fn cpu(&self) -> u64 {
        self.cpu
    }

    pub fn running(&self) -> Vec<Running> {
        self.state.lock().running.clone()
    }

    /// The executor ends with all that runs on it, and its entry is removed.
    pub fn end(&self, store: &Store) {
        let mut state = self.state.lock();
        state.is_up = false;
        for running in std::mem::take(&mut state.running) {
            if let Some(member) = &running.gang {
                self.gangs.lock().end(member, "broken");
            }
            self.record.line(&format!(
                "end {} run {} gone on {}",
                running.task, running.run, state.id
            ));
        }
        store.remove("servers", &state.id);
        self.changed.notify_waiters();
    }

    /// A new executor begins on the machine.
    pub fn begin(&self, id: String) {
        let mut state = self.state.lock();
        let pool = state.pool.clone();
        *state = new_state(id, &pool);
    }

    async fn handle(self: Arc<Self>, request: Request) -> (u16, Value) {
        {
            let mut state = self.state.lock();
            if !state.is_up || request.instance != state.id {
                return (421, json!({"clockMs": state.clock_ms()}));
            }
            state.end_due(&self.record, &self.gangs);
            let fence = request.body["fence"].as_u64().unwrap_or(0);
            if fence < state.fence {
                return (409, json!({"clockMs": state.clock_ms(), "reason": "fence"}));
            }
            state.fence = fence;
        }
        match request.path.as_str() {
            "/v1/run-start" => self.start_run(&request.body),
            "/v1/run-stop" => self.stop_run(&request.body),
            "/v1/hold" => self.hold(&request.body).await,
            "/v1/pace" => (200, json!({"clockMs": self.state.lock().clock_ms()})),
            _ => (404, json!({})),
        }
    }

    fn start_run(&self, body: &Value) -> (u16, Value) {
        let mut state = self.state.lock();
        let clock_ms = state.clock_ms();
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let spec = body["spec"].as_str().unwrap_or_default();
        let until_ms = body["untilMs"].as_u64().unwrap_or(0);
        if until_ms <= clock_ms {
            return (409, json!({"clockMs": clock_ms, "reason": "late"}));
        }
        state.until_ms = state.until_ms.max(until_ms.min(clock_ms + HOLD_MAX_MS));
        if state
            .running
            .iter()
            .any(|known| known.task == task && known.run == run)
        {
            return (200, json!({"clockMs": clock_ms, "born": state.born}));
        }
        if state
            .highest
            .get(&task)
            .is_some_and(|highest| run <= *highest)
        {
            return (409, json!({"clockMs": clock_ms, "reason": "old"}));
        }
        let step = task.split('.').nth(2).unwrap_or_default();
        // What a word says of one step goes before what it says of all.
        let of_step = |name: &str| {
            field(spec, &format!("{name}.{step}=")).or_else(|| field(spec, &format!("{name}=")))
        };
        let cpu = of_step("cpu").unwrap_or(100);
        let used: u64 = state.running.iter().map(|running| running.cpu).sum();
        if used + cpu > self.cpu {
            return (409, json!({"clockMs": clock_ms, "reason": "room"}));
        }
        state.highest.insert(task.clone(), run);
        let work_ms = of_step("work");
        let ends_at = work_ms.map(|ms| Instant::now() + Duration::from_millis(ms));
        let value = body["checkpointData"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        self.record.line(&format!(
            "start {task} run {run} on {} fence {} value {value:?}",
            state.id, state.fence
        ));
        let gang = of_step("gang").map(|size| Member {
            key: (
                task.rsplit_once('.')
                    .map_or(String::new(), |(step, _)| step.to_owned()),
                run,
            ),
            size,
            work_ms: work_ms.unwrap_or(0),
            value,
        });
        let ends_at = ends_at.filter(|_| gang.is_none());
        state.running.push(Running {
            task,
            run,
            cpu,
            started_at: Instant::now(),
            ends_at,
            work_ms: work_ms.unwrap_or(0),
            gang,
        });
        (200, json!({"clockMs": clock_ms, "born": state.born}))
    }

    fn stop_run(&self, body: &Value) -> (u16, Value) {
        let mut state = self.state.lock();
        let task = body["task"].as_str().unwrap_or_default();
        let run = body["run"].as_u64().unwrap_or(0);
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = run.max(*highest);
        if let Some(index) = state
            .running
            .iter()
            .position(|known| known.task == task && known.run == run)
        {
            state.end(index, "stopped", &self.record, &self.gangs);
        }
        self.changed.notify_waiters();
        (
            200,
            json!({"clockMs": state.clock_ms(), "born": state.born}),
        )
    }

    fn row(&self, running: &Running) -> Value {
        let Some(member) = &running.gang else {
            // What lasts is at work at once; else the percent of the work that is done, in whole numbers.
            let worked_ms = u64::try_from(running.started_at.elapsed().as_millis()).unwrap_or(0);
            let percent = (worked_ms * 100)
                .checked_div(running.work_ms)
                .unwrap_or(100)
                .min(100);
            return json!([running.task, running.run, "", percent, 10]);
        };
        let gangs = self.gangs.lock();
        if !gangs.runs.contains_key(&member.key) {
            return json!([running.task, running.run, member.value, 0, 0]);
        }
        let percent = gangs.worked_ms(member) * 100 / member.work_ms.max(1);
        json!([
            running.task,
            running.run,
            gangs.value(member, false),
            percent.min(99),
            running.cpu
        ])
    }

    async fn hold(&self, body: &Value) -> (u16, Value) {
        let wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0).min(2000));
        let deadline = tokio::time::Instant::now() + wait;
        {
            let mut state = self.state.lock();
            if let Some(until_ms) = body["untilMs"].as_u64() {
                let longest = state.clock_ms() + HOLD_MAX_MS;
                state.until_ms = state.until_ms.max(until_ms.min(longest));
            }
            let last_seen = body["lastSeen"].as_u64().unwrap_or(0);
            for (_, task, run, how, _) in state
                .ended
                .iter()
                .filter(|(number, ..)| *number <= last_seen)
            {
                self.record.line(&format!("noted {task} run {run} {how}"));
            }
            state.ended.retain(|(number, ..)| *number > last_seen);
        }
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state.lock();
                if !state.is_up {
                    return (421, json!({"clockMs": state.clock_ms()}));
                }
                if !state.ended.is_empty() || tokio::time::Instant::now() >= deadline {
                    let running = state.running.iter().map(|run| self.row(run));
                    let running: Vec<_> = running.collect();
                    let ended = state.ended.iter().take(500);
                    let ended: Vec<_> = ended
                        .map(|(number, task, run, how, value)| {
                            json!([number, task, run, how, value])
                        })
                        .collect();
                    let report = json!({"clockMs": state.clock_ms(), "born": state.born, "running": running, "ended": ended});
                    return (200, report);
                }
            }
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }
}

/// The number behind a word of a `spec`.
fn field(spec: &str, name: &str) -> Option<u64> {
    spec.split(' ')
        .find_map(|word| word.strip_prefix(name)?.parse().ok())
}
