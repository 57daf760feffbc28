//! What callers get while the store or the owner of a pool can't answer, and when callers leave.

mod fleet_support;

use std::process::Stdio;
use std::time::{Duration, Instant};

use fleet_support::{
    CALLER_WAIT, Daemon, PATIENCE, call, call_within, check_runs, daemon, daemon_logging_to,
    daemon_of, done, ready, start, submit, submit_surely, test_log,
};
use platform_stand_in::{PlatformStandIn, StoreFaults, job_body};
use reqwest::Client;
use serde_json::{Value, json};
use test_support::{FaultProxy, FleetDaemonSpec, ProxyFault, free_addrs};

/// The daemon that owns the pool, and the others.
fn split_owner<'a>(
    platform: &PlatformStandIn,
    daemons: &'a [Daemon],
) -> (&'a Daemon, Vec<&'a Daemon>) {
    let (owners, others): (Vec<_>, Vec<_>) = daemons.iter().partition(|daemon| {
        let row = platform.store.get("daemon", &daemon.name);
        row.is_some_and(|row| row["holds"]["work"].is_u64())
    });
    assert_eq!(owners.len(), 1, "daemons that own the pool");
    (owners[0], others)
}

/// A refusal tells that the job has not run and never will: nobody knows it afterwards.
async fn check_refused(platform: &PlatformStandIn, daemons: &[Daemon], id: u64) {
    let (status, _) = call(
        reqwest::Method::GET,
        &daemons[0],
        &format!("/q/{id:016x}"),
        None,
    )
    .await;
    assert_eq!(status, 410, "a refused job is known");
    let name = format!("{id:016x}");
    let mut attempts = platform.attempts().into_iter();
    assert!(
        !attempts.any(|attempt| attempt.task.starts_with(&name)),
        "a refused job has run"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submissions_that_the_store_rejects_do_not_wait_for_the_end_of_its_outage() {
    let (platform, daemons) = start(2, 2).await;
    submit_surely(&daemons, 1, 4).await;
    platform.store.set_faults(StoreFaults {
        is_down: true,
        ..StoreFaults::default()
    });
    let (owner, others) = split_owner(&platform, &daemons);
    let answers = tokio::join!(submit(owner, 2, 4), submit(others[0], 3, 4));
    assert_eq!(answers, (503, 503));
    platform.store.set_faults(StoreFaults::default());
    submit_surely(&daemons, 4, 4).await;
    for id in [1, 4] {
        done(&daemons, id).await;
    }
    for id in [2, 3] {
        check_refused(&platform, &daemons, id).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submissions_behind_an_unanswered_transaction_do_not_wait_for_the_end_of_the_outage() {
    let (platform, daemons) = start(2, 2).await;
    submit_surely(&daemons, 1, 4).await;
    platform.store.set_faults(StoreFaults {
        is_silent: true,
        ..StoreFaults::default()
    });
    let (owner, others) = split_owner(&platform, &daemons);
    let behind = async {
        // After the first submission is in a transaction.
        tokio::time::sleep(Duration::from_millis(400)).await;
        tokio::join!(submit(owner, 3, 4), submit(others[0], 4, 4))
    };
    let (_, answers) = tokio::join!(submit(owner, 2, 4), behind);
    assert_eq!(answers, (503, 503));
    platform.store.set_faults(StoreFaults::default());
    submit_surely(&daemons, 5, 4).await;
    for id in [1, 5] {
        done(&daemons, id).await;
    }
    for id in [3, 4] {
        check_refused(&platform, &daemons, id).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submissions_outlast_an_owner_of_their_pool_that_stops_responding() {
    let (platform, daemons) = start(2, 3).await;
    submit_surely(&daemons, 1, 4).await;
    let (owner, others) = split_owner(&platform, &daemons);
    // As with a VM that loses power, connections to a paused process are neither refused nor closed.
    owner.process.pause();
    let answers = tokio::join!(submit(others[0], 2, 4), submit(others[1], 3, 4));
    assert_eq!(answers, (200, 200));
    owner.process.resume();
    for id in 1..=3 {
        done(&daemons, id).await;
    }
    check_runs(&platform, 12);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn any_wait_of_a_caller_is_accepted() {
    let (_platform, daemons) = start(2, 1).await;
    submit_surely(&daemons, 1, 1).await;
    let waits = ["0", "1000", "18446744073709551615", "-1", "soon", ""];
    for (id, wait_ms) in (2..).zip(waits) {
        let path = format!("/q/{id:016x}");
        let body = Some(job_body("x", 1, false));
        let request = (reqwest::Method::POST, &daemons[0], path.as_str(), body);
        let (status, _) = call_within(wait_ms, CALLER_WAIT, request).await;
        // A caller that does not wait may get the answer that the outcome is unknown.
        let expected: &[u16] = if wait_ms == "0" { &[200, 504] } else { &[200] };
        assert!(
            expected.contains(&status),
            "status {status} with {wait_ms:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_left_do_not_delay_the_shutdown() {
    let (platform, mut daemons) = start(2, 1).await;
    submit_surely(&daemons, 1, 1).await;
    platform.store.set_faults(StoreFaults {
        is_silent: true,
        ..StoreFaults::default()
    });
    let body = Some(job_body("x", 1, false));
    let path = "/q/0000000000000002";
    let request = (reqwest::Method::POST, &daemons[0], path, body);
    let answer = call_within("300", Duration::from_millis(100), request).await;
    assert_eq!(answer, (0, Value::Null), "the caller leaves first");
    platform.store.set_faults(StoreFaults::default());
    ready(&daemons[0]).await;
    daemons[0].process.terminate();
    // The balancer's detection of 2.3 s, and less than the rest of the grace period of 6 s.
    let status = daemons[0].process.wait(Duration::from_millis(4500)).await;
    assert!(status.is_some_and(|status| status.success()));
}

/// Asks a daemon to take the pool over from the owner with this term. Returns whether the daemon owns the pool then.
async fn hand_over(daemon: &Daemon, term: u64) -> bool {
    let call = json!({"jsonrpc": "2.0", "id": 1, "method": "pool_take", "params": ["work", term]});
    let client = Client::builder().no_proxy().build().unwrap();
    let request = client.post(&daemon.peers).body(call.to_string());
    let response = request.header("content-type", "application/json").send();
    let response = response.await.unwrap();
    assert_eq!(response.status(), 200);
    let response: Value = response.json().await.unwrap();
    response["result"].as_bool().unwrap()
}

fn owned_term(platform: &PlatformStandIn, daemon: &Daemon) -> Option<u64> {
    let row = platform.store.get("daemon", &daemon.name)?;
    row["holds"]["work"].as_u64()
}

/// An owner whose transactions fail repeats the handover, and the other daemon may be taking the pool over by itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_that_is_asked_again_and_again_takes_a_pool_over_once() {
    let (platform, daemons) = start(2, 2).await;
    submit_surely(&daemons, 1, 4).await;
    let (owner, others) = split_owner(&platform, &daemons);
    let term = owned_term(&platform, owner).unwrap();
    let successor = others[0];
    let calls = (0..40).map(|number| async move {
        tokio::time::sleep(Duration::from_micros(300 * number)).await;
        hand_over(successor, term).await;
    });
    futures_util::future::join_all(calls).await;
    // Longer than a storm of takeovers takes to begin: the period of the heartbeat rows.
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(owned_term(&platform, successor), Some(term + 1));
    submit_surely(&daemons, 2, 4).await;
    for id in 1..=2 {
        done(&daemons, id).await;
    }
    check_runs(&platform, 8);
}

/// A daemon that was cut off may not know yet that it was deposed. The owner that asks it would end its own ownership.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_with_an_earlier_term_does_not_confirm_that_it_has_taken_a_pool_over() {
    let (platform, daemons) = start(2, 2).await;
    submit_surely(&daemons, 1, 1).await;
    let (owner, _) = split_owner(&platform, &daemons);
    let term = owned_term(&platform, owner).unwrap();
    assert!(!hand_over(owner, term).await, "from its own term");
    assert!(!hand_over(owner, term + 1).await, "from a later term");
    assert!(hand_over(owner, term - 1).await, "a repeated call");
    assert_eq!(owned_term(&platform, owner), Some(term));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn terms_rise_although_the_row_of_an_owner_can_not_be_decoded() {
    let (platform, mut daemons) = start(2, 2).await;
    submit_surely(&daemons, 1, 4).await;
    let (owner, others) = split_owner(&platform, &daemons);
    let (first, second) = (owner.name.clone(), others[0].name.clone());
    let term = owned_term(&platform, owner).unwrap();
    assert!(hand_over(others[0], term).await);
    let unreadable = json!("a row of another build");
    platform
        .store
        .put_in_part("owner", "work", "it", &unreadable);
    let lost = daemons.iter_mut().find(|daemon| daemon.name == second);
    lost.unwrap().process.kill();
    daemons.retain(|daemon| daemon.name == first);
    let start = std::time::Instant::now();
    while owned_term(&platform, &daemons[0]).is_none_or(|found| found <= term) {
        assert!(start.elapsed() < PATIENCE, "no later term begins");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(owned_term(&platform, &daemons[0]).is_some_and(|found| found > term + 1));
    submit_surely(&daemons, 2, 4).await;
    done(&daemons, 2).await;
}

/// On a narrow link, not all rows of a pool arrive within the time in which a read has to be answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_pool_is_taken_over_although_its_rows_arrive_slowly() {
    let (platform, mut daemons) = start(2, 2).await;
    for id in 1..=60 {
        submit_surely(&daemons, id, 1).await;
    }
    platform.store.set_faults(StoreFaults {
        read_ms_per_row: 25,
        ..StoreFaults::default()
    });
    let owner = split_owner(&platform, &daemons).0.name.clone();
    daemons.retain(|daemon| daemon.name != owner);
    submit_surely(&daemons, 61, 1).await;
    for id in 1..=61 {
        done(&daemons, id).await;
    }
    check_runs(&platform, 61);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reader_of_the_log_that_is_stuck_does_not_stop_a_daemon() {
    const JOBS: u64 = 60;
    let platform = PlatformStandIn::start(4).await;
    platform.configure();
    // Nobody reads the pipe, which holds some 250 lines.
    let mut daemons = [daemon_logging_to(Stdio::piped(), &platform, "d0")];
    ready(&daemons[0]).await;
    for id in 1..=JOBS {
        submit_surely(&daemons, id, 6).await;
    }
    for id in 1..=JOBS {
        done(&daemons, id).await;
    }
    check_runs(&platform, 360);
    daemons[0].process.terminate();
    let status = daemons[0].process.wait(Duration::from_secs(6)).await;
    assert!(
        status.is_some_and(|status| status.success()),
        "it did not end in order: {status:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_that_leaves_while_the_registry_is_read_is_not_used() {
    // Entries of other pools that fill more than one page, after those of the workers.
    const OTHER_ENTRIES: usize = 700;
    let platform = PlatformStandIn::start(2).await;
    let entry = json!({
        "service": "other", "addr": "127.0.0.1:1", "zone": "z", "state": "ready", "capacity": {"cpu": 1},
    });
    for number in 0..OTHER_ENTRIES {
        let id = format!("z-{number:04}");
        platform.store.put("servers", &id, &entry);
    }
    // The first page of 500 entries takes half a second.
    platform.store.set_faults(StoreFaults {
        read_ms_per_row: 1,
        ..StoreFaults::default()
    });
    platform.configure();
    let daemons = [daemon(&platform, "d0")];
    let is_owner = || {
        let row = platform.store.get("daemon", "d0");
        row.is_some_and(|row| row["holds"]["work"].is_u64())
    };
    while !is_owner() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    let left = &platform.workers[0];
    left.stop_registering();
    platform.store.remove("servers", &left.id());
    // The second page has a later change.
    platform.store.put("servers", "z-0699", &entry);
    // Until the registry and its changes are read.
    tokio::time::sleep(Duration::from_secs(2)).await;
    for id in 1..=4 {
        submit_surely(&daemons, id, 6).await;
    }
    for id in 1..=4 {
        done(&daemons, id).await;
    }
    let attempts = left.attempts();
    assert!(
        attempts.is_empty(),
        "{} tasks were started on a worker that had left",
        attempts.len()
    );
}

/// On a narrow link, the registry does not arrive within the time in which a read has to be answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn workers_are_used_although_their_registry_arrives_slowly() {
    const OTHER_ENTRIES: usize = 60;
    let platform = PlatformStandIn::start(2).await;
    let entry = json!({
        "service": "other", "addr": "127.0.0.1:1", "zone": "z", "state": "ready", "capacity": {"cpu": 1},
    });
    for number in 0..OTHER_ENTRIES {
        let id = format!("z-{number:04}");
        platform.store.put("servers", &id, &entry);
    }
    platform.store.set_faults(StoreFaults {
        read_ms_per_row: 25,
        ..StoreFaults::default()
    });
    platform.configure();
    let daemons = [daemon(&platform, "d0")];
    ready(&daemons[0]).await;
    submit_surely(&daemons, 1, 2).await;
    done(&daemons, 1).await;
    check_runs(&platform, 2);
}

/// For example, transactions with jobs don't get through a narrow link on which heartbeats do.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_whose_transactions_get_no_response_is_replaced() {
    let (platform, daemons) = start(2, 2).await;
    submit_surely(&daemons, 1, 1).await;
    let term = || {
        let rows = daemons
            .iter()
            .filter_map(|daemon| platform.store.get("daemon", &daemon.name));
        rows.filter_map(|row| row["holds"]["work"].as_u64()).max()
    };
    let first_term = term().expect("an owner of the pool");
    platform.store.set_faults(StoreFaults {
        silent_table: "job",
        ..StoreFaults::default()
    });
    submit(&daemons[0], 2, 1).await;
    let start = Instant::now();
    while term().is_none_or(|term| term == first_term) {
        assert!(
            start.elapsed() < Duration::from_secs(20),
            "the owner keeps the pool, and records nothing"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    platform.store.set_faults(StoreFaults::default());
    submit_surely(&daemons, 2, 1).await;
    for id in 1..=2 {
        done(&daemons, id).await;
    }
    check_runs(&platform, 2);
}

/// Guards against requests that are refused by a daemon which can't reach the store, although the pool's owner can serve them:
/// the daemon has not read the assignment of the queue.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_without_the_store_submits_a_job_of_a_queue_that_it_has_not_seen() {
    let platform = PlatformStandIn::start(1).await;
    platform.configure();
    let mut daemons = Vec::new();
    let mut store_links = Vec::new();
    for number in 0..3 {
        let store = FaultProxy::start(free_addrs(1)[0], platform.store_addr).await;
        let name = format!("d{number}");
        let spec = FleetDaemonSpec::new(&name, store.addr, platform.vms_addr);
        daemons.push(daemon_of(&spec, test_log()));
        store_links.push(store);
    }
    for daemon in &daemons {
        ready(daemon).await;
    }
    submit_surely(&daemons, 1, 1).await;
    let (owner, others) = split_owner(&platform, &daemons);
    // The owner knows the assignment from here on.
    submit_surely(std::slice::from_ref(owner), 2, 1).await;
    let other = daemons.iter().position(|it| it.name == others[1].name);
    let other = other.unwrap();
    // The other daemon knows the owner.
    tokio::time::sleep(Duration::from_secs(2)).await;
    store_links[other].set(ProxyFault::Cut);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(submit(&daemons[other], 3, 1).await, 200);
    let (status, _) = call(reqwest::Method::GET, &daemons[other], "/q/", None).await;
    assert_eq!(status, 200, "the number of jobs that have not started");
    store_links[other].set(ProxyFault::None);
    for id in 1..4 {
        done(&daemons, id).await;
    }
    check_runs(&platform, 3);
}
