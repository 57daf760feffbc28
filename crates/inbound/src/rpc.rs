//! Serves RPC calls. The body of a call is read here, within the bound of the process, and not by the RPC library.

use std::sync::Arc;

use bytes::Bytes;
use clients::Listener;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::{Service, service_fn};
use hyper_util::service::TowerToHyperService;
use jsonrpsee::core::BoxError;
use jsonrpsee::server::{HttpBody, Methods, Server, ServerConfig, stop_channel};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::body::{BodyError, discard_body};
use crate::connection::{Connection, Inbound};
use crate::server::{ConnectionOptions, serve};

/// Serves RPC calls of at most `max_body_bytes` until `stopped` is true.
pub async fn serve_rpc(
    inbound: Arc<Inbound>,
    socket: TcpListener,
    options: ConnectionOptions,
    (methods, config, max_body_bytes): (Methods, ServerConfig, usize),
    stopped: watch::Receiver<bool>,
) {
    // Connections end with `stopped`; the library's own signal to stop concerns upgraded connections, which are not served.
    let (stop_handle, _server_handle) = stop_channel();
    let builder = Server::builder().set_config(config).to_service_builder();
    let calls = TowerToHyperService::new(builder.build(methods, stop_handle));
    let service = service_fn(move |request| handle_call(request, calls.clone(), max_body_bytes));
    let listener = (socket, Listener::Peers);
    serve(inbound, listener, move || options, service, stopped).await;
}

async fn handle_call<S>(
    request: Request<Incoming>,
    calls: S,
    max_body_bytes: usize,
) -> Result<Response<HttpBody>, BoxError>
where
    S: Service<Request<Full<Bytes>>, Response = Response<HttpBody>, Error = BoxError>,
{
    let (parts, mut body) = request.into_parts();
    let connection = parts.extensions.get::<Connection>().cloned();
    let connection = connection.expect("the server adds the connection to each request");
    match connection.read_body(&mut body, max_body_bytes).await {
        Ok(body) => {
            let request = Request::from_parts(parts, Full::new(body.bytes().clone()));
            calls.call(request).await
        }
        Err(err) => {
            let status = match err {
                BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
                // The status by which clients know that the call was not read.
                BodyError::NoMemory => StatusCode::TOO_MANY_REQUESTS,
                BodyError::Broken { .. } => StatusCode::BAD_REQUEST,
            };
            tokio::spawn(discard_body(body, max_body_bytes));
            let mut response = Response::new(HttpBody::from(err.to_string()));
            *response.status_mut() = status;
            Ok(response)
        }
    }
}
