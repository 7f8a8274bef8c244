//! A session to a control instance, kept up by the process that opened it.

use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use backon::{BackoffBuilder, ExponentialBuilder};
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use super::frames::{DroppedSnafu, FrameError, IoSnafu, QuietSnafu, Reader, Writer};
use crate::core::clock::Millis;
use crate::dispatch::call_router::LinkId;
use crate::dispatch::wire::{AcceptorMessage, Initiator, InitiatorMessage};
use crate::events;
use crate::shell::clock::Clock;

/// Messages waiting for one session; a peer that does not keep up loses it.
const WAITING: usize = 4_096;
/// Between heartbeats.
const BEAT: Duration = Duration::from_millis(250);
/// A session silent for so long is given up: three heartbeats were lost.
const SILENCE: Millis = Millis(900);
/// Between looks at the silence.
const WATCH: Duration = Duration::from_millis(150);
/// Time a connection may take to open: a lost packet is not waited for.
const CONNECT: Duration = Duration::from_millis(400);
/// Shortest and longest pause between connections: a process that comes back is
/// found well within an election.
const PAUSE: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(160));

/// What happens on a link.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    Up(LinkId),
    Down(LinkId),
    Message(LinkId, AcceptorMessage),
}

/// A link; dropping it closes it.
#[derive(Debug)]
pub(crate) struct Link {
    tx: mpsc::Sender<InitiatorMessage>,
}

impl Link {
    /// Sends a message, unless too many are waiting: the session is then slow or
    /// gone, and whoever uses it starts anew with the next one.
    pub(crate) fn send(&self, up: InitiatorMessage) {
        if self.tx.try_send(up).is_err() {
            log::debug!("a session's queue is full or closed");
        }
    }
}

/// Starts to keep a session up.
pub(crate) fn open(
    id: LinkId,
    address: SocketAddrV4,
    who: Initiator,
    clock: Clock,
    tell: mpsc::Sender<LinkEvent>,
) -> Link {
    let (tx, rx) = mpsc::channel(WAITING);
    let dialer = Dialer {
        id,
        address,
        who,
        clock,
        tell,
        rx,
    };
    tokio::spawn(dialer.run());
    Link { tx }
}

struct Dialer {
    id: LinkId,
    address: SocketAddrV4,
    who: Initiator,
    clock: Clock,
    tell: mpsc::Sender<LinkEvent>,
    rx: mpsc::Receiver<InitiatorMessage>,
}

impl Dialer {
    async fn run(mut self) {
        let backoff = ExponentialBuilder::default()
            .with_min_delay(PAUSE.0)
            .with_max_delay(PAUSE.1)
            .with_jitter()
            .without_max_times();
        let mut pauses = backoff.build();
        loop {
            let stream = timeout(CONNECT, TcpStream::connect(self.address)).await;
            if let Ok(Ok(stream)) = stream {
                pauses = backoff.build();
                if self.session(stream).await.is_err() {
                    return;
                }
            }
            if self.rx.is_closed() {
                return;
            }
            sleep(pauses.next().unwrap_or(PAUSE.1)).await;
        }
    }

    /// One session from start to end; an error when nobody wants another.
    async fn session(&mut self, stream: TcpStream) -> Result<(), ()> {
        // What waited for the former session means nothing in this one.
        while self.rx.try_recv().is_ok() {}
        events::SESSION_UP.log(format_args!("to={}", self.address));
        self.tell
            .send(LinkEvent::Up(self.id))
            .await
            .map_err(|_| ())?;
        let ended = self.talk(stream).await;
        if let Err(error) = &ended {
            events::SESSION_DOWN.log(format_args!("to={} why={error}", self.address));
        }
        self.tell
            .send(LinkEvent::Down(self.id))
            .await
            .map_err(|_| ())?;
        match ended {
            Err(FrameError::Dropped) => Err(()),
            _ => Ok(()),
        }
    }

    async fn talk(&mut self, stream: TcpStream) -> Result<(), FrameError> {
        stream.set_nodelay(true).context(IoSnafu)?;
        let (read, write) = stream.into_split();
        let heard = AtomicU64::new(self.clock.now().0);
        let (id, clock) = (self.id, self.clock);
        let reading = async {
            let mut reader = Reader::new(read);
            loop {
                let down: AcceptorMessage = reader.next().await?;
                heard.store(clock.now().0, Ordering::Relaxed);
                if self.tell.send(LinkEvent::Message(id, down)).await.is_err() {
                    return DroppedSnafu.fail();
                }
            }
        };
        tokio::select! {
            ended = reading => ended,
            ended = write_all(write, &self.who, clock, &mut self.rx) => ended,
            ended = watch(&heard, clock) => ended,
        }
    }
}

async fn write_all(
    half: tokio::net::tcp::OwnedWriteHalf,
    who: &Initiator,
    clock: Clock,
    rx: &mut mpsc::Receiver<InitiatorMessage>,
) -> Result<(), FrameError> {
    let mut writer = Writer::new(half);
    writer
        .send(&InitiatorMessage::Hello(who.clone()), rx)
        .await?;
    let mut beat = interval(BEAT);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let up = tokio::select! {
            up = rx.recv() => match up {
                Some(up) => up,
                None => return DroppedSnafu.fail(),
            },
            _ = beat.tick() => InitiatorMessage::Heartbeat(clock.now()),
        };
        writer.send(&up, rx).await?;
    }
}

/// Ends when nothing has been heard for too long.
async fn watch(heard: &AtomicU64, clock: Clock) -> Result<(), FrameError> {
    loop {
        sleep(WATCH).await;
        let quiet = clock.now().since(Millis(heard.load(Ordering::Relaxed)));
        if quiet > SILENCE {
            return QuietSnafu { ms: quiet.0 }.fail();
        }
    }
}
