//! What teams use of a pool, the limits on it, and the demand that limits leave.

mod support;

use scheduler::StartOutcome;
use smol_str::SmolStr;
use submission::{AttemptOutcome, Resources, StepSpec, TaskKey};
use support::load::{JobKind, LoadedPool, TeamLoad};
use support::{LEASE_MS, Pool, job, limits, service_step, sized_step, started_jobs, starts, step};

const WORKERS: [&str; 3] = ["one", "two", "three"];

#[test]
fn a_team_is_kept_at_its_limit_beside_teams_without_one() {
    let mut pool = Pool::new(&WORKERS);
    pool.limit_cpu(&[("red", 3500)]);
    pool.submit_for_team(1, "red", job(vec![step(8)]));
    pool.submit_for_team(2, "blue", job(vec![step(4)]));
    pool.submit(3, job(vec![step(2)]));
    let commands = pool.round();
    assert_eq!(starts(&commands).len(), 3 + 4 + 2);
    assert_eq!(pool.team_cpu("red"), (3000, 5000));
    assert_eq!(pool.team_cpu("blue"), (4000, 0));
}

#[test]
fn each_resource_is_limited() {
    for resource in 0..3 {
        let needs = [100, 100, 1];
        let mut pool = Pool::new(&[]);
        let mut info = support::worker("one");
        info.capacity.gpus = 8;
        pool.scheduler.set_workers(vec![info], pool.now());
        pool.report("one", &[], &[]);
        let mut limit = [u32::MAX; 3];
        limit[resource] = needs[resource] * 2;
        let resources = |[cpu_milli, memory_mb, gpus]: [u32; 3]| Resources {
            cpu_milli,
            memory_mb,
            gpus,
        };
        let limits = [("red".into(), resources(limit))].into();
        pool.scheduler.set_team_limits(limits);
        let spec = StepSpec {
            needs: resources(needs),
            ..step(5)
        };
        pool.submit_for_team(1, "red", job(vec![spec]));
        assert_eq!(starts(&pool.round()).len(), 2, "resource {resource}");
    }
}

#[test]
fn best_effort_tasks_count_with_all_that_they_are_declared_to_need() {
    let mut pool = Pool::new(&WORKERS);
    pool.limit_cpu(&[("red", 2000)]);
    let spec = StepSpec {
        is_best_effort: true,
        ..step(8)
    };
    pool.submit_for_team(1, "red", job(vec![spec]));
    assert_eq!(starts(&pool.round()).len(), 2);
    assert_eq!(pool.team_cpu("red"), (2000, 6000));
}

#[test]
fn a_gang_starts_as_a_whole_below_the_limit_or_not_at_all() {
    let mut pool = Pool::new(&WORKERS);
    pool.limit_cpu(&[("red", 3900)]);
    let gang = StepSpec {
        is_gang: true,
        ..step(4)
    };
    let small = pool.submit_for_team(1, "red", job(vec![step(1)]));
    pool.submit_for_team(2, "red", job(vec![gang]));
    assert_eq!(started_jobs(&mut pool), [small.0]);
    pool.limit_cpu(&[("red", 5000)]);
    assert_eq!(starts(&pool.round()).len(), 4);
}

/// An operator may lower the cap far below what the team has running.
#[test]
fn no_task_starts_while_a_lowered_limit_is_exceeded() {
    let mut pool = Pool::new(&WORKERS);
    pool.submit_for_team(1, "red", job(vec![step(10)]));
    let commands = pool.round();
    let started = pool.confirm_starts(&commands);
    pool.limit_cpu(&[("red", 2000)]);
    for (number, (worker, task, attempt)) in (1..).zip(&started[..8]) {
        let end = (
            number,
            pool.task_name(*task),
            *attempt,
            AttemptOutcome::Failed,
        );
        pool.advance(10);
        report_beside(
            &mut pool,
            worker,
            &started[usize::try_from(number).unwrap()..],
            end,
        );
        assert_eq!(starts(&pool.round()), [], "after {number} ends");
    }
    assert_eq!(pool.team_cpu("red"), (2000, 8000));
    let (worker, task, attempt) = started[8].clone();
    let end = (9, pool.task_name(task), attempt, AttemptOutcome::Failed);
    pool.advance(10);
    report_beside(&mut pool, &worker, &started[9..], end);
    assert_eq!(starts(&pool.round()).len(), 1);
}

/// Reports an end on a worker and, as running, those of `started` that are on the worker.
fn report_beside(
    pool: &mut Pool,
    worker: &SmolStr,
    started: &[(SmolStr, TaskKey, u32)],
    end: (u64, SmolStr, u32, AttemptOutcome),
) {
    let running = started.iter().filter(|(id, ..)| id == worker);
    let running: Vec<_> = running
        .map(|(_, task, attempt)| (pool.task_name(*task), *attempt, 50))
        .collect();
    pool.report(worker, &running, &[end]);
}

#[test]
fn an_attempt_counts_while_its_outcome_is_unknown_and_until_its_end_after_a_cancel() {
    let mut pool = Pool::new(&["one"]);
    let id = pool.submit_for_team(1, "red", job(vec![step(2)]));
    let commands = pool.round();
    let [(worker, first, attempt), (_, second, _)] = starts(&commands)[..] else {
        panic!("two starts");
    };
    pool.apply_start(worker, first, attempt, StartOutcome::OutcomeUnknown);
    pool.apply_start(worker, second, attempt, StartOutcome::OutcomeUnknown);
    pool.scheduler.cancel(id, pool.now());
    pool.round();
    pool.advance(LEASE_MS);
    assert_eq!(pool.team_cpu("red"), (2000, 0));
    let name = pool.task_name(first);
    pool.report("one", &[(name, attempt, 5)], &[]);
    pool.advance(10);
    pool.report("one", &[], &[]);
    assert_eq!(
        pool.team_cpu("red"),
        (1000, 0),
        "one start may still arrive"
    );
    pool.scheduler.mark_unresponsive(worker);
    pool.advance(2 * LEASE_MS);
    assert_eq!(pool.team_cpu("red"), (0, 0));
}

/// A worker may be silent for as long as ended jobs are retained, and its attempts run until their leases expire.
#[test]
fn a_removed_job_leaves_no_attempt_without_an_account() {
    let mut pool = Pool::new(&["one"]);
    let id = pool.submit_for_team(1, "red", job(vec![step(1)]));
    let commands = pool.round();
    pool.confirm_starts(&commands);
    pool.scheduler.cancel(id, pool.now());
    pool.round();
    pool.advance(limits().ended_job_retention_ms + 1);
    assert_eq!(pool.team_cpu("red"), (1000, 0));
    pool.report("one", &[], &[]);
    pool.advance(1);
    assert!(pool.scheduler.job(id).is_none());
    assert_eq!(pool.team_cpu("red"), (0, 0));
}

#[test]
fn an_attempt_that_runs_without_being_assigned_counts_until_a_report_lacks_it() {
    let mut pool = Pool::new(&["one"]);
    pool.limit_cpu(&[("red", 1000)]);
    let id = pool.submit_for_team(1, "red", job(vec![step(1)]));
    let name = pool.task_name(TaskKey { job: id, index: 0 });
    pool.report("one", &[(name, 7, 5)], &[]);
    assert_eq!(pool.team_cpu("red"), (1000, 1000));
    assert_eq!(starts(&pool.round()), []);
    pool.report("one", &[], &[]);
    assert_eq!(pool.team_cpu("red"), (0, 1000));
    assert_eq!(starts(&pool.round()).len(), 1);
}

#[test]
fn a_new_owner_counts_what_the_rows_record_before_any_worker_reports() {
    let mut previous = Pool::new(&WORKERS);
    let id = previous.submit_for_team(1, "red", job(vec![step(6)]));
    previous.round();
    let adopted = previous.scheduler.job(id).unwrap().clone();
    let mut pool = Pool::new(&[]);
    pool.limit_cpu(&[("red", 6000)]);
    pool.scheduler.adopt_job(adopted, pool.now());
    pool.set_registry(&["four"]);
    pool.report("four", &[], &[]);
    pool.submit_for_team(2, "red", job(vec![step(1)]));
    assert_eq!(starts(&pool.round()), []);
    assert_eq!(pool.team_cpu("red"), (6000, 1000));
}

/// Thousands of steps of a team at its limit are before those of 19 others, and the round visits at most hundreds.
#[test]
fn steps_of_a_team_at_its_limit_do_not_hold_up_other_teams() {
    let mut pool = Pool::new(&WORKERS);
    pool.limit_cpu(&[("red", 1000)]);
    for id in 0..3000 {
        pool.submit_for_team(id, "red", job(vec![step(1)]));
    }
    pool.advance(10);
    for id in 3000..3010 {
        let team = format!("team-{id}");
        pool.submit_for_team(id, &team, job(vec![step(1)]));
    }
    let started = starts(&pool.round());
    assert_eq!(started.len(), 11);
    assert_eq!(pool.team_cpu("red"), (1000, 2_999_000));
}

/// Sizes differ from job to job. A step that is larger than the whole limit must not keep the others from starting.
#[test]
fn a_step_beyond_the_limit_does_not_block_smaller_ones_of_its_team() {
    let mut pool = Pool::new(&WORKERS);
    pool.limit_cpu(&[("red", 1500)]);
    pool.submit_for_team(1, "red", job(vec![sized_step(2000)]));
    pool.submit_for_team(2, "red", job(vec![sized_step(1000)]));
    assert_eq!(starts(&pool.round()).len(), 1);
}

/// Work that has to wait for the limit of its team, not for a worker, asks for no VMs.
#[test]
fn a_burst_of_a_team_at_its_limit_asks_for_no_more_workers_than_the_limit() {
    let kind = JobKind {
        estimate_percent: 100,
        tasks: 8,
        cpu_milli: 2400,
        duration_ms: 800,
    };
    let demand = |limit_cpu_milli| {
        let mut loaded = LoadedPool::new(4);
        loaded.pool.limit_cpu(&[("red", limit_cpu_milli)]);
        let loads = [("red", 100_000), ("", 5000)].map(|(team, millijobs_per_s)| TeamLoad {
            team: team.into(),
            kind,
            millijobs_per_s,
        });
        loaded.run_teams(&loads, 1500);
        let now = loaded.pool.now();
        let demand = loaded.scheduler().demand(now);
        (demand.urgent_demand_workers, demand.total_demand_workers)
    };
    let (urgent, total) = demand(64_000);
    let without_team = usize::try_from(2 * kind.cpu_milli_for(5) / 32_000).unwrap();
    assert!(total <= 3 + without_team, "{total} workers");
    assert!(urgent >= 2, "{urgent} workers");
    let (_, without_limit) = demand(u32::MAX);
    assert!(
        without_limit > 40,
        "{without_limit} workers without a limit"
    );
}

#[test]
fn service_tasks_beyond_the_limit_of_their_team_ask_for_no_workers() {
    let mut pool = Pool::new(&WORKERS);
    pool.limit_cpu(&[("red", 3000)]);
    pool.submit_for_team(1, "red", job(vec![service_step(24, 1)]));
    let now = pool.now();
    assert_eq!(pool.scheduler.demand(now).service_demand_workers, 3);
    pool.limit_cpu(&[]);
    assert_eq!(pool.scheduler.demand(now).service_demand_workers, 24);
}
