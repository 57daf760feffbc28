//! Real daemons on a stand-in of the users' platform: the whole path, under kills, outages and lost answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use platform_stand_in::{PlatformStandIn, StoreFaults, job_body};
use reqwest::Client;
use serde_json::{Value, json};
use test_support::{Daemon as Process, FleetDaemonSpec};

/// How long any of these tests may take to see what it waits for. Generous, for a busy machine.
const PATIENCE: Duration = Duration::from_secs(60);

/// How long the callers of the tests wait for a response.
const CALLER_WAIT: Duration = Duration::from_secs(8);

struct Daemon {
    name: String,
    process: Process,
    callers: SocketAddr,
    peers: String,
    ready: String,
}

fn daemon(platform: &PlatformStandIn, name: &str) -> Daemon {
    let spec = FleetDaemonSpec::new(name, platform.store_addr, platform.vms_addr);
    let program = Path::new(env!("CARGO_BIN_EXE_trefoilpassd"));
    Daemon {
        name: name.to_owned(),
        process: Process::start_fleet(program, &spec.yaml(), Stdio::null()),
        callers: spec.callers,
        peers: spec.peers_url(),
        ready: spec.ready_url(),
    }
}

async fn call(
    method: reqwest::Method,
    daemon: &Daemon,
    path: &str,
    body: Option<String>,
) -> (u16, Value) {
    let wait_ms = CALLER_WAIT.as_millis().to_string();
    call_within(&wait_ms, CALLER_WAIT, (method, daemon, path, body)).await
}

/// Calls a daemon. The request says that the caller waits for `wait_ms`; the caller leaves after `wait`.
async fn call_within(
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

async fn submit(daemon: &Daemon, id: u64, tasks: u32) -> u16 {
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
async fn submit_surely(daemons: &[Daemon], id: u64, tasks: u32) -> u32 {
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

async fn done(daemons: &[Daemon], id: u64) {
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

async fn ready(daemon: &Daemon) {
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
fn check_runs(platform: &PlatformStandIn, tasks: usize) {
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
            assert_ne!(how, "done", "{task} ran again after it was done");
        }
    }
}

async fn start(workers: usize, daemons: usize) -> (PlatformStandIn, Vec<Daemon>) {
    let platform = PlatformStandIn::start(workers).await;
    platform.configure();
    let daemons: Vec<_> = (0..daemons)
        .map(|number| daemon(&platform, &format!("d{number}")))
        .collect();
    for daemon in &daemons {
        ready(daemon).await;
    }
    (platform, daemons)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_are_accepted_run_once_and_shown_done_by_any_daemon() {
    let (platform, daemons) = start(2, 2).await;
    for id in 1..=5 {
        submit_surely(&daemons, id, 4).await;
        assert_eq!(
            submit(&daemons[1], id, 4).await,
            200,
            "a repeat is accepted"
        );
    }
    for id in 1..=5 {
        done(&daemons, id).await;
    }
    check_runs(&platform, 20);
    let (status, body) = call(reqwest::Method::GET, &daemons[0], "/q/", None).await;
    assert_eq!((status, &body["pending"]), (200, &json!(0)));
    let (status, _) = call(
        reqwest::Method::GET,
        &daemons[0],
        "/q/00000000000000aa",
        None,
    )
    .await;
    assert_eq!(status, 410);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_daemon_loses_and_doubles_nothing() {
    let (platform, mut daemons) = start(2, 3).await;
    for id in 1..=6 {
        submit_surely(&daemons, id, 4).await;
    }
    // Two of three, so that the pool's daemon is among them most times.
    drop(daemons.remove(0));
    drop(daemons.remove(0));
    for id in 1..=6 {
        done(&daemons, id).await;
    }
    submit_surely(&daemons, 7, 4).await;
    done(&daemons, 7).await;
    check_runs(&platform, 28);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_and_lost_answers_of_the_store_lose_and_double_nothing() {
    let (platform, daemons) = start(2, 2).await;
    submit_surely(&daemons, 1, 4).await;
    platform.store.set_faults(StoreFaults {
        is_down: true,
        ..StoreFaults::default()
    });
    // Longer than doubling time-outs took to overflow once.
    tokio::time::sleep(Duration::from_secs(5)).await;
    platform.store.set_faults(StoreFaults {
        response_loss_interval: 3,
        ..StoreFaults::default()
    });
    for id in 2..=5 {
        submit_surely(&daemons, id, 4).await;
    }
    platform.store.set_faults(StoreFaults::default());
    for id in 1..=5 {
        done(&daemons, id).await;
    }
    check_runs(&platform, 20);
}

/// The daemon that owns the pool, and the others.
fn split_owner<'a>(
    platform: &PlatformStandIn,
    daemons: &'a [Daemon],
) -> (&'a Daemon, Vec<&'a Daemon>) {
    let (owners, others): (Vec<_>, Vec<_>) = daemons.iter().partition(|daemon| {
        let row = platform.store.get("daemon", &daemon.name);
        row.is_some_and(|row| row["holds"]["work"].is_u64())
    });
    assert_eq!(owners.len(), 1, "daemons that own the pool");
    (owners[0], others)
}

/// A refusal tells that the job has not run and never will: nobody knows it afterwards.
async fn check_refused(platform: &PlatformStandIn, daemons: &[Daemon], id: u64) {
    let (status, _) = call(
        reqwest::Method::GET,
        &daemons[0],
        &format!("/q/{id:016x}"),
        None,
    )
    .await;
    assert_eq!(status, 410, "a refused job is known");
    let name = format!("{id:016x}");
    let mut attempts = platform.attempts().into_iter();
    assert!(
        !attempts.any(|attempt| attempt.task.starts_with(&name)),
        "a refused job has run"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submissions_that_the_store_rejects_do_not_wait_for_the_end_of_its_outage() {
    let (platform, daemons) = start(2, 2).await;
    submit_surely(&daemons, 1, 4).await;
    platform.store.set_faults(StoreFaults {
        is_down: true,
        ..StoreFaults::default()
    });
    let (owner, others) = split_owner(&platform, &daemons);
    let answers = tokio::join!(submit(owner, 2, 4), submit(others[0], 3, 4));
    assert_eq!(answers, (503, 503));
    platform.store.set_faults(StoreFaults::default());
    submit_surely(&daemons, 4, 4).await;
    for id in [1, 4] {
        done(&daemons, id).await;
    }
    for id in [2, 3] {
        check_refused(&platform, &daemons, id).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submissions_behind_an_unanswered_transaction_do_not_wait_for_the_end_of_the_outage() {
    let (platform, daemons) = start(2, 2).await;
    submit_surely(&daemons, 1, 4).await;
    platform.store.set_faults(StoreFaults {
        is_silent: true,
        ..StoreFaults::default()
    });
    let (owner, others) = split_owner(&platform, &daemons);
    let behind = async {
        // After the first submission is in a transaction.
        tokio::time::sleep(Duration::from_millis(100)).await;
        tokio::join!(submit(owner, 3, 4), submit(others[0], 4, 4))
    };
    let (_, answers) = tokio::join!(submit(owner, 2, 4), behind);
    assert_eq!(answers, (503, 503));
    platform.store.set_faults(StoreFaults::default());
    submit_surely(&daemons, 5, 4).await;
    for id in [1, 5] {
        done(&daemons, id).await;
    }
    for id in [3, 4] {
        check_refused(&platform, &daemons, id).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submissions_outlast_an_owner_of_their_pool_that_stops_responding() {
    let (platform, daemons) = start(2, 3).await;
    submit_surely(&daemons, 1, 4).await;
    let (owner, others) = split_owner(&platform, &daemons);
    // As with a VM that loses power, connections to a paused process are neither refused nor closed.
    owner.process.pause();
    let answers = tokio::join!(submit(others[0], 2, 4), submit(others[1], 3, 4));
    assert_eq!(answers, (200, 200));
    owner.process.resume();
    for id in 1..=3 {
        done(&daemons, id).await;
    }
    check_runs(&platform, 12);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn any_wait_of_a_caller_is_accepted() {
    let (_platform, daemons) = start(2, 1).await;
    submit_surely(&daemons, 1, 1).await;
    let waits = ["0", "1000", "18446744073709551615", "-1", "soon", ""];
    for (id, wait_ms) in (2..).zip(waits) {
        let path = format!("/q/{id:016x}");
        let body = Some(job_body("x", 1, false));
        let request = (reqwest::Method::POST, &daemons[0], path.as_str(), body);
        let (status, _) = call_within(wait_ms, CALLER_WAIT, request).await;
        // A caller that does not wait may get the answer that the outcome is unknown.
        let expected: &[u16] = if wait_ms == "0" { &[200, 504] } else { &[200] };
        assert!(
            expected.contains(&status),
            "status {status} with {wait_ms:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_left_do_not_delay_the_shutdown() {
    let (platform, mut daemons) = start(2, 1).await;
    submit_surely(&daemons, 1, 1).await;
    platform.store.set_faults(StoreFaults {
        is_silent: true,
        ..StoreFaults::default()
    });
    let body = Some(job_body("x", 1, false));
    let path = "/q/0000000000000002";
    let request = (reqwest::Method::POST, &daemons[0], path, body);
    let answer = call_within("300", Duration::from_millis(100), request).await;
    assert_eq!(answer, (0, Value::Null), "the caller leaves first");
    platform.store.set_faults(StoreFaults::default());
    ready(&daemons[0]).await;
    daemons[0].process.terminate();
    // The balancer's detection of 2.3 s, and less than the rest of the grace period of 6 s.
    let status = daemons[0].process.wait(Duration::from_millis(4500)).await;
    assert!(status.is_some_and(|status| status.success()));
}

/// Asks a daemon to take the pool over from the owner with this term.
async fn hand_over(daemon: &Daemon, term: u64) {
    let call = json!({"jsonrpc": "2.0", "id": 1, "method": "pool_take", "params": ["work", term]});
    let client = Client::builder().no_proxy().build().unwrap();
    let request = client.post(&daemon.peers).body(call.to_string());
    let response = request.header("content-type", "application/json").send();
    assert_eq!(response.await.unwrap().status(), 200);
}

fn owned_term(platform: &PlatformStandIn, daemon: &Daemon) -> Option<u64> {
    let row = platform.store.get("daemon", &daemon.name)?;
    row["holds"]["work"].as_u64()
}

/// An owner whose transactions fail repeats the handover, and the other daemon may be taking the pool over by itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_that_is_asked_again_and_again_takes_a_pool_over_once() {
    let (platform, daemons) = start(2, 2).await;
    submit_surely(&daemons, 1, 4).await;
    let (owner, others) = split_owner(&platform, &daemons);
    let term = owned_term(&platform, owner).unwrap();
    let successor = others[0];
    let calls = (0..40).map(|number| async move {
        tokio::time::sleep(Duration::from_micros(300 * number)).await;
        hand_over(successor, term).await;
    });
    futures_util::future::join_all(calls).await;
    // Longer than a storm of takeovers takes to begin: the period of the heartbeat rows.
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(owned_term(&platform, successor), Some(term + 1));
    submit_surely(&daemons, 2, 4).await;
    for id in 1..=2 {
        done(&daemons, id).await;
    }
    check_runs(&platform, 8);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_requests_get_a_clear_answer_and_store_nothing() {
    let (platform, daemons) = start(1, 1).await;
    submit_surely(&daemons, 1, 1).await;
    let long = job_body(&"x".repeat(4001), 1, false);
    let huge = job_body(&"x".repeat(30_000), 1, false);
    let cases = [
        ("not JSON", "/q/00000000000000b1", "{", 400),
        (
            "a wrong type",
            "/q/00000000000000b2",
            r#"{"steps":[{"count":"two"}]}"#,
            400,
        ),
        (
            "no steps",
            "/q/00000000000000b3",
            r#"{"spec":"x","steps":[]}"#,
            400,
        ),
        (
            "no tasks",
            "/q/00000000000000b4",
            r#"{"steps":[{"count":0}]}"#,
            400,
        ),
        (
            "a step after itself",
            "/q/00000000000000b5",
            r#"{"steps":[{"count":1,"after":[0]}]}"#,
            400,
        ),
        (
            "a negative size",
            "/q/00000000000000b6",
            r#"{"steps":[{"count":1,"cpu":-1}]}"#,
            400,
        ),
        (
            "a huge count",
            "/q/00000000000000b7",
            r#"{"steps":[{"count":4000000000}]}"#,
            400,
        ),
        ("a long text", "/q/00000000000000b8", long.as_str(), 400),
        (
            "a body over the limit",
            "/q/00000000000000b9",
            huge.as_str(),
            413,
        ),
        ("no id", "/q/xyz", r#"{"steps":[{"count":1}]}"#, 400),
        (
            "no queue",
            "/other/00000000000000ba",
            r#"{"steps":[{"count":1}]}"#,
            404,
        ),
    ];
    for (name, path, body, expected) in cases {
        let (status, answer) = call(
            reqwest::Method::POST,
            &daemons[0],
            path,
            Some(body.to_owned()),
        )
        .await;
        assert_eq!(status, expected, "{name}: {answer}");
        if expected == 400 {
            assert!(
                answer["error"].as_str().is_some_and(|why| !why.is_empty()),
                "{name}"
            );
        }
    }
    done(&daemons, 1).await;
    check_runs(&platform, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_wave_maintains_each_vm_once_under_its_cap_and_is_reported() {
    let (platform, daemons) = start(3, 1).await;
    platform.request_wave(&["m-0", "m-1", "m-2", "m-gone"], 1, 20);
    let start = Instant::now();
    while !platform.is_wave_done() {
        assert!(start.elapsed() < PATIENCE, "the wave is never done");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut maintained = platform.maintained_vms();
    maintained.sort();
    assert_eq!(maintained, ["m-0", "m-1", "m-2"]);
    assert_eq!(platform.max_in_maintenance(), 1);
    drop(daemons);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancelled_job_stops_and_stays_cancelled() {
    let (platform, daemons) = start(1, 2).await;
    submit_surely(&daemons, 1, 1).await;
    let body = job_body("x", 1, true);
    let path = "/q/00000000000000c1";
    let (status, _) = call(reqwest::Method::POST, &daemons[0], path, Some(body)).await;
    assert_eq!(status, 200);
    let (status, _) = call(reqwest::Method::DELETE, &daemons[1], path, None).await;
    assert_eq!(status, 200);
    let (_, body) = call(reqwest::Method::GET, &daemons[0], path, None).await;
    assert_eq!(body["state"], "canceled");
    let start = Instant::now();
    while platform
        .attempts()
        .iter()
        .any(|run| run.task.contains("c1.") && run.ended.is_none())
    {
        assert!(start.elapsed() < PATIENCE, "the task is never stopped");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[test]
fn settings_are_checked_and_missing_fields_are_named() {
    let path = std::env::temp_dir().join(format!("trefoilpass-bad-{}.yaml", std::process::id()));
    std::fs::write(&path, "daemon: d\nip: 127.0.0.1\n").unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_trefoilpassd"))
        .args(["--fleet", "--check", "--config"])
        .arg(&path)
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("missing field `zone`"));
}

#[test]
fn figures_that_the_platform_does_not_name_may_be_empty() {
    let path = std::env::temp_dir().join(format!("trefoilpass-empty-{}.yaml", std::process::id()));
    let addr = "127.0.0.1:1".parse().unwrap();
    let named = FleetDaemonSpec::new("d", addr, addr).yaml();
    let empty = "vm_orders_per_s:\nmachine:\n  cpu_share:\n  speed: 1\n  link_mbps:\n";
    std::fs::write(&path, format!("{named}{empty}")).unwrap();
    let status = Command::new(env!("CARGO_BIN_EXE_trefoilpassd"))
        .args(["--fleet", "--check", "--config"])
        .arg(&path)
        .status()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    assert!(status.success());
}
