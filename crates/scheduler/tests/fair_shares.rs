//! The shares of teams in a full pool.

mod support;

use smol_str::format_smolstr;
use submission::StepSpec;
use support::load::{JobKind, LoadedPool, TeamLoad};
use support::{Pool, job, service_step, sized_step, started_jobs, step};

/// 20 teams on 36 workers of 32 cores, each with a third more weight than it usually sends jobs. The largest sends a
/// quarter of the work.
fn teams() -> Vec<TeamLoad> {
    let mut rates = vec![14_000_u64, 6000, 5000, 4000];
    rates.extend([3000; 6]);
    rates.extend([1000; 10]);
    let loads = rates
        .iter()
        .enumerate()
        .map(|(number, &millijobs_per_s)| TeamLoad {
            team: format_smolstr!("team-{number:02}"),
            kind: JobKind {
                estimate_percent: 100,
                tasks: 8,
                cpu_milli: 1500 + 90 * u32::try_from(number).unwrap(),
                duration_ms: 800,
            },
            millijobs_per_s,
        });
    loads.collect()
}

/// The shares of the jobs that are done within their latency objective: of the first team, and of the others. For 6 s, the
/// jobs of the first team are `more` times as many and have `larger` times as many tasks.
fn served_beside_a_hot_team(has_weights: bool, more: u64, larger: u32) -> (f64, f64) {
    let mut loaded = LoadedPool::new(36);
    let loads = teams();
    if has_weights {
        let weight = |load: &TeamLoad| u32::try_from(load.millijobs_per_s * 4 / 3 / 1000).unwrap();
        let weights = loads
            .iter()
            .map(|load| (load.team.clone(), weight(load).max(2)));
        loaded.scheduler().set_team_weights(weights.collect());
    }
    let mut peak = loads.clone();
    peak[0].millijobs_per_s *= more;
    peak[0].kind.tasks *= larger;
    loaded.run_teams(&loads, 2000);
    loaded.run_teams(&peak, 6000);
    loaded.run_teams(&loads, 4000);
    loaded.run_teams(&[], 3000);
    let share = |is_hot: bool| {
        let jobs = loaded.jobs.values();
        let jobs = jobs.filter(|job| (job.team == loads[0].team) == is_hot);
        let (served, all) = jobs.fold((0, 0), |(served, all), job| {
            (served + u32::from(job.is_done_within(1)), all + 1)
        });
        f64::from(served) / f64::from(all)
    };
    (share(true), share(false))
}

/// For some seconds, the largest team sends seven times its usual work, in more jobs or in larger ones, which is more than
/// the pool can do.
#[test]
fn a_hot_team_does_not_keep_other_teams_from_their_objectives() {
    let (_, usual) = served_beside_a_hot_team(true, 1, 1);
    for (more, larger) in [(7, 1), (1, 7)] {
        let (hot, others) = served_beside_a_hot_team(true, more, larger);
        let (hot_without, others_without) = served_beside_a_hot_team(false, more, larger);
        let figures = format!(
            "{more} times as many, {larger} times as large: others {others:.3} (usually {usual:.3}, without weights \
             {others_without:.3}), hot team {hot:.3} (without weights {hot_without:.3})"
        );
        eprintln!("{figures}");
        assert!(others >= 0.99 * usual, "{figures}");
        assert!(others > others_without, "{figures}");
        assert!(hot > 0.3, "the others leave much: {figures}");
    }
}

/// The pool has room for four tasks of the eight. Red's are ranked first, and its share is three of them.
#[test]
fn jobs_without_a_team_are_not_behind_a_team_above_its_share() {
    let mut pool = Pool::new(&["one"]);
    let weights = [("red".into(), 10), ("blue".into(), 10)].into();
    pool.scheduler.set_team_weights(weights);
    for id in 1..7 {
        pool.submit_for_team(id, "red", job(vec![step(1)]));
    }
    pool.submit(7, job(vec![step(1)]));
    pool.submit_for_team(8, "blue", job(vec![step(1)]));
    assert_eq!(started_jobs(&mut pool), [1, 2, 3, 7]);
}

/// Each second without a service task is lost, however much else its team has running.
#[test]
fn service_tasks_of_a_team_above_its_share_come_first() {
    let mut pool = Pool::new(&["one"]);
    let weights = [("red".into(), 1), ("blue".into(), 9)].into();
    pool.scheduler.set_team_weights(weights);
    pool.submit_for_team(1, "red", job(vec![step(3)]));
    pool.round();
    pool.submit_for_team(2, "blue", job(vec![step(4)]));
    let service = pool.submit_for_team(3, "red", job(vec![service_step(1, 1)]));
    assert_eq!(started_jobs(&mut pool), [service.0]);
}

/// What a team sends beyond its weight in jobs a second need not be served. Red is below its share throughout.
#[test]
fn jobs_beyond_the_weight_of_a_team_in_any_second_come_after_other_jobs() {
    // Of so long a job, the latest start is later than a second after its arrival.
    let long_job = |cpu_milli| {
        job(vec![StepSpec {
            estimated_duration_ms: 10_000,
            ..sized_step(cpu_milli)
        }])
    };
    let mut pool = Pool::new(&["one"]);
    let weights = [("red".into(), 2), ("blue".into(), 4)].into();
    pool.scheduler.set_team_weights(weights);
    for id in 0..4 {
        pool.submit_for_team(id, "red", long_job(500));
    }
    pool.advance(999);
    pool.submit_for_team(4, "red", long_job(500));
    for id in 10..14 {
        pool.submit_for_team(id, "blue", long_job(1000));
    }
    assert_eq!(started_jobs(&mut pool), [0, 1, 10, 11, 12]);
    // A second after the first two, the team may send two more.
    pool.advance(1);
    pool.set_registry(&["one", "two"]);
    pool.report("two", &[], &[]);
    for id in 20..24 {
        pool.submit_for_team(id, "red", long_job(500));
    }
    for id in 30..32 {
        pool.submit(id, long_job(1000));
    }
    assert_eq!(started_jobs(&mut pool), [13, 20, 21, 30, 31]);
}

/// Thousands of jobs without a team are placed as in a pool that knows no teams, even where teams have weights and limits.
#[test]
fn without_jobs_of_teams_all_placements_are_the_same() {
    let kinds = [
        (6, 1800, 800),
        (60, 1800, 800),
        (1, 3300, 2000),
        (8, 40_000, 500),
    ];
    let kinds = kinds.map(|(tasks, cpu_milli, duration_ms)| JobKind {
        estimate_percent: 100,
        tasks,
        cpu_milli,
        duration_ms,
    });
    let started = [false, true].map(|knows_teams| {
        let mut loaded = LoadedPool::new(10);
        loaded.run(&kinds, 20, 500);
        if knows_teams {
            let weights = [("red".into(), 5)].into();
            loaded.scheduler().set_team_weights(weights);
            loaded.pool.limit_cpu(&[("red", 1000)]);
        }
        loaded.run(&kinds, 60, 3000);
        loaded.run(&kinds, 5, 2000);
        loaded.started
    });
    assert!(started[0].len() > 500, "{} starts", started[0].len());
    assert!(started[0] == started[1]);
}
