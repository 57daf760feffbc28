//! Configurations and presets: in force everywhere, never reverting, one at a time.

use domain::{Epoch, PresetId};
use peer::{OperatorError, OperatorRpcClient};
use test_support::{Cluster, Faults, ProxyFault, Shape, ZoneShape, refused};

const DAEMON: &str = env!("CARGO_BIN_EXE_trefoilpassd");

fn shape(zones: usize) -> Shape {
    let zone = ZoneShape {
        daemons: 2,
        parts: 2,
        quotes: 1,
    };
    Shape::new(DAEMON, &vec![zone; zones])
}

fn preset(id: &str) -> PresetId {
    PresetId::new(id).unwrap()
}

async fn epoch(cluster: &Cluster, daemon: usize) -> Epoch {
    let status = cluster.operator(daemon).status().await;
    status.map_or(Epoch(0), |status| status.view.epoch)
}

async fn wait_for_epoch(cluster: &Cluster, daemon: usize, wanted: u64) {
    let name = cluster.entry_vm(daemon);
    cluster
        .wait(&format!("{name} has epoch {wanted}"), async || {
            epoch(cluster, daemon).await >= Epoch(wanted)
        })
        .await;
}

#[tokio::test]
async fn racing_operators_get_one_winner() {
    let cluster = Cluster::start(shape(2)).await;
    let (ordinary, peak) = (preset("ordinary"), preset("peak"));
    let operators: Vec<_> = (0..4).map(|daemon| cluster.operator(daemon)).collect();
    let switches = operators
        .iter()
        .map(|rpc| rpc.preset_switch(ordinary.clone(), peak.clone()));
    let mut won = 0;
    for result in futures_util::future::join_all(switches).await {
        match result {
            Ok(_) => won += 1,
            Err(err) => assert!(matches!(refused(&err), OperatorError::Conflict(_)), "{err}"),
        }
    }
    assert_eq!(won, 1);
    for daemon in 0..4 {
        wait_for_epoch(&cluster, daemon, 2).await;
        let status = cluster.operator(daemon).status().await.unwrap();
        assert_eq!(status.preset, Some(preset("peak")));
    }
}

#[tokio::test]
async fn bad_input_is_refused_and_loses_nothing() {
    let cluster = Cluster::start(shape(1)).await;
    let rpc = cluster.operator(0);
    let text = cluster.spec.deployment_yaml();
    let first_vm = cluster.vms("parts")[0].clone();
    let cases = [
        (
            text.replace("deadline_ms: 2000", "deadline_ms: two"),
            "services[0].deadline_ms",
        ),
        (text.replacen("zone: z1", "zone: z9", 1), "vms[0].zone"),
        (
            text.replace(&format!("- id: {first_vm}"), "- id: other"),
            "vms: `",
        ),
        (
            text.replacen("pool: parts\n  executors", "pool: quotes\n  executors", 1),
            "vms[0].pool",
        ),
        (
            text.replace("first_preset: ordinary", "first_preset: peak")
                .replace("- id: ordinary", "- id: usual"),
            "presets: ",
        ),
    ];
    for (bad, field) in cases {
        assert_ne!(bad, text, "{field}: the document was not changed");
        let err = refused(&rpc.config_apply(bad, None).await.unwrap_err());
        assert!(matches!(err, OperatorError::BadInput(_)), "{err}");
        assert!(err.message().contains(field), "{field} is not named: {err}");
    }
    let err = rpc.config_apply(text, Some(Epoch(7))).await.unwrap_err();
    assert!(matches!(refused(&err), OperatorError::Conflict(_)));
    let err = rpc
        .preset_switch(preset("ordinary"), preset("none"))
        .await
        .unwrap_err();
    assert!(matches!(refused(&err), OperatorError::NotFound(_)));
    assert_eq!(epoch(&cluster, 0).await, Epoch(1));
}

#[tokio::test]
async fn a_change_whose_answer_was_lost_is_made_once_and_reported_as_made() {
    let cluster = Cluster::start(shape(1)).await;
    cluster.platform.set_faults(Faults {
        lose_answers: 2,
        ..Faults::default()
    });
    let applied = cluster
        .operator(0)
        .preset_switch(preset("ordinary"), preset("peak"))
        .await;
    assert_eq!(applied.unwrap().epoch, Epoch(2));
    assert_eq!(epoch(&cluster, 0).await, Epoch(2));
}

#[tokio::test]
async fn an_outage_is_told_to_operators_and_nothing_reverts() {
    let cluster = Cluster::start(shape(1)).await;
    cluster.platform.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    let err = cluster
        .operator(0)
        .preset_switch(preset("ordinary"), preset("peak"))
        .await;
    let err = refused(&err.unwrap_err());
    assert!(
        matches!(err, OperatorError::PlatformUnreachable(_)),
        "{err}"
    );
    assert_eq!(epoch(&cluster, 0).await, Epoch(1));
    cluster.platform.set_faults(Faults::default());
    cluster
        .operator(0)
        .preset_switch(preset("ordinary"), preset("peak"))
        .await
        .unwrap();
    wait_for_epoch(&cluster, 1, 2).await;
}

#[tokio::test]
async fn a_new_daemon_starts_from_its_peers_in_an_outage() {
    let mut cluster = Cluster::start(shape(1)).await;
    let rpc = cluster.operator(0);
    rpc.vm_drain(cluster.vms("parts")[0].clone()).await.unwrap();
    let seq = rpc.status().await.unwrap().view.fleet_seq;
    cluster.platform.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    cluster.kill(1);
    cluster.start_daemon(1).await;
    cluster.wait_ready(1).await;
    let status = cluster.operator(1).status().await.unwrap();
    assert_eq!(status.view.epoch, Epoch(1));
    assert!(status.view.fleet_seq >= seq);
    assert!(!status.platform_reachable);
    let answer = cluster
        .http()
        .get(cluster.url(1, "/v1/services/parts/work"))
        .send()
        .await;
    assert!(answer.unwrap().status().is_success());
}

#[tokio::test]
async fn a_daemon_with_nothing_to_start_from_is_not_ready_and_refuses() {
    let zone = ZoneShape {
        daemons: 1,
        parts: 1,
        quotes: 1,
    };
    let cluster = Cluster::start_unconfigured(Shape::new(DAEMON, &[zone])).await;
    let ready = cluster
        .http()
        .get(cluster.url(0, "/readyz"))
        .send()
        .await
        .unwrap();
    assert_eq!(ready.status().as_u16(), 503);
    let answer = cluster
        .http()
        .get(cluster.url(0, "/v1/services/parts/work"))
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status().as_u16(), 503);
    assert!(answer.text().await.unwrap().contains("no-configuration"));
}

#[tokio::test]
async fn a_daemon_cut_from_the_platform_learns_from_its_peers() {
    let cluster = Cluster::start(shape(1)).await;
    cluster.platform_links[1].set(ProxyFault::Cut);
    cluster
        .operator(0)
        .preset_switch(preset("ordinary"), preset("peak"))
        .await
        .unwrap();
    wait_for_epoch(&cluster, 1, 2).await;
}

#[tokio::test]
async fn an_epoch_never_reverts_through_kills_cuts_and_changes() {
    let mut cluster = Cluster::start(shape(2).with_peer_proxies()).await;
    let mut highest = [Epoch(0); 4];
    let mut from = "ordinary";
    for round in 0..6 {
        let to = if from == "ordinary" {
            "peak"
        } else {
            "ordinary"
        };
        cluster.set_zone_links(
            &Cluster::zone(2),
            if round % 2 == 0 {
                ProxyFault::Freeze
            } else {
                ProxyFault::None
            },
        );
        cluster
            .operator(0)
            .preset_switch(preset(from), preset(to))
            .await
            .unwrap();
        from = to;
        if round == 3 {
            cluster.kill(1);
            highest[1] = Epoch(0);
            cluster.start_daemon(1).await;
        }
        for (daemon, highest) in highest.iter_mut().enumerate() {
            let seen = epoch(&cluster, daemon).await;
            assert!(
                seen >= *highest,
                "daemon {daemon} went back from {highest} to {seen}"
            );
            *highest = seen;
        }
    }
    cluster.set_zone_links(&Cluster::zone(2), ProxyFault::None);
    for daemon in 0..4 {
        wait_for_epoch(&cluster, daemon, 7).await;
    }
}

/// Switches the preset while the answers to its daemon are at fault.
async fn check_made_at_most_once(fault: ProxyFault) {
    let cluster = Cluster::start(shape(1)).await;
    // Requests pass and answers do not: the platform makes the change, and its daemon can't know.
    cluster.platform_links[0].set(fault);
    let rpc = cluster.operator(0);
    let (from, to) = (preset("ordinary"), preset("peak"));
    let switch = tokio::spawn(async move { rpc.preset_switch(from, to).await });
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    cluster.platform_links[0].set(ProxyFault::None);
    let result = switch.await.unwrap();
    if let Err(err) = result {
        let err = refused(&err);
        assert!(
            matches!(err, OperatorError::PlatformUnreachable(_)),
            "{fault:?}: {err}"
        );
    }
    let status = cluster.operator(1).status().await.unwrap();
    assert!(
        status.view.epoch <= Epoch(2),
        "{fault:?}: the switch was made more than once"
    );
}

#[tokio::test]
async fn a_write_whose_answer_is_held_back_is_made_once() {
    check_made_at_most_once(ProxyFault::FreezeAnswers).await;
}

#[tokio::test]
async fn a_write_whose_answer_is_cut_short_is_made_once() {
    check_made_at_most_once(ProxyFault::TruncateAnswers(40)).await;
}

#[tokio::test]
async fn a_slow_platform_only_makes_changes_slower() {
    let cluster = Cluster::start(shape(1)).await;
    let delay = std::time::Duration::from_millis(200);
    for link in &cluster.platform_links {
        link.set(ProxyFault::Delay(delay));
    }
    let applied = cluster
        .operator(0)
        .preset_switch(preset("ordinary"), preset("peak"))
        .await;
    assert_eq!(applied.unwrap().epoch, Epoch(2));
    wait_for_epoch(&cluster, 1, 2).await;
}
