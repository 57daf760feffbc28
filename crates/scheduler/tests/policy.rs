//! Steps of queues with a policy start only on workers that the policy service has authorized.

mod support;

use std::collections::HashMap;

use scheduler::{QueueRules, StartOutcome};
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

#[test]
fn an_authorization_for_the_previous_incarnation_of_a_worker_is_not_used() {
    let mut pool = pool();
    pool.report_since(Some(1), "one", &[], &[]);
    pool.submit(1, job(vec![step(2)]));
    let requests = pool.scheduler.policy_requests(pool.now());
    let allowed = vec![("one".into(), "t-1".into())];
    pool.scheduler
        .apply_policy_decision(requests[0].task, allowed, 5000, pool.now());
    pool.report_since(Some(2), "one", &[], &[]);
    assert!(starts(&pool.round()).is_empty());
    // Nobody else was authorized, so that the service is asked again.
    assert_eq!(pool.scheduler.policy_requests(pool.now()).len(), 1);
}

#[test]
fn an_authorization_that_a_worker_rejects_is_not_sent_again() {
    let mut pool = pool();
    pool.submit(1, job(vec![step(1)]));
    let requests = pool.scheduler.policy_requests(pool.now());
    let allowed = vec![("one".into(), "t-1".into()), ("two".into(), "t-2".into())];
    pool.scheduler
        .apply_policy_decision(requests[0].task, allowed, 5000, pool.now());
    let (first, task, attempt) = starts(&pool.round())[0];
    pool.apply_start(first, task, attempt, StartOutcome::NotAuthorized);
    let (second, task, attempt) = starts(&pool.round())[0];
    assert_ne!(first, second);
    pool.apply_start(second, task, attempt, StartOutcome::NotAuthorized);
    assert!(starts(&pool.round()).is_empty());
    // The worker is not to blame, and may run the step with the next authorization.
    let request = &pool.scheduler.policy_requests(pool.now())[0];
    assert_eq!(request.workers.len(), 2);
}

/// The service handles few requests at a time, and the decisions expire.
#[test]
fn no_request_is_spent_on_steps_of_a_team_at_its_limit() {
    let mut pool = pool();
    pool.limit_cpu(&[("red", 500)]);
    for id in 1..100 {
        pool.submit_for_team(id, "red", job(vec![step(1)]));
    }
    let blue = pool.submit_for_team(100, "blue", job(vec![step(1)]));
    let requests = pool.scheduler.policy_requests(pool.now());
    let jobs: Vec<_> = requests.iter().map(|request| request.task.job).collect();
    assert_eq!(jobs, [blue]);
}
