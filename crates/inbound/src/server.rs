//! Serves the connections of a listener and keeps track of what they are doing.

use std::error::Error as StdError;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use clients::Listener;
use http::{Request, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::body::Reserved;
use crate::connection::{Connection, Inbound};

/// How long a connection that has to close may take to send the refusal of its request.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(250);

/// The size of the pieces in which an answer is passed on, in bytes.
const MAX_PIECE_BYTES: usize = 16 * 1024;

/// The result of serving a connection.
type Result<T> = std::result::Result<T, hyper::Error>;

/// The limits of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionOptions {
    /// How long the headers of a request may take; counts from the end of the request before.
    pub header_timeout: Duration,
    /// The size of the read buffer in bytes, at least 8 KB. Headers that do not fit get status 431.
    pub max_buffer_bytes: usize,
}

/// Serves the connections to a listener until `stopped` is true. A connection that is open then ends with its current request, and drops
/// its receiver of `stopped`. `options` are read for each new connection.
pub async fn serve<S, B>(
    inbound: Arc<Inbound>,
    (socket, listener): (TcpListener, Listener),
    options: impl Fn() -> ConnectionOptions,
    service: S,
    mut stopped: watch::Receiver<bool>,
) where
    S: Service<Request<Incoming>, Response = Response<B>> + Clone + Send + 'static,
    S::Future: Send,
    S::Error: Into<Box<dyn StdError + Send + Sync>>,
    B: Body<Data = Bytes> + Default + Send + Unpin + 'static,
    B::Error: Into<Box<dyn StdError + Send + Sync>>,
{
    loop {
        let idle_timeout = || options().header_timeout;
        let (stream, connection) = tokio::select! {
            accepted = inbound.accept(&socket, listener, idle_timeout) => accepted,
            () = stop(&mut stopped) => return,
        };
        let (options, service, mut stopped) = (options(), service.clone(), stopped.clone());
        tokio::spawn(async move {
            // An error is the client's going away, which the end of its request has counted.
            let _ =
                serve_connection(stream, connection, options, service, stop(&mut stopped)).await;
        });
    }
}

/// Waits until `stopped` is true; forever if nobody can change it any more.
async fn stop(stopped: &mut watch::Receiver<bool>) {
    if stopped.wait_for(|is_stopped| *is_stopped).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Serves the requests of a connection until it ends. After `stop`, the connection ends with its current request. The service finds
/// the [`Connection`] among the extensions of each request.
///
/// # Errors
/// When the connection fails, for instance because the client broke it off.
async fn serve_connection<S, B>(
    stream: TcpStream,
    connection: Connection,
    options: ConnectionOptions,
    service: S,
    stop: impl Future<Output = ()>,
) -> Result<()>
where
    S: Service<Request<Incoming>, Response = Response<B>>,
    S::Error: Into<Box<dyn StdError + Send + Sync>>,
    B: Body<Data = Bytes> + Default + Unpin + 'static,
    B::Error: Into<Box<dyn StdError + Send + Sync>>,
{
    let tracked = connection.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        tracked.begin_request();
        if request.body().is_end_stream() {
            tracked.handle();
        }
        request.extensions_mut().insert(tracked.clone());
        let response = service.call(request);
        let connection = tracked.clone();
        async move {
            let response = response.await?;
            Ok::<_, S::Error>(track(response, connection).await)
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(options.header_timeout)
        .max_buf_size(options.max_buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    tokio::pin!(stop);
    tokio::select! {
        ended = served.as_mut() => return ended,
        () = stop.as_mut() => {}
        () = connection.evicted() => {
            if !connection.awaits_answer() {
                return Ok(());
            }
        }
    }
    served.as_mut().graceful_shutdown();
    let evicted = async {
        connection.evicted().await;
        tokio::time::sleep(REFUSAL_TIMEOUT).await;
        // A request may have become complete in the meantime, and gets its answer.
        while connection.is_handling() {
            tokio::time::sleep(REFUSAL_TIMEOUT).await;
        }
    };
    tokio::select! {
        ended = served.as_mut() => ended,
        () = evicted => Ok(()),
    }
}

/// Reserves memory for an answer of known length and lets its connection follow how it is read. Without memory, the answer is replaced by
/// status 504, as the request may have had its effect.
async fn track<B>(mut response: Response<B>, connection: Connection) -> Response<TrackedBody<B>>
where
    B: Body<Data = Bytes> + Default,
{
    let length = response.body().size_hint().exact().unwrap_or(0);
    let mut reserved = Reserved::new(connection.clone());
    if reserved.raise(length).await.is_err() {
        response = Response::new(B::default());
        *response.status_mut() = StatusCode::GATEWAY_TIMEOUT;
    }
    response.map(|body| TrackedBody {
        body,
        rest: Bytes::new(),
        connection,
        _reserved: reserved,
    })
}

/// The body of an answer, passed on in pieces that are copies, so that only one is left of an answer that the client does not read when
/// the body is dropped.
struct TrackedBody<B> {
    body: B,
    /// What is left of the last part.
    rest: Bytes,
    connection: Connection,
    _reserved: Reserved,
}

impl<B: Body<Data = Bytes> + Unpin> Body for TrackedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Self::Error>>> {
        if self.rest.is_empty() {
            let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
                self.connection.handle();
                return Poll::Pending;
            };
            match frame.map(|frame| frame.map(Frame::into_data)) {
                Some(Ok(Ok(part))) => self.rest = part,
                Some(Ok(Err(trailers))) => return Poll::Ready(Some(Ok(trailers))),
                Some(Err(err)) => return Poll::Ready(Some(Err(err))),
                None => return Poll::Ready(None),
            }
            if self.rest.len() <= MAX_PIECE_BYTES {
                self.connection.answer();
                let part = std::mem::take(&mut self.rest);
                return Poll::Ready(Some(Ok(Frame::data(part))));
            }
        }
        self.connection.answer();
        let length = self.rest.len().min(MAX_PIECE_BYTES);
        let piece = Bytes::copy_from_slice(&self.rest.split_to(length));
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let (rest, body) = (self.rest.len() as u64, self.body.size_hint());
        let mut hint = SizeHint::new();
        hint.set_lower(rest + body.lower());
        if let Some(upper) = body.upper() {
            hint.set_upper(rest + upper);
        }
        hint
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.connection.finish();
    }
}
