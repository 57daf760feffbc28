//! Puts the daemon's parts together, runs them, and ends them in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{Server, ServerConfig};
use ownership::Peers;
use rand::Rng;
use smol_str::{SmolStr, format_smolstr};
use snafu::{ResultExt, Snafu};
use submission::JobId;
use tokio::signal::unix::{Signal, SignalKind, signal};
use users_platform::HttpClient;

use crate::api::{handle_metrics, handle_readiness, serve_callers, serve_endpoint};
use crate::config::FLEET_SHARD;
use crate::members::{
    DEAD_AFTER_MS, LONGEST_GAP_MS, SUSPECT_DEAD_AFTER_MS, follow_operators, keep_membership, sign,
    take_fleet,
};
use crate::metrics::Metrics;
use crate::node::Node;
use crate::rpc::{JobReply, PoolServer, RoundReply, RoundRequest, SubmitReply, SubmitRequest};
use crate::settings::FleetSettings;
use crate::{observe, pool};

/// How long a connection to the platform may take to be made. Zones are 1.4 ms apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Sent bytes that stay unacknowledged for longer end a connection, so that a silent one is noticed.
const SILENCE: Duration = Duration::from_millis(1500);

/// How long the balancer takes to see that a daemon is not ready: two questions, a second apart, and some.
const UNREADY: Duration = Duration::from_millis(2300);

/// What is left of the time for an end when the daemon stops waiting for requests.
const END_RESERVE: Duration = Duration::from_millis(800);

/// The longest message between daemons: a job with its longest payload and all steps takes less.
const MAX_MESSAGE_BYTES: u32 = 512 * 1024;

/// The result of running the daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the daemon can't run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The runtime can't be started.
    #[snafu(display("the runtime can't be started: {source}"))]
    Runtime {
        /// The cause.
        source: std::io::Error,
    },
    /// An address can't be listened on.
    #[snafu(display("{addr} can't be listened on: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The counters can't be set up.
    #[snafu(display("the counters can't be set up: {source}"))]
    Counters {
        /// The cause.
        source: prometheus::Error,
    },
    /// The client of the platform can't be set up.
    #[snafu(display("the client of the platform can't be set up: {source}"))]
    Client {
        /// The cause.
        source: users_platform::Error,
    },
}

/// Runs the daemon until it is told to end.
///
/// # Errors
/// All kinds of [`Error`].
pub fn run(settings: FleetSettings) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    runtime.block_on(run_parts(settings))
}

async fn run_parts(settings: FleetSettings) -> Result<()> {
    let metrics = Metrics::new().context(CountersSnafu)?;
    let _logs = observe::start(metrics.dropped_log_lines.clone());
    let http = HttpClient::new(CONNECT_TIMEOUT, SILENCE).context(ClientSnafu)?;
    let life: u64 = rand::rng().random();
    let incarnation = format_smolstr!("{life:016x}");
    let peers = Peers::new(DEAD_AFTER_MS, SUSPECT_DEAD_AFTER_MS, LONGEST_GAP_MS);
    let node = Arc::new(Node::new(settings, incarnation, &http, metrics, peers));
    tracing::info!(
        daemon = node.settings.daemon.as_str(),
        incarnation = node.incarnation.as_str(),
        zone = node.settings.zone.as_str(),
        "starts"
    );
    listen_all(&node).await?;
    tokio::spawn(follow_operators(node.clone()));
    tokio::spawn(keep_membership(node.clone()));
    let mut terminate = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let reload = signal(SignalKind::hangup()).context(RuntimeSnafu)?;
    tokio::spawn(note_reloads(reload));
    terminate.recv().await;
    end(&node).await;
    Ok(())
}

async fn listen_all(node: &Arc<Node>) -> Result<()> {
    let settings = &node.settings;
    let addr = settings.ready_addr;
    let ready = serve_endpoint(addr, node.clone(), handle_readiness).await;
    ready.context(ListenSnafu { addr })?;
    let addr = SocketAddr::new(settings.ip, settings.metrics_port);
    let metrics = serve_endpoint(addr, node.clone(), handle_metrics).await;
    metrics.context(ListenSnafu { addr })?;
    let addr = settings.peer_addr();
    let config = ServerConfig::builder()
        .http_only()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .build();
    let server = Server::builder().set_config(config).build(addr).await;
    let server = server.context(ListenSnafu { addr })?;
    let handle = server.start(PeerCalls { node: node.clone() }.into_rpc());
    tokio::spawn(handle.stopped());
    let addr = settings.callers_addr;
    serve_callers(addr, node.clone())
        .await
        .context(ListenSnafu { addr })
}

/// The settings are read at the start only: what can change while a process runs is in the operators' rows.
async fn note_reloads(mut reload: Signal) {
    while reload.recv().await.is_some() {
        tracing::info!("told to reload: nothing in the settings can change while the daemon runs");
    }
}

/// Takes no new connections, gives up what it holds, and answers what it has.
async fn end(node: &Arc<Node>) {
    tracing::info!("ends in order");
    node.is_leaving.store(true, Ordering::Release);
    let grace =
        Duration::try_from_secs_f64(node.settings.bounds.shutdown_grace_s).unwrap_or(UNREADY);
    let deadline = tokio::time::Instant::now() + grace.saturating_sub(END_RESERVE);
    pool::release_all(node).await;
    sign(node).await;
    tokio::time::sleep(UNREADY).await;
    while node.in_flight.load(Ordering::Relaxed) > 0 && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let in_flight = node.in_flight.load(Ordering::Relaxed);
    tracing::info!(in_flight, "ended");
}

/// Answers peers.
struct PeerCalls {
    node: Arc<Node>,
}

#[async_trait]
impl PoolServer for PeerCalls {
    async fn submit(&self, handover: SubmitRequest) -> RpcResult<SubmitReply> {
        Ok(match self.node.own_pool(&handover.pool) {
            Some(owner) => {
                owner
                    .submit(handover.queue, handover.id, handover.spec)
                    .await
            }
            None => SubmitReply::NotOwner,
        })
    }

    async fn state(&self, pool: SmolStr, id: JobId) -> RpcResult<JobReply> {
        let owner = self.node.own_pool(&pool);
        Ok(owner.map_or(JobReply::NotOwner, |owner| owner.state(id)))
    }

    async fn cancel(&self, pool: SmolStr, id: JobId) -> RpcResult<JobReply> {
        Ok(match self.node.own_pool(&pool) {
            Some(owner) => owner.cancel(id).await,
            None => JobReply::NotOwner,
        })
    }

    async fn not_started_jobs(&self, pool: SmolStr, queue: SmolStr) -> RpcResult<Option<usize>> {
        let owner = self.node.own_pool(&pool);
        Ok(owner.map(|owner| owner.pending(&queue)))
    }

    async fn take_over_pool(&self, pool: SmolStr) -> RpcResult<bool> {
        if self.node.holds.lock().contains_key(&pool) {
            // The answer to the same call before was lost.
            return Ok(true);
        }
        if self.node.is_leaving.load(Ordering::Acquire) || self.node.is_store_away() {
            return Ok(false);
        }
        let taken = pool::take_pool(&self.node, &pool, true).await;
        if let Err(err) = &taken {
            tracing::warn!(pool = pool.as_str(), error = %err, "a pool that is handed over can't be taken");
        }
        Ok(taken.unwrap_or(false))
    }

    async fn take_over_fleet(&self, last_order_at_ms: u64) -> RpcResult<bool> {
        if self.node.holds.lock().contains_key(FLEET_SHARD) {
            // The answer to the same call before was lost.
            return Ok(true);
        }
        if self.node.is_leaving.load(Ordering::Acquire) || self.node.is_store_away() {
            return Ok(false);
        }
        let taken = take_fleet(&self.node, Some(last_order_at_ms)).await;
        if let Err(err) = &taken {
            tracing::warn!(error = %err, "the stewardship that is handed over can't be taken");
        }
        Ok(taken.unwrap_or(false))
    }

    async fn round(&self, pool: SmolStr, ask: RoundRequest) -> RpcResult<Option<RoundReply>> {
        let owner = self.node.own_pool(&pool);
        Ok(owner.map(|owner| owner.round(&ask)))
    }
}
