//! The messages that wait to be sent on one session, bounded in number and in bytes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::mpsc;

use super::fragments::{MAX_MESSAGE, MessageEncoder};
use crate::dispatch::wire::SessionMessage;
use crate::events;

/// Number of messages that may wait for one session.
const MAX_WAITING: usize = 4_096;
/// Bytes that may wait for one session before further bulk messages are refused.
const MAX_WAITING_BYTES: usize = 8 << 20;

/// Why a message was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotQueued {
    /// Too much waits already.
    Full,
    /// No session could carry the message.
    TooLong,
    /// The session has ended for good.
    Closed,
}

/// What waits in the queue, and in the encoder that the queue's receiver feeds.
#[derive(Debug, Default)]
struct Load {
    messages: AtomicUsize,
    bytes: AtomicUsize,
}

#[derive(Debug)]
struct Queued<T> {
    message: T,
    bytes: usize,
}

/// The sending half of a queue.
#[derive(Debug)]
pub(crate) struct OutgoingSender<T> {
    tx: mpsc::Sender<Queued<T>>,
    load: Arc<Load>,
    // The other process, as log lines name it.
    peer: String,
    // A message was refused because too much was waiting, and more than half of that still waits.
    full: AtomicBool,
}

/// The receiving half of a queue.
#[derive(Debug)]
pub(crate) struct OutgoingReceiver<T> {
    rx: mpsc::Receiver<Queued<T>>,
    load: Arc<Load>,
    // Messages and bytes that were taken and still count as waiting.
    taken: (usize, usize),
}

/// Creates the queue of a session to `peer`.
pub(crate) fn queue<T>(peer: String) -> (OutgoingSender<T>, OutgoingReceiver<T>) {
    let (tx, rx) = mpsc::channel(MAX_WAITING);
    let load = Arc::new(Load::default());
    let sender = OutgoingSender {
        tx,
        load: Arc::clone(&load),
        peer,
        full: AtomicBool::new(false),
    };
    let receiver = OutgoingReceiver {
        rx,
        load,
        taken: (0, 0),
    };
    (sender, receiver)
}

impl<T: SessionMessage> OutgoingSender<T> {
    /// Queues a message, unless too much waits or the message is too long.
    pub(crate) fn send(&self, message: T) -> Result<(), NotQueued> {
        // The encoder reports a message that cannot be encoded.
        let bytes = postcard::experimental::serialized_size(&message).unwrap_or(0);
        if bytes > MAX_MESSAGE {
            events::MESSAGE_TOO_LONG.log(format_args!(
                "to={} kind={} bytes={bytes} limit={MAX_MESSAGE}",
                self.peer,
                message.kind()
            ));
            return Err(NotQueued::TooLong);
        }
        let messages = self.load.messages.load(Ordering::Relaxed);
        let waiting = self.load.bytes.load(Ordering::Relaxed);
        let is_full =
            messages >= MAX_WAITING || (waiting >= MAX_WAITING_BYTES && !message.is_urgent());
        if is_full {
            if !self.full.swap(true, Ordering::Relaxed) {
                events::SESSION_QUEUE_FULL.log(format_args!(
                    "to={} kind={} messages={messages} bytes={waiting}",
                    self.peer,
                    message.kind()
                ));
            }
            return Err(NotQueued::Full);
        }
        if messages < MAX_WAITING / 2 && waiting < MAX_WAITING_BYTES / 2 {
            self.full.store(false, Ordering::Relaxed);
        }
        self.load.add(1, bytes);
        self.tx.try_send(Queued { message, bytes }).map_err(|_| {
            self.load.subtract(1, bytes);
            NotQueued::Closed
        })
    }
}

impl<T> OutgoingReceiver<T> {
    /// Waits for the next message; `None` once the sender is gone and nothing is queued.
    pub(crate) async fn recv(&mut self) -> Option<T> {
        let queued = self.rx.recv().await?;
        Some(self.take(queued))
    }

    pub(crate) fn try_recv(&mut self) -> Option<T> {
        let queued = self.rx.try_recv().ok()?;
        Some(self.take(queued))
    }

    fn take(&mut self, queued: Queued<T>) -> T {
        self.taken.0 += 1;
        self.taken.1 += queued.bytes;
        queued.message
    }

    /// Ends the count of those messages that have gone out: all that were taken and do not wait in
    /// `encoder`.
    pub(crate) fn release(&mut self, encoder: &MessageEncoder) {
        self.release_except(encoder.len(), encoder.bytes());
    }

    /// Drops all messages, as they are not valid in the next session.
    pub(crate) fn clear(&mut self) {
        while self.try_recv().is_some() {}
        self.release_except(0, 0);
    }

    fn release_except(&mut self, messages: usize, bytes: usize) {
        let gone = (
            self.taken.0.saturating_sub(messages),
            self.taken.1.saturating_sub(bytes),
        );
        self.taken.0 -= gone.0;
        self.taken.1 -= gone.1;
        self.load.subtract(gone.0, gone.1);
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.rx.is_closed()
    }
}

impl Load {
    fn add(&self, messages: usize, bytes: usize) {
        self.messages.fetch_add(messages, Ordering::Relaxed);
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    fn subtract(&self, messages: usize, bytes: usize) {
        self.messages.fetch_sub(messages, Ordering::Relaxed);
        self.bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}
