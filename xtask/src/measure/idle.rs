//! What idle daemons use for control, by their number.

use std::path::Path;
use std::time::Duration;

use test_support::{Cluster, Shape, ZoneShape};

use crate::Result;
use crate::measure::{core_percent, usage};

/// How long the daemons are left alone before the readings.
const SETTLE: Duration = Duration::from_secs(8);

/// The time between the readings.
const TIME: Duration = Duration::from_secs(20);

/// Zones and daemons in each.
const SIZES: [(usize, usize); 5] = [(1, 1), (2, 1), (3, 2), (4, 3), (6, 4)];

/// Measures the deployments one after the other.
pub(crate) async fn run(daemon: &Path) -> Result<()> {
    println!(
        "idle daemons, 10 executors in each zone, per daemon over {} s",
        TIME.as_secs()
    );
    println!("zones daemons  core %  memory KB  platform B/s  peers B/s  all B/s");
    for (zones, daemons) in SIZES {
        measure(daemon, zones, daemons).await;
    }
    Ok(())
}

async fn measure(daemon: &Path, zones: usize, daemons: usize) {
    let zone = ZoneShape {
        daemons,
        parts: 5,
        quotes: 5,
    };
    let cluster = Cluster::start(Shape::new(daemon, &vec![zone; zones]).with_peer_proxies()).await;
    tokio::time::sleep(SETTLE).await;
    // The last daemon is not the steward, unless it is the only one.
    let last = zones * daemons - 1;
    let before = (
        usage(&cluster, last),
        platform_bytes(&cluster, last),
        peer_bytes(&cluster, last),
    );
    tokio::time::sleep(TIME).await;
    let after = (
        usage(&cluster, last),
        platform_bytes(&cluster, last),
        peer_bytes(&cluster, last),
    );
    let per_s = |before: u64, after: u64| (after - before) / TIME.as_secs();
    let platform = per_s(before.1, after.1);
    let peers = per_s(before.2, after.2);
    println!(
        "{zones:>5} {:>7} {:>7.2} {:>10} {platform:>13} {peers:>10} {:>8}",
        zones * daemons,
        core_percent(before.0, after.0, TIME),
        after.0.memory_kb,
        platform + peers
    );
}

fn platform_bytes(cluster: &Cluster, daemon: usize) -> u64 {
    cluster.platform_links[daemon].bytes()
}

/// Bytes on all links from and to a daemon.
fn peer_bytes(cluster: &Cluster, daemon: usize) -> u64 {
    let links = cluster.peer_links.iter();
    let own = links.filter(|((from, to), _)| *from == daemon || *to == daemon);
    own.map(|(_, link)| link.bytes()).sum()
}
