//! A large submission of subtasks that last, and an executor that crashes under it.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::daemons::{Answer, new_id};
use crate::{Deployment, Verdict};

const WORKERS: usize = 9;
/// The executor with the label that the large submission requires.
const LABELLED: usize = 4;
const COUNT: usize = 1500;
/// The number of other submissions, one each half a second.
const OTHERS: usize = 50;
/// `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// From then on after its last run, a subtask that lasts has to run.
const LASTING: Duration = Duration::from_secs(6);

pub fn workers() -> Vec<(Vec<String>, u64, u64)> {
    let kind = |number: usize| if number == LABELLED { "b" } else { "a" };
    (0..WORKERS)
        .map(|number| {
            (
                vec![kind(number).to_owned(), format!("r1-{}", number / 4)],
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
        ..
    } = deployment;
    let running = |id: &str| world.running_of(id).iter().sum::<usize>();
    let id = new_id();
    let body = json!({
        "spec": "cpu=20 mem=40 last=1",
        "steps": [{"count": COUNT, "cpu": 20, "memMb": 40, "estMs": 1000, "longRunning": true, "requires": "b"}],
    });
    let answer = caller.submit(&id, &body, 1).await;
    record.note(&format!(
        "POST {id}, {COUNT} subtasks that last: {answer:?}"
    ));
    if answer != Answer::Accepted {
        return Verdict::CouldNotRun;
    }
    for _ in 0..1000 {
        if running(&id) == COUNT {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    record.note(&format!(
        "running on each executor: {:?}",
        world.running_of(&id)
    ));
    if running(&id) != COUNT {
        return Verdict::CouldNotRun;
    }
    let mut others = Vec::new();
    let step = json!({"count": 4, "cpu": 500, "memMb": 64, "estMs": 300});
    let mut second = step.clone();
    second["after"] = json!([0]);
    let other = json!({"spec": "ms=300 cpu=500 mem=64", "steps": [step, second]});
    for number in 0..OTHERS {
        if number == 4 && deployment.has_trouble {
            world.crash(LABELLED, Duration::from_secs(3)).await;
            record.note(&format!(
                "executor {LABELLED} crashes; it is back after 3 s"
            ));
        }
        let other_id = new_id();
        let answer = caller.submit(&other_id, &other, number).await;
        record.note(&format!(
            "POST {other_id}: {answer:?}; {} subtasks of the large one run",
            running(&id)
        ));
        if answer == Answer::Accepted {
            others.push(other_id);
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    tokio::time::sleep(FINISH).await;
    // The last run of each subtask that doesn't run now.
    let mut longest = Duration::ZERO;
    let mut missing = 0;
    let mut fewest = usize::MAX;
    let until = Instant::now() + Duration::from_secs(4);
    let mut has_run: Vec<_> = others
        .iter()
        .map(|id| (id.clone(), String::new(), false))
        .collect();
    while Instant::now() < until {
        fewest = fewest.min(COUNT - running(&id));
        for (id, _, has_run) in &mut has_run {
            *has_run |= running(id) > 0;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for index in 0..COUNT {
        let name = format!("{id}.0.0.{index}");
        let starts = world.starts();
        let last = starts.iter().rev().find(|start| start.task == name);
        if let Some((at, _)) = last.and_then(|start| start.end) {
            missing += 1;
            longest = longest.max(at.elapsed());
        }
    }
    record.note(&format!(
        "{FINISH:?} after the last of the others, at least {fewest} of the {COUNT} subtasks did not run for 4 s; \
         {missing} do not run now, the first of them for {longest:.1?}; free cpu: {}", world.free_cpu()
    ));
    let mut lost = 0;
    for (id, state, has_run) in &mut has_run {
        *state = caller.state(id, 0).await;
        if state != "done" {
            record.note(&format!(
                "GET {id}: {state}; a subtask of it ran in these 4 s: {has_run}"
            ));
            lost += usize::from(!*has_run);
        }
    }
    record.note(&format!(
        "{} other submissions were accepted; {lost} are not done and had nothing running",
        others.len()
    ));
    let is_broken = lost > 0 || (fewest > 0 && longest > LASTING);
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
