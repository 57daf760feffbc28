//! The models hold with all their rules, and each rule left out shows the fault that it prevents.

use spec::{
    ClaimModel, ClaimRule, HandoverModel, HandoverRule, LeaveModel, LeaveRule, Model, StewardModel,
    StewardRule, check,
};

/// Checks a model that has all its rules.
fn check_whole<M: Model>(model: &M, at_least_states: usize) {
    let checked = check(model);
    assert!(
        checked.trace.is_none(),
        "a fault after {:#?}",
        checked.trace
    );
    assert!(
        checked.states >= at_least_states,
        "only {} states",
        checked.states
    );
}

/// Checks a model without one rule.
fn check_broken<M: Model>(model: &M, fault: &str) {
    let trace = check(model).trace.expect("a trace to the fault");
    let last = trace.last().expect("a trace has a first state");
    assert_eq!(model.fault(last), Some(fault));
}

#[test]
fn leaving() {
    check_whole(&LeaveModel::default(), 1_000);
}

#[test]
fn leaving_without_waiting_for_the_stop() {
    let model = LeaveModel {
        without: Some(LeaveRule::StopWaits),
    };
    check_broken(&model, "a planned stop cuts a request");
}

#[test]
fn leaving_without_views_that_expire() {
    let model = LeaveModel {
        without: Some(LeaveRule::ViewsExpire),
    };
    check_broken(&model, "a leaving VM gets new work");
}

#[test]
fn leaving_without_a_hold_before_the_mark() {
    let model = LeaveModel {
        without: Some(LeaveRule::HoldBeforeMark),
    };
    check_broken(&model, "a leaving VM gets new work");
}

#[test]
fn leaving_with_holds_that_end_by_time_alone() {
    let model = LeaveModel {
        without: Some(LeaveRule::HoldsEndWithAView),
    };
    check_broken(&model, "a leaving VM gets new work");
}

#[test]
fn claims() {
    check_whole(&ClaimModel::default(), 1_000);
}

#[test]
fn claims_without_conditional_writes() {
    let model = ClaimModel {
        without: Some(ClaimRule::Conditional),
    };
    check_broken(&model, "the request runs twice");
}

#[test]
fn claims_without_a_new_nonce_after_a_release() {
    let model = ClaimModel {
        without: Some(ClaimRule::NewNonceAfterRelease),
    };
    check_broken(&model, "the request runs twice");
}

#[test]
fn claims_with_an_unknown_holder_taken_for_a_release() {
    let model = ClaimModel {
        without: Some(ClaimRule::UnknownIsSpent),
    };
    check_broken(&model, "the request runs twice");
}

#[test]
fn stewards() {
    check_whole(&StewardModel::default(), 100);
}

#[test]
fn stewards_without_a_fence() {
    let model = StewardModel {
        without: Some(StewardRule::Fenced),
    };
    check_broken(&model, "a former steward writes after its successor");
}

#[test]
fn handovers_of_queues() {
    check_whole(&HandoverModel::default(), 100_000);
}

#[test]
fn handovers_without_a_condition_on_the_copy() {
    let model = HandoverModel {
        without: Some(HandoverRule::RecordsOnCondition),
    };
    check_broken(&model, "a job is recorded in two pools");
}

#[test]
fn handovers_that_begin_with_the_next_pool() {
    let model = HandoverModel {
        without: Some(HandoverRule::PreviousPoolsFirst),
    };
    check_broken(&model, "a job is recorded in two pools");
}

#[test]
fn handovers_without_a_search_of_the_previous_pools() {
    let model = HandoverModel {
        without: Some(HandoverRule::SearchesPreviousPools),
    };
    check_broken(&model, "a job is recorded in two pools");
}
