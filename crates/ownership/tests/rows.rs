//! Tests of the JSON form of the rows in the store, which daemons of other versions read and write.

use ownership::{Assignment, DaemonRow, OwnerRow};
use serde_json::json;

#[test]
fn a_daemon_row_keeps_its_json_form() {
    let row = DaemonRow {
        incarnation: "1".into(),
        addr: "a:1".into(),
        started_at_ms: 5,
        is_shutting_down: true,
        zone: "z1".into(),
        capacity: 250,
        owned_shards: [("p1".into(), 3)].into(),
    };
    let text = r#"{"incarnation":"1","addr":"a:1","started_at_ms":5,"is_leaving":true,"zone":"z1","capacity":250,"holds":{"p1":3}}"#;
    assert_eq!(serde_json::to_string(&row).unwrap(), text);
    assert_eq!(serde_json::from_str::<DaemonRow>(text).unwrap(), row);
}

#[test]
fn a_daemon_row_without_a_capacity_has_capacity_1_and_no_zone() {
    let row = json!({
        "incarnation": "1",
        "addr": "a:1",
        "started_at_ms": 5,
        "is_leaving": false,
        "holds": {},
    });
    let row = serde_json::from_value::<DaemonRow>(row).unwrap();
    assert_eq!((row.capacity, row.zone.as_str()), (1, ""));
}

#[test]
fn an_owner_row_keeps_its_json_form() {
    let row = OwnerRow {
        daemon: "a".into(),
        incarnation: "1".into(),
        term: 3,
        is_released: true,
        last_command_at_ms: 7,
    };
    let text =
        r#"{"daemon":"a","incarnation":"1","term":3,"is_released":true,"last_order_at_ms":7}"#;
    assert_eq!(serde_json::to_string(&row).unwrap(), text);
    assert_eq!(serde_json::from_str::<OwnerRow>(text).unwrap(), row);
}

#[test]
fn an_owner_row_without_the_time_of_the_last_command_has_time_0() {
    let row = json!({"daemon": "a", "incarnation": "1", "term": 3, "is_released": false});
    assert_eq!(
        serde_json::from_value::<OwnerRow>(row)
            .unwrap()
            .last_command_at_ms,
        0
    );
}

#[test]
fn an_assignment_keeps_its_json_form() {
    let row = Assignment {
        epoch: 8,
        pool: "b".into(),
        previous_pools: ["a".into()].into(),
    };
    let text = r#"{"epoch":8,"pool":"b","previous_pools":["a"]}"#;
    assert_eq!(serde_json::to_string(&row).unwrap(), text);
    assert_eq!(serde_json::from_str::<Assignment>(text).unwrap(), row);
}
