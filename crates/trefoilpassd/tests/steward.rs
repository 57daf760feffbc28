//! The steward: one at a time, replaced when it is lost, and waves that go on through that.

use std::time::Duration;

use domain::{PoolId, VmState};
use maintenance::WaveState;
use peer::{LeaderReport, OperatorRpcClient};
use test_support::{Cluster, Faults, Shape, ZoneShape};

const DAEMON: &str = env!("CARGO_BIN_EXE_trefoilpassd");

fn shape() -> Shape {
    let zone = ZoneShape {
        daemons: 1,
        parts: 2,
        quotes: 1,
    };
    Shape::new(DAEMON, &[zone; 3])
}

fn parts() -> PoolId {
    PoolId::new("parts").unwrap()
}

async fn steward(cluster: &Cluster, asked: usize) -> Option<LeaderReport> {
    cluster.operator(asked).status().await.ok()?.leader
}

async fn steward_index(cluster: &Cluster, asked: usize) -> Option<usize> {
    let holder = steward(cluster, asked).await?.incarnation;
    let (name, _) = holder.as_str().rsplit_once('.')?;
    (0..cluster.daemons.len()).find(|index| cluster.entry_vm(*index).as_str() == name)
}

async fn wait_for_steward(cluster: &Cluster) -> usize {
    cluster
        .wait("a steward", async || {
            steward_index(cluster, 0).await.is_some()
        })
        .await;
    steward_index(cluster, 0).await.unwrap()
}

async fn wait_for_wave(cluster: &Cluster, asked: usize) {
    cluster
        .wait("the wave is done", async || {
            let Ok(waves) = cluster.operator(asked).waves().await else {
                return false;
            };
            waves.iter().all(|wave| wave.state == WaveState::Done)
        })
        .await;
}

/// Watches the pool for as long as the wave runs; the fewest VMs that served.
async fn fewest_serving(cluster: &Cluster, asked: usize) -> usize {
    let mut fewest = usize::MAX;
    loop {
        let rpc = cluster.operator(asked);
        let (Ok(vms), Ok(waves)) = (rpc.vms().await, rpc.waves().await) else {
            continue;
        };
        let of_pool = vms.iter().filter(|vm| vm.pool == parts());
        fewest = fewest.min(of_pool.filter(|vm| vm.state == VmState::Serving).count());
        if waves.iter().all(|wave| wave.state == WaveState::Done) {
            return fewest;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn check_rebooted_once(cluster: &Cluster) {
    let listed = cluster.platform.with(|store| store.list_vms());
    for vm in cluster.vms("parts") {
        let listed = listed.iter().find(|listed| listed.vm == vm);
        let boots = listed.map(|listed| listed.boots);
        assert_eq!(boots, Some(2), "{vm} was not rebooted once");
    }
}

#[tokio::test]
async fn a_lost_steward_is_replaced_with_a_higher_term() {
    let mut cluster = Cluster::start(shape()).await;
    let first = wait_for_steward(&cluster).await;
    let before = steward(&cluster, 0).await.unwrap();
    cluster.kill(first);
    let asked = (first + 1) % 3;
    cluster
        .wait("another steward", async || {
            let now = steward(&cluster, asked).await;
            now.is_some_and(|now| now.term > before.term && now.incarnation != before.incarnation)
        })
        .await;
}

#[tokio::test]
async fn a_wave_maintains_every_vm_once_within_the_budget_and_cuts_nothing() {
    let cluster = Cluster::start(shape()).await;
    let mut load = cluster.load("parts");
    load.duration = Duration::from_secs(12);
    load.rate_per_s = 150;
    let running = tokio::spawn(load.run());
    cluster.operator(1).wave_start(parts()).await.unwrap();
    let fewest = fewest_serving(&cluster, 2).await;
    // Six VMs, half of which may be out.
    assert!(fewest >= 3, "only {fewest} served");
    check_rebooted_once(&cluster);
    let report = running.await.unwrap();
    report.assert_promises(&cluster.targets.runs());
    assert_eq!(cluster.targets.stats().cut_by_stop, 0);
    assert_eq!(
        report.outcomes.answered,
        report.requests(),
        "{:?}",
        report.errors
    );
}

#[tokio::test]
async fn a_wave_goes_on_when_its_steward_is_lost_or_paused_and_answers_are_lost() {
    let mut cluster = Cluster::start(shape()).await;
    let first = wait_for_steward(&cluster).await;
    let asked = (first + 1) % 3;
    cluster.operator(asked).wave_start(parts()).await.unwrap();
    cluster.platform.set_faults(Faults {
        lose_answers: 4,
        ..Faults::default()
    });
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.kill(first);
    cluster
        .wait("another steward", async || {
            let index = steward_index(&cluster, asked).await;
            index.is_some_and(|index| index != first)
        })
        .await;
    let second = steward_index(&cluster, asked).await.unwrap();
    cluster.pause(second);
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.start_daemon(first).await;
    cluster.resume(second);
    wait_for_wave(&cluster, asked).await;
    check_rebooted_once(&cluster);
    assert_eq!(cluster.targets.stats().cut_by_stop, 0);
}

#[tokio::test]
async fn a_vm_is_rebooted_once_when_the_platform_goes_away_right_after_the_reboot() {
    let cluster = Cluster::start(shape()).await;
    let faults = Faults {
        outage_after_reboot: true,
        ..Faults::default()
    };
    cluster.platform.set_faults(faults);
    cluster.operator(0).wave_start(parts()).await.unwrap();
    cluster
        .wait("the outage", async || {
            cluster.platform.with(|store| store.faults.outage)
        })
        .await;
    // Longer than the steward tries to write down that it has rebooted the VM.
    tokio::time::sleep(Duration::from_secs(8)).await;
    cluster.platform.set_faults(Faults::default());
    wait_for_wave(&cluster, 0).await;
    check_rebooted_once(&cluster);
}

#[tokio::test]
async fn a_wave_pauses_resumes_and_aborts() {
    let cluster = Cluster::start(shape()).await;
    // The list shows each reboot a second late.
    cluster.platform.set_faults(Faults {
        list_lag_ms: 1_000,
        ..Faults::default()
    });
    let rpc = cluster.operator(0);
    let wave = rpc.wave_start(parts()).await.unwrap();
    rpc.wave_pause(wave.clone()).await.unwrap();
    assert!(
        rpc.wave_start(parts()).await.is_err(),
        "one wave at a time over a pool"
    );
    cluster
        .wait("what was taken is finished", async || {
            let waves = rpc.waves().await.unwrap();
            waves[0].state == WaveState::Paused && waves[0].taken == 0
        })
        .await;
    rpc.wave_resume(wave.clone()).await.unwrap();
    rpc.wave_abort(wave.clone()).await.unwrap();
    assert!(rpc.wave_resume(wave).await.is_err());
    cluster
        .wait("all VMs serve", async || {
            let vms = rpc.vms().await.unwrap();
            vms.iter().all(|vm| vm.state == VmState::Serving)
        })
        .await;
}

#[tokio::test]
async fn a_daemon_that_is_told_to_end_finishes_its_requests() {
    let mut cluster = Cluster::start(shape()).await;
    let mut load = cluster.load("parts");
    load.duration = Duration::from_secs(5);
    let running = tokio::spawn(load.run());
    tokio::time::sleep(Duration::from_secs(1)).await;
    let url = cluster.url(1, "/v1/services/quotes/work");
    let long = cluster.http().get(url).header("x-work-ms", "5000");
    let long = tokio::spawn(long.header("x-op", "long").send());
    cluster
        .wait("the long request runs", async || {
            cluster.targets.runs().contains_key("long")
        })
        .await;
    let daemon = cluster.daemons[1].as_mut().unwrap();
    daemon.terminate();
    let ended = daemon.wait(test_support::PATIENCE).await.expect("an end");
    assert!(ended.success());
    assert!(long.await.unwrap().unwrap().status().is_success());
    let report = running.await.unwrap();
    report.assert_promises(&cluster.targets.runs());
    assert_eq!(
        report.outcomes.answered,
        report.requests(),
        "{:?}",
        report.errors
    );
    assert!(
        !report.errors.contains_key("connection broken"),
        "{:?}",
        report.errors
    );
}
