//! Calls to peers. A call may take long, for instance because the peer waits for the store. While it does, the peer is
//! probed, so that the call ends soon after the peer has stopped responding.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient as PeerClient, HttpClientBuilder, transport};
use ownership::ShardOwner;
use smol_str::{SmolStr, ToSmolStr};
use snafu::Snafu;
use tokio::sync::Mutex;

use crate::clock::local_ms;
use crate::node::Node;
use crate::rpc::PoolClient;

/// How long a call may take: one transaction of the peer, and a retry if the response to the first is lost. By then, a peer
/// that the store does not answer has refused what it can.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a call is under way before the peer is probed, and the period of the probes after that.
const PROBE_PERIOD: Duration = Duration::from_millis(250);

/// How long a peer may take to respond to a probe, also while it is busy for a moment.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Result of a call to a peer.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Why a call to a peer returned nothing.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub(crate) enum Error {
    /// No connection was made; the call had no effect.
    #[snafu(display("no connection was made: {message}"))]
    Unreachable {
        /// Message of the RPC client.
        message: SmolStr,
    },
    /// The peer responded neither to the call nor to a probe.
    #[snafu(display("the peer does not respond to probes"))]
    Unresponsive,
    /// The call took longer than [`CALL_TIMEOUT`], but the peer responds to probes.
    #[snafu(display("the call timed out"))]
    TimedOut,
    /// The peer refused the call because it has too many under way; the call had no effect.
    #[snafu(display("the peer has too many calls under way"))]
    TooManyCalls,
    /// The connection failed, or the response can't be used.
    #[snafu(display("the call failed: {message}"))]
    Failed {
        /// Message of the RPC client.
        message: SmolStr,
    },
}

impl Error {
    /// Whether it is certain that the call had no effect.
    pub(crate) fn is_without_effect(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::TooManyCalls)
    }

    /// Whether the peer, as far as the call tells, is there.
    fn is_peer_responsive(&self) -> bool {
        matches!(self, Self::TimedOut | Self::TooManyCalls)
    }
}

impl From<ClientError> for Error {
    fn from(err: ClientError) -> Self {
        if matches!(err, ClientError::RequestTimeout) {
            return Self::TimedOut;
        }
        if is_refused(&err) {
            return Self::TooManyCalls;
        }
        // jsonrpsee distinguishes a failed connection from a lost response only in the text of the error.
        let message = err.to_smolstr();
        if matches!(err, ClientError::Transport(_)) && message.contains("(Connect)") {
            Self::Unreachable { message }
        } else {
            Self::Failed { message }
        }
    }
}

/// Whether the peer refused a call because it has too many under way. It has not read the call then.
fn is_refused(err: &ClientError) -> bool {
    let ClientError::Transport(err) = err else {
        return false;
    };
    let too_many = StatusCode::TOO_MANY_REQUESTS.as_u16();
    matches!(err.downcast_ref(), Some(transport::Error::Rejected { status_code }) if *status_code == too_many)
}

/// Calls a peer, and marks the peer as unreachable when it did not respond.
///
/// # Errors
/// See [`Error`]. The call may have an effect later, unless [`Error::is_without_effect`] tells otherwise.
pub(crate) async fn call_peer<T, F>(
    node: &Node,
    peer: &ShardOwner,
    call: impl FnOnce(PeerClient) -> F,
) -> Result<T>
where
    F: Future<Output = std::result::Result<T, ClientError>>,
{
    let connection = node.peer_connection(&peer.addr)?;
    let result = tokio::select! {
        result = call(connection.client.clone()) => result.map_err(Error::from),
        () = connection.wait_until_unresponsive() => UnresponsiveSnafu.fail(),
    };
    if result.as_ref().is_err_and(|err| !err.is_peer_responsive()) {
        node.mark_unreachable(peer);
    }
    result
}

/// The RPC client of a peer and the last probe of the peer. Clones share both.
#[derive(Debug, Clone)]
pub(crate) struct PeerConnection {
    client: PeerClient,
    last_probe: Arc<Mutex<Option<Probe>>>,
}

#[derive(Debug, Clone, Copy)]
struct Probe {
    ended_at_ms: u64,
    is_answered: bool,
}

impl PeerConnection {
    /// Creates the connection to the peer at this address. Connects with the first call.
    ///
    /// # Errors
    /// [`Error::Unreachable`] when the address can't be used.
    pub(crate) fn new(addr: &str) -> Result<Self> {
        let client = HttpClientBuilder::default()
            .request_timeout(CALL_TIMEOUT)
            .build(format!("http://{addr}"));
        let client = client.map_err(|err| Error::Unreachable {
            message: err.to_smolstr(),
        })?;
        Ok(Self {
            client,
            last_probe: Arc::default(),
        })
    }

    async fn wait_until_unresponsive(&self) {
        loop {
            tokio::time::sleep(PROBE_PERIOD).await;
            if !self.probe().await {
                return;
            }
        }
    }

    /// Returns whether the peer responds to a probe. Concurrent calls share a probe.
    async fn probe(&self) -> bool {
        let mut last_probe = self.last_probe.lock().await;
        let is_recent = |probe: &Probe| {
            let age_ms = local_ms().saturating_sub(probe.ended_at_ms);
            u128::from(age_ms) < PROBE_PERIOD.as_millis()
        };
        if let Some(probe) = last_probe.filter(is_recent) {
            return probe.is_answered;
        }
        let response = tokio::time::timeout(PROBE_TIMEOUT, self.client.ping()).await;
        let is_answered = match &response {
            // A peer of an earlier build responds with an error, as it does not know the method.
            Ok(Ok(()) | Err(ClientError::Call(_))) => true,
            Ok(Err(err)) => is_refused(err),
            Err(_) => false,
        };
        *last_probe = Some(Probe {
            ended_at_ms: local_ms(),
            is_answered,
        });
        is_answered
    }
}

#[cfg(test)]
mod tests;
