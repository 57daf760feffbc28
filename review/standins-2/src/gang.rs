//! A gang whose executors are cut off for a while and run on. It ends behind the cut.

use std::time::Duration;

use serde_json::{Value, json};

use crate::daemons::{Answer, new_id};
use crate::{Deployment, Verdict};

/// The executors, and how many of them are cut off: 0.167, below the share of 0.17 that the site names.
const WORKERS: usize = 48;
const CUT: usize = 8;

/// The time that the gang works.
const GANG_MS: u64 = 1300;

/// How long the cut lasts; the site names 5.5 s.
const CUT_MS: u64 = 5300;

/// The number of ordinary submissions, one each 70 ms.
const LOAD: usize = 100;

/// `finish_s`.
const FINISH: Duration = Duration::from_secs(14);

pub fn workers() -> Vec<(Vec<String>, u64, u64)> {
    let worker = |number: usize| {
        // The label is that of the executors of one rack pair, so that the gang runs there.
        let kind = if number < CUT { "b" } else { "a" };
        (
            vec![kind.to_owned(), format!("r1-{}", number / 4)],
            32_000,
            65_536,
        )
    };
    (0..WORKERS).map(worker).collect()
}

pub async fn play(deployment: &Deployment) -> Verdict {
    let Deployment { record, caller, .. } = deployment;
    let plain = json!({"spec": "ms=300 cpu=500 mem=64", "steps": [{"count": 4, "cpu": 500, "memMb": 64, "estMs": 300, "requires": "b"}]});
    let first = new_id();
    let answer = caller.submit(&first, &plain, 0).await;
    record.note(&format!(
        "POST {first}, one step on executors with the label b: {answer:?}"
    ));
    // Ordinary work on the same executors, so that their polls are not in step.
    let load = async {
        let mut ids = Vec::new();
        for number in 0..LOAD {
            let ms = 120 + 97 * (number % 7);
            let spec = format!("ms={ms} cpu=500 mem=64");
            let step = json!({"count": 2, "cpu": 500, "memMb": 64, "estMs": ms, "maxPerServer": 1, "requires": "b"});
            let id = new_id();
            if caller
                .submit(&id, &json!({"spec": spec, "steps": [step]}), number)
                .await
                == Answer::Accepted
            {
                ids.push(id);
            }
            tokio::time::sleep(Duration::from_millis(70)).await;
        }
        ids
    };
    let (ids, outcome) = tokio::join!(load, play_gang(deployment));
    let Some(gang) = outcome else {
        return Verdict::CouldNotRun;
    };
    record.note(&format!(
        "{} of {LOAD} ordinary submissions were accepted",
        ids.len()
    ));
    check(deployment, &plain, &first, &gang, &ids).await
}

/// Plays the gang and the cut. Returns the gang's id.
async fn play_gang(deployment: &Deployment) -> Option<String> {
    let Deployment {
        record,
        world,
        caller,
        ..
    } = deployment;
    tokio::time::sleep(Duration::from_millis(1000)).await;
    let gang = new_id();
    let body = json!({
        "spec": format!("ms={GANG_MS} cpu=2000 mem=256 gang={CUT}"),
        "steps": [{"count": CUT, "cpu": 2000, "memMb": 256, "estMs": GANG_MS, "gang": true, "maxPerServer": 1, "requires": "b"}],
    });
    let answer = caller.submit(&gang, &body, 1).await;
    record.note(&format!("POST {gang}, a gang of {CUT}: {answer:?}"));
    if answer != Answer::Accepted {
        return None;
    }
    let step = format!("{gang}.0.0");
    for _ in 0..400 {
        if world.has_gang_begun(&step) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    if !world.has_gang_begun(&step) {
        record.note("the gang did not begin");
        return None;
    }
    record.note("all members of the gang are at work");
    tokio::time::sleep(Duration::from_millis(600)).await;
    if deployment.has_trouble {
        (0..CUT).for_each(|worker| world.cut(worker, true));
        record.note(&format!(
            "{CUT} of {WORKERS} executors are cut off from the daemons"
        ));
    }
    let cut_ms = std::env::var("CUT_MS")
        .ok()
        .and_then(|ms| ms.parse().ok())
        .unwrap_or(CUT_MS);
    tokio::time::sleep(Duration::from_millis(cut_ms)).await;
    if deployment.has_trouble {
        (0..CUT).for_each(|worker| world.cut(worker, false));
        record.note(&format!("the cut is over after {cut_ms} ms"));
    }
    Some(gang)
}

/// Asks for the submissions `finish_s` after the end of the traffic.
async fn check(
    deployment: &Deployment,
    plain: &Value,
    first: &str,
    gang: &str,
    ids: &[String],
) -> Verdict {
    let Deployment {
        record,
        world,
        caller,
        ..
    } = deployment;
    // The rule asks `finish_s` after the end of the traffic; the cut is long over by then.
    tokio::time::sleep(FINISH + Duration::from_secs(3)).await;
    let last = new_id();
    let answer = caller.submit(&last, plain, 2).await;
    record.note(&format!(
        "POST {last}, one step on executors with the label b: {answer:?}"
    ));
    let mut is_idle = true;
    let mut states = Vec::new();
    for look in 0..12 {
        states.push(caller.state(gang, look).await);
        is_idle &= world.running_of(gang).iter().sum::<usize>() == 0;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let free = world.free_cpu();
    record.note(&format!(
        "GET {gang} for 3.6 s: {states:?}; nothing of it runs: {is_idle}; free cpu: {free}"
    ));
    let first_state = caller.state(first, 0).await;
    let last_state = caller.state(&last, 0).await;
    record.note(&format!(
        "GET {first}: {first_state}; GET {last}: {last_state}"
    ));
    let mut done = 0;
    for id in ids {
        done += usize::from(caller.state(id, 0).await == "done");
    }
    record.note(&format!(
        "{done} of the {} ordinary submissions are done",
        ids.len()
    ));
    for start in world
        .starts()
        .iter()
        .filter(|start| start.task.starts_with(gang))
    {
        let end = start
            .end
            .map(|(at, how)| format!("{how} at {:.3}", record.at(at)));
        record.note(&format!(
            "run {} of {} on {} at {:.3}: {}",
            start.run,
            start.task,
            start.worker,
            record.at(start.at),
            end.unwrap_or_default()
        ));
    }
    if first_state != "done" || last_state != "done" {
        return Verdict::CouldNotRun;
    }
    let is_lost = is_idle && states.iter().all(|state| state != "done");
    if is_lost {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
