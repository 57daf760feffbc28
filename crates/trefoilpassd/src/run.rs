//! Puts the daemon's parts together, runs them, and ends them in order.

use std::sync::Arc;
use std::time::Duration;

use domain::{BadId, Incarnation};
use inbound::{ConnectionOptions, serve_rpc};
use jsonrpsee::core::ClientError;
use jsonrpsee::server::ServerConfig;
use parking_lot::Mutex;
use peer::{OperatorRpcServer, PeerRpcServer};
use platform::{Platform, PlatformClient};
use rand::Rng;
use routing::IDLE_CONNECTIONS;
use settings::EntrySettings;
use simplelog::{ColorChoice, ConfigBuilder, LevelFilter, TermLogger, TerminalMode};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use xtra::{Address, Handler, Mailbox};

use crate::clock::Timer;
use crate::control::{
    Changes, ClaimActor, ClaimTick, Clients, ExchangeNow, OperatorServer, PeerActor, PeerServer,
    Poll, SeenLease, StewardActor, ViewActor, Work,
};
use crate::front::{Front, Server};
use crate::metrics::Metrics;
use crate::shared::Shared;
use crate::traces;

/// How often the head rows are read.
const POLL_PERIOD: Duration = Duration::from_secs(1);

/// How often digests are exchanged with one peer.
const EXCHANGE_PERIOD: Duration = Duration::from_secs(1);

/// How often the steward looks at its work.
const WORK_PERIOD: Duration = Duration::from_secs(1);

/// How often waiting requests and claims are looked at.
const TRAFFIC_PERIOD: Duration = Duration::from_millis(20);

/// How often connections are closed whose time is over.
const CONNECTION_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// How long the balancer is given to see that this daemon is not ready.
const UNREADY: Duration = Duration::from_secs(2);

/// An idle connection to a target is closed after this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a connection to a target may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest message between daemons or from an operator.
const MAX_MESSAGE_BYTES: u32 = 8 * 1024 * 1024;

/// The size of the buffers of an inbound connection in the kernel, for each direction.
const KERNEL_BUFFER_BYTES: u32 = 16 * 1024;

/// The limits of a connection of a peer or an operator. It may stay idle for longer than their clients keep one, so that no call is sent
/// on a connection that is being closed.
const PEER_CONNECTION_OPTIONS: ConnectionOptions = ConnectionOptions {
    header_timeout: Duration::from_secs(120),
    max_buffer_bytes: 32 * 1024,
};

/// The result of running the daemon.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Why the daemon can't run.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("logging can't be started: {source}"))]
    Log { source: log::SetLoggerError },
    #[snafu(display("the runtime can't be started: {source}"))]
    Runtime { source: std::io::Error },
    #[snafu(display("{addr} can't be listened on: {source}"))]
    Listen {
        addr: std::net::SocketAddr,
        source: std::io::Error,
    },
    #[snafu(display("the counters can't be set up: {source}"))]
    Counters { source: prometheus::Error },
    #[snafu(display("a client of a peer can't be set up: {source}"))]
    Client { source: ClientError },
    #[snafu(display("the client of targets can't be set up: {source}"))]
    Http { source: reqwest::Error },
    #[snafu(display("signals can't be waited for: {source}"))]
    Signal { source: std::io::Error },
    #[snafu(display("entry_vm: {source}"))]
    Identity { source: BadId },
}

/// Runs the daemon until it is told to end.
pub(crate) fn run(settings: EntrySettings) -> Result<()> {
    // Spans of the request path also reach the log's facade; only this program's own lines are wanted.
    let log_config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("trefoilpassd::")
        .add_filter_ignore_str("tracing::span")
        .build();
    let choice = ColorChoice::Never;
    TermLogger::init(LevelFilter::Info, log_config, TerminalMode::Stderr, choice)
        .context(LogSnafu)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(usize::try_from(settings.threads).unwrap_or(1))
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: EntrySettings) -> Result<()> {
    let tracer = traces::start(settings.traces);
    let own = settings.own_entry_vm().clone();
    let callers = inbound::listen(own.callers, KERNEL_BUFFER_BYTES)
        .context(ListenSnafu { addr: own.callers })?;
    let peers =
        inbound::listen(own.peers, KERNEL_BUFFER_BYTES).context(ListenSnafu { addr: own.peers })?;
    let platform = PlatformClient::new(settings.platform.addr, settings.platform.timeout_ms);
    let drain = Duration::from_millis(settings.drain_ms);
    let incarnation = new_incarnation(&settings).context(IdentitySnafu)?;
    let metrics = Metrics::new().context(CountersSnafu)?;
    log::info!(
        "{incarnation} starts, callers on {}, peers on {}",
        own.callers,
        own.peers
    );
    let shared = Arc::new(Shared::new(settings, incarnation, platform, metrics));
    let parts = Parts::start(&shared)?;
    let front = Front {
        shared: shared.clone(),
        http: target_client()?,
        claims: parts.claims.clone(),
    };
    // A first look at the platform or the peers, before callers come.
    let _ = parts.view.send(Poll).await;
    let stop_peers = parts.serve_peers(peers);
    let server = Server::start(callers, Arc::new(front));
    wait_for_signal().await?;
    end(&shared, server, &stop_peers, drain).await;
    if let Some(tracer) = tracer {
        // Spans that can't be written any more are lost; there is nobody to tell.
        let _ = tracer.shutdown();
    }
    Ok(())
}

fn new_incarnation(settings: &EntrySettings) -> std::result::Result<Incarnation, BadId> {
    let run: u64 = rand::rng().random();
    Incarnation::new(&format!("{}.{run:016x}", settings.entry_vm))
}

fn target_client() -> Result<reqwest::Client> {
    let client = reqwest::Client::builder()
        .no_proxy()
        .http1_only()
        .redirect(reqwest::redirect::Policy::none())
        .pool_max_idle_per_host(IDLE_CONNECTIONS as usize)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .build();
    client.context(HttpSnafu)
}

/// The daemon's actors.
struct Parts<P: Platform> {
    view: Address<ViewActor<P>>,
    claims: Address<ClaimActor<P>>,
    peer_server: PeerServer<P>,
    operator_server: OperatorServer<P>,
}

impl<P: Platform> Parts<P> {
    fn start(shared: &Arc<Shared<P>>) -> Result<Self> {
        let clients = Clients::new(shared.settings.other_entry_vms()).context(ClientSnafu)?;
        let lease = Arc::new(Mutex::new(SeenLease::new(shared.clock.now_us())));
        let view = ViewActor::new(shared.clone(), clients.clone(), lease.clone());
        let view = xtra::spawn_tokio(view, Mailbox::unbounded());
        let peers = PeerActor::new(shared.clone(), clients.clone(), view.clone());
        let peers = xtra::spawn_tokio(peers, Mailbox::unbounded());
        let claims = ClaimActor::new(shared.clone(), clients.clone());
        let claims = xtra::spawn_tokio(claims, Mailbox::unbounded());
        let changes = Changes {
            shared: shared.clone(),
            clients,
            view: view.clone(),
        };
        let steward = StewardActor::new(shared.clone(), changes.clone(), lease.clone());
        let steward = xtra::spawn_tokio(steward, Mailbox::unbounded());
        subscribe(&shared.timer, POLL_PERIOD, &view, Poll);
        subscribe(&shared.timer, EXCHANGE_PERIOD, &peers, ExchangeNow);
        subscribe(&shared.timer, WORK_PERIOD, &steward, Work);
        subscribe(&shared.timer, TRAFFIC_PERIOD, &claims, ClaimTick);
        tick_traffic(shared);
        check_connections(shared);
        Ok(Self {
            peer_server: PeerServer {
                shared: shared.clone(),
                changes: changes.clone(),
                peers: peers.clone(),
                claims: claims.clone(),
            },
            operator_server: OperatorServer {
                shared: shared.clone(),
                changes,
                lease,
            },
            view,
            claims,
        })
    }

    /// Answers to peers and operators, on one address, until the sender says so.
    fn serve_peers(self, socket: TcpListener) -> watch::Sender<bool> {
        let config = ServerConfig::builder()
            .http_only()
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .build();
        let inbound = self.peer_server.shared.inbound.clone();
        let mut methods = self.peer_server.into_rpc();
        let operators = self.operator_server.into_rpc();
        methods.merge(operators).expect("the namespaces differ");
        let calls = (methods.into(), config, MAX_MESSAGE_BYTES as usize);
        let (stop, stopped) = watch::channel(false);
        let options = PEER_CONNECTION_OPTIONS;
        tokio::spawn(serve_rpc(inbound, socket, options, calls, stopped));
        stop
    }
}

/// Sends `message` to an actor in every period. A message that is still in work is waited for.
fn subscribe<A, M>(timer: &Timer, period: Duration, actor: &Address<A>, message: M)
where
    A: Handler<M>,
    M: Copy + Send + 'static,
{
    let mut subscription = timer.subscribe(period);
    let actor = actor.clone();
    tokio::spawn(async move {
        while subscription.next().await.is_some() {
            if actor.send(message).await.is_err() {
                return;
            }
        }
    });
}

fn tick_traffic<P: Platform>(shared: &Arc<Shared<P>>) {
    let mut subscription = shared.timer.subscribe(TRAFFIC_PERIOD);
    let shared = shared.clone();
    tokio::spawn(async move {
        while subscription.next().await.is_some() {
            shared
                .traffic
                .with(|router, rng, now_us| router.tick(now_us, rng));
        }
    });
}

/// Closes connections whose time is over, and logs once a second what was refused or closed.
fn check_connections<P: Platform>(shared: &Arc<Shared<P>>) {
    let mut subscription = shared.timer.subscribe(CONNECTION_CHECK_PERIOD);
    let shared = shared.clone();
    tokio::spawn(async move {
        while subscription.next().await.is_some() {
            if let Some(closures) = shared.inbound.close_overdue() {
                log::warn!("clients refused or their connections closed: {closures:?}");
            }
        }
    });
}

async fn wait_for_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalSnafu)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Not ready first, then no new connections, then the requests in flight, then the end.
async fn end<P: Platform>(
    shared: &Shared<P>,
    server: Server,
    stop_peers: &watch::Sender<bool>,
    drain: Duration,
) {
    log::info!("draining");
    shared.start_draining();
    tokio::time::sleep(UNREADY).await;
    if tokio::time::timeout(drain, server.stop()).await.is_err() {
        let left = shared.metrics.in_flight.get();
        log::warn!("{left} requests were still in flight when the time to drain was over");
    }
    stop_peers.send_replace(true);
    log::info!("ended");
}
