//! Framing of the messages on a session. A long message is cut into fragments, between which urgent
//! messages go out, so that no message keeps a session silent.
//!
//! A frame is its length in four bytes, most significant first, and that many bytes of body. The
//! body of a plain frame is a whole message; its first byte, the number of an enum variant, is below
//! [`FIRST_HEADER_KIND`]. The length of a fragment has [`FRAGMENT_FLAG`] set. Its body starts with
//! the kind of header and the length of the fragment; the first fragment of a message goes on with
//! the length and the checksum of the message.

use std::collections::VecDeque;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use crc32fast::Hasher;
use snafu::{Snafu, ensure};

/// Longest message in bytes.
pub(crate) const MAX_MESSAGE: usize = 64 << 20;
/// Longest part of a message in one frame, in bytes; a longer message is cut. On a link of 1 MB/s it
/// takes 33 ms, a small part of the time after which a session counts as silent.
const MAX_FRAGMENT: usize = 32 << 10;
/// Length in bytes of the field before each frame.
const PREFIX_LEN: usize = 4;
/// Set in the length of a fragment. No length of a plain frame is as large.
const FRAGMENT_FLAG: u32 = 1 << 31;
/// The lowest kind of header. No message starts with as high a byte.
const FIRST_HEADER_KIND: u8 = 0x80;
/// Kind of the header of a message's first fragment, and of its other fragments.
const HEAD: u8 = 0xff;
const TAIL: u8 = 0xfe;
/// Length in bytes of the headers: the kind and the fragment's length; for the first fragment also
/// the length and the checksum of the message.
const TAIL_HEADER: usize = 5;
const HEAD_HEADER: usize = 13;
/// Follows the first message in its frame when the sender understands fragments. A sender that does
/// not writes nothing there, and a receiver that does not ignores it.
const ANNOUNCEMENT: [u8; 2] = [0xff, 1];

/// Why a message cannot be sent, or what arrived is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum FragmentError {
    /// A message is longer than a session carries.
    #[snafu(display("message of {bytes} bytes, more than {MAX_MESSAGE}"))]
    TooLong {
        /// Its length, or the length that its first fragment states.
        bytes: usize,
    },
    /// A message is empty or starts with a byte that no message starts with.
    #[snafu(display("not a message"))]
    NotMessage,
    /// A fragment's header is not valid or does not match the fragment.
    #[snafu(display("malformed fragment"))]
    Malformed,
    /// A fragment does not follow the one before.
    #[snafu(display("fragment out of order"))]
    OutOfOrder,
    /// A message differs from the one that was cut.
    #[snafu(display("checksum of a fragmented message"))]
    Checksum,
}

/// Whether a message may be sent before those that were queued earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// It goes between the fragments of a long message.
    Urgent,
    /// It goes out after all bulk messages that were queued before it.
    Bulk,
    /// A bulk message that makes the earlier ones of this priority useless. Those of which nothing has
    /// gone out are dropped, so a slow session carries at most one that is outdated.
    Latest,
}

/// Marks the first message of a session: its sender understands fragments.
///
/// ```
/// let mut message = postcard::to_stdvec("hello").unwrap();
/// fulmardrift::announce_fragments(&mut message);
/// let (text, rest) = postcard::take_from_bytes::<&str>(&message).unwrap();
/// assert_eq!(text, "hello");
/// assert!(fulmardrift::announces_fragments(rest));
/// ```
pub fn announce_fragments(message: &mut Vec<u8>) {
    message.extend_from_slice(&ANNOUNCEMENT);
}

/// Returns true if `rest`, which follows the first message of a session in its frame, says that the
/// sender understands fragments.
///
/// ```
/// assert!(!fulmardrift::announces_fragments(&[]));
/// ```
#[must_use]
pub fn announces_fragments(rest: &[u8]) -> bool {
    rest == ANNOUNCEMENT
}

/// A message that waits, with its place in the order of all messages.
#[derive(Debug)]
struct Waiting {
    number: u64,
    body: Vec<u8>,
    is_latest: bool,
}

/// Queues encoded messages and turns them into frames.
///
/// Bulk messages keep their order. An urgent message overtakes only what does not fit into the next
/// write, so that the order is kept among messages that go out together.
///
/// ```
/// use fulmardrift::{MessageDecoder, MessageEncoder, Priority};
/// let mut encoder = MessageEncoder::default();
/// encoder.allow_fragments();
/// encoder.push(Priority::Bulk, vec![1; 100_000]).unwrap();
/// encoder.push(Priority::Urgent, vec![2]).unwrap();
/// let mut decoder = MessageDecoder::default();
/// let mut arrived = Vec::new();
/// let mut frames = Vec::new();
/// while encoder.fill(&mut frames) {
///     decoder.extend(&frames);
///     frames.clear();
///     while let Some(message) = decoder.next_message().unwrap() {
///         arrived.push(message);
///     }
/// }
/// assert_eq!(arrived[0], vec![2]);
/// assert_eq!(arrived[1], vec![1; 100_000]);
/// ```
#[derive(Debug, Default)]
pub struct MessageEncoder {
    urgent: VecDeque<Waiting>,
    bulk: VecDeque<Waiting>,
    // Bytes of the first bulk message that went out in fragments.
    sent: usize,
    last_number: u64,
    // Length of all waiting messages.
    bytes: usize,
    fragments: bool,
}

impl MessageEncoder {
    /// The receiver understands fragments. Until then a long message goes out in one frame.
    pub fn allow_fragments(&mut self) {
        self.fragments = true;
    }

    /// Queues an encoded message.
    ///
    /// # Errors
    ///
    /// The message is longer than a session carries, or not a message; it is dropped.
    pub fn push(&mut self, priority: Priority, body: Vec<u8>) -> Result<(), FragmentError> {
        let bytes = body.len();
        ensure!(bytes <= MAX_MESSAGE, TooLongSnafu { bytes });
        ensure!(starts_message(&body), NotMessageSnafu);
        let is_latest = priority == Priority::Latest;
        if is_latest {
            self.drop_outdated();
        }
        self.bytes += bytes;
        self.last_number += 1;
        let number = self.last_number;
        let queue = match priority {
            Priority::Urgent => &mut self.urgent,
            Priority::Bulk | Priority::Latest => &mut self.bulk,
        };
        queue.push_back(Waiting {
            number,
            body,
            is_latest,
        });
        Ok(())
    }

    /// Drops the messages that a newer one makes useless, but for one that goes out already.
    fn drop_outdated(&mut self) {
        let mut is_going_out = self.sent > 0;
        let mut dropped = 0;
        self.bulk.retain(|waiting| {
            let keep = std::mem::take(&mut is_going_out) || !waiting.is_latest;
            if !keep {
                dropped += waiting.body.len();
            }
            keep
        });
        self.bytes -= dropped;
    }

    /// Number of messages that have not gone out completely.
    #[must_use]
    pub fn len(&self) -> usize {
        self.urgent.len() + self.bulk.len()
    }

    /// True if no message waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.bulk.is_empty()
    }

    /// Length in bytes of the messages that have not gone out completely.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Appends the frames of the next write to `out`: what waits, up to the length of a fragment.
    /// Returns false if nothing waits.
    pub fn fill(&mut self, out: &mut Vec<u8>) -> bool {
        if self.is_empty() {
            return false;
        }
        let mut room = MAX_FRAGMENT;
        loop {
            let Some(bulk) = self.bulk.front() else {
                self.write_urgent(u64::MAX, out);
                return true;
            };
            let len = bulk.body.len();
            self.write_urgent(bulk.number, out);
            if self.sent == 0 && len <= room {
                room -= len;
                self.write_bulk(out);
                continue;
            }
            self.write_urgent(u64::MAX, out);
            if len > MAX_FRAGMENT && room == MAX_FRAGMENT {
                if self.fragments || self.sent > 0 {
                    self.write_fragment(out);
                } else {
                    self.write_bulk(out);
                }
            }
            return true;
        }
    }

    /// Writes the urgent messages that were queued before the message with this number.
    fn write_urgent(&mut self, before: u64, out: &mut Vec<u8>) {
        while let Some(waiting) = self.urgent.pop_front_if(|first| first.number < before) {
            self.bytes -= waiting.body.len();
            write_plain(&waiting.body, out);
        }
    }

    /// Writes the first bulk message in one frame.
    fn write_bulk(&mut self, out: &mut Vec<u8>) {
        if let Some(waiting) = self.bulk.pop_front() {
            self.bytes -= waiting.body.len();
            write_plain(&waiting.body, out);
        }
    }

    /// Writes the next fragment of the first bulk message.
    fn write_fragment(&mut self, out: &mut Vec<u8>) {
        let Some(Waiting { body, .. }) = self.bulk.front() else {
            return;
        };
        let end = body.len().min(self.sent + MAX_FRAGMENT);
        let part = &body[self.sent..end];
        if self.sent == 0 {
            out.put_u32(FRAGMENT_FLAG | to_u32(HEAD_HEADER + part.len()));
            out.put_u8(HEAD);
            out.put_u32(to_u32(part.len()));
            out.put_u32(to_u32(body.len()));
            out.put_u32(crc32fast::hash(body));
        } else {
            out.put_u32(FRAGMENT_FLAG | to_u32(TAIL_HEADER + part.len()));
            out.put_u8(TAIL);
            out.put_u32(to_u32(part.len()));
        }
        out.extend_from_slice(part);
        self.sent = end;
        if end == body.len() {
            self.bytes -= end;
            self.sent = 0;
            self.bulk.pop_front();
        }
    }
}

fn write_plain(body: &[u8], out: &mut Vec<u8>) {
    out.put_u32(to_u32(body.len()));
    out.extend_from_slice(body);
}

/// Converts a length that is at most [`MAX_MESSAGE`].
fn to_u32(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

fn starts_message(body: &[u8]) -> bool {
    body.first().is_some_and(|byte| *byte < FIRST_HEADER_KIND)
}

/// A message of which some fragments have arrived.
#[derive(Debug)]
struct OpenMessage {
    len: usize,
    checksum: u32,
    hasher: Hasher,
    body: BytesMut,
}

/// Turns received bytes into messages. See [`MessageEncoder`] for an example.
///
/// It holds no more than one message that arrives in fragments and one frame, and allocates only for
/// bytes that have arrived.
#[derive(Debug, Default)]
pub struct MessageDecoder {
    received: BytesMut,
    open: Option<OpenMessage>,
}

impl MessageDecoder {
    /// Appends received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.received.extend_from_slice(bytes);
    }

    /// The buffer to which received bytes are appended.
    pub(crate) fn buffer(&mut self) -> &mut BytesMut {
        &mut self.received
    }

    /// Returns true if nothing of a message has arrived that is not complete.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.received.is_empty() && self.open.is_none()
    }

    /// Returns the next complete message, or `None` until more bytes have arrived.
    ///
    /// # Errors
    ///
    /// What arrived is not valid. The session must end, as no later frame can be found.
    pub fn next_message(&mut self) -> Result<Option<Bytes>, FragmentError> {
        while let Some(prefix) = self.received.first_chunk::<PREFIX_LEN>() {
            let prefix = u32::from_be_bytes(*prefix);
            let len = (prefix & !FRAGMENT_FLAG) as usize;
            let is_fragment = prefix & FRAGMENT_FLAG != 0;
            if is_fragment {
                ensure!(len <= HEAD_HEADER + MAX_FRAGMENT, MalformedSnafu);
            } else {
                ensure!(len <= MAX_MESSAGE, TooLongSnafu { bytes: len });
            }
            if self.received.len() < PREFIX_LEN + len {
                return Ok(None);
            }
            self.received.advance(PREFIX_LEN);
            let body = self.received.split_to(len).freeze();
            if !is_fragment {
                ensure!(starts_message(&body), NotMessageSnafu);
                return Ok(Some(body));
            }
            if let Some(message) = self.add_fragment(&body)? {
                return Ok(Some(message));
            }
        }
        Ok(None)
    }

    /// Adds a fragment to the open message, and returns that once it is complete.
    fn add_fragment(&mut self, mut frame: &[u8]) -> Result<Option<Bytes>, FragmentError> {
        let kind = frame.try_get_u8().map_err(malformed)?;
        let stated = frame.try_get_u32().map_err(malformed)? as usize;
        match kind {
            HEAD => {
                ensure!(self.open.is_none(), OutOfOrderSnafu);
                let len = frame.try_get_u32().map_err(malformed)? as usize;
                let checksum = frame.try_get_u32().map_err(malformed)?;
                ensure!(len <= MAX_MESSAGE, TooLongSnafu { bytes: len });
                self.open = Some(OpenMessage {
                    len,
                    checksum,
                    hasher: Hasher::new(),
                    body: BytesMut::new(),
                });
            }
            TAIL => {}
            _ => return MalformedSnafu.fail(),
        }
        ensure!(stated == frame.len() && stated > 0, MalformedSnafu);
        let Some(open) = &mut self.open else {
            return OutOfOrderSnafu.fail();
        };
        ensure!(open.body.len() + stated <= open.len, MalformedSnafu);
        open.hasher.update(frame);
        open.body.extend_from_slice(frame);
        if open.body.len() < open.len {
            return Ok(None);
        }
        let Some(open) = self.open.take() else {
            return OutOfOrderSnafu.fail();
        };
        ensure!(open.hasher.finalize() == open.checksum, ChecksumSnafu);
        ensure!(starts_message(&open.body), NotMessageSnafu);
        Ok(Some(open.body.freeze()))
    }
}

fn malformed(_: bytes::TryGetError) -> FragmentError {
    FragmentError::Malformed
}
