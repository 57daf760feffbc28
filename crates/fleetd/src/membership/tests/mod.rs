//! The rows of the operators that are in force.

use ownership::Peers;
use serde_json::json;
use users_platform::HttpClient;

use super::*;
use crate::metrics::Metrics;

fn node() -> Node {
    let settings = "\
        {daemon: d, ip: 127.0.0.1, zone: z, callers_addr: 127.0.0.1:1, ready_addr: 127.0.0.1:2, peer_port: 3, \
        metrics_port: 4, store_addr: 127.0.0.1:5, vms_addr: 127.0.0.1:6, bounds: {grace_s: 6, longest_lease_ms: 10000, \
        keep_ended_s: 120, steward_gap_ms: 4000, maintenance_s: 2}}";
    let settings = serde_norway::from_str(settings).unwrap();
    let http = HttpClient::new(FEED_TIMEOUT, FEED_TIMEOUT).unwrap();
    let metrics = Metrics::new(http.costs()).unwrap();
    let peers = Peers::new(DEAD_AFTER_MS, UNREACHABLE_DEAD_AFTER_MS, MAX_READ_GAP_MS);
    Node::new(settings, "d-1".into(), &http, metrics, peers)
}

fn wave_row(number: u64, is_removed: bool) -> Row {
    let wave = json!({"wave": number, "machines": ["m"], "deadlineS": 9, "cap": 1});
    Row {
        key: RowKey::new(OPERATOR_TABLE, "", format!("{WAVE_PREFIX}{number}")),
        value: (!is_removed).then(|| wave.to_string().into_bytes()),
        version: number,
        is_removed,
    }
}

fn requested(node: &Node) -> Vec<u64> {
    let waves = node.requested_waves.lock();
    waves.values().map(|wave| wave.number).collect()
}

#[test]
fn waves_whose_rows_were_removed_while_the_history_was_compacted_are_not_requested() {
    let node = node();
    apply_operator_rows(&node, &[wave_row(1, false), wave_row(2, false)], true);
    apply_operator_rows(&node, &[wave_row(3, false)], false);
    assert_eq!(requested(&node), [1, 2, 3]);
    apply_operator_rows(&node, &[wave_row(2, true)], false);
    assert_eq!(requested(&node), [1, 3]);
    // The removal of the first row is no longer in the history.
    apply_operator_rows(&node, &[wave_row(3, false), wave_row(4, false)], true);
    assert_eq!(requested(&node), [3, 4]);
}

fn config_row(value: &str) -> Row {
    Row {
        key: RowKey::new(OPERATOR_TABLE, "", CONFIG_KEY),
        value: Some(value.into()),
        version: 1,
        is_removed: false,
    }
}

/// Such a row may revoke a key.
#[test]
fn a_configuration_that_can_not_be_decoded_is_not_confirmed() {
    let node = node();
    let limits =
        json!({"maxHeaderBytes": 1, "maxBodyBytes": 1, "headerTimeoutMs": 1, "idleTimeoutMs": 1});
    let config = |epoch: u64| {
        config_row(&json!({"version": epoch, "routes": [], "limits": limits}).to_string())
    };
    let waves = [wave_row(1, false)];
    assert_eq!(apply_operator_rows(&node, &waves, true), None);
    assert_eq!(apply_operator_rows(&node, &[config(2)], false), Some(true));
    assert_eq!(
        apply_operator_rows(&node, &[config_row("{")], false),
        Some(false)
    );
    // The last row counts.
    let rows = [config_row("{"), config(3)];
    assert_eq!(apply_operator_rows(&node, &rows, false), Some(true));
}

/// The changes of an outage in which the configuration changed often are too large for a narrow link.
#[test]
fn after_an_outage_all_rows_are_read_instead_of_each_change_since() {
    for (age_ms, was_complete, expected) in [
        (900, false, false),
        (9000, false, true),
        // A read of all rows over a narrow link.
        (1500, true, false),
    ] {
        assert_eq!(must_read_all(age_ms, was_complete), expected, "{age_ms}");
    }
}
