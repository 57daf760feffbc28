//! The HTTP server: connections, their limits, and a graceful end.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::front::routes::{Front, filter};
use platform::Platform;

/// How long a connection may take to send a request's headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// The library answers 431 by itself to headers longer than this.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Opens a listener whose connections send small writes at once.
pub(crate) fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Serves callers until it is told to stop.
#[derive(Debug)]
pub(crate) struct Server {
    stop: watch::Sender<bool>,
    accept: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Starts to accept connections.
    pub(crate) fn start<P: Platform>(listener: TcpListener, front: Arc<Front<P>>) -> Self {
        let (stop, stopped) = watch::channel(false);
        let accept = tokio::spawn(accept(listener, front, stopped));
        Self { stop, accept }
    }

    /// Takes no more connections; those that are open finish the request that they carry and close.
    pub(crate) async fn stop(self) {
        self.stop.send_replace(true);
        // The task ends by itself; it can't fail.
        let _ = self.accept.await;
        self.stop.closed().await;
    }
}

async fn accept<P: Platform>(
    listener: TcpListener,
    front: Arc<Front<P>>,
    mut stopped: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, front.clone(), stopped.clone()));
            }
            // Out of file descriptors, most likely: those in use come back.
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

async fn serve<P: Platform>(
    stream: TcpStream,
    front: Arc<Front<P>>,
    mut stopped: watch::Receiver<bool>,
) {
    let service = TowerToHyperService::new(warp::service(filter(front)));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        _ = stopped.wait_for(|is_stopped| *is_stopped) => None,
    };
    if ended.is_none() {
        connection.as_mut().graceful_shutdown();
        // An error here is the caller's going away, which the request's own end has counted.
        let _ = connection.await;
    }
}
