//! Waves of upkeep over all machines.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::record::Record;
use crate::stage::{Shape, Stage};

const MACHINES: usize = 8;
const CAP: usize = 2;
const DEADLINE_S: u64 = 60;

async fn start(record: &Record, program: PathBuf, folder: PathBuf, upkeep_s: u64) -> Option<Stage> {
    let shape = Shape {
        daemons: 3,
        executors: MACHINES,
        of_kind_b: 0,
        cpu: 32_000,
        keys: None,
        upkeep: Duration::from_secs(upkeep_s),
        id: |number| format!("i-{:08x}", 0x7f3a_91c2 + number),
        settings: Box::new(move |yaml| {
            yaml.replace("maintenance_s: 0.4", &format!("maintenance_s: {upkeep_s}"))
        }),
    };
    Stage::start(record.clone(), program, folder, shape).await
}

fn request_wave(stage: &Stage) {
    let machines = stage
        .executors
        .iter()
        .map(|executor| executor.machine.clone());
    let machines: Vec<_> = machines.collect();
    let wave = json!({"wave": 1, "machines": machines, "deadlineS": DEADLINE_S, "cap": CAP});
    stage.record.line(&format!("op/wave/1: {wave}"));
    stage.store.put("op", "wave/1", &wave);
}

fn is_done(stage: &Stage) -> bool {
    let status = stage.store.get("status", "wave/1");
    status.is_some_and(|status| status["state"] == "done")
}

/// The status that the control answers with while it is unavailable, `STATUS` or 504.
fn status() -> u16 {
    let status = std::env::var("STATUS").ok();
    status.and_then(|status| status.parse().ok()).unwrap_or(504)
}

/// The control of the machines is unavailable for a while: its orders have no effect.
pub async fn unavailable(record: Record, program: PathBuf, folder: PathBuf, trouble: bool) -> u8 {
    let Some(stage) = start(&record, program, folder, 2).await else {
        return 2;
    };
    if trouble {
        stage.vms.be_unavailable(status(), Duration::from_secs(4));
    }
    request_wave(&stage);
    let requested_at = Instant::now();
    while requested_at.elapsed() < Duration::from_secs(DEADLINE_S) {
        tokio::time::sleep(Duration::from_millis(50)).await;
        if is_done(&stage) {
            let missing = stage.vms.without_upkeep();
            record.say(&format!(
                "status/wave/1 is `done` {:?} after the request; machines that have not begun their upkeep: {missing:?}",
                requested_at.elapsed()
            ));
            // Whether they begin it later.
            tokio::time::sleep(Duration::from_secs(15)).await;
            record.say(&format!("15 s later: {:?}", stage.vms.without_upkeep()));
            return u8::from(!missing.is_empty());
        }
    }
    record.say("the wave is not done in time");
    0
}

/// The leader's process is killed while `cap` machines are down for their upkeep.
pub async fn leader(record: Record, program: PathBuf, folder: PathBuf, trouble: bool) -> u8 {
    let Some(mut stage) = start(&record, program, folder, 8).await else {
        return 2;
    };
    request_wave(&stage);
    let requested_at = Instant::now();
    let mut is_struck = !trouble;
    while requested_at.elapsed() < Duration::from_secs(DEADLINE_S) && !is_done(&stage) {
        tokio::time::sleep(Duration::from_millis(50)).await;
        if !is_struck && stage.vms.most_down() == CAP {
            is_struck = true;
            tokio::time::sleep(Duration::from_millis(500)).await;
            let Some(leader) = stage.owner("fleet") else {
                return 2;
            };
            record.say(&format!("SIGKILL to the leader, d{leader}"));
            stage.members[leader].process = None;
            tokio::time::sleep(Duration::from_secs(1)).await;
            stage.start_daemon(leader);
        }
    }
    let most_down = stage.vms.most_down();
    record.say(&format!("at most {most_down} machines of the wave were down for their upkeep at a time; `cap` is {CAP}"));
    u8::from(most_down > CAP)
}
