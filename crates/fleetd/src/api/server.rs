//! The HTTP servers.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use clients::Listener;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use inbound::{ConnectionOptions, listen};
use tokio::sync::watch;

use crate::api::handle_request;
use crate::node::Node;

/// The time for which a connection may stay idle, and in which the headers of a request have to arrive. Connections of
/// callers use the limits of the active configuration instead, once the daemon has one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The size of the read buffer of a caller's connection, which is one and a half times the size of headers that configurations allow.
/// hyper responds with status 431 to headers that do not fit.
const MAX_BUFFER_BYTES: usize = 24 * 1024;

/// The size of the read buffer of other connections.
const MAX_PROBE_BUFFER_BYTES: usize = 8 * 1024;

/// The size of the buffers of a connection in the kernel, for each direction. Requests and answers take hundreds of bytes.
pub(crate) const KERNEL_BUFFER_BYTES: u32 = 8 * 1024;

/// Starts the server for callers, which runs until the process ends. While the daemon is shutting down or the store is
/// unavailable, the server closes each connection after its current request.
///
/// # Errors
/// When the address can't be listened on.
pub(crate) async fn serve_callers(addr: SocketAddr, node: Arc<Node>) -> std::io::Result<()> {
    let listener = (listen(addr, KERNEL_BUFFER_BYTES)?, Listener::Callers);
    let inbound = node.inbound.clone();
    let options_node = node.clone();
    let options = move || {
        // hyper counts the idle time between two requests as part of the time for the headers of the second.
        let limits = options_node.active_config.get().map(|config| config.limits);
        let timeout = limits.map(|limits| limits.header_timeout.max(limits.idle_timeout));
        ConnectionOptions {
            header_timeout: timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT),
            max_buffer_bytes: MAX_BUFFER_BYTES,
        }
    };
    let service = service_fn(move |request| serve_request(request, node.clone()));
    tokio::spawn(inbound::serve(
        inbound,
        listener,
        options,
        service,
        never_stopped(),
    ));
    Ok(())
}

async fn serve_request(
    request: Request<Incoming>,
    node: Arc<Node>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = handle_request(request, &node).await;
    if node.is_shutting_down.load(Ordering::Acquire) || node.is_store_unavailable() {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    Ok(response)
}

/// Starts a server that passes all requests on an address to one handler, and runs until the process ends.
///
/// # Errors
/// When the address can't be listened on.
pub(crate) async fn serve_endpoint<F, Fut>(
    (addr, listener): (SocketAddr, Listener),
    node: Arc<Node>,
    handler: F,
) -> std::io::Result<()>
where
    F: Fn(Request<Incoming>, Arc<Node>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let listener = (listen(addr, KERNEL_BUFFER_BYTES)?, listener);
    let inbound = node.inbound.clone();
    let options = || ConnectionOptions {
        header_timeout: DEFAULT_IDLE_TIMEOUT,
        max_buffer_bytes: MAX_PROBE_BUFFER_BYTES,
    };
    let service = service_fn(move |request| {
        let response = handler(request, node.clone());
        async move { Ok::<_, Infallible>(response.await) }
    });
    tokio::spawn(inbound::serve(
        inbound,
        listener,
        options,
        service,
        never_stopped(),
    ));
    Ok(())
}

/// The signal to stop of a server that runs until the process ends.
pub(crate) fn never_stopped() -> watch::Receiver<bool> {
    watch::channel(false).1
}
