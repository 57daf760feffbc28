//! Which incarnations are told to have ended, and with which start.

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

fn at(pool: &str, worker: &str) -> (SmolStr, SmolStr) {
    (pool.into(), worker.into())
}

/// Sends a command to the VM of a list that shows it up with the worker.
fn command(ended: &mut EndedIncarnations, (pool, worker): (&str, &str), outcome: VmCommandOutcome) {
    ended.record_command(&"m".into(), Some(&at(pool, worker)), outcome);
}

/// What a list shows after commands.
fn settled(ended: &mut EndedIncarnations, next: ListedVm) -> SettledWorkers {
    ended.record_list(&[next], BTreeMap::new(), |_| false)
}

#[test]
fn an_end_is_told_with_the_start_that_was_known_when_it_was_seen() {
    let mut ended = EndedIncarnations::default();
    ended.begin_round(iter::once(&reply("w", 1)));
    command(&mut ended, ("pool", "w"), VmCommandOutcome::Started);
    assert_eq!(request(&mut ended), RoundRequest::default());
    let gone = settled(&mut ended, listed("pool", VmPhase::InMaintenance, "w"));
    assert_eq!(gone.ended, [at("pool", "w")]);
    // The worker has restarted under its id by the next round.
    ended.begin_round(iter::once(&reply("w", 2)));
    let first = request(&mut ended);
    assert_eq!(first.ended_incarnations, ["w"]);
    assert_eq!(first.ended_starts_unix_ms["w"], 1);
    assert_eq!(request(&mut ended), RoundRequest::default());

    ended.take_back("pool".into(), &first);
    assert_eq!(request(&mut ended), first, "the request got no reply");
}

/// Guards against: the response to a repeated command ends the worker that came with the operation of the first one.
#[test]
fn a_repeated_command_does_not_end_the_worker_that_came_with_the_first_one() {
    for target in ["other", "pool"] {
        let mut ended = EndedIncarnations::default();
        command(&mut ended, ("pool", "w"), VmCommandOutcome::Unknown);
        let next = listed(target, VmPhase::Up, "next");
        let gone = settled(&mut ended, next.clone());
        assert_eq!(gone.ended, [at("pool", "w")]);
        assert_eq!(request(&mut ended).ended_incarnations, ["w"]);

        command(&mut ended, (target, "next"), VmCommandOutcome::Started);
        let stays = settled(&mut ended, next.clone());
        assert_eq!(stays.ended, []);
        assert_eq!(stays.running, [at(target, "next")]);
        let mut told = RoundRequest::default();
        ended.move_to(&target.into(), &mut told);
        assert_eq!(told, RoundRequest::default());
        assert_eq!(settled(&mut ended, next), SettledWorkers::default());
    }
}

#[test]
fn a_command_without_a_known_outcome_ends_its_worker_once_a_list_shows_it() {
    let mut ended = EndedIncarnations::default();
    let running = listed("pool", VmPhase::Up, "w");
    settled(&mut ended, running.clone());
    ended.begin_round(iter::once(&reply("w", 1)));
    command(&mut ended, ("pool", "w"), VmCommandOutcome::Unknown);
    assert_eq!(
        settled(&mut ended, running.clone()),
        SettledWorkers::default()
    );
    ended.begin_round(iter::empty());
    command(&mut ended, ("pool", "w"), VmCommandOutcome::WithoutEffect);
    settled(&mut ended, listed("other", VmPhase::Moving, "w"));
    let told = request(&mut ended);
    assert_eq!(told.ended_starts_unix_ms["w"], 1, "known at the command");
    assert_eq!(told.crashed_incarnations, Some(Vec::new()));

    for refused in [VmCommandOutcome::Busy, VmCommandOutcome::Impossible] {
        command(&mut ended, ("pool", "w"), VmCommandOutcome::Unknown);
        command(&mut ended, ("pool", "w"), refused);
        let gone = settled(&mut ended, listed("pool", VmPhase::Down, "w"));
        assert_eq!(gone, SettledWorkers::default(), "{refused:?}");
    }
}

fn unresponsive() -> BTreeMap<SmolStr, Vec<UnresponsiveWorker>> {
    let worker = UnresponsiveWorker {
        id: "w".into(),
        ran_at_ms: None,
    };
    BTreeMap::from([("pool".into(), vec![worker])])
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
        ended.record_command(&"m".into(), None, outcome);
        let told = request_after(&mut ended, back.clone());
        assert_eq!(told.ended_incarnations, ["w"]);
        assert_eq!(told.crashed_incarnations, Some(Vec::new()), "{outcome:?}");
    }
    let mut ended = EndedIncarnations::default();
    ended.record_list(&[running], BTreeMap::new(), |_| false);
    ended.record_command(&"m".into(), None, VmCommandOutcome::WithoutEffect);
    let told = request_after(&mut ended, back);
    assert_eq!(told.crashed_incarnations, Some(vec!["w".into()]));

    command(&mut ended, ("pool", "w"), VmCommandOutcome::Started);
    settled(&mut ended, listed("pool", VmPhase::Down, "w"));
    let told = request(&mut ended);
    assert_eq!(told.ended_incarnations, ["w"]);
    assert_eq!(told.crashed_incarnations, Some(Vec::new()), "a command");
}
