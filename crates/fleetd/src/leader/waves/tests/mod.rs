//! The JSON form of the stored row of a maintenance wave.

use super::WaveRow;

#[test]
fn a_stored_wave_row_keeps_its_field_names() {
    let json = r#"{"seen_at_ms":7,"begun":["vm-1"],"is_done":false}"#;
    let row = WaveRow {
        seen_at_ms: 7,
        started_vms: ["vm-1".into()].into(),
        is_done: false,
    };
    assert_eq!(serde_json::to_string(&row).unwrap(), json);
    assert_eq!(serde_json::from_str::<WaveRow>(json).unwrap(), row);
}
