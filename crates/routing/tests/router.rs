//! Admission, spilling, waiting, ejection and limits, in virtual time.

use std::net::SocketAddr;

use domain::{EntryVmId, ErrorKind, PoolId, ServiceId, VmId, ZoneId};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use routing::{
    Admission, AttemptResult, PeerLoad, Plan, PlannedPool, PlannedService, PlannedTarget, Report,
    Request, Router, ServiceKey, TargetKey, Verdict, WaitKey,
};
use settings::{Criticality, RoutingPolicy};

const MS: u64 = 1_000;
const DEADLINE_US: u64 = 1_000 * MS;

fn zone(id: &str) -> ZoneId {
    ZoneId::new(id).unwrap()
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn target(port: u16, zone_id: &str) -> PlannedTarget {
    PlannedTarget {
        addr: addr(port),
        vm: VmId::new(&format!("vm-{port}")).unwrap(),
        zone: zone(zone_id),
        slots: 8,
        connection_share: 9,
        is_serving: true,
    }
}

fn service(id: &str, criticality: Criticality) -> PlannedService {
    PlannedService {
        id: ServiceId::new(id).unwrap(),
        pool: PoolId::new("pool").unwrap(),
        deadline_us: DEADLINE_US,
        max_body_bytes: 1_000,
        criticality,
        policy: RoutingPolicy::LeastWork,
        retry_percent: 10,
    }
}

fn plan(targets: Vec<PlannedTarget>) -> Plan {
    Plan {
        pools: vec![PlannedPool {
            id: PoolId::new("pool").unwrap(),
            queue_limit_requests: 3,
            targets,
        }],
        services: vec![
            service("normal", Criticality::Normal),
            service("urgent", Criticality::Urgent),
        ],
    }
}

struct Fixture {
    router: Router,
    rng: ChaCha8Rng,
    now_us: u64,
}

impl Fixture {
    fn new(targets: Vec<PlannedTarget>) -> Self {
        let mut fixture = Self {
            router: Router::new(zone("z1")),
            rng: ChaCha8Rng::seed_from_u64(1),
            now_us: 0,
        };
        fixture.apply(targets);
        fixture
    }

    fn apply(&mut self, targets: Vec<PlannedTarget>) {
        self.router.apply(plan(targets), self.now_us, &mut self.rng);
    }

    fn service(&self, id: &str) -> ServiceKey {
        self.router.service(id).unwrap().0
    }

    fn admit_with(&mut self, service: &str, deadline_us: u64, tried: Vec<TargetKey>) -> Admission {
        let request = Request {
            service: self.service(service),
            deadline_us,
            tried,
        };
        self.router.admit(request, self.now_us, &mut self.rng)
    }

    fn admit(&mut self) -> Admission {
        self.admit_with("normal", self.now_us + DEADLINE_US, Vec::new())
    }

    fn send(&mut self) -> (TargetKey, u16) {
        match self.admit() {
            Admission::Decided(Verdict::Send(key, addr)) => (key, addr.port()),
            other => panic!("not sent: {other:?}"),
        }
    }

    fn wait(&mut self, service: &str, deadline_us: u64) -> WaitKey {
        match self.admit_with(service, deadline_us, Vec::new()) {
            Admission::Wait(key) => key,
            other @ Admission::Decided(_) => panic!("does not wait: {other:?}"),
        }
    }

    fn finish(&mut self, key: TargetKey, result: AttemptResult, latency_us: u64) {
        let report = Report { result, latency_us };
        self.router.finish(key, report, self.now_us, &mut self.rng);
    }

    /// Sends until nothing more is sent at once.
    fn fill(&mut self) -> Vec<(TargetKey, u16)> {
        let mut sent = Vec::new();
        while let Admission::Decided(Verdict::Send(key, addr)) = self.admit() {
            sent.push((key, addr.port()));
        }
        sent
    }
}

#[test]
fn the_own_zone_comes_first_and_the_others_take_the_overflow() {
    let mut fixture = Fixture::new(vec![target(1, "z1"), target(2, "z2")]);
    fixture.router.set_daemons(2, 4);
    let ports: Vec<_> = fixture.fill().into_iter().map(|(_, port)| port).collect();
    let local = ports.iter().take_while(|port| **port == 1).count();
    assert_eq!(
        local, 6,
        "eight slots that no peer uses, within the connections' share"
    );
    assert!(ports[local..].iter().all(|port| *port == 2));
    assert!(!ports[local..].is_empty());
}

#[test]
fn an_old_view_sends_to_the_own_zone_only() {
    let mut fixture = Fixture::new(vec![target(2, "z2")]);
    fixture.router.set_view_is_fresh(false);
    assert_eq!(
        fixture.admit(),
        Admission::Decided(Verdict::Refuse(ErrorKind::NoTarget))
    );
    fixture.router.set_view_is_fresh(true);
    assert_eq!(fixture.send().1, 2);
}

#[test]
fn a_leaving_target_gets_nothing_new_and_keeps_what_it_has() {
    let mut fixture = Fixture::new(vec![target(1, "z1"), target(2, "z1")]);
    let sent = fixture.fill();
    let mut leaving = target(1, "z1");
    leaving.is_serving = false;
    fixture.apply(vec![leaving, target(2, "z1")]);
    let vm = VmId::new("vm-1").unwrap();
    assert_eq!(fixture.router.in_flight_to(&vm), 6);
    for (key, _) in sent {
        fixture.finish(key, AttemptResult::Answered, MS);
    }
    assert_eq!(fixture.router.in_flight_to(&vm), 0);
    assert!(fixture.fill().iter().all(|(_, port)| *port == 2));
}

#[test]
fn a_target_that_is_gone_from_the_plan_ends_its_requests() {
    let mut fixture = Fixture::new(vec![target(1, "z1")]);
    let (key, _) = fixture.send();
    fixture.apply(Vec::new());
    assert_eq!(fixture.router.target_statuses().len(), 1);
    fixture.finish(key, AttemptResult::Answered, MS);
    assert_eq!(fixture.router.target_statuses().len(), 0);
}

#[test]
fn what_peers_use_is_left_to_them() {
    let mut fixture = Fixture::new(vec![target(1, "z1")]);
    fixture.router.set_daemons(2, 2);
    let peer = EntryVmId::new("e2").unwrap();
    let load = PeerLoad {
        peer: peer.clone(),
        peaks: vec![8],
    };
    fixture.router.set_peer_load(&load);
    assert_eq!(fixture.fill().len(), 5, "its own share of the slots");
    // `fill` has left one request in the queue, which gets what the peer leaves.
    fixture.router.forget_peer(&peer);
    fixture.router.tick(fixture.now_us, &mut fixture.rng);
    assert_eq!(fixture.router.take_wakes().len(), 1);
    assert_eq!(fixture.fill().len(), 0, "the connections' share is used up");
}

#[test]
fn waiting_requests_go_by_criticality_then_deadline() {
    let mut fixture = Fixture::new(vec![target(1, "z1")]);
    let sent = fixture.fill();
    // `fill` has left one request in the queue.
    let late = fixture.wait("normal", DEADLINE_US + 2);
    let urgent = fixture.wait("urgent", DEADLINE_US + 3);
    fixture.finish(sent[0].0, AttemptResult::Answered, MS);
    let wakes = fixture.router.take_wakes();
    assert_eq!(wakes.len(), 1);
    assert_eq!(wakes[0].key, urgent);
    fixture.finish(sent[1].0, AttemptResult::Answered, MS);
    fixture.finish(sent[2].0, AttemptResult::Answered, MS);
    let wakes = fixture.router.take_wakes();
    assert_eq!(wakes.last().unwrap().key, late);
}

#[test]
fn a_full_queue_refuses_the_least_urgent() {
    let mut fixture = Fixture::new(vec![target(1, "z1")]);
    fixture.fill();
    fixture.wait("normal", DEADLINE_US + 1);
    let last = fixture.wait("normal", DEADLINE_US + 2);
    let refused = fixture.admit_with("normal", DEADLINE_US + 3, Vec::new());
    assert_eq!(
        refused,
        Admission::Decided(Verdict::Refuse(ErrorKind::QueueFull))
    );
    fixture.wait("urgent", DEADLINE_US + 3);
    let wakes = fixture.router.take_wakes();
    assert_eq!(wakes[0].key, last);
    assert_eq!(wakes[0].verdict, Verdict::Refuse(ErrorKind::QueueFull));
}

#[test]
fn a_request_that_cannot_be_answered_in_time_is_refused_at_once() {
    let mut fixture = Fixture::new(vec![target(1, "z1")]);
    let sent = fixture.fill();
    fixture.finish(sent[0].0, AttemptResult::Answered, 100 * MS);
    let refused = fixture.admit_with("normal", 50 * MS, Vec::new());
    let too_late = Verdict::Refuse(ErrorKind::CannotMeetDeadline);
    assert_eq!(refused, Admission::Decided(too_late));
    assert_eq!(
        fixture.admit_with("normal", 0, Vec::new()),
        Admission::Decided(Verdict::Refuse(ErrorKind::DeadlinePast))
    );
}

#[test]
fn a_wait_ends_when_its_deadline_is_out_of_reach() {
    let mut fixture = Fixture::new(vec![target(1, "z1")]);
    fixture.fill();
    let key = fixture.wait("normal", 300 * MS);
    fixture.now_us = 301 * MS;
    fixture.router.tick(fixture.now_us, &mut fixture.rng);
    let wakes = fixture.router.take_wakes();
    assert_eq!(wakes[0].key, key);
    assert_eq!(
        wakes[0].verdict,
        Verdict::Refuse(ErrorKind::CannotMeetDeadline)
    );
}

#[test]
fn a_cancelled_wait_is_never_woken() {
    let mut fixture = Fixture::new(vec![target(1, "z1")]);
    let sent = fixture.fill();
    let key = fixture.wait("urgent", DEADLINE_US);
    assert!(fixture.router.cancel(key));
    assert!(!fixture.router.cancel(key));
    fixture.finish(sent[0].0, AttemptResult::Answered, MS);
    assert!(
        fixture
            .router
            .take_wakes()
            .iter()
            .all(|wake| wake.key != key)
    );
}

#[test]
fn a_failing_target_is_ejected_probed_and_taken_back() {
    let mut fixture = Fixture::new(vec![target(1, "z1"), target(2, "z1"), target(3, "z1")]);
    let fail = |fixture: &mut Fixture| {
        let (key, port) = fixture.send();
        let result = if port == 1 {
            AttemptResult::Failed
        } else {
            AttemptResult::Answered
        };
        fixture.finish(key, result, MS);
        port
    };
    for _ in 0..200 {
        fail(&mut fixture);
    }
    let before = fixture.router.target_statuses();
    assert!(before[0].is_ejected);
    assert!((0..50).all(|_| fail(&mut fixture) != 1));
    fixture.now_us += 60_000 * MS;
    let probes = fixture.fill().iter().filter(|(_, port)| *port == 1).count();
    assert_eq!(probes, 1, "one request at a time probes an ejected target");
}

#[test]
fn only_a_share_of_the_targets_is_ejected() {
    let targets = (1..=6).map(|port| target(port, "z1")).collect();
    let mut fixture = Fixture::new(targets);
    for _ in 0..500 {
        let (key, _) = fixture.send();
        fixture.finish(key, AttemptResult::Failed, MS);
    }
    let statuses = fixture.router.target_statuses();
    let ejected = statuses.iter().filter(|status| status.is_ejected).count();
    assert_eq!(ejected, 2, "a third of six");
}

#[test]
fn the_only_target_is_never_ejected() {
    let mut fixture = Fixture::new(vec![target(1, "z1")]);
    for _ in 0..50 {
        let (key, _) = fixture.send();
        fixture.finish(key, AttemptResult::Failed, MS);
    }
    fixture.send();
}

/// Sends a hundred requests one after the other; those that went to target 1, which takes `slow_us`.
fn sent_to_first(fixture: &mut Fixture, slow_us: u64) -> usize {
    let mut sent = 0;
    for _ in 0..100 {
        let (key, port) = fixture.send();
        sent += usize::from(port == 1);
        let latency_us = if port == 1 { slow_us } else { 10 * MS };
        fixture.finish(key, AttemptResult::Answered, latency_us);
    }
    sent
}

#[test]
fn a_slow_target_is_avoided_and_tried_again_after_a_while() {
    let mut fixture = Fixture::new(vec![target(1, "z1"), target(2, "z1"), target(3, "z1")]);
    let while_slow = sent_to_first(&mut fixture, 200 * MS);
    assert!(
        while_slow <= 2,
        "{while_slow} of 100 went to the slow target"
    );
    fixture.now_us += 10_000 * MS;
    let tried = sent_to_first(&mut fixture, 10 * MS);
    assert!(tried > 0, "the target is never tried again");
}

#[test]
fn a_slow_target_is_ejected() {
    let mut fixture = Fixture::new(vec![target(1, "z1"), target(2, "z1"), target(3, "z1")]);
    let mut was_ejected = false;
    for _ in 0..30 {
        sent_to_first(&mut fixture, 200 * MS);
        let statuses = fixture.router.target_statuses();
        was_ejected |= statuses[0].is_ejected;
        assert!(statuses[1..].iter().all(|status| !status.is_ejected));
        fixture.now_us += 10_000 * MS;
    }
    assert!(
        was_ejected,
        "it is avoided, and answers slowly whenever it is tried"
    );
}

#[test]
fn a_retry_goes_to_another_target() {
    let mut fixture = Fixture::new(vec![target(1, "z1"), target(2, "z1")]);
    for _ in 0..20 {
        let (key, port) = fixture.send();
        let retry = fixture.admit_with("normal", DEADLINE_US, vec![key]);
        let Admission::Decided(Verdict::Send(second, addr)) = retry else {
            panic!("not sent: {retry:?}");
        };
        assert_ne!(addr.port(), port);
        fixture.finish(key, AttemptResult::Answered, MS);
        fixture.finish(second, AttemptResult::Answered, MS);
    }
}

#[test]
fn retries_stay_within_their_share_in_an_outage() {
    let mut fixture = Fixture::new(vec![target(1, "z1"), target(2, "z1")]);
    let service = fixture.service("normal");
    let mut attempts = 0;
    for _ in 0..1_000 {
        let (key, _) = fixture.send();
        attempts += 1;
        fixture.finish(key, AttemptResult::Failed, MS);
        if fixture.router.try_take_retry(service) {
            attempts += 1;
        }
    }
    assert!(attempts <= 1_100, "{attempts} attempts for 1000 requests");
}
