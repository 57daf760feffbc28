//! Serialized reports and errors keep the names that other builds and scripts read.

use domain::{Incarnation, Term};
use peer::{LeaderReport, OperatorError};

#[test]
fn a_leader_report_names_the_incarnation_holder() {
    let report = LeaderReport {
        incarnation: Incarnation::new("e1.7").unwrap(),
        term: Term(3),
    };
    let text = serde_json::to_string(&report).unwrap();
    assert_eq!(text, r#"{"holder":"e1.7","term":3}"#);
}

#[test]
fn operator_errors_keep_their_names() {
    let check = |err: OperatorError, expected: &str| {
        assert_eq!(serde_json::to_string(&err).unwrap(), expected);
    };
    let message = || "message".to_owned();
    check(
        OperatorError::PeersUnreachable(message()),
        r#"{"Held":"message"}"#,
    );
    check(
        OperatorError::PlatformUnreachable(message()),
        r#"{"PlatformAway":"message"}"#,
    );
}
