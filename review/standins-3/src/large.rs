//! One large submission that lasts, on executors whose ids have 36 characters, beside small ones that are scheduled.

use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;

use crate::record::Record;
use crate::stage::{Shape, Stage};

const LARGE: &str = "00000000000a11ce";
const SUBTASKS: u64 = 1400;
const EXECUTORS: usize = 9;
const CPU: u64 = 32_000;
/// The ids of the small submissions begin so.
const SMALL: &str = "000000005ca1";

/// An id as in RFC 9562.
fn uuid(number: usize) -> String {
    let word = |factor: u64| (number as u64 + 1).wrapping_mul(factor);
    let (a, b) = (word(0x9e37_79b9_7f4a_7c15), word(0xd1b5_4a32_d192_ed03));
    format!(
        "{:08x}-{:04x}-4{:03x}-a{:03x}-{:012x}",
        a >> 32,
        a & 0xffff,
        b >> 52,
        (b >> 40) & 0xfff,
        b & 0xffff_ffff_ffff
    )
}

pub async fn run(record: Record, program: PathBuf, folder: PathBuf, trouble: bool) -> u8 {
    let shape = Shape {
        daemons: 3,
        executors: EXECUTORS,
        of_kind_b: 0,
        cpu: CPU,
        upkeep: Duration::from_secs(2),
        id: uuid,
        settings: Box::new(|yaml| yaml),
    };
    let Some(stage) = Stage::start(record.clone(), program, folder, shape).await else {
        return 2;
    };
    // Each small submission has 12 occurrences, one each 2 s, of two subtasks that work 0.3 s.
    let now_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_millis();
    let start_ms = u64::try_from(now_ms).unwrap_or(0) + 2000;
    let mut small = Vec::new();
    for number in 0..4usize {
        let path = format!("/q/{SMALL}{number:04x}");
        let body = json!({
            "spec": "work=300 cpu=500", "times": 12, "startAtMs": start_ms, "intervalMs": 2000,
            "steps": [{"count": 2, "cpu": 500, "memMb": 16, "estMs": 300}],
        });
        if !stage.submit(number, &path, &body, 5).await {
            return 2;
        }
        small.push(path);
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let count = if trouble { SUBTASKS } else { 5 };
    let body = json!({
        "spec": "lasting cpu=50",
        "steps": [{"count": count, "cpu": 50, "memMb": 16, "estMs": 900, "longRunning": true}],
    });
    if !stage.submit(0, &format!("/q/{LARGE}"), &body, 5).await {
        return 2;
    }
    // The last occurrences are due 19 s from now at the latest, and submissions are asked for `finish_s`, 14 s, later.
    for _ in 0..37 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let owner = stage.owner("work");
        record.line(&format!("{} of {count} subtasks of the large submission run; the owner of the pool is {owner:?}", stage.running(LARGE)));
    }
    let (small_running, used) = stage.watch(SMALL, Duration::from_secs(3)).await;
    let large_running = stage.running(LARGE);
    let mut missing = 0;
    for path in &small {
        missing += usize::from(stage.state(path).await != "done");
    }
    let all = CPU * EXECUTORS as u64;
    record.say(&format!(
        "{missing} of {} small submissions are not done, and for 3 s {small_running} of their subtasks run; {large_running} of {count} \
         subtasks of the large one run; at most {used} of {all} thousandths of a core are in use",
        small.len()
    ));
    let is_lost = (missing > 0 && small_running == 0) || (large_running as u64) < count;
    u8::from(is_lost && used * 2 < all)
}
