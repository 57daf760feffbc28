//! Real daemons and a team whose quota holds for two pools together, with peaks in turn and a leader that is lost.

mod fleet_support;

use std::time::{Duration, Instant};

use fleet_support::{CALLER_WAIT, Daemon, PATIENCE, daemon, ready};
use platform_stand_in::{PlatformStandIn, SECOND_POOL, job_body};
use reqwest::{Client, Method};

const KEY: &str = "key-t";

/// The quota, in tasks of 500 thousandths of a core.
const QUOTA_TASKS: usize = 12;

/// The workers of each pool, of 8 tasks each: each pool has room for more than the quota.
const WORKERS: usize = 3;

/// The tasks of a peak: some seconds of work at the quota, longer than a new leader lowers no limits.
const PEAK_TASKS: u32 = 360;

async fn call(daemon: &Daemon, method: Method, path: &str, body: Option<String>) -> (u16, String) {
    let client = Client::builder()
        .no_proxy()
        .timeout(CALLER_WAIT)
        .build()
        .unwrap();
    let url = format!("http://{}{path}", daemon.callers);
    let request = client.request(method, url).header("host", "jobs.example");
    let request = request.bearer_auth(KEY).body(body.unwrap_or_default());
    match request.send().await {
        Ok(response) => (
            response.status().as_u16(),
            response.text().await.unwrap_or_default(),
        ),
        Err(_) => (0, String::new()),
    }
}

async fn submit(daemons: &[Daemon], path: &str, tasks: u32) {
    let start = Instant::now();
    for daemon in daemons.iter().cycle() {
        let body = job_body("x", tasks, false);
        if call(daemon, Method::POST, path, Some(body)).await.0 == 200 {
            return;
        }
        assert!(start.elapsed() < PATIENCE, "{path} is never accepted");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn done(daemons: &[Daemon], path: &str) {
    let start = Instant::now();
    for daemon in daemons.iter().cycle() {
        let (status, body) = call(daemon, Method::GET, path, None).await;
        if status == 200 && body.contains("\"done\"") {
            return;
        }
        assert!(
            start.elapsed() < PATIENCE,
            "{path} is never done: {status} {body}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// The most attempts that ran at the same time, of those since `since`.
fn most_running(platform: &PlatformStandIn, since: Instant) -> usize {
    let attempts = platform.attempts();
    let starts = attempts
        .iter()
        .map(|attempt| attempt.started_at)
        .filter(|start| *start >= since);
    let running = starts.map(|start| {
        let running = attempts.iter().filter(|attempt| {
            let is_over = attempt.ended.is_some_and(|(ended, _)| ended <= start);
            attempt.started_at <= start && !is_over
        });
        running.count()
    });
    running.max().unwrap_or(0)
}

/// Takes the daemon that owns the fleet shard out of the daemons and kills it.
fn kill_leader(platform: &PlatformStandIn, daemons: &mut Vec<Daemon>) {
    let owns_fleet = |daemon: &Daemon| {
        let row = platform.store.get("daemon", &daemon.name);
        row.is_some_and(|row| row["holds"]["fleet"].is_u64())
    };
    let leader = daemons.iter().position(owns_fleet);
    drop(daemons.remove(leader.expect("a leader")));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_team_at_its_quota_in_two_pools_stays_within_it_and_uses_it_up() {
    let platform = PlatformStandIn::start(2 * WORKERS).await;
    for worker in &platform.workers[WORKERS..] {
        worker.set_pool(SECOND_POOL);
    }
    let cpu_milli = u32::try_from(QUOTA_TASKS * 500).unwrap();
    platform.configure_quota(3, KEY, cpu_milli);
    let mut daemons: Vec<_> = (0..3)
        .map(|number| daemon(&platform, &format!("d{number}")))
        .collect();
    for daemon in &daemons {
        ready(daemon).await;
    }
    let first_peak = Instant::now();
    submit(&daemons, "/q/0000000000000001", PEAK_TASKS).await;
    submit(&daemons, "/r/0000000000000002", 1).await;
    done(&daemons, "/r/0000000000000002").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(most_running(&platform, first_peak) >= QUOTA_TASKS - 1);
    kill_leader(&platform, &mut daemons);
    // Both pools ask for more than the quota, while there is no leader at first.
    submit(&daemons, "/r/0000000000000003", PEAK_TASKS).await;
    done(&daemons, "/q/0000000000000001").await;
    let second_peak = Instant::now();
    done(&daemons, "/r/0000000000000003").await;
    assert!(most_running(&platform, second_peak) >= QUOTA_TASKS - 1);
    assert_eq!(most_running(&platform, first_peak), QUOTA_TASKS);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_quota_that_is_lowered_below_what_runs_starts_nothing_until_enough_has_ended() {
    let platform = PlatformStandIn::start(2 * WORKERS).await;
    for worker in &platform.workers[WORKERS..] {
        worker.set_pool(SECOND_POOL);
    }
    platform.configure_quota(3, KEY, 6000);
    let daemons = [daemon(&platform, "d0"), daemon(&platform, "d1")];
    for daemon in &daemons {
        ready(daemon).await;
    }
    submit(&daemons, "/q/0000000000000001", PEAK_TASKS).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    platform.configure_quota(4, KEY, 2000);
    submit(&daemons, "/r/0000000000000002", 40).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let lowered = Instant::now();
    done(&daemons, "/r/0000000000000002").await;
    assert!(most_running(&platform, lowered) <= 4);
    platform.configure_quota(5, KEY, 6000);
    done(&daemons, "/q/0000000000000001").await;
    assert!(most_running(&platform, lowered) >= QUOTA_TASKS - 1);
}
