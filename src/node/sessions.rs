//! Sessions that other processes opened to this control instance.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::frames::{DroppedSnafu, FrameError, IoSnafu, QuietSnafu, Reader, Writer};
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::dispatch::wire::{AcceptorMessage, InitiatorMessage};
use crate::dispatch::worker::SessionId;
use crate::events;
use crate::shell::clock::Clock;

/// Messages waiting for one session; a peer that does not read loses it.
const WAITING: usize = 4_096;
/// A session silent for so long is closed; its opener notices earlier.
const SILENCE: Millis = Millis(1_500);
/// Between looks at the silence.
const WATCH: Duration = Duration::from_millis(250);
/// Pause after a connection could not be accepted.
const PAUSE: Duration = Duration::from_millis(50);

/// What happens on the sessions.
#[derive(Debug)]
pub(crate) enum SessionEvent {
    Opened(SessionId, mpsc::Sender<AcceptorMessage>),
    Message(SessionId, InitiatorMessage),
    Closed(SessionId),
}

/// The ways to the open sessions.
#[derive(Debug, Default)]
pub(crate) struct Outgoing {
    queues: Table<SessionId, mpsc::Sender<AcceptorMessage>>,
}

impl Outgoing {
    pub(crate) fn opened(&mut self, id: SessionId, queue: mpsc::Sender<AcceptorMessage>) {
        self.queues.insert(id, queue);
    }

    pub(crate) fn closed(&mut self, id: SessionId) {
        self.queues.remove(&id);
    }

    /// Sends a message; a peer that does not keep up loses its session and starts
    /// anew.
    pub(crate) fn send(&mut self, id: SessionId, down: AcceptorMessage) {
        let queue = self.queues.get(&id);
        if queue.is_some_and(|queue| queue.try_send(down).is_err()) {
            self.queues.remove(&id);
        }
    }
}

/// Accepts sessions for as long as somebody takes their events.
pub(crate) async fn serve<T>(
    listener: TcpListener,
    clock: Clock,
    tell: mpsc::Sender<T>,
    wrap: fn(SessionEvent) -> T,
) where
    T: Send + 'static,
{
    let mut last = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                last += 1;
                let session = Session {
                    id: SessionId(last),
                    clock,
                    tell: tell.clone(),
                    wrap,
                };
                tokio::spawn(session.run(stream));
            }
            Err(error) => {
                events::SERVER_FAILED.log(format_args!("sessions: {error}"));
                sleep(PAUSE).await;
            }
        }
        if tell.is_closed() {
            return;
        }
    }
}

struct Session<T> {
    id: SessionId,
    clock: Clock,
    tell: mpsc::Sender<T>,
    wrap: fn(SessionEvent) -> T,
}

impl<T: Send + 'static> Session<T> {
    async fn run(self, stream: TcpStream) {
        let (tx, rx) = mpsc::channel(WAITING);
        let opened = (self.wrap)(SessionEvent::Opened(self.id, tx));
        if self.tell.send(opened).await.is_err() {
            return;
        }
        if let Err(error) = self.talk(stream, rx).await {
            log::debug!("session {}: {error}", self.id.0);
        }
        let closed = (self.wrap)(SessionEvent::Closed(self.id));
        if self.tell.send(closed).await.is_err() {
            log::debug!("session {}: the instance stops", self.id.0);
        }
    }

    async fn talk(
        &self,
        stream: TcpStream,
        mut rx: mpsc::Receiver<AcceptorMessage>,
    ) -> Result<(), FrameError> {
        stream.set_nodelay(true).context(IoSnafu)?;
        let (read, write) = stream.into_split();
        let heard = Arc::new(AtomicU64::new(self.clock.now().0));
        let reading = async {
            let mut reader = Reader::new(read);
            loop {
                let up: InitiatorMessage = reader.next().await?;
                heard.store(self.clock.now().0, Ordering::Relaxed);
                let message = (self.wrap)(SessionEvent::Message(self.id, up));
                if self.tell.send(message).await.is_err() {
                    return DroppedSnafu.fail();
                }
            }
        };
        let writing = async {
            let mut writer = Writer::new(write);
            loop {
                match rx.recv().await {
                    Some(down) => writer.send(&down, &mut rx).await?,
                    None => return DroppedSnafu.fail(),
                }
            }
        };
        let watching = async {
            loop {
                sleep(WATCH).await;
                let last = Millis(heard.load(Ordering::Relaxed));
                let quiet = self.clock.now().since(last);
                if quiet > SILENCE {
                    return QuietSnafu { ms: quiet.0 }.fail();
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
