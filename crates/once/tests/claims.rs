//! One daemon's claims, event by event.

use domain::{ErrorKind, Incarnation, ServiceId};
use once::{
    BatchResult, Begin, ClaimId, ClaimRow, Claims, Conflict, Ending, Fingerprint, HolderReply,
    Nonce, Pace, Ruling, StoredAnswer,
};

const NOW_US: u64 = 5_000_000;

fn incarnation(id: &str) -> Incarnation {
    Incarnation::new(id).unwrap()
}

fn id(key: &str) -> ClaimId {
    ClaimId {
        service: ServiceId::new("parts").unwrap(),
        key: key.into(),
    }
}

fn print(text: &str) -> Fingerprint {
    Fingerprint(text.into())
}

fn claims() -> Claims {
    Claims::new(incarnation("e1.a"), Pace::new(1_000, 100))
}

fn answer() -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: None,
        body: b"done".to_vec(),
    }
}

/// Claims with `key` running.
fn running(key: &str) -> Claims {
    let mut claims = claims();
    assert_eq!(claims.begin(&id(key), print("a"), NOW_US), Begin::Wait);
    claims.next_batch(NOW_US, 1).unwrap();
    let ruled = claims.batch_ended(BatchResult::Committed, NOW_US);
    assert_eq!(ruled, [(id(key), Ruling::Run)]);
    claims
}

fn foreign_row() -> Conflict {
    Conflict {
        id: id("k"),
        row: ClaimRow {
            holder: incarnation("e2.b"),
            nonce: Nonce(9),
            fingerprint: print("a"),
            claimed_at_s: 1,
        },
        version: 4,
    }
}

/// Claims that have met another daemon's row.
fn asking() -> Claims {
    let mut claims = claims();
    claims.begin(&id("k"), print("a"), NOW_US);
    claims.next_batch(NOW_US, 1).unwrap();
    let ruled = claims.batch_ended(BatchResult::Conflicts(vec![foreign_row()]), NOW_US);
    assert!(matches!(ruled[0].1, Ruling::AskHolder(_)));
    claims
}

fn check_resend(ending: Ending, fingerprint: &str, expected: &Begin) {
    let mut claims = running("k");
    claims.end(&id("k"), ending, NOW_US);
    assert_eq!(
        claims.begin(&id("k"), print(fingerprint), NOW_US),
        *expected
    );
}

#[test]
fn a_resend_gets_the_kept_answer() {
    let replay = Begin::Ruled(Ruling::Replay(answer()));
    check_resend(Ending::Answered(Some(answer())), "a", &replay);
}

#[test]
fn a_resend_never_runs_again_on_a_guess() {
    let spent = Begin::Ruled(Ruling::Refuse(ErrorKind::KeySpent));
    check_resend(Ending::Answered(None), "a", &spent);
    check_resend(Ending::Unknown, "a", &spent);
}

#[test]
fn a_request_that_did_not_run_may_run() {
    check_resend(Ending::NotRun, "a", &Begin::Wait);
}

#[test]
fn a_key_belongs_to_one_request() {
    let reused = Begin::Ruled(Ruling::Refuse(ErrorKind::KeyReused));
    check_resend(Ending::Answered(None), "b", &reused);
}

#[test]
fn a_running_request_is_not_run_beside_itself() {
    let mut claims = running("k");
    let begin = claims.begin(&id("k"), print("a"), NOW_US);
    assert_eq!(begin, Begin::Ruled(Ruling::Refuse(ErrorKind::KeyRunning)));
}

#[test]
fn one_transaction_carries_all_waiting_claims() {
    let mut claims = claims();
    for key in ["a", "b", "c"] {
        claims.begin(&id(key), print("a"), NOW_US);
    }
    assert_eq!(claims.next_batch(NOW_US, 1).unwrap().claims.len(), 3);
    assert_eq!(
        claims.next_batch(NOW_US, 1),
        None,
        "one transaction at a time"
    );
}

#[test]
fn a_claim_in_conflict_does_not_hold_up_the_others() {
    let mut claims = claims();
    claims.begin(&id("k"), print("a"), NOW_US);
    claims.begin(&id("other"), print("a"), NOW_US);
    claims.next_batch(NOW_US, 1).unwrap();
    claims.batch_ended(BatchResult::Conflicts(vec![foreign_row()]), NOW_US);
    let batch = claims.next_batch(NOW_US, 1).unwrap();
    assert_eq!(batch.claims[0].id, id("other"));
}

#[test]
fn a_lost_answer_is_read_back_by_the_nonce() {
    let mut claims = claims();
    claims.begin(&id("k"), print("a"), NOW_US);
    let first = claims.next_batch(NOW_US, 1).unwrap();
    assert_eq!(claims.batch_ended(BatchResult::Lost, NOW_US), []);
    let second = claims.next_batch(NOW_US, 1).unwrap();
    assert_eq!(second.claims[0].row.nonce, first.claims[0].row.nonce);
    let own = Conflict {
        id: id("k"),
        row: first.claims[0].row.clone(),
        version: 1,
    };
    let ruled = claims.batch_ended(BatchResult::Conflicts(vec![own]), NOW_US);
    assert_eq!(ruled, [(id("k"), Ruling::Run)]);
}

fn check_holder(reply: Option<HolderReply>, expected: Option<&Ruling>) {
    let ruling = asking().holder_replied(&foreign_row(), reply, NOW_US);
    assert_eq!(ruling.as_ref(), expected);
}

#[test]
fn the_holder_decides_on_a_resend_elsewhere() {
    let answered = HolderReply::Answered { answer: answer() };
    check_holder(Some(answered), Some(&Ruling::Replay(answer())));
    let running = Ruling::Refuse(ErrorKind::KeyRunning);
    check_holder(Some(HolderReply::Running), Some(&running));
    let spent = Ruling::Refuse(ErrorKind::KeySpent);
    check_holder(Some(HolderReply::Spent), Some(&spent));
    check_holder(Some(HolderReply::NotHolder), Some(&spent));
    let away = Ruling::Refuse(ErrorKind::KeyHolderAway);
    check_holder(None, Some(&away));
    check_holder(Some(HolderReply::Released), None);
}

#[test]
fn a_released_claim_changes_hands_on_the_version_that_was_seen() {
    let mut claims = asking();
    claims.holder_replied(&foreign_row(), Some(HolderReply::Released), NOW_US);
    let batch = claims.next_batch(NOW_US, 1).unwrap();
    assert_eq!(batch.claims[0].expected_version, 4);
}

#[test]
fn a_holder_that_has_released_a_claim_does_not_use_it_again() {
    let mut claims = running("k");
    claims.end(&id("k"), Ending::NotRun, NOW_US);
    let row = ClaimRow {
        holder: incarnation("e1.a"),
        nonce: Nonce(2),
        ..foreign_row().row
    };
    assert_eq!(claims.asked(&id("k"), &row, NOW_US), HolderReply::Released);
    claims.begin(&id("k"), print("a"), NOW_US);
    let batch = claims.next_batch(NOW_US, 1).unwrap();
    assert_ne!(batch.claims[0].row.nonce, Nonce(2));
    // Its own old row is as free as the peer was told.
    let old = Conflict {
        id: id("k"),
        row,
        version: 7,
    };
    assert_eq!(
        claims.batch_ended(BatchResult::Conflicts(vec![old]), NOW_US),
        []
    );
    let batch = claims.next_batch(NOW_US, 1).unwrap();
    assert_eq!(batch.claims[0].expected_version, 7);
}

#[test]
fn another_run_of_the_same_daemon_does_not_know_the_claim() {
    let mut claims = running("k");
    let row = foreign_row().row;
    assert_eq!(claims.asked(&id("k"), &row, NOW_US), HolderReply::NotHolder);
}

#[test]
fn kept_answers_stay_within_their_memory() {
    let mut claims = Claims::new(incarnation("e1.a"), Pace::new(1_000_000, 1_000));
    let large = StoredAnswer {
        body: vec![0; 64 * 1024],
        ..answer()
    };
    for number in 0..200 {
        let id = id(&format!("k{number}"));
        claims.begin(&id, print("a"), NOW_US);
        claims.next_batch(NOW_US, 1).unwrap();
        claims.batch_ended(BatchResult::Committed, NOW_US);
        claims.end(&id, Ending::Answered(Some(large.clone())), NOW_US);
    }
    let first = claims.begin(&id("k0"), print("a"), NOW_US);
    assert_eq!(first, Begin::Ruled(Ruling::Refuse(ErrorKind::KeySpent)));
    let last = claims.begin(&id("k199"), print("a"), NOW_US);
    assert_eq!(last, Begin::Ruled(Ruling::Replay(large)));
}
