//! Real daemons go on following the registry and use its other workers when it has entries that no worker wrote.

mod fleet_support;

use std::time::Duration;

use fleet_support::{check_runs, daemon, done, ready, submit_surely};
use platform_stand_in::PlatformStandIn;
use serde_json::{Value, json};

/// An entry as a worker writes it, but for one field.
fn entry_with(field: &str, value: Value) -> Vec<u8> {
    let mut entry = json!({
        "service": "work", "addr": "127.0.0.1:9", "zone": "z", "version": "v1", "slots": 8, "state": "ready",
        "coldLeftMs": 0, "seq": 1, "labels": ["a", "r1"], "capacity": {"cpu": 4000, "memMb": 4000}, "born": 1,
    });
    entry[field] = value;
    entry.to_string().into_bytes()
}

/// Entries of other writers, by their keys.
fn odd_entries() -> Vec<(String, Vec<u8>)> {
    const DEPTH: usize = 20_000;
    let nested = |field: &str| {
        let mut entry = entry_with(field, json!("@"));
        let at = entry.iter().position(|byte| *byte == b'@').unwrap();
        let value = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
        entry.splice(at - 1..=at + 1, value.bytes());
        entry
    };
    let entries = [
        ("empty", Vec::new()),
        ("bytes", vec![0xff, 0xfe, 0x00, 0x80]),
        ("nested", "[".repeat(DEPTH).into_bytes()),
        ("nested-labels", nested("labels")),
        ("nested-unknown", nested("further")),
        ("list", b"[]".to_vec()),
        (
            "large-capacity",
            entry_with(
                "capacity",
                json!({"cpu": u32::MAX, "memMb": u32::MAX, "gpu": u32::MAX}),
            ),
        ),
        (
            "too-large-capacity",
            entry_with("capacity", json!({"cpu": u64::MAX})),
        ),
        (
            "float-capacity",
            entry_with("capacity", json!({"cpu": 1e300})),
        ),
        (
            "negative-capacity",
            entry_with("capacity", json!({"cpu": -1})),
        ),
        (
            "no-number",
            br#"{"service":"work","capacity":{"cpu":1e999}}"#.to_vec(),
        ),
        ("large-start", entry_with("born", json!(u64::MAX))),
        (
            "large-cold-start",
            entry_with("coldLeftMs", json!(u64::MAX)),
        ),
        (
            "port-out-of-range",
            entry_with("addr", json!("127.0.0.1:70000")),
        ),
        ("port-0", entry_with("addr", json!("127.0.0.1:0"))),
        ("host-name", entry_with("addr", json!("worker.example:80"))),
        ("path", entry_with("addr", json!("127.0.0.1:9/x?y"))),
        ("state", entry_with("state", json!("happy"))),
        ("state-type", entry_with("state", json!(7))),
        (
            "zone",
            entry_with("zone", json!("a zone\nwith a line break")),
        ),
        ("pool", entry_with("service", json!("none of ours"))),
        ("line\r\nbreak: x", entry_with("seq", json!(2))),
        ("\u{1}", entry_with("seq", json!(3))),
    ];
    let entries = entries.into_iter();
    entries.map(|(key, entry)| (key.into(), entry)).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entries_in_the_registry_neither_end_a_daemon_nor_keep_it_from_its_other_workers() {
    let platform = PlatformStandIn::start(1).await;
    platform.configure();
    let put_all = |entries: Vec<(String, Vec<u8>)>| {
        for (key, entry) in entries {
            platform.store.put_bytes(("servers", "", &key), &entry);
        }
    };
    // Some are in the first read of the registry, the others come later.
    let mut entries = odd_entries();
    let later = entries.split_off(entries.len() / 2);
    put_all(entries);
    let mut daemons = [daemon(&platform, "d0")];
    ready(&daemons[0]).await;
    submit_surely(&daemons, 1, 4).await;
    done(&daemons, 1).await;
    put_all(later);
    tokio::time::sleep(Duration::from_secs(2)).await;
    submit_surely(&daemons, 2, 4).await;
    done(&daemons, 2).await;
    check_runs(&platform, 8);
    let ended = daemons[0].process.wait(Duration::ZERO).await;
    assert!(ended.is_none(), "the daemon ended: {ended:?}");
}
