//! Placement, round by round: order, quotas, room for urgent jobs, failing workers and jobs.

use domain::{JobId, PoolId, TeamId, VmId};
use placement::{
    Class, Fleet, Job, JobSpec, JobState, ParkReason, Placer, Refusal, Step, TaskEnd, Team, Usage,
    Worker,
};

const S: u64 = 1_000_000;

fn vm(number: usize) -> VmId {
    VmId::new(&format!("vm-{number}")).unwrap()
}

fn id(job: &str) -> JobId {
    JobId::new(job).unwrap()
}

fn workers(count: usize) -> Vec<Worker> {
    let worker = |number| Worker {
        vm: vm(number),
        pool: PoolId::new("parts").unwrap(),
        size: Usage {
            cpu_milli: 4_000,
            memory_mb: 8_000,
        },
        is_open: true,
    };
    (0..count).map(worker).collect()
}

fn teams() -> Vec<Team> {
    let team = |id, quota_cpu_milli| Team {
        id: TeamId::new(id).unwrap(),
        quota_cpu_milli,
    };
    vec![team("a", 16_000), team("b", 16_000), team("small", 2_000)]
}

fn spec(team: &str, class: Class, cpu_milli: u32) -> JobSpec {
    JobSpec {
        team: TeamId::new(team).unwrap(),
        pool: PoolId::new("parts").unwrap(),
        class,
        cpu_milli,
        memory_mb: 1_000,
        run_s: 60,
        payload: String::new(),
    }
}

fn queued(name: &str, team: &str, class: Class, cpu_milli: u32, at_ms: u64) -> Job {
    Job::new(id(name), spec(team, class, cpu_milli), at_ms)
}

fn plan(workers: &[Worker], jobs: &[Job]) -> Vec<Step> {
    let teams = teams();
    let fleet = Fleet {
        workers,
        teams: &teams,
        jobs,
    };
    Placer::new().plan(fleet, 0)
}

fn started(steps: &[Step]) -> Vec<String> {
    let starts = steps.iter().filter_map(|step| match step {
        Step::Start(job, vm) => Some(format!("{job} on {vm}")),
        _ => None,
    });
    starts.collect()
}

#[test]
fn urgent_jobs_go_first_then_the_team_that_uses_least() {
    let running = queued("run", "a", Class::Batch, 2_000, 0)
        .started(vm(0))
        .unwrap();
    let jobs = [
        running,
        queued("a1", "a", Class::Batch, 4_000, 1),
        queued("b1", "b", Class::Batch, 2_000, 2),
        queued("u1", "a", Class::Urgent, 2_000, 3),
    ];
    assert_eq!(
        started(&plan(&workers(2), &jobs)),
        ["u1 on vm-0", "b1 on vm-1"]
    );
}

#[test]
fn a_team_stays_within_its_quota() {
    let jobs = [
        queued("s1", "small", Class::Urgent, 1_500, 1),
        queued("s2", "small", Class::Urgent, 1_500, 2),
    ];
    assert_eq!(started(&plan(&workers(2), &jobs)), ["s1 on vm-0"]);
}

#[test]
fn an_urgent_job_has_batch_jobs_leave_and_their_room_is_kept_for_it() {
    let batch = |name, number, at_ms| {
        queued(name, "a", Class::Batch, 2_000, at_ms)
            .started(vm(number))
            .unwrap()
    };
    let mut jobs = vec![
        batch("old", 0, 1),
        batch("young", 0, 2),
        batch("x", 1, 3),
        batch("y", 1, 4),
    ];
    jobs.push(queued("u", "b", Class::Urgent, 2_000, 5));
    jobs.push(queued("late", "b", Class::Batch, 2_000, 6));
    let steps = plan(&workers(2), &jobs);
    assert_eq!(steps, [Step::Leave(id("young"))]);
    jobs[1] = jobs[1].leaving();
    assert_eq!(
        plan(&workers(2), &jobs),
        [],
        "nobody else is asked while room is being made"
    );
    jobs[1] = jobs[1].ended(1, TaskEnd::Checkpointed, true).unwrap();
    let steps = plan(&workers(2), &jobs);
    assert_eq!(started(&steps)[0], "u on vm-0");
}

#[test]
fn jobs_leave_a_closed_worker_and_none_starts_there() {
    let mut workers = workers(2);
    workers[0].is_open = false;
    let jobs = [
        queued("run", "a", Class::Batch, 1_000, 1)
            .started(vm(0))
            .unwrap(),
        queued("new", "a", Class::Batch, 1_000, 2),
    ];
    let steps = plan(&workers, &jobs);
    assert!(steps.contains(&Step::Leave(id("run"))));
    assert_eq!(started(&steps), ["new on vm-1"]);
}

#[test]
fn observed_use_corrects_the_declared_size() {
    let small = queued("j", "a", Class::Batch, 1_000, 0);
    let large = small.observed(Usage {
        cpu_milli: 3_000,
        memory_mb: 500,
    });
    assert_eq!(
        large.needs(),
        Usage {
            cpu_milli: 3_600,
            memory_mb: 600
        }
    );
    let idle = small.observed(Usage {
        cpu_milli: 10,
        memory_mb: 10,
    });
    assert_eq!(
        idle.needs(),
        Usage {
            cpu_milli: 500,
            memory_mb: 500
        }
    );
    let exact = small.observed(Usage {
        cpu_milli: 1_000,
        memory_mb: 950,
    });
    assert_eq!(
        exact.needs(),
        Usage {
            cpu_milli: 1_000,
            memory_mb: 1_000
        }
    );
    let huge = small.observed(Usage {
        cpu_milli: 9_000,
        memory_mb: 500,
    });
    assert_eq!(plan(&workers(2), &[huge]), [Step::Park(id("j"))]);
}

#[test]
fn a_job_that_can_never_run_is_refused_at_submission() {
    let check = |spec: &JobSpec| Placer::check(spec, &workers(2), &teams());
    assert_eq!(check(&spec("a", Class::Batch, 4_000)), Ok(()));
    let err = check(&spec("a", Class::Batch, 4_001)).unwrap_err();
    assert!(matches!(err, Refusal::FitsNoWorker { .. }), "{err}");
    let err = check(&spec("nobody", Class::Batch, 1)).unwrap_err();
    assert_eq!(err.to_string(), "team: there is no team `nobody`");
    let err = check(&spec("small", Class::Batch, 3_000)).unwrap_err();
    assert!(matches!(err, Refusal::OverQuota { .. }), "{err}");
}

#[test]
fn a_job_that_fails_on_several_healthy_workers_is_parked() {
    let mut job = queued("j", "a", Class::Batch, 1_000, 0);
    for number in 0..3 {
        job = job.started(vm(number)).unwrap();
        job = job.ended(job.attempt, TaskEnd::Failed, true).unwrap();
    }
    let reason = ParkReason::KeepsFailing;
    assert_eq!(job.state, JobState::Parked { reason });
}

#[test]
fn failures_on_unhealthy_workers_and_losses_are_not_the_jobs_fault() {
    let mut job = queued("j", "a", Class::Batch, 1_000, 0);
    for number in 0..10 {
        job = job.started(vm(number)).unwrap();
        let end = if number % 2 == 0 {
            TaskEnd::Failed
        } else {
            TaskEnd::Lost
        };
        job = job.ended(job.attempt, end, false).unwrap();
    }
    assert_eq!(job.state, JobState::Queued);
}

#[test]
fn a_job_goes_elsewhere_after_a_failure() {
    let job = queued("j", "a", Class::Batch, 1_000, 0)
        .started(vm(0))
        .unwrap();
    let job = job.ended(1, TaskEnd::Failed, true).unwrap();
    assert_eq!(started(&plan(&workers(2), &[job])), ["j on vm-1"]);
}

#[test]
fn a_stale_attempts_result_is_ignored() {
    let job = queued("j", "a", Class::Batch, 1_000, 0)
        .started(vm(0))
        .unwrap();
    let job = job
        .ended(1, TaskEnd::Lost, true)
        .unwrap()
        .started(vm(1))
        .unwrap();
    assert!(job.ended(1, TaskEnd::Succeeded, true).is_err());
    assert_eq!(
        job.ended(2, TaskEnd::Succeeded, true).unwrap().state,
        JobState::Done
    );
}

#[test]
fn a_cancelled_job_stays_cancelled() {
    let job = queued("j", "a", Class::Batch, 1_000, 0)
        .started(vm(0))
        .unwrap();
    let cancelled = job.cancelled().unwrap();
    assert_eq!(
        cancelled.state,
        JobState::Cancelled {
            last_vm: Some(vm(0))
        }
    );
    assert!(cancelled.ended(1, TaskEnd::Succeeded, true).is_err());
    assert!(cancelled.started(vm(1)).is_err());
    assert!(cancelled.cancelled().is_err());
}

#[test]
fn a_worker_on_which_distinct_jobs_fail_is_quarantined_within_a_cap() {
    let pool: Vec<_> = (0..10).map(vm).collect();
    let mut placer = Placer::new();
    for worker in 0..5 {
        for job in ["x", "y", "z"] {
            placer.quarantine.failed(&vm(worker), &id(job), &pool, 0);
        }
    }
    let count = |now_us| {
        pool.iter()
            .filter(|vm| placer.quarantine.has(vm, now_us))
            .count()
    };
    assert_eq!(count(1), 2, "a fifth of ten");
    assert_eq!(count(61 * S), 0);
}

#[test]
fn one_job_alone_does_not_quarantine_a_worker() {
    let pool: Vec<_> = (0..10).map(vm).collect();
    let mut placer = Placer::new();
    for _ in 0..10 {
        placer.quarantine.failed(&vm(0), &id("x"), &pool, 0);
    }
    assert!(!placer.quarantine.has(&vm(0), 1));
    placer.quarantine.succeeded(&vm(0));
    placer.quarantine.failed(&vm(0), &id("y"), &pool, 0);
    placer.quarantine.failed(&vm(0), &id("z"), &pool, 0);
    assert!(
        !placer.quarantine.has(&vm(0), 1),
        "a success starts the count anew"
    );
}
