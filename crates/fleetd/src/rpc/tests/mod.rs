//! The JSON form of the requests and responses between daemons.

use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use submission::JobState;

use super::*;

/// Checks the JSON form of a value in both directions.
fn check_json<T: Serialize + DeserializeOwned>(value: &T, expected: &Value) {
    assert_eq!(serde_json::to_value(value).unwrap(), *expected);
    let decoded: T = serde_json::from_value(expected.clone()).unwrap();
    assert_eq!(serde_json::to_value(&decoded).unwrap(), *expected);
}

#[test]
fn a_submission_keeps_its_field_names() {
    let request = SubmitRequest {
        pool: "p".into(),
        team: SmolStr::default(),
        rules: None,
        queue: "q".into(),
        id: JobId(7),
        spec: JobSpec {
            payload: "x".into(),
            steps: Vec::new(),
            occurrences: 1,
            first_at_unix_ms: 2,
            interval_ms: 3,
        },
        intake: None,
    };
    let spec = serde_json::to_value(&request.spec).unwrap();
    check_json(
        &request,
        &json!({"pool": "p", "queue": "q", "id": 7, "spec": spec}),
    );
    let request = SubmitRequest {
        team: "t".into(),
        ..request
    };
    check_json(
        &request,
        &json!({"pool": "p", "queue": "q", "team": "t", "id": 7, "spec": spec}),
    );
    let intake = SubmittedIntake {
        key: "h/q/".into(),
        version: Some(5),
        is_first_pool: true,
    };
    let request = SubmitRequest {
        intake: Some(intake),
        ..request
    };
    let intake = json!({"key": "h/q/", "version": 5, "first": true});
    check_json(
        &request,
        &json!({"pool": "p", "queue": "q", "team": "t", "id": 7, "spec": spec, "intake": intake}),
    );
    let rules = QueueRules {
        priority: 1,
        max_failures: 2,
        latency_objective_factor: 1.5,
        latency_objective_base_ms: 600,
        policy: Some(submission::PolicyRules {
            decision_base_ms: 20,
            decision_per_worker_ms: 1,
        }),
    };
    let request = SubmitRequest {
        rules: Some(rules),
        ..request
    };
    let rules = json!({"p": 1, "m": 2, "f": 1.5, "b": 600, "a": {"b": 20, "w": 1}});
    check_json(
        &request,
        &json!({
            "pool": "p", "queue": "q", "team": "t", "rules": rules, "id": 7, "spec": spec, "intake": intake,
        }),
    );
}

#[test]
fn responses_about_jobs_keep_their_variant_names() {
    check_json(&SubmitReply::Accepted, &json!("Accepted"));
    check_json(
        &SubmitReply::Refused { retry_after_s: 3 },
        &json!({"Refused": {"retry_after_s": 3}}),
    );
    check_json(&SubmitReply::NotOwner, &json!("NotOwner"));
    check_json(&SubmitReply::OtherTeam, &json!("OtherTeam"));
    check_json(&SubmitReply::Reassigned, &json!("Reassigned"));
    check_json(&SubmitReply::OutcomeUnknown, &json!("Unknown"));
    check_json(&JobReply::Absent, &json!("Absent"));
    check_json(&JobReply::NotOwner, &json!("NotOwner"));
    check_json(&JobReply::OtherTeam, &json!("OtherTeam"));
    check_json(&JobReply::Unknown, &json!("Unknown"));
    for (state, name) in [
        (JobState::Queued, "Queued"),
        (JobState::Running, "Running"),
        (JobState::Done, "Done"),
        (JobState::Failed, "Failed"),
        (JobState::Cancelled, "Cancelled"),
    ] {
        check_json(
            &JobReply::State(WireState(state)),
            &json!({ "State": name }),
        );
    }
}

#[test]
fn a_round_keeps_its_field_names() {
    let request = RoundRequest {
        drain: vec!["a".into()],
        cancel_drain: vec!["b".into()],
        ended_incarnations: vec!["c".into()],
        ended_starts_unix_ms: BTreeMap::new(),
        crashed_incarnations: None,
        maintenance_due: None,
        quotas: None,
    };
    check_json(
        &request,
        &json!({"empty": ["a"], "keep": ["b"], "over": ["c"]}),
    );
    let request = RoundRequest {
        maintenance_due: Some(vec!["h".into()]),
        ended_starts_unix_ms: BTreeMap::from([("c".into(), 5)]),
        ..request
    };
    check_json(
        &request,
        &json!({"empty": ["a"], "keep": ["b"], "over": ["c"], "over_starts": {"c": 5}, "due": ["h"]}),
    );
    let request = RoundRequest {
        crashed_incarnations: Some(Vec::new()),
        ..request
    };
    check_json(
        &request,
        &json!({
            "empty": ["a"], "keep": ["b"], "over": ["c"], "over_starts": {"c": 5}, "crashed": [], "due": ["h"],
        }),
    );
    let reply = RoundReply {
        remaining_tasks: vec![1],
        service_demand_workers: 1,
        urgent_demand_workers: 2,
        total_demand_workers: 3,
        service_workers: vec!["d".into()],
        unresponsive: vec!["e".into()],
        starts_unix_ms: BTreeMap::from([("e".into(), 6)]),
        response_ages_ms: BTreeMap::from([("e".into(), 9)]),
        unavailable: vec!["f".into()],
        idle: vec![("g".into(), 4)],
        progress: Some(OwnerProgress {
            term: 7,
            recorded_age_ms: 8,
            first_waiting: "t".into(),
        }),
        quotas: None,
    };
    check_json(
        &reply,
        &json!({
            "tasks": [1], "required": 1, "urgent": 2, "wanted": 3, "steady": ["d"], "silent": ["e"], "unusable": ["f"],
            "starts": {"e": 6}, "ages": {"e": 9}, "idle": [["g", 4]],
            "progress": {"term": 7, "recorded_age_ms": 8, "first_waiting": "t"},
        }),
    );
}

#[test]
fn the_ended_workers_that_a_leader_of_an_earlier_build_tells_may_have_crashed() {
    let mut request: RoundRequest =
        serde_json::from_value(json!({"empty": [], "keep": [], "over": ["a", "b"]})).unwrap();
    assert!(
        ["a", "b"]
            .map(SmolStr::from)
            .iter()
            .all(|worker| request.may_have_crashed(worker))
    );
    request.crashed_incarnations = Some(vec!["a".into()]);
    assert!(request.may_have_crashed(&"a".into()));
    assert!(!request.may_have_crashed(&"b".into()));
}

#[test]
fn a_round_of_an_earlier_build_has_no_service_demand() {
    let reply: RoundReply = serde_json::from_value(json!({
        "tasks": [], "urgent": 2, "wanted": 3, "steady": [], "silent": [], "unusable": [], "idle": [],
    }))
    .unwrap();
    assert_eq!(reply.service_demand_workers, 0);
    assert!(reply.starts_unix_ms.is_empty());
    assert_eq!(reply.progress, None);
    assert_eq!(reply.quotas, None);
}

#[test]
fn limits_of_teams_are_in_a_round_only_where_teams_have_quotas() {
    let request = RoundRequest {
        quotas: Some(LimitMessage {
            leader_term: 1,
            number: 2,
            owner_term: 3,
            echo_ms: 4,
            ..LimitMessage::default()
        }),
        ..RoundRequest::default()
    };
    check_json(
        &request,
        &json!({
            "empty": [], "keep": [], "over": [],
            "quotas": {"leader_term": 1, "number": 2, "owner_term": 3, "echo_ms": 4},
        }),
    );
    let reply: UsageReply = serde_json::from_value(json!({"owner_term": 3, "now_ms": 4})).unwrap();
    assert_eq!(reply.accepted, None);
    assert!(reply.usage.is_empty());
}
