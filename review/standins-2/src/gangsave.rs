//! A gang that checkpoints its progress, and the upkeep of the machine of one of its members.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::daemons::{Answer, new_id};
use crate::{Deployment, Verdict};

const WORKERS: usize = 9;
const MEMBERS: usize = 4;
/// The time that a gang works.
const GANG_MS: u64 = 8000;
/// `stableWindowMs`.
const STABLE: Duration = Duration::from_millis(3000);
/// How long the gang is watched after the wave.
const WATCH: Duration = Duration::from_secs(45);

pub fn workers() -> Vec<(Vec<String>, u64, u64)> {
    (0..WORKERS)
        .map(|number| {
            (
                vec!["a".to_owned(), format!("r1-{}", number / 4)],
                32_000,
                65_536,
            )
        })
        .collect()
}

pub async fn play(deployment: &Deployment) -> Verdict {
    let Deployment {
        record,
        world,
        caller,
        platform,
        ..
    } = deployment;
    let gang = new_id();
    let body = json!({
        "spec": format!("ms={GANG_MS} cpu=2000 mem=256 gang={MEMBERS} saves=1"),
        "steps": [{"count": MEMBERS, "cpu": 2000, "memMb": 256, "estMs": GANG_MS, "gang": true, "checkpoint": true, "maxPerServer": 1}],
    });
    let answer = caller.submit(&gang, &body, 0).await;
    record.note(&format!(
        "POST {gang}, a gang of {MEMBERS} that checkpoints: {answer:?}"
    ));
    if answer != Answer::Accepted {
        return Verdict::CouldNotRun;
    }
    tokio::time::sleep(Duration::from_millis(3500)).await;
    let running = world.running_of(&gang);
    let Some(member) = running.iter().position(|count| *count > 0) else {
        record.note("the gang did not start");
        return Verdict::CouldNotRun;
    };
    let mut calm_from = Instant::now();
    if deployment.has_trouble {
        let wave =
            json!({"wave": 1, "machines": [world.machine(member)], "deadlineS": 20, "cap": 1});
        platform.store.put("op", "wave/1", &wave);
        record.note(&format!("a wave is requested: {wave}"));
        let is_done = || {
            platform
                .store
                .get("status", "wave/1")
                .is_some_and(|status| status["state"] == "done")
        };
        for _ in 0..300 {
            if is_done() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        if !is_done() {
            record.note("the wave was not done in time");
            return Verdict::CouldNotRun;
        }
        record.note("the wave is shown as done");
        // The upkeep takes 2 s.
        tokio::time::sleep(Duration::from_secs(2)).await;
        calm_from = Instant::now() + STABLE;
    }
    let mut state = String::new();
    let until = Instant::now() + WATCH;
    while Instant::now() < until {
        state = caller.state(&gang, 1).await;
        if state == "done" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    record.note(&format!("GET {gang}: {state}"));
    let mut values: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
    let mut alone = 0;
    for start in world
        .starts()
        .iter()
        .filter(|start| start.task.starts_with(&gang))
    {
        values
            .entry(start.run)
            .or_default()
            .insert(start.carried.clone());
        let end = start
            .end
            .map(|(at, how)| format!("{how} at {:.3}", record.at(at)));
        alone += usize::from(
            start
                .end
                .is_some_and(|(at, how)| how == "alone" && at > calm_from),
        );
        record.note(&format!(
            "run {} of {} on {} at {:.3} with checkpointData \"{}\": {}",
            start.run,
            start.task,
            start.worker,
            record.at(start.at),
            start.carried,
            end.unwrap_or_default()
        ));
    }
    let mixed: Vec<_> = values
        .iter()
        .filter(|(_, values)| values.len() > 1)
        .map(|(run, _)| *run)
        .collect();
    record.note(&format!(
        "runs whose members were started with different values: {mixed:?}"
    ));
    record.note(&format!(
        "ends `alone` later than {STABLE:?} after the upkeep: {alone}"
    ));
    if alone > 0 && !mixed.is_empty() {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
