//! Which start the end of an incarnation is told with.

use std::{iter, slice};

use super::*;

fn reply(worker: &str, start_unix_ms: u64) -> RoundReply {
    RoundReply {
        starts_unix_ms: BTreeMap::from([(worker.into(), start_unix_ms)]),
        ..RoundReply::default()
    }
}

fn request(ended: &mut EndedIncarnations) -> RoundRequest {
    let mut request = RoundRequest::default();
    ended.move_to(&"pool".into(), &mut request);
    request
}

#[test]
fn an_end_is_told_with_the_start_that_was_known_when_it_was_seen() {
    let mut ended = EndedIncarnations::default();
    ended.begin_round(iter::once(&reply("w", 1)));
    ended.insert("pool".into(), "w".into());
    // The worker has restarted under its id by the next round.
    ended.begin_round(iter::once(&reply("w", 2)));
    let first = request(&mut ended);
    assert_eq!(first.ended_incarnations, ["w"]);
    assert_eq!(first.ended_starts_unix_ms["w"], 1);
    assert_eq!(request(&mut ended), RoundRequest::default());

    ended.take_back("pool".into(), &first);
    assert_eq!(request(&mut ended), first, "the request got no reply");
}

fn listed(pool: &str, phase: VmPhase, worker: &str) -> ListedVm {
    ListedVm {
        vm: "m".into(),
        pool: pool.into(),
        phase,
        zone: domain::ZoneId::new("z").unwrap(),
        labels: Vec::new(),
        capacity: submission::Resources::default(),
        worker_id: Some(worker.into()),
    }
}

fn unresponsive() -> BTreeMap<SmolStr, Vec<SmolStr>> {
    BTreeMap::from([("pool".into(), vec!["w".into()])])
}

/// The request after a worker that was listed was found unresponsive and the VM is listed as `next`.
fn request_after(ended: &mut EndedIncarnations, next: ListedVm) -> RoundRequest {
    ended.record_list(&[next], unresponsive(), |_| false);
    request(ended)
}

#[test]
fn a_crash_is_told_as_one_also_when_the_vm_is_back_with_another_worker() {
    for next in [
        listed("pool", VmPhase::Down, "w"),
        listed("pool", VmPhase::Up, "next"),
    ] {
        let mut ended = EndedIncarnations::default();
        let running = listed("pool", VmPhase::Up, "w");
        ended.record_list(slice::from_ref(&running), unresponsive(), |_| false);
        assert_eq!(request(&mut ended), RoundRequest::default(), "it is listed");
        let told = request_after(&mut ended, next);
        assert_eq!(told.ended_incarnations, ["w"]);
        assert_eq!(told.crashed_incarnations, Some(vec!["w".into()]));
        ended.take_back("pool".into(), &told);
        assert_eq!(request(&mut ended), told, "the request got no reply");
    }
}

#[test]
fn a_worker_that_was_moved_is_not_told_as_crashed() {
    let running = listed("pool", VmPhase::Up, "w");
    let back = listed("pool", VmPhase::Up, "next");
    for outcome in [VmCommandOutcome::Started, VmCommandOutcome::Unknown] {
        let mut ended = EndedIncarnations::default();
        ended.record_list(slice::from_ref(&running), BTreeMap::new(), |_| false);
        ended.record_command("m", outcome);
        let told = request_after(&mut ended, back.clone());
        assert_eq!(told.ended_incarnations, ["w"]);
        assert_eq!(told.crashed_incarnations, Some(Vec::new()), "{outcome:?}");
    }
    let mut ended = EndedIncarnations::default();
    ended.record_list(&[running], BTreeMap::new(), |_| false);
    ended.record_command("m", VmCommandOutcome::WithoutEffect);
    let told = request_after(&mut ended, back);
    assert_eq!(told.crashed_incarnations, Some(vec!["w".into()]));

    ended.insert("pool".into(), "w".into());
    let told = request(&mut ended);
    assert_eq!(told.crashed_incarnations, Some(Vec::new()), "a command");
}
