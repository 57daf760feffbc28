//! What one daemon adds to a request, carries per core and keeps per connection.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use test_support::{Cluster, FaultProxy, Shape, ZoneShape, free_addrs, latency_histogram};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::Result;
use crate::measure::{quantiles, usage};

/// Requests a second, on each way, at moderate load.
const MODERATE_RATE_PER_S: u32 = 500;

/// How long each part lasts.
const TIME: Duration = Duration::from_secs(10);

/// Connections of the callers that send as fast as they can.
const BUSY_CONNECTIONS: usize = 64;

/// Idle connections whose memory is measured.
const IDLE_CONNECTIONS: usize = 4_000;

/// Measures one daemon with four executors that answer at once.
pub(crate) async fn run(daemon: &Path) -> Result<()> {
    let zone = ZoneShape {
        daemons: 1,
        parts: 8,
        quotes: 0,
    };
    let shape = Shape::new(daemon, &[zone]).with_service_time(Duration::ZERO);
    let cluster = Cluster::start(shape).await;
    added(&cluster).await?;
    carried(&cluster).await?;
    memory(&cluster).await
}

/// Direct calls, calls through a relay that only copies bytes, and calls through the daemon, mixed in one run.
async fn added(cluster: &Cluster) -> Result<()> {
    let executor = cluster.spec.executors()[0].0;
    let relay = FaultProxy::start(free_addrs(1)[0], executor).await;
    let ways = [executor, relay.addr, cluster.spec.entry_vms[0].callers];
    let http = reqwest::Client::builder()
        .no_proxy()
        .tcp_nodelay(true)
        .build()?;
    let histograms = ways.map(|_| Arc::new(Mutex::new(latency_histogram())));
    let period = Duration::from_secs(1) / (MODERATE_RATE_PER_S * 3);
    let begun = Instant::now();
    let mut due = begun;
    let mut tasks = Vec::new();
    while begun.elapsed() < TIME {
        for (addr, histogram) in ways.iter().zip(&histograms) {
            due += period;
            tokio::time::sleep_until(due.into()).await;
            tasks.push(tokio::spawn(timed(http.clone(), *addr, histogram.clone())));
        }
    }
    for task in tasks {
        task.await?;
    }
    println!("latency at {MODERATE_RATE_PER_S} requests/s on each way, us: p50 p99 p99.9");
    let [direct, relayed, through] = histograms.map(|histogram| histogram.lock().clone());
    println!("  direct                {}", quantiles(&direct));
    println!("  through a bare relay  {}", quantiles(&relayed));
    println!("  through the daemon    {}", quantiles(&through));
    println!("  added by the relay    {}", differences(&relayed, &direct));
    println!("  added by the daemon   {}", differences(&through, &direct));
    Ok(())
}

fn differences(histogram: &Histogram<u64>, direct: &Histogram<u64>) -> String {
    let difference = |quantile| {
        let value = histogram.value_at_percentile(quantile);
        value.saturating_sub(direct.value_at_percentile(quantile))
    };
    let [p50, p99, p999] = [50.0, 99.0, 99.9].map(difference);
    format!("{p50:>8} {p99:>8} {p999:>8}")
}

async fn timed(http: reqwest::Client, addr: SocketAddr, histogram: Arc<Mutex<Histogram<u64>>>) {
    let url = format!("http://{addr}/v1/services/parts/work");
    let sent = Instant::now();
    let answer = http.get(url).header("x-work-ms", "0").send().await;
    if let Ok(answer) = answer
        && answer.status().is_success()
        && answer.bytes().await.is_ok()
    {
        let elapsed_us = u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX);
        histogram.lock().saturating_record(elapsed_us);
    }
}

/// Callers that send as fast as they can.
async fn carried(cluster: &Cluster) -> Result<()> {
    let before = usage(cluster, 0);
    let url = cluster.url(0, "/v1/services/parts/work");
    let http = reqwest::Client::builder()
        .no_proxy()
        .tcp_nodelay(true)
        .build()?;
    let until = Instant::now() + TIME;
    let callers = (0..BUSY_CONNECTIONS).map(|_| {
        let (http, url) = (http.clone(), url.clone());
        tokio::spawn(async move {
            let mut answered: u64 = 0;
            while Instant::now() < until {
                let answer = http.get(&url).header("x-work-ms", "0").send().await;
                if let Ok(answer) = answer
                    && answer.status().is_success()
                    && answer.bytes().await.is_ok()
                {
                    answered += 1;
                }
            }
            answered
        })
    });
    let mut answered = 0;
    for caller in callers.collect::<Vec<_>>() {
        answered += caller.await?;
    }
    let used_ms = usage(cluster, 0).cpu_ms - before.cpu_ms;
    println!(
        "throughput with {BUSY_CONNECTIONS} callers for {} s",
        TIME.as_secs()
    );
    println!("  answered              {} /s", answered / TIME.as_secs());
    println!(
        "  per core              {} /s",
        answered * 1_000 / used_ms.max(1)
    );
    Ok(())
}

/// Connections that have carried one request and stay open.
async fn memory(cluster: &Cluster) -> Result<()> {
    let before_kb = usage(cluster, 0).memory_kb;
    let addr = cluster.spec.entry_vms[0].callers;
    let mut connections = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        let mut stream = TcpStream::connect(addr).await?;
        stream
            .write_all(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n")
            .await?;
        let mut answer = [0; 512];
        let _ = stream.read(&mut answer).await?;
        connections.push(stream);
    }
    let after_kb = usage(cluster, 0).memory_kb;
    let per_thousand_kb = after_kb.saturating_sub(before_kb) * 1_000 / connections.len() as u64;
    println!("memory");
    println!("  before                {before_kb} KB");
    println!("  per 1,000 idle connections {per_thousand_kb} KB");
    Ok(())
}
