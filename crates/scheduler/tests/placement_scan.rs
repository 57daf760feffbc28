//! Placement compared with a plain scan of all ready steps, on random pools.

mod support;

use std::collections::{BTreeMap, HashMap};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use scheduler::WorkerInfo;
use smol_str::{SmolStr, format_smolstr};
use submission::{AttemptOutcome, JobId, Resources, StepSpec, TaskKey, TaskPhase};
use support::{Pool, job, starts, step, worker};

const TEAMS: [&str; 3] = ["", "red", "blue"];

/// A pool, with what the test knows of it from its commands.
struct Model {
    pool: Pool,
    workers: Vec<WorkerInfo>,
    /// Each with the index of its team. Each has one step.
    jobs: BTreeMap<JobId, (StepSpec, usize)>,
    /// The worker and the attempt of each running task.
    running: BTreeMap<TaskKey, (SmolStr, u32)>,
    /// The number of the last end on each worker.
    ends: HashMap<SmolStr, u64>,
    /// By the index of the team, in thousandths of a core.
    limits: [u32; 3],
}

fn subtract(from: Resources, amount: Resources) -> Resources {
    Resources {
        cpu_milli: from.cpu_milli - amount.cpu_milli,
        memory_mb: from.memory_mb - amount.memory_mb,
        gpus: from.gpus - amount.gpus,
    }
}

impl Model {
    fn new(workers: Vec<WorkerInfo>, limits: [u32; 2], weights: [u32; 2]) -> Self {
        let mut pool = Pool::new(&[]);
        pool.scheduler.set_workers(workers.clone(), pool.now());
        for worker in &workers {
            pool.report(&worker.id, &[], &[]);
        }
        let limited = TEAMS[1..].iter().copied().zip(limits);
        let limited: Vec<_> = limited.filter(|(_, limit)| *limit < u32::MAX).collect();
        pool.limit_cpu(&limited);
        let weights = TEAMS[1..].iter().zip(weights);
        let weights = weights.map(|(team, weight)| ((*team).into(), weight));
        pool.scheduler.set_team_weights(weights.collect());
        Self {
            pool,
            workers,
            jobs: BTreeMap::new(),
            running: BTreeMap::new(),
            ends: HashMap::new(),
            limits: [u32::MAX, limits[0], limits[1]],
        }
    }

    /// Submits jobs, each 1 ms after the one before.
    fn submit(&mut self, steps: Vec<(StepSpec, usize)>) {
        for (step, team) in steps {
            self.pool.advance(1);
            let id = self.jobs.len() as u64 + 1;
            let id = self
                .pool
                .submit_for_team(id, TEAMS[team], job(vec![step.clone()]));
            self.jobs.insert(id, (step, team));
        }
    }

    /// Plays a round, and returns the started tasks by job with their workers.
    fn round(&mut self) -> BTreeMap<JobId, Vec<(TaskKey, SmolStr)>> {
        let commands = self.pool.round();
        self.pool.confirm_starts(&commands);
        let mut started: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (key, task, attempt) in starts(&commands) {
            let id = self.pool.scheduler.worker(key).unwrap().id.clone();
            self.running.insert(task, (id.clone(), attempt));
            started.entry(task.job).or_default().push((task, id));
        }
        started
    }

    /// Lets some running tasks end. The tasks of a gang end together.
    fn end(&mut self, picks: &[usize], outcome: AttemptOutcome) {
        for pick in picks {
            let Some(task) = self
                .running
                .keys()
                .nth(pick % self.running.len().max(1))
                .copied()
            else {
                return;
            };
            let is_gang = self.jobs[&task.job].0.is_gang;
            let ending = self.running.keys().copied();
            let ending: Vec<_> = ending
                .filter(|other| *other == task || (is_gang && other.job == task.job))
                .collect();
            for task in ending {
                let (worker, attempt) = self.running.remove(&task).unwrap();
                let number = self.ends.entry(worker.clone()).or_default();
                *number += 1;
                let end = (*number, self.pool.task_name(task), attempt, outcome);
                let here = self.running.iter().filter(|(_, (id, _))| *id == worker);
                let here: Vec<_> = here
                    .map(|(task, (_, attempt))| (self.pool.task_name(*task), *attempt, 50))
                    .collect();
                self.pool.report(&worker, &here, &[end]);
            }
        }
    }

    /// What the workers have free beside the running tasks that `counts` selects.
    fn free(&self, counts: impl Fn(TaskKey) -> bool) -> BTreeMap<SmolStr, Resources> {
        let capacities = self.workers.iter();
        let mut free: BTreeMap<_, _> = capacities
            .map(|worker| (worker.id.clone(), worker.capacity))
            .collect();
        for (task, (worker, _)) in self.running.iter().filter(|(task, _)| counts(**task)) {
            let free = free.get_mut(worker).unwrap();
            *free = subtract(*free, self.jobs[&task.job].0.footprint());
        }
        free
    }

    /// Whether a task of a job's step could start, or all of a gang, beside the running tasks that `counts` selects.
    fn could_start(&self, id: JobId, counts: impl Fn(TaskKey) -> bool) -> bool {
        let (step, team) = &self.jobs[&id];
        let state = self.pool.scheduler.job(id).unwrap();
        let is_counted = |index| counts(TaskKey { job: id, index });
        let idle = state.tasks().filter(|(index, task)| {
            let is_assigned = matches!(task.phase, TaskPhase::Assigned { .. });
            task.phase == TaskPhase::Idle || (is_assigned && !is_counted(*index))
        });
        let idle = u32::try_from(idle.count()).unwrap();
        if state.has_ended() || idle == 0 || (step.is_gang && idle < step.tasks) {
            return false;
        }
        let wanted = if step.is_gang { idle } else { 1 };
        let running = self.running.keys().filter(|task| counts(**task));
        let of_team = running.map(|task| &self.jobs[&task.job]);
        let of_team = of_team.filter(|(_, other)| other == team);
        let in_use: u32 = of_team.map(|(step, _)| step.needs.cpu_milli).sum();
        if *team > 0 && in_use + wanted * step.needs.cpu_milli > self.limits[*team] {
            return false;
        }
        let mut copies = 0;
        let free = self.free(&counts);
        for worker in &self.workers {
            if !step.required_label.is_empty() && !worker.labels.contains(&step.required_label) {
                continue;
            }
            let here = self.running.iter().filter(|(task, (other, _))| {
                task.job == id && *other == worker.id && counts(**task)
            });
            let mut here = u32::try_from(here.count()).unwrap();
            let mut free = free[&worker.id];
            while copies < wanted
                && step.footprint().fits(free)
                && (step.max_per_worker == 0 || here < step.max_per_worker)
            {
                free = subtract(free, step.footprint());
                here += 1;
                copies += 1;
            }
        }
        copies >= wanted
    }

    fn check_nothing_could_start(&self) -> Result<(), TestCaseError> {
        for id in self.jobs.keys() {
            prop_assert!(
                !self.could_start(*id, |_| true),
                "{id} could start: {:?}, free {:?}",
                self.jobs[id],
                self.free(|_| true)
            );
        }
        Ok(())
    }
}

fn sizes() -> impl Strategy<Value = Resources> {
    let cpu_milli = prop_oneof![Just(0), Just(500), Just(1000), 1..6000_u32];
    let memory_mb = prop_oneof![Just(100), 0..4000_u32];
    (cpu_milli, memory_mb, 0..2_u32).prop_map(|(cpu_milli, memory_mb, gpus)| Resources {
        cpu_milli,
        memory_mb,
        gpus,
    })
}

fn workers() -> impl Strategy<Value = Vec<WorkerInfo>> {
    let worker = |(number, (size, label)): (usize, (Resources, usize))| WorkerInfo {
        labels: vec![["a", "b", "c"][label].into(), "rack".into()],
        capacity: Resources {
            cpu_milli: 1000 + size.cpu_milli,
            memory_mb: 1000 + size.memory_mb,
            gpus: size.gpus * 2,
        },
        ..worker(&format_smolstr!("worker-{number}"))
    };
    let sizes = proptest::collection::vec((sizes(), 0..3_usize), 1..6);
    sizes.prop_map(move |sizes| sizes.into_iter().enumerate().map(worker).collect())
}

/// Steps, each with the index of its team. The label `d` is that of no worker.
fn steps() -> impl Strategy<Value = Vec<(StepSpec, usize)>> {
    let label = prop_oneof![5 => Just(""), 1 => Just("a"), 1 => Just("b"), 1 => Just("d")];
    let max_per_worker = prop_oneof![4 => Just(0), 1 => Just(1), 1 => Just(2)];
    let flags = (
        proptest::bool::weighted(0.2),
        proptest::bool::weighted(0.2),
        proptest::bool::weighted(0.1),
    );
    let fields = (sizes(), label, max_per_worker, flags, 1..5_u32, 0..3_usize);
    let steps = fields.prop_map(|(needs, label, max_per_worker, flags, tasks, team)| {
        let (is_gang, is_service, is_best_effort) = flags;
        let step = StepSpec {
            needs,
            required_label: label.into(),
            max_per_worker,
            is_gang,
            is_service: is_service && !is_gang,
            is_best_effort,
            ..step(tasks)
        };
        (step, team)
    });
    proptest::collection::vec(steps, 1..60)
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(70),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(300))]

    /// A round places what a scan of all ready steps in the order of their rank places: when a step has its turn, it is left
    /// with idle tasks only if no worker has room for one beside the tasks of the steps before.
    #[test]
    fn a_round_starts_what_a_scan_of_all_steps_starts(workers in workers(), steps in steps()) {
        let mut model = Model::new(workers, [u32::MAX; 2], [0; 2]);
        model.submit(steps);
        let started = model.round();
        let (services, others): (Vec<_>, Vec<_>) =
            model.jobs.keys().copied().partition(|id| model.jobs[id].0.is_service);
        let order: Vec<_> = services.into_iter().chain(others).collect();
        for (place, id) in order.iter().enumerate() {
            let before = &order[..=place];
            let is_before = |task: TaskKey| before.contains(&task.job);
            prop_assert!(
                !model.could_start(*id, is_before),
                "{id} was passed over: {:?}, started {:?}",
                model.jobs[id],
                started.get(id)
            );
        }
    }

    /// Also with limits and shares of teams, and after tasks have ended or were lost, one round leaves no step behind that could
    /// start.
    #[test]
    fn no_round_leaves_a_step_that_could_start(
        workers in workers(),
        limits in [prop_oneof![Just(u32::MAX), 0..8000_u32], prop_oneof![Just(u32::MAX), 0..8000_u32]],
        weights in [0..3_u32, 0..3_u32],
        phases in proptest::collection::vec(
            (steps(), proptest::collection::vec(0..100_usize, 0..10), any::<bool>()),
            1..5,
        ),
    ) {
        let mut model = Model::new(workers, limits, weights);
        for (steps, ends, are_lost) in phases {
            model.submit(steps);
            model.round();
            model.check_nothing_could_start()?;
            let outcome = if are_lost { AttemptOutcome::Lost } else { AttemptOutcome::Done };
            model.end(&ends, outcome);
            model.round();
            model.check_nothing_could_start()?;
        }
    }
}
