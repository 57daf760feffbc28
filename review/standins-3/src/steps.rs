//! One submission whose steps have no room for now, listed from large to small, before small submissions that have.

use std::path::PathBuf;
use std::time::Duration;

use serde_json::json;

use crate::record::Record;
use crate::stage::{Shape, Stage};

const EXECUTORS: u64 = 9;
const CPU: u64 = 32_000;
/// What lasts on each executor: 45% of it.
const LASTING_CPU: u64 = 14_400;
const STEPS: u64 = 30;
/// The ids of the small submissions begin so.
const SMALL: &str = "000000005a11";

pub async fn run(record: Record, program: PathBuf, folder: PathBuf, trouble: bool) -> u8 {
    let shape = Shape {
        daemons: 3,
        executors: EXECUTORS as usize,
        of_kind_b: 0,
        cpu: CPU,
        keys: None,
        upkeep: Duration::from_secs(2),
        id: |number| format!("i-{:08x}", 0x7f3a_91c2 + number),
        settings: Box::new(|yaml| yaml),
    };
    let Some(stage) = Stage::start(record.clone(), program, folder, shape).await else {
        return 2;
    };
    let lasting = json!({"spec": format!("lasting cpu={LASTING_CPU}"), "steps": [
        {"count": EXECUTORS, "cpu": LASTING_CPU, "memMb": 256, "estMs": 900, "longRunning": true, "maxPerServer": 1},
    ]});
    if !stage.submit(0, "/q/000000000000aaaa", &lasting, 5).await {
        return 2;
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    if stage.running("000000000000aaaa") as u64 != EXECUTORS {
        return 2;
    }
    // From 30 cores down to 18.4: more than the 17.6 that are free on each executor, and less than an executor has.
    let cpu = |step: u64| {
        if trouble {
            30_000 - 400 * step
        } else {
            300 - 4 * step
        }
    };
    let steps = (0..STEPS).map(|step| json!({"count": 1, "cpu": cpu(step), "memMb": 16, "estMs": 900, "longRunning": true}));
    let body = json!({"spec": "lasting cpu=200", "steps": steps.collect::<Vec<_>>()});
    if !stage.submit(1, "/q/000000000000bbbb", &body, 5).await {
        return 2;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut accepted = Vec::new();
    for number in 0..20usize {
        let path = format!("/q/{SMALL}{number:04x}");
        let body = json!({"spec": "work=300 cpu=500", "steps": [{"count": 2, "cpu": 500, "memMb": 16, "estMs": 300}]});
        if stage.submit(number, &path, &body, 2).await {
            accepted.push(path);
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    if accepted.is_empty() {
        return 2;
    }
    // `finish_s`, of which the last 3 s are watched.
    tokio::time::sleep(Duration::from_secs(11)).await;
    let (running, used) = stage.watch(SMALL, Duration::from_secs(3)).await;
    let mut missing = 0;
    for path in &accepted {
        missing += usize::from(stage.state(path).await != "done");
    }
    let all = EXECUTORS * CPU;
    record.say(&format!(
        "{missing} of {} accepted small submissions are not done 14 s after the last was handed in, and for 3 s {running} of their \
         subtasks run; at most {used} of {all} thousandths of a core are in use",
        accepted.len()
    ));
    u8::from(missing > 0 && running == 0 && used * 2 < all)
}
