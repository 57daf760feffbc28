//! Numbers at the ends of their ranges in the messages of workers and of the policy service.

mod support;

use std::collections::HashMap;

use scheduler::{PolicyRules, QueueRules, RunningTask, WorkerReport};
use submission::TaskKey;
use support::{Pool, job, starts, step};

#[test]
fn a_report_of_any_numbers_is_applied_and_the_next_lease_renewal_is_planned() {
    for number in [0, 1, u64::MAX / 100, u64::MAX / 2, u64::MAX - 1, u64::MAX] {
        let mut pool = Pool::new(&["one"]);
        let mut steps = vec![step(1)];
        steps[0].tail_latency_target_ms = 7;
        pool.submit(1, job(steps));
        let commands = pool.round();
        let (_, task, attempt) = pool.confirm_starts(&commands)[0].clone();
        let key = pool.key("one");
        pool.advance(10);
        let running = RunningTask {
            name: pool.task_name(task),
            attempt,
            checkpoint: "".into(),
            progress_percent: u32::MAX,
            load: number,
        };
        let report = WorkerReport {
            request_sent_at_ms: pool.now_ms,
            worker_clock_ms: number,
            start_unix_ms: Some(number),
            acknowledged_end: number,
            running: vec![running],
            ended: Vec::new(),
            has_more_ends: false,
        };
        pool.scheduler.apply_report(key, report, pool.now());
        pool.advance(300);
        let plan = pool.scheduler.lease_renewal_plan(key, pool.now());
        let until_ms = plan.and_then(|plan| plan.lease_until_ms);
        assert!(
            until_ms.is_some_and(|until_ms| until_ms >= number),
            "{number}"
        );
    }
}

#[test]
fn an_authorization_of_any_validity_is_used() {
    let mut pool = Pool::new(&["one"]);
    let rules = QueueRules {
        priority: 0,
        max_failures: 2,
        latency_objective_factor: 1.5,
        latency_objective_base_ms: 600,
        policy: Some(PolicyRules::default()),
    };
    pool.scheduler
        .set_queue_rules(HashMap::from([("queue".into(), rules)]));
    let job = pool.submit(1, job(vec![step(1)]));
    let task = TaskKey { job, index: 0 };
    assert_eq!(starts(&pool.round()), []);
    let allowed = vec![("one".into(), "token".into())];
    let now = pool.now();
    pool.scheduler
        .apply_policy_decision(task, allowed, u64::MAX, now);
    assert_eq!(starts(&pool.round()).len(), 1);
}
