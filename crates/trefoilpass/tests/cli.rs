//! The command line against real daemons: what it prints, and how it ends.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use test_support::{Cluster, Shape, ZoneShape, built_program};

const CLI: &str = env!("CARGO_BIN_EXE_trefoilpass");

async fn cluster() -> Cluster {
    let daemon = built_program(Path::new(CLI), "trefoilpassd");
    let zone = ZoneShape {
        daemons: 2,
        parts: 2,
        quotes: 2,
    };
    Cluster::start(Shape::new(daemon, &[zone])).await
}

/// A file that goes with its test.
struct Document(PathBuf);

impl Document {
    fn new(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}.yaml", std::process::id()));
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for Document {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

async fn run(cluster: &Cluster, args: &[&str]) -> Output {
    let peers: Vec<_> = cluster
        .spec
        .entry_vms
        .iter()
        .map(|vm| vm.peers.to_string())
        .collect();
    let mut command = Command::new(CLI);
    command.args(args).args(["--daemons", &peers.join(",")]);
    tokio::task::spawn_blocking(move || command.output().unwrap())
        .await
        .unwrap()
}

/// Runs a command that has to succeed; its standard output.
async fn ok(cluster: &Cluster, args: &[&str]) -> String {
    let output = run(cluster, args).await;
    let err = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{args:?}: {err}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Runs a command that has to end with `code`; the last line says what to do next.
async fn fails(cluster: &Cluster, args: &[&str], code: i32, message: &str) {
    let output = run(cluster, args).await;
    let err = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{args:?}: {err}");
    assert!(err.contains(message), "{args:?}: {err}");
    assert!(
        err.lines().last().unwrap().starts_with("next: "),
        "{args:?}: {err}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn listings_are_columns_or_json() {
    let cluster = cluster().await;
    let listings: [(&[&str], &str, &str); 6] = [
        (&["vm", "list"], "VM", "\"vm\""),
        (&["pool", "list"], "POOL", "\"planned_allowance\""),
        (&["service", "list"], "SERVICE", "\"deadline_ms\""),
        (&["wave", "status"], "WAVE", "[]"),
        (&["status"], "PEER", "\"incarnation\""),
        (&["config", "show"], "# epoch 1", "\"presets\""),
    ];
    for (args, columns, json) in listings {
        let text = ok(&cluster, args).await;
        assert!(text.contains(columns), "{args:?}: {text}");
        let text = ok(&cluster, &[args, &["--json"]].concat()).await;
        assert!(text.contains(json), "{args:?}: {text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_day_of_an_operator() {
    let cluster = cluster().await;
    let text = cluster.spec.deployment_yaml();
    let changed = text.replace("queue_limit_requests: 100", "queue_limit_requests: 150");
    let document = Document::new("changed", &changed);
    let path = document.path();
    ok(&cluster, &["config", "check", path]).await;
    let diff = ok(&cluster, &["config", "diff", path]).await;
    assert!(diff.contains("+   queue_limit_requests: 150"), "{diff}");
    let applied = ok(
        &cluster,
        &["config", "apply", path, "--after", "1", "--wait"],
    )
    .await;
    assert!(applied.contains("configuration 2 is accepted"), "{applied}");
    let shown = ok(&cluster, &["preset", "show"]).await;
    assert!(shown.contains("* ordinary"), "{shown}");
    ok(
        &cluster,
        &[
            "preset", "switch", "--from", "ordinary", "--to", "peak", "--wait",
        ],
    )
    .await;
    fails(
        &cluster,
        &["vm", "drain", "z1-parts-1"],
        3,
        "may lose no more",
    )
    .await;
    ok(
        &cluster,
        &[
            "preset", "switch", "--from", "peak", "--to", "ordinary", "--wait",
        ],
    )
    .await;
    ok(&cluster, &["vm", "drain", "z1-parts-1", "--wait"]).await;
    ok(&cluster, &["vm", "return", "z1-parts-1", "--wait"]).await;
    ok(
        &cluster,
        &["vm", "move", "z1-parts-2", "--to", "quotes", "--wait"],
    )
    .await;
    let vms = ok(&cluster, &["vm", "list"]).await;
    let moved = vms
        .lines()
        .find(|line| line.starts_with("z1-parts-2"))
        .unwrap();
    assert!(
        moved.contains("quotes") && moved.contains("serving"),
        "{moved}"
    );
    let job = Document::new(
        "job",
        "{team: a, pool: parts, class: batch, cpu_milli: 100, memory_mb: 100, run_s: 1, payload: ''}\n",
    );
    ok(
        &cluster,
        &["job", "submit", job.path(), "--id", "j1", "--wait"],
    )
    .await;
    let jobs = ok(&cluster, &["job", "list"]).await;
    assert!(jobs.contains("done"), "{jobs}");
    let shown = ok(&cluster, &["job", "show", "j1"]).await;
    assert!(shown.contains("\"attempt\": 1"), "{shown}");
    let cancelled = ok(&cluster, &["job", "cancel", "j1"]).await;
    assert!(cancelled.contains("j1 had ended before"), "{cancelled}");
    ok(&cluster, &["wave", "start", "--pool", "quotes", "--wait"]).await;
    let waves = ok(&cluster, &["wave", "status"]).await;
    assert!(waves.contains("done"), "{waves}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_of_the_users_platform_is_checked_without_a_daemon() {
    let cluster = cluster().await;
    let text = |version: u64, weight: i64, pool: &str| {
        let limits =
            r#"{"maxHeaderBytes":1,"maxBodyBytes":1,"headerTimeoutMs":1,"idleTimeoutMs":1}"#;
        let queue = r#"{"name":"q","host":"h","prefix":"/q/","timeoutMs":1,"stretch":2,"attempts":1,"service":"#;
        format!(
            r#"{{"version":{version},"limits":{limits},"services":[{{"name":"p"}}],
            "routes":[{queue}"{pool}"}}],"tenants":[{{"name":"a","keys":["secret"],"weight":{weight}}}]}}"#
        )
    };
    let in_force = Document::new("in-force", &text(3, 4, "p"));
    let next = Document::new("next", &text(4, 9, "p"));
    let command = [
        "config",
        "check-fleet",
        next.path(),
        "--in-force",
        in_force.path(),
    ];
    let shown = ok(&cluster, &command).await;
    assert!(shown.contains("change: team a weight 4 -> 9"), "{shown}");
    assert!(shown.contains("ok, 0 warnings, 1 changes"), "{shown}");
    let wrong = Document::new("wrong", &text(4, 4, "gone"));
    fails(
        &cluster,
        &["config", "check-fleet", wrong.path()],
        2,
        "1 errors",
    )
    .await;
    let undecodable = Document::new("undecodable", &text(4, -1, "p"));
    fails(
        &cluster,
        &["config", "check-fleet", undecodable.path()],
        2,
        "-1",
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn errors_say_what_to_do_next() {
    let cluster = cluster().await;
    let document = Document::new("bad", "zones: 3\n");
    fails(&cluster, &["config", "check", document.path()], 2, "zones").await;
    fails(
        &cluster,
        &["config", "apply", "no-such-file"],
        2,
        "no-such-file",
    )
    .await;
    let good = Document::new("good", &cluster.spec.deployment_yaml());
    fails(
        &cluster,
        &["config", "apply", good.path(), "--after", "9"],
        3,
        "configuration 1",
    )
    .await;
    fails(
        &cluster,
        &["preset", "switch", "--from", "peak", "--to", "ordinary"],
        3,
        "`ordinary` is in force",
    )
    .await;
    fails(
        &cluster,
        &["vm", "drain", "nothing"],
        3,
        "there is no VM `nothing`",
    )
    .await;
    fails(
        &cluster,
        &["vm", "return", "z1-parts-1"],
        3,
        "it has to be stopped",
    )
    .await;
    fails(
        &cluster,
        &["vm", "move", "z1-parts-1", "--to", "nowhere"],
        3,
        "no pool `nowhere`",
    )
    .await;
    fails(
        &cluster,
        &["wave", "pause", "nothing"],
        3,
        "there is no wave",
    )
    .await;
    let output = Command::new(CLI)
        .args(["status", "--daemons", "127.0.0.1:1"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(4));
}

#[test]
fn completions_name_the_commands() {
    for shell in ["bash", "zsh", "fish"] {
        let output = Command::new(CLI)
            .args(["completions", shell])
            .output()
            .unwrap();
        assert!(String::from_utf8_lossy(&output.stdout).contains("drain"));
    }
}
