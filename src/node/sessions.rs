//! Sessions that other processes opened to this control instance or entry.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::frames::{DroppedSnafu, FrameError, IoSnafu, Peer, Reader, Writer};
use super::outgoing::{self, NotQueued, OutgoingReceiver, OutgoingSender};
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::dispatch::wire::{AcceptorMessage, InitiatorMessage};
use crate::dispatch::worker::SessionId;
use crate::events;
use crate::shell::clock::Clock;

/// A session is closed after this long without a byte. The process that opened it has a shorter
/// limit and notices earlier.
const SILENCE_TIMEOUT: Millis = Millis(1_500);
/// Interval between checks for silence.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// An event of a session.
#[derive(Debug)]
pub(crate) enum SessionEvent {
    Opened(SessionId, OutgoingSender<AcceptorMessage>),
    Message(SessionId, InitiatorMessage),
    Closed(SessionId),
}

/// The queues of outgoing messages, one for each open session.
#[derive(Debug, Default)]
pub(crate) struct SessionQueues {
    queues: Table<SessionId, OutgoingSender<AcceptorMessage>>,
}

impl SessionQueues {
    pub(crate) fn opened(&mut self, id: SessionId, queue: OutgoingSender<AcceptorMessage>) {
        self.queues.insert(id, queue);
    }

    pub(crate) fn closed(&mut self, id: SessionId) {
        self.queues.remove(&id);
    }

    /// Queues a message. If the queue is full, the session is dropped and the peer has to
    /// reconnect. A message that no session could carry is dropped alone.
    pub(crate) fn send(&mut self, id: SessionId, message: AcceptorMessage) {
        let Some(queue) = self.queues.get(&id) else {
            return;
        };
        match queue.send(message) {
            Ok(()) | Err(NotQueued::TooLong) => {}
            Err(NotQueued::Full | NotQueued::Closed) => {
                self.queues.remove(&id);
            }
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
            Ok((stream, address)) => {
                last_id += 1;
                let session = Session {
                    id: SessionId(last_id),
                    clock,
                    event_tx: event_tx.clone(),
                    wrap,
                };
                tokio::spawn(session.run(stream, address));
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
    async fn run(self, stream: TcpStream, address: SocketAddr) {
        let (tx, rx) = outgoing::queue(address.to_string());
        let opened = (self.wrap)(SessionEvent::Opened(self.id, tx));
        if self.event_tx.send(opened).await.is_err() {
            return;
        }
        match self.exchange_messages(stream, rx).await {
            Err(error @ (FrameError::Frame { .. } | FrameError::Decode { .. })) => {
                events::BAD_FRAME.log(format_args!("from={address} why={error}"));
            }
            Err(error) => log::debug!("session {}: {error}", self.id.0),
            Ok(()) => {}
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
        mut rx: OutgoingReceiver<AcceptorMessage>,
    ) -> Result<(), FrameError> {
        stream.set_nodelay(true).context(IoSnafu)?;
        let (read, write) = stream.into_split();
        let peer = Peer::new(self.clock);
        let reading = async {
            let mut reader = Reader::new(read, &peer);
            loop {
                let message: InitiatorMessage = reader.next().await?;
                let event = (self.wrap)(SessionEvent::Message(self.id, message));
                if self.event_tx.send(event).await.is_err() {
                    return DroppedSnafu.fail();
                }
            }
        };
        let writing = async {
            let mut writer = Writer::new(write, &peer);
            loop {
                if writer.is_empty() {
                    match rx.recv().await {
                        Some(message) => writer.push(&message)?,
                        None => return DroppedSnafu.fail(),
                    }
                }
                writer.write(&mut rx).await?;
            }
        };
        tokio::select! {
            ended = reading => ended,
            ended = writing => ended,
            ended = peer.watch_silence(SILENCE_TIMEOUT, SILENCE_CHECK_INTERVAL) => ended,
        }
    }
}
