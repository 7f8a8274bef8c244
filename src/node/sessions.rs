//! Sessions that other processes opened to this control instance or entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::frames::{DroppedSnafu, FrameError, IoSnafu, Reader, SilentSnafu, Writer};
use super::timer::shared_interval;
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::dispatch::wire::{AcceptorMessage, InitiatorMessage};
use crate::dispatch::worker::SessionId;
use crate::events;
use crate::shell::clock::Clock;

/// Number of messages that may wait for one session. The session of a peer that reads too slowly is
/// closed.
const MESSAGE_QUEUE_LEN: usize = 4_096;
/// A session is closed after this long without a message. The process that opened it has a shorter
/// limit and notices earlier.
const SILENCE_TIMEOUT: Millis = Millis(1_500);
/// Interval between checks for silence.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// An event of a session.
#[derive(Debug)]
pub(crate) enum SessionEvent {
    Opened(SessionId, mpsc::Sender<AcceptorMessage>),
    Message(SessionId, InitiatorMessage),
    Closed(SessionId),
}

/// The queues of outgoing messages, one for each open session.
#[derive(Debug, Default)]
pub(crate) struct SessionQueues {
    queues: Table<SessionId, mpsc::Sender<AcceptorMessage>>,
}

impl SessionQueues {
    pub(crate) fn opened(&mut self, id: SessionId, queue: mpsc::Sender<AcceptorMessage>) {
        self.queues.insert(id, queue);
    }

    pub(crate) fn closed(&mut self, id: SessionId) {
        self.queues.remove(&id);
    }

    /// Queues a message. If the queue is full, the session is dropped and the peer has to
    /// reconnect.
    pub(crate) fn send(&mut self, id: SessionId, message: AcceptorMessage) {
        let queue = self.queues.get(&id);
        if queue.is_some_and(|queue| queue.try_send(message).is_err()) {
            self.queues.remove(&id);
        }
    }
}

/// Accepts sessions until the receiver of their events has closed.
pub(crate) async fn serve<T>(
    listener: TcpListener,
    clock: Clock,
    event_tx: mpsc::Sender<T>,
    wrap: fn(SessionEvent) -> T,
) where
    T: Send + 'static,
{
    let mut last_id = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                last_id += 1;
                let session = Session {
                    id: SessionId(last_id),
                    clock,
                    event_tx: event_tx.clone(),
                    wrap,
                };
                tokio::spawn(session.run(stream));
            }
            Err(error) => {
                events::SERVER_FAILED.log(format_args!("sessions: {error}"));
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
        if event_tx.is_closed() {
            return;
        }
    }
}

struct Session<T> {
    id: SessionId,
    clock: Clock,
    event_tx: mpsc::Sender<T>,
    wrap: fn(SessionEvent) -> T,
}

impl<T: Send + 'static> Session<T> {
    async fn run(self, stream: TcpStream) {
        let (tx, rx) = mpsc::channel(MESSAGE_QUEUE_LEN);
        let opened = (self.wrap)(SessionEvent::Opened(self.id, tx));
        if self.event_tx.send(opened).await.is_err() {
            return;
        }
        if let Err(error) = self.exchange_messages(stream, rx).await {
            log::debug!("session {}: {error}", self.id.0);
        }
        let closed = (self.wrap)(SessionEvent::Closed(self.id));
        if self.event_tx.send(closed).await.is_err() {
            log::debug!(
                "session {}: the receiver of its events has closed",
                self.id.0
            );
        }
    }

    async fn exchange_messages(
        &self,
        stream: TcpStream,
        mut rx: mpsc::Receiver<AcceptorMessage>,
    ) -> Result<(), FrameError> {
        stream.set_nodelay(true).context(IoSnafu)?;
        let (read, write) = stream.into_split();
        let last_message_at = Arc::new(AtomicU64::new(self.clock.now().0));
        let reading = async {
            let mut reader = Reader::new(read);
            loop {
                let message: InitiatorMessage = reader.next().await?;
                last_message_at.store(self.clock.now().0, Ordering::Relaxed);
                let event = (self.wrap)(SessionEvent::Message(self.id, message));
                if self.event_tx.send(event).await.is_err() {
                    return DroppedSnafu.fail();
                }
            }
        };
        let writing = async {
            let mut writer = Writer::new(write);
            loop {
                match rx.recv().await {
                    Some(message) => writer.send(&message, &mut rx).await?,
                    None => return DroppedSnafu.fail(),
                }
            }
        };
        let watching = async {
            let mut check = shared_interval(SILENCE_CHECK_INTERVAL);
            loop {
                check.tick().await;
                let last = Millis(last_message_at.load(Ordering::Relaxed));
                let silence = self.clock.now().since(last);
                if silence > SILENCE_TIMEOUT {
                    return SilentSnafu { ms: silence.0 }.fail();
                }
            }
        };
        tokio::select! {
            ended = reading => ended,
            ended = writing => ended,
            ended = watching => ended,
        }
    }
}
