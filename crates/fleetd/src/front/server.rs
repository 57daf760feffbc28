//! The HTTP servers: connections, their limits, and a graceful end.

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

use crate::front::answer_request;
use crate::node::Node;

/// How long a connection may stay idle, and headers may take to arrive, before a configuration says it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The library answers 431 by itself to longer headers. Twice what configurations allow.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// The pause after a failure to accept, most likely for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Opens a listener.
pub(crate) fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// The next connection. Failures are waited out, as descriptors in use come back.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(err) => tracing::warn!(error = %err, "a connection can't be accepted"),
        }
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }
}

/// Serves callers until the process ends. Connections are closed after their request once the daemon is leaving.
pub(crate) async fn serve(addr: SocketAddr, node: Arc<Node>) -> std::io::Result<()> {
    let listener = listen(addr)?;
    tokio::spawn(async move {
        loop {
            let stream = accept(&listener).await;
            let node = node.clone();
            tokio::spawn(async move {
                let served = node.clone();
                let service = service_fn(move |request| answer(request, served.clone()));
                // The library counts the time between two requests as part of the time for the headers of the second.
                let limits = node.in_force.get().map(|config| config.limits);
                let timeout = limits.map(|limits| limits.header_timeout.max(limits.idle_timeout));
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(timeout.unwrap_or(IDLE_TIMEOUT))
                    .max_buf_size(MAX_BUFFER_BYTES)
                    .serve_connection(TokioIo::new(stream), service);
                if let Err(err) = connection.await {
                    tracing::debug!(error = %err, "a caller's connection broke");
                }
            });
        }
    });
    Ok(())
}

async fn answer(
    request: Request<Incoming>,
    node: Arc<Node>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    node.in_flight.fetch_add(1, Ordering::Relaxed);
    let mut response = answer_request(request, &node).await;
    if node.is_leaving.load(Ordering::Acquire) || node.is_store_away() {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    node.in_flight.fetch_sub(1, Ordering::Relaxed);
    Ok(response)
}

/// Serves one kind of answer on an address of its own.
pub(crate) async fn serve_simple<F, A>(
    addr: SocketAddr,
    node: Arc<Node>,
    answer: F,
) -> std::io::Result<()>
where
    F: Fn(Request<Incoming>, Arc<Node>) -> A + Clone + Send + 'static,
    A: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let listener = listen(addr)?;
    tokio::spawn(async move {
        loop {
            let stream = accept(&listener).await;
            let (node, answer) = (node.clone(), answer.clone());
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let answered = answer(request, node.clone());
                    async move { Ok::<_, Infallible>(answered.await) }
                });
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(IDLE_TIMEOUT)
                    .serve_connection(TokioIo::new(stream), service);
                if let Err(err) = connection.await {
                    tracing::debug!(error = %err, "a connection broke");
                }
            });
        }
    });
    Ok(())
}
