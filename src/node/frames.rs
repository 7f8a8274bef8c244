//! Length-prefixed messages on a connection.

use bytes::Bytes;
use futures_util::SinkExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Longest message in bytes. A snapshot of the largest replicated state fits.
const MAX_FRAME: usize = 64 << 20;

/// Why a session ended.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum FrameError {
    #[snafu(display("connection: {source}"))]
    Io { source: std::io::Error },
    /// A message could not be decoded, or encoded.
    #[snafu(display("message: {source}"))]
    Decode { source: postcard::Error },
    #[snafu(display("closed by the peer"))]
    Closed,
    #[snafu(display("no message for {ms} ms"))]
    Silent { ms: u64 },
    #[snafu(display("no longer needed"))]
    Dropped,
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec()
}

/// The reading half of a session.
pub(crate) struct Reader<R> {
    inner: FramedRead<R, LengthDelimitedCodec>,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    pub(crate) fn new(half: R) -> Self {
        Self {
            inner: FramedRead::new(half, codec()),
        }
    }

    /// Reads the next message.
    ///
    /// # Errors
    ///
    /// The connection failed or was closed, or the message could not be decoded.
    pub(crate) async fn next<T: DeserializeOwned>(&mut self) -> Result<T, FrameError> {
        match self.inner.next().await {
            None => ClosedSnafu.fail(),
            Some(frame) => {
                let frame = frame.context(IoSnafu)?;
                postcard::from_bytes(&frame).context(DecodeSnafu)
            }
        }
    }
}

/// The writing half of a session.
pub(crate) struct Writer<W> {
    inner: FramedWrite<W, LengthDelimitedCodec>,
}

impl<W: AsyncWrite + Unpin> Writer<W> {
    pub(crate) fn new(half: W) -> Self {
        Self {
            inner: FramedWrite::new(half, codec()),
        }
    }

    /// Sends a message and all that are queued behind it, in one write if they fit.
    ///
    /// # Errors
    ///
    /// The connection failed, or a message could not be encoded.
    pub(crate) async fn send<T: Serialize>(
        &mut self,
        first: &T,
        queued: &mut mpsc::Receiver<T>,
    ) -> Result<(), FrameError> {
        self.feed(first).await?;
        while let Ok(next) = queued.try_recv() {
            self.feed(&next).await?;
        }
        SinkExt::<Bytes>::flush(&mut self.inner)
            .await
            .context(IoSnafu)
    }

    async fn feed<T: Serialize>(&mut self, message: &T) -> Result<(), FrameError> {
        let body = postcard::to_stdvec(message).context(DecodeSnafu)?;
        self.inner.feed(Bytes::from(body)).await.context(IoSnafu)
    }
}
