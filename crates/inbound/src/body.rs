//! The bodies of requests, read into one buffer whose memory is reserved as it grows.

use std::fmt::Display;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use clients::INCLUDED_BODY_BYTES;
use http_body::Body;
use http_body_util::BodyExt;
use snafu::Snafu;

use crate::connection::Connection;

/// The result of reading a body.
pub type Result<T> = std::result::Result<T, BodyError>;

/// For how long the rest of a refused request is read: a caller that has begun to send ends within a few round trips.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Why the body of a request was not read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[snafu(display("the body is too large"))]
    TooLarge,
    /// There is no memory for the body. The request was not handled; it may be repeated.
    #[snafu(display("there is no memory for the body"))]
    NoMemory,
    /// The body ended with an error.
    #[snafu(display("{message}"))]
    Broken {
        /// The error of the HTTP library.
        message: String,
    },
}

/// A complete body. Its memory stays reserved until it is dropped.
#[derive(Debug)]
pub struct HeldBody {
    bytes: Bytes,
    _reserved: Reserved,
}

impl HeldBody {
    /// The bytes of the body.
    #[must_use]
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

/// A buffer whose memory is reserved before it grows.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    reserved: Reserved,
}

/// Memory that is released when the value is dropped.
#[derive(Debug)]
pub(crate) struct Reserved {
    connection: Connection,
    bytes: u64,
}

impl Reserved {
    pub(crate) fn new(connection: Connection) -> Self {
        Self {
            connection,
            bytes: 0,
        }
    }

    /// Reserves what `length` bytes take beyond the part that is counted with the connection, if that is more than is reserved.
    pub(crate) async fn raise(&mut self, length: u64) -> Result<()> {
        let needed_bytes = length.saturating_sub(INCLUDED_BODY_BYTES);
        let more_bytes = needed_bytes.saturating_sub(self.bytes);
        if more_bytes > 0 {
            self.connection.reserve(more_bytes).await?;
            self.bytes += more_bytes;
        }
        Ok(())
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.connection.release(self.bytes);
        }
    }
}

impl BodyBuffer {
    /// Creates an empty buffer for the body of a request on a connection.
    #[must_use]
    pub fn new(connection: Connection) -> Self {
        Self {
            bytes: Vec::new(),
            reserved: Reserved::new(connection),
        }
    }

    /// Appends a part of a body of at most `max_bytes`.
    ///
    /// # Errors
    /// [`BodyError::TooLarge`] and [`BodyError::NoMemory`].
    pub async fn append(&mut self, part: &[u8], max_bytes: usize) -> Result<()> {
        let length = self.bytes.len() + part.len();
        snafu::ensure!(length <= max_bytes, TooLargeSnafu);
        if length > self.bytes.capacity() {
            let capacity = length.max(2 * self.bytes.capacity()).min(max_bytes);
            self.reserved.raise(capacity as u64).await?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// The number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether no byte was appended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The body as far as it was appended.
    #[must_use]
    pub fn freeze(self) -> HeldBody {
        HeldBody {
            bytes: self.bytes.into(),
            _reserved: self.reserved,
        }
    }
}

impl Connection {
    /// Reads a body of at most `max_bytes`. Each part is copied at once: the parts that the HTTP library returns hold whole buffers,
    /// however small they are.
    ///
    /// # Errors
    /// See [`BodyError`].
    pub async fn read_body<B>(&self, body: B, max_bytes: usize) -> Result<HeldBody>
    where
        B: Body<Data = Bytes>,
        B::Error: Display,
    {
        let mut buffer = BodyBuffer::new(self.clone());
        let mut body = pin!(body);
        loop {
            let frame = tokio::select! {
                biased;
                () = self.evicted() => return Err(BodyError::NoMemory),
                frame = body.frame() => frame,
            };
            match frame {
                None => break,
                Some(Err(err)) => {
                    let message = err.to_string();
                    return Err(BodyError::Broken { message });
                }
                Some(Ok(frame)) => {
                    if let Some(part) = frame.data_ref() {
                        buffer.append(part, max_bytes).await?;
                    }
                }
            }
        }
        self.handle();
        Ok(buffer.freeze())
    }
}

/// Reads and drops the rest of a refused request. The HTTP library closes a connection whose request is not read to its end, and a
/// caller that is still sending would not see the answer.
pub async fn discard_body<B: Body<Data = Bytes>>(body: B, max_bytes: usize) {
    let discard = async {
        let mut body = pin!(body);
        let mut discarded_bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
            if discarded_bytes > max_bytes {
                return;
            }
        }
    };
    // A body that fails, is too long or takes too long ends with its connection.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard).await;
}
