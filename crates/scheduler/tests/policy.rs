//! Steps of queues with a policy start only on workers that the policy service has authorized.

mod support;

use std::collections::HashMap;

use scheduler::QueueRules;
use support::{Pool, job, starts, step};

fn pool() -> Pool {
    let mut pool = Pool::new(&["one", "two"]);
    let rules = QueueRules {
        priority: 0,
        max_failures: 2,
        latency_objective_factor: 1.5,
        latency_objective_base_ms: 600,
        has_policy: true,
    };
    pool.scheduler
        .set_queue_rules(HashMap::from([("queue".into(), rules)]));
    pool
}

#[test]
fn tasks_start_only_after_authorization_and_only_on_authorized_workers() {
    let mut pool = pool();
    pool.submit(1, job(vec![step(2)]));
    assert!(starts(&pool.round()).is_empty());
    let requests = pool.scheduler.policy_requests(pool.now());
    assert_eq!(requests.len(), 1);
    assert_eq!(requests[0].step, "0000000000000001.0.0");
    assert!(
        pool.scheduler.policy_requests(pool.now()).is_empty(),
        "the request was repeated at once"
    );
    pool.scheduler.apply_policy_decision(
        requests[0].task,
        vec![("two".into(), "t-2".into())],
        500,
        pool.now(),
    );
    let started = starts(&pool.round());
    assert_eq!(started.len(), 2);
    for (worker, task, _) in started {
        assert_eq!(worker, pool.key("two"));
        assert_eq!(
            pool.scheduler
                .authorization(worker, task, pool.now())
                .as_deref(),
            Some("t-2")
        );
    }
}

#[test]
fn a_new_request_follows_when_authorizations_expire() {
    let mut pool = pool();
    pool.submit(1, job(vec![step(9)]));
    let requests = pool.scheduler.policy_requests(pool.now());
    pool.scheduler.apply_policy_decision(
        requests[0].task,
        vec![("one".into(), "t-1".into())],
        500,
        pool.now(),
    );
    assert_eq!(starts(&pool.round()).len(), 4);
    pool.advance(501);
    assert!(starts(&pool.round()).is_empty());
    assert_eq!(pool.scheduler.policy_requests(pool.now()).len(), 1);
}
