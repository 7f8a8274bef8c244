//! A link: a session to a control instance or an entry that is reopened whenever it closes.

use std::future::ready;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use backon::{BackoffBuilder, ExponentialBuilder};
use snafu::ResultExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::time::{sleep, timeout};

use super::frames::{DroppedSnafu, FrameError, IoSnafu, Peer, Reader, Writer};
use super::outgoing::{self, NotQueued, OutgoingReceiver, OutgoingSender};
use super::timer::shared_interval;
use crate::core::clock::Millis;
use crate::dispatch::call_router::LinkId;
use crate::dispatch::wire::{AcceptorMessage, Initiator, InitiatorMessage};
use crate::events;
use crate::shell::clock::Clock;

/// Interval between heartbeats to a control instance.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// A session is closed after this long without a byte: three heartbeats were lost.
const SILENCE_TIMEOUT: Millis = Millis(900);
/// Interval between checks for silence.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Longest time to open a connection; too short for the retransmission of a lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Shortest and longest pause between connection attempts. A process that comes back is reached
/// well within the time of an election.
const RECONNECT_PAUSE: (Duration, Duration) =
    (Duration::from_millis(40), Duration::from_millis(160));

/// An event of a link.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    Connected(LinkId),
    Disconnected(LinkId),
    Message(LinkId, AcceptorMessage),
}

/// A link. Dropping it closes its session.
#[derive(Debug)]
pub(crate) struct Link {
    tx: OutgoingSender<InitiatorMessage>,
    wake: Arc<Notify>,
}

impl Link {
    /// Tries to connect at once if there is no session: the peer has just shown that it is up.
    pub(crate) fn connect_now(&self) {
        self.wake.notify_one();
    }

    /// Sends a message, or drops it if too much is waiting. The session is slow or gone then, and
    /// its user starts over when the next session opens.
    pub(crate) fn send(&self, message: InitiatorMessage) {
        if self.tx.send(message) == Err(NotQueued::Closed) {
            log::debug!("a session's queue is closed");
        }
    }
}

/// How a process opens its sessions.
#[derive(Debug, Clone)]
pub(crate) struct Origin {
    pub(crate) initiator: Initiator,
    /// Source address of its connections; `None` for the one that the system chooses.
    pub(crate) bind_ip: Option<Ipv4Addr>,
    /// Interval between its heartbeats.
    pub(crate) heartbeat: Duration,
}

impl Origin {
    async fn connect(&self, address: SocketAddrV4) -> io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        if let Some(ip) = self.bind_ip {
            socket.bind(SocketAddr::new(IpAddr::V4(ip), 0))?;
        }
        socket.connect(SocketAddr::V4(address)).await
    }
}

/// Opens a link. Its task reopens the session until the link or the receiver of its events is
/// dropped.
pub(crate) fn open(
    id: LinkId,
    address: SocketAddrV4,
    origin: Origin,
    clock: Clock,
    event_tx: mpsc::Sender<LinkEvent>,
) -> Link {
    let (tx, rx) = outgoing::queue(address.to_string());
    let wake = Arc::new(Notify::new());
    let dialer = Dialer {
        id,
        address,
        origin,
        clock,
        event_tx,
        rx,
        wake: Arc::clone(&wake),
    };
    tokio::spawn(dialer.run());
    Link { tx, wake }
}

struct Dialer {
    id: LinkId,
    address: SocketAddrV4,
    origin: Origin,
    clock: Clock,
    event_tx: mpsc::Sender<LinkEvent>,
    rx: OutgoingReceiver<InitiatorMessage>,
    wake: Arc<Notify>,
}

impl Dialer {
    async fn run(mut self) {
        let backoff = ExponentialBuilder::default()
            .with_min_delay(RECONNECT_PAUSE.0)
            .with_max_delay(RECONNECT_PAUSE.1)
            .with_jitter()
            .without_max_times();
        let mut pauses = backoff.build();
        loop {
            let attempt = timeout(CONNECT_TIMEOUT, self.origin.connect(self.address));
            let stream = tokio::select! {
                stream = attempt => stream,
                // A packet of this attempt may be lost, as the peer was not up yet.
                () = self.wake.notified() => {
                    pauses = backoff.build();
                    continue;
                }
            };
            if let Ok(Ok(stream)) = stream {
                pauses = backoff.build();
                if self.run_session(stream).await.is_err() {
                    return;
                }
            }
            if self.rx.is_closed() {
                return;
            }
            let pause = pauses.next().unwrap_or(RECONNECT_PAUSE.1);
            tokio::select! {
                () = sleep(pause) => {}
                () = self.wake.notified() => pauses = backoff.build(),
            }
        }
    }

    /// Runs one session until it ends. Fails when the link is no longer needed.
    async fn run_session(&mut self, stream: TcpStream) -> Result<(), ()> {
        // Messages queued for the former session are not valid in this one.
        self.rx.clear();
        events::SESSION_UP.log(format_args!("to={}", self.address));
        self.event_tx
            .send(LinkEvent::Connected(self.id))
            .await
            .map_err(|_| ())?;
        let ended = self.exchange_messages(stream).await;
        if let Err(error) = &ended {
            events::SESSION_DOWN.log(format_args!("to={} why={error}", self.address));
        }
        self.event_tx
            .send(LinkEvent::Disconnected(self.id))
            .await
            .map_err(|_| ())?;
        match ended {
            Err(FrameError::Dropped) => Err(()),
            _ => Ok(()),
        }
    }

    async fn exchange_messages(&mut self, stream: TcpStream) -> Result<(), FrameError> {
        stream.set_nodelay(true).context(IoSnafu)?;
        let (read, write) = stream.into_split();
        let (id, peer) = (self.id, Peer::new(self.clock));
        let reading = async {
            let mut reader = Reader::new(read, &peer);
            loop {
                let message: AcceptorMessage = reader.next().await?;
                if self
                    .event_tx
                    .send(LinkEvent::Message(id, message))
                    .await
                    .is_err()
                {
                    return DroppedSnafu.fail();
                }
            }
        };
        let writer = Writer::new(write, &peer);
        tokio::select! {
            ended = reading => ended,
            ended = write_messages(writer, &self.origin, self.clock, &mut self.rx) => ended,
            ended = peer.watch_silence(SILENCE_TIMEOUT, SILENCE_CHECK_INTERVAL) => ended,
        }
    }
}

async fn write_messages(
    mut writer: Writer<'_, OwnedWriteHalf>,
    origin: &Origin,
    clock: Clock,
    rx: &mut OutgoingReceiver<InitiatorMessage>,
) -> Result<(), FrameError> {
    writer.push(&InitiatorMessage::Hello(origin.initiator.clone()))?;
    // The first grant must not wait for the shared timer.
    writer.push(&InitiatorMessage::Heartbeat(clock.now()))?;
    let mut heartbeat = shared_interval(origin.heartbeat);
    loop {
        writer.write(rx).await?;
        tokio::select! {
            biased;
            _ = heartbeat.tick() => writer.push(&InitiatorMessage::Heartbeat(clock.now()))?,
            () = ready(()), if !writer.is_empty() => {}
            message = rx.recv() => match message {
                Some(message) => writer.push(&message)?,
                None => return DroppedSnafu.fail(),
            },
        }
    }
}
