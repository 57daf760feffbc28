//! Decisions under the loads that they answer.

mod support;

use scheduler::StartOutcome;
use submission::{JobId, TaskKey};
use support::load::{JobKind, LoadedPool};
use support::{Pool, job, service_step, sized_step, starts, step};

/// A small job: five times the mean load of such jobs arrives in a peak.
const SMALL: JobKind = JobKind {
    tasks: 6,
    cpu_milli: 1800,
    duration_ms: 800,
    estimate_percent: 100,
};

/// A job ten times as large as [`SMALL`].
const LARGE: JobKind = JobKind { tasks: 60, ..SMALL };

/// Moved VMs are ready after 2 s, and the latency objective of the small jobs is 1.8 s, so that the demand has to show the
/// height of the peak well before the first jobs miss their objective.
#[test]
fn the_demand_shows_the_height_of_a_peak_half_a_second_after_its_beginning() {
    for per_s in [20, 40, 80] {
        let mut loaded = LoadedPool::new(3);
        loaded.run(&[SMALL], per_s, 500);
        let now = loaded.pool.now();
        let demand = loaded.scheduler().demand(now).urgent_demand_workers;
        let required = usize::try_from(SMALL.cpu_milli_for(per_s).div_ceil(32_000)).unwrap();
        assert!(
            demand >= required,
            "{per_s} jobs/s: {demand} of {required} workers"
        );
    }
}

/// The longer a job, the longer the time over which the rate of its arrivals is usually measured. With many jobs a second,
/// a short time tells the rate as well.
#[test]
fn the_demand_shows_the_height_of_a_peak_of_many_long_jobs_within_a_third_of_a_second() {
    let long = JobKind {
        duration_ms: 2000,
        ..SMALL
    };
    for per_s in [40, 80, 160] {
        let mut loaded = LoadedPool::new(3);
        loaded.run(&[long], per_s, 330);
        let now = loaded.pool.now();
        let demand = loaded.scheduler().demand(now).urgent_demand_workers;
        let required = usize::try_from(long.cpu_milli_for(per_s).div_ceil(32_000)).unwrap();
        assert!(
            demand >= required * 9 / 10,
            "{per_s} jobs/s: {demand} of {required} workers"
        );
    }
}

#[test]
fn the_demand_of_a_steady_load_is_not_raised_by_chance() {
    let mut loaded = LoadedPool::new(60);
    loaded.run(&[SMALL], 100, 3000);
    let required = usize::try_from(SMALL.cpu_milli_for(100).div_ceil(32_000)).unwrap();
    for _ in 0..20 {
        loaded.run(&[SMALL], 100, 100);
        let now = loaded.pool.now();
        let demand = loaded.scheduler().demand(now).urgent_demand_workers;
        assert!(
            demand <= required * 3 / 2,
            "{demand} workers, {required} required"
        );
    }
}

#[test]
fn the_demand_falls_after_the_end_of_a_peak() {
    let mut loaded = LoadedPool::new(20);
    loaded.run(&[SMALL], 30, 3000);
    loaded.run(&[SMALL], 0, 2000);
    let now = loaded.pool.now();
    assert_eq!(loaded.scheduler().demand(now).urgent_demand_workers, 2);
}

/// The estimated duration comes from the caller and has no upper bound.
#[test]
fn a_long_job_does_not_hold_workers_that_it_does_not_use() {
    for duration_ms in [60_000, 3_600_000, u64::MAX / 100] {
        let long = JobKind {
            duration_ms,
            ..SMALL
        };
        let mut loaded = LoadedPool::new(3);
        loaded.submit(long);
        loaded.run(&[SMALL], 0, 2500);
        let now = loaded.pool.now();
        let demand = loaded.scheduler().demand(now).urgent_demand_workers;
        assert_eq!(demand, 2, "{duration_ms} ms");
    }
}

/// A fixed pool gets three times the work that it can do for the length of a peak. It can do three quarters of the work
/// while the results are of use. The deployment's rule is that the largest jobs are served at least half as often as all.
#[test]
fn under_overload_most_jobs_are_done_while_their_results_are_of_use_and_no_size_starves() {
    let kinds = [SMALL, SMALL, SMALL, SMALL, LARGE];
    let mut loaded = LoadedPool::new(10);
    let mean_cpu_milli = (4 * SMALL.cpu_milli_for(1) + LARGE.cpu_milli_for(1)) / 5;
    let per_s = 3 * 10 * 32_000 / mean_cpu_milli;
    loaded.run(&kinds, per_s, 4000);
    loaded.run(&kinds, 0, 8000);
    let share = |is_counted: &dyn Fn(u32) -> bool| {
        let counted = loaded
            .jobs
            .values()
            .filter(|job| is_counted(job.kind.tasks));
        let (served, all) = counted.fold((0, 0), |(served, all), job| {
            (served + u32::from(job.is_done_within(3)), all + 1)
        });
        f64::from(served) / f64::from(all)
    };
    let all = share(&|_| true);
    let large = share(&|tasks| tasks == LARGE.tasks);
    assert!(all >= 0.5, "{all:.2} of the jobs are served");
    assert!(
        large >= all / 2.0,
        "{large:.2} of the large jobs, {all:.2} of all"
    );
}

/// Jobs that change again and again don't delay the first rows of other jobs, whatever their ids are.
#[test]
fn rows_are_written_in_the_order_in_which_jobs_changed() {
    let mut pool = Pool::new(&["one"]);
    for id in [5, 9, 1, 7] {
        pool.submit(id, job(vec![step(1)]));
    }
    let jobs = |batch: &scheduler::Batch| -> Vec<_> {
        batch.changes.iter().map(|change| change.job.0).collect()
    };
    let first = pool.scheduler.take_batch(6);
    assert_eq!(jobs(&first), [5, 9]);
    pool.scheduler.apply_commit(&first);
    pool.scheduler.cancel(JobId(5), pool.now());
    let second = pool.scheduler.take_batch(98);
    assert_eq!(jobs(&second), [1, 7, 5]);
}

#[test]
fn a_job_is_pending_until_a_start_is_confirmed() {
    let mut pool = Pool::new(&["one"]);
    pool.submit(1, job(vec![step(2)]));
    let commands = pool.round();
    assert_eq!(pool.scheduler.not_started_jobs("queue"), 1);
    let (worker, task, attempt) = starts(&commands)[0];
    pool.apply_start(worker, task, attempt, StartOutcome::Started);
    assert_eq!(pool.scheduler.not_started_jobs("queue"), 0);
}

/// The previous owner may have failed before it sent the start commands that its rows record.
#[test]
fn an_adopted_job_is_pending_until_a_report_shows_that_an_attempt_has_started() {
    let mut previous = Pool::new(&["one"]);
    let id = previous.submit(1, job(vec![step(1)]));
    previous.round();
    let adopted = previous.scheduler.job(id).unwrap().clone();
    let mut pool = Pool::new(&["one"]);
    pool.scheduler.adopt_job(adopted, pool.now());
    assert_eq!(pool.scheduler.not_started_jobs("queue"), 1);
    let name = pool.task_name(TaskKey { job: id, index: 0 });
    pool.advance(10);
    pool.report("one", &[(name, 1, 5)], &[]);
    assert_eq!(pool.scheduler.not_started_jobs("queue"), 0);
}

/// VMs with service tasks stay in the pool in any case, and other VMs can leave once their tasks have ended.
#[test]
fn batch_tasks_go_to_workers_with_service_tasks_first() {
    let mut pool = Pool::new(&["one", "two", "three"]);
    let mut used = Vec::new();
    for (id, step) in (1..).zip([service_step(2, 1), sized_step(3500), sized_step(500)]) {
        pool.submit(id, job(vec![step]));
        let commands = pool.round();
        used.push(starts(&commands)[0].0);
        pool.confirm_starts(&commands);
    }
    assert_ne!(
        used[1], used[0],
        "the large task does not fit beside the service task"
    );
    assert_eq!(used[2], used[0]);
}
