//! What the errors of calls to peers tell of the effect of a call, and the server for these calls under many of them.

use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{Server, ServerConfig};
use jsonrpsee::types::ErrorObject;
use submission::JobId;

use super::*;
use crate::rpc::{JobReply, PoolServer, RoundReply, RoundRequest, SubmitReply, SubmitRequest};
use crate::run::peer_server_config;

#[test]
fn a_response_with_the_text_of_a_connection_error_does_not_rule_out_an_effect() {
    let texts = ["client error (Connect)", r#"unknown variant "(Connect)""#];
    for text in texts {
        let response = ErrorObject::owned(-32603, text, None::<()>);
        let err = Error::from(ClientError::Call(response));
        assert!(!err.is_without_effect(), "{err}");
    }
}

#[tokio::test]
async fn a_call_that_made_no_connection_had_no_effect() {
    // The port is free again once the listener is dropped.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let connection = PeerConnection::new(&addr.to_string()).unwrap();
    let err = Error::from(connection.client.ping().await.unwrap_err());
    assert!(err.is_without_effect(), "{err}");
}

/// As many calls as 43 daemons have with four submissions each, which wait for a slow store.
const CALLS: usize = 172;

/// A peer whose submissions wait for ever.
struct Peer;

#[async_trait]
impl PoolServer for Peer {
    async fn ping(&self) -> RpcResult<()> {
        Ok(())
    }

    async fn submit(&self, _: SubmitRequest) -> RpcResult<SubmitReply> {
        std::future::pending().await
    }

    async fn state(&self, _: SmolStr, _: JobId, _: Option<SmolStr>) -> RpcResult<JobReply> {
        Ok(JobReply::NotOwner)
    }

    async fn cancel(&self, _: SmolStr, _: JobId, _: Option<SmolStr>) -> RpcResult<JobReply> {
        Ok(JobReply::NotOwner)
    }

    async fn not_started_jobs(
        &self,
        _: SmolStr,
        _: SmolStr,
        _: Option<SmolStr>,
    ) -> RpcResult<Option<usize>> {
        Ok(None)
    }

    async fn take_over_pool(&self, _: SmolStr, _: Option<u64>) -> RpcResult<bool> {
        Ok(false)
    }

    async fn take_over_fleet(&self, _: u64, _: Option<u64>) -> RpcResult<bool> {
        Ok(false)
    }

    async fn round(&self, _: SmolStr, _: RoundRequest) -> RpcResult<Option<RoundReply>> {
        Ok(None)
    }
}

/// Starts a peer with submissions under way, and returns a connection to it.
async fn busy_peer(config: ServerConfig, submissions: usize) -> PeerConnection {
    let server = Server::builder().set_config(config);
    let server = server.build("127.0.0.1:0").await.unwrap();
    let addr = server.local_addr().unwrap();
    tokio::spawn(server.start(Peer.into_rpc()).stopped());
    let connection = PeerConnection::new(&addr.to_string()).unwrap();
    let request = SubmitRequest {
        pool: "pool".into(),
        queue: "queue".into(),
        team: SmolStr::default(),
        rules: None,
        id: JobId(1),
        spec: submission::JobSpec::default(),
        intake: None,
    };
    for _ in 0..submissions {
        let (client, request) = (connection.client.clone(), request.clone());
        tokio::spawn(async move { client.submit(request).await });
    }
    // Long enough for the calls to arrive, and short of their timeout.
    tokio::time::sleep(CALL_TIMEOUT / 3).await;
    connection
}

#[tokio::test]
async fn an_owner_with_calls_of_all_daemons_under_way_serves_one_more() {
    let connection = busy_peer(peer_server_config(), CALLS).await;
    connection.client.ping().await.unwrap();
}

#[tokio::test]
async fn a_peer_that_refuses_a_call_is_responsive_and_the_call_has_no_effect() {
    let config = ServerConfig::builder().http_only().max_connections(1);
    let connection = busy_peer(config.build(), 1).await;
    let err = Error::from(connection.client.ping().await.unwrap_err());
    assert_eq!(err, Error::TooManyCalls);
    assert!(err.is_without_effect());
    assert!(err.is_peer_responsive());
    assert!(connection.probe().await);
}
