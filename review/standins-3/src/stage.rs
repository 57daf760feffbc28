//! A small deployment: the platform, its executors, and daemons as processes.

use std::fs::File;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use platform_stand_in::{PlatformStandIn, Store};
use reqwest::{Client, Method};
use serde_json::{Value, json};
use test_support::{Daemon, FleetDaemonSpec};

use crate::executor::Executor;
use crate::record::Record;
use crate::vms::VmControl;

pub const HOST: &str = "jobs.example";
/// `revokeMs`.
pub const REVOKE_MS: u64 = 5000;

pub struct Member {
    pub spec: FleetDaemonSpec,
    pub process: Option<Daemon>,
}

pub struct Stage {
    pub record: Record,
    pub store: Arc<Store>,
    pub executors: Vec<Arc<Executor>>,
    pub vms: Arc<VmControl>,
    pub members: Vec<Member>,
    pub client: Client,
    program: PathBuf,
    folder: PathBuf,
    pub settings: Box<dyn Fn(String) -> String + Send + Sync>,
    _platform: PlatformStandIn,
}

pub struct Shape {
    pub daemons: usize,
    pub executors: usize,
    /// How many of them, the first, have the label `b`; the others have `a`.
    pub of_kind_b: usize,
    pub cpu: u64,
    /// The keys of the first config; none without tenants.
    pub keys: Option<&'static [&'static str]>,
    pub upkeep: Duration,
    /// The id of an executor by its number.
    pub id: fn(usize) -> String,
    pub settings: Box<dyn Fn(String) -> String + Send + Sync>,
}

pub fn queue(name: &str, prefix: &str, pool: &str) -> Value {
    json!({
        "name": name, "host": HOST, "prefix": prefix, "kind": "mutating", "timeoutMs": 3000, "sloMs": 600, "priority": 0,
        "service": pool, "attempts": 3, "stretch": 1.6,
    })
}

/// A version of the config. With keys, all calls need one, and they are those of one tenant.
pub fn config(version: u64, keys: Option<&[&str]>) -> Value {
    let mut config = json!({
        "version": version, "routes": [queue("r-1", "/q/", "work")], "services": [{"name": "work", "rejectsOverload": true}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    });
    if let Some(keys) = keys {
        config["tenants"] = json!([{"name": "t-1", "keys": keys, "weight": 10}]);
    }
    config
}

impl Stage {
    /// Starts everything and waits until the daemons take requests. `None` when they don't.
    pub async fn start(
        record: Record,
        program: PathBuf,
        folder: PathBuf,
        shape: Shape,
    ) -> Option<Self> {
        let platform = PlatformStandIn::start(0).await;
        let store = platform.store.clone();
        store.put("op", "config", &config(3, shape.keys));
        let mut executors = Vec::new();
        let gangs = Arc::default();
        for number in 0..shape.executors {
            let machine = format!("m-{number:02}");
            let id = (shape.id)(number);
            let kind = if number < shape.of_kind_b { "b" } else { "a" };
            executors.push(
                Executor::start(
                    &machine,
                    id,
                    kind,
                    "work",
                    shape.cpu,
                    store.clone(),
                    record.clone(),
                    Arc::clone(&gangs),
                )
                .await,
            );
        }
        let (vms, vms_addr) = VmControl::start(
            executors.clone(),
            store.clone(),
            shape.upkeep,
            record.clone(),
        )
        .await;
        let mut members = Vec::new();
        for number in 0..shape.daemons {
            let spec = FleetDaemonSpec::new(&format!("d{number}"), platform.store_addr, vms_addr);
            let spec = match shape.keys {
                Some(_) => spec.with_strict_revocation(REVOKE_MS),
                None => spec,
            };
            members.push(Member {
                spec,
                process: None,
            });
        }
        let client = Client::builder()
            .no_proxy()
            .timeout(Duration::from_secs(3))
            .pool_max_idle_per_host(32)
            .build()
            .ok()?;
        let mut stage = Self {
            record,
            store,
            executors,
            vms,
            members,
            client,
            program,
            folder,
            settings: shape.settings,
            _platform: platform,
        };
        for number in 0..shape.daemons {
            stage.start_daemon(number);
        }
        for _ in 0..100 {
            tokio::time::sleep(Duration::from_millis(200)).await;
            let mut ready = 0;
            for member in &stage.members {
                let answer = stage.client.get(member.spec.ready_url()).send().await;
                ready += usize::from(answer.is_ok_and(|answer| answer.status() == 200));
            }
            if ready == stage.members.len() && stage.owner("work").is_some() {
                tokio::time::sleep(Duration::from_millis(1500)).await;
                return Some(stage);
            }
        }
        None
    }

    pub fn start_daemon(&mut self, number: usize) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("d{number}.log")));
        let log = log.map_or_else(|_| Stdio::null(), Stdio::from);
        let member = &mut self.members[number];
        let yaml = (self.settings)(member.spec.yaml());
        let process = Daemon::start_fleet(&self.program, &yaml, log);
        self.record
            .line(&format!("process {} started as d{number}", process.id()));
        member.process = Some(process);
    }

    /// How many subtasks run whose names begin so.
    pub fn running(&self, prefix: &str) -> usize {
        let running = self
            .executors
            .iter()
            .flat_map(|executor| executor.running());
        running
            .filter(|running| running.task.starts_with(prefix))
            .count()
    }

    /// What all that runs uses, in thousandths of a core.
    pub fn used(&self) -> u64 {
        let running = self
            .executors
            .iter()
            .flat_map(|executor| executor.running());
        running.map(|running| running.cpu).sum()
    }

    /// The most that runs of the subtasks whose names begin so, and the most that all use, at any moment of `duration`.
    pub async fn watch(&self, prefix: &str, duration: Duration) -> (usize, u64) {
        let until = tokio::time::Instant::now() + duration;
        let (mut running, mut used) = (0, 0);
        while tokio::time::Instant::now() < until {
            running = running.max(self.running(prefix));
            used = used.max(self.used());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        (running, used)
    }

    /// The number of the daemon that the store names as the owner of a shard.
    pub fn owner(&self, shard: &str) -> Option<usize> {
        let row = self.store.get_in_part("owner", shard, "it")?;
        let name = row["daemon"].as_str()?;
        self.members
            .iter()
            .position(|member| member.spec.name == name)
    }

    /// Sends a request of a consumer to a daemon. The status, 0 without an answer, and the body.
    pub async fn call(
        &self,
        daemon: usize,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> (u16, Value) {
        let url = format!("http://{}{path}", self.members[daemon].spec.callers);
        let request = self
            .client
            .request(method.clone(), url)
            .header("host", HOST)
            .header("deadline-ms", "3000");
        let request = match body {
            Some(body) => request
                .header("content-type", "application/json")
                .body(body),
            None => request,
        };
        let answer = match request.send().await {
            Ok(response) => {
                let status = response.status().as_u16();
                (status, response.json().await.unwrap_or(Value::Null))
            }
            Err(_) => (0, Value::Null),
        };
        self.record.line(&format!(
            "d{daemon} {method} {path} -> {} {}",
            answer.0, answer.1
        ));
        answer
    }

    /// Hands a submission in as consumers do: again at the next daemon after no answer or an answer that it was not accepted.
    pub async fn submit(&self, first: usize, path: &str, body: &Value, tries: usize) -> bool {
        for attempt in 0..tries {
            let daemon = (first + attempt) % self.members.len();
            let (status, _) = self
                .call(daemon, Method::POST, path, Some(body.to_string()))
                .await;
            if (200..300).contains(&status) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        false
    }

    /// The state of a submission, asked of each daemon in turn; empty without an answer.
    pub async fn state(&self, path: &str) -> String {
        for daemon in 0..self.members.len() {
            let (status, body) = self.call(daemon, Method::GET, path, None).await;
            if status == 410 {
                return "410".into();
            }
            if let Some(state) = body["state"].as_str() {
                return state.to_owned();
            }
        }
        String::new()
    }
}
