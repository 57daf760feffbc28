//! Steps of queues with a policy start only on workers that the policy service has authorized.

mod support;

use std::collections::HashMap;

use scheduler::{PolicyRequest, PolicyRules, QueueRules, StartOutcome, WorkerKey};
use submission::TaskKey;
use support::{Pool, job, starts, step};

fn pool() -> Pool {
    pool_of(&["one", "two"])
}

fn pool_of(workers: &[&str]) -> Pool {
    let mut pool = Pool::new(workers);
    set_rules(&mut pool, 600);
    pool
}

fn set_rules(pool: &mut Pool, latency_objective_base_ms: u64) {
    let rules = QueueRules {
        priority: 0,
        max_failures: 2,
        latency_objective_factor: 1.5,
        latency_objective_base_ms,
        policy: Some(PolicyRules::default()),
    };
    pool.scheduler
        .set_queue_rules(HashMap::from([("queue".into(), rules)]));
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

/// Guards against: a start without an authorization that workers refuse is repeated at once, hundreds of times a second, where the
/// owner does not know of the policy.
#[test]
fn a_start_that_is_refused_for_want_of_an_authorization_is_repeated_with_one() {
    let mut pool = Pool::new(&["one", "two"]);
    pool.submit(1, job(vec![step(1)]));
    let (worker, task, attempt) = starts(&pool.round())[0];
    pool.apply_start(worker, task, attempt, StartOutcome::NotAuthorized);
    assert_eq!(starts(&pool.round()), []);
    assert!(pool.scheduler.has_policies());
    let requests = pool.scheduler.policy_requests(pool.now());
    let allowed = vec![("two".into(), "t-2".into())];
    pool.scheduler
        .apply_policy_decision(requests[0].task, allowed, 5000, pool.now());
    let (worker, task, _) = starts(&pool.round())[0];
    assert_eq!(worker, pool.key("two"));
    let token = pool.scheduler.authorization(worker, task, pool.now());
    assert_eq!(token.as_deref(), Some("t-2"));
    pool.scheduler.cancel(task.job, pool.now());
    assert!(!pool.scheduler.has_policies());
}

/// More workers than a request names, as in the pool of the review's case 4.
fn large_pool(names: &[String]) -> Pool {
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    pool_of(&names)
}

fn names() -> Vec<String> {
    (0..62).map(|number| format!("w-{number}")).collect()
}

/// Plays the policy service, which decides within 60 ms and allows `allowed`, until `for_ms` have passed. Returns what started and the
/// requests.
fn serve(
    pool: &mut Pool,
    allowed: impl Fn(&str) -> bool,
    for_ms: u64,
) -> (Vec<(WorkerKey, TaskKey, u32)>, Vec<PolicyRequest>) {
    let (mut started, mut served) = (Vec::new(), Vec::new());
    let end_ms = pool.now().local_ms + for_ms;
    while pool.now().local_ms < end_ms {
        let requests = pool.scheduler.policy_requests(pool.now());
        pool.advance(60);
        for request in requests {
            let workers = request.workers.iter().filter(|id| allowed(id));
            let workers = workers.map(|id| (id.clone(), "token".into()));
            let workers = workers.collect();
            pool.scheduler
                .apply_policy_decision(request.task, workers, 10_000, pool.now());
            served.push(request);
        }
        started.extend(starts(&pool.round()));
    }
    (started, served)
}

/// Guards against: the service is asked on the same 30 workers each second, and the job waits for good beside three idle ones
/// that it would allow.
#[test]
fn workers_that_were_never_asked_about_are_asked_about_before_the_same_ones_again() {
    let names = names();
    for first_allowed in [0, 29, 30, 45, 59] {
        let mut pool = large_pool(&names);
        pool.submit(1, job(vec![step(2)]));
        let allowed: Vec<_> = names[first_allowed..].iter().take(3).collect();
        let is_allowed = |id: &str| allowed.iter().any(|name| *name == id);
        let (started, _) = serve(&mut pool, is_allowed, 1000);
        assert_eq!(started.len(), 2, "allowed from {first_allowed}");
    }
}

/// Guards against: a job waits until its authorizations expire, as all authorized workers are full, beside idle ones.
#[test]
fn further_workers_are_asked_about_when_the_authorized_ones_are_full() {
    let names = names();
    let mut pool = large_pool(&names);
    pool.submit(1, job(vec![step(8)]));
    let is_allowed = |id: &str| ["w-0", "w-61"].contains(&id);
    let (started, _) = serve(&mut pool, is_allowed, 1000);
    // Each of them has room for four.
    assert_eq!(started.len(), 8);
}

/// Guards against: the workers with the most free CPU are named, and those are authorized that the step can't run on.
#[test]
fn only_workers_with_the_label_and_the_size_of_a_step_are_asked_about() {
    let names = names();
    let mut pool = large_pool(&names);
    let mut infos: Vec<_> = names.iter().map(|name| support::worker(name)).collect();
    infos[61].labels.insert(0, "special".into());
    infos[60].capacity.gpus = 1;
    pool.scheduler.set_workers(infos, pool.now());
    let mut labelled = step(1);
    labelled.required_label = "special".into();
    let mut with_gpu = step(1);
    with_gpu.needs.gpus = 1;
    pool.submit(1, job(vec![labelled]));
    pool.submit(2, job(vec![with_gpu]));
    let (started, served) = serve(&mut pool, |_| true, 100);
    let workers: Vec<_> = started.iter().map(|(worker, ..)| *worker).collect();
    assert_eq!(workers, [pool.key("w-61"), pool.key("w-60")]);
    assert!(served.iter().all(|request| request.workers.len() == 1));
}

/// Guards against: steps that no worker may run use up the time of the service.
#[test]
fn steps_that_every_worker_was_refused_for_are_asked_about_seldom_and_after_others() {
    let names = names();
    let mut pool = large_pool(&names);
    for id in 1..=20 {
        pool.submit(id, job(vec![step(1)]));
    }
    let (started, served) = serve(&mut pool, |_| false, 9000);
    assert_eq!(started.len(), 0);
    assert_eq!(served.len(), 20 * 3, "62 workers, 30 in a request");
    // The first decisions expire while the service decides on the others.
    pool.advance(10_000);
    let new = pool.submit(21, job(vec![step(1)]));
    let requests = pool.scheduler.policy_requests(pool.now());
    assert_eq!(requests[0].task.job, new);
    assert_eq!(requests.len(), 4);
}

/// Guards against: so many steps that no worker may run are examined first that no other is.
#[test]
fn many_steps_that_every_worker_was_refused_for_hold_up_no_other() {
    let mut pool = pool();
    // All are on time, so that the older ones rank first.
    set_rules(&mut pool, 600_000);
    for id in 1..=200 {
        pool.submit(id, job(vec![step(1)]));
    }
    let (started, served) = serve(&mut pool, |_| false, 9000);
    assert_eq!((started.len(), served.len()), (0, 200));
    pool.advance(10_000);
    let new = pool.submit(201, job(vec![step(1)]));
    let requests = pool.scheduler.policy_requests(pool.now());
    assert_eq!(requests[0].task.job, new);
}

/// Guards against: half of the requests go to the steps that have waited longest, and these are steps without hope.
#[test]
fn steps_that_every_worker_was_refused_for_take_no_request_from_others() {
    let mut pool = pool();
    // All are on time, so that the older ones rank first.
    set_rules(&mut pool, 600_000);
    for id in 1..=20 {
        pool.submit(id, job(vec![step(1)]));
    }
    serve(&mut pool, |_| false, 1000);
    pool.advance(20_000);
    for id in 21..=24 {
        pool.submit(id, job(vec![step(1)]));
    }
    let requests = pool.scheduler.policy_requests(pool.now());
    let mut jobs: Vec<_> = requests.iter().map(|request| request.task.job.0).collect();
    jobs.sort_unstable();
    assert_eq!(jobs, [21, 22, 23, 24]);
}

/// Guards against: the service is asked again and again about the first steps, whose workers are full when their authorizations
/// come and expire, and never about the step behind them.
#[test]
fn a_step_is_asked_about_behind_steps_whose_authorizations_expire_before_they_can_start() {
    let mut pool = pool();
    // All are on time, so that the older ones rank first.
    set_rules(&mut pool, 600_000);
    pool.submit(0, job(vec![step(4)]));
    let (started, _) = serve(&mut pool, |id| id == "one", 60);
    assert_eq!(started.len(), 4);
    for id in 1..=100 {
        pool.submit(id, job(vec![step(1)]));
    }
    let last = pool.submit(101, job(vec![step(1)]));
    for _ in 0..100 {
        let requests = pool.scheduler.policy_requests(pool.now());
        // The service takes 80 ms for a decision.
        pool.advance(80 * requests.len() as u64);
        for request in requests {
            let worker = if request.task.job == last {
                "two"
            } else {
                "one"
            };
            let allowed = vec![(worker.into(), "token".into())];
            pool.scheduler
                .apply_policy_decision(request.task, allowed, 1000, pool.now());
        }
        if !starts(&pool.round()).is_empty() {
            return;
        }
        pool.advance(60);
    }
    panic!("the last step was not asked about in 100 rounds of requests");
}

/// Guards against: a step whose authorizations have expired waits until all other workers were asked about.
#[test]
fn workers_whose_authorization_has_expired_are_asked_about_first() {
    let names = names();
    let mut pool = large_pool(&names);
    pool.submit(1, job(vec![step(8)]));
    let (started, served) = serve(&mut pool, |id| id == "w-0", 60);
    assert_eq!((started.len(), served.len()), (4, 1));
    pool.advance(10_000);
    let requests = pool.scheduler.policy_requests(pool.now());
    assert_eq!(requests[0].workers[0], "w-0");
}

/// Guards against: a request names the same 30 workers again, which are full and whose authorizations expire before the step's next
/// request, and never the one that has room.
#[test]
fn a_worker_with_room_is_asked_about_beside_full_ones_whose_authorizations_expire() {
    let names = names();
    let mut pool = large_pool(&names[..30]);
    pool.submit(1, job(vec![step(120)]));
    let (started, _) = serve(&mut pool, |_| true, 1000);
    assert_eq!(started.len(), 120, "all workers are full");
    pool.submit(2, job(vec![step(1)]));
    for asked in 0..20 {
        let requests = pool.scheduler.policy_requests(pool.now());
        for request in requests {
            let workers = request.workers.iter();
            let allowed = workers.map(|id| (id.clone(), "token".into())).collect();
            pool.scheduler
                .apply_policy_decision(request.task, allowed, 100, pool.now());
        }
        if !starts(&pool.round()).is_empty() {
            return;
        }
        pool.advance(500);
        if asked == 0 {
            let names: Vec<_> = names[..31].iter().map(String::as_str).collect();
            pool.set_registry(&names);
            pool.report("w-30", &[], &[]);
        }
    }
    panic!("the worker with room was not asked about in 20 requests");
}

/// Guards against: requests without a response are repeated for the same workers.
#[test]
fn a_request_without_a_response_is_followed_by_one_for_other_workers() {
    let names = names();
    let mut pool = large_pool(&names);
    pool.submit(1, job(vec![step(1)]));
    let mut asked = Vec::new();
    for _ in 0..3 {
        let requests = pool.scheduler.policy_requests(pool.now());
        asked.extend(requests.into_iter().flat_map(|request| request.workers));
        pool.advance(2500);
    }
    asked.sort();
    asked.dedup();
    assert_eq!(asked.len(), 62);
}

#[test]
fn workers_that_come_later_are_asked_about() {
    let mut pool = pool();
    pool.submit(1, job(vec![step(1)]));
    let (started, _) = serve(&mut pool, |id| id == "three", 500);
    assert_eq!(started.len(), 0);
    pool.set_registry(&["one", "two", "three"]);
    pool.report("three", &[], &[]);
    let (started, served) = serve(&mut pool, |id| id == "three", 500);
    assert_eq!(started.len(), 1);
    assert_eq!(served[0].workers, ["three"]);
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
