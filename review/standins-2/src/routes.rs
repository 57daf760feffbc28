//! Configs that replace or remove the route of submissions that have not ended.

use std::time::Duration;

use serde_json::json;

use crate::daemons::{Answer, new_id};
use crate::{Deployment, Verdict, config, route};

/// `attempts` of the route.
const ATTEMPTS: usize = 3;
/// `finish_s`.
const FINISH: Duration = Duration::from_secs(14);

pub fn workers() -> Vec<(Vec<String>, u64, u64)> {
    let worker = |number: usize| {
        (
            vec!["a".to_owned(), format!("r1-{}", number / 4)],
            32_000,
            65_536,
        )
    };
    (0..9).map(worker).collect()
}

/// A route with a policy is replaced by one with another name: the same host and prefix, service and policy.
pub async fn play_renamed(deployment: &Deployment) -> Verdict {
    let Deployment {
        record,
        world,
        caller,
        platform,
        ..
    } = deployment;
    platform
        .store
        .put("op", "config", &config(9, &[route("r-1", "/q/", true)]));
    record.note("config 9: the route r-1 at /q/ has a policy");
    tokio::time::sleep(Duration::from_secs(4)).await;
    let step = json!({"count": 4, "cpu": 500, "memMb": 64, "estMs": 1500});
    let mut second = step.clone();
    second["after"] = json!([0]);
    let body = json!({"spec": "ms=1500 cpu=500 mem=64 ticket=1", "steps": [step, second]});
    let mut ids = Vec::new();
    for number in 0..4 {
        let id = new_id();
        let answer = caller.submit(&id, &body, number).await;
        record.note(&format!("POST {id}, two steps of 1.5 s: {answer:?}"));
        if answer == Answer::Accepted {
            ids.push(id);
        }
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    if ids.is_empty()
        || ids
            .iter()
            .any(|id| world.running_of(id).iter().sum::<usize>() == 0)
    {
        record.note("the first steps did not start");
        return Verdict::CouldNotRun;
    }
    let name = if deployment.has_trouble { "r-2" } else { "r-1" };
    platform
        .store
        .put("op", "config", &config(12, &[route(name, "/q/", true)]));
    record.note(&format!("config 12: the route at /q/ is {name}"));
    tokio::time::sleep(Duration::from_secs(6) + FINISH).await;
    let last = new_id();
    let answer = caller.submit(&last, &body, 0).await;
    record.note(&format!("POST {last}, the same: {answer:?}"));
    let mut has_run = vec![false; ids.len()];
    for _ in 0..80 {
        for (id, has_run) in ids.iter().zip(&mut has_run) {
            *has_run |= world.running_of(id).iter().sum::<usize>() > 0;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut lost = 0;
    for (id, has_run) in ids.iter().zip(has_run) {
        let state = caller.state(id, 0).await;
        let starts = world
            .starts()
            .iter()
            .filter(|start| start.task.starts_with(id))
            .count();
        record.note(&format!("GET {id}: {state}; {starts} of 8 subtasks were started; something of it ran in the last 4 s: {has_run}"));
        lost += usize::from(state != "done" && !has_run);
    }
    let state = caller.state(&last, 0).await;
    record.note(&format!(
        "GET {last}: {state}; starts refused for want of a ticket: {}; free cpu: {}",
        world.refused_tickets(),
        world.free_cpu()
    ));
    if state != "done" {
        return Verdict::CouldNotRun;
    }
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// A route is removed while a submission that can never be done runs.
pub async fn play_removed(deployment: &Deployment) -> Verdict {
    let Deployment {
        record,
        world,
        caller,
        platform,
        ..
    } = deployment;
    let id = new_id();
    let body = json!({
        "spec": "ms=800 cpu=500 mem=64 fails=1",
        "steps": [{"count": 1, "cpu": 500, "memMb": 64, "estMs": 800}],
    });
    let answer = caller.submit(&id, &body, 0).await;
    record.note(&format!("POST {id}, a subtask whose runs fail: {answer:?}"));
    if answer != Answer::Accepted {
        return Verdict::CouldNotRun;
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    let other = route("r-2", "/other/", false);
    let routes = if deployment.has_trouble {
        vec![other.clone()]
    } else {
        vec![route("r-1", "/q/", false), other.clone()]
    };
    platform.store.put("op", "config", &config(9, &routes));
    record.note(&format!("config 9 has {} routes", routes.len()));
    tokio::time::sleep(Duration::from_secs(20)).await;
    platform.store.put(
        "op",
        "config",
        &config(12, &[route("r-1", "/q/", false), other]),
    );
    record.note("config 12 has both routes");
    tokio::time::sleep(Duration::from_secs(4)).await;
    let mut runs = 0;
    for start in world
        .starts()
        .iter()
        .filter(|start| start.task.starts_with(&id))
    {
        runs += 1;
        let end = start
            .end
            .map(|(at, how)| format!("{how} at {:.3}", record.at(at)));
        record.note(&format!(
            "run {} on {} at {:.3}: {}",
            start.run,
            start.worker,
            record.at(start.at),
            end.unwrap_or_default()
        ));
    }
    record.note(&format!(
        "GET {id}: {}; {runs} runs, {ATTEMPTS} attempts",
        caller.state(&id, 0).await
    ));
    if runs > ATTEMPTS {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
