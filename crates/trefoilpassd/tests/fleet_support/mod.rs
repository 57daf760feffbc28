//! Daemons on a stand-in of the users' platform, and callers of them.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::{Duration, Instant};

use platform_stand_in::{AttemptRecord, PlatformStandIn, job_body};
use reqwest::Client;
use serde_json::Value;
use test_support::{Daemon as Process, FleetDaemonSpec};

/// How long any of these tests may take to see what it waits for. Generous, for a busy machine.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// How long the callers of the tests wait for a response.
pub const CALLER_WAIT: Duration = Duration::from_secs(8);

pub struct Daemon {
    pub name: String,
    pub process: Process,
    pub callers: SocketAddr,
    pub peers: String,
    pub ready: String,
}

pub fn daemon(platform: &PlatformStandIn, name: &str) -> Daemon {
    daemon_logging_to(test_log(), platform, name)
}

/// Where a daemon logs unless a test looks at its log.
pub fn test_log() -> Stdio {
    if std::env::var_os("TREFOILPASS_TEST_LOG").is_some() {
        Stdio::inherit()
    } else {
        Stdio::null()
    }
}

pub fn daemon_logging_to(log: Stdio, platform: &PlatformStandIn, name: &str) -> Daemon {
    let spec = FleetDaemonSpec::new(name, platform.store_addr, platform.vms_addr);
    daemon_of(&spec, log)
}

pub fn daemon_of(spec: &FleetDaemonSpec, log: Stdio) -> Daemon {
    let program = Path::new(env!("CARGO_BIN_EXE_trefoilpassd"));
    Daemon {
        name: spec.name.clone(),
        process: Process::start_fleet(program, &spec.yaml(), log),
        callers: spec.callers,
        peers: spec.peers_url(),
        ready: spec.ready_url(),
    }
}

pub async fn call(
    method: reqwest::Method,
    daemon: &Daemon,
    path: &str,
    body: Option<String>,
) -> (u16, Value) {
    let wait_ms = CALLER_WAIT.as_millis().to_string();
    call_within(&wait_ms, CALLER_WAIT, (method, daemon, path, body)).await
}

/// Calls a daemon. The request says that the caller waits for `wait_ms`; the caller leaves after `wait`.
pub async fn call_within(
    wait_ms: &str,
    wait: Duration,
    (method, daemon, path, body): (reqwest::Method, &Daemon, &str, Option<String>),
) -> (u16, Value) {
    let client = Client::builder().no_proxy().timeout(wait).build().unwrap();
    let url = format!("http://{}{path}", daemon.callers);
    let request = client
        .request(method, url)
        .header("host", "jobs.example")
        .header("deadline-ms", wait_ms);
    let request = match body {
        Some(body) => request
            .header("content-type", "application/json")
            .body(body),
        None => request,
    };
    match request.send().await {
        Ok(response) => {
            let status = response.status().as_u16();
            (status, response.json().await.unwrap_or(Value::Null))
        }
        Err(_) => (0, Value::Null),
    }
}

pub async fn submit(daemon: &Daemon, id: u64, tasks: u32) -> u16 {
    let path = format!("/q/{id:016x}");
    call(
        reqwest::Method::POST,
        daemon,
        &path,
        Some(job_body("x", tasks, false)),
    )
    .await
    .0
}

/// Submits until a daemon accepts. Returns how often it was refused.
pub async fn submit_surely(daemons: &[Daemon], id: u64, tasks: u32) -> u32 {
    let start = Instant::now();
    let mut refusals = 0;
    for daemon in daemons.iter().cycle() {
        match submit(daemon, id, tasks).await {
            200 => return refusals,
            status => {
                assert!(matches!(status, 0 | 503 | 504), "status {status}");
                refusals += 1;
            }
        }
        assert!(start.elapsed() < PATIENCE, "job {id} is never accepted");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    unreachable!("a cycle does not end")
}

pub async fn done(daemons: &[Daemon], id: u64) {
    let start = Instant::now();
    for daemon in daemons.iter().cycle() {
        let (status, body) =
            call(reqwest::Method::GET, daemon, &format!("/q/{id:016x}"), None).await;
        assert_ne!(status, 410, "an accepted job is not known");
        if status == 200 && body["state"] == "done" {
            return;
        }
        assert_ne!(body["state"], "failed");
        assert!(
            start.elapsed() < PATIENCE,
            "job {id} is never done: {status} {body}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// The number of jobs of the queue that have not started, as a daemon tells it.
pub async fn pending(daemon: &Daemon) -> (u16, Value) {
    let (status, body) = call(reqwest::Method::GET, daemon, "/q/", None).await;
    (status, body["pending"].clone())
}

pub async fn ready(daemon: &Daemon) {
    let start = Instant::now();
    let client = Client::builder().no_proxy().build().unwrap();
    loop {
        let answer = client.get(&daemon.ready).send().await;
        if answer.is_ok_and(|answer| answer.status() == 200) {
            return;
        }
        assert!(start.elapsed() < PATIENCE, "a daemon is never ready");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// No task ran twice at the same time, and none again after it was done.
pub fn check_runs(platform: &PlatformStandIn, tasks: usize) {
    check_runs_unless(platform, tasks, |_| false);
}

/// Like [`check_runs`], but a task may run again whose end got lost with its worker.
pub fn check_runs_on_ending_workers(platform: &PlatformStandIn, tasks: usize) {
    check_runs_unless(platform, tasks, |run| !run.is_end_acknowledged);
}

fn check_runs_unless(
    platform: &PlatformStandIn,
    tasks: usize,
    may_run_again: impl Fn(&AttemptRecord) -> bool,
) {
    let mut by_task: BTreeMap<String, Vec<_>> = BTreeMap::new();
    for run in platform.attempts() {
        by_task.entry(run.task.clone()).or_default().push(run);
    }
    assert_eq!(by_task.len(), tasks);
    for (task, mut runs) in by_task {
        runs.sort_by_key(|run| run.started_at);
        for pair in runs.windows(2) {
            let (ended, how) = pair[0]
                .ended
                .unwrap_or_else(|| panic!("{task} ran twice at once"));
            assert!(ended <= pair[1].started_at, "{task} ran twice at once");
            assert!(
                how != "done" || may_run_again(&pair[0]),
                "{task} ran again after it was done"
            );
        }
    }
}

pub async fn start(workers: usize, daemons: usize) -> (PlatformStandIn, Vec<Daemon>) {
    let platform = PlatformStandIn::start(workers).await;
    platform.configure();
    let daemons = start_daemons(&platform, daemons).await;
    (platform, daemons)
}

/// Starts daemons on a platform with a configuration, and waits until they are ready.
pub async fn start_daemons(platform: &PlatformStandIn, count: usize) -> Vec<Daemon> {
    let daemons: Vec<_> = (0..count)
        .map(|number| daemon(platform, &format!("d{number}")))
        .collect();
    for daemon in &daemons {
        ready(daemon).await;
    }
    daemons
}
