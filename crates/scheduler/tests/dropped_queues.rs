//! Jobs of queues that a configuration has dropped go on under the rules under which they were accepted.

mod support;

use std::collections::HashMap;
use std::sync::Arc;

use scheduler::{PolicyRules, QueueRules, StartOutcome};
use submission::{AttemptOutcome, Job, JobId, TaskKey};
use support::{Pool, job, started_jobs, starts, step};

const JOB: JobId = JobId(1);

fn rules() -> QueueRules {
    QueueRules {
        priority: 0,
        max_failures: 2,
        latency_objective_factor: 1.5,
        latency_objective_base_ms: 600,
        policy: None,
    }
}

fn with_policy() -> QueueRules {
    QueueRules {
        policy: Some(PolicyRules::default()),
        ..rules()
    }
}

/// A pool whose queue has these rules.
fn pool(rules: QueueRules) -> Pool {
    let mut pool = Pool::new(&["one", "two"]);
    let rules = HashMap::from([("queue".into(), rules)]);
    pool.scheduler.set_queue_rules(rules);
    pool
}

fn drop_queue(pool: &mut Pool) {
    let other = HashMap::from([("other".into(), rules())]);
    pool.scheduler.set_queue_rules(other);
}

/// Has the policy service authorize worker `one` for the first task of the job.
fn authorize(pool: &mut Pool) {
    let task = TaskKey { job: JOB, index: 0 };
    let allowed = vec![("one".into(), "t-1".into())];
    let now = pool.now();
    pool.scheduler
        .apply_policy_decision(task, allowed, 5000, now);
}

/// Checks that the job's task starts only with an authorization.
fn check_needs_authorization(pool: &mut Pool) {
    assert_eq!(starts(&pool.round()), []);
    assert!(pool.scheduler.has_policies());
    assert_eq!(pool.scheduler.policy_requests(pool.now()).len(), 1);
    authorize(pool);
    let started = starts(&pool.round());
    assert_eq!(started.len(), 1);
    let (worker, task, _) = started[0];
    let token = pool.scheduler.authorization(worker, task, pool.now());
    assert_eq!(token.as_deref(), Some("t-1"));
}

/// Guards against LOST: steps of a queue with a policy that a configuration had dropped were started without an authorization, which
/// workers refused again and again.
#[test]
fn steps_of_a_dropped_queue_with_a_policy_start_only_with_an_authorization() {
    let mut pool = pool(with_policy());
    pool.submit(JOB.0, job(vec![step(1)]));
    drop_queue(&mut pool);
    check_needs_authorization(&mut pool);
}

/// Guards against the same failure where another daemon takes the pool over after the change of the configuration.
#[test]
fn the_next_owner_knows_the_policy_of_a_dropped_queue() {
    let mut pool = pool(rules());
    drop_queue(&mut pool);
    let spec = Arc::new(job(vec![step(1)]));
    let adopted = Job::new(JOB, "queue".into(), spec, 0).with_accepted_rules(Some(with_policy()));
    pool.scheduler.adopt_job(adopted, pool.now());
    check_needs_authorization(&mut pool);
}

/// Guards against the same failure where the configuration has dropped the queue between the acceptance of a job by one daemon and
/// its submission to the owner of the pool.
#[test]
fn a_job_is_submitted_with_the_policy_under_which_it_was_accepted() {
    let mut pool = pool(rules());
    drop_queue(&mut pool);
    let spec = Arc::new(job(vec![step(1)]));
    let accepted = Job::new(JOB, "queue".into(), spec, 0).with_accepted_rules(Some(with_policy()));
    pool.scheduler.submit_job(accepted, pool.now());
    check_needs_authorization(&mut pool);
}

#[test]
fn the_present_rules_of_a_queue_go_before_those_of_its_jobs() {
    let mut pool = pool(with_policy());
    pool.submit(JOB.0, job(vec![step(1)]));
    pool.scheduler
        .set_queue_rules(HashMap::from([("queue".into(), rules())]));
    let started = starts(&pool.round());
    assert_eq!(started.len(), 1);
    let (worker, task, attempt) = started[0];
    pool.apply_start(worker, task, attempt, StartOutcome::Started);
}

#[test]
fn no_decisions_are_requested_once_the_jobs_of_a_dropped_queue_have_ended() {
    let mut pool = pool(with_policy());
    pool.submit(JOB.0, job(vec![step(1)]));
    drop_queue(&mut pool);
    pool.scheduler.cancel(JOB, pool.now());
    assert!(!pool.scheduler.has_policies());
}

/// Has each attempt of the job's task fail that starts in `rounds` rounds. Returns the number of attempts.
fn failed_attempts(pool: &mut Pool, rounds: u64) -> usize {
    let mut attempts = 0;
    for number in 1..=rounds {
        let started = starts(&pool.round());
        for &(worker, task, attempt) in &started {
            pool.apply_start(worker, task, attempt, StartOutcome::Started);
            let id = pool.scheduler.worker(worker).unwrap().id.clone();
            let name = pool.task_name(task);
            pool.report(&id, &[], &[(number, name, attempt, AttemptOutcome::Failed)]);
        }
        attempts += started.len();
        // Longer than a worker is blocklisted whose attempts fail.
        pool.advance(20_000);
        for id in ["one", "two"] {
            pool.report(id, &[], &[]);
        }
    }
    attempts
}

/// Guards against BUDGET: a task that always fails was started without end once a configuration had dropped its queue.
#[test]
fn a_task_of_a_dropped_queue_fails_its_job_after_the_attempts_of_its_queue() {
    let mut pool = pool(rules());
    pool.submit(JOB.0, job(vec![step(1)]));
    drop_queue(&mut pool);
    assert_eq!(failed_attempts(&mut pool, 5), 2);
    assert!(pool.has_ended(JOB));
}

/// Guards against the same failure where another daemon takes the pool over after the change of the configuration.
#[test]
fn the_next_owner_knows_the_limit_on_failed_attempts_of_a_dropped_queue() {
    let mut pool = pool(rules());
    drop_queue(&mut pool);
    let spec = Arc::new(job(vec![step(1)]));
    let adopted = Job::new(JOB, "queue".into(), spec, 0).with_accepted_rules(Some(rules()));
    pool.scheduler.adopt_job(adopted, pool.now());
    assert_eq!(failed_attempts(&mut pool, 5), 2);
    assert!(pool.has_ended(JOB));
}

/// Guards against: jobs of a queue that a configuration had dropped were placed behind all others, and counted as late at once.
#[test]
fn jobs_of_a_dropped_queue_keep_their_priority_and_their_latency_objective() {
    let urgent = QueueRules {
        priority: 0,
        latency_objective_base_ms: 60_000,
        ..rules()
    };
    let other = QueueRules {
        priority: 1,
        ..urgent
    };
    let mut pool = pool(urgent);
    // One job at a time has room.
    pool.set_registry(&["one"]);
    let others = HashMap::from([("other".into(), other)]);
    pool.scheduler.set_queue_rules(others);
    let mut submit = |id, queue: &str, rules| {
        let spec = Arc::new(job(vec![step(4)]));
        let accepted_at_ms = pool.now().store_ms;
        let job = Job::new(JobId(id), queue.into(), spec, accepted_at_ms);
        let job = job.with_accepted_rules(Some(rules));
        pool.scheduler.submit_job(job, pool.now());
    };
    submit(1, "other", other);
    submit(2, "queue", urgent);
    pool.advance(10_000);
    pool.report("one", &[], &[]);
    assert_eq!(started_jobs(&mut pool), [2, 2, 2, 2]);
}

/// Guards against: the time that the policy service needs was not known for the steps of a dropped queue, so that a decision
/// that takes long was given up too early.
#[test]
fn the_policy_of_a_dropped_queue_is_given_the_time_that_it_needs() {
    let policy = PolicyRules {
        decision_base_ms: 20_000,
        decision_per_worker_ms: 100,
    };
    let mut pool = pool(QueueRules {
        policy: Some(policy),
        ..rules()
    });
    pool.submit(JOB.0, job(vec![step(1)]));
    drop_queue(&mut pool);
    let request = &pool.scheduler.policy_requests(pool.now())[0];
    assert_eq!(request.expected_ms, 20_200);
}
