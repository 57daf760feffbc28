//! What callers get: whole answers, one error kind for each mistake, and the truth about what ran.

use std::time::Duration;

use reqwest::{Method, StatusCode};
use serde::Deserialize;
use test_support::{Cluster, Shape, TargetFault, ZoneShape};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const PATH: &str = "/v1/services/parts/work";
const DAEMON: &str = env!("CARGO_BIN_EXE_trefoilpassd");

#[derive(Debug, Deserialize)]
struct Problem {
    #[serde(rename = "type")]
    kind: String,
    outcome: String,
}

async fn one_zone() -> Cluster {
    let zone = ZoneShape {
        daemons: 1,
        parts: 2,
        quotes: 0,
    };
    Cluster::start(Shape::new(DAEMON, &[zone])).await
}

struct Mistake {
    name: &'static str,
    path: &'static str,
    header: (&'static str, String),
    body_bytes: usize,
    status: u16,
    kind: &'static str,
}

fn mistakes() -> Vec<Mistake> {
    let mistake = |name, header: (&'static str, &str), status, kind| Mistake {
        name,
        path: PATH,
        header: (header.0, header.1.to_owned()),
        body_bytes: 0,
        status,
        kind,
    };
    let none = ("x-none", "");
    vec![
        Mistake {
            path: "/v1/services/nothing/work",
            ..mistake("unknown service", none, 404, "unknown-service")
        },
        Mistake {
            path: "/v1/services/",
            ..mistake("no service", none, 404, "unknown-service")
        },
        mistake(
            "deadline of 0",
            ("x-deadline-ms", "0"),
            504,
            "deadline-past",
        ),
        mistake(
            "negative deadline",
            ("x-deadline-ms", "-5"),
            504,
            "deadline-past",
        ),
        mistake(
            "deadline in words",
            ("x-deadline-ms", "soon"),
            400,
            "malformed-request",
        ),
        mistake(
            "empty key",
            ("idempotency-key", ""),
            400,
            "malformed-request",
        ),
        mistake(
            "long key",
            ("idempotency-key", &"k".repeat(129)),
            400,
            "malformed-request",
        ),
        mistake(
            "key with spaces",
            ("idempotency-key", "a b"),
            400,
            "malformed-request",
        ),
        mistake(
            "long headers",
            ("x-long", &"x".repeat(20_000)),
            431,
            "headers-too-large",
        ),
        Mistake {
            body_bytes: 1_000_001,
            ..mistake("long body", none, 413, "body-too-large")
        },
    ]
}

#[tokio::test]
async fn every_mistake_has_its_answer_and_reaches_no_target() {
    let cluster = one_zone().await;
    for mistake in mistakes() {
        let url = cluster.url(0, mistake.path);
        let request = cluster
            .http()
            .post(url)
            .header(mistake.header.0, mistake.header.1);
        let response = request
            .body(vec![b'x'; mistake.body_bytes])
            .send()
            .await
            .unwrap();
        assert_eq!(
            response.status().as_u16(),
            mistake.status,
            "{}",
            mistake.name
        );
        assert_eq!(
            response.headers()["content-type"],
            "application/problem+json"
        );
        assert!(response.headers().contains_key("x-request-id"));
        let problem: Problem = response.json().await.unwrap();
        assert_eq!(problem.kind, mistake.kind, "{}", mistake.name);
        assert_eq!(problem.outcome, "not-run", "{}", mistake.name);
    }
    assert_eq!(cluster.targets.stats().runs, 0);
    let answer = cluster
        .http()
        .get(cluster.url(0, PATH))
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), StatusCode::OK, "the daemon goes on");
}

/// Writes raw bytes to the daemon and returns what comes back until the end.
async fn raw(cluster: &Cluster, bytes: &[u8], keep_open: bool) -> String {
    let addr = cluster.spec.entry_vms[0].callers;
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    if !keep_open {
        stream.shutdown().await.unwrap();
    }
    let mut answer = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(30), stream.read_to_end(&mut answer));
    // A reset is an end as good as another.
    let _ = read.await.expect("an end");
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn broken_requests_reach_no_target_and_do_not_stop_the_daemon() {
    let cluster = one_zone().await;
    let head = "POST /v1/services/parts/work HTTP/1.1\r\nhost: a\r\nconnection: close\r\n";
    let with_length = |length: &str| format!("{head}content-length: {length}\r\n\r\nabc");
    let garbage = raw(&cluster, b"what is this\r\n\r\n", true).await;
    assert!(garbage.starts_with("HTTP/1.1 400"), "{garbage}");
    let header = raw(&cluster, b"GET / HTTP/1.1\r\nno colon here\r\n\r\n", true).await;
    assert!(header.starts_with("HTTP/1.1 400"), "{header}");
    let length = raw(&cluster, with_length("many").as_bytes(), true).await;
    assert!(length.starts_with("HTTP/1.1 400"), "{length}");
    // The body stops short of its length: the connection's end is the answer.
    raw(&cluster, with_length("10").as_bytes(), false).await;
    let slow = raw(&cluster, with_length("10").as_bytes(), true).await;
    assert!(slow.starts_with("HTTP/1.1 408"), "{slow}");
    assert!(slow.contains("body-too-slow"), "{slow}");
    assert_eq!(cluster.targets.stats().runs, 0);
    assert_eq!(cluster.targets.stats().broken_bodies, 0);
    cluster.wait_ready(0).await;
}

#[tokio::test]
async fn bodies_pass_whole_in_both_directions() {
    let cluster = one_zone().await;
    for (sent, asked) in [
        (0, 0),
        (10, 10),
        (65_536, 70_000),
        (65_537, 1_000_000),
        (900_000, 100),
    ] {
        let request = cluster
            .http()
            .post(cluster.url(0, "/v1/services/parts/work?a=b"));
        let request = request
            .header("x-op", "body")
            .header("x-answer-bytes", asked);
        let answer = request.body(vec![b'x'; sent]).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
        let text = answer.text().await.unwrap();
        assert!(text.contains(&format!("body={sent} ")), "{}", &text[..60]);
        assert!(text.len() >= asked);
    }
}

struct FaultCase {
    target: TargetFault,
    method: Method,
    /// 0 when the connection breaks instead of an answer.
    status: u16,
    kind: &'static str,
    outcome: &'static str,
    /// The most runs.
    runs: usize,
}

#[tokio::test]
async fn faults_of_targets_are_told_truly() {
    let cluster = one_zone().await;
    let fault = |target, method: Method, status, kind, outcome, runs| FaultCase {
        target,
        method,
        status,
        kind,
        outcome,
        runs,
    };
    let faults = [
        fault(
            TargetFault::NotRun,
            Method::POST,
            503,
            "target-refused",
            "not-run",
            0,
        ),
        fault(
            TargetFault::Drop,
            Method::POST,
            502,
            "target-failed",
            "unknown",
            1,
        ),
        fault(
            TargetFault::Drop,
            Method::GET,
            502,
            "target-failed",
            "unknown",
            3,
        ),
        fault(
            TargetFault::WrongId,
            Method::POST,
            502,
            "target-failed",
            "unknown",
            1,
        ),
        fault(
            TargetFault::Hang,
            Method::POST,
            504,
            "target-timeout",
            "unknown",
            1,
        ),
        fault(TargetFault::Truncate, Method::POST, 0, "", "", 1),
        fault(TargetFault::Fail, Method::POST, 500, "", "", 1),
    ];
    // First attempts earn retries, so that a wrong retry would be made.
    for _ in 0..60 {
        let read = cluster.http().get(cluster.url(0, PATH)).send().await;
        assert!(read.unwrap().status().is_success());
    }
    for (number, case) in faults.into_iter().enumerate() {
        cluster.targets.set_fault_everywhere(case.target);
        let op = format!("op-{number}");
        let url = cluster.url(0, "/v1/services/parts/work");
        let request = cluster.http().request(case.method.clone(), url);
        let request = request.header("x-op", &op).header("x-deadline-ms", "1500");
        let response = request.header("x-answer-bytes", "1000").send().await;
        let text = format!("{:?} {}", case.target, case.method);
        if case.status == 0 {
            let body = response.unwrap().text().await;
            assert!(
                body.is_err(),
                "{text}: a short answer was passed on as a whole one"
            );
        } else {
            let response = response.unwrap();
            assert_eq!(response.status().as_u16(), case.status, "{text}");
            if !case.kind.is_empty() {
                assert!(response.headers().contains_key("retry-after"), "{text}");
                let problem: Problem = response.json().await.unwrap();
                assert_eq!(
                    (problem.kind.as_str(), problem.outcome.as_str()),
                    (case.kind, case.outcome),
                    "{text}"
                );
            }
        }
        let runs = cluster.targets.runs().get(&op).map_or(0, Vec::len);
        let is_post = case.method == Method::POST;
        assert!(
            if is_post {
                runs == case.runs
            } else {
                (1..=case.runs).contains(&runs)
            },
            "{text}: {runs} runs"
        );
    }
}

#[tokio::test]
async fn a_short_answer_without_a_length_is_not_passed_on_as_a_whole_one() {
    let cluster = one_zone().await;
    cluster.targets.set_fault_everywhere(TargetFault::Truncate);
    for keyed in [false, true] {
        let request = cluster.http().post(cluster.url(0, PATH));
        let mut request = request.header("x-answer-chunked", "yes");
        if keyed {
            request = request.header("idempotency-key", "k");
        }
        let answer = request.send().await.unwrap();
        let is_refused = answer.status() == StatusCode::BAD_GATEWAY;
        assert!(is_refused || answer.text().await.is_err(), "keyed: {keyed}");
    }
}

#[tokio::test]
async fn a_target_that_is_down_is_passed_over() {
    let cluster = one_zone().await;
    cluster.targets.set_vm_up(&cluster.vms("parts")[0], false);
    let report = cluster.load("parts").run().await;
    report.assert_promises(&cluster.targets.runs());
    let (outcomes, errors) = (&report.outcomes, &report.errors);
    assert_eq!(
        outcomes.answered,
        report.requests(),
        "{outcomes:?} {errors:?}"
    );
}

#[tokio::test]
async fn without_targets_the_answer_is_final_and_at_once() {
    let cluster = one_zone().await;
    for vm in cluster.vms("parts") {
        cluster.targets.set_vm_up(&vm, false);
    }
    let url = cluster.url(0, "/v1/services/parts/work");
    let response = cluster.http().post(url).send().await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers()["retry-after"], "1");
    let problem: Problem = response.json().await.unwrap();
    assert_eq!(
        (problem.kind.as_str(), problem.outcome.as_str()),
        ("target-unreachable", "not-run")
    );
}

#[tokio::test]
async fn trace_context_and_request_id_are_carried_on() {
    let cluster = one_zone().await;
    let url = cluster.url(0, "/v1/services/parts/work");
    let request = cluster.http().get(url).header("x-request-id", "mine-1");
    let response = request.send().await.unwrap();
    assert_eq!(response.headers()["x-request-id"], "mine-1");
}

#[tokio::test]
async fn connections_stay_within_the_executors_limit_when_it_is_below_the_slots() {
    let zone = ZoneShape {
        daemons: 3,
        parts: 1,
        quotes: 0,
    };
    let shape = Shape::new(DAEMON, &[zone]).with_executors(60, 24);
    let cluster = Cluster::start(shape.with_service_time(Duration::from_millis(100))).await;
    let mut load = cluster.load("parts");
    load.rate_per_s = 400;
    let report = load.run().await;
    report.assert_promises(&cluster.targets.runs());
    let most = cluster.targets.stats().most_connections;
    assert!(most <= 24, "{most} connections to one executor");
}

#[tokio::test]
async fn overload_is_shed_and_connections_stay_within_the_executors_limit() {
    let zone = ZoneShape {
        daemons: 3,
        parts: 2,
        quotes: 0,
    };
    let shape = Shape::new(DAEMON, &[zone]).with_service_time(Duration::from_millis(50));
    let mut cluster = Cluster::start(shape).await;
    let mut load = cluster.load("parts");
    // Two executors with eight slots of 50 ms serve 320 requests a second.
    load.rate_per_s = 600;
    load.duration = Duration::from_secs(4);
    load.killed.lock().insert(cluster.spec.entry_vms[2].callers);
    let running = tokio::spawn(load.run());
    tokio::time::sleep(Duration::from_secs(1)).await;
    cluster.kill(2);
    tokio::time::sleep(Duration::from_secs(1)).await;
    cluster.start_daemon(2).await;
    let report = running.await.unwrap();
    report.assert_promises(&cluster.targets.runs());
    assert!(report.outcomes.answered > 0);
    let most = cluster.targets.stats().most_connections;
    assert!(most <= 64, "{most} connections to one executor");
}
