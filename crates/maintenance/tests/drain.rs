//! When a VM may be drained, and when a draining VM may be stopped.

use domain::{EntryVmId, ZoneId};
use maintenance::{DaemonReply, DrainRule, StopDecision};

const SECOND_US: u64 = 1_000_000;

const MAX_REQUEST_DURATION_US: u64 = 5 * SECOND_US;

/// The daemons that block the drain and those that block the stop. Two daemons are in the VM's zone, the third in
/// another zone.
fn blocking_daemons(replies: &[DaemonReply; 3], drain_age_us: u64) -> (Vec<String>, Vec<String>) {
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
    let rule = DrainRule::new(zone("z1"), MAX_REQUEST_DURATION_US);
    let texts = |ids: Vec<EntryVmId>| ids.iter().map(ToString::to_string).collect();
    let waiting = match rule.stop_decision(drain_age_us, input()) {
        StopDecision::Stop => Vec::new(),
        StopDecision::WaitFor(ids) => ids,
    };
    (texts(rule.daemons_blocking_drain(input())), texts(waiting))
}

fn agreed(in_flight: u32) -> DaemonReply {
    DaemonReply::Agreed { in_flight }
}

#[test]
fn nothing_blocks_when_all_daemons_agreed_and_are_idle() {
    assert_eq!(
        blocking_daemons(&[agreed(0), agreed(0), agreed(0)], 0),
        (vec![], vec![])
    );
}

#[test]
fn requests_in_flight_block_the_stop_but_not_the_drain() {
    let (drain, stop) = blocking_daemons(&[agreed(1), agreed(0), agreed(2)], 100 * SECOND_US);
    assert!(drain.is_empty());
    assert_eq!(stop, ["own-1", "other"]);
}

#[test]
fn an_unresponsive_daemon_of_the_zone_blocks_drain_and_stop_without_a_time_limit() {
    for reply in [DaemonReply::Unresponsive, DaemonReply::NotApplied] {
        let (drain, stop) = blocking_daemons(&[reply, agreed(0), agreed(0)], 100_000 * SECOND_US);
        assert_eq!(drain, ["own-1"]);
        assert_eq!(stop, ["own-1"]);
    }
}

#[test]
fn an_unresponsive_daemon_of_another_zone_blocks_the_stop_until_its_view_has_expired() {
    for reply in [DaemonReply::Unresponsive, DaemonReply::NotApplied] {
        let (drain, stop) = blocking_daemons(&[agreed(0), agreed(0), reply.clone()], 8 * SECOND_US);
        assert!(drain.is_empty());
        assert_eq!(stop, ["other"]);
        let (_, stop) = blocking_daemons(&[agreed(0), agreed(0), reply], 9 * SECOND_US);
        assert!(stop.is_empty());
    }
}

#[test]
fn a_daemon_that_does_not_run_blocks_the_stop_until_its_last_request_has_ended() {
    let not_running = DaemonReply::NotRunning;
    let replies = [not_running.clone(), agreed(0), not_running];
    let (drain, stop) = blocking_daemons(&replies, MAX_REQUEST_DURATION_US - 1);
    assert!(drain.is_empty());
    assert_eq!(stop, ["own-1", "other"]);
    let (_, stop) = blocking_daemons(&replies, MAX_REQUEST_DURATION_US);
    assert!(stop.is_empty());
}
