//! A wave of upkeep over all machines.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::record::Record;
use crate::stage::{Shape, Stage};

const MACHINES: usize = 8;
const CAP: usize = 2;

fn executor_id(number: usize) -> String {
    format!("i-{:08x}", 0x7f3a_91c2 + number)
}

async fn start(record: &Record, program: PathBuf, folder: PathBuf, upkeep_s: u64) -> Option<Stage> {
    let shape = Shape {
        daemons: 3,
        executors: MACHINES,
        of_kind_b: 0,
        cpu: 32_000,
        upkeep: Duration::from_secs(upkeep_s),
        id: executor_id,
        settings: Box::new(move |yaml| {
            yaml.replace("maintenance_s: 0.4", &format!("maintenance_s: {upkeep_s}"))
        }),
    };
    let stage = Stage::start(record.clone(), program, folder, shape).await?;
    let machines: Vec<String> = stage
        .executors
        .iter()
        .map(|executor| executor.machine.clone())
        .collect();
    stage.store.put(
        "op",
        "wave/1",
        &json!({"wave": 1, "machines": machines, "deadlineS": 60, "cap": CAP}),
    );
    Some(stage)
}

/// The control of the machines is unavailable for a while: what stands before it answers 504.
pub async fn unavailable(record: Record, program: PathBuf, folder: PathBuf, trouble: bool) -> u8 {
    let Some(stage) = start(&record, program, folder, 2).await else {
        return 2;
    };
    if trouble {
        stage.vms.be_unavailable(504, Duration::from_secs(4));
    }
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(80) {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let status = stage.store.get("status", "wave/1");
        if status
            .as_ref()
            .is_some_and(|status| status["state"] == "done")
        {
            let missing = stage.vms.without_upkeep();
            record.say(&format!(
                "status/wave/1 is {} after {:?}; machines without an upkeep: {missing:?}",
                status.unwrap_or_default(),
                started_at.elapsed()
            ));
            return u8::from(!missing.is_empty());
        }
    }
    2
}

/// The leader's process is killed while machines are down.
pub async fn leader(record: Record, program: PathBuf, folder: PathBuf, trouble: bool) -> u8 {
    let Some(mut stage) = start(&record, program, folder, 8).await else {
        return 2;
    };
    let started_at = Instant::now();
    let mut is_struck = false;
    while started_at.elapsed() < Duration::from_secs(80) {
        tokio::time::sleep(Duration::from_millis(50)).await;
        if trouble && !is_struck && stage.vms.most_down() == CAP {
            is_struck = true;
            tokio::time::sleep(Duration::from_millis(500)).await;
            if let Some(leader) = stage.owner("fleet") {
                record.say(&format!("kill the leader d{leader}"));
                stage.members[leader].process = None;
                tokio::time::sleep(Duration::from_secs(1)).await;
                stage.start_daemon(leader);
            }
        }
        if stage
            .store
            .get("status", "wave/1")
            .is_some_and(|status| status["state"] == "done")
        {
            break;
        }
    }
    record.say(&format!(
        "most machines down {} cap {CAP}",
        stage.vms.most_down()
    ));
    u8::from(stage.vms.most_down() > CAP)
}
