//! Requests with idempotency keys run at most once, whatever fails.

use std::time::{Duration, Instant};

use reqwest::{Response, StatusCode};
use serde::Deserialize;
use test_support::{Cluster, Faults, ProxyFault, Shape, TargetFault, ZoneShape};

const DAEMON: &str = env!("CARGO_BIN_EXE_trefoilpassd");

#[derive(Debug, Deserialize)]
struct Problem {
    #[serde(rename = "type")]
    kind: String,
    outcome: String,
}

fn shape(daemons: usize) -> Shape {
    let zone = ZoneShape {
        daemons,
        parts: 2,
        quotes: 1,
    };
    Shape::new(DAEMON, &[zone])
}

async fn send(cluster: &Cluster, daemon: usize, key: &str, body: &str) -> Response {
    let request = cluster
        .http()
        .post(cluster.url(daemon, "/v1/services/parts/work"));
    let request = request.header("idempotency-key", key).header("x-op", key);
    request.body(body.to_owned()).send().await.unwrap()
}

async fn check_refused(response: Response, kind: &str, outcome: &str) {
    let has_retry = response.headers().contains_key("retry-after");
    let problem: Problem = response.json().await.unwrap();
    assert_eq!(
        (problem.kind.as_str(), problem.outcome.as_str()),
        (kind, outcome)
    );
    let is_permanent = ["key-reused", "key-spent"].contains(&kind);
    assert_ne!(has_retry, is_permanent, "{kind}");
}

fn runs(cluster: &Cluster, key: &str) -> usize {
    cluster.targets.runs().get(key).map_or(0, Vec::len)
}

#[tokio::test]
async fn a_resend_gets_the_first_answer_at_any_daemon() {
    let cluster = Cluster::start(shape(2)).await;
    let first = send(&cluster, 0, "k1", "one").await;
    assert_eq!(first.status(), StatusCode::OK);
    assert!(!first.headers().contains_key("idempotent-replayed"));
    let text = first.text().await.unwrap();
    for daemon in [0, 1, 1] {
        let resend = send(&cluster, daemon, "k1", "one").await;
        assert_eq!(resend.headers()["idempotent-replayed"], "true");
        assert_eq!(resend.text().await.unwrap(), text);
    }
    assert_eq!(runs(&cluster, "k1"), 1);
}

#[tokio::test]
async fn a_key_is_not_taken_for_another_request() {
    let cluster = Cluster::start(shape(2)).await;
    send(&cluster, 0, "k1", "one").await;
    for daemon in [0, 1] {
        let other = send(&cluster, daemon, "k1", "two").await;
        assert_eq!(other.status(), StatusCode::UNPROCESSABLE_ENTITY);
        check_refused(other, "key-reused", "not-run").await;
    }
    assert_eq!(runs(&cluster, "k1"), 1);
}

#[tokio::test]
async fn a_resend_beside_a_running_request_is_told_to_come_back() {
    let cluster = Cluster::start(shape(2)).await;
    let url = cluster.url(0, "/v1/services/parts/work");
    let slow = cluster
        .http()
        .post(url)
        .header("idempotency-key", "k1")
        .header("x-op", "k1");
    let slow = tokio::spawn(slow.header("x-work-ms", "1000").body("one").send());
    cluster
        .wait("the request runs", async || runs(&cluster, "k1") == 1)
        .await;
    for daemon in [0, 1] {
        let resend = send(&cluster, daemon, "k1", "one").await;
        check_refused(resend, "key-running", "unknown").await;
    }
    assert_eq!(slow.await.unwrap().unwrap().status(), StatusCode::OK);
    assert_eq!(runs(&cluster, "k1"), 1);
}

#[tokio::test]
async fn many_resends_at_once_run_once() {
    let cluster = Cluster::start(shape(3)).await;
    for round in 0..10 {
        let key = format!("k{round}");
        let sends = (0..12).map(|number| send(&cluster, number % 3, &key, "one"));
        let mut answered = 0;
        for send in sends.collect::<Vec<_>>() {
            let response = send.await;
            answered += usize::from(response.status() == StatusCode::OK);
        }
        assert!(answered >= 1);
        assert_eq!(runs(&cluster, &key), 1, "{key}");
    }
}

#[tokio::test]
async fn a_claim_whose_answer_was_lost_is_read_back() {
    let cluster = Cluster::start(shape(1)).await;
    let lose = Faults {
        lose_answers: 1,
        ..Faults::default()
    };
    cluster.platform.set_faults(lose);
    let first = send(&cluster, 0, "k1", "one").await;
    assert_eq!(
        first.status(),
        StatusCode::OK,
        "one lost answer refuses nothing"
    );
    let resend = send(&cluster, 0, "k1", "one").await;
    assert_eq!(resend.headers()["idempotent-replayed"], "true");
    assert_eq!(runs(&cluster, "k1"), 1);
}

#[tokio::test]
async fn a_request_refused_by_its_target_may_run_at_another_daemon() {
    let cluster = Cluster::start(shape(2)).await;
    cluster.targets.set_fault_everywhere(TargetFault::NotRun);
    let refused = send(&cluster, 0, "k1", "one").await;
    check_refused(refused, "target-refused", "not-run").await;
    cluster.targets.set_fault_everywhere(TargetFault::None);
    let taken_over = send(&cluster, 1, "k1", "one").await;
    assert_eq!(taken_over.status(), StatusCode::OK);
    // The first daemon has given its claim away for good.
    let resend = send(&cluster, 0, "k1", "one").await;
    assert_eq!(resend.headers()["idempotent-replayed"], "true");
    assert_eq!(runs(&cluster, "k1"), 1);
}

#[tokio::test]
async fn a_request_that_may_have_run_is_never_run_again() {
    let cluster = Cluster::start(shape(2)).await;
    cluster.targets.set_fault_everywhere(TargetFault::Drop);
    let broken = send(&cluster, 0, "k1", "one").await;
    check_refused(broken, "target-failed", "unknown").await;
    cluster.targets.set_fault_everywhere(TargetFault::None);
    for daemon in [0, 1] {
        let resend = send(&cluster, daemon, "k1", "one").await;
        check_refused(resend, "key-spent", "unknown").await;
    }
    assert_eq!(runs(&cluster, "k1"), 1);
}

#[tokio::test]
async fn a_dead_holders_key_is_spent() {
    let mut cluster = Cluster::start(shape(2)).await;
    send(&cluster, 0, "k1", "one").await;
    cluster.kill(0);
    let resend = send(&cluster, 1, "k1", "one").await;
    check_refused(resend, "key-spent", "unknown").await;
    cluster.start_daemon(0).await;
    cluster.wait_ready(0).await;
    let resend = send(&cluster, 0, "k1", "one").await;
    check_refused(resend, "key-spent", "unknown").await;
    assert_eq!(runs(&cluster, "k1"), 1);
}

#[tokio::test]
async fn a_holder_out_of_reach_is_not_taken_for_dead() {
    let cluster = Cluster::start(shape(2).with_peer_proxies()).await;
    send(&cluster, 0, "k1", "one").await;
    cluster.peer_links[&(1, 0)].set(ProxyFault::Freeze);
    let resend = send(&cluster, 1, "k1", "one").await;
    check_refused(resend, "key-holder-away", "unknown").await;
    cluster.peer_links[&(1, 0)].set(ProxyFault::None);
    cluster
        .wait("the holder answers again", async || {
            let resend = send(&cluster, 1, "k1", "one").await;
            resend.headers().contains_key("idempotent-replayed")
        })
        .await;
    assert_eq!(runs(&cluster, "k1"), 1);
}

#[tokio::test]
async fn an_outage_refuses_keys_at_once_and_serves_the_rest() {
    let cluster = Cluster::start(shape(1)).await;
    cluster.platform.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    tokio::time::sleep(Duration::from_secs(3)).await;
    let started = Instant::now();
    let url = cluster.url(0, "/v1/services/quotes/work");
    let refused = cluster.http().post(url).header("idempotency-key", "k1");
    let refused = refused.send().await.unwrap();
    // The deadline of this service is eight seconds; a refusal that waits for it comes too late to be of use.
    let waited = started.elapsed();
    assert!(waited < Duration::from_secs(1), "{waited:?}");
    check_refused(refused, "claim-unavailable", "not-run").await;
    let url = cluster.url(0, "/v1/services/parts/work");
    let read = cluster.http().get(&url).send().await.unwrap();
    assert_eq!(read.status(), StatusCode::OK);
    let keyless = cluster.http().post(&url).send().await.unwrap();
    assert_eq!(keyless.status(), StatusCode::OK);
    cluster.platform.set_faults(Faults::default());
    cluster
        .wait("keys are taken again", async || {
            send(&cluster, 0, "k1", "one").await.status() == StatusCode::OK
        })
        .await;
    assert_eq!(runs(&cluster, "k1"), 1);
}

#[tokio::test]
async fn load_with_keys_through_lost_answers_delays_and_kills() {
    let mut cluster = Cluster::start(shape(3)).await;
    let mut load = cluster.load("parts");
    load.keyed_percent = 80;
    load.rate_per_s = 200;
    load.duration = Duration::from_secs(8);
    load.killed.lock().insert(cluster.spec.entry_vms[1].callers);
    let running = tokio::spawn(load.run());
    let faults = [
        Faults {
            lose_answers: 3,
            ..Faults::default()
        },
        Faults {
            delay_ms: 80,
            ..Faults::default()
        },
        Faults {
            lose_answers: 5,
            delay_ms: 20,
            ..Faults::default()
        },
        Faults {
            outage: true,
            ..Faults::default()
        },
        Faults::default(),
    ];
    for (number, faults) in faults.into_iter().enumerate() {
        cluster.platform.set_faults(faults);
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        if number == 1 {
            cluster.kill(1);
        }
        if number == 3 {
            cluster.start_daemon(1).await;
        }
    }
    let report = running.await.unwrap();
    report.assert_promises(&cluster.targets.runs());
    assert!(
        report.outcomes.answered > report.requests() / 2,
        "{:?}",
        report.outcomes
    );
}
