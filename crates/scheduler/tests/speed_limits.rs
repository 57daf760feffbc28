//! The speed of best-effort tasks after commands that got no response, and after a takeover.

mod support;

use scheduler::{RunningTask, WorkerCommand, WorkerReport};
use smol_str::SmolStr;
use submission::{JobId, StepSpec};
use support::{Pool, job, service_step, step};

const TARGET_MS: u64 = 100;

/// A worker that runs a service task and a best-effort task.
fn pool() -> Pool {
    let mut pool = Pool::new(&["one"]);
    let service = StepSpec {
        tail_latency_target_ms: TARGET_MS,
        ..service_step(1, 1)
    };
    let best_effort = StepSpec {
        is_best_effort: true,
        ..step(1)
    };
    pool.submit(1, job(vec![service, best_effort]));
    let commands = pool.round();
    assert_eq!(pool.confirm_starts(&commands).len(), 2);
    pool
}

/// Applies a report with this tail latency and returns the name and the speed limit of the command that follows.
fn report(pool: &mut Pool, tail_ms: u64) -> Option<(SmolStr, u32)> {
    pool.advance(100);
    let key = pool.key("one");
    let task = |step: u32, load: u64| RunningTask {
        name: format!("{}.0.{step}.0", JobId(1)).into(),
        attempt: 1,
        checkpoint: "".into(),
        progress_percent: u32::try_from(pool.now_ms % 90).unwrap(),
        load,
    };
    let report = WorkerReport {
        request_sent_at_ms: pool.now_ms,
        worker_clock_ms: pool.now_ms,
        start_unix_ms: None,
        acknowledged_end: 0,
        running: vec![task(0, tail_ms), task(1, 0)],
        ended: Vec::new(),
        has_more_ends: false,
    };
    pool.scheduler.apply_report(key, report, pool.now());
    let commands = pool.scheduler.take_immediate_commands();
    commands.into_iter().find_map(|command| match command {
        WorkerCommand::SetSpeedLimit {
            name,
            speed_limit_percent,
            ..
        } => Some((name, speed_limit_percent)),
        _ => None,
    })
}

#[test]
fn a_best_effort_task_is_sped_up_after_a_lost_command_that_slowed_it_down() {
    for slow_ms in [90, 150] {
        let mut pool = pool();
        let (name, _) = report(&mut pool, slow_ms).expect("a command that slows down");
        let key = pool.key("one");
        pool.scheduler.forget_speed_limit(key, &name);
        let limits: Vec<_> = (0..20).filter_map(|_| report(&mut pool, 10)).collect();
        assert_eq!(limits.last().map(|limit| limit.1), Some(100));
    }
}

#[test]
fn a_lost_command_that_stopped_a_best_effort_task_is_repeated_while_the_latency_is_high() {
    let mut pool = pool();
    let (name, limit) = report(&mut pool, 150).expect("a command that stops");
    assert_eq!(limit, 0);
    assert_eq!(report(&mut pool, 150), None);
    let key = pool.key("one");
    pool.scheduler.forget_speed_limit(key, &name);
    assert_eq!(report(&mut pool, 150), Some((name, 0)));
}

#[test]
fn a_best_effort_task_that_a_previous_owner_slowed_down_is_sped_up() {
    let mut previous = pool();
    report(&mut previous, 90).expect("a command that slows down");
    let record = previous.scheduler.job(JobId(1)).unwrap().clone();
    let mut next = Pool::new(&["one"]);
    next.scheduler.adopt_job(record, next.now());
    assert_eq!(report(&mut next, 70), None);
    assert_eq!(report(&mut next, 10).map(|limit| limit.1), Some(100));
    assert_eq!(report(&mut next, 10), None);
}
