//! Real daemons on a stand-in of the users' platform: the whole path, under kills, outages and lost answers.

mod fleet_support;

use std::process::Command;
use std::time::{Duration, Instant};

use fleet_support::{
    CALLER_WAIT, PATIENCE, call, call_within, check_runs, daemon, done, start, submit,
    submit_surely,
};
use platform_stand_in::{PlatformStandIn, StoreFaults, job_body};
use serde_json::json;
use test_support::FleetDaemonSpec;

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

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_may_name_a_wait_of_any_length_or_none_that_can_be_read() {
    let (platform, daemons) = start(1, 1).await;
    submit_surely(&daemons, 1, 1).await;
    for (id, wait) in [
        (2, "18446744073709551615"),
        (3, "99999999999999999999"),
        (4, "-1"),
        (5, "soon"),
    ] {
        let path = format!("/q/{id:016x}");
        let body = Some(job_body("x", 1, false));
        let request = (reqwest::Method::POST, &daemons[0], path.as_str(), body);
        let (status, _) = call_within(wait, CALLER_WAIT, request).await;
        assert_eq!(status, 200, "{wait}");
    }
    for id in 1..=5 {
        done(&daemons, id).await;
    }
    check_runs(&platform, 5);
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
async fn a_wave_is_reported_as_done_although_the_leader_was_lost_before_it_could() {
    let (platform, mut daemons) = start(2, 1).await;
    platform.request_wave(&["m-0", "m-1"], 2, 20);
    let is_running = |platform: &PlatformStandIn| platform.store.get("status", "wave/1").is_some();
    let since = Instant::now();
    while !is_running(&platform) {
        assert!(since.elapsed() < PATIENCE, "the wave never begins");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    platform.store.set_faults(StoreFaults {
        rejected_table: "status",
        ..StoreFaults::default()
    });
    while platform.maintained_vms().len() < 2 {
        assert!(since.elapsed() < PATIENCE, "a VM is never maintained");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // Long enough for the leader to record the progress of the wave.
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(!platform.is_wave_done());
    daemons.clear();
    platform.store.set_faults(StoreFaults::default());
    daemons.push(daemon(&platform, "d1"));
    let since = Instant::now();
    while !platform.is_wave_done() {
        assert!(
            since.elapsed() < PATIENCE,
            "the wave is never reported as done"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(platform.maintained_vms().len(), 2);
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
