//! The HTTP server of callers, and its graceful end.

use std::sync::Arc;
use std::time::Duration;

use clients::Listener;
use hyper_util::service::TowerToHyperService;
use inbound::ConnectionOptions;
use platform::Platform;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::front::routes::{Front, filter};

/// The limits of a connection. Longer headers than the buffer get 431 from the library.
const CONNECTION_OPTIONS: ConnectionOptions = ConnectionOptions {
    header_timeout: Duration::from_secs(10),
    max_buffer_bytes: 32 * 1024,
};

/// Serves callers until it is told to stop.
#[derive(Debug)]
pub(crate) struct Server {
    stop: watch::Sender<bool>,
    accept: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Starts to accept connections.
    pub(crate) fn start<P: Platform>(socket: TcpListener, front: Arc<Front<P>>) -> Self {
        let (stop, stopped) = watch::channel(false);
        let inbound = front.shared.inbound.clone();
        let service = TowerToHyperService::new(warp::service(filter(front)));
        let accept = inbound::serve(
            inbound,
            (socket, Listener::Callers),
            || CONNECTION_OPTIONS,
            service,
            stopped,
        );
        let accept = tokio::spawn(accept);
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
