//! A gang that checkpoints its progress, and planned upkeep of one of its machines.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::record::Record;
use crate::stage::{Shape, Stage};

const GANG: &str = "/q/000000000009a000";
const SIZE: u64 = 4;
const EXECUTORS: usize = 6;
const CPU: u64 = 4000;
const WORK_MS: u64 = 8000;
/// `stableWindowMs` twice over: the disturbance isn't near any more.
const SETTLED: Duration = Duration::from_secs(6);

pub async fn run(record: Record, program: PathBuf, folder: PathBuf, trouble: bool) -> u8 {
    let shape = Shape {
        daemons: 3,
        executors: EXECUTORS,
        of_kind_b: 0,
        cpu: CPU,
        upkeep: Duration::from_secs(2),
        id: |number| format!("i-{:08x}", 0x7f3a_91c2 + number),
        settings: Box::new(|yaml| yaml.replace("maintenance_s: 0.4", "maintenance_s: 2")),
    };
    let Some(stage) = Stage::start(record.clone(), program, folder, shape).await else {
        return 2;
    };
    // No two members fit on one executor.
    let body = json!({"spec": format!("work={WORK_MS} cpu=3000 gang={SIZE}"), "steps": [
        {"count": SIZE, "cpu": 3000, "memMb": 256, "estMs": WORK_MS, "gang": true, "checkpoint": true},
    ]});
    if !stage.submit(0, GANG, &body, 5).await {
        return 2;
    }
    tokio::time::sleep(Duration::from_millis(3500)).await;
    let busy = stage
        .executors
        .iter()
        .find(|executor| !executor.running().is_empty());
    let Some(machine) = busy.map(|executor| executor.machine.clone()) else {
        return 2;
    };
    let asked_at = Instant::now();
    let mut settled_from = asked_at;
    if trouble {
        record.say(&format!("{machine} is due for upkeep"));
        stage.store.put(
            "op",
            "wave/1",
            &json!({"wave": 1, "machines": [machine], "deadlineS": 26, "cap": 1}),
        );
        while stage
            .store
            .get("status", "wave/1")
            .is_none_or(|status| status["state"] != "done")
        {
            if asked_at.elapsed() > Duration::from_secs(26) {
                return 2;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        // `done` is said when the last upkeep has begun.
        settled_from = Instant::now() + Duration::from_secs(2) + SETTLED;
    }
    let mut state = String::new();
    let mut alone_before = None;
    while asked_at.elapsed() < Duration::from_secs(60) && state != "done" {
        tokio::time::sleep(Duration::from_millis(500)).await;
        state = stage.state(GANG).await;
        if Instant::now() >= settled_from {
            alone_before.get_or_insert_with(|| record.matching(" alone ").len());
        }
    }
    let alone = record.matching(" alone ").len();
    let alone = alone - alone_before.unwrap_or(alone);
    record.say(&format!(
        "the gang is {state:?} {:?} after the start of the trouble; {alone} runs ended `alone` later than 6 s after the end of the upkeep; \
         {} of {} thousandths of a core are in use",
        asked_at.elapsed(),
        stage.used(),
        CPU * EXECUTORS as u64
    ));
    u8::from(alone > 0)
}
