//! The two halves of a session: reading and writing messages, and what is known of the peer.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use super::fragments::{
    FragmentError, MessageDecoder, MessageEncoder, Priority, announce_fragments,
    announces_fragments,
};
use super::outgoing::OutgoingReceiver;
use super::timer::shared_interval;
use crate::core::clock::Millis;
use crate::dispatch::wire::SessionMessage;
use crate::shell::clock::Clock;

/// Smallest room for received bytes before each read.
const READ_LEN: usize = 8 << 10;
/// Largest buffer of frames that is kept between writes.
const KEPT_BUFFER: usize = 128 << 10;

/// Why a session ended.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum FrameError {
    #[snafu(display("connection: {source}"))]
    Io { source: std::io::Error },
    /// A message could not be decoded, or encoded.
    #[snafu(display("message: {source}"))]
    Decode { source: postcard::Error },
    #[snafu(display("frame: {source}"))]
    Frame { source: FragmentError },
    #[snafu(display("closed by the peer"))]
    Closed,
    #[snafu(display("nothing received for {ms} ms"))]
    Silent { ms: u64 },
    #[snafu(display("no longer needed"))]
    Dropped,
}

/// What the halves of a session know of its peer.
#[derive(Debug)]
pub(crate) struct Peer {
    clock: Clock,
    // When bytes last arrived.
    last_bytes_at: AtomicU64,
    // It has said that it understands fragments.
    fragments: AtomicBool,
}

impl Peer {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            last_bytes_at: AtomicU64::new(clock.now().0),
            fragments: AtomicBool::new(false),
        }
    }

    /// Fails once nothing has arrived for longer than `limit`, which is checked at an interval.
    pub(crate) async fn watch_silence(
        &self,
        limit: Millis,
        interval: Duration,
    ) -> Result<(), FrameError> {
        let mut check = shared_interval(interval);
        loop {
            check.tick().await;
            let last = Millis(self.last_bytes_at.load(Ordering::Relaxed));
            let silence = self.clock.now().since(last);
            if silence > limit {
                return SilentSnafu { ms: silence.0 }.fail();
            }
        }
    }
}

/// The reading half of a session.
pub(crate) struct Reader<'a, R> {
    half: R,
    peer: &'a Peer,
    decoder: MessageDecoder,
}

impl<'a, R: AsyncRead + Unpin> Reader<'a, R> {
    pub(crate) fn new(half: R, peer: &'a Peer) -> Self {
        Self {
            half,
            peer,
            decoder: MessageDecoder::default(),
        }
    }

    /// Reads the next message.
    ///
    /// # Errors
    ///
    /// The connection failed or was closed, or what arrived could not be decoded.
    pub(crate) async fn next<T: DeserializeOwned>(&mut self) -> Result<T, FrameError> {
        loop {
            if let Some(body) = self.decoder.next_message().context(FrameSnafu)? {
                let (message, rest) = postcard::take_from_bytes(&body).context(DecodeSnafu)?;
                if announces_fragments(rest) {
                    self.peer.fragments.store(true, Ordering::Relaxed);
                }
                return Ok(message);
            }
            let buffer = self.decoder.buffer();
            buffer.reserve(READ_LEN);
            if self.half.read_buf(buffer).await.context(IoSnafu)? == 0 {
                return ClosedSnafu.fail();
            }
            let now = self.peer.clock.now();
            self.peer.last_bytes_at.store(now.0, Ordering::Relaxed);
        }
    }
}

/// The writing half of a session.
pub(crate) struct Writer<'a, W> {
    half: W,
    peer: &'a Peer,
    encoder: MessageEncoder,
    frames: Vec<u8>,
    is_first: bool,
}

impl<'a, W: AsyncWrite + Unpin> Writer<'a, W> {
    pub(crate) fn new(half: W, peer: &'a Peer) -> Self {
        Self {
            half,
            peer,
            encoder: MessageEncoder::default(),
            frames: Vec::new(),
            is_first: true,
        }
    }

    /// Encodes a message, which goes out with the next writes.
    ///
    /// # Errors
    ///
    /// The message could not be encoded.
    pub(crate) fn push<T: SessionMessage>(&mut self, message: &T) -> Result<(), FrameError> {
        let mut body = postcard::to_stdvec(message).context(DecodeSnafu)?;
        let is_first = std::mem::take(&mut self.is_first);
        if is_first {
            announce_fragments(&mut body);
        }
        let priority = if message.is_urgent() {
            Priority::Urgent
        } else if message.replaces_earlier() && !is_first {
            // The first message carries the announcement, so it must go out.
            Priority::Latest
        } else {
            Priority::Bulk
        };
        self.encoder.push(priority, body).context(FrameSnafu)
    }

    /// True if no message waits for the next write.
    pub(crate) fn is_empty(&self) -> bool {
        self.encoder.is_empty()
    }

    /// Writes the messages that wait here and in the queue, up to one fragment.
    ///
    /// # Errors
    ///
    /// The connection failed, or a message could not be encoded.
    pub(crate) async fn write<T: SessionMessage>(
        &mut self,
        queue: &mut OutgoingReceiver<T>,
    ) -> Result<(), FrameError> {
        while let Some(message) = queue.try_recv() {
            self.push(&message)?;
        }
        if self.peer.fragments.load(Ordering::Relaxed) {
            self.encoder.allow_fragments();
        }
        self.frames.clear();
        self.frames.shrink_to(KEPT_BUFFER);
        self.encoder.fill(&mut self.frames);
        self.half.write_all(&self.frames).await.context(IoSnafu)?;
        queue.release(&self.encoder);
        Ok(())
    }
}
