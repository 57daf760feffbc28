//! Subtasks that crash each executor that starts them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;

use crate::daemons::{Answer, new_id};
use crate::{Deployment, Verdict};

const WORKERS: usize = 24;
/// The submissions, each for the one executor of a kind.
const SUBMISSIONS: usize = 5;
/// How often a subtask may be started after three executors have crashed under it.
const MORE: usize = 2;

pub fn workers() -> Vec<(Vec<String>, u64, u64)> {
    let kind = |number: usize| {
        if number < SUBMISSIONS {
            format!("k{number}")
        } else {
            "a".to_owned()
        }
    };
    let worker = |number: usize| {
        (
            vec![kind(number), format!("r1-{}", number / 4)],
            32_000,
            65_536,
        )
    };
    (0..WORKERS).map(worker).collect()
}

pub async fn play(deployment: &Deployment) -> Verdict {
    let Deployment {
        record,
        world,
        caller,
        ..
    } = deployment;
    let deadly = if deployment.has_trouble {
        " deadly=1"
    } else {
        ""
    };
    let mut ids = Vec::new();
    for number in 0..SUBMISSIONS {
        let id = new_id();
        let body = json!({
            "spec": format!("ms=800 cpu=500 mem=64{deadly}"),
            "steps": [{"count": 1, "cpu": 500, "memMb": 64, "estMs": 800, "requires": format!("k{number}")}],
        });
        let answer = caller.submit(&id, &body, number).await;
        record.note(&format!(
            "POST {id}, a subtask on the executor with the label k{number}{deadly}: {answer:?}"
        ));
        if answer != Answer::Accepted {
            return Verdict::CouldNotRun;
        }
        ids.push(id);
        tokio::time::sleep(Duration::from_millis(4000)).await;
    }
    let mut states = BTreeMap::new();
    for _ in 0..40 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        states.clear();
        for id in &ids {
            *states.entry(caller.state(id, 0).await).or_insert(0) += 1;
        }
        if !states.contains_key("running") && !states.contains_key("queued") {
            break;
        }
    }
    record.note(&format!("GET of all: {states:?}"));
    let starts = world.starts();
    let mut most = 0;
    for id in &ids {
        let mut crashes = 0;
        let mut more = 0;
        let mut runs = Vec::new();
        for start in starts.iter().filter(|start| start.task.starts_with(id)) {
            more += usize::from(crashes >= 3);
            crashes += usize::from(start.end.is_some_and(|(_, how)| how == "crashed"));
            let end = start
                .end
                .map(|(at, how)| format!("{how} at {:.3}", record.at(at)));
            runs.push(format!(
                "run {} on {} at {:.3} {}",
                start.run,
                start.worker,
                record.at(start.at),
                end.unwrap_or_default()
            ));
        }
        most = most.max(more);
        record.note(&format!(
            "{id}: {crashes} executors crashed under it, {more} starts after the third: {}",
            runs.join(", ")
        ));
    }
    record.note(&format!(
        "at most {most} starts after three crashes; {MORE} are allowed"
    ));
    if most > MORE {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
