//! The HTTP servers: accept connections, apply limits to them, and close them on shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::api::handle_request;
use crate::node::Node;

/// The time for which a connection may stay idle, and in which the headers of a request have to arrive. Connections of
/// callers use the limits of the active configuration instead, once the daemon has one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The size of the read buffer of a connection, which is twice the size of headers that configurations allow. hyper
/// responds with status 431 to headers that do not fit.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// The maximum number of connections that wait to be accepted.
const BACKLOG_CONNECTIONS: u32 = 1024;

/// The delay before the next attempt after a failure to accept a connection. The usual cause is a lack of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Opens a listener on an IPv4 address.
///
/// # Errors
/// When a call to the operating system fails, for instance because the address is in use.
pub(crate) fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG_CONNECTIONS)
}

/// Accepts the next connection. Retries after a failure, because other connections release their file descriptors.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(err) => tracing::warn!(error = %err, "failed to accept a connection"),
        }
        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
    }
}

/// Starts the server for callers, which runs until the process ends. While the daemon is shutting down or the store is
/// unavailable, the server closes each connection after its current request.
///
/// # Errors
/// When the address can't be listened on.
pub(crate) async fn serve_callers(addr: SocketAddr, node: Arc<Node>) -> std::io::Result<()> {
    let listener = listen(addr)?;
    tokio::spawn(async move {
        loop {
            let stream = accept(&listener).await;
            let node = node.clone();
            tokio::spawn(async move {
                let handler_node = node.clone();
                let service =
                    service_fn(move |request| serve_request(request, handler_node.clone()));
                // hyper counts the idle time between two requests as part of the time for the headers of the second.
                let limits = node.active_config.get().map(|config| config.limits);
                let timeout = limits.map(|limits| limits.header_timeout.max(limits.idle_timeout));
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT))
                    .max_buf_size(MAX_BUFFER_BYTES)
                    .serve_connection(TokioIo::new(stream), service);
                if let Err(err) = connection.await {
                    tracing::debug!(error = %err, "connection of a caller ended with an error");
                }
            });
        }
    });
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
    addr: SocketAddr,
    node: Arc<Node>,
    handler: F,
) -> std::io::Result<()>
where
    F: Fn(Request<Incoming>, Arc<Node>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let listener = listen(addr)?;
    tokio::spawn(async move {
        loop {
            let stream = accept(&listener).await;
            let (node, handler) = (node.clone(), handler.clone());
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let response = handler(request, node.clone());
                    async move { Ok::<_, Infallible>(response.await) }
                });
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
                    .serve_connection(TokioIo::new(stream), service);
                if let Err(err) = connection.await {
                    tracing::debug!(error = %err, "connection ended with an error");
                }
            });
        }
    });
    Ok(())
}
