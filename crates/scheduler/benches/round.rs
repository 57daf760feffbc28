//! Measures one round of a pool's scheduler: placement, and the batch of rows to write.
//!
//! Models an overloaded pool: all workers are full, most jobs wait, and each round follows the end of one task. In pools
//! with teams, half of them are at their limits. In pools with many sizes, no two jobs ask for the same.

#![allow(missing_docs, reason = "the macro's group has none")]

use std::collections::HashMap;
use std::hint::black_box;
use std::sync::Arc;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use scheduler::{EndedAttempt, Limits, Now, QueueRules, Scheduler, WorkerInfo, WorkerReport};
use smol_str::format_smolstr;
use submission::{AttemptOutcome, JobId, JobSpec, Resources, StepSpec};

/// The number of tasks of a job; 8 is the mean of the platform's queues.
const TASKS_PER_JOB: u32 = 8;

const NOW: Now = Now {
    local_ms: 1_000_000,
    store_ms: 1_000_000,
    unix_ms: 1_000_000,
};

/// The number of teams in pools with teams.
const TEAMS: u64 = 110;

/// What the jobs of a pool have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Jobs {
    Alike,
    OfTeams,
    OfManySizes,
}

impl Jobs {
    fn label(self) -> &'static str {
        match self {
            Self::Alike => "",
            Self::OfTeams => ", teams",
            Self::OfManySizes => ", many sizes",
        }
    }
}

/// A pool with this many workers, all full, and this many tasks, most of which wait.
fn full_pool(workers: usize, tasks: usize, kind: Jobs) -> Scheduler {
    let mut scheduler = Scheduler::new(Limits {
        max_lease_ms: 10_000,
        lease_ms: 5000,
        owner_grace_ms: 4000,
        slow_clock_percent: 3,
        ended_job_retention_ms: 120_000,
        stop_ms: 200,
    });
    let rules = QueueRules {
        priority: 0,
        max_failures: 4,
        latency_objective_factor: 1.6,
        latency_objective_base_ms: 600,
        policy: None,
    };
    scheduler.set_queue_rules(HashMap::from([("queue".into(), rules)]));
    let infos = (0..workers).map(|number| WorkerInfo {
        start_unix_ms: None,
        id: format_smolstr!("w-{number}"),
        addr: format_smolstr!("10.0.0.1:{number}"),
        labels: vec!["a".into(), format_smolstr!("rack-{}", number / 12)],
        capacity: Resources {
            cpu_milli: 32_000,
            memory_mb: 65_536,
            gpus: 0,
        },
        is_shutting_down: false,
    });
    scheduler.set_workers(infos.collect(), NOW);
    for key in scheduler.worker_keys() {
        scheduler.apply_report(key, report(Vec::new()), NOW);
    }
    let spec = |cpu_milli| JobSpec {
        payload: "payload".into(),
        steps: vec![StepSpec {
            tasks: TASKS_PER_JOB,
            needs: Resources {
                cpu_milli,
                memory_mb: 3200,
                gpus: 0,
            },
            estimated_duration_ms: 800,
            ..StepSpec::default()
        }],
        ..JobSpec::default()
    };
    let team = |number: u64| format_smolstr!("team-{number}");
    if kind == Jobs::OfTeams {
        // Three tasks.
        let limit = Resources {
            cpu_milli: u32::MAX,
            memory_mb: 10_000,
            gpus: u32::MAX,
        };
        let limited = (0..TEAMS).step_by(2);
        scheduler.set_team_limits(limited.map(|number| (team(number), limit)).collect());
        scheduler.set_team_weights((0..TEAMS).map(|number| (team(number), 10)).collect());
    }
    let jobs = u64::try_from(tasks).unwrap_or(u64::MAX) / u64::from(TASKS_PER_JOB);
    for job in 0..jobs {
        let team = match kind {
            Jobs::OfTeams => team(job % TEAMS),
            Jobs::Alike | Jobs::OfManySizes => "".into(),
        };
        let less_milli = match kind {
            Jobs::OfManySizes => u32::try_from(job).unwrap_or(u32::MAX),
            Jobs::Alike | Jobs::OfTeams => 0,
        };
        let spec = Arc::new(spec(3100_u32.saturating_sub(less_milli)));
        scheduler.submit_for_team(JobId(job), "queue".into(), team, spec, NOW);
    }
    loop {
        scheduler.plan(NOW);
        let batch = scheduler.take_batch(usize::MAX);
        if batch.commands.is_empty() {
            return scheduler;
        }
        scheduler.apply_commit(&batch);
    }
}

fn report(ended: Vec<EndedAttempt>) -> WorkerReport {
    WorkerReport {
        start_unix_ms: None,
        request_sent_at_ms: 0,
        worker_clock_ms: 1_000_000,
        acknowledged_end: 0,
        running: Vec::new(),
        ended,
        has_more_ends: false,
    }
}

/// Reports from each worker that the first task of the first job is done, so that the task ends on its worker.
fn report_one_end(scheduler: &mut Scheduler) {
    let name = scheduler.job(JobId(0)).map(|job| job.task_name(0));
    let end = EndedAttempt {
        number: 1,
        name: name.unwrap_or_default(),
        attempt: 1,
        outcome: AttemptOutcome::Done,
        checkpoint: "".into(),
    };
    for key in scheduler.worker_keys() {
        scheduler.apply_report(key, report(vec![end.clone()]), NOW);
    }
}

fn rounds(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("round");
    group.sample_size(20);
    let sizes = [(50, 1000), (350, 5000), (1500, 20_000)];
    let kinds = [Jobs::Alike, Jobs::OfTeams, Jobs::OfManySizes];
    let pools = kinds.map(|kind| sizes.map(|size| (size, kind)));
    for ((workers, tasks), kind) in pools.into_iter().flatten() {
        let full = full_pool(workers, tasks, kind);
        let label = kind.label();
        let name = BenchmarkId::from_parameter(format!("{workers} workers, {tasks} tasks{label}"));
        let prepare = || {
            let mut scheduler = full.clone();
            report_one_end(&mut scheduler);
            scheduler
        };
        let round = |mut scheduler: Scheduler| {
            scheduler.tick(NOW);
            scheduler.plan(NOW);
            black_box(scheduler.take_batch(98));
            scheduler
        };
        group.bench_function(name, |bencher| {
            bencher.iter_batched(prepare, round, BatchSize::LargeInput);
        });
    }
    group.finish();
}

criterion_group!(benches, rounds);
criterion_main!(benches);
