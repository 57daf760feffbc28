//! A caller's body: whole when it is small or has to be compared, streamed otherwise.

use std::time::Duration;

use bytes::Bytes;
use domain::ErrorKind;
use futures_util::{Stream, StreamExt, stream};
use inbound::{BodyBuffer, BodyError, Connection, HeldBody};
use sync_wrapper::SyncStream;
use warp::Buf;

/// The result of reading a body.
pub(crate) type Result<T> = std::result::Result<T, ErrorKind>;

/// A body up to this size is read whole before anything is sent, so that it can be sent again.
const MAX_WHOLE_BYTES: u64 = 64 * 1024;

/// The most that is read of a refused request's body.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;

/// The longest time for that.
const MAX_DISCARDING: Duration = Duration::from_millis(500);

/// The longest pause between two parts of a body.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// What was read of a body.
#[derive(Debug)]
pub(crate) enum Body {
    /// All of it.
    Whole(HeldBody),
    /// Its start; the rest is still to come.
    Start(HeldBody),
}

/// What the whole of a body is needed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Need {
    /// Nothing; a large one is streamed.
    None,
    /// A comparison with other requests.
    Whole,
}

/// Reads a body, or its start.
pub(crate) async fn read<S, B>(
    (parts, connection): (&mut S, &Connection),
    need: Need,
    max_bytes: u64,
    until: tokio::time::Instant,
) -> Result<Body>
where
    S: Stream<Item = std::result::Result<B, warp::Error>> + Unpin,
    B: Buf,
{
    let whole_limit = match need {
        Need::None => MAX_WHOLE_BYTES.min(max_bytes),
        Need::Whole => max_bytes,
    };
    let mut start = BodyBuffer::new(connection.clone());
    let max_held_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    loop {
        let pause = tokio::time::Instant::now() + MAX_PAUSE;
        let part = tokio::select! {
            biased;
            () = connection.evicted() => return Err(ErrorKind::NoMemory),
            part = tokio::time::timeout_at(pause.min(until), parts.next()) => part,
        };
        match part {
            Err(_) => return Err(ErrorKind::BodyTooSlow),
            Ok(Some(Err(_))) => return Err(ErrorKind::BodyIncomplete),
            Ok(None) => {
                connection.handle();
                return Ok(Body::Whole(start.freeze()));
            }
            Ok(Some(Ok(mut part))) => {
                let part = part.copy_to_bytes(part.remaining());
                let appended = start.append(&part, max_held_bytes).await;
                appended.map_err(|err| match err {
                    BodyError::TooLarge => ErrorKind::BodyTooLarge,
                    BodyError::NoMemory | BodyError::Broken { .. } => ErrorKind::NoMemory,
                })?;
            }
        }
        if start.len() as u64 > whole_limit {
            return Ok(Body::Start(start.freeze()));
        }
    }
}

/// Reads and drops what is left of a refused request's body, within limits. A caller that is still sending would
/// otherwise see its connection break and not the answer.
pub(crate) async fn discard<S, B>(parts: &mut S)
where
    S: Stream<Item = std::result::Result<B, warp::Error>> + Unpin,
    B: Buf,
{
    let discarding = async {
        let mut read_bytes = 0;
        while let Some(Ok(part)) = parts.next().await {
            read_bytes += part.remaining();
            if read_bytes > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    // The answer goes out after this time in any case.
    let _ = tokio::time::timeout(MAX_DISCARDING, discarding).await;
}

/// The body of a streamed request towards its target. It fails, and with it the request, when the caller stops
/// or sends more than `max_bytes`.
pub(crate) fn streamed<S, B>(
    start: HeldBody,
    rest: S,
    max_bytes: u64,
    connection: Connection,
) -> reqwest::Body
where
    S: Stream<Item = std::result::Result<B, warp::Error>> + Send + Unpin + 'static,
    B: Buf + Send + 'static,
{
    let read_bytes = start.bytes().len() as u64;
    let first = stream::once(async move { Ok(start.bytes().clone()) });
    let rest = rest.scan(read_bytes, move |read_bytes, part| {
        let part = checked(part, read_bytes, max_bytes);
        async move { Some(part) }
    });
    let end = stream::once(async move { connection.handle() }).filter_map(async |()| None);
    reqwest::Body::wrap_stream(SyncStream::new(first.chain(rest).chain(end)))
}

fn checked<B: Buf>(
    part: std::result::Result<B, warp::Error>,
    read_bytes: &mut u64,
    max_bytes: u64,
) -> std::io::Result<Bytes> {
    let mut part = part.map_err(|_| std::io::ErrorKind::UnexpectedEof)?;
    *read_bytes += part.remaining() as u64;
    if *read_bytes > max_bytes {
        return Err(std::io::ErrorKind::FileTooLarge.into());
    }
    Ok(part.copy_to_bytes(part.remaining()))
}
