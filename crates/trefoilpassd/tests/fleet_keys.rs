//! Real daemons on a stand-in of the users' platform, under configurations with teams: keys, revocations, isolation.

mod fleet_support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fleet_support::{CALLER_WAIT, Daemon, PATIENCE, daemon_of, ready, test_log};
use platform_stand_in::{Caller, PlatformStandIn, ReportedState, SubmitOutcome, job_body};
use reqwest::{Client, Method};
use serde_json::{Value, json};
use test_support::{FaultProxy, FleetDaemonSpec, ProxyFault};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const TEAMS: &[(&str, &[&str])] = &[("a", &["key-a"]), ("b", &["key-b"])];

const REVOKE_MS: u64 = 3000;

fn daemon(name: &str, store: SocketAddr, platform: &PlatformStandIn) -> Daemon {
    let spec = FleetDaemonSpec::new(name, store, platform.vms_addr);
    daemon_of(&spec.with_strict_revocation(REVOKE_MS), test_log())
}

/// Two daemons under a configuration with teams, the owner of the pool first. The second one reaches the store through the
/// proxy.
async fn start() -> (PlatformStandIn, [Daemon; 2], FaultProxy) {
    let platform = PlatformStandIn::start(2).await;
    platform.configure_teams(3, TEAMS);
    let proxy = FaultProxy::start(([127, 0, 0, 1], 0).into(), platform.store_addr).await;
    let owner = daemon("d0", platform.store_addr, &platform);
    ready(&owner).await;
    let start = Instant::now();
    while platform
        .store
        .get("daemon", "d0")
        .is_none_or(|row| !row["holds"]["work"].is_u64())
    {
        assert!(start.elapsed() < PATIENCE, "the pool gets no owner");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let other = daemon("d1", proxy.addr, &platform);
    ready(&other).await;
    (platform, [owner, other], proxy)
}

struct Answer {
    status: u16,
    has_retry_after: bool,
    has_challenge: bool,
}

async fn call(daemon: &Daemon, method: Method, path: &str, key: Option<&str>) -> Answer {
    let client = Client::builder()
        .no_proxy()
        .timeout(CALLER_WAIT)
        .build()
        .unwrap();
    let url = format!("http://{}{path}", daemon.callers);
    let is_submission = method == Method::POST;
    let mut request = client.request(method, url).header("host", "jobs.example");
    if let Some(key) = key {
        request = request.bearer_auth(key);
    }
    if is_submission {
        request = request.body(job_body("x", 1, false));
    }
    let response = request.send().await.unwrap();
    Answer {
        status: response.status().as_u16(),
        has_retry_after: response.headers().contains_key("retry-after"),
        has_challenge: response
            .headers()
            .get("www-authenticate")
            .is_some_and(|it| it == "Bearer"),
    }
}

async fn status(daemon: &Daemon, method: Method, path: &str, key: Option<&str>) -> u16 {
    let answer = call(daemon, method, path, key).await;
    assert_eq!(answer.has_challenge, answer.status == 401, "{path} {key:?}");
    assert_eq!(
        answer.has_retry_after,
        answer.status == 503,
        "{path} {key:?}"
    );
    answer.status
}

/// Repeats a call until its status is as expected; the other status may come before.
async fn becomes(
    daemon: &Daemon,
    path: &str,
    key: &str,
    (before, expected): (u16, u16),
) -> Duration {
    let start = Instant::now();
    loop {
        let found = status(daemon, Method::GET, path, Some(key)).await;
        if found == expected {
            return start.elapsed();
        }
        assert_eq!(found, before, "{path}");
        assert!(start.elapsed() < PATIENCE, "{path} never gets {expected}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_answered_by_key_and_by_the_team_of_the_job() {
    const JOB_OF_A: &str = "/q/00000000000000a1";
    const JOB_OF_A_OPENLY: &str = "/open/00000000000000a1";
    const PUBLIC_JOB: &str = "/open/00000000000000c1";
    let (platform, [owner, other], _proxy) = start().await;
    let (a, b) = (Some("key-a"), Some("key-b"));
    for daemon in [&owner, &other] {
        for (method, path, key, expected) in [
            (Method::POST, JOB_OF_A, None, 401),
            (Method::POST, JOB_OF_A, Some("key-c"), 401),
            (Method::POST, JOB_OF_A, a, 200),
            (Method::POST, JOB_OF_A, a, 200),
            (Method::POST, JOB_OF_A, b, 403),
            (Method::POST, JOB_OF_A_OPENLY, None, 403),
            (Method::GET, JOB_OF_A, a, 200),
            (Method::GET, JOB_OF_A, b, 403),
            (Method::GET, JOB_OF_A, None, 401),
            (Method::GET, JOB_OF_A_OPENLY, None, 403),
            (Method::DELETE, JOB_OF_A, Some("key-c"), 401),
            (Method::DELETE, JOB_OF_A, b, 403),
            (Method::DELETE, JOB_OF_A_OPENLY, None, 403),
            (Method::GET, "/q/", a, 200),
            (Method::GET, "/q/", None, 401),
            (Method::GET, "/open/", None, 200),
            (Method::POST, PUBLIC_JOB, None, 200),
            (Method::GET, PUBLIC_JOB, None, 200),
            // Without a team, so open to all.
            (Method::GET, "/q/00000000000000c1", b, 200),
            (Method::GET, "/q/00000000000000ff", a, 410),
            (Method::GET, "/q/none", None, 401),
            (Method::GET, "/q/none", a, 400),
        ] {
            let found = status(daemon, method.clone(), path, key).await;
            assert_eq!(found, expected, "{}: {method} {path} {key:?}", daemon.name);
        }
    }
    let caller = Caller::new(owner.callers, CALLER_WAIT).with_key("key-a");
    let start = Instant::now();
    while caller.state(0xa1).await != ReportedState::Done {
        assert!(
            start.elapsed() < PATIENCE,
            "the job was cancelled by another team, or not run"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // Without the owner, the rows in the store tell the team.
    drop(owner);
    assert_eq!(status(&other, Method::GET, JOB_OF_A, b).await, 403);
    assert_eq!(status(&other, Method::GET, JOB_OF_A, a).await, 200);
    assert_eq!(platform.attempts().len(), 2);
}

async fn state_call(daemon: &Daemon, params: Value) -> Value {
    let call = json!({"jsonrpc": "2.0", "id": 1, "method": "pool_state", "params": params});
    let client = Client::builder().no_proxy().build().unwrap();
    let request = client.post(&daemon.peers).body(call.to_string());
    let response = request.header("content-type", "application/json").send();
    let mut response: Value = response.await.unwrap().json().await.unwrap();
    response["result"].take()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_of_daemons_of_earlier_builds_are_answered_as_before() {
    let (_platform, [owner, _other], _proxy) = start().await;
    let caller = Caller::new(owner.callers, CALLER_WAIT).with_key("key-a");
    let submitted = caller.submit(1, job_body("x", 1, true)).await;
    assert_eq!(submitted, SubmitOutcome::Accepted);
    for (params, is_other_team) in [
        (json!(["work", 1]), false),
        (json!(["work", 1, null]), false),
        // As a daemon of an earlier build ignores the team.
        (json!(["work", 1, null, "of a later build"]), false),
        (json!(["work", 1, "a"]), false),
        (json!(["work", 1, "b"]), true),
        (json!(["work", 1, ""]), true),
    ] {
        let reply = state_call(&owner, params.clone()).await;
        assert_eq!(reply == "OtherTeam", is_other_team, "{params}: {reply}");
        assert_eq!(
            reply["State"].is_string(),
            !is_other_team,
            "{params}: {reply}"
        );
    }
}

/// A connection that is closed while its caller still sends loses the response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_reaches_a_caller_that_is_still_sending() {
    let (_platform, [daemon, _other], _proxy) = start().await;
    let mut stream = TcpStream::connect(daemon.callers).await.unwrap();
    let body = vec![b' '; 15_000];
    for _ in 0..2 {
        let head = "POST /q/0000000000000001 HTTP/1.1\r\nhost: jobs.example\r\ncontent-length: 15000\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut response = vec![0; 4096];
        let read = tokio::time::timeout(CALLER_WAIT, stream.read(&mut response));
        let length = read.await.expect("no response before the body").unwrap();
        assert!(response[..length].starts_with(b"HTTP/1.1 401 "));
        for part in body.chunks(5000) {
            tokio::time::sleep(Duration::from_millis(20)).await;
            stream.write_all(part).await.unwrap();
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn revoked_keys_are_refused_and_added_ones_accepted() {
    let (platform, daemons, _proxy) = start().await;
    platform.configure_teams(9, &[("a", &["key-c"]), ("b", &["key-b"])]);
    for daemon in &daemons {
        let delays = [
            becomes(daemon, "/q/", "key-a", (200, 401)).await,
            becomes(daemon, "/q/", "key-c", (401, 200)).await,
        ];
        assert!(delays.iter().all(|it| it.as_millis() < 1500), "{delays:?}");
        assert_eq!(status(daemon, Method::GET, "/q/", Some("key-b")).await, 200);
    }
    // The last team has left: the queue does not become open to all.
    platform.configure_teams(10, &[]);
    becomes(&daemons[0], "/q/", "key-b", (200, 401)).await;
    assert_eq!(status(&daemons[0], Method::GET, "/open/", None).await, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_that_is_cut_off_from_the_store_refuses_keys_until_it_is_back() {
    let (platform, [owner, cut_off], proxy) = start().await;
    proxy.set(ProxyFault::Freeze);
    // A read that the store holds open may still learn of the change if it is not frozen first.
    tokio::time::sleep(Duration::from_millis(50)).await;
    platform.configure_teams(9, &[("b", &["key-b", "key-c"])]);
    let revoked_at = Instant::now();
    becomes(&owner, "/q/", "key-a", (200, 401)).await;
    becomes(&cut_off, "/q/", "key-a", (200, 503)).await;
    assert!(revoked_at.elapsed() < Duration::from_millis(REVOKE_MS));
    // Nothing is known of a key that is not in the old configuration.
    let answer = call(&cut_off, Method::POST, "/q/0000000000000001", Some("key-c")).await;
    assert_eq!((answer.status, answer.has_retry_after), (503, true));
    assert_eq!(status(&cut_off, Method::GET, "/open/", None).await, 200);
    assert_eq!(
        status(&owner, Method::GET, "/q/0000000000000001", Some("key-c")).await,
        410
    );
    proxy.set(ProxyFault::None);
    becomes(&cut_off, "/q/", "key-a", (503, 401)).await;
    for key in ["key-b", "key-c"] {
        assert_eq!(status(&cut_off, Method::GET, "/q/", Some(key)).await, 200);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_are_accepted_as_soon_as_the_store_is_back() {
    let (_platform, [_owner, cut_off], proxy) = start().await;
    proxy.set(ProxyFault::Cut);
    becomes(&cut_off, "/q/", "key-a", (200, 503)).await;
    proxy.set(ProxyFault::None);
    let delay = becomes(&cut_off, "/q/", "key-a", (503, 200)).await;
    // The store holds a read of unchanged rows open for 0.9 s.
    assert!(delay < Duration::from_millis(850), "{delay:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unreadable_configuration_stops_keys_and_does_not_load_the_store() {
    let (platform, [_owner, daemon], proxy) = start().await;
    platform
        .store
        .put("op", "config", &json!({"version": "nine"}));
    becomes(&daemon, "/q/", "key-a", (200, 503)).await;
    let bytes = proxy.bytes();
    tokio::time::sleep(Duration::from_secs(1)).await;
    // The heartbeat rows and a read of the operators' rows take some 3 kB a second.
    assert!(
        proxy.bytes() - bytes < 20_000,
        "{} bytes",
        proxy.bytes() - bytes
    );
    platform.configure_teams(10, TEAMS);
    becomes(&daemon, "/q/", "key-a", (503, 200)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_that_was_paused_does_not_serve_a_key_that_was_revoked_meanwhile() {
    let (platform, [_owner, paused], _proxy) = start().await;
    assert_eq!(
        status(&paused, Method::GET, "/q/", Some("key-a")).await,
        200
    );
    paused.process.pause();
    platform.configure_teams(9, &[("b", &["key-b"])]);
    tokio::time::sleep(Duration::from_millis(REVOKE_MS)).await;
    let queued = (0..8).map(|_| call(&paused, Method::GET, "/q/", Some("key-a")));
    let resume = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        paused.process.resume();
    };
    let (answers, ()) = tokio::join!(futures_util::future::join_all(queued), resume);
    for answer in answers {
        assert!(
            matches!(answer.status, 401 | 503),
            "status {}",
            answer.status
        );
    }
    becomes(&paused, "/q/", "key-a", (503, 401)).await;
}
