//! How limits follow the demand, and what is not lowered, raised or accepted.

use std::collections::BTreeMap;

use quota::{Allocation, LimitMessage, LimitReceiver, RowChanges, TeamRow, TeamUsage, UsageReply};
use smol_str::SmolStr;
use submission::Resources;

const TEAM: SmolStr = SmolStr::new_static("t");

fn cpu(cpu_milli: u32) -> Resources {
    Resources {
        cpu_milli,
        ..Resources::default()
    }
}

fn quotas(cpu_milli: u32) -> BTreeMap<SmolStr, Resources> {
    BTreeMap::from([(TEAM, cpu(cpu_milli))])
}

/// The owner of a pool that starts what waits, up to its limit.
struct Owner {
    pool: SmolStr,
    term: u64,
    receiver: LimitReceiver,
    in_use: u32,
    waiting: u32,
}

impl Owner {
    fn new(pool: &'static str, term: u64) -> Self {
        Self {
            pool: pool.into(),
            term,
            receiver: LimitReceiver::new(term),
            in_use: 0,
            waiting: 0,
        }
    }

    fn limit(&self, quota: u32) -> u32 {
        self.receiver.limits(&quotas(quota))[&TEAM].cpu_milli
    }

    fn start(&mut self, quota: u32) {
        let started = self.limit(quota).saturating_sub(self.in_use);
        let started = started.min(self.waiting);
        self.in_use += started;
        self.waiting -= started;
    }

    fn reply(&self, now_ms: u64) -> UsageReply {
        let usage = TeamUsage {
            in_use: cpu(self.in_use),
            waiting: cpu(self.waiting),
        };
        UsageReply {
            owner_term: self.term,
            now_ms,
            accepted: self.receiver.accepted(),
            usage: BTreeMap::from([(TEAM, usage)]),
        }
    }
}

/// Calls an owner; returns the message.
fn call(leader: &mut Allocation, owner: &mut Owner, now_ms: u64) -> LimitMessage {
    let message = leader.next_message(&owner.pool).unwrap();
    owner.receiver.accept(&message, now_ms);
    leader.record_reply(&owner.pool, &owner.reply(now_ms));
    message
}

/// Plans and writes the rows; returns how many were written.
fn write(leader: &mut Allocation, now_ms: u64) -> usize {
    let changes = leader.plan(now_ms);
    let written = changes.writes.len();
    leader.apply(changes);
    written
}

/// Some rounds at the same time, in which all owners start what they may. Returns how many rows were written.
fn settle(leader: &mut Allocation, owners: &mut [Owner], quota: u32, now_ms: u64) -> usize {
    let pools: Vec<_> = owners.iter().map(|owner| owner.pool.clone()).collect();
    leader.configure(quotas(quota), pools);
    let mut written = 0;
    for _ in 0..8 {
        for owner in &mut *owners {
            call(leader, owner, now_ms);
            owner.start(quota);
        }
        written += write(leader, now_ms);
    }
    written
}

/// A leader without predecessors, and pools `a` and `b`.
fn fleet() -> (Allocation, [Owner; 2]) {
    let leader = Allocation::new(1, BTreeMap::new(), 0);
    (leader, [Owner::new("a", 1), Owner::new("b", 1)])
}

#[test]
fn a_peak_gets_what_the_other_pool_does_not_use() {
    let (mut leader, mut owners) = fleet();
    settle(&mut leader, &mut owners, 1000, 0);
    assert_eq!([owners[0].limit(1000), owners[1].limit(1000)], [500, 500]);
    owners[0].waiting = 5000;
    owners[1].waiting = 100;
    settle(&mut leader, &mut owners, 1000, 0);
    assert_eq!([owners[0].in_use, owners[1].in_use], [900, 100]);
    // The peak moves on: as tasks end, the other pool gets its half.
    owners[1].waiting = 5000;
    for _ in 0..10 {
        owners[0].in_use = owners[0].in_use.saturating_sub(100);
        settle(&mut leader, &mut owners, 1000, 0);
    }
    assert_eq!([owners[0].in_use, owners[1].in_use], [500, 500]);
}

#[test]
fn demand_within_the_limits_writes_no_rows() {
    let (mut leader, mut owners) = fleet();
    assert_eq!(settle(&mut leader, &mut owners, 1000, 0), 1);
    for in_use in [0, 100, 300, 20, 450] {
        owners[0].in_use = in_use;
        owners[1].waiting = 20;
        assert_eq!(settle(&mut leader, &mut owners, 1000, 0), 0);
    }
}

#[test]
fn an_unreachable_pool_keeps_what_it_holds() {
    let (mut leader, mut owners) = fleet();
    settle(&mut leader, &mut owners, 1000, 0);
    let [a, b] = &mut owners;
    a.waiting = 5000;
    for _ in 0..8 {
        call(&mut leader, a, 0);
        a.start(1000);
        write(&mut leader, 0);
        // The message is lost.
        leader.next_message(&b.pool);
    }
    assert_eq!([a.in_use, b.limit(1000)], [500, 500]);
}

#[test]
fn a_lower_quota_starts_nothing_until_enough_has_ended() {
    let (mut leader, mut owners) = fleet();
    owners[0].waiting = 2000;
    settle(&mut leader, &mut owners, 1000, 0);
    owners[1].waiting = 50;
    assert_eq!(owners[0].in_use, 1000);
    // The owners know the lower quota before the leader.
    assert_eq!([owners[0].limit(300), owners[1].limit(300)], [0, 0]);
    settle(&mut leader, &mut owners, 300, 0);
    owners[0].in_use = 301;
    settle(&mut leader, &mut owners, 300, 0);
    assert_eq!(owners[1].in_use, 0);
    owners[0].in_use = 100;
    settle(&mut leader, &mut owners, 300, 0);
    assert_eq!(owners[1].in_use, 50);
    assert!(owners[0].in_use <= 250);
}

#[test]
fn a_quota_that_is_taken_away_ends_all_limits() {
    let (mut leader, mut owners) = fleet();
    settle(&mut leader, &mut owners, 1000, 0);
    leader.configure(BTreeMap::new(), ["a".into(), "b".into()]);
    let changes = leader.plan(0);
    assert_eq!(changes.removals, [TEAM]);
    leader.apply(changes);
    assert!(!leader.is_idle(), "no owner knows yet");
    let [told, informed] = &mut owners;
    call(&mut leader, told, 0);
    assert!(!leader.is_idle(), "one owner does not know yet");
    call(&mut leader, informed, 0);
    assert!(leader.is_idle());
    assert!(told.receiver.limits(&BTreeMap::new()).is_empty());
    // An owner whose configuration lost the quota does not wait for the leader.
    let (mut leader, mut owners) = fleet();
    settle(&mut leader, &mut owners, 1000, 0);
    owners[0].receiver.drop_limit(&TEAM);
    assert!(owners[0].receiver.limits(&BTreeMap::new()).is_empty());
    // When the quota is back before the leader saw that it was gone, the leader sends the limit again.
    assert_eq!(owners[0].limit(1000), 0);
    settle(&mut leader, &mut owners, 1000, 0);
    assert_eq!(owners[0].limit(1000), 500);
}

#[test]
fn a_quota_that_was_raised_and_lowered_again_does_not_revive_an_old_limit() {
    let (mut leader, mut owners) = fleet();
    settle(&mut leader, &mut owners, 400, 0);
    leader.configure(quotas(1500), ["a".into(), "b".into()]);
    let [a, b] = &mut owners;
    a.waiting = 5000;
    for _ in 0..8 {
        call(&mut leader, a, 0);
        a.start(1500);
        write(&mut leader, 0);
    }
    // Pool `b` does not know the higher quota, so that no pool may use it.
    b.waiting = 5000;
    b.start(400);
    assert!(a.in_use + b.in_use <= 400);
}

#[test]
fn a_new_leader_lowers_nothing_while_messages_of_the_previous_one_may_arrive() {
    let (mut previous, mut owners) = fleet();
    settle(&mut previous, &mut owners, 1000, 0);
    let rows = BTreeMap::from([(TEAM, previous.row(&TEAM).unwrap().clone())]);
    let mut leader = Allocation::new(2, rows, 3500);
    owners[0].waiting = 5000;
    settle(&mut leader, &mut owners, 1000, 1000);
    // Nor does it lower a limit that it can't give to the other pool yet.
    assert_eq!(owners[1].limit(1000), 500);
    // The owner of `b` is replaced, and the previous leader, which is paused, has called the new one before.
    let mut successor = Owner::new("b", 2);
    previous.record_reply("b", &successor.reply(1000));
    successor
        .receiver
        .accept(&previous.next_message("b").unwrap(), 2000);
    successor.waiting = 5000;
    successor.start(1000);
    assert_eq!([owners[0].in_use, successor.in_use], [500, 500]);
    settle(&mut leader, &mut owners, 1000, 3500);
    assert_eq!(owners[0].in_use, 1000);
}

#[test]
fn replies_of_an_owner_in_an_earlier_term_change_nothing() {
    let (mut leader, mut owners) = fleet();
    settle(&mut leader, &mut owners, 1000, 0);
    let mut successor = Owner::new("b", 2);
    successor.waiting = 5000;
    leader.record_reply("b", &successor.reply(0));
    call(&mut leader, &mut successor, 0);
    successor.start(1000);
    owners[0].waiting = 5000;
    // The deposed owner still replies that it uses nothing.
    settle(&mut leader, &mut owners, 1000, 0);
    assert_eq!([owners[0].in_use, successor.in_use], [500, 500]);
}

#[test]
fn messages_are_accepted_only_in_their_time_term_and_order() {
    let limit = |cpu_milli| {
        let limit = quota::TeamLimit {
            quota: cpu(1000),
            limit: cpu(cpu_milli),
        };
        BTreeMap::from([(TEAM, limit)])
    };
    let first = LimitMessage {
        leader_term: 2,
        number: 5,
        base: None,
        owner_term: 7,
        echo_ms: 10_000,
        limits: limit(100),
    };
    // Name, leader's term, number, base, owner's term, time, and the limit afterwards.
    let cases = [
        ("repeated", 2, 5, None, 7, 10_100, 100),
        ("overtaken", 2, 4, None, 7, 10_100, 100),
        ("of an earlier leader", 1, 9, None, 7, 10_100, 100),
        ("for another term", 2, 9, None, 6, 10_100, 100),
        ("late", 2, 9, None, 7, 11_001, 100),
        ("in time", 2, 9, None, 7, 11_000, 9),
        ("changes to another message", 2, 9, Some(4), 7, 10_100, 100),
        ("changes", 2, 9, Some(5), 7, 10_100, 9),
        ("of a new leader", 3, 1, None, 7, 10_100, 9),
    ];
    for (name, leader_term, number, base, owner_term, now_ms, expected) in cases {
        let message = LimitMessage {
            leader_term,
            number,
            base,
            owner_term,
            echo_ms: 10_000,
            limits: limit(9),
        };
        let mut receiver = LimitReceiver::new(7);
        assert!(receiver.accept(&first, 10_000));
        receiver.accept(&message, now_ms);
        assert_eq!(
            receiver.limits(&quotas(1000))[&TEAM],
            cpu(expected),
            "{name}"
        );
    }
}

#[test]
fn the_rows_of_more_teams_than_a_transaction_holds_are_written_in_parts() {
    let teams: Vec<_> = (0..110)
        .map(|team| SmolStr::from(format!("t{team}")))
        .collect();
    let row = TeamRow {
        quota: cpu(10),
        held: BTreeMap::new(),
    };
    let writes = teams.iter().map(|team| (team.clone(), row.clone()));
    let changes = RowChanges {
        writes: writes.collect(),
        removals: vec!["gone".into(), "also-gone".into()],
    };
    let parts = changes.clone().into_parts(30);
    let sizes = parts
        .iter()
        .map(|part| part.writes.len() + part.removals.len());
    assert_eq!(sizes.collect::<Vec<_>>(), [30, 30, 30, 22]);
    let mut joined = RowChanges::default();
    for part in parts {
        joined.writes.extend(part.writes);
        joined.removals.extend(part.removals);
    }
    assert_eq!(joined, changes);
    assert!(RowChanges::default().into_parts(30).is_empty());
}

#[test]
fn rows_and_messages_keep_their_form() {
    let row = TeamRow {
        quota: cpu(10),
        held: BTreeMap::from([("a".into(), cpu(4))]),
    };
    let json = r#"{"quota":{"c":10,"m":0,"g":0},"held":{"a":{"c":4,"m":0,"g":0}}}"#;
    assert_eq!(serde_json::to_string(&row).unwrap(), json);
    assert_eq!(serde_json::from_str::<TeamRow>(json).unwrap(), row);
    let json = r#"{"leader_term":1,"number":2,"owner_term":3,"echo_ms":4}"#;
    let message: LimitMessage = serde_json::from_str(json).unwrap();
    assert_eq!(serde_json::to_string(&message).unwrap(), json);
}
