//! Real daemons go on following the registry and use its other workers when it has entries that no worker wrote.

mod fleet_support;

use std::time::Duration;

use fleet_support::{check_runs, daemon, done, ready, submit_surely};
use platform_stand_in::{PlatformStandIn, odd_entries};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entries_in_the_registry_neither_end_a_daemon_nor_keep_it_from_its_other_workers() {
    let platform = PlatformStandIn::start(1).await;
    platform.configure();
    let put_all = |entries: Vec<(String, Vec<u8>)>| {
        for (key, entry) in entries {
            platform.put_registry_entry(&key, &entry);
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
