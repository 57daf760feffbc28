//! A subtask that works for minutes, on executors that report its percent in whole numbers.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::record::Record;
use crate::stage::{Shape, Stage};

const LONG: &str = "/q/000000000010a900";
const EXECUTORS: u64 = 6;
const CPU: u64 = 16_000;
const FINISH: Duration = Duration::from_secs(14);

pub async fn run(record: Record, program: PathBuf, folder: PathBuf, trouble: bool) -> u8 {
    let shape = Shape {
        daemons: 3,
        executors: EXECUTORS as usize,
        of_kind_b: 2,
        cpu: CPU,
        keys: None,
        upkeep: Duration::from_secs(2),
        id: |number| format!("i-{:08x}", 0x7f3a_91c2 + number),
        settings: Box::new(|yaml| yaml),
    };
    let Some(stage) = Stage::start(record.clone(), program, folder, shape).await else {
        return 2;
    };
    let work_ms = if trouble { 240_000 } else { 24_000 };
    let body = json!({"spec": format!("work={work_ms} cpu=2000"), "steps": [
        {"count": 1, "cpu": 2000, "memMb": 256, "estMs": work_ms, "requires": "b"},
    ]});
    if !stage.submit(0, LONG, &body, 5).await {
        return 2;
    }
    let accepted_at = Instant::now();
    let mut state = String::new();
    let mut since: Option<Instant> = None;
    let mut longest = Duration::ZERO;
    let mut most_used = 0;
    while accepted_at.elapsed() < Duration::from_secs(75) {
        tokio::time::sleep(Duration::from_millis(20)).await;
        if accepted_at.elapsed() < FINISH {
            continue;
        }
        let running: Vec<_> = stage
            .executors
            .iter()
            .flat_map(|executor| executor.running())
            .collect();
        most_used = most_used.max(running.iter().map(|running| running.cpu).sum());
        if running.is_empty() {
            let began = *since.get_or_insert_with(Instant::now);
            longest = longest.max(began.elapsed());
            if longest > Duration::from_secs(1) && began.elapsed().as_millis() % 1000 < 25 {
                state = stage.state(LONG).await;
                if state == "done" {
                    longest = Duration::ZERO;
                    break;
                }
            }
        } else {
            since = None;
        }
    }
    let starts = record.matching("start 000000000010a900").len();
    let stopped = record.matching(" stopped on ").len();
    if state != "done" {
        state = stage.state(LONG).await
    }
    record.say(&format!("the submission is {state:?} after {:?}; {starts} starts, {stopped} stopped by the system; nothing ran for {longest:?} on end later than {FINISH:?} after it was accepted, while at most {most_used} of {} thousandths of a core were in use", accepted_at.elapsed(), EXECUTORS * CPU));
    u8::from(state != "done" && longest >= Duration::from_secs(3))
}
