//! Tests of the JSON form of digests and contact failures, which stays the same when Rust names change.

use domain::{EntryVmId, Epoch, FleetSeq, Incarnation};
use membership::{ContactFailure, Digest, View};

#[test]
fn a_digest_keeps_its_json_form() {
    let digest = Digest {
        entry_vm: EntryVmId::new("e1").unwrap(),
        incarnation: Incarnation::new("e1.7").unwrap(),
        view: View {
            epoch: Epoch(2),
            fleet_seq: FleetSeq(3),
        },
        view_age_us: Some(5),
        is_draining: true,
        peak_in_flight: vec![1, 0],
    };
    let text = r#"{"entry_vm":"e1","incarnation":"e1.7","view":{"epoch":2,"fleet_seq":3},"view_age_us":5,"is_draining":true,"peaks":[1,0]}"#;
    assert_eq!(serde_json::to_string(&digest).unwrap(), text);
    assert_eq!(serde_json::from_str::<Digest>(text).unwrap(), digest);
}

#[test]
fn a_contact_failure_keeps_its_json_form() {
    for (failure, text) in [
        (ContactFailure::ConnectionRefused, r#""refused""#),
        (ContactFailure::Unresponsive, r#""silent""#),
    ] {
        assert_eq!(serde_json::to_string(&failure).unwrap(), text);
        assert_eq!(
            serde_json::from_str::<ContactFailure>(text).unwrap(),
            failure
        );
    }
}
