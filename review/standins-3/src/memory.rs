//! Many submissions with many occurrences, far in the future, at the rate of a burst; beside small ones that are due.

use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::record::Record;
use crate::stage::{Shape, Stage};

const MEMORY_KB: u64 = 260 * 1024;
const RESTART: Duration = Duration::from_secs(1);
const SUBMISSIONS: u64 = 1650;
const PER_S: u64 = 24;
const OCCURRENCES: u64 = 1500;

fn scheduled(times: u64, start_ms: u64, interval_ms: u64) -> Value {
    json!({"spec": "work=300 cpu=500", "times": times, "startAtMs": start_ms, "intervalMs": interval_ms,
        "steps": [{"count": 1, "cpu": 500, "memMb": 16, "estMs": 300}]})
}

/// What the platform does with a process: ends it over its memory, and starts an ended one after a short delay.
struct Platform {
    kills: Vec<usize>,
    ended_at: Vec<Option<Instant>>,
    most_kb: u64,
}

impl Platform {
    fn look(&mut self, stage: &mut Stage, record: &Record) {
        for number in 0..stage.members.len() {
            match &mut stage.members[number].process {
                Some(process) => {
                    let kb = process.usage().memory_kb;
                    self.most_kb = self.most_kb.max(kb);
                    if kb > MEMORY_KB {
                        process.kill();
                        stage.members[number].process = None;
                        self.kills[number] += 1;
                        self.ended_at[number] = Some(Instant::now());
                        record.line(&format!("the platform ends d{number}: {kb} KB, over its memory of {MEMORY_KB} KB"));
                    }
                }
                None if self.ended_at[number].is_some_and(|at| at.elapsed() > RESTART) => {
                    stage.start_daemon(number)
                }
                None => {}
            }
        }
    }
}

pub async fn run(record: Record, program: PathBuf, folder: PathBuf, trouble: bool) -> u8 {
    let shape = Shape {
        daemons: 3,
        executors: 4,
        of_kind_b: 0,
        cpu: 32_000,
        keys: None,
        upkeep: Duration::from_secs(2),
        id: |number| format!("i-{:08x}", 0x7f3a_91c2 + number),
        settings: Box::new(|yaml| yaml),
    };
    let Some(mut stage) = Stage::start(record.clone(), program, folder, shape).await else {
        return 2;
    };
    let mut platform = Platform {
        kills: vec![0; 3],
        ended_at: vec![None; 3],
        most_kb: 0,
    };
    let now_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_millis() as u64;
    let mut small = Vec::new();
    for number in 0..4u64 {
        let path = format!("/q/{:016x}", 0x5ca1_0000 + number);
        // 28 occurrences in 84 s, the last of them 18 s before the states are asked for.
        if !stage
            .submit(
                number as usize,
                &path,
                &scheduled(28, now_ms + 2000, 3000),
                5,
            )
            .await
        {
            return 2;
        }
        small.push(path);
    }
    // Without trouble, each submission has as many occurrences as the small ones.
    let large = scheduled(
        if trouble { OCCURRENCES } else { 20 },
        now_ms + 86_400_000,
        3_600_000,
    );
    let started_at = Instant::now();
    let mut accepted = 0;
    for number in 0..SUBMISSIONS {
        let due = Duration::from_millis(number * 1000 / PER_S);
        if let Some(wait) = due.checked_sub(started_at.elapsed()) {
            tokio::time::sleep(wait).await
        }
        platform.look(&mut stage, &record);
        let (status, _) = stage
            .call(
                number as usize % 3,
                reqwest::Method::POST,
                &format!("/q/{:016x}", 0x11_0000 + number),
                Some(large.to_string()),
            )
            .await;
        accepted += u64::from(status == 200);
        if started_at.elapsed() > Duration::from_secs(70) {
            break;
        }
    }
    record.say(&format!(
        "{accepted} of {SUBMISSIONS} submissions of {} bytes were accepted in {:?}",
        large.to_string().len(),
        started_at.elapsed()
    ));
    while started_at.elapsed() < Duration::from_secs(104) {
        tokio::time::sleep(Duration::from_millis(50)).await;
        platform.look(&mut stage, &record);
    }
    let mut missing = 0;
    for path in &small {
        let state = stage.state(path).await;
        missing += usize::from(state != "done");
    }
    let over = platform.kills.iter().filter(|kills| **kills >= 3).count();
    record.say(&format!("the platform ended {:?} processes over their memory (most: {} KB); {missing} of {} small scheduled submissions are not done", platform.kills, platform.most_kb, small.len()));
    u8::from(over >= 2 || missing > 0)
}
