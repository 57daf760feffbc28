//! When a VM may begin to leave, and when it may be stopped.

use domain::{EntryVmId, ZoneId};
use maintenance::{DaemonReply, LeaveRule, StopDecision};

const S: u64 = 1_000_000;

/// The longest request of these tests.
const LONGEST_US: u64 = 5 * S;

/// Two daemons in the VM's zone, one in another.
fn check(replies: &[DaemonReply; 3], mark_age_us: u64) -> (Vec<String>, Vec<String>) {
    let zone = |id| ZoneId::new(id).unwrap();
    let entry = |id| EntryVmId::new(id).unwrap();
    let names = [entry("own-1"), entry("own-2"), entry("other")];
    let zones = [zone("z1"), zone("z1"), zone("z2")];
    let input = || {
        names
            .iter()
            .zip(&zones)
            .zip(replies)
            .map(|((id, zone), reply)| (id, zone, reply))
    };
    let rule = LeaveRule::new(zone("z1"), LONGEST_US);
    let texts = |ids: Vec<EntryVmId>| ids.iter().map(ToString::to_string).collect();
    let waiting = match rule.may_stop(mark_age_us, input()) {
        StopDecision::Stop => Vec::new(),
        StopDecision::WaitFor(ids) => ids,
    };
    (texts(rule.holding_the_mark(input())), texts(waiting))
}

fn agreed(in_flight: u32) -> DaemonReply {
    DaemonReply::Agreed { in_flight }
}

#[test]
fn all_agreed_and_idle() {
    assert_eq!(
        check(&[agreed(0), agreed(0), agreed(0)], 0),
        (vec![], vec![])
    );
}

#[test]
fn work_in_flight_holds_the_stop_and_not_the_mark() {
    let (mark, stop) = check(&[agreed(1), agreed(0), agreed(2)], 100 * S);
    assert!(mark.is_empty());
    assert_eq!(stop, ["own-1", "other"]);
}

#[test]
fn a_silent_daemon_of_the_zone_holds_both_for_ever() {
    for reply in [DaemonReply::Silent, DaemonReply::NotYet] {
        let (mark, stop) = check(&[reply, agreed(0), agreed(0)], 100_000 * S);
        assert_eq!(mark, ["own-1"]);
        assert_eq!(stop, ["own-1"]);
    }
}

#[test]
fn a_silent_daemon_of_another_zone_holds_the_stop_until_its_view_has_expired() {
    for reply in [DaemonReply::Silent, DaemonReply::NotYet] {
        let (mark, stop) = check(&[agreed(0), agreed(0), reply.clone()], 8 * S);
        assert!(mark.is_empty());
        assert_eq!(stop, ["other"]);
        let (_, stop) = check(&[agreed(0), agreed(0), reply], 9 * S);
        assert!(stop.is_empty());
    }
}

#[test]
fn a_dead_process_holds_the_stop_until_its_last_request_has_ended() {
    let dead = DaemonReply::NotRunning;
    let replies = [dead.clone(), agreed(0), dead];
    let (mark, stop) = check(&replies, LONGEST_US - 1);
    assert!(mark.is_empty());
    assert_eq!(stop, ["own-1", "other"]);
    let (_, stop) = check(&replies, LONGEST_US);
    assert!(stop.is_empty());
}
