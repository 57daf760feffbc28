//! The cases, by name.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Value, json};

use crate::platform::{CLOUD_MS, Consumer, Daemon, Platform, STANDBY, route};
use crate::{Stage, Verdict};

/// The bounds of the small deployments, in seconds or ms as on the pages.
const FINISH_S: u64 = 14;
const CONFIG_APPLY_MS: u64 = 2000;
const VISIBLE_MS: u64 = 3000;
const STABLE_MS: u64 = 3000;

pub async fn run(name: &str, stage: Stage) -> Verdict {
    let verdict = match name {
        "wide" => wide(&stage).await,
        "moved-queue" => moved_queue(&stage, false).await,
        "replaced-queue" => moved_queue(&stage, true).await,
        "advice" => advice(&stage).await,
        "slow-advice" => slow_advice(&stage).await,
        "dropped-advice" => dropped_advice(&stage).await,
        "dropped-attempts" => dropped_attempts(&stage).await,
        "moved-pending" => moved_pending(&stage).await,
        "held" => held(&stage, true).await,
        "given-up" => held(&stage, false).await,
        "slow-upkeep" => slow_upkeep(&stage).await,
        "slow-control-and-cut" => slow_control_and_cut(&stage).await,
        "slow-control" => slow_control(&stage).await,
        _ => None,
    };
    verdict.unwrap_or(Verdict::CouldNotRun)
}

fn verdict(is_broken: bool) -> Option<Verdict> {
    Some(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Starts daemons, and waits until each is ready and all pools have owners.
async fn start_daemons(stage: &Stage, platform: &Platform, names: &[&str]) -> Option<Vec<Daemon>> {
    let start = |name: &&str| Daemon::start(name, platform, &stage.folder, stage.record.clone());
    let mut daemons: Vec<_> = names.iter().map(start).collect();
    for daemon in &mut daemons {
        if !daemon.wait_until_ready().await {
            stage
                .record
                .line(&format!("{} does not get ready", daemon.name));
            return None;
        }
    }
    sleep_ms(4000).await;
    Some(daemons)
}

fn step(count: u32, cpu: u32, est_ms: u64) -> Value {
    json!({"count": count, "cpu": cpu, "memMb": 10, "estMs": est_ms})
}

fn body(spec: &str, steps: Vec<Value>) -> Value {
    json!({"spec": spec, "steps": steps})
}

/// Writes what was started, in the order of the starts.
fn record_runs(platform: &Platform, most: usize) {
    let runs = platform.log.runs.lock().unwrap().clone();
    for run in runs.iter().take(most) {
        let ended = run
            .ended
            .map_or("runs".to_owned(), |(at, how)| format!("{how} at {at}"));
        let noted = run
            .noted_ms
            .map_or(String::new(), |at| format!(", taken note of at {at}"));
        platform.record.line(&format!(
            "run: {} run {} on {} of {}: started at {}, {ended}{noted}",
            run.task, run.run, run.executor, run.service, run.started_ms
        ));
    }
    if runs.len() > most {
        platform
            .record
            .line(&format!("run: {} more", runs.len() - most));
    }
}

/// Hands a submission in, with four retries as consumers have them.
async fn submit(
    platform: &Platform,
    consumer: &Consumer,
    daemon: &Daemon,
    path: &str,
    body: &Value,
) -> Option<u16> {
    let id = path.rsplit('/').next().unwrap_or("");
    platform.declare(id, body);
    let mut status = None;
    for _ in 0..5 {
        let answer = consumer
            .send(daemon.front, "POST", path, &body.to_string())
            .await;
        status = answer.ok().map(|(status, _)| status);
        if status.is_some_and(|status| status < 429) {
            break;
        }
        sleep_ms(500).await;
    }
    status
}

/// Asks for the state of a submission until it is `done`, for 10 s at most.
async fn wait_until_done(consumer: &Consumer, daemon: &Daemon, path: &str) -> bool {
    for _ in 0..20 {
        if consumer.state(daemon.front, path).await.as_deref() == Some("done") {
            return true;
        }
        sleep_ms(500).await;
    }
    false
}

/// Watches submissions, or subtasks that last, for `for_ms`. Returns those of which, for 3 s, nothing ran, while there was
/// capacity for a subtask twice over on executors that may run it, and less than half of the service's capacity was in use.
async fn starved(platform: &Platform, service: &str, ids: &[String], for_ms: u64) -> Vec<String> {
    let start_ms = platform.record.now_ms();
    let mut since: BTreeMap<&String, u64> = BTreeMap::new();
    let mut found: Vec<String> = Vec::new();
    while platform.record.now_ms() < start_ms + for_ms {
        sleep_ms(50).await;
        let now_ms = platform.record.now_ms();
        let runs = platform.log.runs.lock().unwrap().clone();
        let running: Vec<_> = runs
            .iter()
            .filter(|run| run.ended.is_none() && run.service == service)
            .collect();
        for id in ids {
            let runs = running
                .iter()
                .any(|run| run.task == *id || run.task.starts_with(&format!("{id}.")));
            if runs
                || platform.is_half_used(service, &running)
                || platform.slots(service, id, &running) < 2
            {
                since.remove(id);
            } else if now_ms - *since.entry(id).or_insert(now_ms) >= 3000 && !found.contains(id) {
                found.push(id.clone());
            }
        }
    }
    found
}

/// One submission with many subtasks that last, beside small ones of other consumers.
async fn wide(stage: &Stage) -> Option<Verdict> {
    let platform =
        Platform::start(stage.record.clone(), &[("work", 12, 32_000, 65_536)], true).await;
    platform.configure(3, &[route("r-1", "/q/", "work", 3)], &["work"]);
    let mut daemons = start_daemons(stage, &platform, &["edge-1", "edge-2", "edge-3"]).await?;
    let consumer = Consumer {
        record: stage.record.clone(),
    };
    let small = body("ms=800", vec![step(2, 1000, 800)]);
    for number in 0..3 {
        let path = format!("/q/{:016x}", 0x5a11_0000 + number);
        if submit(&platform, &consumer, &daemons[number], &path, &small).await != Some(200) {
            return None;
        }
    }
    sleep_ms(3000).await;
    for number in 0..3 {
        let path = format!("/q/{:016x}", 0x5a11_0000 + number);
        if !wait_until_done(&consumer, &daemons[number], &path).await {
            return None;
        }
    }
    let count = if stage.has_trouble { 1300 } else { 24 };
    let mut lasting = step(count, 100, 900);
    lasting["longRunning"] = json!(true);
    let path = format!("/q/{:016x}", 0x1a57);
    if submit(
        &platform,
        &consumer,
        &daemons[0],
        &path,
        &body("lasts", vec![lasting]),
    )
    .await
        != Some(200)
    {
        return None;
    }
    let mut accepted = Vec::new();
    for number in 0..12 {
        sleep_ms(1000).await;
        let id = format!("{:016x}", 0xabc_0000 + number);
        platform.declare(&id, &small);
        let front = daemons[number % 3].front;
        let path = format!("/q/{id}");
        let answer = consumer
            .send(front, "POST", &path, &small.to_string())
            .await;
        if matches!(answer, Ok((200, _))) {
            accepted.push(id);
        }
    }
    stage.record.line("the traffic has ended");
    sleep_ms(FINISH_S * 1000).await;
    let mut open = Vec::new();
    for id in &accepted {
        let state = consumer.state(daemons[0].front, &format!("/q/{id}")).await;
        if state.as_deref() != Some("done") {
            open.push(id.clone());
        }
    }
    let names: Vec<_> = (0..count)
        .map(|index| format!("{:016x}.0.0.{index}", 0x1a57))
        .collect();
    open.extend(names);
    let starved = starved(&platform, "work", &open, 8000).await;
    let lasting = starved.iter().filter(|it| it.contains('.')).count();
    stage.record.line(&format!(
        "of 12 small submissions {} were accepted; {} of these and {lasting} of {count} lasting subtasks had nothing running for 3 s with room",
        accepted.len(),
        starved.len() - lasting,
    ));
    for daemon in &mut daemons {
        let has_ended = daemon.has_ended();
        stage
            .record
            .line(&format!("{} has ended by itself: {has_ended}", daemon.name));
    }
    record_runs(&platform, 40);
    verdict(!starved.is_empty())
}

/// A queue is sent to another service, a machine is added, and the request of a submission arrives once more there.
/// `is_replaced`: the route is removed instead, another one with its prefix is added, and the request arrives at a machine
/// that was there before.
async fn moved_queue(stage: &Stage, is_replaced: bool) -> Option<Verdict> {
    let services = [("alpha", 3, 32_000, 65_536), ("beta", 3, 32_000, 65_536)];
    let platform = Platform::start(stage.record.clone(), &services, false).await;
    platform.configure(3, &[route("r-1", "/q/", "alpha", 3)], &["alpha", "beta"]);
    let daemons = start_daemons(stage, &platform, &["edge-1", "edge-2", "edge-3"]).await?;
    let consumer = Consumer {
        record: stage.record.clone(),
    };
    let path = "/q/5c0e7a21d94b36f8";
    let job = body("ms=800", vec![step(2, 1000, 800)]);
    if submit(&platform, &consumer, &daemons[0], path, &job).await != Some(200) {
        return None;
    }
    let accepted_ms = stage.record.now_ms();
    if stage.has_trouble {
        let name = if is_replaced { "r-9" } else { "r-1" };
        platform.configure(8, &[route(name, "/q/", "beta", 3)], &["alpha", "beta"]);
    }
    let mut added = Daemon::start("edge-4", &platform, &stage.folder, stage.record.clone());
    if !added.wait_until_ready().await {
        return None;
    }
    sleep_ms((accepted_ms + CONFIG_APPLY_MS + 1500).saturating_sub(stage.record.now_ms())).await;
    if !wait_until_done(&consumer, &daemons[1], path).await {
        return None;
    }
    let front = if is_replaced {
        daemons[1].front
    } else {
        added.front
    };
    let again = consumer.send(front, "POST", path, &job.to_string()).await;
    if !matches!(again, Ok((200, _))) {
        return None;
    }
    sleep_ms(5000).await;
    consumer.state(daemons[1].front, path).await;
    record_runs(&platform, 40);
    let runs = platform.log.runs_of("5c0e7a21d94b36f8");
    let is_twice = |first: &crate::executor::Run, second: &crate::executor::Run| {
        let is_done = first
            .ended
            .is_some_and(|(at, how)| how == "done" && at <= second.started_ms);
        first.task == second.task
            && first.started_ms < second.started_ms
            && is_done
            && first.noted_ms.is_some()
    };
    let twice = runs
        .iter()
        .filter(|second| runs.iter().any(|first| is_twice(first, second)))
        .count();
    stage.record.line(&format!(
        "{twice} starts after a run of the subtask had ended done"
    ));
    verdict(twice > 0)
}

/// A queue whose policy allows few of the executors, in a pool of 62.
async fn advice(stage: &Stage) -> Option<Verdict> {
    let count = 62;
    let platform = Platform::start(
        stage.record.clone(),
        &[("work", count, 32_000, 65_536)],
        false,
    )
    .await;
    let mut guarded = route("r-1", "/q/", "work", 3);
    guarded["advice"] = json!({"decideMs": 20, "periodMs": 2, "validMs": 10_000});
    platform.configure(3, &[guarded], &["work"]);
    let daemons = start_daemons(stage, &platform, &["edge-1", "edge-2", "edge-3"]).await?;
    let consumer = Consumer {
        record: stage.record.clone(),
    };
    // For each step, another three of the 62 executors.
    *platform.allowed_each_step.lock().unwrap() = if stage.has_trouble { 3 } else { count };
    let mut ids = Vec::new();
    for number in 0..40_usize {
        let id = format!("{:016x}", 0xadc_0000 + number);
        platform.log.ticketed.lock().unwrap().insert(id.clone());
        let job = body("ms=800", vec![step(2, 1000, 800)]);
        if submit(
            &platform,
            &consumer,
            &daemons[number % 3],
            &format!("/q/{id}"),
            &job,
        )
        .await
            != Some(200)
        {
            return None;
        }
        ids.push(id);
        sleep_ms(500).await;
    }
    stage.record.line("the traffic has ended");
    sleep_ms(FINISH_S * 1000).await;
    let mut open = Vec::new();
    for id in &ids {
        if consumer
            .state(daemons[0].front, &format!("/q/{id}"))
            .await
            .as_deref()
            != Some("done")
        {
            open.push(id.clone());
        }
    }
    let starved = starved(&platform, "work", &open, 5000).await;
    record_runs(&platform, 40);
    stage.record.line(&format!(
        "{} of {} accepted submissions had nothing running for 3 s with room",
        starved.len(),
        ids.len()
    ));
    verdict(!starved.is_empty())
}

/// A queue with a policy is dropped while a submission of it runs.
async fn dropped_advice(stage: &Stage) -> Option<Verdict> {
    let platform =
        Platform::start(stage.record.clone(), &[("work", 4, 32_000, 65_536)], false).await;
    let mut guarded = route("r-1", "/q/", "work", 3);
    guarded["advice"] = json!({"decideMs": 20, "periodMs": 2, "validMs": 10_000});
    let other = route("r-2", "/p/", "work", 3);
    platform.configure(3, &[guarded, other.clone()], &["work"]);
    let daemons = start_daemons(stage, &platform, &["edge-1", "edge-2", "edge-3"]).await?;
    let consumer = Consumer {
        record: stage.record.clone(),
    };
    let id = "5c0e7a21d94b36f8";
    platform.log.ticketed.lock().unwrap().insert(id.into());
    let mut second = step(2, 1000, 800);
    second["after"] = json!([0]);
    let job = body("ms=3000", vec![step(2, 1000, 3000), second]);
    if submit(&platform, &consumer, &daemons[0], &format!("/q/{id}"), &job).await != Some(200) {
        return None;
    }
    sleep_ms(1000).await;
    if stage.has_trouble {
        platform.configure(8, &[other], &["work"]);
    }
    sleep_ms(5000 + STABLE_MS + FINISH_S * 1000).await;
    let runs = platform.log.runs_of(&format!("{id}.0.1."));
    let is_done = runs
        .iter()
        .filter(|run| run.ended.is_some_and(|(_, how)| how == "done"))
        .count()
        == 2;
    let starved = if is_done {
        Vec::new()
    } else {
        starved(&platform, "work", &[id.to_owned()], 5000).await
    };
    record_runs(&platform, 40);
    stage.record.line(&format!(
        "second step done: {is_done}; nothing running for 3 s with room: {}",
        !starved.is_empty()
    ));
    verdict(!starved.is_empty())
}

/// A queue is dropped while a subtask of it runs that always fails.
async fn dropped_attempts(stage: &Stage) -> Option<Verdict> {
    let platform =
        Platform::start(stage.record.clone(), &[("work", 4, 32_000, 65_536)], false).await;
    let other = route("r-2", "/p/", "work", 2);
    platform.configure(
        3,
        &[route("r-1", "/q/", "work", 2), other.clone()],
        &["work"],
    );
    let daemons = start_daemons(stage, &platform, &["edge-1", "edge-2", "edge-3"]).await?;
    let consumer = Consumer {
        record: stage.record.clone(),
    };
    let id = "5c0e7a21d94b36f8";
    let job = body("ms=1500 fails", vec![step(1, 1000, 1500)]);
    if submit(&platform, &consumer, &daemons[0], &format!("/q/{id}"), &job).await != Some(200) {
        return None;
    }
    sleep_ms(500).await;
    if stage.has_trouble {
        platform.configure(8, &[other], &["work"]);
    }
    sleep_ms(20_000).await;
    record_runs(&platform, 60);
    let runs = platform.log.runs_of(id);
    let is_failed = |run: &&crate::executor::Run| {
        run.ended.is_some_and(|(_, how)| how == "failed") && run.noted_ms.is_some()
    };
    let failed = runs.iter().filter(is_failed).count();
    let beyond = runs.iter().skip(2).count();
    stage.record.line(&format!(
        "{} runs, {failed} ended failed and were taken note of; attempts is 2",
        runs.len()
    ));
    verdict(failed >= 2 && beyond > 0)
}

/// A queue is sent to another service while submissions of it wait.
async fn moved_pending(stage: &Stage) -> Option<Verdict> {
    let services = [("alpha", 2, 32_000, 65_536), ("beta", 2, 32_000, 65_536)];
    let platform = Platform::start(stage.record.clone(), &services, false).await;
    let other = route("r-2", "/p/", "beta", 3);
    platform.configure(
        3,
        &[route("r-1", "/q/", "alpha", 3), other.clone()],
        &["alpha", "beta"],
    );
    let daemons = start_daemons(stage, &platform, &["edge-1", "edge-2", "edge-3"]).await?;
    let consumer = Consumer {
        record: stage.record.clone(),
    };
    // Both services are full, so that no machine is moved.
    let long = body("ms=60000", vec![step(2, 32_000, 60_000)]);
    for path in ["/q/00000000000010a6", "/p/00000000000010a7"] {
        if submit(&platform, &consumer, &daemons[0], path, &long).await != Some(200) {
            return None;
        }
    }
    sleep_ms(1500).await;
    let waiting = 6_usize;
    for number in 0..waiting {
        let path = format!("/q/{:016x}", 0xabc_0000 + number);
        let job = body("ms=800", vec![step(1, 16_000, 800)]);
        if submit(&platform, &consumer, &daemons[number % 3], &path, &job).await != Some(200) {
            return None;
        }
    }
    let accepted_ms = stage.record.now_ms();
    sleep_ms(VISIBLE_MS + 2000 + 500).await;
    if stage.has_trouble {
        platform.configure(
            8,
            &[route("r-1", "/q/", "beta", 3), other],
            &["alpha", "beta"],
        );
    }
    sleep_ms(CONFIG_APPLY_MS + 2500).await;
    let begun = |number: usize| {
        !platform
            .log
            .runs_of(&format!("{:016x}", 0xabc_0000 + number))
            .is_empty()
    };
    let mut is_broken = false;
    for daemon in &daemons {
        let answer = consumer.send(daemon.front, "GET", "/q/", "").await;
        let not_begun = (0..waiting).filter(|number| !begun(*number)).count();
        let Ok((200, body)) = answer else {
            return None;
        };
        let pending = body["pending"].as_u64().unwrap_or(0);
        stage.record.line(&format!(
            "{} gives {pending}; {not_begun} submissions accepted over {} ms ago haven't begun",
            daemon.name,
            stage.record.now_ms() - accepted_ms
        ));
        is_broken |= pending * 2 < u64::try_from(not_begun).unwrap_or(0);
    }
    record_runs(&platform, 40);
    verdict(is_broken)
}

/// The VM control is slow while machines are moved to a service.
async fn slow_control(stage: &Stage) -> Option<Verdict> {
    let services = [("work", 2, 32_000, 65_536), (STANDBY, 4, 32_000, 65_536)];
    let platform = Platform::start(stage.record.clone(), &services, false).await;
    platform.configure(3, &[route("r-1", "/q/", "work", 3)], &["work", STANDBY]);
    let daemons = start_daemons(stage, &platform, &["edge-1", "edge-2", "edge-3"]).await?;
    let consumer = Consumer {
        record: stage.record.clone(),
    };
    let mut lasting = step(2, 20_000, 900);
    lasting["longRunning"] = json!(true);
    lasting["maxPerServer"] = json!(1);
    if submit(
        &platform,
        &consumer,
        &daemons[0],
        "/q/0000000000001a57",
        &body("lasts", vec![lasting]),
    )
    .await
        != Some(200)
    {
        return None;
    }
    sleep_ms(3000).await;
    if stage.has_trouble {
        platform.cloud_ms.store(50 * CLOUD_MS, Ordering::Relaxed);
        stage.record.line("the VM control becomes slow");
    }
    let large = body("ms=800", vec![step(4, 20_000, 800)]);
    if submit(
        &platform,
        &consumer,
        &daemons[1],
        "/q/0000000000000b57",
        &large,
    )
    .await
        != Some(200)
    {
        return None;
    }
    sleep_ms(5000).await;
    platform.cloud_ms.store(CLOUD_MS, Ordering::Relaxed);
    stage.record.line("the VM control is as usual");
    sleep_ms(STABLE_MS + 4000).await;
    let next = body("ms=800", vec![step(1, 14_000, 800)]);
    if submit(
        &platform,
        &consumer,
        &daemons[2],
        "/q/0000000000000c57",
        &next,
    )
    .await
        != Some(200)
    {
        return None;
    }
    stage.record.line("the traffic has ended");
    sleep_ms(FINISH_S * 1000).await;
    let mut open = Vec::new();
    for id in ["0000000000000b57", "0000000000000c57"] {
        if consumer
            .state(daemons[0].front, &format!("/q/{id}"))
            .await
            .as_deref()
            != Some("done")
        {
            open.push(id.to_owned());
        }
    }
    let executors = platform.executors("work");
    let starved = starved(&platform, "work", &open, 5000).await;
    record_runs(&platform, 40);
    let used: std::collections::BTreeSet<_> = platform
        .log
        .runs
        .lock()
        .unwrap()
        .iter()
        .map(|run| run.executor.clone())
        .collect();
    let without = executors.iter().filter(|id| !used.contains(*id)).count();
    stage.record.line(&format!(
        "{} of 2 accepted submissions had nothing running for 3 s; the service has {} executors, {without} of which never ran anything",
        starved.len(),
        executors.len()
    ));
    verdict(!starved.is_empty())
}

/// As `slow_control`, and an executor that came with a move is cut off and runs on when the VM control is as usual again.
async fn slow_control_and_cut(stage: &Stage) -> Option<Verdict> {
    let services = [("work", 2, 32_000, 65_536), (STANDBY, 4, 32_000, 65_536)];
    let platform = Platform::start(stage.record.clone(), &services, false).await;
    platform.configure(3, &[route("r-1", "/q/", "work", 3)], &["work", STANDBY]);
    let daemons = start_daemons(stage, &platform, &["edge-1", "edge-2", "edge-3"]).await?;
    let consumer = Consumer {
        record: stage.record.clone(),
    };
    platform.cloud_ms.store(50 * CLOUD_MS, Ordering::Relaxed);
    stage.record.line("the VM control becomes slow");
    let first = platform.executors("work");
    let short = body("ms=6000", vec![step(2, 20_000, 6000)]);
    let long = body("ms=12000", vec![step(2, 20_000, 12_000)]);
    for (path, job) in [
        ("/q/0000000000000a57", &short),
        ("/q/0000000000000b57", &long),
    ] {
        if submit(&platform, &consumer, &daemons[1], path, job).await != Some(200) {
            return None;
        }
    }
    sleep_ms(4500).await;
    let runs = platform.log.runs_of("0000000000000b57");
    let moved = runs
        .iter()
        .find(|run| run.ended.is_none() && !first.contains(&run.executor));
    let moved = platform.executor(&moved?.executor)?;
    if stage.has_trouble {
        moved.set_cut_off(true);
        stage
            .record
            .line(&format!("{} is cut off and runs on", moved.spec.id));
    }
    sleep_ms(500).await;
    platform.cloud_ms.store(CLOUD_MS, Ordering::Relaxed);
    stage.record.line("the VM control is as usual");
    sleep_ms(3500).await;
    moved.set_cut_off(false);
    sleep_ms(10_000).await;
    record_runs(&platform, 40);
    let runs = platform.log.runs_of("0000000000000b57");
    let end_ms = |run: &crate::executor::Run| run.ended.map_or(u64::MAX, |(at, _)| at);
    let overlaps = runs.iter().filter(|second| {
        let mut others = runs
            .iter()
            .filter(|first| first.task == second.task && first.run < second.run);
        others.any(|first| end_ms(first) > second.started_ms + 100)
    });
    let overlaps = overlaps.count();
    stage.record.line(&format!(
        "{overlaps} runs began while another run of the subtask went on"
    ));
    verdict(overlaps > 0)
}

/// The VM control is slow while two machines of a service have their upkeep.
async fn slow_upkeep(stage: &Stage) -> Option<Verdict> {
    let platform =
        Platform::start(stage.record.clone(), &[("work", 4, 32_000, 65_536)], false).await;
    platform.configure(3, &[route("r-1", "/q/", "work", 3)], &["work"]);
    let daemons = start_daemons(stage, &platform, &["edge-1", "edge-2", "edge-3"]).await?;
    let consumer = Consumer {
        record: stage.record.clone(),
    };
    let mut lasting = step(2, 20_000, 900);
    lasting["longRunning"] = json!(true);
    lasting["maxPerServer"] = json!(1);
    let path = "/q/0000000000001a57";
    if submit(
        &platform,
        &consumer,
        &daemons[0],
        path,
        &body("lasts", vec![lasting]),
    )
    .await
        != Some(200)
    {
        return None;
    }
    sleep_ms(2000).await;
    if stage.has_trouble {
        platform.cloud_ms.store(50 * CLOUD_MS, Ordering::Relaxed);
        stage.record.line("the VM control becomes slow");
    }
    let busy: Vec<_> = platform
        .log
        .runs_of("0000000000001a57")
        .into_iter()
        .map(|run| run.executor)
        .collect();
    let machines = platform.idle_machines(&busy);
    let wave = json!({"wave": 1, "machines": machines, "deadlineS": 20, "cap": 2});
    platform.store.put("op", "wave/1", Some(&wave));
    stage
        .record
        .line(&format!("operator: wave 1 acknowledged: {machines:?}"));
    sleep_ms(5000).await;
    platform.cloud_ms.store(CLOUD_MS, Ordering::Relaxed);
    stage.record.line("the VM control is as usual");
    sleep_ms(STABLE_MS + 9000).await;
    let next = body("ms=800", vec![step(1, 14_000, 800)]);
    if submit(
        &platform,
        &consumer,
        &daemons[2],
        "/q/0000000000000c57",
        &next,
    )
    .await
        != Some(200)
    {
        return None;
    }
    stage.record.line("the traffic has ended");
    sleep_ms(FINISH_S * 1000).await;
    consumer
        .state(daemons[0].front, "/q/0000000000000c57")
        .await;
    let starved = starved(&platform, "work", &["0000000000000c57".to_owned()], 5000).await;
    record_runs(&platform, 40);
    stage.record.line(&format!(
        "{} of 1 submission had nothing running for 3 s with room",
        starved.len()
    ));
    let is_done = platform
        .log
        .runs_of("0000000000000c57")
        .iter()
        .any(|run| run.ended.is_some());
    verdict(!starved.is_empty() && !is_done)
}

/// A queue whose policy takes 3.5 s to decide on 30 executors.
async fn slow_advice(stage: &Stage) -> Option<Verdict> {
    let platform =
        Platform::start(stage.record.clone(), &[("work", 31, 32_000, 65_536)], false).await;
    let (decide_ms, period_ms) = if stage.has_trouble {
        (500, 100)
    } else {
        (20, 2)
    };
    *platform.advice_ms.lock().unwrap() = (decide_ms, period_ms);
    let mut guarded = route("r-1", "/q/", "work", 3);
    guarded["advice"] = json!({"decideMs": decide_ms, "periodMs": period_ms, "validMs": 10_000});
    platform.configure(3, &[guarded], &["work"]);
    let daemons = start_daemons(stage, &platform, &["edge-1", "edge-2", "edge-3"]).await?;
    let consumer = Consumer {
        record: stage.record.clone(),
    };
    let id = "5c0e7a21d94b36f8";
    platform.log.ticketed.lock().unwrap().insert(id.into());
    let path = format!("/q/{id}");
    let job = body("ms=800", vec![step(2, 1000, 800)]);
    if submit(&platform, &consumer, &daemons[0], &path, &job).await != Some(200) {
        return None;
    }
    stage.record.line("the traffic has ended");
    sleep_ms(FINISH_S * 1000 + 10_000).await;
    let state = consumer.state(daemons[0].front, &path).await;
    let starved = starved(&platform, "work", &[id.to_owned()], 5000).await;
    record_runs(&platform, 40);
    verdict(state.as_deref() != Some("done") && !starved.is_empty())
}

/// Some times in turn, the executor of a subtask is cut off, the lease there lapses, and then the executor crashes. The
/// subtask lasts, or takes a minute.
async fn held(stage: &Stage, is_lasting: bool) -> Option<Verdict> {
    let platform =
        Platform::start(stage.record.clone(), &[("work", 12, 32_000, 65_536)], false).await;
    platform.configure(3, &[route("r-1", "/q/", "work", 3)], &["work"]);
    let daemons = start_daemons(stage, &platform, &["edge-1", "edge-2", "edge-3"]).await?;
    let consumer = Consumer {
        record: stage.record.clone(),
    };
    let id = "0000000000001a57";
    let mut only = step(1, 2000, if is_lasting { 900 } else { 60_000 });
    only["longRunning"] = json!(is_lasting);
    let spec = if is_lasting { "lasts" } else { "ms=60000" };
    let path = format!("/q/{id}");
    if submit(
        &platform,
        &consumer,
        &daemons[0],
        &path,
        &body(spec, vec![only]),
    )
    .await
        != Some(200)
    {
        return None;
    }
    let mut cut_runs = 0;
    while stage.has_trouble && cut_runs < 4 {
        let mut found = None;
        for _ in 0..500 {
            let runs = platform.log.runs_of(id);
            found = runs
                .into_iter()
                .find(|run| run.run > cut_runs && run.ended.is_none());
            if found.is_some() {
                break;
            }
            sleep_ms(20).await;
        }
        let Some(run) = found else {
            break;
        };
        cut_runs = run.run;
        sleep_ms(100).await;
        let executor = platform.executor(&run.executor)?;
        executor.set_cut_off(true);
        let after_ms = stage.record.now_ms() - run.started_ms;
        stage.record.line(&format!(
            "{} is cut off for 5.5 s, {after_ms} ms after the start",
            run.executor
        ));
        let platform = platform.clone();
        tokio::spawn(async move {
            sleep_ms(5450).await;
            let runs = platform.log.runs_of(id);
            let ended = runs
                .iter()
                .find(|it| it.run == run.run)
                .and_then(|it| it.ended);
            platform.record.line(&format!(
                "before the crash of {}, run {} had ended: {ended:?}",
                run.executor, run.run
            ));
            sleep_ms(50).await;
            platform.restart(&run.executor).await;
        });
    }
    sleep_ms(STABLE_MS + 4000 + 6000).await;
    let state = consumer.state(daemons[0].front, &path).await;
    if !is_lasting {
        record_runs(&platform, 40);
        let runs = platform.log.runs_of(id);
        let failed = runs.iter().filter(|run| {
            run.ended
                .is_some_and(|(_, how)| how == "failed" || how == "gone")
        });
        let failed = failed.count();
        stage.record.line(&format!(
            "{failed} runs failed, or ran while their executor crashed; the state is {state:?}"
        ));
        return verdict(failed == 0 && state.as_deref() == Some("failed"));
    }
    let name = format!("{id}.0.0.0");
    let starved = starved(&platform, "work", &[name], 8000).await;
    consumer.state(daemons[0].front, &path).await;
    record_runs(&platform, 40);
    stage.record.line(&format!(
        "the subtask that lasts had nothing running for 3 s with room: {}",
        !starved.is_empty()
    ));
    verdict(!starved.is_empty())
}
