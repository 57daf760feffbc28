//! VMs that leave: no new work after a few seconds, nothing cut, nothing stopped on a guess.

use std::time::Duration;

use domain::{PoolId, VmId, VmState};
use peer::{OperatorError, OperatorRpcClient, VmReport};
use platform::ListedState;
use test_support::{Cluster, Faults, ProxyFault, Shape, ZoneShape, refused};

const DAEMON: &str = env!("CARGO_BIN_EXE_trefoilpassd");

/// After this long, a leaving VM must get nothing new.
const FEW_SECONDS_MS: u64 = 4_000;

fn shape(zones: usize) -> Shape {
    let zone = ZoneShape {
        daemons: 2,
        parts: 2,
        quotes: 2,
    };
    Shape::new(DAEMON, &vec![zone; zones])
}

/// Two zones with a daemon each, the second without executors of its own for `parts`.
fn one_zone_without_parts() -> Shape {
    let own = ZoneShape {
        daemons: 1,
        parts: 2,
        quotes: 1,
    };
    Shape::new(DAEMON, &[own, ZoneShape { parts: 0, ..own }])
}

async fn report(cluster: &Cluster, daemon: usize, vm: &VmId) -> VmReport {
    let vms = cluster.operator(daemon).vms().await.unwrap();
    vms.into_iter().find(|report| report.vm == *vm).unwrap()
}

async fn wait_for_state(cluster: &Cluster, daemon: usize, vm: &VmId, state: VmState) {
    cluster
        .wait(&format!("{vm} is {state}"), async || {
            report(cluster, daemon, vm).await.state == state
        })
        .await;
}

/// Takes a stopped VM down, as its operator does then.
fn stop(cluster: &Cluster, vm: &VmId) {
    cluster.targets.set_vm_up(vm, false);
}

#[tokio::test]
async fn a_drain_under_load_cuts_nothing() {
    let cluster = Cluster::start(shape(2)).await;
    let mut load = cluster.load("parts");
    load.duration = Duration::from_secs(5);
    let running = tokio::spawn(load.run());
    tokio::time::sleep(Duration::from_millis(500)).await;
    for vm in cluster.vms("parts").into_iter().take(2) {
        cluster.operator(1).vm_drain(vm.clone()).await.unwrap();
        wait_for_state(&cluster, 0, &vm, VmState::Stopped).await;
        stop(&cluster, &vm);
    }
    let report = running.await.unwrap();
    report.assert_promises(&cluster.targets.runs());
    assert_eq!(cluster.targets.stats().cut_by_stop, 0);
    assert_eq!(report.outcomes.answered, report.requests());
}

#[tokio::test]
async fn a_long_request_is_waited_for() {
    let cluster = Cluster::start(shape(1)).await;
    let vms = cluster.vms("quotes");
    cluster.operator(0).vm_drain(vms[0].clone()).await.unwrap();
    wait_for_state(&cluster, 0, &vms[0], VmState::Stopped).await;
    let url = cluster.url(0, "/v1/services/quotes/work");
    let long = cluster.http().get(url);
    let long = long.header("x-work-ms", "5000").header("x-op", "long");
    let long = tokio::spawn(long.send());
    cluster
        .wait("it runs", async || {
            cluster.targets.runs().contains_key("long")
        })
        .await;
    cluster.operator(0).vm_return(vms[0].clone()).await.unwrap();
    cluster.operator(1).vm_drain(vms[1].clone()).await.unwrap();
    wait_for_state(&cluster, 1, &vms[1], VmState::Stopped).await;
    stop(&cluster, &vms[1]);
    assert_eq!(cluster.targets.stats().cut_by_stop, 0);
    assert!(long.await.unwrap().unwrap().status().is_success());
}

#[tokio::test]
async fn a_move_gives_the_vm_to_exactly_one_pool() {
    let cluster = Cluster::start(shape(1)).await;
    let vm = cluster.vms("parts")[0].clone();
    let quotes = PoolId::new("quotes").unwrap();
    cluster
        .operator(0)
        .vm_move(vm.clone(), quotes.clone())
        .await
        .unwrap();
    cluster
        .wait("the VM serves the other pool", async || {
            let report = report(&cluster, 1, &vm).await;
            report.pool == quotes && report.state == VmState::Serving
        })
        .await;
    let mut load = cluster.load("quotes");
    load.duration = Duration::from_secs(1);
    let answers = load.run().await;
    assert_eq!(answers.outcomes.answered, answers.requests());
    let runs = cluster.targets.runs();
    assert!(
        runs.values().flatten().any(|run| run.vm == vm),
        "the moved VM serves quotes"
    );
}

#[tokio::test]
async fn racing_operators_stay_within_the_budget() {
    let cluster = Cluster::start(shape(2)).await;
    let vms = cluster.vms("parts");
    let operators: Vec<_> = (0..4).map(|daemon| cluster.operator(daemon)).collect();
    let drains = operators
        .iter()
        .zip(&vms)
        .map(|(rpc, vm)| rpc.vm_drain(vm.clone()));
    let results = futures_util::future::join_all(drains).await;
    let drained = results.iter().filter(|result| result.is_ok()).count();
    // Half of four may be out.
    assert_eq!(drained, 2, "{results:?}");
    for result in results {
        if let Err(err) = result {
            assert!(
                matches!(refused(&err), OperatorError::OverBudget(_)),
                "{err}"
            );
        }
    }
}

#[tokio::test]
async fn unplanned_losses_spend_the_operators_budget_too() {
    let cluster = Cluster::start(shape(1)).await;
    let vms = cluster.vms("parts");
    let set = |state| {
        cluster
            .platform
            .with(|store| store.set_vm(vms[0].clone(), state));
    };
    set(ListedState::Down);
    let err = cluster
        .operator(0)
        .vm_drain(vms[1].clone())
        .await
        .unwrap_err();
    assert!(
        matches!(refused(&err), OperatorError::OverBudget(_)),
        "{err}"
    );
    set(ListedState::Live);
    cluster.operator(0).vm_drain(vms[1].clone()).await.unwrap();
}

#[tokio::test]
async fn racing_operators_on_one_vm_get_one_winner() {
    let cluster = Cluster::start(shape(1)).await;
    let vm = cluster.vms("parts")[0].clone();
    let quotes = PoolId::new("quotes").unwrap();
    let (first, second) = (cluster.operator(0), cluster.operator(1));
    let (drain, moved) = tokio::join!(
        first.vm_drain(vm.clone()),
        second.vm_move(vm.clone(), quotes)
    );
    assert!(drain.is_ok() != moved.is_ok(), "{drain:?} {moved:?}");
    let err = drain.err().or(moved.err()).unwrap();
    assert!(
        matches!(refused(&err), OperatorError::WrongState(_)),
        "{err}"
    );
}

#[tokio::test]
async fn a_cut_zone_holds_the_drains_of_its_vms_and_goes_on_serving() {
    let cluster = Cluster::start(shape(2).with_peer_proxies()).await;
    let vms = cluster.vms("parts");
    let own_of_z2 = vms
        .iter()
        .find(|vm| vm.as_str().starts_with("z2"))
        .unwrap()
        .clone();
    let zone = Cluster::zone(2);
    cluster.set_zone_links(&zone, ProxyFault::Freeze);
    let err = cluster
        .operator(0)
        .vm_drain(own_of_z2.clone())
        .await
        .unwrap_err();
    let err = refused(&err);
    assert!(matches!(err, OperatorError::PeersUnreachable(_)), "{err}");
    assert!(
        err.message().contains("e3"),
        "the daemons are not named: {err}"
    );
    assert_eq!(
        report(&cluster, 0, &own_of_z2).await.state,
        VmState::Serving
    );
    let answer = cluster
        .http()
        .get(cluster.url(2, "/v1/services/parts/work"))
        .send()
        .await;
    assert!(answer.unwrap().status().is_success());
    cluster.set_zone_links(&zone, ProxyFault::None);
    cluster
        .wait("the zone agrees again", async || {
            cluster
                .operator(0)
                .vm_drain(own_of_z2.clone())
                .await
                .is_ok()
        })
        .await;
    wait_for_state(&cluster, 0, &own_of_z2, VmState::Stopped).await;
}

#[tokio::test]
async fn a_cut_zone_sends_a_leaving_vm_of_another_zone_nothing_after_a_few_seconds() {
    let cluster = Cluster::start(one_zone_without_parts().with_peer_proxies()).await;
    let vm = cluster.vms("parts")[0].clone();
    let url = cluster.url(1, "/v1/services/parts/work");
    assert!(
        cluster
            .http()
            .get(&url)
            .send()
            .await
            .unwrap()
            .status()
            .is_success()
    );
    cluster.set_zone_links(&Cluster::zone(2), ProxyFault::Freeze);
    cluster.operator(0).vm_drain(vm.clone()).await.unwrap();
    let marked_ms = cluster.targets.now_ms();
    for _ in 0..80 {
        // Refusals are what is expected once the view has expired.
        let _ = cluster.http().get(&url).send().await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let last_ms = cluster.targets.last_request_ms(&vm);
    assert!(
        last_ms < marked_ms + FEW_SECONDS_MS,
        "{} ms after the mark",
        last_ms - marked_ms
    );
    wait_for_state(&cluster, 0, &vm, VmState::Stopped).await;
    stop(&cluster, &vm);
    assert_eq!(cluster.targets.stats().cut_by_stop, 0);
}

#[tokio::test]
async fn a_paused_daemon_holds_the_stop_and_reads_its_view_again_before_it_sends() {
    let cluster = Cluster::start(shape(1)).await;
    let vm = cluster.vms("parts")[0].clone();
    cluster.operator(0).vm_drain(vm.clone()).await.unwrap();
    wait_for_state(&cluster, 0, &vm, VmState::Stopped).await;
    cluster.operator(0).vm_return(vm.clone()).await.unwrap();
    wait_for_state(&cluster, 1, &vm, VmState::Serving).await;
    cluster.operator(0).vm_drain(vm.clone()).await.unwrap();
    cluster.pause(1);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let state = report(&cluster, 0, &vm).await.state;
    let marked_ms = cluster.targets.now_ms();
    // The load meets the daemon at the moment in which it wakes.
    let url = cluster.url(1, "/v1/services/parts/work");
    let sends: Vec<_> = (0..40)
        .map(|_| tokio::spawn(cluster.http().get(&url).send()))
        .collect();
    cluster.resume(1);
    for send in sends {
        let _ = send.await.unwrap();
    }
    assert!(
        cluster.targets.last_request_ms(&vm) < marked_ms,
        "new work for a VM that is {state}"
    );
    wait_for_state(&cluster, 0, &vm, VmState::Stopped).await;
}

#[tokio::test]
async fn a_daemon_of_another_zone_that_was_paused_reads_its_view_again_before_it_sends() {
    let cluster = Cluster::start(one_zone_without_parts()).await;
    let vm = cluster.vms("parts")[0].clone();
    let url = cluster.url(1, "/v1/services/parts/work");
    assert!(
        cluster
            .http()
            .get(&url)
            .send()
            .await
            .unwrap()
            .status()
            .is_success()
    );
    cluster.pause(1);
    cluster.operator(0).vm_drain(vm.clone()).await.unwrap();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let marked_ms = cluster.targets.now_ms();
    // The load meets the daemon at the moment in which it wakes.
    let sends = (0..40).map(|_| tokio::spawn(cluster.http().get(&url).send()));
    let sends: Vec<_> = sends.collect();
    cluster.resume(1);
    for send in sends {
        let _ = send.await.unwrap();
    }
    assert!(
        cluster.targets.last_request_ms(&vm) < marked_ms,
        "new work for a VM that leaves"
    );
}

#[tokio::test]
async fn a_dead_daemon_of_the_zone_does_not_hold_a_drain() {
    let mut cluster = Cluster::start(shape(1)).await;
    cluster.kill(1);
    let vm = cluster.vms("parts")[0].clone();
    cluster.operator(0).vm_drain(vm.clone()).await.unwrap();
    wait_for_state(&cluster, 0, &vm, VmState::Stopped).await;
}

#[tokio::test]
async fn an_outage_holds_drains_and_they_go_on_after_it() {
    let cluster = Cluster::start(shape(1)).await;
    let vm = cluster.vms("parts")[0].clone();
    cluster.operator(0).vm_drain(vm.clone()).await.unwrap();
    cluster.platform.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    let other = cluster.vms("quotes")[0].clone();
    let err = cluster
        .operator(0)
        .vm_drain(other.clone())
        .await
        .unwrap_err();
    assert!(
        matches!(refused(&err), OperatorError::PlatformUnreachable(_)),
        "{err}"
    );
    cluster.platform.set_faults(Faults::default());
    wait_for_state(&cluster, 0, &vm, VmState::Stopped).await;
    assert_eq!(report(&cluster, 0, &other).await.state, VmState::Serving);
    let mut load = cluster.load("quotes");
    load.duration = Duration::from_secs(1);
    load.run().await;
    let runs = cluster.targets.runs();
    assert!(
        runs.values().flatten().any(|run| run.vm == other),
        "the hold was taken back"
    );
}
