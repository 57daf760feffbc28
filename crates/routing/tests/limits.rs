//! Whatever happens, a daemon stays within its share of a target's connections, and every wait ends once.

use std::collections::HashSet;
use std::net::SocketAddr;

use domain::{PoolId, ServiceId, VmId, ZoneId};
use proptest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use routing::{
    Admission, AttemptResult, IDLE_CONNECTIONS, Plan, PlannedPool, PlannedService, PlannedTarget,
    Report, Request, Router, TargetKey, Verdict, WaitKey,
};
use settings::{Criticality, RoutingPolicy};

const TARGETS: u16 = 5;
const CONNECTION_SHARE: u32 = 9;

#[derive(Debug, Clone)]
enum Event {
    Admit { deadline_ms: u64 },
    Finish { index: usize, result: AttemptResult },
    Cancel { index: usize },
    Pass { ms: u64 },
    Plan { serving: u8 },
    Daemons { in_zone: u32 },
    Fresh(bool),
}

fn result() -> impl Strategy<Value = AttemptResult> {
    prop_oneof![
        4 => Just(AttemptResult::Answered),
        1 => Just(AttemptResult::Refused),
        1 => Just(AttemptResult::Unreachable),
        1 => Just(AttemptResult::Failed),
        1 => Just(AttemptResult::Abandoned),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (1..500_u64).prop_map(|deadline_ms| Event::Admit { deadline_ms }),
        6 => (any::<usize>(), result()).prop_map(|(index, result)| Event::Finish { index, result }),
        1 => any::<usize>().prop_map(|index| Event::Cancel { index }),
        2 => (1..200_u64).prop_map(|ms| Event::Pass { ms }),
        1 => any::<u8>().prop_map(|serving| Event::Plan { serving }),
        1 => (1..4_u32).prop_map(|in_zone| Event::Daemons { in_zone }),
        1 => any::<bool>().prop_map(Event::Fresh),
    ]
}

fn plan(serving: u8) -> Plan {
    let id = |port: u16| VmId::new(&format!("vm-{port}")).unwrap();
    let targets = (0..TARGETS).map(|port| PlannedTarget {
        addr: SocketAddr::from(([127, 0, 0, 1], port + 1)),
        vm: id(port),
        zone: ZoneId::new(if port < 3 { "z1" } else { "z2" }).unwrap(),
        slots: 8,
        connection_share: CONNECTION_SHARE,
        is_serving: serving & (1 << port) != 0,
    });
    let pool = PoolId::new("pool").unwrap();
    Plan {
        services: vec![PlannedService {
            id: ServiceId::new("parts").unwrap(),
            pool: pool.clone(),
            deadline_us: 1_000_000,
            max_body_bytes: 1,
            criticality: Criticality::Normal,
            policy: RoutingPolicy::LeastWork,
            retry_percent: 10,
        }],
        pools: vec![PlannedPool {
            id: pool,
            queue_limit_requests: 20,
            targets: targets.collect(),
        }],
    }
}

fn run(events: Vec<Event>) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut router = Router::new(ZoneId::new("z1").unwrap());
    let mut now_us = 0;
    router.apply(plan(0xff), now_us, &mut rng);
    let service = router.service("parts").unwrap().0;
    let mut in_flight: Vec<TargetKey> = Vec::new();
    let mut waiting: Vec<WaitKey> = Vec::new();
    let mut ended: HashSet<WaitKey> = HashSet::new();
    for event in events {
        match event {
            Event::Admit { deadline_ms } => {
                let request = Request {
                    service,
                    deadline_us: now_us + deadline_ms * 1_000,
                    tried: Vec::new(),
                };
                match router.admit(request, now_us, &mut rng) {
                    Admission::Decided(Verdict::Send(key, _)) => in_flight.push(key),
                    Admission::Decided(Verdict::Refuse(_)) => {}
                    Admission::Wait(key) => waiting.push(key),
                }
            }
            Event::Finish { index, result } if !in_flight.is_empty() => {
                let key = in_flight.swap_remove(index % in_flight.len());
                let report = Report {
                    result,
                    latency_us: 30_000,
                };
                router.finish(key, report, now_us, &mut rng);
            }
            Event::Cancel { index } if !waiting.is_empty() => {
                let key = waiting.swap_remove(index % waiting.len());
                assert!(
                    router.cancel(key),
                    "a wait that has not ended can be cancelled"
                );
            }
            Event::Finish { .. } | Event::Cancel { .. } => {}
            Event::Pass { ms } => {
                now_us += ms * 1_000;
                router.tick(now_us, &mut rng);
            }
            Event::Plan { serving } => router.apply(plan(serving), now_us, &mut rng),
            Event::Daemons { in_zone } => router.set_daemons(in_zone, 7),
            Event::Fresh(is_fresh) => router.set_view_is_fresh(is_fresh),
        }
        for wake in router.take_wakes() {
            assert!(ended.insert(wake.key), "a wait ended twice");
            let index = waiting.iter().position(|key| *key == wake.key);
            waiting.swap_remove(index.expect("only waiting requests are woken"));
            if let Verdict::Send(key, _) = wake.verdict {
                in_flight.push(key);
            }
        }
        let counted: u32 = router
            .target_statuses()
            .iter()
            .map(|status| status.in_flight)
            .sum();
        assert_eq!(counted as usize, in_flight.len());
        for status in router.target_statuses() {
            assert!(
                status.in_flight + IDLE_CONNECTIONS <= CONNECTION_SHARE,
                "{status:?}"
            );
        }
        assert_eq!(router.waiting(), waiting.len());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::with_cases(200)
    })]

    #[test]
    fn limits_hold_and_waits_end_once(events in prop::collection::vec(event(), 1..200)) {
        run(events);
    }
}
