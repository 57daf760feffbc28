//! The program itself: its settings check, and the spans that it exports.

use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

use test_support::{Cluster, Shape, ZoneShape};

const DAEMON: &str = env!("CARGO_BIN_EXE_trefoilpassd");

fn check(settings: &Path, more: &[&str]) -> Output {
    let mut command = Command::new(DAEMON);
    command
        .arg("--check")
        .arg("--config")
        .arg(settings)
        .args(more);
    command.output().unwrap()
}

fn examples() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

#[test]
fn the_examples_pass_the_check_for_every_entry_vm() {
    for deployment in ["hinokuni", "kudzu"] {
        let settings = examples().join(deployment).join("entry.yaml");
        for number in 1..=7 {
            let output = check(&settings, &["--entry-vm", &format!("entry-{number}")]);
            assert!(output.status.success(), "{output:?}");
        }
    }
}

#[test]
fn a_mistake_names_file_field_and_line() {
    let text = std::fs::read_to_string(examples().join("kudzu/entry.yaml")).unwrap();
    let mistakes = [
        (text.replace("drain_ms: 20000", "drain_s: 20"), "drain_s"),
        (
            text.replace("drain_ms: 20000", "drain_ms: soon"),
            "drain_ms",
        ),
        (
            text.replace("id: entry-2", "id: entry-1"),
            "entry_vms[1].id",
        ),
        (
            text.replace("127.0.0.1:21102", "127.0.0.1:21101"),
            "entry_vms[1].callers",
        ),
    ];
    for (number, (bad, field)) in mistakes.into_iter().enumerate() {
        assert_ne!(bad, text);
        let name = format!("trefoilpass-check-{}-{number}.yaml", std::process::id());
        let path = std::env::temp_dir().join(&name);
        std::fs::write(&path, bad).unwrap();
        let output = check(&path, &[]);
        std::fs::remove_file(&path).unwrap();
        let err = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{err}");
        assert!(err.contains(&name) && err.contains(field), "{field}: {err}");
    }
}

#[tokio::test]
async fn every_hop_of_a_request_is_a_span_in_the_callers_trace() {
    let zone = ZoneShape {
        daemons: 1,
        parts: 1,
        quotes: 0,
    };
    let cluster = Cluster::start(Shape::new(DAEMON, &[zone])).await;
    // A second daemon with the same settings, but for its addresses and its traces.
    let mut entry_vms = cluster.spec.entry_vms.clone();
    let addrs = test_support::free_addrs(2);
    (entry_vms[0].callers, entry_vms[0].peers) = (addrs[0], addrs[1]);
    let settings =
        test_support::entry_settings_yaml(&entry_vms[0].id, &entry_vms, cluster.spec.platform);
    let path = std::env::temp_dir().join(format!("trefoilpass-traces-{}.yaml", std::process::id()));
    std::fs::write(&path, format!("traces: stdout\n{settings}")).unwrap();
    let child = Command::new(DAEMON)
        .arg("--config")
        .arg(&path)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let url = format!("http://{}", addrs[0]);
    cluster
        .wait("the daemon is ready", async || {
            let answer = cluster.http().get(format!("{url}/readyz")).send().await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
    let trace = "0af7651916cd43dd8448eb211c80319c";
    let request = cluster.http().post(format!("{url}/v1/services/parts/work"));
    let request = request.header("traceparent", format!("00-{trace}-b7ad6b7169203331-01"));
    let answer = request
        .header("idempotency-key", "traced")
        .send()
        .await
        .unwrap();
    assert!(answer.status().is_success());
    tokio::time::sleep(Duration::from_millis(200)).await;
    let pid = rustix::process::Pid::from_child(&child);
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
    let output = tokio::task::spawn_blocking(|| child.wait_with_output().unwrap())
        .await
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    let is_named = |span: &str, hop: &str| {
        let mut lines = span.lines().map(str::trim);
        lines.any(|line| line.starts_with("Name") && line.ends_with(hop))
    };
    for hop in ["request", "claim", "claims", "platform", "queue", "target"] {
        let mut spans = text.split("Span #").filter(|span| span.contains(trace));
        let has_hop = spans.any(|span| is_named(span, &format!(": {hop}")));
        assert!(has_hop, "no span for {hop} in the caller's trace: {text}");
    }
}
