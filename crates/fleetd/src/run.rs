//! Starts the daemon's servers and tasks, serves calls of peers, and shuts the daemon down.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use access::Caller;
use clients::Listener;
use inbound::{ConnectionOptions, serve_rpc};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::ServerConfig;
use ownership::Peers;
use rand::Rng;
use smol_str::{SmolStr, format_smolstr};
use snafu::{ResultExt, Snafu};
use submission::JobId;
use tokio::signal::unix::{Signal, SignalKind, signal};
use users_platform::HttpClient;

use crate::api::{
    KERNEL_BUFFER_BYTES, handle_metrics, handle_readiness, never_stopped, serve_callers,
    serve_endpoint,
};
use crate::clock::local_us;
use crate::config::FLEET_SHARD;
use crate::membership::{
    DEAD_AFTER_MS, Handover, MAX_READ_GAP_MS, UNREACHABLE_DEAD_AFTER_MS, follow_operator_rows,
    run_membership, take_over_fleet, write_heartbeat,
};
use crate::metrics::Metrics;
use crate::node::Node;
use crate::rpc::{JobReply, PoolServer, RoundReply, RoundRequest, SubmitReply, SubmitRequest};
use crate::settings::FleetSettings;
use crate::{logging, pool};

/// How long connecting to the platform may take. The latency between zones is 1.4 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// A connection is closed when sent bytes stay unacknowledged for this long, so that an unresponsive one is detected.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long the load balancer takes to detect that a daemon is not ready: two checks, a second apart, and a margin.
const READINESS_DETECTION: Duration = Duration::from_millis(2300);

/// What is left of the shutdown grace period when the daemon stops waiting for requests in flight.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(800);

/// The maximum size of a message between daemons. A job with the largest payload and all steps takes less.
const MAX_MESSAGE_BYTES: u32 = 512 * 1024;

/// The maximum number of calls of peers under way. While the store is slow, each daemon may have dozens of calls to the owner of
/// a pool under way, each on a connection that takes some 10 KB.
const MAX_PEER_CALLS: u32 = 1000;

/// How long a connection of a peer may stay idle: longer than the peer's client keeps one, so that no call is sent on a connection that is
/// being closed.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// The size of the read buffer of a peer's connection.
const MAX_PEER_BUFFER_BYTES: usize = 16 * 1024;

/// The period in which connections are closed whose time is over.
const CONNECTION_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// The result of running the daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the daemon can't run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The runtime or a signal handler can't be set up.
    #[snafu(display("failed to set up the runtime or a signal handler: {source}"))]
    Runtime {
        /// The cause.
        source: std::io::Error,
    },
    /// The daemon can't listen on an address.
    #[snafu(display("failed to listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The metrics can't be registered.
    #[snafu(display("failed to register the metrics: {source}"))]
    Metrics {
        /// The cause.
        source: prometheus::Error,
    },
    /// The HTTP client for the platform can't be set up.
    #[snafu(display("failed to set up the HTTP client for the platform: {source}"))]
    Client {
        /// The cause.
        source: users_platform::Error,
    },
}

/// Runs the daemon until SIGTERM, and then shuts it down.
///
/// # Errors
/// All kinds of [`Error`].
pub fn run(settings: FleetSettings) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    runtime.block_on(run_daemon(settings))
}

async fn run_daemon(settings: FleetSettings) -> Result<()> {
    // First, as a signal without a handler ends the process as if it had failed.
    let mut terminate = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let reload = signal(SignalKind::hangup()).context(RuntimeSnafu)?;
    tokio::spawn(log_reload_signals(reload));
    let http = HttpClient::new(CONNECT_TIMEOUT, TCP_USER_TIMEOUT).context(ClientSnafu)?;
    let http = http.with_clock(local_us);
    let metrics = Metrics::new(http.costs()).context(MetricsSnafu)?;
    let _log_guard = logging::init(metrics.dropped_log_lines.clone());
    let incarnation: u64 = rand::rng().random();
    let incarnation = format_smolstr!("{incarnation:016x}");
    let peers = Peers::new(DEAD_AFTER_MS, UNREACHABLE_DEAD_AFTER_MS, MAX_READ_GAP_MS);
    let node = Arc::new(Node::new(settings, incarnation, &http, metrics, peers));
    tracing::info!(
        daemon = node.settings.daemon.as_str(),
        incarnation = node.incarnation.as_str(),
        zone = node.settings.zone.as_str(),
        "daemon is starting"
    );
    start_servers(&node).await?;
    tokio::spawn(check_connections(node.clone()));
    tokio::spawn(follow_operator_rows(node.clone()));
    tokio::spawn(run_membership(node.clone()));
    terminate.recv().await;
    shut_down(&node).await;
    Ok(())
}

async fn start_servers(node: &Arc<Node>) -> Result<()> {
    let settings = &node.settings;
    let addr = settings.ready_addr;
    let ready = serve_endpoint((addr, Listener::Readiness), node.clone(), handle_readiness).await;
    ready.context(ListenSnafu { addr })?;
    let addr = SocketAddr::new(settings.ip, settings.metrics_port);
    let metrics = serve_endpoint((addr, Listener::Metrics), node.clone(), handle_metrics).await;
    metrics.context(ListenSnafu { addr })?;
    let addr = settings.peer_addr();
    let socket = inbound::listen(addr, KERNEL_BUFFER_BYTES).context(ListenSnafu { addr })?;
    let methods = PeerService { node: node.clone() }.into_rpc().into();
    let calls = (methods, peer_server_config(), MAX_MESSAGE_BYTES as usize);
    let options = ConnectionOptions {
        header_timeout: PEER_IDLE_TIMEOUT,
        max_buffer_bytes: MAX_PEER_BUFFER_BYTES,
    };
    tokio::spawn(serve_rpc(
        node.inbound.clone(),
        socket,
        options,
        calls,
        never_stopped(),
    ));
    let addr = settings.callers_addr;
    serve_callers(addr, node.clone())
        .await
        .context(ListenSnafu { addr })
}

/// The limits of the server for calls of peers.
pub(crate) fn peer_server_config() -> ServerConfig {
    ServerConfig::builder()
        .http_only()
        .max_connections(MAX_PEER_CALLS)
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .build()
}

/// Closes connections whose time is over, and logs once a second what was refused or closed.
async fn check_connections(node: Arc<Node>) {
    loop {
        tokio::time::sleep(CONNECTION_CHECK_PERIOD).await;
        let Some(closures) = node.inbound.close_overdue() else {
            continue;
        };
        tracing::warn!(
            full = closures.full,
            evicted = closures.evicted,
            overdue = closures.overdue,
            no_memory = closures.no_memory,
            accept_failed = closures.accept_failed,
            "refused clients or closed their connections to stay within the limits"
        );
    }
}

/// Logs that a reload signal has no effect. The settings are read only at startup: what can change while the process
/// runs is in the operators' rows.
async fn log_reload_signals(mut reload: Signal) {
    while reload.recv().await.is_some() {
        tracing::info!("ignored a reload signal: settings are read only at startup");
    }
}

/// Reports that the daemon is not ready and releases the pools. Then waits for the load balancer to detect the change,
/// and for the requests in flight until at most [`SHUTDOWN_MARGIN`] before the end of the grace period.
async fn shut_down(node: &Arc<Node>) {
    tracing::info!("daemon is shutting down");
    node.is_shutting_down.store(true, Ordering::Release);
    let grace = Duration::try_from_secs_f64(node.settings.bounds.shutdown_grace_s)
        .unwrap_or(READINESS_DETECTION);
    let deadline = tokio::time::Instant::now() + grace.saturating_sub(SHUTDOWN_MARGIN);
    pool::release_all_pools(node).await;
    write_heartbeat(node).await;
    tokio::time::sleep(READINESS_DETECTION).await;
    while node.in_flight_requests.load(Ordering::Relaxed) > 0
        && tokio::time::Instant::now() < deadline
    {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let in_flight = node.in_flight_requests.load(Ordering::Relaxed);
    tracing::info!(in_flight, "daemon shut down");
}

/// Serves the calls of peers.
struct PeerService {
    node: Arc<Node>,
}

#[async_trait]
impl PoolServer for PeerService {
    async fn ping(&self) -> RpcResult<()> {
        Ok(())
    }

    async fn submit(&self, request: SubmitRequest) -> RpcResult<SubmitReply> {
        Ok(match self.node.local_pool_owner(&request.pool) {
            Some(owner) => owner.submit(request).await,
            None => SubmitReply::NotOwner,
        })
    }

    async fn state(&self, pool: SmolStr, id: JobId, team: Option<SmolStr>) -> RpcResult<JobReply> {
        let caller = Caller::from_parameter(team);
        let owner = self.node.local_pool_owner(&pool);
        Ok(owner.map_or(JobReply::NotOwner, |owner| owner.job_state(id, &caller)))
    }

    async fn cancel(&self, pool: SmolStr, id: JobId, team: Option<SmolStr>) -> RpcResult<JobReply> {
        let caller = Caller::from_parameter(team);
        Ok(match self.node.local_pool_owner(&pool) {
            Some(owner) => owner.cancel(id, &caller).await,
            None => JobReply::NotOwner,
        })
    }

    async fn not_started_jobs(
        &self,
        pool: SmolStr,
        queue: SmolStr,
        assignment_key: Option<SmolStr>,
    ) -> RpcResult<Option<usize>> {
        let owner = self.node.local_pool_owner(&pool);
        let key = assignment_key.unwrap_or_default();
        Ok(owner.map(|owner| owner.not_started_jobs(&queue, &key)))
    }

    async fn take_over_pool(&self, pool: SmolStr, term: Option<u64>) -> RpcResult<bool> {
        if let Some(is_taken_over) = self.node.has_taken_over(&pool, term) {
            return Ok(is_taken_over);
        }
        if self.node.is_shutting_down.load(Ordering::Acquire) || self.node.is_store_unavailable() {
            return Ok(false);
        }
        let result = pool::take_over_pool(&self.node, &pool, term).await;
        if let Err(err) = &result {
            tracing::warn!(pool = pool.as_str(), error = %err, "failed to take over a pool from a peer");
        }
        Ok(result.unwrap_or(false))
    }

    async fn take_over_fleet(&self, last_command_at_ms: u64, term: Option<u64>) -> RpcResult<bool> {
        if let Some(is_taken_over) = self.node.has_taken_over(FLEET_SHARD, term) {
            return Ok(is_taken_over);
        }
        if self.node.is_shutting_down.load(Ordering::Acquire) || self.node.is_store_unavailable() {
            return Ok(false);
        }
        let handover = term.map(|term| Handover {
            term,
            last_command_at_ms,
        });
        let result = take_over_fleet(&self.node, handover).await;
        if let Err(err) = &result {
            tracing::warn!(error = %err, "failed to take over the fleet shard from a peer");
        }
        Ok(result.unwrap_or(false))
    }

    async fn round(&self, pool: SmolStr, request: RoundRequest) -> RpcResult<Option<RoundReply>> {
        let owner = self.node.local_pool_owner(&pool);
        Ok(owner.map(|owner| owner.run_round(&request)))
    }
}
