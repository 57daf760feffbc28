//! Jobs: placed once at a time, corrected, preempted, parked, cancelled, through losses of the steward.

use std::time::Duration;

use domain::{JobId, PoolId, TeamId, VmId, VmState};
use peer::{OperatorError, OperatorRpcClient};
use placement::{Class, Job, JobSpec, JobState, ParkReason};
use test_support::{Cluster, Faults, Shape, TaskBehaviour, ZoneShape, refused};

const DAEMON: &str = env!("CARGO_BIN_EXE_trefoilpassd");

async fn cluster(vms_per_zone: usize) -> Cluster {
    let zone = ZoneShape {
        daemons: 1,
        parts: vms_per_zone,
        quotes: 0,
    };
    Cluster::start(Shape::new(DAEMON, &[zone; 3])).await
}

fn id(job: &str) -> JobId {
    JobId::new(job).unwrap()
}

fn spec(class: Class, cpu_milli: u32, behaviour: &TaskBehaviour) -> JobSpec {
    JobSpec {
        team: TeamId::new("a").unwrap(),
        pool: PoolId::new("parts").unwrap(),
        class,
        cpu_milli,
        memory_mb: 500,
        run_s: 1,
        payload: serde_json::to_string(behaviour).unwrap(),
    }
}

fn runs_for(run_ms: u64) -> TaskBehaviour {
    TaskBehaviour {
        run_ms,
        memory_mb: 500,
        ..TaskBehaviour::default()
    }
}

async fn submit(cluster: &Cluster, job: &str, spec: JobSpec) {
    cluster.operator(0).job_submit(id(job), spec).await.unwrap();
}

async fn job(cluster: &Cluster, job: &str) -> Option<Job> {
    for daemon in 0..cluster.daemons.len() {
        if let Ok(found) = cluster.operator(daemon).job_show(id(job)).await {
            return Some(found);
        }
    }
    None
}

async fn wait_for(cluster: &Cluster, name: &str, what: &str, is_so: impl Fn(&Job) -> bool) -> Job {
    cluster
        .wait(&format!("job {name} is {what}"), async || {
            job(cluster, name).await.is_some_and(|job| is_so(&job))
        })
        .await;
    job(cluster, name).await.unwrap()
}

async fn wait_done(cluster: &Cluster, name: &str) -> Job {
    wait_for(cluster, name, "done", |job| job.state == JobState::Done).await
}

/// How often the tasks of a job ran to their end.
fn completed(cluster: &Cluster, job: &str) -> u32 {
    let prefix = format!("{job}.");
    cluster.platform.with(|store| {
        let of_job = store
            .tasks
            .completed
            .iter()
            .filter(|(name, _)| name.starts_with(&prefix));
        of_job.map(|(_, count)| *count).sum()
    })
}

async fn steward_index(cluster: &Cluster) -> usize {
    cluster
        .wait("a steward", async || {
            let status = cluster.operator(0).status().await.unwrap();
            status.leader.is_some()
        })
        .await;
    let holder = cluster
        .operator(0)
        .status()
        .await
        .unwrap()
        .leader
        .unwrap()
        .incarnation;
    let name = holder.as_str().rsplit_once('.').unwrap().0.to_owned();
    (0..3)
        .find(|index| cluster.entry_vm(*index).as_str() == name)
        .unwrap()
}

#[tokio::test]
async fn a_job_runs_once_and_is_done() {
    let cluster = cluster(1).await;
    submit(&cluster, "j", spec(Class::Batch, 1_000, &runs_for(500))).await;
    let again = cluster
        .operator(1)
        .job_submit(id("j"), spec(Class::Batch, 1_000, &runs_for(500)))
        .await;
    assert!(matches!(
        refused(&again.unwrap_err()),
        OperatorError::Conflict(_)
    ));
    let job = wait_done(&cluster, "j").await;
    assert_eq!(job.attempt, 1);
    assert_eq!(completed(&cluster, "j"), 1);
}

#[tokio::test]
async fn a_job_that_can_never_run_is_refused() {
    let cluster = cluster(1).await;
    let too_large = spec(Class::Batch, 4_001, &runs_for(1));
    let err = cluster
        .operator(0)
        .job_submit(id("j"), too_large)
        .await
        .unwrap_err();
    assert!(matches!(refused(&err), OperatorError::BadInput(_)), "{err}");
    assert!(job(&cluster, "j").await.is_none());
}

#[tokio::test]
async fn an_urgent_job_starts_on_a_full_fleet_and_one_batch_job_makes_room() {
    let cluster = cluster(1).await;
    for name in ["x", "y", "z"] {
        submit(&cluster, name, spec(Class::Batch, 4_000, &runs_for(60_000))).await;
    }
    for name in ["x", "y", "z"] {
        wait_for(&cluster, name, "running", |job| job.worker().is_some()).await;
    }
    submit(
        &cluster,
        "urgent",
        spec(Class::Urgent, 4_000, &runs_for(60_000)),
    )
    .await;
    cluster
        .wait("the urgent task runs", async || {
            let running = cluster.platform.with(|store| store.tasks.running());
            running.iter().any(|task| task.starts_with("urgent."))
        })
        .await;
    let batch = ["x", "y", "z"];
    let mut left = 0;
    for name in batch {
        left += usize::from(job(&cluster, name).await.unwrap().worker().is_none());
    }
    assert_eq!(left, 1, "one batch job made room");
}

#[tokio::test]
async fn a_job_that_keeps_failing_is_parked_and_a_worker_that_fails_all_is_passed_over() {
    let cluster = cluster(2).await;
    let bad_job = TaskBehaviour {
        fails: true,
        ..runs_for(50)
    };
    submit(&cluster, "bad", spec(Class::Batch, 1_000, &bad_job)).await;
    let parked = wait_for(&cluster, "bad", "parked", Job::has_ended).await;
    let reason = ParkReason::KeepsFailing;
    assert_eq!(parked.state, JobState::Parked { reason });
    let vms = cluster.vms("parts");
    let bad_worker = TaskBehaviour {
        fails_on: vec![vms[0].clone()],
        ..runs_for(50)
    };
    for number in 0..12 {
        submit(
            &cluster,
            &format!("j{number}"),
            spec(Class::Batch, 4_000, &bad_worker),
        )
        .await;
    }
    for number in 0..12 {
        wait_done(&cluster, &format!("j{number}")).await;
    }
}

#[tokio::test]
async fn a_burst_of_cancellations_wins() {
    let cluster = cluster(1).await;
    let names: Vec<_> = (0..120).map(|number| format!("j{number}")).collect();
    for name in &names {
        submit(&cluster, name, spec(Class::Batch, 100, &runs_for(3_000))).await;
    }
    let before = cluster.platform.with(|store| store.transactions);
    let ids = names.iter().map(|name| id(name)).collect();
    let left = cluster.operator(1).jobs_cancel(ids).await.unwrap();
    assert!(left.len() < 120);
    let transactions = cluster.platform.with(|store| store.transactions) - before;
    assert!(transactions < 120, "{transactions} transactions");
    cluster
        .wait("no cancelled job runs", async || {
            cluster
                .platform
                .with(|store| store.tasks.running())
                .is_empty()
        })
        .await;
    for name in &names {
        let job = wait_for(&cluster, name, "ended", Job::has_ended).await;
        let is_left = left.contains(&id(name));
        assert_eq!(
            job.state == JobState::Done,
            is_left,
            "{name}: {:?}",
            job.state
        );
    }
}

#[tokio::test]
async fn cancellations_that_race_starts_win() {
    let cluster = cluster(1).await;
    // A slow table widens the time between the steward's look and its write.
    cluster.platform.set_faults(Faults {
        delay_ms: 150,
        ..Faults::default()
    });
    let mut names = Vec::new();
    for round in 0..8 {
        let round_names: Vec<_> = (0..4).map(|number| format!("j{round}-{number}")).collect();
        for name in &round_names {
            submit(&cluster, name, spec(Class::Batch, 100, &runs_for(1))).await;
        }
        let ids: Vec<_> = round_names.iter().map(|name| id(name)).collect();
        let left = cluster.operator(1).jobs_cancel(ids).await.unwrap();
        names.extend(
            round_names
                .into_iter()
                .filter(|name| !left.contains(&id(name))),
        );
    }
    cluster.platform.set_faults(Faults::default());
    cluster
        .wait("the steward has gone round", async || {
            cluster
                .platform
                .with(|store| store.list("job/open/", "", 1))
                .is_empty()
        })
        .await;
    for name in &names {
        let state = job(&cluster, name).await.unwrap().state;
        assert!(
            matches!(state, JobState::Cancelled { .. }),
            "{name}: {state:?}"
        );
    }
}

#[tokio::test]
async fn jobs_go_on_through_a_lost_steward_lost_answers_and_an_outage() {
    let mut cluster = cluster(2).await;
    let steward = steward_index(&cluster).await;
    for number in 0..8 {
        submit(
            &cluster,
            &format!("j{number}"),
            spec(Class::Batch, 2_000, &runs_for(4_000)),
        )
        .await;
    }
    cluster.platform.set_faults(Faults {
        lose_answers: 5,
        ..Faults::default()
    });
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.kill(steward);
    cluster.platform.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.platform.set_faults(Faults::default());
    for number in 0..8 {
        let name = format!("j{number}");
        wait_done(&cluster, &name).await;
        assert_eq!(
            completed(&cluster, &name),
            1,
            "{name} ran to its end more than once"
        );
    }
}

#[tokio::test]
async fn a_job_that_leaves_before_its_task_was_started_is_not_stuck() {
    let cluster = cluster(1).await;
    // A steward wrote both steps and was lost before it carried out either.
    let job = Job::new(id("j"), spec(Class::Batch, 1_000, &runs_for(500)), 1);
    let job = job.started(cluster.vms("parts")[0].clone()).unwrap();
    let op = domain::OpId::new("lost-steward").unwrap();
    let write = platform::Transaction::new(op).with_write("job/open/j", &job.leaving());
    cluster.platform.with(|store| store.transact(&write));
    wait_done(&cluster, "j").await;
    assert_eq!(completed(&cluster, "j"), 1);
}

#[tokio::test]
async fn a_drain_has_jobs_make_a_checkpoint_first() {
    let cluster = cluster(1).await;
    let slow_checkpoint = TaskBehaviour {
        checkpoint_ms: 3_000,
        ..runs_for(8_000)
    };
    submit(&cluster, "j", spec(Class::Batch, 4_000, &slow_checkpoint)).await;
    let running = wait_for(&cluster, "j", "running", |job| job.worker().is_some()).await;
    let vm: VmId = running.worker().unwrap().clone();
    cluster.operator(1).vm_drain(vm.clone()).await.unwrap();
    cluster
        .wait("the VM has stopped", async || {
            let vms = cluster.operator(0).vms().await.unwrap();
            let report = vms.iter().find(|report| report.vm == vm).unwrap();
            report.state == VmState::Stopped
        })
        .await;
    let tasks = cluster.platform.with(|store| store.tasks.list());
    let runs_there = tasks
        .iter()
        .any(|task| task.vm == vm && task.state == platform::TaskState::Running);
    assert!(!runs_there, "the VM was stopped under a running task");
    let job = wait_done(&cluster, "j").await;
    assert_eq!(job.attempt, 2);
}
